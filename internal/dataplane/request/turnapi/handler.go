// Package turnapi is the HTTP API for named turns and calls: it parses and validates
// requests, sets their deadline, and writes their responses.
package turnapi

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/web"
	"damsontiller/internal/dataplane/request/job"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
)

// Headers that callers send.
const (
	HeaderProgram        = "X-Damsontiller-Program"
	HeaderTimeRemaining  = "X-Damsontiller-Program-Time-Remaining"
	HeaderWait           = "X-Damsontiller-Wait"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderStartedBy      = "X-Damsontiller-Started-By"
)

// Params are the limits of accepted requests.
type Params struct {
	MaxBody int64         // bytes
	Wait    time.Duration // default if the caller states no wait
	// Margin is subtracted from the wait, so that the answer arrives before the wait is over.
	Margin    time.Duration
	MaxParts  int
	MaxOutput int64 // largest max_output of a turn
}

// DefaultParams are the default limits.
var DefaultParams = Params{
	MaxBody:   1 << 20,
	Wait:      30 * time.Second,
	Margin:    30 * time.Millisecond,
	MaxParts:  64,
	MaxOutput: 1 << 20,
}

// Turn is the body of POST /v1/turns.
type Turn struct {
	Conversation string   `json:"conversation"`
	Follows      string   `json:"follows"`
	Model        string   `json:"model"`
	Class        string   `json:"class"`
	Prompt       string   `json:"words"`
	Parts        []string `json:"parts"`
	MaxOutput    int64    `json:"max_output"`
}

// Call is the body of POST /v1/calls/{route}.
type Call struct {
	Class string          `json:"class"`
	Args  json.RawMessage `json:"args"`
	Parts []string        `json:"parts"`
}

// Handler turns requests into jobs and serves their answers.
type Handler struct {
	Params Params
	ID     string // of this node and its incarnation; the prefix of job IDs
	Log    hclog.Logger
	View   func() *cluster.View
	Ready  func() error
	Turn   job.Next
	Call   job.Next
	// Point is set on each job; see job.Point.
	Point func(job.Point, *job.Ctx)
	// OnAnswer is called for every answered job, to record the traffic.
	OnAnswer func(c *job.Ctx, a job.Answer, took time.Duration)

	jobs   atomic.Uint64
	mu     sync.Mutex
	counts map[string]int64
}

// Routes registers the API on e.
func (handler *Handler) Routes(e *echo.Echo) {
	handler.counts = map[string]int64{}
	e.POST("/v1/turns", func(x echo.Context) error { return handler.serve(x, "") })
	e.POST("/v1/calls/:route", func(x echo.Context) error { return handler.serve(x, x.Param("route")) })
}

// Counts returns the number of requests answered with each code, by the code's name.
func (handler *Handler) Counts() map[string]int64 {
	handler.mu.Lock()
	defer handler.mu.Unlock()
	out := map[string]int64{}
	for k, v := range handler.counts {
		out[k] = v
	}
	return out
}

func (handler *Handler) serve(x echo.Context, route string) error {
	at := time.Now()
	c, err := handler.parseJob(x, at, route)
	var a job.Answer
	switch {
	case err != nil:
		a.Err = err
	case c.Left() <= 0:
		a = job.Failure(code.DeadlinePassed, "no time is left")
	default:
		c.At(job.Parsed)
		a = handler.execute(c)
	}
	n := code.Of(a.Err)
	handler.mu.Lock()
	handler.counts[n.Name()]++
	handler.mu.Unlock()
	if c != nil && handler.OnAnswer != nil {
		handler.OnAnswer(c, a, time.Since(at))
	}
	return handler.writeAnswer(x, c, a)
}

func (handler *Handler) execute(c *job.Ctx) job.Answer {
	if c.Conv != "" {
		return handler.Turn(c)
	}
	return handler.Call(c)
}

