package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"damsontiller/internal/dataplane/balancing/endpoints"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// TestPickByWeight checks that each service is selected in proportion to its weight, and that the
// same hash always selects the same service.
func TestPickByWeight(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var shares []spec.Share
		total := int64(0)
		for i, w := range rapid.SliceOfN(rapid.Int64Range(0, 20), 0, 5).Draw(rt, "weights") {
			shares = append(shares, spec.Share{Service: fmt.Sprint(i), Weight: w})
			total += w
		}
		picks := map[string]int64{}
		for hash := range uint64(total) {
			s := pickByWeight(shares, hash)
			if s != pickByWeight(shares, hash+uint64(total)) {
				rt.Fatal("the selection does not depend on the hash alone")
			}
			picks[s]++
		}
		for _, s := range shares {
			if picks[s.Service] != s.Weight {
				rt.Fatalf("%s: %d of %d", s.Service, picks[s.Service], s.Weight)
			}
		}
		if total == 0 && pickByWeight(shares, 5) != "" {
			rt.Fatal("a service was selected although all weights are zero")
		}
	})
}

// feed passes a stream through Response and returns what the caller received.
func feed(response *Response, body io.Reader) (string, error) {
	w := httptest.NewRecorder()
	response.w = w
	err := response.forwardStream(&http.Response{StatusCode: 200, Header: http.Header{}, Body: io.NopCloser(body)})
	return w.Body.String(), err
}

// chunkReader returns at most n bytes per read, and err at the end if it is set.
type chunkReader struct {
	r   io.Reader
	n   int
	err error
}

func (d *chunkReader) Read(b []byte) (int, error) {
	n, err := d.r.Read(b[:min(len(b), d.n)])
	if err == io.EOF && d.err != nil {
		err = d.err
	}
	return n, err
}

// TestEvents checks that streams are forwarded unchanged, and that data, ids and events are parsed
// as the standard for server-sent events requires.
func TestEvents(t *testing.T) {
	for _, tc := range []struct {
		name, in, text, last string
		events               int
	}{
		{"plain", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "a\nb\n", "2", 2},
		{"CRLF", "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", "a\nb\n", "2", 2},
		{"several lines of data", "id: 1\ndata: a\ndata: b\ndata:\n\n", "a\nb\n\n", "1", 1},
		{"no space, two spaces", "id:1\ndata:a\ndata:  b\n\n", "a\n b\n", "1", 1},
		{"data without a colon", "id: 1\ndata\n\n", "\n", "1", 1},
		{"no data", "id: 1\nevent: x\n\n", "", "1", 0},
		{"a comment", ": still there\n\nid: 3\ndata: a\n\n: and still\n\n", "a\n", "3", 1},
		{"another first line", "weights: 4\nid: 1\ndata: a\n\n", "a\n", "1", 1},
		{"no id after one with", "id: 1\ndata: a\n\ndata: b\n\n", "a\nb\n", "", 2},
		{"blank lines", "\n\nid: 1\ndata: a\n\n\n\n", "a\n", "1", 1},
		{"ends inside an event", "id: 1\ndata: a\n\nid: 2\ndata: b\n", "a\n", "1", 1},
		{"colons in data", "id: 1\ndata: {\"a\": 1}\n\n", "{\"a\": 1}\n", "1", 1},
		{"nothing", "", "", "", 0},
		{"long line", "id: 1\ndata: " + strings.Repeat("x", 9000) + "\n\n", strings.Repeat("x", 9000) + "\n", "1", 1},
	} {
		for _, n := range []int{1, 7, 1 << 20} {
			response := &Response{collect: true}
			got, err := feed(response, &chunkReader{strings.NewReader(tc.in), n, nil})
			if err != nil || got != tc.in {
				t.Errorf("%s: passed %q, %v", tc.name, got, err)
			}
			if string(response.Text()) != tc.text || response.lastEventID != tc.last || response.events != tc.events {
				t.Errorf("%s: text %q, last %q, %d events", tc.name, response.Text(), response.lastEventID, response.events)
			}
		}
	}
}

