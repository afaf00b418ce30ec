package core

import (
	"context"
	"sync/atomic"
	"time"

	"damsontiller/internal/transport/code"
)

// Orders about zones and about retirement carry no number. One that lay unread at a
// core that stood still would be carried out when the core goes on, long after its
// sender went elsewhere, and could undo what was ordered since. So a core takes such
// an order only if it has been in touch for longer than a sender waits for an answer:
// what it reads then was sent while it was in touch.

const (
	// touchPeriod is the time between two looks at whether this core is in touch.
	touchPeriod = 500 * time.Millisecond
	// touchLapse is the time without a look after which this process stood still.
	touchLapse = 2 * touchPeriod
	// touchSettle is how long this core must have been in touch again. Senders wait
	// for an answer for a second.
	touchSettle = time.Second
)

// touch notes when a process was last out of touch with a majority, or stood still.
type touch struct {
	start time.Time    // what the times below are counted from
	felt  atomic.Int64 // the last look
	lost  atomic.Int64 // when it was last found out of touch; 0: never
}

// feel looks at the clock; valid tells whether this core's lease runs.
func (t *touch) feel(now time.Time, valid bool) {
	at := int64(now.Sub(t.start))
	last := t.felt.Swap(at)
	if !valid || last > 0 && at-last > int64(touchLapse) {
		t.lost.Store(max(at, 1))
	}
}

// steady tells whether the process has been in touch for long enough.
func (t *touch) steady(now time.Time, valid bool) bool {
	at := int64(now.Sub(t.start))
	last, lost := t.felt.Load(), t.lost.Load()
	switch {
	case !valid:
		return false
	case last > 0 && at-last > int64(touchLapse):
		return false
	}
	return lost == 0 || at-lost > int64(touchSettle)
}

// feelTouch is the duty that keeps touch up to date.
func (c *Core) feelTouch(context.Context) { c.touch.feel(time.Now(), c.Lic.Valid()) }

// InTouch refuses, for the moment, to work on an order that may be an old one: this
// core is or was just out of touch, or the order's time is over.
func (c *Core) InTouch(ctx context.Context) error {
	deadline, bounded := ctx.Deadline()
	now := time.Now()
	if bounded && now.After(deadline) {
		return code.New(code.OutOfTouch, "the order's time is over")
	}
	if !c.touch.steady(now, c.Lic.Valid()) {
		return code.New(code.OutOfTouch, "%s was out of touch a moment ago", c.Peer.Self.Id)
	}
	return nil
}