// writeAnswer writes the response, with the time of a retry if the answer has one.
func (handler *Handler) writeAnswer(x echo.Context, c *job.Ctx, a job.Answer) error {
	if a.Err == nil {
		return x.JSONBlob(http.StatusOK, a.Body)
	}
	p := web.FailureOf(a.Err)
	if c == nil {
		// Rejected before it was parsed: for a request with a key, the outcome is unknown here.
		c = &job.Ctx{Key: x.Request().Header.Get(HeaderIdempotencyKey)}
	}
	p.Job, p.Ran = c.ID, c.Ran(a)
	if code.Code(p.Code) == code.Unknown {
		handler.Log.Error("failure without a code", "err", a.Err)
	}
	status := code.Code(p.Code).Status()
	if a.Wait == 0 && status == http.StatusServiceUnavailable {
		// Every 503 states when to retry.
		a.Wait = time.Second
	}
	// Policies may have delayed the answer since the wait was determined.
	if wait := a.RemainingWait(); wait > 0 {
		// The header only has whole seconds: round up, so that no caller retries too early.
		x.Response().Header().Set("Retry-After", strconv.FormatInt(int64(math.Ceil(wait.Seconds())), 10))
		p.WaitMs = wait.Milliseconds()
		p.NotBefore = time.Now().Add(wait).UTC().Format("2006-01-02T15:04:05.000Z")
	}
	return x.JSON(status, p)
}

// parseJob validates a request and returns its job.
func (handler *Handler) parseJob(x echo.Context, at time.Time, route string) (*job.Ctx, error) {
	if err := handler.Ready(); err != nil {
		return nil, err
	}
	q := x.Request()
	v := handler.View()
	c := &job.Ctx{
		Context: q.Context(),
		ID:      fmt.Sprintf("%s-%d", handler.ID, handler.jobs.Add(1)),
		Origin:  q.RemoteAddr,
		View:    v,
		Route:   route,
		Point:   handler.Point,
		Log:     handler.Log,
	}
	if err := handler.parseHeaders(q.Header, c, at); err != nil {
		return nil, err
	}
	b, err := web.ReadBody(x, handler.Params.MaxBody)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(append([]byte(q.URL.Path+"\n"), b...))
	c.Hash = hex.EncodeToString(sum[:16])
	if route == "" {
		err = handler.parseTurn(c, b)
	} else {
		err = handler.parseCall(c, b)
	}
	if err != nil {
		return nil, err
	}
	return c, handler.setClass(c)
}

// parseHeaders reads the job's program, key and deadline from the request headers.
func (handler *Handler) parseHeaders(h http.Header, c *job.Ctx, at time.Time) error {
	c.Program = h.Get(HeaderProgram)
	if c.Program == "" {
		return code.New(code.NoHeader, "%s is missing", HeaderProgram)
	}
	c.StartedBy = h.Get(HeaderStartedBy)
	for _, p := range []struct{ head, name string }{{HeaderProgram, c.Program}, {HeaderStartedBy, c.StartedBy}} {
		for _, segment := range strings.SplitN(p.name, "/", 2) {
			if !spec.Name(segment) && (p.head != HeaderStartedBy || p.name != "") {
				return code.New(code.BadHeader, "%s: %q is not a name, nor a class and a name", p.head, p.name)
			}
		}
	}
	if c.StartedBy == c.Program {
		return code.New(code.BadProgram, "%s: %q can't have started itself", HeaderStartedBy, c.Program)
	}
	if h.Get(HeaderTimeRemaining) == "" {
		return code.New(code.NoHeader, "%s is missing", HeaderTimeRemaining)
	}
	left, err := handler.parseSeconds(h, HeaderTimeRemaining)
	if err != nil {
		return err
	}
	wait := handler.Params.Wait
	if h.Get(HeaderWait) != "" {
		if wait, err = handler.parseSeconds(h, HeaderWait); err != nil {
			return err
		}
	}
	c.ProgramEnd = at.Add(left)
	c.AnswerBy = at.Add(min(left, wait) - handler.Params.Margin)
	if c.Key = h.Get(HeaderIdempotencyKey); c.Key == "" {
		// A header with an empty key must not make the job repeatable.
		if _, ok := h[HeaderIdempotencyKey]; ok {
			return code.New(code.BadHeader, "%s is empty", HeaderIdempotencyKey)
		}
		return nil
	}
	if len(c.Key) > 128 || strings.ContainsFunc(c.Key, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return code.New(code.BadHeader, "%s: want up to 128 visible characters", HeaderIdempotencyKey)
	}
	return nil
}

