package budget

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestCompleteBudget: whatever turns come, commits, fail or are lost, in any order, what
// is put out never passes the budget: each puts out no more than it reserved,
// and one that nobody commits counts as spent.
func TestCompleteBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		total := rapid.Int64Range(1, 500).Draw(rt, "total")
		var v Value
		out := int64(0)
		open := map[string]int64{}
		for i := range rapid.IntRange(1, 60).Draw(rt, "turns") {
			id := fmt.Sprint(i)
			if err := v.Reserve(id, rapid.Int64Range(1, 200).Draw(rt, "most"), total); err == nil {
				open[id] = v.Open[id]
				// The same change tried again underneath reserves once.
				if err := v.Reserve(id, 999, total); err != nil || v.Open[id] != open[id] {
					rt.Fatalf("reserved twice: %d, then %d, %v", open[id], v.Open[id], err)
				}
			}
			for id, n := range open {
				switch rapid.IntRange(0, 4).Draw(rt, "end") {
				case 0:
					spent := rapid.Int64Range(0, n).Draw(rt, "spent")
					out += spent
					v.Settle(id, spent)
					v.Settle(id, spent) // and commits once
				case 1: // never run
					v.Settle(id, 0)
				case 2: // ran, and nobody received: the reservation stays
					out += n
				default:
					continue
				}
				delete(open, id)
			}
			if out > total {
				rt.Fatalf("%d put out of %d", out, total)
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
			rt.Fatalf("left %d, reserving says %v", left, err)
		}
	})
}
