// Package loadreport is how busy each runner is by the word of all edges, and which
// runners there are, at a cost that grows with edges and not with edges times
// runners: each edge tells one of them, the first live in order, what it has under
// way, and hears what all others have; that one alone reads the list of runners.
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
	"damsontiller/internal/dataplane/endpoints"
	"damsontiller/internal/dataplane/outlier"
	"damsontiller/internal/dataplane/proxy"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// Params are the load report's times.
type Params struct {
	Ask   time.Duration // between two questions of an edge
	Wait  time.Duration // for an answer, before the next in order is asked
	Read  time.Duration // between two readings of the list by whoever counts
	Stale time.Duration // a reading older than this is not waited with: the edge reads itself
	Count time.Duration // an edge's word counts for so long
}

// DefaultParams are the design's.
var DefaultParams = Params{Ask: 250 * time.Millisecond, Wait: 150 * time.Millisecond, Read: 900 * time.Millisecond, Stale: 1900 * time.Millisecond, Count: time.Second}

// List reads the list of runners.
type List func(ctx context.Context) ([]endpoints.Runner, error)

// LoadReport counts, and asks whoever counts.
type LoadReport struct {
	p    Params
	n    *node.Node
	roll *endpoints.Roll
	load *proxy.Load
	list List
	out  *outlier.Detector

	mu    sync.Mutex
	heard map[string]word // by edge
	read  time.Time       // when the last own reading was asked for
	body  []byte          // the roll as it is handed on
	sum   uint64
}

type word struct {
	at  time.Time
	own []*wire.Busy
}

// New makes a load report; list may be set until Run.
func New(p Params, n *node.Node, r *endpoints.Roll, l *proxy.Load) *LoadReport {
	t := &LoadReport{p: p, n: n, roll: r, load: l, out: outlier.NewDetector(outlier.DefaultParams), heard: map[string]word{}}
	n.Peer.Handle(&wire.Req_LoadReport{}, t.answer)
	return t
}

// Run asks and, where this edge is the one that counts, reads, until ctx ends.
func (t *LoadReport) Run(ctx context.Context, list List) {
	t.mu.Lock()
	t.list = list
	t.mu.Unlock()
	loop.Every(ctx, t.p.Ask, nil, t.step)
}

func (t *LoadReport) step(ctx context.Context) {
	counts := t.load.Watch.Take()
	own := t.own(counts)
	for _, m := range singleton.Order(t.n.Cluster.Now(), t.n.Lease.Members()) {
		if m.Id == t.n.Peer.Self.Id {
			// This edge is the first that answers: it counts.
			t.load.Hear(t.others(m.Id))
			t.load.Watch.Hear(t.judge(m.Id, counts))
			t.fresh(ctx, t.p.Read)
			return
		}
		if t.ask(ctx, m.Addr, own) {
			t.fresh(ctx, t.p.Stale)
			return
		}
	}
	t.load.Watch.Return(counts)
	t.fresh(ctx, t.p.Stale)
}

func (t *LoadReport) own(counts map[string]outlier.Count) []*wire.Busy {
	var out []*wire.Busy
	busy := t.load.Own()
	for id, b := range busy {
		out = append(out, counted(&wire.Busy{Runner: id, Jobs: int32(b.N), Tokens: b.Tokens}, counts[id]))
	}
	for id, c := range counts {
		if _, ok := busy[id]; !ok {
			out = append(out, counted(&wire.Busy{Runner: id}, c))
		}
	}
	return out
}

func counted(b *wire.Busy, c outlier.Count) *wire.Busy {
	b.Ended, b.Failures, b.Paced, b.Pace = int32(c.Ended), int32(c.Failures), int32(c.Paced), int32(math.Round(100*c.Pace))
	return b
}

// judge takes what an edge has counted, and tells it of the outliers.
func (t *LoadReport) judge(edge string, counts map[string]outlier.Count) outlier.Verdict {
	now := time.Now()
	t.out.Adopt(t.load.Watch.Ejected(), now)
	t.out.Tell(edge, counts, now)
	t.out.Decide(t.roll.Now(), t.load.UnderWay, now)
	return t.out.Verdict(now)
}

// ask tells the one that counts, and hears.
func (t *LoadReport) ask(ctx context.Context, addr string, own []*wire.Busy) bool {
	t.mu.Lock()
	sum := t.sum
	t.mu.Unlock()
	asked := time.Now()
	r, err := t.n.Peer.CallFor(ctx, t.p.Wait, addr, &wire.Req{Op: &wire.Req_LoadReport{LoadReport: &wire.LoadReport{Own: own, Roll: sum}}})
	if err != nil {
		return false
	}
	a := r.GetLoadReport()
	t.load.Hear(busy(a.GetOthers()))
	v := outlier.Verdict{Slow: map[string]float64{}}
	for _, o := range a.GetOutliers() {
		if o.Ejected {
			v.Ejected = append(v.Ejected, outlier.Ejected{ID: o.Runner, Trial: o.Trial})
		}
		if o.Slow > 0 {
			v.Slow[o.Runner] = float64(o.Slow) / 100
		}
	}
	t.load.Watch.Hear(v)
	if a.GetRollAgeMs() < 0 {
		return true
	}
	// The age was counted before the answer came, so this reading is no younger
	// than it is taken to be.
	at := asked.Add(-time.Duration(a.RollAgeMs) * time.Millisecond)
	switch {
	case len(a.Runners) > 0:
		t.take(at, a.Runners, a.Roll)
	case a.Roll == sum:
		t.roll.Touch(at)
	}
	return true
}

