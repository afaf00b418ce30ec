package proxytest_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/dataplane/balancing/endpoints"
	"damsontiller/internal/dataplane/balancing/loadreport"
	"damsontiller/internal/dataplane/edge"
	"damsontiller/internal/dataplane/quota"
	"damsontiller/internal/dataplane/request/proxy"
	"damsontiller/internal/kit/proxytest"
	"damsontiller/internal/kit/sim"
	"damsontiller/internal/transport/loop"
)

// evening is jobs from three edges that tell one another how the runners do.
type evening struct {
	t    *testing.T
	bs   []*proxytest.Backend
	rigs []*rig
	sim  *sim.Sim

	mu   sync.Mutex
	all  int
	bad  int
	sent map[string]int // jobs that ran, by runner
	took time.Duration
}

// runners of the evening.
const runners = 12

func inEvening(t *testing.T, do func(t *testing.T, e *evening)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		e := &evening{t: t, bs: farm(runners, func(p *proxytest.Params) {
			p.Work, p.Pace, p.Health = 20*time.Millisecond, 5*time.Millisecond, "/health"
		})}
		var tallies []*loadreport.LoadReport
		var exchanges []*quota.Exchange
		s, err := sim.New(
			sim.Params{Deploy: "../../../deploy/andina", Seed: 1, Edges: 3, Edge: func(_ string, x *edge.Edge) {
				quotas := quota.NewNode(quota.DefaultParams)
				collector := quota.NewCollector(quota.DefaultParams)
				exchanges = append(exchanges, quota.NewExchange(quota.DefaultExchange, x.Node, quotas, collector))
				r := newRig(t, e.bs, proxy.NewQuotas(quotas, quota.DefaultParams))
				e.rigs = append(e.rigs, r)
				report := loadreport.New(loadreport.DefaultParams, x.Node, r.endpoints, r.load)
				tallies = append(tallies, report)
			}},
		)
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Start(ctx); err != nil {
			t.Fatal(err)
		}
		e.sim = s
		var all []endpoints.Runner
		for _, b := range e.bs {
			all = append(all, endpoints.Runner{ID: b.P.ID, Service: "svc", Addr: b.P.Addr, Zone: "a", Capacity: 8})
		}
		var wg sync.WaitGroup
		for _, x := range tallies {
			wg.Go(func() {
				x.Run(
					ctx,
					func(context.Context) ([]endpoints.Runner, error) { return append([]endpoints.Runner(nil), all...), nil },
				)
			})
		}
		for _, x := range exchanges {
			wg.Go(func() { x.Run(ctx) })
		}
		loop.Wait(ctx, 2*time.Second)
		do(t, e)
		stop()
		wg.Wait()
		for _, r := range e.rigs {
			r.backends = nil
			r.stop()
		}
		for _, b := range e.bs {
			if b.Asked() > 0 {
				t.Errorf("%s was asked for its health", b.P.ID)
			}
			b.Stop()
		}
		s.Stop()
	})
}

// play sends jobs of a kind at each edge for a while, and counts anew.
func (e *evening) play(kind string, d time.Duration) {
	e.mu.Lock()
	e.all, e.bad, e.took = 0, 0, 0
	e.mu.Unlock()
	before := e.runs()
	var wg sync.WaitGroup
	for n, r := range e.rigs {
		rnd := rand.New(rand.NewPCG(7, uint64(n)))
		wg.Go(func() {
			for end := time.Now().Add(d); time.Now().Before(end); {
				// Thirty jobs a second of each edge.
				time.Sleep(time.Duration(rnd.ExpFloat64() * float64(time.Second) / 30))
				wg.Go(func() {
					x := r.ask(kind+"x", "", try(fmt.Sprintf("e%d-%d", n, r.n.Add(1))))
					e.mu.Lock()
					defer e.mu.Unlock()
					e.all++
					e.took += x.took
					if x.status != 200 || x.truncated {
						e.bad++
					}
				})
			}
		})
	}
	wg.Wait()
	e.sent = e.runs()
	for id, n := range before {
		e.sent[id] -= n
	}
}

func (e *evening) runs() map[string]int {
	out := map[string]int{}
	for _, b := range e.bs {
		out[b.P.ID] = len(b.Runs())
	}
	return out
}

func (e *evening) ejected() int {
	n := 0
	for _, r := range e.rigs {
		n = max(n, len(r.load.Watch.Ejected()))
	}
	return n
}

