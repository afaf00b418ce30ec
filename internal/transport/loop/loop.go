// Package loop holds the few loops every background task runs in, so that stop, tick and
// input are selected on in one place only.
package loop

import (
	"context"
	"time"
)

// Wakeup wakes a loop early. It holds one wake-up; more are the same wake-up.
type Wakeup chan struct{}

// NewWakeup makes a wake-up.
func NewWakeup() Wakeup { return make(Wakeup, 1) }

// Notify wakes the loop without waiting.
func (k Wakeup) Notify() {
	select {
	case k <- struct{}{}:
	default:
	}
}

// Every runs step at once, then at each period and each wake-up, until ctx ends.
func Every(ctx context.Context, period time.Duration, wakeup Wakeup, step func(context.Context)) {
	step(ctx)
	Consume(ctx, wakeup, period, func() { step(ctx) }, func(struct{}) { step(ctx) })
}

// Consume hands each input to on and calls tick at each period until ctx ends.
func Consume[T any](ctx context.Context, in <-chan T, period time.Duration, tick func(), on func(T)) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		// A stop goes before any input that is ready as well.
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

// Wait sleeps for d or until ctx ends; it reports whether the entire time passed.
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

// WaitFor waits for ch or the end of ctx; it reports whether ch came.
func WaitFor(ctx context.Context, ch <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-ch:
		return true
	}
}
