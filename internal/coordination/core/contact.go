package core

import (
	"context"
	"sync"
	"time"

	"damsontiller/internal/transport/clock"
	"damsontiller/internal/transport/code"
)

// Requests about zones and retirement carry no version. If such a request lay unread while a core
// was paused, the core would execute it after resuming, long after the sender had retried
// elsewhere, and could undo later requests. A core therefore accepts such a request only if it has
// been in contact for longer than a sender waits for an answer: any request it reads then was sent
// during that contact.

const (
	// contactCheckInterval is the time between two checks of whether this core is in contact.
	contactCheckInterval = 500 * time.Millisecond
	// contactGap is the time without a check after which this process is considered to have been
	// paused.
	contactGap = 2 * contactCheckInterval
	// contactStableAfter is how long this core must have been in contact again before it accepts
	// requests without a version. Senders wait one second for an answer.
	contactStableAfter = time.Second
)

// contactTracker records when a process was last paused or out of contact with a majority.
type contactTracker struct {
	mu        sync.Mutex
	lastCheck clock.Moment // the last check; zero if there was none
	lastLost  time.Time    // when it was last found out of contact; zero if never
}

// check must be called regularly; leaseValid reports whether this core's lease is valid.
func (tracker *contactTracker) check(now clock.Moment, leaseValid bool) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if !leaseValid || tracker.paused(now) {
		tracker.lastLost = now.Monotonic()
	}
	tracker.lastCheck = now
}

// paused reports whether the process has been paused since the last check. The machine may have
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

// currentMoment is the present time on this core's clocks.
func (c *Core) currentMoment() clock.Moment { return clock.Now(c.Proposer.Clock) }

// checkContact is the background task that updates the contact tracker.
func (c *Core) checkContact(context.Context) { c.contact.check(c.currentMoment(), c.Lease.Valid()) }

// RequireContact temporarily rejects a request that may be outdated: this core is or was recently
// out of contact, or the deadline of the request has passed. The error has code.OutOfContact.
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
