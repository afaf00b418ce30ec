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

// dialFailureRetryAfter is when a caller may retry a job whose runner could not be dialed.
const dialFailureRetryAfter = 150 * time.Millisecond

// exchange is one send of a job to a runner and the runner's response.
type exchange struct {
	handler  *Handler
	job      *Job
	response *Response
	runner   *endpoints.Runner
	conn     *conn

	admitted     *cooldown.Admission
	nothingSent  bool      // the caller has received nothing of a response yet
	eventsBefore int       // events forwarded before this send
	sentAt       time.Time // when sending the request began
	firstEventAt time.Time // when the first event was received; zero: none yet

	stopWatching func() bool   // stops enforcing the deadline; false: it has already taken effect
	idleTime     time.Duration // how long the connection may stay idle for reuse; 0: it did not end cleanly
}

// send sends a job to one runner and forwards the response.
func (handler *Handler) send(
	j *Job,
	response *Response,
	runner *endpoints.Runner,
	admitted *cooldown.Admission,
) attemptResult {
	firstEvent, done := handler.deps.Load.Begin(runner.ID, j.PromptTokens+j.MaxOutputTokens)
	defer func() { done(); handler.freeSlots.notify() }()
	defer admitted.End()
	x := &exchange{
		handler:      handler,
		job:          j,
		response:     response,
		runner:       runner,
		admitted:     admitted,
		nothingSent:  !response.headSent,
		eventsBefore: response.events,
	}
	response.onFirstEvent = func() {
		x.firstEventAt = time.Now()
		firstEvent()
	}
	ctx, stop := context.WithDeadline(j, j.ResponseDeadline)
	defer stop()
	var err error
	if x.conn, err = handler.deps.Pool.get(ctx, runner, false); err != nil {
		return x.dialFailed(ctx, err)
	}
	x.conn.heads.memory = j.memory
	x.watch(ctx)
	defer x.release()
	return x.roundTrip()
}

// dialFailed handles a failed dial: nothing was sent. The runner may be gone, or have too many
// connections.
func (x *exchange) dialFailed(ctx context.Context, err error) attemptResult {
	if ctx.Err() == nil {
		x.handler.deps.Load.Avoid(x.runner.ID, x.handler.params.Avoid)
		x.handler.deps.Load.Watch.Failure(x.runner.ID)
	}
	return attemptResult{
		outcome:    retry.NotRun,
		retryAfter: dialFailureRetryAfter,
		err:        code.New(code.NoRunner, "runner %s can't be reached: %w", x.runner.ID, err),
	}
}

// watch closes the connection to further I/O at the deadline, or when the caller disconnects.
func (x *exchange) watch(ctx context.Context) {
	_ = x.conn.netConn.SetDeadline(x.job.ResponseDeadline)
	x.stopWatching = context.AfterFunc(ctx, func() { _ = x.conn.netConn.SetDeadline(time.Unix(1, 0)) })
}

// markReusable allows the connection to be reused after a clean end of the response.
func (x *exchange) markReusable(answer *reply) {
	if !answer.skippedOthers {
		x.idleTime = x.handler.deps.Pool.keepAliveTime(answer.Response)
	}
}

// release returns the connection to the pool after a clean end, and closes it otherwise.
func (x *exchange) release() {
	x.conn.heads.memory = nil
	if !x.stopWatching() || x.idleTime <= 0 {
		x.conn.netConn.Close()
		return
	}
	x.handler.deps.Pool.put(x.runner, x.conn, x.idleTime)
}

// roundTrip sends the request and handles the response.
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
	answer, err := x.conn.readAnswer(request, x.job.Attempt, x.handler.deps.Headers.ReadResponse)
	if err != nil {
		return x.incompleteResult(err)
	}
	return x.handle(answer)
}

// stillAllowed checks right before the first byte whether the job may still be sent. The process
// may have been suspended since the last check: nothing may be sent past the deadline, or to a
// runner that no longer accepts jobs.
func (x *exchange) stillAllowed() (attemptResult, bool) {
	if x.job.TimeLeft() <= 0 || x.job.Err() != nil {
		return attemptResult{outcome: retry.NotRun, err: code.New(code.DeadlinePassed, "no time is left")}, false
	}
	if !x.handler.stillAuthorized(x.job) {
		err := code.New(code.UnknownKey, "the credential was withdrawn while the request waited")
		return attemptResult{outcome: retry.NotRun, err: err, final: true}, false
	}
	if !x.admitted.StillValid(x.job, x.job.TimeLeft()) {
		wait := x.handler.deps.Cooldowns.KnownWait(cooldownKey(x.runner))
		return attemptResult{
			outcome:    retry.NotRun,
			retryAfter: wait,
			err:        code.New(code.Cooling, "runner %s cools down", x.runner.ID),
		}, false
	}
	return attemptResult{}, true
}

