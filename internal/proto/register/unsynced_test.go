package register_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// TestFailedWrite: of a record whose write failed but which shows, nothing is answered
// before it has been synced after all: neither a promise, nor a value, nor that a copy
// is here already.
func TestFailedWrite(t *testing.T) {
	ballot := func(n uint64) *wire.Ballot { return &wire.Ballot{N: n, Node: 1} }
	cell := &wire.Cell{Ver: 1, Val: []byte("v")}
	for _, tc := range []struct {
		name  string
		write func(*register.Acceptor, *modelDisk) error // fails
		ask   func(*register.Acceptor, *modelDisk) (*wire.View, error)
	}{
		{"a promise", func(a *register.Acceptor, _ *modelDisk) error {
			_, err := a.Prepare(&wire.Prep{Key: "k", Ballot: ballot(5)})
			return err
		}, func(a *register.Acceptor, _ *modelDisk) (*wire.View, error) {
			v, err := a.Prepare(&wire.Prep{Key: "k", Ballot: ballot(4)})
			if code.Of(err) == code.OldBallot {
				err = nil
			}
			return v, err
		}},
		{"a value", func(a *register.Acceptor, _ *modelDisk) error {
			_, err := a.Accept(&wire.Acc{Key: "k", Ballot: ballot(5), Cell: cell})
			return err
		}, func(a *register.Acceptor, _ *modelDisk) (*wire.View, error) { return a.Read(&wire.Look{Key: "k"}) }},
		{"an adopted copy", func(a *register.Acceptor, _ *modelDisk) error {
			return a.Adopt("k", &wire.View{Accepted: ballot(5), Cell: cell})
		}, func(a *register.Acceptor, _ *modelDisk) (*wire.View, error) {
			err := a.Adopt("k", &wire.View{Accepted: ballot(5), Cell: cell})
			return &wire.View{Promised: ballot(5)}, err
		}},
		{"a copy brought", func(a *register.Acceptor, d *modelDisk) error { return fill(a, d, ballot(5), cell) },
			func(a *register.Acceptor, d *modelDisk) (*wire.View, error) {
				err := fill(a, d, ballot(5), cell)
				return &wire.View{Promised: ballot(5)}, err
			}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := newModelDisk()
			a := register.NewAcceptor(d)
			d.next = saveVisible
			if err := tc.write(a, d); code.Of(err) != code.DiskFailure {
				t.Fatalf("the write: %v", err)
			}
			// While the disk still fails nothing is answered.
			d.next = saveVisible
			if _, err := tc.ask(a, d); code.Of(err) != code.DiskFailure {
				t.Errorf("asked while the disk fails: %v", err)
			}
			v, err := tc.ask(a, d)
			if err != nil {
				t.Fatal(err)
			}
			d.reopen(true, false)
			r, err := d.Load("k")
			if err != nil || wire.CompareBallots(r.Promised, v.Promised) < 0 ||
				wire.CompareBallots(r.Accepted, v.Accepted) < 0 {
				t.Errorf("answered %v, after the loss of power there is %v, %v", v, r, err)
			}
			// What is synced needs no further write.
			d.next = saveNothing
			if _, err := tc.ask(register.NewAcceptor(d), d); err != nil {
				t.Errorf("asked anew: %v", err)
			}
		})
	}
}

func fill(a *register.Acceptor, d *modelDisk, ballot *wire.Ballot, c *wire.Cell) error {
	_, err := a.Import(
		[]*wire.Copy{{Key: "k", Rec: &wire.Rec{Accepted: ballot, Cell: c}}},
		func(all map[string]*wire.Rec) error {
			return d.Save("k", all["k"])
		},
	)
	return err
}

// TestFailedWritesAreUncertain: a change whose accept failed at every voter's disk may be on
// any of them, and is not answered 'no'.
func TestFailedWritesAreUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, set := newWorld(1, 3, 0)
		var failed atomic.Bool
		call := func(ctx context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
			if failed.Load() && q.Accept() == nil {
				// Nothing else is known of it.
				<-ctx.Done()
				return nil, ctx.Err()
			}
			r, err := w.call(ctx, addr, q)
			if q.Accept() != nil && err == nil {
				failed.Store(true)
				return nil, code.New(code.DiskFailure, "write failed")
			}
			return r, err
		}
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		if _, err := register.NewProposer(1, call).Change(ctx, set, "k", put("v")); !errors.Is(
			err,
			register.ErrUncertain,
		) {
			t.Errorf("every voter has it: %v", err)
		}
		time.Sleep(time.Second)
	})
}

// TestRefusedTwice: an accept that was taken and promised the next ballot refuses its
// own repetition. The change is then uncertain, and not refused.
func TestRefusedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, set := newWorld(1, 3, 0)
		var repeated atomic.Int32
		call := func(ctx context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
			if repeated.Load() > 0 {
				// Nothing else is known of it.
				<-ctx.Done()
				return nil, ctx.Err()
			}
			if q.Accept() == nil {
				return w.call(ctx, addr, q)
			}
			if addr == "a0" {
				_, _ = w.call(ctx, addr, q)
			} else {
				// Not before the answers of a0, so that the round waits for them.
				time.Sleep(200 * time.Millisecond)
				return nil, code.New(code.NotVoting, "not admitted")
			}
			r, err := w.call(ctx, addr, q)
			if code.Of(err) == code.OldBallot {
				repeated.Add(1)
			}
			return r, err
		}
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		if _, err := register.NewProposer(1, call).Change(ctx, set, "k", put("v")); !errors.Is(
			err,
			register.ErrUncertain,
		) {
			t.Errorf("one voter has it: %v", err)
		}
		if repeated.Load() == 0 {
			t.Error("no repetition was refused")
		}
		time.Sleep(time.Second)
	})
}
