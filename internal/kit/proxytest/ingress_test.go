package proxytest_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"damsontiller/internal/dataplane/request/proxy"
	"damsontiller/internal/kit/proxytest"
)

// want is what the caller of a job hears whose first runner has a fault, the
// others none; 0 is an answer that breaks off.
var want = []struct {
	f                                   proxytest.Fault
	repeatable, once, stream, resumable int
	runs                                int // of the repeatable one
}{
	{proxytest.None, 200, 200, 200, 200, 1},
	{proxytest.Drop, 200, 200, 200, 200, 1},
	{proxytest.LoseAnswer, 200, 502, 502, 200, 2},
	{proxytest.Truncate, 200, 502, 0, 200, 2},
	{proxytest.NoAnswer, 200, 502, 502, 200, 2},
	{proxytest.Surplus, 200, 200, 200, 200, 1},
	{proxytest.LateAnswer, 200, 200, 200, 200, 1},
	{proxytest.NoSeal, 200, 502, 502, 200, 2},
	{proxytest.Other, 200, 200, 200, 200, 1},
	{proxytest.RateLimit, 200, 200, 200, 200, 1},
	{proxytest.TruncateStream, 200, 502, 0, 200, 2},
	{proxytest.ShutIdle, 200, 200, 200, 200, 1},
	{proxytest.Slow, 504, 504, 504, 504, 1},
	{proxytest.Own500, 500, 500, 500, 500, 1},
	{proxytest.Bare503, 200, 502, 502, 200, 2},
	{proxytest.NoDial, 200, 200, 200, 200, 1},
}

// TestFaults brings each fault about for each kind of job, at the runner that the
// job is sent to first, on a new connection and on one that was used before;
// the next job on whatever connections are left is served as if nothing had been.
func TestFaults(t *testing.T) {
	for _, w := range want {
		for kind, status := range map[string]int{repeatable: w.repeatable, once: w.once, stream: w.stream, resumable: w.resumable} {
			for _, used := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d%s%v", w.f, kind, used), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { oneFault(t, w.f, kind, status, w.runs, used) })
				})
			}
		}
	}
}

func oneFault(t *testing.T, f proxytest.Fault, kind string, status, runs int, used bool) {
	plan := &proxytest.Plan{}
	r := newRig(t, farm(3, func(p *proxytest.Params) { p.Plan = plan }))
	defer r.stop()
	if used {
		for range 6 {
			if x := r.ask(once+"warm", "b"); x.status != 200 {
				t.Fatal("warming up", x)
			}
		}
	}
	// Whichever runner is first has the fault, the others have none.
	plan.Set(f)
	x := r.ask(kind+"x", "the body")
	if err := r.judge(kind, x); err != nil {
		t.Error(err)
	}
	switch {
	case status == 0 && (x.status != 200 || !x.truncated):
		t.Errorf("status %d, cut %v: want an answer that breaks off", x.status, x.truncated)
	case status != 0 && (x.status != status || x.truncated):
		t.Errorf("status %d, cut %v, want %d: %s", x.status, x.truncated, status, x.body)
	}
	if n := len(r.runs(x.try)); kind == repeatable && n != runs {
		t.Errorf("ran %d times, want %d", n, runs)
	}
	if f != proxytest.Slow && x.took > 100*time.Millisecond {
		t.Errorf("took %s", x.took)
	}
	if f == proxytest.Slow && x.took > 2*time.Second {
		t.Errorf("held for %s", x.took)
	}
	plan.Set()
	if made := r.made(); !used && f != proxytest.NoDial {
		// One connection a runner that was sent to; those without a clean end have departed.
		clean := f == proxytest.None || f == proxytest.Drop || f == proxytest.Other || f == proxytest.RateLimit ||
			f == proxytest.Own500
		first := r.received(x.try)
		if !clean && x.status != 200 {
			first = 1
		}
		if made != first {
			t.Errorf("%d connections for %d sends", made, first)
		}
		time.Sleep(time.Millisecond)
		if open, want := r.open(), first; clean && open != want || !clean && open >= want && f != proxytest.NoSeal {
			t.Errorf("%d of %d connections are still open", open, want)
		}
	}
	time.Sleep(2 * time.Second)
	for range 6 {
		y := r.ask(kind+"y", "")
		if err := r.judge(kind, y); err != nil || y.status != 200 || y.truncated {
			t.Errorf("after it: status %d cut %v: %v %s", y.status, y.truncated, err, y.body)
		}
	}
}

