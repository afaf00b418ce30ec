package storeclient

import (
	"context"
	"sync"
	"time"

	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// health records the outcome of recent requests to the stores. A node that cannot reach a
// majority rejects requests immediately, so that callers do not wait for a timeout.
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

// unreachable reports whether the last failure came more than probeInterval after the last
// success.
func (h *health) unreachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastFailure.Sub(h.lastSuccess) > probeInterval
}

func (h *health) probeDue() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.lastSuccess) > probeInterval
}

// probeInterval is the time without a successful request after which a node probes the stores.
const probeInterval = 200 * time.Millisecond

// Unreachable reports whether this node cannot reach the stores.
func (client *Client) Unreachable() bool { return client.health.unreachable() }

// Run probes the stores while no request has succeeded within probeInterval, until ctx ends.
func (client *Client) Run(ctx context.Context) {
	loop.Every(ctx, probeInterval, nil, func(ctx context.Context) {
		if !client.health.probeDue() {
			return
		}
		ctx, stop := context.WithTimeout(ctx, probeInterval)
		defer stop()
		_, _ = client.Read(ctx, "probe")
	})
}
