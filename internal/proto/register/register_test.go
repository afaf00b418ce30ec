package register_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
)

// disk is a synced map; fail makes the next saves fail.
type disk struct {
	mu  sync.Mutex
	all map[string][]byte
}

func (d *disk) Load(k string) (*wire.Rec, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &wire.Rec{}
	return r, proto.Unmarshal(d.all[k], r)
}

func (d *disk) Save(k string, r *wire.Rec) error {
	b, err := proto.Marshal(r)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all[k] = b
	return err
}

// world is a few acceptors behind a network that loses calls and answers.
type world struct {
	mu   sync.Mutex
	work sync.RWMutex
	rnd  *rand.Rand
	acc  map[string]*register.Acceptor
	dsk  map[string]*disk
	lose int                      // of 100 calls, and of 100 answers
	ice  map[string]chan struct{} // frozen acceptors; closed when one wakes
	lost int
	late int             // calls that a freeze held back
	old  map[string]bool // acceptors of a version that knows no next ballot
	// sent is the cell that was proposed under each ballot of a key; twice counts
	// those under which there was another.
	sent  map[string]*wire.Cell
	twice int
	// compressed counts accept requests with a compressed value.
	compressed int
}

func newWorld(seed uint64, n, lose int) (*world, register.Set) {
	w := &world{
		rnd:  rand.New(rand.NewPCG(seed, 3)),
		acc:  map[string]*register.Acceptor{},
		dsk:  map[string]*disk{},
		lose: lose,
		ice:  map[string]chan struct{}{},
		old:  map[string]bool{},
		sent: map[string]*wire.Cell{},
	}
	var g []register.Replica
	for i := range n {
		a := fmt.Sprintf("a%d", i)
		w.dsk[a] = &disk{all: map[string][]byte{}}
		w.acc[a] = register.NewAcceptor(w.dsk[a])
		g = append(g, register.Replica{Addr: a, Ident: "id-" + a})
	}
	return w, register.Set{g}
}

func (w *world) drawLoss() (lost bool, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.rnd.IntN(100) < w.lose {
		w.lost++
		return true, 0
	}
	return false, time.Duration(w.rnd.IntN(20)) * time.Millisecond
}

func (w *world) call(ctx context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
	leg := func() error {
		lost, d := w.drawLoss()
		if lost {
			<-ctx.Done()
			return ctx.Err()
		}
		select {
		case <-time.After(d):
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if q := q.Accept(); q != nil {
		id := fmt.Sprintf("%s %d %d", q.Key, q.Ballot.N, q.Ballot.Node)
		cell := proto.Clone(q.Cell).(*wire.Cell)
		if len(q.CompressedValue) > 0 {
			value, err := wire.Decompress(q.CompressedValue)
			if err != nil {
				return nil, err
			}
			cell.Val = value
		}
		w.mu.Lock()
		w.compressed += min(len(q.CompressedValue), 1)
		if c := w.sent[id]; c == nil {
			w.sent[id] = cell
		} else if !proto.Equal(c, cell) {
			w.twice++
		}
		w.mu.Unlock()
	}
	if err := leg(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	ice := w.ice[addr]
	w.mu.Unlock()
	if ice != nil {
		// What comes to a frozen process is taken when it wakes, however late,
		// even if its caller has long given up.
		<-ice
		w.mu.Lock()
		w.late++
		w.mu.Unlock()
	}
	// A crash ends what is at work; it does not run beside its successor.
	w.work.RLock()
	w.mu.Lock()
	a := w.acc[addr]
	w.mu.Unlock()
	answer := a.Answer
	if w.old[addr] {
		answer = func(q *wire.Req) (*wire.View, error) { return answerAsOld(a, q) }
	}
	v, err := answer(q)
	w.work.RUnlock()
	// What the acceptor keeps must not be shared with the caller.
	r := proto.Clone(&wire.Resp{Op: &wire.Resp_View{View: v}}).(*wire.Resp)
	if lerr := leg(); lerr != nil {
		return nil, lerr
	}
	return r, err
}

// answerAsOld answers as a version that knows neither a next ballot nor that values may be
// compressed or left out.
func answerAsOld(a *register.Acceptor, q *wire.Req) (v *wire.View, err error) {
	switch {
	case q.GetPrep() != nil:
		v, err = a.Prepare(&wire.Prep{Key: q.GetPrep().Key, Ballot: q.GetPrep().Ballot})
	case q.GetAcc() != nil:
		v, err = a.Accept(&wire.Acc{Key: q.GetAcc().Key, Ballot: q.GetAcc().Ballot, Cell: q.GetAcc().Cell})
	default:
		v, err = a.Read(&wire.Look{Key: q.GetLook().Key})
	}
	if v != nil {
		v.AcceptsCompressed, v.AcceptsCompressedOp = false, false
	}
	return v, err
}

// freeze stops an acceptor for d.
func (w *world) freeze(addr string, d time.Duration) {
	ch := make(chan struct{})
	w.mu.Lock()
	w.ice[addr] = ch
	w.mu.Unlock()
	time.Sleep(d)
	w.mu.Lock()
	delete(w.ice, addr)
	w.mu.Unlock()
	close(ch)
}

// crash restarts an acceptor: memory lost, disk kept.
func (w *world) crash(addr string) {
	w.work.Lock()
	defer w.work.Unlock()
	w.mu.Lock()
	w.acc[addr] = register.NewAcceptor(w.dsk[addr])
	w.mu.Unlock()
}

type input struct {
	read     bool
	nextCell string
}

// model: a register that words are appended to; an add is refused once the
// value has so many letters, so that refusals are checked as well.
func model(full int) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, in, out any) (bool, any) {
			s, i, o := state.(string), in.(input), out.(string)
			if i.read {
				return o == s, s
			}
			if o == "full" {
				return len(s) >= full, s
			}
			return o == s+i.nextCell && len(s) < full, s + i.nextCell
		},
	}
}

