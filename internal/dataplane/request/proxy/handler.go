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
	"damsontiller/internal/transport/membudget"
)

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }

// Params are the settings of the request proxy.
type Params struct {
	MaxBody         int64         // body size limit in bytes where the route table sets none
	Margin          time.Duration // subtracted from the caller's timeout to get the job's deadline
	StartupWait     time.Duration // how long a job waits for a node that has just started
	MaxHoldFraction float64       // fraction of its latency target that a job waits for a free slot
	Avoid           time.Duration // how long a runner is avoided after it could not be reached
	Overload        float64       // multiple of its capacity up to which a runner is used when all are full
	Idle            float64       // utilization below which a runner has no reason to refuse a job
	ListMaxAge      time.Duration // maximum age of a runner list that proves a runner is warmed up
	Turns           TurnParams
	Budgets         BudgetParams
	Operations      OperationParams
	Pool            PoolParams
}

// DefaultParams are the default settings of the request proxy.
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

// Dependencies are the components that a Handler uses.
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
	Memory    *membudget.Budget // for all that is buffered for jobs; nil: without a limit
	Policies  []Policy          // applied before the send, outermost first
}

// Handler serves proxied requests.
type Handler struct {
	params            Params
	deps              Dependencies
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

// New returns a Handler that applies the policies to each job before sending it.
func New(params Params, deps Dependencies) *Handler {
	handler := &Handler{params: params, deps: deps, freeSlots: newBroadcast(), counts: map[string]int64{}}
	handler.next = Chain(handler.forward, deps.Policies...)
	return handler
}

// index returns the route index of a view's table. It is rebuilt when the version changes.
func (handler *Handler) index(view *cluster.View) *spec.Index {
	current := handler.routes.Load()
	if current == nil || current.version != view.Version {
		current = &versionedIndex{view.Version, spec.NewIndex(&view.Table)}
		handler.routes.Store(current)
	}
	return current.Index
}

// Counts returns how many jobs ended with each code.
func (handler *Handler) Counts() map[string]int64 {
	handler.mu.Lock()
	defer handler.mu.Unlock()
	counts := map[string]int64{}
	for name, count := range handler.counts {
		counts[name] = count
	}
	return counts
}

// When a caller may retry a job that was refused, if the reason for the refusal does not tell.
const (
	defaultRetryAfter  = 200 * time.Millisecond
	noRunnerRetryAfter = 150 * time.Millisecond
)

// readyPollInterval is how often a waiting job checks whether the node is ready.
const readyPollInterval = 10 * time.Millisecond

// callerReadGrace is how long after a job's deadline its caller may still read the response.
const callerReadGrace = 2 * time.Second

// lastEventHeader carries the id of the last event that a caller received (WHATWG, Server-sent
// events).
const lastEventHeader = "Last-Event-Id"

// ServeHTTP serves one job.
func (handler *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j := &Job{Context: r.Context(), Arrived: time.Now(), View: handler.deps.View(), Req: r}
	j.memory = handler.deps.Memory.Account()
	defer j.memory.Close()
	response := &Response{w: w, memory: j.memory}
	caller := http.NewResponseController(w)
	// Bounds the time spent on a caller that does not read. The deadline stays in force for what
	// the server still writes; the next request on the connection sets its own.
	_ = caller.SetWriteDeadline(j.Arrived.Add(handler.params.StartupWait + callerReadGrace))
	answer := handler.serve(j, response)
	handler.mu.Lock()
	handler.counts[code.Of(answer.Err).Name()]++
	handler.mu.Unlock()
	if answer.Err == nil {
		return
	}
	handler.deps.Log.Debug(
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
		// A response that has started must not look complete.
		panic(http.ErrAbortHandler)
	}
	handler.writeError(w, answer)
}

// writeError answers a job that failed before its response started, with the time to retry after.
func (handler *Handler) writeError(w http.ResponseWriter, answer Answer) {
	problem := web.FailureOf(answer.Err)
	if answer.RetryAfter > 0 {
		// Callers parse fractions of a second. Rounding up prevents a retry that is too early.
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(cooldown.WaitMs(answer.RetryAfter))/1000, 'f', 3, 64))
		problem.WaitMs = cooldown.WaitMs(answer.RetryAfter)
		problem.NotBefore = time.Now().Add(answer.RetryAfter + time.Millisecond - 1).
			UTC().Format("2006-01-02T15:04:05.000Z")
	}
	encoded, _ := json.Marshal(problem)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(code.Code(problem.Code).Status())
	_, _ = w.Write(encoded)
}