// TestAllFaulty: every runner has the fault, and none of what is promised breaks.
func TestAllFaulty(t *testing.T) {
	for f := range proxytest.Faults + 1 {
		for _, kind := range []string{repeatable, once, stream, resumable} {
			t.Run(fmt.Sprintf("%d%s", f, kind), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := proxytest.Fault(f)
					n := 5
					if f == proxytest.RateLimit {
						// With no other left it is answered when the first is clear again.
						n = tries
					}
					r := newRig(t, farm(n, nil))
					defer r.stop()
					for _, b := range r.backends {
						b.Next(f, f, f, f)
					}
					x := r.ask(kind+"x", "the body")
					if err := r.judge(kind, x); err != nil {
						t.Error(err)
					}
					switch f {
					case proxytest.Drop, proxytest.Other, proxytest.NoDial:
						if x.status != 503 || x.head.Get("Retry-After") == "" {
							t.Errorf("status %d, Retry-After %q", x.status, x.head.Get("Retry-After"))
						}
					case proxytest.RateLimit:
						if x.status != 429 || x.head.Get("Retry-After") < "1.9" {
							t.Errorf("status %d, Retry-After %q", x.status, x.head.Get("Retry-After"))
						}
					}
					if x.took > 2*time.Second {
						t.Errorf("held for %s", x.took)
					}
				})
			})
		}
	}
}

// TestAnyFaults plays any faults at any runners for a row of jobs of any kind.
func TestAnyFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(rt, "runners")
		plan := map[int][]proxytest.Fault{}
		for i := range n {
			for _, f := range rapid.SliceOfN(rapid.IntRange(0, proxytest.Faults), 0, 12).Draw(rt, "faults") {
				plan[i] = append(plan[i], proxytest.Fault(f))
			}
		}
		jobs := rapid.SliceOfN(
			rapid.SampledFrom([]string{repeatable, once, stream, resumable}),
			1,
			10,
		).Draw(
			rt,
			"jobs",
		)
		chunks := rapid.Bool().Draw(rt, "chunks")
		var bad error
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, farm(n, func(p *proxytest.Params) { p.Chunks = chunks }))
			defer r.stop()
			for i, fs := range plan {
				r.backends[i].Next(fs...)
			}
			for _, kind := range jobs {
				x := r.ask(kind+"x", "the body")
				if err := r.judge(kind, x); err != nil {
					bad = fmt.Errorf("%s: %w", kind, err)
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
		if bad != nil {
			rt.Fatal(bad)
		}
	})
}

// TestLostThenRefused: a job that may have run at one runner and was refused by the
// next is not said to be not run.
func TestLostThenRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, second := range []proxytest.Fault{proxytest.Drop, proxytest.RateLimit, proxytest.NoDial, proxytest.Other} {
			plan := &proxytest.Plan{}
			r := newRig(t, farm(2, func(p *proxytest.Params) { p.Plan = plan }))
			plan.Set(proxytest.LoseAnswer, second)
			x := r.ask(repeatable+"x", "")
			if err := r.judge(repeatable, x); err != nil || x.status != 502 || len(r.runs(x.try)) != 1 {
				t.Errorf("fault %d: status %d, %v", second, x.status, err)
			}
			r.stop()
		}
	})
}

