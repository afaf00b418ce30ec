// Package conversation keeps conversations. A turn is immutable, carries the turns
// before it, and is at a majority of its stores before its answer leaves. That
// it carries them makes its promise its own: as long as the last turn is kept,
// so is all that led to it, for one read and one write a turn.
package conversation

import (
	"context"
	"encoding/json"
	"time"

	"damsontiller/internal/coordination/storeclient"
	"damsontiller/internal/dataplane/request/job"
	"damsontiller/internal/proto/keys"
	"damsontiller/internal/transport/code"
)

// MaxBytes bounds one turn with its history.
const MaxBytes = 2 << 20

// turn is what is kept.
type turn struct {
	Program string     `json:"program"`
	Conv    string     `json:"conv"`
	Lines   []job.Line `json:"lines"`
}

// Policy fetches the history before a turn and keeps the turn after it.
type Policy struct {
	Stores *storeclient.Client
	// ReadTimeout is the deadline of fetching a history, LateWriteTimeout of keeping a turn whose own
	// deadline has passed.
	ReadTimeout, LateWriteTimeout time.Duration
	Background                    job.Background
}

// Do is the policy.
func (p Policy) Do(c *job.Ctx, next job.Next) job.Answer {
	keep, ok := c.View.Spec.Keep(c.Conv)
	if !ok {
		return job.Failure(code.BadField, "conversation: no keeping time is stated for class %q", c.Conv)
	}
	if err := p.history(c); err != nil {
		return job.Answer{Err: err}
	}
	c.At(job.HistoryRead)
	a := next(c)
	if a.Err != nil {
		return a
	}
	var got struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(a.Body, &got); err != nil {
		return job.Failure(code.Incomplete, "answer can't be read: %w", err)
	}
	b, err := json.Marshal(
		turn{
			c.Program,
			c.Conv,
			append(c.History[:len(c.History):len(c.History)], job.Line{Words: c.Prompt, Answer: got.Text}),
		},
	)
	if err != nil {
		return job.Failure(code.NotKept, "%w", err)
	}
	ctx, stop := context.WithTimeout(p.Background.Ctx, max(c.Left(), p.LateWriteTimeout))
	defer stop()
	// The keeping time is the intent's in force when the turn was accepted.
	if err := p.Stores.PutBlob(ctx, keys.Turn(c.ID), b, keep); err != nil {
		return job.Failure(code.NotKept, "the turn ran but could not be kept: %w", err)
	}
	return a
}

// history fetches the turns before this one.
func (p Policy) history(c *job.Ctx) error {
	if c.Follows == "" {
		return nil
	}
	// Stores that don't answer by then are out of reach: the caller is notified,
	// and not held until its own deadline.
	ctx, stop := context.WithTimeout(c, min(p.ReadTimeout, c.Left()))
	defer stop()
	b, err := p.Stores.GetBlob(ctx, keys.Turn(c.Follows))
	if err != nil {
		return err
	}
	var t turn
	if err := json.Unmarshal(b, &t); err != nil {
		return code.New(code.Garbled, "turn %s: %w", c.Follows, err)
	}
	// Another program's turn is as unknown as one that never was.
	if t.Program != c.Program {
		return code.New(code.NoTurn, "turn %s was never kept", c.Follows)
	}
	// Refused before it runs: afterwards it could not be kept.
	if len(b)+len(c.Prompt) > MaxBytes {
		return code.New(code.TooLarge, "follows: the conversation has %d bytes, limit %d", len(b), MaxBytes)
	}
	c.History = t.Lines
	return nil
}
