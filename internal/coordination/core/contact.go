package core

import (
	"context"
	"sync"
	"time"

	"damsontiller/internal/transport/clock"
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
	mu        sync.Mutex
	lastCheck clock.Moment // the last check; zero: there was none
	lastLost  time.Time    // when it was last found out of contact; zero: never
}

// check is called regularly; valid reports whether this core's lease runs.
func (tracker *contactTracker) check(now clock.Moment, leaseValid bool) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if !leaseValid || tracker.paused(now) {
		tracker.lastLost = now.Monotonic()
	}
	tracker.lastCheck = now
}

// paused reports whether the process stood still since the last check. The machine may have
// been suspended, which the monotonic clock does not show.
func (tracker *contactTracker) paused(now clock.Moment) bool {
	return !tracker.lastCheck.IsZero() && now.Sub(tracker.lastCheck) > contactGap
}

// established reports whether the process has been in contact for long enough.
func (tracker *contactTracker) established(now clock.Moment, leaseValid bool) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if !leaseValid || tracker.paused(now) {
		return false
	}
	return tracker.lastLost.IsZero() || now.Monotonic().Sub(tracker.lastLost) > contactStableAfter
}

// moment is the present one by this core's clocks.
func (c *Core) currentMoment() clock.Moment { return clock.Now(c.Proposer.Clock) }

// checkContact is the background task that updates the contact tracker.
func (c *Core) checkContact(context.Context) { c.contact.check(c.currentMoment(), c.Lease.Valid()) }

// RequireContact rejects, for the moment, an order that may be an old one: this core is or was
// just out of contact, or the order's time is over. The error has code.OutOfContact.
func (c *Core) RequireContact(ctx context.Context) error {
	deadline, bounded := ctx.Deadline()
	if bounded && time.Now().After(deadline) {
		return code.New(code.OutOfContact, "the order's time is over")
	}
	if !c.contact.established(c.currentMoment(), c.Lease.Valid()) {
		return code.New(code.OutOfContact, "%s was out of touch a moment ago", c.Peer.Self.Id)
	}
	return nil
}
