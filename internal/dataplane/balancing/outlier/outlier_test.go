package outlier

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"damsontiller/internal/dataplane/balancing/endpoints"
)

// fleet simulates a service at peak load: jobs arrive at its runners at random, each through one of
// the edges, and every edge reports four times per second.
type fleet struct {
	edges, runners, capacity int
	jobsPerS                 float64 // jobs per second and runner
	params                   Params
	fails                    func(runner int, at time.Duration) float64 // failure probability
	pace                     func(runner int, at time.Duration) float64 // factor over the typical duration; nil for 1
	failure                  func(edge, runner int) bool                // whether a runner fails all jobs of this edge

	d         *Detector
	list      *endpoints.List
	random    *rand.Rand
	counts    []map[string]Count // by edge, since its last report
	trials    []map[string]bool
	ejected   map[string]bool
	slow      map[string]float64
	ejections int // total number of ejections
}

// andina and tsehay have the sizes and job rates of the two sites after their growth.
func andina() *fleet { return &fleet{edges: 47, runners: 72, capacity: 12, jobsPerS: 5.5} }
func tsehay() *fleet { return &fleet{edges: 64, runners: 60, capacity: 32, jobsPerS: 10} }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (f *fleet) id(i int) string { return fmt.Sprintf("i-%03d", i) }

func (f *fleet) start(seed uint64) {
	if f.params == (Params{}) {
		f.params = DefaultParams
	}
	f.d, f.random, f.ejected = NewDetector(f.params), rand.New(rand.NewPCG(seed, 1)), map[string]bool{}
	var all []endpoints.Runner
	for i := range f.runners {
		all = append(all, endpoints.Runner{ID: f.id(i), Service: "svc", Capacity: f.capacity})
	}
	f.list = endpoints.NewList(epoch, all)
	for range f.edges {
		f.counts, f.trials = append(f.counts, map[string]Count{}), append(f.trials, map[string]bool{})
	}
}

// run simulates the given time span and calls each after every round of reports.
func (f *fleet) run(from, to time.Duration, each func(at time.Duration) bool) {
	const tick = 250 * time.Millisecond
	for at := from; at < to; at += tick {
		for i := range f.runners {
			jobs := poisson(f.random, f.jobsPerS*tick.Seconds())
			if f.ejected[f.id(i)] {
				jobs = 0
			}
			for range jobs {
				f.job(f.random.IntN(f.edges), i, at)
			}
		}
		for e := range f.edges {
			// The reports of the edges are spread over the tick.
			now := epoch.Add(at + tick*time.Duration(e)/time.Duration(f.edges))
			for id := range f.trials[e] {
				var i int
				fmt.Sscanf(id, "i-%d", &i)
				f.job(e, i, at)
				delete(f.trials[e], id)
			}
			f.d.Report(f.id(1000+e), f.counts[e], now)
			f.counts[e] = map[string]Count{}
			f.d.Decide(f.list, f.load, now)
			v := f.d.Verdict(now)
			previous := f.ejected
			f.ejected, f.slow = map[string]bool{}, v.Slow
			for _, x := range v.Ejected {
				if f.ejected[x.ID] = true; !previous[x.ID] {
					f.ejections++
				}
				if x.Trial {
					f.trials[e][x.ID] = true
				}
			}
		}
		if each != nil && !each(at) {
			return
		}
	}
}

func (f *fleet) load() map[string]int {
	out := map[string]int{}
	for i := range f.runners {
		out[f.id(i)] = f.capacity / 4
	}
	return out
}

func (f *fleet) job(e, i int, at time.Duration) {
	c := f.counts[e][f.id(i)]
	c.Ended++
	if f.failure != nil && f.failure(e, i) || f.random.Float64() < f.fails(i, at) {
		c.Failures++
	} else {
		c.Paced++
		x := 0.6 * f.random.NormFloat64()
		if f.pace != nil {
			x += math.Log(f.pace(i, at))
		}
		c.Pace += x
	}
	f.counts[e][f.id(i)] = c
}

