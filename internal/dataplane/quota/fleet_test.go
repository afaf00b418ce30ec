package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/proto/wire"
)

// A model of a fleet: nodes that are asked for requests, report to the first node that they
// reach, freeze, end, start and are cut off from each other. What all of them admit is held
// against the quota in every window.

const (
	modelTick     = 25 * time.Millisecond
	modelInterval = 250 * time.Millisecond
	tenantName    = "t"
)

// modelFleet is the fleet under test.
type modelFleet struct {
	t         *testing.T
	random    *rand.Rand
	nodes     []*modelNode
	limit     Limit
	loss      float64         // share of reports and of answers that are lost
	admitted  []time.Duration // when each request was admitted
	refused   int
	asked     int
	startedAt time.Time
}

type modelNode struct {
	id          string
	index       int
	group       int // nodes reach those of their group only
	incarnation uint64
	frozen      bool
	down        bool
	node        *Node
	collector   *Collector
	reportAt    time.Time
}

func newModelFleet(t *testing.T, seed uint64, nodes int, limit Limit) *modelFleet {
	f := &modelFleet{t: t, random: rand.New(rand.NewPCG(seed, 0)), limit: limit, startedAt: time.Now()}
	for range nodes {
		f.join()
	}
	return f
}

func (f *modelFleet) join() *modelNode {
	n := &modelNode{id: fmt.Sprintf("e%03d", len(f.nodes)), index: len(f.nodes)}
	f.nodes = append(f.nodes, n)
	f.start(n)
	return n
}

// start gives a node a new start, which knows nothing of the one before.
func (f *modelFleet) start(n *modelNode) {
	n.incarnation++
	n.down = false
	n.node, n.collector = NewNode(DefaultParams), NewCollector(DefaultParams)
	n.reportAt = time.Now().Add(time.Duration(f.random.Int64N(int64(modelInterval))))
}

func (n *modelNode) reachable(from *modelNode) bool {
	return !n.down && !n.frozen && n.group == from.group
}

// report sends a node's counts to the first node in order that it reaches.
func (f *modelFleet) report(n *modelNode) {
	n.reportAt = n.reportAt.Add(modelInterval)
	var fleet Fleet
	for _, other := range f.nodes {
		fleet = append(fleet, other.id)
	}
	for _, to := range f.nodes {
		if !to.reachable(n) {
			continue
		}
		report, at := n.node.Report(), time.Now()
		if f.random.Float64() < f.loss {
			return
		}
		limitOf := func(string) Limit { return f.limit }
		var news *wire.QuotaNews
		for range 1 + f.random.IntN(2) {
			// Some reports come twice.
			news = to.collector.Collect(n.id, n.incarnation, report, fleet, limitOf)
		}
		if f.random.Float64() < f.loss {
			return
		}
		n.node.Merge(report, at, news)
		return
	}
}

// play lets time pass while the tenant sends so many requests a second, to the nodes of some
// groups.
func (f *modelFleet) play(d time.Duration, perS float64, groups ...int) {
	due := 0.0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(modelTick) {
		for _, n := range f.nodes {
			if !n.down && !n.frozen && !time.Now().Before(n.reportAt) {
				f.report(n)
			}
		}
		for due += perS * modelTick.Seconds(); due >= 1; due-- {
			f.ask(groups)
		}
	}
}

func (f *modelFleet) ask(groups []int) {
	var able []*modelNode
	for _, n := range f.nodes {
		if !n.down && !n.frozen && (len(groups) == 0 || slices.Contains(groups, n.group)) {
			able = append(able, n)
		}
	}
	if len(able) == 0 {
		return
	}
	f.asked++
	if able[f.random.IntN(len(able))].node.Admit(Request{Tenant: tenantName, Limit: f.limit}).Admitted {
		f.admitted = append(f.admitted, time.Since(f.startedAt))
	} else {
		f.refused++
	}
}

// settle lets all nodes hear each other, and a window pass.
func (f *modelFleet) settle() {
	f.play(DefaultParams.Window+time.Second, 0)
	f.refused, f.asked = 0, 0
}

