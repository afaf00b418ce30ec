// Package edge is the data plane's edge role: it assembles the request path of jobs and runs
// its background tasks.
package edge

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"damsontiller/internal/coordination/metrics"
	"damsontiller/internal/coordination/node"
	"damsontiller/internal/coordination/singleton"
	"damsontiller/internal/coordination/storeclient"
	"damsontiller/internal/coordination/web"
	"damsontiller/internal/dataplane/balancing/assignment"
	"damsontiller/internal/dataplane/balancing/backlog"
	"damsontiller/internal/dataplane/balancing/balancer"
	"damsontiller/internal/dataplane/balancing/intern"
	"damsontiller/internal/dataplane/balancing/policy"
	"damsontiller/internal/dataplane/balancing/slots"
	"damsontiller/internal/dataplane/cooldown"
	"damsontiller/internal/dataplane/programs/budget"
	"damsontiller/internal/dataplane/programs/conversation"
	"damsontiller/internal/dataplane/programs/idempotency"
	"damsontiller/internal/dataplane/quota"
	"damsontiller/internal/dataplane/request/call"
	"damsontiller/internal/dataplane/request/job"
	"damsontiller/internal/dataplane/request/turnapi"
	"damsontiller/internal/dataplane/trace"
	"damsontiller/internal/dataplane/traffic"
	"damsontiller/internal/proto/keys"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
	"damsontiller/internal/transport/membudget"
)

// Params are the edge's settings.
type Params struct {
	API          turnapi.Params
	Cooldown     cooldown.Params
	Assignment   assignment.Params
	Backlog      backlog.Params
	SlotInterval time.Duration // interval between requests for slots
	ReadTimeout  time.Duration // timeout of one read from the stores before a job is forwarded
	WriteTimeout time.Duration // timeout of one attempt to commit the output of a turn to its budget
	// Point is called at each numbered point of a job's request path, for tests.
	Point            func(job.Point, *job.Ctx)
	LateWriteTimeout time.Duration // timeout of writes that follow a missed deadline
	OpenTimeout      time.Duration // time until ingress opens even with too few slots
	RecordedJobs     int           // capacity of the recorder and of the trace journal
	// Memory is the budget for what is buffered of proxied requests and their answers; nil means
	// no limit.
	Memory *membudget.Budget
	// ProxyOnly disables the background tasks of named turns and calls: no slots are
	// requested or assigned, and the spec's runners are not polled.
	ProxyOnly bool
}

// DefaultParams are the default settings.
var DefaultParams = Params{
	API:              turnapi.DefaultParams,
	Cooldown:         cooldown.DefaultParams,
	Assignment:       assignment.DefaultParams,
	Backlog:          backlog.DefaultParams,
	SlotInterval:     250 * time.Millisecond,
	ReadTimeout:      300 * time.Millisecond,
	WriteTimeout:     time.Second,
	LateWriteTimeout: 2 * time.Second,
	OpenTimeout:      3 * time.Second,
	RecordedJobs:     8192,
}

// Edge is one edge process.
type Edge struct {
	*node.Node
	params     Params
	API        *turnapi.Handler
	Cooldowns  *cooldown.Manager
	directory  *balancer.Directory
	slots      *slots.Table
	stores     *storeclient.Client
	backlog    *backlog.Backlog
	Epochs     *singleton.EpochGuard
	assigner   *singleton.Role
	wakeup     loop.Wakeup
	recorder   *traffic.Recorder
	traces     *trace.Journal
	selector   *policy.Selector
	background job.Background
	ready      atomic.Bool
	// joined reports that the edge is a member and has the spec that a majority holds.
	joined atomic.Bool
	// lastGrant is when slots were last assigned to this edge, firstGrant when the current
	// uninterrupted series of grants began. Only the goroutine that requests slots uses them.
	lastGrant, firstGrant time.Time
	stopping              atomic.Bool
	// proxy forwards proxied requests; nil if the edge serves none.
	proxy *Proxy
}

