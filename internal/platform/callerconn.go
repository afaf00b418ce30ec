package platform

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"sync/atomic"

	"damsontiller/internal/transport/membudget"
)

const (
	// freeHeadBytes is the part of a request's head that is not counted; it fits into the
	// connection's read buffer.
	freeHeadBytes = 4 << 10
	// headLineBytes estimates the memory of a parsed header line in addition to its bytes.
	headLineBytes = 128
	// headByteFactor is the memory of a head, in multiples of its bytes.
	headByteFactor = 2
)

// errHeadsOverMemory ends a connection whose request can't be read now. The caller may repeat the
// request, since its connection ends before it was read.
var errHeadsOverMemory = errors.New("the heads of requests hold as much memory as they may")

// callerListener counts the memory that the heads of callers' requests take.
type callerListener struct {
	net.Listener
	memory *membudget.Budget
}

// Accept returns the next connection.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	caller := &callerConn{Conn: conn, memory: l.memory.Account()}
	caller.inHead.Store(true)
	return caller, nil
}

// callerConn is a caller's connection. net/http limits the head of a request, but not the heads of
// all connections together.
type callerConn struct {
	net.Conn
	memory *membudget.Account
	inHead atomic.Bool  // the next bytes belong to the head of a request
	taken  atomic.Int64 // bytes of the head so far
}

// setState follows the states of the connection in the server. What a head holds stays counted
// until the response to its request has ended.
func (c *callerConn) setState(state http.ConnState) {
	switch state {
	case http.StateIdle:
		c.memory.Release()
		c.taken.Store(0)
		c.inHead.Store(true)
	case http.StateActive:
		c.inHead.Store(false)
	}
}

// Read reads from the caller.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 || !c.inHead.Load() || c.taken.Add(int64(n)) <= freeHeadBytes {
		return n, err
	}
	size := headByteFactor*int64(n) + headLineBytes*int64(bytes.Count(b[:n], []byte("\n")))
	if c.memory.Grow(size) != nil {
		return 0, errHeadsOverMemory
	}
	return n, err
}

// Close closes the connection.
func (c *callerConn) Close() error {
	defer c.memory.Close()
	return c.Conn.Close()
}
