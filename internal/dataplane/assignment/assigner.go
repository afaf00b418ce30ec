// Package assignment assigns the capacity of the runners to the edges. It is the work of
// a singleton role: its holder polls the runners and the endpoint list, broadcasts which
// runners come and go, and divides the concurrency that each runner bears into slots,
// leased to the edges for a term.
//
// The sum of what all edges hold never exceeds what a runner can bear:
//   - an edge counts its term from before it asked, the assigner from after it
//     answered, so a share ends at the edge first;
//   - a share is lowered here only once the edge confirms it;
//   - a new assigner hands out no more than the edges it has heard from held,
//     until every edge that could still hold shares has reported or has departed;
//   - an assigner that has not seen its epoch to be the latest of late raises nothing.
package assignment

import (
	"context"
	"encoding/json"
	"net/http"
	"reflect"
	"sort"
	"sync"
	"time"

	"damsontiller/internal/coordination/node"
	"damsontiller/internal/coordination/singleton"
	"damsontiller/internal/dataplane/runnerapi"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// Params are the dealer's times.
type Params struct {
	Poll  time.Duration // between reports
	Term  time.Duration // of dealt slots
	Warm  time.Duration // between two doublings of a fresh runner's share
	Fresh int           // slots a fresh runner starts with
	// Known: a runner up this long that bears well is not fresh to a new dealer.
	Known time.Duration
	// Web carries the requests for reports; nil means the ordinary way.
	Web http.RoundTripper
	// Told is the last news of a runner, by which a new dealer knows how far a
	// process had warmed up.
	Told func(name string) (State, bool)
	// Since is how long ago this tenure was surely the last.
	Since func() time.Duration
}

// DefaultParams are the design's.
var DefaultParams = Params{Poll: 300 * time.Millisecond, Term: 2 * time.Second, Warm: time.Second, Fresh: 2, Known: 20 * time.Second}

// State is what the tree hears of a runner.
type State struct {
	spec.Runner
	State    string   `json:"state"`
	Mark     string   `json:"mark,omitempty"`
	Bears    int      `json:"bears"`
	Cap      int      `json:"cap"` // what of it may be dealt, while it warms up
	Busy     int      `json:"busy"`
	Prefixes []string `json:"prefixes,omitempty"`
}

type runner struct {
	State
	warmAt  time.Time
	refused int64
	misses  int
	known   bool
	// base bounds the sum dealt until every edge has been heard: what those
	// heard held when first heard.
	base int
	// ghost is work seen at the opening that no edge accounted for.
	ghost int
}

// share is what an edge may hold of a runner. Once the edge's term is over,
// left bounds what it may have left running there.
type share struct {
	mark          string // of the process it is a share of
	plain, urgent int
	used          int // at the edge's last word
	over          bool
	left          int
}

// edge is one start of an edge node; past is set once another start of the
// same node has been heard.
type edge struct {
	id   string
	todo map[string]int // jobs waiting or under way, by route
	at   time.Time
	past bool
	held map[string]share
}

// over tells whether the edge's term has ended.
func (e *edge) over(now time.Time, term time.Duration) bool { return e.past || now.Sub(e.at) >= term }

// Dispatcher is one tenure of the duty.
type Dispatcher struct {
	p     Params
	n     *node.Node
	epoch uint64
	web   *http.Client
	kick  loop.Wakeup

	mu     sync.Mutex
	start  time.Time // of this tenure
	seq    uint64
	open   bool // every edge has been heard or is gone
	all    map[string]*runner
	edges  map[uint64]*edge // by incarnation
	opened time.Time
	listed []runnerapi.Listed
}

// Duty answers Deal and Tell calls for whichever tenure runs here.
type Duty struct {
	p     Params
	n     *node.Node
	fence *singleton.EpochGuard
	mu    sync.Mutex
	cur   *Dispatcher
}

// New makes the duty's local end.
func New(p Params, n *node.Node, f *singleton.EpochGuard) *Duty {
	d := &Duty{p: p, n: n, fence: f}
	n.Peer.Handle(&wire.Req_Deal{}, d.deal)
	n.Peer.Handle(&wire.Req_Tell{}, d.tell)
	return d
}

func (d *Duty) now() (*Dispatcher, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cur == nil {
		return nil, code.New(code.NotHolder, "%s does not deal", d.n.Peer.Self.Id)
	}
	return d.cur, nil
}

func (d *Duty) set(h *Dispatcher) {
	d.mu.Lock()
	d.cur = h
	d.mu.Unlock()
}

// Work is one tenure.
func (d *Duty) Work(ctx context.Context, epoch uint64) {
	h := &Dispatcher{p: d.p, n: d.n, epoch: epoch, start: time.Now(), kick: loop.NewWakeup(), all: map[string]*runner{}, edges: map[uint64]*edge{},
		web: &http.Client{Timeout: d.p.Poll, Transport: d.p.Web}}
	defer h.web.CloseIdleConnections()
	h.poll(ctx)
	d.set(h)
	defer d.set(nil)
	loop.Every(ctx, d.p.Poll, h.kick, h.poll)
}

func (d *Duty) deal(_ context.Context, q *wire.Req) (*wire.Resp, error) {
	h, err := d.now()
	if err != nil {
		return &wire.Resp{Op: &wire.Resp_Deal{Deal: &wire.DealAck{Epoch: d.fence.Highest(), QuietMs: min(d.fence.SinceContact(), time.Hour).Milliseconds()}}}, err
	}
	if e := q.GetDeal().GetEpoch(); e > h.epoch {
		// The asker has dealt with a later holder: this tenure is over.
		d.fence.Observe(e)
		d.set(nil)
		return nil, code.New(code.OldEpoch, "epoch %d is over", h.epoch)
	}
	// A dealer is replaced by a higher epoch, which it may not have heard of. It
	// stops raising well before the shares of edges that left it run out here.
	a := h.Ask(q.Id, q.Inc, q.GetDeal(), d.p.Since() < d.p.Term*3/4)
	return &wire.Resp{Op: &wire.Resp_Deal{Deal: a}}, nil
}

func (d *Duty) tell(_ context.Context, q *wire.Req) (*wire.Resp, error) {
	h, err := d.now()
	if err != nil {
		return nil, err
	}
	// Whoever tells may be wrong about the cause; the report decides, at once.
	h.kick.Notify()
	return nil, nil
}

// poll asks every runner and the platform once.
func (h *Dispatcher) poll(ctx context.Context) {
	v := h.n.Cluster.Now()
	want := map[string]spec.Runner{}
	for _, r := range h.list(ctx, v.Spec.Platform) {
		want[r.Name] = spec.Runner{Name: r.Name, Addr: r.Addr, Zone: r.Zone, Route: r.Route}
	}
	// Where both name a runner, the operators' word counts.
	for _, r := range v.Spec.Runners {
		want[r.Name] = r
	}
	type seen struct {
		r    spec.Runner
		rep  *runnerapi.Report
		gone bool
	}
	ch := make(chan seen, len(want))
	for _, r := range want {
		go func() {
			rep, gone := h.ask(ctx, r)
			ch <- seen{r, rep, gone}
		}()
	}
	var items []*wire.Item
	now := time.Now()
	for range want {
		s := <-ch
		if i := h.note(now, s.r, s.rep, s.gone); i != nil {
			items = append(items, i)
		}
	}
	h.mu.Lock()
	for name := range h.all {
		if _, ok := want[name]; !ok {
			h.all[name].Cap = 0
			h.all[name].State.State = runnerapi.Gone
		}
	}
	h.mu.Unlock()
	h.heard(ctx)
	if len(items) > 0 && ctx.Err() == nil {
		// The tree may be slow; the next poll must not be.
		go h.n.Broadcast.Publish(ctx, items...)
	}
}

func (h *Dispatcher) list(ctx context.Context, addr string) []runnerapi.Listed {
	if addr == "" {
		return nil
	}
	var l runnerapi.Platform
	if err := h.get(ctx, "http://"+addr+"/v1/runners", &l); err != nil {
		h.n.Log.Debug("platform list not read", "err", err)
		// The list lags anyway; the last one read stays good.
		return h.listed
	}
	h.listed = l.Runners[:0:0]
	for _, r := range l.Runners {
		if spec.Name(r.Name) && spec.Addr(r.Addr) == nil {
			h.listed = append(h.listed, r)
		}
	}
	return h.listed
}

func (h *Dispatcher) get(ctx context.Context, url string, into any) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	r, err := h.web.Do(q)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return code.New(code.RunnerFailure, "status %d", r.StatusCode)
	}
	return json.NewDecoder(http.MaxBytesReader(nil, r.Body, 1<<20)).Decode(into)
}

