package proxytest

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// pipe is one connection in memory, with the manners of TCP: what is written waits
// in a bounded buffer, a close is seen after what came before it, a reset at once.
// Unlike net.Pipe a writer need not meet its reader, so what nobody asked for can
// lie there; unlike a socket its deadlines are on simulated time.
type pipe struct {
	mu   sync.Mutex
	cond *sync.Cond
	way  [2]way // bytes to the dialler, to the listener
}

type way struct {
	buf      []byte
	shut     bool // no more will come
	broken   bool // reset
	departed bool // nobody will read
}

// roomy is what may wait on one way of a connection.
const roomy = 64 << 10

type conn struct {
	p    *pipe
	me   int
	addr string

	// Under the pipe's lock.
	closed bool
	rd, wr time.Time
	tick   [2]*time.Timer
}

// newPipe makes both ends of a connection.
func newPipe(addr string) (dialler, listener net.Conn) {
	p := &pipe{}
	p.cond = sync.NewCond(&p.mu)
	return &conn{p: p, me: 0, addr: addr}, &conn{p: p, me: 1, addr: addr}
}

func past(t time.Time) bool { return !t.IsZero() && !time.Now().Before(t) }

func (c *conn) op(op string, err error) error {
	return &net.OpError{Op: op, Net: "mem", Addr: c.RemoteAddr(), Err: err}
}

// Read takes what has come.
func (c *conn) Read(b []byte) (int, error) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	w := &c.p.way[c.me]
	for {
		switch {
		case c.closed:
			return 0, c.op("read", net.ErrClosed)
		case w.broken:
			return 0, c.op("read", syscall.ECONNRESET)
		case past(c.rd):
			return 0, c.op("read", os.ErrDeadlineExceeded)
		case len(w.buf) > 0:
			n := copy(b, w.buf)
			w.buf = w.buf[n:]
			c.p.cond.Broadcast()
			return n, nil
		case w.shut:
			return 0, io.EOF
		}
		c.p.cond.Wait()
	}
}

// Write waits while the other side has too much to read.
func (c *conn) Write(b []byte) (int, error) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	w := &c.p.way[1-c.me]
	n := 0
	for {
		switch {
		case c.closed:
			return n, c.op("write", net.ErrClosed)
		case w.broken || w.departed:
			return n, c.op("write", syscall.EPIPE)
		case past(c.wr):
			return n, c.op("write", os.ErrDeadlineExceeded)
		case n == len(b):
			return n, nil
		}
		if k := min(roomy-len(w.buf), len(b)-n); k > 0 {
			w.buf = append(w.buf, b[n:n+k]...)
			n += k
			c.p.cond.Broadcast()
			continue
		}
		c.p.cond.Wait()
	}
}

func (c *conn) end(reset bool) error {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	out, in := &c.p.way[1-c.me], &c.p.way[c.me]
	out.shut, in.departed = true, true
	if reset {
		out.broken, out.buf = true, nil
	}
	for _, t := range c.tick {
		if t != nil {
			t.Stop()
		}
	}
	c.p.cond.Broadcast()
	return nil
}

// Close ends it in good order; Reset breaks it, with what was not read yet.
func (c *conn) Close() error { return c.end(false) }
func (c *conn) Reset() error { return c.end(true) }

func (c *conn) set(i int, at *time.Time, t time.Time) error {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	if c.closed {
		return c.op("set", net.ErrClosed)
	}
	*at = t
	if c.tick[i] != nil {
		c.tick[i].Stop()
		c.tick[i] = nil
	}
	if !t.IsZero() {
		c.tick[i] = time.AfterFunc(time.Until(t), func() {
			c.p.mu.Lock()
			c.p.cond.Broadcast()
			c.p.mu.Unlock()
		})
	}
	c.p.cond.Broadcast()
	return nil
}

func (c *conn) SetReadDeadline(t time.Time) error  { return c.set(0, &c.rd, t) }
func (c *conn) SetWriteDeadline(t time.Time) error { return c.set(1, &c.wr, t) }
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

func (c *conn) LocalAddr() net.Addr  { return position(c.addr) }
func (c *conn) RemoteAddr() net.Addr { return position(c.addr) }

// SyscallConn lets others check the connection as at a socket, without waiting.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return raw{c}, nil }

type raw struct{ c *conn }

func (raw) Control(func(uintptr)) error    { return syscall.ENOTSUP }
func (raw) Write(func(uintptr) bool) error { return syscall.ENOTSUP }

// Read hands out a descriptor that stands as the connection does: bytes to be
// read, an end, or nothing yet.
func (r raw) Read(f func(fd uintptr) bool) error {
	r.c.p.mu.Lock()
	w := &r.c.p.way[r.c.me]
	some, over := len(w.buf) > 0, w.shut || w.broken
	r.c.p.mu.Unlock()
	var fd [2]int
	if err := syscall.Pipe2(fd[:], syscall.O_NONBLOCK|syscall.O_CLOEXEC); err != nil {
		return err
	}
	defer syscall.Close(fd[0])
	var err error
	if some {
		_, err = syscall.Write(fd[1], []byte{0})
	}
	if over {
		syscall.Close(fd[1])
	} else {
		defer syscall.Close(fd[1])
	}
	if err == nil && !f(uintptr(fd[0])) {
		err = fmt.Errorf("would wait")
	}
	return err
}

type position string

func (position) Network() string  { return "mem" }
func (p position) String() string { return string(p) }

// Listener takes connections that Dial makes.
type Listener struct {
	addr string
	in   chan net.Conn
	done chan struct{}
	once sync.Once
}

// NewListener makes a listener at an address.
func NewListener(addr string) *Listener {
	return &Listener{addr: addr, in: make(chan net.Conn, 64), done: make(chan struct{})}
}

// Dial connects to it.
func (l *Listener) Dial(ctx context.Context) (net.Conn, error) {
	select {
	case <-l.done:
		return nil, refused(l.addr)
	default:
	}
	a, b := newPipe(l.addr)
	select {
	case l.in <- b:
		return a, nil
	case <-l.done:
		return nil, refused(l.addr)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.in:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close refuses all that come later.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr is where it listens.
func (l *Listener) Addr() net.Addr { return position(l.addr) }

func refused(addr string) error {
	return &net.OpError{
		Op:   "dial",
		Net:  "mem",
		Addr: position(addr),
		Err:  os.NewSyscallError("connect", syscall.ECONNREFUSED),
	}
}
