package sim

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"damsontiller/internal/dataplane/balancing/endpoints"
	"damsontiller/internal/kit/proxytest"
)

// Headers of proxied requests, as the platform spells them.
const (
	headerAttempt   = "X-Damsontiller-Attempt-Id"
	headerRemaining = "X-Damsontiller-Time-Remaining"
	headerProgram   = "X-Damsontiller-Program-Id"
	headerPrevious  = "X-Damsontiller-Previous-Turn"
	headerSeal      = "X-Damsontiller-Server-Seal"
	headerNotRun    = "X-Damsontiller-Not-Executed"
	headerTarget    = "X-Damsontiller-Target-Instance"
)

// rawAuthority is the host that every configuration's routes serve.
const rawAuthority = "host.test"

// addBackends lays out stand-ins for the runners of proxied requests.
func (s *Sim) addBackends(n int) {
	names := proxytest.Names{Try: headerAttempt, Seal: headerSeal, NotRun: headerNotRun, Target: headerTarget}
	for i := range n {
		b := proxytest.New(proxytest.Params{
			Names:  names,
			ID:     fmt.Sprintf("i-%d", i),
			Addr:   fmt.Sprintf("10.1.0.%d:80", i+1),
			Bytes:  200,
			Events: 3,
			Before: 2,
			Work:   5 * time.Millisecond,
			Health: "/health",
			Streams: func(q *http.Request) bool {
				return strings.HasPrefix(q.RequestURI, Kept)
			},
		})
		s.Backends = append(s.Backends, b)
	}
}

// list is the platform's list of proxied requests' runners.
func (s *Sim) list(context.Context) ([]endpoints.Runner, error) {
	var all []endpoints.Runner
	for i, b := range s.Backends {
		all = append(
			all,
			endpoints.Runner{ID: b.P.ID, Service: "svc", Addr: b.P.Addr, Zone: string(rune('a' + i%3)), Capacity: 64},
		)
	}
	return all, nil
}

func (s *Sim) backendAt(addr string) *proxytest.Backend {
	for _, b := range s.Backends {
		if b.P.Addr == addr {
			return b
		}
	}
	return nil
}

// standingConn is an edge's end of a connection to a stand-in; it stands still while
// its machine does.
type standingConn struct {
	net.Conn
	s    *Sim
	host string
}

func (c *standingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.s.Net.WaitWhileFrozen(c.host)
	return n, err
}

func (c *standingConn) Write(b []byte) (int, error) {
	c.s.Net.WaitWhileFrozen(c.host)
	return c.Conn.Write(b)
}

// dialBackend connects a machine to a stand-in.
func (s *Sim) dialBackend(ctx context.Context, m *Machine, b *proxytest.Backend) (net.Conn, error) {
	s.Net.WaitWhileFrozen(m.Addr)
	if s.isPartitionedHTTP(m.ID, b.P.Addr) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c, err := b.Dial(ctx)
	if err != nil {
		return nil, err
	}
	return s.track(m.ID, &standingConn{c, s, m.Addr}), nil
}

// rawJob is a job as its caller knows it.
type rawJob struct {
	kind, attempt, program, follows string

	status      int
	partitioned bool // no answer, or it ended before its end
	seal        string
	echo        string // the attempt that the answer says it is of
	body        string
}

// RawLog sends proxied requests and judges the answers: what may run once runs once, what is
// said not to have run has not, an answer is the complete one of this very job, a turn
// that was kept is found.
type RawLog struct {
	sim  *Sim
	fail func(string, ...any)
	rnd  *rand.Rand

	mu   sync.Mutex
	jobs []*rawJob
	wg   sync.WaitGroup
}

// NewRawLog makes an empty log; fail is called with each breach.
func NewRawLog(s *Sim, seed uint64, fail func(string, ...any)) *RawLog {
	return &RawLog{sim: s, fail: fail, rnd: rand.New(rand.NewPCG(seed, 7))}
}

// Run sends jobs of every kind to random edges until ctx ends.
func (l *RawLog) Run(ctx context.Context, edges func() []string) {
	kinds := []string{Repeatable, Once, Once, Kept}
	for n := 0; ctx.Err() == nil; n++ {
		in := edges()
		edge := in[l.rnd.IntN(len(in))]
		j := &rawJob{
			kind:    kinds[l.rnd.IntN(len(kinds))],
			attempt: fmt.Sprintf("raw-%d", n),
			program: fmt.Sprintf("p-%d", n),
		}
		l.add(j)
		l.wg.Go(func() { l.send(edge, j) })
		time.Sleep(time.Duration(20+l.rnd.IntN(100)) * time.Millisecond)
	}
	l.wg.Wait()
}

