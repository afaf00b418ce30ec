// Package storeclient is the client of the replicated stores: registers and immutable
// blobs, read and written at a majority of the stores that hold each key.
package storeclient

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/peer"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// Client reads and changes replicated state at the stores. It catches up with a newer spec
// when the stores refuse the one in force here. Its methods may be called concurrently.
type Client struct {
	Peer     *peer.Peer
	Cluster  *cluster.Cluster
	Proposer *register.Proposer

	catchingUp chan struct{} // full while somebody catches up
	health     health
}

// New makes a client.
func New(pr *peer.Peer, c *cluster.Cluster, p *register.Proposer) *Client {
	return &Client{Peer: pr, Cluster: c, Proposer: p, catchingUp: make(chan struct{}, 1)}
}

// failure gives an error its code; only an uncertain change is code.OutcomeUnknown.
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

func replicasOf(v *cluster.View, key string) (register.Set, error) {
	s := v.Stores(key)
	if len(s) == 0 {
		return nil, code.New(code.StoresUnreachable, "the stores are not all bound yet")
	}
	return s, nil
}

// maxCatchUps bounds how often one request catches up with a newer spec.
const maxCatchUps = 3

// withVersion runs do at a key's stores under the spec in force here. Where stores that
// know a newer one refuse it, this node catches up and runs do again.
func (client *Client) withVersion(
	ctx context.Context,
	key string,
	strict bool,
	do func(context.Context, register.Set) error,
) (uint64, error) {
	for attempt := 1; ; attempt++ {
		v := client.Cluster.Now()
		s, err := replicasOf(v, key)
		if err == nil {
			err = failure(do(register.WithVersion(ctx, v.Version, strict), s))
		}
		if code.Of(err) != code.StaleSpec {
			client.health.record(err)
			return v.Version, err
		}
		if attempt == maxCatchUps || ctx.Err() != nil {
			return v.Version, code.New(code.StoresUnreachable, "%w", err)
		}
		client.catchUp(ctx, s, v.Version)
	}
}

// catchUp applies a newer spec that one of the stores has, whether or not the core can be
// reached. Requests that are refused together catch up once.
func (client *Client) catchUp(ctx context.Context, s register.Set, from uint64) {
	ctx, stop := context.WithTimeout(ctx, probeInterval)
	defer stop()
	select {
	case client.catchingUp <- struct{}{}:
		defer func() { <-client.catchingUp }()
	case <-ctx.Done():
		return
	}
	if client.Cluster.Now().Version > from {
		return
	}
	ch, n := client.ask(ctx, s, func() *wire.Req {
		return &wire.Req{Op: &wire.Req_Hello{Hello: &wire.Hello{Head: true}}}
	})
	for range n {
		if g := <-ch; g.err == nil && g.hello.GetClusterVer() > from && client.fetchSpec(ctx, g.from) {
			return
		}
	}
}

// fetchSpec gets the spec that a store has in force and applies it.
func (client *Client) fetchSpec(ctx context.Context, from register.Replica) bool {
	ack, err := cluster.Hello(ctx, client.Peer.Call, from, &wire.Hello{AcceptsCompressed: true})
	if err != nil {
		return false
	}
	if err := client.Cluster.Apply(ack.GetClusterVer(), ack.GetCluster()); err != nil {
		client.Peer.Log.Warn("spec of a store not applied", "err", err)
		return false
	}
	return true
}

// Read is a linearizable read at a majority.
func (client *Client) Read(ctx context.Context, key string) (register.State, error) {
	state, _, err := client.read(ctx, key, false)
	return state, err
}

// ReadWindow is the age up to which a strict read at the stores may justify that a request
// is sent.
const ReadWindow = 200 * time.Millisecond

// ReadStrict is a linearizable read that stores with a newer spec refuse; it returns the
// version that it was made under. What rests on it must begin within ReadWindow.
func (client *Client) ReadStrict(ctx context.Context, key string) (register.State, uint64, error) {
	return client.read(ctx, key, true)
}

func (client *Client) read(
	ctx context.Context,
	key string,
	strict bool,
) (state register.State, ver uint64, err error) {
	ver, err = client.withVersion(ctx, key, strict, func(ctx context.Context, s register.Set) error {
		state, err = client.Proposer.Read(ctx, s, key)
		return err
	})
	return state, ver, err
}

// Change is a change at a majority. Where it fails with code.OutcomeUnknown it may be in
// force.
func (client *Client) Change(ctx context.Context, key string, f register.UpdateFunc) (register.State, error) {
	return client.change(ctx, key, false, f)
}

// ChangeStrict is a change that stores with a newer spec refuse.
func (client *Client) ChangeStrict(ctx context.Context, key string, f register.UpdateFunc) (register.State, error) {
	return client.change(ctx, key, true, f)
}

func (client *Client) change(
	ctx context.Context,
	key string,
	strict bool,
	f register.UpdateFunc,
) (state register.State, err error) {
	_, err = client.withVersion(ctx, key, strict, func(ctx context.Context, s register.Set) error {
		state, err = client.Proposer.Change(ctx, s, key, f)
		return err
	})
	return state, err
}

type blobReply struct {
	from  register.Replica
	blob  *wire.Got
	hello *wire.HelloAck
	err   error
}

// ask sends a request to every voter; the channel has a place for each answer.
func (client *Client) ask(ctx context.Context, s register.Set, q func() *wire.Req) (<-chan blobReply, int) {
	all := s.All()
	ch := make(chan blobReply, len(all))
	client.askEach(ctx, all, q, ch)
	return ch, len(all)
}

