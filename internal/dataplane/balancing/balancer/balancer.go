// Package balancer selects a runner for a turn or a call from this node's view of the
// runners, preferring a cached prefix, low load and the local zone.
package balancer

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"damsontiller/internal/coordination/node"
	"damsontiller/internal/dataplane/balancing/assignment"
	"damsontiller/internal/dataplane/balancing/intern"
	"damsontiller/internal/dataplane/balancing/policy"
	"damsontiller/internal/dataplane/balancing/slots"
	"damsontiller/internal/dataplane/cooldown"
	"damsontiller/internal/dataplane/request/job"
	"damsontiller/internal/dataplane/request/runnerapi"
	"damsontiller/internal/proto/script"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// entry is the state of one runner in the directory.
type entry struct {
	spec.Runner
	route       int
	listed      bool // in the spec, or in the platform's list
	draining    bool
	avoidUntil  time.Time
	prefixes    map[string]bool
	cooldownKey string
	incarnation string // of the process in the last update
}

// Directory is the directory of runners. Runners and Routes map names to indices.
type Directory struct {
	node      *node.Node
	Runners   *intern.Table
	Routes    *intern.Table
	slots     *slots.Table
	cooldowns *cooldown.Manager
	selector  *policy.Selector

	mu      sync.Mutex
	version uint64
	entries []*entry                    // by runner index
	states  map[string]assignment.State // by runner name
}

// New returns a directory and subscribes it to broadcasts of runner states.
func New(
	n *node.Node,
	runners *intern.Table,
	table *slots.Table,
	cooldowns *cooldown.Manager,
	pol *policy.Selector,
) *Directory {
	directory := &Directory{
		node:      n,
		Runners:   runners,
		Routes:    &intern.Table{},
		slots:     table,
		cooldowns: cooldowns,
		selector:  pol,
		states:    map[string]assignment.State{},
	}
	n.Broadcast.Handle("runner", directory.updateState)
	return directory
}

// updateState applies a broadcast runner state.
func (directory *Directory) updateState(i *wire.Item) error {
	var s assignment.State
	if err := json.Unmarshal(i.Body, &s); err != nil {
		return code.New(code.Garbled, "runner %s: %w", i.Key, err)
	}
	directory.mu.Lock()
	defer directory.mu.Unlock()
	if old, ok := directory.states[s.Name]; ok && old.Incarnation != s.Incarnation {
		// What was observed of the previous process does not apply to the new one.
		if index := directory.Runners.Index(s.Name); index < len(directory.entries) {
			directory.entries[index].avoidUntil = time.Time{}
		}
	}
	directory.states[s.Name] = s
	directory.version = 0 // forces a rebuild
	return nil
}

// LastState returns the last broadcast state of a runner.
func (directory *Directory) LastState(name string) (assignment.State, bool) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	s, ok := directory.states[name]
	return s, ok
}

// CoversAllRoutes reports whether the slots include a runner for each route of the spec.
func (directory *Directory) CoversAllRoutes(slots []*wire.Slot) bool {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	directory.rebuild()
	routes := map[int]bool{}
	for _, s := range slots {
		if index := directory.Runners.Index(s.Runner); index < len(directory.entries) {
			routes[directory.entries[index].route] = true
		}
	}
	return len(routes) >= len(directory.node.Cluster.Now().Spec.Routes)
}

// rebuild updates the entries from the spec in force and the broadcast states, if either has
// changed.
func (directory *Directory) rebuild() {
	v := directory.node.Cluster.Now()
	if directory.version == v.Version {
		return
	}
	directory.version = v.Version
	for _, e := range directory.entries {
		e.listed = false
	}
	upsert := func(r spec.Runner) *entry {
		index := directory.Runners.Index(r.Name)
		for len(directory.entries) <= index {
			directory.entries = append(directory.entries, &entry{prefixes: map[string]bool{}})
		}
		e := directory.entries[index]
		e.Runner, e.route, e.listed, e.cooldownKey = r, directory.Routes.Index(r.Route), true, cooldown.Key(&v.Spec, r)
		return e
	}
	for _, s := range directory.states {
		if s.State == runnerapi.Departed {
			// A new process of that name has no cached prefix yet.
			s.Prefixes = nil
		}
		e := upsert(s.Runner)
		e.draining, e.incarnation = s.State != runnerapi.Ready, s.Incarnation
		e.prefixes = map[string]bool{}
		for _, p := range s.Prefixes {
			e.prefixes[p] = true
		}
	}
	for _, r := range v.Spec.Runners {
		upsert(r)
	}
}

// Avoid excludes a runner from Pick for the given time. It is used when this node has seen the
// runner drain or depart before the assigner has broadcast it.
func (directory *Directory) Avoid(index int, t time.Duration) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	directory.entries[index].avoidUntil = time.Now().Add(t)
}

