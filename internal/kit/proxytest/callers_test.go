package proxytest_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/dataplane/request/proxy"
	"damsontiller/internal/kit/proxytest"
)

// lossy loses a runner's connections at random bytes of what it writes.
type lossy struct {
	net.Conn
	rnd  *lockedRand
	rate float64 // of writes
}

// lockedRand is a source that many goroutines share.
type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func (r *lockedRand) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.r.IntN(n)
}

func (r *lockedRand) below(fraction float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.r.Float64() < fraction
}

func (c lossy) Write(b []byte) (int, error) {
	if !c.rnd.below(c.rate) {
		return c.Conn.Write(b)
	}
	n, _ := c.Conn.Write(b[:c.rnd.intN(len(b)+1)])
	switch proxytest.Loss(c.rnd.intN(proxytest.Losses)) {
	case proxytest.Reset:
		_ = c.Conn.(interface{ Reset() error }).Reset()
	case proxytest.Unresponsive:
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	_ = c.Conn.Close()
	return n, net.ErrClosed
}

// caller is one of many: it keeps its connection, sends one or two jobs at once on it,
// rests, and breaks off now and then.
type caller struct {
	r    *rig
	rnd  *lockedRand
	name string
	n    int
	c    net.Conn
	br   *bufio.Reader
}

type asked struct{ kind, try string }

// round sends some jobs and judges each answer; it gives how many were served.
func (c *caller) round() (served int, err error) {
	if c.c == nil {
		if c.c, err = c.r.front.Dial(c.r.t.Context()); err != nil {
			return 0, err
		}
		c.br = bufio.NewReader(c.c)
	}
	var jobs []asked
	var s strings.Builder
	for range 1 + c.rnd.intN(2) {
		c.n++
		kind := []string{repeatable, once, stream, resumable}[c.rnd.intN(4)]
		q := asked{kind, fmt.Sprintf("%s-%d", c.name, c.n)}
		jobs = append(jobs, q)
		fmt.Fprintf(
			&s,
			"POST %sx HTTP/1.1\r\nHost: host.test\r\n%s: %s\r\nX-Test-Wait: 2000\r\nContent-Length: 4\r\n\r\nbody",
			kind,
			names.Try,
			q.try,
		)
	}
	text := s.String()
	departed := c.rnd.below(0.1)
	if departed {
		text = text[:c.rnd.intN(len(text)+1)]
	}
	if _, err := io.WriteString(c.c, text); err != nil || departed {
		c.hangUp()
		return 0, c.judgeUnheard(jobs)
	}
	for i, q := range jobs {
		x := c.receive(q.try)
		if err := c.r.judge(q.kind, x); err != nil {
			return served, fmt.Errorf("%s %s: %w", q.kind, q.try, err)
		}
		if x.status == 200 && !x.truncated {
			served++
		}
		if x.truncated || x.head.Get("Connection") == "close" {
			c.hangUp()
			return served, c.judgeUnheard(jobs[i+1:])
		}
	}
	// Nobody has asked for anything: nothing may come.
	_ = c.c.SetReadDeadline(time.Now().Add(time.Millisecond))
	if _, err := c.br.Peek(1); err == nil {
		return served, fmt.Errorf("bytes that nobody asked for after %s", jobs[len(jobs)-1].try)
	}
	return served, c.c.SetReadDeadline(time.Time{})
}

// receive reads one answer.
func (c *caller) receive(try string) received {
	res, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return received{try: try, truncated: true}
	}
	b, err := io.ReadAll(res.Body)
	return received{try: try, status: res.StatusCode, head: res.Header, body: string(b), truncated: err != nil}
}

// judgeUnheard holds jobs whose answers were not received against what ran.
func (c *caller) judgeUnheard(jobs []asked) error {
	for _, q := range jobs {
		if err := c.r.judge(q.kind, received{try: q.try, truncated: true}); err != nil {
			return fmt.Errorf("%s %s, unheard: %w", q.kind, q.try, err)
		}
	}
	return nil
}

func (c *caller) hangUp() {
	c.c.Close()
	c.c = nil
}

// TestManyCallers: thirty callers with kept connections, two of which may rest at each of
// three runners, while runners' connections are closed, reset or fall unresponsive at random
// bytes and runners bring about every numbered fault: what may run once runs once, every
// success is the caller's own and complete, and no promise is broken.
func TestManyCallers(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { manyCallers(t, seed) })
		})
	}
}

