// Package edge is the data plane's edge role: it joins the parts of a job's
// way, in one fixed order, and runs their duties.
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
	"damsontiller/internal/dataplane/assignment"
	"damsontiller/internal/dataplane/backlog"
	"damsontiller/internal/dataplane/balancer"
	"damsontiller/internal/dataplane/budget"
	"damsontiller/internal/dataplane/call"
	"damsontiller/internal/dataplane/conversation"
	"damsontiller/internal/dataplane/cooldown"
	"damsontiller/internal/dataplane/idempotency"
	"damsontiller/internal/dataplane/intern"
	"damsontiller/internal/dataplane/job"
	"damsontiller/internal/dataplane/policy"
	"damsontiller/internal/dataplane/slots"
	"damsontiller/internal/dataplane/trace"
	"damsontiller/internal/dataplane/traffic"
	"damsontiller/internal/dataplane/turnapi"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// Params are the edge's settings.
type Params struct {
	Door       turnapi.Params
	Cool       cooldown.Params
	Dispatcher assignment.Params
	Backlog    backlog.Params
	Ask        time.Duration // between two requests for slots
	Pre        time.Duration // deadline of one dealing with the tier before a pass
	Write      time.Duration // deadline of one write to the tier after it
	// Point is called at each numbered point of a job's way, for tests.
	Point func(job.Point, *job.Ctx)
	Late  time.Duration // for writing down what is known past a deadline
	Open  time.Duration // until the door opens even without slots
	Tape  int           // answered jobs remembered for records of the traffic
	// OnlyRaw leaves out what named turns and tools need: no slots are dealt, and no
	// runner of the spec is asked.
	OnlyRaw bool
}

// DefaultParams are the design's.
var DefaultParams = Params{Door: turnapi.DefaultParams, Cool: cooldown.DefaultParams, Dispatcher: assignment.DefaultParams, Backlog: backlog.DefaultParams,
	Ask: 250 * time.Millisecond, Pre: 300 * time.Millisecond, Write: time.Second, Late: 2 * time.Second, Open: 3 * time.Second, Tape: 8192}

// Edge is one edge process.
type Edge struct {
	*node.Node
	p     Params
	Door  *turnapi.Door
	Desk  *cooldown.Desk
	dir   *balancer.Dir
	box   *slots.Box
	tier  *storeclient.Client
	back  *backlog.Backlog
	Fence *singleton.EpochGuard
	duty  *singleton.Role
	kick  loop.Wakeup
	tape  *traffic.Tape
	book  *trace.Book
	pol   *policy.Desk
	bg    job.Bg
	ready atomic.Bool
	// joined: a member with the spec as a majority has it.
	joined atomic.Bool
	// When slots were last dealt to this node, and first in this spell; the asking
	// goroutine's own.
	last, first time.Time
	stops       atomic.Bool
}

// New makes an edge. ctx carries what goes on behind an answer.
func New(ctx context.Context, p Params, np node.Params) *Edge {
	e := &Edge{Node: node.New(np), p: p, Fence: &singleton.EpochGuard{}, kick: loop.NewWakeup(), bg: job.NewBg(ctx)}
	t := &storeclient.Client{Peer: e.Peer, Cluster: e.Cluster, Proposer: e.Proposer}
	runners := &intern.Table{}
	e.tier = t
	e.box = slots.New(runners)
	e.Desk = cooldown.New(p.Cool, e.Node, t)
	e.pol = policy.New(e.Cluster, e.Log.Named("policy"))
	e.dir = balancer.New(e.Node, runners, e.box, e.Desk, e.pol)
	e.back = backlog.New(p.Backlog, e.dir, e.box, e.pol)
	p.Dispatcher.Told = e.dir.Told
	e.duty = &singleton.Role{Name: "deal", Peer: e.Peer, Cluster: e.Cluster, Lease: e.Lease, Stores: t, Epochs: e.Fence, SuspectAfter: time.Second}
	p.Dispatcher.Since = e.duty.SinceConfirmed
	e.duty.Work = assignment.New(p.Dispatcher, e.Node, e.Fence).Work
	caller := &call.Caller{Desk: e.Desk, Dir: e.dir, Box: e.box, Leaves: e.leaves, Web: call.NewWeb(p.Dispatcher.Web), Avoid: 2 * time.Second}

	// The way of a job, in the one place where it is fixed. What stands
	// further out is written down first and settled last.
	rest := []job.Policy{
		cooldown.Door{D: e.Desk, Keys: e.dir.Keys},
		call.Again{Room: p.Cool.Room},
		e.back,
		call.Cool{Desk: e.Desk},
		idempotency.Start{T: t, Pre: p.Pre},
	}
	keyed := idempotency.Policy{T: t, Pre: p.Pre, Write: p.Write, Late: p.Late, Bg: e.bg}
	spend := budget.Policy{T: t, Pre: p.Pre, Write: p.Write, Bg: e.bg}
	turns := append([]job.Policy{keyed, conversation.Policy{T: t, Read: p.Pre, Late: p.Late, Bg: e.bg}, spend}, rest...)
	calls := append([]job.Policy{keyed, budget.Kin{Policy: spend}}, rest...)
	e.Door = &turnapi.Door{P: p.Door, ID: np.Self.Id + "-" + strconv.FormatUint(e.Peer.Self.Inc, 36), Log: e.Log.Named("door"), View: e.Cluster.Now, Ready: e.mayTake, Point: p.Point,
		Turn: job.Chain(caller.Do, turns...), Call: job.Chain(caller.Do, calls...)}
	e.tape, e.book = traffic.NewTape(p.Tape), trace.New(p.Tape)
	e.Door.Seen = func(c *job.Ctx, a job.Answer, took time.Duration) {
		e.tape.Add(e.Peer.Self.Id, e.Peer.Self.Zone, c, a, took)
		e.book.Add(c, a, took)
	}
	return e
}

