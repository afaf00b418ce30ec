// Package claim makes a job that may not be repeated run at most once: one
// register write says 'started' before it is passed, and its result is kept
// before its caller hears it.
package claim

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"damsontiller/coord/tier"
	"damsontiller/pass/job"
	"damsontiller/proto/reg"
	"damsontiller/xport/code"
	"damsontiller/xport/loop"
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

// Policy holds a keyed job's claim while it is under way.
type Policy struct {
	T *tier.Tier
	// Write is the cutoff of one write, Late of writing down what is known of a
	// job whose own cutoff has passed.
	Write, Late time.Duration
	// Bg carries what goes on after the answer.
	Bg job.Bg
}

func key(c *job.Ctx) string { return "claim/" + c.Program + "/" + c.Key }

// errTaken ends a change that found the claim held.
var errTaken = errors.New("claim is held")

// Do is the policy.
func (p Policy) Do(c *job.Ctx, next job.Next) job.Answer {
	if c.Key == "" {
		return next(c)
	}
	var old value
	ctx, stop := context.WithTimeout(c, min(p.Write, c.Left()))
	_, err := p.T.Change(ctx, key(c), func(st reg.State) ([]byte, bool, error) {
		old = value{}
		if len(st.Val) > 0 {
			if err := json.Unmarshal(st.Val, &old); err != nil {
				return nil, false, code.New(code.Garbled, "claim: %w", err)
			}
		}
		if old.State == Started || old.State == Done {
			return nil, false, errTaken
		}
		b, err := json.Marshal(value{State: Started, Hash: c.Hash, Job: c.ID})
		return b, false, err
	})
	stop()
	switch {
	case errors.Is(err, errTaken):
		return held(c, old)
	case code.Of(err) == code.OutcomeUnknown:
		// Perhaps the claim is ours. Nothing was passed and nothing will be
		// under it; it is freed when the tier lets us.
		p.Bg.Go(func() { p.free(c, true) })
		return job.Bad(code.TierAway, "the claim could not be taken: %w", err)
	case err != nil:
		return job.Answer{Err: err}
	}
	a := next(c)
	switch a.Ran() {
	case "no":
		// Never passed, or clearly refused: freed first, then said.
		if !p.free(c, false) {
			p.Bg.Go(func() { p.free(c, true) })
		}
	case "yes":
		if err := p.done(c, a); err != nil {
			return job.Bad(code.NotKept, "the job ran, its result could not be kept: %w", err)
		}
	}
	return a
}

// held answers a second asking.
func held(c *job.Ctx, v value) job.Answer {
	switch {
	case v.Hash != c.Hash:
		return job.Bad(code.KeyReused, "the key was used for another job")
	case v.State == Done && v.Code == 0:
		return job.Good(v.Body)
	case v.State == Done:
		return job.Bad(code.Code(v.Code), "%s", v.Text)
	}
	return job.Bad(code.InProgress, "started by an earlier request, its outcome is not known here")
}

// own changes the claim as long as this job holds it.
func (p Policy) own(ctx context.Context, c *job.Ctx, to value) error {
	_, err := p.T.Change(ctx, key(c), func(st reg.State) ([]byte, bool, error) {
		var v value
		if len(st.Val) > 0 {
			if err := json.Unmarshal(st.Val, &v); err != nil {
				return nil, false, code.New(code.Garbled, "claim: %w", err)
			}
		}
		if v.State != Started || v.Job != c.ID {
			return nil, false, errTaken
		}
		b, err := json.Marshal(to)
		return b, false, err
	})
	return err
}

// free lets the claim go; stubborn keeps on trying.
func (p Policy) free(c *job.Ctx, stubborn bool) bool {
	to := value{State: Free, Hash: c.Hash, Job: c.ID}
	for try := 0; try < 60; try++ {
		ctx, stop := context.WithTimeout(p.Bg.Ctx, p.Write)
		err := p.own(ctx, c, to)
		stop()
		if err == nil || errors.Is(err, errTaken) {
			return true
		}
		if !stubborn || !loop.Wait(p.Bg.Ctx, time.Second) {
			return false
		}
	}
	return false
}

func (p Policy) done(c *job.Ctx, a job.Answer) error {
	// The job has run: even past its cutoff its result is worth keeping.
	ctx, stop := context.WithTimeout(p.Bg.Ctx, max(c.Left(), p.Late))
	defer stop()
	return p.own(ctx, c, value{State: Done, Hash: c.Hash, Job: c.ID, Body: a.Body})
}
