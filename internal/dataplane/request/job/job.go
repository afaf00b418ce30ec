// Package job holds the project's one context type, which goes with a job all
// the way, and the answer that comes back.
package job

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/transport/clock"
	"damsontiller/internal/transport/code"
)

// Ctx is a job under way.
type Ctx struct {
	context.Context
	ID      string
	Origin  string // who asked: the remote address
	Program string
	// StartedBy is the program that started this one, a sub-agent; Root is the one at
	// the beginning, whose budget both spend. Ends is when the program ends by its
	// caller's word, on the local clock.
	StartedBy       string
	Root            string
	ProgramEnd      time.Time
	Class           string
	Urgent          bool
	Priority        int // place of the class in the spec's order
	Route           string
	Key             string // Idempotency-Key; empty: the job may be repeated
	Hash            string // of the body, to know a key used for another job
	Parts           []string
	RequestedOutput int64 // largest output asked for
	MaxOutput       int64 // largest output allowed
	Prompt          string
	Follows         string
	Conv            string // conversation class
	History         []Line
	// AnswerBy is the earlier of the caller's wait and the program's end, on the
	// local clock, counted from arrival.
	AnswerBy time.Time
	View     *cluster.View // the spec in force at ingress
	Log      hclog.Logger
	// Runner is set once picked.
	Runner Runner
	// Passed is when it was last forwarded to a runner.
	Passed time.Time
	// Order is its place within its class, by the policy; Whys tell how each of its
	// choices came to be.
	Order     float64
	Decisions []Decision
	// CooldownReadAt is when the read at its cooldown was asked for, Ver the spec it was
	// answered under: what the pass rests on.
	CooldownReadAt  clock.Moment
	CooldownVersion uint64
	// ClaimVer is the claim's version as read at ingress; Started tells that it
	// says 'started' for this job, Sure that no request with its key that came
	// before this one's answer can run any more.
	ClaimVer       uint64
	Started        bool
	NoOtherAttempt bool
	// Point is called at each numbered point of the way; nil outside tests.
	Point func(Point, *Ctx)
	// Spent is the output that the runner reports, PrefixHit whether the prefix was cached.
	Spent     int64
	PrefixHit bool
}

// Point is a numbered point of a job's way, where a test may bring a fault about.
type Point int

// The points, in order.
const (
	Parsed           Point = iota + 1 // parsed at ingress
	Claimed                           // its claim is read
	HistoryRead                       // its history is there
	Reserved                          // its budget is reserved
	Picked                            // it has a runner and a slot
	CooldownRead                      // its runner's cooldown is read
	Started                           // its claim says 'started'
	Passing                           // right before what is checked before the first byte
	ResponseReceived                  // the runner has answered, nothing is written yet
	Points           = int(ResponseReceived)
)

// At is where a test's fault comes in.
func (c *Ctx) At(p Point) {
	if c.Point != nil {
		c.Point(p, c)
	}
}

// Ran is "no", "yes" or "unknown", of the work: of a keyed job, 'no' is said
// only by who can be sure that no earlier request with its key ran or will.
func (c *Ctx) Ran(a Answer) string {
	w := a.Ran()
	if w == "no" && c.Key != "" && !c.NoOtherAttempt && code.Of(a.Err).Drop() {
		return "unknown"
	}
	return w
}

// Decision is how an choice came to be: the policy, and each candidate's rank.
type Decision struct {
	Policy string `json:"policy"`
	Picked string `json:"elected"`
	Spec   uint64 `json:"spec"` // version it was made under
	Ranks  []Rank `json:"ranks"`
}

// Rank is one candidate.
type Rank struct {
	Runner string  `json:"runner"`
	Zone   string  `json:"zone"`
	Free   int64   `json:"free"`
	Prefix float64 `json:"prefix"`
	Rank   float64 `json:"rank"`
}

// Line is one turn of a history.
type Line struct {
	Words  string `json:"words"`
	Answer string `json:"answer"`
}

// Runner is an picked back end.
type Runner struct {
	Index       int
	Name        string
	Addr        string
	CooldownKey string // its cooldown key
	Incarnation string // of the process that the slot is for
}

// Left is the time until the deadline.
func (c *Ctx) Left() time.Duration { return time.Until(c.AnswerBy) }

// Fits reports whether a wait leaves capacity for the call itself.
func (c *Ctx) Fits(wait, callTime time.Duration) bool { return wait+callTime <= c.Left() }

// Answer is what becomes of a job.
type Answer struct {
	Err  error
	Body json.RawMessage
	// Wait is how long the caller should stay away, counted from Since, or from the moment at
	// which the answer is written where that is zero.
	Wait  time.Duration
	Since time.Time
	// Retryable: nothing stands against passing the job once more.
	Retryable bool
}

// Success is a complete response.
func Success(body json.RawMessage) Answer { return Answer{Body: body} }

// Failure is a numbered failure.
func Failure(c code.Code, format string, a ...any) Answer {
	return Answer{Err: code.New(c, format, a...)}
}

// RemainingWait is what is left of the wait now. Where a cooldown is over by now the least is
// left, as coming back helps.
func (a Answer) RemainingWait() time.Duration {
	if a.Wait <= 0 || a.Since.IsZero() {
		return a.Wait
	}
	return max(a.Wait-time.Since(a.Since), time.Millisecond)
}

// Ran is "no", "yes" or "unknown".
func (a Answer) Ran() string { return code.Of(a.Err).Ran() }

// Background is what goes on behind an answer: writes that must still be tried.
type Background struct {
	Ctx context.Context
	WG  *sync.WaitGroup
}

// NewBackground makes a Background that ends with ctx.
func NewBackground(ctx context.Context) Background { return Background{ctx, &sync.WaitGroup{}} }

// Go runs f behind the answer.
func (b Background) Go(f func()) { b.WG.Go(f) }

// Next is the rest of the way.
type Next func(*Ctx) Answer

// Policy is one decision on a job's way: it may answer by itself, or call next
// and do something before and after.
type Policy interface {
	Do(c *Ctx, next Next) Answer
}

// Chain joins policies in order before the last step.
func Chain(last Next, ps ...Policy) Next {
	for i := len(ps) - 1; i >= 0; i-- {
		p, next := ps[i], last
		last = func(c *Ctx) Answer { return p.Do(c, next) }
	}
	return last
}
