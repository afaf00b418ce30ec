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

// TestReady checks the status of the readiness probe for a ready and a stopping node, and that other
// paths are not served.
func TestReady(t *testing.T) {
	var notReady error
	h := ReadinessHandler(func() error { return notReady })
	probe := func(path string) int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		return w.Code
	}
	if got := probe("/v1/readiness"); got != 200 {
		t.Errorf("ready: %d", got)
	}
	notReady = code.New(code.Stopping, "x")
	if got := probe("/v1/readiness"); got != 503 {
		t.Errorf("stopping: %d", got)
	}
	if got := probe("/v1/other"); got != 404 {
		t.Errorf("other path: %d", got)
	}
}

// TestFrontStop checks the stop of a Front. It still serves new callers with Connection: close until
// the platform has stopped sending them, and then accepts no connections. A request in progress
// completes unless it takes longer than the grace time.
func TestFrontStop(t *testing.T) {
	for _, c := range []struct {
		name      string
		duration  time.Duration // of the request in progress
		completes bool
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
						time.Sleep(c.duration)
					}
					_, _ = io.WriteString(w, "whole")
				})}
				ctx, stop := context.WithCancel(t.Context())
				served := make(chan error, 1)
				go func() { served <- f.serve(ctx, ln, 7*time.Second) }()
				get := func(path string) (*http.Response, error) {
					conn, err := n.Host("caller").Dial(t.Context(), "edge")
					if err != nil {
						return nil, err
					}
					defer conn.Close()
					req, _ := http.NewRequest(http.MethodGet, "http://edge"+path, nil)
					if err := req.Write(conn); err != nil {
						return nil, err
					}
					return readResponse(conn, req)
				}
				if r, err := get("/"); err != nil || r.Close || f.Draining() {
					t.Errorf("before the stop: %v, %v", r, err)
				}
				long := make(chan error, 1)
				go func() { _, err := get("/long"); long <- err }()
				time.Sleep(100 * time.Millisecond)
				stop()
				time.Sleep(2900 * time.Millisecond)
				if r, err := get("/"); err != nil || !r.Close || !f.Draining() {
					t.Errorf("before the platform has detected the stop: %v, %v", r, err)
				}
				time.Sleep(time.Second)
				if r, err := get("/"); err == nil {
					t.Errorf("still accepts callers after the delay: %v", r)
				}
				if err := <-long; (err == nil) != c.completes {
					t.Errorf("request in progress: %v", err)
				}
				if err := <-served; err != nil {
					t.Error(err)
				}
				// A handler that took longer than the grace time is still sleeping.
				time.Sleep(c.duration)
				synctest.Wait()
			})
		})
	}
}

// readResponse reads a response and checks that its body is complete.
func readResponse(conn net.Conn, req *http.Request) (*http.Response, error) {
	r, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return nil, err
	}
	b, err := io.ReadAll(r.Body)
	if err == nil && string(b) != "whole" {
		err = errors.New("response body is incomplete")
	}
	return r, err
}
