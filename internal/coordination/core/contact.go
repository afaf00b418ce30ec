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
// an order only if it has been in contact for longer than a sender waits for an answer:
// what it reads then was sent while it was in contact.

const (
	// contactCheckInterval is the time between two checks whether this core is in contact.
	contactCheckInterval = 500 * time.Millisecond
	// contactGap is the time without a check after which this process must have been
	// paused.
	contactGap = 2 * contactCheckInterval
	// contactStableAfter is how long this core must have been in contact again before it
	// takes orders. Senders wait a second for an answer.
	contactStableAfter = time.Second
)

// contactTracker remembers when a process was last out of contact with a majority, or
// paused.
type contactTracker struct {
	start     time.Time    // what the times below are counted from
	lastCheck atomic.Int64 // the last check
	lastLost  atomic.Int64 // when it was last found out of contact; 0: never
}

// check is called regularly; valid reports whether this core's lease runs.
func (t *contactTracker) check(now time.Time, valid bool) {
	at := int64(now.Sub(t.start))
	last := t.lastCheck.Swap(at)
	if !valid || last > 0 && at-last > int64(contactGap) {
		t.lastLost.Store(max(at, 1))
	}
}

// established reports whether the process has been in contact for long enough.
func (t *contactTracker) established(now time.Time, valid bool) bool {
	at := int64(now.Sub(t.start))
	last, lost := t.lastCheck.Load(), t.lastLost.Load()
	switch {
	case !valid:
		return false
	case last > 0 && at-last > int64(contactGap):
		return false
	}
	return lost == 0 || at-lost > int64(contactStableAfter)
}

// checkContact is the background task that updates the contact tracker.
func (c *Core) checkContact(context.Context) { c.contact.check(time.Now(), c.Lease.Valid()) }

// InContact rejects, for the moment, an order that may be an old one: this core is or was
// just out of contact, or the order's time is over. The error has code.OutOfContact.
func (c *Core) InContact(ctx context.Context) error {
	deadline, bounded := ctx.Deadline()
	now := time.Now()
	if bounded && now.After(deadline) {
		return code.New(code.OutOfContact, "the order's time is over")
	}
	if !c.contact.established(now, c.Lease.Valid()) {
		return code.New(code.OutOfContact, "%s was out of touch a moment ago", c.Peer.Self.Id)
	}
	return nil
}
