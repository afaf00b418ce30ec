// Package quota bounds the requests that each tenant runs over all nodes together.
//
// Every node counts what it admits. It reports its counts to one collector, with its load
// report, and receives what all others have counted: the counts are merged, and a node decides
// by the merged count at no cost in time. How far the fleet may run ahead of what has been merged
// bounds the error:
//
//   - While a tenant is far from its limit a node admits freely: farther than the whole fleet
//     is asked for in the time that counts take to be merged (Params.Horizon).
//   - Near the limit a node admits, until it hears again, its share of half of what is left,
//     in proportion to what it is asked for. Shares of all nodes add up to one, so what is
//     admitted meanwhile stays within what was left when it was merged.
//   - Programs that have begun go before new ones, which are refused earlier: a program is
//     worth nothing unless all of its requests are admitted.
//   - A node that hears nothing admits, in a window, no more than it had admitted in one when
//     it last heard, or its equal part of the limit where that is more; a collector that does
//     not hear a node holds just as much for it. A group of nodes with a collector of its own
//     has the equal parts of its members. So the parts of a partitioned fleet add up to the
//     limit.
//   - A node that has just started may have admitted in an earlier life what nobody knows of:
//     its equal part becomes available over one window.
//
// Counts are absolute, and replaced by later ones of the same start of a node, so reports may be
// lost, doubled or late. Proportional shares are those of Raghavan et al., Cloud Control with
// Distributed Rate Limiting (SIGCOMM 2007); departures: windows are counted exactly, and
// partitions are accounted for.
package quota

import (
	"math"
	"time"
)

// Params are the bounds within which quotas hold, and the times of merging.
type Params struct {
	// Window is the span in which a tenant's requests are counted.
	Window time.Duration
	// Excess is by how much of its quota, Slack by how many requests besides, a tenant may
	// exceed it. A fourth of both is used up on purpose, for what is refused within a quota
	// is lost; the rest is for what runs ahead of merging.
	Excess float64
	Slack  float64
	// Horizon is the longest that an admitted request takes to be known to all nodes that
	// are in contact.
	Horizon time.Duration
	// Reserve is how many times what the fleet is asked for within Horizon must be left for a
	// new program to begin.
	Reserve float64
	// MaxAge is how long after a node last heard it goes by what it heard.
	MaxAge time.Duration
	// MaxSilence is how long a silent node may go on, and how long its part is held for it.
	MaxSilence time.Duration
	// StartupWait is how long a request waits for a node that has heard nothing yet.
	StartupWait time.Duration
}

// DefaultParams are the design's.
var DefaultParams = Params{
	Window:      5 * time.Second,
	Excess:      0.1,
	Slack:       20,
	Horizon:     600 * time.Millisecond,
	Reserve:     2,
	MaxAge:      time.Second,
	MaxSilence:  30 * time.Second,
	StartupWait: 500 * time.Millisecond,
}

// Limit is a tenant's quota: so many requests a second, and a burst on top.
type Limit struct{ RatePerS, Burst float64 }

// Unlimited reports whether there is no limit.
func (l Limit) Unlimited() bool { return l.RatePerS <= 0 }

// allowed is how many requests a tenant may be seen to run in one window.
func (p *Params) allowed(l Limit) float64 {
	return (l.RatePerS*p.Window.Seconds()+l.Burst)*(1+p.Excess) + p.Slack
}

// budget is how many requests a tenant may run in one window.
func (p *Params) budget(l Limit) float64 {
	return (l.RatePerS*p.Window.Seconds()+l.Burst)*(1+p.Excess/4) + p.Slack/4
}

// Slots of time in which requests are counted.
const slotsPerWindow = 40

// askedSlots is the span over which the rate of requests is measured: an eighth of a window.
const askedSlots = slotsPerWindow / 8

// counter counts events over the last window, in slots. The sum covers at least one window:
// the slot that has just begun counts besides the full ones.
type counter struct {
	slots [slotsPerWindow + 1]uint32
	last  int64 // number of the newest slot
	sum   uint32
}

// advance lets go what is older than a window.
func (c *counter) advance(slot int64) {
	if slot-c.last > slotsPerWindow {
		*c = counter{last: slot}
		return
	}
	for c.last < slot {
		c.last++
		at := &c.slots[c.last%int64(len(c.slots))]
		c.sum -= *at
		*at = 0
	}
}

func (c *counter) add(slot int64) {
	c.advance(slot)
	c.slots[slot%int64(len(c.slots))]++
	c.sum++
}

// remove takes back one that was added in a slot, if it is counted still.
func (c *counter) remove(slot int64) {
	at := &c.slots[slot%int64(len(c.slots))]
	if c.last-slot <= slotsPerWindow && *at > 0 {
		*at--
		c.sum--
	}
}

// recent is the sum of the newest slots.
func (c *counter) recent(n int64) uint32 {
	var sum uint32
	for slot := c.last; slot > c.last-n && slot >= 0; slot-- {
		sum += c.slots[slot%int64(len(c.slots))]
	}
	return sum
}

// slotOf numbers the slots of time since a node began to count.
func (p *Params) slotOf(since time.Duration) int64 {
	return int64(since / (p.Window / slotsPerWindow))
}

// askedPerS makes a rate of a count over askedSlots.
func (p *Params) askedPerS(n uint32) float64 {
	return float64(n) / (p.Window.Seconds() * askedSlots / slotsPerWindow)
}

func toCount(f float64) uint32 { return uint32(math.Max(0, math.Min(f, math.MaxUint32))) }
