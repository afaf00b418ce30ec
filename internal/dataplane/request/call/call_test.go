package call

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"damsontiller/internal/dataplane/request/job"
	"damsontiller/internal/dataplane/request/runnerapi"
)

// pipeListener serves the runner's ends of in-memory connections.
type pipeListener struct {
	mu    sync.Mutex
	serve func(n int, c net.Conn)
	dials int
	wg    sync.WaitGroup
}

func (l *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	l.mu.Lock()
	l.dials++
	n := l.dials
	l.mu.Unlock()
	a, b := net.Pipe()
	l.wg.Go(func() {
		defer b.Close()
		l.serve(n, b)
	})
	return a, nil
}

// post sends one job and reads its answer.
func post(t *testing.T, web *http.Client, id string) (string, error) {
	t.Helper()
	q, err := newRequest(t.Context(), "10.0.0.1:80", id, []byte("the body"), true)
	if err != nil {
		t.Fatal(err)
	}
	res, err := web.Do(q)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return string(b), err
}

// requestSize returns the size of a job's request on the wire, in bytes.
func requestSize(t *testing.T, id string) int {
	t.Helper()
	q, err := newRequest(t.Context(), "10.0.0.1:80", id, []byte("the body"), true)
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := q.Write(&b); err != nil {
		t.Fatal(err)
	}
	return b.Len()
}

// truncateSecond answers one job, and closes the connection after some bytes of the next.
func truncateSecond(c net.Conn, at int) {
	r := bufio.NewReader(c)
	q, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	_, _ = io.ReadAll(q.Body)
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood")
	_, _ = io.ReadFull(r, make([]byte, at))
}

// TestSentOnce checks that net/http never sends a job a second time. A reused connection is
// closed after each possible number of bytes of the request, up to the entire request; a
// request that could be rewound would then be resent on a new connection.
func TestSentOnce(t *testing.T) {
	for at := 1; at <= requestSize(t, "second"); at++ {
		l := &pipeListener{}
		l.serve = func(n int, c net.Conn) {
			if n == 1 {
				truncateSecond(c, at)
			}
		}
		web := NewWeb(&http.Transport{DialContext: l.dial, DisableCompression: true})
		if got, err := post(t, web, "first"); err != nil || got != "good" {
			t.Fatalf("the first: %q, %v", got, err)
		}
		if got, err := post(t, web, "second"); err == nil {
			t.Errorf("cut off after %d bytes: %q", at, got)
		}
		web.CloseIdleConnections()
		l.wg.Wait()
		if l.dials > 1 {
			t.Errorf("cut off after %d bytes: %d connections were made", at, l.dials)
		}
	}
}

// TestUnnamedAnswers checks that a connection serves only one job if the runner's answers
// don't name their job, and many if they do, until an answer without a name arrives.
func TestUnnamedAnswers(t *testing.T) {
	for _, tc := range []struct {
		name  string
		names func(job int) bool
		dials int
	}{
		{"never", func(int) bool { return false }, 5},
		{"always", func(int) bool { return true }, 2}, // kept only once an answer has named its job
		// The connection of the unnamed answer still serves the next job, as a reused one.
		{"not the third", func(job int) bool { return job != 3 }, 3},
	} {
		l, jobs := &pipeListener{}, 0
		l.serve = func(_ int, c net.Conn) {
			r := bufio.NewReader(c)
			for {
				q, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.ReadAll(q.Body)
				jobs++
				naming := ""
				if tc.names(jobs) {
					naming = "X-Damsontiller-Job: " + q.Header.Get(runnerapi.JobHeader) + "\r\n"
				}
				fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%sContent-Length: 0\r\n\r\n", naming)
				if q.Close {
					return
				}
			}
		}
		web := NewWeb(&http.Transport{DialContext: l.dial, DisableCompression: true})
		naming := &namingRunners{}
		for i := range 5 {
			q, err := newRequest(t.Context(), "10.0.0.1:80", fmt.Sprint("j", i), nil, naming.reusable("10.0.0.1:80"))
			if err != nil {
				t.Fatal(err)
			}
			r, err := web.Do(q)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.ReadAll(r.Body)
			r.Body.Close()
			naming.observe("10.0.0.1:80", r.Header)
		}
		web.CloseIdleConnections()
		l.wg.Wait()
		if l.dials != tc.dials {
			t.Errorf("%s named: %d connections for five jobs, want %d", tc.name, l.dials, tc.dials)
		}
	}
}

// TestAnswersJob checks which refusals certainly belong to a job.
func TestAnswersJob(t *testing.T) {
	for _, tc := range []struct {
		named        string
		reused, want bool
	}{{"j1", true, true}, {"j1", false, true}, {"j0", true, false}, {"j0", false, false}, {"", true, false}, {"", false, true}} {
		h := http.Header{}
		if tc.named != "" {
			h.Set(runnerapi.JobHeader, tc.named)
		}
		if got := answersJob(h, "j1", tc.reused); got != tc.want {
			t.Errorf("named %q, connection reused %v: %v", tc.named, tc.reused, got)
		}
	}
}

// TestRepeatable checks that turns and jobs with a key run at most once.
func TestRepeatable(t *testing.T) {
	for _, c := range []struct {
		key, conversation string
		want              bool
	}{{"", "", true}, {"k", "", false}, {"", "c", false}, {"k", "c", false}} {
		x := &job.Ctx{}
		x.Key, x.Conv = c.key, c.conversation
		if repeatable(x) != c.want {
			t.Errorf("key %q, conversation %q: %v", c.key, c.conversation, !c.want)
		}
	}
}
