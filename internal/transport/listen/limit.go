package listen

import (
	"net"
	"sync"
	"sync/atomic"
)

// Limit bounds the connections of a listener that are open at once: further ones are closed as soon
// as they are accepted. makeRoom, if not nil, is called before that; it may close another one.
func Limit(ln net.Listener, most int, makeRoom func()) net.Listener {
	return &limited{Listener: ln, most: int64(most), makeRoom: makeRoom}
}

// limited is a listener with a bounded number of open connections.
type limited struct {
	net.Listener
	most     int64
	open     atomic.Int64
	makeRoom func()
}

// Accept returns the next connection within the limit.
func (l *limited) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Load() >= l.most && l.makeRoom != nil {
			l.makeRoom()
		}
		if l.open.Load() >= l.most {
			conn.Close()
			continue
		}
		l.open.Add(1)
		return &limitedConn{Conn: conn, closed: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
	}
}

// limitedConn is a connection that counts as open until it is closed.
type limitedConn struct {
	net.Conn
	closed func()
}

// Close closes the connection.
func (c *limitedConn) Close() error {
	defer c.closed()
	return c.Conn.Close()
}
