package platform

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/memnet"
)

// frontFixture is a Front with limits that a test can change.
type frontFixture struct {
	t      *testing.T
	net    *memnet.Net
	limits atomic.Pointer[spec.Limits]
}

func newFrontFixture(t *testing.T, limits spec.Limits) *frontFixture {
	r := &frontFixture{t: t, net: memnet.New(1)}
	r.set(limits)
	ln, err := r.net.Host("edge").Listen("edge")
	if err != nil {
		t.Fatal(err)
	}
	handler := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }
	f := &Front{Handler: http.HandlerFunc(handler), Limits: func() spec.Limits { return *r.limits.Load() }}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- f.serve(ctx, ln, time.Second) }()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return r
}

func (r *frontFixture) set(limits spec.Limits) { r.limits.Store(&limits) }

func (r *frontFixture) dial() net.Conn {
	r.t.Helper()
	c, err := r.net.Host("caller").Dial(r.t.Context(), "edge")
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	return c
}

// request sends one request on a connection and reads the response. headerTime is the duration of
// sending the request header.
func request(c net.Conn, headerTime time.Duration) error {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: e"); err != nil {
		return err
	}
	time.Sleep(headerTime)
	if _, err := io.WriteString(c, "dge\r\n\r\n"); err != nil {
		return err
	}
	_, err := readResponse(c, nil)
	return err
}

// closed reports whether the peer closes a connection within the given time.
func closed(c net.Conn, within time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(within))
	_, err := bufio.NewReader(c).Peek(1)
	var netErr net.Error
	return err != nil && (!errors.As(err, &netErr) || !netErr.Timeout())
}

func limits(idle, header time.Duration) spec.Limits {
	return spec.Limits{IdleMs: idle.Milliseconds(), HeaderMs: header.Milliseconds()}
}

// TestIdleLimit checks that a connection is still served after it was idle for four fifths of any
// limit in force since it became idle, even if the header of the next request takes almost as long
// as the header limit.
func TestIdleLimit(t *testing.T) {
	long, short := limits(200*time.Second, 15*time.Second), limits(5*time.Second, 3*time.Second)
	for _, c := range []struct {
		name             string
		before, after    spec.Limits
		changeAt         time.Duration // from the start of the idle time
		idle, headerTime time.Duration
	}{
		{"none named", spec.Limits{}, spec.Limits{}, 0, 48 * time.Second, 9 * time.Second},
		{"long", long, long, 0, 160 * time.Second, 14 * time.Second},
		{"short", short, short, 0, 4 * time.Second, 2900 * time.Millisecond},
		{"raised while it rests", short, long, 2 * time.Second, 160 * time.Second, 14 * time.Second},
		{"lowered while it rests", long, short, 100 * time.Second, 160 * time.Second, 14 * time.Second},
		{"lowered at the start of its rest", long, short, 0, 160 * time.Second, 14 * time.Second},
		{"lowered before it, its client has not heard", long, short, -8 * time.Second, 160 * time.Second, 14 * time.Second},
		{"named for the first time", spec.Limits{}, short, 30 * time.Second, 48 * time.Second, 9 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newFrontFixture(t, c.before)
				conn := r.dial()
				time.Sleep(20 * time.Second)
				if c.changeAt < 0 {
					r.set(c.after)
					time.Sleep(-c.changeAt)
				}
				if c.before.IdleMs == short.IdleMs {
					// A connection without a request would have been closed by now.
					conn = r.dial()
				}
				if err := request(conn, 0); err != nil {
					t.Fatal(err)
				}
				idle := c.idle
				if c.changeAt >= 0 {
					time.Sleep(c.changeAt)
					r.set(c.after)
					idle -= c.changeAt
				}
				time.Sleep(idle)
				if err := request(conn, c.headerTime); err != nil {
					t.Errorf("after %s of idle time: %v", c.idle, err)
				}
			})
		})
	}
}

// TestIdleClosed checks that a connection without a complete request header is closed after the
// limits in force, whether it is unused, idle after a request or sends an endless header. A lowered
// limit must apply after the replaced one has expired.
func TestIdleClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFrontFixture(t, limits(5*time.Second, 3*time.Second))
		unused, used, endless := r.dial(), r.dial(), r.dial()
		if err := request(used, 0); err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				if _, err := io.WriteString(endless, "X"); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
		for name, c := range map[string]net.Conn{"fresh": unused, "used": used, "endless": endless} {
			if !closed(c, 10*time.Second) {
				t.Errorf("%s: still open after the limits", name)
			}
		}
		r.set(limits(50*time.Second, 3*time.Second))
		time.Sleep(2 * time.Second)
		r.set(limits(5*time.Second, 3*time.Second))
		time.Sleep(70 * time.Second)
		late := r.dial()
		if err := request(late, 0); err != nil {
			t.Fatal(err)
		}
		if !closed(late, 10*time.Second) {
			t.Error("the replaced limit is still in force")
		}
	})
}
