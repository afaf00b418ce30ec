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

// The tests in this file simulate a fleet of nodes that receive requests and report to the first
// node that they can reach. Nodes freeze, stop, start, and are partitioned from each other. The
// requests that all nodes admit are checked against the quota in every window.

const (
	simulationTick = 25 * time.Millisecond
	reportInterval = 250 * time.Millisecond
	tenantName     = "t"
)

// simulatedFleet is the fleet under test.
type simulatedFleet struct {
	t         *testing.T
	random    *rand.Rand
	nodes     []*simulatedNode
	limit     Limit
	loss      float64         // probability that a report or an answer is lost
	admitted  []time.Duration // when each request was admitted
	refused   int
	requested int
	startedAt time.Time
}

// simulatedNode is a node of the fleet under test.
type simulatedNode struct {
	id          string
	index       int
	group       int // nodes can only reach nodes in the same group
	incarnation uint64
	frozen      bool
	down        bool
	node        *Node
	collector   *Collector
	reportAt    time.Time
}

func newSimulatedFleet(t *testing.T, seed uint64, nodes int, limit Limit) *simulatedFleet {
	f := &simulatedFleet{t: t, random: rand.New(rand.NewPCG(seed, 0)), limit: limit, startedAt: time.Now()}
	for range nodes {
		f.join()
	}
	return f
}

// join adds a node to the fleet.
func (f *simulatedFleet) join() *simulatedNode {
	n := &simulatedNode{id: fmt.Sprintf("e%03d", len(f.nodes)), index: len(f.nodes)}
	f.nodes = append(f.nodes, n)
	f.start(n)
	return n
}

// start starts a new incarnation of a node, without the counts of the previous one.
func (f *simulatedFleet) start(n *simulatedNode) {
	n.incarnation++
	n.down = false
	n.node, n.collector = NewNode(DefaultParams), NewCollector(DefaultParams)
	n.reportAt = time.Now().Add(time.Duration(f.random.Int64N(int64(reportInterval))))
}

// reachable reports whether the node can receive reports of another node.
func (n *simulatedNode) reachable(from *simulatedNode) bool {
	return !n.down && !n.frozen && n.group == from.group
}

// report sends a node's counts to the first node that it can reach.
func (f *simulatedFleet) report(n *simulatedNode) {
	n.reportAt = n.reportAt.Add(reportInterval)
	var fleet Fleet
	for _, other := range f.nodes {
		fleet = append(fleet, other.id)
	}
	for _, to := range f.nodes {
		if !to.reachable(n) {
			continue
		}
		report, sentAt := n.node.Report(), time.Now()
		if f.random.Float64() < f.loss {
			return
		}
		limitOf := func(string) Limit { return f.limit }
		var answer *wire.QuotaNews
		for range 1 + f.random.IntN(2) {
			// Some reports are delivered twice.
			answer = to.collector.Collect(n.id, n.incarnation, report, fleet, limitOf)
		}
		if f.random.Float64() < f.loss {
			return
		}
		n.node.Merge(report, sentAt, answer)
		return
	}
}

// run simulates the duration d while the tenant sends ratePerS requests per second to the nodes of
// the given groups, or to all nodes if there are none.
func (f *simulatedFleet) run(d time.Duration, ratePerS float64, groups ...int) {
	due := 0.0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(simulationTick) {
		for _, n := range f.nodes {
			if !n.down && !n.frozen && !time.Now().Before(n.reportAt) {
				f.report(n)
			}
		}
		for due += ratePerS * simulationTick.Seconds(); due >= 1; due-- {
			f.sendRequest(groups)
		}
	}
}

// sendRequest sends one request to a random node of the given groups.
func (f *simulatedFleet) sendRequest(groups []int) {
	var candidates []*simulatedNode
	for _, n := range f.nodes {
		if !n.down && !n.frozen && (len(groups) == 0 || slices.Contains(groups, n.group)) {
			candidates = append(candidates, n)
		}
	}
	if len(candidates) == 0 {
		return
	}
	f.requested++
	if candidates[f.random.IntN(len(candidates))].node.Admit(Request{Tenant: tenantName, Limit: f.limit}).Admitted {
		f.admitted = append(f.admitted, time.Since(f.startedAt))
	} else {
		f.refused++
	}
}

