// Package loadreport shares the load of each runner, as counted by all edges, and the list of
// runners, at a cost that grows with the number of edges and not with edges times runners.
// Each edge reports its requests in progress to a collector, the first live edge in a fixed
// order, and receives the sum of all other edges; only the collector reads the list of runners.
// No correctness guarantee depends on this data, so the collector needs no epoch: two concurrent
// collectors only make the sums less accurate, and an edge that reaches no collector reads the
// list itself.
package loadreport

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"math"
	"slices"
	"sync"
	"time"

	"damsontiller/internal/coordination/node"
	"damsontiller/internal/coordination/singleton"
	"damsontiller/internal/dataplane/balancing/endpoints"
	"damsontiller/internal/dataplane/balancing/outlier"
	"damsontiller/internal/dataplane/request/proxy"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/contain"
	"damsontiller/internal/transport/loop"
)

// Params are the intervals and limits of the load report.
type Params struct {
	Interval     time.Duration // between two reports of an edge
	Timeout      time.Duration // for an answer, before the next candidate is tried
	ReadInterval time.Duration // between two reads of the list by the collector
	Stale        time.Duration // age of the list from which an edge reads it itself
	Expiry       time.Duration // how long a received report counts
	// SingleCollector is the largest number of edges that share a single collector.
	SingleCollector int
	// LoadRetention is how long an edge that reaches no collector uses the last received load.
	LoadRetention time.Duration
	ReadStagger   time.Duration // between the edges of a zone that read a stale list themselves
	MaxReadDelay  time.Duration // maximum delay due to ReadStagger
}

// DefaultParams are the default parameters.
var DefaultParams = Params{
	Interval:        250 * time.Millisecond,
	Timeout:         150 * time.Millisecond,
	ReadInterval:    900 * time.Millisecond,
	Stale:           1900 * time.Millisecond,
	Expiry:          time.Second,
	SingleCollector: 96,
	LoadRetention:   2 * time.Second,
	ReadStagger:     300 * time.Millisecond,
	MaxReadDelay:    900 * time.Millisecond,
}

// ListFunc reads the list of runners from the platform's discovery service.
type ListFunc func(ctx context.Context) ([]endpoints.Runner, error)

// LoadReport reports to a collector, and acts as a collector where this edge is first in order.
type LoadReport struct {
	params    Params
	node      *node.Node
	endpoints *endpoints.Store
	load      *proxy.Load
	discover  ListFunc
	outliers  *outlier.Detector
	zones     *zoneExchange

	mu       sync.Mutex
	reports  map[string]edgeReport // by edge
	lastRead time.Time             // when this edge last read the list itself
	// answeredAt is when a collector last answered; used by the reporting goroutine only.
	answeredAt time.Time
	// runningSince is when this edge started to report, after it had joined the cluster.
	runningSince time.Time
	body         []byte // encoded endpoint list, as sent to other edges
	digest       uint64 // of body
}

// edgeReport is the last load reported by an edge.
type edgeReport struct {
	receivedAt time.Time
	load       []*wire.Busy
}

// New returns a load report and registers its handler. It reads no list before Run.
func New(p Params, n *node.Node, r *endpoints.Store, l *proxy.Load) *LoadReport {
	report := &LoadReport{
		params:    p,
		node:      n,
		endpoints: r,
		load:      l,
		outliers:  outlier.NewDetector(outlier.DefaultParams),
		reports:   map[string]edgeReport{},
		zones:     newZoneExchange(),
	}
	n.Peer.Handle(&wire.Req_LoadReport{}, report.collect)
	return report
}

// Run reports periodically and, as a collector, reads the list of runners, until ctx ends.
func (report *LoadReport) Run(ctx context.Context, list ListFunc) {
	report.mu.Lock()
	report.discover, report.runningSince = list, time.Now()
	report.mu.Unlock()
	loop.Every(ctx, report.params.Interval, nil, report.step)
}

// step reports once. After a fault of the reports this edge counts anew.
func (report *LoadReport) step(ctx context.Context) {
	report.contained(func() { report.exchangeLoad(ctx) })
}

// contained runs a part of the load reports, which no request needs. After a fault in it, what
// other edges have reported is dropped, as after a start. It reports whether there was none.
func (report *LoadReport) contained(part func()) bool {
	fault := contain.Run(part)
	if fault == nil {
		return true
	}
	report.reset()
	const line = "exchanging the load of runners failed, counting anew"
	report.node.Log.Error(line, "reason", fault.Reason, "stack", fault.Stack)
	return false
}

// reset drops what other edges have reported.
func (report *LoadReport) reset() {
	report.mu.Lock()
	defer report.mu.Unlock()
	report.reports = map[string]edgeReport{}
	report.outliers.Reset()
	report.zones.reset()
}

