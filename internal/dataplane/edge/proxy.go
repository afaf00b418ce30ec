package edge

import (
	"context"
	"time"

	"damsontiller/internal/coordination/metrics"
	"damsontiller/internal/dataplane/balancing/endpoints"
	"damsontiller/internal/dataplane/balancing/loadreport"
	"damsontiller/internal/dataplane/quota"
	"damsontiller/internal/dataplane/request/proxy"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// Proxy is the part of an edge that passes proxied requests.
type Proxy struct {
	*proxy.Handler
	Endpoints  *endpoints.Store
	load       *proxy.Load
	pool       *proxy.Pool
	loadReport *loadreport.LoadReport
	quotas     *quota.Node
	exchange   *quota.Exchange
	edge       *Edge
	params     ProxyParams
}

// ProxyParams are its settings.
type ProxyParams struct {
	proxy.Params
	LoadReport loadreport.Params
	Quota      quota.Params
	Exchange   quota.ExchangeParams
}

// DefaultProxy are the design's.
var DefaultProxy = ProxyParams{
	Params:     proxy.DefaultParams,
	LoadReport: loadreport.DefaultParams,
	Quota:      quota.DefaultParams,
	Exchange:   quota.DefaultExchange,
}

// NewProxy joins the parts of a proxied request's way, in one fixed order. It is called before
// Start.
func (e *Edge) NewProxy(params ProxyParams, dialect proxy.Headers) *Proxy {
	r := &Proxy{
		Endpoints: endpoints.New(),
		load:      proxy.NewLoad(),
		pool:      proxy.NewPool(params.Pool, e.Params.Net.Dial),
		edge:      e,
		params:    params,
		quotas:    quota.NewNode(params.Quota),
	}
	r.Handler = proxy.New(
		params.Params,
		proxy.Dependencies{
			Self:      e.Params.Self,
			View:      e.Cluster.Now,
			Members:   e.Lease.Members,
			Ready:     r.Ready,
			Endpoints: r.Endpoints,
			Load:      r.load,
			Pool:      r.pool,
			Cooldowns: e.Cooldowns,
			Headers:   dialect,
			Log:       e.Log.Named("proxy"),
			Policies: []proxy.Policy{
				proxy.NewQuotas(r.quotas, params.Quota),
				proxy.NewOperations(params.Operations, e.stores, e.Lease.Members, e.Params.Self, dialect, e.background),
				proxy.NewTurns(params.Turns, e.stores),
				proxy.NewBudgets(params.Budgets, e.stores, e.background),
			},
		},
	)
	r.loadReport = loadreport.New(params.LoadReport, e.Node, r.Endpoints, r.load)
	r.exchange = quota.NewExchange(params.Exchange, e.Node, r.quotas, quota.NewCollector(params.Quota))
	e.proxy = r
	return r
}

// rows are the metrics of proxied requests. Tenants are named only while they are near their
// quotas, which bounds the number of rows.
func (r *Proxy) rows() []metrics.Row {
	var out []metrics.Row
	for name, n := range r.Counts() {
		const help = "Proxied requests answered, by the code's name."
		row := metrics.Row{Name: "proxied_total", Help: help, Label: "code", Of: name, Value: float64(n), Total: true}
		out = append(out, row)
	}
	for tenant, state := range r.quotas.States() {
		if state.Constrained {
			const help = "Requests of a tenant near its quota that all edges admitted in a window, as merged here."
			all := float64(state.Admitted) + state.Others
			out = append(out, metrics.Row{Name: "quota_used", Help: help, Label: "tenant", Of: tenant, Value: all})
		}
	}
	return out
}

// noTableLogInterval is the time between two lines about a table that does not come.
const noTableLogInterval = 10 * time.Second

// logNoTable says so while there is no table of routes: nothing is served until then.
func (r *Proxy) logNoTable(context.Context) {
	if r.edge.joined.Load() && r.edge.Cluster.Now().Table.Revision == 0 {
		const line = "no configuration is in force yet: no request is served; see the cores' logs for orders refused"
		r.edge.Log.Warn(line)
	}
}

// Ready reports whether proxied requests are taken.
func (r *Proxy) Ready() error {
	switch {
	case r.edge.stopping.Load():
		return code.New(code.Stopping, "this node stops, ask another")
	case !r.edge.joined.Load() || r.Endpoints.Current().ReadAt.IsZero() || r.edge.Cluster.Now().Table.Revision == 0:
		return code.New(code.NotReady, "this node has just come up, ask another")
	}
	return nil
}

// Run keeps the endpoint list, the load of its runners and the stores' snapshot on cooldowns
// until ctx ends.
func (r *Proxy) Run(ctx context.Context, list loadreport.ListFunc) {
	r.edge.Go(ctx, func(ctx context.Context) { r.loadReport.Run(ctx, list) })
	r.edge.Go(ctx, r.exchange.Run)
	r.edge.Go(ctx, r.edge.Cooldowns.RunSnapshot)
	r.edge.Go(ctx, func(ctx context.Context) {
		if loop.Wait(ctx, noTableLogInterval) {
			loop.Every(ctx, noTableLogInterval, nil, r.logNoTable)
		}
	})
	loop.Every(ctx, time.Second, nil, func(context.Context) {
		on := func(id string) bool { return r.Endpoints.Current().Get(id) != nil }
		r.load.Retain(on)
		r.load.Watch.Retain(on)
		r.pool.Retain(on)
	})
}
