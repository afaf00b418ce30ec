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

// disk is an in-memory register.Disk whose saves are synced immediately.
type disk struct {
	mu      sync.Mutex
	records map[string][]byte
}

func (d *disk) Load(key string) (*wire.Rec, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	record := &wire.Rec{}
	return record, proto.Unmarshal(d.records[key], record)
}

func (d *disk) Save(key string, record *wire.Rec) error {
	encoded, err := proto.Marshal(record)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records[key] = encoded
	return err
}

// testCluster is a set of acceptors behind a network that loses requests and replies.
type testCluster struct {
	mu           sync.Mutex
	serving      sync.RWMutex // read-locked while an acceptor handles a request
	random       *rand.Rand
	acceptors    map[string]*register.Acceptor
	disks        map[string]*disk
	lossPercent  int                      // of requests, and of replies
	frozen       map[string]chan struct{} // frozen acceptors; closed when the acceptor resumes
	lost         int
	delayed      int             // calls delayed by a frozen acceptor
	oldAcceptors map[string]bool // acceptors of a release that does not promise a next ballot
	// proposed holds the cell proposed under each ballot of a key; conflicts counts the
	// proposals of a different cell under the same ballot.
	proposed  map[string]*wire.Cell
	conflicts int
	// compressed counts the accept requests with a compressed value.
	compressed int
}

func newTestCluster(seed uint64, count, lossPercent int) (*testCluster, register.Set) {
	cluster := &testCluster{
		random:       rand.New(rand.NewPCG(seed, 3)),
		acceptors:    map[string]*register.Acceptor{},
		disks:        map[string]*disk{},
		lossPercent:  lossPercent,
		frozen:       map[string]chan struct{}{},
		oldAcceptors: map[string]bool{},
		proposed:     map[string]*wire.Cell{},
	}
	var group []register.Replica
	for i := range count {
		addr := fmt.Sprintf("a%d", i)
		cluster.disks[addr] = &disk{records: map[string][]byte{}}
		cluster.acceptors[addr] = register.NewAcceptor(cluster.disks[addr])
		group = append(group, register.Replica{Addr: addr, Ident: "id-" + addr})
	}
	return cluster, register.Set{group}
}

func (c *testCluster) drawLoss() (lost bool, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.random.IntN(100) < c.lossPercent {
		c.lost++
		return true, 0
	}
	return false, time.Duration(c.random.IntN(20)) * time.Millisecond
}

func (c *testCluster) call(ctx context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
	transmit := func() error {
		lost, delay := c.drawLoss()
		if lost {
			<-ctx.Done()
			return ctx.Err()
		}
		select {
		case <-time.After(delay):
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
		c.mu.Lock()
		c.compressed += min(len(q.CompressedValue), 1)
		if earlier := c.proposed[id]; earlier == nil {
			c.proposed[id] = cell
		} else if !proto.Equal(earlier, cell) {
			c.conflicts++
		}
		c.mu.Unlock()
	}
	if err := transmit(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	frozen := c.frozen[addr]
	c.mu.Unlock()
	if frozen != nil {
		// A frozen process handles a request once it resumes, even if the caller has given up
		// long before.
		<-frozen
		c.mu.Lock()
		c.delayed++
		c.mu.Unlock()
	}
	// A crash waits for the request in progress, so that the old process never runs
	// concurrently with its successor.
	c.serving.RLock()
	c.mu.Lock()
	acceptor := c.acceptors[addr]
	c.mu.Unlock()
	answer := acceptor.Answer
	if c.oldAcceptors[addr] {
		answer = func(q *wire.Req) (*wire.View, error) { return answerAsOld(acceptor, q) }
	}
	view, err := answer(q)
	c.serving.RUnlock()
	// The caller must not share memory with the acceptor.
	resp := proto.Clone(&wire.Resp{Op: &wire.Resp_View{View: view}}).(*wire.Resp)
	if transmitErr := transmit(); transmitErr != nil {
		return nil, transmitErr
	}
	return resp, err
}

// answerAsOld answers as a release that supports neither a next ballot nor values that are
// compressed or omitted.
func answerAsOld(acceptor *register.Acceptor, request *wire.Req) (view *wire.View, err error) {
	switch {
	case request.GetPrep() != nil:
		view, err = acceptor.Prepare(&wire.Prep{Key: request.GetPrep().Key, Ballot: request.GetPrep().Ballot})
	case request.GetAcc() != nil:
		view, err = acceptor.Accept(&wire.Acc{Key: request.GetAcc().Key, Ballot: request.GetAcc().Ballot, Cell: request.GetAcc().Cell})
	default:
		view, err = acceptor.Read(&wire.Look{Key: request.GetLook().Key})
	}
	if view != nil {
		view.AcceptsCompressed, view.AcceptsCompressedOp = false, false
	}
	return view, err
}

// freeze suspends an acceptor for a duration.
func (c *testCluster) freeze(addr string, duration time.Duration) {
	resumed := make(chan struct{})
	c.mu.Lock()
	c.frozen[addr] = resumed
	c.mu.Unlock()
	time.Sleep(duration)
	c.mu.Lock()
	delete(c.frozen, addr)
	c.mu.Unlock()
	close(resumed)
}

// crash restarts an acceptor: its memory is lost, its disk is kept.
func (c *testCluster) crash(addr string) {
	c.serving.Lock()
	defer c.serving.Unlock()
	c.mu.Lock()
	c.acceptors[addr] = register.NewAcceptor(c.disks[addr])
	c.mu.Unlock()
}

type input struct {
	read     bool
	appended string // by a change
}

// model is a register that words are appended to. A change is refused once the value has full
// letters, so that refusals are checked as well.
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
			return o == s+i.appended && len(s) < full, s + i.appended
		},
	}
}

