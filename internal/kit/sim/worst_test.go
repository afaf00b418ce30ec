package sim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/kit/sim"
	"damsontiller/internal/proto/spec"
)

// untroubled runs a fleet that is self-managed, with a first configuration and
// without traffic, and fails the test on whatever do finds.
func untroubled(t *testing.T, seed uint64, do func(ctx context.Context, m *sim.Mix)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		s, err := sim.New(
			sim.Params{Deploy: "../../../deploy/andina", Seed: seed, Edges: 6, Found: true, Spares: 12, Raw: 4},
		)
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Start(ctx); err != nil {
			t.Fatal(err)
		}
		m := sim.NewMix(ctx, s, seed)
		m.Config.Change(operator(seed))
		do(ctx, m)
		m.WaitBackground()
		stop()
		s.Stop()
		for _, w := range m.Wrong() {
			t.Error(w)
		}
		if t.Failed() {
			t.Log("\n" + m.History())
		}
	})
}

// worst is by how much longer than in CI these tests run.
func worst() int { return max(1, number("SIM_WORST", 1)) }

// operator is one with chances of its own.
func operator(seed uint64) *sim.Operator {
	return &sim.Operator{Rand: rand.New(rand.NewPCG(seed, 9))}
}

// at is an operator that asks only these machines.
func at(seed uint64, cores ...string) *sim.Operator {
	o := operator(seed)
	o.Only = cores
	return o
}

// bring starts machines that the mix counts as in use from now on.
func bring(m *sim.Mix, ids ...string) {
	m.Use(ids...)
	time.Sleep(sim.SyncTime)
}

// isolation is a way in which control machines are out of the others' reach.
type isolation struct {
	name string
	on   func(s *sim.Sim, ids, others []string, on bool)
}

var isolations = []isolation{
	{"both ways", func(s *sim.Sim, ids, others []string, on bool) { s.Partition(ids, others, on) }},
	{"sends nothing", func(s *sim.Sim, ids, others []string, on bool) { s.PartitionOneWay(ids, others, on) }},
	{"hears nothing", func(s *sim.Sim, ids, others []string, on bool) { s.PartitionOneWay(others, ids, on) }},
}

// TestWorstPartitioned: two of five core machines are partitioned together for 25 s, one of
// them starts anew there with seeds that name only the two. Orders and questions go
// to them all the while, as the majority goes on: they tell no old configuration,
// acknowledge nothing, refuse nothing. Joined again they are right within three
// seconds.
func TestWorstPartitioned(t *testing.T) {
	t.Parallel()
	for i, iso := range isolations {
		t.Run(iso.name, func(t *testing.T) {
			t.Parallel()
			untroubled(t, uint64(40+i), func(ctx context.Context, m *sim.Mix) {
				s := m.Sim
				bring(m, "c4", "c5")
				off, rest := []string{"c1", "c4"}, []string{"c2", "c3", "c5"}
				others := s.Rest(off...)
				iso.on(s, off, others, true)
				s.Seeds(off...)
				time.Sleep(2 * time.Second)
				s.KillProcess("c4")
				launch(t, ctx, s, false, "c4")
				for end := time.Now().Add(25 * time.Second); time.Now().Before(end); {
					m.Config.Change(at(uint64(i), rest...))
					for _, id := range off {
						if rev, ok := m.Config.Read(id); ok {
							t.Errorf("%s, cut off, tells configuration %d", id, rev)
						}
						if r := m.Config.Try(at(1, rest...), id); r == sim.Taken {
							t.Errorf("%s, cut off, acknowledges", id)
						}
					}
				}
				s.Seeds("c2", "c3", "c5")
				iso.on(s, off, others, false)
				for _, id := range off {
					reads(t, m, id, 3*time.Second)
				}
			})
		})
	}
}

