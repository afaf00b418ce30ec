package backlog

import (
	"time"

	"damsontiller/internal/dataplane/balancing/slots"
	"damsontiller/internal/dataplane/request/job"
)

// slotsKnownBefore is how long before the end of a cooldown this node's slots are assumed to
// be those that it will have at the end: by then the assigner has received the number of waiting
// jobs.
const slotsKnownBefore = 200 * time.Millisecond

// shortage describes why a job can't be dispatched now.
type shortage struct {
	// cooldown is the remaining cooldown of all runners of the route; 0 if there is none and
	// no slot is free; negative if there is no runner.
	cooldown time.Duration
	slots    int // of the route on this node; set only within slotsKnownBefore
	callTime time.Duration
}

// pick acquires a slot of an eligible runner, or returns the shortage if there is none.
func (b *Backlog) pick(c *job.Ctx) (job.Runner, slots.Kind, bool, shortage) {
	runner, kind, ok, cooldown := b.directory.Pick(c)
	short := shortage{cooldown: cooldown}
	if cooldown <= 0 {
		return runner, kind, ok, short
	}
	short.callTime = b.callTime(c.Route)
	if cooldown <= slotsKnownBefore {
		short.slots = b.directory.Slots(c.Route, c.Urgent)
	}
	return runner, kind, ok, short
}

// turnAfter estimates the time until a job is dispatched that has the given number of jobs of its
// route ahead of it. Until slotsKnownBefore only the first round of calls is counted: a job must
// not be rejected for lack of slots that may still be assigned.
func (s shortage) turnAfter(ahead int) time.Duration {
	if s.cooldown > slotsKnownBefore {
		return s.cooldown + s.callTime
	}
	return s.cooldown + slowStartTime(ahead, s.slots, s.callTime)
}

// slowStartTime estimates the time until a job is dispatched after a cooldown, with the given
// number of jobs ahead of it: slow start admits one call, then twice as many with each round of
// answers, up to the number of slots. The first job counts a round too, since a job that is
// ordered before it may still arrive.
func slowStartTime(ahead, slots int, callTime time.Duration) time.Duration {
	width := 1
	rounds := 1
	for ahead -= width; ahead >= 0 && width < slots; ahead -= width {
		rounds++
		width = min(2*width, slots)
	}
	if ahead >= 0 {
		// The remaining rounds run at full width.
		rounds += ahead/width + 1
	}
	return time.Duration(rounds) * callTime
}
