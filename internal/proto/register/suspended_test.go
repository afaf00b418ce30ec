package register_test

import (
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/proto/register"
)

// TestSuspended: a proposer whose machine was suspended for longer than a ballot promised
// ahead may be used prepares anew, though its monotonic clock stood still. One whose time of
// day was set back goes on in one round.
func TestSuspended(t *testing.T) {
	for _, tc := range []struct {
		name     string
		step     time.Duration // of the time of day
		oneRound uint64
	}{
		{"not suspended", 0, 1},
		{"briefly", 5 * time.Second, 1},
		{"suspended", time.Minute, 0},
		{"set back", -time.Minute, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			v, set := newVoters(3)
			p := register.NewProposer(1, v.call)
			var step time.Duration
			p.Clock = func() time.Time { return time.Now().Add(step) }
			if _, err := p.Change(t.Context(), set, "k", put("first")); err != nil {
				t.Fatal(err)
			}
			step = tc.step
			st, err := p.Change(t.Context(), set, "k", put("second"))
			if err != nil || string(st.Value) != "second" {
				t.Errorf("%s: %q, %v", tc.name, st.Value, err)
			}
			if n := p.OneRound.Load(); n != tc.oneRound {
				t.Errorf("%s: %d changes in one round, want %d", tc.name, n, tc.oneRound)
			}
		})
	}
}
