package sim_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"damsontiller/internal/coordination/web"
	"damsontiller/internal/kit/sim"
	"damsontiller/internal/platform/control"
	"damsontiller/internal/transport/code"
)

// reply is a core's answer to an operator of the users' platform; status 0 is none.
type reply struct {
	status int
	code   code.Code
	body   string
	head   http.Header
}

// clear reports whether an operator takes an answer for the last report.
func (r reply) clear() bool {
	return r.status == http.StatusOK || r.status >= 400 && r.status < 500 && r.status != http.StatusRequestTimeout
}

// begin sends a request to a core's control address; the answer comes whenever it
// comes.
func begin(s *sim.Sim, core, method, path, base, body string) <-chan reply {
	header := http.Header{}
	if base != "" {
		header.Set("X-Damsontiller-Base-Revision", base)
	}
	return beginWith(s, core, method, path, header, body)
}

// beginWith sends a request with headers of its own.
func beginWith(s *sim.Sim, core, method, path string, header http.Header, body string) <-chan reply {
	done := make(chan reply, 1)
	c := s.Core(core)
	if c == nil {
		done <- reply{}
		return done
	}
	e := web.New(hclog.NewNullLogger())
	(&control.Handler{Core: c, Sets: c}).Routes(e)
	c.Routes(e)
	q := httptest.NewRequest(method, path, strings.NewReader(body))
	maps.Copy(q.Header, header)
	go func() {
		time.Sleep(time.Millisecond)
		s.Net.WaitWhileFrozen(s.Get(core).Addr)
		w := httptest.NewRecorder()
		e.ServeHTTP(w, q)
		s.Net.WaitWhileFrozen(s.Get(core).Addr)
		var f web.Failure
		if w.Code >= 300 {
			_ = json.Unmarshal(w.Body.Bytes(), &f)
		}
		done <- reply{w.Code, code.Code(f.Code), w.Body.String(), w.Header()}
	}()
	return done
}

// order sends a request and waits for a second, as operators do.
func order(s *sim.Sim, core, method, path, base, body string) reply {
	t := time.NewTimer(time.Second)
	defer t.Stop()
	select {
	case r := <-begin(s, core, method, path, base, body):
		return r
	case <-t.C:
		return reply{}
	}
}

func routeTable(revision int, token string) string {
	return fmt.Sprintf(
		`{"revision":%d,"route-table":[{"name":%q,"authority":"h.test","path-prefix":"/a/","route-type":"idempotent","guard-timer-ms":4000,"target-service":"s"}],"service-table":[{"name":"s"}]}`,
		revision,
		token,
	)
}

func replaceAt(s *sim.Sim, core string, base, revision int, token string) reply {
	return order(
		s,
		core,
		http.MethodPost,
		"/v1/configuration/replace",
		strconv.Itoa(base),
		routeTable(revision, token),
	)
}

// lostTouch are the ways in which the core c1 loses touch with the others.
var lostTouch = []struct {
	name         string
	begin        func(*sim.Sim)
	end          func(*sim.Sim)
	unresponsive bool // it does not answer while it lasts
}{
	{
		"both ways",
		func(s *sim.Sim) { s.Partition([]string{"c1"}, s.Rest("c1"), true) },
		func(s *sim.Sim) { s.Partition([]string{"c1"}, s.Rest("c1"), false) },
		false,
	},
	{
		"sends nothing",
		func(s *sim.Sim) { s.PartitionOneWay([]string{"c1"}, s.Rest("c1"), true) },
		func(s *sim.Sim) { s.PartitionOneWay([]string{"c1"}, s.Rest("c1"), false) },
		false,
	},
	{
		"hears nothing",
		func(s *sim.Sim) { s.PartitionOneWay(s.Rest("c1"), []string{"c1"}, true) },
		func(s *sim.Sim) { s.PartitionOneWay(s.Rest("c1"), []string{"c1"}, false) },
		false,
	},
	{"frozen", func(s *sim.Sim) { s.Freeze("c1") }, func(s *sim.Sim) { s.Thaw("c1") }, true},
}

