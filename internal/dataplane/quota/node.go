package quota

import (
	"sync"
	"time"

	"damsontiller/internal/proto/wire"
)

// Node decides on requests at one node. Its methods may be called concurrently.
type Node struct {
	params Params
	start  time.Time

	mu       sync.Mutex
	accounts map[string]*account
	// table names the collector whose merged counts were heard last; 0: none, or it wants
	// all counts anew.
	table   uint64
	heardAt time.Time // before the report was sent that was answered last; zero: never
	nodes   int       // in the fleet, as last heard
	// available is the part of each limit that may be admitted, of tenants of which nothing
	// was heard yet.
	available float64
	heard     chan struct{}
}

// account is what a node knows of one tenant.
type account struct {
	admitted, asked counter
	// Of all other nodes, as merged: admitted in a window, asked for in a second; and the
	// most that all nodes may admit in a window.
	others, othersAsked, cap float64
	mergedAt                 time.Time
	// held is what this node had admitted in a window when it last heard.
	held uint32
	// Near the limit: how many may be admitted until the node hears again, fractions
	// included, and how many have been.
	allowance, used float64
	constrained     bool
	// programs are those that have begun here, by when they last sent a request.
	programs map[string]time.Time
	// What the collector knows.
	sentAdmitted, sentAsked uint32
}

// NewNode makes a node that has heard nothing.
func NewNode(p Params) *Node {
	return &Node{params: p, start: time.Now(), accounts: map[string]*account{}, heard: make(chan struct{})}
}

// Ready is closed once the node has heard for the first time.
func (node *Node) Ready() <-chan struct{} { return node.heard }

// Decision is what becomes of a request.
type Decision struct {
	Admitted bool
	// RetryAfter is when the next request of the tenant may be admitted, of one that is not.
	RetryAfter time.Duration
	slot       int64
}

// Request is what a decision rests on.
type Request struct {
	Tenant string
	Limit  Limit
	// Program is the program that the request belongs to; empty: none.
	Program string
	// ProgramStarted: the program is known to have run before, elsewhere perhaps.
	ProgramStarted bool
}

// Admit decides on a request of a tenant and counts it.
func (node *Node) Admit(r Request) Decision {
	if r.Limit.Unlimited() {
		return Decision{Admitted: true}
	}
	now := time.Now()
	node.mu.Lock()
	defer node.mu.Unlock()
	a, slot := node.account(r.Tenant, now)
	a.asked.add(slot)
	begun := r.ProgramStarted || r.Program == "" || a.begun(r.Program, now)
	if wait := node.refuses(a, r.Limit, begun, now); wait > 0 {
		return Decision{RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
	}
	a.admitted.add(slot)
	a.used++
	a.begin(r.Program, now)
	return Decision{Admitted: true, slot: slot}
}

// Cancel takes an admitted request back that has not run.
func (node *Node) Cancel(tenant string, d Decision) {
	node.mu.Lock()
	defer node.mu.Unlock()
	if a := node.accounts[tenant]; a != nil && d.Admitted {
		a.admitted.remove(d.slot)
		a.used = max(0, a.used-1)
	}
}

// account finds a tenant's account, with its counters at the present slot.
func (node *Node) account(tenant string, now time.Time) (*account, int64) {
	a := node.accounts[tenant]
	if a == nil {
		a = &account{}
		node.accounts[tenant] = a
	}
	slot := node.params.slotOf(now.Sub(node.start))
	a.admitted.advance(slot)
	a.asked.advance(slot)
	return a, slot
}

// Bounds of the time after which a refused caller may come back.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Second
)

// refuses is how long it takes until one more request may be admitted; 0: it may be now.
func (node *Node) refuses(a *account, limit Limit, begun bool, now time.Time) time.Duration {
	budget := node.params.budget(limit)
	own := float64(a.admitted.sum)
	part := budget / float64(max(node.nodes, 1))
	silence := now.Sub(node.heardAt)
	switch {
	case node.heardAt.IsZero():
		return minRetryAfter
	case silence > node.params.MaxAge:
		// Cut off: no more than is held for this node elsewhere.
		return unless(silence < node.params.MaxSilence && own < max(float64(a.held), part), maxRetryAfter)
	case a.mergedAt.IsZero() && node.available < 1:
		return unless(own < 1+part*node.available, minRetryAfter)
	case !a.constrained && now.Sub(a.mergedAt) > node.params.MaxAge:
		// Far from its limit, and asked for seldom here.
		return unless(own < budget, minRetryAfter)
	}
	left := min(budget, a.cap) - a.others - own
	asked := a.othersAsked + node.params.askedPerS(a.asked.recent(askedSlots))
	ahead := asked * node.params.Horizon.Seconds()
	need := node.params.Reserve * ahead
	if begun {
		// What runs ahead may use half of what the budget leaves of what is allowed.
		need = max(1, ahead-(node.params.allowed(limit)-budget)/2)
		if left >= 1 && a.used+1 <= a.allowance {
			return 0
		}
	}
	return unless(left >= need, time.Duration((need-left)/limit.RatePerS*float64(time.Second)))
}

