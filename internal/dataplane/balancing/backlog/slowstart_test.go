package backlog

import (
	"testing"
	"time"
)

// TestSlowStartTime checks that rounds grow from 1 to 2, 4 and so on calls, and never exceed the
// number of slots.
func TestSlowStartTime(t *testing.T) {
	for _, tc := range []struct{ ahead, slots, rounds int }{
		{0, 8, 1},
		{1, 8, 2},
		{2, 8, 2},
		{3, 8, 3},
		{6, 8, 3},
		{7, 8, 4},
		{14, 8, 4},
		{15, 8, 5},
		{22, 8, 5},
		{23, 8, 6},
		{35, 6, 8},
		{4, 1, 5},
		{4, 0, 5},
	} {
		if got := slowStartTime(tc.ahead, tc.slots, time.Second); got != time.Duration(tc.rounds)*time.Second {
			t.Errorf("behind %d with %d slots: %s, want %d rounds", tc.ahead, tc.slots, got, tc.rounds)
		}
	}
}
