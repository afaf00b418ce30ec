package proxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"damsontiller/internal/dataplane/balancing/endpoints"
)

// Pool keeps idle connections to runners. A connection carries one job at a time and is reused only
// after a clean end: a complete response and not a byte more.
type Pool struct {
	dial   func(ctx context.Context, addr string) (net.Conn, error)
	params PoolParams

	mu     sync.Mutex
	idle   map[string][]*conn // by runner id and address; the most recently used last
	count  int                // of idle connections
	opened uint64
}

// PoolParams are the limits and timeouts of a Pool.
type PoolParams struct {
	MaxIdle     int           // idle connections kept per runner
	MaxIdleAll  int           // idle connections kept in total
	IdleTimeout time.Duration // how long an idle connection is kept if the runner does not state a timeout
	DialTimeout time.Duration
}

// DefaultPool are the default parameters, for runners in one metropolitan area.
var DefaultPool = PoolParams{MaxIdle: 24, MaxIdleAll: 1024, IdleTimeout: 20 * time.Second, DialTimeout: time.Second}

// NewPool returns a Pool that opens connections with dial.
func NewPool(params PoolParams, dial func(ctx context.Context, addr string) (net.Conn, error)) *Pool {
	return &Pool{dial: dial, params: params, idle: map[string][]*conn{}}
}

type conn struct {
	netConn   net.Conn
	heads     *headLimiter // below reader
	reader    *bufio.Reader
	idleUntil time.Time // must not be reused after this time
	unused    bool      // no response has been received on it yet
}

// readBufferBytes is the size of a connection's read buffer.
const readBufferBytes = 4 << 10

// newConn returns an unused connection whose responses are read from source.
func newConn(netConn net.Conn, source io.Reader) *conn {
	heads := &headLimiter{source: source}
	return &conn{netConn: netConn, heads: heads, reader: bufio.NewReaderSize(heads, readBufferBytes), unused: true}
}

// dialError is the error of a failed dial: nothing was sent.
type dialError struct{ err error }

func (e dialError) Error() string { return "dial: " + e.err.Error() }
func (e dialError) Unwrap() error { return e.err }

func poolKey(r *endpoints.Runner) string { return r.ID + "@" + r.Addr }

// get returns an idle connection that is still clean, or a new one. dialNew skips the idle
// connections.
func (p *Pool) get(ctx context.Context, r *endpoints.Runner, dialNew bool) (*conn, error) {
	for !dialNew {
		idle := p.popIdle(poolKey(r))
		if idle == nil {
			break
		}
		if time.Now().Before(idle.idleUntil) && idle.isClean() {
			return idle, nil
		}
		idle.netConn.Close()
	}
	ctx, stop := context.WithTimeout(ctx, p.params.DialTimeout)
	defer stop()
	netConn, err := p.dial(ctx, r.Addr)
	if err != nil {
		return nil, dialError{err}
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return newConn(netConn, netConn), nil
}

func (p *Pool) popIdle(key string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[key]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.idle[key] = idle[:len(idle)-1]
	p.count--
	return c
}

// put returns a connection to the pool after a complete response.
func (p *Pool) put(r *endpoints.Runner, c *conn, idleTime time.Duration) {
	if idleTime <= 0 || c.reader.Buffered() > 0 || c.netConn.SetDeadline(time.Time{}) != nil {
		c.netConn.Close()
		return
	}
	c.idleUntil, c.unused = time.Now().Add(idleTime), false
	p.mu.Lock()
	idle := p.idle[poolKey(r)]
	full := len(idle) >= p.params.MaxIdle || p.count >= p.params.MaxIdleAll
	if !full {
		p.idle[poolKey(r)] = append(idle, c)
		p.count++
	}
	p.mu.Unlock()
	if full {
		c.netConn.Close()
	}
}

// Retain closes connections past their idle time and those to runners that are no longer listed.
func (p *Pool) Retain(listed func(id string) bool) {
	now := time.Now()
	var closing []*conn
	p.mu.Lock()
	for key, idle := range p.idle {
		id, _, _ := strings.Cut(key, "@")
		kept := idle[:0]
		for _, c := range idle {
			if listed(id) && now.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				closing = append(closing, c)
			}
		}
		p.count -= len(idle) - len(kept)
		if p.idle[key] = kept; len(kept) == 0 {
			delete(p.idle, key)
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		c.netConn.Close()
	}
}

// ConnectionsOpened returns the number of connections opened so far.
func (p *Pool) ConnectionsOpened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// isClean checks, without blocking, that the peer has neither closed an idle connection nor sent
// unexpected bytes on it.
func (c *conn) isClean() bool {
	sysConn, ok := c.netConn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	var n int
	var readErr error
	buffer := make([]byte, 1)
	if err := rawConn.Read(func(fd uintptr) bool {
		n, readErr = syscall.Read(int(fd), buffer)
		return true
	}); err != nil {
		return false
	}
	return n < 0 && errors.Is(readErr, syscall.EAGAIN)
}

// keepAliveMargin is how long before the runner's keep-alive timeout a connection is no longer
// reused, so that a request does not race with the runner closing it.
const keepAliveMargin = 500 * time.Millisecond

// keepAliveTime returns how long a connection may stay idle after a response. A result of 0 or
// less means that it can't be reused.
func (p *Pool) keepAliveTime(r *http.Response) time.Duration {
	if r.Close {
		return 0
	}
	for _, parameter := range strings.Split(r.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if strings.EqualFold(name, "timeout") {
			seconds, err := strconv.Atoi(value)
			if err != nil {
				return 0
			}
			return min(time.Duration(seconds)*time.Second-keepAliveMargin, p.params.IdleTimeout)
		}
	}
	return p.params.IdleTimeout
}
