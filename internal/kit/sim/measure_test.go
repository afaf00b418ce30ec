package sim_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/kit/sim"
)

// TestCooldownsValue: what the shared cooldown spares the runners. The tools
// refuse everything for eight seconds under the usual traffic; the same seeds
// with each edge left to its own refusals are the other column.
func TestCooldownsValue(t *testing.T) {
	t.Parallel()
	refused := map[bool]int{}
	for _, alone := range []bool{false, true} {
		for seed := range uint64(3) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				s, err := sim.New(sim.Params{Deploy: "../../../deploy/tsehay", Seed: seed, Edges: 6, Alone: alone})
				if err != nil {
					t.Fatal(err)
				}
				if err := s.Start(ctx); err != nil {
					t.Fatal(err)
				}
				go func() {
					time.Sleep(2 * time.Second)
					for _, r := range s.Runners {
						if r.P.Route == "sms" {
							r.Shut(8 * time.Second)
						}
					}
				}()
				s.Crowd.Run(ctx, 20*time.Second, 1)
				stop()
				s.Stop()
				for _, r := range s.Runners {
					for _, e := range r.Log() {
						if e.Refused {
							refused[alone]++
						}
					}
				}
			})
		}
	}
	t.Logf("calls refused by the tools in 3 runs: shared %d, each edge alone %d", refused[false], refused[true])
	if refused[false] == 0 || refused[false]*2 > refused[true] {
		t.Errorf("shared %d, alone %d: sharing should spare more than half", refused[false], refused[true])
	}
}

// TestRepairTraffic measures what it costs to repair a store that missed some
// turns: messages against keys missed, and what an idle comparison costs.
func TestRepairTraffic(t *testing.T) {
	t.Parallel()
	for _, missed := range []int{20, 80, 320} {
		quiet(t, func(ctx context.Context, s *sim.Sim) {
			for range 100 {
				ask(
					t,
					s,
					"e1",
					"/v1/turns",
					`{"conversation":"reel","words":"work:x;","max_output":1}`,
					map[string]string{
						"X-Damsontiller-Program":                "reel/before",
						"X-Damsontiller-Program-Time-Remaining": "600",
					},
				)
			}
			s.Kill("s2")
			time.Sleep(time.Second)
			for range missed {
				ask(
					t,
					s,
					"e1",
					"/v1/turns",
					`{"conversation":"reel","words":"work:x;","max_output":1}`,
					map[string]string{
						"X-Damsontiller-Program":                "reel/after",
						"X-Damsontiller-Program-Time-Remaining": "600",
					},
				)
			}
			if err := s.Up(ctx, "s2", false); err != nil {
				t.Fatal(err)
			}
			var sent uint64
			sim.Until(30*time.Second, func() bool {
				st := s.Store("s2")
				if st == nil {
					return false
				}
				sent = st.Peer.Sent()
				return st.Repaired() >= int64(missed)
			})
			time.Sleep(10 * time.Second)
			st := s.Store("s2")
			repaired, idle := st.Repaired(), st.Peer.Sent()
			time.Sleep(30 * time.Second)
			t.Logf(
				"%3d turns missed: %3d keys mended with %d messages; idle afterwards %.1f messages a second",
				missed,
				repaired,
				sent,
				float64(st.Peer.Sent()-idle)/30,
			)
			if repaired < int64(missed) || st.Repaired() != repaired {
				t.Errorf("%d mended, then %d more", repaired, st.Repaired()-repaired)
			}
		})
	}
}

// TestHopeless measures a crowd that no fleet could serve: how many jobs are
// held to their deadline, how long those that were not served were held, and how
// many were served.
func TestHopeless(t *testing.T) {
	t.Parallel()
	var pending, dropped, served int
	var kept time.Duration
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			s, err := sim.New(sim.Params{Deploy: "../../../deploy/andina", Seed: seed, Edges: 6, Bears: 3})
			if err != nil {
				t.Fatal(err)
			}
			if err := s.Start(ctx); err != nil {
				t.Fatal(err)
			}
			s.Crowd.Run(ctx, 20*time.Second, 8)
			stop()
			s.Stop()
			for _, a := range s.Crowd.Log() {
				switch {
				case a.Status == 200:
					served++
				case a.Name == "cutoff_passed":
					pending++
					kept += a.Done.Sub(a.Sent)
				default:
					dropped++
					kept += a.Done.Sub(a.Sent)
				}
			}
		})
	}
	t.Logf(
		"served %d, held to the deadline %d, told before %d, time held in vain %s",
		served,
		pending,
		dropped,
		kept.Round(time.Second),
	)
	if pending*20 > served {
		t.Errorf("%d jobs held to their deadline, %d served", pending, served)
	}
}

// TestUncertain measures how much keyed work is left uncertain when edges die under a
// crowd: of the keyed works asked of a dead edge, those whose callers were answered
// elsewhere that the outcome is not known.
func TestUncertain(t *testing.T) {
	t.Parallel()
	asked, uncertain := 0, 0
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			s, err := sim.New(sim.Params{Deploy: "../../../deploy/andina", Seed: seed, Edges: 6, Bears: 3})
			if err != nil {
				t.Fatal(err)
			}
			if err := s.Start(ctx); err != nil {
				t.Fatal(err)
			}
			go func() {
				for _, id := range []string{"e2", "e3", "e4"} {
					time.Sleep(4 * time.Second)
					s.Kill(id)
				}
			}()
			s.Crowd.Run(ctx, 16*time.Second, 3)
			stop()
			s.Stop()
			lost, unsure := map[string]bool{}, map[string]bool{}
			for _, a := range s.Crowd.Log() {
				if a.Key != "" && a.Lost {
					lost[a.Work] = true
				}
				if a.Name == "in_progress" {
					unsure[a.Work] = true
				}
			}
			for w := range lost {
				asked++
				if unsure[w] {
					uncertain++
				}
			}
		})
	}
	t.Logf("%d keyed works were at edges that died, %d of them are in doubt", asked, uncertain)
	if asked == 0 {
		t.Error("no edge died with a keyed work")
	}
}