// settle runs without requests until all nodes have exchanged counts and one window has passed.
func (f *simulatedFleet) settle() {
	f.run(DefaultParams.Window+time.Second, 0)
	f.refused, f.requested = 0, 0
}

// check fails the test if any window contains more requests than the limit allows.
func (f *simulatedFleet) check(scenario string, limit Limit) {
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
		f.t.Errorf("%s: %d requests in a window, %.0f are allowed", scenario, worst, allowed)
	}
}

// testLimits are the limits of a large, a medium and a small tenant.
var testLimits = []Limit{{324, 324}, {30, 30}, {5, 5}}

// forEachLimit runs a test with each limit and several seeds.
func forEachLimit(t *testing.T, test func(*testing.T, *simulatedFleet)) {
	for _, limit := range testLimits {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%v per s, seed %d", limit.RatePerS, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newSimulatedFleet(t, seed, 48, limit)
					f.settle()
					test(t, f)
				})
			})
		}
	}
}

// usualRate returns the request rate of a tenant under normal load, well below its limit.
func (f *simulatedFleet) usualRate() float64 { return f.limit.RatePerS / 1.6 }

// TestQuotaUsual checks that a tenant within its quota is not refused, even if its rate varies.
func TestQuotaUsual(t *testing.T) {
	forEachLimit(t, func(t *testing.T, f *simulatedFleet) {
		for range 5 {
			f.run(4*time.Second, f.usualRate()*1.3)
			f.run(4*time.Second, f.usualRate()*0.7)
		}
		f.check("usual", f.limit)
		if f.refused > 0 {
			t.Errorf("%d of %d requests refused inside the quota", f.refused, f.requested)
		}
	})
}

// TestQuotaHot checks that a tenant that sends a multiple of its usual rate gets its full quota, and
// no more.
func TestQuotaHot(t *testing.T) {
	forEachLimit(t, func(t *testing.T, f *simulatedFleet) {
		f.run(10*time.Second, f.usualRate())
		before := len(f.admitted)
		f.run(15*time.Second, 7.5*f.usualRate())
		f.check("overload", f.limit)
		if got, want := float64(len(f.admitted)-before), 0.85*f.limit.RatePerS*15; got < want {
			t.Errorf("%.0f requests admitted in 15 s, want %.0f", got, want)
		}
		f.refused, f.requested = 0, 0
		f.run(6*time.Second, 0)
		f.run(10*time.Second, f.usualRate())
		if f.refused > f.requested/100 {
			t.Errorf("%d of %d requests refused after the overload", f.refused, f.requested)
		}
	})
}

// TestQuotaPartition checks the quota while a zone is partitioned for 12 s and a tenant exceeds its
// quota on both sides. The zone contains the collector in one case.
func TestQuotaPartition(t *testing.T) {
	for _, partitioned := range []struct{ from, to int }{{0, 16}, {32, 48}} {
		forEachLimit(t, func(t *testing.T, f *simulatedFleet) {
			f.run(6*time.Second, f.usualRate())
			for _, n := range f.nodes[partitioned.from:partitioned.to] {
				n.group = 1
			}
			f.run(2*time.Second, f.usualRate())
			if f.refused > f.requested/8 {
				t.Errorf("%d of %d requests refused at the usual rate", f.refused, f.requested)
			}
			f.run(10*time.Second, 5*f.usualRate())
			for _, n := range f.nodes {
				n.group = 0
			}
			f.run(8*time.Second, 5*f.usualRate())
			f.check("partition", f.limit)
		})
	}
}

// TestQuotaAlone checks the quota while two nodes are isolated from all others and still receive
// requests of a tenant over its quota.
func TestQuotaAlone(t *testing.T) {
	forEachLimit(t, func(_ *testing.T, f *simulatedFleet) {
		f.run(6*time.Second, f.usualRate())
		f.nodes[20].group, f.nodes[40].group = 1, 2
		for range 10 {
			f.run(250*time.Millisecond, 5*f.usualRate())
			f.run(250*time.Millisecond, 5*f.usualRate(), 1, 2)
		}
		f.check("alone", f.limit)
	})
}

