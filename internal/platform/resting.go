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

// The limits that hold where the operator's configuration names none.
const (
	defaultIdle   = time.Minute
	defaultHeader = 10 * time.Second
)

const (
	// expireInterval is how often connections and limits are looked at.
	expireInterval = time.Second
	// updateDelay bounds how long a client goes by a limit that has been replaced here.
	updateDelay = 10 * time.Second
)

// idleLimiter closes callers' connections on which no entire request head has come for
// the idle limit and the header limit together, counted from the accept or from the last
// answer. A limit that has been replaced still holds for the connections that began to
// rest under it, so a change closes none that its client may yet take up.
type idleLimiter struct {
	limits func() spec.Limits

	mu      sync.Mutex
	resting map[net.Conn]time.Time // since when
	current time.Duration
	former  []formerLimit
}

// formerLimit is a limit that was replaced.
type formerLimit struct {
	limit time.Duration
	until time.Time // it holds so long
}

func newIdleLimiter(limits func() spec.Limits) *idleLimiter {
	return &idleLimiter{limits: limits, resting: map[net.Conn]time.Time{}}
}

// connState follows the state of each connection. The server calls one active once the
// head of a request has been read.
func (l *idleLimiter) connState(c net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch s {
	case http.StateNew, http.StateIdle:
		l.resting[c] = time.Now()
	default:
		delete(l.resting, c)
	}
}

// run sweeps until ctx ends.
func (l *idleLimiter) run(ctx context.Context) {
	loop.Every(ctx, expireInterval, nil, func(context.Context) { l.expire(time.Now()) })
}

// expire closes the connections that have rested for too long.
func (l *idleLimiter) expire(now time.Time) {
	limit := restLimit(l.limits())
	for _, c := range l.expired(now, limit) {
		_ = c.Close()
	}
}

// expired takes out the connections that have rested longer than any limit that holds.
func (l *idleLimiter) expired(now time.Time, limit time.Duration) []net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replace(now, limit)
	longest := l.longest(now)
	var out []net.Conn
	for c, since := range l.resting {
		if now.Sub(since) > longest {
			out = append(out, c)
			delete(l.resting, c)
		}
	}
	return out
}

// replace puts a limit in force and keeps the one before for as long as it holds.
func (l *idleLimiter) replace(now time.Time, limit time.Duration) {
	if limit == l.current {
		return
	}
	if l.current > 0 {
		l.former = append(l.former, formerLimit{l.current, now.Add(l.current + updateDelay)})
	}
	l.current = limit
}

// longest is the longest limit that holds, and forgets those that don't any more.
func (l *idleLimiter) longest(now time.Time) time.Duration {
	longest := l.current
	kept := l.former[:0]
	for _, f := range l.former {
		if now.Before(f.until) {
			kept = append(kept, f)
			longest = max(longest, f.limit)
		}
	}
	l.former = kept
	return longest
}

// restLimit is how long a connection may go without an entire request head.
func restLimit(t spec.Limits) time.Duration {
	idle, header := defaultIdle, defaultHeader
	if t.IdleMs > 0 {
		idle = time.Duration(t.IdleMs) * time.Millisecond
	}
	if t.HeaderMs > 0 {
		header = time.Duration(t.HeaderMs) * time.Millisecond
	}
	return idle + header
}
