// Package assignment assigns the capacity of the runners to the edges. It implements a
// singleton role: the holder polls the runners and the endpoint list, broadcasts state
// changes of runners, and divides the concurrency limit of each runner into slots that
// are leased to the edges for a term.
//
// The slots of all edges together never exceed a runner's concurrency limit:
//   - an edge counts its term from before its request, the assigner from after its
//     answer, so a share expires at the edge first;
//   - the assigner lowers a share only once the edge has confirmed it;
//   - a new assigner assigns at most the slots that edges held when they first reported
//     to it, until every edge that could still hold shares has reported or has departed;
//   - an assigner that has not recently confirmed that its epoch is the latest raises
//     no share.
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

// Params are the intervals and limits of the assigner.
type Params struct {
	PollInterval time.Duration // between two polls of the runners
	Term         time.Duration // lease term of assigned slots
	WarmupStep   time.Duration // between two doublings of the limit of a runner in warm-up
	WarmupStart  int           // initial limit of a runner in warm-up
	// WarmAfter is the uptime from which a new assigner treats a runner as warmed up.
	WarmAfter time.Duration
	// Transport is used to poll the runners; nil means runnerapi.NewTransport.
	Transport http.RoundTripper
	// LastState returns the last broadcast state of a runner. A new assigner continues the
	// warm-up of the process from there.
	LastState func(name string) (State, bool)
	// SinceConfirmed returns the time since this tenure was last confirmed to be the latest.
	SinceConfirmed func() time.Duration
}

// DefaultParams are the default parameters.
var DefaultParams = Params{
	PollInterval: 300 * time.Millisecond,
	Term:         2 * time.Second,
	WarmupStep:   time.Second,
	WarmupStart:  2,
	WarmAfter:    20 * time.Second,
}

// State is the broadcast state of a runner.
type State struct {
	spec.Runner
	State       string   `json:"state"`
	Incarnation string   `json:"mark,omitempty"`
	Concurrency int      `json:"bears"`
	Limit       int      `json:"cap"` // slots that may be assigned; below Concurrency during warm-up
	Load        int      `json:"busy"`
	Prefixes    []string `json:"prefixes,omitempty"`
}

// trackedRunner is the assigner's view of a runner.
type trackedRunner struct {
	State
	warmedAt      time.Time // last change of the limit during warm-up, or last refusal
	refused       int64     // refusals in the last report
	misses        int       // consecutive missing reports
	warmupStarted bool
	// initiallyHeld is the sum of slots that edges held when they first reported. It
	// bounds the slots assigned until every edge has reported.
	initiallyHeld int
	// unaccounted is the load that no edge accounted for when all edges had reported.
	unaccounted int
}

// share is the slots that an edge may hold of a runner. Once the edge's term has ended,
// orphaned bounds the number of its jobs that may still run there.
type share struct {
	incarnation   string // of the runner process
	plain, urgent int
	used          int  // as of the edge's last report
	expired       bool // the term has ended
	orphaned      int
}

// edge is one incarnation of an edge node; superseded is set once a later incarnation of
// the same node has reported.
type edge struct {
	id         string
	backlog    map[string]int // jobs waiting or in progress, by route
	reportedAt time.Time
	superseded bool
	shares     map[string]share
}

// termOver reports whether the term of the edge's shares has ended.
func (e *edge) termOver(now time.Time, term time.Duration) bool {
	return e.superseded || now.Sub(e.reportedAt) >= term
}

// Assigner is one tenure of the assigner role.
type Assigner struct {
	params Params
	node   *node.Node
	epoch  uint64
	client *http.Client
	wakeup loop.Wakeup

	mu            sync.Mutex
	start         time.Time // start of this tenure
	seq           uint64
	allReported   bool // every edge has reported or has departed
	runners       map[string]*trackedRunner
	edges         map[uint64]*edge // by incarnation
	allReportedAt time.Time
	listed        []runnerapi.ListedRunner // last list read from the platform
}