func (h *Dispatcher) ask(ctx context.Context, r spec.Runner) (rep *runnerapi.Report, gone bool) {
	rep = &runnerapi.Report{}
	if err := h.get(ctx, "http://"+r.Addr+"/v1/report", rep); err != nil {
		return nil, Refused(err)
	}
	if rep.Name != r.Name {
		h.n.Log.Warn("another runner answers", "want", r.Name, "got", rep.Name)
		return nil, false
	}
	return rep, false
}

// note takes one report; it gives news where the state has changed.
func (h *Dispatcher) note(now time.Time, r spec.Runner, rep *runnerapi.Report, gone bool) *wire.Item {
	h.mu.Lock()
	defer h.mu.Unlock()
	o := h.all[r.Name]
	if o == nil {
		o = &runner{}
		h.all[r.Name] = o
	}
	was := o.State
	o.Runner = r
	if rep == nil {
		// One lost report is no leave; a refused port is.
		if o.misses++; gone || o.misses >= 3 {
			o.State.State, o.Cap, o.known = runnerapi.Gone, 0, false
		}
	} else {
		o.misses = 0
		if rep.Mark != o.Mark {
			// Another process at the same address: nothing that was dealt of the
			// one before counts, and it is fresh whatever that one bore.
			o.Mark, o.known, o.Cap, o.base, o.ghost = rep.Mark, false, 0, 0, 0
		}
		h.leftovers(now, o, rep.Busy)
		o.State.State, o.Bears, o.Busy, o.Prefixes = rep.State, max(rep.Bears, 0), rep.Busy, rep.Prefixes
		h.warm(now, o, rep)
	}
	if reflect.DeepEqual(quietly(was), quietly(o.State)) {
		return nil
	}
	h.seq++
	b, err := json.Marshal(o.State)
	if err != nil {
		return nil
	}
	return &wire.Item{Topic: "runner", Key: r.Name, Epoch: h.epoch, Seq: h.seq, Body: b}
}

