package traffic

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"damsontiller/internal/dataplane/request/turnapi"
	"damsontiller/internal/transport/loop"
)

// Ask is one request and its outcome.
type Ask struct {
	Program, Work, Key, Route, Class, Zone, Edge string
	Urgent                                       bool
	Turn, Follows                                bool
	Sent, Done                                   time.Time
	Wait                                         time.Duration // the caller's wait, or less if the program ends sooner
	Status, Code                                 int
	Name, Ran, Job, Failure                      string
	RetryAfter                                   time.Duration
	Lost                                         bool   // no answer was received
	Refused                                      bool   // the connection was refused, so the request was not received
	Wrong                                        string // what is wrong with the answer; empty if nothing
	Forgot                                       bool   // the answer shows that earlier turns were lost
	PrefixHit                                    bool
	Runner                                       string
	Output                                       int64
	BodyRetryAfter                               time.Duration // wait before a retry, as stated in the body
	TurnID                                       string
	Hist                                         string // digest of the conversation up to and including this turn
	Path                                         string
	Body                                         []byte
}

// Answer is the body of an edge's answer, of a success or a failure.
type Answer struct {
	Job    string `json:"job"`
	Turn   string `json:"turn"`
	Text   string `json:"text"`
	Output int64  `json:"output"`
	Held   bool   `json:"held"`
	Runner string `json:"runner"`

	Code       int    `json:"code"`
	Name       string `json:"name"`
	Ran        string `json:"ran"`
	Failure    string `json:"problem"`
	NotBefore  string `json:"not_before"`
	WaitMillis int64  `json:"wait_ms"`
}

const (
	// maxAttempts is the largest number of attempts of one request.
	maxAttempts = 5
	// answerGrace is how much longer a caller waits for an answer than it states.
	answerGrace = 500 * time.Millisecond
)

// Check validates a successful answer. It may mark the request's answer as wrong, or mark that
// state was lost.
type Check func(*Ask, Answer)

// Client sends requests as callers' programs do, and keeps a log of them.
type Client struct {
	Web *http.Client

	mu  sync.Mutex
	log []Ask
}

// NewClient returns a client over web or, if that is nil, over a default transport.
func NewClient(web http.RoundTripper) *Client {
	if web == nil {
		web = &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 20 * time.Second}
	}
	return &Client{Web: &http.Client{Transport: web}}
}

// Log returns a copy of the log of requests.
func (c *Client) Log() []Ask {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Ask(nil), c.log...)
}

// Ask sends a request and retries it as such callers do: at another edge if there is no answer
// or the edge is unavailable, and later if the answer states a wait of up to a third of the
// time left. The first two edges are of the caller's own zone. It reports whether the request
// succeeded.
func (c *Client) Ask(
	ctx context.Context,
	a Ask,
	path string,
	body any,
	end time.Time,
	edges []string,
	first int,
	check Check,
) (Answer, bool) {
	b, err := json.Marshal(body)
	if err != nil {
		return Answer{}, false
	}
	deadline := time.Now().Add(a.Wait)
	for try := range maxAttempts {
		left := time.Until(deadline)
		if len(edges) == 0 || left < 100*time.Millisecond || ctx.Err() != nil {
			return Answer{}, false
		}
		// The two edges of the caller's own zone first, then the others.
		i := try
		if try < 2 && len(edges) > 1 {
			i = (first + try) % 2
		}
		attempt := a
		attempt.Edge, attempt.Wait = edges[i%len(edges)], left
		ans := c.Once(ctx, &attempt, path, b, end, check)
		c.mu.Lock()
		c.log = append(c.log, attempt)
		c.mu.Unlock()
		switch {
		case attempt.Status == http.StatusOK:
			return ans, attempt.Wrong == ""
		case attempt.Lost,
			attempt.Refused,
			attempt.Status == http.StatusServiceUnavailable,
			attempt.Status == http.StatusBadGateway:
			pause := 50 * time.Millisecond
			if attempt.RetryAfter > 0 && attempt.RetryAfter <= left/3 && try >= 2 {
				pause = attempt.RetryAfter
			}
			loop.Wait(ctx, pause)
		case attempt.Status == http.StatusTooManyRequests && attempt.RetryAfter > 0 && attempt.RetryAfter <= left/3:
			loop.Wait(ctx, attempt.RetryAfter)
		default:
			return ans, false
		}
	}
	return Answer{}, false
}

// Once sends a request to one edge once, and records its outcome in a.
func (c *Client) Once(ctx context.Context, a *Ask, path string, b []byte, end time.Time, check Check) Answer {
	var ans Answer
	// A caller waits a little longer than it states, to receive a late answer.
	rctx, cancel := context.WithTimeout(ctx, a.Wait+answerGrace)
	defer cancel()
	q, err := http.NewRequestWithContext(
		rctx,
		http.MethodPost,
		"http://"+a.Edge+path,
		io.NopCloser(bytes.NewReader(b)),
	)
	if err != nil {
		a.Wrong = err.Error()
		return ans
	}
	q.ContentLength = int64(len(b))
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set(turnapi.HeaderProgram, a.Program)
	q.Header.Set(turnapi.HeaderTimeRemaining, fmt.Sprintf("%.3f", time.Until(end).Seconds()))
	q.Header.Set(turnapi.HeaderWait, fmt.Sprintf("%.3f", a.Wait.Seconds()))
	if a.Key != "" {
		q.Header.Set(turnapi.HeaderIdempotencyKey, a.Key)
	}
	a.Path, a.Body = path, b
	a.Sent = time.Now()
	r, err := c.Web.Do(q)
	if err == nil {
		defer r.Body.Close()
		var responseBody []byte
		if responseBody, err = io.ReadAll(r.Body); err == nil {
			err = json.Unmarshal(responseBody, &ans)
		}
	}
	a.Done = time.Now()
	if err != nil {
		a.Refused = errors.Is(err, syscall.ECONNREFUSED)
		a.Lost = !a.Refused
		return ans
	}
	a.Status, a.Code, a.Name, a.Ran, a.Job, a.Failure = r.StatusCode, ans.Code, ans.Name, ans.Ran, ans.Job, ans.Failure
	a.PrefixHit, a.Runner, a.Output, a.TurnID = ans.Held, ans.Runner, ans.Output, ans.Turn
	a.BodyRetryAfter = time.Duration(ans.WaitMillis) * time.Millisecond
	if n, err := strconv.Atoi(r.Header.Get("Retry-After")); err == nil {
		a.RetryAfter = time.Duration(n) * time.Second
	}
	if a.Status == http.StatusOK {
		if check != nil {
			check(a, ans)
		}
	}
	return ans
}
