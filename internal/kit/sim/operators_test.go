package sim_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/coordination/web"
	"damsontiller/internal/dataplane/request/runnerapi"
	"damsontiller/internal/dataplane/request/turnapi"
	"damsontiller/internal/kit/runner"
	"damsontiller/internal/kit/sim"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
)

// quiet runs a fleet without traffic of its own.
func quiet(t *testing.T, do func(ctx context.Context, s *sim.Sim)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		s, err := sim.New(sim.Params{Deploy: "../../../deploy/andina", Seed: 1, Edges: 6})
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Start(ctx); err != nil {
			t.Fatal(err)
		}
		do(ctx, s)
		stop()
		s.Stop()
	})
}

type said struct {
	status int
	head   http.Header
	took   time.Duration
	web.Failure
	Text string `json:"text"`
	Turn string `json:"turn"`
}

func ask(t *testing.T, s *sim.Sim, edge, path, body string, head map[string]string) said {
	t.Helper()
	got, err := try(s, edge, path, body, head)
	if err != nil {
		t.Errorf("%s: %v", edge, err)
	}
	return got
}

// try asks an edge that may not answer.
func try(s *sim.Sim, edge, path, body string, head map[string]string) (said, error) {
	q, err := http.NewRequest(http.MethodPost, "http://"+s.Get(edge).HTTP+path, strings.NewReader(body))
	if err != nil {
		return said{}, err
	}
	q.Header.Set(turnapi.HeaderProgram, "reel/1")
	q.Header.Set(turnapi.HeaderTimeRemaining, "60")
	for k, v := range head {
		q.Header.Set(k, v)
	}
	at := time.Now()
	r, err := s.RoundTrip(q)
	if err != nil {
		return said{}, err
	}
	got := said{status: r.StatusCode, head: r.Header, took: time.Since(at)}
	return got, json.NewDecoder(r.Body).Decode(&got)
}

func runs(s *sim.Sim) (ran, calls int) {
	for _, r := range s.Runners {
		for _, e := range r.Log() {
			calls++
			if e.Ran {
				ran++
			}
		}
	}
	return ran, calls
}

// TestSameKey: one keyed job asked at every edge at once runs once; whoever is
// not given its result is answered that it may have run.
func TestSameKey(t *testing.T) {
	t.Parallel()
	quiet(t, func(_ context.Context, s *sim.Sim) {
		for round := range 5 {
			key := map[string]string{turnapi.HeaderIdempotencyKey: fmt.Sprint("k", round)}
			got := make([]said, 6)
			var wg sync.WaitGroup
			for i := range got {
				wg.Go(func() {
					got[i] = ask(t, s, fmt.Sprintf("e%d", i+1), "/v1/calls/assets", `{"args":{"do":"work:x;"}}`, key)
				})
			}
			wg.Wait()
			ok := 0
			for _, g := range got {
				switch {
				case g.status == http.StatusOK:
					ok++
				case g.Ran != "unknown":
					t.Errorf("round %d: told %d %s, ran %q", round, g.Code, g.Name, g.Ran)
				}
			}
			if ran, _ := runs(s); ran != round+1 || ok == 0 {
				t.Errorf("round %d: %d runs in all, %d answers", round, ran, ok)
			}
			// Asked again later, everyone gets the one result.
			a, b := ask(
				t,
				s,
				"e1",
				"/v1/calls/assets",
				`{"args":{"do":"work:x;"}}`,
				key,
			), ask(
				t,
				s,
				"e6",
				"/v1/calls/assets",
				`{"args":{"do":"work:x;"}}`,
				key,
			)
			if a.status != http.StatusOK || a.Job != b.Job || a.Text != b.Text {
				t.Errorf("round %d: %+v and %+v", round, a, b)
			}
			if c := ask(t, s, "e2", "/v1/calls/assets", `{"args":{"do":"work:y;"}}`, key); c.Code != int(
				code.KeyReused,
			) {
				t.Errorf("the key with another body: %+v", c)
			}
		}
	})
}

