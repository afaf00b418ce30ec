package xport

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

	"damsontiller/xport/code"
)

// Params are the transport's settings.
type Params struct {
	MaxFrame   int           // largest body taken, bytes
	DialCutoff time.Duration // for one dial
	Backlog    int           // frames waiting to be written on one connection
	Inflight   int           // calls served at once, all connections together
}

// DefaultParams suit machines of one city.
var DefaultParams = Params{MaxFrame: 8 << 20, DialCutoff: 500 * time.Millisecond, Backlog: 256, Inflight: 4096}

// Net is the way to the network; tests put a simulated one here.
type Net struct {
	Dial   func(ctx context.Context, addr string) (net.Conn, error)
	Listen func(addr string) (net.Listener, error)
}

// TCP is the real network.
func TCP(p Params) Net {
	d := &net.Dialer{Timeout: p.DialCutoff}
	return Net{
		Dial:   func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) },
		Listen: func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) },
	}
}

// ErrRefused means nobody listens at the address: the process there is gone.
var ErrRefused = errors.New("port refused")

// ErrLost means the call may or may not have been taken.
var ErrLost = errors.New("connection lost")

// Hub calls peers, one connection to each, dialled when first needed.
type Hub struct {
	net  Net
	p    Params
	cuts *Cuts
	mu   sync.Mutex
	all  map[string]*link
	id   atomic.Uint64
	// Sent counts calls, for the measures of messages per node.
	Sent atomic.Uint64
}

// NewHub makes a hub over the network n.
func NewHub(n Net, p Params, cuts *Cuts) *Hub {
	return &Hub{net: n, p: p, cuts: cuts, all: map[string]*link{}}
}

type link struct {
	conn net.Conn
	out  chan frame
	done chan struct{}
	once sync.Once
	mu   sync.Mutex
	wait map[uint64]chan frame
	err  error
}

// Call sends body to addr and waits for the answer until ctx ends.
func (h *Hub) Call(ctx context.Context, addr string, body []byte) ([]byte, error) {
	// A cut swallows the call, as a lost packet would.
	if h.cuts.Has(addr) {
		<-ctx.Done()
		return nil, fmt.Errorf("%w: %s: %w", ErrLost, addr, ctx.Err())
	}
	l, err := h.link(ctx, addr)
	if err != nil {
		return nil, err
	}
	h.Sent.Add(1)
	f := frame{kind: kindCall, id: h.id.Add(1), body: body}
	ch := make(chan frame, 1)
	l.mu.Lock()
	l.wait[f.id] = ch
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.wait, f.id)
		l.mu.Unlock()
	}()
	select {
	case l.out <- f:
	case <-l.done:
		return nil, fmt.Errorf("%w: %s: %w", ErrLost, addr, l.problem())
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
		return nil, fmt.Errorf("%w: %s: %w", ErrLost, addr, l.problem())
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %s: %w", ErrLost, addr, ctx.Err())
	}
}

// Close ends every connection.
func (h *Hub) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.all {
		l.end(net.ErrClosed)
	}
}

func (h *Hub) link(ctx context.Context, addr string) (*link, error) {
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
	n := &link{conn: c, out: make(chan frame, h.p.Backlog), done: make(chan struct{}), wait: map[uint64]chan frame{}}
	h.mu.Lock()
	// Two callers may have dialled at once; the first one in is kept.
	if l = h.all[addr]; l != nil && !l.ended() {
		h.mu.Unlock()
		c.Close()
		return l, nil
	}
	h.all[addr] = n
	h.mu.Unlock()
	go writeAll(c, n.out, n.done, n.end)
	go n.read(h.p.MaxFrame)
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

func (l *link) problem() error {
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
	r := bufio.NewReaderSize(l.conn, 64<<10)
	for {
		f, err := readFrame(r, most)
		if err != nil {
			l.end(err)
			return
		}
		l.mu.Lock()
		ch := l.wait[f.id]
		l.mu.Unlock()
		// An answer nobody waits for any more is let go.
		if ch != nil {
			select {
			case ch <- f:
			default:
			}
		}
	}
}

// writeAll is the one writer of a connection.
func writeAll(c net.Conn, out <-chan frame, done <-chan struct{}, end func(error)) {
	for {
		select {
		case <-done:
			return
		case f := <-out:
			if err := writeFrame(c, f); err != nil {
				end(err)
				return
			}
		}
	}
}
