// Package idempotency runs a job with an idempotency key at most once. The claim of the key is read
// when the job arrives. Right before the job is forwarded, a conditional register write sets the
// claim to 'started' if it has not changed since it was read. The result is stored before it is
// returned to the caller. A job that is not forwarded releases the claim by a write too, which
// conflicts with all concurrent requests that have read the claim before. Only after this write is
// it certain that the job did not run.
package idempotency

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

// State is the state of a claim.
type State string

// States of a claim.
const (
	Free    State = "free"    // may be claimed again, because the previous job was not forwarded
	Started State = "started" // the job is about to be forwarded or has been forwarded
	Done    State = "done"    // the result of the job is stored
)

// value is the content of a claim's register.
type value struct {
	State State           `json:"state"`
	Hash  string          `json:"hash"`
	Job   string          `json:"job"`
	Code  int             `json:"code,omitempty"`
	Text  string          `json:"text,omitempty"`
	Body  json.RawMessage `json:"body,omitempty"`
}

// Policy answers a duplicate request from its claim, and stores the result of a job or releases its
// claim.
type Policy struct {
	Stores *storeclient.Client
	// ReadTimeout is the deadline of reading the claim; one attempt to release the claim has half
	// of it. LateWriteTimeout is the deadline of storing the result of a job whose own deadline
	// has passed. WriteTimeout is not used.
	ReadTimeout, WriteTimeout, LateWriteTimeout time.Duration
	// Background runs the work that continues after the answer.
	Background job.Background
}

// claimKey returns the key of the register that holds the job's claim.
func claimKey(c *job.Ctx) string { return keys.Claim(c.Program, c.Key) }

// errClaimChanged cancels a write if another request has changed the claim.
var errClaimChanged = errors.New("claim was changed by another request")

// decode returns the claim in a register's state, or an error if its retention time is over.
func decode(state register.State) (claim value, err error) {
	if state.Expired {
		return claim, code.New(code.ClaimPast, "the key was used, and its claim is past its keeping time")
	}
	if len(state.Value) > 0 {
		if err = json.Unmarshal(state.Value, &claim); err != nil {
			err = code.New(code.Garbled, "claim: %w", err)
		}
	}
	return claim, err
}

// claimed reports whether the job of the claim has started or is done.
func (claim value) claimed() bool { return claim.State == Started || claim.State == Done }

// Do implements job.Policy.
func (policy Policy) Do(c *job.Ctx, next job.Next) job.Answer {
	if c.Key == "" {
		return next(c)
	}
	ctx, stop := context.WithTimeout(c, min(policy.ReadTimeout, c.Left()))
	state, err := policy.Stores.Read(ctx, claimKey(c))
	stop()
	if err != nil {
		return job.Answer{Err: err}
	}
	claim, err := decode(state)
	if err != nil {
		return job.Answer{Err: err}
	}
	if claim.claimed() {
		return duplicateAnswer(c, claim)
	}
	c.ClaimVer = state.Version
	c.At(job.Claimed)
	answer := next(c)
	switch ran := answer.Ran(); {
	case ran == "yes":
		if err := policy.storeResult(c, answer); err != nil {
			return job.Failure(code.NotKept, "the job ran, its result could not be kept: %w", err)
		}
	case ran == "no":
		// The job was not forwarded or was refused. The claim must be released before the
		// answer states that the job did not run.
		if c.NoOtherAttempt = policy.release(c, false); !c.NoOtherAttempt && c.Started {
			policy.Background.Go(func() { policy.release(c, true) })
		}
	}
	return answer
}

// Start sets the claim to started. It is the last step before a job is forwarded.
type Start struct {
	Stores      *storeclient.Client
	ReadTimeout time.Duration
}

// Do implements job.Policy.
func (start Start) Do(c *job.Ctx, next job.Next) job.Answer {
	// A job that returned to the backlog after this step has already set its claim.
	if c.Key == "" || c.Started {
		return next(c)
	}
	var current value
	ctx, stop := context.WithTimeout(c, min(start.ReadTimeout, c.Left()))
	_, err := start.Stores.ChangeStrict(ctx, claimKey(c), func(state register.State) ([]byte, bool, error) {
		var err error
		if current, err = decode(state); err != nil {
			return nil, false, err
		}
		if state.Version != c.ClaimVer {
			return nil, false, errClaimChanged
		}
		b, err := json.Marshal(value{State: Started, Hash: c.Hash, Job: c.ID})
		return b, false, err
	})
	stop()
	switch {
	case errors.Is(err, errClaimChanged) && current.claimed():
		return duplicateAnswer(c, current)
	case errors.Is(err, errClaimChanged):
		return job.Failure(code.Overtaken, "another request with this key was answered that it did not run")
	case code.Of(err) == code.OutcomeUnknown:
		// The claim may be set to 'started', but the job is not forwarded. The claim is released
		// once the stores are reachable.
		c.Started = true
		return job.Failure(code.StoresUnreachable, "the claim could not be written: %w", err)
	case err != nil:
		return job.Answer{Err: err}
	}
	c.Started = true
	c.At(job.Started)
	return next(c)
}

// duplicateAnswer returns the answer to a request whose key is already claimed.
func duplicateAnswer(c *job.Ctx, claim value) job.Answer {
	switch {
	case claim.Hash != c.Hash:
		return job.Failure(code.KeyReused, "the key was used for another job")
	case claim.State == Done && claim.Code == 0:
		return job.Success(claim.Body)
	case claim.State == Done:
		return job.Failure(code.Code(claim.Code), "%s", claim.Text)
	}
	return job.Failure(code.InProgress, "started by an earlier request, its outcome is not known here")
}

// changeOwned writes the claim if this job holds it or it has not changed since it was read.
func (policy Policy) changeOwned(ctx context.Context, c *job.Ctx, next value) error {
	_, err := policy.Stores.Change(ctx, claimKey(c), func(state register.State) ([]byte, bool, error) {
		claim, err := decode(state)
		if err != nil {
			return nil, false, err
		}
		if state.Version != c.ClaimVer && (claim.State != Started || claim.Job != c.ID) {
			return nil, false, errClaimChanged
		}
		b, err := json.Marshal(next)
		return b, false, err
	})
	return err
}

// Retries of a release, for about a minute.
const (
	releaseAttempts      = 60
	releaseRetryInterval = time.Second
)

// release sets the claim to free and reports whether that is certain. The write conflicts with all
// requests of the key that have read the claim before, and overrides a write of 'started' by this
// job whose outcome is unknown. If retry is set, failed writes are retried.
func (policy Policy) release(c *job.Ctx, retry bool) bool {
	free := value{State: Free, Hash: c.Hash, Job: c.ID}
	for attempt := 0; attempt < releaseAttempts; attempt++ {
		ctx, stop := context.WithTimeout(policy.Background.Ctx, policy.ReadTimeout/2)
		err := policy.changeOwned(ctx, c, free)
		stop()
		if err == nil || errors.Is(err, errClaimChanged) {
			return err == nil
		}
		if !retry || !loop.Wait(policy.Background.Ctx, releaseRetryInterval) {
			return false
		}
	}
	return false
}

// storeResult stores the result of a job in its claim.
func (policy Policy) storeResult(c *job.Ctx, answer job.Answer) error {
	// The result of a job that has run is stored even after the job's deadline.
	ctx, stop := context.WithTimeout(policy.Background.Ctx, max(c.Left(), policy.LateWriteTimeout))
	defer stop()
	return policy.changeOwned(ctx, c, value{State: Done, Hash: c.Hash, Job: c.ID, Body: answer.Body})
}
