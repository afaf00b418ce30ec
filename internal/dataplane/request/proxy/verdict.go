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
func (x *exchange) unusable(a *reply) error {
	switch {
	case a.success() && !a.info.Sealed:
		return code.New(code.Incomplete, "a success from %s without its seal", x.r.ID)
	case !hasKnownEnd(a.Response):
		return code.New(code.Incomplete, "an answer from %s that does not say where it ends", x.r.ID)
	case notRunStatuses[a.StatusCode]:
		// It does not say that it did not run the job, so neither may we.
		return code.New(code.RunnerFailure, "runner %s answered %d", x.r.ID, a.StatusCode)
	case x.w.begun && !a.success():
		return code.New(code.RunnerFailure, "runner %s answered %d to what was to go on", x.r.ID, a.StatusCode)
	}
	return nil
}

// hasKnownEnd reports whether an answer says where it ends; one that ends with its
// connection can't be distinguished from one that was truncated.
func hasKnownEnd(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.Request.Method == http.MethodHead
}

// isUnhealthy reports whether an answer is one that a runner in order does not give.
func (x *exchange) isUnhealthy(a *reply) bool {
	switch s := a.StatusCode; {
	case a.success():
		return !a.info.Sealed || !hasKnownEnd(a.Response)
	case x.j.View.Spec.Cooldown.Refusal(s):
		return false
	case s == http.StatusGatewayTimeout:
		// The time was over: whose fault that is tells how long it took.
		return x.hung()
	default:
		return s/100 == 5 || notRunStatuses[s]
	}
}

// hung reports whether nothing has been received of the job for far longer than is usual.
func (x *exchange) hung() bool {
	return x.handler.parts.Load.Watch.Hung(x.j.Path.Name, time.Since(x.w.moved))
}

// outcomeOfLoss sorts out a send without a complete response: it may have run.
func (x *exchange) outcomeOfLoss(err error) attemptResult {
	load := x.handler.parts.Load
	ended := x.j.Err() == nil && !isTimeout(err)
	if ended || x.hung() {
		// Who receives nothing for very long receives it from a runner that hangs.
		load.Watch.Failure(x.r.ID)
	}
	if ended {
		// A reset may be a runner that goes; a timeout is the job's own.
		load.Avoid(x.r.ID, x.handler.params.Avoid/4)
		if errors.Is(err, syscall.ECONNRESET) && x.c.unused {
			load.Avoid(x.r.ID, x.handler.params.Avoid)
		}
	}
	n := code.OutcomeUnknown
	if x.j.TimeLeft() <= 0 {
		n = code.TimedOut
	}
	return attemptResult{sent: true, err: code.New(n, "runner %s: %w", x.r.ID, err)}
}