// TestTruncatedEvent checks that nothing of a truncated event is forwarded, and that a truncated
// stream never looks complete.
func TestTruncatedEvent(t *testing.T) {
	stream := "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\ndata: d\n\n"
	for n := range len(stream) {
		response := &Response{}
		got, err := feed(response, &chunkReader{strings.NewReader(stream[:n]), 5, io.ErrUnexpectedEOF})
		if !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("truncated after %d: %v", n, err)
		}
		if !strings.HasPrefix(stream, got) || got != "" && !strings.HasSuffix(got, "\n\n") ||
			response.events != strings.Count(got, "\n\n") {
			t.Errorf("truncated after %d: forwarded %q, %d events", n, got, response.events)
		}
	}
}

// endless is a stream whose event never ends.
type endless string

func (e endless) Read(b []byte) (int, error) {
	n := 0
	for n+len(e) <= len(b) {
		n += copy(b[n:], e)
	}
	return n, nil
}

// TestEventHuge checks that an event without an end is buffered only up to the limit, whether it
// has one line or many.
func TestEventHuge(t *testing.T) {
	for _, s := range []string{"x", "data: x\n"} {
		if got, err := feed(&Response{}, endless(s)); code.Of(err) != code.Incomplete || got != "" {
			t.Errorf("%q: %d bytes passed, %v", s, len(got), err)
		}
	}
	big := "id: 1\ndata: " + strings.Repeat("x", maxEventBytes/2) + "\n\n"
	if got, err := feed(&Response{}, strings.NewReader(big)); err != nil || got != big {
		t.Errorf("a big event: %d of %d bytes, %v", len(got), len(big), err)
	}
}

// TestCopyHeaders checks that hop-by-hop headers are dropped and all others are copied unchanged.
func TestCopyHeaders(t *testing.T) {
	from, to := http.Header{}, http.Header{}
	for k := range hopByHopHeaders {
		from[k] = []string{"x"}
	}
	from["Connection"] = []string{"close, x-one", " X-TWO ,"}
	from["X-One"], from["X-Two"], from["Content-Length"] = []string{"1"}, []string{"2"}, []string{"3"}
	from["X-Three"], from["Set-Cookie"], from["Etag"] = []string{""}, []string{"a", "b"}, []string{"x"}
	copyHeaders(to, from)
	if len(to) != 3 || len(to["Set-Cookie"]) != 2 || to["X-Three"][0] != "" {
		t.Errorf("%v", to)
	}
}

// newTestPool returns a pool, a runner on loopback and a function that accepts the pool's next
// connection. Real sockets are needed to detect unread bytes.
func newTestPool(t *testing.T) (*Pool, *endpoints.Runner, func() net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	var dialer net.Dialer
	p := NewPool(
		DefaultPool,
		func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) },
	)
	t.Cleanup(func() { p.Retain(func(string) bool { return false }) })
	return p, &endpoints.Runner{ID: "i-1", Addr: ln.Addr().String()}, func() net.Conn {
		c, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
}

