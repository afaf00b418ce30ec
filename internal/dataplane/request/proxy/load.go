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

	mu       sync.Mutex
	byRunner map[string]*runnerLoad
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
	lastUsedAt    time.Time
}

// NewLoad makes a load that knows of nothing.
func NewLoad() *Load {
	return &Load{Watch: outlier.NewWatch(outlier.DefaultParams), byRunner: map[string]*runnerLoad{}}
}

func (l *Load) entry(id string) *runnerLoad {
	entry := l.byRunner[id]
	if entry == nil {
		entry = &runnerLoad{}
		l.byRunner[id] = entry
	}
	entry.lastUsedAt = time.Now()
	return entry
}

// Begin counts a job in; first says that its first event has come, done counts it
// out.
func (l *Load) Begin(id string, tokens int64) (first, done func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.entry(id)
	entry.requests++
	entry.prefilling++
	entry.tokens += tokens
	prefilling := true
	first = func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if prefilling {
			prefilling = false
			entry.prefilling--
		}
	}
	return first, func() {
		first()
		l.mu.Lock()
		defer l.mu.Unlock()
		entry.requests--
		entry.tokens -= tokens
	}
}

// Avoid keeps this node's jobs away from a runner for a while.
func (l *Load) Avoid(id string, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until := time.Now().Add(duration); until.After(l.entry(id).avoidUntil) {
		l.entry(id).avoidUntil = until
	}
}

// MarkWarmingUp takes a runner's own report that it is warming up.
func (l *Load) MarkWarmingUp(id string, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(id).warmingUntil = time.Now().Add(duration)
}

// BelowCapacity reports whether a runner has less under way than so many times its capacity.
func (l *Load) BelowCapacity(r *endpoints.Runner, s *spec.Service, factor float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entry(r.ID).utilization(r, s) < factor
}

// InFlight is how many jobs each runner has, of all nodes, as far as is known.
func (l *Load) InFlight() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]int, len(l.byRunner))
	for id, entry := range l.byRunner {
		counts[id] = entry.requests + entry.remote
	}
	return counts
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
	local := map[string]InFlight{}
	for id, entry := range l.byRunner {
		if entry.requests > 0 {
			local[id] = InFlight{entry.requests, entry.tokens}
		}
	}
	return local
}

// UpdateRemote takes what all other nodes have under way.
func (l *Load) UpdateRemote(others map[string]InFlight) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, entry := range l.byRunner {
		remote := others[id]
		entry.remote, entry.remoteTokens = remote.Requests, remote.Tokens
	}
	for id, remote := range others {
		if l.byRunner[id] == nil {
			entry := l.entry(id)
			entry.remote, entry.remoteTokens = remote.Requests, remote.Tokens
		}
	}
}

// Retain forgets runners that are not on the list any more.
func (l *Load) Retain(listed func(id string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, entry := range l.byRunner {
		if entry.requests == 0 && !listed(id) && time.Since(entry.lastUsedAt) > 10*time.Second {
			delete(l.byRunner, id)
		}
	}
}