// TestUntouched: method, request target, host, body and headers go on as they came,
// those of one connection aside.
func TestUntouched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, farm(1, nil))
		defer r.stop()
		for i, uri := range []string{"/r/", "/r/a%2Fb/../c;p=1?q=%20+&&=", "/r/x?", "/r/x??", "/r//d//", "/r/%e4%F6", "/r/a:b@c", "/r/*", "/r/[]|^`{}", "/r/ä", "/r/a?b#c", "/r/./"} {
			for _, method := range []string{"GET", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "M-SEARCH"} {
				for _, body := range []string{"", "x", strings.Repeat("0123456789", 9000)} {
					try := fmt.Sprintf("t%d%s%d", i, method, len(body))
					x := r.say(
						fmt.Sprintf(
							"%s %s HTTP/1.1\r\nHost: Host.Test\r\nX-Test-Try: %s\r\nX-Many: a\r\nx-many: b\r\nX-Empty:\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=9\r\nTE: trailers\r\nProxy-Connection: x\r\nUpgrade: h2c\r\nContent-Length: %d\r\n\r\n%s",
							method,
							uri,
							try,
							len(body),
							body,
						),
					)
					if x.status != 200 || x.truncated {
						t.Fatalf("%s %s %d: status %d %s", method, uri, len(body), x.status, x.body)
					}
					q := r.runs(try)[0]
					if q.Method != method || q.URI != uri || q.Body != body || q.Host != "Host.Test" {
						t.Errorf(
							"%s %s %d bytes came as %s %s %d bytes for %s",
							method,
							uri,
							len(body),
							q.Method,
							q.URI,
							len(q.Body),
							q.Host,
						)
					}
					if got := q.Head["X-Many"]; len(got) != 2 || got[0] != "a" || got[1] != "b" {
						t.Errorf("X-Many came as %q", got)
					}
					if _, ok := q.Head["X-Empty"]; !ok {
						t.Errorf("X-Empty did not come")
					}
					for _, h := range []string{"Connection", "X-Hop", "Keep-Alive", "Te", "Proxy-Connection", "Upgrade", "User-Agent", "Accept-Encoding"} {
						if v, ok := q.Head[h]; ok {
							t.Errorf("%s came: %q", h, v)
						}
					}
				}
			}
		}
	})
}

// TestSlashes: a request target that begins with two slashes goes on as it is.
func TestSlashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, farm(1, nil))
		defer r.stop()
		v := *r.view
		v.Version, v.Table.Paths = 2, append(v.Table.Paths[:len(v.Table.Paths):len(v.Table.Paths)], v.Table.Paths[0])
		p := &v.Table.Paths[len(v.Table.Paths)-1]
		p.Name, p.Prefix = "root", "/"
		r.view = &v
		for _, uri := range []string{"//x", "//host.test/y?z", "///", "/"} {
			x := r.say("GET " + uri + " HTTP/1.1\r\nHost: host.test\r\nX-Test-Try: t" + uri + "\r\n\r\n")
			runs := r.runs("t" + uri)
			if x.status != 200 || len(runs) != 1 || runs[0].URI != uri {
				t.Errorf("%s: status %d, runs %v", uri, x.status, runs)
			}
		}
	})
}

// TestBodies: with a length, in chunks, too long either way, and broken off.
func TestBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, farm(1, nil))
		defer r.stop()
		most := int(r.table.Limits.BodyBytes)
		chunked := func(s string) string {
			var b strings.Builder
			for len(s) > 0 {
				n := min(len(s), 3000)
				fmt.Fprintf(&b, "%x;ext=1\r\n%s\r\n", n, s[:n])
				s = s[n:]
			}
			return b.String() + "0\r\nTrail: er\r\n\r\n"
		}
		full, over := strings.Repeat("b", most), strings.Repeat("b", most+1)
		for i, tc := range []struct {
			name, head, body string
			status           int
			received         string
		}{
			{"length", fmt.Sprintf("Content-Length: %d", most), full, 200, full},
			{"chunks", "Transfer-Encoding: chunked", chunked(full), 200, full},
			{"no body in chunks", "Transfer-Encoding: chunked", chunked(""), 200, ""},
			{"too long", fmt.Sprintf("Content-Length: %d", most+1), over, 413, ""},
			{"too long in chunks", "Transfer-Encoding: chunked", chunked(over), 413, ""},
			{"expects", "Expect: 100-continue\r\nContent-Length: 2", "ab", 0, "ab"},
		} {
			try := fmt.Sprintf("b%d", i)
			x := r.say(
				"POST /o/x HTTP/1.1\r\nHost: host.test\r\nX-Test-Try: " + try + "\r\n" + tc.head + "\r\n\r\n" + tc.body,
			)
			runs := r.runs(try)
			if tc.status == 0 {
				// The first answer is 100.
				if len(runs) != 1 || runs[0].Body != tc.received || runs[0].Head.Get("Expect") != "" {
					t.Errorf("%s: %v", tc.name, runs)
				}
				continue
			}
			if x.status != tc.status {
				t.Errorf("%s: status %d, want %d", tc.name, x.status, tc.status)
			}
			if tc.status == 200 && (len(runs) != 1 || runs[0].Body != tc.received) ||
				tc.status != 200 && len(runs) > 0 {
				t.Errorf("%s: %d runs", tc.name, len(runs))
			}
		}
		// A body that ends early is nobody's job.
		c, err := r.front.Dial(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(c, "POST /o/x HTTP/1.1\r\nHost: host.test\r\nX-Test-Try: early\r\nContent-Length: 10\r\n\r\nabc")
		c.Close()
		synctest.Wait()
		if n := len(r.runs("early")); n > 0 {
			t.Errorf("half a body ran %d times", n)
		}
	})
}

