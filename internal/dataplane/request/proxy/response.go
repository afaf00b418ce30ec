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
func Chain(last Next, policies ...Policy) Next {
	for i := len(policies) - 1; i >= 0; i-- {
		policy, next := policies[i], last
		last = func(j *Job, w *Response) Answer { return policy.Do(j, w, next) }
	}
	return last
}

// Response is the way back to the caller. Once it has begun, the answer can only end
// complete or be broken off.
type Response struct {
	w              http.ResponseWriter
	headSent       bool
	collect        bool
	data           bytes.Buffer
	events         int
	runner         string    // the runner whose answer is forwarded
	onFirstEvent   func()    // called at the first event
	bodySent       bool      // more than the head
	lastProgressAt time.Time // when the job was sent or the last event came
	lastEventID    string    // id of the last event forwarded; empty: it has none
	// resumption drops events that the caller has had from an earlier run, resumable tells
	// that there may be one, and callerHas is the id up to which the caller says it has them.
	resumption        resumption
	resumable         bool
	callerLastEventID string
	// beforeComplete, if set, is called with a complete answer before any of it is forwarded.
	beforeComplete func(r *http.Response, body []byte)
}

// Begun reports whether the caller has seen the head.
func (response *Response) Begun() bool { return response.headSent }

// canResume reports whether another run can go on from what the caller was handed: nothing,
// only the head, or a resumable stream whose last event has a name.
func (response *Response) canResume(resumable bool) bool {
	return !response.headSent || resumable && (response.lastEventID != "" || !response.bodySent)
}

// Events counts the events forwarded.
func (response *Response) Events() int { return response.events }

// Collect keeps the data of what is forwarded; Text gives it.
func (response *Response) Collect() { response.collect = true }

// Text is the data kept since Collect.
func (response *Response) Text() []byte { return response.data.Bytes() }

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
	connectionHeaders := map[string]bool{}
	for _, list := range from["Connection"] {
		for _, name := range strings.Split(list, ",") {
			connectionHeaders[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if !hopByHopHeaders[name] && !connectionHeaders[name] && name != "Content-Length" {
			to[name] = values
		}
	}
}

// head passes a runner's head on.
func (response *Response) writeHead(r *http.Response) {
	if response.headSent {
		return
	}
	response.headSent = true
	header := response.w.Header()
	copyHeaders(header, r.Header)
	if _, ok := header["Content-Type"]; !ok {
		// Nothing is guessed about the runner's bytes.
		header["Content-Type"] = nil
	}
	response.w.WriteHeader(r.StatusCode)
}

// errCaller: the caller can't be written to any more.
var errCallerGone = errors.New("the caller has disconnected")

// stream passes events on as they come, complete ones only, so that another run can
// go on after the last. It ends without a failure only where the runner ended.
func (response *Response) forwardStream(r *http.Response) error {
	reader := bufio.NewReaderSize(r.Body, 2048)
	controller := http.NewResponseController(response.w)
	response.writeHead(r)
	if err := controller.Flush(); err != nil {
		return errCallerGone
	}
	if response.resumable {
		response.resumption.begin(cmp.Or(response.lastEventID, response.callerLastEventID))
	}
	var event []byte
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEventBytes {
			return code.New(code.Incomplete, "an event over %d bytes", maxEventBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		// What ends without a blank line is forwarded and is no event.
		complete := err == nil && isBlankLine(line) && len(event) > len(line)
		if complete && response.resumption.isDuplicate(event) {
			event = event[:0]
			continue
		}
		if complete || err != nil && len(event) > 0 {
			// Counted first: of a write that fails the caller may still get all.
			if response.bodySent = true; complete {
				response.recordEvent(event)
			}
			if _, writeErr := response.w.Write(event); writeErr != nil {
				return errCallerGone
			}
			if err == nil && reader.Buffered() == 0 {
				if writeErr := controller.Flush(); writeErr != nil {
					return errCallerGone
				}
			}
			event = event[:0]
		}
		if err != nil {
			return nil
		}
	}
}

// maxEvent bounds one event.
const maxEventBytes = 1 << 20

func isBlankLine(line []byte) bool { return len(bytes.TrimRight(line, "\r\n")) == 0 }

// recordEvent remembers an event's id and, if asked, its data.
func (response *Response) recordEvent(event []byte) {
	hasData, hasID := false, false
	for line := range bytes.Lines(event) {
		field, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "id":
			response.lastEventID, hasID = string(value), true
			if response.resumable {
				response.resumption.recordID(response.lastEventID)
			}
		case "data":
			if response.collect {
				response.data.Write(value)
				response.data.WriteByte('\n')
			}
			hasData = true
		}
	}
	if hasData {
		response.lastProgressAt = time.Now()
		if response.events++; response.events == 1 && response.onFirstEvent != nil {
			response.onFirstEvent()
		}
		if !hasID {
			response.lastEventID = ""
		}
	}
}

// maxBuffered is what of an answer is held to prove that it is complete before its head
// is forwarded; a longer one is passed as it comes and broken off if it breaks off.
const maxBufferedBytes = 256 << 10

// complete passes an answer on that is no stream.
func (response *Response) forwardWhole(r *http.Response) error {
	content, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBytes))
	if err != nil {
		return err
	}
	if len(content) < maxBufferedBytes || r.ContentLength == int64(len(content)) {
		if response.beforeComplete != nil {
			response.beforeComplete(r, content)
		}
		if r.ContentLength >= 0 || r.Request.Method != http.MethodHead {
			response.w.Header()["Content-Length"] = []string{formatInt(max(r.ContentLength, int64(len(content))))}
		}
		response.writeHead(r)
		if len(content) > 0 {
			if _, err := response.w.Write(content); err != nil {
				return errCallerGone
			}
		}
		return nil
	}
	if r.ContentLength >= 0 {
		response.w.Header()["Content-Length"] = []string{formatInt(r.ContentLength)}
	}
	response.writeHead(r)
	if _, err := response.w.Write(content); err != nil {
		return errCallerGone
	}
	_, err = io.Copy(callerWriter{response.w}, r.Body)
	return err
}

// replay hands on an answer that was recorded.
func (response *Response) replay(status int, header http.Header, body []byte) error {
	response.headSent = true
	sent := response.w.Header()
	copyHeaders(sent, header)
	sent["Content-Length"] = []string{formatInt(int64(len(body)))}
	response.w.WriteHeader(status)
	if _, err := response.w.Write(body); err != nil {
		return errCallerGone
	}
	return nil
}

// toCaller tells a caller that can't be written to from a runner that broke off.
type callerWriter struct{ w io.Writer }

func (c callerWriter) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	if err != nil {
		return n, errCallerGone
	}
	return n, nil
}
