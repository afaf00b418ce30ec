package sim_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/dataplane/balancing/endpoints"
	"damsontiller/internal/dataplane/balancing/loadreport"
	"damsontiller/internal/dataplane/edge"
	"damsontiller/internal/dataplane/request/proxy"
	"damsontiller/internal/kit/sim"
)

// clerk is an edge's load report with what it rests on.
type clerk struct {
	t         *loadreport.LoadReport
	endpoints *endpoints.Store
	load      *proxy.Load
	reads     int
}

// tallied runs a fleet whose every edge has a load report over one list of runners.
func tallied(
	t *testing.T,
	do func(ctx context.Context, s *sim.Sim, cs map[string]*clerk, list *[]endpoints.Runner, fail *bool),
) {
	talliedBy(t, 3, loadreport.DefaultParams, do)
}

func talliedBy(
	t *testing.T,
	edges int,
	params loadreport.Params,
	do func(ctx context.Context, s *sim.Sim, cs map[string]*clerk, list *[]endpoints.Runner, fail *bool),
) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		cs := map[string]*clerk{}
		list := []endpoints.Runner{
			{ID: "i-1", Service: "m", Addr: "127.0.0.1:1", Zone: "a", Capacity: 4},
			{ID: "i-2", Service: "m", Addr: "127.0.0.1:2", Zone: "b", Capacity: 4, WarmupRemainingMs: 2300},
		}
		fail := false
		s, err := sim.New(
			sim.Params{Deploy: "../../../deploy/andina", Seed: 3, Edges: edges, Edge: func(id string, e *edge.Edge) {
				c := &clerk{endpoints: endpoints.New(), load: proxy.NewLoad()}
				c.t = loadreport.New(params, e.Node, c.endpoints, c.load)
				mu.Lock()
				cs[id] = c
				mu.Unlock()
			}},
		)
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(t.Context())
		if err := s.Start(ctx); err != nil {
			t.Fatal(err)
		}
		tctx, tstop := context.WithCancel(ctx)
		var wg sync.WaitGroup
		for _, c := range cs {
			wg.Go(func() {
				c.t.Run(tctx, func(context.Context) ([]endpoints.Runner, error) {
					// A list of some pages takes a while.
					time.Sleep(50 * time.Millisecond)
					mu.Lock()
					defer mu.Unlock()
					c.reads++
					if fail {
						return nil, errors.New("the list does not come")
					}
					return append([]endpoints.Runner(nil), list...), nil
				})
			})
		}
		time.Sleep(3 * time.Second)
		do(ctx, s, cs, &list, &fail)
		tstop()
		wg.Wait()
		stop()
		s.Stop()
	})
}

// TestLoadReport: one edge reads the list for all, each hears what the others have under
// way, and a change of the list is everywhere within the time that draining leaves.
func TestLoadReport(t *testing.T) {
	tallied(t, func(_ context.Context, _ *sim.Sim, cs map[string]*clerk, list *[]endpoints.Runner, _ *bool) {
		readers := 0
		for id, c := range cs {
			if c.reads > 2 {
				readers++
			}
			if len(c.endpoints.Current().Runners) != 2 {
				t.Errorf("%s has %d runners", id, len(c.endpoints.Current().Runners))
			}
			// A warming runner is never taken for warm sooner than it says.
			if r := c.endpoints.Current().Get("i-2"); r == nil ||
				time.Duration(r.WarmupRemainingMs)*time.Millisecond < 2300*time.Millisecond {
				t.Errorf("%s: fresh for %+v", id, r)
			}
		}
		if readers != 1 {
			t.Errorf("%d edges read the list all the time, want 1", readers)
		}
		_, out := cs["e2"].load.Begin("i-1", 10)
		_, out2 := cs["e3"].load.Begin("i-1", 5)
		time.Sleep(600 * time.Millisecond)
		for id, want := range map[string]int{"e1": 2, "e2": 2, "e3": 2} {
			if n := cs[id].load.InFlight()["i-1"]; n != want {
				t.Errorf("%s counts %d jobs, want %d", id, n, want)
			}
		}
		out()
		out2()
		(*list)[0].Draining = true
		time.Sleep(1500 * time.Millisecond)
		for id, c := range cs {
			if !c.endpoints.Current().Get("i-1").Draining {
				t.Errorf("%s does not know after 1.5 s that the runner leaves", id)
			}
			if n := c.load.InFlight()["i-1"]; n != 0 {
				t.Errorf("%s still counts %d jobs", id, n)
			}
		}
	})
}

// TestListReadsBounded: many edges that start together don't all ask the platform for the list,
// nor when the one that reads it for them freezes: the platform takes only so many calls from
// all nodes together, and what it refuses is a node without runners.
func TestListReadsBounded(t *testing.T) {
	const edges, most = 24, 8
	talliedBy(t, edges, loadreport.DefaultParams, func(_ context.Context, s *sim.Sim, cs map[string]*clerk, _ *[]endpoints.Runner, _ *bool) {
		check := func(what string) {
			t.Helper()
			readers := 0
			for id, c := range cs {
				if c.reads > 0 {
					readers++
				}
				if age := time.Since(c.endpoints.Current().ReadAt); age > 2800*time.Millisecond && id != "e1" {
					t.Errorf("%s: the list of %s is %s old", what, id, age)
				}
				c.reads = 0
			}
			if readers > most {
				t.Errorf("%s: %d edges read the list, want %d at the most", what, readers, most)
			}
		}
		check("start")
		s.Freeze("e1")
		defer s.Thaw("e1")
		time.Sleep(8 * time.Second)
		check("the reader is frozen")
	})
}

