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
	leastRecent *list.List // least lately used last
	size        int
}

// NewTurns makes the keeper of turns.
func NewTurns(p TurnParams, t *storeclient.Client) *Turns {
	return &Turns{stores: t, params: p, cached: map[string]*list.Element{}, leastRecent: list.New()}
}

// turn is one kept turn as this node remembers it; it is never changed.
type turn struct {
	id    string
	key   string    // of its blob; names its tenant as well
	until time.Time // kept at least so long
	*wire.Turn
}

func (t *turn) bytes() int { return len(t.In) + len(t.Out) + 32*len(t.Before) + 200 }

func (c *Turns) get(key string) *turn {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.cached[key]
	if e == nil {
		return nil
	}
	c.leastRecent.MoveToFront(e)
	return e.Value.(*turn)
}

func (c *Turns) remember(t *turn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.cached[t.key]; e != nil {
		c.size -= e.Value.(*turn).bytes()
		c.leastRecent.Remove(e)
	}
	c.cached[t.key] = c.leastRecent.PushFront(t)
	for c.size += t.bytes(); c.size > c.params.CacheBytes && c.leastRecent.Len() > 1; {
		e := c.leastRecent.Back()
		old := e.Value.(*turn)
		c.leastRecent.Remove(e)
		delete(c.cached, old.key)
		c.size -= old.bytes()
	}
}

func (c *Turns) fetch(ctx context.Context, tenant, id string) (*turn, error) {
	key := keys.ProxyTurn(tenant, id)
	// A node may remember a turn past its time: only the stores can say that it
	// is over, and until then it is still good.
	if t := c.get(key); t != nil && time.Now().Before(t.until) {
		return t, nil
	}
	asked := time.Now()
	b, left, err := c.stores.GetBlobTimeLeft(ctx, key)
	if err != nil {
		return nil, err
	}
	t := &turn{id: id, key: key, until: asked.Add(left), Turn: &wire.Turn{}}
	if err := wire.Decode(b, t.Turn); err != nil {
		return nil, err
	}
	c.remember(t)
	return t, nil
}

// chain fetches the turn that a job goes on from and all before it, oldest
// first. NoTurn is only said where a majority says so.
func (c *Turns) chain(ctx context.Context, tenant, id string) ([]*turn, error) {
	head, err := c.fetch(ctx, tenant, id)
	if err != nil {
		return nil, err
	}
	out := make([]*turn, len(head.Before)+1)
	out[len(head.Before)] = head
	errs := make(chan error, len(head.Before))
	for i, id := range head.Before {
		if t := c.get(keys.ProxyTurn(tenant, id)); t != nil {
			out[i] = t
			errs <- nil
			continue
		}
		go func() {
			t, err := c.fetch(ctx, tenant, id)
			out[i] = t
			errs <- err
		}()
	}
	for range head.Before {
		if e := <-errs; e != nil {
			err = e
		}
	}
	if err != nil {
		// The turn is there, so what led to it must be: not found is not sure.
		return nil, code.New(code.StoresUnreachable, "turn %s: the turns before it: %w", id, err)
	}
	return out, nil
}

// Keep brings a turn to a majority, and renews those before it whose time would
// be over before its own.
func (c *Turns) Keep(ctx context.Context, tenant, id string, chain []*turn, in, out []byte, keep time.Duration) error {
	t := &turn{id: id, key: keys.ProxyTurn(tenant, id), Turn: &wire.Turn{In: in, Out: out}}
	for _, b := range chain {
		t.Before = append(t.Before, b.id)
	}
	now := time.Now()
	errs := make(chan error, len(chain)+1)
	n := 1
	var renewed []*turn
	put := func(t *turn) {
		b := wire.MustEncode(t.Turn)
		errs <- retryAtStores(ctx, func() error {
			return c.stores.PutBlob(ctx, t.key, b, keep+c.params.ExtraRetention)
		})
	}
	for _, b := range chain {
		if b.until.Before(now.Add(keep + 2*c.params.LateWriteTimeout)) {
			n++
			copied := &turn{id: b.id, key: b.key, until: now.Add(keep + c.params.ExtraRetention), Turn: b.Turn}
			go put(copied)
			renewed = append(renewed, copied)
		}
	}
	t.until = now.Add(keep + c.params.ExtraRetention)
	go put(t)
	var err error
	for range n {
		if e := <-errs; e != nil {
			err = e
		}
	}
	if err != nil {
		return code.New(code.NotKept, "the turn ran but could not be kept: %w", err)
	}
	// Only now: a renewal that failed must be tried again by the next turn.
	for _, r := range renewed {
		c.remember(r)
	}
	c.remember(t)
	return nil
}

// Do is the policy: the runner gets the entire chain, and the answer ends only
// once the turn is kept.
func (c *Turns) Do(j *Job, w *Response, next Next) Answer {
	if !j.Path.Kept {
		return next(j, w)
	}
	var chain []*turn
	in := j.Body
	if j.PreviousAttempt != "" {
		ctx, stop := context.WithTimeout(j, min(c.params.ReadTimeout, j.TimeLeft()))
		err := retryAtStores(ctx, func() (err error) {
			chain, err = c.chain(ctx, j.TenantName(), j.PreviousAttempt)
			return err
		})
		stop()
		if err != nil {
			return Refuse(err, 250*time.Millisecond)
		}
		var b bytes.Buffer
		for _, t := range chain {
			b.Write(t.In)
			b.Write(t.Out)
		}
		b.Write(in)
		j.Body = b.Bytes()
	}
	w.Collect()
	a := next(j, w)
	if a.Err != nil || !a.Success {
		return a
	}
	ctx, stop := context.WithTimeout(
		context.WithoutCancel(j),
		max(min(j.TimeLeft(), 2*c.params.LateWriteTimeout), c.params.LateWriteTimeout),
	)
	defer stop()
	keep := time.Duration(j.Path.KeepMs) * time.Millisecond
	if err := c.Keep(ctx, j.TenantName(), j.Attempt, chain, in, w.Text(), keep); err != nil {
		return Answer{Err: err}
	}
	return a
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
