package loadreport

import (
	"context"
	"sync"
	"time"

	"damsontiller/internal/dataplane/balancing/outlier"
	"damsontiller/internal/dataplane/request/proxy"
	"damsontiller/internal/proto/wire"
)

// In a large fleet each zone has its own collector, the first live edge of the zone: a single
// collector would answer every edge with data that grows with the number of runners, which
// exceeds the network and CPU capacity of an edge. The collectors exchange, in pairs, the load
// of their zones and the outcomes of jobs there. No correctness guarantee depends on the
// exchange: while a zone's collector is down, the last load of that zone expires after
// Params.Expiry, and two concurrent collectors of a zone count the same load twice.

// zoneSum is the load of another zone, as last received from its collector.
type zoneSum struct {
	receivedAt time.Time
	load       map[string]proxy.InFlight
}

// zoneExchange is a collector's state of the exchange between zones.
type zoneExchange struct {
	mu   sync.Mutex
	sums map[string]zoneSum
	// outcomes holds, by other zone, the outcomes of jobs here that it has not received yet.
	outcomes map[string]map[string]outlier.Count
}

func newZoneExchange() *zoneExchange {
	exchange := &zoneExchange{}
	exchange.reset()
	return exchange
}

// reset drops what other zones have sent and what they have not received yet.
func (exchange *zoneExchange) reset() {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	exchange.sums = map[string]zoneSum{}
	exchange.outcomes = map[string]map[string]outlier.Count{}
}

// byZone reports whether the fleet is large enough for a collector per zone.
func (report *LoadReport) byZone(order []*wire.Member) bool {
	return len(order) > report.params.SingleCollector
}

// collectors returns the collectors of other zones to which this one sends requests: of each pair,
// the one with the later zone name does, except that all send to the first of all edges, which
// reads the list of runners.
func (report *LoadReport) collectors(order []*wire.Member) []*wire.Member {
	own := report.node.Peer.Self.Zone
	firstByZone := map[string]*wire.Member{}
	for _, m := range order {
		if firstByZone[m.Zone] == nil {
			firstByZone[m.Zone] = m
		}
	}
	var out []*wire.Member
	for zone, m := range firstByZone {
		if zone != own && order[0].Zone != own && (m == order[0] || zone < own) {
			out = append(out, m)
		}
	}
	return out
}

// exchangeZones exchanges load and outcomes with the collectors of other zones. The requests run
// concurrently, each with Timeout, so that a slow collector does not delay the others.
func (report *LoadReport) exchangeZones(ctx context.Context, order []*wire.Member) {
	var wg sync.WaitGroup
	for _, m := range report.collectors(order) {
		wg.Go(func() { report.contained(func() { report.exchangeZone(ctx, m) }) })
	}
	wg.Wait()
}

// exchangeZone exchanges load and outcomes with one collector.
func (report *LoadReport) exchangeZone(ctx context.Context, to *wire.Member) {
	counts := report.zones.take(to.Zone)
	requestedAt := time.Now()
	request := &wire.LoadReport{
		Own:  withOutcomes(report.zoneLoad(), counts),
		Roll: report.listDigest(),
		Zone: report.node.Peer.Self.Zone,
	}
	r, err := report.node.Peer.CallWithTimeout(
		ctx,
		report.params.Timeout,
		to.Addr,
		&wire.Req{Op: &wire.Req_LoadReport{LoadReport: request}},
	)
	if err != nil {
		report.zones.putBack(to.Zone, counts)
		return
	}
	answer := r.GetLoadReport()
	report.adoptList(requestedAt, request.Roll, answer)
	if answer.GetZone() == to.Zone {
		report.receiveZone(to.Zone, answer.GetOthers())
	}
}

// answerZone handles a request of another zone's collector.
func (report *LoadReport) answerZone(q *wire.LoadReport, answer *wire.LoadReportAck) {
	report.receiveZone(q.Zone, q.Own)
	answer.Zone = report.node.Peer.Self.Zone
	answer.Others = withOutcomes(report.zoneLoad(), report.zones.take(q.Zone))
}

// receiveZone records the load of another zone and the outcomes of jobs there.
func (report *LoadReport) receiveZone(zone string, own []*wire.Busy) {
	load := map[string]proxy.InFlight{}
	for _, b := range own {
		if b.Jobs > 0 {
			load[b.Runner] = proxy.InFlight{Requests: int(b.Jobs), Tokens: b.Tokens}
		}
	}
	now := time.Now()
	report.zones.setSum(zone, zoneSum{now, load})
	report.outliers.Report("zone/"+zone, outcomesOf(own), now)
}

// setSum replaces the load of another zone.
func (exchange *zoneExchange) setSum(zone string, sum zoneSum) {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	exchange.sums[zone] = sum
}

// zoneLoad returns the load of this zone: that of this edge and of all edges that report to it.
func (report *LoadReport) zoneLoad() map[string]proxy.InFlight {
	all := report.reportedLoad("")
	for id, b := range report.load.Local() {
		x := all[id]
		all[id] = proxy.InFlight{Requests: x.Requests + b.Requests, Tokens: x.Tokens + b.Tokens}
	}
	return all
}

// withOutcomes combines load and outcomes in wire form.
func withOutcomes(load map[string]proxy.InFlight, counts map[string]outlier.Count) []*wire.Busy {
	out := make([]*wire.Busy, 0, len(load))
	for id, b := range load {
		out = append(out, withCounts(&wire.Busy{Runner: id, Jobs: int32(b.Requests), Tokens: b.Tokens}, counts[id]))
	}
	for id, c := range counts {
		if _, ok := load[id]; !ok {
			out = append(out, withCounts(&wire.Busy{Runner: id}, c))
		}
	}
	return out
}

// addTo adds the load of other zones to all and drops expired sums.
func (exchange *zoneExchange) addTo(all map[string]proxy.InFlight, expiry time.Duration) {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	for zone, sum := range exchange.sums {
		if time.Since(sum.receivedAt) > expiry {
			delete(exchange.sums, zone)
			continue
		}
		for id, b := range sum.load {
			o := all[id]
			all[id] = proxy.InFlight{Requests: o.Requests + b.Requests, Tokens: o.Tokens + b.Tokens}
		}
	}
}

// add records outcomes of jobs in this zone for each other zone.
func (exchange *zoneExchange) add(counts map[string]outlier.Count) {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	for _, pending := range exchange.outcomes {
		for id, c := range counts {
			pending[id] = pending[id].Plus(c)
		}
	}
}

// take returns and clears the outcomes that a zone has not received yet.
func (exchange *zoneExchange) take(zone string) map[string]outlier.Count {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	pending := exchange.outcomes[zone]
	exchange.outcomes[zone] = map[string]outlier.Count{}
	return pending
}

// putBack restores outcomes that could not be sent.
func (exchange *zoneExchange) putBack(zone string, counts map[string]outlier.Count) {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	if exchange.outcomes[zone] == nil {
		exchange.outcomes[zone] = map[string]outlier.Count{}
	}
	pending := exchange.outcomes[zone]
	for id, c := range counts {
		pending[id] = pending[id].Plus(c)
	}
}
