package sim_test

import (
	"context"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/kit/sim"
	"damsontiller/internal/proto/spec"
)

// found lays out a fleet whose sets form by themselves; nothing is started.
func found(t *testing.T, seed uint64, do func(ctx context.Context, s *sim.Sim)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		s, err := sim.New(
			sim.Params{
				Deploy: "../../../deploy/andina",
				Seed:   seed,
				Edges:  6,
				Found:  true,
				Log:    os.Getenv("SIMLOG") != "",
			},
		)
		if err != nil {
			t.Fatal(err)
		}
		do(ctx, s)
		stop()
		s.Stop()
	})
}

func launch(t *testing.T, ctx context.Context, s *sim.Sim, first bool, ids ...string) {
	t.Helper()
	for _, id := range ids {
		if err := s.Up(ctx, id, first); err != nil {
			t.Fatal(id, err)
		}
	}
}

// ids are the machines' names, in order.
func names(ms []spec.Machine) string {
	out := ""
	for _, m := range ms {
		out += m.ID + " "
	}
	return out
}

// one checks that every running core has the same first cores in force.
func one(t *testing.T, s *sim.Sim, ids ...string) {
	t.Helper()
	var set []spec.Machine
	for _, id := range ids {
		v := s.View(id)
		if v.Version == 0 {
			t.Fatalf("%s knows no cluster", id)
		}
		if set == nil {
			set = v.Cluster.Cores
		}
		if names(set) != names(v.Cluster.Cores) {
			t.Errorf("%s has %v, others %v", id, v.Cluster.Cores, set)
		}
	}
}

// TestFound: three founders that are answered three addresses form one set, whichever
// comes when; nobody founds without all of them.
func TestFound(t *testing.T) {
	t.Parallel()
	t.Run("all", func(t *testing.T) {
		found(t, 1, func(ctx context.Context, s *sim.Sim) {
			launch(t, ctx, s, true, "c1", "c2", "c3")
			if !sim.Until(
				time.Second,
				func() bool { return s.View("c1").Version > 0 && s.View("c2").Version > 0 && s.View("c3").Version > 0 },
			) {
				t.Fatal("no set after a second")
			}
			one(t, s, "c1", "c2", "c3")
		})
	})
	t.Run("late", func(t *testing.T) {
		found(t, 2, func(ctx context.Context, s *sim.Sim) {
			launch(t, ctx, s, true, "c1", "c3")
			time.Sleep(5 * time.Second)
			if s.View("c1").Version+s.View("c3").Version > 0 {
				t.Fatal("two of three founded a set")
			}
			launch(t, ctx, s, true, "c2")
			if !sim.Until(time.Second, func() bool { return s.View("c2").Version > 0 }) {
				t.Fatal("no set after a second")
			}
			time.Sleep(time.Second)
			one(t, s, "c1", "c2", "c3")
		})
	})
	t.Run("crowd", func(t *testing.T) {
		found(t, 3, func(ctx context.Context, s *sim.Sim) {
			if err := s.Start(ctx); err != nil {
				t.Fatal(err)
			}
			one(t, s, "c1", "c2", "c3")
		})
	})
}

// TestFoundWiped: a founder that loses its disk while the set forms, at whatever
// moment, makes no second set: all end up with the same one.
func TestFoundWiped(t *testing.T) {
	t.Parallel()
	for i := range 12 {
		found(t, uint64(i), func(ctx context.Context, s *sim.Sim) {
			launch(t, ctx, s, true, "c1", "c2", "c3")
			time.Sleep(time.Duration(2*i+1) * time.Millisecond)
			s.Kill("c2")
			s.Wipe("c2")
			time.Sleep(time.Duration(i%3) * 50 * time.Millisecond)
			launch(t, ctx, s, i%2 == 0, "c2")
			if !sim.Until(
				5*time.Second,
				func() bool { return s.View("c1").Version > 0 && s.View("c2").Version > 0 && s.View("c3").Version > 0 },
			) {
				t.Fatalf("%d: no set after five seconds", i)
			}
			time.Sleep(time.Second)
			one(t, s, "c1", "c2", "c3")
		})
	}
}