// TestPoolClean checks that a connection is reused after a clean end, but not if the runner has
// closed it or sent unexpected bytes since, or if its idle time is over.
func TestPoolClean(t *testing.T) {
	for _, tc := range []struct {
		name     string
		idleTime time.Duration
		spoil    func(c *conn, r net.Conn)
		reused   bool
	}{
		{"clean", time.Minute, func(*conn, net.Conn) {}, true},
		{"closed", time.Minute, func(_ *conn, r net.Conn) { r.Close() }, false},
		{"reset", time.Minute, func(_ *conn, r net.Conn) { _ = r.(*net.TCPConn).SetLinger(0); r.Close() }, false},
		{"a byte too many", time.Minute, func(_ *conn, r net.Conn) { _, _ = r.Write([]byte("x")) }, false},
		{
			"a byte too many already read",
			time.Minute,
			func(c *conn, r net.Conn) { _, _ = r.Write([]byte("x")); _, _ = c.reader.Peek(1) },
			false,
		},
		{"no rest", 0, func(*conn, net.Conn) {}, false},
		{"past its rest", time.Nanosecond, func(*conn, net.Conn) {}, false},
		{"swept", time.Minute, nil, false},
	} {
		p, r, accept := newTestPool(t)
		c, err := p.get(t.Context(), r, false)
		if err != nil {
			t.Fatal(err)
		}
		peer := accept()
		if tc.spoil != nil {
			tc.spoil(c, peer)
		}
		p.put(r, c, tc.idleTime)
		if tc.spoil == nil {
			p.Retain(func(id string) bool { return id != r.ID })
		} else {
			p.Retain(func(id string) bool { return id == r.ID })
		}
		// The peer's action takes a moment to arrive.
		if !tc.reused && tc.idleTime == time.Minute && tc.spoil != nil && c.reader.Buffered() == 0 {
			waitReadable(t, c.netConn)
		}
		second, err := p.get(t.Context(), r, false)
		if err != nil {
			t.Fatal(err)
		}
		if (c == second) != tc.reused || p.ConnectionsOpened() != map[bool]uint64{true: 1, false: 2}[tc.reused] {
			t.Errorf("%s: reused %v, %d opened", tc.name, c == second, p.ConnectionsOpened())
		}
		second.netConn.Close()
		c.netConn.Close()
	}
}

// waitReadable waits until bytes can be read from a connection, and leaves them unread.
func waitReadable(t *testing.T, c net.Conn) {
	rc, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	_ = rc.Read(func(fd uintptr) bool {
		b := make([]byte, 1)
		_, _, err := syscall.Recvfrom(int(fd), b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return !errors.Is(err, syscall.EAGAIN)
	})
}

// TestPoolKeys checks that a connection is used only for the runner process and address that it was
// opened for.
func TestPoolKeys(t *testing.T) {
	p, r, accept := newTestPool(t)
	c, err := p.get(t.Context(), r, false)
	if err != nil {
		t.Fatal(err)
	}
	accept()
	p.put(r, c, time.Minute)
	second, err := p.get(t.Context(), &endpoints.Runner{ID: "i-2", Addr: r.Addr}, false)
	if err != nil || second == c {
		t.Errorf("the connection was reused for another process at the address, %v", err)
	}
	accept()
	second.netConn.Close()
	if second, err = p.get(t.Context(), r, true); err != nil || second == c {
		t.Errorf("an idle connection was returned instead of a new one, %v", err)
	}
	second.netConn.Close()
}

// TestPoolBound checks the limit on idle connections per runner.
func TestPoolBound(t *testing.T) {
	p, r, accept := newTestPool(t)
	p.params.MaxIdle = 2
	var cs []*conn
	for range 4 {
		c, err := p.get(t.Context(), r, false)
		if err != nil {
			t.Fatal(err)
		}
		accept()
		cs = append(cs, c)
	}
	for _, c := range cs {
		p.put(r, c, time.Minute)
	}
	if n := len(p.idle[poolKey(r)]); n != 2 {
		t.Errorf("%d idle connections", n)
	}
}

// TestRest checks how long a connection may stay idle, depending on the runner's headers.
func TestRest(t *testing.T) {
	p := NewPool(DefaultPool, nil)
	for _, tc := range []struct {
		keepAlive string
		close     bool
		want      time.Duration
	}{
		{"", false, DefaultPool.IdleTimeout},
		{"timeout=5", false, 4500 * time.Millisecond},
		{"max=3, Timeout=5", false, 4500 * time.Millisecond},
		{"timeout=600", false, DefaultPool.IdleTimeout},
		{"timeout=0", false, -500 * time.Millisecond},
		{"timeout=x", false, 0},
		{"timeout=5", true, 0},
		{"", true, 0},
	} {
		r := &http.Response{Header: http.Header{}, Close: tc.close}
		if tc.keepAlive != "" {
			r.Header.Set("Keep-Alive", tc.keepAlive)
		}
		if got := p.keepAliveTime(r); got != tc.want {
			t.Errorf("%q, close %v: %s, want %s", tc.keepAlive, tc.close, got, tc.want)
		}
	}
}

// TestAnswer checks that provisional responses and a limited number of responses to other jobs are
// skipped, and that invalid responses are rejected.
func TestAnswer(t *testing.T) {
	own := "HTTP/1.1 200 OK\r\nTry: a\r\nContent-Length: 2\r\n\r\nok"
	other := "HTTP/1.1 200 OK\r\nTry: b\r\nContent-Length: 5\r\n\r\nother"
	for _, tc := range []struct {
		in                  string
		good, skippedOthers bool
	}{
		{own, true, false},
		{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + own, true, false},
		{other + own, true, true},
		{other + other + other + own, true, true},
		{other + other + other + other + own, false, true},
		{"HTTP/1.1 200 OK\r\nTry: b\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n" + own, true, true},
		{"HTTP/1.1 200 OK\r\nTry: b\r\n\r\nup to the end" + own, false, true},
		{"HTTP/1.1 200 OK\r\nTry: b\r\nContent-Length: 500000\r\n\r\n" + strings.Repeat("x", 500000) + own, false, true},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, false},
		{"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno" + own, false, false},
		{"HTTP/1.1 101 Switching Protocols\r\nTry: a\r\n\r\n", false, false},
		{"HTTP/1.1 099 Less\r\nTry: a\r\n\r\n", false, false},
		{"HTTP/1.1 2xx OK\r\n\r\n", false, false},
		{"nothing of the kind\r\n\r\n", false, false},
		{"", false, false},
	} {
		c := newConn(nil, strings.NewReader(tc.in))
		r, err := c.readAnswer(
			&http.Request{Method: "GET"},
			"a",
			func(r *http.Response) ResponseInfo { return ResponseInfo{Attempt: r.Header.Get("Try")} },
		)
		if (err == nil) != tc.good || tc.good && r.skippedOthers != tc.skippedOthers {
			t.Errorf("%.60q: %v, %+v", tc.in, err, r)
		}
		if err == nil && tc.good {
			if b, _ := io.ReadAll(r.Body); string(b) != "ok" {
				t.Errorf("%.60q: body %q", tc.in, b)
			}
		}
	}
}

