package quota

import (
	"sync"
	"time"

	"damsontiller/internal/proto/wire"
)

// Node admits or refuses the requests that reach one node. It is safe for concurrent use.
type Node struct {
	params Params
	start  time.Time

	mu       sync.Mutex
	accounts map[string]*account
	// tableID identifies the collector that answered last. It is 0 before the first answer and
	// if the collector has requested a full report.
	tableID    uint64
	lastSyncAt time.Time // when the report that was answered last was sent; zero if none was
	nodeCount  int       // nodes in the fleet, as of the last exchange
	// availableShare is the fraction of the limit that may be admitted for tenants without
	// merged counts.
	availableShare float64
	ready          chan struct{}
}

// account holds the counts of one tenant at this node.
type account struct {
	admitted, requested counter
	// The merged counts of all other nodes: requests admitted in a window, and the rate of
	// requests per second. fleetCap is the maximum that all nodes together may admit in a window.
	othersAdmitted, othersRate, fleetCap float64
	mergedAt                             time.Time
	// admittedAtSync is the number of requests that this node had admitted in a window as of
	// the last exchange.
	admittedAtSync uint32
	// Near the limit: the number of requests that may be admitted until the next exchange, which
	// may be fractional, and the number admitted since the last one.
	allowance, allowanceUsed float64
	constrained              bool
	// programs maps each program that has started at this node to the time of its last request.
	programs map[string]time.Time
	// The counts that the collector has confirmed.
	reportedAdmitted, reportedRequested uint32
}

// NewNode returns a node that has not exchanged counts yet.
func NewNode(params Params) *Node {
	return &Node{params: params, start: time.Now(), accounts: map[string]*account{}, ready: make(chan struct{})}
}

// Ready returns a channel that is closed after the first exchange of counts since the start, or
// since Suspend.
func (node *Node) Ready() <-chan struct{} {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.ready
}

// Suspend ends the exchange of counts while no tenant has a quota. What the other nodes admit is
// not known until the next exchange, as after a start.
func (node *Node) Suspend() {
	node.mu.Lock()
	defer node.mu.Unlock()
	node.suspend()
}

func (node *Node) suspend() {
	if node.lastSyncAt.IsZero() {
		return
	}
	node.tableID, node.lastSyncAt = 0, time.Time{}
	node.ready = make(chan struct{})
}

// Reset drops all counts. What was admitted in the last window is then not counted.
func (node *Node) Reset() {
	node.mu.Lock()
	defer node.mu.Unlock()
	node.accounts = map[string]*account{}
	node.suspend()
}

// Decision is the result of an admission check.
type Decision struct {
	Admitted bool
	// RetryAfter is how long the tenant should wait before its next request, if this one was
	// refused.
	RetryAfter time.Duration
	slot       int64
}

// Request is the input of an admission check.
type Request struct {
	Tenant string
	Limit  Limit
	// Program is the program that the request belongs to, if any.
	Program string
	// ProgramStarted is set if the program is known to have sent requests before, possibly to
	// another node.
	ProgramStarted bool
}

// Admit decides whether a request of a tenant may run, and counts it.
func (node *Node) Admit(r Request) Decision {
	if r.Limit.Unlimited() {
		return Decision{Admitted: true}
	}
	now := time.Now()
	node.mu.Lock()
	defer node.mu.Unlock()
	a, slot := node.account(r.Tenant, now)
	a.requested.add(slot)
	started := r.ProgramStarted || r.Program == "" || a.hasStarted(r.Program, now)
	if wait := node.admissionWait(a, r.Limit, started, now); wait > 0 {
		return Decision{RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
	}
	a.admitted.add(slot)
	a.allowanceUsed++
	a.recordProgram(r.Program, now)
	return Decision{Admitted: true, slot: slot}
}

// Cancel reverts the count of an admitted request that did not run.
func (node *Node) Cancel(tenant string, d Decision) {
	node.mu.Lock()
	defer node.mu.Unlock()
	if a := node.accounts[tenant]; a != nil && d.Admitted {
		a.admitted.remove(d.slot)
		a.allowanceUsed = max(0, a.allowanceUsed-1)
	}
}

// account returns a tenant's account, creating it if necessary, and the current slot. The counters
// are advanced to that slot.
func (node *Node) account(tenant string, now time.Time) (*account, int64) {
	a := node.accounts[tenant]
	if a == nil {
		a = &account{}
		node.accounts[tenant] = a
	}
	slot := node.params.slotOf(now.Sub(node.start))
	a.admitted.advance(slot)
	a.requested.advance(slot)
	return a, slot
}

// Bounds of Decision.RetryAfter.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Second
)

