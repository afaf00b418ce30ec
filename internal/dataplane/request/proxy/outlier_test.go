package proxy

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"damsontiller/internal/dataplane/balancing/endpoints"
	"damsontiller/internal/dataplane/balancing/outlier"
	"damsontiller/internal/proto/spec"
)

// TestPickOutliers: an ejected runner is picked for its trial and where nobody
// else is left, a doubted one where nobody else has a place; a slow one once the
// others are so many times as loaded.
func TestPickOutliers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, list := NewLoad(), runners(4, 4, "a")
		ask := Selection{Service: &spec.Service{Name: "s"}, List: list, Zone: "a", Allowed: anyRunner, WarmingUp: noRunners}
		pick := func(ask Selection) string {
			if r, _ := l.Pick(ask); r != nil {
				return r.ID
			}
			return ""
		}
		never := func(id string, ask Selection) {
			t.Helper()
			for range 50 {
				if pick(ask) == id {
					t.Errorf("%s was picked", id)
					return
				}
			}
		}
		homed, repeatable := ask, ask
		homed.PreviousRunner, repeatable.Repeatable = "i-a0", true

		l.Watch.Update(outlier.Verdict{Ejected: []outlier.Ejected{{ID: "i-a0"}}})
		never("i-a0", ask)
		never("i-a0", homed)
		only := ask
		only.Allowed = func(r *endpoints.Runner) bool { return r.ID == "i-a0" }
		if pick(only) != "i-a0" {
			t.Error("nobody rather than the ejected one")
		}

		l.Watch.Update(outlier.Verdict{Ejected: []outlier.Ejected{{ID: "i-a0", Trial: true}}})
		never("i-a0", ask)
		if pick(repeatable) != "i-a0" {
			t.Error("the trial was not made")
		}
		never("i-a0", repeatable)

		// One failure is no reason to leave where the prompts are held, two are.
		l.Watch.Update(outlier.Verdict{})
		l.Watch.Failure("i-a0")
		never("i-a0", ask)
		if pick(homed) != "i-a0" {
			t.Error("left its home after one failure")
		}
		l.Watch.Failure("i-a0")
		never("i-a0", homed)
		var done []func()
		for _, id := range []string{"i-a1", "i-a2", "i-a3"} {
			for range 4 {
				_, out := l.Begin(id, 0)
				done = append(done, out)
			}
		}
		if pick(ask) != "i-a0" {
			t.Error("the others are full, and the doubted one was not picked")
		}
		for _, f := range done {
			f()
		}
		// Who suspects many is at fault itself.
		l.Watch.Failure("i-a1")
		seen := map[string]bool{}
		for range 100 {
			seen[pick(ask)] = true
		}
		if len(seen) != 4 {
			t.Errorf("two of four are doubted, picked %v", seen)
		}
		time.Sleep(5 * time.Second)

		l.Watch.Update(outlier.Verdict{Slow: map[string]float64{"i-a0": 3}})
		never("i-a0", ask)
		for _, id := range []string{"i-a1", "i-a2", "i-a3"} {
			for range 3 {
				l.Begin(id, 0)
			}
		}
		if pick(ask) != "i-a0" {
			t.Error("others have three each, and the slow one none")
		}
	})
}

// TestPickSomebody: whatever is said of the runners, somebody is picked while
// anybody may be.
func TestPickSomebody(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(rt, "runners")
		l, list := NewLoad(), runners(2, n, "a")
		v := outlier.Verdict{Slow: map[string]float64{}}
		for _, r := range list.Runners {
			switch rapid.IntRange(0, 3).Draw(rt, "state") {
			case 1:
				v.Ejected = append(v.Ejected, outlier.Ejected{ID: r.ID, Trial: rapid.Bool().Draw(rt, "trial")})
			case 2:
				v.Slow[r.ID] = rapid.Float64Range(2, 30).Draw(rt, "slow")
			}
			for range rapid.IntRange(0, 3).Draw(rt, "failures") {
				l.Watch.Failure(r.ID)
			}
			for range rapid.IntRange(0, 2).Draw(rt, "busy") {
				l.Begin(r.ID, 1)
			}
		}
		l.Watch.Update(v)
		ask := Selection{
			Service:   &spec.Service{Name: "s"},
			List:      list,
			Zone:      "a",
			Allowed:   anyRunner,
			WarmingUp: noRunners,
			Key:       rapid.SampledFrom([]string{"", "k"}).Draw(rt, "key"),
			PreviousRunner: rapid.SampledFrom(
				[]string{"", "i-a0"},
			).Draw(
				rt,
				"home",
			),
			Repeatable: rapid.Bool().Draw(rt, "repeatable"),
		}
		if r, _ := l.Pick(ask); r == nil {
			rt.Fatal("nobody was picked")
		}
	})
}