// serve routes and authenticates a job, reads its body and runs the policies.
func (handler *Handler) serve(j *Job, response *Response) Answer {
	if err := handler.waitUntilReady(j); err != nil {
		return Refuse(err, defaultRetryAfter)
	}
	j.View = handler.deps.View()
	if j.View.Table.Revision == 0 {
		return Refuse(code.New(code.NotReady, "no table of routes yet"), defaultRetryAfter)
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
	if err := handler.deps.Headers.ReadRequest(j.Req, j); err != nil {
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
	if code.Of(err) == code.MemoryFull {
		return Refuse(err, defaultRetryAfter)
	}
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

// waitUntilReady waits up to StartupWait for a node that has just started to become ready. After a
// power loss all callers reconnect simultaneously, and a refusal would cost each of them an attempt.
func (handler *Handler) waitUntilReady(j *Job) error {
	for {
		err := handler.deps.Ready()
		if code.Of(err) != code.NotReady || time.Since(j.Arrived) > handler.params.StartupWait {
			return err
		}
		if !loop.Wait(j, readyPollInterval) {
			return err
		}
	}
}

// rawPath returns the request path as received, without unescaping.
func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// readBodyWithDeadline reads the entire body before the job's deadline.
func readBodyWithDeadline(caller *http.ResponseController, j *Job, maxBytes int64) ([]byte, error) {
	if j.Req.ContentLength == 0 {
		return nil, nil
	}
	_ = caller.SetReadDeadline(j.ResponseDeadline.Add(callerReadGrace))
	content, err := readBody(j.Req, maxBytes, j.memory)
	if err == nil {
		_ = caller.SetReadDeadline(time.Time{})
	}
	return content, err
}

// maxTrustedLength is the largest announced length for which memory is allocated before the bytes
// arrive.
const maxTrustedLength = 64 << 10

// readBody reads a request body up to a size limit, into memory of the account.
func readBody(r *http.Request, maxBytes int64, memory *membudget.Account) ([]byte, error) {
	if r.ContentLength > maxBytes {
		return nil, code.New(code.TooLarge, "more than %d bytes", maxBytes)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	content, err := readContent(r, maxBytes, memory)
	if code.Of(err) == code.MemoryFull {
		return nil, err
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

// readContent reads a body that is not empty.
func readContent(r *http.Request, maxBytes int64, memory *membudget.Account) ([]byte, error) {
	switch {
	case r.ContentLength < 0:
		return memory.ReadUpTo(r.Body, maxBytes+1)
	case r.ContentLength > maxTrustedLength:
		return memory.ReadUpTo(r.Body, r.ContentLength)
	}
	if err := memory.Grow(r.ContentLength); err != nil {
		return nil, err
	}
	content := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, content)
	return content, err
}

// routingHash selects one of a path's services for a job. It is the same for all jobs of a program,
// so that the program keeps using the caches of the same service.
func (j *Job) routingHash() uint64 {
	key := j.Program
	switch {
	case j.Path.Kind == spec.Keyed && j.OperationKey != "":
		// A repeated request goes to the service of the first one.
		key = j.OperationKey
	case key == "":
		key = j.Attempt
	}
	return rendezvousHash(key, j.Path.Name)
}

// tokensPerEvent is the number of output tokens that one event counts for.
func (j *Job) tokensPerEvent() int64 {
	if j.Service == nil || j.Service.Engine == nil {
		return 1
	}
	return j.Service.Engine.TokensPerEvent
}

// noRunner refuses a job for which no runner is available.
func noRunner(j *Job, reason string) Answer {
	return Refuse(code.New(code.NoRunner, "no runner of %s: %s", j.Service.Name, reason), noRunnerRetryAfter)
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout() || errors.Is(err, context.DeadlineExceeded)
}