// TestLostKeyed: a keyed job whose answer is lost is never passed again.
func TestLostKeyed(t *testing.T) {
	t.Parallel()
	quiet(t, func(_ context.Context, s *sim.Sim) {
		for _, o := range []runner.Order{runner.Lose, runner.Truncate, runner.Mix} {
			for _, r := range s.Runners {
				r.Give(o)
			}
			key := map[string]string{turnapi.HeaderIdempotencyKey: "k" + string(o)}
			before, _ := runs(s)
			for i := range 4 {
				g := ask(t, s, fmt.Sprintf("e%d", i+1), "/v1/calls/assets", `{"args":{"do":"work:x;"}}`, key)
				if g.Ran != "unknown" {
					t.Errorf("%s, asking %d: %+v", o, i, g)
				}
			}
			if ran, _ := runs(s); ran != before+1 {
				t.Errorf("%s: ran %d times", o, ran-before)
			}
		}
	})
}

// TestSharedCooldown: one worker's refusal holds back all; a wait that fits is
// waited out, one that does not is answered at once with the time to come back.
func TestSharedCooldown(t *testing.T) {
	t.Parallel()
	quiet(t, func(_ context.Context, s *sim.Sim) {
		for _, r := range s.Runners {
			if r.P.Route == "assets" {
				r.Give(runner.RefuseDate) // 3 s, by a clock an hour wrong
			}
		}
		body := `{"args":{"do":"work:x;"}}`
		a := ask(t, s, "e1", "/v1/calls/assets", body, nil)
		if a.Code != int(code.RunnerDrop) || a.status != http.StatusTooManyRequests ||
			a.head.Get("Retry-After") != "3" {
			t.Errorf("the refusal itself: %+v", a)
		}
		_, calls := runs(s)
		for i := range 6 {
			g := ask(
				t,
				s,
				fmt.Sprintf("e%d", i+1),
				"/v1/calls/assets",
				body,
				map[string]string{turnapi.HeaderWait: "1"},
			)
			if g.Code != int(code.Cooling) || g.head.Get("Retry-After") != "3" || g.NotBefore == "" ||
				g.took > 200*time.Millisecond {
				t.Errorf("e%d: %+v after %s", i+1, g, g.took)
			}
		}
		if _, n := runs(s); n != calls {
			t.Errorf("%d calls within the cooldown", n-calls)
		}
		// Program time that is shorter than the wait counts like a caller's.
		if g := ask(t, s, "e3", "/v1/calls/assets", body, map[string]string{turnapi.HeaderTimeRemaining: "2", turnapi.HeaderWait: "30"}); g.Code != int(
			code.Cooling,
		) ||
			g.took > 200*time.Millisecond {
			t.Errorf("with 2 s left: %+v after %s", g, g.took)
		}
		for _, r := range s.Runners {
			r.Forget()
		}
		if g := ask(t, s, "e4", "/v1/calls/assets", body, map[string]string{turnapi.HeaderWait: "10"}); g.status != http.StatusOK ||
			g.took < 2*time.Second ||
			g.took > 4*time.Second {
			t.Errorf("with time to wait: %+v after %s", g, g.took)
		}
	})
}

// TestTierAway: without a majority of stores nothing is called, and it is said.
func TestTierAway(t *testing.T) {
	t.Parallel()
	quiet(t, func(_ context.Context, s *sim.Sim) {
		s.Kill("s1")
		s.Kill("s2")
		_, calls := runs(s)
		for _, head := range []map[string]string{nil, {turnapi.HeaderIdempotencyKey: "k"}} {
			g := ask(t, s, "e1", "/v1/calls/assets", `{"args":{}}`, head)
			if answer := map[bool]string{true: "no", false: "unknown"}[head == nil]; g.Code != int(
				code.StoresUnreachable,
			) ||
				g.Ran != answer ||
				g.head.Get("Retry-After") == "" {
				t.Errorf("%v: %+v", head, g)
			}
		}
		if _, n := runs(s); n != calls {
			t.Errorf("%d calls without a look at the cooldown", n-calls)
		}
	})
}

