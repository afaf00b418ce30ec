package cooldown

import (
	"encoding/json"
	"time"

	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
)

// value is what the register holds: how long to wait, counted by each store
// from when it took the value.
type value struct {
	Step   int   `json:"step"`
	WaitMs int64 `json:"wait_ms"`
}

// WaitMs is a wait in full milliseconds, never shorter.
func WaitMs(w time.Duration) int64 { return (w + time.Millisecond - 1).Milliseconds() }

func decode(b []byte) (value, error) {
	var v value
	if err := json.Unmarshal(b, &v); err != nil {
		return v, code.New(code.Garbled, "cooldown: %w", err)
	}
	return v, nil
}

// DecodeWait is the wait that a register's value holds.
func DecodeWait(b []byte) (time.Duration, error) {
	v, err := decode(b)
	return time.Duration(v.WaitMs) * time.Millisecond, err
}

// Key is the cooldown key of a call: the account where one is named, else the
// tool's route or the model server.
func Key(s *spec.Spec, r spec.Runner) string {
	acct, model := r.Account, false
	for _, t := range s.Routes {
		if t.Name == r.Route {
			model = t.Model
			if acct == "" {
				acct = t.Account
			}
		}
	}
	switch {
	case acct != "":
		return "account/" + acct
	case model:
		return "server/" + r.Name
	}
	return "route/" + r.Route
}

func remainingOf(st register.State) (time.Duration, value, error) {
	if len(st.Value) == 0 {
		return 0, value{}, nil
	}
	v, err := decode(st.Value)
	if err != nil {
		return 0, v, err
	}
	// The stores' own word on a cooldown counts from when the first of them took it; a read
	// must too, or two edges tell callers two ends of one cooldown.
	return max(time.Duration(v.WaitMs)*time.Millisecond-st.GreatestAge, 0), v, nil
}

// Next works out the value after one more refusal. Refusals within one
// cooldown are one step; after a quiet spell the steps start again.
func nextValue(c *spec.Cooldown, st register.State, floor time.Duration) (value, bool, error) {
	left, v, err := remainingOf(st)
	if err != nil {
		return v, false, err
	}
	if left > 0 {
		// Retry-After is a floor: a longer one lengthens, none shortens.
		if floor <= left {
			return v, false, nil
		}
		return value{v.Step, WaitMs(floor)}, true, nil
	}
	step := v.Step + 1
	if len(st.Value) == 0 || st.Age-time.Duration(v.WaitMs)*time.Millisecond > c.Quiet() {
		step = 1
	}
	wait := c.First()
	for i := 1; i < step && wait < c.Cap(); i++ {
		wait *= 2
	}
	wait = max(min(wait, c.Cap()), floor)
	return value{min(step, 30), WaitMs(wait)}, true, nil
}

var errInForce = code.New(code.Cooling, "a longer cooldown is in force")
