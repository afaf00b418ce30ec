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
	"damsontiller/internal/transport/membudget"
)

// memoryLimitFraction is the part of the configured memory that the Go runtime may use. The rest is
// left for memory outside the runtime's limit: stacks, kernel buffers and the program itself.
const memoryLimitFraction = 0.6

// SetMemoryLimit sets the memory limit of the Go runtime from the setting limits.memory-mb.
func (p *Params) SetMemoryLimit() {
	if m := p.Limits.MemoryMB; m > 0 {
		debug.SetMemoryLimit(int64(m * memoryLimitFraction * (1 << 20)))
	}
}

const (
	// memoryBudgetDivisor is the part of the memory that the buffered data of requests may take.
	memoryBudgetDivisor = 8
	// connectionsDivisor is the part of the memory that callers' connections may take, with
	// connectionBytes for the buffers and the stacks of one.
	connectionsDivisor = 5
	connectionBytes    = 48 << 10
	minConnections     = 64
	// descriptorsDivisor is the part of the descriptors for callers' connections. The others are
	// for connections to runners and to other nodes.
	descriptorsDivisor = 2
	// defaultMemoryBytes is the memory assumed without the setting limits.memory-mb.
	defaultMemoryBytes = 512 << 20
)

// MemoryBytes returns the memory of the process in bytes.
func (p *Params) MemoryBytes() int64 {
	if p.Limits.MemoryMB <= 0 {
		return defaultMemoryBytes
	}
	return int64(p.Limits.MemoryMB * (1 << 20))
}

// MemoryBudget returns the bytes that the buffered data of requests may take.
func (p *Params) MemoryBudget() int64 { return p.MemoryBytes() / memoryBudgetDivisor }

// MaxConnections returns the number of callers' connections that the process bears at once.
func (p *Params) MaxConnections() int {
	most := p.MemoryBytes() / connectionsDivisor / connectionBytes
	if p.Limits.Descriptors > 0 {
		most = min(most, int64(p.Limits.Descriptors/descriptorsDivisor))
	}
	return int(max(most, minConnections))
}

// MinFreeMiB returns the free disk space in MiB below which new keys are rejected: 1/16 of the
// setting limits.disk-mb.
func (p *Params) MinFreeMiB() int64 { return int64(p.Limits.DiskMB / 16) }

// deregistrationDelay bounds the time during which the platform sends new callers after this node
// stopped reporting itself ready: the probe runs each second and must fail twice.
const deregistrationDelay = 3 * time.Second

// Front is the server for callers. It listens before the node is ready and for a time after the
// node has begun to stop, because the platform detects both with a delay.
type Front struct {
	Addr    string
	Open    listen.Opener
	Handler http.Handler
	// Limits returns the limits of the current configuration; nil means the defaults.
	Limits func() spec.Limits
	// Memory is the budget for the heads of requests; nil means no limit.
	Memory *membudget.Budget
	// MaxConnections bounds the callers' connections; 0 means no limit.
	MaxConnections int

	listening atomic.Bool
	draining  atomic.Bool
}

// Listening reports whether the server accepts connections.
func (f *Front) Listening() bool { return f.listening.Load() }

// Draining reports whether the server has begun to stop.
func (f *Front) Draining() bool { return f.draining.Load() }

// ServeHTTP passes the request to Handler. While the server drains, it also asks the caller to
// close the connection.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	f.Handler.ServeHTTP(w, r)
}

// Serve listens on Addr and serves callers until ctx ends. It continues until the platform has
// stopped sending new callers, then closes the listener. Requests in progress may run until the
// time grace after the end of ctx.
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
	// The limiter outlives ctx because connections may be idle until the server has stopped.
	limiterCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go idle.run(limiterCtx)
	if f.MaxConnections > 0 {
		ln = listen.Limit(ln, f.MaxConnections, idle.closeOldest)
	}
	ln = &callerListener{Listener: ln, memory: f.Memory}
	// The timeouts of http.Server cannot change after its start, so they are not set.
	server := &http.Server{Handler: f, ConnState: idle.connState, MaxHeaderBytes: 128 << 10}
	return serve(ctx, server, ln, func() { f.draining.Store(true) }, min(deregistrationDelay, grace/2), grace)
}

// maxAuxiliaryConnections bounds the connections of probes and of readers of the status.
const maxAuxiliaryConnections = 128

// ServeAuxiliary serves a handler for probes or status on addr, apart from the callers' server,
// until ctx ends.
func ServeAuxiliary(ctx context.Context, open listen.Opener, addr string, h http.Handler) error {
	ln, err := open.TCP(ctx, net.ListenConfig{}, addr)
	if err != nil {
		return err
	}
	ln = listen.Limit(ln, maxAuxiliaryConnections, nil)
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    16 << 10,
	}
	return serve(ctx, server, ln, func() {}, 0, 0)
}

// serve runs server on ln until ctx ends. It then calls onStop, keeps accepting connections for
// drainDelay and shuts the server down within grace of the end of ctx.
func serve(
	ctx context.Context, server *http.Server, ln net.Listener, onStop func(), drainDelay, grace time.Duration,
) error {
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ln) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	onStop()
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	select {
	case err := <-ended:
		return err
	case <-time.After(drainDelay):
	}
	if err := server.Shutdown(shutdownCtx); err != nil {
		return server.Close()
	}
	return nil
}
