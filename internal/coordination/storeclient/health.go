package storeclient

import (
	"context"
	"sync"
	"time"

	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// health is what the last dealings with the stores showed. A node that can't
// reach a majority says so at its door at once; nobody waits for a time-out to
// learn what the node knows already.
type health struct {
	mu        sync.Mutex
	good, bad time.Time
}

func (h *health) note(err error) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	switch code.Of(err) {
	case code.TierAway, code.OutcomeUnknown:
		h.bad = now
	case code.OK:
		h.good = now
	}
}

// away: the last thing seen is a failure, and for a while nothing else was.
func (h *health) away() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bad.Sub(h.good) > blind
}

func (h *health) quiet() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.good) > blind
}

// blind is how long a node may go without a good answer from the stores before
// it asks for one.
const blind = 200 * time.Millisecond

// Away tells whether the stores are out of this node's reach.
func (t *Tier) Away() bool { return t.h.away() }

// Run asks the stores for a sign of life whenever no job has had one of late.
func (t *Tier) Run(ctx context.Context) {
	loop.Every(ctx, blind, nil, func(ctx context.Context) {
		if !t.h.quiet() {
			return
		}
		ctx, stop := context.WithTimeout(ctx, blind)
		defer stop()
		_, _ = t.Read(ctx, "probe")
	})
}
