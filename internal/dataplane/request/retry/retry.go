// Package retry decides whether a request that was sent to a runner may be sent again.
// Both request paths, named turns and calls as well as proxied requests, ask here, so
// that at-most-once execution is guarded in one place.
package retry

// Outcome is what is known of a request after one send.
type Outcome int

const (
	// Unknown means that it may have run. A reset, a time without contact, a truncated
	// answer and an answer that does not name the request leave it so.
	Unknown Outcome = iota
	// NotRun means that it did not run and will not. No byte of it went out, or the runner
	// said so in an answer that names it.
	NotRun
	// Answered means that it ran, and the runner's complete response was handed on.
	Answered
)

// Allowed reports whether a request may be sent once more after an outcome. One that may
// run only once is not, as soon as it may have run.
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
