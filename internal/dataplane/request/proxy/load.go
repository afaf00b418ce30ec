package proxy

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"damsontiller/internal/dataplane/balancing/endpoints"
	"damsontiller/internal/dataplane/balancing/outlier"
	"damsontiller/internal/proto/spec"
)

// Load is the load of each runner: what this node has under way, what the
// others had when last received, and what to keep away from for a moment.
type Load struct {
	Watch *outlier.Watch // of how the runners do

	mu  sync.Mutex
	all map[string]*runnerLoad
}

type runnerLoad struct {
	requests   int   // jobs of this node under way
	prefilling int   // of them, those without a first event: their prompts are to be read
	tokens     int64 // of prompts and outputs
	// Of the other nodes, as last received.
	remote        int
	remoteTokens  int64
	avoidUntil    time.Time
	warmingUntil  time.Time // warming up until then, by its own report
	warmupLimiter *rate.Limiter
	warmupRate    float64
	used          time.Time
}

// NewLoad makes a load that knows of nothing.
func NewLoad() *Load {
	return &Load{Watch: outlier.NewWatch(outlier.DefaultParams), all: map[string]*runnerLoad{}}
}

func (l *Load) entry(id string) *runnerLoad {
	b := l.all[id]
	if b == nil {
		b = &runnerLoad{}
		l.all[id] = b
	}
	b.used = time.Now()
	return b
}

// Begin counts a job in; first says that its first event has come, done counts it
// out.
func (l *Load) Begin(id string, tokens int64) (first, done func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.entry(id)
	b.requests++
	b.prefilling++
	b.tokens += tokens
	early := true
	first = func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if early {
			early = false
			b.prefilling--
		}
	}
	return first, func() {
		first()
		l.mu.Lock()
		defer l.mu.Unlock()
		b.requests--
		b.tokens -= tokens
	}
}

// Avoid keeps this node's jobs away from a runner for a while.
func (l *Load) Avoid(id string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u := time.Now().Add(d); u.After(l.entry(id).avoidUntil) {
		l.entry(id).avoidUntil = u
	}
}

// MarkWarmingUp takes a runner's own report that it is warming up.
func (l *Load) MarkWarmingUp(id string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(id).warmingUntil = time.Now().Add(d)
}

// BelowCapacity reports whether a runner has less under way than so many times its capacity.
func (l *Load) BelowCapacity(r *endpoints.Runner, s *spec.Service, times float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entry(r.ID).utilization(r, s) < times
}

// InFlight is how many jobs each runner has, of all nodes, as far as is known.
func (l *Load) InFlight() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int, len(l.all))
	for id, b := range l.all {
		out[id] = b.requests + b.remote
	}
	return out
}

// InFlight is what this node has under way at one runner.
type InFlight struct {
	Requests int
	Tokens   int64
}

// Local lists what this node has under way.
func (l *Load) Local() map[string]InFlight {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]InFlight{}
	for id, b := range l.all {
		if b.requests > 0 {
			out[id] = InFlight{b.requests, b.tokens}
		}
	}
	return out
}

// UpdateRemote takes what all other nodes have under way.
func (l *Load) UpdateRemote(others map[string]InFlight) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, b := range l.all {
		o := others[id]
		b.remote, b.remoteTokens = o.Requests, o.Tokens
	}
	for id, o := range others {
		if l.all[id] == nil {
			b := l.entry(id)
			b.remote, b.remoteTokens = o.Requests, o.Tokens
		}
	}
}

// Retain forgets runners that are not on the list any more.
func (l *Load) Retain(on func(id string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, b := range l.all {
		if b.requests == 0 && !on(id) && time.Since(b.used) > 10*time.Second {
			delete(l.all, id)
		}
	}
}