// askEach sends a request to each replica; the channel must have a place for each answer.
func (client *Client) askEach(ctx context.Context, all []register.Replica, q func() *wire.Req, ch chan<- blobReply) {
	for _, r := range all {
		go func() {
			m := q()
			m.Ident = r.Ident
			register.SetVersion(ctx, m)
			a, err := client.Peer.Call(ctx, r.Addr, m)
			ch <- blobReply{r, a.GetGot(), a.GetHello(), err}
		}()
	}
}

// PutBlob stores an immutable value at a majority of every group, for at least keep.
func (client *Client) PutBlob(ctx context.Context, key string, val []byte, keep time.Duration) error {
	_, err := client.withVersion(
		ctx,
		key,
		false,
		func(ctx context.Context, s register.Set) error { return client.put(ctx, s, key, val, keep) },
	)
	return err
}

func (client *Client) put(ctx context.Context, s register.Set, key string, val []byte, keep time.Duration) error {
	// A straggler's copy is still worth having once a majority has answered.
	bg, stop := context.WithTimeout(context.WithoutCancel(ctx), 5*time.Second)
	ch, n := client.ask(bg, s, func() *wire.Req {
		return &wire.Req{Op: &wire.Req_Put{Put: &wire.Put{Key: key, Val: val, KeepMs: keep.Milliseconds()}}}
	})
	done := make(chan error, 1)
	go func() {
		defer stop()
		stored, last := map[register.Replica]bool{}, error(nil)
		tell := func(err error) {
			select {
			case done <- err:
			default:
			}
		}
		for range n {
			g := <-ch
			if g.err != nil {
				if last = g.err; code.Of(last) == code.StaleSpec {
					tell(last)
				}
				continue
			}
			if stored[g.from] = true; s.Quorum(stored) {
				tell(nil)
			}
		}
		tell(fmt.Errorf("%d of %d stores: %w", len(stored), n, last))
	}()
	select {
	case err := <-done:
		if err != nil && code.Of(err) != code.StaleSpec {
			return code.New(code.StoresUnreachable, "put %s: %w", key, err)
		}
		return err
	case <-ctx.Done():
		return code.New(code.StoresUnreachable, "put %s: %w", key, ctx.Err())
	}
}

// GetBlob finds an immutable value. One replica suffices to prove that it is there; only a
// majority of the old set, which is complete until a change has finished, proves that it
// is not. The error has code.NoTurn where it was never stored, code.Expired where its
// retention is over.
func (client *Client) GetBlob(ctx context.Context, key string) ([]byte, error) {
	val, _, err := client.GetBlobTimeLeft(ctx, key)
	return val, err
}

// GetBlobTimeLeft is GetBlob with the remaining retention of the replica that answered.
func (client *Client) GetBlobTimeLeft(ctx context.Context, key string) (val []byte, left time.Duration, err error) {
	var g *wire.Got
	_, err = client.withVersion(ctx, key, false, func(ctx context.Context, s register.Set) error {
		g, err = client.get(ctx, s, key)
		return err
	})
	if err != nil {
		return nil, 0, err
	}
	return g.Val, time.Duration(g.KeepMs-g.AgeMs) * time.Millisecond, nil
}

// blobHedge is how long the nearest holder of a blob is waited for before the others are
// asked as well: several times what a store needs that is neither slow nor far.
const blobHedge = 30 * time.Millisecond

// get asks the nearest holder first, and all others only where that one does not have the
// blob or does not answer soon: a blob is large beside the question, and one replica
// suffices.
func (client *Client) get(ctx context.Context, s register.Set, key string) (*wire.Got, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	request := func() *wire.Req { return &wire.Req{Op: &wire.Req_Get{Get: &wire.Get{Key: key}}} }
	all := client.byDistance(s.All())
	answers := make(chan blobReply, len(all))
	client.askEach(ctx, all[:1], request, answers)
	asked := 1
	askRest := func() {
		client.askEach(ctx, all[asked:], request, answers)
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
		case g := <-answers:
			answered++
			if g.blob.GetState() == wire.Got_HERE && g.err == nil {
				return g.blob, nil
			}
			if err := tally.add(g, s, key); err != nil {
				return nil, err
			}
		}
		askRest()
	}
	return nil, code.New(code.StoresUnreachable, "get %s: %w", key, tally.last)
}

// blobTally is what holders that don't have a blob have said.
type blobTally struct {
	absent map[register.Replica]bool
	past   bool
	last   error
}

// add counts an answer. It returns the error that is certain by now, if one is.
func (t *blobTally) add(g blobReply, s register.Set, key string) error {
	switch {
	case code.Of(g.err) == code.StaleSpec:
		return g.err
	case g.err != nil:
		t.last = g.err
		return nil
	}
	t.past = t.past || g.blob.GetState() == wire.Got_PAST
	t.absent[g.from] = true
	switch {
	case !s[:1].Quorum(t.absent):
		return nil
	case t.past:
		return code.New(code.Expired, "%s is past its keeping time", key)
	}
	return code.New(code.NoTurn, "%s was never kept", key)
}

// byDistance puts the replicas of this node's zone first, and those of each zone in random
// order.
func (client *Client) byDistance(all []register.Replica) []register.Replica {
	v := client.Cluster.Now()
	near := map[string]bool{}
	for _, m := range slices.Concat(v.Cluster.Stores, v.NextStores) {
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
