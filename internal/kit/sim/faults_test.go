package sim_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"damsontiller/internal/kit/checker"
	"damsontiller/internal/kit/runner"
	"damsontiller/internal/kit/sim"
	"damsontiller/internal/transport/code"
)

// fault is one of the brief's failures, caused under the usual traffic.
type fault struct {
	n      int // its number in docs/operate.md
	name   string
	deploy string
	d      time.Duration
	do     func(t *testing.T, ctx context.Context, s *sim.Sim)
}

func up(t *testing.T, ctx context.Context, s *sim.Sim, id string) {
	t.Helper()
	if err := s.Up(ctx, id, false); err != nil {
		t.Error(err)
	}
}

// want makes an operator's order and checks its status and code.
func want(t *testing.T, s *sim.Sim, path string, body any, status int, c code.Code) sim.Ack {
	t.Helper()
	st, a, err := s.Change(http.MethodPost, path, body)
	if err != nil || st != status || a.Code != int(c) {
		t.Errorf("%s %v: status %d, %+v, %v; want %d and code %d", path, body, st, a, err, status, c)
	}
	return a
}

func converged(t *testing.T, s *sim.Sim) {
	t.Helper()
	if !sim.Until(30*time.Second, func() bool { r := s.Cluster(); return len(r.NextStores)+len(r.NextCores) == 0 }) {
		t.Errorf("the set is still changing: %+v", s.Cluster().Cluster)
	}
}

