package quota

import (
	"context"
	"sync"
	"time"

	"damsontiller/internal/coordination/node"
	"damsontiller/internal/coordination/singleton"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// Exchange carries the counts of one edge to the collector, and is the collector where this
// edge is the first of all. Where no tenant has a quota it sends nothing.
type Exchange struct {
	params    ExchangeParams
	process   *node.Node
	counts    *Node
	collector *Collector

	firstAnsweredAt time.Time // the exchanging goroutine's own

	mu      sync.Mutex
	limits  map[string]Limit // under the version limitsOf
	limitOf uint64
}

// ExchangeParams are the times of the exchange.
type ExchangeParams struct {
	Interval time.Duration // between two reports
	Timeout  time.Duration // for an answer
	// FailoverAfter is after how long without an answer of the first edge another one merges:
	// until then a node goes by what it heard last.
	FailoverAfter time.Duration
}

// DefaultExchange are the design's. Params.Horizon covers two intervals and an answer's way.
var DefaultExchange = ExchangeParams{
	Interval:      250 * time.Millisecond,
	Timeout:       150 * time.Millisecond,
	FailoverAfter: time.Second,
}

// NewExchange joins a node's counts to the other edges.
func NewExchange(p ExchangeParams, process *node.Node, counts *Node, collector *Collector) *Exchange {
	x := &Exchange{params: p, process: process, counts: counts, collector: collector}
	process.Peer.Handle(&wire.Req_QuotaReport{}, x.collect)
	return x
}

// Run reports until ctx ends.
func (x *Exchange) Run(ctx context.Context) { loop.Every(ctx, x.params.Interval, nil, x.step) }

// maxCandidates is how many edges are asked in one step: the first of all, and where that one
// is gone the first of the own zone.
const maxCandidates = 2

// step reports to the first edge of all. Where that one is gone for long, edges report to the
// first of their own zone that answers: those that are cut off together find each other.
func (x *Exchange) step(ctx context.Context) {
	if !x.quotas() {
		return
	}
	order := singleton.Order(x.process.Cluster.Now(), x.process.Lease.Members())
	if len(order) == 0 {
		return
	}
	if x.report(ctx, order[0]) {
		x.firstAnsweredAt = time.Now()
		return
	}
	if time.Since(x.firstAnsweredAt) < x.params.FailoverAfter {
		return
	}
	asked := 0
	for _, m := range order[1:] {
		if m.Zone != x.process.Peer.Self.Zone || asked == maxCandidates && m.Id != x.process.Peer.Self.Id {
			continue
		}
		if asked++; x.report(ctx, m) {
			return
		}
	}
}

// report sends the counts to one edge, this one perhaps, and merges its answer.
func (x *Exchange) report(ctx context.Context, to *wire.Member) bool {
	report, at := x.counts.Report(), time.Now()
	if to.Id == x.process.Peer.Self.Id {
		x.counts.Merge(report, at, x.merge(to.Id, to.Inc, report))
		return true
	}
	request := &wire.Req{Op: &wire.Req_QuotaReport{QuotaReport: report}}
	answer, err := x.process.Peer.CallFor(ctx, x.params.Timeout, to.Addr, request)
	if err != nil || answer.GetQuotaNews() == nil {
		return false
	}
	x.counts.Merge(report, at, answer.GetQuotaNews())
	return true
}

// collect is the side that merges.
func (x *Exchange) collect(_ context.Context, q *wire.Req) (*wire.Resp, error) {
	if q.Id == "" {
		return nil, code.New(code.Garbled, "a report of counts of nobody")
	}
	return &wire.Resp{Op: &wire.Resp_QuotaNews{QuotaNews: x.merge(q.Id, q.Inc, q.GetQuotaReport())}}, nil
}

func (x *Exchange) merge(id string, incarnation uint64, report *wire.QuotaReport) *wire.QuotaNews {
	var fleet Fleet
	for _, m := range x.process.Lease.Members() {
		if m.Role == "edge" {
			fleet = append(fleet, m.Id)
		}
	}
	return x.collector.Collect(id, incarnation, report, fleet, x.limit)
}

// quotas reports whether any tenant has a quota, and refreshes the limits.
func (x *Exchange) quotas() bool {
	view := x.process.Cluster.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.limits == nil || x.limitOf != view.Version {
		x.limits, x.limitOf = map[string]Limit{}, view.Version
		for _, t := range view.Table.Tenants {
			if limit := (Limit{RatePerS: t.RatePerS, Burst: t.Burst}); !limit.Unlimited() {
				x.limits[t.Name] = limit
			}
		}
	}
	return len(x.limits) > 0
}

// limit is the quota of a tenant, by the table in force here.
func (x *Exchange) limit(tenant string) Limit {
	x.quotas()
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.limits[tenant]
}
