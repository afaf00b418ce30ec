package transport

import (
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
	"damsontiller/internal/transport/membudget"
)

// Params are the settings of the transport.
type Params struct {
	MaxBodyBytes int // largest body accepted
	DialTimeout  time.Duration
	// UserTimeout is the time that sent bytes may stay unacknowledged by the peer's machine
	// before the connection is closed; 0 means the default of the system.
	UserTimeout        time.Duration
	Backlog            int           // capacity of the write queue of a connection, in frames
	MaxConcurrentCalls int           // calls served concurrently, over all connections
	IdleTimeout        time.Duration // a connection without calls for this long is closed; 0 means never
	MaxConnections     int           // connections served at once
	// MaxReadBytes limits the memory of the frames that are being read, and of the calls read but
	// not answered, each over all connections. A single larger frame is read on its own.
	MaxReadBytes int64
	// MaxHeldBytes limits the memory of admitted calls and of their answers that are not written
	// yet; 0 means the default of package admission.
	MaxHeldBytes int64
}

const (
	// readDivisor and heldDivisor are the parts of a process's memory for MaxReadBytes, of which
	// there are two, and for MaxHeldBytes.
	readDivisor = 16
	heldDivisor = 8
)

// WithMemory returns the parameters with their limits lowered to parts of the memory of the process,
// in bytes; 0 changes nothing.
func (p Params) WithMemory(bytes int64) Params {
	if bytes > 0 {
		p.MaxReadBytes = min(p.MaxReadBytes, bytes/readDivisor)
		p.MaxHeldBytes = bytes / heldDivisor
	}
	return p
}

// DefaultParams are suited to machines within one metropolitan area.
var DefaultParams = Params{
	MaxBodyBytes:       8 << 20,
	DialTimeout:        500 * time.Millisecond,
	UserTimeout:        1500 * time.Millisecond,
	Backlog:            64,
	MaxConcurrentCalls: 4096,
	IdleTimeout:        30 * time.Second,
	MaxConnections:     4096,
	MaxReadBytes:       32 << 20,
}

// Net is the network interface; tests substitute a simulated network.
type Net struct {
	Dial   func(ctx context.Context, addr string) (net.Conn, error)
	Listen func(addr string) (net.Listener, error)
}

// TCP returns the real network. open opens the addresses at which a process listens.
func TCP(p Params, open listen.Opener) Net {
	control := func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, p.UserTimeout) }
	d := &net.Dialer{Timeout: p.DialTimeout, Control: control}
	l := net.ListenConfig{Control: control}
	return Net{
		Dial:   func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) },
		Listen: func(addr string) (net.Listener, error) { return open.TCP(context.Background(), l, addr) },
	}
}

// readBufferBytes is the size of a connection's read buffer. It is sufficient for headers
// and small bodies; a large body is read directly into its own memory. Each connection has a
// buffer, and a core has a connection to every node.
const readBufferBytes = 4 << 10

// ErrRefused means that no process listens at the address: the one that did has exited.
var ErrRefused = errors.New("port refused")

// ErrLost means that the peer may or may not have received the call.
var ErrLost = errors.New("connection lost")

// Client sends calls to peers over one connection each, which is dialed when first needed.
type Client struct {
	net          Net
	params       Params
	partitions   *Partitions
	mu           sync.Mutex
	conns        map[string]*clientConn
	lastIdleScan time.Time
	lastID       atomic.Uint64
	memory       *membudget.Budget // for the answers that are being read
	// Sent counts the calls sent, for the metrics of messages per node.
	Sent atomic.Uint64
}

// NewClient returns a client that uses the network n.
func NewClient(n Net, p Params, partitions *Partitions) *Client {
	return &Client{
		net:        n,
		params:     p,
		partitions: partitions,
		conns:      map[string]*clientConn{},
		memory:     membudget.New(p.MaxReadBytes),
	}
}

// clientConn is a connection to a peer with its pending calls.
type clientConn struct {
	netConn  net.Conn
	queue    chan frame
	done     chan struct{}
	once     sync.Once
	mu       sync.Mutex
	pending  map[uint64]chan frame
	lastUsed time.Time // when a call last began or ended
	// lastReceived is the time when data was last received, initially that of the dial.
	lastReceived time.Time
	closedIdle   bool         // closed as idle; no further calls begin on it
	freeReplies  []chan frame // empty channels for reuse
	err          error
}

// maxFreeReplies bounds the channels that a connection keeps for reuse.
const maxFreeReplies = 64

// Call sends body to addr and waits for the answer until ctx ends. It never resends a call.
func (client *Client) Call(ctx context.Context, addr string, body []byte) ([]byte, error) {
	// A simulated partition drops the call like a lost packet.
	if client.partitions.Has(addr) {
		<-ctx.Done()
		return nil, fmt.Errorf("%w: %s: %w", ErrLost, addr, ctx.Err())
	}
	f := frame{kind: kindCall, id: client.lastID.Add(1), body: body}
	conn, err := client.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	reply := conn.begin(f.id)
	for reply == nil {
		// The connection was closed as idle in the meantime; nothing has been sent on it.
		if conn, err = client.connect(ctx, addr); err != nil {
			return nil, err
		}
		reply = conn.begin(f.id)
	}
	client.Sent.Add(1)
	defer conn.finish(f.id, reply)
	select {
	case conn.queue <- f:
	case <-conn.done:
		return nil, fmt.Errorf("%w: %s: %w", ErrLost, addr, conn.cause())
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %s: %w", ErrLost, addr, ctx.Err())
	}
	select {
	case answer := <-reply:
		if answer.kind == kindVersionMismatch {
			return nil, code.New(code.WireVersion, "%s speaks another frame version", addr)
		}
		return answer.body, nil
	case <-conn.done:
		return nil, fmt.Errorf("%w: %s: %w", ErrLost, addr, conn.cause())
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %s: %w", ErrLost, addr, ctx.Err())
	}
}

