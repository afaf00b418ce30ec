// Package storeclient is the client of the replicated stores: registers and immutable blobs,
// read and written at a majority of the stores that hold each key.
package storeclient

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/peer"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// Client reads and changes replicated state at the stores. If the stores reject its spec as
// stale, it fetches the newer one. Its methods may be called concurrently.
type Client struct {
	Peer     *peer.Peer
	Cluster  *cluster.Cluster
	Proposer *register.Proposer

	catchingUp chan struct{} // semaphore: holds an element while a request fetches a newer spec
	health     health
}

// New returns a client of the stores in the spec that the given cluster has in force.
func New(pr *peer.Peer, c *cluster.Cluster, p *register.Proposer) *Client {
	return &Client{Peer: pr, Cluster: c, Proposer: p, catchingUp: make(chan struct{}, 1)}
}

// failure assigns a code to an error. Only a change that may have been applied gets
// code.OutcomeUnknown.
func failure(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, register.ErrUncertain):
		return code.New(code.OutcomeUnknown, "%w", err)
	case code.Of(err) == code.StaleSpec:
		return code.New(code.StaleSpec, "%w", err)
	case errors.Is(err, register.ErrNoQuorum):
		return code.New(code.StoresUnreachable, "%w", err)
	}
	return err
}

// replicasOf returns the stores that hold a key.
func replicasOf(view *cluster.View, key string) (register.Set, error) {
	set := view.Stores(key)
	if len(set) == 0 {
		return nil, code.New(code.StoresUnreachable, "the stores are not all bound yet")
	}
	return set, nil
}

// maxCatchUps bounds the attempts of one request to be served under a newer spec.
const maxCatchUps = 3

// withVersion runs operation at the stores of a key under the spec in force. If stores reject
// the spec as stale, it fetches the newer one and runs operation again.
func (client *Client) withVersion(
	ctx context.Context,
	key string,
	strict bool,
	operation func(context.Context, register.Set) error,
) (uint64, error) {
	for attempt := 1; ; attempt++ {
		view := client.Cluster.Now()
		set, err := replicasOf(view, key)
		if err == nil {
			err = failure(operation(register.WithVersion(ctx, view.Version, strict), set))
		}
		if code.Of(err) != code.StaleSpec {
			client.health.record(err)
			return view.Version, err
		}
		if attempt == maxCatchUps || ctx.Err() != nil {
			return view.Version, code.New(code.StoresUnreachable, "%w", err)
		}
		client.catchUp(ctx, set, view.Version)
	}
}

// catchUp fetches a newer spec from one of the stores and applies it, which does not need the
// cores to be reachable. Concurrent requests that are rejected share one fetch.
func (client *Client) catchUp(ctx context.Context, set register.Set, staleVersion uint64) {
	ctx, stop := context.WithTimeout(ctx, probeInterval)
	defer stop()
	select {
	case client.catchingUp <- struct{}{}:
		defer func() { <-client.catchingUp }()
	case <-ctx.Done():
		return
	}
	if client.Cluster.Now().Version > staleVersion {
		return
	}
	replies, count := client.sendAll(ctx, set, func() *wire.Req {
		return &wire.Req{Op: &wire.Req_Hello{Hello: &wire.Hello{Head: true}}}
	})
	for range count {
		if reply := <-replies; reply.err == nil && reply.hello.GetClusterVer() > staleVersion &&
			client.fetchSpec(ctx, reply.from) {
			return
		}
	}
}

// fetchSpec fetches the spec that a store has in force and applies it.
func (client *Client) fetchSpec(ctx context.Context, from register.Replica) bool {
	ack, err := cluster.Hello(ctx, client.Peer.Call, from, &wire.Hello{AcceptsCompressed: true})
	if err != nil {
		return false
	}
	if err := client.Cluster.Apply(ack.GetClusterVer(), ack.GetCluster()); err != nil {
		client.Peer.Log.Warn("failed to apply the spec received from a store", "err", err)
		return false
	}
	return true
}

// Read performs a linearizable read at a majority.
func (client *Client) Read(ctx context.Context, key string) (register.State, error) {
	state, _, err := client.read(ctx, key, false)
	return state, err
}

// ReadWindow is the maximum age of a strict read on whose result a request may be sent.
const ReadWindow = 200 * time.Millisecond

// ReadStrict performs a linearizable read that stores with a newer spec reject. It returns the
// version of the spec under which it was made. Actions based on the result must begin within
// ReadWindow.
func (client *Client) ReadStrict(ctx context.Context, key string) (register.State, uint64, error) {
	return client.read(ctx, key, true)
}

func (client *Client) read(
	ctx context.Context,
	key string,
	strict bool,
) (state register.State, ver uint64, err error) {
	ver, err = client.withVersion(ctx, key, strict, func(ctx context.Context, set register.Set) error {
		state, err = client.Proposer.Read(ctx, set, key)
		return err
	})
	return state, ver, err
}

// Change applies update to a register at a majority. If it fails with code.OutcomeUnknown, the
// change may have been applied.
func (client *Client) Change(ctx context.Context, key string, update register.UpdateFunc) (register.State, error) {
	return client.change(ctx, key, false, update)
}

// ChangeStrict is Change, but stores with a newer spec reject it.
func (client *Client) ChangeStrict(
	ctx context.Context,
	key string,
	update register.UpdateFunc,
) (register.State, error) {
	return client.change(ctx, key, true, update)
}

