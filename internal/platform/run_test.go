package platform

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/memnet"
)

// TestReady: the node's own report, on the platform's question only.
func TestReady(t *testing.T) {
	var why error
	h := ReadinessHandler(func() error { return why })
	ask := func(path string) int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		return w.Code
	}
	if got := ask("/v1/readiness"); got != 200 {
		t.Errorf("ready: %d", got)
	}
	why = code.New(code.Stopping, "x")
	if got := ask("/v1/readiness"); got != 503 {
		t.Errorf("stopping: %d", got)
	}
	if got := ask("/v1/other"); got != 404 {
		t.Errorf("another question: %d", got)
	}
}

// TestFrontStop: once stopped, ingress still takes those whom the platform sends
// until it has missed the node, tells them to come elsewhere next time, then
// takes nobody; what runs ends, unless it outlasts the grace.
func TestFrontStop(t *testing.T) {
	for _, c := range []struct {
		name  string
		takes time.Duration
		whole bool
	}{{"ends", 6 * time.Second, true}, {"outlasts", 9 * time.Second, false}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := memnet.New(1)
				ln, err := n.Host("edge").Listen("edge")
				if err != nil {
					t.Fatal(err)
				}
				f := &Front{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/long" {
						time.Sleep(c.takes)
					}
					_, _ = io.WriteString(w, "whole")
				})}
				ctx, stop := context.WithCancel(t.Context())
				served := make(chan error, 1)
				go func() { served <- f.serve(ctx, ln, 7*time.Second) }()
				get := func(path string) (*http.Response, error) {
					nc, err := n.Host("caller").Dial(t.Context(), "edge")
					if err != nil {
						return nil, err
					}
					defer nc.Close()
					q, _ := http.NewRequest(http.MethodGet, "http://edge"+path, nil)
					if err := q.Write(nc); err != nil {
						return nil, err
					}
					return answer(nc, q)
				}
				if r, err := get("/"); err != nil || r.Close || f.Draining() {
					t.Errorf("in service: %v, %v", r, err)
				}
				long := make(chan error, 1)
				go func() { _, err := get("/long"); long <- err }()
				time.Sleep(100 * time.Millisecond)
				stop()
				time.Sleep(2900 * time.Millisecond)
				if r, err := get("/"); err != nil || !r.Close || !f.Draining() {
					t.Errorf("while the platform is late: %v, %v", r, err)
				}
				time.Sleep(time.Second)
				if r, err := get("/"); err == nil {
					t.Errorf("after that it still takes callers: %v", r)
				}
				if err := <-long; (err == nil) != c.whole {
					t.Errorf("what ran: %v", err)
				}
				if err := <-served; err != nil {
					t.Error(err)
				}
				// What outlasted the grace is still asleep.
				time.Sleep(c.takes)
				synctest.Wait()
			})
		})
	}
}

func answer(nc net.Conn, q *http.Request) (*http.Response, error) {
	r, err := http.ReadResponse(bufio.NewReader(nc), q)
	if err != nil {
		return nil, err
	}
	b, err := io.ReadAll(r.Body)
	if err == nil && string(b) != "whole" {
		err = errors.New("not whole")
	}
	return r, err
}
