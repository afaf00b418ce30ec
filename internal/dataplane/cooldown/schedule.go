package cooldown

import (
	"encoding/json"
	"time"

	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
)

// value is the content of a cooldown's register. WaitMs counts from when a store accepted the value,
// on that store's clock.
type value struct {
	Step   int   `json:"step"`
	WaitMs int64 `json:"wait_ms"`
}

// WaitMs converts a wait to milliseconds, rounded up.
func WaitMs(wait time.Duration) int64 { return (wait + time.Millisecond - 1).Milliseconds() }

func decode(b []byte) (value, error) {
	var v value
	if err := json.Unmarshal(b, &v); err != nil {
		return v, code.New(code.Garbled, "cooldown: %w", err)
	}
	return v, nil
}

// DecodeWait decodes the wait from a register's value.
func DecodeWait(b []byte) (time.Duration, error) {
	v, err := decode(b)
	return time.Duration(v.WaitMs) * time.Millisecond, err
}

// Key returns the cooldown key of calls to a runner: its account if one is configured, otherwise
// the model server or the route of the tool.
func Key(s *spec.Spec, runner spec.Runner) string {
	account, model := runner.Account, false
	for _, route := range s.Routes {
		if route.Name == runner.Route {
			model = route.Model
			if account == "" {
				account = route.Account
			}
		}
	}
	switch {
	case account != "":
		return "account/" + account
	case model:
		return "server/" + runner.Name
	}
	return "route/" + runner.Route
}

// remainingOf returns the remaining wait of a register's state, and its value.
func remainingOf(state register.State) (time.Duration, value, error) {
	if len(state.Value) == 0 {
		return 0, value{}, nil
	}
	v, err := decode(state.Value)
	if err != nil {
		return 0, v, err
	}
	// The snapshot counts a cooldown from when the first store accepted it. A read must do the
	// same, or two edges report different ends of one cooldown to callers.
	return max(time.Duration(v.WaitMs)*time.Millisecond-state.GreatestAge, 0), v, nil
}

// maxStep caps the stored step. The wait reaches its cap long before.
const maxStep = 30

// nextValue computes the value after another refusal, and whether it changes. The wait doubles with
// each step. Refusals during one cooldown count as one step, and the steps restart after a period
// without refusals.
func nextValue(c *spec.Cooldown, state register.State, floor time.Duration) (value, bool, error) {
	left, v, err := remainingOf(state)
	if err != nil {
		return v, false, err
	}
	if left > 0 {
		// Retry-After is a minimum: it may extend the cooldown but never shortens it.
		if floor <= left {
			return v, false, nil
		}
		return value{v.Step, WaitMs(floor)}, true, nil
	}
	step := v.Step + 1
	if len(state.Value) == 0 || state.Age-time.Duration(v.WaitMs)*time.Millisecond > c.Quiet() {
		step = 1
	}
	wait := c.First()
	for i := 1; i < step && wait < c.Cap(); i++ {
		wait *= 2
	}
	wait = max(min(wait, c.Cap()), floor)
	return value{min(step, maxStep), WaitMs(wait)}, true, nil
}

// errInForce cancels a write if the cooldown in force is already long enough.
var errInForce = code.New(code.Cooling, "a longer cooldown is in force")
