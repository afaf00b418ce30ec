package quota

import (
	"math/rand/v2"
	"sync"
	"time"

	"damsontiller/internal/proto/wire"
)

// Collector merges the counts of all nodes that report to it. Its methods may be called
// concurrently.
type Collector struct {
	params Params
	table  uint64 // names this collector's start

	mu     sync.Mutex
	nodes  map[string]*reporter
	ended  []former
	totals map[string]*total
	// constrained are the tenants near their limits, as of checkedAt.
	constrained []string
	checkedAt   time.Time
}

// reporter is one node as it last reported.
type reporter struct {
	incarnation uint64
	use         map[string]tenantUse
	reportedAt  time.Time
	startedAt   time.Time
	// knownBefore: this collector has the counts of the node's earlier start as well.
	knownBefore bool
}

type tenantUse struct{ admitted, asked uint32 }

// former is the use of a start of a node that has ended; it counts for a window still.
type former struct {
	use   map[string]tenantUse
	until time.Time
}

// total is the sum over all nodes, those that are silent and former ones included.
type total struct{ admitted, asked float64 }

// NewCollector makes a collector that has heard nobody.
func NewCollector(p Params) *Collector {
	return &Collector{
		params: p,
		table:  rand.Uint64() | 1,
		nodes:  map[string]*reporter{},
		totals: map[string]*total{},
	}
}

// Fleet is what is known of the nodes that may admit requests: their ids.
type Fleet []string

// Collect takes a node's report and tells it what the others have counted; limit gives the
// limit of a tenant.
func (collector *Collector) Collect(
	id string,
	incarnation uint64,
	report *wire.QuotaReport,
	fleet Fleet,
	limit func(tenant string) Limit,
) *wire.QuotaNews {
	now := time.Now()
	collector.mu.Lock()
	defer collector.mu.Unlock()
	node := collector.nodes[id]
	switch {
	case node != nil && incarnation < node.incarnation:
		// Late: of a start that has ended.
		return &wire.QuotaNews{Resend: true}
	case report.Table != 0 && (report.Table != collector.table || node == nil || node.incarnation != incarnation):
		return &wire.QuotaNews{Resend: true}
	}
	collector.letGo(now)
	node = collector.update(node, id, incarnation, report, now)
	news := &wire.QuotaNews{Table: collector.table, Nodes: int32(max(len(fleet), len(collector.nodes)))}
	view := collector.view(fleet, now)
	news.Available = toCount(thousand * (1 - view.unknown/view.nodes))
	collector.findConstrained(view, limit, now)
	told := map[string]bool{}
	tell := func(tenant string) {
		if bound := limit(tenant); !told[tenant] && !bound.Unlimited() {
			told[tenant] = true
			news.Tenants = append(news.Tenants, collector.news(node, tenant, bound, view))
		}
	}
	for _, use := range report.Use {
		tell(use.Tenant)
	}
	for _, tenant := range collector.constrained {
		tell(tenant)
	}
	return news
}

// checkInterval is the time between two searches for tenants near their limits.
const checkInterval = 100 * time.Millisecond

// findConstrained finds the tenants near their limits; all nodes are told of these.
func (collector *Collector) findConstrained(v view, limit func(string) Limit, now time.Time) {
	if now.Sub(collector.checkedAt) < checkInterval {
		return
	}
	collector.checkedAt, collector.constrained = now, collector.constrained[:0]
	nobody := &reporter{}
	for tenant := range collector.totals {
		bound := limit(tenant)
		if !bound.Unlimited() && collector.news(nobody, tenant, bound, v).Constrained {
			collector.constrained = append(collector.constrained, tenant)
		}
	}
}

