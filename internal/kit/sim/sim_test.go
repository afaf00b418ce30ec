package sim_test

import (
	"context"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/kit/checker"
	"damsontiller/internal/kit/sim"
)

// run runs a simulated fleet of one deployment under its usual traffic while
// do causes failures, and fails the test on any breach.
func run(
	t *testing.T,
	deploy string,
	seed uint64,
	d time.Duration,
	do func(ctx context.Context, s *sim.Sim),
) *sim.Sim {
	t.Helper()
	var s *sim.Sim
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		var err error
		s, err = sim.New(
			sim.Params{
				Deploy: "../../../deploy/" + deploy,
				Seed:   seed,
				Edges:  6,
				Up:     true,
				Log:    os.Getenv("SIMLOG") != "",
			},
		)
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Start(ctx); err != nil {
			t.Fatal(err)
		}
		var wg sync.WaitGroup
		wg.Go(func() { s.Sample(ctx) })
		traffic := make(chan struct{})
		wg.Go(func() { defer close(traffic); s.Crowd.Run(ctx, d, 1) })
		time.Sleep(2 * time.Second)
		do(ctx, s)
		<-traffic
		s.Audit(ctx, 200)
		stop()
		wg.Wait()
		s.Stop()
		v, c := s.Judge()
		if v.Total() > 0 {
			t.Errorf("%s seed %d: %d breaches\n%s", deploy, seed, v.Total(), v)
		}
		urgent := 0
		for _, a := range c.Asks {
			if a.Urgent && a.Status == 200 {
				urgent++
			}
		}
		// Which goroutine of the fleet goes first is not the seed's, so a few may
		// be late in one run and not in the next.
		if n := len(v[checker.Urgent]); n > 0 {
			t.Logf("%s seed %d: %d of %d urgent answers late\n%s", deploy, seed, n, urgent, v)
			if n > 2 && n*20 > urgent && !strings.HasPrefix(t.Name(), "TestChaos") {
				t.Errorf("%d of %d urgent answers late", n, urgent)
			}
		}
		ok := 0
		codes := map[string]int{}
		for _, a := range c.Asks {
			if a.Status == 200 {
				ok++
			}
			codes[a.Name]++
		}
		t.Logf("%d asks, %d ok, %v", len(c.Asks), ok, codes)
		if ok == 0 {
			t.Error("nothing was served")
		}
	})
	return s
}

func TestHealthy(t *testing.T) {
	t.Parallel()
	run(t, "andina", 1, 10*time.Second, func(context.Context, *sim.Sim) {})
}

// TestDealerSuperseded: once any edge has seen a later epoch, the holder takes
// the role anew. It used to go on under the old one, refused by all, and no
// slot was assigned any more.
func TestDealerSuperseded(t *testing.T) {
	t.Parallel()
	run(t, "andina", 2, 20*time.Second, func(_ context.Context, s *sim.Sim) {
		s.Record(checker.Hard, "a later epoch", 0)
		f := s.Edge("e3").Epochs
		f.Observe(f.Highest() + 1)
	})
}

func TestKills(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		run(t, "tsehay", seed, 30*time.Second, func(ctx context.Context, s *sim.Sim) {
			for _, id := range []string{"e1", "s2", "c3"} {
				s.Kill(id)
				time.Sleep(4 * time.Second)
				if err := s.Up(ctx, id, false); err != nil {
					t.Error(err)
				}
				time.Sleep(4 * time.Second)
			}
		})
	}
}
