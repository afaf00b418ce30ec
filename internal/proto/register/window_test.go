package register_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
)

// gate lets a proposer's requests through, or holds everything back; of the first
// accept after it closes only some voters hear, and no answer comes back.
type gate struct {
	mu     sync.Mutex
	closed bool
	reach  string
	open   chan struct{}
	call   wire.Caller
}

func (g *gate) through(ctx context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
	g.mu.Lock()
	closed, open, reach := g.closed, g.open, g.reach
	if q.Accept() != nil && !closed && g.reach != "" {
		g.closed = true
	}
	accept := q.Accept() != nil && g.reach != ""
	g.mu.Unlock()
	if accept && open != nil {
		if strings.Contains(reach, addr) {
			_, _ = g.call(context.WithoutCancel(ctx), addr, q)
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if closed {
		<-open
	}
	return g.call(ctx, addr, q)
}

// thaw opens the gate for good.
func (g *gate) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reach, g.closed = "", false
	close(g.open)
	g.open = nil
}

// TestFrozenProposer: a proposer stands still after its accept, while others change the
// key any number of times. Its change is made once at the most, is recognised for as
// long as its operation id is kept, and is uncertain from then on.
func TestFrozenProposer(t *testing.T) {
	for _, short := range []bool{false, true} {
		for _, reach := range []string{"none", "a2", "a0 a1 a2"} {
			for _, others := range []int{0, 1, 30, 31, 32, 33, 40, 70} {
				t.Run(fmt.Sprintf("short %v, reach %s, others %d", short, reach, others), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { frozenProposer(t, short, reach, others) })
				})
			}
		}
	}
}

func frozenProposer(t *testing.T, short bool, reach string, others int) {
	w, set := newWorld(1, 3, 0)
	g := &gate{call: w.call}
	frozen, rival := register.NewProposer(1, g.through), register.NewProposer(2, w.call)
	append1 := func(outcome string) register.UpdateFunc {
		return func(s register.State) ([]byte, bool, error) {
			return append(s.Value[:len(s.Value):len(s.Value)], outcome...), false, nil
		}
	}
	change := func(p *register.Proposer, outcome string) (register.State, error) {
		ctx, stop := context.WithTimeout(t.Context(), 10*time.Minute)
		defer stop()
		return p.Change(ctx, set, "k", append1(outcome))
	}
	if short {
		if _, err := change(frozen, "0"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
	}
	g.mu.Lock()
	g.reach, g.open = reach, make(chan struct{})
	g.mu.Unlock()
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, err = change(frozen, "F")
	}()
	time.Sleep(5 * time.Second)
	for range others {
		if _, err := change(rival, "r"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	g.thaw()
	<-done
	time.Sleep(time.Second)
	st, rerr := register.NewProposer(3, w.call).Read(t.Context(), set, "k")
	if rerr != nil {
		t.Fatal(rerr)
	}
	made := strings.Count(string(st.Value), "F")
	switch {
	case made > 1:
		t.Errorf("made %d times: %q, %v", made, st.Value, err)
	case err == nil && made != 1:
		t.Errorf("said to be made: %q", st.Value)
	case err != nil && !errors.Is(err, register.ErrUncertain):
		t.Errorf("in doubt, and answered %v", err)
	case err != nil && others < 32:
		t.Errorf("its mark is still kept, and it is in doubt: %v", err)
	case err == nil && others >= 33:
		t.Errorf("its mark can't be there any more, and it is said to be made: %q", st.Value)
	}
	time.Sleep(time.Second)
}

// TestClockBack: a process that starts with a clock hours behind, or is set back while
// it runs, goes over what others wrote at its second try: a refusal carries the promise.
func TestClockBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, set := newWorld(1, 3, 0)
		at := func(node uint64, d time.Duration) *register.Proposer {
			p := register.NewProposer(node, w.call)
			p.Clock = func() time.Time { return time.Now().Add(d) }
			return p
		}
		preparedBallot, behind := at(1, 10*time.Hour), at(2, -10*time.Hour)
		for i, p := range []*register.Proposer{preparedBallot, behind, preparedBallot, behind} {
			n := rounds(p, func() {
				if _, err := p.Change(t.Context(), set, "k", put("v")); err != nil {
					t.Fatal(err)
				}
			})
			if n > 3 {
				t.Errorf("change %d took %d rounds", i, n)
			}
			time.Sleep(time.Second)
		}
		used := behind.Clock
		behind.Clock = func() time.Time { return used().Add(-24 * time.Hour) }
		if n := rounds(behind, func() {
			if _, err := behind.Change(t.Context(), set, "k", put("v")); err != nil {
				t.Fatal(err)
			}
		}); n != 1 {
			t.Errorf("a clock that went back while it runs costs %d rounds", n)
		}
		time.Sleep(time.Second)
	})
}

