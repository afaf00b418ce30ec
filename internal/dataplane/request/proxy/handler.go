package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/web"
	"damsontiller/internal/dataplane/balancing/endpoints"
	"damsontiller/internal/dataplane/cooldown"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// Params are the settings of proxied requests.
type Params struct {
	MaxBody         int64         // bytes of a body taken where the table says nothing
	Margin          time.Duration // the deadline lies so far before the caller's
	StartupWait     time.Duration // how long a job waits for a node that has just come up
	MaxHoldFraction float64       // part of its latency target that a job is held for a free place
	Avoid           time.Duration // how long a runner that could not be reached is kept away from
	Overload        float64       // times its capacity that a runner may be sent, where all are full
	Idle            float64       // part of its capacity under which a runner has no reason to refuse
	ListMaxAge      time.Duration // how old a reading of the list may be to prove a runner warm
	Turns           TurnParams
	Budgets         BudgetParams
	Operations      OperationParams
	Pool            PoolParams
}

// DefaultParams are the design's.
var DefaultParams = Params{
	MaxBody:         4 << 20,
	Margin:          15 * time.Millisecond,
	StartupWait:     time.Second,
	MaxHoldFraction: 0.25,
	Avoid:           time.Second,
	Overload:        3,
	Idle:            0.7,
	ListMaxAge:      2 * time.Second,
	Turns:           DefaultTurns,
	Budgets:         DefaultBudgets,
	Operations:      DefaultOperations,
	Pool:            DefaultPool,
}

// Dependencies are what a handler is joined to.
type Dependencies struct {
	Self      *wire.Member
	View      func() *cluster.View
	Members   func() []*wire.Member
	Ready     func() error
	Endpoints *endpoints.Store
	Load      *Load
	Pool      *Pool
	Cooldowns *cooldown.Manager
	Headers   Headers
	Log       hclog.Logger
	Policies  []Policy // before the send, outermost first
}

// Handler takes proxied requests and sees each to its answer.
type Handler struct {
	params      Params
	parts       Dependencies
	next        Next
	routes      atomic.Pointer[index]
	freeSlots   *broadcast
	zoneRefills refillTimes

	mu     sync.Mutex
	counts map[string]int64
}

type index struct {
	ver uint64
	*spec.Index
}

// New makes a handler.
func New(p Params, parts Dependencies) *Handler {
	handler := &Handler{params: p, parts: parts, freeSlots: newBroadcast(), counts: map[string]int64{}}
	handler.next = Chain(handler.forward, parts.Policies...)
	return handler
}

// index is that of the table in force, made once a version.
func (handler *Handler) index(v *cluster.View) *spec.Index {
	x := handler.routes.Load()
	if x == nil || x.ver != v.Version {
		x = &index{v.Version, spec.NewIndex(&v.Table)}
		handler.routes.Store(x)
	}
	return x.Index
}

// Counts is how many jobs were answered with each code.
func (handler *Handler) Counts() map[string]int64 {
	handler.mu.Lock()
	defer handler.mu.Unlock()
	out := map[string]int64{}
	for k, n := range handler.counts {
		out[k] = n
	}
	return out
}

// callerSlack is how long past a job's deadline its caller has to read the answer.
const callerSlack = 2 * time.Second

// lastEventHeader names the last event that a caller has (WHATWG, Server-sent events).
const lastEventHeader = "Last-Event-Id"

// ServeHTTP takes one job.
func (handler *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j := &Job{Context: r.Context(), Arrived: time.Now(), View: handler.parts.View(), Req: r}
	response := &Response{w: w}
	caller := http.NewResponseController(w)
	// A caller that does not read is not waited for. The deadline holds on for what the
	// server still writes, and the next request on the connection sets its own.
	_ = caller.SetWriteDeadline(j.Arrived.Add(handler.params.StartupWait + callerSlack))
	a := handler.do(j, response)
	handler.mu.Lock()
	handler.counts[code.Of(a.Err).Name()]++
	handler.mu.Unlock()
	if a.Err == nil {
		return
	}
	handler.parts.Log.Debug(
		"job not served",
		"job",
		j.Attempt,
		"code",
		int(code.Of(a.Err)),
		"why",
		a.Err,
		"took",
		time.Since(j.Arrived),
	)
	if response.begun || j.Err() != nil {
		// What has begun must not appear complete.
		panic(http.ErrAbortHandler)
	}
	handler.refuse(w, a)
}

// refuse tells a caller what became of a job, and when to come back.
func (handler *Handler) refuse(w http.ResponseWriter, a Answer) {
	p := web.Of(a.Err)
	if a.RetryAfter > 0 {
		// Fractions are understood, and rounded up: never back too early.
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(cooldown.WaitMs(a.RetryAfter))/1000, 'f', 3, 64))
		p.WaitMs = cooldown.WaitMs(a.RetryAfter)
		p.NotBefore = time.Now().Add(a.RetryAfter + time.Millisecond - 1).UTC().Format("2006-01-02T15:04:05.000Z")
	}
	b, _ := json.Marshal(p)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(code.Code(p.Code).Status())
	_, _ = w.Write(b)
}