// TestOrdersPartitioned: a core that is out of touch for 20 s acknowledges nothing, gives
// no configuration, and refuses nothing for good, not even what is wrong by its own
// copy; the others go on, and what it held back undoes nothing afterwards.
func TestOrdersPartitioned(t *testing.T) {
	t.Parallel()
	for _, lost := range lostTouch {
		t.Run(lost.name, func(t *testing.T) {
			t.Parallel()
			selfManaged(t, 11, func(_ context.Context, s *sim.Sim) {
				if r := replaceAt(s, "c2", 0, 1, "m1"); r.status != http.StatusOK {
					t.Fatalf("the first: %+v", r)
				}
				lost.begin(s)
				for round := range 2 {
					unclear(t, s, lost.unresponsive)
					base := 1 + 4*round
					if r := replaceAt(s, "c2", base, base+4, "m"); r.status != http.StatusOK {
						t.Errorf("round %d at c2: %+v", round, r)
					}
					time.Sleep(8 * time.Second)
				}
				// An order that c1 holds back, and what was ordered since.
				pending := begin(s, "c1", http.MethodPost, "/v1/evacuation/a/initiate", "", "")
				time.Sleep(time.Second)
				for _, answer := range []string{"initiate", "terminate"} {
					if r := order(s, "c3", http.MethodPost, "/v1/evacuation/a/"+answer, "", ""); r.status != http.StatusOK {
						t.Errorf("%s at c3: %+v", answer, r)
					}
				}
				lost.end(s)
				if r := <-pending; r.status != http.StatusServiceUnavailable {
					t.Errorf("the order that was held back: %+v", r)
				}
				time.Sleep(3 * time.Second)
				if z := s.View("c2").Spec.EmptyZones; len(z) > 0 {
					t.Errorf("an old order undid a newer one: %v are empty", z)
				}
				if r := order(s, "c1", http.MethodGet, "/v1/configuration/retrieve", "", ""); !strings.Contains(
					r.body,
					`"revision":9,`,
				) {
					t.Errorf("c1 reads %+v", r)
				}
				if r := replaceAt(s, "c1", 5, 9, "m"); r.status != http.StatusOK {
					t.Errorf("sent again to c1: %+v", r)
				}
			})
		})
	}
}

// unclear asks the core c1 everything at once; nothing may be given, taken or refused.
func unclear(t *testing.T, s *sim.Sim, unresponsive bool) {
	t.Helper()
	asked := []struct{ method, path, base, body string }{
		{http.MethodPost, "/v1/configuration/replace", "1", routeTable(2, "x")},
		{http.MethodPost, "/v1/configuration/replace", "0", routeTable(7, "x")},
		{http.MethodPost, "/v1/configuration/replace", "1", routeTable(1, "x")},
		{http.MethodPost, "/v1/configuration/modify", "1", `{"revision":4}`},
		{http.MethodGet, "/v1/configuration/retrieve", "", ""},
		{http.MethodPost, "/v1/evacuation/a/initiate", "", ""},
		{http.MethodPost, "/v1/evacuation/nowhere/initiate", "", ""},
		{http.MethodPost, "/v1/retire/s1/initiate", "", `{"deadline-s":10}`},
		{http.MethodPost, "/v1/retire/nobody/initiate", "", `{"deadline-s":10}`},
		{http.MethodGet, "/v1/retire/nobody/retrieve", "", ""},
		{http.MethodGet, "/v1/spec", "", ""},
		{http.MethodPatch, "/v1/spec", "", `{"expect":99999,"empty_zones":[]}`},
		{http.MethodGet, "/v1/spec/versions/99999", "", ""},
		{http.MethodPost, "/v1/zones/nowhere/empty", "", ""},
		{http.MethodGet, "/v1/members", "", ""},
		{http.MethodGet, "/v1/health", "", ""},
		{http.MethodGet, "/v1/sets", "", ""},
		{http.MethodGet, "/v1/explain", "", ""},
		{http.MethodGet, "/v1/policies", "", ""},
		{http.MethodDelete, "/v1/policies/nobody", "", ""},
		{http.MethodPost, "/v1/sets/stores/admit", "", `{"id":"nobody"}`},
		{http.MethodPost, "/v1/sets/stores/retire", "", `{"id":"nobody"}`},
		{http.MethodPost, "/v1/sets/stores/abandon", "", `{}`},
	}
	var answers []<-chan reply
	for _, q := range asked {
		answers = append(answers, begin(s, "c1", q.method, q.path, q.base, q.body))
	}
	if unresponsive {
		return
	}
	for i, q := range asked {
		r := <-answers[i]
		if r.status != http.StatusServiceUnavailable && r.status != http.StatusBadGateway {
			t.Errorf("%s %s: %+v", q.method, q.path, r)
		}
		if r.status == http.StatusServiceUnavailable && r.head.Get("Retry-After") == "" {
			t.Errorf("%s %s does not say when to come back: %+v", q.method, q.path, r)
		}
	}
}

