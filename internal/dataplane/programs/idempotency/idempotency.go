// Package idempotency runs a job with an idempotency key at most once. Its claim is read
// on arrival; right before it is forwarded one register write records 'started',
// conditional on the claim as it was read; its result is stored before its caller gets
// it. A job that is never forwarded records that by a write as well, which every earlier
// request of the same key conflicts with: only then is 'not run' true of the work.
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

// State of a claim.
type State string

// A free claim may be taken again: what held it was never passed.
const (
	Free    State = "free"
	Started State = "started"
	Done    State = "done"
)

type value struct {
	State State           `json:"state"`
	Hash  string          `json:"hash"`
	Job   string          `json:"job"`
	Code  int             `json:"code,omitempty"`
	Text  string          `json:"text,omitempty"`
	Body  json.RawMessage `json:"body,omitempty"`
}

// Policy stands around a keyed job's way.
type Policy struct {
	Stores *storeclient.Client
	// ReadTimeout is the deadline of reading the claim, Write of one write after the pass,
	// Late of writing down what is known of a job whose own deadline has passed.
	ReadTimeout, WriteTimeout, LateWriteTimeout time.Duration
	// Background carries what goes on after the answer.
	Background job.Background
}

func claimKey(c *job.Ctx) string { return keys.Claim(c.Program, c.Key) }

// errTaken ends a change that found the claim another's.
var errTaken = errors.New("claim is another's")

func read(st register.State) (v value, err error) {
	if st.Expired {
		return v, code.New(code.ClaimPast, "the key was used, and its claim is past its keeping time")
	}
	if len(st.Value) > 0 {
		if err = json.Unmarshal(st.Value, &v); err != nil {
			err = code.New(code.Garbled, "claim: %w", err)
		}
	}
	return v, err
}

func (v value) taken() bool { return v.State == Started || v.State == Done }

// Do is the policy.
func (p Policy) Do(c *job.Ctx, next job.Next) job.Answer {
	if c.Key == "" {
		return next(c)
	}
	ctx, stop := context.WithTimeout(c, min(p.ReadTimeout, c.Left()))
	st, err := p.Stores.Read(ctx, claimKey(c))
	stop()
	if err != nil {
		return job.Answer{Err: err}
	}
	v, err := read(st)
	if err != nil {
		return job.Answer{Err: err}
	}
	if v.taken() {
		return inProgress(c, v)
	}
	c.ClaimVer = st.Version
	c.At(job.Claimed)
	a := next(c)
	switch ran := a.Ran(); {
	case ran == "yes":
		if err := p.done(c, a); err != nil {
			return job.Failure(code.NotKept, "the job ran, its result could not be kept: %w", err)
		}
	case ran == "no":
		// Never passed, or clearly refused: freed first, then said.
		if c.NoOtherAttempt = p.release(c, false); !c.NoOtherAttempt && c.Started {
			p.Background.Go(func() { p.release(c, true) })
		}
	}
	return a
}

// Start is the step right before the pass.
type Start struct {
	Stores      *storeclient.Client
	ReadTimeout time.Duration
}

// Do is the policy.
func (p Start) Do(c *job.Ctx, next job.Next) job.Answer {
	// A job that fell back after this step has started already.
	if c.Key == "" || c.Started {
		return next(c)
	}
	var now value
	ctx, stop := context.WithTimeout(c, min(p.ReadTimeout, c.Left()))
	_, err := p.Stores.ChangeStrict(ctx, claimKey(c), func(st register.State) ([]byte, bool, error) {
		var err error
		if now, err = read(st); err != nil {
			return nil, false, err
		}
		if st.Version != c.ClaimVer {
			return nil, false, errTaken
		}
		b, err := json.Marshal(value{State: Started, Hash: c.Hash, Job: c.ID})
		return b, false, err
	})
	stop()
	switch {
	case errors.Is(err, errTaken) && now.taken():
		return inProgress(c, now)
	case errors.Is(err, errTaken):
		return job.Failure(code.Overtaken, "another request with this key was answered that it did not run")
	case code.Of(err) == code.OutcomeUnknown:
		// Perhaps it says 'started'. Nothing was passed and nothing will be under
		// it; it is freed when the tier lets us.
		c.Started = true
		return job.Failure(code.StoresUnreachable, "the claim could not be written: %w", err)
	case err != nil:
		return job.Answer{Err: err}
	}
	c.Started = true
	c.At(job.Started)
	return next(c)
}

// inProgress answers a second asking.
func inProgress(c *job.Ctx, v value) job.Answer {
	switch {
	case v.Hash != c.Hash:
		return job.Failure(code.KeyReused, "the key was used for another job")
	case v.State == Done && v.Code == 0:
		return job.Success(v.Body)
	case v.State == Done:
		return job.Failure(code.Code(v.Code), "%s", v.Text)
	}
	return job.Failure(code.InProgress, "started by an earlier request, its outcome is not known here")
}

// changeOwned changes the claim as long as this job holds it, or nobody has touched it
// since it was read.
func (p Policy) changeOwned(ctx context.Context, c *job.Ctx, to value) error {
	_, err := p.Stores.Change(ctx, claimKey(c), func(st register.State) ([]byte, bool, error) {
		v, err := read(st)
		if err != nil {
			return nil, false, err
		}
		if st.Version != c.ClaimVer && (v.State != Started || v.Job != c.ID) {
			return nil, false, errTaken
		}
		b, err := json.Marshal(to)
		return b, false, err
	})
	return err
}

// release lets the claim go and says whether it surely did. Its write trips every
// request of the key that read the claim before, and buries a start of this
// job's own that is still uncertain. stubborn keeps on trying.
func (p Policy) release(c *job.Ctx, stubborn bool) bool {
	to := value{State: Free, Hash: c.Hash, Job: c.ID}
	for try := 0; try < 60; try++ {
		ctx, stop := context.WithTimeout(p.Background.Ctx, p.ReadTimeout/2)
		err := p.changeOwned(ctx, c, to)
		stop()
		if err == nil || errors.Is(err, errTaken) {
			return err == nil
		}
		if !stubborn || !loop.Wait(p.Background.Ctx, time.Second) {
			return false
		}
	}
	return false
}

func (p Policy) done(c *job.Ctx, a job.Answer) error {
	// The job has run: even past its deadline its result is worth keeping.
	ctx, stop := context.WithTimeout(p.Background.Ctx, max(c.Left(), p.LateWriteTimeout))
	defer stop()
	return p.changeOwned(ctx, c, value{State: Done, Hash: c.Hash, Job: c.ID, Body: a.Body})
}
