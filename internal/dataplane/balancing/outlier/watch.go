package outlier

import (
	"math"
	"sync"
	"time"
)

// Watch is what one edge saw of the runners, and what it seen them.
type Watch struct {
	params Params

	mu        sync.Mutex
	counts    map[string]Count // not reported yet
	local     map[string]*local
	typical   map[string]*typical // by path
	ejected   map[string]bool
	trials    map[string]time.Time // may be tried until
	slow      map[string]float64
	updatedAt time.Time
}

// local is what this edge saw of one runner.
type local struct {
	consecutive int // failures in a row
	until       time.Time
	last        time.Time
}

// NewWatch makes a watch that saw nothing.
func NewWatch(params Params) *Watch {
	return &Watch{
		params:  params,
		counts:  map[string]Count{},
		local:   map[string]*local{},
		typical: map[string]*typical{},
		ejected: map[string]bool{},
		trials:  map[string]time.Time{},
	}
}

// Duration is how long a job took: until its first byte, and between its events where it
// has some.
type Duration struct {
	Path           string
	First, Between time.Duration
}

// Success counts a job that ended as it should.
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

// Failure counts a job that the runner failed.
func (w *Watch) Failure(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.counts[id]
	c.Ended++
	c.Failures++
	w.counts[id] = c
	o := w.local[id]
	if o == nil {
		o = &local{}
		w.local[id] = o
	}
	o.consecutive++
	o.last = time.Now()
	o.until = o.last.Add(min(w.params.SuspectTime<<min(o.consecutive-1, 10), w.params.MaxRetry))
}

// Hung reports whether a stall is the runner's: one much longer than is typical.
func (w *Watch) Hung(path string, idle time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.typical[path]
	return t != nil && t.n >= minSamples && idle >= w.params.MinHang && idle.Seconds() > 8*math.Exp(t.first.median)
}

// Suspicion is how much this edge suspects a runner.
type Suspicion int

// The suspects.
const (
	SuspicionNone     Suspicion = iota
	SuspicionOnce               // one failure just now
	SuspicionRepeated           // several in a row
	SuspicionEjected            // ejected, as reported by all
)

// Suspicion tells how much a runner is to be kept away from. What may be repeated may
// go there again earlier, and finds out.
func (w *Watch) Suspicion(id string, repeatable bool) Suspicion {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.ejected) > 0 && w.ejected[id] && time.Since(w.updatedAt) < w.params.VerdictLifetime {
		return SuspicionEjected
	}
	o := w.local[id]
	if o == nil {
		return SuspicionNone
	}
	left := time.Until(o.until)
	if repeatable {
		left -= o.until.Sub(o.last) / 2
	}
	switch {
	case left <= 0:
		return SuspicionNone
	case o.consecutive == 1:
		return SuspicionOnce
	}
	return SuspicionRepeated
}

// Trial reports whether this edge is to try an ejected runner; eager is a job that
// suits, others wait for a quarter of the time. It is then tried.
func (w *Watch) Trial(id string, eager bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	until, ok := w.trials[id]
	if !ok {
		return false
	}
	left := time.Until(until)
	if left > 0 && !eager && left > w.params.Trial*3/4 {
		return false
	}
	delete(w.trials, id)
	return left > 0
}

// Slow is how many times slower than the others a runner is; 1 where it is not.
func (w *Watch) Slow(id string) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.slow) == 0 || time.Since(w.updatedAt) > w.params.VerdictLifetime {
		return 1
	}
	return max(w.slow[id], 1)
}

// Update takes a verdict.
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

// Ejected lists whom the last verdict ejected.
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

// TakeCounts gives what was counted since it was last called.
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

// RestoreCounts gives back what could not be reported.
func (w *Watch) RestoreCounts(cs map[string]Count) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, c := range cs {
		c.add(w.counts[id])
		w.counts[id] = c
	}
}

// Retain forgets runners that are not on the list any more.
func (w *Watch) Retain(on func(id string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range w.local {
		if !on(id) {
			delete(w.local, id)
		}
	}
	for id := range w.counts {
		if !on(id) {
			delete(w.counts, id)
		}
	}
}

// typical is what is usual of a path on this edge.
type typical struct {
	first, between runningMedian
	n              int
}

// minSamples jobs make a path's middle known.
const minSamples = 8

// runningMedian follows the median of logarithms.
type runningMedian struct {
	median float64
	n      int
}

// deviation gives how far a time is from the middle so far, which it moves.
func (m *runningMedian) deviation(d time.Duration) float64 {
	x := math.Log(max(d.Seconds(), 1e-4))
	if m.n++; m.n == 1 {
		m.median = x
		return 0
	}
	off := x - m.median
	m.median += math.Copysign(min(math.Abs(off), max(1/float64(m.n), 0.04)), off)
	return off
}

// maxPaceWeight bounds one job's weight in a runner's pace.
const maxPaceWeight = 3.5

// pace tells how a job's time is to what is typical of its path: of its first byte
// and its events whichever is better, for only a runner that is slow is late with both.
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
	x := m.first.deviation(t.First)
	if t.Between > 0 {
		x = min(x, m.between.deviation(t.Between))
	}
	return max(min(x, maxPaceWeight), -maxPaceWeight), m.n > minSamples
}
