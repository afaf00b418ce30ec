// Package memnet is a network in memory for tests: addresses, refused ports,
// cuts, delays and lost connections under a seed.
package memnet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"damsontiller/xport"
	"damsontiller/xport/loop"
)

// Net is one simulated network.
type Net struct {
	mu    sync.Mutex
	lns   map[string]*listener
	cut   map[[2]string]bool
	rnd   *rand.Rand
	delay time.Duration
}

// New makes a network whose chances follow seed.
func New(seed uint64) *Net {
	return &Net{lns: map[string]*listener{}, cut: map[[2]string]bool{}, rnd: rand.New(rand.NewPCG(seed, 1))}
}

// Delay makes every write take up to d.
func (n *Net) Delay(d time.Duration) {
	n.mu.Lock()
	n.delay = d
	n.mu.Unlock()
}

// Cut stops (or lets pass) what goes between two hosts, both ways.
func (n *Net) Cut(a, b string, on bool) {
	n.mu.Lock()
	n.cut[[2]string{a, b}], n.cut[[2]string{b, a}] = on, on
	n.mu.Unlock()
}

func (n *Net) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{a, b}]
}

func (n *Net) pause() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.delay == 0 {
		return 0
	}
	return time.Duration(n.rnd.Int64N(int64(n.delay)))
}

// Host is the network as the process at addr sees it.
func (n *Net) Host(host string) xport.Net {
	return xport.Net{
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			// Through a cut nothing comes back, not even a refusal.
			if n.isCut(host, addr) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			n.mu.Lock()
			l := n.lns[addr]
			n.mu.Unlock()
			if l == nil {
				return nil, fmt.Errorf("dial %s: %w", addr, syscall.ECONNREFUSED)
			}
			a, b := net.Pipe()
			select {
			case l.in <- &conn{b, n, addr, host}:
				return &conn{a, n, host, addr}, nil
			case <-l.done:
				return nil, fmt.Errorf("dial %s: %w", addr, syscall.ECONNREFUSED)
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		},
		Listen: func(addr string) (net.Listener, error) {
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.lns[addr] != nil {
				return nil, fmt.Errorf("listen %s: %w", addr, syscall.EADDRINUSE)
			}
			l := &listener{n: n, addr: addr, in: make(chan net.Conn), done: make(chan struct{})}
			n.lns[addr] = l
			return l, nil
		},
	}
}

type conn struct {
	net.Conn
	n        *Net
	from, to string
}

func (c *conn) Write(b []byte) (int, error) {
	if d := c.n.pause(); d > 0 {
		loop.Wait(context.Background(), d)
	}
	// What is written into a cut is lost; the writer can't tell.
	if c.n.isCut(c.from, c.to) {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

type listener struct {
	n    *Net
	addr string
	in   chan net.Conn
	done chan struct{}
	once sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.in:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		l.n.mu.Lock()
		delete(l.n.lns, l.addr)
		l.n.mu.Unlock()
		close(l.done)
	})
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.addr) }

type addr string

func (a addr) Network() string { return "mem" }
func (a addr) String() string  { return string(a) }
