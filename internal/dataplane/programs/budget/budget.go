// Package budget keeps each program's one budget of output and time, complete over all
// nodes: a turn reserves its largest output before it is passed and commits to
// the true figure after. A reservation nobody commits counts as spent. The time a
// program has left is the least that any node has received, counted down since by the
// stores; a sub-agent spends from the program at the root, and does not outlive it.
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

// Value is a budget's register.
type Value struct {
	Spent int64            `json:"spent"`
	Open  map[string]int64 `json:"open,omitempty"`
	// LeftMs is the time that the program had left at the last write; Timed, that
	// it has been received.
	LeftMs    int64 `json:"left_ms,omitempty"`
	TimeKnown bool  `json:"timed,omitempty"`
	// Root is set for a sub-agent, which has no budget of its own.
	Root string `json:"root,omitempty"`
	// LastRunner is the runner that last read the program's prompts and may hold them still.
	LastRunner string `json:"home,omitempty"`
}

// UpdateTimeLeft counts down what was left by the age of the last write, and takes a smaller
// word of what is left; a larger one is not taken.
func (v *Value) UpdateTimeLeft(age, stated time.Duration) time.Duration {
	left := stated
	if v.TimeKnown {
		left = min(time.Duration(v.LeftMs)*time.Millisecond-age, stated)
	}
	v.TimeKnown, v.LeftMs = true, max(left, 0).Milliseconds()
	return left
}

// Reserve takes up to most for a job out of what is left of total.
func (v *Value) Reserve(id string, most, total int64) error {
	if _, ok := v.Open[id]; ok {
		return nil
	}
	left := total - v.Used()
	if left <= 0 {
		return code.New(code.BudgetSpent, "the budget of %d is spent", total)
	}
	if v.Open == nil {
		v.Open = map[string]int64{}
	}
	v.Open[id] = min(most, left)
	return nil
}

// Settle turns a reservation into what was really spent.
func (v *Value) Settle(id string, spent int64) {
	if _, ok := v.Open[id]; ok {
		delete(v.Open, id)
		v.Spent += spent
	}
}

// Policy reserves before a model turn and commits after it.
type Policy struct {
	Stores *storeclient.Client
	// ReserveTimeout is the deadline of reserving, CommitTimeout of one try at settling.
	ReserveTimeout, CommitTimeout time.Duration
	Background                    job.Background
}

// Used is what is spent or still reserved.
func (v *Value) Used() int64 {
	n := v.Spent
	for _, o := range v.Open {
		n += o
	}
	return n
}

// Read is a program's budget as the stores hold it.
func Read(ctx context.Context, t *storeclient.Client, program string) (Value, error) {
	st, err := t.Read(ctx, keys.Budget(program))
	if err != nil {
		return Value{}, err
	}
	return read(st)
}

func read(st register.State) (Value, error) {
	var v Value
	if st.Expired {
		return v, code.New(
			code.Expired,
			"the program's budget is past its keeping time; a new program needs a new name",
		)
	}
	if len(st.Value) > 0 {
		if err := json.Unmarshal(st.Value, &v); err != nil {
			return v, code.New(code.Garbled, "budget: %w", err)
		}
	}
	return v, nil
}