var errFull = errors.New("full")

// historyOptions states how a history of competing proposers is generated.
type historyOptions struct {
	proposers, ops int
	lossPercent    int
	full           int           // letters at which changes are refused
	maxPause       time.Duration // longest pause of a proposer after every third operation
	oldAcceptors   []string      // acceptors of an earlier release
	padding        int           // bytes before the letters of each value
}

// historyReport summarizes a history.
type historyReport struct {
	lost, delayed    int
	oneRound, missed uint64
	compressed       int
}

// runHistory runs competing proposers over a lossy network with acceptors that crash and
// freeze, and checks the history. An uncertain change may take effect at any time after it
// began, or never.
func runHistory(t *testing.T, seed uint64, options historyOptions) (report historyReport) {
	synctest.Test(t, func(t *testing.T) {
		cluster, set := newTestCluster(seed, 3, options.lossPercent)
		for _, addr := range options.oldAcceptors {
			cluster.oldAcceptors[addr] = true
		}
		var mu sync.Mutex
		var ops []porcupine.Operation
		start := time.Now()
		now := func() int64 { return int64(time.Since(start)) }
		var wg sync.WaitGroup
		for client := range options.proposers {
			wg.Go(func() {
				proposer := register.NewProposer(uint64(client+1), cluster.call)
				proposer.RoundTimeout = 100 * time.Millisecond
				random := rand.New(rand.NewPCG(seed, uint64(client)))
				for i := range options.ops {
					if i%3 == 0 && options.maxPause > 0 {
						time.Sleep(time.Duration(random.Int64N(int64(options.maxPause))))
					}
					ctx, stop := context.WithTimeout(t.Context(), 400*time.Millisecond)
					operation := input{read: i%3 == 2, appended: string(rune('a'+client)) + strconv.Itoa(i)}
					calledAt := now()
					var output string
					var err error
					if operation.read {
						var state register.State
						state, err = proposer.Read(ctx, set, "k")
						output = strings.TrimLeft(string(state.Value), ".")
					} else {
						var state register.State
						state, err = proposer.Change(ctx, set, "k", func(s register.State) ([]byte, bool, error) {
							if len(s.Value)-options.padding >= options.full {
								return nil, false, errFull
							}
							value := s.Value
							if len(value) == 0 {
								value = bytes.Repeat([]byte("."), options.padding)
							}
							return append(slices.Clone(value), operation.appended...), false, nil
						})
						// The returned state may already contain later changes.
						if output = strings.TrimLeft(string(state.Value), "."); err == nil {
							output = output[:strings.Index(output, operation.appended)+2]
						}
						if errors.Is(err, errFull) {
							output, err = "full", nil
						}
					}
					stop()
					record := porcupine.Operation{ClientId: client, Input: operation, Call: calledAt, Output: output, Return: now()}
					switch {
					case errors.Is(err, register.ErrUncertain):
						// An uncertain change may take effect until the end of the history.
						record.Return, record.Output, record.ClientId = 1<<62, "maybe:"+operation.appended, 100+client*10+i
					case err != nil:
						continue
					}
					mu.Lock()
					ops = append(ops, record)
					mu.Unlock()
				}
				mu.Lock()
				report.oneRound, report.missed = report.oneRound+proposer.OneRound.Load(), report.missed+proposer.OneRoundMissed.Load()
				mu.Unlock()
			})
		}
		wg.Go(func() {
			for i := range 6 {
				time.Sleep(150 * time.Millisecond)
				cluster.crash(fmt.Sprintf("a%d", i%3))
			}
		})
		wg.Go(func() {
			for i := range 4 {
				time.Sleep(100 * time.Millisecond)
				cluster.freeze(fmt.Sprintf("a%d", (i+1)%3), 200*time.Millisecond)
			}
		})
		wg.Wait()
		// A final read over a network without loss shows which uncertain changes took effect.
		cluster.mu.Lock()
		cluster.lossPercent = 0
		cluster.mu.Unlock()
		calledAt := now()
		state, err := register.NewProposer(99, cluster.call).Read(t.Context(), set, "k")
		if err != nil {
			t.Fatal(err)
		}
		ops = append(
			ops,
			porcupine.Operation{
				ClientId: 99,
				Input:    input{read: true},
				Call:     calledAt,
				Output:   strings.TrimLeft(string(state.Value), "."),
				Return:   now(),
			},
		)
		if !isLinearizable(ops, options.full) {
			t.Errorf("seed %d: history is not linearizable: %+v", seed, ops)
		}
		time.Sleep(time.Second)
		cluster.mu.Lock()
		report.lost, report.delayed, report.compressed = cluster.lost, cluster.delayed, cluster.compressed
		if cluster.conflicts > 0 {
			t.Errorf("seed %d: %d proposals of another cell under a used ballot", seed, cluster.conflicts)
		}
		cluster.mu.Unlock()
	})
	return report
}