// SetPrefixes records the prefixes that a runner reports as cached.
func (directory *Directory) SetPrefixes(index int, prefixes []string) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	// The list is complete: prefixes that are not on it have been evicted.
	cached := make(map[string]bool, len(prefixes))
	for _, p := range prefixes {
		cached[p] = true
	}
	directory.entries[index].prefixes = cached
}

// CooldownKeys returns the cooldown keys of the runners that could serve the job.
func (directory *Directory) CooldownKeys(c *job.Ctx) []string {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	directory.rebuild()
	var out []string
	route := directory.Routes.Index(c.Route)
	for _, e := range directory.entries {
		if e.listed && e.route == route && !e.draining {
			out = append(out, e.cooldownKey)
		}
	}
	return out
}

// Pick selects a runner with a free slot and acquires the slot. Otherwise it returns the
// shortest remaining cooldown among the eligible runners, which is 0 if one of them has
// none, or -1 if no runner is eligible.
func (directory *Directory) Pick(c *job.Ctx) (r job.Runner, k slots.Kind, ok bool, shortestCooldown time.Duration) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	directory.rebuild()
	now := time.Now()
	route := directory.Routes.Index(c.Route)
	var candidates []script.Runner
	var indices []int
	shortestCooldown = -1
	for index, e := range directory.entries {
		if e.route != route || !directory.eligible(e, e.incarnation) {
			continue
		}
		wait := directory.cooldowns.KnownWait(e.cooldownKey)
		if shortestCooldown < 0 || wait < shortestCooldown {
			shortestCooldown = wait
		}
		// A process that is being avoided, or for which this node only has slots of the
		// previous process, is not a candidate now but may become one soon.
		if wait > 0 || !directory.cooldowns.Allowed(e.cooldownKey) || now.Before(e.avoidUntil) ||
			directory.slots.Incarnation(index) != e.incarnation {
			continue
		}
		free, used := directory.slots.Free(index, c.Urgent)
		if free == 0 {
			continue
		}
		candidates = append(
			candidates,
			script.Runner{
				Name:   e.Name,
				Zone:   e.Zone,
				Near:   e.Zone == directory.node.Peer.Self.Zone,
				Free:   int64(free),
				Used:   int64(used),
				Prefix: cachedShare(e, c),
			},
		)
		indices = append(indices, index)
	}
	if len(candidates) > 0 {
		i, decision := directory.selector.Pick(c, candidates)
		if k, incarnation, ok := directory.slots.Acquire(indices[i], c.Urgent); ok {
			e := directory.entries[indices[i]]
			admission := directory.cooldowns.BeginCall(e.cooldownKey)
			decision.Picked, decision.Spec = e.Name, directory.node.Cluster.Now().Version
			c.Decisions = append(c.Decisions, decision)
			return job.Runner{
				Index:       indices[i],
				Name:        e.Name,
				Addr:        e.Addr,
				CooldownKey: e.cooldownKey,
				Incarnation: incarnation,
				Admission:   admission,
			}, k, true, 0
		}
	}
	return job.Runner{}, 0, false, shortestCooldown
}

// Slots returns how many concurrent calls of a route this node may make.
func (directory *Directory) Slots(route string, urgent bool) int {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	directory.rebuild()
	routeIndex := directory.Routes.Index(route)
	total := 0
	for index, e := range directory.entries {
		if e.route == routeIndex && directory.eligible(e, e.incarnation) {
			free, used := directory.slots.Free(index, urgent)
			total += free + used
		}
	}
	return total
}

// Eligible reports whether work may be sent to a runner process now: the runner is listed, is
// not draining, is not in an emptied zone, and still has the given incarnation.
func (directory *Directory) Eligible(index int, incarnation string) bool {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	directory.rebuild()
	return directory.eligible(directory.entries[index], incarnation)
}

// eligible implements Eligible; the caller holds mu.
func (directory *Directory) eligible(e *entry, incarnation string) bool {
	return e.listed && !e.draining && e.incarnation == incarnation && !directory.node.Cluster.Now().Spec.Empty(e.Zone)
}

// Finished records the result of a call to a picked runner.
func (directory *Directory) Finished(r job.Runner, a job.Answer) {
	if a.Err == nil {
		r.Admission.Succeeded()
	}
	r.Admission.End()
}

// cachedShare returns the fraction of the job's parts that are covered by the longest cached prefix.
func cachedShare(e *entry, c *job.Ctx) float64 {
	for i := len(c.Parts); i > 0; i-- {
		if e.prefixes[strings.Join(c.Parts[:i], "+")] {
			return float64(i) / float64(len(c.Parts))
		}
	}
	return 0
}
