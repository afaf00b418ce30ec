// Package clock counts time that goes on while the machine is suspended. The monotonic
// clock, which is what package time compares, stands still with a suspended virtual
// machine; the time of day goes on, but can be set.
package clock

import "time"

// TimeOfDay gives the time of day; time.Now outside of tests.
type TimeOfDay func() time.Time

// Moment is a point in time by both clocks. The zero Moment is before all others.
type Moment struct {
	monotonic time.Time
	timeOfDay time.Time
}

// Now is the present moment.
func Now(timeOfDay TimeOfDay) Moment {
	return Moment{monotonic: time.Now(), timeOfDay: timeOfDay().Round(0)}
}

// IsZero reports whether m is the zero Moment.
func (m Moment) IsZero() bool { return m.monotonic.IsZero() }

// Monotonic is the moment by the monotonic clock alone, for what must not be counted too
// long.
func (m Moment) Monotonic() time.Time { return m.monotonic }

// Since is the time that has passed since m, by whichever of the clocks says more. It may
// be too much where the time of day was set forward meanwhile, and is too little only where
// it was set back while the machine was suspended: it is for what must not be too old.
func Since(m Moment, timeOfDay TimeOfDay) time.Duration { return Now(timeOfDay).Sub(m) }

// Sub is the time from an earlier moment to m, by whichever of the clocks says more.
func (m Moment) Sub(earlier Moment) time.Duration {
	return max(m.monotonic.Sub(earlier.monotonic), m.timeOfDay.Sub(earlier.timeOfDay))
}