// TestSmuggled: no job runs that is hidden inside another, however the length is
// told.
func TestSmuggled(t *testing.T) {
	inner := "POST /r/inner HTTP/1.1\r\nHost: host.test\r\nX-Test-Try: inner\r\nContent-Length: 0\r\n\r\n"
	for i, s := range []string{
		"Content-Length: 5\r\nContent-Length: 6\r\n\r\n01234" + inner,
		"Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(inner), inner),
		fmt.Sprintf("Transfer-Encoding: chunked\r\nContent-Length: %d\r\n\r\n5\r\n01234\r\n0\r\n\r\n", 15),
		"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + inner,
		"Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n" + inner,
		"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + inner,
		"Transfer-Encoding:\x0bchunked\r\n\r\n0\r\n\r\n" + inner,
		"Content-Length: +5\r\n\r\n01234" + inner,
		fmt.Sprintf("Connection: Content-Length\r\nContent-Length: %d\r\n\r\n%s", len(inner), inner),
		fmt.Sprintf("Connection: X-Test-Target\r\nContent-Length: %d\r\n\r\n%s", len(inner), inner),
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(inner), inner),
		"X-A: b\nX-Test-Target: i-9\r\nContent-Length: 0\r\n\r\n",
		"X-A: b\r\n folded: \r\nContent-Length: 0\r\n\r\n",
	} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, farm(1, nil))
			defer r.stop()
			x := r.say("GET /r/outer HTTP/1.1\r\nHost: host.test\r\nX-Test-Try: outer\r\n" + s)
			outer := r.runs("outer")
			// What the door itself takes for a second request is one, and the caller's own.
			if n := len(r.runs("inner")); n > 0 &&
				(len(outer) > 0 && strings.Contains(outer[0].Body, "inner") || x.status == 400) {
				t.Errorf("%d: the inner job ran", i)
			}
			for _, q := range r.backends[0].Runs() {
				if q.Try != "outer" && q.Try != "inner" || q.Method == "GET" && q.URI != "/r/outer" ||
					len(q.Head["Content-Length"]) > 1 {
					t.Errorf("%d: %+v ran", i, q)
				}
			}
			if len(outer) > 1 {
				t.Errorf("%d: ran %d times", i, len(outer))
			}
		})
	}
}

// TestBreaksOff: what breaks off in a long answer breaks off for the caller.
func TestBreaksOff(t *testing.T) {
	for _, chunks := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, farm(1, func(p *proxytest.Params) { p.Bytes, p.Chunks = 600<<10, chunks }))
			defer r.stop()
			if x := r.ask(repeatable+"x", ""); x.truncated || len(x.body) != 600<<10 {
				t.Errorf("chunks %v: %d bytes, cut %v", chunks, len(x.body), x.truncated)
			}
			r.backends[0].Next(proxytest.Truncate)
			if x := r.ask(repeatable+"x", ""); !x.truncated {
				t.Errorf("chunks %v: status %d, %d bytes look whole", chunks, x.status, len(x.body))
			}
		})
	}
}

// TestNoEnd: an answer that does not say where it ends is not taken for a whole one.
func TestNoEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, farm(1, func(p *proxytest.Params) { p.NoEnd = true }))
		defer r.stop()
		if x := r.ask(once+"x", ""); x.status != 502 {
			t.Errorf("status %d, cut %v", x.status, x.truncated)
		}
	})
}

// TestUnsealedSlow: a stream without its mark is not heard to its end first.
func TestUnsealedSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, farm(2, func(p *proxytest.Params) { p.Pace = 100 * time.Millisecond }))
		defer r.stop()
		for _, b := range r.backends {
			b.Next(proxytest.NoSeal)
		}
		x := r.ask(stream+"x", "")
		if x.status != 502 || x.took > 50*time.Millisecond {
			t.Errorf("status %d after %s", x.status, x.took)
		}
	})
}

