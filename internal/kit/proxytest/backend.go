// Package proxytest tests the path of proxied requests against a stand-in HTTP/1.1
// runner, with complete or streamed responses and numbered faults. The runner keeps a
// log of what it received and executed, for tests to check. It knows no platform: the
// headers that it reads and writes are given to it.
package proxytest

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is what goes wrong with one job.
type Fault int

// The faults, by number.
const (
	None           Fault = iota
	Drop                 // 1: refuses without running
	LoseAnswer           // 2: runs, and its answer is lost
	Truncate             // 3: runs, and its answer is truncated midway, of a stream before its first event
	NoAnswer             // 4: runs, and sends bytes that are no answer
	Surplus              // 5: a complete response, and bytes after it
	LateAnswer           // 6: a late answer to an earlier job before the due one
	NoSeal               // 7: a success without its token
	Other                // 8: another runner has the address
	RateLimit            // 9: refuses by a rate limit, and says when to come back
	TruncateStream       // 10: a stream is truncated midway of an event, after Params.Before of them
	ShutIdle             // 11: a complete response; the connection is closed without a word afterwards
	Slow                 // 12: runs, and its first byte is later than anybody waits
	Own500               // 13: runs, and answers 500
	Bare503              // 14: runs, and answers 503 without the statement that it did not
	NoDial               // 15: refuses the connection
	Faults         = int(NoDial)
)

// The faults that last until another is set, by number.
const (
	SlowBy Fault = NoDial + 1 + iota // 16: takes so many times as long
	// Grey, 17: fails a share of its jobs, by a 500 of its own and by a reset in turns; its
	// health answer is good.
	Grey
	Lies  // 18: fails all jobs (1) or none (0), and its health answer says the reverse
	Flaps // 19: down and up by turns, a period of so many seconds, down first
)

// Names are the headers that a stand-in speaks.
type Names struct{ Try, Seal, NotRun, Target, Operation string }

// OperationTable is what stand-ins that deduplicate share: the operations that ran, or run.
type OperationTable struct {
	mu  sync.Mutex
	ran map[string]*operationRun
}

type operationRun struct {
	done bool
	seal string
	body string
}

// begin tells what is known of an operation, and notes it as running where nothing is.
func (t *OperationTable) begin(operation string) (known operationRun, first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if run := t.ran[operation]; run != nil {
		return *run, false
	}
	if t.ran == nil {
		t.ran = map[string]*operationRun{}
	}
	t.ran[operation] = &operationRun{}
	return operationRun{}, true
}

func (t *OperationTable) end(operation, seal, body string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*t.ran[operation] = operationRun{done: true, seal: seal, body: body}
}

// Plan is the faults of the next jobs, in order. Stand-ins that share one meet
// them in whichever of them a job arrives.
type Plan struct {
	mu   sync.Mutex
	next []Fault
}

// Set replaces what is planned.
func (p *Plan) Set(fs ...Fault) {
	p.mu.Lock()
	p.next = append([]Fault(nil), fs...)
	p.mu.Unlock()
}

// take gives the next fault of a dial, or of a job: on a connection that stands
// nobody dials.
func (p *Plan) take(dial bool) Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.next) == 0 || (p.next[0] == NoDial) != dial {
		return None
	}
	f := p.next[0]
	p.next = p.next[1:]
	return f
}

// Params shape a stand-in.
type Params struct {
	Names
	Plan *Plan // nil: one of its own
	// Operations, if set, is the table by which it deduplicates.
	Operations *OperationTable
	ID         string
	Addr       string
	Bytes      int           // of a complete response
	Events     int           // of a stream
	Before     int           // events before fault 10
	Pace       time.Duration // between events
	Work       time.Duration // until the first byte
	Health     string        // path of the health answer; empty: it has none
	Chunks     bool          // complete response come in chunks
	Replay     bool          // streams begin at their first event, whatever they are to go on after
	NoEnd      bool          // answers say nowhere where they end: they end with the connection
	// Streams reports whether a request is answered by events.
	Streams func(*http.Request) bool
	// Word is the data of one event of a stream.
	Word func(try string, event int) string
	// Passed is called before each event goes out.
	Passed func(try string, event int)
	// Wrap, if set, stands around each connection taken.
	Wrap func(net.Conn) net.Conn
	// Answer, if set, writes the answer to a job that was counted as run, and tells
	// whether the connection goes on.
	Answer func(w io.Writer, q *http.Request, run Run) bool
}

