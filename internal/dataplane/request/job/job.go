// Package job defines the context that accompanies a job through the request path, the
// policies of that path, and the job's answer.
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

// Ctx is the context of one job: its request, its deadline and what policies record on it.
type Ctx struct {
	context.Context
	ID      string
	Origin  string // remote address of the caller
	Program string
	// StartedBy is the program that started this one, a sub-agent. Root is the program at the
	// root of that tree, whose budget all of them spend. ProgramEnd is when the program ends
	// according to its caller, on the local clock.
	StartedBy       string
	Root            string
	ProgramEnd      time.Time
	Class           string
	Urgent          bool
	Priority        int // index of the class in the spec's order
	Route           string
	Key             string // Idempotency-Key; empty: the job may be repeated
	Hash            string // of the path and body, to detect a key that was used for another job
	Parts           []string
	RequestedOutput int64 // output limit requested
	MaxOutput       int64 // output limit granted
	Prompt          string
	Follows         string
	Conv            string // conversation class
	History         []Line
	// AnswerBy is the deadline of the answer on the local clock: the earlier of the end of the
	// caller's wait and the program's end, counted from arrival.
	AnswerBy time.Time
	View     *cluster.View // the spec in force at ingress
	Log      hclog.Logger
	// Runner is the picked runner; empty before the first pick.
	Runner Runner
	// ForwardedAt is when the job was last forwarded to a runner.
	ForwardedAt time.Time
	// Order is the job's position within its class, set by the policy. Decisions records how
	// each of its runners was picked.
	Order     float64
	Decisions []Decision
	// CooldownReadAt is when the read of the runner's cooldown was requested, CooldownVersion
	// the spec version that it was answered under. Forwarding the job depends on both.
	CooldownReadAt  clock.Moment
	CooldownVersion uint64
	// ClaimVer is the version of the claim on the key as read at ingress. Started reports that
	// the claim says 'started' for this job. NoOtherAttempt reports that no request with its
	// key that arrived before this one's answer can still run.
	ClaimVer       uint64
	Started        bool
	NoOtherAttempt bool
	// Point is called at each numbered point of the request path; nil outside tests.
	Point func(Point, *Ctx)
	// Spent is the output that the runner reported, PrefixHit whether the prefix was cached.
	Spent     int64
	PrefixHit bool
}

// Point is a numbered point of the request path at which a test can inject a fault.
type Point int

// The points, in order.
const (
	Parsed           Point = iota + 1 // parsed at ingress
	Claimed                           // the claim on its key is read
	HistoryRead                       // its history is read
	Reserved                          // its budget is reserved
	Picked                            // it has a runner and a slot
	CooldownRead                      // its runner's cooldown is read
	Started                           // its claim says 'started'
	Passing                           // right before the checks that precede the first byte sent
	ResponseReceived                  // the runner has answered; nothing is written to the stores yet
	Points           = int(ResponseReceived)
)

// At calls the test hook for a point of the request path, if there is one.
func (c *Ctx) At(p Point) {
	if c.Point != nil {
		c.Point(p, c)
	}
}

// Ran reports whether the job ran: "no", "yes" or "unknown". For a job with a key, "no" is
// certain only if no earlier request with its key ran or will run; otherwise it is "unknown".
func (c *Ctx) Ran(a Answer) string {
	w := a.Ran()
	if w == "no" && c.Key != "" && !c.NoOtherAttempt && code.Of(a.Err).IsRejection() {
		return "unknown"
	}
	return w
}

// Decision is how a runner was picked: the policy, and the rank of each candidate.
type Decision struct {
	Policy string `json:"policy"`
	Picked string `json:"elected"`
	Spec   uint64 `json:"spec"` // spec version in force
	Ranks  []Rank `json:"ranks"`
}

// Rank is one candidate runner and its rank.
type Rank struct {
	Runner string  `json:"runner"`
	Zone   string  `json:"zone"`
	Free   int64   `json:"free"`
	Prefix float64 `json:"prefix"`
	Rank   float64 `json:"rank"`
}

// Line is one turn of a conversation's history.
type Line struct {
	Words  string `json:"words"`
	Answer string `json:"answer"`
}

// Runner is a picked runner.
type Runner struct {
	Index       int
	Name        string
	Addr        string
	CooldownKey string // key of its cooldown
	Incarnation string // of the process that the slot was granted for
	Admission   Admission
}

// Admission is the place of a call among those that a runner's cooldown allows.
type Admission interface {
	Succeeded() // the call was not refused
	End()       // returns the place once the call has ended
}

// Left returns the time until the deadline.
func (c *Ctx) Left() time.Duration { return time.Until(c.AnswerBy) }

// Fits reports whether the deadline leaves time for the call after a wait.
func (c *Ctx) Fits(wait, callTime time.Duration) bool { return wait+callTime <= c.Left() }

// Answer is the outcome of a job.
type Answer struct {
	Err  error
	Body json.RawMessage
	// Wait is how long the caller should wait before a retry, counted from Since or, if that is
	// zero, from the moment the answer is written.
	Wait  time.Duration
	Since time.Time
	// Retryable means that the job may be forwarded to a runner again.
	Retryable bool
}

// Success returns the answer of a complete response.
func Success(body json.RawMessage) Answer { return Answer{Body: body} }

// Failure returns the answer of a failure with a code.
func Failure(c code.Code, format string, a ...any) Answer {
	return Answer{Err: code.New(c, format, a...)}
}

// RemainingWait returns what is left of the wait. If it has passed, the minimum of 1 ms is
// returned instead of zero, as a retry would succeed.
func (a Answer) RemainingWait() time.Duration {
	if a.Wait <= 0 || a.Since.IsZero() {
		return a.Wait
	}
	return max(a.Wait-time.Since(a.Since), time.Millisecond)
}

// Ran reports whether the job ran: "no", "yes" or "unknown".
func (a Answer) Ran() string { return code.Of(a.Err).Ran() }

// Background runs work that outlives an answer: writes that must still be attempted.
type Background struct {
	Ctx context.Context
	WG  *sync.WaitGroup
}

// NewBackground returns a Background whose work is bounded by ctx.
func NewBackground(ctx context.Context) Background { return Background{ctx, &sync.WaitGroup{}} }

// Go runs f in the background.
func (b Background) Go(f func()) { b.WG.Go(f) }

// Next is the remainder of the request path.
type Next func(*Ctx) Answer

// Policy is one step of the request path: it may answer by itself, or call next and act
// before and after it.
type Policy interface {
	Do(c *Ctx, next Next) Answer
}

// Chain returns the request path of the policies in order, followed by the last step.
func Chain(last Next, ps ...Policy) Next {
	for i := len(ps) - 1; i >= 0; i-- {
		p, next := ps[i], last
		last = func(c *Ctx) Answer { return p.Do(c, next) }
	}
	return last
}
