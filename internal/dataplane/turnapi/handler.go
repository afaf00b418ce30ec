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
	"damsontiller/internal/dataplane/job"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
)

// Headers that callers send.
const (
	HProgram = "X-Damsontiller-Program"
	HLeft    = "X-Damsontiller-Program-Time-Remaining"
	HWait    = "X-Damsontiller-Wait"
	HKey     = "Idempotency-Key"
	HStarted = "X-Damsontiller-Started-By"
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
var DefaultParams = Params{MaxBody: 1 << 20, Wait: 30 * time.Second, Margin: 30 * time.Millisecond, MaxParts: 64, MaxOutput: 1 << 20}

// Turn is the body of POST /v1/turns.
type Turn struct {
	Conversation string   `json:"conversation"`
	Follows      string   `json:"follows"`
	Model        string   `json:"model"`
	Class        string   `json:"class"`
	Words        string   `json:"words"`
	Parts        []string `json:"parts"`
	MaxOutput    int64    `json:"max_output"`
}

// Call is the body of POST /v1/calls/{route}.
type Call struct {
	Class string          `json:"class"`
	Args  json.RawMessage `json:"args"`
	Parts []string        `json:"parts"`
}

// Door makes jobs of requests.
type Door struct {
	P     Params
	ID    string // of this node and start; job ids begin with it
	Log   hclog.Logger
	View  func() *cluster.View
	Ready func() error
	Turn  job.Next
	Call  job.Next
	// Point goes with each job; see job.Point.
	Point func(job.Point, *job.Ctx)
	// Seen hears of every job answered, for records of the traffic.
	Seen func(c *job.Ctx, a job.Answer, took time.Duration)

	n      atomic.Uint64
	mu     sync.Mutex
	counts map[string]int64
}

// Routes puts the callers' interface on e.
func (d *Door) Routes(e *echo.Echo) {
	d.counts = map[string]int64{}
	e.POST("/v1/turns", func(x echo.Context) error { return d.serve(x, "") })
	e.POST("/v1/calls/:route", func(x echo.Context) error { return d.serve(x, x.Param("route")) })
}

// Counts is how many jobs ended with each code.
func (d *Door) Counts() map[string]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string]int64{}
	for k, v := range d.counts {
		out[k] = v
	}
	return out
}

func (d *Door) serve(x echo.Context, route string) error {
	at := time.Now()
	c, err := d.job(x, at, route)
	var a job.Answer
	switch {
	case err != nil:
		a.Err = err
	case c.Left() <= 0:
		a = job.Bad(code.DeadlinePassed, "no time is left")
	default:
		c.At(job.Taken)
		a = d.way(c)
	}
	n := code.Of(a.Err)
	d.mu.Lock()
	d.counts[n.Name()]++
	d.mu.Unlock()
	if c != nil && d.Seen != nil {
		d.Seen(c, a, time.Since(at))
	}
	return d.answer(x, c, a)
}

func (d *Door) way(c *job.Ctx) job.Answer {
	if c.Conv != "" {
		return d.Turn(c)
	}
	return d.Call(c)
}

// answer writes the one final answer.
func (d *Door) answer(x echo.Context, c *job.Ctx, a job.Answer) error {
	if a.Err == nil {
		return x.JSONBlob(http.StatusOK, a.Body)
	}
	p := web.Of(a.Err)
	if c == nil {
		// Refused before it was read: of a keyed one nothing is known here.
		c = &job.Ctx{Key: x.Request().Header.Get(HKey)}
	}
	p.Job, p.Ran = c.ID, c.Word(a)
	if code.Code(p.Code) == code.Unknown {
		d.Log.Error("failure without a number", "err", a.Err)
	}
	status := code.Code(p.Code).Status()
	if a.Wait == 0 && status == http.StatusServiceUnavailable {
		// Whoever is sent away is told when to come back.
		a.Wait = time.Second
	}
	if a.Wait > 0 {
		// Callers read whole seconds and nothing finer: round up, so that
		// nobody is back too soon.
		x.Response().Header().Set("Retry-After", strconv.FormatInt(int64(math.Ceil(a.Wait.Seconds())), 10))
		p.WaitMs = a.Wait.Milliseconds()
		p.NotBefore = time.Now().Add(a.Wait).UTC().Format("2006-01-02T15:04:05.000Z")
	}
	return x.JSON(status, p)
}

// job checks a request and makes a job of it.
func (d *Door) job(x echo.Context, at time.Time, route string) (*job.Ctx, error) {
	if err := d.Ready(); err != nil {
		return nil, err
	}
	q := x.Request()
	v := d.View()
	c := &job.Ctx{Context: q.Context(), ID: fmt.Sprintf("%s-%d", d.ID, d.n.Add(1)), Origin: q.RemoteAddr, View: v, Route: route, Point: d.Point, Log: d.Log}
	if err := d.headers(q.Header, c, at); err != nil {
		return nil, err
	}
	b, err := web.Body(x, d.P.MaxBody)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(append([]byte(q.URL.Path+"\n"), b...))
	c.Hash = hex.EncodeToString(sum[:16])
	if route == "" {
		err = d.turn(c, b)
	} else {
		err = d.call(c, b)
	}
	if err != nil {
		return nil, err
	}
	return c, d.class(c)
}