func (l *RawLog) add(j *rawJob) {
	l.mu.Lock()
	l.jobs = append(l.jobs, j)
	l.mu.Unlock()
}

// send passes a job at an edge.
func (l *RawLog) send(edge string, j *rawJob) {
	ctx, stop := context.WithTimeout(context.Background(), 6*time.Second)
	defer stop()
	j.partitioned = true
	q, err := http.NewRequestWithContext(
		ctx,
		http.MethodPost,
		"http://"+l.sim.Get(edge).Front+j.kind+"x",
		bytes.NewReader([]byte("body of "+j.attempt)),
	)
	if err != nil {
		l.fail("%s: %v", j.attempt, err)
		return
	}
	q.Host = rawAuthority
	q.Header.Set(headerAttempt, j.attempt)
	q.Header.Set(headerRemaining, "3000")
	q.Header.Set(headerProgram, j.program)
	if j.follows != "" {
		q.Header.Set(headerPrevious, j.follows)
	}
	r, err := l.sim.RoundTrip(q)
	if err != nil {
		return
	}
	b, err := io.ReadAll(r.Body)
	j.status, j.partitioned, j.body = r.StatusCode, err != nil, string(b)
	j.seal, j.echo = r.Header.Get(headerSeal), r.Header.Get(headerAttempt)
}

// Served counts the jobs that were answered complete with success.
func (l *RawLog) Served() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, j := range l.jobs {
		if j.complete() {
			n++
		}
	}
	return n
}

func (j *rawJob) complete() bool { return j.status == http.StatusOK && !j.partitioned }

// saysNotRun reports whether a status promises that nothing ran.
func saysNotRun(status int) bool {
	switch status {
	case http.StatusPaymentRequired,
		http.StatusNotFound,
		http.StatusRequestTimeout,
		http.StatusMisdirectedRequest,
		http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	}
	return false
}

// ReadBack goes on with each turn that was kept, then holds all answers against what
// ran.
func (l *RawLog) ReadBack() {
	l.mu.Lock()
	jobs := l.jobs
	l.mu.Unlock()
	for i, j := range jobs {
		if j.kind == Kept && j.complete() {
			l.follow(i, j)
		}
	}
	runs := map[string][]proxytest.Run{}
	for _, b := range l.sim.Backends {
		for _, r := range b.Runs() {
			runs[r.Try] = append(runs[r.Try], r)
		}
	}
	for _, j := range jobs {
		l.judge(j, runs[j.attempt])
	}
}

// follow goes on with one turn; what is no clear answer is asked again.
func (l *RawLog) follow(i int, j *rawJob) {
	var next *rawJob
	for try := range 10 {
		next = &rawJob{
			kind:    Kept,
			attempt: fmt.Sprintf("%s-next-%d", j.attempt, try),
			program: j.program,
			follows: j.attempt,
		}
		l.send(fmt.Sprintf("e%d", (i+try)%6+1), next)
		if next.complete() || next.status == http.StatusNotFound || next.status == http.StatusGone {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	if !next.complete() {
		l.fail("raw turn %s is lost: %d %s", j.attempt, next.status, next.body)
	}
}

func (l *RawLog) judge(j *rawJob, runs []proxytest.Run) {
	if j.kind != Repeatable && len(runs) > 1 {
		l.fail("%s%s ran %d times", j.kind, j.attempt, len(runs))
	}
	if saysNotRun(j.status) && len(runs) > 0 {
		l.fail("%s%s was answered %d, and ran %d times", j.kind, j.attempt, j.status, len(runs))
	}
	if j.status != http.StatusOK {
		return
	}
	var by *proxytest.Run
	for i := range runs {
		if runs[i].Seal == j.seal {
			by = &runs[i]
		}
	}
	if by == nil || j.echo != j.attempt {
		l.fail("%s%s was answered with the seal %q of %q", j.kind, j.attempt, j.seal, j.echo)
		return
	}
	want := proxytest.Complete(by.Runner, j.attempt, l.sim.Backends[0].P.Bytes)
	if j.kind == Kept {
		want = l.sim.Backends[0].P.Text(j.attempt, 0)
	}
	if !j.partitioned && j.body != want || j.partitioned && !strings.HasPrefix(want, j.body) {
		l.fail("%s%s was answered %q, its run gave %q", j.kind, j.attempt, j.body, want)
	}
}
