package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/listen"
)

// Params are the transport's settings.
type Params struct {
	MaxBodyBytes     int           // largest body taken, bytes
	DialTimeout time.Duration // for one dial
	// UserTimeout is for how long the peer's machine may leave sent bytes
	// unacknowledged before the connection is given up; 0 leaves that to the system.
	UserTimeout time.Duration
	Backlog        int           // frames waiting to be written on one connection
	MaxConcurrentCalls       int           // calls served at once, all connections together
	IdleTimeout           time.Duration // after which a connection without calls is closed; 0 means never
}

// DefaultParams suit machines of one city.
var DefaultParams = Params{
	MaxBodyBytes:       8 << 20,
	DialTimeout:   500 * time.Millisecond,
	UserTimeout: 1500 * time.Millisecond,
	Backlog:        64,
	MaxConcurrentCalls:       4096,
	IdleTimeout:           30 * time.Second,
}

// Net is the way to the network; tests put a simulated one here.
type Net struct {
	Dial   func(ctx context.Context, addr string) (net.Conn, error)
	Listen func(addr string) (net.Listener, error)
}

// TCP is the real network; open opens the addresses at which a process listens.
func TCP(p Params, open listen.Opener) Net {
	control := func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, p.UserTimeout) }
	d := &net.Dialer{Timeout: p.DialTimeout, Control: control}
	l := net.ListenConfig{Control: control}
	return Net{
		Dial:   func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) },
		Listen: func(addr string) (net.Listener, error) { return open.TCP(context.Background(), l, addr) },
	}
}

// readBuffer is for frames' heads and small bodies; a long body is read straight
// into its own memory. It is held by each connection, and a core machine has one
// for every node.
const readBuffer = 4 << 10

// ErrRefused means nobody listens at the address: the process there has exited.
var ErrRefused = errors.New("port refused")

// ErrLost means the call may or may not have been taken.
var ErrLost = errors.New("connection lost")

// Client calls peers, one connection to each, dialled when first needed.
type Client struct {
	net        Net
	p          Params
	partitions *Partitions
	mu         sync.Mutex
	all        map[string]*link
	lastSwept  time.Time
	id         atomic.Uint64
	// Sent counts calls, for the measures of messages per node.
	Sent atomic.Uint64
}

// NewClient makes a hub over the network n.
func NewClient(n Net, p Params, partitions *Partitions) *Client {
	return &Client{net: n, p: p, partitions: partitions, all: map[string]*link{}}
}

type link struct {
	conn    net.Conn
	out     chan frame
	done    chan struct{}
	once    sync.Once
	mu      sync.Mutex
	pending map[uint64]chan frame
	used    time.Time // when a call last began or ended
	// lastReceived is when something last came in, or when it was dialled.
	lastReceived time.Time
	idle         bool         // closed: no call may begin on it any more
	spare        []chan frame // empty, for later calls
	err          error
}

// maxSpare bounds the channels that a connection keeps for later calls.
const maxSpare = 64

// Call sends body to addr and waits for the answer until ctx ends.
func (h *Client) Call(ctx context.Context, addr string, body []byte) ([]byte, error) {
	// A partition swallows the call, as a lost packet would.
	if h.partitions.Has(addr) {
		<-ctx.Done()
		return nil, fmt.Errorf("%w: %s: %w", ErrLost, addr, ctx.Err())
	}
	f := frame{kind: kindCall, id: h.id.Add(1), body: body}
	l, err := h.link(ctx, addr)
	if err != nil {
		return nil, err
	}
	ch := l.begin(f.id)
	for ch == nil {
		// It was closed as idle just now; nothing has been sent on it.
		if l, err = h.link(ctx, addr); err != nil {
			return nil, err
		}
		ch = l.begin(f.id)
	}
	h.Sent.Add(1)
	defer l.over(f.id, ch)
	select {
	case l.out <- f:
	case <-l.done:
		return nil, fmt.Errorf("%w: %s: %w", ErrLost, addr, l.failure())
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %s: %w", ErrLost, addr, ctx.Err())
	}
	select {
	case a := <-ch:
		if a.kind == kindAlien {
			return nil, code.New(code.WireVersion, "%s speaks another frame version", addr)
		}
		return a.body, nil
	case <-l.done:
		return nil, fmt.Errorf("%w: %s: %w", ErrLost, addr, l.failure())
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %s: %w", ErrLost, addr, ctx.Err())
	}
}

