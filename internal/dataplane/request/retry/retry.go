// Package retry decides whether a request that was sent to a runner may be sent again. Both
// request paths, named turns and calls as well as proxied requests, use it, so that
// at-most-once execution is enforced in one place.
package retry

// Outcome is what is known about a request after one attempt.
type Outcome int

const (
	// Unknown means that the request may have run: the connection was reset, contact was lost,
	// or the answer was truncated or did not name the request.
	Unknown Outcome = iota
	// NotRun means that the request did not run and will not: no byte of it was sent, or the
	// runner stated so in an answer that names the request.
	NotRun
	// Answered means that the request ran and the runner's complete response was forwarded.
	Answered
)

// Allowed reports whether a request may be sent again after an outcome. A request that is not
// repeatable may be sent again only if it certainly did not run.
func Allowed(o Outcome, repeatable bool) bool {
	switch o {
	case NotRun:
		return true
	case Unknown:
		return repeatable
	default:
		return false
	}
}
