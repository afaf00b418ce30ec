package register_test

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// put is a change to v, whatever there was.
func put(v string) register.UpdateFunc {
	return func(register.State) ([]byte, bool, error) { return []byte(v), false, nil }
}

// rounds tells how many rounds do took.
func rounds(p *register.Proposer, do func()) int {
	n := p.Rounds.Load()
	do()
	return int(p.Rounds.Load() - n)
}

// TestShort: whoever made the last change makes the next in one round, and nobody
// else; a rival's change in between, other voters, time, and a word that only those
// may take who prepared it, each cost both rounds again.
func TestShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, set := newWorld(1, 4, 0)
		three, other := register.Set{set[0][:3]}, register.Set{set[0][1:]}
		p, q := register.NewProposer(1, w.call), register.NewProposer(2, w.call)
		change := func(ctx context.Context, p *register.Proposer, s register.Set, want int, what string) {
			t.Helper()
			n := rounds(p, func() {
				if _, err := p.Change(ctx, s, "k", put(what)); err != nil {
					t.Errorf("%s: %v", what, err)
				}
			})
			if n != want {
				t.Errorf("%s: %d rounds, want %d", what, n, want)
			}
			// The laggard hears of it as well.
			time.Sleep(time.Second)
		}
		ctx := t.Context()
		change(ctx, p, three, 2, "the first")
		change(ctx, p, three, 1, "the second")
		change(ctx, p, three, 1, "the third")
		change(ctx, q, three, 2, "a rival's")
		change(ctx, p, three, 3, "over a rival's")
		change(ctx, p, three, 1, "after that")
		change(ctx, p, other, 2, "at other voters")
		change(ctx, p, three, 2, "at the first voters")
		change(register.WithVersion(ctx, 7, true), p, three, 2, "a strict one")
		change(register.WithVersion(ctx, 7, false), p, three, 1, "one that is not strict")
		time.Sleep(time.Minute)
		change(ctx, p, three, 2, "a minute later")
		if n := rounds(p, func() {
			if st, err := p.Read(ctx, three, "k"); err != nil || string(st.Value) != "a minute later" {
				t.Errorf("read %q, %v", st.Value, err)
			}
		}); n != 1 {
			t.Errorf("a read took %d rounds", n)
		}
		if p.OneRound.Load() != 4 || p.OneRoundMissed.Load() != 1 {
			t.Errorf("%d short, %d missed", p.OneRound.Load(), p.OneRoundMissed.Load())
		}
		time.Sleep(time.Second)
	})
}

// TestMovedAndBack: voters that moved on and came back took higher ballots meanwhile
// and refuse what was promised before.
func TestMovedAndBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, set := newWorld(1, 6, 0)
		a, b := set[0][:3], set[0][3:]
		p, q := register.NewProposer(1, w.call), register.NewProposer(2, w.call)
		if _, err := p.Change(t.Context(), register.Set{a}, "k", put("p")); err != nil {
			t.Fatal(err)
		}
		for _, s := range []register.Set{{a, b}, {b}, {b, a}} {
			if err := q.WriteBack(t.Context(), s, "k"); err != nil {
				t.Fatal(err)
			}
			if len(s) == 1 {
				if _, err := q.Change(t.Context(), s, "k", put("q")); err != nil {
					t.Fatal(err)
				}
			}
		}
		st, err := p.Change(t.Context(), register.Set{a}, "k", func(s register.State) ([]byte, bool, error) {
			return append(s.Value[:len(s.Value):len(s.Value)], "+p"...), false, nil
		})
		if err != nil || string(st.Value) != "q+p" || p.OneRoundMissed.Load() != 1 {
			t.Errorf("%q %v, %d missed", st.Value, err, p.OneRoundMissed.Load())
		}
		time.Sleep(time.Second)
	})
}

