package transport_test

import (
	"context"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/transport"
	"damsontiller/internal/transport/memnet"
)

// TestCallsOverMemory guards against calls of many peers that together are more than a process
// bears: they are read one after the other, and all are answered. One that is larger than the limit
// by itself is answered as well.
func TestCallsOverMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, size = 64 << 10, 30 << 10
		n := memnet.New(1)
		ln, err := n.Host("s").Listen("s")
		if err != nil {
			t.Fatal(err)
		}
		params := transport.DefaultParams
		params.MaxReadBytes = limit
		var held, highest atomic.Int64
		s := transport.Serve(t.Context(), ln, params, func(_ context.Context, call *transport.Call) []byte {
			now := held.Add(int64(len(call.Body)))
			defer held.Add(-int64(len(call.Body)))
			highest.Store(max(highest.Load(), now))
			time.Sleep(50 * time.Millisecond)
			return []byte("done")
		}, func(err error) { t.Error(err) })
		defer s.Close()
		var wg sync.WaitGroup
		call := func(host string, bytes int) {
			wg.Go(func() {
				client := transport.NewClient(n.Host(host), params, nil)
				defer client.Close()
				if b, err := client.Call(t.Context(), "s", make([]byte, bytes)); err != nil || string(b) != "done" {
					t.Errorf("%d bytes: %q, %v", bytes, b, err)
				}
			})
		}
		for _, host := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			call(host, size)
		}
		wg.Wait()
		if h := highest.Load(); h > limit || h < size {
			t.Errorf("%d bytes of calls at once, limit %d", h, limit)
		}
		call("i", 2*limit)
		wg.Wait()
	})
}

// TestStalledCall guards against a peer that stops in the middle of a call: the memory lent to it
// comes back, and its connection ends.
func TestStalledCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 64 << 10
		n := memnet.New(1)
		ln, err := n.Host("s").Listen("s")
		if err != nil {
			t.Fatal(err)
		}
		params := transport.DefaultParams
		params.MaxReadBytes = limit
		answer := func(context.Context, *transport.Call) []byte { return []byte("done") }
		s := transport.Serve(t.Context(), ln, params, answer, func(error) {})
		defer s.Close()
		stalled, err := n.Host("a").Dial(t.Context(), "s")
		if err != nil {
			t.Fatal(err)
		}
		defer stalled.Close()
		head := make([]byte, 16)
		head[0], head[1], head[2] = 0xD7, transport.Version, 1
		binary.BigEndian.PutUint32(head[4:], limit)
		if _, err := stalled.Write(head); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		client := transport.NewClient(n.Host("b"), params, nil)
		defer client.Close()
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if b, err := client.Call(ctx, "s", make([]byte, limit/2)); err != nil || string(b) != "done" {
			t.Errorf("%q, %v", b, err)
		}
		if waited := time.Since(began); waited > 20*time.Second {
			t.Errorf("waited for %s", waited)
		}
	})
}
