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
func (handler *Handler) request(j *Job, w *Response, r *endpoints.Runner) *http.Request {
	p, query, some := strings.Cut(j.Req.RequestURI, "?")
	q := &http.Request{
		Method:     j.Req.Method,
		URL:        &url.URL{Scheme: "http", Host: r.Addr, Opaque: p, RawQuery: query, ForceQuery: some},
		Host:       j.Req.Host,
		Header:     http.Header{},
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	copyHeaders(q.Header, j.Req.Header)
	delete(q.Header, "Expect")
	if _, ok := q.Header["User-Agent"]; !ok {
		// Without an entry the library would add its own name.
		q.Header["User-Agent"] = []string{""}
	}
	handler.parts.Headers.WriteRequest(q.Header, j, r, j.TimeLeft(), min(j.rank(), 9))
	if w.begun && w.last != "" {
		handler.parts.Headers.WriteResume(q.Header, w.last)
	}
	if len(j.Body) > 0 {
		q.ContentLength = int64(len(j.Body))
		q.Body = io.NopCloser(bytes.NewReader(j.Body))
	}
	return q
}

// write sends a request. Where its target begins with two slashes the library would
// put a scheme before them, so all but the last are put in afterwards.
func write(w io.Writer, q *http.Request) error {
	p := q.URL.Opaque
	if !strings.HasPrefix(p, "//") {
		return q.Write(w)
	}
	var b bytes.Buffer
	q.URL.Opaque = "/" + strings.TrimLeft(p, "/")
	if err := q.Write(&b); err != nil {
		return err
	}
	at := len(q.Method) + 1
	more := p[:len(p)-len(q.URL.Opaque)]
	_, err := io.WriteString(w, b.String()[:at]+more+b.String()[at:])
	return err
}
