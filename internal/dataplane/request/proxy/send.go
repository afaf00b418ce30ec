package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"damsontiller/internal/dataplane/balancing/endpoints"
	"damsontiller/internal/dataplane/balancing/outlier"
	"damsontiller/internal/dataplane/cooldown"
	"damsontiller/internal/dataplane/request/retry"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
)

// unreachableWait is when a caller may come back whose runner could not be dialled.
const unreachableWait = 150 * time.Millisecond

// exchange is one send of a job to a runner, and its answer.
type exchange struct {
	handler *Handler
	j       *Job
	w       *Response
	r       *endpoints.Runner
	c       *conn

	admitted    *cooldown.Admission
	nothingSent bool      // the caller has seen nothing of an answer yet
	events      int       // forwarded before it
	sentAt      time.Time // when the request began to go out
	firstAt     time.Time // when its first event came; zero: none has

	unwatch func() bool   // ends the watch over the deadline; false: it has struck
	rest    time.Duration // how long the connection may be kept; 0: it has no clean end
}

// send passes a job to one runner.
func (handler *Handler) send(j *Job, w *Response, r *endpoints.Runner, admitted *cooldown.Admission) attemptResult {
	first, done := handler.parts.Load.Begin(r.ID, j.PromptTokens+j.MaxOutputTokens)
	defer func() { done(); handler.freeSlots.tell() }()
	defer admitted.End()
	x := &exchange{handler: handler, j: j, w: w, r: r, admitted: admitted, nothingSent: !w.begun, events: w.events}
	w.first = func() {
		x.firstAt = time.Now()
		first()
	}
	ctx, stop := context.WithDeadline(j, j.ResponseDeadline)
	defer stop()
	var err error
	if x.c, err = handler.parts.Pool.get(ctx, r, false); err != nil {
		return x.unreachable(ctx, err)
	}
	x.watch(ctx)
	defer x.release()
	return x.do()
}

// unreachable sorts out a failed dial: nothing went out. The runner may have departed, or have
// too many connections.
func (x *exchange) unreachable(ctx context.Context, err error) attemptResult {
	if ctx.Err() == nil {
		x.handler.parts.Load.Avoid(x.r.ID, x.handler.params.Avoid)
		x.handler.parts.Load.Watch.Failure(x.r.ID)
	}
	return attemptResult{
		outcome: retry.NotRun,
		wait:    unreachableWait,
		err:     code.New(code.NoRunner, "runner %s can't be reached: %w", x.r.ID, err),
	}
}

// watch lets the connection observe the deadline, and of a caller that has left.
func (x *exchange) watch(ctx context.Context) {
	_ = x.c.c.SetDeadline(x.j.ResponseDeadline)
	x.unwatch = context.AfterFunc(ctx, func() { _ = x.c.c.SetDeadline(time.Unix(1, 0)) })
}

// keep marks the end of an answer as clean: the connection may serve another job.
func (x *exchange) keep(a *reply) {
	if !a.surplus {
		x.rest = x.handler.parts.Pool.rest(a.Response)
	}
}

// release gives the connection back after a clean end, and closes it otherwise.
func (x *exchange) release() {
	if !x.unwatch() || x.rest <= 0 {
		x.c.c.Close()
		return
	}
	x.handler.parts.Pool.put(x.r, x.c, x.rest)
}

// do writes the request and takes its answer.
func (x *exchange) do() attemptResult {
	if !x.handler.may(x.r) {
		return attemptResult{
			outcome: retry.NotRun,
			wait:    refusedWait,
			err:     code.New(code.NoRunner, "runner %s may not be sent to any more", x.r.ID),
		}
	}
	q := x.handler.request(x.j, x.w, x.r)
	if s, ok := x.stillAllowed(); !ok {
		return s
	}
	x.sentAt = time.Now()
	x.w.moved = x.sentAt
	if err := write(x.c.c, q); err != nil {
		return x.outcomeOfLoss(err)
	}
	a, err := x.c.answer(q, x.j.Attempt, x.handler.parts.Headers.ReadResponse)
	if err != nil {
		return x.outcomeOfLoss(err)
	}
	return x.handle(a)
}

// stillAllowed checks right before the first byte whether the job may still go out: an edge that
// slept wakes up here, and nothing goes out past the deadline, nor to a runner that may
// not be sent to any more.
func (x *exchange) stillAllowed() (attemptResult, bool) {
	if x.j.TimeLeft() <= 0 || x.j.Err() != nil {
		return attemptResult{outcome: retry.NotRun, err: code.New(code.DeadlinePassed, "no time is left")}, false
	}
	if !x.handler.stillAuthorized(x.j) {
		err := code.New(code.UnknownKey, "the credential was withdrawn while the request waited")
		return attemptResult{outcome: retry.NotRun, err: err, final: true}, false
	}
	if !x.admitted.StillValid(x.j, x.j.TimeLeft()) {
		wait := x.handler.parts.Cooldowns.KnownWait(cooldownKey(x.r))
		return attemptResult{
			outcome: retry.NotRun,
			wait:    wait,
			err:     code.New(code.Cooling, "runner %s cools down", x.r.ID),
		}, false
	}
	return attemptResult{}, true
}

