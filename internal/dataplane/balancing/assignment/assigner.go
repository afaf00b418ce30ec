// Package assignment assigns the capacity of the runners to the edges. It is the work of
// a singleton role: its holder polls the runners and the endpoint list, broadcasts which
// runners come and go, and divides the concurrency that each runner bears into slots,
// leased to the edges for a term.
//
// The sum of what all edges hold never exceeds what a runner can bear:
//   - an edge counts its term from before it asked, the assigner from after it
//     answered, so a share ends at the edge first;
//   - a share is lowered here only once the edge confirms it;
//   - a new assigner hands out no more than the edges it has heard from held,
//     until every edge that could still hold shares has reported or has departed;
//   - an assigner that has not seen its epoch to be the latest of late raises nothing.
package assignment

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"time"

	"damsontiller/internal/coordination/node"
	"damsontiller/internal/coordination/singleton"
	"damsontiller/internal/dataplane/request/runnerapi"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/loop"
)

// Params are the assigner's times.
type Params struct {
	PollInterval time.Duration // between reports
	Term         time.Duration // of assigned slots
	WarmupStep   time.Duration // between two doublings of a warming runner's share
	WarmupStart  int           // slots a warming runner starts with
	// WarmAfter: a runner up this long that bears well is not warming up to a new assigner.
	WarmAfter time.Duration
	// Transport carries the requests for reports; nil means the ordinary way.
	Transport http.RoundTripper
	// LastState is the last update of a runner, by which a new assigner knows how far a
	// process had warmed up.
	LastState func(name string) (State, bool)
	// SinceConfirmed is how long ago this tenure was surely the last.
	SinceConfirmed func() time.Duration
}

// DefaultParams are the design's.
var DefaultParams = Params{
	PollInterval: 300 * time.Millisecond,
	Term:         2 * time.Second,
	WarmupStep:   time.Second,
	WarmupStart:  2,
	WarmAfter:    20 * time.Second,
}

// State is what is broadcast of a runner.
type State struct {
	spec.Runner
	State       string   `json:"state"`
	Incarnation string   `json:"mark,omitempty"`
	Concurrency int      `json:"bears"`
	Limit       int      `json:"cap"` // what of it may be dealt, while it warms up
	Load        int      `json:"busy"`
	Prefixes    []string `json:"prefixes,omitempty"`
}

type runner struct {
	State
	warmedAt time.Time
	refused  int64
	misses   int
	known    bool
	// base bounds the sum assigned until every edge has reported: what those
	// that have held when they first reported.
	base int
	// unaccounted is work seen at the opening that no edge accounted for.
	unaccounted int
}

// share is what an edge may hold of a runner. Once the edge's term is over,
// left bounds what it may have left running there.
type share struct {
	incarnation   string // of the process it is a share of
	plain, urgent int
	used          int // at the edge's last report
	expired       bool
	orphaned      int
}

// edge is one start of an edge node; past is set once another start of the
// same node has been received.
type edge struct {
	id         string
	backlog    map[string]int // jobs waiting or under way, by route
	reportedAt time.Time
	superseded bool
	shares     map[string]share
}

// termOver reports whether the edge's term has ended.
func (e *edge) termOver(now time.Time, term time.Duration) bool {
	return e.superseded || now.Sub(e.reportedAt) >= term
}

// Assigner is one tenure of the role.
type Assigner struct {
	params Params
	node   *node.Node
	epoch  uint64
	client *http.Client
	wakeup loop.Wakeup

	mu          sync.Mutex
	start       time.Time // of this tenure
	seq         uint64
	allReported bool // every edge has reported or has departed
	runners     map[string]*runner
	edges       map[uint64]*edge // by incarnation
	opened      time.Time
	listed      []runnerapi.ListedRunner
}

