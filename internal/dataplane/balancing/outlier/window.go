package outlier

import (
	"math"
	"time"
)

// baseline is the decaying outcome counts of a service's runners that are not ejected, from
// before the longest window. It gives the normal failure rate of the service.
type baseline struct {
	ended, failures float64
	at              time.Time
}

// baselineLifetime is the time constant of the exponential decay of a baseline.
const baselineLifetime = time.Minute

// rate returns the normal failure rate, smoothed by a pseudo-observation of one failure in 2000 jobs
// and limited to 1 %.
func (b *baseline) rate() float64 { return min((b.failures+1)/(b.ended+2000), 0.01) }

// decay ages the counts to the given time.
func (b *baseline) decay(now time.Time) {
	if d := now.Sub(b.at); d > 0 {
		f := math.Exp(-float64(d) / float64(baselineLifetime))
		b.ended, b.failures, b.at = b.ended*f, b.failures*f, now
	}
}

// track is the record of one runner.
type track struct {
	window [slotCount]Count // ring buffer, indexed by slot number modulo slotCount
	slot   int64            // number of the current slot
	// failureEdges are the last two distinct edges that reported a failure. Both are required
	// for an ejection, because the network link of a single edge may be at fault.
	failureEdges [2]string
	failureTimes [2]time.Time
	ejection     *ejection
}

// slotOf returns the number of the slot that contains now.
func slotOf(now time.Time) int64 { return now.UnixNano() / int64(slotLength) }

// advance moves the window forward to the slot of now. Counts that leave the longest window are added to b, if set.
func (t *track) advance(now time.Time, b *baseline) {
	for n := min(slotOf(now)-t.slot, slotCount); n > 0; n-- {
		t.slot = slotOf(now) - n + 1
		c := &t.window[t.slot%slotCount]
		if b != nil {
			b.ended += float64(c.Ended)
			b.failures += float64(c.Failures)
		}
		*c = Count{}
	}
}

// sum returns the counts of the last n slots.
func (t *track) sum(n int) Count {
	var c Count
	for i := range int64(n) {
		if t.slot >= i {
			c.add(t.window[(t.slot-i)%slotCount])
		}
	}
	return c
}