var errFull = errors.New("full")

// trial is how a history of rivals comes about.
type trial struct {
	rivals, ops int
	lose        int
	full        int           // letters at which adds are refused
	rest        time.Duration // longest rest of a rival after every third operation
	old         []string      // acceptors of an earlier version
	padding     int           // bytes before the letters of each value
}

// load report is what went on in it.
type loadReport struct {
	lost, late    int
	short, missed uint64
	compressed    int
}

// play runs rivals over a lossy network with acceptors that crash and freeze, and
// checks the history. A change uncertain may take effect at any time after it began,
// or never.
func play(t *testing.T, seed uint64, tr trial) (sum loadReport) {
	synctest.Test(t, func(t *testing.T) {
		w, set := newWorld(seed, 3, tr.lose)
		for _, a := range tr.old {
			w.old[a] = true
		}
		var mu sync.Mutex
		var ops []porcupine.Operation
		start := time.Now()
		now := func() int64 { return int64(time.Since(start)) }
		var wg sync.WaitGroup
		for p := range tr.rivals {
			wg.Go(func() {
				pr := register.NewProposer(uint64(p+1), w.call)
				pr.RoundTimeout = 100 * time.Millisecond
				rnd := rand.New(rand.NewPCG(seed, uint64(p)))
				for i := range tr.ops {
					if i%3 == 0 && tr.rest > 0 {
						time.Sleep(time.Duration(rnd.Int64N(int64(tr.rest))))
					}
					ctx, stop := context.WithTimeout(t.Context(), 400*time.Millisecond)
					in := input{read: i%3 == 2, nextCell: string(rune('a'+p)) + strconv.Itoa(i)}
					at := now()
					var out string
					var err error
					if in.read {
						var st register.State
						st, err = pr.Read(ctx, set, "k")
						out = strings.TrimLeft(string(st.Value), ".")
					} else {
						var st register.State
						st, err = pr.Change(ctx, set, "k", func(s register.State) ([]byte, bool, error) {
							if len(s.Value)-tr.padding >= tr.full {
								return nil, false, errFull
							}
							value := s.Value
							if len(value) == 0 {
								value = bytes.Repeat([]byte("."), tr.padding)
							}
							return append(slices.Clone(value), in.nextCell...), false, nil
						})
						// The state handed back may already hold later changes.
						if out = strings.TrimLeft(string(st.Value), "."); err == nil {
							out = out[:strings.Index(out, in.nextCell)+2]
						}
						if errors.Is(err, errFull) {
							out, err = "full", nil
						}
					}
					stop()
					op := porcupine.Operation{ClientId: p, Input: in, Call: at, Output: out, Return: now()}
					switch {
					case errors.Is(err, register.ErrUncertain):
						// Open to the end of time, with whatever outcome.
						op.Return, op.Output, op.ClientId = 1<<62, "maybe:"+in.nextCell, 100+p*10+i
					case err != nil:
						continue
					}
					mu.Lock()
					ops = append(ops, op)
					mu.Unlock()
				}
				mu.Lock()
				sum.short, sum.missed = sum.short+pr.OneRound.Load(), sum.missed+pr.OneRoundMissed.Load()
				mu.Unlock()
			})
		}
		wg.Go(func() {
			for i := range 6 {
				time.Sleep(150 * time.Millisecond)
				w.crash(fmt.Sprintf("a%d", i%3))
			}
		})
		wg.Go(func() {
			for i := range 4 {
				time.Sleep(100 * time.Millisecond)
				w.freeze(fmt.Sprintf("a%d", (i+1)%3), 200*time.Millisecond)
			}
		})
		wg.Wait()
		// A last read over a complete network shows which doubtful changes took
		// effect.
		w.mu.Lock()
		w.lose = 0
		w.mu.Unlock()
		at := now()
		st, err := register.NewProposer(99, w.call).Read(t.Context(), set, "k")
		if err != nil {
			t.Fatal(err)
		}
		ops = append(
			ops,
			porcupine.Operation{
				ClientId: 99,
				Input:    input{read: true},
				Call:     at,
				Output:   strings.TrimLeft(string(st.Value), "."),
				Return:   now(),
			},
		)
		if !explained(ops, tr.full) {
			t.Errorf("seed %d: history is not linearizable: %+v", seed, ops)
		}
		time.Sleep(time.Second)
		w.mu.Lock()
		sum.lost, sum.late, sum.compressed = w.lost, w.late, w.compressed
		if w.twice > 0 {
			t.Errorf("seed %d: %d times another cell under the same ballot", seed, w.twice)
		}
		w.mu.Unlock()
	})
	return sum
}