// poisson returns a random number with a Poisson distribution.
func poisson(r *rand.Rand, mean float64) int {
	n := 0
	for x := r.ExpFloat64(); x < mean; x += r.ExpFloat64() {
		n++
	}
	return n
}

// sites runs a test for each site.
func sites(t *testing.T, do func(t *testing.T, newFleet func() *fleet)) {
	for name, newFleet := range map[string]func() *fleet{"andina": andina, "tsehay": tsehay} {
		t.Run(name, func(t *testing.T) { do(t, newFleet) })
	}
}

// TestHealthy checks that a healthy fleet, in which 0.2 % of the jobs fail at random, has no
// ejections. The probability of an ejection must be below one in a thousand per minute.
func TestHealthy(t *testing.T) {
	sites(t, func(t *testing.T, newFleet func() *fleet) {
		f := newFleet()
		f.fails = func(int, time.Duration) float64 { return 0.002 }
		f.start(1)
		slow := 0
		f.run(0, 20*time.Minute, func(time.Duration) bool {
			slow += len(f.slow)
			return true
		})
		t.Logf("%d ejections, %d slow", f.ejections, slow)
		if f.ejections > 0 || slow > 4 {
			t.Errorf("%d ejections and %d slow verdicts of a healthy fleet", f.ejections, slow)
		}
	})
}

// TestGrey checks that a runner that fails 30 % of its jobs is ejected within 2 s, and returns
// within 5 s of its recovery. With a low job rate the detection takes longer in some runs, by random
// variation.
func TestGrey(t *testing.T) {
	sites(t, func(t *testing.T, newFleet func() *fleet) {
		const runs = 40
		var detectionTimes, returnTimes []float64
		for seed := range uint64(runs) {
			f := newFleet()
			failing, recovered := 20*time.Second, 27*time.Second
			f.fails = func(i int, at time.Duration) float64 {
				if i == 7 && at >= failing && at < recovered {
					return 0.3
				}
				return 0.0002
			}
			f.start(seed)
			var ejectedAfter, returnedAfter time.Duration
			f.run(0, 40*time.Second, func(at time.Duration) bool {
				switch x := f.ejected[f.id(7)]; {
				case x && ejectedAfter == 0:
					ejectedAfter = at - failing
				case !x && at >= recovered && returnedAfter == 0:
					returnedAfter = at - recovered
				}
				return true
			})
			if ejectedAfter > 0 {
				detectionTimes = append(detectionTimes, ejectedAfter.Seconds())
			}
			returnTimes = append(returnTimes, returnedAfter.Seconds())
			if len(f.ejected) > 0 || f.ejections > 4 {
				t.Errorf("seed %d: %v still ejected, %d ejections", seed, f.ejected, f.ejections)
			}
		}
		t.Logf(
			"ejected after %s s (%d of %d), returned after %s s",
			spread(detectionTimes),
			len(detectionTimes),
			runs,
			spread(returnTimes),
		)
		detectedInTime, returnedInTime := 0, 0
		for _, x := range detectionTimes {
			if x <= 2 {
				detectedInTime++
			}
		}
		for _, x := range returnTimes {
			if x <= 5 {
				returnedInTime++
			}
		}
		t.Logf("%d ejected within 2 s, %d returned within 5 s", detectedInTime, returnedInTime)
		if minDetected := map[float64]int{5.5: 26, 10: 34}[newFleet().jobsPerS]; detectedInTime < minDetected ||
			len(detectionTimes) < runs-1 || returnedInTime < runs {
			t.Errorf(
				"of %d: %d ejected within 2 s, want %d; %d ejected at all; %d returned within 5 s",
				runs,
				detectedInTime,
				minDetected,
				len(detectionTimes),
				returnedInTime,
			)
		}
	})
}

// spread formats the median and maximum of xs.
func spread(xs []float64) string {
	if len(xs) == 0 {
		return "-"
	}
	mid := median(xs)
	return fmt.Sprintf("%.2f median, %.2f most", mid, xs[len(xs)-1])
}

