package quota

import (
	"math/rand/v2"
	"sync"
	"time"

	"damsontiller/internal/proto/wire"
)

// Collector merges the counts of all nodes that report to it. It is safe for concurrent use.
type Collector struct {
	params Params
	// OnFault, if set, is called with the reason of a fault of the collector. It is set before the
	// first report.
	OnFault func(reason any)

	mu      sync.Mutex
	tableID uint64 // identifies the counts: it changes when they start anew
	nodes   map[string]*reporter
	ended   []endedIncarnation
	totals  map[string]*tenantTotal
	// constrained lists the tenants near their limits, as of checkedAt.
	constrained []string
	checkedAt   time.Time
}

// reporter is the state of one node according to its last report.
type reporter struct {
	incarnation uint64
	use         map[string]tenantUse
	reportedAt  time.Time
	startedAt   time.Time
	// previousKnown is set if this collector also has the counts of the node's previous
	// incarnation.
	previousKnown bool
}

// tenantUse counts the requests of one tenant at one node.
type tenantUse struct{ admitted, requested uint32 }

// endedIncarnation holds the counts of a node's previous incarnation. They remain in the totals
// for one window.
type endedIncarnation struct {
	use   map[string]tenantUse
	until time.Time
}

// tenantTotal is the sum over all nodes, including silent nodes and ended incarnations.
type tenantTotal struct {
	admitted, requested float64
	// holders is the number of nodes and ended incarnations that have counts in the sum. The total
	// exists as long as there are any, whatever its sums are.
	holders int
}

// NewCollector returns a collector without any counts.
func NewCollector(params Params) *Collector {
	collector := &Collector{params: params}
	collector.reset()
	return collector
}

// reset drops all counts. All nodes are then asked for full reports.
func (collector *Collector) reset() {
	collector.tableID = rand.Uint64() | 1
	collector.nodes = map[string]*reporter{}
	collector.ended = nil
	collector.totals = map[string]*tenantTotal{}
	collector.constrained = nil
}

// contain keeps a fault of the counts from ending the process, which carries requests. The counts
// start anew, as they would in a new process.
func (collector *Collector) contain(answer **wire.QuotaNews) {
	reason := recover()
	if reason == nil {
		return
	}
	collector.reset()
	*answer = &wire.QuotaNews{Resend: true}
	if collector.OnFault != nil {
		collector.OnFault(reason)
	}
}

// Fleet lists the ids of the nodes that may admit requests.
type Fleet []string

// Collect merges the report of a node and returns the counts of the other nodes. The limit
// function returns the limit of a tenant.
func (collector *Collector) Collect(
	id string,
	incarnation uint64,
	report *wire.QuotaReport,
	fleet Fleet,
	limit func(tenant string) Limit,
) (answer *wire.QuotaNews) {
	now := time.Now()
	collector.mu.Lock()
	defer collector.mu.Unlock()
	defer collector.contain(&answer)
	collector.expire(now)
	node := collector.nodes[id]
	switch {
	case node != nil && incarnation < node.incarnation:
		// A delayed report of an ended incarnation.
		return &wire.QuotaNews{Resend: true}
	case report.Table != 0 && (report.Table != collector.tableID || node == nil || node.incarnation != incarnation):
		return &wire.QuotaNews{Resend: true}
	}
	node = collector.update(node, id, incarnation, report, now)
	answer = &wire.QuotaNews{Table: collector.tableID, Nodes: int32(max(len(fleet), len(collector.nodes)))}
	view := collector.view(fleet, now)
	answer.Available = toCount(permille * (1 - view.unknownNodes/view.nodeCount))
	collector.findConstrained(view, limit, now)
	included := map[string]bool{}
	include := func(tenant string) {
		if tenantLimit := limit(tenant); !included[tenant] && !tenantLimit.Unlimited() {
			included[tenant] = true
			answer.Tenants = append(answer.Tenants, collector.tenantNews(node, tenant, tenantLimit, view))
		}
	}
	for _, use := range report.Use {
		include(use.Tenant)
	}
	for _, tenant := range collector.constrained {
		include(tenant)
	}
	return answer
}

// checkInterval is the minimum time between two searches for tenants near their limits.
const checkInterval = 100 * time.Millisecond

// findConstrained updates the list of tenants near their limits. Their counts are sent to all nodes.
func (collector *Collector) findConstrained(view fleetView, limit func(string) Limit, now time.Time) {
	if now.Sub(collector.checkedAt) < checkInterval {
		return
	}
	collector.checkedAt, collector.constrained = now, collector.constrained[:0]
	noReporter := &reporter{}
	for tenant := range collector.totals {
		tenantLimit := limit(tenant)
		if !tenantLimit.Unlimited() && collector.tenantNews(noReporter, tenant, tenantLimit, view).Constrained {
			collector.constrained = append(collector.constrained, tenant)
		}
	}
}

