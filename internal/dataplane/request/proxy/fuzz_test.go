package proxy

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"damsontiller/internal/dataplane/balancing/endpoints"
	"damsontiller/internal/proto/spec"
)

// readResult is the outcome of reading bytes as a runner's response.
type readResult struct {
	success bool // forwarded as a complete success
	refused bool // accepted as a statement that the job did not run
	used    int  // bytes consumed
	body    string
}

// readAsAnswer reads bytes as the response to attempt "a".
func readAsAnswer(b []byte, kind string) readResult {
	remaining := bytes.NewReader(b)
	c := newConn(nil, remaining)
	readResponse := func(r *http.Response) ResponseInfo {
		return ResponseInfo{
			Attempt: r.Header.Get("Try"),
			Sealed:  r.Header.Get("Seal") != "",
			NotRun:  r.Header.Get("Not-Run") != "",
		}
	}
	a, err := c.readAnswer(&http.Request{Method: http.MethodPost}, "a", readResponse)
	if err != nil {
		return readResult{}
	}
	w := httptest.NewRecorder()
	x := &exchange{job: &Job{Path: &spec.Path{Kind: kind}}, response: &Response{w: w}, runner: &endpoints.Runner{ID: "i-1"}, conn: c}
	if a.info.NotRun {
		return readResult{refused: true, used: len(b) - remaining.Len() - c.reader.Buffered()}
	}
	if x.unusable(a) != nil || x.forwardAnswer(a) != nil {
		return readResult{}
	}
	return readResult{success: a.success(), used: len(b) - remaining.Len() - c.reader.Buffered(), body: w.Body.String()}
}

// FuzzAnswer checks that reading any bytes from a runner ends, and that no proper prefix of a
// response accepted as a complete success or a refusal would have been accepted.
func FuzzAnswer(f *testing.F) {
	head := "HTTP/1.1 200 OK\r\nTry: a\r\nSeal: s\r\n"
	for _, s := range []string{
		head + "Content-Length: 2\r\n\r\nok",
		head + "Content-Length: 0\r\n\r\n",
		head + "Content-Length: 9\r\n\r\nok",
		head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n2;x=1\r\nok\r\n0\r\nTrail: er\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n16\r\nid: 1\ndata: a\n\nid: 2\nda\r\n8\r\nta: b\n\n\r\n0\r\n\r\n",
		head + "\r\nup to the end",
		head + "Connection: close\r\nContent-Length: 2\r\n\r\nokmore",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTry: b\r\nContent-Length: 1\r\n\r\nx" + head + "Content-Length: 2\r\n\r\nok",
		"HTTP/1.1 503 Service Unavailable\r\nTry: a\r\nNot-Run: 1\r\nContent-Length: 2\r\n\r\nno",
		"HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 2\r\n\r\nno" + head + "Content-Length: 2\r\n\r\nok",
		"HTTP/1.1 204 No Content\r\nTry: a\r\nSeal: s\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\nTry: a\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTry: a\r\nSeal: s\r\n\r\nok",
		"\x16\x03\x01",
	} {
		f.Add([]byte(s), true)
		f.Add([]byte(s), false)
	}
	f.Fuzz(func(t *testing.T, b []byte, stream bool) {
		kind := spec.Once
		if stream {
			kind = spec.Stream
		}
		complete := readAsAnswer(b, kind)
		if !complete.success && !complete.refused {
			return
		}
		for n := range complete.used {
			if partial := readAsAnswer(b[:n], kind); partial.success || partial.refused {
				t.Fatalf("%d of %d bytes are accepted as %+v", n, complete.used, partial)
			}
		}
	})
}
