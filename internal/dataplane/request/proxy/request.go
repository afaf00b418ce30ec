package proxy

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strings"

	"damsontiller/internal/dataplane/balancing/endpoints"
)

// request is the job as it goes to a runner: as it came, under the same name, to
// that runner only.
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
		// Without an entry the library would add its own name.
		request.Header["User-Agent"] = []string{""}
	}
	handler.dependencies.Headers.WriteRequest(request.Header, j, runner, j.TimeLeft(), min(j.rank(), 9))
	if response.headSent && response.lastEventID != "" {
		handler.dependencies.Headers.WriteResume(request.Header, response.lastEventID)
	}
	if len(j.Body) > 0 {
		request.ContentLength = int64(len(j.Body))
		request.Body = io.NopCloser(bytes.NewReader(j.Body))
	}
	return request
}

// write sends a request. Where its target begins with two slashes the library would
// put a scheme before them, so all but the last are put in afterwards.
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