// quietly leaves out what changes all the time.
func quietly(s State) State {
	s.Busy = 0
	return s
}

// leftovers bounds what edges that are gone have left running: each may have
// used its whole share up to the end of its term, but never more than the
// runner reports at any time since.
func (h *Dispatcher) leftovers(now time.Time, o *runner, busy int) {
	o.ghost = min(o.ghost, busy)
	for _, e := range h.edges {
		s, ok := e.held[o.Name]
		if !ok || s.mark != o.Mark || !e.over(now, h.p.Term) {
			continue
		}
		if !s.over {
			s.over, s.left = true, s.plain+s.urgent
		}
		s.left = min(s.left, busy)
		e.held[o.Name] = s
	}
}

// warm sets what may be dealt: a fresh runner starts with few and doubles
// while its own reports show no refusals.
func (h *Dispatcher) warm(now time.Time, o *runner, rep *runnerapi.Report) {
	switch {
	case rep.State != runnerapi.Ready:
		o.Cap, o.known = 0, false
		return
	case !o.known:
		o.known, o.refused, o.warmAt = true, rep.Refused, now
		o.Cap = h.p.Fresh
		if h.p.Told != nil {
			if s, ok := h.p.Told(o.Name); ok && s.Mark == o.Mark {
				o.Cap = max(o.Cap, s.Cap)
			}
		}
		if time.Duration(rep.UpMs)*time.Millisecond >= h.p.Known {
			o.Cap = rep.Bears
		}
	case rep.Refused > o.refused:
		// It refused: stay, and look again after a while.
		o.refused, o.warmAt = rep.Refused, now
	case now.Sub(o.warmAt) >= h.p.Warm:
		o.Cap, o.warmAt = o.Cap*2, now
	}
	// What edges held when a new dealer first heard them, the one before it had
	// warmed the process up to.
	o.Cap = min(max(o.Cap, o.base), o.Bears)
}

