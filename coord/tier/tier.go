// Package tier is the way to the shared state: registers and immutable values
// at a majority of the stores that hold each key.
package tier

import (
	"context"
	"errors"
	"fmt"
	"time"

	"damsontiller/coord/peer"
	"damsontiller/coord/realm"
	"damsontiller/proto/reg"
	"damsontiller/proto/wire"
	"damsontiller/xport/code"
)

// Tier reads and changes shared state.
type Tier struct {
	Peer  *peer.Peer
	Realm *realm.Realm
	Prop  *reg.Proposer
}

// problem numbers what went wrong; only a change in doubt is 'unknown'.
func problem(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, reg.ErrMaybe):
		return code.New(code.OutcomeUnknown, "%w", err)
	case errors.Is(err, reg.ErrNoQuorum):
		return code.New(code.TierAway, "%w", err)
	}
	return err
}

func (t *Tier) set(key string) (reg.Set, error) {
	s := t.Realm.Now().Stores(key)
	if len(s) == 0 {
		return nil, code.New(code.TierAway, "the stores are not all bound yet")
	}
	return s, nil
}

// Read is a majority read.
func (t *Tier) Read(ctx context.Context, key string) (reg.State, error) {
	s, err := t.set(key)
	if err != nil {
		return reg.State{}, err
	}
	st, err := t.Prop.Read(ctx, s, key)
	return st, problem(err)
}

// Change is a majority change; a problem of outcome_unknown may be in force.
func (t *Tier) Change(ctx context.Context, key string, f reg.Func) (reg.State, error) {
	s, err := t.set(key)
	if err != nil {
		return reg.State{}, err
	}
	st, err := t.Prop.Change(ctx, s, key, f)
	return st, problem(err)
}

type got struct {
	r   reg.Replica
	g   *wire.Got
	err error
}

func (t *Tier) ask(ctx context.Context, s reg.Set, q func() *wire.Req) <-chan got {
	ch := make(chan got, len(s[0]))
	for _, r := range s[0] {
		go func() {
			m := q()
			m.Ident = r.Ident
			a, err := t.Peer.Call(ctx, r.Addr, m)
			ch <- got{r, a.GetGot(), err}
		}()
	}
	return ch
}

// PutBlob keeps an immutable value at a majority.
func (t *Tier) PutBlob(ctx context.Context, key string, val []byte, keep time.Duration) error {
	s, err := t.set(key)
	if err != nil {
		return err
	}
	// A straggler's copy is still worth having once a majority has answered.
	bg, stop := context.WithTimeout(context.WithoutCancel(ctx), 5*time.Second)
	ch := t.ask(bg, s, func() *wire.Req {
		return &wire.Req{Op: &wire.Req_Put{Put: &wire.Put{Key: key, Val: val, KeepMs: keep.Milliseconds()}}}
	})
	done := make(chan error, 1)
	go func() {
		defer stop()
		ok, last := 0, error(nil)
		for range s[0] {
			g := <-ch
			if g.err != nil {
				last = g.err
				continue
			}
			if ok++; ok*2 > len(s[0]) {
				select {
				case done <- nil:
				default:
				}
			}
		}
		select {
		case done <- fmt.Errorf("%d of %d stores: %w", ok, len(s[0]), last):
		default:
		}
	}()
	select {
	case err := <-done:
		if err != nil {
			return code.New(code.TierAway, "put %s: %w", key, err)
		}
		return nil
	case <-ctx.Done():
		return code.New(code.TierAway, "put %s: %w", key, ctx.Err())
	}
}

// GetBlob finds an immutable value. One copy is proof enough that it is there;
// only a majority without it proves that it is not.
func (t *Tier) GetBlob(ctx context.Context, key string) ([]byte, error) {
	s, err := t.set(key)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	ch := t.ask(ctx, s, func() *wire.Req { return &wire.Req{Op: &wire.Req_Get{Get: &wire.Get{Key: key}}} })
	none, past := 0, false
	last := error(nil)
	for range s[0] {
		g := <-ch
		switch {
		case g.err != nil:
			last = g.err
			continue
		case g.g.GetState() == wire.Got_HERE:
			return g.g.Val, nil
		case g.g.GetState() == wire.Got_PAST:
			past = true
		}
		if none++; none*2 > len(s[0]) {
			if past {
				return nil, code.New(code.PastKeeping, "%s is past its keeping time", key)
			}
			return nil, code.New(code.NoTurn, "%s was never kept", key)
		}
	}
	return nil, code.New(code.TierAway, "get %s: %w", key, last)
}
