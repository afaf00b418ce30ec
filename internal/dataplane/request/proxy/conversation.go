package proxy

import (
	"bytes"
	"container/list"
	"context"
	"sync"
	"time"

	"damsontiller/internal/coordination/storeclient"
	"damsontiller/internal/proto/keys"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// TurnParams are the times and bounds of kept turns.
type TurnParams struct {
	ReadTimeout      time.Duration // for fetching what this node lacks of a chain
	LateWriteTimeout time.Duration // for keeping a turn whose own deadline has passed
	// ExtraRetention is how much longer than promised a turn is kept, so that those after
	// it seldom renew it.
	ExtraRetention time.Duration
	CacheBytes     int // of turns remembered by this node
}

// DefaultTurns are the design's.
var DefaultTurns = TurnParams{
	ReadTimeout:      time.Second,
	LateWriteTimeout: time.Second,
	ExtraRetention:   4 * time.Minute,
	CacheBytes:       8 << 20,
}

// Turns keeps conversations as deltas: of each turn what it brought and what
// came of it, with the names of all before it. A turn is at a majority of its
// stores before its answer ends.
type Turns struct {
	stores *storeclient.Client
	params TurnParams

	mu          sync.Mutex
	cached      map[string]*list.Element
	lru         *list.List // least lately used last
	cachedBytes int
}

// NewTurns makes the keeper of turns.
func NewTurns(params TurnParams, stores *storeclient.Client) *Turns {
	return &Turns{stores: stores, params: params, cached: map[string]*list.Element{}, lru: list.New()}
}

// turn is one kept turn as this node remembers it; it is never changed.
type turn struct {
	id        string
	key       string    // of its blob; names its tenant as well
	expiresAt time.Time // kept at least so long
	*wire.Turn
}

func (t *turn) size() int { return len(t.In) + len(t.Out) + 32*len(t.Before) + 200 }

func (turns *Turns) lookup(key string) *turn {
	turns.mu.Lock()
	defer turns.mu.Unlock()
	element := turns.cached[key]
	if element == nil {
		return nil
	}
	turns.lru.MoveToFront(element)
	return element.Value.(*turn)
}

func (turns *Turns) store(added *turn) {
	turns.mu.Lock()
	defer turns.mu.Unlock()
	if element := turns.cached[added.key]; element != nil {
		turns.cachedBytes -= element.Value.(*turn).size()
		turns.lru.Remove(element)
	}
	turns.cached[added.key] = turns.lru.PushFront(added)
	for turns.cachedBytes += added.size(); turns.cachedBytes > turns.params.CacheBytes && turns.lru.Len() > 1; {
		element := turns.lru.Back()
		evicted := element.Value.(*turn)
		turns.lru.Remove(element)
		delete(turns.cached, evicted.key)
		turns.cachedBytes -= evicted.size()
	}
}

func (turns *Turns) fetch(ctx context.Context, tenant, id string) (*turn, error) {
	key := keys.ProxyTurn(tenant, id)
	// A node may remember a turn past its time: only the stores can say that it
	// is over, and until then it is still good.
	if found := turns.lookup(key); found != nil && time.Now().Before(found.expiresAt) {
		return found, nil
	}
	requestedAt := time.Now()
	encoded, timeLeft, err := turns.stores.GetBlobTimeLeft(ctx, key)
	if err != nil {
		return nil, err
	}
	found := &turn{id: id, key: key, expiresAt: requestedAt.Add(timeLeft), Turn: &wire.Turn{}}
	if err := wire.Decode(encoded, found.Turn); err != nil {
		return nil, err
	}
	turns.store(found)
	return found, nil
}

// chain fetches the turn that a job goes on from and all before it, oldest
// first. NoTurn is only said where a majority says so.
func (turns *Turns) fetchChain(ctx context.Context, tenant, id string) ([]*turn, error) {
	latest, err := turns.fetch(ctx, tenant, id)
	if err != nil {
		return nil, err
	}
	chain := make([]*turn, len(latest.Before)+1)
	chain[len(latest.Before)] = latest
	errs := make(chan error, len(latest.Before))
	for i, id := range latest.Before {
		if t := turns.lookup(keys.ProxyTurn(tenant, id)); t != nil {
			chain[i] = t
			errs <- nil
			continue
		}
		go func() {
			t, err := turns.fetch(ctx, tenant, id)
			chain[i] = t
			errs <- err
		}()
	}
	for range latest.Before {
		if fetchErr := <-errs; fetchErr != nil {
			err = fetchErr
		}
	}
	if err != nil {
		// The turn is there, so what led to it must be: not found is not sure.
		return nil, code.New(code.StoresUnreachable, "turn %s: the turns before it: %w", id, err)
	}
	return chain, nil
}

// Keep brings a turn to a majority, and renews those before it whose time would
// be over before its own.
func (turns *Turns) Keep(ctx context.Context, tenant, id string, chain []*turn, in, out []byte, retention time.Duration) error {
	kept := &turn{id: id, key: keys.ProxyTurn(tenant, id), Turn: &wire.Turn{In: in, Out: out}}
	for _, previous := range chain {
		kept.Before = append(kept.Before, previous.id)
	}
	now := time.Now()
	errs := make(chan error, len(chain)+1)
	writes := 1
	var renewed []*turn
	put := func(written *turn) {
		encoded := wire.MustEncode(written.Turn)
		errs <- retryAtStores(ctx, func() error {
			return turns.stores.PutBlob(ctx, written.key, encoded, retention+turns.params.ExtraRetention)
		})
	}
	for _, previous := range chain {
		if previous.expiresAt.Before(now.Add(retention + 2*turns.params.LateWriteTimeout)) {
			writes++
			renewal := &turn{id: previous.id, key: previous.key, expiresAt: now.Add(retention + turns.params.ExtraRetention), Turn: previous.Turn}
			go put(renewal)
			renewed = append(renewed, renewal)
		}
	}
	kept.expiresAt = now.Add(retention + turns.params.ExtraRetention)
	go put(kept)
	var err error
	for range writes {
		if writeErr := <-errs; writeErr != nil {
			err = writeErr
		}
	}
	if err != nil {
		return code.New(code.NotKept, "the turn ran but could not be kept: %w", err)
	}
	// Only now: a renewal that failed must be tried again by the next turn.
	for _, renewal := range renewed {
		turns.store(renewal)
	}
	turns.store(kept)
	return nil
}

// Do is the policy: the runner gets the entire chain, and the answer ends only
// once the turn is kept.
func (turns *Turns) Do(j *Job, response *Response, next Next) Answer {
	if !j.Path.Kept {
		return next(j, response)
	}
	var chain []*turn
	input := j.Body
	if j.PreviousAttempt != "" {
		ctx, stop := context.WithTimeout(j, min(turns.params.ReadTimeout, j.TimeLeft()))
		err := retryAtStores(ctx, func() (err error) {
			chain, err = turns.fetchChain(ctx, j.TenantName(), j.PreviousAttempt)
			return err
		})
		stop()
		if err != nil {
			return Refuse(err, 250*time.Millisecond)
		}
		var prompt bytes.Buffer
		for _, t := range chain {
			prompt.Write(t.In)
			prompt.Write(t.Out)
		}
		prompt.Write(input)
		j.Body = prompt.Bytes()
	}
	response.Collect()
	answer := next(j, response)
	if answer.Err != nil || !answer.Success {
		return answer
	}
	ctx, stop := context.WithTimeout(
		context.WithoutCancel(j),
		max(min(j.TimeLeft(), 2*turns.params.LateWriteTimeout), turns.params.LateWriteTimeout),
	)
	defer stop()
	retention := time.Duration(j.Path.KeepMs) * time.Millisecond
	if err := turns.Keep(ctx, j.TenantName(), j.Attempt, chain, input, response.Text(), retention); err != nil {
		return Answer{Err: err}
	}
	return answer
}

// retryAtStores does something at the stores until it is done, or time is over; it must be safe
// to do twice. While their set changes they refuse who goes by the old one, some of them
// perhaps after others have taken it, and a store that is new may not know yet that it is
// one: moments that pass.
func retryAtStores(ctx context.Context, do func() error) error {
	for try := 0; ; try++ {
		err := do()
		if !isTransient(err) || !loop.Wait(ctx, min(10*time.Millisecond<<min(try, 4), 100*time.Millisecond)) {
			return err
		}
	}
}

// isTransient reports whether a failure at the stores may be over in a moment.
func isTransient(err error) bool {
	c := code.Of(err)
	return c == code.StoresUnreachable || c == code.OutcomeUnknown
}