// TestGroup checks that, if 12 % of the runners fail a third of their jobs, nearly all of them are
// ejected within seconds, and no other runner is.
func TestGroup(t *testing.T) {
	sites(t, func(t *testing.T, newFleet func() *fleet) {
		f := newFleet()
		failing := func(i int) bool { return i%8 == 0 }
		f.fails = func(i int, at time.Duration) float64 {
			if failing(i) && at > 20*time.Second {
				return 0.34
			}
			return 0.0002
		}
		f.start(3)
		f.run(0, 25*time.Second, nil)
		n, wrong := 0, 0
		for i := range f.runners {
			switch {
			case f.ejected[f.id(i)] && failing(i):
				n++
			case f.ejected[f.id(i)]:
				wrong++
			}
		}
		if n < 7 || wrong > 0 {
			t.Errorf("%d ejected, %d wrongly", n, wrong)
		}
	})
}

// TestSharedFault checks that a low failure rate shared by most runners leads to no ejections.
func TestSharedFault(t *testing.T) {
	sites(t, func(t *testing.T, newFleet func() *fleet) {
		for _, rate := range []float64{0.03, 0.054, 0.08} {
			f := newFleet()
			f.fails = func(i int, at time.Duration) float64 {
				if i%5 < 3 && at > 20*time.Second {
					return rate
				}
				return 0.0002
			}
			f.start(4)
			most := 0
			f.run(0, 40*time.Second, func(time.Duration) bool {
				most = max(most, len(f.ejected))
				return true
			})
			t.Logf("rate %v: %d at most, %d times", rate, most, f.ejections)
			// At the failure rates seen at the sites, a single random ejection is accepted.
			if rate < 0.06 && (most > 1 || f.ejections > 2) {
				t.Errorf("rate %v: %d ejected at once, %d times one", rate, most, f.ejections)
			}
		}
	})
}

// TestMixed checks that runners that fail a third of their jobs are ejected even if most others
// lose an occasional answer.
func TestMixed(t *testing.T) {
	sites(t, func(t *testing.T, newFleet func() *fleet) {
		f := newFleet()
		f.fails = func(i int, at time.Duration) float64 {
			switch {
			case at < 20*time.Second:
				return 0.0002
			case i%8 == 0:
				return 0.34
			case i%5 < 3:
				return 0.059
			}
			return 0.0002
		}
		f.start(5)
		f.run(0, 26*time.Second, nil)
		n, wrong := 0, 0
		for i := range f.runners {
			switch {
			case f.ejected[f.id(i)] && i%8 == 0:
				n++
			case f.ejected[f.id(i)]:
				wrong++
			}
		}
		if n < 7 || wrong > 2 {
			t.Errorf("%d ejected, %d wrongly", n, wrong)
		}
	})
}

// TestDead checks that a runner that fails all jobs is ejected within a second.
func TestDead(t *testing.T) {
	sites(t, func(t *testing.T, newFleet func() *fleet) {
		f := newFleet()
		f.fails = func(i int, at time.Duration) float64 {
			if i == 3 && at >= 20*time.Second {
				return 1
			}
			return 0.0002
		}
		f.start(6)
		var out time.Duration
		f.run(0, 30*time.Second, func(at time.Duration) bool {
			if out == 0 && f.ejected[f.id(3)] {
				out = at - 20*time.Second
			}
			return true
		})
		if out == 0 || out > time.Second {
			t.Errorf("ejected after %s", out)
		}
	})
}