// TestBudget: turns at all edges at once stay within one budget, and then are
// answered that it is spent.
func TestBudget(t *testing.T) {
	t.Parallel()
	quiet(t, func(_ context.Context, s *sim.Sim) {
		head := map[string]string{turnapi.HeaderProgram: "tagging/x"} // 600
		var wg sync.WaitGroup
		for i := range 40 {
			wg.Go(func() {
				ask(
					t,
					s,
					fmt.Sprintf("e%d", i%6+1),
					"/v1/turns",
					`{"conversation":"tagging","words":"work:x;","max_output":70}`,
					head,
				)
			})
		}
		wg.Wait()
		spent := int64(0)
		for _, r := range s.Runners {
			for _, e := range r.Log() {
				spent += e.Output
			}
		}
		if spent > 600 || spent == 0 {
			t.Errorf("%d put out of a budget of 600", spent)
		}
		for range 20 {
			if g := ask(t, s, "e1", "/v1/turns", `{"conversation":"tagging","words":"work:x;","max_output":600}`, head); g.Code == int(
				code.BudgetSpent,
			) {
				return
			}
		}
		t.Error("never told that the budget is spent")
	})
}

// TestTurns: a conversation goes on at any edge; unknown and past are answered
// separate; another program's turn is unknown.
func TestTurns(t *testing.T) {
	t.Parallel()
	quiet(t, func(_ context.Context, s *sim.Sim) {
		body := func(follows string) string {
			return fmt.Sprintf(`{"conversation":"tagging","words":"work:x;","max_output":5,"follows":%q}`, follows)
		}
		keep := func(secs int) {
			if st, a, err := s.Change(http.MethodPatch, "/v1/spec", map[string]any{"keeping": []map[string]any{{"class": "*", "keep_s": secs}}}); err != nil ||
				st != http.StatusOK {
				t.Fatalf("%d %+v %v", st, a, err)
			}
		}
		keep(60)
		a := ask(t, s, "e1", "/v1/turns", body(""), nil)
		b := ask(t, s, "e5", "/v1/turns", body(a.Turn), nil)
		if a.Turn == "" || b.Turn == "" || !strings.Contains(b.Text, "history:1-") {
			t.Fatalf("%+v %+v", a, b)
		}
		if g := ask(t, s, "e2", "/v1/turns", body("nobody-1"), nil); g.Code != int(code.NoTurn) {
			t.Errorf("unknown: %+v", g)
		}
		if g := ask(t, s, "e2", "/v1/turns", body(a.Turn), map[string]string{turnapi.HeaderProgram: "reel/2"}); g.Code != int(
			code.NoTurn,
		) {
			t.Errorf("another program's: %+v", g)
		}
		// Shortening the keeping time does not shorten what was promised.
		keep(1)
		time.Sleep(55 * time.Second)
		if g := ask(t, s, "e3", "/v1/turns", body(b.Turn), nil); g.status != http.StatusOK ||
			!strings.Contains(g.Text, "history:2-") {
			t.Errorf("within the minute: %+v", g)
		}
		time.Sleep(10 * time.Second)
		if g := ask(t, s, "e3", "/v1/turns", body(b.Turn), nil); g.Code != int(code.Expired) {
			t.Errorf("past the minute: %+v", g)
		}
	})
}