// TestLinearizable plays histories of many seeds: many rivals, few rivals who are
// often alone with the key and so go without preparing, and voters of which some
// are of a version that promises no ballot along with a cell.
func TestLinearizable(t *testing.T) {
	for _, tc := range []struct {
		name  string
		seeds uint64
		trial
		short int // changes without preparing that there must be at least; -1: none may be
	}{
		{"rivals", 60, trial{rivals: 4, ops: 8, lose: 15, full: 16}, 1},
		{"alone", 200, trial{rivals: 3, ops: 9, lose: 5, full: 40, rest: 300 * time.Millisecond}, 300},
		{"lossy", 100, trial{rivals: 2, ops: 9, lose: 25, full: 40, rest: 100 * time.Millisecond}, 50},
		{"one old", 60, trial{rivals: 3, ops: 9, lose: 5, full: 40, rest: 300 * time.Millisecond, old: []string{"a1"}}, 30},
		{
			"two old",
			30,
			trial{rivals: 3, ops: 9, lose: 5, full: 40, rest: 300 * time.Millisecond, old: []string{"a1", "a2"}},
			-1,
		},
		{"large", 100, trial{rivals: 3, ops: 9, lose: 10, full: 40, rest: 100 * time.Millisecond, padding: 5000}, 20},
		{
			"large, one old",
			60,
			trial{rivals: 3, ops: 9, lose: 5, full: 40, rest: 300 * time.Millisecond, old: []string{"a1"}, padding: 5000},
			30,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var sum loadReport
			for seed := range tc.seeds {
				n := play(t, seed, tc.trial)
				sum.lost, sum.late, sum.short, sum.missed = sum.lost+n.lost, sum.late+n.late, sum.short+n.short, sum.missed+n.missed
				sum.compressed += n.compressed
			}
			if sum.lost == 0 || sum.late == 0 {
				t.Errorf("%d calls lost, %d held back: a fault did not fire", sum.lost, sum.late)
			}
			if int(sum.short) < tc.short || tc.short < 0 && sum.short+sum.missed > 0 {
				t.Errorf("%d changes in one round, %d missed, want at least %d", sum.short, sum.missed, tc.short)
			}
			if (sum.compressed > 0) != (tc.trial.padding > 0) {
				t.Errorf("%d accepts with a compressed value", sum.compressed)
			}
			t.Logf("%+v", sum)
		})
	}
}

// explained checks the history with each doubtful change taken or left out as
// the values read show: a word seen in any value did take effect.
func explained(ops []porcupine.Operation, full int) bool {
	seen := ""
	for _, o := range ops {
		if s := o.Output.(string); len(s) > len(seen) && s != "full" && !strings.HasPrefix(s, "maybe:") {
			seen = s
		}
	}
	var h []porcupine.Operation
	for _, o := range ops {
		if outcome, ok := strings.CutPrefix(o.Output.(string), "maybe:"); ok {
			at := strings.Index(seen, outcome)
			if at < 0 {
				continue
			}
			o.Output = seen[:at+2]
		}
		h = append(h, o)
	}
	return porcupine.CheckOperations(model(full), h)
}

