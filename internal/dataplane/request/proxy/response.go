package proxy

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"damsontiller/internal/transport/code"
)

// Answer is what becomes of a job.
type Answer struct {
	Success bool  // complete, and the runner's own
	Err     error // numbered
	// RetryAfter is when the caller may come back, of a job that did not run.
	RetryAfter time.Duration
	// Repeated: it was recorded for an earlier job, and this one did not run.
	Repeated bool
}

// NotRun reports whether the job surely did not run and will not.
func (a Answer) NotRun() bool { return a.Err != nil && code.Of(a.Err).Ran() == "no" }

// Refuse answers for a job that did not run.
func Refuse(err error, wait time.Duration) Answer { return Answer{Err: err, RetryAfter: wait} }

// Next is the rest of a job's way, Policy one decision on it.
type Next func(*Job, *Response) Answer

// Policy may answer by itself, or call next and do something before and after.
type Policy interface {
	Do(j *Job, w *Response, next Next) Answer
}

// Chain joins policies in order before the last step.
func Chain(last Next, ps ...Policy) Next {
	for i := len(ps) - 1; i >= 0; i-- {
		p, next := ps[i], last
		last = func(j *Job, w *Response) Answer { return p.Do(j, w, next) }
	}
	return last
}

// Response is the way back to the caller. Once it has begun, the answer can only end
// complete or be broken off.
type Response struct {
	w       http.ResponseWriter
	begun   bool
	collect bool
	text    bytes.Buffer
	events  int
	runner  string    // the runner whose answer is forwarded
	first   func()    // called at the first event
	wrote   bool      // more than the head
	moved   time.Time // when the job was sent or the last event came
	last    string    // id of the last event forwarded; empty: it has none
	// resumption drops events that the caller has had from an earlier run, resumable tells
	// that there may be one, and callerHas is the id up to which the caller says it has them.
	resumption resumption
	resumable  bool
	callerHas  string
	// beforeComplete, if set, is called with a complete answer before any of it is forwarded.
	beforeComplete func(r *http.Response, body []byte)
}

// Begun reports whether the caller has seen the head.
func (response *Response) Begun() bool { return response.begun }

// canResume reports whether another run can go on from what the caller was handed: nothing,
// only the head, or a resumable stream whose last event has a name.
func (response *Response) canResume(resumable bool) bool {
	return !response.begun || resumable && (response.last != "" || !response.wrote)
}

// Events counts the events forwarded.
func (response *Response) Events() int { return response.events }

// Collect keeps the data of what is forwarded; Text gives it.
func (response *Response) Collect() { response.collect = true }

// Text is the data kept since Collect.
func (response *Response) Text() []byte { return response.text.Bytes() }

// Headers that concern one connection only.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Connection":    true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// copyHeaders copies headers, less those of one connection.
func copyHeaders(to, from http.Header) {
	named := map[string]bool{}
	for _, v := range from["Connection"] {
		for _, f := range strings.Split(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(f))] = true
		}
	}
	for k, vs := range from {
		if !hopByHopHeaders[k] && !named[k] && k != "Content-Length" {
			to[k] = vs
		}
	}
}

// head passes a runner's head on.
func (response *Response) head(r *http.Response) {
	if response.begun {
		return
	}
	response.begun = true
	h := response.w.Header()
	copyHeaders(h, r.Header)
	if _, ok := h["Content-Type"]; !ok {
		// Nothing is guessed about the runner's bytes.
		h["Content-Type"] = nil
	}
	response.w.WriteHeader(r.StatusCode)
}

// errCaller: the caller can't be written to any more.
var errCaller = errors.New("the caller has disconnected")