// TestHasKnownEnd checks that only responses that state their length can be known to be complete.
func TestHasKnownEnd(t *testing.T) {
	for s, want := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":                 true,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n": true,
		"HTTP/1.1 204 No Content\r\n\r\n":                                true,
		"HTTP/1.1 200 OK\r\n\r\nok":                                      false,
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok":                 false,
		"HTTP/1.0 200 OK\r\n\r\nok":                                      false,
	} {
		r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(s)), &http.Request{Method: "GET"})
		if err != nil || hasKnownEnd(r) != want {
			t.Errorf("%q: %v, want %v, %v", s, err == nil && hasKnownEnd(r), want, err)
		}
	}
}

// TestWrite checks that request targets are sent as received.
func TestWrite(t *testing.T) {
	for _, uri := range []string{"/", "/a//b/?", "//", "///x//y?//z", "//h.test/x?", "/%2F%2f"} {
		handler := &Handler{deps: Dependencies{Headers: noHeaders{}}}
		q := handler.runnerRequest(
			&Job{
				Context: t.Context(),
				Path:    &spec.Path{},
				Body:    []byte("body"),
				Req:     &http.Request{Method: "POST", RequestURI: uri, Host: "h.test", Header: http.Header{}},
			},
			&Response{},
			&endpoints.Runner{Addr: "10.0.0.1:1"},
		)
		var b bytes.Buffer
		if err := writeRequest(&b, q); err != nil {
			t.Fatal(err)
		}
		got, err := http.ReadRequest(bufio.NewReader(&b))
		if err != nil || got.RequestURI != uri || got.Host != "h.test" || len(got.Header) != 1 {
			t.Errorf("%s was sent as %+v, %v", uri, got, err)
		}
	}
}

type noHeaders struct{}

