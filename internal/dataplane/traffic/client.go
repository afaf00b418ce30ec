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

// Ask is one request and its answer.
type Ask struct {
	Program, Work, Key, Route, Class, Zone, Edge string
	Urgent                                       bool
	Turn, Follows                                bool
	Sent, Done                                   time.Time
	Wait                                         time.Duration // the caller's, or what the program had left
	Status, Code                                 int
	Name, Ran, Job, Failure                      string
	RetryAfter                                   time.Duration
	Lost                                         bool // no answer came
	Refused                                      bool // nobody listened: the request was never taken
	Wrong                                        string
	Forgot                                       bool
	PrefixHit                                    bool
	Runner                                       string
	Output                                       int64
	BodyRetryAfter                               time.Duration // when to come back, as the body says it
	TurnID                                       string
	Hist                                         string // digest of the conversation up to and with this turn
	Path                                         string
	Body                                         []byte
}

// Answer is what an edge answered.
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

// Check checks a success; it may find it wrong, or see that something was
// forgotten.
type Check func(*Ask, Answer)

// Client asks as the users' programs do, and keeps a log.
type Client struct {
	Web *http.Client

	mu  sync.Mutex
	log []Ask
}

// NewClient makes a client over web; nil means the ordinary way.
func NewClient(web http.RoundTripper) *Client {
	if web == nil {
		web = &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 20 * time.Second}
	}
	return &Client{Web: &http.Client{Transport: web}}
}

// Log is a copy of all that was asked.
func (c *Client) Log() []Ask {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Ask(nil), c.log...)
}

// Ask asks, and asks again as such callers do: another edge where nobody
// answers, and later where it is given to come back within a third of the time.
// The first two edges are of the caller's own zone.
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
	stop := time.Now().Add(a.Wait)
	for try := range 5 {
		left := time.Until(stop)
		if len(edges) == 0 || left < 100*time.Millisecond || ctx.Err() != nil {
			return Answer{}, false
		}
		// The two of its own zone first, then the others.
		i := try
		if try < 2 && len(edges) > 1 {
			i = (first + try) % 2
		}
		one := a
		one.Edge, one.Wait = edges[i%len(edges)], left
		ans := c.Once(ctx, &one, path, b, end, check)
		c.mu.Lock()
		c.log = append(c.log, one)
		c.mu.Unlock()
		switch {
		case one.Status == http.StatusOK:
			return ans, one.Wrong == ""
		case one.Lost, one.Refused, one.Status == http.StatusServiceUnavailable, one.Status == http.StatusBadGateway:
			pause := 50 * time.Millisecond
			if one.RetryAfter > 0 && one.RetryAfter <= left/3 && try >= 2 {
				pause = one.RetryAfter
			}
			loop.Wait(ctx, pause)
		case one.Status == http.StatusTooManyRequests && one.RetryAfter > 0 && one.RetryAfter <= left/3:
			loop.Wait(ctx, one.RetryAfter)
		default:
			return ans, false
		}
	}
	return Answer{}, false
}

// Once asks one edge once; a says how it went.
func (c *Client) Once(ctx context.Context, a *Ask, path string, b []byte, end time.Time, check Check) Answer {
	var ans Answer
	// A caller waits a little longer than it says, to receive the last report.
	rctx, cancel := context.WithTimeout(ctx, a.Wait+500*time.Millisecond)
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
		var got []byte
		if got, err = io.ReadAll(r.Body); err == nil {
			err = json.Unmarshal(got, &ans)
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
