package edge

import (
	"context"
	"runtime/debug"
	"time"

	"damsontiller/internal/coordination/metrics"
	"damsontiller/internal/dataplane/balancing/endpoints"
	"damsontiller/internal/dataplane/balancing/loadreport"
	"damsontiller/internal/dataplane/quota"
	"damsontiller/internal/dataplane/request/proxy"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// Proxy is the part of an edge that forwards proxied requests.
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

// ProxyParams are the settings of a Proxy.
type ProxyParams struct {
	proxy.Params
	LoadReport loadreport.Params
	Quota      quota.Params
	Exchange   quota.ExchangeParams
}

// DefaultProxy are the default settings.
var DefaultProxy = ProxyParams{
	Params:     proxy.DefaultParams,
	LoadReport: loadreport.DefaultParams,
	Quota:      quota.DefaultParams,
	Exchange:   quota.DefaultExchange,
}

// NewProxy assembles the request path of proxied requests and adds it to the edge. It must be
// called before Start.
func (e *Edge) NewProxy(params ProxyParams, headers proxy.Headers) *Proxy {
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
			Headers:   headers,
			Log:       e.Log.Named("proxy"),
			Memory:    e.params.Memory,
			Policies: []proxy.Policy{
				proxy.NewQuotas(r.quotas, params.Quota),
				proxy.NewOperations(params.Operations, e.stores, e.Lease.Members, e.Params.Self, headers, e.background),
				proxy.NewTurns(params.Turns, e.stores),
				proxy.NewBudgets(params.Budgets, e.stores, e.background),
			},
		},
	)
	r.loadReport = loadreport.New(params.LoadReport, e.Node, r.Endpoints, r.load)
	collector := quota.NewCollector(params.Quota)
	collector.OnFault = func(reason any) {
		const line = "merging the quotas' counts failed, counting anew"
		e.Log.Error(line, "reason", reason, "stack", string(debug.Stack()))
	}
	r.exchange = quota.NewExchange(params.Exchange, e.Node, r.quotas, collector)
	e.proxy = r
	return r
}

// metricRows returns the metrics of proxied requests. Tenants are listed only while they are
// near their quotas, which bounds the number of rows.
func (r *Proxy) metricRows() []metrics.Sample {
	var out []metrics.Sample
	for name, n := range r.Counts() {
		const help = "Proxied requests answered, by the code's name."
		row := metrics.Sample{
			Name:       "proxied_total",
			Help:       help,
			Label:      "code",
			LabelValue: name,
			Value:      float64(n),
			Counter:    true,
		}
		out = append(out, row)
	}
	usage := r.edge.params.Memory.Usage()
	out = append(
		out,
		metrics.Sample{Name: "buffered_bytes", Help: "Memory of buffered data.", Value: float64(usage.Held)},
		metrics.Sample{Name: "buffered_bytes_highest", Help: "Its highest value.", Value: float64(usage.Highest)},
		metrics.Sample{Name: "buffered_bytes_limit", Help: "Its limit.", Value: float64(usage.Limit)},
		metrics.Sample{
			Name:    "buffered_refused_total",
			Help:    "Times that something could not be buffered.",
			Value:   float64(usage.Refused),
			Counter: true,
		},
	)
	for tenant, state := range r.quotas.States() {
		if state.Constrained {
			const help = "Requests of a tenant near its quota that all edges admitted in a window, as merged here."
			all := float64(state.Admitted) + state.Others
			out = append(
				out,
				metrics.Sample{Name: "quota_used", Help: help, Label: "tenant", LabelValue: tenant, Value: all},
			)
		}
	}
	return out
}

// noTableLogInterval is the interval between warnings about a missing route table.
const noTableLogInterval = 10 * time.Second

// logNoTable warns while there is no route table, since no request is served without one.
func (r *Proxy) logNoTable(context.Context) {
	if r.edge.joined.Load() && r.edge.Cluster.Now().Table.Revision == 0 {
		const line = "no configuration is in force yet: no request is served; see the cores' logs for rejected updates"
		r.edge.Log.Warn(line)
	}
}

// Ready returns an error while proxied requests are not accepted.
func (r *Proxy) Ready() error {
	switch {
	case r.edge.stopping.Load():
		return code.New(code.Stopping, "this node stops, ask another")
	case !r.edge.joined.Load() || r.Endpoints.Current().ReadAt.IsZero() || r.edge.Cluster.Now().Table.Revision == 0:
		return code.New(code.NotReady, "this node has just come up, ask another")
	}
	return nil
}

// Run keeps the endpoint list, the load of its runners, the quotas and the snapshot of the
// cooldowns up to date until ctx ends.
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
		listed := func(id string) bool { return r.Endpoints.Current().Get(id) != nil }
		r.load.Retain(listed)
		r.load.Watch.Retain(listed)
		r.pool.Retain(listed)
	})
}
