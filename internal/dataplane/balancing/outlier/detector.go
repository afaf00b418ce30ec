package outlier

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"damsontiller/internal/dataplane/balancing/endpoints"
)

// A window is some slots long; counts older than the longest are base rate.
const (
	slotLength = 500 * time.Millisecond
	slotCount  = 20
)

// windows that are judged: a short one sees a runner that fails all at once, a long
// one that fails now and then.
var windows = [...]int{slotCount, 6, 2}

// expectedCarry is the part of an even fault seen in a longer window that is expected in a
// shorter one, where a few failures more or less are chance.
const expectedCarry = 0.3

// Detector decides for all edges.
type Detector struct {
	params Params

	mu       sync.Mutex
	runners  map[string]*track
	services map[string]*baseline
	edges    map[string]time.Time // received lately
	decided  time.Time
	ejected  int
	slow     map[string]float64
}

type ejection struct {
	rate   float64 // of failures when it was ejected
	fails  int     // trials that failed since
	good   int     // trials without a failure since
	next   time.Time
	trials []time.Time // under way, by when they were given out
}

// NewDetector makes a detector that has received nothing.
func NewDetector(params Params) *Detector {
	return &Detector{
		params:   params,
		runners:  map[string]*track{},
		services: map[string]*baseline{},
		edges:    map[string]time.Time{},
	}
}

// Report takes what an edge has counted since it last reported.
func (d *Detector) Report(edge string, cs map[string]Count, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.edges[edge] = now
	for id, c := range cs {
		t := d.of(id, now)
		if t.ejection != nil {
			if d.trial(t.ejection, c, now); t.ejection.good >= d.params.TrialsToReturn {
				// It begins anew.
				*t = track{at: t.at}
				d.ejected--
			}
			continue
		}
		t.move(now, nil)
		t.window[t.at%slotCount].add(c)
		if c.Failures > 0 {
			if t.by[0] != edge {
				t.by[1], t.when[1] = t.by[0], t.when[0]
			}
			t.by[0], t.when[0] = edge, now
		}
	}
}

func (d *Detector) of(id string, now time.Time) *track {
	t := d.runners[id]
	if t == nil {
		t = &track{at: slotOf(now)}
		d.runners[id] = t
	}
	return t
}

// trial takes what came of jobs at an ejected runner: the trials, and what was under
// way there when it was ejected.
func (d *Detector) trial(e *ejection, c Count, now time.Time) {
	tried := len(e.trials) > 0
	e.trials = e.trials[min(c.Ended, len(e.trials)):]
	switch {
	case c.Failures > 0 && (tried || now.After(e.next)):
		e.fails++
		e.good, e.trials = 0, nil
		e.next = now.Add(d.wait(e))
	case c.Failures == 0 && tried:
		e.good += c.Ended
	}
}

func (d *Detector) wait(e *ejection) time.Duration {
	return min(d.params.Retry<<min(e.fails, 10), d.params.MaxRetry)
}

// Adopt goes on from the verdict of whoever counted before.
func (d *Detector) Adopt(ids []string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.decided) < d.params.VerdictLifetime {
		return
	}
	for _, id := range ids {
		if t := d.of(id, now); t.ejection == nil {
			t.ejection = &ejection{next: now.Add(d.params.Retry)}
		}
	}
}

// Decide judges all runners on the list, where some time has passed since it last
// did. UnderWay is how many jobs each has.
func (d *Detector) Decide(l *endpoints.List, underWay func() map[string]int, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.decided) < d.params.Interval {
		return
	}
	d.decided = now
	load := underWay()
	for e, at := range d.edges {
		if now.Sub(at) > d.params.VerdictLifetime {
			delete(d.edges, e)
		}
	}
	for id := range d.runners {
		if l.Get(id) == nil {
			delete(d.runners, id)
		}
	}
	byService := map[string][]*endpoints.Runner{}
	for i := range l.Runners {
		if r := &l.Runners[i]; !r.Draining {
			byService[r.Service] = append(byService[r.Service], r)
		}
	}
	d.slow, d.ejected = nil, 0
	for name, rs := range byService {
		b := d.services[name]
		if b == nil {
			b = &baseline{at: now}
			d.services[name] = b
		}
		b.fade(now)
		ts := make([]*track, len(rs))
		for i, r := range rs {
			ts[i] = d.of(r.ID, now)
			ts[i].move(now, b)
		}
		d.eject(rs, ts, b, load, now)
		d.findSlow(rs, ts)
	}
}

// suspect is a runner that is surely one that fails often.
type suspect struct {
	i    int
	rate float64
}

