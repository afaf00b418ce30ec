package proxytest_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/dataplane/request/proxy"
	"damsontiller/internal/kit/proxytest"
	"damsontiller/internal/transport/membudget"
)

// memoryLimit is the budget of an edge in these tests.
const memoryLimit = 1 << 20

// memoryRig is a handler with a budget before one stand-in.
func memoryRig(
	t *testing.T,
	answer func(io.Writer, *http.Request, proxytest.Run) bool,
	way ...proxy.Policy,
) (*rig, *membudget.Budget) {
	memory := membudget.New(memoryLimit)
	backends := farm(1, func(p *proxytest.Params) { p.Answer = answer })
	return newRigWith(t, proxy.DefaultPool, memory, backends, way...), memory
}

// checkReleased checks that a budget was kept and that all was given back.
func checkReleased(t *testing.T, memory *membudget.Budget) {
	t.Helper()
	if u := memory.Usage(); u.Held != 0 || u.Highest > memoryLimit {
		t.Errorf("memory: %+v", u)
	}
}

// askMany sends jobs at once and counts their statuses; 0 is an answer that broke off.
func (r *rig) askMany(n int, uri, body string) (statuses map[int]int, all []received) {
	statuses = map[int]int{}
	all = make([]received, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { all[i] = r.ask(uri, body) })
	}
	wg.Wait()
	for _, x := range all {
		if x.truncated {
			x.status = 0
		}
		statuses[x.status]++
	}
	return statuses, all
}

// TestBodiesOverMemory guards against callers that together send more than the memory bears: those
// past it are refused, with the time to come back, and none of them runs.
func TestBodiesOverMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, memory := memoryRig(t, func(w io.Writer, _ *http.Request, run proxytest.Run) bool {
			time.Sleep(200 * time.Millisecond)
			_, err := io.WriteString(w, good(run))
			return err == nil
		})
		defer r.stop()
		statuses, all := r.askMany(24, once, strings.Repeat("b", 90<<10))
		if statuses[200] < 5 || statuses[503] < 5 || statuses[200]+statuses[503] != 24 {
			t.Errorf("statuses %v", statuses)
		}
		for _, x := range all {
			if x.status == 503 && (r.received(x.try) > 0 || x.head.Get("Retry-After") == "") {
				t.Errorf("refused, sent %d times, Retry-After %q", r.received(x.try), x.head.Get("Retry-After"))
			}
		}
		checkReleased(t, memory)
	})
}

// TestAnnouncedBody guards against callers that announce a large body and send none of it: an
// edge lends no memory for it.
func TestAnnouncedBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, memory := memoryRig(t, nil)
		defer r.stop()
		for i := range 30 {
			c, err := r.front.Dial(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			head := "POST %s HTTP/1.1\r\nHost: host.test\r\n%s: a-%d\r\nX-Test-Wait: 2000\r\nContent-Length: 100000\r\n\r\n"
			fmt.Fprintf(c, head, once, names.Try, i)
		}
		synctest.Wait()
		if u := memory.Usage(); u.Held > 30*(1<<10) {
			t.Errorf("%d bytes are held for nothing", u.Held)
		}
		if x := r.ask(once, strings.Repeat("b", 90<<10)); x.status != 200 {
			t.Errorf("beside them: status %d", x.status)
		}
		time.Sleep(10 * time.Second)
		checkReleased(t, memory)
	})
}

// TestAnswersOverMemory guards against answers that together are more than the memory bears: they
// are passed on as they arrive, whole.
func TestAnswersOverMemory(t *testing.T) {
	for _, kind := range []string{once, repeatable, keyed} {
		synctest.Test(t, func(t *testing.T) {
			body := strings.Repeat("a", 200<<10)
			r, memory := memoryRig(t, func(w io.Writer, _ *http.Request, run proxytest.Run) bool {
				head := map[string]string{names.Try: run.Try, names.Seal: run.Seal}
				s := message(200, head, body)
				_, err := io.WriteString(w, s[:len(s)/2])
				time.Sleep(100 * time.Millisecond)
				if err == nil {
					_, err = io.WriteString(w, s[len(s)/2:])
				}
				return err == nil
			})
			defer r.stop()
			statuses, all := r.askMany(20, kind, "")
			if statuses[200] != 20 {
				t.Errorf("%s: statuses %v", kind, statuses)
			}
			for _, x := range all {
				if x.body != body {
					t.Errorf("%s: %d bytes", kind, len(x.body))
				}
			}
			if memory.Usage().Refused == 0 {
				t.Error("the budget was never met")
			}
			checkReleased(t, memory)
		})
	}
}

// endlessStreams are streams that never end: what each piece of them is.
var endlessStreams = map[string]string{
	"an event without an end": "data: xxxxxxxxxxxxxxxx\n",
	"a line without an end":   "xxxxxxxxxxxxxxxxxxxxxxx",
}

// TestEndlessEvents guards against events that never end, of many streams at once: an edge buffers
// them within its memory, and passes nothing of them on.
func TestEndlessEvents(t *testing.T) {
	for name, piece := range endlessStreams {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, memory := memoryRig(t, streamOf(func(int) string { return piece }))
				defer r.stop()
				statuses, all := r.askMany(20, stream, "")
				if statuses[0] != 20 {
					t.Errorf("statuses %v", statuses)
				}
				for _, x := range all {
					if x.body != "" || x.took > 2*time.Second {
						t.Errorf("after %s: %.40q", x.took, x.body)
					}
				}
				checkReleased(t, memory)
			})
		})
	}
}

// collecting is a policy that has the event data kept, as for a turn that is stored.
type collecting struct{ kept int }

func (c *collecting) Do(j *proxy.Job, response *proxy.Response, next proxy.Next) proxy.Answer {
	response.Collect()
	answer := next(j, response)
	c.kept = len(response.Text())
	return answer
}

// TestEndlessTurn guards against a stored turn whose stream never ends: what is kept of it is
// bounded, by the memory and by itself, and its answer does not end as complete.
func TestEndlessTurn(t *testing.T) {
	const mostKept = 2 << 20
	for name, memory := range map[string]*membudget.Budget{"little memory": membudget.New(memoryLimit), "enough": nil} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kept := &collecting{}
				words := strings.Repeat("word ", 1000)
				backends := farm(1, func(p *proxytest.Params) {
					p.Answer = streamOf(func(i int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", i, words) })
				})
				r := newRigWith(t, proxy.DefaultPool, memory, backends, kept)
				defer r.stop()
				x := r.ask(stream, "")
				if !x.truncated || x.status != 200 || kept.kept > mostKept || x.took > 2*time.Second {
					t.Errorf("status %d, cut %v, %d kept, after %s", x.status, x.truncated, kept.kept, x.took)
				}
				checkReleased(t, memory)
			})
		})
	}
}

// streamOf answers with a stream of up to 8 MiB in pieces, in one chunk.
func streamOf(piece func(i int) string) func(io.Writer, *http.Request, proxytest.Run) bool {
	return func(w io.Writer, _ *http.Request, run proxytest.Run) bool {
		const size = 8 << 20
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n",
			names.Try, run.Try, names.Seal, run.Seal, size)
		for i, sent := 1, 0; err == nil && sent < size; i++ {
			var s strings.Builder
			for s.Len() < 4096 {
				s.WriteString(piece(i))
			}
			sent += s.Len()
			_, err = io.WriteString(w, s.String())
		}
		return false
	}
}