// parseSeconds reads a header with a number of seconds, up to the spec's longest wait.
func (handler *Handler) parseSeconds(h http.Header, name string) (time.Duration, error) {
	f, err := strconv.ParseFloat(h.Get(name), 64)
	if err != nil || math.IsNaN(f) {
		return 0, code.New(code.BadTime, "%s: %q is not a number of seconds", name, h.Get(name))
	}
	if limit := handler.View().Spec.LongestWait().Seconds(); f < 0 || f > limit {
		return 0, code.New(code.BadTime, "%s: %v is not within 0 and %v", name, f, limit)
	}
	return time.Duration(f * float64(time.Second)), nil
}

// parseTurn reads the body of a turn.
func (handler *Handler) parseTurn(c *job.Ctx, b []byte) error {
	var t Turn
	if err := web.DecodeStrict(b, &t); err != nil {
		return err
	}
	if !spec.Name(t.Conversation) {
		return code.New(code.BadField, "conversation: %q is not a name", t.Conversation)
	}
	if t.Prompt == "" {
		return code.New(code.BadField, "words: missing")
	}
	if t.MaxOutput < 1 || t.MaxOutput > handler.Params.MaxOutput {
		return code.New(code.BadField, "max_output: %d is not within 1 and %d", t.MaxOutput, handler.Params.MaxOutput)
	}
	if len(t.Follows) > 128 {
		return code.New(code.BadField, "follows: not a turn")
	}
	c.Conv, c.Follows, c.Prompt, c.Class = t.Conversation, t.Follows, t.Prompt, t.Class
	c.RequestedOutput, c.MaxOutput = t.MaxOutput, t.MaxOutput
	c.Route = t.Model
	for _, r := range c.View.Spec.Routes {
		if r.Model && (t.Model == "" || t.Model == r.Name) {
			c.Route = r.Name
			return handler.setParts(c, t.Parts)
		}
	}
	return code.New(code.NoRoute, "model: %q is not a model route", t.Model)
}

// parseCall reads the body of a call.
func (handler *Handler) parseCall(c *job.Ctx, b []byte) error {
	var t Call
	if err := web.DecodeStrict(b, &t); err != nil {
		return err
	}
	c.Prompt, c.Class = string(t.Args), t.Class
	for _, r := range c.View.Spec.Routes {
		if !r.Model && r.Name == c.Route {
			return handler.setParts(c, t.Parts)
		}
	}
	return code.New(code.NoRoute, "%q is not a tool's route", c.Route)
}

// setParts validates and sets the names of the prompt's parts.
func (handler *Handler) setParts(c *job.Ctx, parts []string) error {
	if len(parts) > handler.Params.MaxParts {
		return code.New(code.BadField, "parts: %d, limit %d", len(parts), handler.Params.MaxParts)
	}
	for i, p := range parts {
		if !spec.Name(p) {
			return code.New(code.BadField, "parts[%d]: %q is not a name", i, p)
		}
	}
	c.Parts = parts
	return nil
}

// setClass sets the priority of the job's class; jobs without a class come last.
func (handler *Handler) setClass(c *job.Ctx) error {
	cs := c.View.Spec.Classes
	if c.Class == "" {
		c.Priority = len(cs)
		return nil
	}
	for i, k := range cs {
		if k.Name == c.Class {
			c.Priority, c.Urgent = i, k.Urgent
			return nil
		}
	}
	return code.New(code.BadField, "class: %q is not one of the classes", c.Class)
}
