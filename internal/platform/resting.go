package platform

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/loop"
)

// Default limits, used if the operator's configuration sets none.
const (
	defaultIdle   = time.Minute
	defaultHeader = 10 * time.Second
)

const (
	// expireInterval is the interval between checks of the connections and the limits.
	expireInterval = time.Second
	// updateDelay bounds the time during which a client still applies a limit after the limit was
	// replaced on this node.
	updateDelay = 10 * time.Second
)

// idleLimiter closes callers' connections that do not receive a complete request header within
// the sum of the idle limit and the header limit. The time counts from the accept or from the
// last response. A replaced limit remains in force for the connections that became idle under
// it, so that a change does not close a connection that its client may still reuse. Connections
// with a request in progress are not closed.
type idleLimiter struct {
	limits func() spec.Limits

	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
	current   time.Duration
	replaced  []replacedLimit
}

// replacedLimit is a previous limit that is still in force.
type replacedLimit struct {
	limit time.Duration
	until time.Time // end of its validity
}

func newIdleLimiter(limits func() spec.Limits) *idleLimiter {
	return &idleLimiter{limits: limits, idleSince: map[net.Conn]time.Time{}}
}

// connState is the ConnState hook of the server. A connection becomes active once the header of a
// request has been read.
func (l *idleLimiter) connState(c net.Conn, s http.ConnState) {
	if caller, ok := c.(*callerConn); ok {
		caller.setState(s)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch s {
	case http.StateNew, http.StateIdle:
		l.idleSince[c] = time.Now()
	default:
		delete(l.idleSince, c)
	}
}

// closeOldest closes the connection that has been idle for longest, to make room for another one.
func (l *idleLimiter) closeOldest() {
	l.mu.Lock()
	var oldest net.Conn
	for c, since := range l.idleSince {
		if oldest == nil || since.Before(l.idleSince[oldest]) {
			oldest = c
		}
	}
	delete(l.idleSince, oldest)
	l.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close()
	}
}

// run closes expired connections at each expireInterval until ctx ends.
func (l *idleLimiter) run(ctx context.Context) {
	loop.Every(ctx, expireInterval, nil, func(context.Context) { l.expire(time.Now()) })
}

// expire closes the connections that have been idle for too long.
func (l *idleLimiter) expire(now time.Time) {
	limit := idleTimeout(l.limits())
	for _, c := range l.expired(now, limit) {
		_ = c.Close()
	}
}

// expired removes and returns the connections that have been idle for longer than every limit in
// force.
func (l *idleLimiter) expired(now time.Time, limit time.Duration) []net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now, limit)
	longest := l.longestLimit(now)
	var out []net.Conn
	for c, since := range l.idleSince {
		if now.Sub(since) > longest {
			out = append(out, c)
			delete(l.idleSince, c)
		}
	}
	return out
}

// update sets the current limit. The previous one remains in force for its own duration plus
// updateDelay.
func (l *idleLimiter) update(now time.Time, limit time.Duration) {
	if limit == l.current {
		return
	}
	if l.current > 0 {
		l.replaced = append(l.replaced, replacedLimit{l.current, now.Add(l.current + updateDelay)})
	}
	l.current = limit
}

// longestLimit returns the longest limit in force and removes the replaced limits that are no
// longer valid.
func (l *idleLimiter) longestLimit(now time.Time) time.Duration {
	longest := l.current
	remaining := l.replaced[:0]
	for _, f := range l.replaced {
		if now.Before(f.until) {
			remaining = append(remaining, f)
			longest = max(longest, f.limit)
		}
	}
	l.replaced = remaining
	return longest
}

// idleTimeout returns the maximum time of a connection without a complete request header.
func idleTimeout(limits spec.Limits) time.Duration {
	idle, header := defaultIdle, defaultHeader
	if limits.IdleMs > 0 {
		idle = time.Duration(limits.IdleMs) * time.Millisecond
	}
	if limits.HeaderMs > 0 {
		header = time.Duration(limits.HeaderMs) * time.Millisecond
	}
	return idle + header
}
