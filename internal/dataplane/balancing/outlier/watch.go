package outlier

import (
	"math"
	"sync"
	"time"
)

// Watch holds the outcomes that one edge has observed of the runners, and the last verdict.
type Watch struct {
	params Params

	mu        sync.Mutex
	counts    map[string]Count        // outcomes not reported yet, by runner
	local     map[string]*localRecord // by runner
	typical   map[string]*typical     // by path
	ejected   map[string]bool
	trials    map[string]time.Time // expiry of each assigned trial, by runner
	slow      map[string]float64
	updatedAt time.Time // of the last verdict
}

// localRecord is the local failure record of one runner.
type localRecord struct {
	consecutive int       // failures in a row
	until       time.Time // end of the suspicion
	last        time.Time // last failure
}

// NewWatch returns an empty watch.
func NewWatch(params Params) *Watch {
	return &Watch{
		params:  params,
		counts:  map[string]Count{},
		local:   map[string]*localRecord{},
		typical: map[string]*typical{},
		ejected: map[string]bool{},
		trials:  map[string]time.Time{},
	}
}

// Duration is the duration of a job at its path: the time until the first byte, and the time
// between events if the answer has any.
type Duration struct {
	Path           string
	First, Between time.Duration
}

// Success counts a job that succeeded.
func (w *Watch) Success(id string, t Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.counts[id]
	c.Ended++
	if x, ok := w.pace(t); ok {
		c.Paced++
		c.Pace += x
	}
	w.counts[id] = c
	delete(w.local, id)
}

// Failure counts a job that failed through a fault of the runner.
func (w *Watch) Failure(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.counts[id]
	c.Ended++
	c.Failures++
	w.counts[id] = c
	failures := w.local[id]
	if failures == nil {
		failures = &localRecord{}
		w.local[id] = failures
	}
	failures.consecutive++
	failures.last = time.Now()
	failures.until = failures.last.Add(min(w.params.SuspectTime<<min(failures.consecutive-1, 10), w.params.MaxRetry))
}

// hangFactor is the minimum ratio of a stall to the median time to first byte to count as hung.
const hangFactor = 8

// Hung reports whether a stall is long enough, compared with the typical duration of the path, to
// count as a failure of the runner.
func (w *Watch) Hung(path string, idle time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.typical[path]
	return t != nil && t.n >= minSamples && idle >= w.params.MinHang &&
		idle.Seconds() > hangFactor*math.Exp(t.first.median)
}

// Suspicion is the degree to which this edge suspects a runner.
type Suspicion int

// The degrees of suspicion, in ascending order.
const (
	SuspicionNone     Suspicion = iota
	SuspicionOnce               // one recent failure
	SuspicionRepeated           // several consecutive failures
	SuspicionEjected            // ejected by the last verdict
)

// Suspicion returns the current suspicion of a runner. It ends earlier for repeatable jobs, which
// can safely probe the runner.
func (w *Watch) Suspicion(id string, repeatable bool) Suspicion {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.ejected) > 0 && w.ejected[id] && time.Since(w.updatedAt) < w.params.VerdictLifetime {
		return SuspicionEjected
	}
	failures := w.local[id]
	if failures == nil {
		return SuspicionNone
	}
	remaining := time.Until(failures.until)
	if repeatable {
		remaining -= failures.until.Sub(failures.last) / 2
	}
	switch {
	case remaining <= 0:
		return SuspicionNone
	case failures.consecutive == 1:
		return SuspicionOnce
	}
	return SuspicionRepeated
}

// Trial reports whether this edge should send a job to an ejected runner as a trial, and uses up
// the trial. Jobs that are not eager are refused during the first quarter of the trial time.
func (w *Watch) Trial(id string, eager bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	until, ok := w.trials[id]
	if !ok {
		return false
	}
	remaining := time.Until(until)
	if remaining > 0 && !eager && remaining > w.params.Trial*3/4 {
		return false
	}
	delete(w.trials, id)
	return remaining > 0
}

// Slow returns how many times slower than the others a runner is, or 1 if it is not slow.
func (w *Watch) Slow(id string) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.slow) == 0 || time.Since(w.updatedAt) > w.params.VerdictLifetime {
		return 1
	}
	return max(w.slow[id], 1)
}

// Update applies a verdict.
func (w *Watch) Update(v Verdict) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updatedAt = time.Now()
	clear(w.ejected)
	for _, e := range v.Ejected {
		w.ejected[e.ID] = true
		if e.Trial {
			w.trials[e.ID] = w.updatedAt.Add(w.params.Trial)
		}
	}
	for id := range w.trials {
		if !w.ejected[id] {
			delete(w.trials, id)
		}
	}
	w.slow = v.Slow
}

// Ejected returns the runners ejected by the last verdict, unless it has expired.
func (w *Watch) Ejected() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	if time.Since(w.updatedAt) < w.params.VerdictLifetime {
		for id := range w.ejected {
			out = append(out, id)
		}
	}
	return out
}

// TakeCounts returns and clears the outcomes counted since the last call.
func (w *Watch) TakeCounts() map[string]Count {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.counts) == 0 {
		return nil
	}
	out := w.counts
	w.counts = map[string]Count{}
	return out
}

// RestoreCounts adds back outcomes that could not be reported.
func (w *Watch) RestoreCounts(counts map[string]Count) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, c := range counts {
		c.add(w.counts[id])
		w.counts[id] = c
	}
}

// Retain drops the records of runners that are no longer listed.
func (w *Watch) Retain(listed func(id string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range w.local {
		if !listed(id) {
			delete(w.local, id)
		}
	}
	for id := range w.counts {
		if !listed(id) {
			delete(w.counts, id)
		}
	}
}

// typical holds the typical durations of a path on this edge.
type typical struct {
	first, between runningMedian
	n              int
}

// minSamples is the number of jobs from which the medians of a path are used.
const minSamples = 8

// runningMedian estimates the median of the logarithms of durations.
type runningMedian struct {
	median float64
	n      int
}

// update returns the difference between the logarithm of d and the median before d, and
// updates the median with a bounded step.
func (m *runningMedian) update(d time.Duration) float64 {
	x := math.Log(max(d.Seconds(), 1e-4))
	if m.n++; m.n == 1 {
		m.median = x
		return 0
	}
	difference := x - m.median
	m.median += math.Copysign(min(math.Abs(difference), max(1/float64(m.n), 0.04)), difference)
	return difference
}

// maxLogPace bounds the absolute log pace of a single job.
const maxLogPace = 3.5

// pace returns the logarithm of a job's duration relative to the typical duration of its path,
// and whether enough samples are known. It uses the lower of the paces of
// the first byte and of the events, since only a slow runner is slow in both.
func (w *Watch) pace(t Duration) (float64, bool) {
	if t.Path == "" || t.First <= 0 {
		return 0, false
	}
	m := w.typical[t.Path]
	if m == nil {
		m = &typical{}
		w.typical[t.Path] = m
	}
	m.n++
	x := m.first.update(t.First)
	if t.Between > 0 {
		x = min(x, m.between.update(t.Between))
	}
	return max(min(x, maxLogPace), -maxLogPace), m.n > minSamples
}
