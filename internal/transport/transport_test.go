package transport_test

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/transport"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/listen"
	"damsontiller/internal/transport/memnet"
)

// echo serves calls at addr, and records the connections closed because of protocol errors.
func echo(t *testing.T, n transport.Net, addr string, errorCount *atomic.Int64, lastCode *atomic.Value) *transport.Server {
	t.Helper()
	ln, err := n.Listen(addr)
	if err != nil {
		t.Fatal(err)
	}
	return transport.Serve(
		t.Context(),
		ln,
		transport.DefaultParams,
		func(_ context.Context, call *transport.Call) []byte { return call.Body },
		func(err error) {
			errorCount.Add(1)
			lastCode.Store(code.Of(err))
		},
	)
}

// TestBadFrames: frames that are too long, invalid or of another version are rejected with a
// code, and the server continues to serve other connections.
func TestBadFrames(t *testing.T) {
	head := func(magic, ver, kind, zero byte, n uint32) []byte {
		b := make([]byte, 16)
		b[0], b[1], b[2], b[3] = magic, ver, kind, zero
		binary.BigEndian.PutUint32(b[4:], n)
		return b
	}
	for _, tc := range []struct {
		what string
		b    []byte
		want code.Code
	}{
		{"too long", head(0xD7, transport.Version, 1, 0, 1<<31), code.FrameTooLong},
		{"garbled", []byte("GET / HTTP/1.1\r\n\r\n"), code.Garbled},
		{"another version", head(0xD7, transport.Version+1, 1, 0, 0), code.WireVersion},
		{"an answer to nothing", head(0xD7, transport.Version, 2, 0, 0), code.Garbled},
		{"an unknown kind", head(0xD7, transport.Version, 9, 0, 0), code.Garbled},
	} {
		synctest.Test(t, func(t *testing.T) {
			n := memnet.New(1)
			var errorCount atomic.Int64
			var lastCode atomic.Value
			s := echo(t, n.Host("s"), "s", &errorCount, &lastCode)
			defer s.Close()
			c, err := n.Host("c").Dial(t.Context(), "s")
			if err != nil {
				t.Fatal(err)
			}
			go func() { _, _ = c.Write(tc.b) }()
			if _, err := io.ReadAll(c); err != nil && !errors.Is(err, io.ErrClosedPipe) {
				t.Errorf("%s: %v", tc.what, err)
			}
			if errorCount.Load() != 1 || lastCode.Load() != tc.want {
				t.Errorf("%s: %d failures, code %v, want %v", tc.what, errorCount.Load(), lastCode.Load(), tc.want)
			}
			h := transport.NewClient(n.Host("d"), transport.DefaultParams, nil)
			defer h.Close()
			if b, err := h.Call(t.Context(), "s", []byte("x")); err != nil || string(b) != "x" {
				t.Errorf("%s: the next call got %q, %v", tc.what, b, err)
			}
		})
	}
}

// TestOtherVersion: a caller gets an error with a code if its peer uses another frame version.
func TestOtherVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(1)
		ln, err := n.Host("s").Listen("s")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			b := make([]byte, 16)
			_, _ = io.ReadFull(c, b)
			b[1]++   // a later version
			b[2] = 2 // an answer
			_, _ = c.Write(b)
		}()
		h := transport.NewClient(n.Host("c"), transport.DefaultParams, nil)
		defer h.Close()
		if _, err := h.Call(t.Context(), "s", nil); code.Of(err) != code.WireVersion {
			t.Errorf("got %v", err)
		}
		ln.Close()
	})
}

