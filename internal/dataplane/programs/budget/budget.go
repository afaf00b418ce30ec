// Package budget enforces the output and time budgets of programs across all nodes. A turn reserves
// its maximum output before it is forwarded to a runner and commits its actual output afterwards. A
// reservation that is never committed counts as spent. The remaining time of a program is the
// smallest value that any node has received, and is counted down by the age of the register at the
// stores. A sub-agent uses the budget of the root program and ends with it.
package budget

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"damsontiller/internal/coordination/storeclient"
	"damsontiller/internal/dataplane/request/job"
	"damsontiller/internal/proto/keys"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// Value is the content of a program's budget register.
type Value struct {
	Spent int64 `json:"spent"`
	// Open holds the reservations that are not committed, by job id.
	Open map[string]int64 `json:"open,omitempty"`
	// LeftMs is the remaining time of the program as of the last write. TimeKnown is set once it
	// has been received.
	LeftMs    int64 `json:"left_ms,omitempty"`
	TimeKnown bool  `json:"timed,omitempty"`
	// Root is the root program of a sub-agent. A sub-agent has no separate budget.
	Root string `json:"root,omitempty"`
	// LastRunner is the runner that last processed the program's prompts and may still have them
	// in its cache.
	LastRunner string `json:"home,omitempty"`
}

// UpdateTimeLeft subtracts the age of the last write from the remaining time, applies the stated
// time if it is smaller, and returns the result, which may be negative.
func (value *Value) UpdateTimeLeft(age, stated time.Duration) time.Duration {
	left := stated
	if value.TimeKnown {
		left = min(time.Duration(value.LeftMs)*time.Millisecond-age, stated)
	}
	value.TimeKnown, value.LeftMs = true, max(left, 0).Milliseconds()
	return left
}

// Reserve reserves up to maxOutput of the remaining budget for a job. It has no effect if the job
// already has a reservation.
func (value *Value) Reserve(id string, maxOutput, total int64) error {
	if _, ok := value.Open[id]; ok {
		return nil
	}
	left := total - value.Used()
	if left <= 0 {
		return code.New(code.BudgetSpent, "the budget of %d is spent", total)
	}
	if value.Open == nil {
		value.Open = map[string]int64{}
	}
	value.Open[id] = min(maxOutput, left)
	return nil
}

// Settle replaces a job's reservation by its actual output. It has no effect without a reservation.
func (value *Value) Settle(id string, spent int64) {
	if _, ok := value.Open[id]; ok {
		delete(value.Open, id)
		value.Spent += spent
	}
}

// Policy reserves budget before a model turn and commits the actual output after it.
type Policy struct {
	Stores *storeclient.Client
	// ReserveTimeout is the deadline of a reservation, CommitTimeout of one attempt to commit.
	ReserveTimeout, CommitTimeout time.Duration
	Background                    job.Background
}

// Used returns the sum of the spent and the reserved output.
func (value *Value) Used() int64 {
	used := value.Spent
	for _, reserved := range value.Open {
		used += reserved
	}
	return used
}

// Read reads a program's budget from the stores.
func Read(ctx context.Context, stores *storeclient.Client, program string) (Value, error) {
	state, err := stores.Read(ctx, keys.Budget(program))
	if err != nil {
		return Value{}, err
	}
	return decode(state)
}

// decode returns the budget in a register's state, or an error if its retention time is over.
func decode(state register.State) (Value, error) {
	var value Value
	if state.Expired {
		return value, code.New(
			code.Expired,
			"the program's budget is past its keeping time; a new program needs a new name",
		)
	}
	if len(state.Value) > 0 {
		if err := json.Unmarshal(state.Value, &value); err != nil {
			return value, code.New(code.Garbled, "budget: %w", err)
		}
	}
	return value, nil
}

// Do implements job.Policy.
func (policy Policy) Do(c *job.Ctx, next job.Next) job.Answer {
	if err := policy.resolveRoot(c); err != nil {
		return job.Answer{Err: err}
	}
	total, ok := c.View.Spec.Output(c.Root)
	if !ok {
		return job.Failure(code.BadField, "no budget is stated for program %q", c.Root)
	}
	ctx, stop := context.WithTimeout(c, min(policy.ReserveTimeout, c.Left()))
	state, err := policy.Stores.ChangeStrict(
		ctx,
		keys.Budget(c.Root),
		func(state register.State) ([]byte, bool, error) {
			value, err := decode(state)
			if err != nil {
				return nil, false, err
			}
			if err := value.checkTime(c, state.Age); err != nil {
				return nil, false, err
			}
			if err := value.Reserve(c.ID, c.MaxOutput, total); err != nil {
				return nil, false, err
			}
			b, err := json.Marshal(value)
			return b, true, err
		},
	)
	stop()
	if code.Of(err) == code.OutcomeUnknown {
		// The reservation may have been written. It is released because the job is not forwarded.
		policy.Background.Go(func() { policy.commit(c, 0) })
		return job.Failure(code.StoresUnreachable, "the budget could not be reserved: %w", err)
	}
	if err != nil {
		return job.Answer{Err: err}
	}
	value, err := decode(state)
	if err != nil {
		return job.Answer{Err: err}
	}
	c.MaxOutput = value.Open[c.ID]
	policy.limitDeadline(c, value)
	c.At(job.Reserved)
	answer := next(c)
	switch answer.Ran() {
	case "no":
		policy.Background.Go(func() { policy.commit(c, 0) })
	case "yes":
		// The program's next turn may follow immediately and should see this commit. The caller
		// does not wait longer than CommitTimeout if the stores are slow.
		committed := make(chan struct{})
		spent := c.Spent
		policy.Background.Go(func() { defer close(committed); policy.commit(c, spent) })
		ctx, stop := context.WithTimeout(c, policy.CommitTimeout)
		defer stop()
		select {
		case <-committed:
		case <-ctx.Done():
		}
	}
	// If the outcome is unknown, the reservation stays and counts as spent.
	return answer
}

