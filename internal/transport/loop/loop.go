// Package loop implements the loops of background tasks, so that cancellation, ticks and input
// are handled in one place.
package loop

import (
	"context"
	"time"
)

// Wakeup wakes a loop before its next tick. Notifications that arrive before the loop runs are
// merged into one.
type Wakeup chan struct{}

// NewWakeup returns a Wakeup.
func NewWakeup() Wakeup { return make(Wakeup, 1) }

// Notify wakes the loop. It never blocks.
func (k Wakeup) Notify() {
	select {
	case k <- struct{}{}:
	default:
	}
}

// Every runs step immediately, then at each period and each wake-up, until ctx ends.
func Every(ctx context.Context, period time.Duration, wakeup Wakeup, step func(context.Context)) {
	step(ctx)
	Consume(ctx, wakeup, period, func() { step(ctx) }, func(struct{}) { step(ctx) })
}

// Consume calls on for each input and tick at each period, until ctx ends.
func Consume[T any](ctx context.Context, in <-chan T, period time.Duration, tick func(), on func(T)) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		// Cancellation takes precedence over input that is ready at the same time.
		if ctx.Err() != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			tick()
		case v := <-in:
			on(v)
		}
	}
}

// Wait sleeps for d or until ctx ends; it reports whether the full duration passed.
func Wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// WaitFor waits until ch is ready or ctx ends; it reports whether ch was ready.
func WaitFor(ctx context.Context, ch <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-ch:
		return true
	}
}
