package sim

import (
	"net/http"
	"strings"
	"time"

	"damsontiller/internal/kit/checker"
	"damsontiller/internal/kit/proxytest"
	"damsontiller/internal/kit/runner"
)

// runnerFaults fault back ends.
var runnerFaults = []Fault{
	{"srv_crash", Runners, func(d *Draw) { d.downAndUp(d.someRunners(0.15), nil) }},
	{"srv_crash/dark", Runners, func(d *Draw) { d.downAndUp(d.someRunners(0.15), unresponsive) }},
	{"srv_crash/gone", Runners, func(d *Draw) { d.leave(d.someRunners(0.15), 0) }},
	{"srv_slow", Runners, func(d *Draw) { d.order(runner.Slow) }},
	{"srv_grey/errors", Runners, func(d *Draw) { d.order(runner.Raise) }},
	{"srv_grey/shed", Runners, func(d *Draw) { d.order(runner.RefuseSecs) }},
	{"srv_grey/busy", Runners, func(d *Draw) { d.order(runner.Refuse) }},
	{"srv_grey/hang", Runners, func(d *Draw) { d.downAndUp(d.someRunners(0.15), runsHang) }},
	{"srv_grey/reset", Runners, func(d *Draw) { d.order(runner.Lose) }},
	{"srv_grey/mute", Runners, func(d *Draw) { d.downAndUp(d.someRunners(0.15), runsFailMutely) }},
	{"srv_lying_health/errors", Runners, func(d *Draw) { d.downAndUp(d.someRunners(0.15), runsFailMutely) }},
	{"srv_lying_health/hang", Runners, func(d *Draw) { d.downAndUp(d.someRunners(0.15), runsHang) }},
	{"srv_lying_health/reset", Runners, func(d *Draw) { d.downAndUp(d.someRunners(0.15), runsReset) }},
	{"srv_lying_health/bad", Runners, func(d *Draw) { d.downAndUp(d.someRunners(0.15), reportsFail) }},
	{"srv_flap", Runners, flap},
	{"answer_lost", Runners, func(d *Draw) { d.order(runner.Lose) }},
	{"garble", Runners, func(d *Draw) { d.order(runner.Truncate, runner.Garble, runner.Mix) }},
	{"garble/extra", Runners, func(d *Draw) { d.order(runner.Twin) }},
	{"replace_with_reuse", Runners, func(d *Draw) { d.reuse(d.Sim.RunnerDown) }},
	{"replace_with_reuse/drain", Runners, func(d *Draw) { d.reuse(d.drain) }},
	{"scale_in", Runners, func(d *Draw) { d.leave(d.someRunners(0.15), 3*time.Second) }},
	{"scale_in/spot", Runners, func(d *Draw) { d.leave(d.someRunners(0.15), 2*time.Second) }},
	{"scale_out", Runners, func(d *Draw) { d.downAndUp(d.someRunners(0.3), nil) }},
	{"cold_return", Runners, func(d *Draw) { d.downAndUp(d.runnersOf(string(rune('a'+d.Rand.IntN(3)))), nil) }},
	{
		"cold_return/dark",
		Runners,
		func(d *Draw) { d.downAndUp(d.runnersOf(string(rune('a'+d.Rand.IntN(3)))), unresponsive) },
	},
	{"release", Runners, release},
	{"idle_race", Runners, func(d *Draw) { d.wait(500*time.Millisecond, 2*time.Second) }},
}

// runnersOf are the runners of a zone.
func (d *Draw) runnersOf(zone string) []string {
	var out []string
	for _, r := range d.Sim.Runners {
		if r.P.Zone == zone {
			out = append(out, r.P.Name)
		}
	}
	return out
}

// someRunners draws a share of all runners, one at least.
func (d *Draw) someRunners(fraction float64) []string {
	all := d.Sim.Runners
	var out []string
	for _, i := range d.Rand.Perm(len(all))[:max(1, int(fraction*float64(len(all))))] {
		out = append(out, all[i].P.Name)
	}
	return out
}

// backendFault is what the stand-ins of proxied requests have meanwhile: the faults of the
// next jobs, or a fault that lasts.
type backendFault struct {
	next  []proxytest.Fault
	lasts proxytest.Fault
	x     float64
}

// backendFaults are the same kinds of fault for the runners of proxied requests.
var backendFaults = map[string]backendFault{
	"srv_crash":       {lasts: proxytest.Flaps, x: 8},
	"srv_slow":        {lasts: proxytest.SlowBy, x: 4},
	"srv_grey/errors": {lasts: proxytest.Grey, x: 0.4},
	"srv_grey/shed":   {next: []proxytest.Fault{proxytest.Drop, proxytest.Drop, proxytest.Drop}},
	"srv_grey/busy":   {next: []proxytest.Fault{proxytest.RateLimit, proxytest.RateLimit}},
	"srv_grey/hang":   {next: []proxytest.Fault{proxytest.Slow, proxytest.Slow}},
	"srv_grey/reset": {
		next: []proxytest.Fault{proxytest.LoseAnswer, proxytest.LoseAnswer, proxytest.LoseAnswer},
	},
	"srv_grey/mute":           {next: []proxytest.Fault{proxytest.Bare503, proxytest.NoSeal, proxytest.Own500}},
	"srv_lying_health/errors": {lasts: proxytest.Lies, x: 1},
	"srv_lying_health/bad":    {lasts: proxytest.Lies, x: 0},
	"srv_flap":                {lasts: proxytest.Flaps, x: 1},
	"answer_lost": {
		next: []proxytest.Fault{proxytest.LoseAnswer, proxytest.None, proxytest.LoseAnswer, proxytest.Truncate},
	},
	"garble": {
		next: []proxytest.Fault{proxytest.NoAnswer, proxytest.Truncate, proxytest.TruncateStream},
	},
	"garble/extra": {next: []proxytest.Fault{proxytest.Surplus, proxytest.LateAnswer, proxytest.Surplus}},
	"idle_race": {
		next: []proxytest.Fault{proxytest.ShutIdle, proxytest.ShutIdle, proxytest.ShutIdle, proxytest.ShutIdle},
	},
	"replace_with_reuse": {next: []proxytest.Fault{proxytest.Other, proxytest.Other, proxytest.Other}},
	"cold_return":        {next: []proxytest.Fault{proxytest.NoDial, proxytest.NoDial, proxytest.NoDial}},
}