// boundOrphans bounds the number of jobs that departed edges have left running: an edge may
// have used its whole share until its term ended, but the orphaned jobs never exceed any load
// that the runner has reported since.
func (assigner *Assigner) boundOrphans(now time.Time, tracked *trackedRunner, load int) {
	tracked.unaccounted = min(tracked.unaccounted, load)
	for _, e := range assigner.edges {
		s, ok := e.shares[tracked.Name]
		if !ok || s.incarnation != tracked.Incarnation || !e.termOver(now, assigner.params.Term) {
			continue
		}
		if !s.expired {
			s.expired, s.orphaned = true, s.plain+s.urgent
		}
		s.orphaned = min(s.orphaned, load)
		e.shares[tracked.Name] = s
	}
}

// checkAllReported ends the initial phase of the tenure once no edge can hold shares that are
// unknown to it.
func (assigner *Assigner) checkAllReported(ctx context.Context) {
	assigner.mu.Lock()
	allReported := assigner.allReported
	assigner.mu.Unlock()
	if allReported {
		return
	}
	// The previous holder raises shares for at most three quarters of a term after its epoch
	// has ended, and these last for one term. After two terms an edge that has not reported,
	// whether frozen or partitioned, holds no share; jobs that it left running appear in the
	// reports of the runners.
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
	assigner.markAllReported()
	assigner.node.Log.Info("all edges reported; assigning full capacity", "epoch", assigner.epoch)
}

// markAllReported ends the initial phase. Load that no edge accounts for at this time was left
// by departed edges.
func (assigner *Assigner) markAllReported() {
	assigner.mu.Lock()
	defer assigner.mu.Unlock()
	assigner.allReported, assigner.allReportedAt = true, time.Now()
	for _, tracked := range assigner.runners {
		tracked.unaccounted = tracked.Load
		for _, e := range assigner.edges {
			if s := e.shares[tracked.Name]; s.incarnation == tracked.Incarnation {
				tracked.unaccounted -= s.used
			}
		}
		tracked.unaccounted = max(tracked.unaccounted, 0)
	}
}

// Report processes the report of an edge and returns its slots. Shares are raised only if raise
// is set, which requires that this tenure was recently confirmed to be the latest.
func (assigner *Assigner) Report(id string, inc uint64, report *wire.Deal, raise bool) *wire.DealAck {
	assigner.mu.Lock()
	defer assigner.mu.Unlock()
	now := time.Now()
	e := assigner.edges[inc]
	if e == nil {
		// A restarted edge holds no shares; jobs that its previous incarnation left
		// running still count.
		for _, other := range assigner.edges {
			other.superseded = other.superseded || other.id == id
		}
		e = &edge{id: id}
		assigner.edges[inc] = e
		for _, s := range report.Held {
			if tracked := assigner.runners[s.Runner]; tracked != nil && tracked.Incarnation == s.Mark {
				tracked.initiallyHeld += int(s.Plain + s.Urgent)
				tracked.Limit = min(max(tracked.Limit, tracked.initiallyHeld), tracked.Concurrency)
			}
		}
	}
	e.reportedAt, e.backlog, e.shares = now, map[string]int{}, map[string]share{}
	for route, n := range report.Waiting {
		e.backlog[route] = int(n)
	}
	for _, s := range report.Held {
		if tracked := assigner.runners[s.Runner]; tracked != nil {
			e.backlog[tracked.Route] += int(s.Busy)
		}
		e.shares[s.Runner] = share{incarnation: s.Mark, plain: int(s.Plain), urgent: int(s.Urgent), used: int(s.Busy)}
	}
	out := &wire.DealAck{Epoch: assigner.epoch, TermMs: assigner.params.Term.Milliseconds()}
	for name, tracked := range assigner.runners {
		current, want := e.shares[name], assigner.target(tracked, inc)
		if current.incarnation != tracked.Incarnation {
			current = share{}
		}
		availableNow := assigner.available(tracked, now)
		available := 0
		if raise {
			available = max(availableNow, 0)
		}
		if (!assigner.allReported || !raise) && tracked.Limit > 0 && availableNow >= 0 &&
			!assigner.node.Cluster.Now().Spec.Empty(tracked.Zone) {
			// Targets computed from only some of the edges would be too small, and a
			// share that can't be raised again must not be lowered: each edge keeps its
			// share.
			want = share{plain: current.plain, urgent: current.urgent}
		}
		urgent := min(want.urgent, current.urgent+available)
		available -= max(urgent-current.urgent, 0)
		plain := min(want.plain, current.plain+available)
		// Until the edge confirms a lower share, it may still hold the higher one.
		e.shares[name] = share{
			incarnation: tracked.Incarnation,
			plain:       max(plain, current.plain),
			urgent:      max(urgent, current.urgent),
			used:        current.used,
		}
		if plain+urgent > 0 {
			out.Slots = append(
				out.Slots,
				&wire.Slot{Runner: name, Mark: tracked.Incarnation, Plain: int32(plain), Urgent: int32(urgent)},
			)
		}
	}
	return out
}

