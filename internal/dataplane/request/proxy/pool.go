package proxy

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"damsontiller/internal/dataplane/balancing/endpoints"
)

// Pool keeps connections to runners. One job at a time is on a connection, and it
// is used again only after a clean end: complete response, not a byte more.
type Pool struct {
	dial   func(ctx context.Context, addr string) (net.Conn, error)
	params PoolParams

	mu   sync.Mutex
	idle map[string][]*conn // by runner; the latest used last
	made uint64
}

// PoolParams bound the pool.
type PoolParams struct {
	MaxIdle     int           // connections kept to one runner
	IdleTimeout time.Duration // how long an idle one is kept, where the runner says nothing
	DialTimeout time.Duration // deadline of one dial
}

// DefaultPool suits runners of one city.
var DefaultPool = PoolParams{MaxIdle: 24, IdleTimeout: 20 * time.Second, DialTimeout: time.Second}

// NewPool makes a pool over a way to dial.
func NewPool(p PoolParams, dial func(ctx context.Context, addr string) (net.Conn, error)) *Pool {
	return &Pool{dial: dial, params: p, idle: map[string][]*conn{}}
}

type conn struct {
	c      net.Conn
	br     *bufio.Reader
	until  time.Time // idle no longer than this
	unused bool      // never answered on yet
}

// errDial: nothing was sent.
type errDial struct{ err error }

func (e errDial) Error() string { return "dial: " + e.err.Error() }
func (e errDial) Unwrap() error { return e.err }

func key(r *endpoints.Runner) string { return r.ID + "@" + r.Addr }

// get gives an idle connection that is still clean, or a new one.
func (p *Pool) get(ctx context.Context, r *endpoints.Runner, dialNew bool) (*conn, error) {
	for !dialNew {
		c := p.take(key(r))
		if c == nil {
			break
		}
		if time.Now().Before(c.until) && c.clean() {
			return c, nil
		}
		c.c.Close()
	}
	ctx, stop := context.WithTimeout(ctx, p.params.DialTimeout)
	defer stop()
	n, err := p.dial(ctx, r.Addr)
	if err != nil {
		return nil, errDial{err}
	}
	p.mu.Lock()
	p.made++
	p.mu.Unlock()
	return &conn{c: n, br: bufio.NewReaderSize(n, 4096), unused: true}, nil
}

func (p *Pool) take(k string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.idle[k]
	if len(l) == 0 {
		return nil
	}
	c := l[len(l)-1]
	p.idle[k] = l[:len(l)-1]
	return c
}

// put gives a connection back after a complete response.
func (p *Pool) put(r *endpoints.Runner, c *conn, rest time.Duration) {
	if rest <= 0 || c.br.Buffered() > 0 || c.c.SetDeadline(time.Time{}) != nil {
		c.c.Close()
		return
	}
	c.until, c.unused = time.Now().Add(rest), false
	p.mu.Lock()
	l := p.idle[key(r)]
	full := len(l) >= p.params.MaxIdle
	if !full {
		p.idle[key(r)] = append(l, c)
	}
	p.mu.Unlock()
	if full {
		c.c.Close()
	}
}

// Retain lets go of connections past their rest, and of all to runners that are
// not on the list any more.
func (p *Pool) Retain(on func(id string) bool) {
	now := time.Now()
	var shut []*conn
	p.mu.Lock()
	for k, l := range p.idle {
		id, _, _ := strings.Cut(k, "@")
		keep := l[:0]
		for _, c := range l {
			if on(id) && now.Before(c.until) {
				keep = append(keep, c)
			} else {
				shut = append(shut, c)
			}
		}
		if p.idle[k] = keep; len(keep) == 0 {
			delete(p.idle, k)
		}
	}
	p.mu.Unlock()
	for _, c := range shut {
		c.c.Close()
	}
}

// ConnectionsOpened counts the connections opened.
func (p *Pool) ConnectionsOpened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.made
}

// clean checks, without waiting, whether the other side has closed an idle
// connection or said something that nobody asked for.
func (c *conn) clean() bool {
	s, ok := c.c.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := s.SyscallConn()
	if err != nil {
		return false
	}
	var n int
	var rerr error
	b := make([]byte, 1)
	if err := rc.Read(func(fd uintptr) bool {
		n, rerr = syscall.Read(int(fd), b)
		return true
	}); err != nil {
		return false
	}
	return n < 0 && errors.Is(rerr, syscall.EAGAIN)
}

// rest is how long a connection may be idle after an answer.
func (p *Pool) rest(r *http.Response) time.Duration {
	if r.Close {
		return 0
	}
	for _, f := range strings.Split(r.Header.Get("Keep-Alive"), ",") {
		k, v, _ := strings.Cut(strings.TrimSpace(f), "=")
		if strings.EqualFold(k, "timeout") {
			s, err := strconv.Atoi(v)
			if err != nil {
				return 0
			}
			// Used before the runner closes it, not at the same moment.
			return min(time.Duration(s)*time.Second-500*time.Millisecond, p.params.IdleTimeout)
		}
	}
	return p.params.IdleTimeout
}