// New returns an edge. ctx bounds the background work that outlives an answer.
func New(ctx context.Context, params Params, np node.Params) *Edge {
	e := &Edge{
		Node:       node.New(np),
		params:     params,
		Epochs:     &singleton.EpochGuard{},
		wakeup:     loop.NewWakeup(),
		background: job.NewBackground(ctx),
	}
	stores := storeclient.New(e.Peer, e.Cluster, e.Proposer)
	runners := &intern.Table{}
	e.stores = stores
	e.slots = slots.New(runners)
	e.Cooldowns = cooldown.New(params.Cooldown, e.Node, stores)
	e.selector = policy.New(e.Cluster, e.Log.Named("policy"))
	e.directory = balancer.New(e.Node, runners, e.slots, e.Cooldowns, e.selector)
	e.backlog = backlog.New(params.Backlog, e.directory, e.slots, e.selector)
	params.Assignment.LastState = e.directory.LastState
	e.assigner = &singleton.Role{
		Name:         keys.AssignerRole,
		Peer:         e.Peer,
		Cluster:      e.Cluster,
		Lease:        e.Lease,
		Stores:       stores,
		Epochs:       e.Epochs,
		SuspectAfter: time.Second,
	}
	params.Assignment.SinceConfirmed = e.assigner.SinceConfirmed
	e.assigner.Work = assignment.New(params.Assignment, e.Node, e.Epochs).Work
	caller := &call.Caller{
		Cooldowns:   e.Cooldowns,
		Directory:   e.directory,
		Slots:       e.slots,
		OnDeparture: e.reportDeparture,
		Web:         call.NewWeb(params.Assignment.Transport),
		Avoid:       2 * time.Second,
	}

	// The order of the policies on the request path. An outer policy records its state before
	// the inner ones run and commits it after them.
	innerPolicies := []job.Policy{
		cooldown.Precheck{Manager: e.Cooldowns, Keys: e.directory.CooldownKeys},
		call.Retry{CallTime: params.Cooldown.CallTime},
		e.backlog,
		call.CooldownCheck{Cooldowns: e.Cooldowns},
		idempotency.Start{Stores: stores, ReadTimeout: params.ReadTimeout},
	}
	idempotencyPolicy := idempotency.Policy{
		Stores:           stores,
		ReadTimeout:      params.ReadTimeout,
		WriteTimeout:     params.WriteTimeout,
		LateWriteTimeout: params.LateWriteTimeout,
		Background:       e.background,
	}
	budgetPolicy := budget.Policy{
		Stores:         stores,
		ReserveTimeout: params.ReadTimeout,
		CommitTimeout:  params.WriteTimeout,
		Background:     e.background,
	}
	turns := append(
		[]job.Policy{
			idempotencyPolicy,
			conversation.Policy{
				Stores:           stores,
				ReadTimeout:      params.ReadTimeout,
				LateWriteTimeout: params.LateWriteTimeout,
				Background:       e.background,
			},
			budgetPolicy,
		},
		innerPolicies...)
	calls := append([]job.Policy{idempotencyPolicy, budget.SubagentPolicy{Policy: budgetPolicy}}, innerPolicies...)
	e.API = &turnapi.Handler{
		Params: params.API,
		ID:     np.Self.Id + "-" + strconv.FormatUint(e.Peer.Self.Inc, 36),
		Log:    e.Log.Named("turnapi"),
		View:   e.Cluster.Now,
		Ready:  e.checkOpen,
		Point:  params.Point,
		Turn:   job.Chain(caller.Do, turns...),
		Call:   job.Chain(caller.Do, calls...),
	}
	e.recorder, e.traces = traffic.NewRecorder(params.RecordedJobs), trace.New(params.RecordedJobs)
	e.API.OnAnswer = func(c *job.Ctx, a job.Answer, took time.Duration) {
		e.recorder.Add(e.Peer.Self.Id, e.Peer.Self.Zone, c, a, took)
		e.traces.Add(c, a, took)
	}
	return e
}

// checkOpen reports whether ingress is open.
func (e *Edge) checkOpen() error {
	switch {
	case !e.ready.Load():
		return code.New(code.NotReady, "this node has just come up, ask another")
	case e.stopping.Load():
		return code.New(code.Stopping, "this node stops, ask another")
	case e.stores.Unreachable():
		return code.New(code.StoresUnreachable, "the stores are out of reach, ask another")
	}
	return nil
}

// Routes registers the edge's HTTP API on x.
func (e *Edge) Routes(x *echo.Echo) {
	e.API.Routes(x)
	x.GET("/v1/traffic", func(c echo.Context) error {
		after, err := strconv.Atoi(c.QueryParam("after"))
		if err != nil || after < 0 {
			return web.Fail(c, code.New(code.BadField, "after: %q is not a row's number", c.QueryParam("after")))
		}
		return c.JSON(http.StatusOK, e.recorder.After(after))
	})
	metrics.Routes(x, e.metricRows)
	x.GET("/v1/trace/:job", e.handleTrace)
	x.GET("/v1/status", func(c echo.Context) error { return c.JSON(http.StatusOK, e.status()) })
}