// TestEventsAsMade: each event reaches the caller when it is made.
func TestEventsAsMade(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, farm(1, func(p *proxytest.Params) { p.Pace = 100 * time.Millisecond }))
		defer r.stop()
		c, err := r.front.Dial(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, "GET /s/x HTTP/1.1\r\nHost: host.test\r\nX-Test-Try: t\r\n\r\n")
		got, at := "", time.Now()
		b := make([]byte, 4096)
		for i := 1; i <= 8; i++ {
			for !strings.Contains(got, fmt.Sprintf("id: %d\n", i)) {
				n, err := c.Read(b)
				if err != nil {
					t.Fatal(err)
				}
				got += string(b[:n])
			}
			if d := time.Since(at) - time.Duration(i)*100*time.Millisecond; d < 0 || d > time.Millisecond {
				t.Errorf("event %d is %s late", i, d)
			}
		}
	})
}

// TestResumedByCaller: a stream asked for from an event on is passed from there, and
// taken up from there when it breaks off.
func TestResumedByCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, farm(3, nil))
		defer r.stop()
		for _, b := range r.backends {
			b.Next(proxytest.TruncateStream)
		}
		x := r.ask(resumable+"x", "", head("Last-Event-Id", "2"))
		// Events 3 to 8, of which each runner gives three before it breaks off.
		if want := r.backends[0].P.Text(x.try, 2); x.truncated || x.body != want {
			t.Errorf("cut %v:\n%s\nwant\n%s", x.truncated, x.body, want)
		}
	})
}

// TestReplayedEvents: runners that begin a stream anew, whatever event they are asked to go
// on after, have no event reach the caller twice, whether the system or the caller itself
// takes the stream up again.
func TestReplayedEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, before := range []int{1, 3, 7} {
			r := newRig(t, farm(3, func(p *proxytest.Params) { p.Replay, p.Before = true, before }))
			r.backends[0].Next(proxytest.TruncateStream)
			r.backends[1].Next(proxytest.TruncateStream)
			r.backends[2].Next(proxytest.TruncateStream)
			x := r.ask(resumable+"x", "")
			if want := r.backends[0].P.Text(x.try, 0); !strings.HasPrefix(want, x.body) || x.body == "" {
				t.Errorf("cut after %d:\n%s\nwant the beginning of\n%s", before, x.body, want)
			}
			r.stop()
			r = newRig(t, farm(1, func(p *proxytest.Params) { p.Replay = true }))
			x = r.ask(resumable+"y", "", head("Last-Event-Id", "2"))
			if want := r.backends[0].P.Text(x.try, 2); x.truncated || x.body != want {
				t.Errorf("asked for after 2, cut %v:\n%s\nwant\n%s", x.truncated, x.body, want)
			}
			r.stop()
		}
	})
}

// TestCallerDisconnects: a runner's connection ends with its caller's, and no other runner
// is tried.
func TestCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, farm(3, func(p *proxytest.Params) { p.Pace = 500 * time.Millisecond }))
		defer r.stop()
		c, err := r.front.Dial(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(c, "GET /t/x HTTP/1.1\r\nHost: host.test\r\nX-Test-Try: t\r\n\r\n")
		time.Sleep(1200 * time.Millisecond)
		c.Close()
		time.Sleep(time.Second)
		if n := len(r.runs("t")); n != 1 {
			t.Errorf("ran %d times", n)
		}
		if own := r.load.Local(); len(own) > 0 {
			t.Errorf("still under way: %v", own)
		}
	})
}

// TestDisconnectedCaller: a job is not sent to a runner that left, or whose zone was emptied,
// while the connection to it came up.
func TestDisconnectedCaller(t *testing.T) {
	for _, how := range []string{"leaves", "is off the list", "zone emptied"} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, farm(1, nil))
			defer r.stop()
			d := r.endpoints.Current().Runners
			r.dial = func() {
				switch how {
				case "leaves":
					d[0].Draining = true
					fallthrough
				case "is off the list":
					if how != "leaves" {
						d = nil
					}
					r.setEndpoints(d)
				default:
					v := *r.view
					v.Version, v.Spec.EmptyZones = 2, []string{"a"}
					r.view = &v
				}
			}
			x := r.ask(once+"x", "")
			if x.status != 503 || len(r.runs(x.try)) > 0 {
				t.Errorf("%s: status %d, %d runs", how, x.status, len(r.runs(x.try)))
			}
		})
	}
}

