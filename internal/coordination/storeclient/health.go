package storeclient

import (
	"context"
	"sync"
	"time"

	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// health is what the last requests to the stores showed. A node that can not reach a
// majority rejects requests at once, so that no caller waits for a time-out to learn what
// the node knows already.
type health struct {
	mu                       sync.Mutex
	lastSuccess, lastFailure time.Time
}

func (h *health) record(err error) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	switch code.Of(err) {
	case code.StoresUnreachable, code.OutcomeUnknown:
		h.lastFailure = now
	case code.OK:
		h.lastSuccess = now
	}
}

// unreachable reports whether the last outcome was a failure, and for a while nothing else
// was.
func (h *health) unreachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastFailure.Sub(h.lastSuccess) > probeInterval
}

func (h *health) idle() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.lastSuccess) > probeInterval
}

// probeInterval is how long a node may go without a success from the stores before it
// probes them.
const probeInterval = 200 * time.Millisecond

// Unreachable reports whether this node can not reach the stores.
func (client *Client) Unreachable() bool { return client.health.unreachable() }

// Run probes the stores whenever no request has succeeded of late, until ctx ends.
func (client *Client) Run(ctx context.Context) {
	loop.Every(ctx, probeInterval, nil, func(ctx context.Context) {
		if !client.health.idle() {
			return
		}
		ctx, stop := context.WithTimeout(ctx, probeInterval)
		defer stop()
		_, _ = client.Read(ctx, "probe")
	})
}