// reads waits until a core machine tells the configuration, which is never an old one.
func reads(t *testing.T, m *sim.Mix, id string, most time.Duration) time.Duration {
	t.Helper()
	began := time.Now()
	if !sim.Until(most, func() bool { _, ok := m.Config.Read(id); return ok }) {
		t.Errorf("%s tells no configuration after %s", id, most)
	}
	return time.Since(began)
}

// TestWorstFrozen: a core machine is frozen for 21 s at any moment of an order that it
// was sent, while others are acknowledged elsewhere. It wakes, ends what it had begun,
// and neither tells an old configuration nor takes one back.
func TestWorstFrozen(t *testing.T) {
	t.Parallel()
	untroubled(t, 50, func(_ context.Context, m *sim.Mix) {
		for i := range 4 * worst() {
			id := fmt.Sprintf("c%d", i%3+1)
			done := make(chan sim.Reply, 1)
			go func() { done <- m.Config.Try(at(uint64(i), "c1", "c2", "c3"), id) }()
			time.Sleep(time.Duration(i*1900) * time.Microsecond)
			m.Sim.Freeze(id)
			<-done
			others := slices.DeleteFunc([]string{"c1", "c2", "c3"}, func(x string) bool { return x == id })
			for range 5 {
				m.Config.Change(at(uint64(i), others...))
				time.Sleep(4 * time.Second)
			}
			m.Sim.Thaw(id)
			for range 20 {
				m.Config.Read(id)
				time.Sleep(50 * time.Millisecond)
			}
			time.Sleep(sim.SyncTime)
		}
	})
}

// races is how many pairs of orders race.
const races = 100

// TestWorstRaces: two operators race on each base, most of their answers are lost, and
// orders taken before are sent again, while core machines go and come back.
func TestWorstRaces(t *testing.T) {
	t.Parallel()
	untroubled(t, 60, func(_ context.Context, m *sim.Mix) {
		over := make(chan struct{})
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			losses := []string{"node_kill/power", "core_cut", "node_freeze", "after_ack_kill/timed"}
			for i := 0; ; i++ {
				select {
				case <-over:
					return
				default:
					m.Fire(losses[i%len(losses)])
				}
			}
		}()
		a, b := operator(1), operator(2)
		a.LoseAnswers, b.LoseAnswers = 0.7, 0.7
		for range races * worst() {
			m.Config.Race(a, b)
			m.Config.SendOldAgain(a, spec.MaxTaken/2)
		}
		close(over)
		<-ended
		t.Logf("%d configurations acknowledged, answers %s", m.Config.Acked(), m.Config.Replies())
	})
}

// TestWorstSecondLoss: after each of a machine's repair, replacement and retirement
// the next loss comes as soon as it may, or another machine than the leaving one loses
// its disk in any step of the leave. No kept turn is lost and the core goes on.
func TestWorstSecondLoss(t *testing.T) {
	t.Parallel()
	t.Run("repairs", func(t *testing.T) {
		t.Parallel()
		untroubled(t, 70, func(ctx context.Context, m *sim.Mix) {
			keep(m, 150)
			for i := range 3 * worst() {
				for _, role := range []string{"s", "c"} {
					id := fmt.Sprintf("%s%d", role, i%3+1)
					lose(t, ctx, m, id, time.Duration(i%9)*300*time.Millisecond)
					time.Sleep(sim.SyncTime)
				}
			}
		})
	})
	t.Run("replacements", func(t *testing.T) {
		t.Parallel()
		untroubled(t, 71, func(_ context.Context, m *sim.Mix) {
			keep(m, 150)
			for range min(worst(), 3) {
				m.Fire("replace_core")
				m.Fire("after_ack_wipe")
				m.Fire("replace_core/planned")
				m.Fire("after_ack_wipe/power")
			}
		})
	})
	for step := range 4 * worst() {
		t.Run(fmt.Sprint("leave", step), func(t *testing.T) {
			t.Parallel()
			untroubled(t, uint64(72+step), func(ctx context.Context, m *sim.Mix) {
				bring(m, "s4")
				keep(m, 120)
				if err := m.Sim.Core("c2").Retire(ctx, "s1"); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Duration(step*step) * 30 * time.Millisecond / time.Duration(worst()*worst()))
				lose(t, ctx, m, "s3", time.Second)
				if !sim.Until(20*time.Second, func() bool {
					done, err := m.Sim.Core("c3").Retired(ctx, "s1")
					return err == nil && done
				}) {
					t.Error("s1 does not get empty")
				}
				m.Sim.KillProcess("s1")
				m.Forget("s1")
			})
		})
	}
}

