package sim

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

// Edges is where the platform sends a client of a zone: nearest first.
func (s *Sim) Edges(zone string) []string {
	var near, far []string
	for _, m := range s.Machines {
		if m.Role != "edge" || m.Spare && m.live == nil {
			continue
		}
		if m.Zone == zone {
			near = append(near, m.HTTP)
		} else {
			far = append(far, m.HTTP)
		}
	}
	return append(near, far...)
}

// from is the network as an edge's calls see it.
type from struct {
	s *Sim
	m *Machine
}

// RoundTrip carries a call from a machine that may be frozen.
func (f *from) RoundTrip(q *http.Request) (*http.Response, error) {
	f.s.Net.WaitWhileFrozen(f.m.Addr)
	if f.s.isPartitionedHTTP(f.m.ID, q.URL.Host) {
		<-q.Context().Done()
		return nil, q.Context().Err()
	}
	r, err := f.s.RoundTrip(q)
	f.s.Net.WaitWhileFrozen(f.m.Addr)
	return r, err
}

// RoundTrip carries HTTP to edges, cores and runners.
func (s *Sim) RoundTrip(q *http.Request) (*http.Response, error) {
	var body []byte
	if q.Body != nil {
		var err error
		if body, err = io.ReadAll(q.Body); err != nil {
			return nil, err
		}
		q.Body.Close()
	}
	time.Sleep(time.Millisecond)
	host := q.URL.Host
	s.mu.Lock()
	h, dead, at := s.up[host], make(chan struct{}), ""
	for _, m := range s.Machines {
		if m.HTTP == host && m.live != nil {
			h, dead, at = m.live.web, m.live.dead, m.Addr
		}
		if m.Front == host && m.live != nil && m.live.raw != nil {
			h, dead, at = m.live.raw, m.live.dead, m.Addr
		}
	}
	s.mu.Unlock()
	if h == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	ctx, stop := context.WithCancel(context.Background())
	in := q.Clone(ctx)
	in.Body, in.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	in.RequestURI, in.RemoteAddr, in.Host = q.URL.RequestURI(), "10.9.9.9:1", q.Host
	in.URL.Host, in.URL.Scheme = "", ""
	w := &recorder{head: http.Header{}, status: http.StatusOK, done: make(chan struct{})}
	go func() {
		defer stop()
		defer close(w.done)
		defer func() {
			if e := recover(); e != nil {
				if err, ok := e.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
					panic(e)
				}
				w.broken = true
			}
		}()
		s.Net.WaitWhileFrozen(at)
		h.ServeHTTP(w, in)
		s.Net.WaitWhileFrozen(at)
	}()
	select {
	case <-w.done:
	case <-dead:
		stop()
		return nil, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	case <-q.Context().Done():
		stop()
		return nil, q.Context().Err()
	}
	if ended(dead) {
		// The answer was made after the process had died.
		return nil, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	}
	if w.broken && w.body.Len() == 0 {
		return nil, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	}
	var rd io.Reader = bytes.NewReader(w.body.Bytes())
	if w.broken {
		rd = io.MultiReader(rd, brokenOff{})
	}
	return &http.Response{
		StatusCode:    w.status,
		Status:        http.StatusText(w.status),
		Header:        w.head,
		Body:          io.NopCloser(rd),
		ContentLength: -1,
		Request:       q,
		ProtoMajor:    1,
		ProtoMinor:    1,
	}, nil
}

func ended(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

type brokenOff struct{}

func (brokenOff) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

type recorder struct {
	head   http.Header
	status int
	body   bytes.Buffer
	broken bool
	done   chan struct{}
}

func (r *recorder) Header() http.Header { return r.head }

func (r *recorder) WriteHeader(s int) { r.status = s }

func (r *recorder) Write(b []byte) (int, error) { return r.body.Write(b) }

func (r *recorder) Flush() {}
