// Package storeclient is the client of the replicated stores: registers and immutable
// blobs, read and written at a majority of the stores that hold each key.
package storeclient

import (
	"context"
	"errors"
	"fmt"
	"time"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/peer"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// Tier reads and changes shared state.
type Tier struct {
	Peer    *peer.Peer
	Cluster *cluster.Cluster
	Prop    *register.Proposer
	h       health
}

// failure numbers what went wrong; only a change in doubt is 'unknown'.
func failure(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, register.ErrMaybe):
		return code.New(code.OutcomeUnknown, "%w", err)
	case code.Of(err) == code.StaleSpec:
		return code.New(code.StaleSpec, "%w", err)
	case errors.Is(err, register.ErrNoQuorum):
		return code.New(code.TierAway, "%w", err)
	}
	return err
}

func holders(v *cluster.View, key string) (register.Set, error) {
	s := v.Stores(key)
	if len(s) == 0 {
		return nil, code.New(code.TierAway, "the stores are not all bound yet")
	}
	return s, nil
}

// catchUps is how often one dealing with the stores may learn of a newer spec.
const catchUps = 3

// under does something at a key's stores under the spec in force here. Stores
// that know a newer one refuse it; then this node catches up and does it anew.
func (t *Tier) under(ctx context.Context, key string, strict bool, do func(context.Context, register.Set) error) (uint64, error) {
	for try := 1; ; try++ {
		v := t.Cluster.Now()
		s, err := holders(v, key)
		if err == nil {
			err = failure(do(register.Stamp(ctx, v.Ver, strict), s))
		}
		if code.Of(err) != code.StaleSpec {
			t.h.note(err)
			return v.Ver, err
		}
		if try == catchUps || ctx.Err() != nil {
			return v.Ver, code.New(code.TierAway, "%w", err)
		}
		t.catchUp(ctx, s)
	}
}

// catchUp takes the newest spec that any of the stores has, wherever the core is.
func (t *Tier) catchUp(ctx context.Context, s register.Set) {
	ctx, stop := context.WithTimeout(ctx, blind)
	defer stop()
	ch, n := t.ask(ctx, s, func() *wire.Req { return &wire.Req{Op: &wire.Req_Hello{Hello: &wire.Hello{}}} })
	for range n {
		if g := <-ch; g.err == nil && g.hello.GetClusterVer() > t.Cluster.Now().Ver {
			if err := t.Cluster.Apply(g.hello.ClusterVer, g.hello.Cluster); err != nil {
				t.Peer.Log.Warn("spec of a store not taken", "err", err)
			}
			return
		}
	}
}

// Read is a majority read.
func (t *Tier) Read(ctx context.Context, key string) (register.State, error) {
	st, _, err := t.read(ctx, key, false)
	return st, err
}

// Window is how long a look at the stores may be old when a pass rests on it.
const Window = 200 * time.Millisecond

// Look is a majority read under the newest spec of those stores; it tells which
// that is. What rests on it must begin within the window.
func (t *Tier) Look(ctx context.Context, key string) (register.State, uint64, error) {
	return t.read(ctx, key, true)
}

func (t *Tier) read(ctx context.Context, key string, strict bool) (st register.State, ver uint64, err error) {
	ver, err = t.under(ctx, key, strict, func(ctx context.Context, s register.Set) error {
		st, err = t.Prop.Read(ctx, s, key)
		return err
	})
	return st, ver, err
}

// Change is a majority change; a failure of outcome_unknown may be in force.
func (t *Tier) Change(ctx context.Context, key string, f register.Func) (register.State, error) {
	return t.change(ctx, key, false, f)
}

// Begin is a change that nobody with an older spec than the stores' may make.
func (t *Tier) Begin(ctx context.Context, key string, f register.Func) (register.State, error) {
	return t.change(ctx, key, true, f)
}

func (t *Tier) change(ctx context.Context, key string, strict bool, f register.Func) (st register.State, err error) {
	_, err = t.under(ctx, key, strict, func(ctx context.Context, s register.Set) error {
		st, err = t.Prop.Change(ctx, s, key, f)
		return err
	})
	return st, err
}

