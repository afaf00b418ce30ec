package proxy

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"damsontiller/internal/transport/code"
)

// notRunStatuses are the statuses that tell callers that a job did not run.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
}

// unusable returns why a response that names the job must not be forwarded. It is called before any
// of it is forwarded.
func (x *exchange) unusable(answer *reply) error {
	switch {
	case answer.success() && !answer.info.Sealed:
		return code.New(code.Incomplete, "a success from %s without its seal", x.runner.ID)
	case !hasKnownEnd(answer.Response):
		return code.New(code.Incomplete, "an answer from %s that does not say where it ends", x.runner.ID)
	case notRunStatuses[answer.StatusCode]:
		// The runner does not state that it did not run the job, so the status must not say so to
		// the caller.
		return code.New(code.RunnerFailure, "runner %s answered %d", x.runner.ID, answer.StatusCode)
	case x.response.headSent && !answer.success():
		return code.New(
			code.RunnerFailure,
			"runner %s answered %d to a request to resume the stream",
			x.runner.ID,
			answer.StatusCode,
		)
	}
	return nil
}

// hasKnownEnd reports whether a response states its length. A response that ends with its
// connection can't be distinguished from a truncated one.
func hasKnownEnd(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 ||
		response.Request.Method == http.MethodHead
}

// isUnhealthy reports whether a healthy runner would not have sent this response.
func (x *exchange) isUnhealthy(answer *reply) bool {
	switch status := answer.StatusCode; {
	case answer.success():
		return !answer.info.Sealed || !hasKnownEnd(answer.Response)
	case x.job.View.Spec.Cooldown.Refusal(status):
		return false
	case status == http.StatusGatewayTimeout:
		// The deadline passed: the elapsed time tells whether the runner is at fault.
		return x.hung()
	default:
		return status/100 == 5 || notRunStatuses[status]
	}
}

// hung reports whether the job has received nothing for far longer than usual.
func (x *exchange) hung() bool {
	return x.handler.deps.Load.Watch.Hung(x.job.Path.Name, time.Since(x.response.lastProgressAt))
}

// incompleteResult handles a send without a complete response: the job may have run.
func (x *exchange) incompleteResult(err error) attemptResult {
	load := x.handler.deps.Load
	disconnected := x.job.Err() == nil && !isTimeout(err) && !errors.Is(err, errNoMemory)
	if disconnected || x.hung() {
		// Receiving nothing for very long indicates that the runner hangs.
		load.Watch.Failure(x.runner.ID)
	}
	if disconnected {
		// A reset may mean that the runner is terminating; a timeout is the job's own.
		load.Avoid(x.runner.ID, x.handler.params.Avoid/4)
		if errors.Is(err, syscall.ECONNRESET) && x.conn.unused {
			load.Avoid(x.runner.ID, x.handler.params.Avoid)
		}
	}
	failure := code.OutcomeUnknown
	if x.job.TimeLeft() <= 0 {
		failure = code.TimedOut
	}
	return attemptResult{sent: true, err: code.New(failure, "runner %s: %w", x.runner.ID, withoutContent(err))}
}

// errMalformed replaces the errors of net/http about bytes that are no response.
var errMalformed = errors.New("bytes that are no answer")

// withoutContent returns what went wrong with a response, without any of its bytes. The errors of
// net/http quote what they could not parse, which may belong to another caller.
func withoutContent(err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) || code.Of(err) != code.Unknown {
		return err
	}
	for _, reason := range []error{
		errOtherJob,
		errNoAttempt,
		errBadStatus,
		errHeadTooLong,
		errTooManyProvisional,
		errNoMemory,
		errTurnTooLong,
		io.EOF,
		io.ErrUnexpectedEOF,
	} {
		if errors.Is(err, reason) {
			return reason
		}
	}
	return errMalformed
}