// Run is one job that was run.
type Run struct {
	At     time.Time
	Runner string
	Try    string
	Method string
	URI    string
	Host   string
	Head   http.Header
	Body   string
	Seal   string
}

// Backend is one stand-in.
type Backend struct {
	P  Params
	ln *Listener

	mu       sync.Mutex
	received map[string]int // jobs that arrived, by try
	runs     []Run
	conns    map[net.Conn]bool
	made     int
	asked    int // for its health
	wg       sync.WaitGroup

	fault     Fault
	x         float64
	since     time.Time
	fraction  float64 // of a job that is due to fail
	truncated bool    // the last that failed was truncated
}

// New makes a stand-in and lets it listen.
func New(p Params) *Backend {
	if p.Word == nil {
		p.Word = func(_ string, n int) string { return fmt.Sprintf("word %d", n) }
	}
	if p.Streams == nil {
		p.Streams = func(*http.Request) bool { return false }
	}
	if p.Plan == nil {
		p.Plan = &Plan{}
	}
	b := &Backend{P: p, ln: NewListener(p.Addr), received: map[string]int{}, conns: map[net.Conn]bool{}}
	b.wg.Go(func() {
		for {
			c, err := b.ln.Accept()
			if err != nil {
				return
			}
			if b.P.Wrap != nil {
				c = b.P.Wrap(c)
			}
			b.mu.Lock()
			b.conns[c] = true
			b.made++
			b.mu.Unlock()
			b.wg.Go(func() {
				b.serve(c)
				c.Close()
				b.mu.Lock()
				delete(b.conns, c)
				b.mu.Unlock()
			})
		}
	})
	return b
}

// Dial connects to it, or is refused where that is the next fault.
func (b *Backend) Dial(ctx context.Context) (net.Conn, error) {
	if b.P.Plan.take(true) == NoDial || b.down() {
		return nil, refused(b.P.Addr)
	}
	return b.ln.Dial(ctx)
}

// Next sets the faults of the next jobs, in order.
func (b *Backend) Next(fs ...Fault) { b.P.Plan.Set(fs...) }

// InjectFault sets what it has from now on, None for nothing.
func (b *Backend) InjectFault(f Fault, x float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault, b.x, b.since, b.fraction = f, x, time.Now(), 0
	if f == Flaps {
		for c := range b.conns {
			c.Close()
		}
	}
}

// down reports whether it flaps and is down.
func (b *Backend) down() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := time.Duration(b.x * float64(time.Second))
	return b.fault == Flaps && time.Since(b.since)%p < p/2
}

// lasting is the fault that its fault brings about for one job, and how many times
// as long it takes.
func (b *Backend) lasting() (Fault, float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch b.fault {
	case SlowBy:
		return None, b.x
	case Grey:
		if b.fraction += b.x; b.fraction >= 1 {
			b.fraction--
			if b.truncated = !b.truncated; b.truncated {
				return Truncate, 1
			}
			return Own500, 1
		}
	case Lies:
		if b.x > 0 {
			return Own500, 1
		}
	}
	return None, 1
}

// health answers whoever asks for it.
func (b *Backend) health(c net.Conn) {
	b.mu.Lock()
	b.asked++
	good := b.fault != Lies || b.x > 0
	b.mu.Unlock()
	a := answer{http.StatusOK, http.Header{}}
	if !good {
		a.status = http.StatusServiceUnavailable
	}
	a.complete(c, "")
}

// Asked counts the questions for its health.
func (b *Backend) Asked() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.asked
}

