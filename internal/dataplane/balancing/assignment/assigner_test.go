package assignment

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"damsontiller/internal/coordination/lease"
	"damsontiller/internal/coordination/node"
	"damsontiller/internal/dataplane/balancing/intern"
	"damsontiller/internal/dataplane/balancing/slots"
	"damsontiller/internal/dataplane/request/runnerapi"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport"
	"damsontiller/internal/transport/memnet"
)

const runnerName = "m1"

// newTestAssigner returns an assigner with a cluster spec that reserves a quarter for urgent work.
func newTestAssigner(epoch uint64) *Assigner {
	n := node.New(
		node.Params{
			Self:      &wire.Member{Id: "d"},
			Net:       memnet.New(1).Host("d"),
			Transport: transport.DefaultParams,
			Lease:     lease.DefaultParams,
			Log:       hclog.NewNullLogger(),
		},
	)
	cluster := spec.Cluster{Spec: spec.Spec{Classes: []spec.Class{{Name: "u", Urgent: true, Reserve: 25}}}}
	raw, err := cluster.MarshalJSON()
	if err == nil {
		err = n.Cluster.Apply(1, raw)
	}
	if err != nil {
		panic(err)
	}
	return &Assigner{
		params:  DefaultParams,
		node:    n,
		epoch:   epoch,
		runners: map[string]*trackedRunner{},
		edges:   map[uint64]*edge{},
	}
}

// testEdge is a simulated edge node.
type testEdge struct {
	table        *slots.Table
	inc          uint64
	index        int
	acquired     []slots.Kind
	epoch        uint64
	unresponsive bool
}

// total returns the number of slots that the edge reports as held.
func (e *testEdge) total() int {
	n := 0
	for _, s := range e.table.Report() {
		n += int(s.Plain + s.Urgent)
	}
	return n
}

// TestSumNeverExceeds runs random plans of edges that request slots, work, stop responding, restart
// and receive late answers, under a sequence of assigners. At no time may the slots of all edges
// together exceed the runner's concurrency limit.
func TestSumNeverExceeds(t *testing.T) {
	changes := 0
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{
				edge:   rapid.IntRange(0, 3).Draw(rt, "edge"),
				action: rapid.IntRange(0, 10).Draw(rt, "action"),
				n:      rapid.IntRange(0, 2500).Draw(rt, "n"),
			}
		}), 10, 80).Draw(rt, "plan")
		violation := ""
		synctest.Test(t, func(*testing.T) { violation = runPlan(plan, &changes) })
		if violation != "" {
			rt.Fatal(violation)
		}
	})
	if changes == 0 {
		t.Error("the assigner never changed")
	}
}

// step is one action of a plan on one edge; n is a parameter of the action.
type step struct{ edge, action, n int }

// runPlan executes a plan and returns a description of the first violation, if any.
func runPlan(plan []step, changes *int) string {
	const concurrency = 8
	assigner := newTestAssigner(1)
	var edges []*testEdge
	orphaned := 0 // running jobs of edges that were restarted
	inc := uint64(0)
	newEdge := func() *testEdge {
		inc++
		n := &intern.Table{}
		return &testEdge{table: slots.New(n), inc: inc, index: n.Index(runnerName)}
	}
	pollRunner := func() {
		// The runner reports its load.
		load := orphaned
		for _, e := range edges {
			load += len(e.acquired)
		}
		assigner.observe(
			time.Now(),
			spec.Runner{Name: runnerName, Zone: "a"},
			&runnerapi.Report{Name: runnerName, State: runnerapi.Ready, Concurrency: concurrency, Load: load, UpMs: 60000},
			false,
		)
	}
	pollRunner()
	assigner.allReported = true
	ids := []string{"e1", "e2", "e3", "e4"}
	for range ids {
		edges = append(edges, newEdge())
	}
	reported := map[int]bool{}
	for at, s := range plan {
		e := edges[s.edge]
		switch s.action {
		case 0, 1, 2, 3: // request slots; the answer may be late
			if e.unresponsive || e.epoch > assigner.epoch {
				break
			}
			requestedAt := time.Now()
			a := assigner.Report(
				ids[s.edge],
				e.inc,
				&wire.Deal{Held: e.table.Report(), Waiting: map[string]int32{"": int32(s.n % 10)}},
				true,
			)
			time.Sleep(time.Duration(s.n%200) * time.Millisecond)
			e.epoch = a.Epoch
			e.table.Update(requestedAt, time.Duration(a.TermMs)*time.Millisecond, a.Slots)
			if reported[s.edge] = true; len(reported) == len(edges) && !assigner.allReported {
				pollRunner()
				assigner.markAllReported()
			}
		case 4, 5: // start a job
			if k, _, ok := e.table.Acquire(e.index, s.n%2 == 0); ok {
				e.acquired = append(e.acquired, k)
			}
		case 6: // finish a job
			if len(e.acquired) > 0 {
				e.table.Release(e.index, "", e.acquired[0])
				e.acquired = e.acquired[1:]
			} else if orphaned > 0 {
				orphaned--
			}
		case 7: // stop or resume sending requests
			e.unresponsive = !e.unresponsive
		case 8: // a new assigner without state replaces the old one
			assigner = newTestAssigner(assigner.epoch + 1)
			pollRunner()
			reported = map[int]bool{}
			*changes++
		case 10: // the edge is killed and restarted; its jobs keep running
			orphaned += len(e.acquired)
			edges[s.edge] = newEdge()
		case 9: // let time pass
			time.Sleep(time.Duration(s.n) * time.Millisecond)
		}
		if s.n%3 == 0 {
			pollRunner()
		}
		sum := orphaned
		for _, e := range edges {
			sum += e.total()
		}
		if sum > concurrency {
			return fmt.Sprintf(
				"after step %d the edges hold %d slots of a runner with a concurrency limit of %d",
				at,
				sum,
				concurrency,
			)
		}
	}
	return ""
}

// TestWarmupDoubles checks that the limit of a new runner starts low and doubles with each step, but
// not while the runner refuses work.
func TestWarmupDoubles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		assigner := newTestAssigner(1)
		limitAfterReport := func(refused int64) int {
			assigner.observe(
				time.Now(),
				spec.Runner{Name: runnerName},
				&runnerapi.Report{Name: runnerName, State: runnerapi.Ready, Concurrency: 16, Refused: refused},
				false,
			)
			return assigner.runners[runnerName].Limit
		}
		want := []int{2, 4, 8, 16, 16}
		for i, w := range want {
			if got := limitAfterReport(0); got != w {
				t.Errorf("after %d s: limit %d, want %d", i, got, w)
			}
			time.Sleep(time.Second)
		}
		assigner.observe(time.Now(), spec.Runner{Name: runnerName}, nil, true)
		if c := assigner.runners[runnerName].Limit; c != 0 {
			t.Errorf("departed runner still has a limit of %d", c)
		}
		if got := limitAfterReport(3); got != 2 {
			t.Errorf("limit after the return is %d, want 2", got)
		}
		time.Sleep(time.Second)
		if got := limitAfterReport(4); got != 2 {
			t.Errorf("limit after a refusal is %d, want 2", got)
		}
	})
}
