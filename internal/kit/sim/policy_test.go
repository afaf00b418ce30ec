package sim_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"damsontiller/internal/dataplane/trace"
	"damsontiller/internal/kit/checker"
	"damsontiller/internal/kit/sim"
	"damsontiller/internal/proto/script"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
)

// approval is an approval with good figures for a text.
func approval(name, rank, order string) spec.Approval {
	f := spec.Figures{Asks: 100, Served: 100}
	return spec.Approval{
		Policy: name,
		Digest: script.Source{Rank: rank, Order: order}.Digest(),
		Day:    strings.Repeat("d", 64),
		Base:   f,
		Cand:   f,
	}
}

// TestPolicyOrders: what is wrong with a program, an approval or an rollout is
// refused by number and changes nothing.
func TestPolicyOrders(t *testing.T) {
	t.Parallel()
	quiet(t, func(_ context.Context, s *sim.Sim) {
		rank := `runner.near ? 1.0 : 0.0`
		bad := approval("p", rank, "")
		bad.Cand.Breaches = 1
		worse := approval("p", rank, "")
		worse.Cand.Served = 98
		late := approval("p", rank, "")
		late.Cand.UrgentLate = 3
		failed := approval("p", rank, "")
		failed.Cand.Fallbacks = 1
		other := approval("p", rank+" ", "")
		noDay := approval("p", rank, "")
		noDay.Day = "monday"
		for i, tc := range []struct {
			method, path string
			body         any
			want         code.Code
			says         string
		}{
			{http.MethodPut, "/v1/policies/p", map[string]string{"rank": "runner.near ?"}, code.BadPolicy, "line 1"},
			{http.MethodPut, "/v1/policies/p", map[string]string{"rank": `"fast"`}, code.BadPolicy, "string"},
			{
				http.MethodPut,
				"/v1/policies/p",
				map[string]string{"rank": `runner.name == "m99" ? 1 : 0`},
				code.BadPolicy,
				"m99",
			},
			{http.MethodPut, "/v1/policies/p", map[string]string{"rang": "1"}, code.UnknownField, "rang"},
			{http.MethodPut, "/v1/policies/p%20q", map[string]string{"rank": "1"}, code.BadSpec, "policies"},
			{http.MethodPost, "/v1/policies/p/approve", approval("p", rank, ""), code.BadField, "no policy"},
			{http.MethodPut, "/v1/policies/p", map[string]string{"rank": rank}, code.OK, ""},
			{
				http.MethodPost,
				"/v1/policies/live",
				map[string]any{"policy": "p", "share": 10},
				code.NotApproved,
				"no approval",
			},
			{http.MethodPost, "/v1/policies/p/approve", bad, code.NotApproved, "breaches"},
			{http.MethodPost, "/v1/policies/p/approve", worse, code.NotApproved, "served"},
			{http.MethodPost, "/v1/policies/p/approve", late, code.NotApproved, "urgent"},
			{http.MethodPost, "/v1/policies/p/approve", failed, code.NotApproved, "failed"},
			{http.MethodPost, "/v1/policies/p/approve", other, code.NotApproved, "text"},
			{http.MethodPost, "/v1/policies/p/approve", noDay, code.NotApproved, "day"},
			{http.MethodPost, "/v1/policies/p/approve", approval("q", rank, ""), code.BadField, "q"},
			{http.MethodPost, "/v1/policies/p/approve", approval("p", rank, ""), code.OK, ""},
			{http.MethodPost, "/v1/policies/live", map[string]any{"policy": "p", "share": 0}, code.BadSpec, "share"},
			{http.MethodPost, "/v1/policies/live", map[string]any{"policy": "q", "share": 5}, code.BadSpec, "no policy"},
			{http.MethodPost, "/v1/policies/live", map[string]any{"policy": "p", "share": 100}, code.OK, ""},
			{http.MethodPut, "/v1/policies/p", map[string]string{"rank": "1"}, code.NotApproved, "live"},
			{http.MethodDelete, "/v1/policies/p", nil, code.NotApproved, "live"},
			{http.MethodPost, "/v1/policies/off", nil, code.OK, ""},
			{http.MethodPut, "/v1/policies/p", map[string]string{"rank": "1"}, code.OK, ""},
			// Another text has to be approved anew.
			{
				http.MethodPost,
				"/v1/policies/live",
				map[string]any{"policy": "p", "share": 100},
				code.NotApproved,
				"no approval",
			},
			{http.MethodDelete, "/v1/policies/p", nil, code.OK, ""},
			{http.MethodDelete, "/v1/policies/p", nil, code.BadField, "no policy"},
		} {
			before := s.Cluster().Version
			var a sim.Ack
			st, err := s.Operate(tc.method, tc.path, tc.body, &a)
			if err != nil || a.Code != int(tc.want) || st != tc.want.Status() ||
				!strings.Contains(a.Failure, tc.says) {
				t.Errorf("%d %s %s: %d %+v %v, want %d %q", i, tc.method, tc.path, st, a, err, tc.want, tc.says)
			}
			if tc.want != code.OK && s.Cluster().Version != before {
				t.Errorf(
					"%d %s %s: refused, and version %d became %d",
					i,
					tc.method,
					tc.path,
					before,
					s.Cluster().Version,
				)
			}
		}
	})
}