// TestSlow checks that runners that take more than six times as long are found slow, and no others.
func TestSlow(t *testing.T) {
	sites(t, func(t *testing.T, newFleet func() *fleet) {
		f := newFleet()
		f.fails = func(int, time.Duration) float64 { return 0.0002 }
		f.pace = func(i int, at time.Duration) float64 {
			if i%3 == 0 && at > 20*time.Second {
				return 6.7
			}
			return 1
		}
		f.start(7)
		f.run(0, 25*time.Second, nil)
		n, wrong := 0, 0
		for i := range f.runners {
			switch {
			case f.slow[f.id(i)] > 3 && i%3 == 0:
				n++
			case f.slow[f.id(i)] > 0 && i%3 != 0:
				wrong++
			}
		}
		if n < f.runners/3 || wrong > 0 {
			t.Errorf("%d slow, %d wrongly", n, wrong)
		}
	})
}

// TestOneEdge checks that failures seen by only one edge cause no ejection, since its link may be
// at fault.
func TestOneEdge(t *testing.T) {
	f := andina()
	f.fails = func(int, time.Duration) float64 { return 0 }
	f.failure = func(e, i int) bool { return e == 5 && i%3 == 0 }
	f.start(8)
	f.run(0, 30*time.Second, nil)
	if f.ejections > 0 {
		t.Errorf("%d ejections", f.ejections)
	}
}

// TestBound checks with random reports and fleets that the number of ejected runners stays within
// its limit and that the remaining capacity exceeds the load by the headroom.
func TestBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(rt, "runners")
		capacity := rapid.IntRange(1, 8).Draw(rt, "room")
		d := NewDetector(DefaultParams)
		now := epoch
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(100, 1500).Draw(rt, "ms")) * time.Millisecond)
			// The number of runners changes.
			n = max(1, n+rapid.IntRange(-2, 2).Draw(rt, "more"))
			var all []endpoints.Runner
			load := map[string]int{}
			total := 0
			for i := range n {
				id := fmt.Sprint(i)
				all = append(all, endpoints.Runner{ID: id, Service: "svc", Capacity: capacity})
				load[id] = rapid.IntRange(0, capacity).Draw(rt, "load")
				total += load[id]
			}
			for _, e := range []string{"e1", "e2"} {
				cs := map[string]Count{}
				for i := range n {
					c := Count{Ended: rapid.IntRange(0, 9).Draw(rt, "ended")}
					if i%3 == 0 {
						c.Failures = rapid.IntRange(0, c.Ended).Draw(rt, "failures")
					}
					cs[fmt.Sprint(i)] = c
				}
				d.Report(e, cs, now)
			}
			d.Decide(endpoints.NewList(now, all), func() map[string]int { return load }, now)
			if now.Sub(d.decided) > 0 {
				continue
			}
			out := len(d.Verdict(now).Ejected)
			if most := max(1, int(0.3*float64(n))); out > most || out >= n && out > 0 {
				rt.Fatalf("%d of %d are ejected", out, n)
			}
			if left := (n - out) * capacity; out > 0 && float64(left) < 1.25*float64(total) {
				rt.Fatalf("remaining capacity is %d for a load of %d", left, total)
			}
		}
	})
}

// TestTrials checks that an ejected runner receives one trial job after a delay that doubles with
// each failure up to the maximum, and returns after enough successful trials.
func TestTrials(t *testing.T) {
	d := NewDetector(DefaultParams)
	l := endpoints.NewList(
		epoch,
		[]endpoints.Runner{
			{ID: "a", Service: "s", Capacity: 4},
			{ID: "b", Service: "s", Capacity: 4},
			{ID: "c", Service: "s", Capacity: 4},
		},
	)
	idle := func() map[string]int { return nil }
	now := epoch
	d.Adopt([]string{"a"}, now)
	trialAssigned := func() bool {
		d.Decide(l, idle, now)
		for _, e := range d.Verdict(now).Ejected {
			if e.ID == "a" {
				return e.Trial
			}
		}
		return false
	}
	at := []time.Duration{}
	for last := now; len(at) < 5; now = now.Add(50 * time.Millisecond) {
		if trialAssigned() {
			at = append(at, now.Sub(last))
			last = now
			d.Report("e", map[string]Count{"a": {Ended: 1, Failures: 1}}, now)
		}
	}
	if fmt.Sprint(at) != "[1s 2s 3s 3s 3s]" {
		t.Errorf("tried after %v", at)
	}
	n := 0
	for end := now.Add(20 * time.Second); now.Before(end); now = now.Add(50 * time.Millisecond) {
		if trialAssigned() {
			n++
			d.Report("e", map[string]Count{"a": {Ended: 1}}, now)
		}
	}
	if n != DefaultParams.TrialsToReturn || len(d.Verdict(now).Ejected) > 0 {
		t.Errorf("%d trials, %v", n, d.Verdict(now))
	}
}