// Drop closes the connection to addr if nothing has been received on it for longer than
// minQuiet. It is used when the peer is known to have restarted: calls on the old connection
// would wait until TCP detects the failure.
func (client *Client) Drop(addr string, minQuiet time.Duration) {
	client.mu.Lock()
	conn := client.conns[addr]
	client.mu.Unlock()
	if conn == nil {
		return
	}
	conn.mu.Lock()
	quietTooLong := time.Since(conn.lastReceived) > minQuiet
	conn.mu.Unlock()
	if quietTooLong {
		conn.close(net.ErrClosed)
	}
}

// LastReceived returns when data was last received on the open connection to addr. It is zero if
// there is none.
func (client *Client) LastReceived(addr string) time.Time {
	client.mu.Lock()
	conn := client.conns[addr]
	client.mu.Unlock()
	if conn == nil || conn.closed() {
		return time.Time{}
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.lastReceived
}

// Close closes all connections.
func (client *Client) Close() {
	client.mu.Lock()
	defer client.mu.Unlock()
	for _, conn := range client.conns {
		conn.close(net.ErrClosed)
	}
}

// begin registers a call and returns the channel for its answer, or nil if the connection has
// been closed as idle.
func (conn *clientConn) begin(id uint64) (ch chan frame) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.closedIdle {
		return nil
	}
	if n := len(conn.freeReplies); n > 0 {
		ch, conn.freeReplies = conn.freeReplies[n-1], conn.freeReplies[:n-1]
	} else {
		ch = make(chan frame, 1)
	}
	conn.pending[id], conn.lastUsed = ch, time.Now()
	return ch
}

// finish removes a call. The answer is sent to its channel under the lock and at most once, so
// nothing can be sent to it after finish and another call can reuse it.
func (conn *clientConn) finish(id uint64, ch chan frame) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	delete(conn.pending, id)
	conn.lastUsed = time.Now()
	select {
	case <-ch:
	default:
	}
	if len(conn.freeReplies) < maxFreeReplies {
		conn.freeReplies = append(conn.freeReplies, ch)
	}
}

// closeIfIdle closes the connection if it has had no calls since before. It reports whether it
// did.
func (conn *clientConn) closeIfIdle(before time.Time) bool {
	conn.mu.Lock()
	if len(conn.pending) > 0 || !conn.lastUsed.Before(before) {
		conn.mu.Unlock()
		return false
	}
	conn.closedIdle = true
	conn.mu.Unlock()
	conn.close(net.ErrClosed)
	return true
}

// closeIdle closes idle connections: over time a node calls all others, and would otherwise
// keep a connection to each. It runs when a connection is added, at most once a second. The
// caller holds the lock.
func (client *Client) closeIdle(now time.Time) {
	if client.params.IdleTimeout <= 0 || now.Sub(client.lastIdleScan) < time.Second {
		return
	}
	client.lastIdleScan = now
	for addr, conn := range client.conns {
		if conn.closed() || conn.closeIfIdle(now.Add(-client.params.IdleTimeout)) {
			delete(client.conns, addr)
		}
	}
}

// connect returns the open connection to addr, and dials one if there is none.
func (client *Client) connect(ctx context.Context, addr string) (*clientConn, error) {
	client.mu.Lock()
	conn := client.conns[addr]
	client.mu.Unlock()
	if conn != nil && !conn.closed() {
		return conn, nil
	}
	c, err := client.net.Dial(ctx, addr)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, fmt.Errorf("%w: %s", ErrRefused, addr)
		}
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}
	dialed := &clientConn{
		netConn:      c,
		queue:        make(chan frame, client.params.Backlog),
		done:         make(chan struct{}),
		pending:      map[uint64]chan frame{},
		lastUsed:     time.Now(),
		lastReceived: time.Now(),
	}
	client.mu.Lock()
	// Two callers may have dialed concurrently; the connection registered first is kept.
	if conn = client.conns[addr]; conn != nil && !conn.closed() {
		client.mu.Unlock()
		c.Close()
		return conn, nil
	}
	client.closeIdle(time.Now())
	client.conns[addr] = dialed
	client.mu.Unlock()
	go (&writer{conn: c, queue: dialed.queue, done: dialed.done, end: dialed.close}).run()
	go dialed.read(client.params.MaxBodyBytes, client.memory.Account())
	return dialed, nil
}

func (conn *clientConn) closed() bool {
	select {
	case <-conn.done:
		return true
	default:
		return false
	}
}

// cause returns the error that ended the connection.
func (conn *clientConn) cause() error {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.err
}

// close ends the connection and its pending calls; err is the cause reported to them.
func (conn *clientConn) close(err error) {
	conn.once.Do(func() {
		conn.mu.Lock()
		conn.err = err
		conn.mu.Unlock()
		close(conn.done)
		conn.netConn.Close()
	})
}

// read delivers answers to their calls until the connection ends.
func (conn *clientConn) read(maxBodyBytes int, memory *membudget.Account) {
	defer memory.Close()
	frames := newFrameReader(conn.netConn, maxBodyBytes, conn.done)
	for {
		f, err := frames.read(memory)
		if err == nil && f.kind == kindCall {
			err = code.New(code.Garbled, "a call where an answer was due")
		}
		if err != nil {
			conn.close(err)
			return
		}
		conn.mu.Lock()
		conn.lastReceived = time.Now()
		// An answer to a call that has ended is discarded.
		if ch := conn.pending[f.id]; ch != nil {
			delete(conn.pending, f.id)
			conn.lastUsed = time.Now()
			ch <- f
		}
		conn.mu.Unlock()
		memory.Release()
	}
}
