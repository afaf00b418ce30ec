package register_test

import (
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/proto/register"
)

// TestSuspended checks that a proposer whose machine was suspended for longer than the lifetime
// of a prepared ballot prepares again, although its monotonic clock stood still. A proposer
// whose time of day was set back still makes its change in one round.
func TestSuspended(t *testing.T) {
	for _, tc := range []struct {
		name      string
		clockStep time.Duration // of the time of day
		oneRound  uint64
	}{
		{"not suspended", 0, 1},
		{"briefly", 5 * time.Second, 1},
		{"suspended", time.Minute, 0},
		{"set back", -time.Minute, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			voters, set := newVoters(3)
			proposer := register.NewProposer(1, voters.call)
			var clockStep time.Duration
			proposer.Clock = func() time.Time { return time.Now().Add(clockStep) }
			if _, err := proposer.Change(t.Context(), set, "k", setTo("first")); err != nil {
				t.Fatal(err)
			}
			clockStep = tc.clockStep
			state, err := proposer.Change(t.Context(), set, "k", setTo("second"))
			if err != nil || string(state.Value) != "second" {
				t.Errorf("%s: %q, %v", tc.name, state.Value, err)
			}
			if n := proposer.OneRound.Load(); n != tc.oneRound {
				t.Errorf("%s: %d changes in one round, want %d", tc.name, n, tc.oneRound)
			}
		})
	}
}