func (client *Client) change(
	ctx context.Context,
	key string,
	strict bool,
	update register.UpdateFunc,
) (state register.State, err error) {
	_, err = client.withVersion(ctx, key, strict, func(ctx context.Context, set register.Set) error {
		state, err = client.Proposer.Change(ctx, set, key, update)
		return err
	})
	return state, err
}

// storeReply is the response of a store to one request.
type storeReply struct {
	from  register.Replica
	blob  *wire.Got
	hello *wire.HelloAck
	err   error
}

// sendAll sends a request to every replica. The returned channel has capacity for all
// responses.
func (client *Client) sendAll(
	ctx context.Context,
	set register.Set,
	newRequest func() *wire.Req,
) (<-chan storeReply, int) {
	all := set.All()
	ch := make(chan storeReply, len(all))
	client.sendEach(ctx, all, newRequest, ch)
	return ch, len(all)
}

// sendEach sends a request to each of the given replicas. The channel must have capacity for
// all responses.
func (client *Client) sendEach(
	ctx context.Context,
	all []register.Replica,
	newRequest func() *wire.Req,
	ch chan<- storeReply,
) {
	for _, r := range all {
		go func() {
			request := newRequest()
			request.Ident = r.Ident
			register.SetVersion(ctx, request)
			resp, err := client.Peer.Call(ctx, r.Addr, request)
			ch <- storeReply{r, resp.GetGot(), resp.GetHello(), err}
		}()
	}
}

// GetBlob returns an immutable value. One replica suffices to prove that the value exists. Only
// a majority of the old set, which is complete until a change of the set has finished, proves
// that it does not. The error has code.NoTurn if the value was never stored, and code.Expired
// if its retention has ended.
func (client *Client) GetBlob(ctx context.Context, key string) ([]byte, error) {
	val, _, err := client.GetBlobTimeLeft(ctx, key)
	return val, err
}

// GetBlobTimeLeft is GetBlob, and also returns the remaining retention at the replica that
// answered.
func (client *Client) GetBlobTimeLeft(ctx context.Context, key string) (val []byte, left time.Duration, err error) {
	var got *wire.Got
	_, err = client.withVersion(ctx, key, false, func(ctx context.Context, set register.Set) error {
		got, err = client.get(ctx, set, key)
		return err
	})
	if err != nil {
		return nil, 0, err
	}
	return got.Val, time.Duration(got.KeepMs-got.AgeMs) * time.Millisecond, nil
}

// blobHedge is the delay after which a request for a blob is also sent to the other replicas.
// It is several times the response time of a nearby store that is not overloaded.
const blobHedge = 30 * time.Millisecond

// get asks the nearest replica first, and all others only if it lacks the blob or does not
// answer within blobHedge: a blob is large compared with the request, and one replica suffices.
func (client *Client) get(ctx context.Context, set register.Set, key string) (*wire.Got, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	request := func() *wire.Req { return &wire.Req{Op: &wire.Req_Get{Get: &wire.Get{Key: key}}} }
	all := client.byDistance(set.All())
	answers := make(chan storeReply, len(all))
	client.sendEach(ctx, all[:1], request, answers)
	asked := 1
	askRest := func() {
		client.sendEach(ctx, all[asked:], request, answers)
		asked = len(all)
	}
	hedge := time.NewTimer(blobHedge)
	defer hedge.Stop()
	tally := blobTally{absent: map[register.Replica]bool{}}
	for answered := 0; answered < len(all); {
		select {
		case <-hedge.C:
			askRest()
			continue
		case reply := <-answers:
			answered++
			if reply.blob.GetState() == wire.Got_HERE && reply.err == nil {
				return reply.blob, nil
			}
			if err := tally.add(reply, set, key); err != nil {
				return nil, err
			}
		}
		askRest()
	}
	return nil, code.New(code.StoresUnreachable, "get %s: %w", key, tally.last)
}

// blobTally collects the responses of replicas that do not have a blob.
type blobTally struct {
	absent  map[register.Replica]bool
	expired bool
	last    error
}

// add records a response. It returns an error once the responses determine the outcome, and nil
// before.
func (t *blobTally) add(reply storeReply, set register.Set, key string) error {
	switch {
	case code.Of(reply.err) == code.StaleSpec:
		return reply.err
	case reply.err != nil:
		t.last = reply.err
		return nil
	}
	t.expired = t.expired || reply.blob.GetState() == wire.Got_PAST
	t.absent[reply.from] = true
	switch {
	case !set[:1].Quorum(t.absent):
		return nil
	case t.expired:
		return code.New(code.Expired, "%s is past its keeping time", key)
	}
	return code.New(code.NoTurn, "%s was never kept", key)
}

// byDistance returns the replicas in random order, those in this node's zone first.
func (client *Client) byDistance(all []register.Replica) []register.Replica {
	view := client.Cluster.Now()
	near := map[string]bool{}
	for _, m := range slices.Concat(view.Cluster.Stores, view.NextStores) {
		near[m.Ident] = m.Zone == client.Peer.Self.Zone
	}
	out := slices.Clone(all)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b register.Replica) int {
		switch {
		case near[a.Ident] == near[b.Ident]:
			return 0
		case near[a.Ident]:
			return -1
		}
		return 1
	})
	return out
}
