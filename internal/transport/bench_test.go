package transport_test

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"damsontiller/internal/transport"
	"damsontiller/internal/transport/listen"
)

// countingConn counts the writes to a connection.
type countingConn struct {
	net.Conn
	writes *atomic.Int64
}

func (c countingConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}

// processorTime returns the processor time used by this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCall measures calls over loopback, one at a time and concurrent ones.
func BenchmarkCall(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := transport.Serve(
		b.Context(),
		ln,
		transport.DefaultParams,
		func(_ context.Context, call *transport.Call) []byte { return call.Body },
		func(error) {},
	)
	defer s.Close()
	var n atomic.Int64
	tcp := transport.TCP(transport.DefaultParams, listen.Opener{})
	h := transport.NewClient(transport.Net{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := tcp.Dial(ctx, addr)
		return countingConn{c, &n}, err
	}}, transport.DefaultParams, nil)
	defer h.Close()
	body := make([]byte, 300)
	addr := ln.Addr().String()
	one := func(b *testing.B) {
		if _, err := h.Call(b.Context(), addr, body); err != nil {
			b.Error(err)
		}
	}
	measure := func(b *testing.B, f func()) {
		b.ReportAllocs()
		n.Store(0)
		began := processorTime()
		f()
		b.ReportMetric(float64(processorTime()-began)/float64(b.N), "cpu-ns/op")
		b.ReportMetric(float64(n.Load())/float64(b.N), "writes/op")
	}
	b.Run("alone", func(b *testing.B) {
		measure(b, func() {
			for b.Loop() {
				one(b)
			}
		})
	})
	b.Run("many", func(b *testing.B) {
		b.SetParallelism(16)
		measure(b, func() {
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					one(b)
				}
			})
		})
	})
}