// check holds every window against the quota, by the limit that was in force.
func (f *modelFleet) check(what string, limit Limit) {
	f.t.Helper()
	p := DefaultParams
	allowed := (limit.RatePerS*p.Window.Seconds()+limit.Burst)*(1+p.Excess) + p.Slack
	worst, first := 0, 0
	for last, at := range f.admitted {
		for at-f.admitted[first] >= p.Window {
			first++
		}
		worst = max(worst, last-first+1)
	}
	if float64(worst) > allowed {
		f.t.Errorf("%s: %d requests in a window, %.0f are allowed", what, worst, allowed)
	}
}

// limits of a large tenant, a middling one and a small one.
var modelLimits = []Limit{{324, 324}, {30, 30}, {5, 5}}

func eachLimit(t *testing.T, do func(*testing.T, *modelFleet)) {
	for _, limit := range modelLimits {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%v per s, seed %d", limit.RatePerS, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newModelFleet(t, seed, 48, limit)
					f.settle()
					do(t, f)
				})
			})
		}
	}
}

// usual is the rate of a tenant that sends as much as it mostly does.
func (f *modelFleet) usual() float64 { return f.limit.RatePerS / 1.6 }

// TestQuotaUsual: a tenant inside its quota is not refused, also where its traffic swings.
func TestQuotaUsual(t *testing.T) {
	eachLimit(t, func(t *testing.T, f *modelFleet) {
		for range 5 {
			f.play(4*time.Second, f.usual()*1.3)
			f.play(4*time.Second, f.usual()*0.7)
		}
		f.check("usual", f.limit)
		if f.refused > 0 {
			t.Errorf("%d of %d requests refused inside the quota", f.refused, f.asked)
		}
	})
}

// TestQuotaHot: a tenant that sends many times its usual gets its quota, and no more.
func TestQuotaHot(t *testing.T) {
	eachLimit(t, func(t *testing.T, f *modelFleet) {
		f.play(10*time.Second, f.usual())
		before := len(f.admitted)
		f.play(15*time.Second, 7.5*f.usual())
		f.check("hot", f.limit)
		if got, want := float64(len(f.admitted)-before), 0.85*f.limit.RatePerS*15; got < want {
			t.Errorf("%.0f requests admitted in 15 s, want %.0f", got, want)
		}
		f.refused, f.asked = 0, 0
		f.play(6*time.Second, 0)
		f.play(10*time.Second, f.usual())
		if f.refused > f.asked/100 {
			t.Errorf("%d of %d requests refused after it", f.refused, f.asked)
		}
	})
}

// TestQuotaPartition: a zone is cut off for 12 s while a tenant is hot on both sides, and the
// collector is on one of them.
func TestQuotaPartition(t *testing.T) {
	for _, cut := range []struct{ from, to int }{{0, 16}, {32, 48}} {
		eachLimit(t, func(t *testing.T, f *modelFleet) {
			f.play(6*time.Second, f.usual())
			for _, n := range f.nodes[cut.from:cut.to] {
				n.group = 1
			}
			f.play(2*time.Second, f.usual())
			if f.refused > f.asked/8 {
				t.Errorf("%d of %d requests refused at the usual rate", f.refused, f.asked)
			}
			f.play(10*time.Second, 5*f.usual())
			for _, n := range f.nodes {
				n.group = 0
			}
			f.play(8*time.Second, 5*f.usual())
			f.check("partition", f.limit)
		})
	}
}

// TestQuotaAlone: two nodes are cut off from all others, and a hot tenant's callers reach them.
func TestQuotaAlone(t *testing.T) {
	eachLimit(t, func(_ *testing.T, f *modelFleet) {
		f.play(6*time.Second, f.usual())
		f.nodes[20].group, f.nodes[40].group = 1, 2
		for range 10 {
			f.play(250*time.Millisecond, 5*f.usual())
			f.play(250*time.Millisecond, 5*f.usual(), 1, 2)
		}
		f.check("alone", f.limit)
	})
}

