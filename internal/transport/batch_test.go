package transport_test

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/transport"
	"damsontiller/internal/transport/listen"
	"damsontiller/internal/transport/memnet"
)

// makeConcurrentCalls makes concurrent calls of various sizes, cancels some of them, and checks
// that each receives its own complete answer.
func makeConcurrentCalls(t *testing.T, call func(ctx context.Context, b []byte) ([]byte, error)) {
	t.Helper()
	var wg sync.WaitGroup
	for c := range uint64(20) {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(1, c))
			for i := range 20 {
				// Sizes around the limits for copying a body and for the size of a batch.
				b := make([]byte, []int{0, 1, 300, 4<<10 - 1, 4 << 10, 4<<10 + 1, 16 << 10, 70 << 10}[rnd.IntN(8)])
				for j := 0; j < len(b); j += 7 {
					b[j] = byte(rnd.Uint32())
				}
				ctx, stop := context.WithCancel(t.Context())
				if i%5 == 4 {
					stop()
				}
				a, err := call(ctx, b)
				if err == nil && !bytes.Equal(a, b) {
					t.Errorf("%d bytes of answer to %d bytes", len(a), len(b))
				}
				if err != nil && i%5 != 4 {
					t.Errorf("%d bytes: %v", len(b), err)
				}
				stop()
			}
		})
	}
	wg.Wait()
}

// TestTogether: frames combined in one write are received separately, over TCP and in memory.
func TestTogether(t *testing.T) {
	echo := func(_ context.Context, call *transport.Call) []byte { return call.Body }
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := transport.Serve(t.Context(), ln, transport.DefaultParams, echo, func(err error) { t.Error(err) })
	defer s.Close()
	var n atomic.Int64
	tcp := transport.TCP(transport.DefaultParams, listen.Opener{})
	for _, net := range []transport.Net{tcp, {Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := tcp.Dial(ctx, addr)
		return countingConn{c, &n}, err
	}}} {
		h := transport.NewClient(net, transport.DefaultParams, nil)
		makeConcurrentCalls(t, func(ctx context.Context, b []byte) ([]byte, error) {
			return h.Call(ctx, ln.Addr().String(), b)
		})
		h.Close()
	}
	if n.Load() == 0 {
		t.Error("no write was counted")
	}
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(1)
		n.SetMaxDelay(3 * time.Millisecond)
		ln, err := n.Host("s").Listen("s")
		if err != nil {
			t.Fatal(err)
		}
		s := transport.Serve(t.Context(), ln, transport.DefaultParams, echo, func(err error) { t.Error(err) })
		h := transport.NewClient(n.Host("c"), transport.DefaultParams, nil)
		makeConcurrentCalls(t, func(ctx context.Context, b []byte) ([]byte, error) { return h.Call(ctx, "s", b) })
		h.Close()
		s.Close()
		// Frames still in transit must not be delivered.
		time.Sleep(time.Second)
	})
}

// TestOneWrite: frames queued during a write are combined in the next one.
func TestOneWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(1)
		ln, err := n.Host("s").Listen("s")
		if err != nil {
			t.Fatal(err)
		}
		s := transport.Serve(
			t.Context(),
			ln,
			transport.DefaultParams,
			func(_ context.Context, call *transport.Call) []byte { return call.Body },
			func(error) {},
		)
		var sent atomic.Int64
		host := n.Host("c")
		dial := host.Dial
		host.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			c, err := dial(ctx, addr)
			return countingConn{c, &sent}, err
		}
		h := transport.NewClient(host, transport.DefaultParams, nil)
		n.Freeze("c")
		var wg sync.WaitGroup
		call := func() {
			wg.Go(func() {
				if _, err := h.Call(t.Context(), "s", []byte("x")); err != nil {
					t.Error(err)
				}
			})
		}
		n.Unfreeze("c")
		call()
		wg.Wait()
		n.Freeze("c")
		sent.Store(0)
		for range 20 {
			call()
		}
		synctest.Wait()
		n.Unfreeze("c")
		wg.Wait()
		if sent.Load() > 2 {
			t.Errorf("20 calls took %d writes", sent.Load())
		}
		h.Close()
		s.Close()
	})
}
