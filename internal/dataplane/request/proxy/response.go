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
	"damsontiller/internal/transport/membudget"
)

// Answer is the result of a job.
type Answer struct {
	Success bool  // the runner answered completely with a success status
	Err     error // carries an error code
	// RetryAfter is when the caller may retry a job that did not run.
	RetryAfter time.Duration
	// Repeated: the response was recorded for an earlier job, and this one did not run.
	Repeated bool
}

// NotRun reports whether the job is known not to have run and not to run later.
func (a Answer) NotRun() bool { return a.Err != nil && code.Of(a.Err).Ran() == "no" }

// Refuse returns the answer to a job that did not run.
func Refuse(err error, wait time.Duration) Answer { return Answer{Err: err, RetryAfter: wait} }

// Next runs the remaining steps of a job.
type Next func(*Job, *Response) Answer

// Policy is one step in serving a job. It answers the job itself, or calls next and acts before and
// after it.
type Policy interface {
	Do(j *Job, response *Response, next Next) Answer
}

// Chain applies policies in order before the last step.
func Chain(last Next, policies ...Policy) Next {
	for i := len(policies) - 1; i >= 0; i-- {
		policy, next := policies[i], last
		last = func(j *Job, response *Response) Answer { return policy.Do(j, response, next) }
	}
	return last
}

// Response forwards a runner's response to the caller. Once the head is sent, the response can only
// be completed or aborted.
type Response struct {
	w              http.ResponseWriter
	headSent       bool
	collect        bool
	data           []byte
	memory         *membudget.Account // for what is buffered; nil: without a limit
	events         int
	runner         string    // the runner whose response is forwarded
	onFirstEvent   func()    // called at the first event
	bodySent       bool      // more than the head was written
	lastProgressAt time.Time // when the job was sent or the last event was received
	lastEventID    string    // id of the last event forwarded; empty: it has none
	// resumption drops events that the caller received from an earlier run, resumable reports
	// whether the stream can be resumed, and callerLastEventID is the last event that the caller
	// states it has received.
	resumption        resumption
	resumable         bool
	callerLastEventID string
	// beforeComplete, if set, is called with a complete response before any of it is forwarded.
	beforeComplete func(r *http.Response, body []byte)
}

// Begun reports whether the head was sent to the caller.
func (response *Response) Begun() bool { return response.headSent }

// canResume reports whether another run can continue what the caller has received: nothing, only
// the head, or a resumable stream whose last event has an id.
func (response *Response) canResume(resumable bool) bool {
	return !response.headSent || resumable && (response.lastEventID != "" || !response.bodySent)
}

// Events returns the number of events forwarded.
func (response *Response) Events() int { return response.events }

// Collect makes the response keep the event data that it forwards, for Text.
func (response *Response) Collect() { response.collect = true }

// Text returns the event data kept since Collect.
func (response *Response) Text() []byte { return response.data }

// Limits of what is kept of a stream.
const (
	// maxTurnBytes limits the event data of a turn that is stored.
	maxTurnBytes = 2 << 20
	// maxEventIDBytes limits the ids with which a stream can be resumed.
	maxEventIDBytes = 256
)

// Reasons why a runner's response can't be forwarded to its end.
var (
	errNoMemory    = errors.New("the answer can't be buffered now")
	errTurnTooLong = errors.New("a turn that is too long to be stored")
)

// appendBuffered appends to a buffer that grows in the memory of the job.
func (response *Response) appendBuffered(buffer, more []byte) ([]byte, error) {
	if needed := len(buffer) + len(more); needed > cap(buffer) {
		size := max(needed, 2*cap(buffer))
		if err := response.memory.Grow(int64(size - cap(buffer))); err != nil {
			return buffer, errNoMemory
		}
		buffer = append(make([]byte, 0, size), buffer...)
	}
	return append(buffer, more...), nil
}

// collectData keeps a line of an event's data.
func (response *Response) collectData(value []byte) error {
	if len(response.data)+len(value) >= maxTurnBytes {
		return errTurnTooLong
	}
	var err error
	if response.data, err = response.appendBuffered(response.data, value); err != nil {
		return err
	}
	response.data, err = response.appendBuffered(response.data, []byte("\n"))
	return err
}

// hopByHopHeaders apply to a single connection.
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

// copyHeaders copies all end-to-end headers, and not Content-Length.
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

// writeHead forwards the head of a runner's response.
func (response *Response) writeHead(r *http.Response) {
	if response.headSent {
		return
	}
	response.headSent = true
	header := response.w.Header()
	copyHeaders(header, r.Header)
	if _, ok := header["Content-Type"]; !ok {
		// Keeps net/http from guessing a content type.
		header["Content-Type"] = nil
	}
	response.w.WriteHeader(r.StatusCode)
}

// errCallerDisconnected is the error of a failed write to the caller.
var errCallerDisconnected = errors.New("the caller has disconnected")

