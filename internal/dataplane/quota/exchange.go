package quota

import (
	"context"
	"sync"
	"time"

	"damsontiller/internal/coordination/node"
	"damsontiller/internal/coordination/singleton"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/contain"
	"damsontiller/internal/transport/loop"
)

// Exchange reports the counts of one edge to the collector, and runs the collector if this edge
// is the first in the agreed order. It sends nothing if no tenant has a quota.
type Exchange struct {
	params    ExchangeParams
	local     *node.Node
	members   func() []*wire.Member // the nodes of the cluster
	counts    *Node
	collector *Collector

	primaryAnsweredAt time.Time // only accessed by the goroutine of Run

	mu            sync.Mutex
	limits        map[string]Limit // by tenant, as of limitsVersion
	limitsVersion uint64
}

// ExchangeParams configures the timing of the exchange.
type ExchangeParams struct {
	Interval time.Duration // between two reports
	Timeout  time.Duration // for a response
	// FailoverAfter is how long the primary edge may fail to respond before edges report to
	// another one. Until then a node uses the counts it received last.
	FailoverAfter time.Duration
}

// DefaultExchange are the default parameters. Params.Horizon must cover two intervals and the
// latency of a response.
var DefaultExchange = ExchangeParams{
	Interval:      250 * time.Millisecond,
	Timeout:       150 * time.Millisecond,
	FailoverAfter: time.Second,
}

// NewExchange returns the exchange of a node's counts with the other edges, and registers the
// handler for reports.
func NewExchange(params ExchangeParams, local *node.Node, counts *Node, collector *Collector) *Exchange {
	exchange := &Exchange{
		params:    params,
		local:     local,
		members:   local.Lease.Members,
		counts:    counts,
		collector: collector,
	}
	local.Peer.Handle(&wire.Req_QuotaReport{}, exchange.handleReport)
	return exchange
}

// Run sends reports periodically until ctx is done.
func (exchange *Exchange) Run(ctx context.Context) {
	loop.Every(ctx, exchange.params.Interval, nil, exchange.step)
}

// maxCandidates is the maximum number of edges in the local zone that are tried in one step when
// the primary edge does not respond. The local edge is always a candidate.
const maxCandidates = 2

// step exchanges counts once. After a fault of the counts this node counts anew.
func (exchange *Exchange) step(ctx context.Context) {
	fault := contain.Run(func() { exchange.exchangeCounts(ctx) })
	if fault != nil {
		exchange.counts.Reset()
		const line = "exchanging the quotas' counts failed, counting anew"
		exchange.local.Log.Error(line, "reason", fault.Reason, "stack", fault.Stack)
	}
}

// exchangeCounts reports to the primary edge, the first in the agreed order. If that edge has not
// responded for FailoverAfter, it reports to the first edge of the local zone that responds, so that
// the edges of a partitioned zone share a collector.
func (exchange *Exchange) exchangeCounts(ctx context.Context) {
	if !exchange.refreshLimits() {
		exchange.counts.Suspend()
		return
	}
	order := singleton.SuccessionOrder(exchange.local.Cluster.Now(), exchange.members())
	if len(order) == 0 {
		return
	}
	if exchange.report(ctx, order[0]) {
		exchange.primaryAnsweredAt = time.Now()
		return
	}
	if time.Since(exchange.primaryAnsweredAt) < exchange.params.FailoverAfter {
		return
	}
	attempts := 0
	for _, m := range order[1:] {
		if m.Zone != exchange.local.Peer.Self.Zone || attempts == maxCandidates && m.Id != exchange.local.Peer.Self.Id {
			continue
		}
		if attempts++; exchange.report(ctx, m) {
			return
		}
	}
}

// report sends the counts to one edge, possibly the local one, and merges its response.
func (exchange *Exchange) report(ctx context.Context, to *wire.Member) bool {
	report, sentAt := exchange.counts.Report(), time.Now()
	if to.Id == exchange.local.Peer.Self.Id {
		exchange.counts.Merge(report, sentAt, exchange.collect(to.Id, to.Inc, report))
		return true
	}
	request := &wire.Req{Op: &wire.Req_QuotaReport{QuotaReport: report}}
	response, err := exchange.local.Peer.CallWithTimeout(ctx, exchange.params.Timeout, to.Addr, request)
	if err != nil || response.GetQuotaNews() == nil {
		return false
	}
	exchange.counts.Merge(report, sentAt, response.GetQuotaNews())
	return true
}

// handleReport handles the report of another edge.
func (exchange *Exchange) handleReport(_ context.Context, request *wire.Req) (*wire.Resp, error) {
	if request.Id == "" {
		return nil, code.New(code.Garbled, "quota report without a node id")
	}
	return &wire.Resp{Op: &wire.Resp_QuotaNews{
		QuotaNews: exchange.collect(request.Id, request.Inc, request.GetQuotaReport()),
	}}, nil
}

// collect passes a report to the local collector.
func (exchange *Exchange) collect(id string, incarnation uint64, report *wire.QuotaReport) *wire.QuotaNews {
	var fleet Fleet
	for _, m := range exchange.members() {
		if m.Role == "edge" {
			fleet = append(fleet, m.Id)
		}
	}
	return exchange.collector.Collect(id, incarnation, report, fleet, exchange.limit)
}

// refreshLimits updates the limits from the current configuration and reports whether any tenant has
// a quota.
func (exchange *Exchange) refreshLimits() bool {
	view := exchange.local.Cluster.Now()
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	if exchange.limits == nil || exchange.limitsVersion != view.Version {
		exchange.limits, exchange.limitsVersion = map[string]Limit{}, view.Version
		for _, t := range view.Table.Tenants {
			if limit := (Limit{RatePerS: t.RatePerS, Burst: t.Burst}); !limit.Unlimited() {
				exchange.limits[t.Name] = limit
			}
		}
	}
	return len(exchange.limits) > 0
}

// limit returns the quota of a tenant in the current configuration.
func (exchange *Exchange) limit(tenant string) Limit {
	exchange.refreshLimits()
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return exchange.limits[tenant]
}
