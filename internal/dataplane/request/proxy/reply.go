package proxy

import (
	"errors"
	"io"
	"net/http"
)

// reply is a runner's answer that names the job it was asked.
type reply struct {
	*http.Response
	info    ResponseInfo
	surplus bool // answers to other jobs came before it
}

// maxSurplus bounds the answers to earlier jobs that are read past.
const maxSurplus = 3

// Why what was read is no answer to the job.
var (
	errSurplus  = errors.New("an answer to another job")
	errUnnamed  = errors.New("an answer that does not say whose it is")
	errNoAnswer = errors.New("a status that is no answer")
)

// answer reads the head of the answer to a try, past provisional ones and past answers
// that name another. One that names none proves nothing: it may be a second answer to an
// earlier job, or have been sent before the runner had read this one.
func (c *conn) answer(req *http.Request, try string, readResponse func(*http.Response) ResponseInfo) (*reply, error) {
	for surplus := 0; ; {
		r, err := c.final(req)
		if err != nil {
			return nil, err
		}
		switch info := readResponse(r); info.Attempt {
		case "":
			return nil, errUnnamed
		case try:
			return &reply{r, info, surplus > 0}, nil
		}
		if surplus++; surplus > maxSurplus || r.Close {
			return nil, errSurplus
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBuffered)); err != nil || n == maxBuffered {
			return nil, errors.Join(errSurplus, err)
		}
	}
}

// final reads the head of the next answer that is not provisional.
func (c *conn) final(req *http.Request) (*http.Response, error) {
	for {
		r, err := http.ReadResponse(c.br, req)
		switch {
		case err != nil:
			return nil, err
		case r.StatusCode == http.StatusSwitchingProtocols || r.StatusCode < 100:
			// Nobody asked for another protocol, and less than 100 is no status.
			return nil, errNoAnswer
		case r.StatusCode/100 != 1:
			return r, nil
		}
	}
}
