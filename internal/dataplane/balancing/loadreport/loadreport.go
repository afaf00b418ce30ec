// Package loadreport is how loaded each runner is as reported by all edges, and which
// runners there are, at a cost that grows with edges and not with edges times
// runners: each edge tells one of them, the first live in order, what it has under
// way, and receives what all others have; that one alone reads the list of runners.
// Nothing that must hold rests on it, so it needs no epoch: two that count at once
// only count less well, and an edge that reaches nobody reads the list itself.
package loadreport

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"math"
	"sync"
	"time"

	"damsontiller/internal/coordination/node"
	"damsontiller/internal/coordination/singleton"
	"damsontiller/internal/dataplane/balancing/endpoints"
	"damsontiller/internal/dataplane/balancing/outlier"
	"damsontiller/internal/dataplane/quota"
	"damsontiller/internal/dataplane/request/proxy"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// Params are the load report's times.
type Params struct {
	Interval     time.Duration // between two questions of an edge
	Timeout      time.Duration // for an answer, before the next in order is asked
	ReadInterval time.Duration // between two readings of the list by whoever counts
	Stale        time.Duration // a reading older than this is not waited with: the edge reads itself
	Expiry       time.Duration // an edge's word counts for so long
	TurnInterval time.Duration // between two edges of a zone that read a stale list themselves
	LongestTurn  time.Duration // that an edge waits for the others
	// FirstGone is after how long without an answer of the first edge quotas are merged at
	// another: until then they go by what was heard last.
	FirstGone time.Duration
}

// DefaultParams are the design's.
var DefaultParams = Params{
	Interval:     250 * time.Millisecond,
	Timeout:      150 * time.Millisecond,
	ReadInterval: 900 * time.Millisecond,
	Stale:        1900 * time.Millisecond,
	Expiry:       time.Second,
	TurnInterval: 300 * time.Millisecond,
	LongestTurn:  900 * time.Millisecond,
	FirstGone:    time.Second,
}

// List reads the list of runners.
type List func(ctx context.Context) ([]endpoints.Runner, error)

// LoadReport counts, and asks whoever counts.
type LoadReport struct {
	params    Params
	node      *node.Node
	endpoints *endpoints.Store
	load      *proxy.Load
	discover  List
	outliers  *outlier.Detector
	quotas    *quota.Node
	merged    *quota.Collector

	firstAnsweredAt time.Time // the reporting goroutine's own
	startedAt       time.Time

	mu       sync.Mutex
	reports  map[string]edgeReport // by edge
	lastRead time.Time             // when the last own reading was asked for
	body     []byte                // the endpoint list as it is handed on
	sum      uint64
	// limits are the tenants' quotas under the version limitsOf.
	limits   map[string]quota.Limit
	limitsOf uint64
}

type edgeReport struct {
	receivedAt time.Time
	load       []*wire.Busy
}

// New makes a load report; list may be set until Run. The counts of quotas travel with it.
func New(p Params, n *node.Node, r *endpoints.Store, l *proxy.Load, q *quota.Node, c *quota.Collector) *LoadReport {
	report := &LoadReport{
		params:    p,
		node:      n,
		endpoints: r,
		load:      l,
		outliers:  outlier.NewDetector(outlier.DefaultParams),
		reports:   map[string]edgeReport{},
		quotas:    q,
		merged:    c,
		startedAt: time.Now(),
	}
	n.Peer.Handle(&wire.Req_LoadReport{}, report.collect)
	return report
}

// Run asks and, where this edge is the one that counts, reads, until ctx ends.
func (report *LoadReport) Run(ctx context.Context, list List) {
	report.mu.Lock()
	report.discover = list
	report.mu.Unlock()
	loop.Every(ctx, report.params.Interval, nil, report.step)
}

func (report *LoadReport) step(ctx context.Context) {
	counts := report.load.Watch.TakeCounts()
	own := report.own(counts)
	self := report.node.Peer.Self.Id
	order := singleton.Order(report.node.Cluster.Now(), report.node.Lease.Members())
	for _, m := range candidates(order, report.node.Peer.Self.Zone, self) {
		if m.Id == self {
			// This edge is the first that answers: it counts.
			report.load.UpdateRemote(report.others(m.Id))
			report.load.Watch.Update(report.judgeOutliers(m.Id, counts))
			used, at := report.quotas.Report(), time.Now()
			report.quotas.Merge(used, at, report.collectQuota(m.Id, m.Inc, used))
			report.refresh(ctx, report.params.ReadInterval)
			return
		}
		first := m.Id == order[0].Id
		if report.report(ctx, m.Addr, own, first || report.sinceFirst() > report.params.FirstGone) {
			if first {
				report.firstAnsweredAt = time.Now()
			}
			report.refresh(ctx, report.params.Stale+report.turn(order))
			return
		}
	}
	report.load.Watch.RestoreCounts(counts)
	report.refresh(ctx, report.params.Stale+report.turn(order))
}

