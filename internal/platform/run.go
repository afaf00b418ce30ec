package platform

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/listen"
)

// SetMemoryLimit keeps the process within the memory given, with space for what the collector
// does not see: stacks, buffers of the kernel, the program itself.
func (p *Params) SetMemoryLimit() {
	if m := p.Limits.MemoryMB; m > 0 {
		debug.SetMemoryLimit(int64(m * 0.6 * (1 << 20)))
	}
}

// MinFreeMiB is the free disk, in MiB, below which no new key is taken.
func (p *Params) MinFreeMiB() int64 { return int64(p.Limits.DiskMB / 16) }

// missed is how long the platform may go on sending new callers after this node
// stopped calling itself ready: it asks each second, and twice.
const missed = 3 * time.Second

// Front is the callers' listener: it opens before the node is ready and outlives its
// stop, as the platform is late to learn of either.
type Front struct {
	Addr    string
	Open    listen.Opener
	Handler http.Handler
	// Limits are those of the configuration in force; nil means none.
	Limits    func() spec.Limits
	listening atomic.Bool
	draining  atomic.Bool
}

// Listening reports whether callers can connect.
func (f *Front) Listening() bool { return f.listening.Load() }

// Draining reports whether the node is to end.
func (f *Front) Draining() bool { return f.draining.Load() }

// ServeHTTP tells callers to come on another connection once the node is to end.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	f.Handler.ServeHTTP(w, r)
}

// Serve takes callers until ctx ends, goes on until the platform has missed this
// node, then lets what runs end until grace after ctx's end.
func (f *Front) Serve(ctx context.Context, grace time.Duration) error {
	ln, err := f.Open.TCP(ctx, net.ListenConfig{}, f.Addr)
	if err != nil {
		return err
	}
	return f.serve(ctx, ln, grace)
}

func (f *Front) serve(ctx context.Context, ln net.Listener, grace time.Duration) error {
	f.listening.Store(true)
	limits := f.Limits
	if limits == nil {
		limits = func() spec.Limits { return spec.Limits{} }
	}
	idle := newIdleLimiter(limits)
	// The limiter outlives ctx: connections rest until the last of them is closed.
	sweeping, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go idle.run(sweeping)
	// The server's own timers are fixed at its start, so they are off.
	s := &http.Server{Handler: f, ConnState: idle.connState, MaxHeaderBytes: 128 << 10}
	return serve(ctx, s, ln, func() { f.draining.Store(true) }, min(missed, grace/2), grace)
}

// ServeAuxiliary serves a small handler beside the front until ctx ends.
func ServeAuxiliary(ctx context.Context, open listen.Opener, addr string, h http.Handler) error {
	ln, err := open.TCP(ctx, net.ListenConfig{}, addr)
	if err != nil {
		return err
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    16 << 10,
	}
	return serve(ctx, s, ln, func() {}, 0, 0)
}

func serve(ctx context.Context, s *http.Server, ln net.Listener, leave func(), stay, grace time.Duration) error {
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ln) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	leave()
	gctx, stop := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer stop()
	select {
	case err := <-ended:
		return err
	case <-time.After(stay):
	}
	if err := s.Shutdown(gctx); err != nil {
		return s.Close()
	}
	return nil
}
