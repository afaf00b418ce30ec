// Package memnet is a network in memory for tests: addresses, refused ports,
// cuts, delays, links of a bandwidth, and lost connections under a seed.
package memnet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"damsontiller/internal/transport"
	"damsontiller/internal/transport/loop"
)

// Net is one simulated network.
type Net struct {
	mu          sync.Mutex
	lns         map[string]*listener
	partitioned map[[2]string]bool
	rnd         *rand.Rand
	delay       time.Duration
	lossy       int // of a hundred writes, so many are lost once and sent again
	ice         map[string]chan struct{}
	links       map[string]*link
}

// link is what a host's own link has carried, and when it is free again.
type link struct {
	bytesPerSecond int // 0: any number
	freeAt         time.Time
	carried        int64
}

// New makes a network whose chances follow seed.
func New(seed uint64) *Net {
	return &Net{
		lns:         map[string]*listener{},
		partitioned: map[[2]string]bool{},
		rnd:         rand.New(rand.NewPCG(seed, 1)),
		ice:         map[string]chan struct{}{},
		links:       map[string]*link{},
	}
}

// SetBandwidth bounds what a host's own link carries a second, sent and received together;
// what is more waits its turn. 0 lifts the bound.
func (n *Net) SetBandwidth(host string, bytesPerSecond int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.link(host).bytesPerSecond = bytesPerSecond
}

// BytesCarried is how many bytes a host's own link has carried.
func (n *Net) BytesCarried(host string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.link(host).carried
}

// link is a host's own link. n.mu is held.
func (n *Net) link(host string) *link {
	l := n.links[host]
	if l == nil {
		l = &link{}
		n.links[host] = l
	}
	return l
}

// transmit puts so many bytes on the links of two hosts, and gives how long they take with
// all that waits there already.
func (n *Net) transmit(from, to string, size int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	done := now
	for _, host := range []string{from, to} {
		l := n.link(host)
		l.carried += int64(size)
		if l.bytesPerSecond <= 0 {
			continue
		}
		if l.freeAt.Before(now) {
			l.freeAt = now
		}
		l.freeAt = l.freeAt.Add(time.Duration(size) * time.Second / time.Duration(l.bytesPerSecond))
		if l.freeAt.After(done) {
			done = l.freeAt
		}
	}
	return done.Sub(now)
}

// SetMaxDelay makes every write take up to d.
func (n *Net) SetMaxDelay(d time.Duration) {
	n.mu.Lock()
	n.delay = d
	n.mu.Unlock()
}

// SetRetransmissionPercent makes so many of a hundred writes come late by a resending.
func (n *Net) SetRetransmissionPercent(percent int) {
	n.mu.Lock()
	n.lossy = percent
	n.mu.Unlock()
}

// Freeze stops a host's process where it stands: what it was sent waits for it,
// and it sends nothing. Thaw lets it go on.
func (n *Net) Freeze(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ice[host] == nil {
		n.ice[host] = make(chan struct{})
	}
}

// Unfreeze ends a freeze.
func (n *Net) Unfreeze(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.ice[host]; c != nil {
		close(c)
		delete(n.ice, host)
	}
}

// WaitWhileFrozen waits while a host is frozen.
func (n *Net) WaitWhileFrozen(host string) {
	for {
		n.mu.Lock()
		c := n.ice[host]
		n.mu.Unlock()
		if c == nil {
			return
		}
		<-c
	}
}

// SetPartitionedOneWay stops what goes one way only.
func (n *Net) SetPartitionedOneWay(from, to string, on bool) {
	n.mu.Lock()
	n.partitioned[[2]string{from, to}] = on
	n.mu.Unlock()
}

// SetPartitioned stops (or lets pass) what goes between two hosts, both ways.
func (n *Net) SetPartitioned(a, b string, on bool) {
	n.mu.Lock()
	n.partitioned[[2]string{a, b}], n.partitioned[[2]string{b, a}] = on, on
	n.mu.Unlock()
}

func (n *Net) isPartitioned(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned[[2]string{a, b}]
}

func (n *Net) pause() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := time.Duration(0)
	if n.delay > 0 {
		d = time.Duration(n.rnd.Int64N(int64(n.delay)))
	}
	if n.lossy > 0 && n.rnd.IntN(100) < n.lossy {
		d += 20*time.Millisecond + time.Duration(n.rnd.Int64N(int64(80*time.Millisecond)))
	}
	return d
}

// Host is the network as the process at addr sees it.
func (n *Net) Host(host string) transport.Net {
	return transport.Net{
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			n.WaitWhileFrozen(host)
			// Through a partition nothing comes back, not even a refusal.
			if n.isPartitioned(host, addr) || n.isPartitioned(addr, host) {
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

func (c *conn) Read(b []byte) (int, error) {
	k, err := c.Conn.Read(b)
	c.n.WaitWhileFrozen(c.from)
	return k, err
}

func (c *conn) Write(b []byte) (int, error) {
	c.n.WaitWhileFrozen(c.from)
	if d := c.n.pause() + c.n.transmit(c.from, c.to, len(b)); d > 0 {
		loop.Wait(context.Background(), d)
	}
	// What is written into a partition is lost; the writer can't tell.
	if c.n.isPartitioned(c.from, c.to) {
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
		l.n.WaitWhileFrozen(l.addr)
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