// boundOrphans bounds what edges that have departed have left running: each may have
// used its entire share up to the end of its term, but never more than the
// runner reports at any time since.
func (assigner *Assigner) boundOrphans(now time.Time, o *runner, load int) {
	o.unaccounted = min(o.unaccounted, load)
	for _, e := range assigner.edges {
		s, ok := e.shares[o.Name]
		if !ok || s.incarnation != o.Incarnation || !e.termOver(now, assigner.params.Term) {
			continue
		}
		if !s.expired {
			s.expired, s.orphaned = true, s.plain+s.urgent
		}
		s.orphaned = min(s.orphaned, load)
		e.shares[o.Name] = s
	}
}

// checkAllReported opens the assignment once no edge is left that could hold shares unknown
// to this tenure.
func (assigner *Assigner) checkAllReported(ctx context.Context) {
	assigner.mu.Lock()
	open := assigner.allReported
	assigner.mu.Unlock()
	if open {
		return
	}
	// A former holder assigned for three quarters of a term after its epoch was
	// over, at the most, and those shares have a term: then no edge that was not
	// received has any, frozen or partitioned. What it left running the runners report.
	for _, m := range assigner.node.Lease.Members() {
		if m.Role != "edge" || time.Since(assigner.start) > 2*assigner.params.Term {
			continue
		}
		assigner.mu.Lock()
		_, ok := assigner.edges[m.Inc]
		assigner.mu.Unlock()
		if !ok && !singleton.PortRefused(ctx, assigner.node.Peer, m.Addr) {
			return
		}
	}
	assigner.open()
	assigner.node.Log.Info("assignment is open", "epoch", assigner.epoch)
}

// open opens the assignment. Work that runs now and that no edge accounts for was
// left by edges that have departed.
func (assigner *Assigner) open() {
	assigner.mu.Lock()
	defer assigner.mu.Unlock()
	assigner.allReported, assigner.opened = true, time.Now()
	for _, o := range assigner.runners {
		o.unaccounted = o.Load
		for _, e := range assigner.edges {
			if s := e.shares[o.Name]; s.incarnation == o.Incarnation {
				o.unaccounted -= s.used
			}
		}
		o.unaccounted = max(o.unaccounted, 0)
	}
}

// Report answers one edge. raise is whether this assigner's lease is valid.
func (assigner *Assigner) Report(id string, inc uint64, q *wire.Deal, raise bool) *wire.DealAck {
	assigner.mu.Lock()
	defer assigner.mu.Unlock()
	now := time.Now()
	e := assigner.edges[inc]
	if e == nil {
		// A new start holds nothing; what the former one left running is
		// still counted.
		for _, o := range assigner.edges {
			o.superseded = o.superseded || o.id == id
		}
		e = &edge{id: id}
		assigner.edges[inc] = e
		for _, s := range q.Held {
			if o := assigner.runners[s.Runner]; o != nil && o.Incarnation == s.Mark {
				o.base += int(s.Plain + s.Urgent)
				o.Limit = min(max(o.Limit, o.base), o.Concurrency)
			}
		}
	}
	e.reportedAt, e.backlog, e.shares = now, map[string]int{}, map[string]share{}
	for route, n := range q.Waiting {
		e.backlog[route] = int(n)
	}
	for _, s := range q.Held {
		if o := assigner.runners[s.Runner]; o != nil {
			e.backlog[o.Route] += int(s.Busy)
		}
		e.shares[s.Runner] = share{incarnation: s.Mark, plain: int(s.Plain), urgent: int(s.Urgent), used: int(s.Busy)}
	}
	out := &wire.DealAck{Epoch: assigner.epoch, TermMs: assigner.params.Term.Milliseconds()}
	for name, o := range assigner.runners {
		cur, want := e.shares[name], assigner.target(o, inc)
		if cur.incarnation != o.Incarnation {
			cur = share{}
		}
		availableNow := assigner.available(o, now)
		available := 0
		if raise {
			available = max(availableNow, 0)
		}
		if (!assigner.allReported || !raise) && o.Limit > 0 && availableNow >= 0 &&
			!assigner.node.Cluster.Now().Spec.Empty(o.Zone) {
			// Shares worked out from some of the edges only would be too small,
			// and what can't be raised again must not be lowered: each keeps
			// what it has.
			want = share{plain: cur.plain, urgent: cur.urgent}
		}
		urgent := min(want.urgent, cur.urgent+available)
		available -= max(urgent-cur.urgent, 0)
		plain := min(want.plain, cur.plain+available)
		// Until the edge says that it holds less, it may hold the more.
		e.shares[name] = share{
			incarnation: o.Incarnation,
			plain:       max(plain, cur.plain),
			urgent:      max(urgent, cur.urgent),
			used:        cur.used,
		}
		if plain+urgent > 0 {
			out.Slots = append(
				out.Slots,
				&wire.Slot{Runner: name, Mark: o.Incarnation, Plain: int32(plain), Urgent: int32(urgent)},
			)
		}
	}
	return out
}