func (d *Detector) eject(rs []*endpoints.Runner, ts []*track, b *baseline, load map[string]int, now time.Time) {
	var out []suspect
	capacity, total := 0.0, 0.0
	for i, t := range ts {
		total += float64(load[rs[i].ID])
		if t.ejection == nil {
			capacity += float64(max(rs[i].Capacity, 1))
		} else {
			out = append(out, suspect{i, t.ejection.rate})
		}
	}
	most := min(max(int(d.params.MaxEjectedShare*float64(len(rs))), 1), len(rs)-1)
	// Where runners have left or load has come, the least bad ones are needed.
	slices.SortFunc(out, func(a, b suspect) int { return cmp.Compare(a.rate, b.rate) })
	for len(out) > 0 && (len(out) > most || capacity < total*d.params.Headroom) {
		t := ts[out[0].i]
		capacity += float64(max(rs[out[0].i].Capacity, 1))
		*t = track{at: t.at}
		out = out[1:]
	}
	for _, s := range d.suspects(ts, b, now) {
		left := capacity - float64(max(rs[s.i].Capacity, 1))
		if len(out) >= most || left < total*d.params.Headroom {
			break
		}
		capacity = left
		out = append(out, s)
		ts[s.i].ejection = &ejection{rate: s.rate, next: now.Add(d.params.Retry)}
		// What the trials bring begins a new record.
		ts[s.i].window = [slotCount]Count{}
	}
	d.ejected += len(out)
}

// suspects finds the runners to eject, the worst first.
func (d *Detector) suspects(ts []*track, b *baseline, now time.Time) []suspect {
	all := map[int]float64{}
	pri := prior
	for _, w := range windows {
		var cs []Count
		var at []int
		bad, departed := false, 0
		for i, t := range ts {
			if t.ejection != nil {
				departed++
				continue
			}
			if c := t.sum(w); c.Ended > 0 {
				cs, at = append(cs, c), append(at, i)
				bad = bad || c.Failures > 1
			}
		}
		// On an ordinary day nothing is reckoned.
		if !bad {
			continue
		}
		sure, like := mixture(cs, b.rate(), pri)
		for i := 1; i < failingRate; i++ {
			pri[i] = prior[i] + expectedCarry*like[i]
		}
		sum := float64(departed)
		for _, s := range sure {
			sum += s
		}
		if sum > float64(len(cs)+departed)/2 && len(cs)+departed > 2 {
			// Most are alike: it is the service's fault, and no runner's.
			continue
		}
		for k, c := range cs {
			if sure[k] >= d.params.Confidence && tail(c.Ended, c.Failures, b.rate()) < d.params.FalsePositiveRate &&
				d.corroborated(ts[at[k]], now) {
				all[at[k]] = max(all[at[k]], float64(c.Failures)/float64(c.Ended))
			}
		}
	}
	var out []suspect
	for i, r := range all {
		out = append(out, suspect{i, r})
	}
	slices.SortFunc(out, func(a, b suspect) int { return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.i, b.i)) })
	return out
}

// corroborated reports whether two edges saw failures, where there are two.
func (d *Detector) corroborated(t *track, now time.Time) bool {
	return len(d.edges) < 2 || t.by[1] != "" && now.Sub(t.when[1]) < slotCount*slotLength
}

// far is how many times as far from the middle as most runners are one must be; least
// is how far they are at the least.
const (
	deviations   = 4
	minDeviation = 0.1
)

// findSlow finds the slow runners of a service: farther behind the middle than chance has
// it.
func (d *Detector) findSlow(rs []*endpoints.Runner, ts []*track) {
	for _, w := range windows[:2] {
		var cs []Count
		var means, paced []float64
		var at []int
		for i, t := range ts {
			if c := t.sum(w); c.Paced >= 3 {
				cs, at = append(cs, c), append(at, i)
				paced = append(paced, float64(c.Paced))
				means = append(means, c.Pace/float64(c.Paced))
			}
		}
		if len(means) < 3 {
			continue
		}
		sorted := slices.Clone(means)
		mid := median(sorted)
		for i := range sorted {
			sorted[i] = math.Abs(means[i] - mid)
		}
		maxPaceWeight := max(1.48*median(sorted), minDeviation)
		jobs := median(paced)
		for k, m := range means {
			over := m - mid
			// The mean of fewer jobs strays farther.
			if over < math.Log(d.params.SlowFactor) ||
				over < deviations*maxPaceWeight*max(1, math.Sqrt(jobs/float64(cs[k].Paced))) {
				continue
			}
			if d.slow == nil {
				d.slow = map[string]float64{}
			}
			id := rs[at[k]].ID
			d.slow[id] = max(d.slow[id], math.Exp(over))
		}
	}
}

// median sorts xs.
func median(xs []float64) float64 {
	slices.Sort(xs)
	return (xs[len(xs)/2] + xs[(len(xs)-1)/2]) / 2
}

// Verdict is what an edge is to receive. It may hold trials, which are the edge's own.
func (d *Detector) Verdict(now time.Time) Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := Verdict{Slow: d.slow}
	if d.ejected == 0 {
		return v
	}
	for id, t := range d.runners {
		if e := t.ejection; e != nil {
			v.Ejected = append(v.Ejected, Ejected{ID: id, Trial: d.allowTrial(e, now)})
		}
	}
	return v
}

// allowTrial reports whether an edge may try an ejected runner: one job at a time, and twice
// as many after each round without a failure.
func (d *Detector) allowTrial(e *ejection, now time.Time) bool {
	for len(e.trials) > 0 && now.Sub(e.trials[0]) > d.params.ResultTimeout {
		e.trials = e.trials[1:]
	}
	if now.Before(e.next) || len(e.trials) > e.good {
		return false
	}
	e.trials = append(e.trials, now)
	return true
}
