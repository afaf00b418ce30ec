// Package call forwards a job to its runner and classifies the runner's answer.
package call

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"damsontiller/internal/coordination/storeclient"
	"damsontiller/internal/dataplane/balancing/assignment"
	"damsontiller/internal/dataplane/balancing/balancer"
	"damsontiller/internal/dataplane/balancing/slots"
	"damsontiller/internal/dataplane/cooldown"
	"damsontiller/internal/dataplane/request/job"
	"damsontiller/internal/dataplane/request/retry"
	"damsontiller/internal/dataplane/request/runnerapi"
	"damsontiller/internal/transport/clock"
	"damsontiller/internal/transport/code"
)

// MaxResponseBytes is the largest size of a runner's answer.
const MaxResponseBytes = 1 << 20

// MaxAttempts is the largest number of attempts to forward one job.
const MaxAttempts = 4

// refusalAvoidDivisor shortens Caller.Avoid for a runner that refused a job, as it may only be
// busy for a moment.
const refusalAvoidDivisor = 10

// Caller is the last step of the request path: it sends the job to its picked runner.
type Caller struct {
	Cooldowns *cooldown.Manager
	Directory *balancer.Directory
	Slots     *slots.Table
	// OnDeparture is called with a runner that appears to be shutting down, to notify the
	// assigner.
	OnDeparture func(runner, why string)
	Web         *http.Client
	// Avoid is how long this edge excludes a draining or unreachable runner from picks.
	Avoid time.Duration

	naming namingRunners // the runners whose connections may be reused
}

// NewWeb returns the HTTP client for runners, over t or, if that is nil, over a default
// transport.
func NewWeb(t http.RoundTripper) *http.Client {
	if t == nil {
		t = runnerapi.NewTransport()
	}
	return &http.Client{
		Transport: t,
		// A redirect would send the job to a server that was not picked.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Retry is the policy that forwards a job again if its answer allows a retry and the wait fits
// its deadline.
type Retry struct{ CallTime time.Duration }

// Do applies the policy.
func (p Retry) Do(c *job.Ctx, next job.Next) job.Answer {
	for try := 1; ; try++ {
		a := next(c)
		if !a.Retryable || try == MaxAttempts || !c.Fits(a.Wait, p.CallTime) {
			return a
		}
	}
}

// CooldownCheck is the policy that reads the cooldown of the picked runner right before the
// call.
type CooldownCheck struct{ Cooldowns *cooldown.Manager }

// Do applies the policy. A job whose runner is cooling down returns to the backlog if the wait
// fits its deadline; otherwise the answer is returned immediately.
func (p CooldownCheck) Do(c *job.Ctx, next job.Next) job.Answer {
	c.At(job.Picked)
	c.CooldownReadAt = clock.Now(time.Now)
	w, version, err := p.Cooldowns.Read(c, c.Runner.CooldownKey)
	if err != nil {
		// A call during a cooldown must never happen, so without the read there is no call.
		a := job.Failure(code.StoresUnreachable, "the cooldown could not be read: %w", err)
		a.Wait = time.Second
		return a
	}
	if w > 0 {
		return waitForCooldown(w)
	}
	c.CooldownVersion = version
	c.At(job.CooldownRead)
	return next(c)
}

// waitForCooldown returns the answer that sends a job back to wait until a cooldown ends, if
// that fits its deadline.
func waitForCooldown(w time.Duration) job.Answer {
	a := cooldown.CoolingAnswer(w)
	a.Retryable = true
	return a
}

// checkPreconditions checks, in one place and right before the first byte is sent, every
// precondition of the call. If the process was frozen or slow at any earlier step, the outdated
// precondition fails here and the job returns to the backlog.
func (p *Caller) checkPreconditions(c *job.Ctx) (job.Answer, bool) {
	requeue := func(why string) (job.Answer, bool) {
		a := job.Failure(code.FellBack, "%s", why)
		a.Retryable = true
		return a, false
	}
	r := c.Runner
	switch w := p.Cooldowns.KnownWait(r.CooldownKey); {
	case c.Err() != nil, c.Left() <= 0:
		return job.Failure(code.DeadlinePassed, "no time is left, or the caller has disconnected"), false
	case clock.Since(c.CooldownReadAt, time.Now) > storeclient.ReadWindow:
		return requeue("the read of the cooldown is too old")
	case p.Cooldowns.SpecVersion() != c.CooldownVersion:
		return requeue("the spec has changed since the read")
	case w > 0:
		return waitForCooldown(w), false
	case !p.Slots.Valid(r.Index, r.Incarnation):
		return requeue("the slot's term is over")
	case !p.Directory.Eligible(r.Index, r.Incarnation):
		return requeue("the runner is draining, its zone is emptied, or it is another process")
	}
	return job.Answer{}, true
}

// Do sends the job to its runner and returns its answer.
func (p *Caller) Do(c *job.Ctx) job.Answer {
	body, err := json.Marshal(
		runnerapi.Request{
			Job:         c.ID,
			Route:       c.Route,
			Incarnation: c.Runner.Incarnation,
			Program:     c.Program,
			Class:       c.Class,
			Parts:       c.Parts,
			History:     c.History,
			Prompt:      c.Prompt,
			MaxOutput:   c.MaxOutput,
			DeadlineMs:  c.Left().Milliseconds(),
		},
	)
	if err != nil {
		return job.Failure(code.BadField, "%w", err)
	}
	// The answer is read to its end even if the caller has disconnected, since the result can
	// still be stored.
	ctx, stop := context.WithDeadline(context.WithoutCancel(c), c.AnswerBy)
	defer stop()
	var reused atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { reused.Store(i.Reused) },
	})
	q, err := newRequest(ctx, c.Runner.Addr, c.ID, body, p.naming.reusable(c.Runner.Addr))
	if err != nil {
		return job.Failure(code.RunnerFailure, "%w", err)
	}
	c.At(job.Passing)
	if a, ok := p.checkPreconditions(c); !ok {
		return a
	}
	c.ForwardedAt = time.Now()
	r, err := p.Web.Do(q)
	c.At(job.ResponseReceived)
	if err != nil {
		return p.handleNoResponse(c, err)
	}
	defer r.Body.Close()
	p.naming.observe(c.Runner.Addr, r.Header)
	b, err := io.ReadAll(io.LimitReader(r.Body, MaxResponseBytes+1))
	if err != nil || len(b) > MaxResponseBytes {
		if r.StatusCode == http.StatusOK {
			return p.outcomeUnknown(c, code.Incomplete, "the answer broke off", err)
		}
		// The status of a refusal counts even if its body is truncated.
		b = nil
	}
	if r.StatusCode == http.StatusOK {
		return p.handleResponse(c, b)
	}
	if !answersJob(r.Header, c.ID, reused.Load()) {
		return p.outcomeUnknown(c, code.Incomplete, "an answer that names another job or none", nil)
	}
	return p.handleRefusal(c, r, b)
}