// Runs lists what ran.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run(nil), b.runs...)
}

// Received counts how often a try arrived, run or not.
func (b *Backend) Received(try string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.received[try]
}

// Made counts the connections taken.
func (b *Backend) Made() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.made
}

// Open counts the connections that stand.
func (b *Backend) Open() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns)
}

// Stop ends it as a crash would.
func (b *Backend) Stop() {
	b.ln.Close()
	b.mu.Lock()
	for c := range b.conns {
		c.Close()
	}
	b.mu.Unlock()
	b.wg.Wait()
}

func (b *Backend) serve(c net.Conn) {
	br := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if !b.job(c, br, q, body) {
			return
		}
	}
}

type answer struct {
	status int
	head   http.Header
}

func (a answer) begin(w io.Writer, more string) {
	fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	_ = a.head.Write(w)
	io.WriteString(w, more+"\r\n")
}

func (a answer) complete(w io.Writer, body string) {
	var x bytes.Buffer
	a.begin(&x, "Content-Length: "+strconv.Itoa(len(body))+"\r\n")
	x.WriteString(body)
	_, _ = w.Write(x.Bytes())
}

// Seal is the token of one run at one runner.
func Seal(runner, try string) string { return runner + "." + try }

// Complete is the body of a complete response.
func Complete(runner, try string, n int) string {
	s := runner + "/" + try + "/"
	return (s + strings.Repeat("0123456789", n/10+1))[:max(n, len(s))]
}

// Text is the body of a stream, or the part of it after an event.
func (p *Params) Text(try string, after int) string {
	var s strings.Builder
	for i := after + 1; i <= p.Events; i++ {
		s.WriteString(p.event(try, i))
	}
	return s.String()
}

func (p *Params) event(try string, i int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", i, p.Word(try, i))
}

// job answers one job; it reports whether the connection goes on.
func (b *Backend) job(c net.Conn, br *bufio.Reader, q *http.Request, body []byte) bool {
	p := &b.P
	if p.Health != "" && q.RequestURI == p.Health {
		b.health(c)
		return true
	}
	if b.down() {
		return false
	}
	try := q.Header.Get(p.Try)
	f, times := b.nextFault()
	b.mu.Lock()
	b.received[try]++
	b.mu.Unlock()
	a := answer{http.StatusOK, http.Header{}}
	a.head.Set(p.Try, try)
	if b.rejects(&a, q.Header.Get(p.Target), f) {
		a.head.Set(p.NotRun, "1")
		a.complete(c, "not run")
		return true
	}
	seal := Seal(p.ID, try)
	operation := q.Header.Get(p.Operation)
	if p.Operations != nil && operation != "" {
		known, first := p.Operations.begin(operation)
		if !first {
			known.answer(c, a, p.Names)
			return true
		}
		defer func() { p.Operations.end(operation, seal, Complete(p.ID, try, p.Bytes)) }()
	}
	run := Run{time.Now(), p.ID, try, q.Method, q.RequestURI, q.Host, q.Header, string(body), seal}
	b.mu.Lock()
	b.runs = append(b.runs, run)
	b.mu.Unlock()
	a.head.Set(p.Seal, seal)
	if p.Work > 0 {
		time.Sleep(time.Duration(times * float64(p.Work)))
		if b.down() {
			return false
		}
	}
	if p.Answer != nil {
		return p.Answer(c, q, run)
	}
	if ended, keep := b.spoil(c, br, &a, f); ended {
		return keep
	}
	on := false
	if p.Streams(q) {
		on = b.stream(c, q, a, try, f, times)
	} else {
		on = b.complete(c, a, Complete(p.ID, try, p.Bytes), f)
	}
	if f == Surplus {
		io.WriteString(c, "bytes of nobody")
	}
	return on && f != ShutIdle
}

// answer answers a repeat by what is known of its operation.
func (run operationRun) answer(w io.Writer, a answer, names Names) {
	if !run.done {
		a.status = http.StatusConflict
		a.head.Set(names.NotRun, "1")
		a.complete(w, "under way")
		return
	}
	a.head.Set(names.Seal, run.seal)
	a.complete(w, run.body)
}

