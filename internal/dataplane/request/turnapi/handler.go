// Package turnapi is the HTTP API for named turns and calls: it parses and checks
// requests, fixes their deadline, and turns results into responses.
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

// Params bound what is taken.
type Params struct {
	MaxBody int64
	Wait    time.Duration // where the caller names none
	// Margin is kept back so that the answer is there before the wait is over.
	Margin    time.Duration
	MaxParts  int
	MaxOutput int64
}

// DefaultParams are the design's.
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

// Handler makes jobs of requests.
type Handler struct {
	Params Params
	ID     string // of this node and start; job ids begin with it
	Log    hclog.Logger
	View   func() *cluster.View
	Ready  func() error
	Turn   job.Next
	Call   job.Next
	// Point goes with each job; see job.Point.
	Point func(job.Point, *job.Ctx)
	// OnAnswer is notified of every job answered, for records of the traffic.
	OnAnswer func(c *job.Ctx, a job.Answer, took time.Duration)

	jobs   atomic.Uint64
	mu     sync.Mutex
	counts map[string]int64
}

// Routes puts the callers' interface on e.
func (handler *Handler) Routes(e *echo.Echo) {
	handler.counts = map[string]int64{}
	e.POST("/v1/turns", func(x echo.Context) error { return handler.serve(x, "") })
	e.POST("/v1/calls/:route", func(x echo.Context) error { return handler.serve(x, x.Param("route")) })
}

// Counts is how many jobs ended with each code.
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
	c, err := handler.job(x, at, route)
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
	return handler.answer(x, c, a)
}

func (handler *Handler) execute(c *job.Ctx) job.Answer {
	if c.Conv != "" {
		return handler.Turn(c)
	}
	return handler.Call(c)
}

// answer writes the one final answer.
func (handler *Handler) answer(x echo.Context, c *job.Ctx, a job.Answer) error {
	if a.Err == nil {
		return x.JSONBlob(http.StatusOK, a.Body)
	}
	p := web.Of(a.Err)
	if c == nil {
		// Refused before it was read: of a keyed one nothing is known here.
		c = &job.Ctx{Key: x.Request().Header.Get(HeaderIdempotencyKey)}
	}
	p.Job, p.Ran = c.ID, c.Ran(a)
	if code.Code(p.Code) == code.Unknown {
		handler.Log.Error("failure without a number", "err", a.Err)
	}
	status := code.Code(p.Code).Status()
	if a.Wait == 0 && status == http.StatusServiceUnavailable {
		// Whoever is sent away is given when to come back.
		a.Wait = time.Second
	}
	// Other policies may have held the answer since the wait was worked out.
	if wait := a.RemainingWait(); wait > 0 {
		// Callers read full seconds and nothing finer: round up, so that
		// nobody is back too soon.
		x.Response().Header().Set("Retry-After", strconv.FormatInt(int64(math.Ceil(wait.Seconds())), 10))
		p.WaitMs = wait.Milliseconds()
		p.NotBefore = time.Now().Add(wait).UTC().Format("2006-01-02T15:04:05.000Z")
	}
	return x.JSON(status, p)
}

// job checks a request and makes a job of it.
func (handler *Handler) job(x echo.Context, at time.Time, route string) (*job.Ctx, error) {
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
	if err := handler.headers(q.Header, c, at); err != nil {
		return nil, err
	}
	b, err := web.Body(x, handler.Params.MaxBody)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(append([]byte(q.URL.Path+"\n"), b...))
	c.Hash = hex.EncodeToString(sum[:16])
	if route == "" {
		err = handler.turn(c, b)
	} else {
		err = handler.call(c, b)
	}
	if err != nil {
		return nil, err
	}
	return c, handler.class(c)
}

func (handler *Handler) headers(h http.Header, c *job.Ctx, at time.Time) error {
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
	left, err := handler.seconds(h, HeaderTimeRemaining)
	if err != nil {
		return err
	}
	wait := handler.Params.Wait
	if h.Get(HeaderWait) != "" {
		if wait, err = handler.seconds(h, HeaderWait); err != nil {
			return err
		}
	}
	c.ProgramEnd = at.Add(left)
	c.AnswerBy = at.Add(min(left, wait) - handler.Params.Margin)
	if c.Key = h.Get(HeaderIdempotencyKey); c.Key == "" {
		// An empty key is no key, and must not be taken for 'may be repeated'.
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

func (handler *Handler) seconds(h http.Header, name string) (time.Duration, error) {
	f, err := strconv.ParseFloat(h.Get(name), 64)
	if err != nil || math.IsNaN(f) {
		return 0, code.New(code.BadTime, "%s: %q is not a number of seconds", name, h.Get(name))
	}
	if most := handler.View().Spec.LongestWait().Seconds(); f < 0 || f > most {
		return 0, code.New(code.BadTime, "%s: %v is not within 0 and %v", name, f, most)
	}
	return time.Duration(f * float64(time.Second)), nil
}

func (handler *Handler) turn(c *job.Ctx, b []byte) error {
	var t Turn
	if err := web.Strict(b, &t); err != nil {
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
			return handler.parts(c, t.Parts)
		}
	}
	return code.New(code.NoRoute, "model: %q is not a model route", t.Model)
}

func (handler *Handler) call(c *job.Ctx, b []byte) error {
	var t Call
	if err := web.Strict(b, &t); err != nil {
		return err
	}
	c.Prompt, c.Class = string(t.Args), t.Class
	for _, r := range c.View.Spec.Routes {
		if !r.Model && r.Name == c.Route {
			return handler.parts(c, t.Parts)
		}
	}
	return code.New(code.NoRoute, "%q is not a tool's route", c.Route)
}

func (handler *Handler) parts(c *job.Ctx, parts []string) error {
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

// class finds the job's place in the order; a class not named goes last.
func (handler *Handler) class(c *job.Ctx) error {
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
