package storeclient

import (
	"context"
	"sync"
	"time"

	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// health is what the last requests to the stores showed. A node that can't
// reach a majority says so at its ingress at once; nobody waits for a time-out to
// learn what the node knows already.
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

// unreachable: the last thing seen is a failure, and for a while nothing else was.
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

// probeInterval is how long a node may go without a good answer from the stores before
// it asks for one.
const probeInterval = 200 * time.Millisecond

// Unreachable tells whether the stores are out of this node's reach.
func (client *Client) Unreachable() bool { return client.health.unreachable() }

// Run asks the stores for a sign of life whenever no job has had one of late.
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
