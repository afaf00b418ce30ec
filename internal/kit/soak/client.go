package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"damsontiller/internal/transport/loop"
)

// The routes that clients use, by their prefixes.
const (
	authority   = "soak.example"
	turnPrefix  = "/turn/"
	readPrefix  = "/read/"
	orderPrefix = "/order/"
	keyedPrefix = "/keyed/"
)

// jobKind is a kind of request.
type jobKind int

const (
	readJob  jobKind = iota // may be repeated
	orderJob                // may not
	turnJob                 // a turn of a conversation, streamed
	keyedJob                // all that carry one key run once
)

func (k jobKind) String() string { return [...]string{"read", "order", "turn", "keyed"}[k] }

// deadline is how long a client waits.
const deadline = 6 * time.Second

// An exchange is one try of a client and what came of it.
type exchange struct {
	client   int
	kind     jobKind
	attempt  string
	edge     *Machine
	reused   bool // of a connection that had served before
	sent     time.Time
	complete time.Time // the whole request was written
	ended    time.Time
	status   int // 0: no answer
	seal     string
	body     string
	err      error
	want     string // the body that a runner must have got
	follows  string // the turn before

	operation string // the key of a keyed one
	tenant    tenant
}

// client works through requests on one connection, which it uses for as long as it is open,
// whatever the answers say of it.
type client struct {
	number int
	entry  *entry
	ledger *ledger
	random *rand.Rand

	conn   net.Conn
	reader *bufio.Reader
	edge   *Machine
	reused bool

	sequence  int
	program   string
	turn      string // the last turn of the conversation
	history   string // what was said so far
	exchanges []*exchange

	operations int
	operation  string // the key of the last operation

	tenant tenant
	burst  *burst // when it sends, if its tenant sends more than it may
	// burstRank is the number of clients of the tenant that begin before it.
	burstRank int32
}

func newClient(number int, e *entry, l *ledger, random *rand.Rand) *client {
	return &client{number: number, entry: e, ledger: l, random: random, tenant: tenantOf(number)}
}

// run works until ctx ends; a request under way then is given its time.
func (c *client) run(ctx context.Context) {
	defer c.hangUp()
	if c.burst != nil {
		c.runBursts(ctx)
		return
	}
	for loop.Wait(ctx, time.Duration(20+c.random.IntN(130))*time.Millisecond) {
		switch n := c.random.IntN(10); {
		case n < 4:
			c.keep(c.once(ctx, turnJob))
		case n < 6:
			c.once(ctx, orderJob)
		case n < 8:
			c.operate(ctx)
		default:
			c.once(ctx, readJob)
		}
	}
}

// operate begins an operation, or sends the last one again, perhaps by way of another edge.
func (c *client) operate(ctx context.Context) {
	if c.operation == "" || c.random.IntN(3) > 0 {
		c.operations++
		c.operation = fmt.Sprintf("op%d-%d", c.number, c.operations)
	} else if c.random.IntN(2) == 0 {
		c.hangUp()
	}
	c.once(ctx, keyedJob)
}

// keep makes the conversation go on from a turn that was answered whole.
func (c *client) keep(x *exchange) {
	if x == nil {
		return
	}
	if x.status == http.StatusOK && x.err == nil {
		c.turn, c.history = x.attempt, x.want
		for i := 1; i <= events; i++ {
			c.history += eventData(x.attempt, i) + "\n"
		}
	}
	// A conversation of the usual length ends; one whose last turn is not known any more is
	// judged, and given up.
	if x.status == http.StatusNotFound || strings.Count(c.history, "input") > 12 {
		c.turn, c.history = "", ""
	}
}

// once makes one try; nothing where no edge takes the connection.
func (c *client) once(ctx context.Context, kind jobKind) *exchange {
	if c.conn == nil && !c.dial(ctx) {
		return nil
	}
	c.sequence++
	x := &exchange{
		client:  c.number,
		kind:    kind,
		attempt: fmt.Sprintf("t%d-%d", c.number, c.sequence),
		edge:    c.edge,
		reused:  c.reused,
		tenant:  c.tenant,
	}
	head := c.write(x)
	c.exchanges = append(c.exchanges, x)
	x.sent = time.Now()
	_ = c.conn.SetDeadline(x.sent.Add(deadline))
	if _, x.err = io.WriteString(c.conn, head); x.err == nil {
		x.complete = time.Now()
		x.err = c.read(x)
	}
	x.ended = time.Now()
	if x.err != nil {
		c.hangUp()
	}
	c.reused = true
	return x
}

// write makes a request's text.
func (c *client) write(x *exchange) string {
	method, path, body := http.MethodPost, orderPrefix, fmt.Sprintf("order %s\n", x.attempt)
	more := ""
	switch x.kind {
	case keyedJob:
		x.operation = c.operation
		path, body = keyedPrefix, fmt.Sprintf("operation %s\n", x.operation)
		more = headerOperation + ": " + x.operation + "\r\n"
	case readJob:
		method, path, body = http.MethodGet, readPrefix, ""
	case turnJob:
		path, body = turnPrefix, fmt.Sprintf("input %s\n", x.attempt)
		if c.turn == "" {
			c.program = "p-" + x.attempt
		}
		more = fmt.Sprintf("%s: %s\r\n%s: %s\r\n%s: 60000\r\n%s: 100,44\r\n",
			headerProgram, c.program, headerSession, c.program, headerProgramEnd, headerTokens)
		if c.turn != "" {
			more += headerPrevious + ": " + c.turn + "\r\n"
			x.follows = c.turn
		}
	}
	x.want = body
	if x.kind == turnJob {
		x.want = c.history + body
	}
	more += headerCredential + ": " + x.tenant.credential + "\r\n"
	return fmt.Sprintf("%s %sw%d HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		method, path, c.work(), authority, headerAttempt, x.attempt, headerRemaining, deadline.Milliseconds(),
		more, len(body), body)
}

// work draws for how many milliseconds a runner works; one in fifty takes seconds.
func (c *client) work() int {
	if c.burst != nil {
		return 1 + c.random.IntN(5)
	}
	if c.random.IntN(50) == 0 {
		return 1500 + c.random.IntN(3000)
	}
	return 10 + c.random.IntN(300)
}

func (c *client) read(x *exchange) error {
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	x.status, x.seal = r.StatusCode, r.Header.Get(headerSeal)
	body, err := io.ReadAll(r.Body)
	x.body = string(body)
	return err
}

func (c *client) dial(ctx context.Context) bool {
	c.edge = c.entry.pick(c.random)
	d := net.Dialer{Timeout: time.Second}
	conn, err := d.DialContext(ctx, "tcp", c.edge.addr(frontPort))
	if err != nil {
		return false
	}
	c.conn, c.reader, c.reused = conn, bufio.NewReader(conn), false
	return true
}

func (c *client) hangUp() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// gaveUp reports whether it was the client that ended the exchange.
func (x *exchange) gaveUp() bool { return errors.Is(x.err, os.ErrDeadlineExceeded) }