func (t *LoadReport) take(at time.Time, body []byte, sum uint64) {
	var all []endpoints.Runner
	if err := json.Unmarshal(body, &all); err != nil {
		t.n.Log.Warn("roll not taken", "err", err)
		return
	}
	t.set(at, all, body, sum)
}

func (t *LoadReport) set(at time.Time, all []endpoints.Runner, body []byte, sum uint64) {
	if t.roll.Take(endpoints.NewList(at, all)) {
		t.mu.Lock()
		t.body, t.sum = body, sum
		t.mu.Unlock()
	}
}

// fresh reads the list where the last reading is older than d.
func (t *LoadReport) fresh(ctx context.Context, d time.Duration) {
	t.mu.Lock()
	list, last := t.list, t.read
	if list == nil || time.Since(t.roll.Now().At) < d || time.Since(last) < t.p.Read/3 {
		t.mu.Unlock()
		return
	}
	t.read = time.Now()
	t.mu.Unlock()
	at := time.Now()
	all, err := list(ctx)
	if err != nil {
		t.n.Log.Warn("list of runners not read", "err", err)
		return
	}
	l := endpoints.NewList(at, all)
	body, err := json.Marshal(settled(l.All))
	if err != nil {
		t.n.Log.Warn("list of runners not handed on", "err", err)
		return
	}
	h := fnv.New64a()
	h.Write(body)
	t.set(at, l.All, body, h.Sum64())
}

// settled is the roll with fresh times rounded up, so that a runner that warms up
// does not make a new roll of each reading.
func settled(all []endpoints.Runner) []endpoints.Runner {
	out := make([]endpoints.Runner, len(all))
	copy(out, all)
	for i := range out {
		if out[i].ColdMs > 0 {
			out[i].ColdMs = (out[i].ColdMs + 999) / 1000 * 1000
		}
	}
	return out
}

// others sums up what all but one have under way, as last heard.
func (t *LoadReport) others(but string) map[string]proxy.Busy {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]proxy.Busy{}
	for id, w := range t.heard {
		if time.Since(w.at) > t.p.Count {
			delete(t.heard, id)
			continue
		}
		if id == but {
			continue
		}
		for _, b := range w.own {
			if b.Jobs == 0 {
				continue
			}
			o := out[b.Runner]
			out[b.Runner] = proxy.Busy{N: o.N + int(b.Jobs), Tokens: o.Tokens + b.Tokens}
		}
	}
	return out
}

func busy(bs []*wire.Busy) map[string]proxy.Busy {
	out := make(map[string]proxy.Busy, len(bs))
	for _, b := range bs {
		out[b.Runner] = proxy.Busy{N: int(b.Jobs), Tokens: b.Tokens}
	}
	return out
}

// answer is the side that counts.
func (t *LoadReport) answer(_ context.Context, q *wire.Req) (*wire.Resp, error) {
	if q.Id == "" {
		return nil, code.New(code.Garbled, "a load report of nobody")
	}
	t.mu.Lock()
	t.heard[q.Id] = word{time.Now(), q.GetLoadReport().GetOwn()}
	t.mu.Unlock()
	counts := map[string]outlier.Count{}
	for _, b := range q.GetLoadReport().GetOwn() {
		if b.Ended > 0 {
			counts[b.Runner] = outlier.Count{Ended: int(b.Ended), Failures: int(b.Failures), Paced: int(b.Paced), Pace: float64(b.Pace) / 100}
		}
	}
	a := &wire.LoadReportAck{RollAgeMs: -1}
	v := t.judge(q.Id, counts)
	for _, e := range v.Ejected {
		a.Outliers = append(a.Outliers, &wire.Outlier{Runner: e.ID, Ejected: true, Trial: e.Trial})
	}
	for id, x := range v.Slow {
		a.Outliers = append(a.Outliers, &wire.Outlier{Runner: id, Slow: int32(100 * x)})
	}
	o := t.others(q.Id)
	// Its own is not kept: it is known at the moment.
	for id, b := range t.load.Own() {
		x := o[id]
		o[id] = proxy.Busy{N: x.N + b.N, Tokens: x.Tokens + b.Tokens}
	}
	for id, b := range o {
		a.Others = append(a.Others, &wire.Busy{Runner: id, Jobs: int32(b.N), Tokens: b.Tokens})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.roll.Now(); len(t.body) > 0 {
		a.Roll, a.RollAgeMs = t.sum, time.Since(l.At).Milliseconds()
		if a.Roll != q.GetLoadReport().GetRoll() {
			a.Runners = t.body
		}
	}
	return &wire.Resp{Op: &wire.Resp_LoadReport{LoadReport: a}}, nil
}