// handle sorts out an answer that names the job. Its body is not closed: that would read it
// to its end, and who is done with an answer early is done with its connection.
func (x *exchange) handle(a *reply) attemptResult {
	if a.info.WarmupRemaining > 0 {
		x.handler.parts.Load.MarkWarmingUp(x.r.ID, a.info.WarmupRemaining)
	}
	if a.info.NotRun || a.info.OtherRunner {
		return x.classifyRefusal(a)
	}
	x.record(a)
	if err := x.unusable(a); err != nil {
		return attemptResult{sent: true, err: err}
	}
	if err := x.handOn(a); err != nil {
		if errors.Is(err, errCaller) {
			return attemptResult{sent: true, err: code.New(code.OutcomeUnknown, "%w", err)}
		}
		return x.outcomeOfLoss(err)
	}
	x.keep(a)
	if a.success() {
		x.handler.parts.Load.Watch.Success(x.r.ID, x.duration())
	}
	return attemptResult{outcome: retry.Answered, good: a.success(), sent: true}
}

// handOn passes an answer to the caller, as it comes or complete.
func (x *exchange) handOn(a *reply) error {
	if x.j.Path.Kind == spec.Stream && a.success() {
		return x.w.stream(a.Response)
	}
	return x.w.complete(a.Response)
}

// record tells cooldowns and outlier detection what an answer says of its runner.
func (x *exchange) record(a *reply) {
	if x.j.View.Spec.Cooldown.Refusal(a.StatusCode) {
		// A rate limit all the same, where it does not say that the job did not run.
		x.handler.parts.Cooldowns.RecordRefusal(x.j, cooldownKey(x.r), cooldown.RetryAfter(a.Header))
	}
	if a.success() {
		x.admitted.Succeeded()
		x.w.runner = x.r.ID
	}
	switch {
	case x.isUnhealthy(a):
		x.handler.parts.Load.Watch.Failure(x.r.ID)
	case !a.success():
		x.handler.parts.Load.Watch.Success(x.r.ID, outlier.Duration{})
	}
}

// duration is how long a success took, for outlier detection.
func (x *exchange) duration() outlier.Duration {
	t := outlier.Duration{Path: x.j.Path.Name}
	switch n := x.w.events - x.events; {
	case x.firstAt.IsZero() && x.nothingSent:
		t.First = time.Since(x.sentAt)
	case x.nothingSent:
		t.First = x.firstAt.Sub(x.sentAt)
		if n > 2 {
			t.Between = x.w.moved.Sub(x.firstAt) / time.Duration(n-1)
		}
	}
	return t
}

// may reports whether a runner may still be sent to: dialling takes a while.
func (handler *Handler) may(r *endpoints.Runner) bool {
	now := handler.parts.Endpoints.Current().Get(r.ID)
	return now != nil && !now.Draining && now.Addr == r.Addr && !handler.parts.View().Spec.Empty(r.Zone)
}

// maxRefusal bounds what is read past of a refusal, to use its connection again.
const maxRefusal = 64 << 10

// classifyRefusal sorts out a clear statement that the job did not run.
func (x *exchange) classifyRefusal(a *reply) attemptResult {
	s := x.applyRefusal(a)
	if n, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxRefusal)); err == nil && n < maxRefusal {
		x.keep(a)
	}
	return s
}

// applyRefusal is what a clear statement means for the job and for its runner.
func (x *exchange) applyRefusal(a *reply) attemptResult {
	s := attemptResult{outcome: retry.NotRun, sent: true, wait: refusedWait}
	load := x.handler.parts.Load
	switch {
	case a.info.OtherRunner:
		// Somebody else has the address: the runner has departed.
		load.Avoid(x.r.ID, 10*x.handler.params.Avoid)
		s.err = code.New(code.NoRunner, "runner %s is no longer at its address", x.r.ID)
	case a.StatusCode == http.StatusConflict && x.j.deduplicated():
		// The runners' own table has the operation under way: no word against this one.
		s.underWay, s.sent, s.wait = true, false, underWayWait
		s.err = code.New(code.InProgress, "another request of this operation is under way")
	case x.j.View.Spec.Cooldown.Refusal(a.StatusCode):
		s.wait = x.handler.parts.Cooldowns.RecordRefusal(x.j, cooldownKey(x.r), cooldown.RetryAfter(a.Header))
		s.err = code.New(code.RunnerDrop, "runner %s refused with status %d", x.r.ID, a.StatusCode)
	default:
		if a.info.WarmupRemaining == 0 && x.r.WarmupRemainingMs == 0 &&
			load.BelowCapacity(x.r, x.j.Service, x.handler.params.Idle) {
			// It has capacity and refuses all the same.
			load.Watch.Failure(x.r.ID)
		}
		load.Avoid(x.r.ID, x.handler.params.Avoid/20)
		s.err = code.New(code.NoRunner, "runner %s refused with status %d", x.r.ID, a.StatusCode)
	}
	return s
}

// success reports whether an answer is one.
func (a *reply) success() bool { return a.StatusCode/100 == 2 }
