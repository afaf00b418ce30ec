package platform

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/transport/membudget"
	"damsontiller/internal/transport/memnet"
)

// frontRig serves a Front on a simulated network.
type frontRig struct {
	t   *testing.T
	net *memnet.Net
}

func startFront(t *testing.T, f *Front) *frontRig {
	n := memnet.New(1)
	ln, err := n.Host("edge").Listen("edge")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- f.serve(ctx, ln, time.Second) }()
	t.Cleanup(func() { stop(); <-served })
	return &frontRig{t, n}
}

func (r *frontRig) dial() net.Conn {
	r.t.Helper()
	conn, err := r.net.Host("caller").Dial(r.t.Context(), "edge")
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { conn.Close() })
	return conn
}

// ask sends a request and returns the status, 0 if the connection ended.
func (r *frontRig) ask(conn net.Conn, path, more string) int {
	// The server may answer before it has read everything, and this network buffers nothing.
	go fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: edge\r\n%s\r\n", path, more)
	response, err := readResponse(conn, &http.Request{Method: http.MethodGet})
	if response == nil || err != nil && response.StatusCode == http.StatusOK {
		return 0
	}
	return response.StatusCode
}

func whole(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/long" {
		time.Sleep(5 * time.Second)
	}
	_, _ = io.WriteString(w, "whole")
}

// TestHeadsOverMemory guards against callers whose requests have large heads that together are more
// than the memory bears: their connections end unread, and other callers are served.
func TestHeadsOverMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 512 << 10
		f := &Front{Handler: http.HandlerFunc(whole), Memory: membudget.New(limit)}
		r := startFront(t, f)
		for _, line := range []string{"X: " + strings.Repeat("x", 60<<10), strings.Repeat("a:\r\n", 15<<10)} {
			var conns []net.Conn
			for range 20 {
				conn := r.dial()
				go fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: edge\r\n%s", line)
				conns = append(conns, conn)
			}
			time.Sleep(time.Second)
			if u := f.Memory.Usage(); u.Highest > limit || u.Refused == 0 {
				t.Errorf("%+v", u)
			}
			if status := r.ask(r.dial(), "/", ""); status != http.StatusOK {
				t.Errorf("beside them: status %d", status)
			}
			for _, conn := range conns {
				conn.Close()
			}
			time.Sleep(time.Second)
			if u := f.Memory.Usage(); u.Held != 0 {
				t.Errorf("after them: %+v", u)
			}
		}
	})
}

// TestLargeHead checks that a large head that is allowed is served on a connection again and again,
// and that one over the limit is answered 431.
func TestLargeHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &Front{Handler: http.HandlerFunc(whole), Memory: membudget.New(300 << 10)}
		r := startFront(t, f)
		conn := r.dial()
		for range 5 {
			if status := r.ask(conn, "/", "X: "+strings.Repeat("x", 100<<10)+"\r\n"); status != http.StatusOK {
				t.Errorf("a head of 100 KiB: status %d", status)
			}
		}
		synctest.Wait()
		if u := f.Memory.Usage(); u.Held != 0 {
			t.Errorf("on an idle connection: %+v", u)
		}
		status := r.ask(r.dial(), "/", "X: "+strings.Repeat("x", 140<<10)+"\r\n")
		if status != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("a head of 140 KiB: status %d", status)
		}
	})
}

// TestMaxConnections checks that a new caller takes the place of the connection that was idle for
// longest, and is not let in while all of them work.
func TestMaxConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &Front{Handler: http.HandlerFunc(whole), MaxConnections: 3}
		r := startFront(t, f)
		var conns []net.Conn
		for range 3 {
			conns = append(conns, r.dial())
			if status := r.ask(conns[len(conns)-1], "/", ""); status != http.StatusOK {
				t.Fatalf("status %d", status)
			}
			time.Sleep(time.Second)
		}
		fourth := r.dial()
		if status := r.ask(fourth, "/", ""); status != http.StatusOK {
			t.Errorf("one more: status %d", status)
		}
		if status := r.ask(conns[0], "/", ""); status != 0 {
			t.Errorf("the one that was idle for longest: status %d", status)
		}
		for _, conn := range []net.Conn{conns[1], conns[2], fourth} {
			go r.ask(conn, "/long", "")
		}
		time.Sleep(time.Second)
		if status := r.ask(r.dial(), "/", ""); status != 0 {
			t.Errorf("while all work: status %d", status)
		}
		time.Sleep(10 * time.Second)
		if status := r.ask(r.dial(), "/", ""); status != http.StatusOK {
			t.Errorf("after it: status %d", status)
		}
	})
}

// TestMemoryParts checks how many connections and buffered bytes the settings allow.
func TestMemoryParts(t *testing.T) {
	for _, c := range []struct {
		memoryMB, descriptors float64
		connections           int
		budget                int64
	}{
		{72, 4100, 307, 9 << 20},
		{284, 4100, 1211, 284 << 17},
		{284, 400, 200, 284 << 17},
		{284, 0, 1211, 284 << 17},
		{1, 4100, 64, 1 << 17},
		{0, 4100, 2050, 64 << 20},
	} {
		p := &Params{}
		p.Limits.MemoryMB, p.Limits.Descriptors = c.memoryMB, c.descriptors
		if n, budget := p.MaxConnections(), p.MemoryBudget(); n != c.connections || budget != c.budget {
			t.Errorf("%v MB, %v descriptors: %d connections, budget %d", c.memoryMB, c.descriptors, n, budget)
		}
	}
}