func (d *Door) headers(h http.Header, c *job.Ctx, at time.Time) error {
	c.Program = h.Get(HProgram)
	if c.Program == "" {
		return code.New(code.NoHeader, "%s is missing", HProgram)
	}
	c.StartedBy = h.Get(HStarted)
	for _, p := range []struct{ head, name string }{{HProgram, c.Program}, {HStarted, c.StartedBy}} {
		for _, part := range strings.SplitN(p.name, "/", 2) {
			if !spec.Name(part) && (p.head != HStarted || p.name != "") {
				return code.New(code.BadHeader, "%s: %q is not a name, nor a class and a name", p.head, p.name)
			}
		}
	}
	if c.StartedBy == c.Program {
		return code.New(code.BadProgram, "%s: %q can't have started itself", HStarted, c.Program)
	}
	if h.Get(HLeft) == "" {
		return code.New(code.NoHeader, "%s is missing", HLeft)
	}
	left, err := d.seconds(h, HLeft)
	if err != nil {
		return err
	}
	wait := d.P.Wait
	if h.Get(HWait) != "" {
		if wait, err = d.seconds(h, HWait); err != nil {
			return err
		}
	}
	c.Ends = at.Add(left)
	c.AnswerBy = at.Add(min(left, wait) - d.P.Margin)
	if c.Key = h.Get(HKey); c.Key == "" {
		// An empty key is no key, and must not be taken for 'may be repeated'.
		if _, ok := h[HKey]; ok {
			return code.New(code.BadHeader, "%s is empty", HKey)
		}
		return nil
	}
	if len(c.Key) > 128 || strings.ContainsFunc(c.Key, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return code.New(code.BadHeader, "%s: want up to 128 visible characters", HKey)
	}
	return nil
}

func (d *Door) seconds(h http.Header, name string) (time.Duration, error) {
	f, err := strconv.ParseFloat(h.Get(name), 64)
	if err != nil || math.IsNaN(f) {
		return 0, code.New(code.BadTime, "%s: %q is not a number of seconds", name, h.Get(name))
	}
	if most := d.View().Spec.LongestWait().Seconds(); f < 0 || f > most {
		return 0, code.New(code.BadTime, "%s: %v is not within 0 and %v", name, f, most)
	}
	return time.Duration(f * float64(time.Second)), nil
}

func (d *Door) turn(c *job.Ctx, b []byte) error {
	var t Turn
	if err := web.Strict(b, &t); err != nil {
		return err
	}
	if !spec.Name(t.Conversation) {
		return code.New(code.BadField, "conversation: %q is not a name", t.Conversation)
	}
	if t.Words == "" {
		return code.New(code.BadField, "words: missing")
	}
	if t.MaxOutput < 1 || t.MaxOutput > d.P.MaxOutput {
		return code.New(code.BadField, "max_output: %d is not within 1 and %d", t.MaxOutput, d.P.MaxOutput)
	}
	if len(t.Follows) > 128 {
		return code.New(code.BadField, "follows: not a turn")
	}
	c.Conv, c.Follows, c.Words, c.Class = t.Conversation, t.Follows, t.Words, t.Class
	c.Asked, c.Most = t.MaxOutput, t.MaxOutput
	c.Route = t.Model
	for _, r := range c.View.Spec.Routes {
		if r.Model && (t.Model == "" || t.Model == r.Name) {
			c.Route = r.Name
			return d.parts(c, t.Parts)
		}
	}
	return code.New(code.NoRoute, "model: %q is not a model route", t.Model)
}

func (d *Door) call(c *job.Ctx, b []byte) error {
	var t Call
	if err := web.Strict(b, &t); err != nil {
		return err
	}
	c.Words, c.Class = string(t.Args), t.Class
	for _, r := range c.View.Spec.Routes {
		if !r.Model && r.Name == c.Route {
			return d.parts(c, t.Parts)
		}
	}
	return code.New(code.NoRoute, "%q is not a tool's route", c.Route)
}

func (d *Door) parts(c *job.Ctx, parts []string) error {
	if len(parts) > d.P.MaxParts {
		return code.New(code.BadField, "parts: %d, limit %d", len(parts), d.P.MaxParts)
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
func (d *Door) class(c *job.Ctx) error {
	cs := c.View.Spec.Classes
	if c.Class == "" {
		c.Rank = len(cs)
		return nil
	}
	for i, k := range cs {
		if k.Name == c.Class {
			c.Rank, c.Urgent = i, k.Urgent
			return nil
		}
	}
	return code.New(code.BadField, "class: %q is not one of the classes", c.Class)
}
