package cooldown

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/spec"
)

// TestRaised: the source's six strings, in message or type name, in any case.
func TestRaised(t *testing.T) {
	for _, tc := range []struct {
		typ, msg string
		want     bool
	}{
		{"", "HTTP 429 from upstream", true},
		{"", "Rate Limit reached", true},
		{"RateLimitError", "no", true},
		{"", "Too many requests", true},
		{"ThrottleException", "", true},
		{"", "QUOTA EXCEEDED", true},
		{"Timeout", "connection reset", false},
		{"", "", false},
		{"", "quota left", false},
	} {
		if got := IsRateLimitError(tc.typ, tc.msg); got != tc.want {
			t.Errorf("%q %q: %v", tc.typ, tc.msg, got)
		}
	}
}

// TestRetryAfter: both forms; a date counts against the server's own clock.
func TestRetryAfter(t *testing.T) {
	wrong := time.Now().Add(7 * time.Hour).UTC()
	for _, tc := range []struct {
		ra, date string
		want     time.Duration
	}{
		{"5", "", 5 * time.Second},
		{" 1.5 ", "", 1500 * time.Millisecond},
		{"-3", "", 0},
		{"", "", 0},
		{"soon", "", 0},
		{"NaN", "", 0},
		{"1e9", "", 24 * time.Hour},
		{wrong.Add(9 * time.Second).Format(http.TimeFormat), wrong.Format(http.TimeFormat), 9 * time.Second},
		{wrong.Add(-9 * time.Second).Format(http.TimeFormat), wrong.Format(http.TimeFormat), 0},
	} {
		h := http.Header{}
		h.Set("Retry-After", tc.ra)
		h.Set("Date", tc.date)
		if got := RetryAfter(h); got != tc.want {
			t.Errorf("%q by %q: %s, want %s", tc.ra, tc.date, got, tc.want)
		}
	}
}

// TestNext follows any history of refusals: no wait is ever shortened, none is
// below its floor, none above cap and floor, simultaneous refusals are one
// step, and a quiet spell starts again.
func TestNext(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &spec.Cooldown{FirstMs: 1000, CapMs: 60000, QuietMs: 30000}
		var st register.State
		now, end, step := time.Duration(0), time.Duration(0), 0
		for range rapid.IntRange(1, 30).Draw(rt, "refusals") {
			gap := time.Duration(rapid.IntRange(0, 100000).Draw(rt, "gap ms")) * time.Millisecond
			floor := time.Duration(
				rapid.SampledFrom([]int{0, 0, 500, 5000, 90000}).Draw(rt, "floor ms"),
			) * time.Millisecond
			now += gap
			st.Age += gap
			st.GreatestAge += gap
			inForce := now < end
			v, changed, err := nextValue(c, st, floor)
			if err != nil {
				rt.Fatal(err)
			}
			was := end
			if changed {
				b, _ := json.Marshal(v)
				st = register.State{Version: st.Version + 1, Value: b}
				end = now + time.Duration(v.WaitMs)*time.Millisecond
			}
			switch {
			case end < was:
				rt.Fatalf("shortened from %s to %s", was, end)
			case end < now+floor:
				rt.Fatalf("floor %s, wait %s", floor, end-now)
			case inForce && v.Step != step:
				rt.Fatalf("a refusal within a cooldown went from step %d to %d", step, v.Step)
			case inForce && floor <= was-now && changed:
				rt.Fatal("changed for nothing")
			case !inForce && step > 0 && now-was > c.Quiet() && v.Step != 1:
				rt.Fatalf("after a quiet spell step %d", v.Step)
			case !inForce && step > 0 && now-was <= c.Quiet() && v.Step != min(step+1, 30):
				rt.Fatalf("step %d after %d", v.Step, step)
			case !inForce && end-now > max(c.Cap(), floor):
				rt.Fatalf("wait %s above the cap", end-now)
			}
			step = v.Step
		}
	})
}

// TestKey: the name of the protected call; all that share an account share its.
func TestKey(t *testing.T) {
	s := &spec.Spec{
		Routes: []spec.Route{{Name: "model", Model: true}, {Name: "sms", Account: "acme"}, {Name: "pics"}},
	}
	for _, tc := range []struct {
		r    spec.Runner
		want string
	}{
		{spec.Runner{Name: "m1", Route: "model"}, "server/m1"},
		{spec.Runner{Name: "m2", Route: "model", Account: "lab"}, "account/lab"},
		{spec.Runner{Name: "s1", Route: "sms"}, "account/acme"},
		{spec.Runner{Name: "p1", Route: "pics"}, "route/pics"},
		{spec.Runner{Name: "p2", Route: "pics"}, "route/pics"},
	} {
		if got := Key(s, tc.r); got != tc.want {
			t.Errorf("%s: %s, want %s", tc.r.Name, got, tc.want)
		}
	}
}

// TestTake: whatever stores tell of one register, in whatever order and however
// late one of them took a value, the deadline is never before the refusal's own, and
// never after the soonest count of the latest value.
func TestTake(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newSnapshot()
		at := time.Now()
		type val struct {
			ver, op uint64
			refused time.Duration
			wait    time.Duration
			taken   [3]time.Duration // by each store; negative: not yet
		}
		var vals []*val
		now := time.Duration(0)
		var top *val
		soon := map[*val]time.Duration{}
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(rt, "gap ms")) * time.Millisecond
			switch rapid.IntRange(0, 2).Draw(rt, "event") {
			case 0:
				// A later value; every store takes it some time, one at once.
				ver := uint64(len(vals) + 1)
				v := &val{
					ver:     ver,
					op:      ver * 10,
					refused: now,
					wait:    time.Duration(rapid.IntRange(1, 20).Draw(rt, "wait s")) * time.Second,
				}
				for i := range v.taken {
					v.taken[i] = now + time.Duration(rapid.IntRange(0, 5000).Draw(rt, "late ms"))*time.Millisecond
				}
				vals = append(vals, v)
			default:
				s := rapid.IntRange(0, 2).Draw(rt, "store")
				var has *val
				for _, v := range vals {
					if v.taken[s] <= now {
						has = v
					}
				}
				if has == nil || has.taken[s]+has.wait <= now {
					continue
				}
				end := has.taken[s] + has.wait
				w.observe("k", has.ver, has.op, at.Add(end))
				if top == nil || has.ver > top.ver {
					top = has
				}
				if e, ok := soon[has]; !ok || end < e {
					soon[has] = end
				}
			}
			if top == nil {
				continue
			}
			got := w.observed["k"].end().Sub(at)
			if got < top.refused+top.wait || got > soon[top] {
				rt.Fatalf("ends at %s, refused until %s, soonest count %s", got, top.refused+top.wait, soon[top])
			}
		}
	})
}

// TestTakeRivals: of two values of one version only one was chosen, and nobody here
// knows which: the longer wait holds.
func TestTakeRivals(t *testing.T) {
	w, now := newSnapshot(), time.Now()
	w.observe("k", 3, 1, now.Add(9*time.Second))
	w.observe("k", 3, 2, now.Add(time.Second))
	w.observe("k", 2, 7, now.Add(time.Minute))
	if d := w.observed["k"].end().Sub(now); d != 9*time.Second {
		t.Errorf("%s", d)
	}
	w.observe("k", 4, 3, now.Add(2*time.Second))
	if d := w.observed["k"].end().Sub(now); d != 2*time.Second {
		t.Errorf("after the next version: %s", d)
	}
}