// admissionWait returns how long to wait until one more request may be admitted, or 0 if it may
// be admitted now.
func (node *Node) admissionWait(a *account, limit Limit, started bool, now time.Time) time.Duration {
	budget := node.params.budget(limit)
	own := float64(a.admitted.sum)
	equalShare := budget / float64(max(node.nodeCount, 1))
	sinceSync := now.Sub(node.lastSyncAt)
	switch {
	case node.lastSyncAt.IsZero():
		return minRetryAfter
	case sinceSync > node.params.MaxAge:
		// Without contact to a collector: at most the share that the collector reserves for this node.
		return waitUnlessAdmitted(
			sinceSync < node.params.MaxSilence && own < max(float64(a.admittedAtSync), equalShare),
			maxRetryAfter,
		)
	case a.mergedAt.IsZero() && node.availableShare < 1:
		return waitUnlessAdmitted(own < 1+equalShare*node.availableShare, minRetryAfter)
	case !a.constrained && now.Sub(a.mergedAt) > node.params.MaxAge:
		// The tenant is far from its limit and has sent few requests to this node.
		return waitUnlessAdmitted(own < budget, minRetryAfter)
	}
	remaining := min(budget, a.fleetCap) - a.othersAdmitted - own
	requestRate := a.othersRate + node.params.ratePerS(a.requested.recent(rateSlots))
	expected := requestRate * node.params.Horizon.Seconds()
	required := node.params.Reserve * expected
	if started {
		// Requests that are not merged yet may use half of the tolerance above the budget.
		required = max(1, expected-(node.params.allowed(limit)-budget)/2)
		if remaining >= 1 && a.allowanceUsed+1 <= a.allowance {
			return 0
		}
	}
	return waitUnlessAdmitted(
		remaining >= required,
		time.Duration((required-remaining)/limit.RatePerS*float64(time.Second)),
	)
}

// waitUnlessAdmitted returns 0 for an admitted request, and otherwise the wait, but at least
// minRetryAfter.
func waitUnlessAdmitted(admitted bool, wait time.Duration) time.Duration {
	if admitted {
		return 0
	}
	return max(wait, minRetryAfter)
}

const (
	programTTL  = 15 * time.Second // how long a program is remembered after its last request
	maxPrograms = 4096             // maximum number of programs remembered for one tenant
)

// hasStarted reports whether a program has recently sent a request that this node admitted.
func (a *account) hasStarted(program string, now time.Time) bool {
	lastRequestAt, ok := a.programs[program]
	return ok && now.Sub(lastRequestAt) < programTTL
}

// recordProgram records the time of an admitted request of a program.
func (a *account) recordProgram(program string, now time.Time) {
	if program == "" {
		return
	}
	if a.programs == nil || len(a.programs) >= maxPrograms {
		a.programs = map[string]time.Time{}
	}
	a.programs[program] = now
}

// expirePrograms removes the programs that have not sent a request for programTTL.
func (a *account) expirePrograms(now time.Time) {
	for program, lastRequestAt := range a.programs {
		if now.Sub(lastRequestAt) >= programTTL {
			delete(a.programs, program)
		}
	}
}

