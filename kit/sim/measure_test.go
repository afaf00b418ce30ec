package sim_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/kit/sim"
)

// TestCooldownsWorth: what the shared cooldown spares the runners. The tools
// refuse everything for eight seconds under the usual traffic; the same seeds
// with each edge left to its own refusals are the other column.
func TestCooldownsWorth(t *testing.T) {
	refused := map[bool]int{}
	for _, alone := range []bool{false, true} {
		for seed := range uint64(3) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				s, err := sim.New(sim.Params{Deploy: "../../deploy/tsehay", Seed: seed, Edges: 6, Alone: alone})
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
					for _, e := range r.Ledger() {
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
