package proxytest_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/kit/proxytest"
)

// message spells an answer as a runner would; a nil entry of head leaves it out.
func message(status int, head map[string]string, body string) string {
	var s strings.Builder
	fmt.Fprintf(&s, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for k, v := range head {
		fmt.Fprintf(&s, "%s: %s\r\n", k, v)
	}
	fmt.Fprintf(&s, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return s.String()
}

// good is the complete response to a run.
func good(run proxytest.Run) string {
	return message(
		200,
		map[string]string{names.Try: run.Try, names.Seal: run.Seal},
		proxytest.Complete(run.Runner, run.Try, 40),
	)
}

// refusal says that a job did not run; try may be empty.
func refusal(status int, try string) string {
	head := map[string]string{names.NotRun: "1"}
	if try != "" {
		head[names.Try] = try
	}
	return message(status, head, "not run")
}

// shapes are what a runner that runs a job may send for it, and what a caller then hears
// of a job that may run once.
var shapes = []struct {
	name   string
	send   func(run proxytest.Run) string
	status int // 0: not judged
}{
	{"whole", good, 200},
	{"provisional answers first", func(r proxytest.Run) string {
		return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + good(r)
	}, 200},
	{
		"another protocol",
		func(proxytest.Run) string { return "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" },
		502,
	},
	{"a success without a name", func(r proxytest.Run) string {
		return message(200, map[string]string{names.Seal: r.Seal}, proxytest.Complete(r.Runner, r.Try, 40))
	}, 502},
	{"a success without a seal", func(r proxytest.Run) string {
		return message(200, map[string]string{names.Try: r.Try}, proxytest.Complete(r.Runner, r.Try, 40))
	}, 502},
	{"a failure without a name", func(_ proxytest.Run) string {
		return message(500, map[string]string{names.Seal: "somebody's"}, "another's trouble")
	}, 502},
	{"a refusal without a name", func(proxytest.Run) string { return refusal(503, "") }, 502},
	{"another runner's word without a name", func(proxytest.Run) string { return refusal(421, "") }, 502},
	{
		"a refusal without a name, then the answer",
		func(r proxytest.Run) string { return refusal(503, "") + good(r) },
		502,
	},
	{"an earlier job's answer first", func(r proxytest.Run) string {
		return message(200, map[string]string{names.Try: "earlier", names.Seal: "x"}, "earlier") + good(r)
	}, 200},
	{
		"an earlier job's refusal first",
		func(r proxytest.Run) string { return refusal(503, "earlier") + good(r) },
		200,
	},
	{"only an earlier job's refusal", func(proxytest.Run) string { return refusal(503, "earlier") }, 504},
	{"a second answer", func(r proxytest.Run) string { return good(r) + good(r) }, 200},
	{"a refusal as second answer", func(r proxytest.Run) string { return good(r) + refusal(503, r.Try) }, 200},
	{
		"a refusal without a name as second answer",
		func(r proxytest.Run) string { return good(r) + refusal(503, "") },
		200,
	},
	{"a promise without the word", func(r proxytest.Run) string {
		return message(503, map[string]string{names.Try: r.Try, names.Seal: r.Seal}, "its own")
	}, 502},
	{"a length too great", func(r proxytest.Run) string {
		return strings.Replace(good(r), "Content-Length: ", "Content-Length: 9", 1)
	}, 504},
	{"two lengths", func(r proxytest.Run) string {
		return strings.Replace(good(r), "Content-Length: ", "Content-Length: 5\r\nContent-Length: ", 1)
	}, 502},
	{"a length below nothing", func(r proxytest.Run) string {
		return strings.Replace(good(r), "Content-Length: ", "Content-Length: -", 1)
	}, 502},
	{"bytes that are no answer", func(proxytest.Run) string { return "\x16\x03\x01 no answer\r\n\r\n" }, 502},
	{"a blank line first", func(r proxytest.Run) string { return "\r\n" + good(r) }, 502},
}

// TestShapes: whatever a runner that ran a job sends for it, on a new connection or on
// one used before, a job that may run once runs once; what its caller hears is the complete
// answer that names it, or a failure that promises nothing; and the job after it on the
// same connections hears its own answer.
func TestShapes(t *testing.T) {
	for _, shape := range shapes {
		for _, used := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s used %v", shape.name, used), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { oneShape(t, shape.send, shape.status, used) })
			})
		}
	}
}

func oneShape(t *testing.T, send func(proxytest.Run) string, status int, used bool) {
	odd := false
	r := newRig(t, farm(2, func(p *proxytest.Params) {
		p.Bytes = 40
		p.Answer = func(w io.Writer, _ *http.Request, run proxytest.Run) bool {
			answer := good(run)
			if odd {
				odd, answer = false, send(run)
			}
			_, _ = io.WriteString(w, answer)
			return true
		}
	}))
	defer r.stop()
	if used {
		for range 4 {
			r.ask(once+"warm", "b")
		}
	}
	odd = true
	x := r.ask(once+"x", "the body")
	if err := r.judge(once, x); err != nil || x.status != status || x.truncated {
		t.Errorf("status %d, want %d, cut %v: %v: %s", x.status, status, x.truncated, err, x.body)
	}
	time.Sleep(2 * time.Second)
	for range 4 {
		if y := r.ask(once+"y", ""); y.status != 200 || y.truncated || r.judge(once, y) != nil {
			t.Errorf("after it: status %d, cut %v: %v", y.status, y.truncated, r.judge(once, y))
		}
	}
}

// TestSpeaksFirst: what a runner says on a new connection before anything was asked is
// the answer to no job.
func TestSpeaksFirst(t *testing.T) {
	for name, first := range map[string]string{
		"refusal": refusal(503, ""), "another runner": refusal(421, ""), "failure": message(500, nil, "x"), "success": message(200, map[string]string{names.Seal: "x"}, "x"),
		"provisional": "HTTP/1.1 100 Continue\r\n\r\n", "no answer": "220 ready\r\n",
	} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, farm(2, func(p *proxytest.Params) {
				p.Wrap = func(c net.Conn) net.Conn {
					_, _ = io.WriteString(c, first)
					return c
				}
			}))
			defer r.stop()
			for _, kind := range []string{once, stream, repeatable} {
				x := r.ask(kind+"x", "")
				if err := r.judge(kind, x); err != nil || !mayRepeat(kind) && r.received(x.try) > 1 {
					t.Errorf("%s, %s: status %d, came %d times: %v", name, kind, x.status, r.received(x.try), err)
				}
				time.Sleep(5 * time.Second)
			}
		})
	}
}

// TestForgotten: a kept connection that the runner's side forgot without a word is found
// out by the next job, which may have run: it is not sent again where it may run once.
func TestForgotten(t *testing.T) {
	for _, kind := range []string{repeatable, once, stream, resumable} {
		for _, runs := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				cutter := &proxytest.Cutter{}
				r := truncationRig(t, cutter, false)
				defer r.stop()
				finish(r, kind, true)
				// Reset at its first byte, or once all of it has come and it runs.
				cutter.Arm(runs, 0, proxytest.Reset)
				x := r.requestTruncated(kind)
				cutter.Disarm()
				if err := r.judge(kind, x); err != nil {
					t.Errorf("%s: %v", kind, err)
				}
				want := map[bool]int{true: 200, false: 502}[mayRepeat(kind)]
				if x.status != want || !mayRepeat(kind) && r.received(x.try) > 1 {
					t.Errorf("%s, runs %v: status %d, came %d times", kind, runs, x.status, r.received(x.try))
				}
			})
		}
	}
}