// TestQuotaFrozen checks the quota while the collector and another node freeze for 20 s and resume
// while a tenant is over its quota.
func TestQuotaFrozen(t *testing.T) {
	forEachLimit(t, func(_ *testing.T, f *simulatedFleet) {
		f.run(6*time.Second, 4*f.usualRate())
		f.nodes[0].frozen, f.nodes[1].frozen = true, true
		f.run(20*time.Second, 4*f.usualRate())
		f.nodes[0].frozen, f.nodes[1].frozen = false, false
		f.run(8*time.Second, 4*f.usualRate())
		f.check("frozen", f.limit)
	})
}

// TestQuotaEnds checks the quota while the collector and then other nodes restart one after the
// other, losing their counts, while a tenant is over its quota.
func TestQuotaEnds(t *testing.T) {
	forEachLimit(t, func(_ *testing.T, f *simulatedFleet) {
		f.run(6*time.Second, 4*f.usualRate())
		for i := range 6 {
			f.nodes[i].down = true
			f.run(time.Second, 4*f.usualRate())
			f.start(f.nodes[i])
			f.run(500*time.Millisecond, 4*f.usualRate())
		}
		f.check("ends", f.limit)
	})
}

// TestQuotaAllEnd checks the quota when all nodes are killed within a window and restart within a
// second, so that all counts are lost. Most requests of a tenant at its usual rate must be admitted
// immediately afterwards.
func TestQuotaAllEnd(t *testing.T) {
	for _, multiple := range []float64{1, 4} {
		forEachLimit(t, func(t *testing.T, f *simulatedFleet) {
			f.run(6*time.Second, multiple*f.usualRate())
			for _, n := range f.nodes {
				n.down = true
			}
			f.run(time.Second, 0)
			for _, n := range f.nodes {
				f.start(n)
			}
			f.run(500*time.Millisecond, 0)
			f.refused, f.requested = 0, 0
			f.run(10*time.Second, multiple*f.usualRate())
			f.check("all end", f.limit)
			if multiple == 1 && f.refused > f.requested/10 {
				t.Errorf("%d of %d requests refused at the usual rate", f.refused, f.requested)
			}
		})
	}
}

// TestQuotaJoin checks the quota while nodes join, reports are lost and a tenant is over its quota.
func TestQuotaJoin(t *testing.T) {
	forEachLimit(t, func(_ *testing.T, f *simulatedFleet) {
		f.loss = 0.1
		f.run(6*time.Second, 4*f.usualRate())
		for range 8 {
			f.join()
			f.run(time.Second, 4*f.usualRate())
		}
		f.check("join", f.limit)
	})
}

// TestQuotaLowered checks that a lowered limit is enforced after one window, and a raised one
// immediately.
func TestQuotaLowered(t *testing.T) {
	forEachLimit(t, func(t *testing.T, f *simulatedFleet) {
		f.run(8*time.Second, 2*f.limit.RatePerS)
		original := f.limit
		f.limit = Limit{f.limit.RatePerS / 4, f.limit.Burst / 4}
		f.run(DefaultParams.Window, 2*original.RatePerS)
		f.admitted = nil
		f.run(8*time.Second, 2*original.RatePerS)
		f.check("lowered", f.limit)
		f.limit = original
		f.settle()
		f.run(3*time.Second, f.usualRate())
		if f.refused > 0 {
			t.Errorf("%d of %d requests refused under the raised limit", f.refused, f.requested)
		}
	})
}

// TestQuotaOthersEnd checks the quota when all nodes but the collector restart within a window in
// which a tenant has used up its burst. The collector must keep the counts of their previous
// incarnations.
func TestQuotaOthersEnd(t *testing.T) {
	forEachLimit(t, func(_ *testing.T, f *simulatedFleet) {
		f.run(2500*time.Millisecond, 7.5*f.usualRate())
		for _, n := range f.nodes[1:] {
			n.down = true
		}
		f.run(500*time.Millisecond, 0)
		for _, n := range f.nodes[1:] {
			f.start(n)
		}
		f.run(6*time.Second, 7.5*f.usualRate())
		f.check("others end", f.limit)
	})
}
