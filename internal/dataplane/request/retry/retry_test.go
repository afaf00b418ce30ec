package retry_test

import (
	"testing"

	"damsontiller/internal/dataplane/request/retry"
)

// TestAllowed checks every outcome, with an unknown one, for requests that may run once and
// for repeatable ones.
func TestAllowed(t *testing.T) {
	for _, c := range []struct {
		outcome          retry.Outcome
		once, repeatable bool
	}{
		{retry.NotRun, true, true},
		{retry.Unknown, false, true},
		{retry.Answered, false, false},
		{retry.Outcome(99), false, false},
	} {
		if got := retry.Allowed(c.outcome, false); got != c.once {
			t.Errorf("outcome %d of a request that may run once: %v", c.outcome, got)
		}
		if got := retry.Allowed(c.outcome, true); got != c.repeatable {
			t.Errorf("outcome %d of a repeatable request: %v", c.outcome, got)
		}
	}
}
