package call

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"damsontiller/internal/dataplane/request/job"
)

// pipeListener hands out the runner's ends of connections in memory.
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
	q, err := newRequest(t.Context(), "10.0.0.1:80", id, []byte("the body"))
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

// requestSize is how many bytes the request of a job has on the wire.
func requestSize(t *testing.T, id string) int {
	t.Helper()
	q, err := newRequest(t.Context(), "10.0.0.1:80", id, []byte("the body"))
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := q.Write(&b); err != nil {
		t.Fatal(err)
	}
	return b.Len()
}

// truncateSecond answers one job, and ends its connection once some bytes of the next came.
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

// TestSentOnce: a connection that was used before ends as a job goes out on it, at any
// byte of the request, or once it has come complete: the library never sends it again.
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

// TestRepeatable: turns and jobs with a key run once.
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