// TestTail compares tail with a directly computed binomial distribution.
func TestTail(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(rt, "n")
		k := rapid.IntRange(0, n).Draw(rt, "k")
		probability := rapid.Float64Range(1e-4, 0.9).Draw(rt, "p")
		// Compute the distribution by adding one job at a time.
		dist := make([]float64, n+1)
		dist[0] = 1
		for range n {
			for i := n; i >= 0; i-- {
				dist[i] *= 1 - probability
				if i > 0 {
					dist[i] += dist[i-1] * probability
				}
			}
		}
		want := 0.0
		for _, x := range dist[k:] {
			want += x
		}
		if got := tail(n, k, probability); math.Abs(got-want) > 1e-6*want+1e-12 {
			rt.Fatalf("%v, want %v", got, want)
		}
	})
}

// TestWatch checks that a local failure causes suspicion, for longer with each consecutive failure
// and for half the time for repeatable jobs, and that verdicts apply until they expire.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWatch(DefaultParams)
		expect := func(once, repeatable Suspicion) {
			t.Helper()
			if a, b := w.Suspicion("a", false), w.Suspicion("a", true); a != once || b != repeatable {
				t.Errorf("suspicion is %d, and %d for repeatable jobs; want %d and %d", a, b, once, repeatable)
			}
		}
		expect(SuspicionNone, SuspicionNone)
		w.Failure("a")
		expect(SuspicionOnce, SuspicionOnce)
		time.Sleep(300 * time.Millisecond)
		expect(SuspicionOnce, SuspicionNone)
		time.Sleep(300 * time.Millisecond)
		expect(SuspicionNone, SuspicionNone)
		w.Failure("a")
		expect(SuspicionRepeated, SuspicionRepeated)
		w.Success("a", Duration{})
		expect(SuspicionNone, SuspicionNone)
		w.Update(Verdict{Ejected: []Ejected{{ID: "a", Trial: true}, {ID: "b"}}})
		expect(SuspicionEjected, SuspicionEjected)
		if w.Trial("b", true) || w.Trial("a", false) || !w.Trial("a", true) || w.Trial("a", true) {
			t.Error("trials")
		}
		time.Sleep(DefaultParams.VerdictLifetime)
		expect(SuspicionNone, SuspicionNone)
		if c := w.TakeCounts()["a"]; c.Ended != 3 || c.Failures != 2 {
			t.Errorf("counted %+v", c)
		}
	})
}

// TestPace checks that the median of a path follows the typical job, and that paces and hangs are
// relative to it.
func TestPace(t *testing.T) {
	w := NewWatch(DefaultParams)
	r := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		w.Success(
			"a",
			Duration{Path: "p", First: time.Duration(float64(100*time.Millisecond) * math.Exp(0.3*r.NormFloat64()))},
		)
	}
	w.TakeCounts()
	for range 20 {
		w.Success("slow", Duration{Path: "p", First: 600 * time.Millisecond})
	}
	c := w.TakeCounts()["slow"]
	if x := math.Exp(c.Pace / float64(c.Paced)); c.Paced != 20 || x < 3 || x > 7 {
		t.Errorf("%d jobs, %.2f times the median", c.Paced, x)
	}
	if w.Hung("p", 900*time.Millisecond) || !w.Hung("p", 3*time.Second) || w.Hung("q", time.Hour) {
		t.Error("hung")
	}
}
