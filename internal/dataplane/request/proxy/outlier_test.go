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

// TestPickOutliers checks that an ejected runner is selected only for its trial or if no other is
// left, a suspected one only if no other has capacity, and a slow one only once the others are
// loaded several times as much.
func TestPickOutliers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, list := NewLoad(), runners(4, 4, "a")
		selection := Selection{Service: &spec.Service{Name: "s"}, List: list, Zone: "a", Allowed: anyRunner, WarmingUp: noRunners}
		pick := func(selection Selection) string {
			if r, _ := l.Pick(selection); r != nil {
				return r.ID
			}
			return ""
		}
		never := func(id string, selection Selection) {
			t.Helper()
			for range 50 {
				if pick(selection) == id {
					t.Errorf("%s was picked", id)
					return
				}
			}
		}
		withPrevious, repeatable := selection, selection
		withPrevious.PreviousRunner, repeatable.Repeatable = "i-a0", true

		l.Watch.Update(outlier.Verdict{Ejected: []outlier.Ejected{{ID: "i-a0"}}})
		never("i-a0", selection)
		never("i-a0", withPrevious)
		only := selection
		only.Allowed = func(r *endpoints.Runner) bool { return r.ID == "i-a0" }
		if pick(only) != "i-a0" {
			t.Error("the ejected runner was not picked although no other is allowed")
		}

		l.Watch.Update(outlier.Verdict{Ejected: []outlier.Ejected{{ID: "i-a0", Trial: true}}})
		never("i-a0", selection)
		if pick(repeatable) != "i-a0" {
			t.Error("the ejected runner was not picked for its trial")
		}
		never("i-a0", repeatable)

		// One failure is no reason to leave the runner that has the prompts cached; two are.
		l.Watch.Update(outlier.Verdict{})
		l.Watch.Failure("i-a0")
		never("i-a0", selection)
		if pick(withPrevious) != "i-a0" {
			t.Error("the previous runner was not picked after one failure")
		}
		l.Watch.Failure("i-a0")
		never("i-a0", withPrevious)
		var release []func()
		for _, id := range []string{"i-a1", "i-a2", "i-a3"} {
			for range 4 {
				_, done := l.Begin(id, 0)
				release = append(release, done)
			}
		}
		if pick(selection) != "i-a0" {
			t.Error("the others are full, and the suspected runner was not picked")
		}
		for _, f := range release {
			f()
		}
		// A node that suspects many runners is more likely at fault itself.
		l.Watch.Failure("i-a1")
		seen := map[string]bool{}
		for range 100 {
			seen[pick(selection)] = true
		}
		if len(seen) != 4 {
			t.Errorf("two of four are suspected, picked %v", seen)
		}
		time.Sleep(5 * time.Second)

		l.Watch.Update(outlier.Verdict{Slow: map[string]float64{"i-a0": 3}})
		never("i-a0", selection)
		for _, id := range []string{"i-a1", "i-a2", "i-a3"} {
			for range 3 {
				l.Begin(id, 0)
			}
		}
		if pick(selection) != "i-a0" {
			t.Error("the slow runner was not picked although idle, with three jobs at each other one")
		}
	})
}

// TestPickAlwaysSelects checks that a runner is selected in any combination of ejections, failures
// and slowness, as long as one is allowed.
func TestPickAlwaysSelects(t *testing.T) {
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
		selection := Selection{
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
		if r, _ := l.Pick(selection); r == nil {
			rt.Fatal("no runner was picked")
		}
	})
}