// portion is what one runner got in times of its even share.
func (e *evening) portion(i int) float64 {
	return float64(e.sent[e.bs[i].P.ID]) * runners / float64(max(e.all, 1))
}

// TestOutliers brings each lasting fault about at one runner of twelve: it is left
// soon, by what becomes of jobs alone, and is used again once it is well.
func TestOutliers(t *testing.T) {
	for _, tc := range []struct {
		name    string
		f       proxytest.Fault
		x       float64
		kind    string
		bad     float64 // the most that may fail in the second half
		portion float64 // of its share that it gets then
	}{
		{"slow", proxytest.SlowBy, 6, once, 0, 0.25},
		{"slow-stream", proxytest.SlowBy, 6, stream, 0, 0.25},
		{"grey", proxytest.Grey, 0.34, once, 0.01, 0.4},
		{"grey-stream", proxytest.Grey, 0.34, stream, 0.01, 0.4},
		{"grey-repeatable", proxytest.Grey, 0.34, repeatable, 0.007, 0.4},
		{"lies-well", proxytest.Lies, 1, once, 0.01, 0.15},
		{"flaps", proxytest.Flaps, 0.9, once, 0.01, 0.2},
		{"flaps-slowly", proxytest.Flaps, 3, once, 0.01, 0.25},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inEvening(t, func(t *testing.T, e *evening) {
				e.play(tc.kind, 10*time.Second)
				if e.bad > 0 || e.ejected() > 0 {
					t.Errorf("a healthy fleet: %d of %d failed, %d ejected", e.bad, e.all, e.ejected())
				}
				e.bs[4].InjectFault(tc.f, tc.x)
				e.play(tc.kind, 3*time.Second)
				first := float64(e.bad) / float64(e.all)
				e.play(tc.kind, 10*time.Second)
				bad, portion := float64(e.bad)/float64(e.all), e.portion(4)
				t.Logf(
					"%.2f%% failed in the first 3 s, %.2f%% later, it got %.2f of its share",
					100*first,
					100*bad,
					portion,
				)
				if bad > tc.bad || portion > tc.portion {
					t.Errorf("%.2f%% failed, it got %.2f of its share", 100*bad, portion)
				}
				e.bs[4].InjectFault(proxytest.None, 0)
				well := time.Now()
				for e.play(tc.kind, 100*time.Millisecond); e.ejected() > 0; {
					e.play(tc.kind, 100*time.Millisecond)
				}
				// Three edges ask seldom, and work that may run once is tried late.
				if back := time.Since(well); back > 6500*time.Millisecond {
					t.Errorf("back %s after it was well", back)
				}
				// A slow one comes back as the seconds in which it was slow go by.
				e.play(tc.kind, 10*time.Second)
				e.play(tc.kind, 10*time.Second)
				if portion := e.portion(4); e.ejected() > 0 || portion < 0.6 || e.bad > 0 {
					t.Errorf(
						"after it is well: %d ejected, it gets %.2f of its share, %d failed",
						e.ejected(),
						portion,
						e.bad,
					)
				}
			})
		})
	}
}

// TestHealthUnheard: a runner in order that says it is ill is used as any other.
func TestHealthUnheard(t *testing.T) {
	inEvening(t, func(t *testing.T, e *evening) {
		e.bs[4].InjectFault(proxytest.Lies, 0)
		e.play(once, 5*time.Second)
		if e.bad > 0 || e.ejected() > 0 || e.portion(4) < 0.6 {
			t.Errorf("%d failed, %d ejected, it got %.2f of its share", e.bad, e.ejected(), e.portion(4))
		}
	})
}

// TestAllAlike: where all fail a part of their jobs, none is ejected for it.
func TestAllAlike(t *testing.T) {
	inEvening(t, func(t *testing.T, e *evening) {
		for _, b := range e.bs[:8] {
			b.InjectFault(proxytest.Grey, 0.054)
		}
		e.play(once, 10*time.Second)
		if e.ejected() > 0 {
			t.Errorf("%d ejected", e.ejected())
		}
		for _, b := range e.bs {
			b.InjectFault(proxytest.Lies, 1)
		}
		e.play(once, 5*time.Second)
		for _, b := range e.bs {
			b.InjectFault(proxytest.None, 0)
		}
		e.play(once, 5*time.Second)
		e.play(once, 2*time.Second)
		if e.bad > 0 {
			t.Errorf("%d of %d failed after all were well", e.bad, e.all)
		}
	})
}
