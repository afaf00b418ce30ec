// Package call passes a job to its runner and judges what comes back.
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

// MaxResponseBytes bounds a runner's answer.
const MaxResponseBytes = 1 << 20

// MaxAttempts bounds how often one job is passed.
const MaxAttempts = 4

// Caller is the end of the way.
type Caller struct {
	Cooldowns *cooldown.Manager
	Directory *balancer.Directory
	Slots     *slots.Table
	// OnDeparture tells the assigner that a runner seems to leave.
	OnDeparture func(runner, why string)
	Web         *http.Client
	// Avoid is how long a runner seen draining is not picked here.
	Avoid time.Duration

	naming namingRunners
}

// NewWeb makes the client for runners over t; nil means the ordinary way.
func NewWeb(t http.RoundTripper) *http.Client {
	if t == nil {
		d := &net.Dialer{Timeout: time.Second}
		t = &http.Transport{
			DialContext:         d.DialContext,
			MaxIdleConnsPerHost: 32,
			IdleConnTimeout:     30 * time.Second,
			DisableCompression:  true,
		}
	}
	return &http.Client{
		Transport: t,
		// A redirect would pass the job to somebody who was not picked.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Retry passes a job once more where nothing stands against it.
type Retry struct{ CallTime time.Duration }

// Do is the policy.
func (p Retry) Do(c *job.Ctx, next job.Next) job.Answer {
	for try := 1; ; try++ {
		a := next(c)
		if !a.Retryable || try == MaxAttempts || !c.Fits(a.Wait, p.CallTime) {
			return a
		}
	}
}

// CooldownCheck reads the deadline of the picked runner's key right before the call.
type CooldownCheck struct{ Cooldowns *cooldown.Manager }

// Do is the policy. Where the wait fits, the job goes back to the backlog and
// waits there; where it does not, the caller is notified at once.
func (p CooldownCheck) Do(c *job.Ctx, next job.Next) job.Answer {
	c.At(job.Picked)
	c.CooldownReadAt = clock.Now(time.Now)
	w, ver, err := p.Cooldowns.Read(c, c.Runner.CooldownKey)
	if err != nil {
		// Calling early must never happen; not calling is allowed.
		a := job.Failure(code.StoresUnreachable, "the cooldown could not be read: %w", err)
		a.Wait = time.Second
		return a
	}
	if w > 0 {
		return waits(w)
	}
	c.CooldownVersion = ver
	c.At(job.CooldownRead)
	return next(c)
}

// waits sends a job back to wait out a cooldown, if that fits.
func waits(w time.Duration) job.Answer {
	a := cooldown.CoolingAnswer(w)
	a.Retryable = true
	return a
}

// stands checks, in one place and right before the first byte, all that the pass
// rests on. A process that was frozen or slow at any step wakes up here, and the
// job goes back to the backlog.
func (p *Caller) stands(c *job.Ctx) (job.Answer, bool) {
	back := func(why string) (job.Answer, bool) {
		a := job.Failure(code.FellBack, "%s", why)
		a.Retryable = true
		return a, false
	}
	r := c.Runner
	switch w := p.Cooldowns.KnownWait(r.CooldownKey); {
	case c.Err() != nil, c.Left() <= 0:
		return job.Failure(code.DeadlinePassed, "no time is left, or the caller has disconnected"), false
	case clock.Since(c.CooldownReadAt, time.Now) > storeclient.ReadWindow:
		return back("the read of the cooldown is too old")
	case p.Cooldowns.SpecVersion() != c.CooldownVersion:
		return back("the spec has changed since the read")
	case w > 0:
		return waits(w), false
	case !p.Slots.Valid(r.Index, r.Incarnation):
		return back("the slot's term is over")
	case !p.Directory.Eligible(r.Index, r.Incarnation):
		return back("the runner is draining, its zone is emptied, or it is another process")
	}
	return job.Answer{}, true
}

// Do passes the job.
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
	// What has been passed is received to its end, whether or not its caller is
	// still there: its result is worth keeping.
	ctx, stop := context.WithDeadline(context.WithoutCancel(c), c.AnswerBy)
	defer stop()
	var reused atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { reused.Store(i.Reused) },
	})
	q, err := newRequest(ctx, c.Runner.Addr, c.ID, body, p.naming.keeps(c.Runner.Addr))
	if err != nil {
		return job.Failure(code.RunnerFailure, "%w", err)
	}
	c.At(job.Passing)
	if a, ok := p.stands(c); !ok {
		return a
	}
	c.Passed = time.Now()
	r, err := p.Web.Do(q)
	c.At(job.ResponseReceived)
	if err != nil {
		return p.lost(c, err)
	}
	defer r.Body.Close()
	p.naming.observe(c.Runner.Addr, r.Header)
	b, err := io.ReadAll(io.LimitReader(r.Body, MaxResponseBytes+1))
	if err != nil || len(b) > MaxResponseBytes {
		if r.StatusCode == http.StatusOK {
			return p.uncertain(c, code.Incomplete, "the answer broke off", err)
		}
		// A refusal's status stands even if its words are cut.
		b = nil
	}
	if r.StatusCode == http.StatusOK {
		return p.complete(c, b)
	}
	if !answersJob(r.Header, c.ID, reused.Load()) {
		return p.uncertain(c, code.Incomplete, "an answer that names another job or none", nil)
	}
	return p.refused(c, r, b)
}