// available is how many more slots of a runner may be assigned: what it can bear, less
// what the edges hold, less work left behind by edges that have departed.
func (assigner *Assigner) available(o *runner, now time.Time) int {
	total := o.Limit
	if !assigner.allReported {
		total = min(total, o.base)
	}
	for _, e := range assigner.edges {
		s := e.shares[o.Name]
		switch {
		case s.incarnation != o.Incarnation:
			// Of a process that has departed.
		case !s.expired:
			total -= s.plain + s.urgent
		case now.Sub(e.reportedAt) < assigner.node.Params.Lease.OrphanTimeout:
			total -= s.orphaned
		}
	}
	if now.Sub(assigner.opened) < assigner.node.Params.Lease.OrphanTimeout {
		total -= o.unaccounted
	}
	return total
}

// target is the share of a runner that an edge should have. Urgent slots go to
// all edges alike, wherever the work is now: it can't wait for them. Of the plain
// ones those with more to do on the route get more, within bounds, so that one
// edge's backlog does not starve the others.
func (assigner *Assigner) target(o *runner, inc uint64) share {
	v := assigner.node.Cluster.Now()
	if o.Limit <= 0 || v.Spec.Empty(o.Zone) {
		return share{}
	}
	reserve := 0
	for _, c := range v.Spec.Classes {
		reserve = max(reserve, c.Reserve)
	}
	urgent := o.Limit * reserve / 100
	plain := func(e *edge) int { return 4 + min(e.backlog[o.Route], 20) }
	return share{
		plain:  assigner.portion(o, inc, o.Limit-urgent, plain),
		urgent: assigner.portion(o, inc, urgent, func(*edge) int { return 1 }),
	}
}

// portion gives one edge its part of n by largest remainder over the weights.
func (assigner *Assigner) portion(o *runner, inc uint64, n int, weight func(*edge) int) int {
	type portion struct {
		inc  uint64
		id   string
		rest int
		w    int
	}
	var ps []portion
	sum := 0
	now := time.Now()
	for i, e := range assigner.edges {
		if e.termOver(now, assigner.params.Term) {
			continue
		}
		w := weight(e)
		ps = append(ps, portion{inc: i, id: e.id, w: w})
		sum += w
	}
	if len(ps) == 0 {
		return 0
	}
	got, left := 0, n
	for i := range ps {
		integral := n * ps[i].w / sum
		ps[i].rest = n * ps[i].w % sum
		left -= integral
		if ps[i].inc == inc {
			got = integral
		}
	}
	// Among equals the odd slots of each runner go on where those of the one
	// before it on the route left off, so that they come round to every edge.
	sort.Slice(ps, func(i, j int) bool { return ps[i].id < ps[j].id })
	off := 0
	for name, r := range assigner.runners {
		if r.Route == o.Route && name < o.Name && r.Limit > 0 {
			off += left
		}
	}
	off %= len(ps)
	ps = append(ps[off:], ps[:off]...)
	sort.SliceStable(ps, func(i, j int) bool { return ps[i].rest > ps[j].rest })
	for i := 0; i < left; i++ {
		if ps[i].inc == inc {
			got++
		}
	}
	return got
}
