package transport_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/transport"
	"damsontiller/internal/transport/memnet"
)

// TestIdle: a connection without calls for the idle timeout is closed once another one is
// dialed. A connection with a pending call stays open, and a later call to the same address
// dials again.
func TestIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(1)
		var errorCount atomic.Int64
		var lastCode atomic.Value
		for i := range 4 {
			s := echo(t, n.Host(fmt.Sprintf("s%d", i)), fmt.Sprintf("s%d", i), &errorCount, &lastCode)
			defer s.Close()
		}
		ln, err := n.Host("slow").Listen("slow")
		if err != nil {
			t.Fatal(err)
		}
		slow := transport.Serve(t.Context(), ln, transport.DefaultParams, func(_ context.Context, call *transport.Call) []byte {
			b := call.Body
			time.Sleep(3 * transport.DefaultParams.IdleTimeout)
			return b
		}, func(error) { errorCount.Add(1) })
		defer slow.Close()
		// Number of open connections, by address.
		var mu sync.Mutex
		open, dials := map[string]int{}, 0
		host := n.Host("c")
		dial := host.Dial
		host.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			c, err := dial(ctx, addr)
			if err != nil {
				return nil, err
			}
			mu.Lock()
			defer mu.Unlock()
			open[addr]++
			dials++
			return &closeNotifier{Conn: c, onClose: func() {
				mu.Lock()
				defer mu.Unlock()
				open[addr]--
			}}, nil
		}
		count := func() (n int) {
			mu.Lock()
			defer mu.Unlock()
			for _, k := range open {
				n += k
			}
			return n
		}
		h := transport.NewClient(host, transport.DefaultParams, nil)
		defer h.Close()
		ask := func(addr string) {
			t.Helper()
			if b, err := h.Call(t.Context(), addr, []byte("x")); err != nil || string(b) != "x" {
				t.Errorf("%s: %q, %v", addr, b, err)
			}
		}
		var wg sync.WaitGroup
		wg.Go(func() { ask("slow") })
		ask("s0")
		ask("s1")
		synctest.Wait()
		if count() != 3 {
			t.Fatalf("%d connections, want 3", count())
		}
		time.Sleep(transport.DefaultParams.IdleTimeout * 2 / 3)
		ask("s1")
		time.Sleep(transport.DefaultParams.IdleTimeout * 2 / 3)
		ask("s2")
		synctest.Wait()
		if count() != 3 || open["s0"] != 0 {
			t.Errorf("open %v: want all but s0's, which was idle", open)
		}
		ask("s0")
		if open["s0"] != 1 || dials != 5 {
			t.Errorf("open %v after %d dials", open, dials)
		}
		wg.Wait()
		if errorCount.Load() != 0 {
			t.Errorf("%d failures at the servers", errorCount.Load())
		}
	})
}

// closeNotifier calls onClose when the connection is first closed.
type closeNotifier struct {
	net.Conn
	once    sync.Once
	onClose func()
}

func (c *closeNotifier) Close() error {
	c.once.Do(c.onClose)
	return c.Conn.Close()
}

// TestIdleRace: calls that begin while their connection is closed as idle are all answered.
func TestIdleRace(t *testing.T) {
	var errorCount atomic.Int64
	var lastCode atomic.Value
	const peers = 6
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(1)
		for i := range peers {
			s := echo(t, n.Host(fmt.Sprintf("s%d", i)), fmt.Sprintf("s%d", i), &errorCount, &lastCode)
			defer s.Close()
		}
		p := transport.DefaultParams
		p.IdleTimeout = time.Second
		h := transport.NewClient(n.Host("c"), p, nil)
		defer h.Close()
		var wg sync.WaitGroup
		for i := range peers {
			wg.Go(func() {
				for range 200 {
					// About the time when the connection is closed.
					time.Sleep(time.Second + time.Duration(i)*time.Microsecond)
					if _, err := h.Call(t.Context(), fmt.Sprintf("s%d", i), []byte("x")); err != nil {
						t.Errorf("s%d: %v", i, err)
					}
				}
			})
		}
		wg.Wait()
	})
}