// handle processes a response that names the job. It does not close the body: that would read the
// body to its end, while a response abandoned early also ends its connection.
func (x *exchange) handle(answer *reply) attemptResult {
	if answer.info.WarmupRemaining > 0 {
		x.handler.deps.Load.MarkWarmingUp(x.runner.ID, answer.info.WarmupRemaining)
	}
	if answer.info.NotRun || answer.info.OtherRunner {
		return x.handleRefusal(answer)
	}
	x.record(answer)
	if err := x.unusable(answer); err != nil {
		return attemptResult{sent: true, err: err}
	}
	if err := x.forwardAnswer(answer); err != nil {
		if errors.Is(err, errCallerDisconnected) {
			return attemptResult{sent: true, err: code.New(code.OutcomeUnknown, "%w", err)}
		}
		return x.incompleteResult(err)
	}
	x.markReusable(answer)
	if answer.success() {
		x.handler.deps.Load.Watch.Success(x.runner.ID, x.duration())
	}
	return attemptResult{outcome: retry.Answered, success: answer.success(), sent: true}
}

// forwardAnswer forwards a response to the caller, as a stream or as a whole.
func (x *exchange) forwardAnswer(answer *reply) error {
	if x.job.Path.Kind == spec.Stream && answer.success() {
		return x.response.forwardStream(answer.Response)
	}
	return x.response.forwardWhole(answer.Response)
}

// record reports a response to the cooldowns and to outlier detection.
func (x *exchange) record(answer *reply) {
	if x.job.View.Spec.Cooldown.Refusal(answer.StatusCode) {
		// The status counts as a rate limit even without a statement that the job did not run.
		x.handler.deps.Cooldowns.RecordRefusal(x.job, cooldownKey(x.runner), cooldown.RetryAfter(answer.Header))
	}
	if answer.success() {
		x.admitted.Succeeded()
		x.response.runner = x.runner.ID
	}
	switch {
	case x.isUnhealthy(answer):
		x.handler.deps.Load.Watch.Failure(x.runner.ID)
	case !answer.success():
		x.handler.deps.Load.Watch.Success(x.runner.ID, outlier.Duration{})
	}
}

// duration returns how long a successful response took, for outlier detection.
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

// mayStillSend reports whether a runner may still be sent jobs; its state may have changed during
// the dial.
func (handler *Handler) mayStillSend(runner *endpoints.Runner) bool {
	current := handler.deps.Endpoints.Current().Get(runner.ID)
	return current != nil && !current.Draining && current.Addr == runner.Addr &&
		!handler.deps.View().Spec.Empty(runner.Zone)
}

// maxRefusalBytes limits how much of a refusal's body is read so that its connection can be reused.
const maxRefusalBytes = 64 << 10

// handleRefusal handles a response that states that the job did not run.
func (x *exchange) handleRefusal(answer *reply) attemptResult {
	result := x.applyRefusal(answer)
	if n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxRefusalBytes)); err == nil && n < maxRefusalBytes {
		x.markReusable(answer)
	}
	return result
}

// applyRefusal applies a refusal to the job and to the runner's load and cooldown.
func (x *exchange) applyRefusal(answer *reply) attemptResult {
	result := attemptResult{outcome: retry.NotRun, sent: true, retryAfter: refusalRetryAfter}
	load := x.handler.deps.Load
	switch {
	case answer.info.OtherRunner:
		// Another process has the address: the runner is gone.
		load.Avoid(x.runner.ID, 10*x.handler.params.Avoid)
		result.err = code.New(code.NoRunner, "runner %s is no longer at its address", x.runner.ID)
	case answer.StatusCode == http.StatusConflict && x.job.deduplicated():
		// The runners' own deduplication table lists the operation as in progress, which says
		// nothing against this runner.
		result.inProgress, result.sent, result.retryAfter = true, false, inProgressRetryAfter
		result.err = code.New(code.InProgress, "another request of this operation is under way")
	case x.job.View.Spec.Cooldown.Refusal(answer.StatusCode):
		result.retryAfter = x.handler.deps.Cooldowns.RecordRefusal(
			x.job,
			cooldownKey(x.runner),
			cooldown.RetryAfter(answer.Header),
		)
		result.err = code.New(code.RunnerDrop, "runner %s refused with status %d", x.runner.ID, answer.StatusCode)
	default:
		if answer.info.WarmupRemaining == 0 && x.runner.WarmupRemainingMs == 0 &&
			load.BelowCapacity(x.runner, x.job.Service, x.handler.params.Idle) {
			// It refuses although it has capacity.
			load.Watch.Failure(x.runner.ID)
		}
		load.Avoid(x.runner.ID, x.handler.params.Avoid/20)
		result.err = code.New(code.NoRunner, "runner %s refused with status %d", x.runner.ID, answer.StatusCode)
	}
	return result
}

// success reports whether the response has a success status.
func (a *reply) success() bool { return a.StatusCode/100 == 2 }
