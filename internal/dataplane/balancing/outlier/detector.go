package outlier

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"damsontiller/internal/dataplane/balancing/endpoints"
)

// A window is a number of slots; counts older than the longest window go to the baseline.
const (
	slotLength = 500 * time.Millisecond
	slotCount  = 20
)

// windows are the evaluated window lengths in slots: a short window detects a sudden total
// failure quickly, a long one detects a runner that fails intermittently.
var windows = [...]int{slotCount, 6, 2}

// expectedCarry is the fraction of the rate estimates of a longer window that is added to the
// prior of the next shorter one, in which small differences in failures are random.
const expectedCarry = 0.3

// Detector decides for all edges which runners are outliers.
type Detector struct {
	params Params

	mu       sync.Mutex
	runners  map[string]*track
	services map[string]*baseline
	edges    map[string]time.Time // last report of each edge
	decided  time.Time            // of the last decision
	ejected  int                  // number of tracks with an ejection
	slow     map[string]float64
}

// ejection is the state of an ejected runner.
type ejection struct {
	rate             float64     // failure rate when it was ejected
	failedTrials     int         // since the ejection
	successfulTrials int         // since the last failed one
	next             time.Time   // of the next trial
	trials           []time.Time // start times of trials in progress
}

// NewDetector returns a detector without any reports.
func NewDetector(params Params) *Detector {
	d := &Detector{params: params}
	d.Reset()
	return d
}

// Reset drops all reports and decisions.
func (d *Detector) Reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runners = map[string]*track{}
	d.services = map[string]*baseline{}
	d.edges = map[string]time.Time{}
	d.decided, d.ejected, d.slow = time.Time{}, 0, nil
}

// Report adds the outcomes that an edge has counted since its last report.
func (d *Detector) Report(edge string, counts map[string]Count, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.edges[edge] = now
	for id, c := range counts {
		t := d.trackOf(id, now)
		if t.ejection != nil {
			if d.recordTrial(t.ejection, c, now); t.ejection.successfulTrials >= d.params.TrialsToReturn {
				d.readmit(t)
			}
			continue
		}
		t.advance(now, nil)
		t.window[t.slot%slotCount].add(c)
		if c.Failures > 0 {
			if t.failureEdges[0] != edge {
				t.failureEdges[1], t.failureTimes[1] = t.failureEdges[0], t.failureTimes[0]
			}
			t.failureEdges[0], t.failureTimes[0] = edge, now
		}
	}
}

// trackOf returns the track of a runner and creates it if needed.
func (d *Detector) trackOf(id string, now time.Time) *track {
	t := d.runners[id]
	if t == nil {
		t = &track{slot: slotOf(now)}
		d.runners[id] = t
	}
	return t
}

// setEjection ejects a runner that is not ejected.
func (d *Detector) setEjection(t *track, e ejection) {
	t.ejection = &e
	d.ejected++
}

// readmit returns an ejected runner to service, with an empty record.
func (d *Detector) readmit(t *track) {
	*t = track{slot: t.slot}
	d.ejected--
}

// forget drops the track of a runner that is no longer listed.
func (d *Detector) forget(id string) {
	if d.runners[id].ejection != nil {
		d.ejected--
	}
	delete(d.runners, id)
}

// recordTrial records outcomes of jobs at an ejected runner: of trials, and of jobs that were in
// progress when it was ejected.
func (d *Detector) recordTrial(e *ejection, c Count, now time.Time) {
	tried := len(e.trials) > 0
	e.trials = e.trials[min(c.Ended, len(e.trials)):]
	switch {
	case c.Failures > 0 && (tried || now.After(e.next)):
		e.failedTrials++
		e.successfulTrials, e.trials = 0, nil
		e.next = now.Add(d.retryDelay(e))
	case c.Failures == 0 && tried:
		e.successfulTrials += c.Ended
	}
}

// retryDelay returns the time until the next trial, with exponential backoff.
func (d *Detector) retryDelay(e *ejection) time.Duration {
	return min(d.params.Retry<<min(e.failedTrials, 10), d.params.MaxRetry)
}

