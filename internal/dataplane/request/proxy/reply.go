package proxy

import (
	"errors"
	"io"
	"net/http"
)

// reply is a runner's answer that names the job it was asked.
type reply struct {
	*http.Response
	info          ResponseInfo
	skippedOthers bool // answers to other jobs came before it
}

// maxSurplus bounds the answers to earlier jobs that are read past.
const maxSkippedAnswers = 3

// Why what was read is no answer to the job.
var (
	errOtherJob  = errors.New("an answer to another job")
	errNoAttempt = errors.New("an answer that does not say whose it is")
	errBadStatus = errors.New("a status that is no answer")
)

// answer reads the head of the answer to a try, past provisional ones and past answers
// that name another. One that names none proves nothing: it may be a second answer to an
// earlier job, or have been sent before the runner had read this one.
func (c *conn) readAnswer(req *http.Request, attempt string, readResponse func(*http.Response) ResponseInfo) (*reply, error) {
	for skipped := 0; ; {
		r, err := c.readFinalResponse(req)
		if err != nil {
			return nil, err
		}
		switch info := readResponse(r); info.Attempt {
		case "":
			return nil, errNoAttempt
		case attempt:
			return &reply{r, info, skipped > 0}, nil
		}
		if skipped++; skipped > maxSkippedAnswers || r.Close {
			return nil, errOtherJob
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBufferedBytes)); err != nil || n == maxBufferedBytes {
			return nil, errors.Join(errOtherJob, err)
		}
	}
}

// final reads the head of the next answer that is not provisional.
func (c *conn) readFinalResponse(req *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, req)
		switch {
		case err != nil:
			return nil, err
		case response.StatusCode == http.StatusSwitchingProtocols || response.StatusCode < 100:
			// Nobody asked for another protocol, and less than 100 is no status.
			return nil, errBadStatus
		case response.StatusCode/100 != 1:
			return response, nil
		}
	}
}