// exchangeLoad reports to the first candidate that answers, or collects here if that is this edge.
func (report *LoadReport) exchangeLoad(ctx context.Context) {
	counts := report.load.Watch.TakeCounts()
	own := report.ownReport(counts)
	self := report.node.Peer.Self.Id
	order := singleton.SuccessionOrder(report.node.Cluster.Now(), report.node.Lease.Members())
	for i, m := range report.candidates(order) {
		if m.Id == self {
			report.collectHere(ctx, order, counts, i == 0)
			return
		}
		if report.report(ctx, m.Addr, own) {
			report.answeredAt = time.Now()
			report.refresh(ctx, report.params.Stale+report.readDelay(order))
			return
		}
	}
	report.load.Watch.RestoreCounts(counts)
	report.refresh(ctx, report.params.Stale+report.readDelay(order))
}

// collectHere is a step of an edge that is its own collector. If the edge is not its own first
// candidate and no other edge reports to it, its sums are less complete than the load it last
// received, so that load is kept for LoadRetention.
func (report *LoadReport) collectHere(
	ctx context.Context,
	order []*wire.Member,
	counts map[string]outlier.Count,
	first bool,
) {
	self := report.node.Peer.Self.Id
	report.zones.add(counts)
	report.load.Watch.Update(report.judgeOutliers(self, counts))
	readInterval := report.params.ReadInterval
	if report.byZone(order) {
		report.exchangeZones(ctx, order)
		if order[0].Id != self {
			readInterval = report.params.Stale
		}
	}
	if first || report.Reporters() > 0 || time.Since(report.answeredAt) > report.params.LoadRetention {
		report.load.UpdateRemote(report.others(self))
	}
	report.refresh(ctx, readInterval)
}

// maxCandidates is the maximum number of edges per group (all zones, own zone) that are tried in
// one step.
const maxCandidates = 2