// Retries of a commit, for about a minute.
const (
	commitAttempts      = 60
	commitRetryInterval = time.Second
)

// commit settles a job's reservation. If all attempts fail, the reservation counts as spent.
func (policy Policy) commit(c *job.Ctx, spent int64) {
	for attempt := 0; attempt < commitAttempts; attempt++ {
		ctx, stop := context.WithTimeout(policy.Background.Ctx, policy.CommitTimeout)
		_, err := policy.Stores.Change(ctx, keys.Budget(c.Root), func(state register.State) ([]byte, bool, error) {
			value, err := decode(state)
			if err != nil {
				return nil, false, err
			}
			value.UpdateTimeLeft(state.Age, time.Until(c.ProgramEnd))
			value.Settle(c.ID, spent)
			b, err := json.Marshal(value)
			return b, true, err
		})
		stop()
		if err == nil || !loop.Wait(policy.Background.Ctx, commitRetryInterval) {
			return
		}
	}
	c.Log.Warn("reservation not committed, it counts as spent", "program", c.Root)
}

// checkTime updates the remaining time of a job's program and checks that the job may run.
func (value *Value) checkTime(c *job.Ctx, age time.Duration) error {
	if value.Root != "" {
		return code.New(code.BadProgram, "%q was started by another program, of %q: name it", c.Root, value.Root)
	}
	subagent := c.Root != c.Program
	if subagent && !value.TimeKnown {
		return code.New(code.BadProgram, "program %q is not known", c.Root)
	}
	if value.UpdateTimeLeft(age, time.Until(c.ProgramEnd)) > 0 {
		return nil
	}
	if subagent {
		return code.New(code.BadProgram, "program %q has ended", c.Root)
	}
	// The time has run out, but the program has sent another request with remaining time, for
	// example to continue a conversation after several days. The output budget is kept, and the
	// time restarts with the stated value.
	value.TimeKnown = false
	value.UpdateTimeLeft(0, time.Until(c.ProgramEnd))
	return nil
}

// limitDeadline limits a job's deadline to the remaining time of its program.
func (policy Policy) limitDeadline(c *job.Ctx, value Value) {
	if end := time.Now().Add(time.Duration(value.LeftMs) * time.Millisecond); end.Before(c.AnswerBy) {
		c.AnswerBy = end
	}
}

// resolveRoot sets c.Root to the program whose budget the job uses. It records the root program of a
// sub-agent in the sub-agent's register, so that sub-agents of the sub-agent find it too.
func (policy Policy) resolveRoot(c *job.Ctx) error {
	if c.Root = c.Program; c.StartedBy == "" {
		return nil
	}
	ctx, stop := context.WithTimeout(c, min(2*policy.ReserveTimeout, c.Left()))
	defer stop()
	parent, err := Read(ctx, policy.Stores, c.StartedBy)
	if err != nil {
		return err
	}
	if c.Root = parent.Root; c.Root == "" {
		c.Root = c.StartedBy
	}
	if parent.Root == "" && !parent.TimeKnown {
		return code.New(code.BadProgram, "program %q is not known", c.StartedBy)
	}
	if c.Root == c.Program {
		return code.New(code.BadProgram, "%q is the root of %q", c.Program, c.StartedBy)
	}
	_, err = policy.Stores.Change(ctx, keys.Budget(c.Program), func(state register.State) ([]byte, bool, error) {
		value, err := decode(state)
		switch {
		case err != nil:
			return nil, false, err
		case value.Root == c.Root:
			return nil, false, errAlreadyRecorded
		case len(state.Value) > 0:
			return nil, false, code.New(
				code.BadProgram,
				"%q runs already, and not as a sub-agent of %q",
				c.Program,
				c.Root,
			)
		}
		b, err := json.Marshal(Value{Root: c.Root})
		return b, false, err
	})
	if errors.Is(err, errAlreadyRecorded) {
		err = nil
	}
	if code.Of(err) == code.OutcomeUnknown {
		err = code.New(code.StoresUnreachable, "the sub-agent could not be recorded: %w", err)
	}
	return err
}

// errAlreadyRecorded cancels a write if the sub-agent's root is already recorded.
var errAlreadyRecorded = errors.New("the sub-agent is already recorded")

// SubagentPolicy limits the tool calls of a sub-agent to the remaining time of its root program.
type SubagentPolicy struct{ Policy }

// Do implements job.Policy.
func (policy SubagentPolicy) Do(c *job.Ctx, next job.Next) job.Answer {
	if c.StartedBy == "" {
		return next(c)
	}
	if err := policy.resolveRoot(c); err != nil {
		return job.Answer{Err: err}
	}
	ctx, stop := context.WithTimeout(c, min(policy.ReserveTimeout, c.Left()))
	state, err := policy.Stores.Read(ctx, keys.Budget(c.Root))
	stop()
	if err != nil {
		return job.Answer{Err: err}
	}
	value, err := decode(state)
	if err == nil {
		err = value.checkTime(c, state.Age)
	}
	if err != nil {
		return job.Answer{Err: err}
	}
	policy.limitDeadline(c, value)
	return next(c)
}
