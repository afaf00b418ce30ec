package sim_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/coordination/web"
	"damsontiller/internal/dataplane/balancing/endpoints"
	"damsontiller/internal/dataplane/cooldown"
	"damsontiller/internal/dataplane/edge"
	"damsontiller/internal/dataplane/request/proxy"
	"damsontiller/internal/kit/sim"
	"damsontiller/internal/proto/keys"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
)

// plain spells proxied requests in a few headers of its own, for tests.
type plain struct{ edge string }

func (plain) ReadRequest(r *http.Request, j *proxy.Job) error {
	j.Attempt = r.Header.Get("Try")
	if v := r.Header.Get("Left-Ms"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil {
			return code.New(code.BadHeader, "Left-Ms: %w", err)
		}
		j.CallerTimeout = time.Duration(n) * time.Millisecond
	}
	return nil
}
func (p plain) WriteRequest(h http.Header, _ *proxy.Job, to *endpoints.Runner, _ time.Duration, _ int) {
	h.Set("Edge", p.edge)
	h.Set("To", to.ID)
}
func (plain) Credential(*http.Request) string     { return "" }
func (plain) WriteRepeat(http.Header, *proxy.Job) {}
func (plain) WriteResume(http.Header, string)     {}
func (plain) ReadResponse(r *http.Response) proxy.ResponseInfo {
	return proxy.ResponseInfo{
		Attempt: r.Header.Get("Try"),
		Sealed:  r.Header.Get("Seal") != "",
		NotRun:  r.Header.Get("Not-Run") != "",
	}
}

// stand is a runner process that refuses on order.
type stand struct {
	id, addr    string
	mu          sync.Mutex
	refuse      func(edge string) (bool, string) // and the Retry-After
	partitioned bool                             // runs jobs and answers none
	mute        bool                             // refuses without saying that nothing ran
	calls       []hit
}

type hit struct {
	edge    string
	at      time.Time
	refused bool
}

func (r *stand) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	e := q.Header.Get("Edge")
	r.mu.Lock()
	no, after := false, ""
	if r.refuse != nil {
		no, after = r.refuse(e)
	}
	r.calls = append(r.calls, hit{e, time.Now(), no})
	partitioned, mute := r.partitioned, r.mute
	r.mu.Unlock()
	if partitioned {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Try", q.Header.Get("Try"))
	if no {
		if !mute {
			w.Header().Set("Not-Run", "1")
		}
		if after != "" {
			w.Header().Set("Retry-After", after)
		}
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	time.Sleep(5 * time.Millisecond)
	w.Header().Set("Seal", "1")
	fmt.Fprint(w, "done")
}

func (r *stand) set(f func(string) (bool, string)) {
	r.mu.Lock()
	r.refuse = f
	r.mu.Unlock()
}

// oneRefusal refuses one call.
func oneRefusal(after string) func(string) (bool, string) {
	did := false
	return func(string) (bool, string) {
		no := !did
		did = true
		return no, after
	}
}

func (r *stand) hits() []hit {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]hit(nil), r.calls...)
}

// since are the calls at an edge's hand after a time; an empty edge means any.
func (r *stand) since(edge string, at time.Time) int {
	n := 0
	for _, h := range r.hits() {
		if (edge == "" || h.edge == edge) && !h.at.Before(at) {
			n++
		}
	}
	return n
}

// rawFleet is a simulated fleet that passes proxied requests of one service.
type rawFleet struct {
	*sim.Sim
	t     *testing.T
	mu    sync.Mutex
	doors map[string]*edge.Proxy
	list  []endpoints.Runner
	tries int
	ends  []func()
}

