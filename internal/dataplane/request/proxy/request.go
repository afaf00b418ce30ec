package proxy

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strings"

	"damsontiller/internal/dataplane/balancing/endpoints"
)

// lowestPriority is the lowest priority that a request to a runner states; 0 is the highest.
const lowestPriority = 9

// runnerRequest builds the request to a runner: the caller's request as received, with the headers
// that name the attempt and the runner.
func (handler *Handler) runnerRequest(j *Job, response *Response, runner *endpoints.Runner) *http.Request {
	target, query, hasQuery := strings.Cut(j.Req.RequestURI, "?")
	request := &http.Request{
		Method:     j.Req.Method,
		URL:        &url.URL{Scheme: "http", Host: runner.Addr, Opaque: target, RawQuery: query, ForceQuery: hasQuery},
		Host:       j.Req.Host,
		Header:     http.Header{},
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	copyHeaders(request.Header, j.Req.Header)
	delete(request.Header, "Expect")
	if _, ok := request.Header["User-Agent"]; !ok {
		// Without an entry, net/http would add its own name.
		request.Header["User-Agent"] = []string{""}
	}
	handler.deps.Headers.WriteRequest(request.Header, j, runner, j.TimeLeft(), min(j.rank(), lowestPriority))
	if response.headSent && response.lastEventID != "" {
		handler.deps.Headers.WriteResume(request.Header, response.lastEventID)
	}
	if len(j.Body) > 0 {
		request.ContentLength = int64(len(j.Body))
		request.Body = io.NopCloser(bytes.NewReader(j.Body))
	}
	return request
}

// writeRequest writes a request. If its target starts with two slashes, net/http would prefix it
// with a scheme, so all slashes but the last are inserted afterwards.
func writeRequest(w io.Writer, request *http.Request) error {
	target := request.URL.Opaque
	if !strings.HasPrefix(target, "//") {
		return request.Write(w)
	}
	var buffer bytes.Buffer
	request.URL.Opaque = "/" + strings.TrimLeft(target, "/")
	if err := request.Write(&buffer); err != nil {
		return err
	}
	methodEnd := len(request.Method) + 1
	extraSlashes := target[:len(target)-len(request.URL.Opaque)]
	_, err := io.WriteString(w, buffer.String()[:methodEnd]+extraSlashes+buffer.String()[methodEnd:])
	return err
}