var faults = []fault{
	{1, "a crowd at once", "andina", 16 * time.Second, func(_ *testing.T, ctx context.Context, s *sim.Sim) {
		s.Crowd.Run(ctx, 4*time.Second, 6)
	}},
	{
		2,
		"runners refuse in every form",
		"tsehay",
		20 * time.Second,
		func(t *testing.T, _ context.Context, s *sim.Sim) {
			for _, o := range []runner.Order{runner.Refuse, runner.Raise, runner.RefuseSecs, runner.RefuseDate} {
				for _, r := range s.Runners {
					r.Give(o)
				}
				time.Sleep(2 * time.Second)
			}
			left := 0
			for _, r := range s.Runners {
				left += r.Undone()
			}
			if left == 4*len(s.Runners) {
				t.Error("no order met a job")
			}
		},
	},
	{
		3,
		"answers lost, cut and mixed up",
		"andina",
		16 * time.Second,
		func(_ *testing.T, _ context.Context, s *sim.Sim) {
			for _, o := range []runner.Order{runner.Lose, runner.Truncate, runner.Mix, runner.Slow} {
				for _, r := range s.Runners {
					r.Give(o)
				}
				time.Sleep(2 * time.Second)
			}
		},
	},
	{4, "runners replaced one by one", "andina", 30 * time.Second, func(_ *testing.T, _ context.Context, s *sim.Sim) {
		for _, r := range s.Runners[:6] {
			r.Drain()
			s.Record(checker.Drained, r.P.Name, 0)
			time.Sleep(3500 * time.Millisecond)
			s.RunnerDown(r.P.Name)
			s.RunnerUp(r.P.Name)
		}
	}},
	{5, "runners crash", "tsehay", 16 * time.Second, func(_ *testing.T, _ context.Context, s *sim.Sim) {
		for _, r := range s.Runners[:4] {
			s.RunnerDown(r.P.Name)
			time.Sleep(2 * time.Second)
			s.RunnerUp(r.P.Name)
		}
	}},
	{
		6,
		"an edge stops in an orderly way",
		"andina",
		20 * time.Second,
		func(t *testing.T, ctx context.Context, s *sim.Sim) {
			for _, id := range []string{"e1", "e2"} {
				s.Quit(id)
				up(t, ctx, s, id)
				time.Sleep(2 * time.Second)
			}
		},
	},
	{
		7,
		"the core is cut off whole, then back",
		"andina",
		30 * time.Second,
		func(t *testing.T, _ context.Context, s *sim.Sim) {
			cores := []string{"c1", "c2", "c3"}
			s.Partition(cores, s.Rest(cores...), true)
			time.Sleep(15 * time.Second)
			// No change is acknowledged that a partitioned node would betray.
			if st, a, _ := s.Zone("a", true); st == http.StatusOK {
				t.Errorf("acknowledged through a cut: %+v", a)
			}
			s.Partition(cores, s.Rest(cores...), false)
			sim.Until(5*time.Second, func() bool { st, _, _ := s.Zone("a", false); return st == http.StatusOK })
		},
	},
	{8, "the core is cut in two", "tsehay", 24 * time.Second, func(t *testing.T, _ context.Context, s *sim.Sim) {
		s.Partition([]string{"c1"}, s.Rest("c1"), true)
		time.Sleep(6 * time.Second)
		// c1 is asked first and has no majority.
		if st, a, _ := s.Zone("b", true); st == http.StatusOK {
			t.Errorf("a core machine on its own acknowledged: %+v", a)
		}
		s.Partition([]string{"c1"}, s.Rest("c1"), false)
		time.Sleep(4 * time.Second)
		if st, a, err := s.Zone("b", true); st != http.StatusOK {
			t.Errorf("after the cut: %d %+v %v", st, a, err)
		}
	}},
	{
		9,
		"an edge is cut off from the core while a zone is emptied",
		"andina",
		60 * time.Second,
		func(t *testing.T, _ context.Context, s *sim.Sim) {
			partitioned := append(s.Rest("e5"), "c1")
			s.Partition([]string{"e5"}, partitioned, true)
			at := time.Now()
			// The stores are the fence: nothing that e5 may still want passes them.
			st, a, err := s.Zone("b", true)
			if d := time.Since(at); err != nil || st != http.StatusOK || d > 2*time.Second {
				t.Errorf("%d %+v %v after %s, want 200 within 2 s", st, a, err, d)
			}
			time.Sleep(20 * time.Second)
			s.Partition([]string{"e5"}, partitioned, false)
		},
	},
	{10, "spec changes in bursts", "andina", 14 * time.Second, func(t *testing.T, _ context.Context, s *sim.Sim) {
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				var a sim.Ack
				st, err := s.OperateAt(
					i%3,
					http.MethodPatch,
					"/v1/spec",
					map[string]any{"cooldown": map[string]any{"first_ms": 1000 + i}},
					&a,
				)
				if st != http.StatusOK {
					t.Errorf("burst: %d %+v %v", st, a, err)
					return
				}
				s.Record(checker.Acked, "burst", a.Version)
			})
		}
		wg.Wait()
	}},
	{11, "a store loses power", "tsehay", 20 * time.Second, func(t *testing.T, ctx context.Context, s *sim.Sim) {
		for _, id := range []string{"s1", "s2", "s3"} {
			s.Kill(id)
			time.Sleep(2 * time.Second)
			up(t, ctx, s, id)
			time.Sleep(3 * time.Second)
		}
	}},
	{
		12,
		"a store loses its disk and is admitted anew",
		"andina",
		40 * time.Second,
		func(t *testing.T, ctx context.Context, s *sim.Sim) {
			s.Kill("s2")
			s.Wipe("s2")
			time.Sleep(time.Second)
			up(t, ctx, s, "s2")
			time.Sleep(4 * time.Second)
			// It must not vote on its own account.
			for _, m := range s.Cluster().Cluster.Stores {
				if m.ID == "s2" && m.Ident == s.Store("s2").Peer.Self.Ident {
					t.Error("a store that lost its disk votes before it is admitted")
				}
			}
			want(t, s, "/v1/sets/stores/admit", map[string]string{"id": "s2", "for": "s2"}, http.StatusOK, 0)
			want(
				t,
				s,
				"/v1/sets/stores/admit",
				map[string]string{"id": "s2", "for": "s2"},
				http.StatusConflict,
				code.SetChanging,
			)
			converged(t, s)
			want(
				t,
				s,
				"/v1/sets/stores/admit",
				map[string]string{"id": "s2", "for": "s2"},
				http.StatusConflict,
				code.InSet,
			)
			// Now another one may go.
			s.Kill("s1")
		},
	},
	{13, "a store is cut off", "andina", 24 * time.Second, func(_ *testing.T, _ context.Context, s *sim.Sim) {
		s.Partition([]string{"s3"}, s.Rest("s3"), true)
		time.Sleep(8 * time.Second)
		s.Partition([]string{"s3"}, s.Rest("s3"), false)
	}},
	{
		14,
		"a store is added, another retired",
		"tsehay",
		50 * time.Second,
		func(t *testing.T, ctx context.Context, s *sim.Sim) {
			want(t, s, "/v1/sets/stores/retire", map[string]string{"id": "s1"}, http.StatusConflict, code.BelowCopies)
			want(t, s, "/v1/sets/stores/retire", map[string]string{"id": "s9"}, http.StatusNotFound, code.NoMember)
			want(t, s, "/v1/sets/stores/admit", map[string]string{"id": "s4"}, http.StatusNotFound, code.NoMember)
			up(t, ctx, s, "s4")
			time.Sleep(3 * time.Second)
			want(t, s, "/v1/sets/stores/admit", map[string]string{"id": "s4"}, http.StatusOK, 0)
			want(t, s, "/v1/sets/stores/retire", map[string]string{"id": "s1"}, http.StatusConflict, code.SetChanging)
			converged(t, s)
			want(t, s, "/v1/sets/stores/retire", map[string]string{"id": "s1"}, http.StatusOK, 0)
			converged(t, s)
			s.Kill("s1")
			// It comes back as it was, and is no longer wanted.
			time.Sleep(time.Second)
			up(t, ctx, s, "s1")
			time.Sleep(4 * time.Second)
			want(t, s, "/v1/sets/stores/admit", map[string]string{"id": "s1"}, http.StatusConflict, code.UsedIdentity)
		},
	},
	{
		15,
		"a core machine comes back empty at a new address",
		"andina",
		40 * time.Second,
		func(t *testing.T, ctx context.Context, s *sim.Sim) {
			s.Kill("c3")
			up(t, ctx, s, "c4")
			time.Sleep(4 * time.Second)
			want(t, s, "/v1/sets/cores/admit", map[string]string{"id": "c4"}, http.StatusBadRequest, code.BadField)
			want(t, s, "/v1/sets/cores/admit", map[string]string{"id": "c4", "for": "c3"}, http.StatusOK, 0)
			converged(t, s)
			// The new set stands without one of the old.
			s.Kill("c1")
			time.Sleep(time.Second)
			if st, a, err := s.Zone("b", true); st != http.StatusOK {
				t.Errorf("with c2 and c4: %d %+v %v", st, a, err)
			}
		},
	},
	{16, "a whole zone is lost", "tsehay", 30 * time.Second, func(t *testing.T, ctx context.Context, s *sim.Sim) {
		zone := []string{"c1", "s1", "e1", "e4"}
		for _, id := range zone {
			s.Kill(id)
		}
		for _, r := range s.Runners {
			if r.P.Zone == "a" {
				s.RunnerDown(r.P.Name)
			}
		}
		time.Sleep(10 * time.Second)
		for _, id := range zone {
			up(t, ctx, s, id)
		}
		for _, r := range s.Runners {
			if r.P.Zone == "a" {
				s.RunnerUp(r.P.Name)
			}
		}
	}},
	{
		17,
		"everything goes down and comes up again",
		"andina",
		40 * time.Second,
		func(t *testing.T, ctx context.Context, s *sim.Sim) {
			if st, a, err := s.Zone("c", true); st != http.StatusOK {
				t.Errorf("%d %+v %v", st, a, err)
			}
			ver := s.Cluster().Version
			for _, m := range s.Machines {
				if !m.Spare {
					s.Kill(m.ID)
				}
			}
			time.Sleep(3 * time.Second)
			s.Record(checker.Hard, checker.Everything+" down, started again", 0)
			for _, m := range s.Machines {
				if !m.Spare {
					up(t, ctx, s, m.ID)
				}
			}
			if !sim.Until(8*time.Second, func() bool { return s.Cluster().Version >= ver }) {
				t.Errorf("version %d was acknowledged, %d came back", ver, s.Cluster().Version)
			}
			time.Sleep(8 * time.Second)
			if st, a, err := s.Zone("c", false); st != http.StatusOK {
				t.Errorf("%d %+v %v", st, a, err)
			}
		},
	},
	{18, "a machine joins", "andina", 20 * time.Second, func(t *testing.T, ctx context.Context, s *sim.Sim) {
		up(t, ctx, s, "e7")
	}},
	{
		19,
		"the dealing edge dies, again and again",
		"tsehay",
		30 * time.Second,
		func(t *testing.T, ctx context.Context, s *sim.Sim) {
			for _, id := range []string{"e1", "e2", "e1", "e2"} {
				s.Kill(id)
				time.Sleep(3 * time.Second)
				up(t, ctx, s, id)
				time.Sleep(2 * time.Second)
			}
		},
	},
	{20, "a store's disk fills up", "tsehay", 24 * time.Second, func(t *testing.T, _ context.Context, s *sim.Sim) {
		s.Disk("s1", 1000, 0)
		if !sim.Until(5*time.Second, func() bool { return told(s, "s1: disk nearly full") }) {
			t.Errorf("operators are not told: %v", s.Wrong())
		}
		time.Sleep(6 * time.Second)
		s.Disk("s1", -1, 0)
		// What it has not taken meanwhile is repaired from the others.
		before := s.Store("s1").Repaired()
		if !sim.Until(12*time.Second, func() bool { return s.Store("s1").Repaired() > before }) {
			t.Error("nothing was mended")
		}
	}},
	{21, "a store's disk turns slow", "andina", 24 * time.Second, func(t *testing.T, _ context.Context, s *sim.Sim) {
		s.Disk("s3", -1, 2*time.Second)
		if !sim.Until(8*time.Second, func() bool { return told(s, "s3: disk slow") }) {
			t.Errorf("operators are not told: %v", s.Wrong())
		}
		time.Sleep(6 * time.Second)
		s.Disk("s3", -1, 0)
	}},
	{
		22,
		"a store that was away is mended",
		"andina",
		40 * time.Second,
		func(t *testing.T, ctx context.Context, s *sim.Sim) {
			s.Kill("s2")
			time.Sleep(8 * time.Second)
			up(t, ctx, s, "s2")
			if !sim.Until(
				15*time.Second,
				func() bool { st := s.Store("s2"); return st != nil && st.Repaired() > 50 },
			) {
				t.Error("what it missed was not mended")
			}
			// Now the other two may go, one after the other: what was written while
			// s2 was away must be readable from it.
			s.Kill("s1")
			time.Sleep(5 * time.Second)
			up(t, ctx, s, "s1")
			time.Sleep(6 * time.Second)
			s.Kill("s3")
		},
	},
}

// told: the operators' health page has a line that begins so.
func told(s *sim.Sim, begin string) bool {
	return slices.ContainsFunc(s.Wrong(), func(w string) bool { return strings.HasPrefix(w, begin) })
}

// TestFaults causes each failure in turn.
func TestFaults(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			run(t, f.deploy, uint64(f.n), f.d, func(ctx context.Context, s *sim.Sim) { f.do(t, ctx, s) })
		})
	}
}