// update replaces the counts of a node by those in its report.
func (collector *Collector) update(
	node *reporter,
	id string,
	incarnation uint64,
	report *wire.QuotaReport,
	now time.Time,
) *reporter {
	if node != nil && node.incarnation != incarnation {
		// The ended incarnation holds the totals in place of the node.
		collector.ended = append(collector.ended, endedIncarnation{node.use, now.Add(collector.params.Window)})
		for tenant, use := range node.use {
			collector.totals[tenant].requested -= float64(use.requested)
		}
		node.use, node.incarnation = map[string]tenantUse{}, incarnation
		node.startedAt, node.previousKnown = startOf(report, now), true
	}
	if node == nil {
		node = &reporter{incarnation: incarnation, use: map[string]tenantUse{}, startedAt: startOf(report, now)}
		collector.nodes[id] = node
	}
	if report.Table == 0 {
		// A full report: tenants that are not listed have no requests.
		for tenant := range node.use {
			collector.set(node, tenant, tenantUse{})
		}
	}
	for _, use := range report.Use {
		collector.set(node, use.Tenant, tenantUse{use.Admitted, use.Asked})
	}
	node.reportedAt = now
	return node
}

// startOf returns the start time of the reporting node, from its uptime.
func startOf(report *wire.QuotaReport, now time.Time) time.Time {
	return now.Add(-time.Duration(report.UpMs) * time.Millisecond)
}

// set replaces the counts of one tenant at a node and adjusts the totals.
func (collector *Collector) set(node *reporter, tenant string, use tenantUse) {
	old, held := node.use[tenant]
	if !held {
		collector.hold(tenant)
	}
	node.use[tenant] = use
	sum := collector.totals[tenant]
	sum.admitted += float64(use.admitted) - float64(old.admitted)
	sum.requested += float64(use.requested) - float64(old.requested)
	if use == (tenantUse{}) {
		delete(node.use, tenant)
		collector.drop(tenant)
	}
}

// hold adds a holder to the total of a tenant.
func (collector *Collector) hold(tenant string) {
	sum := collector.totals[tenant]
	if sum == nil {
		sum = &tenantTotal{}
		collector.totals[tenant] = sum
	}
	sum.holders++
}

// drop removes a holder, whose counts are no longer in the sums, from the total of a tenant.
func (collector *Collector) drop(tenant string) {
	sum := collector.totals[tenant]
	if sum.holders--; sum.holders == 0 {
		delete(collector.totals, tenant)
	}
}

// expire drops the counts of ended incarnations after one window, and silent nodes once their
// reserved share has expired.
func (collector *Collector) expire(now time.Time) {
	kept := collector.ended[:0]
	for _, incarnation := range collector.ended {
		if now.Before(incarnation.until) {
			kept = append(kept, incarnation)
			continue
		}
		for tenant, use := range incarnation.use {
			collector.totals[tenant].admitted -= float64(use.admitted)
			collector.drop(tenant)
		}
	}
	collector.ended = kept
	for id, node := range collector.nodes {
		if now.Sub(node.reportedAt) > collector.params.MaxSilence+collector.params.Window {
			for tenant := range node.use {
				collector.set(node, tenant, tenantUse{})
			}
			delete(collector.nodes, id)
		}
	}
}

// fleetView is the state of the fleet at one moment. It affects all tenants equally.
type fleetView struct {
	silent    []*reporter // nodes without a recent report, whose shares are reserved
	nodeCount float64     // nodes in the fleet
	// unknownNodes is the number of equal shares that are withheld because it is not known
	// what their nodes have admitted. A node that has just started counts as a fraction.
	unknownNodes float64
}

// view returns the state of the fleet at a time.
func (collector *Collector) view(fleet Fleet, now time.Time) fleetView {
	view := fleetView{nodeCount: float64(max(len(fleet), len(collector.nodes), 1))}
	for _, id := range fleet {
		if collector.nodes[id] == nil {
			view.unknownNodes++
		}
	}
	for _, node := range collector.nodes {
		if now.Sub(node.reportedAt) > collector.params.MaxAge {
			view.silent = append(view.silent, node)
		}
		if uptime := now.Sub(node.startedAt); uptime < collector.params.Window && !node.previousKnown {
			view.unknownNodes += 1 - float64(uptime)/float64(collector.params.Window)
		}
	}
	view.unknownNodes = min(view.unknownNodes, view.nodeCount)
	return view
}

// tenantNews returns the counts of one tenant at all nodes other than the given one.
func (collector *Collector) tenantNews(node *reporter, tenant string, limit Limit, view fleetView) *wire.TenantNews {
	budget := collector.params.budget(limit)
	equalShare := budget / view.nodeCount
	sum := tenantTotal{}
	if t := collector.totals[tenant]; t != nil {
		sum = *t
	}
	for _, silent := range view.silent {
		use := silent.use[tenant]
		sum.admitted += max(0, equalShare-float64(use.admitted))
		sum.requested -= float64(use.requested)
	}
	fleetCap := budget - equalShare*view.unknownNodes + min(equalShare*view.unknownNodes, collector.params.Slack/4)
	own := node.use[tenant]
	requestRate := collector.params.ratePerS(toCount(sum.requested))
	return &wire.TenantNews{
		Tenant:      tenant,
		Others:      toCount(sum.admitted - float64(own.admitted)),
		OthersAsked: toCount(sum.requested - float64(own.requested)),
		Cap:         toCount(fleetCap),
		Constrained: fleetCap-sum.admitted <= requestRate*collector.params.Horizon.Seconds(),
	}
}