// TestOperators: bad orders are refused by number and change nothing; of two
// that expect the same version one wins.
func TestOperators(t *testing.T) {
	t.Parallel()
	quiet(t, func(_ context.Context, s *sim.Sim) {
		var now struct {
			Version uint64          `json:"version"`
			Spec    json.RawMessage `json:"spec"`
		}
		read := func() uint64 {
			if _, err := s.Operate(http.MethodGet, "/v1/spec", nil, &now); err != nil {
				t.Fatal(err)
			}
			return now.Version
		}
		ver := read()
		for _, tc := range []struct {
			method, path string
			body         any
			want         code.Code
		}{
			{http.MethodPut, "/v1/spec", map[string]any{"expect": ver - 1, "spec": now.Spec}, code.SpecConflict},
			{http.MethodPut, "/v1/spec", map[string]any{"spec": now.Spec}, code.BadField},
			{http.MethodPut, "/v1/spec", map[string]any{"expect": ver, "spec": map[string]any{}}, code.BadSpec},
			{http.MethodPut, "/v1/spec", "x", code.BadJSON},
			{http.MethodPatch, "/v1/spec", map[string]any{"colour": 1}, code.UnknownField},
			{http.MethodPatch, "/v1/spec", map[string]any{"expect": ver + 7, "empty_zones": []string{}}, code.SpecConflict},
			{http.MethodPatch, "/v1/spec", map[string]any{"runners": []any{}}, code.BadSpec},
			{http.MethodPatch, "/v1/spec", map[string]any{"empty_zones": []string{"a", "b", "c"}}, code.LastZone},
			{http.MethodPost, "/v1/zones/z/empty", nil, code.NoZone},
			{http.MethodGet, "/v1/spec/versions/99", nil, code.NoVersion},
			{http.MethodGet, "/v1/spec/versions/x", nil, code.BadField},
			{http.MethodPost, "/v1/sets/edges/admit", map[string]any{"id": "e1"}, code.NoPath},
			{http.MethodPost, "/v1/sets/stores/admit", map[string]any{"idd": "e1"}, code.UnknownField},
			{http.MethodPost, "/v1/sets/stores/abandon", map[string]any{}, code.BadField},
			{http.MethodPost, "/v1/nothing", nil, code.NoPath},
		} {
			var p web.Failure
			st, err := s.Operate(tc.method, tc.path, tc.body, &p)
			if err != nil || code.Code(p.Code) != tc.want || st != tc.want.Status() || p.Problem == "" {
				t.Errorf("%s %s %v: %d %+v %v, want %d", tc.method, tc.path, tc.body, st, p, err, tc.want)
			}
			if tc.want == code.SpecConflict && p.Version != ver {
				t.Errorf("%s: told version %d, %d is in force", tc.path, p.Version, ver)
			}
		}
		if v := read(); v != ver {
			t.Errorf("bad orders moved the version from %d to %d", ver, v)
		}
		for _, z := range []string{"a", "b"} {
			want(t, s, "/v1/zones/"+z+"/empty", nil, http.StatusOK, code.OK)
		}
		want(t, s, "/v1/zones/c/empty", nil, http.StatusConflict, code.LastZone)
		want(t, s, "/v1/zones/c/empty", map[string]bool{"farce": true}, http.StatusBadRequest, code.UnknownField)
		want(t, s, "/v1/zones/c/empty", map[string]bool{"force": true}, http.StatusOK, code.OK)
		if g := ask(t, s, "e1", "/v1/calls/assets", `{"args":{}}`, map[string]string{turnapi.HeaderWait: "1"}); g.status == http.StatusOK {
			t.Error("served with every zone emptied")
		}
		for _, z := range []string{"a", "b", "c"} {
			if st, a, err := s.Zone(z, false); err != nil || st != http.StatusOK {
				t.Errorf("refill %s: %d %+v %v", z, st, a, err)
			}
		}
		for range 5 {
			ver = read()
			res := make([]int, 2)
			var wg sync.WaitGroup
			for i := range res {
				wg.Go(func() {
					res[i], _ = s.OperateAt(
						i,
						http.MethodPut,
						"/v1/spec",
						map[string]any{"expect": ver, "spec": now.Spec},
						nil,
					)
				})
			}
			wg.Wait()
			if res[0]+res[1] != http.StatusOK+http.StatusConflict {
				t.Errorf("two racing operators got %v", res)
			}
		}
	})
}

