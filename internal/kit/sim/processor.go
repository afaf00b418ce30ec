package sim

import (
	"context"
	"sync"
	"time"
)

// processor serves calls one at a time, in proportion to the bytes of each.
type processor struct {
	mu        sync.Mutex
	busyUntil time.Time
	timeOf    func(bytes int) time.Duration
}

// newProcessor makes a processor that takes a time for the fixed cost of a call.
func newProcessor(callTime time.Duration) *processor {
	return &processor{timeOf: func(bytes int) time.Duration { return callTime * time.Duration(bytes) / callBytes }}
}

// callBytes is the fixed cost of a call, in bytes processed.
const callBytes = 4 << 10

// Run waits until all work asked for earlier and this one is done.
func (p *processor) Run(_ context.Context, work int) {
	p.mu.Lock()
	now := time.Now()
	if p.busyUntil.Before(now) {
		p.busyUntil = now
	}
	p.busyUntil = p.busyUntil.Add(p.timeOf(work))
	done := p.busyUntil
	p.mu.Unlock()
	time.Sleep(time.Until(done))
}