// handleTrace returns how a job's runners were picked. A job's ID begins with the ID of its
// edge, so every edge can redirect to the one that holds the trace.
func (e *Edge) handleTrace(x echo.Context) error {
	id := x.Param("job")
	if edgeID, _, _ := strings.Cut(id, "-"); edgeID != e.Peer.Self.Id {
		for _, m := range e.Lease.Members() {
			if m.Role == "edge" && m.Id == edgeID {
				return x.Redirect(http.StatusTemporaryRedirect, "http://"+m.Http+x.Request().URL.RequestURI())
			}
		}
	}
	r, err := e.traces.Get(id)
	if err != nil {
		return web.Fail(x, err)
	}
	return x.JSON(http.StatusOK, r)
}

// metricRows returns the edge's metrics.
func (e *Edge) metricRows() []metrics.Sample {
	s := e.status()
	out := append(
		e.MetricSamples(),
		metrics.Sample{Name: "waiting", Help: "Jobs in the backlog.", Value: float64(s.Waiting)},
		metrics.Sample{
			Name:    "cooldowns_installed_total",
			Help:    "Cooldowns written by this edge.",
			Value:   float64(s.Installs),
			Counter: true,
		},
		metrics.Sample{
			Name:    "policy_fallbacks_total",
			Help:    "Decisions in which a policy program failed.",
			Value:   float64(s.PolicyFallbacks),
			Counter: true,
		},
	)
	for k, n := range s.Counts {
		out = append(
			out,
			metrics.Sample{
				Name:       "jobs_total",
				Help:       "Jobs answered, by the code's name.",
				Label:      "code",
				LabelValue: k,
				Value:      float64(n),
				Counter:    true,
			},
		)
	}
	if e.proxy != nil {
		out = append(out, e.proxy.metricRows()...)
	}
	for k, n := range s.Slots {
		const help = "Slots that this edge has of a runner."
		out = append(out, metrics.Sample{Name: "slots", Help: help, Label: "runner", LabelValue: k, Value: float64(n)})
	}
	for k, n := range s.Cooling {
		out = append(
			out,
			metrics.Sample{
				Name:       "cooling_seconds",
				Help:       "What is left of a cooldown.",
				Label:      "key",
				LabelValue: k,
				Value:      float64(n) / 1000,
			},
		)
	}
	return out
}

// Fallbacks returns the number of decisions in which a policy program failed.
func (e *Edge) Fallbacks() int64 { return e.selector.Fallbacks.Load() }

// Status is the edge's status as served by GET /v1/status.
type Status struct {
	ID              string           `json:"id"`
	Ready           bool             `json:"ready"`
	Spec            uint64           `json:"spec"`
	Waiting         int              `json:"waiting"`
	Epoch           uint64           `json:"deal_epoch"`
	Counts          map[string]int64 `json:"counts"`
	Rounds          uint64           `json:"register_rounds"`
	Sent            uint64           `json:"messages_sent"`
	Installs        uint64           `json:"cooldowns_installed"`
	Slots           map[string]int   `json:"slots"`
	Cooling         map[string]int64 `json:"cooling_ms"`
	Policy          string           `json:"policy"`
	Share           int              `json:"policy_share"`
	PolicyFallbacks int64            `json:"policy_fallbacks"`
	// Proxied counts the proxied requests by the name of the code of their answer. Quotas is
	// this edge's quota state of the tenants that sent requests to it recently.
	Proxied map[string]int64       `json:"proxied,omitempty"`
	Quotas  map[string]quota.State `json:"quotas,omitempty"`
	// Reporters is the number of edges that report their load to this one.
	Reporters int `json:"load_reporters"`
}

func (e *Edge) status() Status {
	s := Status{
		ID:              e.Peer.Self.Id,
		Ready:           e.checkOpen() == nil,
		Spec:            e.Cluster.Now().Version,
		Waiting:         e.backlog.Len(),
		Epoch:           e.Epochs.Highest(),
		Counts:          e.API.Counts(),
		Rounds:          e.Proposer.Rounds.Load(),
		Sent:            e.Peer.Sent(),
		Installs:        e.Cooldowns.Installs(),
		Slots:           map[string]int{},
		Cooling:         e.Cooldowns.Active(),
		Policy:          policy.Builtin,
		PolicyFallbacks: e.selector.Fallbacks.Load(),
	}
	if l := e.Cluster.Now().Spec.Live; l != nil {
		s.Policy, s.Share = l.Policy, l.Share
	}
	if e.proxy != nil {
		s.Proxied, s.Quotas = e.proxy.Counts(), e.proxy.quotas.States()
		s.Reporters = e.proxy.loadReport.Reporters()
	}
	for _, h := range e.slots.Report() {
		s.Slots[h.Runner] = int(h.Plain + h.Urgent)
	}
	return s
}

