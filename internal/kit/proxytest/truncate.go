package proxytest

import (
	"io"
	"net"
	"sync"
)

// Loss is how a connection goes bad.
type Loss int

// The ways a connection goes bad.
const (
	Closed       Loss = iota // ended in good order
	Reset                    // what is on its way is lost as well
	Unresponsive             // nothing more is received, and it stays open
	Losses       = int(Unresponsive) + 1
)

// Cutter spoils one exchange on a runner's connections: the next one after Arm, at one
// byte of its request or of its answer.
type Cutter struct {
	mu     sync.Mutex
	armed  bool
	loss   Loss
	answer bool // the byte is one of the answer
	left   int  // bytes until then
	victim *truncatedConn
	in     int // bytes of the request that came
	out    int // bytes of the answer that went
}

// Arm spoils the next exchange once n bytes of its request, or of its answer, are through.
func (k *Cutter) Arm(answer bool, n int, loss Loss) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.armed, k.answer, k.left, k.loss = true, answer, n, loss
	k.victim, k.in, k.out = nil, 0, 0
}

// Disarm ends the exchange; it gives how many bytes of it there were on the connection
// that was chosen.
func (k *Cutter) Disarm() (request, answer int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.armed, k.victim = false, nil
	return k.in, k.out
}

// Wrap stands around a connection of a runner.
func (k *Cutter) Wrap(c net.Conn) net.Conn { return &truncatedConn{Conn: c, k: k} }

// truncatedConn is a runner's side of a connection.
type truncatedConn struct {
	net.Conn
	k *Cutter
}

// Read takes bytes of a request.
func (c *truncatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	through, truncated := c.k.count(c, n, false)
	if truncated {
		c.lose()
		err = net.ErrClosed
	}
	if through > 0 {
		// Those before the partition arrive.
		return through, nil
	}
	return 0, err
}

// Write sends bytes of an answer.
func (c *truncatedConn) Write(b []byte) (int, error) {
	through, truncated := c.k.count(c, len(b), true)
	n, err := c.Conn.Write(b[:through])
	if truncated {
		c.lose()
		return n, net.ErrClosed
	}
	return n, err
}

// count gives how many of n bytes go through, and whether the connection is lost after
// them.
func (k *Cutter) count(c *truncatedConn, n int, answer bool) (through int, truncated bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.armed || k.victim != nil && k.victim != c {
		return n, false
	}
	if k.victim == nil && n > 0 {
		k.victim = c
	}
	total := &k.in
	if answer {
		total = &k.out
	}
	*total += n
	if answer != k.answer {
		return n, false
	}
	if n < k.left {
		k.left -= n
		return n, false
	}
	through, k.left = k.left, 0
	return through, true
}

// lose makes the connection go bad. One that falls unresponsive is received on until the other
// side gives up.
func (c *truncatedConn) lose() {
	switch c.k.how() {
	case Closed:
		_ = c.Conn.Close()
	case Reset:
		_ = c.Conn.(*conn).Reset()
	case Unresponsive:
		_, _ = io.Copy(io.Discard, c.Conn)
		_ = c.Conn.Close()
	}
}

func (k *Cutter) how() Loss {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.loss
}
