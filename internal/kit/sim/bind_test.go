package sim_test

import (
	"context"
	"testing"
	"testing/synctest"

	"damsontiller/internal/kit/sim"
)

// TestCoresBindAgainstEachOther: of the cores only one records the identities of the stores, so that
// their changes do not collide.
func TestCoresBindAgainstEachOther(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s, err := sim.New(sim.Params{Deploy: "../../../deploy/andina", Seed: 1, Edges: 6})
		if err != nil {
			t.Fatal(err)
		}
		defer func() {
			stop()
			s.Stop()
		}()
		if err := s.Start(ctx); err != nil {
			t.Fatal(err)
		}
		for _, id := range []string{"c1", "c2", "c3"} {
			if counts := s.Core(id).Proposer.Counts(); counts.Refused > 0 {
				t.Errorf("%s has met a higher ballot %d times in %d proposals", id, counts.Refused, counts.Proposals)
			}
		}
		for _, store := range s.Cluster().Cluster.Stores {
			if store.Ident == "" {
				t.Errorf("%s has no identity", store.ID)
			}
		}
	})
}