func manyCallers(t *testing.T, seed uint64) {
	rnd := &lockedRand{r: rand.New(rand.NewPCG(seed, 7))}
	pool := proxy.DefaultPool
	pool.MaxIdle = 2
	r := newRigOf(t, pool, farm(3, func(p *proxytest.Params) {
		p.Bytes, p.Events, p.Before, p.Work, p.Pace, p.Chunks = 300, 5, 2, 3*time.Millisecond, time.Millisecond, seed%2 == 1
		p.Wrap = func(c net.Conn) net.Conn { return lossy{c, rnd, 0.01} }
	}))
	defer r.stop()
	for _, b := range r.backends {
		b.Next(randomFaults(rnd, 600)...)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for i := range 30 {
		wg.Go(func() {
			c := &caller{r: r, rnd: rnd, name: fmt.Sprintf("c%d", i)}
			for range 30 {
				n, err := c.round()
				mu.Lock()
				served += n
				mu.Unlock()
				if err != nil {
					t.Error(err)
				}
				time.Sleep(time.Duration(rnd.intN(1000)) * time.Millisecond)
			}
			if c.c != nil {
				c.hangUp()
			}
		})
	}
	wg.Wait()
	time.Sleep(5 * time.Second)
	checkLog(t, r)

	if served < 100 {
		t.Errorf("only %d jobs were served: nothing is proved", served)
	}
}

// randomFaults are faults for the next jobs of a runner, most of them none.
func randomFaults(rnd *lockedRand, n int) []proxytest.Fault {
	var fs []proxytest.Fault
	for range n {
		f := proxytest.None
		if rnd.below(0.1) {
			// A refused dial would hold up the plan, a rate limit all callers.
			if f = proxytest.Fault(rnd.intN(proxytest.Faults)); f == proxytest.RateLimit {
				f = proxytest.LoseAnswer
			}
		}
		fs = append(fs, f)
	}
	return fs
}

// checkLog checks through all that ran, in the end: also what a caller gave up on.
func checkLog(t *testing.T, r *rig) {
	runs := map[string]int{}
	kind := map[string]string{}
	for _, b := range r.backends {
		for _, q := range b.Runs() {
			runs[q.Try]++
			kind[q.Try] = q.URI[:3]
			if q.Body != "body" || q.Method != http.MethodPost || q.URI != q.URI[:3]+"x" {
				t.Errorf("%s ran as %s %s %q", q.Try, q.Method, q.URI, q.Body)
			}
		}
	}
	for try, n := range runs {
		if n > 1 && !mayRepeat(kind[try]) {
			t.Errorf("%s of %s ran %d times", try, kind[try], n)
		}
	}
}

// TestCallerBreaksOff: a caller whose connection ends at any byte of its request: half a
// request never runs, and nothing runs twice.
func TestCallerBreaksOff(t *testing.T) {
	text := "POST /o/x HTTP/1.1\r\nHost: host.test\r\nX-Test-Try: %s\r\nContent-Length: 8\r\n\r\nthe body"
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, farm(2, nil))
		defer r.stop()
		size := len(fmt.Sprintf(text, "t-000"))
		for at := range size + 1 {
			try := fmt.Sprintf("t-%03d", at)
			c, err := r.front.Dial(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(c, fmt.Sprintf(text, try)[:at])
			synctest.Wait()
			c.Close()
			synctest.Wait()
			if n := len(r.runs(try)); n > 1 || at < size && n > 0 || at == size && n != 1 {
				t.Errorf("broke off after %d of %d bytes: ran %d times", at, size, n)
			}
		}
	})
}

// TestKeptEveryByte: a kept turn whose runner's connection is lost at any byte of its
// answer runs once, and can be followed only where its caller got it complete.
func TestKeptEveryByte(t *testing.T) {
	cutter := &proxytest.Cutter{}
	inBubble(t, func(p *proxytest.Params) { p.Events, p.Wrap = 2, cutter.Wrap }, func(t *testing.T, f *fleet) {
		r := f.at("e1")
		_, size := sizes(t, r, cutter, kept)
		for at := 0; at <= size+1; at += 3 {
			loss := proxytest.Loss(at % proxytest.Losses)
			time.Sleep(5 * time.Second)
			cutter.Arm(true, at, loss)
			x := r.requestTruncated(kept)
			cutter.Disarm()
			if err := r.judge(kept, x); err != nil || r.received(x.try) > 1 ||
				x.status != 200 && x.status != 502 && x.status != 504 {
				t.Errorf(
					"byte %d of %d, loss %d: status %d, came %d times: %v",
					at,
					size,
					loss,
					x.status,
					r.received(x.try),
					err,
				)
			}
			y := f.at("e2").ask(kept+"x", "more", try(fmt.Sprintf("after-%d", at), head("X-Test-Follows", x.try)))
			if complete := x.status == 200 && !x.truncated; complete != (y.status == 200) ||
				!complete && y.status != 404 {
				t.Errorf(
					"byte %d of %d, loss %d: answered %d cut %v, the turn after it %d",
					at,
					size,
					loss,
					x.status,
					x.truncated,
					y.status,
				)
			}
		}
	})
}
