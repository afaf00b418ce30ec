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

// fleet is a service as an evening has it: jobs come to its runners by chance, each
// through one of the edges, and every edge tells four times a second.
type fleet struct {
	edges, runners, capacity int
	perS                     float64 // jobs a second at one runner
	params                   Params
	fails                    func(runner int, at time.Duration) float64 // the chance of a failure
	pace                     func(runner int, at time.Duration) float64 // times the typical; nil: all alike
	failure                  func(edge, runner int) bool                // one that this edge alone sees

	d        *Detector
	list     *endpoints.List
	rnd      *rand.Rand
	reported []map[string]Count
	trials   []map[string]bool
	ejected  map[string]bool
	slow     map[string]float64
	ever     int // ejections
}

// The rates of the two grown sites.
func andina() *fleet { return &fleet{edges: 47, runners: 72, capacity: 12, perS: 5.5} }
func tsehay() *fleet { return &fleet{edges: 64, runners: 60, capacity: 32, perS: 10} }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (f *fleet) id(i int) string { return fmt.Sprintf("i-%03d", i) }

func (f *fleet) start(seed uint64) {
	if f.params == (Params{}) {
		f.params = DefaultParams
	}
	f.d, f.rnd, f.ejected = NewDetector(f.params), rand.New(rand.NewPCG(seed, 1)), map[string]bool{}
	var all []endpoints.Runner
	for i := range f.runners {
		all = append(all, endpoints.Runner{ID: f.id(i), Service: "svc", Capacity: f.capacity})
	}
	f.list = endpoints.NewList(epoch, all)
	for range f.edges {
		f.reported, f.trials = append(f.reported, map[string]Count{}), append(f.trials, map[string]bool{})
	}
}

