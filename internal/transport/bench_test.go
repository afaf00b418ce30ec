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

// writes counts the writes to a network's connections.
type writes struct {
	net.Conn
	n *atomic.Int64
}

func (c writes) Write(b []byte) (int, error) {
	c.n.Add(1)
	return c.Conn.Write(b)
}

// cpu is the processor time that this process has used.
func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCall is a call over loopback, alone and among others.
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
		return writes{c, &n}, err
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
		at := cpu()
		f()
		b.ReportMetric(float64(cpu()-at)/float64(b.N), "cpu-ns/op")
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
