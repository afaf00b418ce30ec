package proxytest_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"damsontiller/internal/coordination/broadcast"
	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/lease"
	"damsontiller/internal/coordination/node"
	"damsontiller/internal/dataplane/balancing/endpoints"
	"damsontiller/internal/dataplane/cooldown"
	"damsontiller/internal/dataplane/request/proxy"
	"damsontiller/internal/kit/proxytest"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/fixed"
	"damsontiller/internal/transport/membudget"
	"damsontiller/internal/transport/memnet"
)

func TestMain(m *testing.M) { fixed.Main(m, 300) }

var names = proxytest.Names{Try: "X-Test-Try", Seal: "X-Test-Seal", NotRun: "X-Test-Not-Run", Target: "X-Test-Target", Operation: "X-Test-Operation"}

// dialect is the tests' own.
type dialect struct{}

func (dialect) ReadRequest(r *http.Request, j *proxy.Job) error {
	h := r.Header
	if j.Attempt = h.Get(names.Try); j.Attempt == "" {
		return code.New(code.NoHeader, "no try")
	}
	j.Program, j.PreviousAttempt, j.AffinityKey = h.Get("X-Test-Program"), h.Get("X-Test-Follows"), h.Get("X-Test-Subject")
	ms, _ := strconv.Atoi(h.Get("X-Test-Wait"))
	j.CallerTimeout = time.Duration(ms) * time.Millisecond
	j.TokenBudget, _ = strconv.ParseInt(h.Get("X-Test-Budget"), 10, 64)
	j.OperationKey = h.Get(names.Operation)
	j.MaxOutputTokens, _ = strconv.ParseInt(h.Get("X-Test-Most"), 10, 64)
	return nil
}

func (dialect) WriteRequest(h http.Header, j *proxy.Job, to *endpoints.Runner, left time.Duration, _ int) {
	h.Set(names.Try, j.Attempt)
	h.Set(names.Target, to.ID)
	h.Del("X-Test-Credential")
	h.Set("X-Test-Tenant", j.TenantName())
	h.Set("X-Test-Wait", strconv.FormatInt(left.Milliseconds(), 10))
}

func (dialect) Credential(r *http.Request) string { return r.Header.Get("X-Test-Credential") }

func (dialect) WriteRepeat(h http.Header, j *proxy.Job) { h.Set(names.Try, j.Attempt) }

func (dialect) WriteResume(h http.Header, after string) { h.Set("Last-Event-Id", after) }

func (dialect) ReadResponse(r *http.Response) proxy.ResponseInfo {
	return proxy.ResponseInfo{
		Attempt:     r.Header.Get(names.Try),
		Sealed:      r.Header.Get(names.Seal) != "",
		OtherRunner: r.StatusCode == http.StatusMisdirectedRequest,
		NotRun:      r.StatusCode == http.StatusMisdirectedRequest || r.Header.Get(names.NotRun) != "",
	}
}

// kinds of jobs, by the path that leads to them.
const (
	repeatable = "/r/"
	once       = "/o/"
	stream     = "/s/"
	resumable  = "/t/"
	kept       = "/k/"
	keyed      = "/y/"
)

func streams(uri string) bool {
	return len(uri) > 1 && uri[0] == '/' && strings.IndexByte("stk", uri[1]) >= 0
}

func mayRepeat(kind string) bool { return kind == repeatable || kind == resumable }

// tries is the most runners that the table lets a job be sent to.
const tries = 3

func table() spec.Table {
	t := spec.Table{
		Revision: 1,
		Services: []spec.Service{
			{Name: "svc", Engine: &spec.Engine{Batch: 8, CacheTokens: 1 << 20, TokensPerEvent: 4}},
		},
		Limits: spec.Limits{BodyBytes: 100 << 10},
	}
	for _, k := range []string{repeatable, once, stream, resumable, kept, keyed} {
		p := spec.Path{
			Name:            k,
			Authority:       "host.test",
			Prefix:          k,
			Kind:            spec.Stream,
			To:              []spec.Share{{Service: "svc", Weight: 1}},
			GuardMs:         4000,
			LatencyTargetMs: 200,
			Tries:           tries,
		}
		switch k {
		case repeatable:
			p.Kind = spec.Repeatable
		case once:
			p.Kind = spec.Once
		case resumable:
			p.Resumable = true
		case keyed:
			p.Kind = spec.Keyed
		case kept:
			p.Kept, p.KeepMs = true, 60_000
		}
		t.Paths = append(t.Paths, p)
	}
	return t
}

