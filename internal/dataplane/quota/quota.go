// Package quota enforces a fleet-wide request quota for each tenant.
//
// Every node counts the requests it admits and periodically reports the counts to one collector,
// which merges them and returns the totals of the other nodes. A node decides locally, using the
// last merged counts, so admission adds no latency. The error is bounded by how many requests the
// fleet can admit before its counts are merged:
//
//   - A node admits freely while a tenant's remaining quota exceeds what the whole fleet
//     requests in the time that counts take to be merged (Params.Horizon).
//   - Near the limit, a node admits its share of half of the remaining quota until the next
//     exchange. The share is proportional to the requests that the node receives. The shares of
//     all nodes add up to one, so the requests admitted between two exchanges stay within the
//     quota that remained at the last merge.
//   - New programs are refused earlier than running ones, because a program is only useful if
//     all of its requests are admitted.
//   - A node without contact to a collector admits per window at most what it had admitted in a
//     window at its last exchange, or an equal share of the limit if that is larger. A collector
//     reserves the same amount for each node that does not report. A group of nodes with a
//     separate collector has the equal shares of its members. The partitions of a fleet
//     therefore stay within the limit together.
//   - A node that has just started may have admitted requests before its restart that are not
//     known to the collector. Its equal share becomes available gradually over one window.
//
// Counts are absolute and are replaced by later counts of the same incarnation of a node, so
// reports may be lost, duplicated or delayed. The proportional shares follow Raghavan et al.,
// Cloud Control with Distributed Rate Limiting (SIGCOMM 2007), with two differences: requests in
// a window are counted exactly, and network partitions are accounted for.
package quota

import (
	"math"
	"time"
)

// Params configures the accuracy of quotas and the timing of the exchange.
type Params struct {
	// Window is the sliding window in which a tenant's requests are counted.
	Window time.Duration
	// Excess is the fraction of its quota, and Slack the number of requests on top of that,
	// by which a tenant may exceed its quota. A quarter of both is part of the target, because
	// requests refused within the quota are lost. The rest covers requests that are admitted
	// before the counts are merged.
	Excess float64
	Slack  float64
	// Horizon is the maximum time until an admitted request is known to all connected nodes.
	Horizon time.Duration
	// Reserve is the multiple of the requests expected within Horizon that must remain in the
	// quota before a new program is admitted.
	Reserve float64
	// MaxAge is the maximum age of merged counts that a node uses for its decisions.
	MaxAge time.Duration
	// MaxSilence is how long a node without contact to a collector may admit requests, and
	// how long the collector reserves that node's share.
	MaxSilence time.Duration
	// StartupWait is how long a request waits for the first exchange of a node.
	StartupWait time.Duration
}

// DefaultParams are the default parameters.
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

// Limit is a tenant's quota: a request rate and an additional burst.
type Limit struct{ RatePerS, Burst float64 }

// Unlimited reports whether there is no limit.
func (l Limit) Unlimited() bool { return l.RatePerS <= 0 }

// allowed returns the maximum number of requests in one window, including all tolerances.
func (p *Params) allowed(l Limit) float64 {
	return (l.RatePerS*p.Window.Seconds()+l.Burst)*(1+p.Excess) + p.Slack
}

// budget returns the number of requests that the fleet aims to admit in one window.
func (p *Params) budget(l Limit) float64 {
	return (l.RatePerS*p.Window.Seconds()+l.Burst)*(1+p.Excess/4) + p.Slack/4
}

// slotsPerWindow is the number of time slots into which a window is divided for counting.
const slotsPerWindow = 40

// rateSlots is the number of slots over which the request rate is measured.
const rateSlots = slotsPerWindow / 8

// counter counts events in a sliding window of slots. The sum covers at least one window: it
// includes the current, partial slot in addition to the complete ones.
type counter struct {
	slots [slotsPerWindow + 1]uint32
	last  int64 // number of the current slot
	sum   uint32
}

// advance moves the window forward to a slot and drops older events.
func (c *counter) advance(slot int64) {
	if slot-c.last > slotsPerWindow {
		*c = counter{last: slot}
		return
	}
	for c.last < slot {
		c.last++
		count := &c.slots[c.last%int64(len(c.slots))]
		c.sum -= *count
		*count = 0
	}
}

func (c *counter) add(slot int64) {
	c.advance(slot)
	c.slots[slot%int64(len(c.slots))]++
	c.sum++
}

// remove subtracts an event that was added in a slot if that slot is still in the window.
func (c *counter) remove(slot int64) {
	count := &c.slots[slot%int64(len(c.slots))]
	if c.last-slot <= slotsPerWindow && *count > 0 {
		*count--
		c.sum--
	}
}

// recent returns the number of events in the latest n slots.
func (c *counter) recent(n int64) uint32 {
	var sum uint32
	for slot := c.last; slot > c.last-n && slot >= 0; slot-- {
		sum += c.slots[slot%int64(len(c.slots))]
	}
	return sum
}

// slotOf returns the slot number for the time since the node started.
func (p *Params) slotOf(sinceStart time.Duration) int64 {
	return int64(sinceStart / (p.Window / slotsPerWindow))
}

// ratePerS converts a count over rateSlots to a rate per second.
func (p *Params) ratePerS(n uint32) float64 {
	return float64(n) / (p.Window.Seconds() * rateSlots / slotsPerWindow)
}

// toCount converts f to a count and clamps it to the range of uint32.
func toCount(f float64) uint32 { return uint32(math.Max(0, math.Min(f, math.MaxUint32))) }