// TestAbsurdBallot: a record whose ballot can't be exceeded keeps its key from being
// changed; a proposer that met it never uses a ballot twice, nor one lower than before.
func TestAbsurdBallot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, set := newWorld(1, 3, 0)
		broken := &wire.Rec{Promised: &wire.Ballot{N: 1<<64 - 1, Node: 1<<64 - 1}}
		for _, d := range w.dsk {
			if err := d.Save("broken", broken); err != nil {
				t.Fatal(err)
			}
		}
		var mu sync.Mutex
		last := uint64(0)
		p := register.NewProposer(1, func(ctx context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
			if ballot := q.GetPrep().GetBallot(); ballot != nil {
				mu.Lock()
				if ballot.N < last {
					t.Errorf("ballot %d after %d", ballot.N, last)
				}
				last = ballot.N
				mu.Unlock()
			}
			return w.call(ctx, addr, q)
		})
		began := time.Now()
		// Its time of day runs backwards, so that only what it remembers helps.
		p.Clock = func() time.Time { return began.Add(-time.Since(began)) }
		for range 3 {
			ctx, stop := context.WithTimeout(t.Context(), time.Second)
			if _, err := p.Change(ctx, set, "broken", put("v")); !errors.Is(err, register.ErrNoQuorum) ||
				errors.Is(err, register.ErrUncertain) {
				t.Errorf("the broken key: %v", err)
			}
			stop()
			time.Sleep(time.Second)
			if _, err := p.Change(t.Context(), set, "whole", put("v")); err != nil {
				t.Errorf("another key: %v", err)
			}
		}
		time.Sleep(time.Second)
	})
}

// TestGhostBuried: an accept reached one voter alone, which then is away; the change is
// refused from what the others say. A later proposer whose quorum has that voter in it
// doesn't find the value. There is no chance in this test, whichever voter answers first.
func TestGhostBuried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		acceptors := map[string]*register.Acceptor{}
		var group []register.Replica
		for _, addr := range []string{"a0", "a1", "a2"} {
			acceptors[addr] = register.NewAcceptor(newModelDisk())
			group = append(group, register.Replica{Addr: addr})
		}
		set := register.Set{group}
		ask := func(addr string, q *wire.Req) (*wire.Resp, error) {
			v, err := acceptors[addr].Answer(q)
			return &wire.Resp{Op: &wire.Resp_View{View: v}}, err
		}
		var mu sync.Mutex
		tries := 0
		attempt := func() int {
			mu.Lock()
			defer mu.Unlock()
			return tries
		}
		first := register.NewProposer(1, func(ctx context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
			lost := q.Accept() != nil && attempt() == 1
			if lost && addr == "a2" {
				_, _ = ask(addr, q)
			}
			if lost || addr == "a2" && attempt() > 0 {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return ask(addr, q)
		})
		_, err := first.Change(t.Context(), set, "k", func(register.State) ([]byte, bool, error) {
			mu.Lock()
			defer mu.Unlock()
			if tries++; tries > 1 {
				return nil, false, errFull
			}
			return []byte("ghost"), false, nil
		})
		if !errors.Is(err, errFull) {
			t.Fatalf("got %v", err)
		}
		later := register.NewProposer(2, func(ctx context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
			if addr == "a0" {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return ask(addr, q)
		})
		st, err := later.Change(t.Context(), set, "k", nil)
		if err != nil || len(st.Value) != 0 {
			t.Errorf("answered 'no', and found: %q, %v", st.Value, err)
		}
		time.Sleep(time.Second)
	})
}
