package clock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/transport/clock"
)

// TestSince: an advance of the time of day without the monotonic clock counts as elapsed time,
// and setting the time of day back does not reduce it.
func TestSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ahead time.Duration
		timeOfDay := func() time.Time { return time.Now().Add(ahead) }
		began := clock.Now(timeOfDay)
		for _, step := range []struct{ ahead, want time.Duration }{
			{0, time.Second},
			{time.Minute, time.Minute + 2*time.Second},
			{-time.Hour, 3 * time.Second},
		} {
			time.Sleep(time.Second)
			ahead = step.ahead
			if got := clock.Since(began, timeOfDay); got != step.want {
				t.Errorf("time of day off by %v: %v since, want %v", step.ahead, got, step.want)
			}
		}
		if (clock.Moment{}).IsZero() == began.IsZero() {
			t.Error("the zero Moment is not distinguished")
		}
	})
}