// Do is the policy.
func (p Policy) Do(c *job.Ctx, next job.Next) job.Answer {
	if err := p.root(c); err != nil {
		return job.Answer{Err: err}
	}
	total, ok := c.View.Spec.Output(c.Root)
	if !ok {
		return job.Failure(code.BadField, "no budget is stated for program %q", c.Root)
	}
	ctx, stop := context.WithTimeout(c, min(p.ReserveTimeout, c.Left()))
	st, err := p.Stores.ChangeStrict(ctx, keys.Budget(c.Root), func(st register.State) ([]byte, bool, error) {
		v, err := read(st)
		if err != nil {
			return nil, false, err
		}
		if err := v.begin(c, st.Age); err != nil {
			return nil, false, err
		}
		if err := v.Reserve(c.ID, c.MaxOutput, total); err != nil {
			return nil, false, err
		}
		b, err := json.Marshal(v)
		return b, true, err
	})
	stop()
	if code.Of(err) == code.OutcomeUnknown {
		// Perhaps it is reserved; nothing was passed, so it is handed back.
		p.Background.Go(func() { p.commit(c, 0) })
		return job.Failure(code.StoresUnreachable, "the budget could not be reserved: %w", err)
	}
	if err != nil {
		return job.Answer{Err: err}
	}
	v, err := read(st)
	if err != nil {
		return job.Answer{Err: err}
	}
	c.MaxOutput = v.Open[c.ID]
	p.bound(c, v)
	c.At(job.Reserved)
	a := next(c)
	switch a.Ran() {
	case "no":
		p.Background.Go(func() { p.commit(c, 0) })
	case "yes":
		// The next turn of the program may come at once and should find what
		// this one left; but the caller does not wait for a slow tier.
		done := make(chan struct{})
		spent := c.Spent
		p.Background.Go(func() { defer close(done); p.commit(c, spent) })
		ctx, stop := context.WithTimeout(c, p.CommitTimeout)
		defer stop()
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
	// With the outcome unknown the reservation stays, and counts as spent.
	return a
}

// commit tries for a minute; what stays reserved counts as spent.
func (p Policy) commit(c *job.Ctx, spent int64) {
	for try := 0; try < 60; try++ {
		ctx, stop := context.WithTimeout(p.Background.Ctx, p.CommitTimeout)
		_, err := p.Stores.Change(ctx, keys.Budget(c.Root), func(st register.State) ([]byte, bool, error) {
			v, err := read(st)
			if err != nil {
				return nil, false, err
			}
			v.UpdateTimeLeft(st.Age, time.Until(c.ProgramEnd))
			v.Settle(c.ID, spent)
			b, err := json.Marshal(v)
			return b, true, err
		})
		stop()
		if err == nil || !loop.Wait(p.Background.Ctx, time.Second) {
			return
		}
	}
	c.Log.Warn("reservation not committed, it counts as spent", "program", c.Root)
}

// begin takes a job's word of the time its program has left.
func (v *Value) begin(c *job.Ctx, age time.Duration) error {
	if v.Root != "" {
		return code.New(code.BadProgram, "%q was started by another program, of %q: name it", c.Root, v.Root)
	}
	subagent := c.Root != c.Program
	if subagent && !v.TimeKnown {
		return code.New(code.BadProgram, "program %q is not known", c.Root)
	}
	if v.UpdateTimeLeft(age, time.Until(c.ProgramEnd)) > 0 {
		return nil
	}
	if subagent {
		return code.New(code.BadProgram, "program %q has ended", c.Root)
	}
	// The time that was received is over and the program asks again: it has more than
	// it said, as one that goes on with a kept conversation after days. Its output
	// budget goes on; its time starts anew.
	v.TimeKnown = false
	v.UpdateTimeLeft(0, time.Until(c.ProgramEnd))
	return nil
}

// bound ends a job with its program, by the least that was seen its time.
func (p Policy) bound(c *job.Ctx, v Value) {
	if end := time.Now().Add(time.Duration(v.LeftMs) * time.Millisecond); end.Before(c.AnswerBy) {
		c.AnswerBy = end
	}
}

// root finds the program whose budget a job spends from. A sub-agent's is written down
// with its first turn, so that helpers of its own find it too.
func (p Policy) root(c *job.Ctx) error {
	if c.Root = c.Program; c.StartedBy == "" {
		return nil
	}
	ctx, stop := context.WithTimeout(c, min(2*p.ReserveTimeout, c.Left()))
	defer stop()
	by, err := Read(ctx, p.Stores, c.StartedBy)
	if err != nil {
		return err
	}
	if c.Root = by.Root; c.Root == "" {
		c.Root = c.StartedBy
	}
	if by.Root == "" && !by.TimeKnown {
		return code.New(code.BadProgram, "program %q is not known", c.StartedBy)
	}
	if c.Root == c.Program {
		return code.New(code.BadProgram, "%q is the root of %q", c.Program, c.StartedBy)
	}
	_, err = p.Stores.Change(ctx, keys.Budget(c.Program), func(st register.State) ([]byte, bool, error) {
		v, err := read(st)
		switch {
		case err != nil:
			return nil, false, err
		case v.Root == c.Root:
			return nil, false, errKnown
		case len(st.Value) > 0:
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
	if errors.Is(err, errKnown) {
		err = nil
	}
	if code.Of(err) == code.OutcomeUnknown {
		err = code.New(code.StoresUnreachable, "the sub-agent could not be recorded: %w", err)
	}
	return err
}

var errKnown = errors.New("the sub-agent is known")

// SubagentPolicy bounds a sub-agent's tool calls by the program at the root.
type SubagentPolicy struct{ Policy }

// Do is the policy.
func (p SubagentPolicy) Do(c *job.Ctx, next job.Next) job.Answer {
	if c.StartedBy == "" {
		return next(c)
	}
	if err := p.root(c); err != nil {
		return job.Answer{Err: err}
	}
	ctx, stop := context.WithTimeout(c, min(p.ReserveTimeout, c.Left()))
	st, err := p.Stores.Read(ctx, keys.Budget(c.Root))
	stop()
	if err != nil {
		return job.Answer{Err: err}
	}
	v, err := read(st)
	if err == nil {
		err = v.begin(c, st.Age)
	}
	if err != nil {
		return job.Answer{Err: err}
	}
	p.bound(c, v)
	return next(c)
}