// faultBackends gives two stand-ins of proxied requests the fault of a fault's name, if
// it has any, for some seconds.
func (d *Draw) faultBackends(name string) {
	t, ok := backendFaults[name]
	if !ok || len(d.Sim.Backends) < 2 {
		return
	}
	length := d.between(time.Second, 4*time.Second)
	for _, i := range d.Rand.Perm(len(d.Sim.Backends))[:2] {
		b := d.Sim.Backends[i]
		b.Next(t.next...)
		if t.lasts == proxytest.None {
			continue
		}
		b.InjectFault(t.lasts, t.x)
		time.AfterFunc(length, func() { b.InjectFault(proxytest.None, 0) })
	}
}

// order gives some runners' next jobs a way to go wrong.
func (d *Draw) order(orders ...runner.Order) {
	for _, name := range d.someRunners(0.3) {
		d.Sim.Runner(name).Give(orders...)
	}
	d.wait(500*time.Millisecond, 3*time.Second)
}

// troubled wraps a runner's handler; its end is answered by done.
type troubled func(h http.Handler, done <-chan struct{}) http.Handler

// downAndUp ends runners' processes for a while. With fault they are replaced by
// processes that stand there and have it.
func (d *Draw) downAndUp(names []string, fault troubled) {
	done := make(chan struct{})
	for _, name := range names {
		r := d.Sim.Runner(name)
		d.Sim.RunnerDown(name)
		if fault != nil {
			d.Sim.Serve(r.P.Addr, fault(r.Handler(), done))
		}
	}
	d.wait(500*time.Millisecond, 5*time.Second)
	close(done)
	for _, name := range names {
		d.Sim.RunnerUp(name)
	}
}

// unresponsive answers nothing.
func unresponsive(_ http.Handler, done <-chan struct{}) http.Handler {
	return http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		<-done
		panic(http.ErrAbortHandler)
	})
}

// onRuns has jobs fail in one way while reports are good.
func onRuns(h, fails http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if strings.HasSuffix(q.URL.Path, "/run") {
			fails.ServeHTTP(w, q)
			return
		}
		h.ServeHTTP(w, q)
	})
}

func runsHang(h http.Handler, done <-chan struct{}) http.Handler {
	return onRuns(h, unresponsive(h, done))
}

func runsFailMutely(h http.Handler, _ <-chan struct{}) http.Handler {
	return onRuns(
		h,
		http.HandlerFunc(
			func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		),
	)
}

func runsReset(h http.Handler, _ <-chan struct{}) http.Handler {
	return onRuns(h, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
}

// reportsFail is well and says that it is ill.
func reportsFail(h http.Handler, _ <-chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if strings.HasSuffix(q.URL.Path, "/report") {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		h.ServeHTTP(w, q)
	})
}

func flap(d *Draw) {
	names := d.someRunners(0.15)
	for range 2 + d.Rand.IntN(4) {
		for _, name := range names {
			d.Sim.RunnerDown(name)
		}
		d.wait(200*time.Millisecond, time.Second)
		for _, name := range names {
			d.Sim.RunnerUp(name)
		}
		d.wait(200*time.Millisecond, time.Second)
	}
}

// drain has a runner say that it leaves, and ends it some time later.
func (d *Draw) drain(name string) {
	d.Sim.Runner(name).Drain()
	d.Sim.Record(checker.Drained, name, 0)
	time.Sleep(3500 * time.Millisecond)
	d.Sim.RunnerDown(name)
}

// leave has runners drain and end; others come in their place 4 s later. Without
// notice they just end.
func (d *Draw) leave(names []string, notice time.Duration) {
	for _, name := range names {
		if notice == 0 {
			continue
		}
		d.Sim.Runner(name).Drain()
		d.Sim.Record(checker.Drained, name, 0)
	}
	time.Sleep(notice)
	for _, name := range names {
		d.Sim.RunnerDown(name)
	}
	time.Sleep(4 * time.Second)
	for _, name := range names {
		d.Sim.RunnerUp(name)
	}
}

// reuse ends two runners by a way; for a while each has the other's address.
func (d *Draw) reuse(end func(string)) {
	names := d.someRunners(0.2)
	if len(names) < 2 {
		return
	}
	a, b := d.Sim.Runner(names[0]), d.Sim.Runner(names[1])
	end(names[0])
	end(names[1])
	d.Sim.Serve(a.P.Addr, b.Handler())
	d.Sim.Serve(b.P.Addr, a.Handler())
	d.wait(time.Second, 4*time.Second)
	for _, name := range names[:2] {
		d.Sim.RunnerDown(name)
		d.Sim.RunnerUp(name)
	}
}

// release replaces half of the runners one after another: the old one drains, the
// new one is cold.
func release(d *Draw) {
	for _, name := range d.someRunners(0.3) {
		d.drain(name)
		d.Sim.RunnerUp(name)
	}
}