// update replaces a node's counts.
func (collector *Collector) update(
	node *reporter,
	id string,
	incarnation uint64,
	report *wire.QuotaReport,
	now time.Time,
) *reporter {
	if node != nil && node.incarnation != incarnation {
		collector.ended = append(collector.ended, former{node.use, now.Add(collector.params.Window)})
		for tenant, use := range node.use {
			collector.totals[tenant].asked -= float64(use.asked)
		}
		node.use, node.incarnation = map[string]tenantUse{}, incarnation
		node.startedAt, node.knownBefore = startOf(report, now), true
	}
	if node == nil {
		node = &reporter{incarnation: incarnation, use: map[string]tenantUse{}, startedAt: startOf(report, now)}
		collector.nodes[id] = node
	}
	if report.Table == 0 {
		// All counts: what is not among them is 0.
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

func startOf(report *wire.QuotaReport, now time.Time) time.Time {
	return now.Add(-time.Duration(report.UpMs) * time.Millisecond)
}

// set replaces one count of a node.
func (collector *Collector) set(node *reporter, tenant string, use tenantUse) {
	sum := collector.totals[tenant]
	if sum == nil {
		sum = &total{}
		collector.totals[tenant] = sum
	}
	old := node.use[tenant]
	sum.admitted += float64(use.admitted) - float64(old.admitted)
	sum.asked += float64(use.asked) - float64(old.asked)
	if use == (tenantUse{}) {
		delete(node.use, tenant)
	} else {
		node.use[tenant] = use
	}
	if sum.admitted == 0 && sum.asked == 0 {
		delete(collector.totals, tenant)
	}
}

// letGo drops former starts after a window, and silent nodes after their hold.
func (collector *Collector) letGo(now time.Time) {
	kept := collector.ended[:0]
	for _, f := range collector.ended {
		if now.Before(f.until) {
			kept = append(kept, f)
			continue
		}
		for tenant, use := range f.use {
			sum := collector.totals[tenant]
			if sum.admitted -= float64(use.admitted); sum.admitted == 0 && sum.asked == 0 {
				delete(collector.totals, tenant)
			}
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

// view is what bounds all tenants alike at one moment.
type view struct {
	silent []*reporter // in the fleet, and not heard for a while: their part is held for them
	nodes  float64     // in the fleet
	// unknown is how many nodes' parts are not available, since nobody here knows what they
	// have admitted.
	unknown float64
}

func (collector *Collector) view(fleet Fleet, now time.Time) view {
	v := view{nodes: float64(max(len(fleet), len(collector.nodes), 1))}
	for _, id := range fleet {
		if collector.nodes[id] == nil {
			v.unknown++
		}
	}
	for _, node := range collector.nodes {
		if now.Sub(node.reportedAt) > collector.params.MaxAge {
			v.silent = append(v.silent, node)
		}
		if up := now.Sub(node.startedAt); up < collector.params.Window && !node.knownBefore {
			v.unknown += 1 - float64(up)/float64(collector.params.Window)
		}
	}
	v.unknown = min(v.unknown, v.nodes)
	return v
}

// news is what one node is told of one tenant.
func (collector *Collector) news(node *reporter, tenant string, limit Limit, v view) *wire.TenantNews {
	budget := collector.params.budget(limit)
	part := budget / v.nodes
	sum := total{}
	if t := collector.totals[tenant]; t != nil {
		sum = *t
	}
	for _, silent := range v.silent {
		use := silent.use[tenant]
		sum.admitted += max(0, part-float64(use.admitted))
		sum.asked -= float64(use.asked)
	}
	bound := budget - part*v.unknown + min(part*v.unknown, collector.params.Slack/4)
	own := node.use[tenant]
	asked := collector.params.askedPerS(toCount(sum.asked))
	return &wire.TenantNews{
		Tenant:      tenant,
		Others:      toCount(sum.admitted - float64(own.admitted)),
		OthersAsked: toCount(sum.asked - float64(own.asked)),
		Cap:         toCount(bound),
		Constrained: bound-sum.admitted <= asked*collector.params.Horizon.Seconds(),
	}
}