// available returns how many more slots of a runner may be assigned: its limit, less the slots
// held by edges and the jobs left running by departed edges. It is negative if the limit is
// exceeded.
func (assigner *Assigner) available(tracked *trackedRunner, now time.Time) int {
	total := tracked.Limit
	if !assigner.allReported {
		total = min(total, tracked.initiallyHeld)
	}
	for _, e := range assigner.edges {
		s := e.shares[tracked.Name]
		switch {
		case s.incarnation != tracked.Incarnation:
			// The share belonged to a process that has departed.
		case !s.expired:
			total -= s.plain + s.urgent
		case now.Sub(e.reportedAt) < assigner.node.Params.Lease.OrphanTimeout:
			total -= s.orphaned
		}
	}
	if now.Sub(assigner.allReportedAt) < assigner.node.Params.Lease.OrphanTimeout {
		total -= tracked.unaccounted
	}
	return total
}

// An edge's weight for plain slots is baseWeight plus its backlog up to maxBacklogWeight.
const (
	baseWeight       = 4
	maxBacklogWeight = 20
)

// target returns the share of a runner that an edge should have. Urgent slots are divided
// equally, regardless of the current load, since urgent work can't wait for slots to move.
// Plain slots are divided by the backlog on the route, with bounded weights so that the
// backlog of one edge does not starve the others.
func (assigner *Assigner) target(tracked *trackedRunner, inc uint64) share {
	v := assigner.node.Cluster.Now()
	if tracked.Limit <= 0 || v.Spec.Empty(tracked.Zone) {
		return share{}
	}
	reserve := 0
	for _, c := range v.Spec.Classes {
		reserve = max(reserve, c.Reserve)
	}
	urgent := tracked.Limit * reserve / 100
	plain := func(e *edge) int { return baseWeight + min(e.backlog[tracked.Route], maxBacklogWeight) }
	return share{
		plain:  assigner.portion(tracked, inc, tracked.Limit-urgent, plain),
		urgent: assigner.portion(tracked, inc, urgent, func(*edge) int { return 1 }),
	}
}

// portion returns one edge's part of n slots, divided in proportion to the weights by the
// largest remainder method.
func (assigner *Assigner) portion(tracked *trackedRunner, inc uint64, n int, weight func(*edge) int) int {
	type portion struct {
		inc       uint64
		id        string
		remainder int
		weight    int
	}
	var portions []portion
	sum := 0
	now := time.Now()
	for i, e := range assigner.edges {
		if e.termOver(now, assigner.params.Term) {
			continue
		}
		w := weight(e)
		portions = append(portions, portion{inc: i, id: e.id, weight: w})
		sum += w
	}
	if len(portions) == 0 {
		return 0
	}
	share, remaining := 0, n
	for i := range portions {
		integral := n * portions[i].weight / sum
		portions[i].remainder = n * portions[i].weight % sum
		remaining -= integral
		if portions[i].inc == inc {
			share = integral
		}
	}
	// For equal remainders, the leftover slots of each runner start at the edge after the one
	// that received the last leftover slot of the previous runner of the route, so that they are
	// spread over all edges.
	sort.Slice(portions, func(i, j int) bool { return portions[i].id < portions[j].id })
	offset := 0
	for name, r := range assigner.runners {
		if r.Route == tracked.Route && name < tracked.Name && r.Limit > 0 {
			offset += remaining
		}
	}
	offset %= len(portions)
	portions = append(portions[offset:], portions[:offset]...)
	sort.SliceStable(portions, func(i, j int) bool { return portions[i].remainder > portions[j].remainder })
	for i := 0; i < remaining; i++ {
		if portions[i].inc == inc {
			share++
		}
	}
	return share
}
