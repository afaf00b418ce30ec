package register

import (
	"testing"
	"time"

	"damsontiller/internal/proto/wire"
)

// TestAges: of one cooldown two edges told callers two ends, 0.4 s and more apart: three
// proposers had competed while a store was cut off, so the replicas took the value at different
// times, and a read counted from when the last of them had, the stores' own word from when the
// first did. A read states both ages; only replicas of the value that was chosen count.
func TestAges(t *testing.T) {
	answer := func(addr string, ballot uint64, ageMs int64) reply {
		view := &wire.View{
			Accepted: &wire.Ballot{N: ballot},
			Cell:     &wire.Cell{Ver: ballot, Timed: true},
			AgeMs:    ageMs,
		}
		return reply{from: Replica{Addr: addr}, resp: &wire.Resp{Op: &wire.Resp_View{View: view}}}
	}
	top, holders := newestAccepted([]reply{answer("a", 7, 800), answer("b", 7, 1200), answer("c", 6, 9000)})
	st := stateOf(top)
	if st.Age != 800*time.Millisecond || st.GreatestAge != 1200*time.Millisecond || len(holders) != 2 {
		t.Errorf("ages %v to %v of %d replicas", st.Age, st.GreatestAge, len(holders))
	}
}
