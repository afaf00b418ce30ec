package edge

import (
	"context"
	"time"

	"damsontiller/internal/dataplane/endpoints"
	"damsontiller/internal/dataplane/loadreport"
	"damsontiller/internal/dataplane/proxy"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// Raw is the part of an edge that passes raw jobs.
type Raw struct {
	*proxy.Door
	Roll       *endpoints.Roll
	load       *proxy.Load
	pool       *proxy.Pool
	loadReport *loadreport.LoadReport
	e          *Edge
	p          RawParams
}

// RawParams are its settings.
type RawParams struct {
	proxy.Params
	LoadReport loadreport.Params
}

// DefaultRaw are the design's.
var DefaultRaw = RawParams{Params: proxy.DefaultParams, LoadReport: loadreport.DefaultParams}

// Raw joins the parts of a raw job's way, in one fixed order. It is called before
// Start.
func (e *Edge) Raw(p RawParams, dialect proxy.Dialect) *Raw {
	r := &Raw{Roll: endpoints.New(), load: proxy.NewLoad(), pool: proxy.NewPool(p.Pool, e.Params.Net.Dial), e: e, p: p}
	r.Door = proxy.New(p.Params, proxy.Parts{Self: e.Params.Self, View: e.Cluster.Now, Members: e.Lease.Members, Ready: r.Ready, Roll: r.Roll, Load: r.load, Pool: r.pool,
		Cool: e.Desk, Dialect: dialect, Log: e.Log.Named("raw"),
		Way: []proxy.Policy{proxy.NewTurns(p.Turns, e.tier), proxy.NewBudgets(p.Budgets, e.tier, e.bg)}})
	r.loadReport = loadreport.New(p.LoadReport, e.Node, r.Roll, r.load)
	return r
}

// Ready tells whether raw jobs are taken.
func (r *Raw) Ready() error {
	switch {
	case r.e.stops.Load():
		return code.New(code.Stopping, "this node stops, ask another")
	case !r.e.joined.Load() || r.Roll.Now().At.IsZero() || r.e.Cluster.Now().Table.Revision == 0:
		return code.New(code.NotReady, "this node has just come up, ask another")
	}
	return nil
}

// Run keeps the roll, the load of its runners and the stores' word on cooldowns
// until ctx ends.
func (r *Raw) Run(ctx context.Context, list loadreport.List) {
	r.e.Go(ctx, func(ctx context.Context) { r.loadReport.Run(ctx, list) })
	r.e.Go(ctx, r.e.Desk.Word)
	loop.Every(ctx, time.Second, nil, func(context.Context) {
		on := func(id string) bool { return r.Roll.Now().Get(id) != nil }
		r.load.Sweep(on)
		r.load.Watch.Sweep(on)
		r.pool.Sweep(on)
	})
}
