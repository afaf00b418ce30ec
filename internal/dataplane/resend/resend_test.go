package resend_test

import (
	"testing"

	"damsontiller/internal/dataplane/resend"
)

// TestAllowed: the whole table.
func TestAllowed(t *testing.T) {
	for _, c := range []struct {
		outcome          resend.Outcome
		once, repeatable bool
	}{
		{resend.NotRun, true, true},
		{resend.Unknown, false, true},
		{resend.Answered, false, false},
		{resend.Outcome(99), false, false},
	} {
		if got := resend.Allowed(c.outcome, false); got != c.once {
			t.Errorf("outcome %d of what may run once: %v", c.outcome, got)
		}
		if got := resend.Allowed(c.outcome, true); got != c.repeatable {
			t.Errorf("outcome %d of what may be repeated: %v", c.outcome, got)
		}
	}
}