// newRequest makes the request that passes a job. With no way to rewind its body,
// net/http never sends it twice. keep tells that its connection may serve other jobs.
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

// repeatable reports whether a job may run more than once: it has no key, and is no turn. A
// lost turn's output is spent unseen, and one budget can't cover a second.
func repeatable(c *job.Ctx) bool { return c.Key == "" && c.Conv == "" }

// lost sorts out a call without an answer.
func (p *Caller) lost(c *job.Ctx, err error) job.Answer {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		// No byte was sent: surely not run.
		if assignment.PortRefused(err) {
			p.departs(c, "port refused")
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
	return p.uncertain(c, code.OutcomeUnknown, "no answer came", err)
}

// uncertain answers for a job that may have run. Only one that may be repeated is
// passed again.
func (p *Caller) uncertain(c *job.Ctx, n code.Code, what string, err error) job.Answer {
	if err != nil {
		c.Log.Debug("answer lost", "job", c.ID, "runner", c.Runner.Name, "err", err)
	}
	a := job.Failure(n, "%s from runner %s", what, c.Runner.Name)
	a.Retryable = retry.Allowed(retry.Unknown, repeatable(c))
	return a
}

func (p *Caller) departs(c *job.Ctx, why string) {
	p.Directory.Avoid(c.Runner.Index, p.Avoid)
	p.OnDeparture(c.Runner.Name, why)
}

// complete takes an answer only if it is all there and answers this job.
func (p *Caller) complete(c *job.Ctx, b []byte) job.Answer {
	var r struct {
		runnerapi.Response
		Text *string `json:"text"`
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return p.uncertain(c, code.Incomplete, "an answer that can't be read", err)
	}
	if r.Text == nil {
		return p.uncertain(c, code.Incomplete, "an answer without text", nil)
	}
	if r.Job != c.ID {
		return p.uncertain(c, code.Incomplete, "another job's answer", nil)
	}
	if r.Output < 0 {
		return p.uncertain(c, code.Incomplete, "a negative output", nil)
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
		return p.uncertain(c, code.Incomplete, "an answer that can't be passed on", err)
	}
	return job.Success(body)
}

// refused sorts out an answer that is no success. By the runners' contract a
// 4xx or 503 means that nothing ran.
func (p *Caller) refused(c *job.Ctx, r *http.Response, b []byte) job.Answer {
	var pr runnerapi.Failure
	_ = json.Unmarshal(b, &pr) // words are a bonus; the status decides
	clear := r.StatusCode/100 == 4 || r.StatusCode == http.StatusServiceUnavailable
	if c.View.Spec.Cooldown.Refusal(r.StatusCode) {
		// A returned refusal: installed for all, and handed back unretried.
		a := job.Failure(code.RunnerDrop, "runner %s refused with status %d", c.Runner.Name, r.StatusCode)
		a.Wait = p.Cooldowns.Install(c, c.Runner.CooldownKey, cooldown.RetryAfter(r.Header))
		a.Since = time.Now()
		return a
	}
	if pr.State == runnerapi.Other {
		// Its successor answered: nothing ran, and the assigner should know.
		p.departs(c, "another process answers")
		a := job.Failure(code.NoRunner, "runner %s is another process by now", c.Runner.Name)
		a.Retryable = true
		return a
	}
	if pr.State == runnerapi.Draining {
		p.departs(c, "it is draining")
		a := job.Failure(code.NoRunner, "runner %s is draining", c.Runner.Name)
		a.Retryable = true
		return a
	}
	if cooldown.IsRateLimitError(pr.Error.Type, pr.Error.Message) {
		// A raised one: installed for all, and tried again after the cooldown
		// if it surely did not run or may run twice.
		w := p.Cooldowns.Install(c, c.Runner.CooldownKey, cooldown.RetryAfter(r.Header))
		if clear {
			return waits(w)
		}
		a := p.uncertain(c, code.OutcomeUnknown, "a rate limit raised halfway", nil)
		a.Wait, a.Since = w, time.Now()
		return a
	}
	if clear {
		a := job.Failure(code.NoRunner, "runner %s refused with status %d", c.Runner.Name, r.StatusCode)
		// It would refuse again at once; another may not.
		p.Directory.Avoid(c.Runner.Index, p.Avoid/10)
		a.Retryable, a.Wait = r.StatusCode == http.StatusServiceUnavailable, 0
		return a
	}
	return p.uncertain(c, code.RunnerFailure, "status "+http.StatusText(r.StatusCode), nil)
}