// run plays the time from one moment to another and calls each after every tell.
func (f *fleet) run(from, to time.Duration, each func(at time.Duration) bool) {
	const tick = 250 * time.Millisecond
	for at := from; at < to; at += tick {
		for i := range f.runners {
			jobs := poisson(f.rnd, f.perS*tick.Seconds())
			if f.ejected[f.id(i)] {
				jobs = 0
			}
			for range jobs {
				f.job(f.rnd.IntN(f.edges), i, at)
			}
		}
		for e := range f.edges {
			// The edges tell one after the other.
			now := epoch.Add(at + tick*time.Duration(e)/time.Duration(f.edges))
			for id := range f.trials[e] {
				var i int
				fmt.Sscanf(id, "i-%d", &i)
				f.job(e, i, at)
				delete(f.trials[e], id)
			}
			f.d.Report(f.id(1000+e), f.reported[e], now)
			f.reported[e] = map[string]Count{}
			f.d.Decide(f.list, f.load, now)
			v := f.d.Verdict(now)
			was := f.ejected
			f.ejected, f.slow = map[string]bool{}, v.Slow
			for _, x := range v.Ejected {
				if f.ejected[x.ID] = true; !was[x.ID] {
					f.ever++
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
	c := f.reported[e][f.id(i)]
	c.Ended++
	if f.failure != nil && f.failure(e, i) || f.rnd.Float64() < f.fails(i, at) {
		c.Failures++
	} else {
		c.Paced++
		x := 0.6 * f.rnd.NormFloat64()
		if f.pace != nil {
			x += math.Log(f.pace(i, at))
		}
		c.Pace += x
	}
	f.reported[e][f.id(i)] = c
}

func poisson(r *rand.Rand, mean float64) int {
	n := 0
	for x := r.ExpFloat64(); x < mean; x += r.ExpFloat64() {
		n++
	}
	return n
}

func sites(t *testing.T, do func(t *testing.T, make func() *fleet)) {
	for name, make := range map[string]func() *fleet{"andina": andina, "tsehay": tsehay} {
		t.Run(name, func(t *testing.T) { do(t, make) })
	}
}

// TestHealthy: where one job in a thousand fails by chance, a healthy fleet goes
// through without an ejection: the chance is to be under one in a thousand for a minute.
func TestHealthy(t *testing.T) {
	sites(t, func(t *testing.T, make func() *fleet) {
		f := make()
		f.fails = func(int, time.Duration) float64 { return 0.002 }
		f.start(1)
		slow := 0
		f.run(0, 20*time.Minute, func(time.Duration) bool {
			slow += len(f.slow)
			return true
		})
		t.Logf("%d ejections, %d slow", f.ever, slow)
		if f.ever > 0 || slow > 4 {
			t.Errorf("%d ejections and %d verdicts of slowness of a healthy fleet", f.ever, slow)
		}
	})
}

// TestGrey: a runner that fails 30 % of its jobs is ejected within 2 s, and back
// within 5 s of getting well. Where it gets few jobs, chance alone takes longer now
// and then.
func TestGrey(t *testing.T) {
	sites(t, func(t *testing.T, make func() *fleet) {
		const runs = 40
		var in, back []float64
		for seed := range uint64(runs) {
			f := make()
			failing, well := 20*time.Second, 27*time.Second
			f.fails = func(i int, at time.Duration) float64 {
				if i == 7 && at >= failing && at < well {
					return 0.3
				}
				return 0.0002
			}
			f.start(seed)
			var out, home time.Duration
			f.run(0, 40*time.Second, func(at time.Duration) bool {
				switch x := f.ejected[f.id(7)]; {
				case x && out == 0:
					out = at - failing
				case !x && at >= well && home == 0:
					home = at - well
				}
				return true
			})
			if out > 0 {
				in = append(in, out.Seconds())
			}
			back = append(back, home.Seconds())
			if len(f.ejected) > 0 || f.ever > 4 {
				t.Errorf("seed %d: %v out in the end, %d ejections", seed, f.ejected, f.ever)
			}
		}
		t.Logf("out after %s s (%d of %d), back after %s s", spread(in), len(in), runs, spread(back))
		quick, soon := 0, 0
		for _, x := range in {
			if x <= 2 {
				quick++
			}
		}
		for _, x := range back {
			if x <= 5 {
				soon++
			}
		}
		t.Logf("%d within 2 s, %d back within 5 s", quick, soon)
		if minDeviation := map[float64]int{5.5: 26, 10: 34}[make().perS]; quick < minDeviation || len(in) < runs-1 ||
			soon < runs {
			t.Errorf(
				"of %d: %d out within 2 s, want %d; %d out at all; %d back within 5 s",
				runs,
				quick,
				minDeviation,
				len(in),
				soon,
			)
		}
	})
}

func spread(xs []float64) string {
	if len(xs) == 0 {
		return "-"
	}
	mid := median(xs)
	return fmt.Sprintf("%.2f median, %.2f most", mid, xs[len(xs)-1])
}

// TestGroup: where 12 % fail a third of their jobs, nearly all of them are out soon,
// and nobody else.
func TestGroup(t *testing.T) {
	sites(t, func(t *testing.T, make func() *fleet) {
		f := make()
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
			t.Errorf("%d out, %d wrongly", n, wrong)
		}
	})
}

// TestEven: of a fault that most runners share, none is ejected for it.
func TestEven(t *testing.T) {
	sites(t, func(t *testing.T, make func() *fleet) {
		for _, rate := range []float64{0.03, 0.054, 0.08} {
			f := make()
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
			t.Logf("rate %v: %d at most, %d times", rate, most, f.ever)
			// One by chance, of a fault as the sites have it.
			if rate < 0.06 && (most > 1 || f.ever > 2) {
				t.Errorf("rate %v: %d ejected at once, %d times one", rate, most, f.ever)
			}
		}
	})
}

// TestMixed: runners that fail a third of their jobs are found among others that
// lose an answer now and then.
func TestMixed(t *testing.T) {
	sites(t, func(t *testing.T, make func() *fleet) {
		f := make()
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
			t.Errorf("%d out, %d wrongly", n, wrong)
		}
	})
}

// TestDead: one that fails all its jobs is out within a second.
func TestDead(t *testing.T) {
	sites(t, func(t *testing.T, make func() *fleet) {
		f := make()
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
			t.Errorf("out after %s", out)
		}
	})
}

// TestSlow: runners that take six times as long are slow, others are not.
func TestSlow(t *testing.T) {
	sites(t, func(t *testing.T, make func() *fleet) {
		f := make()
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

// TestOneEdge: what one edge alone sees is its own fault.
func TestOneEdge(t *testing.T) {
	f := andina()
	f.fails = func(int, time.Duration) float64 { return 0 }
	f.failure = func(e, i int) bool { return e == 5 && i%3 == 0 }
	f.start(8)
	f.run(0, 30*time.Second, nil)
	if f.ever > 0 {
		t.Errorf("%d ejections", f.ever)
	}
}

// TestBound: whatever comes, no more runners are out than may be, and the capacity of
// those left bears the load.
func TestBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(rt, "runners")
		capacity := rapid.IntRange(1, 8).Draw(rt, "room")
		d := NewDetector(DefaultParams)
		now := epoch
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(100, 1500).Draw(rt, "ms")) * time.Millisecond)
			// Runners come and go.
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
				rt.Fatalf("%d of %d are out", out, n)
			}
			if left := (n - out) * capacity; out > 0 && float64(left) < 1.25*float64(total) {
				rt.Fatalf("a room of %d for a load of %d", left, total)
			}
		}
	})
}