// rig is one ingress before some stand-ins.
type rig struct {
	t         testing.TB
	handler   *proxy.Handler
	endpoints *endpoints.Store
	pool      *proxy.Pool
	load      *proxy.Load
	table     spec.Table
	view      *cluster.View
	backends  []*proxytest.Backend
	front     *proxytest.Listener
	http      *http.Server
	n         atomic.Int64
	dial      func() // called at each dial
}

// farm makes stand-ins.
func farm(n int, shape func(*proxytest.Params)) []*proxytest.Backend {
	var out []*proxytest.Backend
	for i := range n {
		p := proxytest.Params{
			Names:   names,
			ID:      fmt.Sprintf("i-%d", i),
			Addr:    fmt.Sprintf("10.1.0.%d:80", i),
			Bytes:   800,
			Events:  8,
			Before:  3,
			Streams: func(r *http.Request) bool { return streams(r.RequestURI) },
		}
		if shape != nil {
			shape(&p)
		}
		out = append(out, proxytest.New(p))
	}
	return out
}

// alone is a node that knows nobody.
func alone(id string) *node.Node {
	return node.New(
		node.Params{
			Self:      &wire.Member{Id: id, Role: "edge", Zone: "a", Live: true},
			Net:       memnet.New(1).Host(id),
			Transport: transport.DefaultParams,
			Lease:     lease.DefaultParams,
			Broadcast: broadcast.DefaultParams,
			Log:       hclog.NewNullLogger(),
		},
	)
}

func newRig(t testing.TB, bs []*proxytest.Backend, way ...proxy.Policy) *rig {
	return newRigOf(t, proxy.DefaultPool, bs, way...)
}

// newRigOf is newRig with a pool of its own size.
func newRigOf(t testing.TB, pool proxy.PoolParams, bs []*proxytest.Backend, way ...proxy.Policy) *rig {
	return newRigWith(t, pool, nil, bs, way...)
}

// newRigWith is newRigOf with a budget of memory.
func newRigWith(
	t testing.TB,
	pool proxy.PoolParams,
	memory *membudget.Budget,
	bs []*proxytest.Backend,
	way ...proxy.Policy,
) *rig {
	n := alone("e1")
	r := &rig{
		t:         t,
		endpoints: endpoints.New(),
		load:      proxy.NewLoad(),
		backends:  bs,
		table:     table(),
		front:     proxytest.NewListener("10.0.0.1:80"),
	}
	r.view = &cluster.View{Version: 1, Cluster: spec.Cluster{Table: r.table}}
	at := map[string]*proxytest.Backend{}
	var all []endpoints.Runner
	for _, b := range bs {
		at[b.P.Addr] = b
		all = append(all, endpoints.Runner{ID: b.P.ID, Service: "svc", Addr: b.P.Addr, Zone: "a", Capacity: 8})
	}
	r.endpoints.Replace(endpoints.NewList(time.Now(), all))
	r.pool = proxy.NewPool(pool, func(ctx context.Context, addr string) (net.Conn, error) {
		if r.dial != nil {
			r.dial()
		}
		return at[addr].Dial(ctx)
	})
	r.handler = proxy.New(
		proxy.DefaultParams,
		proxy.Dependencies{
			Self:      n.Params.Self,
			View:      func() *cluster.View { return r.view },
			Members:   func() []*wire.Member { return []*wire.Member{n.Params.Self} },
			Ready:     func() error { return nil },
			Endpoints: r.endpoints,
			Load:      r.load,
			Pool:      r.pool,
			Cooldowns: cooldown.New(cooldown.Params{Local: true}, n, nil),
			Headers:   dialect{},
			Log:       hclog.NewNullLogger(),
			Memory:    memory,
			Policies:  way,
		},
	)
	r.http = &http.Server{Handler: r.handler, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = r.http.Serve(r.front) }()
	return r
}

// setTable puts a changed table in force.
func (r *rig) setTable(change func(*spec.Table)) {
	view := *r.view
	view.Version++
	view.Table.Paths = slices.Clone(view.Table.Paths)
	view.Table.Services = slices.Clone(view.Table.Services)
	change(&view.Table)
	r.view = &view
}

// setEndpoints puts another list in force.
func (r *rig) setEndpoints(all []endpoints.Runner) {
	r.endpoints.Replace(endpoints.NewList(time.Now(), all))
}

// stop ends ingress, then its stand-ins if they are its own.
func (r *rig) stop() {
	_ = r.http.Close()
	r.pool.Retain(func(string) bool { return false })
	for _, b := range r.backends {
		b.Stop()
	}
	synctest.Wait()
}