// TestPromisedBallot: what is promised along with a cell holds like any promise, also
// after a restart, and the answer says what was promised.
func TestPromisedBallot(t *testing.T) {
	d := &disk{all: map[string][]byte{}}
	a := register.NewAcceptor(d)
	b := func(n uint64) *wire.Ballot { return &wire.Ballot{N: n, Node: 1} }
	acc := func(n, next uint64) (*wire.View, error) {
		q := &wire.Acc{Key: "k", Ballot: b(n), Cell: &wire.Cell{Ver: n, Val: []byte("v")}}
		if next > 0 {
			q.Next = b(next)
		}
		return a.Accept(q)
	}
	v, err := acc(10, 20)
	if err != nil || v.Promised.GetN() != 20 || v.Accepted.GetN() != 10 {
		t.Fatalf("%v %v", v, err)
	}
	for range 2 {
		if _, err := a.Prepare(&wire.Prep{Key: "k", Ballot: b(15)}); code.Of(err) != code.OldBallot {
			t.Errorf("a ballot below the promise was prepared: %v", err)
		}
		if _, err := acc(15, 0); code.Of(err) != code.OldBallot {
			t.Errorf("a ballot below the promise was taken: %v", err)
		}
		a = register.NewAcceptor(d)
	}
	// No promise is lowered, and one that is none is left out.
	if v, err = acc(20, 5); err != nil || v.Promised.GetN() != 20 || v.Accepted.GetN() != 20 {
		t.Errorf("%v %v", v, err)
	}
	// What has been expired takes nothing that was worked out from it.
	if _, err := acc(30, 40); err != nil {
		t.Fatal(err)
	}
	if did, err := a.Expire("k", func(*wire.Rec) (bool, bool) { return true, false }, nil); !did || err != nil {
		t.Fatal(did, err)
	}
	if _, err := acc(40, 50); code.Of(err) != code.OldBallot {
		t.Errorf("taken over what was let go: %v", err)
	}
	if v, err := a.Read(&wire.Look{Key: "k"}); err != nil || !v.Cell.GetPast() || v.Accepted.GetN() != 30 {
		t.Errorf("%v %v", v, err)
	}
}

// TestOldRefusal: a refusal worked out from what this proposer wrote last is no
// answer before a majority has confirmed the state it rests on.
func TestOldRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, set := newWorld(1, 3, 0)
		p, q := register.NewProposer(1, w.call), register.NewProposer(2, w.call)
		for _, c := range []struct {
			p *register.Proposer
			v string
		}{{p, "full"}, {q, "empty"}} {
			if _, err := c.p.Change(t.Context(), set, "k", put(c.v)); err != nil {
				t.Fatal(err)
			}
		}
		nextCell := func(s register.State) ([]byte, bool, error) {
			if string(s.Value) == "full" {
				return nil, false, errFull
			}
			return []byte("full"), false, nil
		}
		if _, err := p.Change(t.Context(), set, "k", nextCell); err != nil {
			t.Errorf("refused by a state that is gone: %v", err)
		}
		// And a true refusal stays one.
		if _, err := p.Change(t.Context(), set, "k", nextCell); !errors.Is(err, errFull) {
			t.Errorf("got %v", err)
		}
		time.Sleep(time.Second)
	})
}

