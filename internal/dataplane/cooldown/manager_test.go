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

// TestIsRateLimitError checks that the six phrases are found in the message or type name in any case.
func TestIsRateLimitError(t *testing.T) {
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

// TestRetryAfter checks both forms of the header. A date must be compared with the server's clock.
func TestRetryAfter(t *testing.T) {
	serverTime := time.Now().Add(7 * time.Hour).UTC()
	for _, tc := range []struct {
		retryAfter, date string
		want             time.Duration
	}{
		{"5", "", 5 * time.Second},
		{" 1.5 ", "", 1500 * time.Millisecond},
		{"-3", "", 0},
		{"", "", 0},
		{"soon", "", 0},
		{"NaN", "", 0},
		{"1e9", "", 24 * time.Hour},
		{serverTime.Add(9 * time.Second).Format(http.TimeFormat), serverTime.Format(http.TimeFormat), 9 * time.Second},
		{serverTime.Add(-9 * time.Second).Format(http.TimeFormat), serverTime.Format(http.TimeFormat), 0},
	} {
		h := http.Header{}
		h.Set("Retry-After", tc.retryAfter)
		h.Set("Date", tc.date)
		if got := RetryAfter(h); got != tc.want {
			t.Errorf("%q by %q: %s, want %s", tc.retryAfter, tc.date, got, tc.want)
		}
	}
}

// TestNext checks nextValue with random sequences of refusals: a cooldown is never shortened, a wait
// is not below its floor and not above both the cap and the floor, refusals during one cooldown
// count as one step, and the steps restart after a period without refusals.
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
			previousEnd := end
			if changed {
				b, _ := json.Marshal(v)
				st = register.State{Version: st.Version + 1, Value: b}
				end = now + time.Duration(v.WaitMs)*time.Millisecond
			}
			switch {
			case end < previousEnd:
				rt.Fatalf("shortened from %s to %s", previousEnd, end)
			case end < now+floor:
				rt.Fatalf("floor %s, wait %s", floor, end-now)
			case inForce && v.Step != step:
				rt.Fatalf("a refusal within a cooldown went from step %d to %d", step, v.Step)
			case inForce && floor <= previousEnd-now && changed:
				rt.Fatal("changed although a longer cooldown is in force")
			case !inForce && step > 0 && now-previousEnd > c.Quiet() && v.Step != 1:
				rt.Fatalf("step %d after a period without refusals", v.Step)
			case !inForce && step > 0 && now-previousEnd <= c.Quiet() && v.Step != min(step+1, 30):
				rt.Fatalf("step %d after %d", v.Step, step)
			case !inForce && end-now > max(c.Cap(), floor):
				rt.Fatalf("wait %s above the cap", end-now)
			}
			step = v.Step
		}
	})
}

// TestKey checks the cooldown keys of runners. Runners with the same account share a key.
func TestKey(t *testing.T) {
	s := &spec.Spec{
		Routes: []spec.Route{{Name: "model", Model: true}, {Name: "sms", Account: "acme"}, {Name: "pics"}},
	}
	for _, tc := range []struct {
		runner spec.Runner
		want   string
	}{
		{spec.Runner{Name: "m1", Route: "model"}, "server/m1"},
		{spec.Runner{Name: "m2", Route: "model", Account: "lab"}, "account/lab"},
		{spec.Runner{Name: "s1", Route: "sms"}, "account/acme"},
		{spec.Runner{Name: "p1", Route: "pics"}, "route/pics"},
		{spec.Runner{Name: "p2", Route: "pics"}, "route/pics"},
	} {
		if got := Key(s, tc.runner); got != tc.want {
			t.Errorf("%s: %s, want %s", tc.runner.Name, got, tc.want)
		}
	}
}

// TestObserve checks the deadline computed from the answers of several stores, in any order and with
// any delay until a store accepted a value. It must not be before the end of the refusal's wait, and
// not after the earliest end reported for the latest value.
func TestObserve(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSnapshot()
		start := time.Now()
		type storedValue struct {
			version, operation uint64
			refusedAt          time.Duration
			wait               time.Duration
			acceptedAt         [3]time.Duration // by store
		}
		var values []*storedValue
		now := time.Duration(0)
		var latest *storedValue
		earliestEnd := map[*storedValue]time.Duration{}
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(rt, "gap ms")) * time.Millisecond
			switch rapid.IntRange(0, 2).Draw(rt, "event") {
			case 0:
				// A later value, which each store accepts after a random delay.
				version := uint64(len(values) + 1)
				v := &storedValue{
					version:   version,
					operation: version * 10,
					refusedAt: now,
					wait:      time.Duration(rapid.IntRange(1, 20).Draw(rt, "wait s")) * time.Second,
				}
				for i := range v.acceptedAt {
					v.acceptedAt[i] = now + time.Duration(rapid.IntRange(0, 5000).Draw(rt, "late ms"))*time.Millisecond
				}
				values = append(values, v)
			default:
				store := rapid.IntRange(0, 2).Draw(rt, "store")
				var current *storedValue
				for _, v := range values {
					if v.acceptedAt[store] <= now {
						current = v
					}
				}
				if current == nil || current.acceptedAt[store]+current.wait <= now {
					continue
				}
				end := current.acceptedAt[store] + current.wait
				s.observe("k", current.version, current.operation, start.Add(end))
				if latest == nil || current.version > latest.version {
					latest = current
				}
				if earliest, ok := earliestEnd[current]; !ok || end < earliest {
					earliestEnd[current] = end
				}
			}
			if latest == nil {
				continue
			}
			got := s.observed["k"].end().Sub(start)
			if got < latest.refusedAt+latest.wait || got > earliestEnd[latest] {
				rt.Fatalf("ends at %s, refused until %s, earliest reported end %s",
					got, latest.refusedAt+latest.wait, earliestEnd[latest])
			}
		}
	})
}

// TestObserveConflictingValues checks that the longest wait applies if stores report different values
// of one version, of which only one was chosen.
func TestObserveConflictingValues(t *testing.T) {
	s, now := newSnapshot(), time.Now()
	s.observe("k", 3, 1, now.Add(9*time.Second))
	s.observe("k", 3, 2, now.Add(time.Second))
	s.observe("k", 2, 7, now.Add(time.Minute))
	if d := s.observed["k"].end().Sub(now); d != 9*time.Second {
		t.Errorf("%s", d)
	}
	s.observe("k", 4, 3, now.Add(2*time.Second))
	if d := s.observed["k"].end().Sub(now); d != 2*time.Second {
		t.Errorf("after the next version: %s", d)
	}
}