// TestNotMine: what is refused at the door, with the right word, without a send.
func TestNotMine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, farm(1, nil))
		defer r.stop()
		for s, want := range map[string]int{
			"GET /none/ HTTP/1.1\r\nHost: host.test\r\nX-Test-Try: a\r\n\r\n":                  404,
			"GET /r HTTP/1.1\r\nHost: host.test\r\nX-Test-Try: a\r\n\r\n":                      404,
			"GET /r/ HTTP/1.1\r\nHost: other.test\r\nX-Test-Try: a\r\n\r\n":                    404,
			"GET /%72/ HTTP/1.1\r\nHost: host.test\r\nX-Test-Try: a\r\n\r\n":                   404,
			"GET /r/ HTTP/1.1\r\nHost: host.test\r\n\r\n":                                      400,
			"GET /r/ HTTP/1.1\r\nHost: HOST.test:8080\r\nX-Test-Try: b\r\n\r\n":                200,
			"GET /r/ HTTP/1.1\r\nHost: host.test\r\nX-Test-Try: c\r\nX-Test-Wait: 5\r\n\r\n":   504,
			"GET /r/ HTTP/1.1\r\nHost: host.test\r\nX-Test-Try: d\r\nX-Test-Wait: 500\r\n\r\n": 200,
			"HEAD /r/ HTTP/1.0\r\nHost: host.test\r\nX-Test-Try: e\r\nX-Test-Wait: 50\r\n\r\n": 200,
		} {
			if strings.HasPrefix(s, "HEAD") {
				continue
			}
			if x := r.say(s); x.status != want {
				t.Errorf("%q: %d, want %d: %s", s, x.status, want, x.body)
			}
		}
		if n := len(r.runs("a")) + len(r.runs("c")); n > 0 {
			t.Errorf("%d ran", n)
		}
	})
}

var _ proxy.Headers = dialect{}

// TestCallerDoesNotRead: a caller that asks and reads nothing, or sends its body for ever,
// is not waited for past its job's time, whatever is left of the answer.
func TestCallerDoesNotRead(t *testing.T) {
	for _, tc := range []struct{ name, ask string }{
		{"a stream", "GET /s/x HTTP/1.1\r\nHost: host.test\r\nX-Test-Try: t\r\nX-Test-Wait: 2000\r\n\r\n"},
		{"an answer", "GET /g/x HTTP/1.1\r\nHost: host.test\r\nX-Test-Try: t\r\nX-Test-Wait: 2000\r\n\r\n"},
		{"no route", "GET /none/x HTTP/1.1\r\nHost: host.test\r\nX-Test-Try: t\r\n\r\n"},
		{"half a body", "POST /s/x HTTP/1.1\r\nHost: host.test\r\nX-Test-Try: t\r\nX-Test-Wait: 2000\r\nContent-Length: 10\r\n\r\nhalf"},
	} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, farm(2, func(p *proxytest.Params) { p.Pace = 10 * time.Millisecond }))
			defer r.stop()
			// A pipe without any buffer of its own: what is not read holds its writer up.
			ours, theirs := net.Pipe()
			var done sync.WaitGroup
			done.Go(func() { _ = r.http.Serve(&oneConn{conn: theirs, closed: make(chan struct{})}) })
			done.Go(func() { fmt.Fprint(ours, tc.ask) })
			time.Sleep(8 * time.Second)
			if own := r.load.Local(); len(own) > 0 {
				t.Errorf("%s: still under way: %v", tc.name, own)
			}
			_ = ours.SetReadDeadline(time.Now().Add(time.Second))
			if _, err := io.Copy(io.Discard, ours); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("%s: the connection is still there", tc.name)
			}
			ours.Close()
			_ = r.http.Close()
			done.Wait()
		})
	}
}

// oneConn is a listener that gives one connection.
type oneConn struct {
	conn   net.Conn
	once   sync.Once
	closed chan struct{}
}

func (l *oneConn) Accept() (c net.Conn, err error) {
	l.once.Do(func() { c = l.conn })
	if c == nil {
		<-l.closed
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l *oneConn) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

func (l *oneConn) Addr() net.Addr { return l.conn.LocalAddr() }