// rawRun lays a fleet out with one path to one service, and as many runners.
func rawRun(
	t *testing.T,
	runners int,
	path spec.Path,
	c spec.Cooldown,
	do func(ctx context.Context, f *rawFleet, rs []*stand),
) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		f := &rawFleet{t: t, doors: map[string]*edge.Proxy{}}
		var err error
		f.Sim, err = sim.New(
			sim.Params{
				Deploy: "../../../deploy/andina",
				Seed:   1,
				Edges:  6,
				Log:    os.Getenv("SIMLOG") != "",
				Edge: func(id string, e *edge.Edge) {
					d := e.NewProxy(edge.DefaultProxy, plain{id})
					f.mu.Lock()
					f.doors[id] = d
					f.mu.Unlock()
					go d.Run(ctx, func(context.Context) ([]endpoints.Runner, error) {
						f.mu.Lock()
						defer f.mu.Unlock()
						return append([]endpoints.Runner(nil), f.list...), nil
					})
				},
			},
		)
		if err != nil {
			t.Fatal(err)
		}
		var rs []*stand
		for i := range runners {
			rs = append(rs, f.incarnation(fmt.Sprintf("r%d", i+1), fmt.Sprintf("10.5.0.%d:80", i+1)))
		}
		if err := f.Start(ctx); err != nil {
			t.Fatal(err)
		}
		path.Name, path.Authority, path.Prefix = "tools", "tools.test", "/"
		if path.Kind == "" {
			path.Kind = spec.Once
		}
		path.To = []spec.Share{{Service: "tools", Weight: 1}}
		cctx, cstop := context.WithTimeout(ctx, 5*time.Second)
		_, err = f.Core("c1").Change(cctx, 0, func(re *spec.Cluster) error {
			re.Spec.Cooldown = c
			re.Table = spec.Table{Revision: 1, Services: []spec.Service{{Name: "tools"}}, Paths: []spec.Path{path}}
			return re.Table.Check()
		})
		cstop()
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		do(ctx, f, rs)
		stop()
		for _, end := range f.ends {
			end()
		}
		f.Stop()
	})
}

// incarnation starts a runner process at an address and puts it on the list, in the place
// of whichever was there.
func (f *rawFleet) incarnation(id, addr string) *stand {
	r := &stand{id: id, addr: addr}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.list {
		if f.list[i].Addr == addr {
			f.list = append(f.list[:i], f.list[i+1:]...)
			break
		}
	}
	f.list = append(f.list, endpoints.Runner{ID: id, Service: "tools", Addr: addr, Zone: "a", Capacity: 64})
	ln, err := f.Net.Host(addr).Listen(addr)
	if err != nil {
		f.t.Fatal(err)
	}
	s := &http.Server{Handler: r}
	go s.Serve(ln)
	f.ends = append(f.ends, func() { s.Close() })
	return r
}

type got struct {
	web.Failure
	status int
	retry  time.Duration
	took   time.Duration
}

