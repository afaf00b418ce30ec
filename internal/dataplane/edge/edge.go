// Package edge is the data plane's edge role: it joins the parts of a job's
// way, in one fixed order, and runs their background tasks.
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
)

// Params are the edge's settings.
type Params struct {
	API          turnapi.Params
	Cooldown     cooldown.Params
	Assignment   assignment.Params
	Backlog      backlog.Params
	SlotInterval time.Duration // between two requests for slots
	ReadTimeout  time.Duration // deadline of one request to the tier before a pass
	WriteTimeout time.Duration // deadline of one write to the tier after it
	// Point is called at each numbered point of a job's way, for tests.
	Point            func(job.Point, *job.Ctx)
	LateWriteTimeout time.Duration // for writing down what is known past a deadline
	OpenTimeout      time.Duration // until ingress opens even without slots
	RecordedJobs     int           // answered jobs remembered for records of the traffic
	// ProxyOnly leaves out what named turns and tools need: no slots are assigned, and no
	// runner of the spec is asked.
	ProxyOnly bool
}

// DefaultParams are the design's.
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
	// joined: a member with the spec as a majority has it.
	joined atomic.Bool
	// When slots were last assigned to this node, and first in this spell; the asking
	// goroutine's own.
	lastGrant, firstGrant time.Time
	stopping              atomic.Bool
	// proxy, if set, is the part that passes proxied requests.
	proxy *Proxy
}