// TestPlatform: a runner that only the platform's list names is given work, and
// one that leaves is given none, however long the list still names it.
func TestPlatform(t *testing.T) {
	t.Parallel()
	quiet(t, func(_ context.Context, s *sim.Sim) {
		extra := runner.New(
			runner.Params{
				Runner: spec.Runner{Name: "a9", Addr: "10.9.0.9:9000", Zone: "a", Route: "assets"},
				Bears:  8,
				Take:   10 * time.Millisecond,
				Seed:   9,
			},
		)
		s.Serve(extra.P.Addr, extra.Handler())
		s.Serve("10.9.0.1:9900", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(
				w,
			).Encode(
				runnerapi.RunnerList{
					Runners: []runnerapi.ListedRunner{
						{Name: "a9", Addr: extra.P.Addr, Zone: "a", Route: "assets"},
						{Name: "bad name", Addr: "x"},
					},
				},
			)
		}))
		var now struct {
			Version uint64         `json:"version"`
			Spec    map[string]any `json:"spec"`
		}
		if _, err := s.Operate(http.MethodGet, "/v1/spec", nil, &now); err != nil {
			t.Fatal(err)
		}
		now.Spec["platform"] = "10.9.0.1:9900"
		if st, a, err := s.Change(http.MethodPut, "/v1/spec", map[string]any{"expect": now.Version, "spec": now.Spec}); err != nil ||
			st != http.StatusOK {
			t.Fatalf("%d %+v %v", st, a, err)
		}
		burst := func() {
			var wg sync.WaitGroup
			for i := range 40 {
				wg.Go(
					func() { ask(t, s, fmt.Sprintf("e%d", i%6+1), "/v1/calls/assets", `{"args":{"do":"work:x;"}}`, nil) },
				)
			}
			wg.Wait()
		}
		time.Sleep(5 * time.Second)
		burst()
		if len(extra.Log()) == 0 {
			t.Error("a runner of the platform's list got no work")
		}
		extra.Drain()
		time.Sleep(3 * time.Second)
		before := len(extra.Log())
		burst()
		if n := len(extra.Log()); n != before {
			t.Errorf("%d jobs 3 s after it left", n-before)
		}
	})
}

// TestQuietLogs: at the lowest level, through good answers and every kind of
// bad one, no log line holds a caller's words.
func TestQuietLogs(t *testing.T) {
	t.Parallel()
	var log lines
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		s, err := sim.New(sim.Params{Deploy: "../../../deploy/andina", Seed: 1, Edges: 6, LogTo: &log})
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Start(ctx); err != nil {
			t.Fatal(err)
		}
		for _, o := range []runner.Order{"", runner.Refuse, runner.Raise, runner.Lose, runner.Truncate, runner.Mix} {
			for _, r := range s.Runners {
				if o != "" {
					r.Give(o)
				}
			}
			for i := range 6 {
				e := fmt.Sprintf("e%d", i+1)
				ask(
					t,
					s,
					e,
					"/v1/calls/assets",
					`{"args":{"do":"work:x;sesame"}}`,
					map[string]string{turnapi.HeaderIdempotencyKey: "k" + e + string(o), turnapi.HeaderWait: "2"},
				)
				ask(
					t,
					s,
					e,
					"/v1/turns",
					`{"conversation":"reel","words":"work:x;sesame","max_output":9}`,
					map[string]string{turnapi.HeaderWait: "2"},
				)
				ask(t, s, e, "/v1/turns", `{"sesame":"sesame"`, nil)
			}
		}
		stop()
		s.Stop()
	})
	if got := log.String(); !strings.Contains(got, "member") || strings.Contains(got, "sesame") {
		t.Errorf("%d bytes of log; words in it: %v", len(got), strings.Contains(got, "sesame"))
	}
}

// lines is a log that many write to.
type lines struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// TestMetrics: edges and cores show their counts to whoever scrapes them.
func TestMetrics(t *testing.T) {
	t.Parallel()
	quiet(t, func(_ context.Context, s *sim.Sim) {
		ask(t, s, "e1", "/v1/calls/assets", `{"args":{"do":"work:x;"}}`, nil)
		for id, want := range map[string][]string{
			"e1": {"dt_spec_version ", `dt_jobs_total{code="ok"} 1`, `dt_slots{runner="a1"} `, "# TYPE dt_jobs_total counter"},
			"c1": {"dt_spec_version ", "dt_members_live 12"},
		} {
			q, err := http.NewRequest(http.MethodGet, "http://"+s.Get(id).HTTP+"/metrics", nil)
			if err != nil {
				t.Fatal(err)
			}
			r, err := s.RoundTrip(q)
			if err != nil {
				t.Fatal(err)
			}
			b, err := io.ReadAll(r.Body)
			for _, w := range want {
				if err != nil || !strings.Contains(string(b), w) {
					t.Errorf("%s: no %q in %s, %v", id, w, b, err)
				}
			}
		}
	})
}
