package proxy

import (
	"bytes"
	"container/list"
	"context"
	"sync"
	"time"

	"damsontiller/internal/coordination/storeclient"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// TurnParams are the times and bounds of kept turns.
type TurnParams struct {
	Read  time.Duration // for fetching what this node lacks of a chain
	Late  time.Duration // for keeping a turn whose own deadline has passed
	Slack time.Duration // a turn is kept this much longer than promised, so that those after it seldom renew it
	Bytes int           // of turns remembered by this node
}

// DefaultTurns are the design's.
var DefaultTurns = TurnParams{Read: time.Second, Late: time.Second, Slack: 4 * time.Minute, Bytes: 8 << 20}

// Turns keeps conversations as deltas: of each turn what it brought and what
// came of it, with the names of all before it. A turn is at a majority of its
// stores before its answer ends.
type Turns struct {
	t *storeclient.Client
	p TurnParams

	mu   sync.Mutex
	have map[string]*list.Element
	late *list.List // least lately used last
	size int
}

// NewTurns makes the keeper of turns.
func NewTurns(p TurnParams, t *storeclient.Client) *Turns {
	return &Turns{t: t, p: p, have: map[string]*list.Element{}, late: list.New()}
}

// turn is one kept turn as this node remembers it; it is never changed.
type turn struct {
	id    string
	until time.Time // kept at least so long
	*wire.Turn
}

func (t *turn) bytes() int { return len(t.In) + len(t.Out) + 32*len(t.Before) + 200 }

func turnKey(id string) string { return "turn/" + id }

func (c *Turns) get(id string) *turn {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.have[id]
	if e == nil {
		return nil
	}
	c.late.MoveToFront(e)
	return e.Value.(*turn)
}

func (c *Turns) remember(t *turn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.have[t.id]; e != nil {
		c.size -= e.Value.(*turn).bytes()
		c.late.Remove(e)
	}
	c.have[t.id] = c.late.PushFront(t)
	for c.size += t.bytes(); c.size > c.p.Bytes && c.late.Len() > 1; {
		e := c.late.Back()
		old := e.Value.(*turn)
		c.late.Remove(e)
		delete(c.have, old.id)
		c.size -= old.bytes()
	}
}

func (c *Turns) fetch(ctx context.Context, id string) (*turn, error) {
	// A node may remember a turn past its time: only the stores can say that it
	// is over, and until then it is still good.
	if t := c.get(id); t != nil && time.Now().Before(t.until) {
		return t, nil
	}
	asked := time.Now()
	b, left, err := c.t.GetBlobTimeLeft(ctx, turnKey(id))
	if err != nil {
		return nil, err
	}
	t := &turn{id: id, until: asked.Add(left), Turn: &wire.Turn{}}
	if err := wire.Decode(b, t.Turn); err != nil {
		return nil, err
	}
	c.remember(t)
	return t, nil
}

// Chain fetches the turn that a job goes on from and all before it, oldest
// first. NoTurn is only said where a majority says so.
func (c *Turns) Chain(ctx context.Context, id string) ([]*turn, error) {
	head, err := c.fetch(ctx, id)
	if err != nil {
		return nil, err
	}
	out := make([]*turn, len(head.Before)+1)
	out[len(head.Before)] = head
	errs := make(chan error, len(head.Before))
	for i, id := range head.Before {
		if t := c.get(id); t != nil {
			out[i] = t
			errs <- nil
			continue
		}
		go func() {
			t, err := c.fetch(ctx, id)
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
		return nil, code.New(code.StoresUnreachable, "turn %s: what came before: %w", id, err)
	}
	return out, nil
}

// Keep brings a turn to a majority, and renews those before it whose time would
// be over before its own.
func (c *Turns) Keep(ctx context.Context, id string, chain []*turn, in, out []byte, keep time.Duration) error {
	t := &turn{id: id, Turn: &wire.Turn{In: in, Out: out}}
	for _, b := range chain {
		t.Before = append(t.Before, b.id)
	}
	now := time.Now()
	errs := make(chan error, len(chain)+1)
	n := 1
	var renewed []*turn
	put := func(t *turn) {
		b := wire.MustEncode(t.Turn)
		errs <- again(ctx, func() error { return c.t.PutBlob(ctx, turnKey(t.id), b, keep+c.p.Slack) })
	}
	for _, b := range chain {
		if b.until.Before(now.Add(keep + 2*c.p.Late)) {
			n++
			fresh := &turn{id: b.id, until: now.Add(keep + c.p.Slack), Turn: b.Turn}
			go put(fresh)
			renewed = append(renewed, fresh)
		}
	}
	t.until = now.Add(keep + c.p.Slack)
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

// Do is the policy: the runner gets the whole chain, and the answer ends only
// once the turn is kept.
func (c *Turns) Do(j *Job, w *Out, next Next) Answer {
	if !j.Path.Kept {
		return next(j, w)
	}
	var chain []*turn
	in := j.Body
	if j.Follows != "" {
		ctx, stop := context.WithTimeout(j, min(c.p.Read, j.Left()))
		err := again(ctx, func() (err error) {
			chain, err = c.Chain(ctx, j.Follows)
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
	if a.Err != nil || !a.Good {
		return a
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(j), max(min(j.Left(), 2*c.p.Late), c.p.Late))
	defer stop()
	if err := c.Keep(ctx, j.Try, chain, in, w.Text(), time.Duration(j.Path.KeepMs)*time.Millisecond); err != nil {
		return Answer{Err: err}
	}
	return a
}

// again does something at the stores until it is done, or time is over; it must be safe
// to do twice. While their set changes they refuse who goes by the old one, some of them
// perhaps after others have taken it, and a store that is new may not know yet that it is
// one: moments that pass.
func again(ctx context.Context, do func() error) error {
	for try := 0; ; try++ {
		err := do()
		if !passes(err) || !loop.Wait(ctx, min(10*time.Millisecond<<min(try, 4), 100*time.Millisecond)) {
			return err
		}
	}
}

// passes tells whether a failure at the stores may be over in a moment.
func passes(err error) bool {
	c := code.Of(err)
	return c == code.StoresUnreachable || c == code.OutcomeUnknown
}