// TestFaults: a refused port, a partition and a lost connection are distinguished.
func TestFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(1)
		partitions := &transport.Partitions{}
		h := transport.NewClient(n.Host("c"), transport.DefaultParams, partitions)
		defer h.Close()
		if _, err := h.Call(t.Context(), "s", nil); !errors.Is(err, transport.ErrRefused) {
			t.Errorf("no listener: %v", err)
		}
		var errorCount atomic.Int64
		var lastCode atomic.Value
		s := echo(t, n.Host("s"), "s", &errorCount, &lastCode)
		if b, err := h.Call(t.Context(), "s", []byte("a")); err != nil || string(b) != "a" {
			t.Errorf("%q %v", b, err)
		}
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		partitions.Set([]string{"s"})
		began := time.Now()
		if _, err := h.Call(ctx, "s", nil); !errors.Is(err, transport.ErrLost) || time.Since(began) != time.Second {
			t.Errorf("partition: %v after %s", err, time.Since(began))
		}
		if partitions.Swallowed() != 1 {
			t.Errorf("%d calls were dropped", partitions.Swallowed())
		}
		partitions.Set(nil)
		s.Close()
		if _, err := h.Call(t.Context(), "s", nil); err == nil || errors.Is(err, context.Canceled) {
			t.Errorf("closed: %v", err)
		}
	})
}

// TestRealPort: calls over real TCP, including a refused port.
func TestRealPort(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	s := transport.Serve(
		t.Context(),
		ln,
		transport.DefaultParams,
		func(_ context.Context, call *transport.Call) []byte { return call.Body },
		func(error) {},
	)
	h := transport.NewClient(transport.TCP(transport.DefaultParams, listen.Opener{}), transport.DefaultParams, nil)
	defer h.Close()
	big := make([]byte, 1<<20)
	if b, err := h.Call(t.Context(), addr, big); err != nil || len(b) != len(big) {
		t.Errorf("%d bytes, %v", len(b), err)
	}
	s.Close()
	for {
		// The first call may use the old connection while it is being closed.
		if _, err := h.Call(t.Context(), addr, nil); errors.Is(err, transport.ErrRefused) {
			break
		} else if !errors.Is(err, transport.ErrLost) {
			t.Fatalf("got %v", err)
		}
	}
}

// TestCloseWaits: Close returns after all handlers have ended, so that the resources that they
// use can be closed.
func TestCloseWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(1)
		ln, err := n.Host("s").Listen("s")
		if err != nil {
			t.Fatal(err)
		}
		var running atomic.Int64
		s := transport.Serve(t.Context(), ln, transport.DefaultParams, func(_ context.Context, call *transport.Call) []byte {
			b := call.Body
			running.Add(1)
			defer running.Add(-1)
			time.Sleep(time.Second)
			return b
		}, func(error) {})
		h := transport.NewClient(n.Host("c"), transport.DefaultParams, nil)
		defer h.Close()
		for range 3 {
			go func() { _, _ = h.Call(t.Context(), "s", nil) }()
		}
		synctest.Wait()
		if running.Load() != 3 {
			t.Fatalf("%d handlers run, want 3", running.Load())
		}
		if s.Close(); running.Load() != 0 {
			t.Errorf("closed while %d handlers run", running.Load())
		}
	})
}

// TestDrop: Drop closes a connection on which nothing has been received for the given time, so
// that the next call dials again. It does not close a connection in use.
func TestDrop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(1)
		var errorCount atomic.Int64
		var lastCode atomic.Value
		s := echo(t, n.Host("s"), "s", &errorCount, &lastCode)
		defer s.Close()
		dials := 0
		host := n.Host("c")
		dial := host.Dial
		host.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			dials++
			return dial(ctx, addr)
		}
		h := transport.NewClient(host, transport.DefaultParams, &transport.Partitions{})
		defer h.Close()
		call := func() {
			if b, err := h.Call(t.Context(), "s", []byte("x")); err != nil || string(b) != "x" {
				t.Errorf("%q %v", b, err)
			}
		}
		h.Drop("s", time.Second) // no connection yet
		call()
		h.Drop("s", time.Second)
		call()
		if dials != 1 {
			t.Errorf("%d dials while it is in use", dials)
		}
		time.Sleep(2 * time.Second)
		h.Drop("s", time.Second)
		call()
		if dials != 2 {
			t.Errorf("%d dials after it was dropped", dials)
		}
	})
}
