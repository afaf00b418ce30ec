package proxytest_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/kit/proxytest"
)

// endlessHeads are heads of answers that never end: what comes first, and what is repeated.
var endlessHeads = []struct{ name, first, repeated string }{
	{"no line end", "", "x"},
	{"a status line without an end", "HTTP/1.1 200 ", "x"},
	{"a header line without an end", "HTTP/1.1 200 OK\r\nX-Long: ", "x"},
	{"a header line continued without an end", "HTTP/1.1 200 OK\r\nX-Long: a\r\n", " x\r\n"},
	{"header lines without an end", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	{"provisional answers without an end", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"a provisional answer with a long head", "HTTP/1.1 103 Early Hints\r\n", "Link: x\r\n"},
}

const (
	// endlessBytes is how much a runner sends to whoever reads all of it.
	endlessBytes = 4 << 20
	// mostHeadBytes is how much of a head may be taken, with the buffers of a connection.
	mostHeadBytes = 192 << 10
)

// endless answers with bytes that don't end, and counts those that were taken.
type endless struct {
	first, repeated string
	taken           atomic.Int64
}

func (e *endless) answer(w io.Writer, _ *http.Request, _ proxytest.Run) bool {
	piece := []byte(strings.Repeat(e.repeated, 1+4096/len(e.repeated)))
	n, err := io.WriteString(w, e.first)
	for taken := n; err == nil && taken < endlessBytes; taken += n {
		e.taken.Add(int64(n))
		n, err = w.Write(piece)
	}
	return err == nil
}

// TestEndlessHead guards against answers whose head never ends: an edge buffered all of it until
// the deadline, and went over its memory.
func TestEndlessHead(t *testing.T) {
	for _, head := range endlessHeads {
		for _, kind := range []string{repeatable, once, stream, keyed} {
			t.Run(head.name+kind, func(t *testing.T) {
				sent := &endless{first: head.first, repeated: head.repeated}
				synctest.Test(t, func(t *testing.T) { endlessHead(t, kind, sent) })
			})
		}
	}
}

func endlessHead(t *testing.T, kind string, sent *endless) {
	r := newRig(t, farm(1, func(p *proxytest.Params) { p.Answer = sent.answer }))
	defer r.stop()
	x := r.ask(kind, "the body")
	if n := sent.taken.Load(); n > mostHeadBytes {
		t.Errorf("%d bytes of a head were taken", n)
	}
	// Once sent, a job counts as run: nothing may promise otherwise.
	if x.status != http.StatusBadGateway || x.truncated || strings.Contains(x.body, sent.repeated+sent.repeated) {
		t.Errorf("status %d, cut %v, %q", x.status, x.truncated, x.body)
	}
	if x.took > 100*time.Millisecond {
		t.Errorf("held for %s", x.took)
	}
	if n := r.received(x.try); n > 1 && !mayRepeat(kind) {
		t.Errorf("sent %d times", n)
	}
	synctest.Wait()
	if n := r.open(); n != 0 {
		t.Errorf("%d connections stay open after spoiled answers", n)
	}
}

// TestEndlessHeadElsewhere checks that a job that may be repeated is served by another runner, and
// one that may not is answered as one that may have run.
func TestEndlessHeadElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent := &endless{repeated: "x"}
		r := newRig(t, farm(2, func(p *proxytest.Params) {
			if p.ID == "i-0" {
				p.Answer = sent.answer
			}
		}))
		defer r.stop()
		statuses := map[string]int{}
		for range 40 {
			statuses[fmt.Sprint(repeatable, r.ask(repeatable, "").status)]++
			statuses[fmt.Sprint(once, r.ask(once, "").status)]++
			time.Sleep(5 * time.Second) // no runner is avoided any more
		}
		if sent.taken.Load() == 0 || statuses[repeatable+"200"] != 40 ||
			statuses[once+"200"]+statuses[once+"502"] != 40 || statuses[once+"502"] == 0 {
			t.Errorf("answers %v", statuses)
		}
	})
}

// TestSpoiledBytesNotShown guards against answers of ours that quote what a runner sent: the bytes
// of a spoiled answer belong to no request.
func TestSpoiledBytesNotShown(t *testing.T) {
	const secret = "another-callers-secret"
	sealed := func(run proxytest.Run) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n", names.Try, run.Try, names.Seal, run.Seal)
	}
	for name, spoiled := range map[string]func(proxytest.Run) string{
		"status line": func(proxytest.Run) string { return secret + "\r\n\r\n" },
		"status":      func(proxytest.Run) string { return "HTTP/1.1 " + secret + "\r\n\r\n" },
		"version":     func(proxytest.Run) string { return "HTTP/" + secret + " 200 OK\r\n\r\n" },
		"header line": func(run proxytest.Run) string { return sealed(run) + secret + "\r\n\r\n" },
		"length":      func(run proxytest.Run) string { return sealed(run) + "Content-Length: " + secret + "\r\n\r\n" },
		"encoding":    func(run proxytest.Run) string { return sealed(run) + "Transfer-Encoding: " + secret + "\r\n\r\n" },
		"chunk": func(run proxytest.Run) string {
			return sealed(run) + "Transfer-Encoding: chunked\r\n\r\n" + secret + "\r\n"
		},
		"trailer": func(run proxytest.Run) string {
			return sealed(run) + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + secret + "\r\n\r\n"
		},
		"answer to another job": func(proxytest.Run) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n%s\r\n\r\n",
				names.Try, secret)
		},
	} {
		for _, kind := range []string{repeatable, once, stream, keyed} {
			t.Run(name+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newRig(t, farm(1, func(p *proxytest.Params) {
						p.Answer = func(w io.Writer, _ *http.Request, run proxytest.Run) bool {
							_, err := io.WriteString(w, spoiled(run))
							return err == nil
						}
					}))
					defer r.stop()
					x := r.ask(kind, "")
					if x.status != http.StatusBadGateway && !x.truncated || strings.Contains(x.body, secret) {
						t.Errorf("status %d, cut %v, %s", x.status, x.truncated, x.body)
					}
				})
			})
		}
	}
}
