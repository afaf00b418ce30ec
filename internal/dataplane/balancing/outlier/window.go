package outlier

import (
	"math"
	"time"
)

// baseline is what is normal at a service: what its runners, less the ejected ones, did
// before the longest window.
type baseline struct {
	ended, failures float64
	at              time.Time
}

// baselineLifetime is how long the normal is remembered.
const baselineLifetime = time.Minute

func (b *baseline) rate() float64 { return min((b.failures+1)/(b.ended+2000), 0.01) }

func (b *baseline) fade(now time.Time) {
	if d := now.Sub(b.at); d > 0 {
		f := math.Exp(-float64(d) / float64(baselineLifetime))
		b.ended, b.failures, b.at = b.ended*f, b.failures*f, now
	}
}

type track struct {
	window [slotCount]Count
	at     int64 // the slot that is written
	// The two edges that last saw a failure: one edge alone may have a bad link.
	by       [2]string
	when     [2]time.Time
	ejection *ejection
}

func slotOf(now time.Time) int64 { return now.UnixNano() / int64(slotLength) }

// move begins the slot of now; what leaves the longest window goes to the base.
func (t *track) move(now time.Time, b *baseline) {
	for n := min(slotOf(now)-t.at, slotCount); n > 0; n-- {
		t.at = slotOf(now) - n + 1
		c := &t.window[t.at%slotCount]
		if b != nil {
			b.ended += float64(c.Ended)
			b.failures += float64(c.Failures)
		}
		*c = Count{}
	}
}

func (t *track) sum(n int) Count {
	var c Count
	for i := range int64(n) {
		if t.at >= i {
			c.add(t.window[(t.at-i)%slotCount])
		}
	}
	return c
}