// Start listens, joins the cluster and starts the background tasks, which end with ctx.
// Ingress opens once there are slots. The HTTP server lets jobs in progress finish.
func (e *Edge) Start(ctx context.Context) error {
	if err := e.Peer.Serve(ctx); err != nil {
		return err
	}
	if err := e.Discover(ctx); err != nil {
		return err
	}
	if err := e.Join(ctx); err != nil {
		return err
	}
	e.Run(ctx)
	e.joined.Store(true)
	e.Go(ctx, e.stores.Run)
	e.Go(ctx, e.Cooldowns.Run)
	if e.params.ProxyOnly {
		return nil
	}
	e.Go(ctx, e.backlog.Run)
	e.Go(ctx, e.assigner.Run)
	e.Go(ctx, func(ctx context.Context) { loop.Every(ctx, e.params.SlotInterval, e.wakeup, e.requestSlots) })
	return nil
}

// Stop closes ingress and answers the waiting jobs. Running jobs continue.
func (e *Edge) Stop() {
	e.stopping.Store(true)
	e.backlog.Stop()
}

// WaitBackground waits up to d for the background work of answered jobs.
func (e *Edge) WaitBackground(d time.Duration) {
	done := make(chan struct{})
	go func() { defer close(done); e.background.WG.Wait() }()
	select {
	case <-done:
	case <-time.After(d):
		e.Log.Warn("stopped before all background writes finished")
	}
}

// updateOpen opens ingress once this edge has slots for every route, after a start and after a
// period without slots because it was frozen or partitioned. Before that, jobs would only wait
// here for slots that other edges have. If slots are scarce it opens after OpenTimeout anyway,
// since slots are assigned where jobs wait.
func (e *Edge) updateOpen(at time.Time, coversAllRoutes bool) {
	if at.Sub(e.lastGrant) > e.params.Assignment.Term {
		e.firstGrant = at
		e.ready.Store(false)
	}
	e.lastGrant = at
	if coversAllRoutes || at.Sub(e.firstGrant) > e.params.OpenTimeout {
		e.ready.Store(true)
	}
}

// requestSlots requests slots from the current assigner.
func (e *Edge) requestSlots(ctx context.Context) {
	for _, m := range singleton.SuccessionOrder(e.Cluster.Now(), e.Lease.Members()) {
		requestedAt := time.Now()
		r, err := e.Peer.CallWithTimeout(
			ctx,
			e.params.Assignment.Term/4,
			m.Addr,
			&wire.Req{Op: &wire.Req_Deal{Deal: &wire.Deal{
				Epoch: e.Epochs.Highest(), Held: e.slots.Report(), Waiting: e.backlog.Waiting()}}},
		)
		if err != nil {
			// Not the assigner, or unreachable: the next candidate may be it.
			if a := r.GetDeal(); a != nil && m.Id != e.Peer.Self.Id {
				e.Epochs.ObserveContact(time.Duration(a.QuietMs) * time.Millisecond)
			}
			continue
		}
		a := r.GetDeal()
		if err := e.Epochs.Admit(a.Epoch); err != nil {
			e.Log.Warn("rejected slots of an outdated assigner", "id", m.Id, "err", err)
			continue
		}
		e.slots.Update(requestedAt, time.Duration(a.TermMs)*time.Millisecond, a.Slots)
		e.updateOpen(requestedAt, e.directory.CoversAllRoutes(a.Slots))
		e.backlog.Notify()
		return
	}
}

// reportDeparture notifies the assigner, which then polls the runner immediately.
func (e *Edge) reportDeparture(runner, why string) {
	e.Log.Info("runner appears to be shutting down", "runner", runner, "why", why)
	go func() {
		for _, m := range singleton.SuccessionOrder(e.Cluster.Now(), e.Lease.Members()) {
			request := &wire.Req{Op: &wire.Req_Tell{Tell: &wire.Tell{Runner: runner, Why: why}}}
			_, err := e.Peer.CallWithTimeout(context.Background(), 500*time.Millisecond, m.Addr, request)
			if err == nil {
				e.wakeup.Notify()
				return
			}
		}
	}()
}
