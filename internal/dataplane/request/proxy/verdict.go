package proxy

import (
	"errors"
	"net/http"
	"syscall"
	"time"

	"damsontiller/internal/transport/code"
)

// notRunStatuses are the statuses by which callers learn that a job did not run.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
}

// unusable tells why an answer that names the job may not be handed on, before anything
// of it is.
func (x *exchange) unusable(answer *reply) error {
	switch {
	case answer.success() && !answer.info.Sealed:
		return code.New(code.Incomplete, "a success from %s without its seal", x.runner.ID)
	case !hasKnownEnd(answer.Response):
		return code.New(code.Incomplete, "an answer from %s that does not say where it ends", x.runner.ID)
	case notRunStatuses[answer.StatusCode]:
		// It does not say that it did not run the job, so neither may we.
		return code.New(code.RunnerFailure, "runner %s answered %d", x.runner.ID, answer.StatusCode)
	case x.response.headSent && !answer.success():
		return code.New(code.RunnerFailure, "runner %s answered %d to what was to go on", x.runner.ID, answer.StatusCode)
	}
	return nil
}

// hasKnownEnd reports whether an answer says where it ends; one that ends with its
// connection can't be distinguished from one that was truncated.
func hasKnownEnd(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Request.Method == http.MethodHead
}

// isUnhealthy reports whether an answer is one that a runner in order does not give.
func (x *exchange) isUnhealthy(answer *reply) bool {
	switch status := answer.StatusCode; {
	case answer.success():
		return !answer.info.Sealed || !hasKnownEnd(answer.Response)
	case x.job.View.Spec.Cooldown.Refusal(status):
		return false
	case status == http.StatusGatewayTimeout:
		// The time was over: whose fault that is tells how long it took.
		return x.hung()
	default:
		return status/100 == 5 || notRunStatuses[status]
	}
}

// hung reports whether nothing has been received of the job for far longer than is usual.
func (x *exchange) hung() bool {
	return x.handler.dependencies.Load.Watch.Hung(x.job.Path.Name, time.Since(x.response.lastProgressAt))
}

// outcomeOfLoss sorts out a send without a complete response: it may have run.
func (x *exchange) incompleteResult(err error) attemptResult {
	load := x.handler.dependencies.Load
	disconnected := x.job.Err() == nil && !isTimeout(err)
	if disconnected || x.hung() {
		// Who receives nothing for very long receives it from a runner that hangs.
		load.Watch.Failure(x.runner.ID)
	}
	if disconnected {
		// A reset may be a runner that goes; a timeout is the job's own.
		load.Avoid(x.runner.ID, x.handler.params.Avoid/4)
		if errors.Is(err, syscall.ECONNRESET) && x.conn.unused {
			load.Avoid(x.runner.ID, x.handler.params.Avoid)
		}
	}
	failure := code.OutcomeUnknown
	if x.job.TimeLeft() <= 0 {
		failure = code.TimedOut
	}
	return attemptResult{sent: true, err: code.New(failure, "runner %s: %w", x.runner.ID, err)}
}