// Report returns the counts that have changed since the last answer of the collector, or all counts
// if the collector has none of this node.
func (node *Node) Report() *wire.QuotaReport {
	now := time.Now()
	node.mu.Lock()
	defer node.mu.Unlock()
	report := &wire.QuotaReport{Table: node.tableID, UpMs: now.Sub(node.start).Milliseconds()}
	for tenant, a := range node.accounts {
		node.account(tenant, now)
		admitted, requested := a.admitted.sum, a.requested.recent(rateSlots)
		if node.tableID == 0 {
			a.reportedAdmitted, a.reportedRequested = 0, 0
		}
		if admitted == a.reportedAdmitted && requested == a.reportedRequested {
			if a.expirePrograms(now); admitted == 0 && a.requested.sum == 0 && len(a.programs) == 0 {
				delete(node.accounts, tenant)
			}
			continue
		}
		report.Use = append(report.Use, &wire.TenantUse{Tenant: tenant, Admitted: admitted, Asked: requested})
	}
	return report
}

// Merge applies the collector's answer to a report that was sent at sentAt.
func (node *Node) Merge(report *wire.QuotaReport, sentAt time.Time, answer *wire.QuotaNews) {
	now := time.Now()
	node.mu.Lock()
	defer node.mu.Unlock()
	if answer == nil || answer.Resend {
		// The collector is a different one or does not have this node's counts.
		node.tableID = 0
		return
	}
	node.tableID, node.nodeCount, node.availableShare =
		answer.Table, int(answer.Nodes), float64(answer.Available)/permille
	if node.lastSyncAt.IsZero() {
		close(node.ready)
	}
	node.lastSyncAt = sentAt
	for _, use := range report.Use {
		if a := node.accounts[use.Tenant]; a != nil {
			a.reportedAdmitted, a.reportedRequested = use.Admitted, use.Asked
		}
	}
	for _, a := range node.accounts {
		a.admittedAtSync, a.constrained = a.admitted.sum, false
	}
	for _, tenantNews := range answer.Tenants {
		a, _ := node.account(tenantNews.Tenant, now)
		node.merge(a, tenantNews, sentAt)
	}
}

// merge applies the counts of the other nodes for one tenant.
func (node *Node) merge(a *account, answer *wire.TenantNews, sentAt time.Time) {
	a.mergedAt = sentAt
	a.othersAdmitted, a.fleetCap = float64(answer.Others), float64(answer.Cap)
	a.othersRate = node.params.ratePerS(answer.OthersAsked)
	a.constrained = answer.Constrained
	ownRate := node.params.ratePerS(a.requested.recent(rateSlots))
	remaining := max(0, a.fleetCap-a.othersAdmitted-float64(a.admitted.sum))
	share := 1.0
	if ownRate+a.othersRate > 0 {
		share = ownRate / (ownRate + a.othersRate)
	}
	// Up to one unused request is carried over, so that shares below one request accumulate.
	carriedOver := min(max(0, a.allowance-a.allowanceUsed), 1)
	a.allowance, a.allowanceUsed = carriedOver+share*remaining/2, 0
}

// permille is the unit of QuotaNews.Available.
const permille = 1000

// State describes one tenant at this node, for operators.
type State struct {
	Admitted       uint32  `json:"admitted"`     // requests admitted at this node in a window
	Others         float64 `json:"others"`       // requests admitted at all other nodes in a window
	Bound          float64 `json:"bound"`        // maximum for all nodes together in a window
	Constrained    bool    `json:"constrained"`  // whether the tenant is near its limit
	MergedAgeMs    int64   `json:"merged_ms"`    // age of the merged counts; -1 if there are none
	CollectorAgeMs int64   `json:"collector_ms"` // age of the last exchange; -1 if there was none
}

// States returns the tenants that have recently sent requests to this node.
func (node *Node) States() map[string]State {
	now := time.Now()
	ageMs := func(at time.Time) int64 {
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
			Admitted:       a.admitted.sum,
			Others:         a.othersAdmitted,
			Bound:          a.fleetCap,
			Constrained:    a.constrained,
			MergedAgeMs:    ageMs(a.mergedAt),
			CollectorAgeMs: ageMs(node.lastSyncAt),
		}
	}
	return out
}
