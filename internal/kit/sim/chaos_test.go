package sim_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"damsontiller/internal/dataplane/request/job"
	"damsontiller/internal/kit/checker"
	"damsontiller/internal/kit/runner"
	"damsontiller/internal/kit/sim"
)

// TestChaos combines faults at random under a seed, for minutes of simulated
// time each. At most one core and one store machine are away at a time: that
// much the system must survive. SIM_SEEDS sets how many seeds, SIM_FIRST the
// first; a breach prints its seed.
func TestChaos(t *testing.T) {
	t.Parallel()
	seeds, first := number("SIM_SEEDS", 4), number("SIM_FIRST", 100)
	var mu sync.Mutex
	all := map[string]int{}
	t.Cleanup(func() {
		t.Log(all)
		if len(all) < 12 {
			t.Errorf("only these faults fired: %v", all)
		}
	})
	for i := range seeds {
		seed := first + i
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			fired := map[string]int{}
			run(
				t,
				[]string{"andina", "tsehay"}[seed%2],
				uint64(seed),
				70*time.Second,
				func(ctx context.Context, s *sim.Sim) {
					chaos(t, ctx, s, rand.New(rand.NewPCG(uint64(seed), 11)), fired)
				},
			)
			mu.Lock()
			for k, n := range fired {
				all[k] += n
			}
			mu.Unlock()
		})
	}
}

func number(env string, def int) int {
	if n, err := strconv.Atoi(os.Getenv(env)); err == nil {
		return n
	}
	return def
}

func chaos(t *testing.T, ctx context.Context, s *sim.Sim, rnd *rand.Rand, fired map[string]int) {
	pick := func(role string) string {
		var ids []string
		for _, m := range s.Machines {
			if m.Role == role && !m.Spare {
				ids = append(ids, m.ID)
			}
		}
		return ids[rnd.IntN(len(ids))]
	}
	pause := func(most int) { time.Sleep(time.Duration(200+rnd.IntN(most)) * time.Millisecond) }
	down := map[string]string{} // role: machine that is away
	back := func(role string) {
		if id := down[role]; id != "" {
			up(t, ctx, s, id)
			delete(down, role)
			// The set must be complete again before another may go.
			time.Sleep(4 * time.Second)
		}
	}
	end := time.Now().Add(55 * time.Second)
	for time.Now().Before(end) {
		n := rnd.IntN(15)
		switch n {
		case 0, 1, 2:
			role := []string{"edge", "store", "core"}[n]
			back(role)
			id := pick(role)
			s.Kill(id)
			down[role] = id
			fired["kill "+role]++
		case 3:
			r := s.Runners[rnd.IntN(len(s.Runners))]
			all := []runner.Order{
				runner.Refuse,
				runner.RefuseSecs,
				runner.RefuseDate,
				runner.Raise,
				runner.Lose,
				runner.Truncate,
				runner.Mix,
				runner.Slow,
			}
			o := all[rnd.IntN(len(all))]
			r.Give(o)
			fired["order"]++
		case 4:
			r := s.Runners[rnd.IntN(len(s.Runners))]
			if r.Drained().IsZero() {
				r.Drain()
				s.Record(checker.Drained, r.P.Name, 0)
				fired["drain"]++
				pause(4000)
			}
			s.RunnerDown(r.P.Name)
			s.RunnerUp(r.P.Name)
		case 5:
			z := string(rune('a' + rnd.IntN(3)))
			if st, _, err := s.Zone(z, true); err == nil && st == http.StatusOK {
				fired["zone"]++
			}
			pause(6000)
			if st, _, _ := s.Zone(z, false); st != http.StatusOK {
				// It stays empty; the next emptying may be refused for that.
				continue
			}
		case 6:
			// One machine is partitioned from all others for a while. It counts as
			// the one of its role that is away.
			role := []string{"edge", "store", "core"}[rnd.IntN(3)]
			back(role)
			id := pick(role)
			s.Partition([]string{id}, s.Rest(id), true)
			pause(5000)
			s.Partition([]string{id}, s.Rest(id), false)
			fired["cut "+role]++
			time.Sleep(4 * time.Second)
		case 7:
			if st, a, err := s.Change(http.MethodPatch, "/v1/spec", map[string]any{"cooldown": map[string]any{"first_ms": 1000 + rnd.IntN(500)}}); err == nil &&
				st == http.StatusOK {
				fired["change"]++
			} else if st == http.StatusConflict {
				t.Errorf("a change without a version conflicts: %+v", a)
			}
		case 8:
			back([]string{"edge", "store", "core"}[rnd.IntN(3)])
		case 9:
			role := []string{"edge", "store", "core"}[rnd.IntN(3)]
			back(role)
			id := pick(role)
			s.Freeze(id)
			pause(7000)
			s.Thaw(id)
			fired["freeze "+role]++
			time.Sleep(4 * time.Second)
		case 10:
			// What one machine sends is lost, what it is sent is not.
			role := []string{"edge", "store", "core"}[rnd.IntN(3)]
			back(role)
			id := pick(role)
			s.PartitionOneWay([]string{id}, s.Rest(id), true)
			pause(4000)
			s.PartitionOneWay([]string{id}, s.Rest(id), false)
			fired["one way "+role]++
			time.Sleep(4 * time.Second)
		case 11:
			back("store")
			id := pick("store")
			if rnd.IntN(2) == 0 {
				s.Disk(id, 1000, 0)
			} else {
				s.Disk(id, -1, time.Duration(200+rnd.IntN(1500))*time.Millisecond)
			}
			pause(5000)
			s.Disk(id, -1, 0)
			fired["disk"]++
			time.Sleep(4 * time.Second)
		case 12:
			// A store loses its disk and is admitted anew.
			back("store")
			id := pick("store")
			s.Kill(id)
			s.Wipe(id)
			pause(2000)
			up(t, ctx, s, id)
			if !sim.Until(20*time.Second, func() bool {
				st, _, _ := s.Change(http.MethodPost, "/v1/sets/stores/admit", map[string]string{"id": id, "for": id})
				return st == http.StatusOK
			}) {
				t.Errorf("%s was not admitted", id)
			}
			converged(t, s)
			fired["wipe"]++
		case 13:
			if rnd.IntN(3) > 0 {
				continue // everything at once, but seldom
			}
			for _, m := range s.Machines {
				if !m.Spare {
					s.Kill(m.ID)
				}
			}
			pause(2000)
			s.Record(checker.Hard, checker.Everything+" down, started again", 0)
			for _, m := range s.Machines {
				if !m.Spare {
					up(t, ctx, s, m.ID)
				}
			}
			clear(down)
			fired["full stop"]++
			time.Sleep(10 * time.Second)
		case 14:
			// A job stands still at a numbered point, as its process might.
			s.Pause(
				pick("edge"),
				job.Point(1+rnd.IntN(job.Points)),
				time.Duration(200+rnd.IntN(6000))*time.Millisecond,
			)
			fired["point"]++
		}
		pause(2500)
	}
	for _, role := range []string{"core", "store", "edge"} {
		back(role)
	}
}