func (handler *Handler) do(j *Job, response *Response) Answer {
	if err := handler.open(j); err != nil {
		return Refuse(err, 200*time.Millisecond)
	}
	j.View = handler.parts.View()
	if j.View.Table.Revision == 0 {
		return Refuse(code.New(code.NotReady, "no table of routes yet"), 200*time.Millisecond)
	}
	x := handler.index(j.View)
	j.Path = x.Path(j.Req.Host, rawPath(j.Req))
	if j.Path == nil {
		if h, _, err := net.SplitHostPort(j.Req.Host); err == nil {
			j.Path = x.Path(h, rawPath(j.Req))
		}
	}
	if j.Path != nil && j.Path.Kind == spec.Stream && j.Path.Resumable {
		response.resumable, response.callerHas = true, j.Req.Header.Get(lastEventHeader)
	}
	if j.Path == nil {
		return Answer{Err: code.New(code.NoRoute, "no route for %s%s", j.Req.Host, rawPath(j.Req))}
	}
	if err := handler.authenticate(j, x); err != nil {
		return Answer{Err: err}
	}
	if err := handler.parts.Headers.ReadRequest(j.Req, j); err != nil {
		return Answer{Err: err}
	}
	most := handler.params.MaxBody
	if n := j.View.Table.Limits.BodyBytes; n > 0 {
		most = n
	}
	patience := time.Duration(j.Path.GuardMs) * time.Millisecond
	if j.CallerTimeout > 0 {
		patience = min(patience, j.CallerTimeout-handler.params.Margin)
	}
	j.ResponseDeadline = j.Arrived.Add(patience)
	caller := http.NewResponseController(response.w)
	_ = caller.SetWriteDeadline(j.ResponseDeadline.Add(callerSlack))
	b, err := bodyBy(caller, j, most)
	if err != nil {
		return Answer{Err: err}
	}
	j.Body = b
	if patience <= 0 {
		return Refuse(code.New(code.DeadlinePassed, "no time is left"), 0)
	}
	j.Service = x.Service(pickByWeight(j.Path.To, j.draw()))
	return handler.next(j, response)
}

// open waits a moment for a node that has just come up to be ready: after a loss of
// power all callers come back at once, and a refusal would cost each a try.
func (handler *Handler) open(j *Job) error {
	for {
		err := handler.parts.Ready()
		if code.Of(err) != code.NotReady || time.Since(j.Arrived) > handler.params.StartupWait {
			return err
		}
		if !loop.Wait(j, 10*time.Millisecond) {
			return err
		}
	}
}

// rawPath is the path as it came, not unescaped.
func rawPath(r *http.Request) string {
	p, _, _ := strings.Cut(r.RequestURI, "?")
	return p
}

// bodyBy reads an entire body, for as long as the job may take.
func bodyBy(caller *http.ResponseController, j *Job, most int64) ([]byte, error) {
	if j.Req.ContentLength == 0 {
		return nil, nil
	}
	_ = caller.SetReadDeadline(j.ResponseDeadline.Add(callerSlack))
	b, err := body(j.Req, most)
	if err == nil {
		_ = caller.SetReadDeadline(time.Time{})
	}
	return b, err
}

// body reads a request's body up to a limit.
func body(r *http.Request, most int64) ([]byte, error) {
	if r.ContentLength > most {
		return nil, code.New(code.TooLarge, "more than %d bytes", most)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	var b []byte
	var err error
	if r.ContentLength > 0 {
		b = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, b)
	} else {
		b, err = io.ReadAll(io.LimitReader(r.Body, most+1))
	}
	if isTimeout(err) {
		return nil, code.New(code.BodyLost, "body did not come in time: %w", err)
	}
	if err != nil {
		return nil, code.New(code.BadJSON, "body can't be read: %w", err)
	}
	if int64(len(b)) > most {
		return nil, code.New(code.TooLarge, "more than %d bytes", most)
	}
	return b, nil
}

// draw is a job's draw where a path has several services: the same for all jobs of
// one program, so that what a runner holds of it stays of use.
func (j *Job) draw() uint64 {
	k := j.Program
	switch {
	case j.Path.Kind == spec.Keyed && j.OperationKey != "":
		// A repeat goes where the first went.
		k = j.OperationKey
	case k == "":
		k = j.Attempt
	}
	return weigh(k, j.Path.Name)
}

// perEvent is the output that one event counts for.
func (j *Job) perEvent() int64 {
	if j.Service == nil || j.Service.Engine == nil {
		return 1
	}
	return j.Service.Engine.TokensPerEvent
}

// noRunner refuses a job that no runner may be sent now.
func noRunner(j *Job, why string) Answer {
	return Refuse(code.New(code.NoRunner, "no runner of %s: %s", j.Service.Name, why), 150*time.Millisecond)
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout() || errors.Is(err, context.DeadlineExceeded)
}