// Adopt continues from the verdict of the previous collector, unless this detector has decided
// recently.
func (d *Detector) Adopt(ids []string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.decided) < d.params.VerdictLifetime {
		return
	}
	for _, id := range ids {
		if t := d.trackOf(id, now); t.ejection == nil {
			d.setEjection(t, ejection{next: now.Add(d.params.Retry)})
		}
	}
}

// Decide evaluates all runners on the list if Interval has passed since the last decision.
// inFlight returns the number of jobs in progress at each runner.
func (d *Detector) Decide(l *endpoints.List, inFlight func() map[string]int, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.decided) < d.params.Interval {
		return
	}
	d.decided = now
	load := inFlight()
	for e, at := range d.edges {
		if now.Sub(at) > d.params.VerdictLifetime {
			delete(d.edges, e)
		}
	}
	for id := range d.runners {
		if l.Get(id) == nil {
			d.forget(id)
		}
	}
	byService := map[string][]*endpoints.Runner{}
	for i := range l.Runners {
		if r := &l.Runners[i]; !r.Draining {
			byService[r.Service] = append(byService[r.Service], r)
		}
	}
	d.slow = nil
	for name, runners := range byService {
		b := d.services[name]
		if b == nil {
			b = &baseline{at: now}
			d.services[name] = b
		}
		b.decay(now)
		tracks := make([]*track, len(runners))
		for i, r := range runners {
			tracks[i] = d.trackOf(r.ID, now)
			tracks[i].advance(now, b)
		}
		d.eject(runners, tracks, b, load, now)
		d.findSlow(runners, tracks)
	}
}

// suspect is a candidate for ejection, by its index and failure rate.
type suspect struct {
	index int
	rate  float64
}

// eject updates the ejected runners of one service within the limits on their number and on the
// remaining capacity.
func (d *Detector) eject(
	runners []*endpoints.Runner,
	tracks []*track,
	b *baseline,
	load map[string]int,
	now time.Time,
) {
	var ejected []suspect
	capacity, total := 0.0, 0.0
	for i, t := range tracks {
		total += float64(load[runners[i].ID])
		if t.ejection == nil {
			capacity += float64(max(runners[i].Capacity, 1))
		} else {
			ejected = append(ejected, suspect{i, t.ejection.rate})
		}
	}
	maxEjected := min(max(int(d.params.MaxEjectedShare*float64(len(runners))), 1), len(runners)-1)
	// If runners have departed or the load has grown, return the least bad ones to service.
	slices.SortFunc(ejected, func(a, b suspect) int { return cmp.Compare(a.rate, b.rate) })
	for len(ejected) > 0 && (len(ejected) > maxEjected || capacity < total*d.params.Headroom) {
		t := tracks[ejected[0].index]
		capacity += float64(max(runners[ejected[0].index].Capacity, 1))
		d.readmit(t)
		ejected = ejected[1:]
	}
	for _, s := range d.suspects(tracks, b, now) {
		remaining := capacity - float64(max(runners[s.index].Capacity, 1))
		if len(ejected) >= maxEjected || remaining < total*d.params.Headroom {
			break
		}
		capacity = remaining
		ejected = append(ejected, s)
		d.setEjection(tracks[s.index], ejection{rate: s.rate, next: now.Add(d.params.Retry)})
		// The record starts again with the results of the trials.
		tracks[s.index].window = [slotCount]Count{}
	}
}

