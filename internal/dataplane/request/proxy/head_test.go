package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"damsontiller/internal/dataplane/balancing/endpoints"
)

// TestHeadLimits checks that heads up to the limits are read, also ones that lie in the buffer
// already, and that longer ones are not.
func TestHeadLimits(t *testing.T) {
	const own = "HTTP/1.1 200 OK\r\nTry: a\r\nContent-Length: 0\r\n"
	ownLines := strings.Count(own, "\n") + 1
	lines := func(n int) string { return own + strings.Repeat("X: y\r\n", n-ownLines) + "\r\n" }
	bytes := func(n int) string {
		return own + "X: " + strings.Repeat("y", n-len(own)-len("X: \r\n\r\n")) + "\r\n\r\n"
	}
	hints := func(n int) string { return strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", n) }
	for i, tc := range []struct {
		in   string
		good bool
	}{
		{lines(maxHeadLines), true},
		{lines(maxHeadLines + readBufferBytes/len("X: y\r\n")), false},
		{bytes(maxHeadBytes), true},
		{bytes(maxHeadBytes + readBufferBytes), false},
		{hints(maxProvisionalResponses) + own + "\r\n", true},
		{hints(maxProvisionalResponses+1) + own + "\r\n", false},
		{hints(1) + bytes(maxHeadBytes), true},
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			c := newConn(nil, strings.NewReader(tc.in))
			readResponse := func(r *http.Response) ResponseInfo { return ResponseInfo{Attempt: r.Header.Get("Try")} }
			if _, err := c.readAnswer(&http.Request{Method: http.MethodGet}, "a", readResponse); (err == nil) != tc.good {
				t.Errorf("%d bytes, %d lines: %v", len(tc.in), strings.Count(tc.in, "\n"), err)
			}
		})
	}
}

// TestLongEventID checks that a stream can be resumed after an id up to the limit, and not after a
// longer one, of which nothing is kept.
func TestLongEventID(t *testing.T) {
	for length, resumable := range map[int]bool{1: true, maxEventIDBytes: true, maxEventIDBytes + 1: false, 100_000: false} {
		response := &Response{resumable: true}
		stream := "id: " + strings.Repeat("x", length) + "\ndata: a\n\n"
		if got, err := feed(response, strings.NewReader(stream)); err != nil || got != stream {
			t.Errorf("%d bytes: %d forwarded, %v", length, len(got), err)
		}
		response.headSent = true
		if response.canResume(true) != resumable || len(response.lastEventID) > maxEventIDBytes {
			t.Errorf("%d bytes: an id of %d is kept", length, len(response.lastEventID))
		}
	}
}

// TestIdleConnectionsInAll checks that the pool keeps no more idle connections than allowed over all
// runners, and counts those that it gives back or closes.
func TestIdleConnectionsInAll(t *testing.T) {
	params := DefaultPool
	params.MaxIdleAll = 3
	pool := NewPool(params, func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		t.Cleanup(func() { far.Close() })
		return near, nil
	})
	runner := func(i int) *endpoints.Runner { return &endpoints.Runner{ID: fmt.Sprint("i-", i), Addr: "a"} }
	fill := func() {
		for i := range 5 {
			c, err := pool.get(t.Context(), runner(i), true)
			if err != nil {
				t.Fatal(err)
			}
			pool.put(runner(i), c, time.Minute)
		}
	}
	for range 2 {
		if fill(); pool.count != 3 {
			t.Errorf("%d idle connections", pool.count)
		}
		if pool.popIdle(poolKey(runner(0))) == nil || pool.count != 2 {
			t.Errorf("%d after one was taken", pool.count)
		}
		if pool.Retain(func(string) bool { return false }); pool.count != 0 {
			t.Errorf("%d after all were closed", pool.count)
		}
	}
}