// TestCheckerSees feeds the checker a lost update and a stale read.
func TestCheckerSees(t *testing.T) {
	op := func(c int, at, end int64, read bool, nextCell, out string) porcupine.Operation {
		return porcupine.Operation{ClientId: c, Input: input{read, nextCell}, Call: at, Return: end, Output: out}
	}
	if explained([]porcupine.Operation{op(1, 0, 1, false, "a0", "a0"), op(2, 2, 3, false, "b0", "b0")}, 16) {
		t.Error("a lost update passed")
	}
	if explained([]porcupine.Operation{op(1, 0, 1, false, "a0", "a0"), op(2, 2, 3, true, "", "")}, 16) {
		t.Error("a stale read passed")
	}
}

// TestOnlyOnce: however often a change is tried again underneath, it takes
// effect once, and what is said to have failed never does.
func TestOnlyOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		lose := rapid.IntRange(0, 40).Draw(rt, "lose")
		synctest.Test(t, func(t *testing.T) {
			w, set := newWorld(seed, 3, lose)
			done, maybe := 0, 0
			for p := range 3 {
				pr := register.NewProposer(uint64(p+1), w.call)
				pr.RoundTimeout = 60 * time.Millisecond
				ctx, stop := context.WithTimeout(t.Context(), 300*time.Millisecond)
				_, err := pr.Change(ctx, set, "n", func(s register.State) ([]byte, bool, error) {
					n, _ := strconv.Atoi(string(s.Value))
					return []byte(strconv.Itoa(n + 1)), false, nil
				})
				stop()
				switch {
				case err == nil:
					done++
				case errors.Is(err, register.ErrUncertain):
					maybe++
				}
			}
			w.mu.Lock()
			w.lose = 0
			w.mu.Unlock()
			st, err := register.NewProposer(9, w.call).Read(t.Context(), set, "n")
			if err != nil {
				rt.Fatal(err)
			}
			n, _ := strconv.Atoi(string(st.Value))
			if n < done || n > done+maybe {
				rt.Fatalf("%d done, %d in doubt, the register says %d", done, maybe, n)
			}
			time.Sleep(time.Second)
		})
	})
}

// TestRefusalBuries: a change that reached one acceptor only, and is then said
// not to be done, must not come back through that acceptor.
func TestRefusalBuries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, set := newWorld(1, 3, 0)
		var later atomic.Bool
		call := func(ctx context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
			// Fault: the first accept reaches a2 only, with its answer lost.
			if q.Accept() != nil && !later.Load() {
				if addr == "a2" {
					_, _ = w.call(ctx, addr, q)
				}
				<-ctx.Done()
				return nil, ctx.Err()
			}
			// And a2 is then out of reach for this proposer.
			if addr == "a2" && later.Load() {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return w.call(ctx, addr, q)
		}
		pr := register.NewProposer(1, call)
		tries := 0
		_, err := pr.Change(t.Context(), set, "k", func(register.State) ([]byte, bool, error) {
			if tries++; tries > 1 {
				return nil, false, errFull
			}
			time.AfterFunc(50*time.Millisecond, func() { later.Store(true) })
			return []byte("ghost"), false, nil
		})
		if !errors.Is(err, errFull) || tries != 2 {
			t.Fatalf("want the refusal at the second try, got %v after %d", err, tries)
		}
		// A rival whose majority includes a2 must not find the ghost.
		st, err := register.NewProposer(2, w.call).Change(t.Context(), set, "k", nil)
		if err != nil || len(st.Value) != 0 {
			t.Fatalf("said not done, and came back: %q %v", st.Value, err)
		}
		time.Sleep(time.Second)
	})
}

// TestAge: a restarted replica counts a timed value's complete age again, and the
// reader takes the youngest.
func TestAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, set := newWorld(1, 3, 0)
		pr := register.NewProposer(1, w.call)
		if _, err := pr.Change(t.Context(), set, "k", func(register.State) ([]byte, bool, error) { return []byte("v"), true, nil }); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		st, err := pr.Read(t.Context(), set, "k")
		if err != nil || st.Age < 9*time.Second {
			t.Fatalf("age %v, %v", st.Age, err)
		}
		for a := range w.acc {
			w.crash(a)
		}
		time.Sleep(time.Second)
		st, err = pr.Read(t.Context(), set, "k")
		if err != nil || st.Age > 2*time.Second {
			t.Fatalf("after restarts age %v, %v", st.Age, err)
		}
		time.Sleep(time.Second)
	})
}
