package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
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
