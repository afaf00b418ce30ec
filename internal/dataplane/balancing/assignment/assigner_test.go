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

func newDispatcher(epoch uint64) *Assigner {
	n := node.New(
		node.Params{
			Self:      &wire.Member{Id: "d"},
			Net:       memnet.New(1).Host("d"),
			Transport: transport.DefaultParams,
			Lease:     lease.DefaultParams,
			Log:       hclog.NewNullLogger(),
		},
	)
	re := spec.Cluster{Spec: spec.Spec{Classes: []spec.Class{{Name: "u", Urgent: true, Reserve: 25}}}}
	raw, err := re.MarshalJSON()
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
		runners: map[string]*runner{},
		edges:   map[uint64]*edge{},
	}
}

type holder struct {
	b         *slots.Table
	inc       uint64
	ix        int
	taken     []slots.Kind
	epoch     uint64
	truncated bool
}

func (e *holder) total() int {
	n := 0
	for _, s := range e.b.Report() {
		n += int(s.Plain + s.Urgent)
	}
	return n
}

// TestSumNeverExceeds plays edges that ask, work, go unresponsive, restart and are
// late, under one assigner after another, while the runner's strength changes.
// At no moment may the shares of all edges together exceed what it bears at
// most.
func TestSumNeverExceeds(t *testing.T) {
	fired := 0
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{
				edge: rapid.IntRange(0, 3).Draw(rt, "edge"),
				what: rapid.IntRange(0, 10).Draw(rt, "what"),
				n:    rapid.IntRange(0, 2500).Draw(rt, "n"),
			}
		}), 10, 80).Draw(rt, "plan")
		wrong := ""
		synctest.Test(t, func(*testing.T) { wrong = play(plan, &fired) })
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
	if fired == 0 {
		t.Error("the dealer never changed")
	}
}

type step struct{ edge, what, n int }

// play carries out a plan and tells what went wrong.
func play(plan []step, fired *int) string {
	const bears = 8
	assigner := newDispatcher(1)
	var edges []*holder
	left := 0 // jobs still running of edges that were restarted
	inc := uint64(0)
	unknown := func() *holder {
		inc++
		n := &intern.Table{}
		return &holder{b: slots.New(n), inc: inc, ix: n.Index(runnerName)}
	}
	note := func() {
		// The runner reports what runs on it.
		load := left
		for _, e := range edges {
			load += len(e.taken)
		}
		assigner.observe(
			time.Now(),
			spec.Runner{Name: runnerName, Zone: "a"},
			&runnerapi.Report{Name: runnerName, State: runnerapi.Ready, Concurrency: bears, Load: load, UpMs: 60000},
			false,
		)
	}
	note()
	assigner.allReported = true
	ids := []string{"e1", "e2", "e3", "e4"}
	for range ids {
		edges = append(edges, unknown())
	}
	reported := map[int]bool{}
	for at, s := range plan {
		e := edges[s.edge]
		switch s.what {
		case 0, 1, 2, 3: // ask, perhaps with a late answer
			if e.truncated || e.epoch > assigner.epoch {
				break
			}
			asked := time.Now()
			a := assigner.Report(
				ids[s.edge],
				e.inc,
				&wire.Deal{Held: e.b.Report(), Waiting: map[string]int32{"": int32(s.n % 10)}},
				true,
			)
			time.Sleep(time.Duration(s.n%200) * time.Millisecond)
			e.epoch = a.Epoch
			e.b.Update(asked, time.Duration(a.TermMs)*time.Millisecond, a.Slots)
			if reported[s.edge] = true; len(reported) == len(edges) && !assigner.allReported {
				note()
				assigner.open()
			}
		case 4, 5:
			if k, _, ok := e.b.Acquire(e.ix, s.n%2 == 0); ok {
				e.taken = append(e.taken, k)
			}
		case 6:
			if len(e.taken) > 0 {
				e.b.Release(e.ix, "", e.taken[0])
				e.taken = e.taken[1:]
			} else if left > 0 {
				left--
			}
		case 7:
			e.truncated = !e.truncated
		case 8: // a new assigner that knows nothing; the old one has departed
			assigner = newDispatcher(assigner.epoch + 1)
			note()
			reported = map[int]bool{}
			*fired++
		case 10: // the edge is killed and starts anew; its jobs run on
			left += len(e.taken)
			edges[s.edge] = unknown()
		case 9:
			time.Sleep(time.Duration(s.n) * time.Millisecond)
		}
		if s.n%3 == 0 {
			note()
		}
		sum := left
		for _, e := range edges {
			sum += e.total()
		}
		if sum > bears {
			return fmt.Sprintf("after step %d the edges hold %d slots of a runner that bears %d", at, sum, bears)
		}
	}
	return ""
}

// TestWarmupDoubles: a runner that has just come up gets few, then more, and no
// more while it refuses.
func TestWarmupDoubles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		assigner := newDispatcher(1)
		rep := func(refused int64) int {
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
			if got := rep(0); got != w {
				t.Errorf("second %d: %d, want %d", i, got, w)
			}
			time.Sleep(time.Second)
		}
		assigner.observe(time.Now(), spec.Runner{Name: runnerName}, nil, true)
		if c := assigner.runners[runnerName].Limit; c != 0 {
			t.Errorf("gone, and still dealt %d", c)
		}
		if got := rep(3); got != 2 {
			t.Errorf("back, and dealt %d at once", got)
		}
		time.Sleep(time.Second)
		if got := rep(4); got != 2 {
			t.Errorf("it refuses, and is dealt %d", got)
		}
	})
}
