// Package clock measures time that includes periods in which the machine is suspended. The
// monotonic clock, which package time uses for comparisons, stops while a virtual machine is
// suspended; the time of day continues, but can be set.
package clock

import "time"

// TimeOfDay returns the time of day; it is time.Now except in tests.
type TimeOfDay func() time.Time

// Moment is a point in time on both clocks. The zero Moment is before all others.
type Moment struct {
	monotonic time.Time
	timeOfDay time.Time
}

// Now returns the current Moment.
func Now(timeOfDay TimeOfDay) Moment {
	return Moment{monotonic: time.Now(), timeOfDay: timeOfDay().Round(0)}
}

// IsZero reports whether m is the zero Moment.
func (m Moment) IsZero() bool { return m.monotonic.IsZero() }

// Monotonic returns the reading of the monotonic clock alone, for durations that must not be
// overestimated.
func (m Moment) Monotonic() time.Time { return m.monotonic }

// Since returns the time elapsed since m, the larger of the durations on the two clocks. It
// overestimates if the time of day was set forward in the meantime, and underestimates only if
// the time of day was set back while the machine was suspended. Use it to limit the age of
// something.
func Since(m Moment, timeOfDay TimeOfDay) time.Duration { return Now(timeOfDay).Sub(m) }

// Sub returns the time from an earlier moment to m, the larger of the durations on the two
// clocks.
func (m Moment) Sub(earlier Moment) time.Duration {
	return max(m.monotonic.Sub(earlier.monotonic), m.timeOfDay.Sub(earlier.timeOfDay))
}
