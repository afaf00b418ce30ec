// Package conversation stores the turns of conversations. A turn is immutable, contains all previous
// turns of its conversation, and is written to a majority of its stores before its answer is sent.
// The history is therefore kept as long as the latest turn, and each turn needs only one read and
// one write.
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

// MaxBytes is the maximum size of a turn with its history.
const MaxBytes = 2 << 20

// turn is the stored form of a turn with its history.
type turn struct {
	Program string     `json:"program"`
	Conv    string     `json:"conv"`
	Lines   []job.Line `json:"lines"`
}

// Policy reads the history before a turn runs and stores the turn afterwards.
type Policy struct {
	Stores *storeclient.Client
	// ReadTimeout is the deadline of reading a history, LateWriteTimeout of storing a turn whose
	// own deadline has passed.
	ReadTimeout, LateWriteTimeout time.Duration
	Background                    job.Background
}

// Do implements job.Policy.
func (policy Policy) Do(c *job.Ctx, next job.Next) job.Answer {
	retention, ok := c.View.Spec.Keep(c.Conv)
	if !ok {
		return job.Failure(code.BadField, "conversation: no keeping time is stated for class %q", c.Conv)
	}
	if err := policy.readHistory(c); err != nil {
		return job.Answer{Err: err}
	}
	c.At(job.HistoryRead)
	answer := next(c)
	if answer.Err != nil {
		return answer
	}
	var result struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(answer.Body, &result); err != nil {
		return job.Failure(code.Incomplete, "answer can't be read: %w", err)
	}
	body, err := json.Marshal(
		turn{
			c.Program,
			c.Conv,
			append(c.History[:len(c.History):len(c.History)], job.Line{Words: c.Prompt, Answer: result.Text}),
		},
	)
	if err != nil {
		return job.Failure(code.NotKept, "%w", err)
	}
	ctx, stop := context.WithTimeout(policy.Background.Ctx, max(c.Left(), policy.LateWriteTimeout))
	defer stop()
	// The retention time is the one that was configured when the turn was accepted.
	if err := policy.Stores.PutBlob(ctx, keys.Turn(c.ID), body, retention); err != nil {
		return job.Failure(code.NotKept, "the turn ran but could not be kept: %w", err)
	}
	return answer
}

// readHistory reads the previous turns of the conversation.
func (policy Policy) readHistory(c *job.Ctx) error {
	if c.Follows == "" {
		return nil
	}
	// Stores that do not answer within ReadTimeout count as unreachable. The caller gets an error
	// and does not wait until its own deadline.
	ctx, stop := context.WithTimeout(c, min(policy.ReadTimeout, c.Left()))
	defer stop()
	body, err := policy.Stores.GetBlob(ctx, keys.Turn(c.Follows))
	if err != nil {
		return err
	}
	var previous turn
	if err := json.Unmarshal(body, &previous); err != nil {
		return code.New(code.Garbled, "turn %s: %w", c.Follows, err)
	}
	// The turn of another program is reported as if it did not exist.
	if previous.Program != c.Program {
		return code.New(code.NoTurn, "turn %s was never kept", c.Follows)
	}
	// A turn above the limit could not be stored, so it is refused before it runs.
	if len(body)+len(c.Prompt) > MaxBytes {
		return code.New(code.TooLarge, "follows: the conversation has %d bytes, limit %d", len(body), MaxBytes)
	}
	c.History = previous.Lines
	return nil
}