// TestTrials: an ejected runner gets one job, after a pause that doubles while it
// fails, and is back after some without a failure.
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
	given := func() bool {
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
		if given() {
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
		if given() {
			n++
			d.Report("e", map[string]Count{"a": {Ended: 1}}, now)
		}
	}
	if n != DefaultParams.TrialsToReturn || len(d.Verdict(now).Ejected) > 0 {
		t.Errorf("%d trials, %v", n, d.Verdict(now))
	}
}

// TestTail: the tail is that of the binomial distribution.
func TestTail(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(rt, "n")
		k := rapid.IntRange(0, n).Draw(rt, "k")
		probability := rapid.Float64Range(1e-4, 0.9).Draw(rt, "p")
		// By adding up one job after the other.
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

// TestWatch: an edge by itself keeps away after a failure, longer after each of a
// row; what may be repeated comes back after half the time.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWatch(DefaultParams)
		doubts := func(once, repeatable Suspicion) {
			t.Helper()
			if a, b := w.Suspicion("a", false), w.Suspicion("a", true); a != once || b != repeatable {
				t.Errorf("doubts %d and %d, want %d and %d", a, b, once, repeatable)
			}
		}
		doubts(SuspicionNone, SuspicionNone)
		w.Failure("a")
		doubts(SuspicionOnce, SuspicionOnce)
		time.Sleep(300 * time.Millisecond)
		doubts(SuspicionOnce, SuspicionNone)
		time.Sleep(300 * time.Millisecond)
		doubts(SuspicionNone, SuspicionNone)
		w.Failure("a")
		doubts(SuspicionRepeated, SuspicionRepeated)
		w.Success("a", Duration{})
		doubts(SuspicionNone, SuspicionNone)
		w.Update(Verdict{Ejected: []Ejected{{ID: "a", Trial: true}, {ID: "b"}}})
		doubts(SuspicionEjected, SuspicionEjected)
		if w.Trial("b", true) || w.Trial("a", false) || !w.Trial("a", true) || w.Trial("a", true) {
			t.Error("trials")
		}
		time.Sleep(DefaultParams.VerdictLifetime)
		doubts(SuspicionNone, SuspicionNone)
		if c := w.TakeCounts()["a"]; c.Ended != 3 || c.Failures != 2 {
			t.Errorf("counted %+v", c)
		}
	})
}

// TestPace: a path's middle follows most of its jobs, and the pace is in times of it.
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
		t.Errorf("%d jobs, %.2f times the middle", c.Paced, x)
	}
	if w.Hung("p", 900*time.Millisecond) || !w.Hung("p", 3*time.Second) || w.Hung("q", time.Hour) {
		t.Error("hung")
	}
}