// forwardStream forwards events as they arrive, complete ones only, so that another run can
// continue after the last one. It returns nil only if the runner ended the stream.
func (response *Response) forwardStream(r *http.Response) error {
	reader := bufio.NewReaderSize(r.Body, 2048)
	controller := http.NewResponseController(response.w)
	response.writeHead(r)
	if err := controller.Flush(); err != nil {
		return errCallerDisconnected
	}
	if response.resumable {
		response.resumption.begin(cmp.Or(response.lastEventID, response.callerLastEventID))
	}
	var event []byte
	for {
		line, err := reader.ReadSlice('\n')
		if len(event)+len(line) > maxEventBytes {
			return code.New(code.Incomplete, "an event over %d bytes", maxEventBytes)
		}
		var memoryErr error
		if event, memoryErr = response.appendBuffered(event, line); memoryErr != nil {
			return memoryErr
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		// Bytes at the end of the stream without a blank line are forwarded but are not an event.
		complete := err == nil && isBlankLine(line) && len(event) > len(line)
		if complete && response.resumption.isDuplicate(event) {
			event = event[:0]
			continue
		}
		if complete || err != nil && len(event) > 0 {
			// Counted before the write: the caller may receive everything even if the write fails.
			if response.bodySent = true; complete {
				if err := response.recordEvent(event); err != nil {
					// The event is not forwarded, so no run may go on after it.
					response.lastEventID = ""
					return err
				}
			}
			if _, writeErr := response.w.Write(event); writeErr != nil {
				return errCallerDisconnected
			}
			if err == nil && reader.Buffered() == 0 {
				if writeErr := controller.Flush(); writeErr != nil {
					return errCallerDisconnected
				}
			}
			event = event[:0]
		}
		if err != nil {
			return nil
		}
	}
}

// maxEventBytes limits the size of one event.
const maxEventBytes = 1 << 20

func isBlankLine(line []byte) bool { return len(bytes.TrimRight(line, "\r\n")) == 0 }

// recordEvent records an event's id and, after Collect, its data.
func (response *Response) recordEvent(event []byte) error {
	hasData, hasID := false, false
	for line := range bytes.Lines(event) {
		field, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "id":
			response.lastEventID, hasID = "", true
			if len(value) <= maxEventIDBytes &&
				(!response.resumable || response.resumption.recordID(string(value), response.memory)) {
				response.lastEventID = string(value)
			}
		case "data":
			if response.collect {
				if err := response.collectData(value); err != nil {
					return err
				}
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
	return nil
}

// maxBufferedBytes is how much of a response is buffered to prove that it is complete before its
// head is forwarded. A longer response is forwarded as it arrives, and aborted if the runner's
// response is cut off.
const maxBufferedBytes = 256 << 10

// recordFactor is the memory for encoding the record of a response, in multiples of its body.
const recordFactor = 3

// forwardWhole forwards a response that is not a stream.
func (response *Response) forwardWhole(r *http.Response) error {
	content, err := response.memory.ReadUpTo(r.Body, maxBufferedBytes)
	// Without memory to prove that it is complete, a response is forwarded as it arrives.
	memoryFull := code.Of(err) == code.MemoryFull
	if err != nil && !memoryFull {
		return err
	}
	complete := len(content) < maxBufferedBytes || r.ContentLength == int64(len(content))
	if !memoryFull && response.beforeComplete != nil {
		// The record of the response is encoded in memory as well.
		memoryFull = response.memory.Grow(recordFactor*int64(len(content))) != nil
	}
	if complete && !memoryFull {
		if response.beforeComplete != nil {
			response.beforeComplete(r, content)
		}
		if r.ContentLength >= 0 || r.Request.Method != http.MethodHead {
			response.w.Header()["Content-Length"] = []string{formatInt(max(r.ContentLength, int64(len(content))))}
		}
		response.writeHead(r)
		if len(content) > 0 {
			if _, err := response.w.Write(content); err != nil {
				return errCallerDisconnected
			}
		}
		return nil
	}
	if r.ContentLength >= 0 {
		response.w.Header()["Content-Length"] = []string{formatInt(r.ContentLength)}
	}
	response.writeHead(r)
	if _, err := response.w.Write(content); err != nil {
		return errCallerDisconnected
	}
	_, err = io.Copy(callerWriter{response.w}, r.Body)
	return err
}

// replay forwards a recorded response.
func (response *Response) replay(status int, header http.Header, body []byte) error {
	response.headSent = true
	sent := response.w.Header()
	copyHeaders(sent, header)
	sent["Content-Length"] = []string{formatInt(int64(len(body)))}
	response.w.WriteHeader(status)
	if _, err := response.w.Write(body); err != nil {
		return errCallerDisconnected
	}
	return nil
}

// callerWriter distinguishes a failed write to the caller from a failed read from the runner.
type callerWriter struct{ w io.Writer }

func (c callerWriter) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	if err != nil {
		return n, errCallerDisconnected
	}
	return n, nil
}
