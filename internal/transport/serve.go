package transport

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/membudget"
)

// Call is a received call.
type Call struct {
	Body   []byte
	ReadAt time.Time // when the call was read; the time since then was spent waiting for a processor
	// OnDone, if set by the handler, is called when the memory of the call is no longer in use:
	// its answer has been written or will definitely not be.
	OnDone func()
}

func (c *Call) done() {
	if c.OnDone != nil {
		c.OnDone()
	}
}

// Handler answers a call; a nil answer means that none is sent. The context ends with the
// connection.
type Handler func(ctx context.Context, call *Call) []byte

// Server serves calls at one address.
type Server struct {
	listener    net.Listener
	params      Params
	handler     Handler
	capacity    chan struct{}
	mu          sync.Mutex
	conns       map[net.Conn]func(error)
	isClosed    bool
	wg          sync.WaitGroup // running handlers
	onError     func(error)
	idleWorkers chan task         // unbuffered: received from by idle workers
	idleCount   atomic.Int32      // number of idle workers
	closing     chan struct{}     // closed when the server is closed
	memory      *membudget.Budget // for calls that are being read or answered
}

// task is a call to be answered.
type task struct {
	ctx    context.Context
	id     uint64
	call   *Call
	memory *membudget.Account // holds the call
	answer func(frame) bool   // queues the answer for the connection's writer
}

// maxIdleWorkers bounds the goroutines that wait for the next call. Reusing them avoids growing
// the stack of a new goroutine several times for decoding a message, which cost an eighth of a
// call's processor time.
const maxIdleWorkers = 16

// Serve starts serving calls. onError receives the protocol error of each connection that sent
// invalid frames, and failures to accept connections.
func Serve(ctx context.Context, ln net.Listener, p Params, h Handler, onError func(error)) *Server {
	s := &Server{
		listener:    ln,
		params:      p,
		handler:     h,
		capacity:    make(chan struct{}, p.MaxConcurrentCalls),
		conns:       map[net.Conn]func(error){},
		onError:     onError,
		idleWorkers: make(chan task),
		closing:     make(chan struct{}),
		memory:      membudget.New(p.MaxReadBytes),
	}
	go s.accept(ctx)
	return s
}

// Close stops accepting connections, closes the open ones, and returns once no handler is
// running.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	if !s.isClosed {
		close(s.closing)
	}
	s.isClosed = true
	ends := make([]func(error), 0, len(s.conns))
	for _, end := range s.conns {
		ends = append(ends, end)
	}
	s.mu.Unlock()
	for _, end := range ends {
		end(net.ErrClosed)
	}
	s.wg.Wait()
}

// beginCall registers a handler to wait for in Close. It returns false if the server has been
// closed.
func (s *Server) beginCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isClosed {
		s.wg.Add(1)
	}
	return !s.isClosed
}

const (
	// After a failure to accept, the server pauses. The pause doubles from minAcceptPause to
	// maxAcceptPause.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 500 * time.Millisecond
)

// accept accepts connections until the server is closed. Other failures are temporary, such as
// a lack of file descriptors in the process or the machine: accept retries, and reports the
// first of consecutive failures.
func (s *Server) accept(ctx context.Context) {
	pause := minAcceptPause
	for {
		c, err := s.listener.Accept()
		switch {
		case err == nil:
			pause = minAcceptPause
			go s.serve(ctx, c)
			continue
		case s.closed() || errors.Is(err, net.ErrClosed):
			return
		case pause == minAcceptPause:
			s.onError(code.New(code.Unreachable, "no connection is accepted: %w", err))
		}
		if !s.wait(pause) {
			return
		}
		pause = min(2*pause, maxAcceptPause)
	}
}

func (s *Server) closed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isClosed
}

// wait sleeps for pause. It returns false if the server is closed before.
func (s *Server) wait(pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-s.closing:
		return false
	case <-timer.C:
		return true
	}
}

// serve reads the calls of a connection and starts their handlers.
func (s *Server) serve(ctx context.Context, c net.Conn) {
	ctx, stop := context.WithCancel(ctx)
	out := make(chan frame, s.params.Backlog)
	var once sync.Once
	end := func(error) {
		once.Do(func() {
			stop()
			c.Close()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		})
	}
	s.mu.Lock()
	refused := s.isClosed || len(s.conns) >= s.params.MaxConnections
	s.conns[c] = end
	s.mu.Unlock()
	if refused {
		end(net.ErrClosed)
		return
	}
	w := &writer{conn: c, queue: out, done: ctx.Done(), end: end}
	go w.run()
	frames := newFrameReader(c, s.params.MaxBodyBytes, ctx.Done())
	for {
		memory := s.memory.Account()
		f, err := frames.read(memory)
		if err != nil {
			memory.Close()
			if n := code.Of(err); n != code.Unknown {
				s.onError(err)
				// A peer of another version is notified before the connection is closed.
				if n == code.WireVersion {
					_, _ = c.Write(appendHeader(nil, frame{kind: kindVersionMismatch}))
				}
			}
			end(err)
			return
		}
		if f.kind != kindCall {
			memory.Close()
			s.onError(code.New(code.Garbled, "an answer where a call was due"))
			end(nil)
			return
		}
		// At the limit the connection is not read, so TCP flow control slows the peer down.
		s.capacity <- struct{}{}
		if !s.beginCall() {
			<-s.capacity
			memory.Close()
			end(net.ErrClosed)
			return
		}
		t := task{ctx, f.id, &Call{Body: f.body, ReadAt: time.Now()}, memory, w.enqueue}
		select {
		case s.idleWorkers <- t:
		default:
			go s.work(t)
		}
	}
}

// work answers the given call, and then further ones while it is one of the idle workers.
func (s *Server) work(t task) {
	for more := true; more; t, more = s.next() {
		s.answer(t)
	}
}

// next waits for the next call. It returns false if enough other workers are idle or the server
// is closed.
func (s *Server) next() (task, bool) {
	if s.idleCount.Add(1) > maxIdleWorkers {
		s.idleCount.Add(-1)
		return task{}, false
	}
	select {
	case t := <-s.idleWorkers:
		s.idleCount.Add(-1)
		return t, true
	case <-s.closing:
		return task{}, false
	}
}

func (s *Server) answer(t task) {
	defer s.wg.Done()
	defer func() { <-s.capacity }()
	defer t.memory.Close()
	body := s.handler(t.ctx, t.call)
	if body == nil || !t.answer(frame{kind: kindAnswer, id: t.id, body: body, written: t.call.done}) {
		t.call.done()
	}
}