func (noHeaders) ReadRequest(*http.Request, *Job) error                                 { return nil }
func (noHeaders) WriteRequest(http.Header, *Job, *endpoints.Runner, time.Duration, int) {}
func (noHeaders) Credential(*http.Request) string                                       { return "" }
func (noHeaders) WriteRepeat(http.Header, *Job)                                         {}
func (noHeaders) WriteResume(http.Header, string)                                       {}
func (noHeaders) ReadResponse(*http.Response) ResponseInfo                              { return ResponseInfo{} }

func anyRunner(*endpoints.Runner) bool { return true }
func noRunners(*endpoints.Runner) bool { return false }

// runners returns a list with perZone runners in each zone.
func runners(capacity, perZone int, zones ...string) *endpoints.List {
	var all []endpoints.Runner
	for _, z := range zones {
		for i := range perZone {
			all = append(
				all,
				endpoints.Runner{ID: fmt.Sprintf("i-%s%d", z, i), Service: "s", Zone: z, Capacity: capacity},
			)
		}
	}
	return endpoints.NewList(time.Now(), all)
}

// TestPickLocalZone checks that jobs with one key go to one runner in the local zone, and to other
// zones only once the local runners are full or loaded much more; jobs without a key go to the
// least loaded runner.
func TestPickLocalZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, list := NewLoad(), runners(8, 3, "a", "b")
		selection := Selection{
			Service:   &spec.Service{Name: "s"},
			List:      list,
			Zone:      "b",
			Key:       "k",
			Allowed:   anyRunner,
			WarmingUp: noRunners,
		}
		first, hasCapacity := l.Pick(selection)
		if first.Zone != "b" || !hasCapacity {
			t.Fatalf("%+v", first)
		}
		var release []func()
		seen := map[string]int{}
		for range 6 * 8 {
			r, hasCapacity := l.Pick(selection)
			if !hasCapacity {
				t.Fatal("no runner has capacity")
			}
			seen[r.ID]++
			_, done := l.Begin(r.ID, 0)
			release = append(release, done)
		}
		for id, n := range seen {
			if n > 8 {
				t.Errorf("%s has a capacity of 8 and got %d", id, n)
			}
		}
		if r, hasCapacity := l.Pick(selection); r == nil || hasCapacity {
			t.Errorf("all are full: %v %v", r, hasCapacity)
		}
		for _, f := range release {
			f()
		}
		if r, _ := l.Pick(selection); r != first {
			t.Errorf("the key was assigned to %s, previously to %s", r.ID, first.ID)
		}
		selection.Key = ""
		l.Begin("i-b0", 0)
		l.Begin("i-b1", 0)
		if r, _ := l.Pick(selection); r.ID != "i-b2" {
			t.Errorf("i-b2 is the least loaded in the local zone, picked %s", r.ID)
		}
	})
}

// TestPickNever checks that no runner is selected that is draining, avoided or not allowed.
func TestPickNever(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := NewLoad()
		var all []endpoints.Runner
		excluded := map[string]bool{}
		for i := range rapid.IntRange(0, 8).Draw(rt, "runners") {
			r := endpoints.Runner{
				ID:       fmt.Sprint(i),
				Service:  "s",
				Zone:     rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "zone"),
				Capacity: rapid.IntRange(0, 3).Draw(rt, "room"),
			}
			switch rapid.IntRange(0, 5).Draw(rt, "state") {
			case 0:
				r.Draining, excluded[r.ID] = true, true
			case 1:
				l.Avoid(r.ID, time.Second)
				excluded[r.ID] = true
			case 2:
				excluded[r.ID] = true
			case 3:
				r.Service, excluded[r.ID] = "other", true
			}
			for range rapid.IntRange(0, 4).Draw(rt, "busy") {
				l.Begin(r.ID, 10)
			}
			all = append(all, r)
		}
		selection := Selection{
			Service:   &spec.Service{Name: "s"},
			List:      endpoints.NewList(time.Now(), all),
			Zone:      "a",
			Key:       rapid.SampledFrom([]string{"", "k"}).Draw(rt, "key"),
			Allowed:   func(r *endpoints.Runner) bool { return !excluded[r.ID] },
			WarmingUp: noRunners,
		}
		r, hasCapacity := l.Pick(selection)
		switch {
		case r == nil && len(excluded) < len(all):
			rt.Fatal("no runner was picked")
		case r != nil && excluded[r.ID]:
			rt.Fatalf("%s was picked", r.ID)
		case r != nil && hasCapacity && l.Local()[r.ID].Requests >= max(r.Capacity, 1):
			rt.Fatalf("%s has no capacity left", r.ID)
		}
	})
}

