package proxy

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"damsontiller/internal/dataplane/balancing/endpoints"
	"damsontiller/internal/dataplane/balancing/outlier"
	"damsontiller/internal/proto/spec"
)

// Load tracks the load of each runner: the jobs in flight from this node, those reported by other
// nodes, and the runners to avoid for a short time.
type Load struct {
	Watch *outlier.Watch // detects outliers among the runners

	mu       sync.Mutex
	byRunner map[string]*runnerLoad
}

type runnerLoad struct {
	requests   int   // in flight from this node
	prefilling int   // of these, without a first event yet: their prompts are still being read
	tokens     int64 // prompt and output tokens of these requests
	// In flight from the other nodes, as last reported.
	remote        int
	remoteTokens  int64
	avoidUntil    time.Time
	warmingUntil  time.Time // warming up until then, as reported by the runner
	warmupLimiter *rate.Limiter
	warmupRate    float64
	lastUsedAt    time.Time
}

// NewLoad returns a Load without any runners.
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

// Begin adds a job to a runner's load. The caller calls first at the job's first event, and done
// when the job has ended.
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

// Avoid keeps this node's jobs away from a runner for a duration.
func (l *Load) Avoid(id string, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until := time.Now().Add(duration); until.After(l.entry(id).avoidUntil) {
		l.entry(id).avoidUntil = until
	}
}

// MarkWarmingUp records a runner's report that it is warming up for a duration.
func (l *Load) MarkWarmingUp(id string, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(id).warmingUntil = time.Now().Add(duration)
}

// BelowCapacity reports whether a runner's utilization is below factor.
func (l *Load) BelowCapacity(r *endpoints.Runner, s *spec.Service, factor float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entry(r.ID).utilization(r, s) < factor
}

// InFlight returns the number of jobs in flight at each runner, from all nodes as far as known.
func (l *Load) InFlight() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]int, len(l.byRunner))
	for id, entry := range l.byRunner {
		counts[id] = entry.requests + entry.remote
	}
	return counts
}

// InFlight is the load that one node has in flight at a runner.
type InFlight struct {
	Requests int
	Tokens   int64
}

// Local returns this node's load in flight at each runner.
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

// UpdateRemote sets the load in flight from all other nodes.
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

// unusedRetention is how long the load of an unused runner is kept after it left the list.
const unusedRetention = 10 * time.Second

// Retain removes runners that are no longer listed and have been unused for unusedRetention.
func (l *Load) Retain(listed func(id string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, entry := range l.byRunner {
		if entry.requests == 0 && !listed(id) && time.Since(entry.lastUsedAt) > unusedRetention {
			delete(l.byRunner, id)
		}
	}
}