// nextFault is the fault of the next job, planned or lasting, and how many times longer
// it makes the work.
func (b *Backend) nextFault() (Fault, float64) {
	if f := b.P.Plan.take(false); f != None {
		return f, 1
	}
	return b.lasting()
}

// rejects reports whether a job is not run, and sets the status that says so.
func (b *Backend) rejects(a *answer, target string, f Fault) bool {
	switch {
	case f == Other || target != "" && target != b.P.ID:
		a.status = http.StatusMisdirectedRequest
	case f == Drop:
		a.status = http.StatusServiceUnavailable
	case f == RateLimit:
		a.head.Set("Retry-After", "2")
		a.status = http.StatusTooManyRequests
	default:
		return false
	}
	return true
}

// spoil brings about a fault that comes before the answer or in its place. It tells
// whether the job has ended with that, and whether the connection is kept.
func (b *Backend) spoil(c net.Conn, br *bufio.Reader, a *answer, f Fault) (ended, keep bool) {
	switch f {
	case LoseAnswer:
		return true, false
	case NoAnswer:
		io.WriteString(c, "\x15\x03 this is no answer\r\n\r\n")
		return true, true
	case Slow:
		// Nothing more is received on this connection than its end.
		_, _ = io.Copy(io.Discard, br)
		return true, false
	case Own500, Bare503:
		a.status = http.StatusInternalServerError
		if f == Bare503 {
			a.status = http.StatusServiceUnavailable
		}
		a.complete(c, "its own trouble")
		return true, true
	case NoSeal:
		a.head.Del(b.P.Seal)
	case LateAnswer:
		earlier := answer{http.StatusOK, http.Header{}}
		earlier.head.Set(b.P.Try, "earlier")
		earlier.head.Set(b.P.Seal, Seal(b.P.ID, "earlier"))
		earlier.complete(c, "an answer to an earlier job")
	}
	return false, false
}

func (b *Backend) complete(c net.Conn, a answer, body string, f Fault) bool {
	var x bytes.Buffer
	if b.P.NoEnd {
		a.begin(&x, "Connection: close\r\n")
		x.WriteString(body)
		_, _ = c.Write(x.Bytes())
		return false
	}
	if b.P.Chunks {
		a.begin(&x, "Transfer-Encoding: chunked\r\n")
		for n := 0; n < len(body); n += 1000 {
			s := body[n:min(n+1000, len(body))]
			fmt.Fprintf(&x, "%x\r\n%s\r\n", len(s), s)
		}
		x.WriteString("0\r\n\r\n")
	} else {
		a.complete(&x, body)
	}
	if f == Truncate || f == TruncateStream {
		_, _ = c.Write(x.Bytes()[:x.Len()-7])
		return false
	}
	_, err := c.Write(x.Bytes())
	return err == nil
}

func (b *Backend) stream(c net.Conn, q *http.Request, a answer, try string, f Fault, times float64) bool {
	p := &b.P
	after := 0
	if !p.Replay {
		after, _ = strconv.Atoi(q.Header.Get("Last-Event-Id"))
	}
	a.head.Set("Content-Type", "text/event-stream")
	var x bytes.Buffer
	a.begin(&x, "Transfer-Encoding: chunked\r\n")
	if _, err := c.Write(x.Bytes()); err != nil {
		return false
	}
	sent := 0
	for i := after + 1; i <= p.Events; i++ {
		ev := p.event(try, i)
		if f == Truncate || f == TruncateStream && sent == p.Before {
			fmt.Fprintf(c, "%x\r\n%s", len(ev), ev[:len(ev)/2])
			return false
		}
		if p.Pace > 0 {
			time.Sleep(time.Duration(times * float64(p.Pace)))
		}
		if p.Passed != nil {
			p.Passed(try, i)
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev); err != nil {
			return false
		}
		sent++
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
