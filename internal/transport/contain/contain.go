// Package contain keeps a fault in a part that others can do without from ending the process and
// all that it carries. The part starts anew with empty state. It is not for parts that vote, that
// write to disk or that a guarantee rests on: there a wrong state must end the process.
package contain

import (
	"fmt"
	"runtime/debug"
)

// Fault is a panic that Run has recovered from.
type Fault struct {
	Reason any
	Stack  string // of the panic
}

// Error returns the reason of the fault.
func (fault *Fault) Error() string { return fmt.Sprintf("fault: %v", fault.Reason) }

// Run calls f and returns the fault in which it ended, or nil. Locks that f takes must be released
// by deferred calls.
func Run(f func()) (fault *Fault) {
	defer func() {
		if reason := recover(); reason != nil {
			fault = &Fault{Reason: reason, Stack: string(debug.Stack())}
		}
	}()
	f()
	return nil
}