// maxCandidates is how many edges of each kind are asked in one step.
const maxCandidates = 2

// candidates are those that an edge may report to, in the order in which it tries them: the
// first of all live edges, then the first of its own zone. So an edge that is cut off from the
// other zones does not wait for all of their edges in turn, and comes to itself at last.
func candidates(order []*wire.Member, zone, self string) []*wire.Member {
	var out []*wire.Member
	inZone := 0
	for i, m := range order {
		switch {
		case i < maxCandidates:
		case m.Zone == zone && inZone < maxCandidates:
			inZone++
		case m.Id == self:
		default:
			continue
		}
		if out = append(out, m); m.Id == self {
			break
		}
	}
	return out
}

// sinceFirst is for how long the first of all edges has not answered.
func (report *LoadReport) sinceFirst() time.Duration { return time.Since(report.firstAnsweredAt) }

// turn is how much longer than a stale reading takes to be noticed an edge waits before it
// reads the list itself: the first of each zone does at once, and hands the reading on before
// the others would. The platform takes only so many calls from all nodes together. No edge
// waits for longer than draining runners leave it time.
func (report *LoadReport) turn(order []*wire.Member) time.Duration {
	rank := 0
	for _, m := range order {
		if m.Id == report.node.Peer.Self.Id {
			break
		}
		if m.Zone == report.node.Peer.Self.Zone {
			rank++
		}
	}
	return min(time.Duration(rank)*report.params.TurnInterval, report.params.LongestTurn)
}

