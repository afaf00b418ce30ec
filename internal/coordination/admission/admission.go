// Package admission implements overload control: it decides which calls a process admits
// while it receives more than it can serve. Calls are divided into priority classes. A call
// over the limit of its class is rejected immediately with a retry delay, which leaves CPU
// time and memory to the classes of higher priority. Serving a call after its caller has
// timed out would be wasted work.
//
// Two quantities are limited. The first is the memory held by calls and by answers that are
// not written yet: each class may fill it up to its share. The second is the time that calls
// wait before they are served. As in CoDel (Nichols and Jacobson), a standing queue is
// detected by the minimum wait within a window rather than by the maximum, and a class is
// rejected while that minimum exceeds its target. As in DAGOR (Zhou et al.), each process
// decides by class and independently of the others.
//
// Unlike CoDel, it does not raise a drop rate over time: a rejected caller retries after a
// randomized delay of its own choice (package backoff).
package admission

import (
	"sync"
	"time"

	"damsontiller/internal/transport/code"
)

// Class is the priority class of a call. Lower values have higher priority and are rejected
// last.
type Class int

// The classes.
const (
	// Control covers votes of the cluster's register and lease renewals. They are never
	// rejected because of the waiting time.
	Control Class = iota
	// Acknowledgements covers calls that a configuration change waits for: broadcasts,
	// member lists and liveness checks.
	Acknowledgements
	// Requests covers reads and writes on behalf of client requests.
	Requests
	// Bulk covers repair and the transfer of keys.
	Bulk
	classCount
)

// String returns the class's name as used in metrics.
func (class Class) String() string {
	return [classCount]string{"control", "acknowledgements", "requests", "bulk"}[class]
}

// Params are the limits of admission.
type Params struct {
	// MaxBytes limits the memory held by calls and answers.
	MaxBytes int64
	// Shares are the percentages of MaxBytes up to which each class may fill the memory.
	Shares [classCount]int64
	// Targets are the standing waits above which each class is rejected; 0 means never.
	Targets [classCount]time.Duration
	// Window is the interval over which the minimum wait is taken.
	Window time.Duration
	// MinRetryAfter and MaxRetryAfter bound the retry delay returned with a rejection.
	MinRetryAfter, MaxRetryAfter time.Duration
}

// DefaultParams are for processes whose callers use a timeout of half a second.
var DefaultParams = Params{
	MaxBytes:      32 << 20,
	Shares:        [classCount]int64{100, 80, 60, 40},
	Targets:       [classCount]time.Duration{0, 150 * time.Millisecond, 75 * time.Millisecond, 20 * time.Millisecond},
	Window:        100 * time.Millisecond,
	MinRetryAfter: 50 * time.Millisecond,
	MaxRetryAfter: 2 * time.Second,
}

// Controller admits or rejects calls. Its methods may be called concurrently.
type Controller struct {
	params Params

	mu           sync.Mutex
	heldBytes    int64
	standingWait time.Duration // minimum wait of the last complete window
	windowStart  time.Time
	minWait      time.Duration // in the current window
	observed     bool          // whether a call has arrived in the current window
	counts       Counts
}

// Counts are the numbers of a controller's decisions by class.
type Counts struct {
	Admitted, RefusedForBytes, RefusedForWait [classCount]uint64
	// Expired counts calls dropped unserved because their callers had timed out.
	Expired uint64
}

// New creates a controller.
func New(p Params) *Controller { return &Controller{params: p} }

// Admit admits a call of the given size that has waited for the given time since it was
// read, or rejects it with code.Overloaded. The caller returns the bytes of an admitted call
// with Release.
func (controller *Controller) Admit(class Class, bytes int64, wait time.Duration, now time.Time) error {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	controller.rotateWindow(now)
	if !controller.observed || wait < controller.minWait {
		controller.minWait, controller.observed = wait, true
	}
	p := &controller.params
	switch {
	case controller.heldBytes+bytes > p.MaxBytes*p.Shares[class]/100 && controller.heldBytes > 0:
		controller.counts.RefusedForBytes[class]++
		return overloaded(p.MinRetryAfter, "%d bytes of calls and answers are held", controller.heldBytes)
	case p.Targets[class] > 0 && controller.standingWait > p.Targets[class]:
		controller.counts.RefusedForWait[class]++
		return overloaded(
			min(max(2*controller.standingWait, p.MinRetryAfter), p.MaxRetryAfter),
			"calls wait for %s",
			controller.standingWait,
		)
	}
	controller.counts.Admitted[class]++
	controller.heldBytes += bytes
	return nil
}

// overloaded returns an error with code.Overloaded and a retry delay.
func overloaded(retryAfter time.Duration, format string, args ...any) error {
	failure := code.New(code.Overloaded, format, args...)
	failure.RetryAfter = retryAfter
	return failure
}

// Reserve adds the bytes of an admitted call's answer to those of the call itself.
func (controller *Controller) Reserve(bytes int64) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	controller.heldBytes += bytes
}

// Release returns bytes taken by Admit or Reserve.
func (controller *Controller) Release(bytes int64) { controller.Reserve(-bytes) }

// CountExpired counts a call that was dropped unserved because its caller had timed out.
func (controller *Controller) CountExpired() {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	controller.counts.Expired++
}

// rotateWindow ends the current window once its time is over. A window without calls counts
// as one without waiting.
func (controller *Controller) rotateWindow(now time.Time) {
	age := now.Sub(controller.windowStart)
	if age < controller.params.Window {
		return
	}
	controller.standingWait = 0
	if controller.observed && age < 2*controller.params.Window {
		controller.standingWait = controller.minWait
	}
	controller.windowStart, controller.observed = now, false
}

// Status is a snapshot of a controller's state and counts.
type Status struct {
	HeldBytes    int64
	StandingWait time.Duration
	Counts
}

// Status returns a snapshot of the controller.
func (controller *Controller) Status() Status {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	return Status{HeldBytes: controller.heldBytes, StandingWait: controller.standingWait, Counts: controller.counts}
}

// Classes returns all classes in order of priority.
func Classes() []Class {
	out := make([]Class, classCount)
	for i := range out {
		out[i] = Class(i)
	}
	return out
}