// received is what a caller got.
type received struct {
	try       string
	status    int
	head      http.Header
	body      string
	truncated bool // no answer, or it ended before its end
	more      bool // something came after it that nobody asked for
	took      time.Duration
}

type option func(h http.Header)

func head(k, v string) option { return func(h http.Header) { h.Set(k, v) } }

// ask sends one job on a connection of its own.
func (r *rig) ask(uri, body string, os ...option) received {
	r.t.Helper()
	h := http.Header{}
	h.Set(names.Try, fmt.Sprintf("try-%d", r.n.Add(1)))
	h.Set("X-Test-Wait", "2000")
	for _, o := range os {
		o(h)
	}
	var s strings.Builder
	fmt.Fprintf(&s, "POST %s HTTP/1.1\r\nHost: host.test\r\nContent-Length: %d\r\n", uri, len(body))
	_ = h.Write(&s)
	s.WriteString("\r\n" + body)
	x := r.say(s.String())
	x.try = h.Get(names.Try)
	return x
}

// say sends bytes and reads one answer.
func (r *rig) say(s string) received {
	r.t.Helper()
	c, err := r.front.Dial(r.t.Context())
	if err != nil {
		r.t.Fatal(err)
	}
	defer c.Close()
	at := time.Now()
	go func() { _, _ = io.WriteString(c, s) }()
	x := read(c)
	x.took = time.Since(at)
	return x
}

func read(c net.Conn) received {
	br := bufio.NewReader(c)
	res, err := http.ReadResponse(br, nil)
	if err != nil {
		return received{truncated: true}
	}
	b, err := io.ReadAll(res.Body)
	x := received{status: res.StatusCode, head: res.Header, body: string(b), truncated: err != nil}
	// Whatever else is on its way comes within a moment.
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err = br.Peek(1)
	x.more = err == nil
	return x
}

// runs of a try, at all stand-ins.
func (r *rig) runs(try string) []proxytest.Run {
	var out []proxytest.Run
	for _, b := range r.backends {
		for _, x := range b.Runs() {
			if x.Try == try {
				out = append(out, x)
			}
		}
	}
	return out
}

func (r *rig) received(try string) int {
	n := 0
	for _, b := range r.backends {
		n += b.Received(try)
	}
	return n
}

// made and open count the connections to all stand-ins.
func (r *rig) made() (n int) {
	for _, b := range r.backends {
		n += b.Made()
	}
	return n
}

func (r *rig) open() (n int) {
	for _, b := range r.backends {
		n += b.Open()
	}
	return n
}

func promises(status int) bool {
	return status == 402 || status == 404 || status == 408 || status == 421 || status == 429 || status == 503
}

// judge holds an answer against what ran; it gives what is wrong.
func (r *rig) judge(kind string, x received) error {
	runs := r.runs(x.try)
	if !mayRepeat(kind) && len(runs) > 1 {
		return fmt.Errorf("ran %d times", len(runs))
	}
	if n := r.received(x.try); n > tries {
		return fmt.Errorf("was sent to %d runners, %d are allowed", n, tries)
	}
	if promises(x.status) && len(runs) > 0 {
		return fmt.Errorf("%d, and it ran %d times", x.status, len(runs))
	}
	if x.more {
		return fmt.Errorf("bytes that nobody asked for after status %d", x.status)
	}
	if x.status/100 != 2 {
		if x.status == 500 && x.body != "its own trouble" {
			return fmt.Errorf("500 of our own: %s", x.body)
		}
		return nil
	}
	var by *proxytest.Run
	for i := range runs {
		if runs[i].Seal == x.head.Get(names.Seal) {
			by = &runs[i]
		}
	}
	if by == nil || x.head.Get(names.Try) != x.try {
		return fmt.Errorf(
			"a success with the seal %q of %q, runs are %v",
			x.head.Get(names.Seal),
			x.head.Get(names.Try),
			runs,
		)
	}
	want := proxytest.Complete(by.Runner, x.try, r.backends[0].P.Bytes)
	if streams(kind) {
		want = r.backends[0].P.Text(x.try, 0)
	}
	if !x.truncated && x.body != want {
		return fmt.Errorf("a success that is not the runner's whole:\n%s\nwant\n%s", x.body, want)
	}
	if x.truncated && !strings.HasPrefix(want, x.body) {
		return fmt.Errorf("a cut answer that is not a part of the runner's:\n%s\nof\n%s", x.body, want)
	}
	return nil
}