// TestWarmupRate checks that all nodes together never send a warming runner more than 1.5 times its
// rate plus 5 in a second. With six nodes or more this holds while their views of the membership
// differ by two; with fewer, while all nodes have the same changing view.
func TestWarmupRate(t *testing.T) {
	// With many nodes a few runs suffice: most nodes have no share.
	for seed := range uint64(12) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		rps := []float64{0.5, 4, 8.1, 22}[seed%4]
		synctest.Test(t, func(t *testing.T) {
			if err := warmupRun(64, rps, rnd); err != nil {
				t.Error(err)
			}
		})
	}
	for _, n := range []int{1, 2, 3, 4, 6} {
		rapid.Check(t, func(rt *rapid.T) {
			rps := rapid.OneOf(
				rapid.SampledFrom([]float64{0.5, 1, 4, 8, 8.1, 22, 40}),
				rapid.Float64Range(0.2, 60),
			).Draw(
				rt,
				"rate",
			)
			rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
			var err error
			synctest.Test(t, func(*testing.T) { err = warmupRun(n, rps, rnd) })
			if err != nil {
				rt.Fatal(err)
			}
		})
	}
}

// warmupRun simulates n edges for three seconds.
func warmupRun(n int, rps float64, rnd *rand.Rand) error {
	var all []*wire.Member
	for i := range n {
		all = append(all, &wire.Member{Id: fmt.Sprintf("e%d", i+1), Role: "edge", Live: true})
	}
	list := runners(100, 1, "a")
	service := &spec.Service{Name: "s", WarmupRate: rps}
	type edge struct {
		l       *Load
		handler *Handler
	}
	var edges []edge
	views := make([][]*wire.Member, n)
	changeViews := func() {
		if n < 6 {
			v := all[:1+rnd.IntN(n)]
			for i := range n {
				views[i] = v
			}
			return
		}
		for i := range n {
			// Each edge's view lacks up to two others.
			v := append([]*wire.Member(nil), all...)
			for range rnd.IntN(3) {
				if k := rnd.IntN(len(v)); v[k] != all[i] {
					v = append(v[:k], v[k+1:]...)
				}
			}
			views[i] = v
		}
	}
	changeViews()
	for i := range n {
		edges = append(
			edges,
			edge{
				NewLoad(),
				&Handler{deps: Dependencies{Self: all[i], Members: func() []*wire.Member { return views[i] }}},
			},
		)
	}
	var sentAt []time.Time
	for range 300 {
		time.Sleep(10 * time.Millisecond)
		if rnd.IntN(20) == 0 {
			changeViews()
		}
		for i, e := range edges {
			if n < 6 && i >= len(views[i]) {
				continue
			}
			for range rnd.IntN(3) {
				if r, _ := e.l.Pick(Selection{Service: service, List: list, Zone: "a", Allowed: anyRunner, WarmingUp: anyRunner, WarmupShares: func(r *endpoints.Runner) int { return e.handler.warmupNodes(r, rps) }}); r != nil {
					sentAt = append(sentAt, time.Now())
				}
			}
		}
	}
	limit := rps*1.5 + 5
	for i := range sentAt {
		k := i
		for k < len(sentAt) && sentAt[k].Sub(sentAt[i]) < time.Second {
			k++
		}
		if float64(k-i) > limit {
			return fmt.Errorf("%d nodes sent %d in a second, %g are allowed", n, k-i, limit)
		}
	}
	if want := rps * 3 * 0.4; float64(len(sentAt)) < want && n <= 6 {
		return fmt.Errorf("%d nodes sent %d in three seconds, the rate is %g", n, len(sentAt), rps)
	}
	return nil
}