// candidates returns the edges that this edge may report to, in the order in which it tries them:
// the first of all live edges, then the first of its own zone, or the reverse in a large fleet,
// and finally itself. The limit per group keeps an edge that is partitioned from the other zones
// from waiting for each of their edges.
func (report *LoadReport) candidates(order []*wire.Member) []*wire.Member {
	self := &report.node.Peer.Self
	var inZone []*wire.Member
	for _, m := range order {
		if m.Zone == self.Zone && len(inZone) < maxCandidates {
			inZone = append(inZone, m)
		}
	}
	all := slices.Concat(order[:min(maxCandidates, len(order))], inZone)
	if report.byZone(order) {
		all = slices.Concat(inZone, order[:maxCandidates])
	}
	if at := slices.IndexFunc(order, func(m *wire.Member) bool { return m.Id == self.Id }); at >= 0 {
		all = append(all, order[at])
	}
	var out []*wire.Member
	for _, m := range all {
		if !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

// readDelay returns how long an edge waits, after the list has become stale, before it reads the
// list itself. The first edge of each zone reads immediately and shares the result before the others
// would read, since the platform limits the call rate of all nodes together. The maximum delay
// is short enough that draining runners are noticed in time.
func (report *LoadReport) readDelay(order []*wire.Member) time.Duration {
	rank := 0
	for _, m := range order {
		if m.Id == report.node.Peer.Self.Id {
			break
		}
		if m.Zone == report.node.Peer.Self.Zone {
			rank++
		}
	}
	return min(time.Duration(rank)*report.params.ReadStagger, report.params.MaxReadDelay)
}

// ownReport returns this edge's load and outcome counts in wire form.
func (report *LoadReport) ownReport(counts map[string]outlier.Count) []*wire.Busy {
	var out []*wire.Busy
	load := report.load.Local()
	for id, b := range load {
		out = append(out, withCounts(&wire.Busy{Runner: id, Jobs: int32(b.Requests), Tokens: b.Tokens}, counts[id]))
	}
	for id, c := range counts {
		if _, ok := load[id]; !ok {
			out = append(out, withCounts(&wire.Busy{Runner: id}, c))
		}
	}
	return out
}

// withCounts sets the outcome counts of b. Paces are sent in hundredths.
func withCounts(b *wire.Busy, c outlier.Count) *wire.Busy {
	b.Ended, b.Failures, b.Paced, b.Pace =
		int32(c.Ended), int32(c.Failures), int32(c.Paced), int32(math.Round(100*c.Pace))
	return b
}

// judgeOutliers adds an edge's outcome counts to the detector and returns the verdict for the edge.
func (report *LoadReport) judgeOutliers(edge string, counts map[string]outlier.Count) outlier.Verdict {
	now := time.Now()
	report.outliers.Adopt(report.load.Watch.Ejected(), now)
	report.outliers.Report(edge, counts, now)
	report.outliers.Decide(report.endpoints.Current(), report.load.InFlight, now)
	return report.outliers.Verdict(now)
}

// report sends this edge's load to a collector and applies the answer.
func (report *LoadReport) report(ctx context.Context, addr string, own []*wire.Busy) bool {
	sum, requestedAt := report.listDigest(), time.Now()
	r, err := report.node.Peer.CallWithTimeout(
		ctx,
		report.params.Timeout,
		addr,
		&wire.Req{Op: &wire.Req_LoadReport{LoadReport: &wire.LoadReport{Own: own, Roll: sum}}},
	)
	if err != nil {
		return false
	}
	a := r.GetLoadReport()
	report.load.UpdateRemote(loadOf(a.GetOthers()))
	v := outlier.Verdict{Slow: map[string]float64{}}
	for _, o := range a.GetOutliers() {
		if o.Ejected {
			v.Ejected = append(v.Ejected, outlier.Ejected{ID: o.Runner, Trial: o.Trial})
		}
		if o.Slow > 0 {
			v.Slow[o.Runner] = float64(o.Slow) / 100
		}
	}
	report.load.Watch.Update(v)
	report.adoptList(requestedAt, sum, a)
	return true
}

// listDigest returns the digest of the list that this edge holds.
func (report *LoadReport) listDigest() uint64 {
	report.mu.Lock()
	defer report.mu.Unlock()
	return report.digest
}

// adoptList applies the list in an answer to a request that was made at the given time and carried
// the digest sum.
func (report *LoadReport) adoptList(requestedAt time.Time, sum uint64, a *wire.LoadReportAck) {
	if a.GetRollAgeMs() < 0 {
		return
	}
	// The age was measured after the request was sent, so the list is at least as recent as
	// this time.
	at := requestedAt.Add(-time.Duration(a.RollAgeMs) * time.Millisecond)
	switch {
	case len(a.Runners) > 0:
		report.adopt(at, a.Runners, a.Roll)
	case a.Roll == sum:
		report.endpoints.Confirm(at)
	}
}

// adopt decodes a received list and publishes it.
func (report *LoadReport) adopt(at time.Time, body []byte, sum uint64) {
	var all []endpoints.Runner
	if err := json.Unmarshal(body, &all); err != nil {
		report.node.Log.Warn("failed to decode the received endpoint list", "err", err)
		return
	}
	report.publish(at, all, body, sum)
}

// publish sets the current list, unless it already has a newer one.
func (report *LoadReport) publish(at time.Time, all []endpoints.Runner, body []byte, sum uint64) {
	if report.endpoints.Replace(endpoints.NewList(at, all)) {
		report.mu.Lock()
		report.body, report.digest = body, sum
		report.mu.Unlock()
	}
}

// refresh reads the list if the current one is older than d.
func (report *LoadReport) refresh(ctx context.Context, d time.Duration) {
	report.mu.Lock()
	list, last := report.discover, report.lastRead
	readAt := report.endpoints.Current().ReadAt
	if readAt.IsZero() && d > report.params.ReadInterval {
		// After a start, give the other edges time to share the list that the first edge
		// has read.
		readAt = report.runningSince.Add(-report.params.Stale)
	}
	if list == nil || time.Since(readAt) < d ||
		time.Since(last) < report.params.ReadInterval/3 {
		report.mu.Unlock()
		return
	}
	report.lastRead = time.Now()
	report.mu.Unlock()
	at := time.Now()
	all, err := list(ctx)
	if err != nil {
		report.node.Log.Warn("failed to read the list of runners", "err", err)
		return
	}
	l := endpoints.NewList(at, all)
	body, err := json.Marshal(roundWarmup(l.Runners))
	if err != nil {
		report.node.Log.Warn("failed to encode the list of runners", "err", err)
		return
	}
	h := fnv.New64a()
	h.Write(body)
	report.publish(at, l.Runners, body, h.Sum64())
}

// roundWarmup returns a copy of the list with warm-up times rounded up to seconds, so that a runner
// in warm-up does not change the digest of the list at every read.
func roundWarmup(all []endpoints.Runner) []endpoints.Runner {
	out := make([]endpoints.Runner, len(all))
	copy(out, all)
	for i := range out {
		if out[i].WarmupRemainingMs > 0 {
			out[i].WarmupRemainingMs = (out[i].WarmupRemainingMs + 999) / 1000 * 1000
		}
	}
	return out
}

// others returns the sum of the last received load of all edges but one, including other zones.
func (report *LoadReport) others(except string) map[string]proxy.InFlight {
	all := report.reportedLoad(except)
	report.zones.addTo(all, report.params.Expiry)
	return all
}

// reportedLoad returns the sum of the load of all edges but one that report to this edge.
func (report *LoadReport) reportedLoad(except string) map[string]proxy.InFlight {
	report.mu.Lock()
	defer report.mu.Unlock()
	out := map[string]proxy.InFlight{}
	for id, w := range report.reports {
		if time.Since(w.receivedAt) > report.params.Expiry {
			delete(report.reports, id)
			continue
		}
		if id == except {
			continue
		}
		for _, b := range w.load {
			if b.Jobs == 0 {
				continue
			}
			o := out[b.Runner]
			out[b.Runner] = proxy.InFlight{Requests: o.Requests + int(b.Jobs), Tokens: o.Tokens + b.Tokens}
		}
	}
	return out
}

// Reporters returns the number of edges that have reported to this one within Expiry.
func (report *LoadReport) Reporters() int {
	report.mu.Lock()
	defer report.mu.Unlock()
	n := 0
	for _, r := range report.reports {
		if time.Since(r.receivedAt) <= report.params.Expiry {
			n++
		}
	}
	return n
}

// loadOf converts load from its wire form.
func loadOf(bs []*wire.Busy) map[string]proxy.InFlight {
	out := make(map[string]proxy.InFlight, len(bs))
	for _, b := range bs {
		out[b.Runner] = proxy.InFlight{Requests: int(b.Jobs), Tokens: b.Tokens}
	}
	return out
}

// collect handles reports of edges and of collectors of other zones.
func (report *LoadReport) collect(_ context.Context, q *wire.Req) (*wire.Resp, error) {
	if q.Id == "" {
		return nil, code.New(code.Garbled, "a load report of nobody")
	}
	var answer *wire.LoadReportAck
	if !report.contained(func() { answer = report.answer(q) }) {
		return nil, code.New(code.NotReady, "the load of the runners is counted anew")
	}
	return &wire.Resp{Op: &wire.Resp_LoadReport{LoadReport: answer}}, nil
}

// answer records a report and returns the load of the others and, if the sender has an older one,
// the list of runners.
func (report *LoadReport) answer(q *wire.Req) *wire.LoadReportAck {
	a := &wire.LoadReportAck{RollAgeMs: -1}
	if q.GetLoadReport().GetZone() != "" {
		report.answerZone(q.GetLoadReport(), a)
	} else {
		report.answerEdge(q.Id, q.GetLoadReport(), a)
	}
	report.mu.Lock()
	defer report.mu.Unlock()
	if l := report.endpoints.Current(); len(report.body) > 0 {
		a.Roll, a.RollAgeMs = report.digest, time.Since(l.ReadAt).Milliseconds()
		if a.Roll != q.GetLoadReport().GetRoll() {
			a.Runners = report.body
		}
	}
	return a
}

// answerEdge records an edge's report and fills in the load of the others and the
// outliers, with slowness factors in hundredths.
func (report *LoadReport) answerEdge(id string, q *wire.LoadReport, a *wire.LoadReportAck) {
	report.setReport(id, q.GetOwn())
	counts := outcomesOf(q.GetOwn())
	report.zones.add(counts)
	v := report.judgeOutliers(id, counts)
	for _, e := range v.Ejected {
		a.Outliers = append(a.Outliers, &wire.Outlier{Runner: e.ID, Ejected: true, Trial: e.Trial})
	}
	for id, x := range v.Slow {
		a.Outliers = append(a.Outliers, &wire.Outlier{Runner: id, Slow: int32(100 * x)})
	}
	o := report.others(id)
	// This edge's own load is not stored in reports; add its current value.
	for id, b := range report.load.Local() {
		x := o[id]
		o[id] = proxy.InFlight{Requests: x.Requests + b.Requests, Tokens: x.Tokens + b.Tokens}
	}
	for id, b := range o {
		a.Others = append(a.Others, &wire.Busy{Runner: id, Jobs: int32(b.Requests), Tokens: b.Tokens})
	}
}

// setReport replaces the load that an edge has reported.
func (report *LoadReport) setReport(id string, load []*wire.Busy) {
	report.mu.Lock()
	defer report.mu.Unlock()
	report.reports[id] = edgeReport{time.Now(), load}
}

// outcomesOf returns the outcome counts in a report, whose paces are in hundredths.
func outcomesOf(own []*wire.Busy) map[string]outlier.Count {
	counts := map[string]outlier.Count{}
	for _, b := range own {
		if b.Ended > 0 {
			counts[b.Runner] = outlier.Count{
				Ended:    int(b.Ended),
				Failures: int(min(max(b.Failures, 0), b.Ended)),
				Paced:    int(b.Paced),
				Pace:     float64(b.Pace) / 100,
			}
		}
	}
	return counts
}
