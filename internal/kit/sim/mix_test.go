package sim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/kit/checker"
	"damsontiller/internal/kit/sim"
)

// mixed runs a fleet that is self-managed, with a first configuration, under
// traffic, turns that are kept and operators who read back; then do causes faults.
// It fails the test on any breach once all is over.
func mixed(t *testing.T, seed uint64, traffic time.Duration, do func(m *sim.Mix)) *sim.Mix {
	t.Helper()
	var m *sim.Mix
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		s, err := sim.New(
			sim.Params{
				Deploy: "../../../deploy/andina",
				Seed:   seed,
				Edges:  6,
				Up:     true,
				Found:  true,
				Spares: 12,
				Raw:    5,
				Log:    os.Getenv("SIMLOG") != "",
			},
		)
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Start(ctx); err != nil {
			t.Fatal(err)
		}
		sets(t, s, 2*time.Second, "c1 c2 c3", "s1 s2 s3")
		m = sim.NewMix(ctx, s, seed)
		rnd := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, n)) }
		m.Config.Change(&sim.Operator{Rand: rnd(1)})
		var wg sync.WaitGroup
		watching, enough := context.WithCancel(ctx)
		wg.Go(func() { s.Sample(ctx) })
		wg.Go(func() { m.Config.Watch(watching, &sim.Operator{Rand: rnd(2)}) })
		wg.Go(func() { m.Turns.Run(watching, rnd(3), func() []string { return edges }) })
		wg.Go(func() { m.Raw.Run(watching, func() []string { return edges }) })
		crowd := make(chan struct{})
		wg.Go(func() { defer close(crowd); s.Crowd.Run(ctx, traffic, 0.15) })
		time.Sleep(time.Second)
		do(m)
		enough()
		<-crowd
		m.WaitBackground()
		s.Audit(ctx, 100)
		stop()
		wg.Wait()
		s.Stop()
		verdict(t, m)
	})
	return m
}

// verdict fails the test on whatever went wrong.
func verdict(t *testing.T, m *sim.Mix) {
	t.Helper()
	v, c := m.Sim.Judge()
	// How late an urgent answer is while machines are lost is not the matter here. Nor
	// is a planned stop that meets another fault: what it owes, it owes in calm times
	// only, and those are in TestFaults and TestNever10.
	delete(v, checker.Urgent)
	delete(v, checker.Planned)
	if v.Total() > 0 {
		t.Errorf("%d breaches\n%s", v.Total(), v)
	}
	for _, w := range m.Wrong() {
		t.Error(w)
	}
	if t.Failed() {
		t.Log("\n" + m.History())
	}
	t.Logf(
		"%d asks, %d configurations acknowledged, %d turns kept, %d raw jobs served, answers to operators %s",
		len(c.Asks),
		m.Config.Acked(),
		m.Turns.Len(),
		m.Raw.Served(),
		m.Config.Replies(),
	)
}

// count gathers what was fired by all runs of a test.
type count struct {
	mu    sync.Mutex
	fired map[string]int
}

func (c *count) add(m *sim.Mix) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fired == nil {
		c.fired = map[string]int{}
	}
	for k, n := range m.Fired() {
		c.fired[k] += n
	}
}

func (c *count) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, f := range sim.Faults {
		out = append(out, fmt.Sprintf("%4d %s", c.fired[f.Name], f.Name))
	}
	sort.Strings(out)
	return strings.Join(out, "\n")
}

// TestMix draws faults of all kinds at random, overlapping, each as often as it comes.
// SIM_MIX sets how many seeds, SIM_FIRST the first.
func TestMix(t *testing.T) {
	t.Parallel()
	seeds, first := number("SIM_MIX", 2), number("SIM_FIRST", 900)
	var all count
	t.Cleanup(func() { t.Log("\n" + all.String()) })
	for i := range seeds {
		seed := first + i
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			all.add(mixed(t, uint64(seed), 75*time.Second, func(m *sim.Mix) { m.Run(65 * time.Second) }))
		})
	}
}

// TestEachKind causes every kind of fault once, a family after the other.
func TestEachKind(t *testing.T) {
	t.Parallel()
	const parts = 6
	for portion := range parts {
		t.Run(strconv.Itoa(portion), func(t *testing.T) {
			t.Parallel()
			mixed(t, uint64(portion+1), 20*time.Second, func(m *sim.Mix) {
				for i, f := range sim.Faults {
					if i%parts == portion {
						m.Fire(f.Name)
					}
				}
			})
		})
	}
}
