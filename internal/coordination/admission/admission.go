// Package admission decides which calls a process takes while it has more of them than it
// can serve. Calls come in classes. What is over its class's bound is refused at once, with a
// time to come back, so that what is left of the processor and of the memory goes to the
// classes before it: of a call that is served too late for its caller nobody has anything.
//
// Two things are bounded. The bytes held of calls and of answers that are not written yet:
// each class may add to them up to its share. And the time that calls wait before they are
// served: as in CoDel (Nichols and Jacobson), not the longest wait but the least of a window
// shows a queue that stands, and each class is refused while that is above its target. As in
// DAGOR (Zhou et al.), the decision is by class and by each process for itself.
//
// It departs from CoDel in that nothing is dropped by a rising rate: a caller that is
// refused comes back after a pause that it draws itself (package backoff).
package admission

import (
	"sync"
	"time"

	"damsontiller/internal/transport/code"
)

// Class orders calls by what depends on them. Those that come first are refused last.
type Class int

// The classes.
const (
	// Control are votes of the cluster's register and renewals of leases. They are never
	// refused for a wait.
	Control Class = iota
	// Acknowledgements are what a change waits for: broadcasts, lists of members, who is there.
	Acknowledgements
	// Requests are reads and writes for callers' requests.
	Requests
	// Bulk is repair and the transfer of keys.
	Bulk
	classes
)

// String is the class's name in metrics.
func (c Class) String() string {
	return [classes]string{"control", "acknowledgements", "requests", "bulk"}[c]
}

// Params bound what is taken.
type Params struct {
	// MaxBytes bounds the bytes held of calls and answers.
	MaxBytes int64
	// Shares are the parts of MaxBytes up to which each class may add, in hundredths.
	Shares [classes]int64
	// Targets are the standing waits above which each class is refused; 0: never.
	Targets [classes]time.Duration
	// Window is the time over which the least wait is taken.
	Window time.Duration
	// MinRetryAfter and MaxRetryAfter bound when a refused caller is told to come back.
	MinRetryAfter, MaxRetryAfter time.Duration
}

// DefaultParams suit processes whose callers give a call half a second.
var DefaultParams = Params{
	MaxBytes: 32 << 20,
	Shares:   [classes]int64{100, 80, 60, 40},
	Targets:  [classes]time.Duration{0, 150 * time.Millisecond, 75 * time.Millisecond, 20 * time.Millisecond},
	Window:   100 * time.Millisecond,
	MinRetryAfter: 50 * time.Millisecond,
	MaxRetryAfter: 2 * time.Second,
}

// Controller decides. Its methods may be called concurrently.
type Controller struct {
	params Params

	mu          sync.Mutex
	held        int64         // bytes
	standing    time.Duration // the least wait of the last whole window
	windowStart time.Time
	least       time.Duration // of the window under way
	observed    bool          // in the window under way
	counts      Counts
}

// Counts are what a controller has decided, by class.
type Counts struct {
	Admitted, RefusedForBytes, RefusedForWait [classes]uint64
	// Expired are calls dropped unserved, since their callers' time was over.
	Expired uint64
}

// New makes a controller.
func New(p Params) *Controller { return &Controller{params: p} }

// Admit takes a call that holds so many bytes and has waited for so long since it was read,
// or refuses it with code.Overloaded. What is taken is given back by Release.
func (c *Controller) Admit(class Class, bytes int64, wait time.Duration, now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turn(now)
	if !c.observed || wait < c.least {
		c.least, c.observed = wait, true
	}
	p := &c.params
	switch {
	case c.held+bytes > p.MaxBytes*p.Shares[class]/100 && c.held > 0:
		c.counts.RefusedForBytes[class]++
		return overloaded(p.MinRetryAfter, "%d bytes of calls and answers are held", c.held)
	case p.Targets[class] > 0 && c.standing > p.Targets[class]:
		c.counts.RefusedForWait[class]++
		return overloaded(min(max(2*c.standing, p.MinRetryAfter), p.MaxRetryAfter), "calls wait for %s", c.standing)
	}
	c.counts.Admitted[class]++
	c.held += bytes
	return nil
}

func overloaded(pause time.Duration, format string, a ...any) error {
	f := code.New(code.Overloaded, format, a...)
	f.RetryAfter = pause
	return f
}

// Reserve counts bytes that a call that was taken holds beside its own: its answer.
func (c *Controller) Reserve(bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held += bytes
}

// Release gives bytes back.
func (c *Controller) Release(bytes int64) { c.Reserve(-bytes) }

// CountExpired counts a call that was dropped unserved.
func (c *Controller) CountExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Expired++
}

// turn ends the window under way once it is over. In one without any call nothing waited.
func (c *Controller) turn(now time.Time) {
	age := now.Sub(c.windowStart)
	if age < c.params.Window {
		return
	}
	c.standing = 0
	if c.observed && age < 2*c.params.Window {
		c.standing = c.least
	}
	c.windowStart, c.observed = now, false
}

// Status is what a controller holds and has decided.
type Status struct {
	HeldBytes    int64
	StandingWait time.Duration
	Counts
}

// Status is a copy of it.
func (c *Controller) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Status{HeldBytes: c.held, StandingWait: c.standing, Counts: c.counts}
}

// Classes lists the classes in order.
func Classes() []Class {
	out := make([]Class, classes)
	for i := range out {
		out[i] = Class(i)
	}
	return out
}
