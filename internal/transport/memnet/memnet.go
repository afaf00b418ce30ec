// Package memnet simulates a network in memory for tests: addresses, refused ports, partitions,
// delays, links of limited bandwidth, and retransmissions drawn from a seed.
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

// Net is a simulated network.
type Net struct {
	mu                    sync.Mutex
	listeners             map[string]*listener
	partitioned           map[[2]string]bool
	random                *rand.Rand
	maxDelay              time.Duration
	retransmissionPercent int // percentage of writes delayed by a retransmission
	frozen                map[string]chan struct{}
	links                 map[string]*link
}

// link is a host's connection to the network.
type link struct {
	bytesPerSecond int       // 0 means unlimited
	freeAt         time.Time // when the queued transmissions are complete
	bytesCarried   int64
}

// New returns a network whose random choices derive from seed.
func New(seed uint64) *Net {
	return &Net{
		listeners:   map[string]*listener{},
		partitioned: map[[2]string]bool{},
		random:      rand.New(rand.NewPCG(seed, 1)),
		frozen:      map[string]chan struct{}{},
		links:       map[string]*link{},
	}
}

// SetBandwidth limits the bytes per second of a host's link, sent and received together. Writes
// beyond the limit are delayed. 0 removes the limit.
func (n *Net) SetBandwidth(host string, bytesPerSecond int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.link(host).bytesPerSecond = bytesPerSecond
}

// BytesCarried returns the number of bytes that a host's link has carried.
func (n *Net) BytesCarried(host string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.link(host).bytesCarried
}

// link returns a host's link. The caller holds n.mu.
func (n *Net) link(host string) *link {
	l := n.links[host]
	if l == nil {
		l = &link{}
		n.links[host] = l
	}
	return l
}

// transmit charges a write to the links of both hosts, and returns how long it takes, including
// the transmissions queued before it.
func (n *Net) transmit(from, to string, size int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	done := now
	for _, host := range []string{from, to} {
		l := n.link(host)
		l.bytesCarried += int64(size)
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

// SetMaxDelay delays each write by a random duration of less than d.
func (n *Net) SetMaxDelay(d time.Duration) {
	n.mu.Lock()
	n.maxDelay = d
	n.mu.Unlock()
}

// SetRetransmissionPercent sets the percentage of writes that are delayed as by the
// retransmission of a lost packet.
func (n *Net) SetRetransmissionPercent(percent int) {
	n.mu.Lock()
	n.retransmissionPercent = percent
	n.mu.Unlock()
}

// Freeze suspends a host's process: data sent to it is kept, and it sends nothing. Unfreeze
// resumes it.
func (n *Net) Freeze(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen[host] == nil {
		n.frozen[host] = make(chan struct{})
	}
}

// Unfreeze resumes a host suspended by Freeze.
func (n *Net) Unfreeze(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.frozen[host]; c != nil {
		close(c)
		delete(n.frozen, host)
	}
}

// WaitWhileFrozen blocks while a host is frozen.
func (n *Net) WaitWhileFrozen(host string) {
	for {
		n.mu.Lock()
		unfrozen := n.frozen[host]
		n.mu.Unlock()
		if unfrozen == nil {
			return
		}
		<-unfrozen
	}
}

// SetPartitionedOneWay blocks or unblocks data in one direction only.
func (n *Net) SetPartitionedOneWay(from, to string, on bool) {
	n.mu.Lock()
	n.partitioned[[2]string{from, to}] = on
	n.mu.Unlock()
}

// SetPartitioned blocks or unblocks data between two hosts in both directions.
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

const (
	// A retransmission delays a write by minRetransmissionDelay and a random duration of less
	// than retransmissionJitter.
	minRetransmissionDelay = 20 * time.Millisecond
	retransmissionJitter   = 80 * time.Millisecond
)

// writeDelay draws the delay of a write.
func (n *Net) writeDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := time.Duration(0)
	if n.maxDelay > 0 {
		d = time.Duration(n.random.Int64N(int64(n.maxDelay)))
	}
	if n.retransmissionPercent > 0 && n.random.IntN(100) < n.retransmissionPercent {
		d += minRetransmissionDelay + time.Duration(n.random.Int64N(int64(retransmissionJitter)))
	}
	return d
}

// Host returns the network as seen by the process at host.
func (n *Net) Host(host string) transport.Net {
	return transport.Net{
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			n.WaitWhileFrozen(host)
			// A partition also blocks the response to a refused connection.
			if n.isPartitioned(host, addr) || n.isPartitioned(addr, host) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			n.mu.Lock()
			l := n.listeners[addr]
			n.mu.Unlock()
			if l == nil {
				return nil, fmt.Errorf("dial %s: %w", addr, syscall.ECONNREFUSED)
			}
			a, b := net.Pipe()
			select {
			case l.incoming <- &conn{b, n, addr, host}:
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
			if n.listeners[addr] != nil {
				return nil, fmt.Errorf("listen %s: %w", addr, syscall.EADDRINUSE)
			}
			l := &listener{n: n, addr: addr, incoming: make(chan net.Conn), done: make(chan struct{})}
			n.listeners[addr] = l
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
	if d := c.n.writeDelay() + c.n.transmit(c.from, c.to, len(b)); d > 0 {
		loop.Wait(context.Background(), d)
	}
	// Data written during a partition is lost without an error to the writer.
	if c.n.isPartitioned(c.from, c.to) {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

type listener struct {
	n        *Net
	addr     string
	incoming chan net.Conn
	done     chan struct{}
	once     sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		l.n.WaitWhileFrozen(l.addr)
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		l.n.mu.Lock()
		delete(l.n.listeners, l.addr)
		l.n.mu.Unlock()
		close(l.done)
	})
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.addr) }

type addr string

func (a addr) Network() string { return "mem" }
func (a addr) String() string  { return string(a) }
