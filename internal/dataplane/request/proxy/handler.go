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

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }

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
	params            Params
	dependencies      Dependencies
	next              Next
	routes            atomic.Pointer[versionedIndex]
	freeSlots         *broadcast
	zoneReactivations reactivationTimes

	mu     sync.Mutex
	counts map[string]int64
}

type versionedIndex struct {
	version uint64
	*spec.Index
}

// New makes a handler.
func New(params Params, dependencies Dependencies) *Handler {
	handler := &Handler{params: params, dependencies: dependencies, freeSlots: newBroadcast(), counts: map[string]int64{}}
	handler.next = Chain(handler.forward, dependencies.Policies...)
	return handler
}

// index is that of the table in force, made once a version.
func (handler *Handler) index(view *cluster.View) *spec.Index {
	current := handler.routes.Load()
	if current == nil || current.version != view.Version {
		current = &versionedIndex{view.Version, spec.NewIndex(&view.Table)}
		handler.routes.Store(current)
	}
	return current.Index
}

// Counts is how many jobs were answered with each code.
func (handler *Handler) Counts() map[string]int64 {
	handler.mu.Lock()
	defer handler.mu.Unlock()
	counts := map[string]int64{}
	for name, count := range handler.counts {
		counts[name] = count
	}
	return counts
}

// callerSlack is how long past a job's deadline its caller has to read the answer.
const callerReadGrace = 2 * time.Second

// lastEventHeader names the last event that a caller has (WHATWG, Server-sent events).
const lastEventHeader = "Last-Event-Id"

// ServeHTTP takes one job.
func (handler *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j := &Job{Context: r.Context(), Arrived: time.Now(), View: handler.dependencies.View(), Req: r}
	response := &Response{w: w}
	caller := http.NewResponseController(w)
	// A caller that does not read is not waited for. The deadline holds on for what the
	// server still writes, and the next request on the connection sets its own.
	_ = caller.SetWriteDeadline(j.Arrived.Add(handler.params.StartupWait + callerReadGrace))
	answer := handler.serve(j, response)
	handler.mu.Lock()
	handler.counts[code.Of(answer.Err).Name()]++
	handler.mu.Unlock()
	if answer.Err == nil {
		return
	}
	handler.dependencies.Log.Debug(
		"job not served",
		"job",
		j.Attempt,
		"code",
		int(code.Of(answer.Err)),
		"why",
		answer.Err,
		"took",
		time.Since(j.Arrived),
	)
	if response.headSent || j.Err() != nil {
		// What has begun must not appear complete.
		panic(http.ErrAbortHandler)
	}
	handler.writeError(w, answer)
}

// refuse tells a caller what became of a job, and when to come back.
func (handler *Handler) writeError(w http.ResponseWriter, answer Answer) {
	problem := web.Of(answer.Err)
	if answer.RetryAfter > 0 {
		// Fractions are understood, and rounded up: never back too early.
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(cooldown.WaitMs(answer.RetryAfter))/1000, 'f', 3, 64))
		problem.WaitMs = cooldown.WaitMs(answer.RetryAfter)
		problem.NotBefore = time.Now().Add(answer.RetryAfter + time.Millisecond - 1).UTC().Format("2006-01-02T15:04:05.000Z")
	}
	encoded, _ := json.Marshal(problem)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(code.Code(problem.Code).Status())
	_, _ = w.Write(encoded)
}