// TestOrdersMany: of 300 changes, in races of two operators that lose answers and
// send again to any core, with cores away now and then, none that was taken is ever
// refused, nor the other of its race taken; each is sent once more at the end.
func TestOrdersMany(t *testing.T) {
	t.Parallel()
	selfManaged(t, 12, func(ctx context.Context, s *sim.Sim) {
		type sentOrder struct {
			base, revision int
			token          string
			taken          bool
		}
		var all []sentOrder
		rnd := rand.New(rand.NewPCG(12, 1))
		revision := 0
		for i := range 150 {
			switch i % 50 {
			case 10:
				s.Partition([]string{"c1"}, s.Rest("c1"), true)
			case 20:
				s.Partition([]string{"c1"}, s.Rest("c1"), false)
			case 30:
				s.Kill("c3")
			case 40:
				launch(t, ctx, s, false, "c3")
			}
			next := revision + 1 + rnd.IntN(3)
			pair := []sentOrder{
				{revision, next, fmt.Sprint("a", i), false},
				{revision, next + rnd.IntN(2), fmt.Sprint("b", i), false},
			}
			answers := make(chan int, len(pair))
			for n := range pair {
				seed := rnd.Uint64()
				go func() {
					pair[n].taken = sendUntilClear(t, s, seed, pair[n].base, pair[n].revision, pair[n].token)
					answers <- n
				}()
			}
			for range pair {
				<-answers
			}
			if pair[0].taken == pair[1].taken {
				t.Fatalf("race %d: %+v", i, pair)
			}
			for _, o := range pair {
				if o.taken {
					revision = o.revision
				}
			}
			all = append(all, pair...)
		}
		time.Sleep(5 * time.Second)
		for i, o := range all {
			r := replaceAt(s, fmt.Sprintf("c%d", 1+i%3), o.base, o.revision, o.token)
			if o.taken != (r.status == http.StatusOK) ||
				r.status != http.StatusOK && r.status != http.StatusPreconditionFailed {
				t.Errorf("%+v sent again at the end: %+v", o, r)
			}
		}
		v := s.View("c2")
		t.Logf(
			"%d orders, %d bytes of memory of them, the register has %d bytes",
			len(all),
			len(v.TakenLog),
			len(v.Raw()),
		)
	})
}

// sendUntilClear sends an order to any core until an answer that is not lost is clear;
// it reports whether the order was taken. An answer that is lost counts all the same.
func sendUntilClear(t *testing.T, s *sim.Sim, seed uint64, base, revision int, token string) bool {
	rnd := rand.New(rand.NewPCG(seed, 2))
	taken, refused := false, false
	for range 60 {
		r := replaceAt(s, fmt.Sprintf("c%d", 1+rnd.IntN(3)), base, revision, token)
		taken = taken || r.status == http.StatusOK
		refused = refused || r.clear() && r.status != http.StatusOK
		if taken && refused {
			t.Errorf("revision %d (%s) was taken and refused", revision, token)
		}
		if r.clear() && rnd.IntN(2) == 0 {
			return taken
		}
		time.Sleep(time.Duration(1+rnd.IntN(100)) * time.Millisecond)
	}
	t.Errorf("revision %d (%s) never got a clear answer", revision, token)
	return taken
}

// TestRetireAway: while another store is away for a moment an order to retire one is
// put off, not refused; it is taken once that store is back. What the sets can't bear
// is refused.
func TestRetireAway(t *testing.T) {
	t.Parallel()
	selfManaged(t, 13, func(ctx context.Context, s *sim.Sim) {
		retire := func(core, id string) reply {
			return order(s, core, http.MethodPost, "/v1/retire/"+id+"/initiate", "", `{"deadline-s":10}`)
		}
		if r := retire("c2", "s1"); r.status != http.StatusConflict {
			t.Errorf("of three: %+v", r)
		}
		launch(t, ctx, s, false, "s4")
		sets(t, s, 4*time.Second, "c1 c2 c3", "s1 s2 s3 s4")
		s.Kill("s3")
		time.Sleep(4 * time.Second)
		for _, core := range []string{"c1", "c2", "c3"} {
			if r := retire(core, "s1"); r.status != http.StatusServiceUnavailable || r.code != code.FewLive {
				t.Errorf("with s3 away, at %s: %+v", core, r)
			}
		}
		launch(t, ctx, s, false, "s3")
		time.Sleep(3 * time.Second)
		for _, core := range []string{"c1", "c2", "c3", "c1"} {
			if r := retire(core, "s1"); r.status != http.StatusOK {
				t.Errorf("with s3 back, at %s: %+v", core, r)
			}
		}
		if r := retire("c3", "s2"); r.status != http.StatusConflict {
			t.Errorf("a second: %+v", r)
		}
		sets(t, s, 6*time.Second, "c1 c2 c3", "s2 s3 s4")
		s.Kill("s1")
		s.Wipe("s1")
		// Gone, wiped, and still acknowledged.
		if r := retire("c1", "s1"); r.status != http.StatusOK {
			t.Errorf("once it is gone: %+v", r)
		}
		if r := order(s, "c2", http.MethodGet, "/v1/retire/s1/retrieve", "", ""); !strings.Contains(
			r.body,
			"completed",
		) {
			t.Errorf("its state: %+v", r)
		}
	})
}