// TestLoadReportAlone: an edge that reaches nobody reads the list itself, before what it
// has is older than draining allows; so do all where the one that counts has departed.
func TestLoadReportAlone(t *testing.T) {
	tallied(t, func(_ context.Context, s *sim.Sim, cs map[string]*clerk, _ *[]endpoints.Runner, _ *bool) {
		before := cs["e3"].reads
		s.Partition([]string{"e3"}, s.Rest("e3"), true)
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			if age := time.Since(cs["e3"].endpoints.Current().ReadAt); age > 2800*time.Millisecond {
				t.Fatalf("its list is %s old", age)
			}
		}
		if cs["e3"].reads == before {
			t.Error("cut off, it never read the list")
		}
		s.Partition([]string{"e3"}, s.Rest("e3"), false)
		s.Freeze("e1")
		defer s.Thaw("e1")
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			for _, id := range []string{"e2", "e3"} {
				if age := time.Since(cs[id].endpoints.Current().ReadAt); age > 2800*time.Millisecond {
					t.Fatalf("%s: its list is %s old with the counter frozen", id, age)
				}
			}
		}
	})
}

// TestLoadReportNoList: while the list does not come, everybody keeps the one he has.
func TestLoadReportNoList(t *testing.T) {
	tallied(t, func(_ context.Context, _ *sim.Sim, cs map[string]*clerk, _ *[]endpoints.Runner, fail *bool) {
		*fail = true
		time.Sleep(10 * time.Second)
		for id, c := range cs {
			if len(c.endpoints.Current().Runners) != 2 {
				t.Errorf("%s has %d runners left", id, len(c.endpoints.Current().Runners))
			}
		}
		*fail = false
		time.Sleep(2 * time.Second)
		for id, c := range cs {
			if age := time.Since(c.endpoints.Current().ReadAt); age > 2*time.Second {
				t.Errorf("%s: its list is %s old", id, age)
			}
		}
	})
}

// TestLoadReportByZone: in a fleet of many edges each zone has a collector, and the collectors
// exchange their sums. One collector for all was asked by 255 edges, four times a second each,
// for answers that grow with the runners: several times what an edge's link and processor bear,
// so that reports were lost, loads were unknown and each edge read the list of runners itself.
// Every edge hears of the load in every zone, one reads the list for all, none answers more than
// its zone's edges; and the end of one zone's collector costs the others nothing.
func TestLoadReportByZone(t *testing.T) {
	params := loadreport.DefaultParams
	params.SingleCollector = 6
	talliedBy(t, 24, params, func(_ context.Context, s *sim.Sim, cs map[string]*clerk, list *[]endpoints.Runner, _ *bool) {
		jobs := 0
		for _, c := range cs {
			c.load.Begin("i-1", 10)
			jobs++
		}
		check := func(what string, want int) {
			t.Helper()
			for id, c := range cs {
				if n := c.load.InFlight()["i-1"]; n != want {
					t.Errorf("%s: %s counts %d jobs, want %d", what, id, n, want)
				}
			}
		}
		time.Sleep(1500 * time.Millisecond)
		check("all", jobs)
		(*list)[0].Draining = true
		time.Sleep(1900 * time.Millisecond)
		for id, c := range cs {
			if !c.endpoints.Current().Get("i-1").Draining {
				t.Errorf("%s does not know after 1.9 s that the runner leaves", id)
			}
			c.reads = 0
		}
		time.Sleep(5 * time.Second)
		readers := 0
		for _, c := range cs {
			if c.reads > 0 {
				readers++
			}
		}
		if readers != 1 {
			t.Errorf("%d edges read the list all the time, want 1", readers)
		}
		for id, c := range cs {
			if n := c.t.Reporters(); n > len(cs)/2 {
				t.Errorf("%d of %d edges report to %s", n, len(cs), id)
			}
		}
		// The collector of a zone other than the first freezes: its edges go on with the next.
		frozen := secondZoneCollector(s)
		s.Freeze(frozen)
		defer s.Thaw(frozen)
		time.Sleep(8 * time.Second)
		for id, c := range cs {
			if n := c.load.InFlight()["i-1"]; id != frozen && n != jobs-1 {
				t.Errorf("with %s frozen: %s counts %d jobs, want %d", frozen, id, n, jobs-1)
			}
		}
	})
}

// secondZoneCollector is the first edge of a zone that the first edge of all is not in.
func secondZoneCollector(s *sim.Sim) string {
	first := ""
	for _, m := range s.Machines {
		switch {
		case m.Role != "edge":
		case first == "":
			first = m.Zone
		case m.Zone != first:
			return m.ID
		}
	}
	return ""
}
