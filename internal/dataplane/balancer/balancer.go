// Package balancer selects a runner for a turn or a call, from what this node knows of
// the runners: one that has the prefix cached, has little load, and is near.
package balancer

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"damsontiller/internal/coordination/node"
	"damsontiller/internal/dataplane/assignment"
	"damsontiller/internal/dataplane/cooldown"
	"damsontiller/internal/dataplane/intern"
	"damsontiller/internal/dataplane/job"
	"damsontiller/internal/dataplane/policy"
	"damsontiller/internal/dataplane/runnerapi"
	"damsontiller/internal/dataplane/slots"
	"damsontiller/internal/proto/script"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// entry is one runner.
type entry struct {
	spec.Runner
	route    int
	on       bool // in the spec, or in the platform's list
	leaving  bool
	avoid    time.Time
	prefixes map[string]bool
	cool     string
	mark     string // of the process last told of
}

// Dir is the directory of runners, by index.
type Dir struct {
	n       *node.Node
	Runners *intern.Table
	Routes  *intern.Table
	box     *slots.Box
	desk    *cooldown.Desk
	pol     *policy.Desk

	mu   sync.Mutex
	ver  uint64
	all  []*entry
	told map[string]assignment.State
}

// New makes the directory and listens for news of runners.
func New(n *node.Node, runners *intern.Table, box *slots.Box, desk *cooldown.Desk, pol *policy.Desk) *Dir {
	d := &Dir{n: n, Runners: runners, Routes: &intern.Table{}, box: box, desk: desk, pol: pol, told: map[string]assignment.State{}}
	n.Broadcast.Handle("runner", d.hear)
	return d
}

func (d *Dir) hear(i *wire.Item) error {
	var s assignment.State
	if err := json.Unmarshal(i.Body, &s); err != nil {
		return code.New(code.Garbled, "runner %s: %w", i.Key, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if old, ok := d.told[s.Name]; ok && old.Mark != s.Mark {
		// What was seen of the process before says nothing about this one.
		if ix := d.Runners.Ix(s.Name); ix < len(d.all) {
			d.all[ix].avoid = time.Time{}
		}
	}
	d.told[s.Name] = s
	d.ver = 0 // lay out anew
	return nil
}

// Told is the last news heard of a runner.
func (d *Dir) Told(name string) (assignment.State, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.told[name]
	return s, ok
}

// Served tells whether the slots are enough for a job of any route.
func (d *Dir) Served(slots []*wire.Slot) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lay()
	routes := map[int]bool{}
	for _, s := range slots {
		if ix := d.Runners.Ix(s.Runner); ix < len(d.all) {
			routes[d.all[ix].route] = true
		}
	}
	return len(routes) >= len(d.n.Cluster.Now().Spec.Routes)
}

// lay brings the entries in line with the spec in force and the news.
func (d *Dir) lay() {
	v := d.n.Cluster.Now()
	if d.ver == v.Version {
		return
	}
	d.ver = v.Version
	for _, e := range d.all {
		e.on = false
	}
	put := func(r spec.Runner) *entry {
		ix := d.Runners.Ix(r.Name)
		for len(d.all) <= ix {
			d.all = append(d.all, &entry{prefixes: map[string]bool{}})
		}
		e := d.all[ix]
		e.Runner, e.route, e.on, e.cool = r, d.Routes.Ix(r.Route), true, cooldown.Key(&v.Spec, r)
		return e
	}
	for _, s := range d.told {
		if s.State == runnerapi.Gone {
			// Whoever comes up under that name holds no prefix yet.
			s.Prefixes = nil
		}
		e := put(s.Runner)
		e.leaving, e.mark = s.State != runnerapi.Ready, s.Mark
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
// it leaves or is gone, and the dealer has not yet said so.
func (d *Dir) Avoid(ix int, t time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all[ix].avoid = time.Now().Add(t)
}

// Holds notes the prefixes that a runner says it holds.
func (d *Dir) Holds(ix int, prefixes []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// The list is the whole of what it holds now; what it let go is let go.
	held := make(map[string]bool, len(prefixes))
	for _, p := range prefixes {
		held[p] = true
	}
	d.all[ix].prefixes = held
}

// Keys lists the cooldown keys of the runners that could serve the job.
func (d *Dir) Keys(c *job.Ctx) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lay()
	var out []string
	route := d.Routes.Ix(c.Route)
	for _, e := range d.all {
		if e.on && e.route == route && !e.leaving {
			out = append(out, e.cool)
		}
	}
	return out
}

// Pick finds a runner with a free slot and takes the slot. Without one it
// tells the least cooldown, where that is what stands in the way; -1 where no
// runner is left.
func (d *Dir) Pick(c *job.Ctx) (r job.Runner, k slots.Kind, ok bool, least time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lay()
	now := time.Now()
	route := d.Routes.Ix(c.Route)
	var rs []script.Runner
	var ixs []int
	least = -1
	for ix, e := range d.all {
		if e.route != route || !d.may(e, e.mark) {
			continue
		}
		w := d.desk.Seen(e.cool)
		if least < 0 || w < least {
			least = w
		}
		// A process seen leaving, or whose slots are for the one before it, is no
		// candidate now, and may be one soon.
		if w > 0 || !d.desk.Free(e.cool) || now.Before(e.avoid) || d.box.Mark(ix) != e.mark {
			continue
		}
		free, used := d.box.Free(ix, c.Urgent)
		if free == 0 {
			continue
		}
		rs = append(rs, script.Runner{Name: e.Name, Zone: e.Zone, Near: e.Zone == d.n.Peer.Self.Zone, Free: int64(free), Used: int64(used), Prefix: prefix(e, c)})
		ixs = append(ixs, ix)
	}
	if len(rs) > 0 {
		i, why := d.pol.Pick(c, rs)
		if k, mark, ok := d.box.Take(ixs[i], c.Urgent); ok {
			e := d.all[ixs[i]]
			d.desk.Enter(e.cool)
			why.Picked, why.Spec = e.Name, d.n.Cluster.Now().Version
			c.Whys = append(c.Whys, why)
			return job.Runner{Ix: ixs[i], Name: e.Name, Addr: e.Addr, Cool: e.cool, Mark: mark}, k, true, 0
		}
	}
	return job.Runner{}, 0, false, least
}

// May tells whether work may go to a runner's process now: it is there, does not
// leave, stands in no emptied zone, and is the one that was meant.
func (d *Dir) May(ix int, mark string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lay()
	return d.may(d.all[ix], mark)
}

func (d *Dir) may(e *entry, mark string) bool {
	return e.on && !e.leaving && e.mark == mark && !d.n.Cluster.Now().Spec.Empty(e.Zone)
}

// Leave takes note of how an picked runner's call ended.
func (d *Dir) Leave(r job.Runner, a job.Answer) { d.desk.Leave(r.Cool, a.Err == nil) }

// prefix is the share of the job's parts, leading ones, that a runner holds.
func prefix(e *entry, c *job.Ctx) float64 {
	for i := len(c.Parts); i > 0; i-- {
		if e.prefixes[strings.Join(c.Parts[:i], "+")] {
			return float64(i) / float64(len(c.Parts))
		}
	}
	return 0
}