// newRequest returns the request that sends a job to a runner. Its body can't be rewound, so
// net/http never sends it twice. keep means that its connection may serve other jobs.
func newRequest(ctx context.Context, addr, id string, body []byte, keep bool) (*http.Request, error) {
	q, err := http.NewRequestWithContext(
		ctx,
		http.MethodPost,
		"http://"+addr+"/v1/run",
		io.NopCloser(bytes.NewReader(body)),
	)
	if err != nil {
		return nil, err
	}
	q.ContentLength = int64(len(body))
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set(runnerapi.JobHeader, id)
	q.Close = !keep
	return q, nil
}

// repeatable reports whether a job may run more than once: it has no key and is not a turn.
// The output of a lost turn is spent but not reported, and the reserved budget doesn't cover a
// second run.
func repeatable(c *job.Ctx) bool { return c.Key == "" && c.Conv == "" }

// handleNoResponse classifies a call that failed without an answer.
func (p *Caller) handleNoResponse(c *job.Ctx, err error) job.Answer {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		// No byte was sent, so the job certainly did not run.
		if assignment.PortRefused(err) {
			p.reportDeparture(c, "port refused")
		} else {
			p.Directory.Avoid(c.Runner.Index, p.Avoid)
		}
		a := job.Failure(code.NoRunner, "runner %s can't be reached", c.Runner.Name)
		a.Retryable, a.Wait = retry.Allowed(retry.NotRun, repeatable(c)), 0
		return a
	}
	if cooldown.IsRateLimitError("", err.Error()) {
		p.Cooldowns.Install(c, c.Runner.CooldownKey, 0)
	}
	return p.outcomeUnknown(c, code.OutcomeUnknown, "no answer came", err)
}

// outcomeUnknown returns the answer of a job that may have run. Only a repeatable one is
// retried.
func (p *Caller) outcomeUnknown(c *job.Ctx, n code.Code, description string, err error) job.Answer {
	if err != nil {
		c.Log.Debug("no valid answer from runner", "job", c.ID, "runner", c.Runner.Name, "err", err)
	}
	a := job.Failure(n, "%s from runner %s", description, c.Runner.Name)
	a.Retryable = retry.Allowed(retry.Unknown, repeatable(c))
	return a
}