// lose takes a machine's disk; it comes back empty after a while.
func lose(t *testing.T, ctx context.Context, m *sim.Mix, id string, away time.Duration) {
	t.Helper()
	m.Sim.Kill(id)
	m.Sim.Wipe(id)
	time.Sleep(100*time.Millisecond + away)
	launch(t, ctx, m.Sim, false, id)
}

// keep has so many turns kept.
func keep(m *sim.Mix, n int) {
	for i := range n {
		m.Turns.Say(edges[i%len(edges)])
	}
}

// changesMissed is how many changes a member misses.
const changesMissed = 500

// TestWorstAway: a core and a store machine come back after 500 changes, with their
// old disk, a torn one or none. They are right within three seconds, never lead with
// old state, and at once bear the loss of another as soon as that may come.
func TestWorstAway(t *testing.T) {
	t.Parallel()
	for i, disk := range []string{"old", "torn", "none"} {
		t.Run(disk, func(t *testing.T) {
			t.Parallel()
			untroubled(t, uint64(80+i), func(ctx context.Context, m *sim.Mix) {
				away := []string{"c1", "s1"}
				for _, id := range away {
					switch disk {
					case "old":
						m.Sim.KillProcess(id)
					case "torn":
						m.Sim.PowerOff(id, rand.New(rand.NewPCG(uint64(i), 1)))
					case "none":
						m.Sim.Kill(id)
						m.Sim.Wipe(id)
					}
				}
				for range changesMissed {
					m.Config.Change(at(3, "c2", "c3"))
				}
				launch(t, ctx, m.Sim, false, away...)
				took := reads(t, m, "c1", 3*time.Second)
				t.Logf("%s disk: c1 tells the newest after %s", disk, took.Round(time.Millisecond))
				time.Sleep(sim.SyncTime)
				m.Sim.Kill("c2")
				m.Sim.Kill("s2")
				time.Sleep(500 * time.Millisecond)
				m.Config.Change(at(4, "c1", "c3"))
				keep(m, 10)
				launch(t, ctx, m.Sim, false, "c2", "s2")
			})
		})
	}
}

// TestWorstCallers: proxied requests under resets, silences and spoilt answers at every turn;
// what may run once runs once, and each answer is its own.
func TestWorstCallers(t *testing.T) {
	t.Parallel()
	untroubled(t, 90, func(ctx context.Context, m *sim.Mix) {
		sending, enough := context.WithCancel(ctx)
		over := make(chan struct{})
		go func() {
			defer close(over)
			m.Raw.Run(sending, func() []string { return edges })
		}()
		faults := []string{
			"garble/extra",
			"reset_conns",
			"answer_lost",
			"idle_race",
			"srv_grey/reset",
			"srv_grey/hang",
			"node_cut/servers",
			"garble",
			"node_freeze/edge",
			"replace_with_reuse",
		}
		for i, name := range slices.Concat(faults, faults) {
			for _, e := range edges {
				m.Sim.Reset(e, 0.5, rand.New(rand.NewPCG(uint64(i), 5)))
			}
			m.Fire(name)
		}
		enough()
		<-over
		if m.Raw.Served() < 100 {
			t.Errorf("only %d raw jobs were served", m.Raw.Served())
		}
		t.Logf("%d raw jobs served under %s", m.Raw.Served(), strings.Join(faults, ", "))
	})
}