func unless(admitted bool, wait time.Duration) time.Duration {
	if admitted {
		return 0
	}
	return max(wait, minRetryAfter)
}

// programMemory is how long a program is remembered after its last request, and maxPrograms
// how many are for one tenant.
const (
	programMemory = 15 * time.Second
	maxPrograms   = 4096
)

// begun reports whether a program has begun at this node.
func (a *account) begun(program string, now time.Time) bool {
	at, ok := a.programs[program]
	return ok && now.Sub(at) < programMemory
}

func (a *account) begin(program string, now time.Time) {
	if program == "" {
		return
	}
	if a.programs == nil || len(a.programs) >= maxPrograms {
		a.programs = map[string]time.Time{}
	}
	a.programs[program] = now
}

// forget lets go of programs that have not sent anything for long.
func (a *account) forget(now time.Time) {
	for program, at := range a.programs {
		if now.Sub(at) >= programMemory {
			delete(a.programs, program)
		}
	}
}

// Report is what has changed since the collector answered last, or all counts where it has
// none of this node.
func (node *Node) Report() *wire.QuotaReport {
	now := time.Now()
	node.mu.Lock()
	defer node.mu.Unlock()
	report := &wire.QuotaReport{Table: node.table, UpMs: now.Sub(node.start).Milliseconds()}
	for tenant, a := range node.accounts {
		node.account(tenant, now)
		admitted, asked := a.admitted.sum, a.asked.recent(askedSlots)
		if node.table == 0 {
			a.sentAdmitted, a.sentAsked = 0, 0
		}
		if admitted == a.sentAdmitted && asked == a.sentAsked {
			if a.forget(now); admitted == 0 && a.asked.sum == 0 && len(a.programs) == 0 {
				delete(node.accounts, tenant)
			}
			continue
		}
		report.Use = append(report.Use, &wire.TenantUse{Tenant: tenant, Admitted: admitted, Asked: asked})
	}
	return report
}

// Merge takes the answer to a report that was made at a time.
func (node *Node) Merge(report *wire.QuotaReport, sentAt time.Time, news *wire.QuotaNews) {
	now := time.Now()
	node.mu.Lock()
	defer node.mu.Unlock()
	if news == nil || news.Resend {
		// Another collector than before, or one that has lost this node's counts.
		node.table = 0
		return
	}
	node.table, node.nodes, node.available = news.Table, int(news.Nodes), float64(news.Available)/thousand
	if node.heardAt.IsZero() {
		close(node.heard)
	}
	node.heardAt = sentAt
	for _, use := range report.Use {
		if a := node.accounts[use.Tenant]; a != nil {
			a.sentAdmitted, a.sentAsked = use.Admitted, use.Asked
		}
	}
	for _, a := range node.accounts {
		a.held, a.constrained = a.admitted.sum, false
	}
	for _, n := range news.Tenants {
		a, _ := node.account(n.Tenant, now)
		node.merge(a, n, sentAt)
	}
}

// merge takes what the others have counted of one tenant.
func (node *Node) merge(a *account, n *wire.TenantNews, sentAt time.Time) {
	a.mergedAt = sentAt
	a.others, a.cap = float64(n.Others), float64(n.Cap)
	a.othersAsked = node.params.askedPerS(n.OthersAsked)
	a.constrained = n.Constrained
	own := node.params.askedPerS(a.asked.recent(askedSlots))
	left := max(0, a.cap-a.others-float64(a.admitted.sum))
	share := 1.0
	if own+a.othersAsked > 0 {
		share = own / (own + a.othersAsked)
	}
	// What is under one request is saved up for later.
	saved := min(max(0, a.allowance-a.used), 1)
	a.allowance, a.used = saved+share*left/2, 0
}

const thousand = 1000

// State is what a node knows of one tenant, for operators.
type State struct {
	Admitted    uint32  `json:"admitted"`     // here, within a window
	Others      float64 `json:"others"`       // at all other nodes, as merged
	Bound       float64 `json:"bound"`        // on all together, as merged
	Constrained bool    `json:"constrained"`  // near its limit
	MergedAgoMs int64   `json:"merged_ms"`    // age of what was merged; -1: nothing was
	HeardAgoMs  int64   `json:"collector_ms"` // since the collector was last heard; -1: never
}

// States lists the tenants that have sent requests to this node lately.
func (node *Node) States() map[string]State {
	now := time.Now()
	ago := func(at time.Time) int64 {
		if at.IsZero() {
			return -1
		}
		return now.Sub(at).Milliseconds()
	}
	node.mu.Lock()
	defer node.mu.Unlock()
	out := make(map[string]State, len(node.accounts))
	for tenant, a := range node.accounts {
		node.account(tenant, now)
		out[tenant] = State{
			Admitted:    a.admitted.sum,
			Others:      a.others,
			Bound:       a.cap,
			Constrained: a.constrained,
			MergedAgoMs: ago(a.mergedAt),
			HeardAgoMs:  ago(node.heardAt),
		}
	}
	return out
}
