package register

import (
	"testing"
	"time"

	"damsontiller/internal/proto/wire"
)

// TestAges checks that a read reports the lowest and the highest age among the replicas of the
// chosen value. After three proposers had competed while a store was unreachable, the replicas
// had accepted one value at different times. Two edges then reported ends of the same cooldown
// 0.4 s and more apart: a read counted from the last replica's acceptance, the stores
// themselves from the first one's.
func TestAges(t *testing.T) {
	voterReply := func(addr string, ballot uint64, ageMs int64) reply {
		view := &wire.View{
			Accepted: &wire.Ballot{N: ballot},
			Cell:     &wire.Cell{Ver: ballot, Timed: true},
			AgeMs:    ageMs,
		}
		return reply{from: Replica{Addr: addr}, resp: &wire.Resp{Op: &wire.Resp_View{View: view}}}
	}
	newest, holders := newestAccepted([]reply{voterReply("a", 7, 800), voterReply("b", 7, 1200), voterReply("c", 6, 9000)})
	state := stateOf(newest)
	if state.Age != 800*time.Millisecond || state.GreatestAge != 1200*time.Millisecond || len(holders) != 2 {
		t.Errorf("ages %v to %v of %d replicas", state.Age, state.GreatestAge, len(holders))
	}
}