func (handler *Handler) serve(j *Job, response *Response) Answer {
	if err := handler.waitUntilReady(j); err != nil {
		return Refuse(err, 200*time.Millisecond)
	}
	j.View = handler.dependencies.View()
	if j.View.Table.Revision == 0 {
		return Refuse(code.New(code.NotReady, "no table of routes yet"), 200*time.Millisecond)
	}
	index := handler.index(j.View)
	j.Path = index.Path(j.Req.Host, rawPath(j.Req))
	if j.Path == nil {
		if host, _, err := net.SplitHostPort(j.Req.Host); err == nil {
			j.Path = index.Path(host, rawPath(j.Req))
		}
	}
	if j.Path != nil && j.Path.Kind == spec.Stream && j.Path.Resumable {
		response.resumable, response.callerLastEventID = true, j.Req.Header.Get(lastEventHeader)
	}
	if j.Path == nil {
		return Answer{Err: code.New(code.NoRoute, "no route for %s%s", j.Req.Host, rawPath(j.Req))}
	}
	if err := handler.authenticate(j, index); err != nil {
		return Answer{Err: err}
	}
	if err := handler.dependencies.Headers.ReadRequest(j.Req, j); err != nil {
		return Answer{Err: err}
	}
	maxBody := handler.params.MaxBody
	if limit := j.View.Table.Limits.BodyBytes; limit > 0 {
		maxBody = limit
	}
	timeout := time.Duration(j.Path.GuardMs) * time.Millisecond
	if j.CallerTimeout > 0 {
		timeout = min(timeout, j.CallerTimeout-handler.params.Margin)
	}
	j.ResponseDeadline = j.Arrived.Add(timeout)
	caller := http.NewResponseController(response.w)
	_ = caller.SetWriteDeadline(j.ResponseDeadline.Add(callerReadGrace))
	content, err := readBodyWithDeadline(caller, j, maxBody)
	if err != nil {
		return Answer{Err: err}
	}
	j.Body = content
	if timeout <= 0 {
		return Refuse(code.New(code.DeadlinePassed, "no time is left"), 0)
	}
	j.Service = index.Service(pickByWeight(j.Path.To, j.routingHash()))
	return handler.next(j, response)
}

// open waits a moment for a node that has just come up to be ready: after a loss of
// power all callers come back at once, and a refusal would cost each a try.
func (handler *Handler) waitUntilReady(j *Job) error {
	for {
		err := handler.dependencies.Ready()
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
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// bodyBy reads an entire body, for as long as the job may take.
func readBodyWithDeadline(caller *http.ResponseController, j *Job, maxBytes int64) ([]byte, error) {
	if j.Req.ContentLength == 0 {
		return nil, nil
	}
	_ = caller.SetReadDeadline(j.ResponseDeadline.Add(callerReadGrace))
	content, err := readBody(j.Req, maxBytes)
	if err == nil {
		_ = caller.SetReadDeadline(time.Time{})
	}
	return content, err
}

// body reads a request's body up to a limit.
func readBody(r *http.Request, maxBytes int64) ([]byte, error) {
	if r.ContentLength > maxBytes {
		return nil, code.New(code.TooLarge, "more than %d bytes", maxBytes)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	var content []byte
	var err error
	if r.ContentLength > 0 {
		content = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, content)
	} else {
		content, err = io.ReadAll(io.LimitReader(r.Body, maxBytes+1))
	}
	if isTimeout(err) {
		return nil, code.New(code.BodyLost, "body did not come in time: %w", err)
	}
	if err != nil {
		return nil, code.New(code.BadJSON, "body can't be read: %w", err)
	}
	if int64(len(content)) > maxBytes {
		return nil, code.New(code.TooLarge, "more than %d bytes", maxBytes)
	}
	return content, nil
}

// draw is a job's draw where a path has several services: the same for all jobs of
// one program, so that what a runner holds of it stays of use.
func (j *Job) routingHash() uint64 {
	key := j.Program
	switch {
	case j.Path.Kind == spec.Keyed && j.OperationKey != "":
		// A repeat goes where the first went.
		key = j.OperationKey
	case key == "":
		key = j.Attempt
	}
	return rendezvousHash(key, j.Path.Name)
}

// perEvent is the output that one event counts for.
func (j *Job) tokensPerEvent() int64 {
	if j.Service == nil || j.Service.Engine == nil {
		return 1
	}
	return j.Service.Engine.TokensPerEvent
}

// noRunner refuses a job that no runner may be sent now.
func noRunner(j *Job, reason string) Answer {
	return Refuse(code.New(code.NoRunner, "no runner of %s: %s", j.Service.Name, reason), 150*time.Millisecond)
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout() || errors.Is(err, context.DeadlineExceeded)
}
