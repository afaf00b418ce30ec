package transport

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"damsontiller/internal/transport/code"
)

// Call is a call as it came.
type Call struct {
	Body   []byte
	ReadAt time.Time // when it had been read; until its handler began it waited for a processor
	// OnDone, if the handler sets it, is called once nothing of the call is held any more: its
	// answer has been written, or never will be.
	OnDone func()
}

func (c *Call) done() {
	if c.OnDone != nil {
		c.OnDone()
	}
}

// Handler answers one call; a nil answer means the call is swallowed. Its context ends with
// the connection.
type Handler func(ctx context.Context, call *Call) []byte

// Server takes calls at one address.
type Server struct {
	ln       net.Listener
	p        Params
	h        Handler
	capacity chan struct{}
	mu       sync.Mutex
	open     map[net.Conn]func(error)
	done     bool
	wg       sync.WaitGroup // handlers at work
	bad      func(error)
	crew     chan task     // to handlers that have nothing to do
	idle     atomic.Int32  // of those
	over     chan struct{} // closed with the server
}

// task is one call to be answered.
type task struct {
	ctx    context.Context
	id     uint64
	call   *Call
	answer func(frame) bool // hands the answer to the connection's writer
}

// mostIdle bounds the handlers that wait for the next call. A new goroutine's stack
// has to grow several times before it is deep enough to read a message and to keep
// what is in it; that cost an eighth of a call.
const mostIdle = 16

// Serve starts taking calls. bad hears of every connection that spoke badly, and of failures
// to accept any.
func Serve(ctx context.Context, ln net.Listener, p Params, h Handler, bad func(error)) *Server {
	s := &Server{
		ln:       ln,
		p:        p,
		h:        h,
		capacity: make(chan struct{}, p.MaxConcurrentCalls),
		open:     map[net.Conn]func(error){},
		bad:      bad,
		crew:     make(chan task),
		over:     make(chan struct{}),
	}
	go s.accept(ctx)
	return s
}

// Close stops taking calls, ends every connection, and returns once no handler
// is at work any more.
func (s *Server) Close() {
	s.ln.Close()
	s.mu.Lock()
	if !s.done {
		close(s.over)
	}
	s.done = true
	ends := make([]func(error), 0, len(s.open))
	for _, end := range s.open {
		ends = append(ends, end)
	}
	s.mu.Unlock()
	for _, end := range ends {
		end(net.ErrClosed)
	}
	s.wg.Wait()
}

// begin counts a handler in, unless the server has been closed.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.done {
		s.wg.Add(1)
	}
	return !s.done
}

const (
	// A failure to accept is followed by a pause, which doubles from the first to the last of
	// these.
	firstAcceptPause = 5 * time.Millisecond
	lastAcceptPause  = 500 * time.Millisecond
)

// accept takes connections until the server is closed. Any other failure passes, such as
// that of a process or machine without descriptors: it is told once a row, and tried again.
func (s *Server) accept(ctx context.Context) {
	pause := firstAcceptPause
	for {
		c, err := s.ln.Accept()
		switch {
		case err == nil:
			pause = firstAcceptPause
			go s.serve(ctx, c)
			continue
		case s.closed() || errors.Is(err, net.ErrClosed):
			return
		case pause == firstAcceptPause:
			s.bad(code.New(code.Unreachable, "no connection is accepted: %w", err))
		}
		if !s.wait(pause) {
			return
		}
		pause = min(2*pause, lastAcceptPause)
	}
}

func (s *Server) closed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done
}

// wait pauses; it reports whether the server has not been closed meanwhile.
func (s *Server) wait(pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-s.over:
		return false
	case <-timer.C:
		return true
	}
}

func (s *Server) serve(ctx context.Context, c net.Conn) {
	ctx, stop := context.WithCancel(ctx)
	out := make(chan frame, s.p.Backlog)
	var once sync.Once
	end := func(error) {
		once.Do(func() {
			stop()
			c.Close()
			s.mu.Lock()
			delete(s.open, c)
			s.mu.Unlock()
		})
	}
	s.mu.Lock()
	late := s.done
	s.open[c] = end
	s.mu.Unlock()
	if late {
		end(net.ErrClosed)
		return
	}
	w := &writer{conn: c, out: out, done: ctx.Done(), end: end}
	go w.run()
	r := bufio.NewReaderSize(c, readBuffer)
	for {
		f, err := readFrame(r, s.p.MaxBodyBytes)
		if err != nil {
			if n := code.Of(err); n != code.Unknown {
				s.bad(err)
				// A neighbour of another version is told before it is closed.
				if n == code.WireVersion {
					_, _ = c.Write(headOf(nil, frame{kind: kindAlien}))
				}
			}
			end(err)
			return
		}
		if f.kind != kindCall {
			s.bad(code.New(code.Garbled, "an answer where a call was due"))
			end(nil)
			return
		}
		// Bounded: past the limit the connection itself pushes back.
		s.capacity <- struct{}{}
		if !s.begin() {
			<-s.capacity
			end(net.ErrClosed)
			return
		}
		t := task{ctx, f.id, &Call{Body: f.body, ReadAt: time.Now()}, w.enqueue}
		select {
		case s.crew <- t:
		default:
			go s.work(t)
		}
	}
}

// work answers calls: the one it was started for, and then any that come while it
// is one of the few that wait.
func (s *Server) work(t task) {
	for more := true; more; t, more = s.next() {
		s.answer(t)
	}
}

// next waits for the next call, and reports false once this worker is not needed any
// more: enough others wait, or the server is closed.
func (s *Server) next() (task, bool) {
	if s.idle.Add(1) > mostIdle {
		s.idle.Add(-1)
		return task{}, false
	}
	select {
	case t := <-s.crew:
		s.idle.Add(-1)
		return t, true
	case <-s.over:
		return task{}, false
	}
}

func (s *Server) answer(t task) {
	defer s.wg.Done()
	defer func() { <-s.capacity }()
	body := s.h(t.ctx, t.call)
	if body == nil || !t.answer(frame{kind: kindAnswer, id: t.id, body: body, written: t.call.done}) {
		t.call.done()
	}
}
