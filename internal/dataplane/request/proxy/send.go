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
const dialFailureRetryAfter = 150 * time.Millisecond

// exchange is one send of a job to a runner, and its answer.
type exchange struct {
	handler  *Handler
	job      *Job
	response *Response
	runner   *endpoints.Runner
	conn     *conn

	admitted     *cooldown.Admission
	nothingSent  bool      // the caller has seen nothing of an answer yet
	eventsBefore int       // forwarded before it
	sentAt       time.Time // when the request began to go out
	firstEventAt time.Time // when its first event came; zero: none has

	stopWatching func() bool   // ends the watch over the deadline; false: it has struck
	idleTime     time.Duration // how long the connection may be kept; 0: it has no clean end
}

// send passes a job to one runner.
func (handler *Handler) send(j *Job, response *Response, runner *endpoints.Runner, admitted *cooldown.Admission) attemptResult {
	firstEvent, done := handler.dependencies.Load.Begin(runner.ID, j.PromptTokens+j.MaxOutputTokens)
	defer func() { done(); handler.freeSlots.notify() }()
	defer admitted.End()
	x := &exchange{handler: handler, job: j, response: response, runner: runner, admitted: admitted, nothingSent: !response.headSent, eventsBefore: response.events}
	response.onFirstEvent = func() {
		x.firstEventAt = time.Now()
		firstEvent()
	}
	ctx, stop := context.WithDeadline(j, j.ResponseDeadline)
	defer stop()
	var err error
	if x.conn, err = handler.dependencies.Pool.get(ctx, runner, false); err != nil {
		return x.dialFailed(ctx, err)
	}
	x.watch(ctx)
	defer x.release()
	return x.roundTrip()
}

// unreachable sorts out a failed dial: nothing went out. The runner may have departed, or have
// too many connections.
func (x *exchange) dialFailed(ctx context.Context, err error) attemptResult {
	if ctx.Err() == nil {
		x.handler.dependencies.Load.Avoid(x.runner.ID, x.handler.params.Avoid)
		x.handler.dependencies.Load.Watch.Failure(x.runner.ID)
	}
	return attemptResult{
		outcome:    retry.NotRun,
		retryAfter: dialFailureRetryAfter,
		err:        code.New(code.NoRunner, "runner %s can't be reached: %w", x.runner.ID, err),
	}
}

// watch lets the connection observe the deadline, and of a caller that has left.
func (x *exchange) watch(ctx context.Context) {
	_ = x.conn.netConn.SetDeadline(x.job.ResponseDeadline)
	x.stopWatching = context.AfterFunc(ctx, func() { _ = x.conn.netConn.SetDeadline(time.Unix(1, 0)) })
}

// keep marks the end of an answer as clean: the connection may serve another job.
func (x *exchange) markReusable(answer *reply) {
	if !answer.skippedOthers {
		x.idleTime = x.handler.dependencies.Pool.keepAliveTime(answer.Response)
	}
}

// release gives the connection back after a clean end, and closes it otherwise.
func (x *exchange) release() {
	if !x.stopWatching() || x.idleTime <= 0 {
		x.conn.netConn.Close()
		return
	}
	x.handler.dependencies.Pool.put(x.runner, x.conn, x.idleTime)
}

// do writes the request and takes its answer.
func (x *exchange) roundTrip() attemptResult {
	if !x.handler.mayStillSend(x.runner) {
		return attemptResult{
			outcome:    retry.NotRun,
			retryAfter: refusalRetryAfter,
			err:        code.New(code.NoRunner, "runner %s may not be sent to any more", x.runner.ID),
		}
	}
	request := x.handler.runnerRequest(x.job, x.response, x.runner)
	if refused, ok := x.stillAllowed(); !ok {
		return refused
	}
	x.sentAt = time.Now()
	x.response.lastProgressAt = x.sentAt
	if err := writeRequest(x.conn.netConn, request); err != nil {
		return x.incompleteResult(err)
	}
	answer, err := x.conn.readAnswer(request, x.job.Attempt, x.handler.dependencies.Headers.ReadResponse)
	if err != nil {
		return x.incompleteResult(err)
	}
	return x.handle(answer)
}

// stillAllowed checks right before the first byte whether the job may still go out: an edge that
// slept wakes up here, and nothing goes out past the deadline, nor to a runner that may
// not be sent to any more.
func (x *exchange) stillAllowed() (attemptResult, bool) {
	if x.job.TimeLeft() <= 0 || x.job.Err() != nil {
		return attemptResult{outcome: retry.NotRun, err: code.New(code.DeadlinePassed, "no time is left")}, false
	}
	if !x.handler.stillAuthorized(x.job) {
		err := code.New(code.UnknownKey, "the credential was withdrawn while the request waited")
		return attemptResult{outcome: retry.NotRun, err: err, final: true}, false
	}
	if !x.admitted.StillValid(x.job, x.job.TimeLeft()) {
		wait := x.handler.dependencies.Cooldowns.KnownWait(cooldownKey(x.runner))
		return attemptResult{
			outcome:    retry.NotRun,
			retryAfter: wait,
			err:        code.New(code.Cooling, "runner %s cools down", x.runner.ID),
		}, false
	}
	return attemptResult{}, true
}