// TestRateShare checks at every rate that six nodes taking a share, where four should, stay within
// the limit.
func TestRateShare(t *testing.T) {
	for r := 0.05; r < 200; r += 0.01 {
		nodes, all := WarmupNodes, WarmupNodes+2
		if r < 1 {
			nodes, all = nodes-1, all-1
		}
		if n := math.Ceil(rateShare(r, nodes)); float64(all)*n > 1.5*r+5+1e-9 {
			t.Errorf("rate %.2f: %d nodes send %g each", r, all, n)
		}
	}
}

// TestReactivationTimes checks that a zone that came back into use is distinguished from one that
// was never emptied.
func TestReactivationTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var z reactivationTimes
		if !z.observe(nil, "a").IsZero() || !z.observe([]string{"a"}, "a").IsZero() {
			t.Error("a time was returned although the zone was not reactivated")
		}
		time.Sleep(time.Second)
		at := time.Now()
		if got := z.observe(nil, "a"); !got.Equal(at) || !z.observe(nil, "b").IsZero() {
			t.Errorf("reactivated at %s, want %s", got, at)
		}
		time.Sleep(time.Second)
		if got := z.observe([]string{"b"}, "a"); !got.Equal(at) {
			t.Errorf("reactivated at %s, want %s", got, at)
		}
	})
}

// TestBody checks reading bodies with and without a stated length, and the size limit.
func TestBody(t *testing.T) {
	for _, tc := range []struct {
		length int64
		in     string
		want   code.Code
	}{
		{0, "", code.OK},
		{3, "abc", code.OK},
		{5, "abcde", code.OK},
		{6, "abcdef", code.TooLarge},
		{-1, "", code.OK},
		{-1, "abcde", code.OK},
		{-1, "abcdef", code.TooLarge},
		{5, "abc", code.BadJSON},
	} {
		b, err := readBody(&http.Request{ContentLength: tc.length, Body: io.NopCloser(strings.NewReader(tc.in))}, 5, nil)
		if code.Of(err) != tc.want || err == nil && string(b) != tc.in {
			t.Errorf("%d %q: %q, %v", tc.length, tc.in, b, err)
		}
	}
}

// TestWaitUntilReady checks that a job waits for a node that has just started to become ready, for
// a limited time and while its caller is connected. A node that is stopping refuses immediately.
func TestWaitUntilReady(t *testing.T) {
	for _, tc := range []struct {
		name    string
		readyAt time.Duration // 0: never
		callers time.Duration // how long the caller stays connected
		err     code.Code     // while the node is not ready
		want    code.Code
		took    time.Duration // upper limit
	}{
		{"ready", time.Nanosecond, time.Minute, code.NotReady, code.OK, 0},
		{"ready soon", 300 * time.Millisecond, time.Minute, code.NotReady, code.OK, 310 * time.Millisecond},
		{"ready too late", 2 * time.Second, time.Minute, code.NotReady, code.NotReady, 1010 * time.Millisecond},
		{"never ready", 0, time.Minute, code.NotReady, code.NotReady, 1010 * time.Millisecond},
		{
			"its caller goes",
			500 * time.Millisecond,
			100 * time.Millisecond,
			code.NotReady,
			code.NotReady,
			100 * time.Millisecond,
		},
		{"stops", 0, time.Minute, code.Stopping, code.Stopping, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			time.Sleep(time.Nanosecond)
			ready := func() error {
				if tc.readyAt > 0 && time.Since(start) >= tc.readyAt {
					return nil
				}
				return code.New(tc.err, "not yet")
			}
			ctx, stop := context.WithTimeout(t.Context(), tc.callers)
			defer stop()
			arrived := time.Now()
			handler := &Handler{params: DefaultParams, deps: Dependencies{Ready: ready}}
			if err := handler.waitUntilReady(&Job{Context: ctx, Arrived: arrived}); code.Of(err) != tc.want {
				t.Errorf("%s: %v", tc.name, err)
			}
			if took := time.Since(arrived); took > tc.took {
				t.Errorf("%s: took %s, at most %s", tc.name, took, tc.took)
			}
		})
	}
}