// mayTake tells whether the door is open.
func (e *Edge) mayTake() error {
	switch {
	case !e.ready.Load():
		return code.New(code.NotReady, "this node has just come up, ask another")
	case e.stops.Load():
		return code.New(code.Stopping, "this node stops, ask another")
	case e.tier.Unreachable():
		return code.New(code.StoresUnreachable, "the stores are out of reach, ask another")
	}
	return nil
}

// Routes puts the callers' interface on x.
func (e *Edge) Routes(x *echo.Echo) {
	e.Door.Routes(x)
	x.GET("/v1/traffic", func(c echo.Context) error {
		after, err := strconv.Atoi(c.QueryParam("after"))
		if err != nil || after < 0 {
			return web.Fail(c, code.New(code.BadField, "after: %q is not a row's number", c.QueryParam("after")))
		}
		return c.JSON(http.StatusOK, e.tape.After(after))
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
	r, err := e.book.Get(id)
	if err != nil {
		return web.Fail(x, err)
	}
	return x.JSON(http.StatusOK, r)
}

// rows are the edge's metrics.
func (e *Edge) rows() []metrics.Row {
	s := e.status()
	out := append(metrics.Node(s.Spec, s.Sent),
		metrics.Row{Name: "waiting", Help: "Jobs in the backlog.", Value: float64(s.Waiting)},
		metrics.Row{Name: "register_rounds_total", Help: "Rounds of the register asked for.", Value: float64(s.Rounds), Total: true},
		metrics.Row{Name: "cooldowns_installed_total", Help: "Cooldowns written by this edge.", Value: float64(s.Installs), Total: true},
		metrics.Row{Name: "policy_fallbacks_total", Help: "Decisions in which a policy program failed.", Value: float64(s.Fell), Total: true})
	for k, n := range s.Counts {
		out = append(out, metrics.Row{Name: "jobs_total", Help: "Jobs answered, by the code's name.", Label: "code", Of: k, Value: float64(n), Total: true})
	}
	for k, n := range s.Slots {
		out = append(out, metrics.Row{Name: "slots", Help: "Slots held of a runner.", Label: "runner", Of: k, Value: float64(n)})
	}
	for k, n := range s.Cooling {
		out = append(out, metrics.Row{Name: "cooling_seconds", Help: "What is left of a cooldown.", Label: "key", Of: k, Value: float64(n) / 1000})
	}
	return out
}

// Fallbacks counts decisions in which a policy program failed.
func (e *Edge) Fallbacks() int64 { return e.pol.Fallbacks.Load() }

// Status is what an edge says of itself.
type Status struct {
	ID       string           `json:"id"`
	Ready    bool             `json:"ready"`
	Spec     uint64           `json:"spec"`
	Waiting  int              `json:"waiting"`
	Epoch    uint64           `json:"deal_epoch"`
	Counts   map[string]int64 `json:"counts"`
	Rounds   uint64           `json:"register_rounds"`
	Sent     uint64           `json:"messages_sent"`
	Installs uint64           `json:"cooldowns_installed"`
	Slots    map[string]int   `json:"slots"`
	Cooling  map[string]int64 `json:"cooling_ms"`
	Policy   string           `json:"policy"`
	Share    int              `json:"policy_share"`
	Fell     int64            `json:"policy_fallbacks"`
}

func (e *Edge) status() Status {
	s := Status{ID: e.Peer.Self.Id, Ready: e.mayTake() == nil, Spec: e.Cluster.Now().Version, Waiting: e.back.Len(), Epoch: e.Fence.Highest(),
		Counts: e.Door.Counts(), Rounds: e.Proposer.Rounds.Load(), Sent: e.Peer.Sent(), Installs: e.Desk.Count(), Slots: map[string]int{}, Cooling: e.Desk.All(), Policy: policy.Builtin, Fell: e.pol.Fallbacks.Load()}
	if l := e.Cluster.Now().Spec.Live; l != nil {
		s.Policy, s.Share = l.Policy, l.Share
	}
	for _, h := range e.box.Held() {
		s.Slots[h.Runner] = int(h.Plain + h.Urgent)
	}
	return s
}

// Start listens, joins, and opens the door. ctx ends the duties; jobs under
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
	e.Go(ctx, e.tier.Run)
	e.Go(ctx, e.Desk.Run)
	if e.p.OnlyRaw {
		return nil
	}
	e.Go(ctx, e.back.Run)
	e.Go(ctx, e.duty.Run)
	e.Go(ctx, func(ctx context.Context) { loop.Every(ctx, e.p.Ask, e.kick, e.ask) })
	return nil
}

// Stop closes the door and answers what waits; what runs is left to end.
func (e *Edge) Stop() {
	e.stops.Store(true)
	e.back.Stop()
}

// Settle waits for what goes on behind the answers, up to d.
func (e *Edge) Settle(d time.Duration) {
	done := make(chan struct{})
	go func() { defer close(done); e.bg.WG.Wait() }()
	select {
	case <-done:
	case <-time.After(d):
		e.Log.Warn("stopped with writes unfinished")
	}
}

// touch opens the door with the first slots of every route after a start, and after a spell in
// which this node had none because it was frozen or cut off: whoever came before
// would only wait here for what other edges have. Where there are hardly any
// slots it opens all the same, for those who wait make some come.
func (e *Edge) touch(at time.Time, some bool) {
	if at.Sub(e.last) > e.p.Dispatcher.Term {
		e.first = at
		e.ready.Store(false)
	}
	e.last = at
	if some || at.Sub(e.first) > e.p.Open {
		e.ready.Store(true)
	}
}

// ask fetches slots from whoever deals.
func (e *Edge) ask(ctx context.Context) {
	for _, m := range singleton.Order(e.Cluster.Now(), e.Lease.Members()) {
		asked := time.Now()
		r, err := e.Peer.CallFor(ctx, e.p.Dispatcher.Term/4, m.Addr, &wire.Req{Op: &wire.Req_Deal{Deal: &wire.Deal{
			Epoch: e.Fence.Highest(), Held: e.box.Held(), Waiting: e.back.Waiting()}}})
		if err != nil {
			// Not the dealer, or not there: the next in order may be.
			if a := r.GetDeal(); a != nil && m.Id != e.Peer.Self.Id {
				e.Fence.ObserveContact(time.Duration(a.QuietMs) * time.Millisecond)
			}
			continue
		}
		a := r.GetDeal()
		if err := e.Fence.Admit(a.Epoch); err != nil {
			e.Log.Warn("dealer refused", "id", m.Id, "err", err)
			continue
		}
		e.box.Deal(asked, time.Duration(a.TermMs)*time.Millisecond, a.Slots)
		e.touch(asked, e.dir.Served(a.Slots))
		e.back.Poke()
		return
	}
}

// leaves tells the dealer; it looks for itself at once.
func (e *Edge) leaves(runner, why string) {
	e.Log.Info("runner seems to leave", "runner", runner, "why", why)
	go func() {
		for _, m := range singleton.Order(e.Cluster.Now(), e.Lease.Members()) {
			if _, err := e.Peer.CallFor(context.Background(), 500*time.Millisecond, m.Addr, &wire.Req{Op: &wire.Req_Tell{Tell: &wire.Tell{Runner: runner, Why: why}}}); err == nil {
				e.kick.Notify()
				return
			}
		}
	}()
}