// reportDeparture notifies the assigner that the job's runner appears to be shutting down, and
// excludes it from picks here for the duration Avoid.
func (p *Caller) reportDeparture(c *job.Ctx, why string) {
	p.Directory.Avoid(c.Runner.Index, p.Avoid)
	p.OnDeparture(c.Runner.Name, why)
}

// handleResponse accepts a success only if it is complete and answers this job.
func (p *Caller) handleResponse(c *job.Ctx, b []byte) job.Answer {
	var r struct {
		runnerapi.Response
		Text *string `json:"text"`
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return p.outcomeUnknown(c, code.Incomplete, "an answer that can't be read", err)
	}
	if r.Text == nil {
		return p.outcomeUnknown(c, code.Incomplete, "an answer without text", nil)
	}
	if r.Job != c.ID {
		return p.outcomeUnknown(c, code.Incomplete, "another job's answer", nil)
	}
	if r.Output < 0 {
		return p.outcomeUnknown(c, code.Incomplete, "a negative output", nil)
	}
	c.Spent, c.PrefixHit = r.Output, r.PrefixHit
	p.Directory.SetPrefixes(c.Runner.Index, r.Prefixes)
	out := map[string]any{
		"job":    c.ID,
		"text":   *r.Text,
		"output": r.Output,
		"held":   r.PrefixHit,
		"runner": c.Runner.Name,
	}
	if c.Conv != "" {
		out["turn"] = c.ID
	}
	body, err := json.Marshal(out)
	if err != nil {
		return p.outcomeUnknown(c, code.Incomplete, "an answer that can't be passed on", err)
	}
	return job.Success(body)
}

// handleRefusal classifies an answer that is not a success. By the contract with runners, a
// status of 4xx or 503 means that nothing ran.
func (p *Caller) handleRefusal(c *job.Ctx, r *http.Response, b []byte) job.Answer {
	var failure runnerapi.Failure
	_ = json.Unmarshal(b, &failure) // the body is optional; the status decides
	notExecuted := r.StatusCode/100 == 4 || r.StatusCode == http.StatusServiceUnavailable
	if c.View.Spec.Cooldown.Refusal(r.StatusCode) {
		// A refusal with one of the spec's statuses: the cooldown is installed for all edges,
		// and the failure is returned without a retry.
		a := job.Failure(code.RunnerDrop, "runner %s refused with status %d", c.Runner.Name, r.StatusCode)
		a.Wait = p.Cooldowns.Install(c, c.Runner.CooldownKey, cooldown.RetryAfter(r.Header))
		a.Since = time.Now()
		return a
	}
	if failure.State == runnerapi.Other {
		// A newer process at the same address answered: nothing ran, and the assigner must
		// be notified.
		p.reportDeparture(c, "another process answers")
		a := job.Failure(code.NoRunner, "runner %s is another process by now", c.Runner.Name)
		a.Retryable = true
		return a
	}
	if failure.State == runnerapi.Draining {
		p.reportDeparture(c, "it is draining")
		a := job.Failure(code.NoRunner, "runner %s is draining", c.Runner.Name)
		a.Retryable = true
		return a
	}
	if cooldown.IsRateLimitError(failure.Error.Type, failure.Error.Message) {
		// A rate limit error: the cooldown is installed for all edges, and the job is retried
		// after it if the job certainly did not run or is repeatable.
		w := p.Cooldowns.Install(c, c.Runner.CooldownKey, cooldown.RetryAfter(r.Header))
		if notExecuted {
			return waitForCooldown(w)
		}
		a := p.outcomeUnknown(c, code.OutcomeUnknown, "a rate limit raised halfway", nil)
		a.Wait, a.Since = w, time.Now()
		return a
	}
	if notExecuted {
		a := job.Failure(code.NoRunner, "runner %s refused with status %d", c.Runner.Name, r.StatusCode)
		// The same runner would most likely refuse again immediately; another one may accept.
		p.Directory.Avoid(c.Runner.Index, p.Avoid/refusalAvoidDivisor)
		a.Retryable, a.Wait = r.StatusCode == http.StatusServiceUnavailable, 0
		return a
	}
	return p.outcomeUnknown(c, code.RunnerFailure, "status "+http.StatusText(r.StatusCode), nil)
}