// TestLinearizable runs histories of many seeds: many competing proposers, few proposers that
// often have the key to themselves and so skip the prepare round, and voters of which some are
// of a release that does not promise a ballot with a cell.
func TestLinearizable(t *testing.T) {
	for _, tc := range []struct {
		name  string
		seeds uint64
		historyOptions
		minOneRound int // minimum number of changes in one round; -1: there must be none
	}{
		{"competing", 60, historyOptions{proposers: 4, ops: 8, lossPercent: 15, full: 16}, 1},
		{"mostly alone", 200, historyOptions{proposers: 3, ops: 9, lossPercent: 5, full: 40, maxPause: 300 * time.Millisecond}, 300},
		{"lossy", 100, historyOptions{proposers: 2, ops: 9, lossPercent: 25, full: 40, maxPause: 100 * time.Millisecond}, 50},
		{"one old", 60, historyOptions{proposers: 3, ops: 9, lossPercent: 5, full: 40, maxPause: 300 * time.Millisecond, oldAcceptors: []string{"a1"}}, 30},
		{
			"two old",
			30,
			historyOptions{proposers: 3, ops: 9, lossPercent: 5, full: 40, maxPause: 300 * time.Millisecond, oldAcceptors: []string{"a1", "a2"}},
			-1,
		},
		{"large", 100, historyOptions{proposers: 3, ops: 9, lossPercent: 10, full: 40, maxPause: 100 * time.Millisecond, padding: 5000}, 20},
		{
			"large, one old",
			60,
			historyOptions{proposers: 3, ops: 9, lossPercent: 5, full: 40, maxPause: 300 * time.Millisecond, oldAcceptors: []string{"a1"}, padding: 5000},
			30,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var total historyReport
			for seed := range tc.seeds {
				report := runHistory(t, seed, tc.historyOptions)
				total.lost, total.delayed, total.oneRound, total.missed = total.lost+report.lost, total.delayed+report.delayed, total.oneRound+report.oneRound, total.missed+report.missed
				total.compressed += report.compressed
			}
			if total.lost == 0 || total.delayed == 0 {
				t.Errorf("%d messages lost, %d calls delayed: a fault did not occur", total.lost, total.delayed)
			}
			if int(total.oneRound) < tc.minOneRound || tc.minOneRound < 0 && total.oneRound+total.missed > 0 {
				t.Errorf("%d changes in one round, %d missed, want at least %d", total.oneRound, total.missed, tc.minOneRound)
			}
			if (total.compressed > 0) != (tc.historyOptions.padding > 0) {
				t.Errorf("%d accepts with a compressed value", total.compressed)
			}
			t.Logf("%+v", total)
		})
	}
}

// isLinearizable checks the history. An uncertain change is included if its word appears in any
// value read, and left out otherwise.
func isLinearizable(ops []porcupine.Operation, full int) bool {
	longest := ""
	for _, o := range ops {
		if s := o.Output.(string); len(s) > len(longest) && s != "full" && !strings.HasPrefix(s, "maybe:") {
			longest = s
		}
	}
	var decided []porcupine.Operation
	for _, o := range ops {
		if appended, ok := strings.CutPrefix(o.Output.(string), "maybe:"); ok {
			index := strings.Index(longest, appended)
			if index < 0 {
				continue
			}
			o.Output = longest[:index+2]
		}
		decided = append(decided, o)
	}
	return porcupine.CheckOperations(model(full), decided)
}