// job passes one job at an edge; left is what its caller still has.
func (f *rawFleet) job(edge string, left time.Duration) got {
	f.mu.Lock()
	f.tries++
	q := httptest.NewRequest(http.MethodGet, "/x", nil)
	q.Header.Set("Try", fmt.Sprint("t", f.tries))
	d := f.doors[edge]
	f.mu.Unlock()
	q.Host = "tools.test"
	q.Header.Set("Left-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	w := httptest.NewRecorder()
	at := time.Now()
	d.ServeHTTP(w, q)
	g := got{status: w.Code, took: time.Since(at), retry: cooldown.RetryAfter(w.Header())}
	if w.Code != http.StatusOK {
		if err := json.Unmarshal(w.Body.Bytes(), &g.Failure); err != nil {
			f.t.Errorf("%d: %q: %v", w.Code, w.Body, err)
		}
	}
	return g
}

var edges = []string{"e1", "e2", "e3", "e4", "e5", "e6"}

// bound is how soon after a cooldown is written every node keeps to it.
var bound = cooldown.DefaultSnapshot.MaxAge + 20*time.Millisecond

// warm passes some jobs at every edge, so that each has a recent snapshot.
func (f *rawFleet) warm(of ...string) {
	for range 3 {
		for _, e := range of {
			if g := f.job(e, 4*time.Second); g.status != http.StatusOK {
				f.t.Errorf("%s: %+v", e, g)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// TestCooldownSnapshot: a refusal that one edge sees is kept to by all others within the
// bound, though no update reaches them; the one who saw it stops at once. What is
// left goes back with each refusal, which is not held.
func TestCooldownSnapshot(t *testing.T) {
	t.Parallel()
	rawRun(
		t,
		1,
		spec.Path{GuardMs: 8000, LatencyTargetMs: 400},
		spec.Cooldown{},
		func(_ context.Context, f *rawFleet, rs []*stand) {
			f.warm(edges...)
			f.Partition([]string{"e1"}, f.Rest("e1", "s1", "s2", "s3"), true)
			rs[0].set(oneRefusal("5.5"))
			g := f.job("e1", 4*time.Second)
			at := time.Now()
			if g.status != http.StatusTooManyRequests || g.Ran != "no" ||
				g.retry < 5500*time.Millisecond-10*time.Millisecond ||
				g.retry > 5600*time.Millisecond ||
				g.took > 160*time.Millisecond ||
				g.NotBefore == "" {
				t.Errorf("the refusal itself: %+v", g)
			}
			if g := f.job("e1", 4*time.Second); g.Code != int(code.Cooling) || g.took > 5*time.Millisecond {
				t.Errorf("the same edge: %+v", g)
			}
			last := map[string]time.Time{}
			for time.Since(at) < 5*time.Second {
				for _, e := range edges[1:] {
					g := f.job(e, 4*time.Second)
					if g.status == http.StatusOK {
						last[e] = time.Now()
						continue
					}
					left := 5500*time.Millisecond - time.Since(at)
					if g.Code != int(code.Cooling) || g.Ran != "no" || g.took > 5*time.Millisecond ||
						g.retry < left-20*time.Millisecond ||
						g.retry > left+60*time.Millisecond {
						t.Errorf("%s after %s: %+v", e, time.Since(at), g)
					}
				}
				time.Sleep(20 * time.Millisecond)
			}
			for e, l := range last {
				if d := l.Sub(at); d > bound {
					t.Errorf("%s still sent after %s", e, d)
				}
			}
			time.Sleep(time.Second)
			for _, e := range edges {
				if g := f.job(e, 4*time.Second); g.status != http.StatusOK {
					t.Errorf("%s after the cooldown: %+v", e, g)
				}
			}
		},
	)
}

// TestCoolElsewhere: a refused job goes to another runner of its route, no other
// job goes to the one that cools, and within the path's tries only.
func TestCoolElsewhere(t *testing.T) {
	t.Parallel()
	rawRun(
		t,
		3,
		spec.Path{GuardMs: 8000, LatencyTargetMs: 400, Tries: 2},
		spec.Cooldown{},
		func(_ context.Context, f *rawFleet, rs []*stand) {
			f.warm(edges...)
			rs[0].set(func(string) (bool, string) { return true, "4" })
			at := time.Now()
			for time.Since(at) < 3*time.Second {
				for _, e := range edges {
					if g := f.job(e, 4*time.Second); g.status != http.StatusOK {
						t.Errorf("%s: %+v", e, g)
					}
				}
				time.Sleep(10 * time.Millisecond)
			}
			// One at each edge before it knew, at the very most.
			if n := rs[0].since("", at); n == 0 || n > len(edges) {
				t.Errorf("%d calls at the runner that refuses", n)
			}
			// All refuse: two tries, and back with the earliest time.
			for _, r := range rs[1:] {
				r.set(func(string) (bool, string) { return true, "9" })
			}
			n := rs[1].since("", at) + rs[2].since("", at)
			g := f.job("e1", 4*time.Second)
			if m := rs[1].since("", at) + rs[2].since("", at) - n; g.status != http.StatusTooManyRequests || m != 2 ||
				g.retry > 1500*time.Millisecond ||
				g.retry < 200*time.Millisecond {
				t.Errorf("%d calls: %+v", m, g)
			}
		},
	)
}

// TestCooldownHonoured: a job waits for a cooldown only as far as its hold allows, never
// past its own time; it is refused at once where the wait does not fit.
func TestCooldownHonoured(t *testing.T) {
	t.Parallel()
	rawRun(
		t,
		1,
		spec.Path{GuardMs: 8000, LatencyTargetMs: 2000},
		spec.Cooldown{FirstMs: 300},
		func(_ context.Context, f *rawFleet, rs []*stand) {
			f.warm(edges...)
			rs[0].set(oneRefusal(""))
			f.job("e1", 4*time.Second)
			for _, tc := range []struct {
				left time.Duration
				ok   bool
			}{{100 * time.Millisecond, false}, {200 * time.Millisecond, false}, {4 * time.Second, true}} {
				g := f.job("e1", tc.left)
				switch {
				case tc.ok && (g.status != http.StatusOK || g.took < 200*time.Millisecond || g.took > 400*time.Millisecond):
					t.Errorf("with %s: %+v", tc.left, g)
				case !tc.ok && (g.Code != int(code.Cooling) || g.took > 5*time.Millisecond || g.retry <= 0):
					t.Errorf("with %s: %+v", tc.left, g)
				}
			}
			// Over its hold of half a second: at once, though four seconds are left.
			rs[0].set(oneRefusal("0.9"))
			f.job("e2", 4*time.Second)
			if g := f.job("e2", 4*time.Second); g.Code != int(code.Cooling) || g.took > 5*time.Millisecond ||
				g.retry > 900*time.Millisecond {
				t.Errorf("past the hold: %+v", g)
			}
		},
	)
}

// step reads a key's register.
func (f *rawFleet) step(key string) (step, ver int) {
	e := f.Edge("e1")
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	var st register.State
	st, err := e.Proposer.Read(ctx, e.Cluster.Now().Stores(keys.Cooldown(key)), keys.Cooldown(key))
	if err != nil {
		f.t.Error(err)
	}
	var v struct {
		Step int `json:"step"`
	}
	if len(st.Value) > 0 {
		if err := json.Unmarshal(st.Value, &v); err != nil {
			f.t.Error(err)
		}
	}
	return v.Step, int(st.Version)
}

// TestSimultaneousRefusalsAtEdges: refusals of one moment, at all edges, are one step; the next one
// is the second.
func TestSimultaneousRefusalsAtEdges(t *testing.T) {
	t.Parallel()
	rawRun(
		t,
		1,
		spec.Path{GuardMs: 8000, LatencyTargetMs: 400},
		spec.Cooldown{},
		func(_ context.Context, f *rawFleet, rs []*stand) {
			f.warm(edges...)
			rounds := func() (n uint64) {
				for _, e := range edges {
					n += f.Edge(e).Proposer.Rounds.Load()
				}
				return n
			}
			for want := 1; want <= 3; want++ {
				rs[0].set(func(string) (bool, string) { return true, "" })
				before, at := rounds(), time.Now()
				var wg sync.WaitGroup
				for _, e := range edges {
					for range 20 {
						wg.Go(func() {
							if g := f.job(e, 4*time.Second); g.status != http.StatusTooManyRequests ||
								g.took > 250*time.Millisecond {
								t.Errorf("%s: %+v", e, g)
							}
						})
					}
				}
				wg.Wait()
				n := rounds() - before
				time.Sleep(200 * time.Millisecond)
				step, ver := f.step("runner/r1")
				t.Logf(
					"step %d in %s: version %d, %d refusals, %d rounds at the stores",
					step,
					time.Since(at),
					ver,
					rs[0].since("", at),
					n,
				)
				if step != want || ver != want {
					t.Errorf("step %d, version %d, want %d", step, ver, want)
				}
				rs[0].set(nil)
				time.Sleep(time.Duration(1<<(want-1))*time.Second + 100*time.Millisecond)
			}
			// Few at first, then all: the gates.
			g := f.job("e3", 4*time.Second)
			if g.status != http.StatusOK {
				t.Errorf("after the cooldowns: %+v", g)
			}
		},
	)
}

// TestCoolGate: right after a cooldown each edge lets few through first.
func TestCoolGate(t *testing.T) {
	t.Parallel()
	rawRun(
		t,
		1,
		spec.Path{GuardMs: 8000, LatencyTargetMs: 4000},
		spec.Cooldown{},
		func(_ context.Context, f *rawFleet, rs []*stand) {
			f.warm(edges...)
			rs[0].set(oneRefusal(""))
			f.job("e1", 4*time.Second)
			at := time.Now()
			var wg sync.WaitGroup
			time.Sleep(900 * time.Millisecond)
			for range 40 {
				wg.Go(func() {
					if g := f.job("e1", 4*time.Second); g.status != http.StatusOK {
						t.Errorf("%+v", g)
					}
				})
			}
			wg.Wait()
			// Those that came within the first call's time.
			hs := rs[0].hits()
			first := time.Time{}
			n := 0
			for _, h := range hs {
				if h.at.After(at) && first.IsZero() {
					first = h.at
				}
				if !first.IsZero() && h.at.Sub(first) < 4*time.Millisecond {
					n++
				}
			}
			if n != 1 || first.Sub(at) < time.Second-10*time.Millisecond {
				t.Errorf("%d calls at once, %s after the refusal", n, first.Sub(at))
			}
		},
	)
}

// TestCoolStoreAway: with one store frozen the word stays recent. Without a majority
// jobs go on, none of them late, and what other nodes tell is kept to.
func TestCoolStoreAway(t *testing.T) {
	t.Parallel()
	rawRun(
		t,
		1,
		spec.Path{GuardMs: 8000, LatencyTargetMs: 400},
		spec.Cooldown{},
		func(_ context.Context, f *rawFleet, rs []*stand) {
			f.warm(edges...)
			cooldowns := f.Edge("e2").Cooldowns
			f.Freeze("s2")
			time.Sleep(time.Second)
			f.warm(edges...)
			before := cooldowns.Stats()
			for range 50 {
				f.warm("e2")
			}
			if a := cooldowns.Stats(); a.Reads != before.Reads || a.Unverified != before.Unverified {
				t.Errorf("one store frozen: %+v, then %+v", before, a)
			}
			f.Partition([]string{"e2"}, []string{"s1", "s3"}, true)
			at := time.Now()
			slow := 0
			for time.Since(at) < 3*time.Second {
				g := f.job("e2", 4*time.Second)
				if g.status != http.StatusOK || g.took > 120*time.Millisecond {
					t.Errorf("after %s: %+v", time.Since(at), g)
				}
				if g.took > 50*time.Millisecond {
					slow++
				}
				time.Sleep(10 * time.Millisecond)
			}
			a := cooldowns.Stats()
			t.Logf(
				"no stores for 3 s: %d of %d jobs waited for a look, %d looks, %d went on without",
				slow,
				rs[0].since("e2", at),
				a.Reads-before.Reads,
				a.Unverified-before.Unverified,
			)
			if slow > 4 || a.Unverified == before.Unverified {
				t.Errorf("%d slow jobs, %+v", slow, a)
			}
			// The others' refusal reaches it by updates.
			rs[0].set(oneRefusal("2"))
			f.job("e1", 4*time.Second)
			time.Sleep(50 * time.Millisecond)
			if g := f.job("e2", 4*time.Second); g.Code != int(code.Cooling) {
				t.Errorf("by news: %+v", g)
			}
			// Its own refusal holds here at once, and at all once the stores are back.
			time.Sleep(3 * time.Second)
			f.Partition([]string{"e2"}, []string{"e1", "e3", "e4", "e5", "e6", "c1", "c2", "c3"}, true)
			rs[0].set(oneRefusal("6"))
			if g := f.job("e2", 4*time.Second); g.status != http.StatusTooManyRequests ||
				g.took > 200*time.Millisecond ||
				g.retry < 5700*time.Millisecond {
				t.Errorf("seen by the one cut off: %+v", g)
			}
			f.Partition([]string{"e2"}, []string{"s1", "s3"}, false)
			at = time.Now()
			if !sim.Until(
				4*time.Second,
				func() bool { return f.job("e3", 4*time.Second).Code == int(code.Cooling) },
			) {
				t.Error("never told to the others")
			}
			t.Logf("written %s after the stores were back", time.Since(at))
			f.Thaw("s2")
		},
	)
}

// TestCoolFrozenEdge: an edge that slept through a refusal does not rest on the word
// it had, nor does a job that stood right before its send.
func TestCoolFrozenEdge(t *testing.T) {
	t.Parallel()
	rawRun(
		t,
		1,
		spec.Path{GuardMs: 60000, LatencyTargetMs: 400},
		spec.Cooldown{},
		func(_ context.Context, f *rawFleet, rs []*stand) {
			f.warm(edges...)
			// No update reaches it before it has to decide.
			f.Partition([]string{"e2"}, f.Rest("e2", "s1", "s2", "s3"), true)
			time.Sleep(200 * time.Millisecond)
			f.warm("e2")
			f.Freeze("e2")
			at := time.Now()
			rs[0].set(oneRefusal("20"))
			f.job("e1", 4*time.Second)
			var wg sync.WaitGroup
			time.Sleep(5 * time.Second)
			f.Thaw("e2")
			for range 5 {
				wg.Go(func() {
					if g := f.job("e2", 4*time.Second); g.Code != int(code.Cooling) {
						t.Errorf("right after it woke: %+v", g)
					}
				})
			}
			wg.Wait()
			if n := rs[0].since("e2", at); n > 0 {
				t.Errorf("%d calls by the edge that slept", n)
			}
		},
	)
	// Held in its dial: its leave is old when it wakes.
	rawRun(
		t,
		1,
		spec.Path{GuardMs: 60000, LatencyTargetMs: 400},
		spec.Cooldown{},
		func(_ context.Context, f *rawFleet, rs []*stand) {
			f.warm("e1", "e3")
			f.Partition([]string{"e2"}, f.Rest("e2", "s1", "s2", "s3"), true)
			time.Sleep(2500 * time.Millisecond)
			f.job("e2", 4*time.Second)
			f.mu.Lock()
			f.list[0].ID = "r1b" // no idle connection serves it
			f.mu.Unlock()
			time.Sleep(1500 * time.Millisecond)
			f.Freeze("e2")
			at := time.Now()
			done := make(chan got, 1)
			go func() { done <- f.job("e2", 60*time.Second) }()
			time.Sleep(100 * time.Millisecond)
			rs[0].set(oneRefusal("20"))
			f.job("e1", 4*time.Second)
			time.Sleep(5 * time.Second)
			f.Thaw("e2")
			// It may also give up its dial first; it must not have run.
			if g := <-done; g.Ran != "no" || rs[0].since("e2", at) > 0 {
				t.Errorf("%+v, %d calls", g, rs[0].since("e2", at))
			}
		},
	)
}

// TestCooldownNewIncarnation: a cooldown is a process's, not an address's.
func TestCooldownNewIncarnation(t *testing.T) {
	t.Parallel()
	rawRun(
		t,
		1,
		spec.Path{GuardMs: 8000, LatencyTargetMs: 400},
		spec.Cooldown{},
		func(_ context.Context, f *rawFleet, rs []*stand) {
			f.warm(edges...)
			rs[0].set(oneRefusal("40"))
			f.job("e1", 4*time.Second)
			time.Sleep(time.Second)
			if g := f.job("e4", 4*time.Second); g.Code != int(code.Cooling) {
				t.Errorf("the old life: %+v", g)
			}
			f.ends[0]()
			next := f.incarnation("r1-next", rs[0].addr)
			time.Sleep(2 * time.Second)
			at := time.Now()
			f.warm(edges...)
			if n := next.since("", at); n != 3*len(edges) {
				t.Errorf("%d calls at the new life", n)
			}
		},
	)
}

// TestCooldownGuarantee: what may have run at one runner is never promised not to have,
// whichever refuses it afterwards; a rate limit without that word cools all the same.
func TestCooldownGuarantee(t *testing.T) {
	t.Parallel()
	rawRun(
		t,
		2,
		spec.Path{Kind: spec.Repeatable, GuardMs: 8000, LatencyTargetMs: 400},
		spec.Cooldown{},
		func(_ context.Context, f *rawFleet, rs []*stand) {
			f.warm(edges...)
			rs[0].mu.Lock()
			rs[0].partitioned = true
			rs[0].mu.Unlock()
			rs[1].set(func(string) (bool, string) { return true, "1.2" })
			for range 20 {
				before := rs[0].since("", time.Time{})
				g := f.job("e1", 4*time.Second)
				if ran := rs[0].since("", time.Time{}) > before; ran &&
					(g.status < 500 || g.status == http.StatusServiceUnavailable || g.Ran == "no") ||
					!ran && g.Ran != "no" {
					t.Errorf("ran %v: %+v", ran, g)
				}
				time.Sleep(700 * time.Millisecond)
			}
		},
	)
	rawRun(
		t,
		1,
		spec.Path{GuardMs: 8000, LatencyTargetMs: 400},
		spec.Cooldown{},
		func(_ context.Context, f *rawFleet, rs []*stand) {
			f.warm(edges...)
			rs[0].mute = true
			rs[0].set(oneRefusal("3"))
			if g := f.job("e1", 4*time.Second); g.status != http.StatusBadGateway || g.Ran == "no" {
				t.Errorf("no word that it did not run: %+v", g)
			}
			time.Sleep(time.Second)
			if g := f.job("e2", 4*time.Second); g.Code != int(code.Cooling) || g.retry < 1900*time.Millisecond {
				t.Errorf("afterwards: %+v", g)
			}
		},
	)
}

// TestCoolCost: what the word costs, and that a job costs no message.
func TestCoolCost(t *testing.T) {
	t.Parallel()
	rawRun(
		t,
		4,
		spec.Path{GuardMs: 8000, LatencyTargetMs: 400},
		spec.Cooldown{},
		func(_ context.Context, f *rawFleet, _ []*stand) {
			f.warm(edges...)
			sum := func() (x cooldown.Stats, rounds, sent uint64) {
				for _, e := range edges {
					g := f.Edge(e).Cooldowns.Stats()
					x.Polls, x.Reads, x.Unverified = x.Polls+g.Polls, x.Reads+g.Reads, x.Unverified+g.Unverified
					rounds += f.Edge(e).Proposer.Rounds.Load()
					sent += f.Edge(e).Peer.Sent()
				}
				return x, rounds, sent
			}
			b, rb, sb := sum()
			jobs, at := 0, time.Now()
			var wg sync.WaitGroup
			for _, e := range edges {
				wg.Go(func() {
					for time.Since(at) < 10*time.Second {
						f.job(e, 4*time.Second)
						f.mu.Lock()
						jobs++
						f.mu.Unlock()
						time.Sleep(5 * time.Millisecond)
					}
				})
			}
			wg.Wait()
			a, ra, sa := sum()
			s := time.Since(at).Seconds()
			t.Logf(
				"6 edges, 3 stores, %d jobs in %.1f s: %.1f words/s, %d looks, %d blind, %.1f register rounds/s, %.1f messages sent/s of all kinds",
				jobs,
				s,
				float64(a.Polls-b.Polls)/s,
				a.Reads-b.Reads,
				a.Unverified-b.Unverified,
				float64(ra-rb)/s,
				float64(sa-sb)/s,
			)
			if w := float64(a.Polls-b.Polls) / s; w < 60 || w > 75 || a.Reads != b.Reads ||
				a.Unverified != b.Unverified {
				t.Errorf("%.1f words a second, %+v, %+v", w, b, a)
			}
			// Nobody asks where there are no jobs.
			time.Sleep(3 * time.Second)
			b, _, _ = sum()
			time.Sleep(10 * time.Second)
			if a, _, _ := sum(); a.Polls != b.Polls {
				t.Errorf("%d words without a job", a.Polls-b.Polls)
			}
		},
	)
}
