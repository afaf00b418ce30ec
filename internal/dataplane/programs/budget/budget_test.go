package budget

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestCompleteBudget checks with random sequences of turns that the total output never exceeds the
// budget. Turns are committed, fail or are lost in any order. Each produces at most what it has
// reserved, and a turn that is never committed counts as spent.
func TestCompleteBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		total := rapid.Int64Range(1, 500).Draw(rt, "total")
		var v Value
		output := int64(0)
		open := map[string]int64{}
		for i := range rapid.IntRange(1, 60).Draw(rt, "turns") {
			id := fmt.Sprint(i)
			if err := v.Reserve(id, rapid.Int64Range(1, 200).Draw(rt, "most"), total); err == nil {
				open[id] = v.Open[id]
				// A retry of the same change must not reserve twice.
				if err := v.Reserve(id, 999, total); err != nil || v.Open[id] != open[id] {
					rt.Fatalf("reserved twice: %d, then %d, %v", open[id], v.Open[id], err)
				}
			}
			for id, n := range open {
				switch rapid.IntRange(0, 4).Draw(rt, "end") {
				case 0:
					spent := rapid.Int64Range(0, n).Draw(rt, "spent")
					output += spent
					v.Settle(id, spent)
					v.Settle(id, spent) // a retry must not commit twice
				case 1: // the turn did not run
					v.Settle(id, 0)
				case 2: // the turn ran but was not committed: the reservation stays
					output += n
				default:
					continue
				}
				delete(open, id)
			}
			if output > total {
				rt.Fatalf("output %d exceeds the budget of %d", output, total)
			}
		}
		left := total - v.Spent
		for _, n := range v.Open {
			left -= n
		}
		if left < 0 {
			rt.Fatalf("reserved beyond the budget by %d", -left)
		}
		if err := v.Reserve("last", 1000, total); (err == nil) != (left > 0) {
			rt.Fatalf("left %d, Reserve returned %v", left, err)
		}
	})
}