// suspects returns the runners that should be ejected, the worst first.
func (d *Detector) suspects(tracks []*track, b *baseline, now time.Time) []suspect {
	failureRates := map[int]float64{}
	initial := prior
	for _, w := range windows {
		var counts []Count
		var indices []int
		anyRepeated, ejected := false, 0
		for i, t := range tracks {
			if t.ejection != nil {
				ejected++
				continue
			}
			if c := t.sum(w); c.Ended > 0 {
				counts, indices = append(counts, c), append(indices, i)
				anyRepeated = anyRepeated || c.Failures > 1
			}
		}
		// Skip the estimate if no runner has more than one failure, which is the normal case.
		if !anyRepeated {
			continue
		}
		probabilities, estimate := mixture(counts, b.rate(), initial)
		for i := 1; i < failingRate; i++ {
			initial[i] = prior[i] + expectedCarry*estimate[i]
		}
		sum := float64(ejected)
		for _, s := range probabilities {
			sum += s
		}
		if sum > float64(len(counts)+ejected)/2 && len(counts)+ejected > 2 {
			// Most runners fail, so the fault is the service's and not that of single runners.
			continue
		}
		for k, c := range counts {
			if probabilities[k] >= d.params.Confidence &&
				tail(c.Ended, c.Failures, b.rate()) < d.params.FalsePositiveRate &&
				d.corroborated(tracks[indices[k]], now) {
				failureRates[indices[k]] = max(failureRates[indices[k]], float64(c.Failures)/float64(c.Ended))
			}
		}
	}
	var out []suspect
	for i, r := range failureRates {
		out = append(out, suspect{i, r})
	}
	slices.SortFunc(out, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.index, b.index))
	})
	return out
}

// corroborated reports whether two edges saw failures recently, or there is only one edge.
func (d *Detector) corroborated(t *track, now time.Time) bool {
	return len(d.edges) < 2 || t.failureEdges[1] != "" && now.Sub(t.failureTimes[1]) < slotCount*slotLength
}

// A slow runner lies at least deviations times the standard deviation above the median;
// minDeviation is a lower bound of the standard deviation. Both refer to log paces.
const (
	deviations   = 4
	minDeviation = 0.1
)

// madToDeviation converts the median absolute deviation of a normal distribution to its standard
// deviation.
const madToDeviation = 1.48

// The paces of a service are compared among runners with at least minPacedJobs paced jobs in the
// window, if there are minPacedRunners of these.
const (
	minPacedJobs    = 3
	minPacedRunners = 3
)

// findSlow finds the slow runners of a service, whose mean log pace exceeds the median by more than
// random variation explains. The deviation is estimated from the median absolute deviation.
func (d *Detector) findSlow(runners []*endpoints.Runner, tracks []*track) {
	for _, w := range windows[:2] {
		var counts []Count
		var means, paced []float64
		var indices []int
		for i, t := range tracks {
			if c := t.sum(w); c.Paced >= minPacedJobs {
				counts, indices = append(counts, c), append(indices, i)
				paced = append(paced, float64(c.Paced))
				means = append(means, c.Pace/float64(c.Paced))
			}
		}
		if len(means) < minPacedRunners {
			continue
		}
		sorted := slices.Clone(means)
		mid := median(sorted)
		for i := range sorted {
			sorted[i] = math.Abs(means[i] - mid)
		}
		deviation := max(madToDeviation*median(sorted), minDeviation)
		jobs := median(paced)
		for k, m := range means {
			excess := m - mid
			// The mean of fewer jobs has a larger variance.
			if excess < math.Log(d.params.SlowFactor) ||
				excess < deviations*deviation*max(1, math.Sqrt(jobs/float64(counts[k].Paced))) {
				continue
			}
			if d.slow == nil {
				d.slow = map[string]float64{}
			}
			id := runners[indices[k]].ID
			d.slow[id] = max(d.slow[id], math.Exp(excess))
		}
	}
}

// median returns the median of xs and sorts xs in place.
func median(xs []float64) float64 {
	slices.Sort(xs)
	return (xs[len(xs)/2] + xs[(len(xs)-1)/2]) / 2
}

// Verdict returns the verdict for one edge. Trials in it are assigned to that edge alone.
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

// allowTrial reports whether an edge may start a trial of an ejected runner. The number of
// concurrent trials is one more than the number of successful ones, so it doubles with each
// round without a failure.
func (d *Detector) allowTrial(e *ejection, now time.Time) bool {
	for len(e.trials) > 0 && now.Sub(e.trials[0]) > d.params.ResultTimeout {
		e.trials = e.trials[1:]
	}
	if now.Before(e.next) || len(e.trials) > e.successfulTrials {
		return false
	}
	e.trials = append(e.trials, now)
	return true
}