// TestCheckerDetects checks that the checker rejects a lost update and a stale read.
func TestCheckerDetects(t *testing.T) {
	op := func(client int, start, end int64, read bool, appended, output string) porcupine.Operation {
		return porcupine.Operation{ClientId: client, Input: input{read, appended}, Call: start, Return: end, Output: output}
	}
	if isLinearizable([]porcupine.Operation{op(1, 0, 1, false, "a0", "a0"), op(2, 2, 3, false, "b0", "b0")}, 16) {
		t.Error("a lost update passed")
	}
	if isLinearizable([]porcupine.Operation{op(1, 0, 1, false, "a0", "a0"), op(2, 2, 3, true, "", "")}, 16) {
		t.Error("a stale read passed")
	}
}

// TestOnlyOnce checks that a change takes effect once, however often it is retried internally,
// and that a change reported as failed never takes effect.
func TestOnlyOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		lossPercent := rapid.IntRange(0, 40).Draw(rt, "lose")
		synctest.Test(t, func(t *testing.T) {
			cluster, set := newTestCluster(seed, 3, lossPercent)
			done, uncertain := 0, 0
			for client := range 3 {
				proposer := register.NewProposer(uint64(client+1), cluster.call)
				proposer.RoundTimeout = 60 * time.Millisecond
				ctx, stop := context.WithTimeout(t.Context(), 300*time.Millisecond)
				_, err := proposer.Change(ctx, set, "n", func(s register.State) ([]byte, bool, error) {
					n, _ := strconv.Atoi(string(s.Value))
					return []byte(strconv.Itoa(n + 1)), false, nil
				})
				stop()
				switch {
				case err == nil:
					done++
				case errors.Is(err, register.ErrUncertain):
					uncertain++
				}
			}
			cluster.mu.Lock()
			cluster.lossPercent = 0
			cluster.mu.Unlock()
			state, err := register.NewProposer(9, cluster.call).Read(t.Context(), set, "n")
			if err != nil {
				rt.Fatal(err)
			}
			n, _ := strconv.Atoi(string(state.Value))
			if n < done || n > done+uncertain {
				rt.Fatalf("%d done, %d uncertain, the register has %d", done, uncertain, n)
			}
			time.Sleep(time.Second)
		})
	})
}

// TestRefusedChangeNotRecovered checks that a change that reached one acceptor only and is then
// reported as refused is not completed later from that acceptor.
func TestRefusedChangeNotRecovered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, set := newTestCluster(1, 3, 0)
		var afterFault atomic.Bool
		call := func(ctx context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
			// Fault: the first accept request reaches a2 only, and its reply is lost.
			if q.Accept() != nil && !afterFault.Load() {
				if addr == "a2" {
					_, _ = cluster.call(ctx, addr, q)
				}
				<-ctx.Done()
				return nil, ctx.Err()
			}
			// From then on this proposer cannot reach a2.
			if addr == "a2" && afterFault.Load() {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return cluster.call(ctx, addr, q)
		}
		proposer := register.NewProposer(1, call)
		attempts := 0
		_, err := proposer.Change(t.Context(), set, "k", func(register.State) ([]byte, bool, error) {
			if attempts++; attempts > 1 {
				return nil, false, errFull
			}
			time.AfterFunc(50*time.Millisecond, func() { afterFault.Store(true) })
			return []byte("unchosen"), false, nil
		})
		if !errors.Is(err, errFull) || attempts != 2 {
			t.Fatalf("want the refusal at the second attempt, got %v after %d", err, attempts)
		}
		// A competing proposer whose majority includes a2 must not find the unchosen value.
		state, err := register.NewProposer(2, cluster.call).Change(t.Context(), set, "k", nil)
		if err != nil || len(state.Value) != 0 {
			t.Fatalf("reported as refused, but found later: %q %v", state.Value, err)
		}
		time.Sleep(time.Second)
	})
}

// TestAge checks that a restarted replica counts the age of a timed value from its restart, and
// that a reader uses the lowest age.
func TestAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, set := newTestCluster(1, 3, 0)
		proposer := register.NewProposer(1, cluster.call)
		if _, err := proposer.Change(t.Context(), set, "k", func(register.State) ([]byte, bool, error) { return []byte("v"), true, nil }); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		state, err := proposer.Read(t.Context(), set, "k")
		if err != nil || state.Age < 9*time.Second {
			t.Fatalf("age %v, %v", state.Age, err)
		}
		for addr := range cluster.acceptors {
			cluster.crash(addr)
		}
		time.Sleep(time.Second)
		state, err = proposer.Read(t.Context(), set, "k")
		if err != nil || state.Age > 2*time.Second {
			t.Fatalf("after restarts age %v, %v", state.Age, err)
		}
		time.Sleep(time.Second)
	})
}