type got struct {
	r     register.Replica
	g     *wire.Got
	hello *wire.HelloAck
	err   error
}

// ask sends to every voter; the channel has room for all answers.
func (t *Tier) ask(ctx context.Context, s register.Set, q func() *wire.Req) (<-chan got, int) {
	all := s.All()
	ch := make(chan got, len(all))
	for _, r := range all {
		go func() {
			m := q()
			m.Ident = r.Ident
			register.PutStamp(ctx, m)
			a, err := t.Peer.Call(ctx, r.Addr, m)
			ch <- got{r, a.GetGot(), a.GetHello(), err}
		}()
	}
	return ch, len(all)
}

// PutBlob keeps an immutable value at a majority of every group.
func (t *Tier) PutBlob(ctx context.Context, key string, val []byte, keep time.Duration) error {
	_, err := t.under(ctx, key, false, func(ctx context.Context, s register.Set) error { return t.put(ctx, s, key, val, keep) })
	return err
}

func (t *Tier) put(ctx context.Context, s register.Set, key string, val []byte, keep time.Duration) error {
	// A straggler's copy is still worth having once a majority has answered.
	bg, stop := context.WithTimeout(context.WithoutCancel(ctx), 5*time.Second)
	ch, n := t.ask(bg, s, func() *wire.Req {
		return &wire.Req{Op: &wire.Req_Put{Put: &wire.Put{Key: key, Val: val, KeepMs: keep.Milliseconds()}}}
	})
	done := make(chan error, 1)
	go func() {
		defer stop()
		have, last := map[register.Replica]bool{}, error(nil)
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
			if have[g.r] = true; s.Quorum(have) {
				tell(nil)
			}
		}
		tell(fmt.Errorf("%d of %d stores: %w", len(have), n, last))
	}()
	select {
	case err := <-done:
		if err != nil && code.Of(err) != code.StaleSpec {
			return code.New(code.TierAway, "put %s: %w", key, err)
		}
		return err
	case <-ctx.Done():
		return code.New(code.TierAway, "put %s: %w", key, ctx.Err())
	}
}

// GetBlob finds an immutable value. One copy is proof enough that it is there;
// only a majority of the old set, which is whole until a change has ended,
// proves that it is not.
func (t *Tier) GetBlob(ctx context.Context, key string) ([]byte, error) {
	val, _, err := t.GetKept(ctx, key)
	return val, err
}

// GetKept is GetBlob with how much longer the copy that answered is kept.
func (t *Tier) GetKept(ctx context.Context, key string) (val []byte, left time.Duration, err error) {
	var g *wire.Got
	_, err = t.under(ctx, key, false, func(ctx context.Context, s register.Set) error {
		g, err = t.get(ctx, s, key)
		return err
	})
	if err != nil {
		return nil, 0, err
	}
	return g.Val, time.Duration(g.KeepMs-g.AgeMs) * time.Millisecond, nil
}

func (t *Tier) get(ctx context.Context, s register.Set, key string) (*wire.Got, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	ch, n := t.ask(ctx, s, func() *wire.Req { return &wire.Req{Op: &wire.Req_Get{Get: &wire.Get{Key: key}}} })
	without, past := map[register.Replica]bool{}, false
	last := error(nil)
	for range n {
		g := <-ch
		switch {
		case code.Of(g.err) == code.StaleSpec:
			return nil, g.err
		case g.err != nil:
			last = g.err
			continue
		case g.g.GetState() == wire.Got_HERE:
			return g.g, nil
		case g.g.GetState() == wire.Got_PAST:
			past = true
		}
		if without[g.r] = true; s[:1].Quorum(without) {
			if past {
				return nil, code.New(code.PastKeeping, "%s is past its keeping time", key)
			}
			return nil, code.New(code.NoTurn, "%s was never kept", key)
		}
	}
	return nil, code.New(code.TierAway, "get %s: %w", key, last)
}
