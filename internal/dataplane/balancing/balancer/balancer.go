// Package balancer selects a runner for a turn or a call, from what this node knows of
// the runners: one that has the prefix cached, has little load, and is near.
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

// entry is one runner.
type entry struct {
	spec.Runner
	route       int
	listed      bool // in the spec, or in the platform's list
	draining    bool
	avoid       time.Time
	prefixes    map[string]bool
	cooldownKey string
	incarnation string // of the process last reported of
}

// Directory is the directory of runners, by index.
type Directory struct {
	node      *node.Node
	Runners   *intern.Table
	Routes    *intern.Table
	slots     *slots.Table
	cooldowns *cooldown.Manager
	selector  *policy.Selector

	mu      sync.Mutex
	version uint64
	entries []*entry
	states  map[string]assignment.State
}

// New makes the directory and listens for updates of runners.
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

func (directory *Directory) updateState(i *wire.Item) error {
	var s assignment.State
	if err := json.Unmarshal(i.Body, &s); err != nil {
		return code.New(code.Garbled, "runner %s: %w", i.Key, err)
	}
	directory.mu.Lock()
	defer directory.mu.Unlock()
	if old, ok := directory.states[s.Name]; ok && old.Incarnation != s.Incarnation {
		// What was seen the process before says nothing about this one.
		if ix := directory.Runners.Index(s.Name); ix < len(directory.entries) {
			directory.entries[ix].avoid = time.Time{}
		}
	}
	directory.states[s.Name] = s
	directory.version = 0 // lay out anew
	return nil
}

// LastState is the last update seen a runner.
func (directory *Directory) LastState(name string) (assignment.State, bool) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	s, ok := directory.states[name]
	return s, ok
}

// CoversAllRoutes reports whether the slots are enough for a job of any route.
func (directory *Directory) CoversAllRoutes(slots []*wire.Slot) bool {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	directory.rebuild()
	routes := map[int]bool{}
	for _, s := range slots {
		if ix := directory.Runners.Index(s.Runner); ix < len(directory.entries) {
			routes[directory.entries[ix].route] = true
		}
	}
	return len(routes) >= len(directory.node.Cluster.Now().Spec.Routes)
}

// rebuild brings the entries in line with the spec in force and the update.
func (directory *Directory) rebuild() {
	v := directory.node.Cluster.Now()
	if directory.version == v.Version {
		return
	}
	directory.version = v.Version
	for _, e := range directory.entries {
		e.listed = false
	}
	put := func(r spec.Runner) *entry {
		ix := directory.Runners.Index(r.Name)
		for len(directory.entries) <= ix {
			directory.entries = append(directory.entries, &entry{prefixes: map[string]bool{}})
		}
		e := directory.entries[ix]
		e.Runner, e.route, e.listed, e.cooldownKey = r, directory.Routes.Index(r.Route), true, cooldown.Key(&v.Spec, r)
		return e
	}
	for _, s := range directory.states {
		if s.State == runnerapi.Departed {
			// Whoever comes up under that name holds no prefix yet.
			s.Prefixes = nil
		}
		e := put(s.Runner)
		e.draining, e.incarnation = s.State != runnerapi.Ready, s.Incarnation
		e.prefixes = map[string]bool{}
		for _, p := range s.Prefixes {
			e.prefixes[p] = true
		}
	}
	for _, r := range v.Spec.Runners {
		put(r)
	}
}

// Avoid keeps a runner from being picked for a while: this node has seen that
// it leaves or has departed, and the assigner has not yet said so.
func (directory *Directory) Avoid(ix int, t time.Duration) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	directory.entries[ix].avoid = time.Now().Add(t)
}

// SetPrefixes records the prefixes that a runner says it holds.
func (directory *Directory) SetPrefixes(ix int, prefixes []string) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	// The list is all of what it holds now; what it released is released.
	cached := make(map[string]bool, len(prefixes))
	for _, p := range prefixes {
		cached[p] = true
	}
	directory.entries[ix].prefixes = cached
}

// CooldownKeys lists the cooldown keys of the runners that could serve the job.
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

// Pick finds a runner with a free slot and takes the slot. Without one it
// tells the least cooldown, where that is what stands in the way; -1 where no
// runner is left.
func (directory *Directory) Pick(c *job.Ctx) (r job.Runner, k slots.Kind, ok bool, least time.Duration) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	directory.rebuild()
	now := time.Now()
	route := directory.Routes.Index(c.Route)
	var rs []script.Runner
	var ixs []int
	least = -1
	for ix, e := range directory.entries {
		if e.route != route || !directory.eligible(e, e.incarnation) {
			continue
		}
		w := directory.cooldowns.KnownWait(e.cooldownKey)
		if least < 0 || w < least {
			least = w
		}
		// A process seen draining, or whose slots are for the one before it, is no
		// candidate now, and may be one soon.
		if w > 0 || !directory.cooldowns.Allowed(e.cooldownKey) || now.Before(e.avoid) ||
			directory.slots.Incarnation(ix) != e.incarnation {
			continue
		}
		free, used := directory.slots.Free(ix, c.Urgent)
		if free == 0 {
			continue
		}
		rs = append(
			rs,
			script.Runner{
				Name:   e.Name,
				Zone:   e.Zone,
				Near:   e.Zone == directory.node.Peer.Self.Zone,
				Free:   int64(free),
				Used:   int64(used),
				Prefix: prefix(e, c),
			},
		)
		ixs = append(ixs, ix)
	}
	if len(rs) > 0 {
		i, why := directory.selector.Pick(c, rs)
		if k, incarnation, ok := directory.slots.Acquire(ixs[i], c.Urgent); ok {
			e := directory.entries[ixs[i]]
			directory.cooldowns.BeginCall(e.cooldownKey)
			why.Picked, why.Spec = e.Name, directory.node.Cluster.Now().Version
			c.Decisions = append(c.Decisions, why)
			return job.Runner{
				Index:       ixs[i],
				Name:        e.Name,
				Addr:        e.Addr,
				CooldownKey: e.cooldownKey,
				Incarnation: incarnation,
			}, k, true, 0
		}
	}
	return job.Runner{}, 0, false, least
}

// Slots is how many calls of a route this node may have under way at once.
func (directory *Directory) Slots(route string, urgent bool) int {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	directory.rebuild()
	index := directory.Routes.Index(route)
	total := 0
	for ix, e := range directory.entries {
		if e.route == index && directory.eligible(e, e.incarnation) {
			free, used := directory.slots.Free(ix, urgent)
			total += free + used
		}
	}
	return total
}

// Eligible reports whether work may go to a runner's process now: it is there, does not
// leave, stands in no emptied zone, and is the one that was meant.
func (directory *Directory) Eligible(ix int, incarnation string) bool {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	directory.rebuild()
	return directory.eligible(directory.entries[ix], incarnation)
}

func (directory *Directory) eligible(e *entry, incarnation string) bool {
	return e.listed && !e.draining && e.incarnation == incarnation && !directory.node.Cluster.Now().Spec.Empty(e.Zone)
}

// Finished records how an picked runner's call ended.
func (directory *Directory) Finished(r job.Runner, a job.Answer) {
	directory.cooldowns.EndCall(r.CooldownKey, a.Err == nil)
}

// prefix is the share of the job's parts, leading ones, that a runner holds.
func prefix(e *entry, c *job.Ctx) float64 {
	for i := len(c.Parts); i > 0; i-- {
		if e.prefixes[strings.Join(c.Parts[:i], "+")] {
			return float64(i) / float64(len(c.Parts))
		}
	}
	return 0
}