// New makes an edge. ctx carries what goes on behind an answer.
func New(ctx context.Context, params Params, np node.Params) *Edge {
	e := &Edge{
		Node:       node.New(np),
		params:     params,
		Epochs:     &singleton.EpochGuard{},
		wakeup:     loop.NewWakeup(),
		background: job.NewBackground(ctx),
	}
	t := storeclient.New(e.Peer, e.Cluster, e.Proposer)
	runners := &intern.Table{}
	e.stores = t
	e.slots = slots.New(runners)
	e.Cooldowns = cooldown.New(params.Cooldown, e.Node, t)
	e.selector = policy.New(e.Cluster, e.Log.Named("policy"))
	e.directory = balancer.New(e.Node, runners, e.slots, e.Cooldowns, e.selector)
	e.backlog = backlog.New(params.Backlog, e.directory, e.slots, e.selector)
	params.Assignment.LastState = e.directory.LastState
	e.assigner = &singleton.Role{
		Name:         keys.AssignerRole,
		Peer:         e.Peer,
		Cluster:      e.Cluster,
		Lease:        e.Lease,
		Stores:       t,
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

	// The way of a job, in the one place where it is fixed. What stands
	// further out is written down first and committed last.
	rest := []job.Policy{
		cooldown.Precheck{Manager: e.Cooldowns, Keys: e.directory.CooldownKeys},
		call.Retry{CallTime: params.Cooldown.CallTime},
		e.backlog,
		call.CooldownCheck{Cooldowns: e.Cooldowns},
		idempotency.Start{Stores: t, ReadTimeout: params.ReadTimeout},
	}
	keyed := idempotency.Policy{
		Stores:           t,
		ReadTimeout:      params.ReadTimeout,
		WriteTimeout:     params.WriteTimeout,
		LateWriteTimeout: params.LateWriteTimeout,
		Background:       e.background,
	}
	spend := budget.Policy{
		Stores:         t,
		ReserveTimeout: params.ReadTimeout,
		CommitTimeout:  params.WriteTimeout,
		Background:     e.background,
	}
	turns := append(
		[]job.Policy{
			keyed,
			conversation.Policy{
				Stores:           t,
				ReadTimeout:      params.ReadTimeout,
				LateWriteTimeout: params.LateWriteTimeout,
				Background:       e.background,
			},
			spend,
		},
		rest...)
	calls := append([]job.Policy{keyed, budget.SubagentPolicy{Policy: spend}}, rest...)
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

// Routes puts the callers' interface on x.
func (e *Edge) Routes(x *echo.Echo) {
	e.API.Routes(x)
	x.GET("/v1/traffic", func(c echo.Context) error {
		after, err := strconv.Atoi(c.QueryParam("after"))
		if err != nil || after < 0 {
			return web.Fail(c, code.New(code.BadField, "after: %q is not a row's number", c.QueryParam("after")))
		}
		return c.JSON(http.StatusOK, e.recorder.After(after))
	})
	metrics.Routes(x, e.rows)
	x.GET("/v1/trace/:job", e.trace)
	x.GET("/v1/status", func(c echo.Context) error { return c.JSON(http.StatusOK, e.status()) })
}

// trace tells how a job was decided. A job's name begins with its edge's, so any
// edge can say where to ask.
func (e *Edge) trace(x echo.Context) error {
	id := x.Param("job")
	if at, _, _ := strings.Cut(id, "-"); at != e.Peer.Self.Id {
		for _, m := range e.Lease.Members() {
			if m.Role == "edge" && m.Id == at {
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

// rows are the edge's metrics.
func (e *Edge) rows() []metrics.Row {
	s := e.status()
	out := append(
		metrics.Node(s.Spec, s.Sent),
		metrics.Row{Name: "waiting", Help: "Jobs in the backlog.", Value: float64(s.Waiting)},
		metrics.Row{
			Name:  "register_rounds_total",
			Help:  "Rounds of the register asked for.",
			Value: float64(s.Rounds),
			Total: true,
		},
		metrics.Row{
			Name:  "cooldowns_installed_total",
			Help:  "Cooldowns written by this edge.",
			Value: float64(s.Installs),
			Total: true,
		},
		metrics.Row{
			Name:  "policy_fallbacks_total",
			Help:  "Decisions in which a policy program failed.",
			Value: float64(s.PolicyFallbacks),
			Total: true,
		},
	)
	for k, n := range s.Counts {
		out = append(
			out,
			metrics.Row{
				Name:  "jobs_total",
				Help:  "Jobs answered, by the code's name.",
				Label: "code",
				Of:    k,
				Value: float64(n),
				Total: true,
			},
		)
	}
	if e.proxy != nil {
		out = append(out, e.proxy.rows()...)
	}
	for k, n := range s.Slots {
		const help = "Slots that this edge has of a runner."
		out = append(out, metrics.Row{Name: "slots", Help: help, Label: "runner", Of: k, Value: float64(n)})
	}
	for k, n := range s.Cooling {
		out = append(
			out,
			metrics.Row{
				Name:  "cooling_seconds",
				Help:  "What is left of a cooldown.",
				Label: "key",
				Of:    k,
				Value: float64(n) / 1000,
			},
		)
	}
	return out
}

// Fallbacks counts decisions in which a policy program failed.
func (e *Edge) Fallbacks() int64 { return e.selector.Fallbacks.Load() }

// Status is what an edge says of itself.
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
	// Proxied counts the proxied requests by the name of the code that they were answered
	// with; Quotas has what this edge knows of the tenants that asked it lately.
	Proxied map[string]int64       `json:"proxied,omitempty"`
	Quotas  map[string]quota.State `json:"quotas,omitempty"`
	// Reporters is how many edges report their load to this one.
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

// Start listens, joins, and opens ingress. ctx ends the background tasks; jobs under
// way are given their time by the HTTP server.
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

// Stop closes ingress and answers what waits; what runs is left to end.
func (e *Edge) Stop() {
	e.stopping.Store(true)
	e.backlog.Stop()
}

// WaitBackground waits for what goes on behind the answers, up to d.
func (e *Edge) WaitBackground(d time.Duration) {
	done := make(chan struct{})
	go func() { defer close(done); e.background.WG.Wait() }()
	select {
	case <-done:
	case <-time.After(d):
		e.Log.Warn("stopped with writes unfinished")
	}
}

// updateOpen opens ingress with the first slots of every route after a start, and after a spell in
// which this node had none because it was frozen or partitioned: whoever came before
// would only wait here for what other edges have. Where there are hardly any
// slots it opens all the same, for those who wait make some come.
func (e *Edge) updateOpen(at time.Time, some bool) {
	if at.Sub(e.lastGrant) > e.params.Assignment.Term {
		e.firstGrant = at
		e.ready.Store(false)
	}
	e.lastGrant = at
	if some || at.Sub(e.firstGrant) > e.params.OpenTimeout {
		e.ready.Store(true)
	}
}

// requestSlots fetches slots from whoever deals.
func (e *Edge) requestSlots(ctx context.Context) {
	for _, m := range singleton.Order(e.Cluster.Now(), e.Lease.Members()) {
		asked := time.Now()
		r, err := e.Peer.CallFor(
			ctx,
			e.params.Assignment.Term/4,
			m.Addr,
			&wire.Req{Op: &wire.Req_Deal{Deal: &wire.Deal{
				Epoch: e.Epochs.Highest(), Held: e.slots.Report(), Waiting: e.backlog.Waiting()}}},
		)
		if err != nil {
			// Not the assigner, or not there: the next in order may be.
			if a := r.GetDeal(); a != nil && m.Id != e.Peer.Self.Id {
				e.Epochs.ObserveContact(time.Duration(a.QuietMs) * time.Millisecond)
			}
			continue
		}
		a := r.GetDeal()
		if err := e.Epochs.Admit(a.Epoch); err != nil {
			e.Log.Warn("assigner refused", "id", m.Id, "err", err)
			continue
		}
		e.slots.Update(asked, time.Duration(a.TermMs)*time.Millisecond, a.Slots)
		e.updateOpen(asked, e.directory.CoversAllRoutes(a.Slots))
		e.backlog.Notify()
		return
	}
}

// reportDeparture tells the assigner; it checks for itself at once.
func (e *Edge) reportDeparture(runner, why string) {
	e.Log.Info("runner seems to leave", "runner", runner, "why", why)
	go func() {
		for _, m := range singleton.Order(e.Cluster.Now(), e.Lease.Members()) {
			request := &wire.Req{Op: &wire.Req_Tell{Tell: &wire.Tell{Runner: runner, Why: why}}}
			_, err := e.Peer.CallFor(context.Background(), 500*time.Millisecond, m.Addr, request)
			if err == nil {
				e.wakeup.Notify()
				return
			}
		}
	}()
}