func (report *LoadReport) own(counts map[string]outlier.Count) []*wire.Busy {
	var out []*wire.Busy
	load := report.load.Own()
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

func withCounts(b *wire.Busy, c outlier.Count) *wire.Busy {
	b.Ended, b.Failures, b.Paced, b.Pace = int32(
		c.Ended,
	), int32(
		c.Failures,
	), int32(
		c.Paced,
	), int32(
		math.Round(100*c.Pace),
	)
	return b
}

// judgeOutliers takes what an edge has counted, and tells it of the outliers.
func (report *LoadReport) judgeOutliers(edge string, counts map[string]outlier.Count) outlier.Verdict {
	now := time.Now()
	report.outliers.Adopt(report.load.Watch.Ejected(), now)
	report.outliers.Report(edge, counts, now)
	report.outliers.Decide(report.endpoints.Current(), report.load.InFlight, now)
	return report.outliers.Verdict(now)
}

// report tells the one that counts, and receives.
func (report *LoadReport) report(ctx context.Context, addr string, own []*wire.Busy, withQuota bool) bool {
	report.mu.Lock()
	sum := report.sum
	report.mu.Unlock()
	asked := time.Now()
	var used *wire.QuotaReport
	if withQuota {
		used = report.quotas.Report()
	}
	r, err := report.node.Peer.CallFor(
		ctx,
		report.params.Timeout,
		addr,
		&wire.Req{Op: &wire.Req_LoadReport{LoadReport: &wire.LoadReport{Own: own, Roll: sum, Quota: used}}},
	)
	if err != nil {
		return false
	}
	a := r.GetLoadReport()
	if withQuota {
		report.quotas.Merge(used, asked, a.GetQuota())
	}
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
	if a.GetRollAgeMs() < 0 {
		return true
	}
	// The age was counted before the answer came, so this reading is no younger
	// than it is taken to be.
	at := asked.Add(-time.Duration(a.RollAgeMs) * time.Millisecond)
	switch {
	case len(a.Runners) > 0:
		report.adopt(at, a.Runners, a.Roll)
	case a.Roll == sum:
		report.endpoints.Confirm(at)
	}
	return true
}

func (report *LoadReport) adopt(at time.Time, body []byte, sum uint64) {
	var all []endpoints.Runner
	if err := json.Unmarshal(body, &all); err != nil {
		report.node.Log.Warn("endpoint list not applied", "err", err)
		return
	}
	report.publish(at, all, body, sum)
}

func (report *LoadReport) publish(at time.Time, all []endpoints.Runner, body []byte, sum uint64) {
	if report.endpoints.Replace(endpoints.NewList(at, all)) {
		report.mu.Lock()
		report.body, report.sum = body, sum
		report.mu.Unlock()
	}
}

// refresh reads the list where the last reading is older than d.
func (report *LoadReport) refresh(ctx context.Context, d time.Duration) {
	report.mu.Lock()
	list, last := report.discover, report.lastRead
	readAt := report.endpoints.Current().ReadAt
	if readAt.IsZero() && d > report.params.ReadInterval {
		// Nobody has had the time yet to hand on what the first edge has read.
		readAt = report.startedAt.Add(-report.params.Stale)
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
		report.node.Log.Warn("list of runners not read", "err", err)
		return
	}
	l := endpoints.NewList(at, all)
	body, err := json.Marshal(roundWarmup(l.Runners))
	if err != nil {
		report.node.Log.Warn("list of runners not forwarded", "err", err)
		return
	}
	h := fnv.New64a()
	h.Write(body)
	report.publish(at, l.Runners, body, h.Sum64())
}

// roundWarmup is the endpoint list with warm-up times rounded up, so that a runner that warms up
// does not make a new endpoint list of each reading.
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

// collectQuota merges what a node has counted of quotas.
func (report *LoadReport) collectQuota(id string, incarnation uint64, used *wire.QuotaReport) *wire.QuotaNews {
	var fleet quota.Fleet
	for _, m := range report.node.Lease.Members() {
		if m.Role == "edge" {
			fleet = append(fleet, m.Id)
		}
	}
	return report.merged.Collect(id, incarnation, used, fleet, report.limitOf)
}

// limitOf is the quota of a tenant, by the table in force here.
func (report *LoadReport) limitOf(tenant string) quota.Limit {
	view := report.node.Cluster.Now()
	report.mu.Lock()
	defer report.mu.Unlock()
	if report.limitsOf != view.Version {
		report.limits, report.limitsOf = map[string]quota.Limit{}, view.Version
		for _, t := range view.Table.Tenants {
			report.limits[t.Name] = quota.Limit{RatePerS: t.RatePerS, Burst: t.Burst}
		}
	}
	return report.limits[tenant]
}

// others sums up what all but one have under way, as last received.
func (report *LoadReport) others(but string) map[string]proxy.InFlight {
	report.mu.Lock()
	defer report.mu.Unlock()
	out := map[string]proxy.InFlight{}
	for id, w := range report.reports {
		if time.Since(w.receivedAt) > report.params.Expiry {
			delete(report.reports, id)
			continue
		}
		if id == but {
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

func loadOf(bs []*wire.Busy) map[string]proxy.InFlight {
	out := make(map[string]proxy.InFlight, len(bs))
	for _, b := range bs {
		out[b.Runner] = proxy.InFlight{Requests: int(b.Jobs), Tokens: b.Tokens}
	}
	return out
}

// collect is the side that counts.
func (report *LoadReport) collect(_ context.Context, q *wire.Req) (*wire.Resp, error) {
	if q.Id == "" {
		return nil, code.New(code.Garbled, "a load report of nobody")
	}
	report.mu.Lock()
	report.reports[q.Id] = edgeReport{time.Now(), q.GetLoadReport().GetOwn()}
	report.mu.Unlock()
	counts := map[string]outlier.Count{}
	for _, b := range q.GetLoadReport().GetOwn() {
		if b.Ended > 0 {
			counts[b.Runner] = outlier.Count{
				Ended:    int(b.Ended),
				Failures: int(b.Failures),
				Paced:    int(b.Paced),
				Pace:     float64(b.Pace) / 100,
			}
		}
	}
	a := &wire.LoadReportAck{RollAgeMs: -1}
	v := report.judgeOutliers(q.Id, counts)
	for _, e := range v.Ejected {
		a.Outliers = append(a.Outliers, &wire.Outlier{Runner: e.ID, Ejected: true, Trial: e.Trial})
	}
	for id, x := range v.Slow {
		a.Outliers = append(a.Outliers, &wire.Outlier{Runner: id, Slow: int32(100 * x)})
	}
	o := report.others(q.Id)
	// Its own is not kept: it is known at the moment.
	for id, b := range report.load.Own() {
		x := o[id]
		o[id] = proxy.InFlight{Requests: x.Requests + b.Requests, Tokens: x.Tokens + b.Tokens}
	}
	for id, b := range o {
		a.Others = append(a.Others, &wire.Busy{Runner: id, Jobs: int32(b.Requests), Tokens: b.Tokens})
	}
	if used := q.GetLoadReport().GetQuota(); used != nil {
		a.Quota = report.collectQuota(q.Id, q.Inc, used)
	}
	report.mu.Lock()
	defer report.mu.Unlock()
	if l := report.endpoints.Current(); len(report.body) > 0 {
		a.Roll, a.RollAgeMs = report.sum, time.Since(l.ReadAt).Milliseconds()
		if a.Roll != q.GetLoadReport().GetRoll() {
			a.Runners = report.body
		}
	}
	return &wire.Resp{Op: &wire.Resp_LoadReport{LoadReport: a}}, nil
}