// TestPolicyLive: a program that is live decides, on every edge for the same share
// of programs; one that fails falls back to the built-in, counted; the trace tells
// which; and no promise is weakened while it is rolled out through the death of
// the assignment edge.
func TestPolicyLive(t *testing.T) {
	t.Parallel()
	run(t, "andina", 51, 30*time.Second, func(ctx context.Context, s *sim.Sim) {
		order := func(method, path string, body any) {
			t.Helper()
			if st, a, err := s.Change(method, path, body); err != nil || st != http.StatusOK {
				t.Errorf("%s %s: %d %+v %v", method, path, st, a, err)
			}
		}
		why := func(edge, program string) trace.Row {
			t.Helper()
			g := ask(
				t,
				s,
				edge,
				"/v1/calls/assets",
				`{"args":{"do":"work:x;"}}`,
				map[string]string{"X-Damsontiller-Program": program},
			)
			q, err := http.NewRequest(http.MethodGet, "http://"+s.Get(edge).HTTP+"/v1/trace/"+g.Job, nil)
			if err != nil {
				t.Fatal(err)
			}
			r, err := s.RoundTrip(q)
			if err != nil {
				t.Fatal(err)
			}
			var row trace.Row
			if err := json.NewDecoder(r.Body).Decode(&row); err != nil || row.Job != g.Job || len(row.Tries) == 0 {
				t.Fatalf("%s: %+v %v", edge, row, err)
			}
			return row
		}
		// It wants all tools on a3, and fails wherever a job has no class.
		rank := `(runner.name == "a3" ? 9 : 1) / job.class.size()`
		order(http.MethodPut, "/v1/policies/a3", map[string]string{"rank": rank})
		order(http.MethodPost, "/v1/policies/a3/approve", approval("a3", rank, ""))
		order(http.MethodPost, "/v1/policies/live", map[string]any{"policy": "a3", "share": 50})
		with := 0
		for i := range 20 {
			p := fmt.Sprintf("reel/share-%d", i)
			a, b := why("e1", p), why("e4", p)
			if a.Tries[0].Policy != b.Tries[0].Policy {
				t.Errorf("%s: %q on e1, %q on e4", p, a.Tries[0].Policy, b.Tries[0].Policy)
			}
			if strings.HasPrefix(a.Tries[0].Policy, "a3") {
				with++
			}
		}
		if with < 4 || with > 16 {
			t.Errorf("%d of 20 programs under a policy for half of them", with)
		}
		s.Kill("e1")
		order(http.MethodPost, "/v1/policies/live", map[string]any{"policy": "a3", "share": 100})
		time.Sleep(4 * time.Second)
		up(t, ctx, s, "e1")
		time.Sleep(4 * time.Second)
		if w := why("e5", "reel/9"); !strings.Contains(w.Tries[0].Policy, "failed") || len(w.Tries[0].Ranks) == 0 ||
			w.Tries[0].Picked == "" {
			t.Errorf("%+v", w)
		}
		if s.Edge("e5").Fallbacks() == 0 {
			t.Error("no fallback was counted")
		}
		order(http.MethodPost, "/v1/policies/off", nil)
		if w := why("e2", "reel/9"); w.Tries[0].Policy != "built-in" {
			t.Errorf("%+v", w)
		}
		s.Record(checker.Hard, "off", 0)
	})
}
