package xport_test

import (
	"context"
	"net"
	"testing"

	"damsontiller/xport"
)

// BenchmarkCall is a call over loopback, alone and among others.
func BenchmarkCall(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := xport.Serve(b.Context(), ln, xport.DefaultParams, func(_ context.Context, body []byte) []byte { return body }, func(error) {})
	defer s.Close()
	h := xport.NewHub(xport.TCP(xport.DefaultParams), xport.DefaultParams, nil)
	defer h.Close()
	body := make([]byte, 300)
	addr := ln.Addr().String()
	b.Run("alone", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := h.Call(b.Context(), addr, body); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("many", func(b *testing.B) {
		b.SetParallelism(16)
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				if _, err := h.Call(b.Context(), addr, body); err != nil {
					b.Error(err)
				}
			}
		})
	})
}