// handle sorts out an answer that names the job. Its body is not closed: that would read it
// to its end, and who is done with an answer early is done with its connection.
func (x *exchange) handle(answer *reply) attemptResult {
	if answer.info.WarmupRemaining > 0 {
		x.handler.dependencies.Load.MarkWarmingUp(x.runner.ID, answer.info.WarmupRemaining)
	}
	if answer.info.NotRun || answer.info.OtherRunner {
		return x.classifyRefusal(answer)
	}
	x.record(answer)
	if err := x.unusable(answer); err != nil {
		return attemptResult{sent: true, err: err}
	}
	if err := x.forwardAnswer(answer); err != nil {
		if errors.Is(err, errCallerGone) {
			return attemptResult{sent: true, err: code.New(code.OutcomeUnknown, "%w", err)}
		}
		return x.incompleteResult(err)
	}
	x.markReusable(answer)
	if answer.success() {
		x.handler.dependencies.Load.Watch.Success(x.runner.ID, x.duration())
	}
	return attemptResult{outcome: retry.Answered, success: answer.success(), sent: true}
}

// handOn passes an answer to the caller, as it comes or complete.
func (x *exchange) forwardAnswer(answer *reply) error {
	if x.job.Path.Kind == spec.Stream && answer.success() {
		return x.response.forwardStream(answer.Response)
	}
	return x.response.forwardWhole(answer.Response)
}

// record tells cooldowns and outlier detection what an answer says of its runner.
func (x *exchange) record(answer *reply) {
	if x.job.View.Spec.Cooldown.Refusal(answer.StatusCode) {
		// A rate limit all the same, where it does not say that the job did not run.
		x.handler.dependencies.Cooldowns.RecordRefusal(x.job, cooldownKey(x.runner), cooldown.RetryAfter(answer.Header))
	}
	if answer.success() {
		x.admitted.Succeeded()
		x.response.runner = x.runner.ID
	}
	switch {
	case x.isUnhealthy(answer):
		x.handler.dependencies.Load.Watch.Failure(x.runner.ID)
	case !answer.success():
		x.handler.dependencies.Load.Watch.Success(x.runner.ID, outlier.Duration{})
	}
}

// duration is how long a success took, for outlier detection.
func (x *exchange) duration() outlier.Duration {
	took := outlier.Duration{Path: x.job.Path.Name}
	switch events := x.response.events - x.eventsBefore; {
	case x.firstEventAt.IsZero() && x.nothingSent:
		took.First = time.Since(x.sentAt)
	case x.nothingSent:
		took.First = x.firstEventAt.Sub(x.sentAt)
		if events > 2 {
			took.Between = x.response.lastProgressAt.Sub(x.firstEventAt) / time.Duration(events-1)
		}
	}
	return took
}

// may reports whether a runner may still be sent to: dialling takes a while.
func (handler *Handler) mayStillSend(runner *endpoints.Runner) bool {
	current := handler.dependencies.Endpoints.Current().Get(runner.ID)
	return current != nil && !current.Draining && current.Addr == runner.Addr && !handler.dependencies.View().Spec.Empty(runner.Zone)
}

// maxRefusal bounds what is read past of a refusal, to use its connection again.
const maxRefusalBytes = 64 << 10

// classifyRefusal sorts out a clear statement that the job did not run.
func (x *exchange) classifyRefusal(answer *reply) attemptResult {
	result := x.applyRefusal(answer)
	if n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxRefusalBytes)); err == nil && n < maxRefusalBytes {
		x.markReusable(answer)
	}
	return result
}

// applyRefusal is what a clear statement means for the job and for its runner.
func (x *exchange) applyRefusal(answer *reply) attemptResult {
	result := attemptResult{outcome: retry.NotRun, sent: true, retryAfter: refusalRetryAfter}
	load := x.handler.dependencies.Load
	switch {
	case answer.info.OtherRunner:
		// Somebody else has the address: the runner has departed.
		load.Avoid(x.runner.ID, 10*x.handler.params.Avoid)
		result.err = code.New(code.NoRunner, "runner %s is no longer at its address", x.runner.ID)
	case answer.StatusCode == http.StatusConflict && x.job.deduplicated():
		// The runners' own table has the operation under way: no word against this one.
		result.inProgress, result.sent, result.retryAfter = true, false, inProgressRetryAfter
		result.err = code.New(code.InProgress, "another request of this operation is under way")
	case x.job.View.Spec.Cooldown.Refusal(answer.StatusCode):
		result.retryAfter = x.handler.dependencies.Cooldowns.RecordRefusal(x.job, cooldownKey(x.runner), cooldown.RetryAfter(answer.Header))
		result.err = code.New(code.RunnerDrop, "runner %s refused with status %d", x.runner.ID, answer.StatusCode)
	default:
		if answer.info.WarmupRemaining == 0 && x.runner.WarmupRemainingMs == 0 &&
			load.BelowCapacity(x.runner, x.job.Service, x.handler.params.Idle) {
			// It has capacity and refuses all the same.
			load.Watch.Failure(x.runner.ID)
		}
		load.Avoid(x.runner.ID, x.handler.params.Avoid/20)
		result.err = code.New(code.NoRunner, "runner %s refused with status %d", x.runner.ID, answer.StatusCode)
	}
	return result
}

// success reports whether an answer is one.
func (a *reply) success() bool { return a.StatusCode/100 == 2 }