// heard opens the dealing once no edge is left that could hold shares unknown
// to this tenure.
func (h *Dispatcher) heard(ctx context.Context) {
	h.mu.Lock()
	open := h.open
	h.mu.Unlock()
	if open {
		return
	}
	// A former holder dealt for three quarters of a term after its epoch was
	// over, at the most, and those shares have a term: then no edge that was not
	// heard has any, frozen or cut off. What it left running the runners report.
	for _, m := range h.n.Lease.Members() {
		if m.Role != "edge" || time.Since(h.start) > 2*h.p.Term {
			continue
		}
		h.mu.Lock()
		_, ok := h.edges[m.Inc]
		h.mu.Unlock()
		if !ok && !singleton.PortRefused(ctx, h.n.Peer, m.Addr) {
			return
		}
	}
	h.begin()
	h.n.Log.Info("dealing is open", "epoch", h.epoch)
}

// begin opens the dealing. Work that runs now and that no edge accounts for was
// left by edges that are gone.
func (h *Dispatcher) begin() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open, h.opened = true, time.Now()
	for _, o := range h.all {
		o.ghost = o.Busy
		for _, e := range h.edges {
			if s := e.held[o.Name]; s.mark == o.Mark {
				o.ghost -= s.used
			}
		}
		o.ghost = max(o.ghost, 0)
	}
}

// Ask answers one edge. raise is whether this dealer's lease is valid.
func (h *Dispatcher) Ask(id string, inc uint64, q *wire.Deal, raise bool) *wire.DealAck {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	e := h.edges[inc]
	if e == nil {
		// A new start holds nothing; what the former one left running is
		// still counted.
		for _, o := range h.edges {
			o.past = o.past || o.id == id
		}
		e = &edge{id: id}
		h.edges[inc] = e
		for _, s := range q.Held {
			if o := h.all[s.Runner]; o != nil && o.Mark == s.Mark {
				o.base += int(s.Plain + s.Urgent)
				o.Cap = min(max(o.Cap, o.base), o.Bears)
			}
		}
	}
	e.at, e.todo, e.held = now, map[string]int{}, map[string]share{}
	for route, n := range q.Waiting {
		e.todo[route] = int(n)
	}
	for _, s := range q.Held {
		if o := h.all[s.Runner]; o != nil {
			e.todo[o.Route] += int(s.Busy)
		}
		e.held[s.Runner] = share{mark: s.Mark, plain: int(s.Plain), urgent: int(s.Urgent), used: int(s.Busy)}
	}
	out := &wire.DealAck{Epoch: h.epoch, TermMs: h.p.Term.Milliseconds()}
	for name, o := range h.all {
		cur, want := e.held[name], h.target(o, inc)
		if cur.mark != o.Mark {
			cur = share{}
		}
		room0 := h.room(o, now)
		room := 0
		if raise {
			room = max(room0, 0)
		}
		if (!h.open || !raise) && o.Cap > 0 && room0 >= 0 && !h.n.Cluster.Now().Spec.Empty(o.Zone) {
			// Shares worked out from some of the edges only would be too small,
			// and what can't be raised again must not be lowered: each keeps
			// what it has.
			want = share{plain: cur.plain, urgent: cur.urgent}
		}
		urgent := min(want.urgent, cur.urgent+room)
		room -= max(urgent-cur.urgent, 0)
		plain := min(want.plain, cur.plain+room)
		// Until the edge says that it holds less, it may hold the more.
		e.held[name] = share{mark: o.Mark, plain: max(plain, cur.plain), urgent: max(urgent, cur.urgent), used: cur.used}
		if plain+urgent > 0 {
			out.Slots = append(out.Slots, &wire.Slot{Runner: name, Mark: o.Mark, Plain: int32(plain), Urgent: int32(urgent)})
		}
	}
	return out
}