// TestOneRoundUncertain: a change in one round that every voter refused was not made, and
// that is said; one that a voter may have taken is uncertain, and is made once.
func TestOneRoundUncertain(t *testing.T) {
	for _, tc := range []struct {
		name  string
		rival bool // has changed the key meanwhile
		reach string
		maybe bool
	}{
		{"all refuse", true, "a0 a1 a2", false},
		{"two refuse, one is lost", true, "a0 a1", true},
		{"one takes it", false, "a2", true},
	} {
		synctest.Test(t, func(t *testing.T) {
			w, set := newWorld(1, 3, 0)
			stage := 0
			var mu sync.Mutex
			call := func(ctx context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
				mu.Lock()
				s := stage
				mu.Unlock()
				// Fault: of the accept only some hear, and after it the network is down.
				if s == 1 && (q.Accept() == nil || !strings.Contains(tc.reach, addr)) {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				return w.call(ctx, addr, q)
			}
			at := func(s int) {
				mu.Lock()
				stage = s
				mu.Unlock()
			}
			p := register.NewProposer(1, call)
			inc := func(s register.State) ([]byte, bool, error) {
				n, _ := strconv.Atoi(string(s.Value))
				return []byte(strconv.Itoa(n + 1)), false, nil
			}
			change := func(p *register.Proposer) (register.State, error) {
				ctx, stop := context.WithTimeout(t.Context(), 2*time.Second)
				defer stop()
				return p.Change(ctx, set, "n", inc)
			}
			if _, err := change(p); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			if tc.rival {
				if _, err := change(register.NewProposer(2, w.call)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
			}
			at(1)
			if _, err := change(p); !errors.Is(err, register.ErrNoQuorum) ||
				errors.Is(err, register.ErrUncertain) != tc.maybe {
				t.Errorf("%s: %v", tc.name, err)
			}
			// And with the network back in the middle of a change it is made once.
			at(0)
			if _, err := change(p); err != nil {
				t.Fatal(err)
			}
			at(1)
			time.AfterFunc(time.Second, func() { at(0) })
			st, err := change(p)
			if err != nil {
				t.Fatalf("%s: %v", tc.name, err)
			}
			got, _ := strconv.Atoi(string(st.Value))
			want := 3
			if tc.rival {
				want++
			}
			// What was uncertain may have been made as well.
			if got != want && !(tc.maybe && got == want+1) {
				t.Errorf("%s: the register says %d, want %d", tc.name, got, want)
			}
			time.Sleep(time.Second)
		})
	}
}

// TestShortAge: the age that a change in one round is told is never more than the
// time the value has been held, and close to it, also when the voters restarted.
func TestShortAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, set := newWorld(1, 3, 0)
		p := register.NewProposer(1, w.call)
		var age time.Duration
		timed := func(s register.State) ([]byte, bool, error) {
			age = s.Age
			return []byte("v"), true, nil
		}
		if _, err := p.Change(t.Context(), set, "k", timed); err != nil {
			t.Fatal(err)
		}
		for i := range 3 {
			done := time.Now()
			time.Sleep(4 * time.Second)
			for a := range w.acc {
				w.crash(a)
			}
			n := rounds(p, func() {
				if _, err := p.Change(t.Context(), set, "k", timed); err != nil {
					t.Fatal(err)
				}
			})
			if inUse := time.Since(done); n != 1 || age > inUse || age < 4*time.Second {
				t.Errorf("%d: %d rounds, age %s of at most %s", i, n, age, inUse)
			}
		}
		time.Sleep(time.Second)
	})
}

// TestTurns: changes of one key by one process go one after another, each in one
// round, and one that hangs does not hold the others up for longer than a round.
func TestTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, set := newWorld(1, 3, 0)
		p := register.NewProposer(1, w.call)
		inc := func(s register.State) ([]byte, bool, error) {
			n, _ := strconv.Atoi(string(s.Value))
			return []byte(strconv.Itoa(n + 1)), false, nil
		}
		var wg sync.WaitGroup
		n := rounds(p, func() {
			for range 10 {
				wg.Go(func() {
					if _, err := p.Change(t.Context(), set, "k", inc); err != nil {
						t.Error(err)
					}
				})
			}
			wg.Wait()
		})
		if n != 11 {
			t.Errorf("ten changes took %d rounds", n)
		}
		// One hangs at voters that are not there.
		departed := register.Set{{{Addr: "a0", Ident: "x"}, {Addr: "a1", Ident: "x"}, {Addr: "a2", Ident: "x"}}}
		hung := make(chan struct{})
		q := register.NewProposer(2, func(ctx context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
			if q.Ident == "x" {
				<-hung
				return nil, errors.New("gone")
			}
			return w.call(ctx, addr, q)
		})
		q.RoundTimeout = 5 * time.Second
		ctx, stop := context.WithCancel(t.Context())
		wg.Go(func() { _, _ = q.Change(ctx, departed, "k", inc) })
		synctest.Wait()
		at := time.Now()
		st, err := q.Change(t.Context(), set, "k", inc)
		if err != nil || string(st.Value) != "11" || time.Since(at) > 6*time.Second {
			t.Errorf("%q %v after %s", st.Value, err, time.Since(at))
		}
		stop()
		close(hung)
		wg.Wait()
		time.Sleep(time.Second)
	})
}

// TestLateBallot: a process that starts anew, or has never met a key, goes over what
// others wrote before at its first try.
func TestLateBallot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, set := newWorld(1, 3, 0)
		for i := range uint64(5) {
			p := register.NewProposer(i+1, w.call)
			for range 3 {
				if _, err := p.Change(t.Context(), set, "k", put("v")); err != nil {
					t.Fatal(err)
				}
			}
			if n := p.Rounds.Load(); n != 4 {
				t.Errorf("proposer %d took %d rounds for three changes", i, n)
			}
			time.Sleep(time.Second)
		}
	})
}