// stream passes events on as they come, complete ones only, so that another run can
// go on after the last. It ends without a failure only where the runner ended.
func (response *Response) stream(r *http.Response) error {
	br := bufio.NewReaderSize(r.Body, 2048)
	rc := http.NewResponseController(response.w)
	response.head(r)
	if err := rc.Flush(); err != nil {
		return errCaller
	}
	if response.resumable {
		response.resumption.begin(cmp.Or(response.last, response.callerHas))
	}
	var ev []byte
	for {
		l, err := br.ReadSlice('\n')
		ev = append(ev, l...)
		if len(ev) > maxEvent {
			return code.New(code.Incomplete, "an event over %d bytes", maxEvent)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		// What ends without a blank line is forwarded and is no event.
		complete := err == nil && blank(l) && len(ev) > len(l)
		if complete && response.resumption.repeats(ev) {
			ev = ev[:0]
			continue
		}
		if complete || err != nil && len(ev) > 0 {
			// Counted first: of a write that fails the caller may still get all.
			if response.wrote = true; complete {
				response.recordEvent(ev)
			}
			if _, werr := response.w.Write(ev); werr != nil {
				return errCaller
			}
			if err == nil && br.Buffered() == 0 {
				if werr := rc.Flush(); werr != nil {
					return errCaller
				}
			}
			ev = ev[:0]
		}
		if err != nil {
			return nil
		}
	}
}

// maxEvent bounds one event.
const maxEvent = 1 << 20

func blank(l []byte) bool { return len(bytes.TrimRight(l, "\r\n")) == 0 }

// recordEvent remembers an event's id and, if asked, its data.
func (response *Response) recordEvent(ev []byte) {
	some, named := false, false
	for l := range bytes.Lines(ev) {
		k, v, _ := bytes.Cut(bytes.TrimRight(l, "\r\n"), []byte(":"))
		v = bytes.TrimPrefix(v, []byte(" "))
		switch string(k) {
		case "id":
			response.last, named = string(v), true
			if response.resumable {
				response.resumption.handedOn(response.last)
			}
		case "data":
			if response.collect {
				response.text.Write(v)
				response.text.WriteByte('\n')
			}
			some = true
		}
	}
	if some {
		response.moved = time.Now()
		if response.events++; response.events == 1 && response.first != nil {
			response.first()
		}
		if !named {
			response.last = ""
		}
	}
}

// maxBuffered is what of an answer is held to prove that it is complete before its head
// is forwarded; a longer one is passed as it comes and broken off if it breaks off.
const maxBuffered = 256 << 10

// complete passes an answer on that is no stream.
func (response *Response) complete(r *http.Response) error {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxBuffered))
	if err != nil {
		return err
	}
	if len(b) < maxBuffered || r.ContentLength == int64(len(b)) {
		if response.beforeComplete != nil {
			response.beforeComplete(r, b)
		}
		if r.ContentLength >= 0 || r.Request.Method != http.MethodHead {
			response.w.Header()["Content-Length"] = []string{itoa(max(r.ContentLength, int64(len(b))))}
		}
		response.head(r)
		if len(b) > 0 {
			if _, err := response.w.Write(b); err != nil {
				return errCaller
			}
		}
		return nil
	}
	if r.ContentLength >= 0 {
		response.w.Header()["Content-Length"] = []string{itoa(r.ContentLength)}
	}
	response.head(r)
	if _, err := response.w.Write(b); err != nil {
		return errCaller
	}
	_, err = io.Copy(toCaller{response.w}, r.Body)
	return err
}

// replay hands on an answer that was recorded.
func (response *Response) replay(status int, header http.Header, body []byte) error {
	response.begun = true
	h := response.w.Header()
	copyHeaders(h, header)
	h["Content-Length"] = []string{itoa(int64(len(body)))}
	response.w.WriteHeader(status)
	if _, err := response.w.Write(body); err != nil {
		return errCaller
	}
	return nil
}

// toCaller tells a caller that can't be written to from a runner that broke off.
type toCaller struct{ w io.Writer }

func (c toCaller) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	if err != nil {
		return n, errCaller
	}
	return n, nil
}
