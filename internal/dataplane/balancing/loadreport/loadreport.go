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
	"damsontiller/internal/transport/loop"
)

// Params are the load report's times.
type Params struct {
	Interval     time.Duration // between two questions of an edge
	Timeout      time.Duration // for an answer, before the next in order is asked
	ReadInterval time.Duration // between two readings of the list by whoever counts
	Stale        time.Duration // a reading older than this is not waited with: the edge reads itself
	Expiry       time.Duration // an edge's word counts for so long
	// SingleCollector is the largest fleet, in edges, in which one edge counts for all.
	SingleCollector int
	// LoadRetention is how long an edge that reaches no collector goes by what it was told last.
	LoadRetention time.Duration
	ReadStagger   time.Duration // between two edges of a zone that read a stale list themselves
	MaxReadDelay  time.Duration // that an edge waits for the others
}

// DefaultParams are the design's.
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

// ListFunc reads the list of runners.
type ListFunc func(ctx context.Context) ([]endpoints.Runner, error)

// LoadReport counts, and asks whoever counts.
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
	lastRead time.Time             // when the last own reading was asked for
	// answeredAt is when a collector answered last; the reporting goroutine's own.
	answeredAt time.Time
	// runningSince is when this edge began to report: it has joined by then.
	runningSince time.Time
	body         []byte // the endpoint list as it is handed on
	sum          uint64
}

type edgeReport struct {
	receivedAt time.Time
	load       []*wire.Busy
}

// New makes a load report; list may be set until Run.
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

// Run asks and, where this edge is the one that counts, reads, until ctx ends.
func (report *LoadReport) Run(ctx context.Context, list ListFunc) {
	report.mu.Lock()
	report.discover, report.runningSince = list, time.Now()
	report.mu.Unlock()
	loop.Every(ctx, report.params.Interval, nil, report.step)
}

func (report *LoadReport) step(ctx context.Context) {
	counts := report.load.Watch.TakeCounts()
	own := report.own(counts)
	self := report.node.Peer.Self.Id
	order := singleton.Order(report.node.Cluster.Now(), report.node.Lease.Members())
	for i, m := range report.candidates(order) {
		if m.Id == self {
			report.collectHere(ctx, order, counts, i == 0)
			return
		}
		if report.report(ctx, m.Addr, own) {
			report.answeredAt = time.Now()
			report.refresh(ctx, report.params.Stale+report.turn(order))
			return
		}
	}
	report.load.Watch.RestoreCounts(counts)
	report.refresh(ctx, report.params.Stale+report.turn(order))
}

// collectHere is a step of an edge that is the first that answers: it counts. Where it is not
// the first of all whom it asks, and nobody reports to it, it knows less than it was told last.
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

// maxCandidates is how many edges of each kind are asked in one step.
const maxCandidates = 2

// candidates are those that this edge may report to, in the order in which it tries them: the
// first of all live edges, then the first of its own zone, in a large fleet the other way
// round. So an edge that is cut off from the other zones does not wait for all of their edges in
// turn, and comes to itself at last.
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
	return min(time.Duration(rank)*report.params.ReadStagger, report.params.MaxReadDelay)
}

func (report *LoadReport) own(counts map[string]outlier.Count) []*wire.Busy {
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
func (report *LoadReport) report(ctx context.Context, addr string, own []*wire.Busy) bool {
	sum, asked := report.rollSum(), time.Now()
	r, err := report.node.Peer.CallFor(
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
	report.adoptList(asked, sum, a)
	return true
}

// rollSum is the digest of the list that this edge has.
func (report *LoadReport) rollSum() uint64 {
	report.mu.Lock()
	defer report.mu.Unlock()
	return report.sum
}

// adoptList takes the list out of an answer to whoever had the one with that digest.
func (report *LoadReport) adoptList(asked time.Time, sum uint64, a *wire.LoadReportAck) {
	if a.GetRollAgeMs() < 0 {
		return
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

// others sums up what all but one have under way, as last received, other zones included.
func (report *LoadReport) others(but string) map[string]proxy.InFlight {
	all := report.reported(but)
	report.zones.addTo(all, report.params.Expiry)
	return all
}

// reported sums up what all but one of those that report here have under way.
func (report *LoadReport) reported(but string) map[string]proxy.InFlight {
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

// Reporters is how many edges have reported to this one within Expiry.
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
	a := &wire.LoadReportAck{RollAgeMs: -1}
	if q.GetLoadReport().GetZone() != "" {
		report.answerZone(q.GetLoadReport(), a)
	} else {
		report.answerEdge(q.Id, q.GetLoadReport(), a)
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

// answerEdge counts an edge's report, and tells it what the others have.
func (report *LoadReport) answerEdge(id string, q *wire.LoadReport, a *wire.LoadReportAck) {
	report.mu.Lock()
	report.reports[id] = edgeReport{time.Now(), q.GetOwn()}
	report.mu.Unlock()
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
	// Its own is not kept: it is known at the moment.
	for id, b := range report.load.Local() {
		x := o[id]
		o[id] = proxy.InFlight{Requests: x.Requests + b.Requests, Tokens: x.Tokens + b.Tokens}
	}
	for id, b := range o {
		a.Others = append(a.Others, &wire.Busy{Runner: id, Jobs: int32(b.Requests), Tokens: b.Tokens})
	}
}

// outcomesOf is what a report says of how jobs ended.
func outcomesOf(own []*wire.Busy) map[string]outlier.Count {
	counts := map[string]outlier.Count{}
	for _, b := range own {
		if b.Ended > 0 {
			counts[b.Runner] = outlier.Count{
				Ended:    int(b.Ended),
				Failures: int(b.Failures),
				Paced:    int(b.Paced),
				Pace:     float64(b.Pace) / 100,
			}
		}
	}
	return counts
}