// TestCanResume checks that another run can continue if the caller has received nothing, only the
// head, or events of a resumable stream whose last event has an id.
func TestCanResume(t *testing.T) {
	for _, c := range []struct {
		name                    string
		response                Response
		notResumable, resumable bool
	}{
		{"nothing yet", Response{}, true, true},
		{"the head", Response{headSent: true}, false, true},
		{"a named event", Response{headSent: true, bodySent: true, lastEventID: "3"}, false, true},
		{"an event without a name", Response{headSent: true, bodySent: true}, false, false},
	} {
		if got := c.response.canResume(false); got != c.notResumable {
			t.Errorf("%s, not resumable: %v", c.name, got)
		}
		if got := c.response.canResume(true); got != c.resumable {
			t.Errorf("%s, resumable: %v", c.name, got)
		}
	}
}

// TestRetryAtStores checks that transient failures at the stores are retried, including writes with
// an unknown outcome, that clear refusals are not, and that the context's deadline ends the
// retries.
func TestRetryAtStores(t *testing.T) {
	for _, tc := range []struct {
		name    string
		results []code.Code // of the first attempts; the last one repeats
		want    code.Code
		tries   int
	}{
		{"at once", nil, code.OK, 1},
		{"away for a moment", []code.Code{code.StoresUnreachable, code.OK}, code.OK, 2},
		{"one may have been taken", []code.Code{code.OutcomeUnknown, code.OK}, code.OK, 2},
		{"refused", []code.Code{code.StoresUnreachable, code.BudgetSpent}, code.BudgetSpent, 2},
		{"away for good", []code.Code{code.OutcomeUnknown}, code.OutcomeUnknown, 13},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithTimeout(t.Context(), time.Second)
			defer stop()
			tries := 0
			err := retryAtStores(ctx, func() error {
				tries++
				if len(tc.results) == 0 || tc.results[min(tries, len(tc.results))-1] == code.OK {
					return nil
				}
				return code.New(tc.results[min(tries, len(tc.results))-1], "x")
			})
			if code.Of(err) != tc.want || tries != tc.tries {
				t.Errorf("%s: %v after %d tries, want %d", tc.name, err, tries, tc.tries)
			}
		})
	}
}

// TestZoneShortOfRunners guards against overload in a zone that lost most of its runners. Its edges
// worked with load reports some hundred milliseconds old, found the local runners only slightly
// above the mean and sent them all of their programs. These queued for seconds while other zones
// had free slots (programs of that zone earned 0.30 of their value, those of the others 0.72 to
// 0.90). A zone loaded more than the rest must send just enough jobs elsewhere to bring it to the
// mean; other zones must send none.
func TestZoneShortOfRunners(t *testing.T) {
	for _, c := range []struct {
		name        string
		home, other int // requests in flight at each runner, of a capacity of 8
		least, most float64
	}{
		{"loaded alike", 4, 4, 1, 1},
		{"loaded less", 2, 4, 1, 1},
		{"a little more", 5, 4, 0.75, 0.92},
		{"much more", 7, 3, 0, 0.55},
	} {
		t.Run(c.name, func(t *testing.T) {
			const picks = 2000
			l, list := NewLoad(), runners(8, 6, "a", "b", "c")
			remote := map[string]InFlight{}
			for _, r := range list.Runners {
				n := c.other
				if r.Zone == "a" {
					n = c.home
				}
				remote[r.ID] = InFlight{Requests: n}
			}
			l.UpdateRemote(remote)
			local := 0
			for i := range picks {
				r, _ := l.Pick(Selection{
					Service: &spec.Service{Name: "s"}, List: list, Zone: "a", Allowed: anyRunner, WarmingUp: noRunners,
					Prefix: fmt.Sprintf("part-%d", i%16),
				})
				if r.Zone == "a" {
					local++
				}
			}
			if share := float64(local) / picks; share < c.least || share > c.most {
				t.Errorf("%.2f of the jobs stay in the zone, want %.2f to %.2f", share, c.least, c.most)
			}
		})
	}
}