// Drop ends a connection on which nothing has been received for a while: its other end
// is known to have started anew, and what is sent would only wait for the network to
// notice.
func (h *Client) Drop(addr string, quiet time.Duration) {
	h.mu.Lock()
	l := h.all[addr]
	h.mu.Unlock()
	if l == nil {
		return
	}
	l.mu.Lock()
	old := time.Since(l.lastReceived) > quiet
	l.mu.Unlock()
	if old {
		l.end(net.ErrClosed)
	}
}

// Close ends every connection.
func (h *Client) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.all {
		l.end(net.ErrClosed)
	}
}

// begin registers a call and gives the place where its answer will be; none if the
// connection was closed as idle.
func (l *link) begin(id uint64) (ch chan frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.idle {
		return nil
	}
	if n := len(l.spare); n > 0 {
		ch, l.spare = l.spare[n-1], l.spare[:n-1]
	} else {
		ch = make(chan frame, 1)
	}
	l.pending[id], l.used = ch, time.Now()
	return ch
}

// over ends a call. Its answer is laid down under the lock and once, so from here on
// nobody lays anything there, and the place serves another call.
func (l *link) over(id uint64, ch chan frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
	l.used = time.Now()
	select {
	case <-ch:
	default:
	}
	if len(l.spare) < maxSpare {
		l.spare = append(l.spare, ch)
	}
}

// close ends the connection if it has been idle since before.
func (l *link) close(before time.Time) bool {
	l.mu.Lock()
	if len(l.pending) > 0 || !l.used.Before(before) {
		l.mu.Unlock()
		return false
	}
	l.idle = true
	l.mu.Unlock()
	l.end(net.ErrClosed)
	return true
}

// closeIdle lets idle connections go: a node talks to all others in time, and would
// keep one to each of them. Whenever one is added is often enough.
func (h *Client) closeIdle(now time.Time) {
	if h.p.IdleTimeout <= 0 || now.Sub(h.lastSwept) < time.Second {
		return
	}
	h.lastSwept = now
	for a, l := range h.all {
		if l.ended() || l.close(now.Add(-h.p.IdleTimeout)) {
			delete(h.all, a)
		}
	}
}

func (h *Client) link(ctx context.Context, addr string) (*link, error) {
	h.mu.Lock()
	l := h.all[addr]
	h.mu.Unlock()
	if l != nil && !l.ended() {
		return l, nil
	}
	c, err := h.net.Dial(ctx, addr)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, fmt.Errorf("%w: %s", ErrRefused, addr)
		}
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}
	n := &link{
		conn:         c,
		out:          make(chan frame, h.p.Backlog),
		done:         make(chan struct{}),
		pending:      map[uint64]chan frame{},
		used:         time.Now(),
		lastReceived: time.Now(),
	}
	h.mu.Lock()
	// Two callers may have dialled at once; the first one in is kept.
	if l = h.all[addr]; l != nil && !l.ended() {
		h.mu.Unlock()
		c.Close()
		return l, nil
	}
	h.closeIdle(time.Now())
	h.all[addr] = n
	h.mu.Unlock()
	go (&writer{conn: c, out: n.out, done: n.done, end: n.end}).run()
	go n.read(h.p.MaxBodyBytes)
	return n, nil
}

func (l *link) ended() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

func (l *link) failure() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}

func (l *link) end(err error) {
	l.once.Do(func() {
		l.mu.Lock()
		l.err = err
		l.mu.Unlock()
		close(l.done)
		l.conn.Close()
	})
}

func (l *link) read(most int) {
	r := bufio.NewReaderSize(l.conn, readBuffer)
	for {
		f, err := readFrame(r, most)
		if err == nil && f.kind == kindCall {
			err = code.New(code.Garbled, "a call where an answer was due")
		}
		if err != nil {
			l.end(err)
			return
		}
		l.mu.Lock()
		l.lastReceived = time.Now()
		// An answer nobody waits for any more is closed.
		if ch := l.pending[f.id]; ch != nil {
			delete(l.pending, f.id)
			l.used = time.Now()
			ch <- f
		}
		l.mu.Unlock()
	}
}