// TestQuotaFrozen: the collector and the busiest node freeze for 20 s and wake up into a hot
// tenant.
func TestQuotaFrozen(t *testing.T) {
	eachLimit(t, func(_ *testing.T, f *modelFleet) {
		f.play(6*time.Second, 4*f.usual())
		f.nodes[0].frozen, f.nodes[1].frozen = true, true
		f.play(20*time.Second, 4*f.usual())
		f.nodes[0].frozen, f.nodes[1].frozen = false, false
		f.play(8*time.Second, 4*f.usual())
		f.check("frozen", f.limit)
	})
}

// TestQuotaEnds: the collector ends with its counts in the midst of a hot spell, and one node
// after the other does.
func TestQuotaEnds(t *testing.T) {
	eachLimit(t, func(_ *testing.T, f *modelFleet) {
		f.play(6*time.Second, 4*f.usual())
		for i := range 6 {
			f.nodes[i].down = true
			f.play(time.Second, 4*f.usual())
			f.start(f.nodes[i])
			f.play(500*time.Millisecond, 4*f.usual())
		}
		f.check("ends", f.limit)
	})
}

// TestQuotaAllEnd: all nodes are killed in the midst of a window and come back within a second;
// nobody knows any counts. A tenant at its usual rate is served again at once, mostly.
func TestQuotaAllEnd(t *testing.T) {
	for _, times := range []float64{1, 4} {
		eachLimit(t, func(t *testing.T, f *modelFleet) {
			f.play(6*time.Second, times*f.usual())
			for _, n := range f.nodes {
				n.down = true
			}
			f.play(time.Second, 0)
			for _, n := range f.nodes {
				f.start(n)
			}
			f.play(500*time.Millisecond, 0)
			f.refused, f.asked = 0, 0
			f.play(10*time.Second, times*f.usual())
			f.check("all end", f.limit)
			if times == 1 && f.refused > f.asked/10 {
				t.Errorf("%d of %d requests refused at the usual rate", f.refused, f.asked)
			}
		})
	}
}

// TestQuotaJoin: nodes join while a tenant is hot, and reports are lost.
func TestQuotaJoin(t *testing.T) {
	eachLimit(t, func(_ *testing.T, f *modelFleet) {
		f.loss = 0.1
		f.play(6*time.Second, 4*f.usual())
		for range 8 {
			f.join()
			f.play(time.Second, 4*f.usual())
		}
		f.check("join", f.limit)
	})
}

// TestQuotaLowered: a lowered limit holds from one window after it is in force; a raised one
// at once.
func TestQuotaLowered(t *testing.T) {
	eachLimit(t, func(t *testing.T, f *modelFleet) {
		f.play(8*time.Second, 2*f.limit.RatePerS)
		raised := f.limit
		f.limit = Limit{f.limit.RatePerS / 4, f.limit.Burst / 4}
		f.play(DefaultParams.Window, 2*raised.RatePerS)
		f.admitted = nil
		f.play(8*time.Second, 2*raised.RatePerS)
		f.check("lowered", f.limit)
		f.limit = raised
		f.settle()
		f.play(3*time.Second, f.usual())
		if f.refused > 0 {
			t.Errorf("%d of %d requests refused under the raised limit", f.refused, f.asked)
		}
	})
}

// TestQuotaOthersEnd: all nodes but the collector end within a window in which a tenant used up
// its burst, and come back; the collector knows what their former starts have admitted.
func TestQuotaOthersEnd(t *testing.T) {
	eachLimit(t, func(_ *testing.T, f *modelFleet) {
		f.play(2500*time.Millisecond, 7.5*f.usual())
		for _, n := range f.nodes[1:] {
			n.down = true
		}
		f.play(500*time.Millisecond, 0)
		for _, n := range f.nodes[1:] {
			f.start(n)
		}
		f.play(6*time.Second, 7.5*f.usual())
		f.check("others end", f.limit)
	})
}