// TestRetireUnheard: a name is unknown only as reported by cores that have run for
// long enough to have seen it.
func TestRetireUnheard(t *testing.T) {
	t.Parallel()
	selfManaged(t, 14, func(ctx context.Context, s *sim.Sim) {
		retire := func() reply {
			return order(s, "c1", http.MethodPost, "/v1/retire/nobody/initiate", "", `{"deadline-s":10}`)
		}
		time.Sleep(3 * time.Second)
		if r := retire(); r.status != http.StatusNotFound {
			t.Errorf("after a while: %+v", r)
		}
		for _, id := range []string{"c2", "c3"} {
			s.Kill(id)
		}
		launch(t, ctx, s, false, "c2", "c3")
		for range 10 {
			time.Sleep(200 * time.Millisecond)
			if r := retire(); r.status != http.StatusServiceUnavailable && r.status != 0 {
				t.Errorf("right after two cores' start: %+v", r)
			}
		}
		time.Sleep(3 * time.Second)
		if r := retire(); r.status != http.StatusNotFound {
			t.Errorf("later: %+v", r)
		}
	})
}

// TestOrdersWithID: each order of the product's own interface that carries an id is told that
// it was taken when it is sent again, to another core and after another change; without an
// id it is told what is so by now. Another order under the same id is refused.
func TestOrdersWithID(t *testing.T) {
	t.Parallel()
	selfManaged(t, 161, func(ctx context.Context, s *sim.Sim) {
		launch(t, ctx, s, false, "s4", "s5")
		inForce(t, s, 5*time.Second, "c1 c2 c3", "s1 s2 s3 s4 s5")
		send := func(core, method, path, body, id string) reply {
			header := http.Header{}
			if id != "" {
				header.Set("Idempotency-Key", id)
			}
			return <-beginWith(s, core, method, path, header, body)
		}
		put := func() string {
			v := s.View("c1")
			b, err := v.Spec.MarshalJSON()
			if err != nil {
				t.Fatal(err)
			}
			return fmt.Sprintf(`{"expect":%d,"spec":%s}`, v.Version, b)
		}
		for i, tc := range []struct {
			method, path string
			body         func() string
			again        int // status without an id
		}{
			{http.MethodPut, "/v1/spec", put, http.StatusConflict},
			{http.MethodPatch, "/v1/spec", func() string { return `{"cooldown":{"first_ms":1500}}` }, http.StatusOK},
			{http.MethodPost, "/v1/zones/a/empty", func() string { return "" }, http.StatusOK},
			{http.MethodPost, "/v1/zones/a/refill", func() string { return "" }, http.StatusOK},
			{http.MethodPost, "/v1/sets/stores/retire", func() string { return `{"id":"s4"}` }, http.StatusBadRequest},
		} {
			id, body := fmt.Sprint("id-", i), tc.body()
			if r := send("c1", tc.method, tc.path, body, id); r.status != http.StatusOK && r.status != http.StatusAccepted {
				t.Fatalf("%s %s: %+v", tc.method, tc.path, r)
			}
			time.Sleep(4 * time.Second)
			change(t, s, "in between")
			if r := send("c2", tc.method, tc.path, body, id); r.status != http.StatusOK {
				t.Errorf("%s %s again: %+v", tc.method, tc.path, r)
			}
			other := body + " "
			if body == "" {
				other = `{"force":true}`
			}
			if r := send("c3", tc.method, tc.path, other, id); r.code != code.KeyReused {
				t.Errorf("%s %s, another under its id: %+v", tc.method, tc.path, r)
			}
			if r := send("c2", tc.method, tc.path, body, ""); r.status != tc.again && (tc.again == http.StatusOK || r.status < 400) {
				t.Errorf("%s %s without an id: %+v", tc.method, tc.path, r)
			}
		}
		if r := send("c1", http.MethodPatch, "/v1/spec", "{}", strings.Repeat("x", 200)); r.code != code.BadHeader {
			t.Errorf("an id of 200 bytes: %+v", r)
		}
	})
}
