package proxy

import (
	"errors"
	"io"
	"net/http"
)

// reply is a runner's response that names the attempt it answers.
type reply struct {
	*http.Response
	info          ResponseInfo
	skippedOthers bool // responses to other jobs were skipped before it
}

// maxSkippedAnswers limits the responses to earlier jobs that are read and discarded.
const maxSkippedAnswers = 3

// Reasons why a response does not answer the job.
var (
	errOtherJob  = errors.New("an answer to another job")
	errNoAttempt = errors.New("an answer that does not say whose it is")
	errBadStatus = errors.New("a status that is no answer")
)

// readAnswer reads the head of the response to an attempt. It skips provisional responses and
// responses that name another attempt. A response that names none proves nothing: it may be a
// second response to an earlier job, or have been sent before the runner read this one.
func (c *conn) readAnswer(
	req *http.Request,
	attempt string,
	readResponse func(*http.Response) ResponseInfo,
) (*reply, error) {
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
		if n, err := io.Copy(
			io.Discard,
			io.LimitReader(r.Body, maxBufferedBytes),
		); err != nil || n == maxBufferedBytes {
			return nil, errors.Join(errOtherJob, err)
		}
	}
}

// readFinalResponse reads the head of the next response that is not provisional.
func (c *conn) readFinalResponse(req *http.Request) (*http.Response, error) {
	for provisional := 0; provisional <= maxProvisionalResponses; provisional++ {
		buffered, err := c.reader.Peek(c.reader.Buffered())
		if err != nil {
			return nil, err
		}
		c.heads.begin(buffered)
		response, err := http.ReadResponse(c.reader, req)
		switch {
		case err != nil:
			return nil, err
		case response.StatusCode == http.StatusSwitchingProtocols || response.StatusCode < 100:
			// No protocol upgrade was requested, and values below 100 are not valid statuses.
			return nil, errBadStatus
		case response.StatusCode/100 != 1:
			return response, nil
		}
	}
	return nil, errTooManyProvisional
}