// room is how many more slots of a runner may be dealt: what it can bear, less
// what the edges hold, less work left behind by edges that are gone.
func (h *Dispatcher) room(o *runner, now time.Time) int {
	total := o.Cap
	if !h.open {
		total = min(total, o.base)
	}
	for _, e := range h.edges {
		s := e.held[o.Name]
		switch {
		case s.mark != o.Mark:
			// Of a process that is gone.
		case !s.over:
			total -= s.plain + s.urgent
		case now.Sub(e.at) < h.n.Params.Lease.OrphanTimeout:
			total -= s.left
		}
	}
	if now.Sub(h.opened) < h.n.Params.Lease.OrphanTimeout {
		total -= o.ghost
	}
	return total
}

// target is the share of a runner that an edge should have. Urgent slots go to
// all edges alike, wherever the work is now: it can't wait for them. Of the plain
// ones those with more to do on the route get more, within bounds, so that one
// edge's backlog does not starve the others.
func (h *Dispatcher) target(o *runner, inc uint64) share {
	v := h.n.Cluster.Now()
	if o.Cap <= 0 || v.Spec.Empty(o.Zone) {
		return share{}
	}
	reserve := 0
	for _, c := range v.Spec.Classes {
		reserve = max(reserve, c.Reserve)
	}
	urgent := o.Cap * reserve / 100
	plain := func(e *edge) int { return 4 + min(e.todo[o.Route], 20) }
	return share{plain: h.cut(o, inc, o.Cap-urgent, plain), urgent: h.cut(o, inc, urgent, func(*edge) int { return 1 })}
}

// cut gives one edge its part of n by largest remainder over the weights.
func (h *Dispatcher) cut(o *runner, inc uint64, n int, weight func(*edge) int) int {
	type part struct {
		inc  uint64
		id   string
		rest int
		w    int
	}
	var ps []part
	sum := 0
	now := time.Now()
	for i, e := range h.edges {
		if e.over(now, h.p.Term) {
			continue
		}
		w := weight(e)
		ps = append(ps, part{inc: i, id: e.id, w: w})
		sum += w
	}
	if len(ps) == 0 {
		return 0
	}
	got, left := 0, n
	for i := range ps {
		whole := n * ps[i].w / sum
		ps[i].rest = n * ps[i].w % sum
		left -= whole
		if ps[i].inc == inc {
			got = whole
		}
	}
	// Among equals the odd slots of each runner go on where those of the one
	// before it on the route left off, so that they come round to every edge.
	sort.Slice(ps, func(i, j int) bool { return ps[i].id < ps[j].id })
	off := 0
	for name, r := range h.all {
		if r.Route == o.Route && name < o.Name && r.Cap > 0 {
			off += left
		}
	}
	off %= len(ps)
	ps = append(ps[off:], ps[:off]...)
	sort.SliceStable(ps, func(i, j int) bool { return ps[i].rest > ps[j].rest })
	for i := 0; i < left; i++ {
		if ps[i].inc == inc {
			got++
		}
	}
	return got
}
