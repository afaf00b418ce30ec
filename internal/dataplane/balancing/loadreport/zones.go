package loadreport

import (
	"context"
	"sync"
	"time"

	"damsontiller/internal/dataplane/balancing/outlier"
	"damsontiller/internal/dataplane/request/proxy"
	"damsontiller/internal/proto/wire"
)

// In a large fleet each zone has a collector of its own, the first live edge of the zone: one
// for all would be asked by N edges for answers whose size grows with the runners, which is
// more than an edge's link and processor bear. The collectors tell each other, in pairs, what
// their zones have under way and what has come of jobs there. Nothing that must hold rests on
// it: while a zone's collector is gone, the others go without the figures of that zone for
// Params.Expiry at the longest, and two collectors of one zone count the same twice.

// zoneSum is what another zone has under way, as its collector told last.
type zoneSum struct {
	receivedAt time.Time
	load       map[string]proxy.InFlight
}

// zoneExchange is a collector's side of the exchange between zones.
type zoneExchange struct {
	mu   sync.Mutex
	sums map[string]zoneSum
	// outcomes are what came of jobs in this zone since each other zone was told.
	outcomes map[string]map[string]outlier.Count
}

func newZoneExchange() *zoneExchange {
	return &zoneExchange{sums: map[string]zoneSum{}, outcomes: map[string]map[string]outlier.Count{}}
}

// byZone reports whether a fleet is so large that each zone has a collector.
func (report *LoadReport) byZone(order []*wire.Member) bool {
	return len(order) > report.params.SingleCollector
}

// collectors are those whom this one asks, of the collectors of the other zones: of each two the
// one whose zone's name comes later asks, but everybody asks the first of all edges, which reads
// the list of runners.
func (report *LoadReport) collectors(order []*wire.Member) []*wire.Member {
	own := report.node.Peer.Self.Zone
	first := map[string]*wire.Member{}
	for _, m := range order {
		if first[m.Zone] == nil {
			first[m.Zone] = m
		}
	}
	var out []*wire.Member
	for zone, m := range first {
		if zone != own && order[0].Zone != own && (m == order[0] || zone < own) {
			out = append(out, m)
		}
	}
	return out
}

// exchangeZones tells the collectors of other zones of this one, and hears of theirs. Each is
// given Timeout; a slow one holds no other up.
func (report *LoadReport) exchangeZones(ctx context.Context, order []*wire.Member) {
	var wg sync.WaitGroup
	for _, m := range report.collectors(order) {
		wg.Go(func() { report.exchangeZone(ctx, m) })
	}
	wg.Wait()
}

func (report *LoadReport) exchangeZone(ctx context.Context, to *wire.Member) {
	counts := report.zones.take(to.Zone)
	asked := time.Now()
	request := &wire.LoadReport{
		Own:  withOutcomes(report.zoneLoad(), counts),
		Roll: report.rollSum(),
		Zone: report.node.Peer.Self.Zone,
	}
	r, err := report.node.Peer.CallFor(
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
	report.adoptList(asked, request.Roll, answer)
	if answer.GetZone() == to.Zone {
		report.receiveZone(to.Zone, answer.GetOthers())
	}
}

// answerZone is the other side: another zone's collector tells of its zone.
func (report *LoadReport) answerZone(q *wire.LoadReport, answer *wire.LoadReportAck) {
	report.receiveZone(q.Zone, q.Own)
	answer.Zone = report.node.Peer.Self.Zone
	answer.Others = withOutcomes(report.zoneLoad(), report.zones.take(q.Zone))
}

// receiveZone takes what another zone has under way, and what came of jobs there.
func (report *LoadReport) receiveZone(zone string, own []*wire.Busy) {
	load := map[string]proxy.InFlight{}
	for _, b := range own {
		if b.Jobs > 0 {
			load[b.Runner] = proxy.InFlight{Requests: int(b.Jobs), Tokens: b.Tokens}
		}
	}
	report.zones.mu.Lock()
	report.zones.sums[zone] = zoneSum{time.Now(), load}
	report.zones.mu.Unlock()
	now := time.Now()
	report.outliers.Report("zone/"+zone, outcomesOf(own), now)
}

// zoneLoad is what this edge's zone has under way: its own load and all that reported here.
func (report *LoadReport) zoneLoad() map[string]proxy.InFlight {
	all := report.reported("")
	for id, b := range report.load.Local() {
		x := all[id]
		all[id] = proxy.InFlight{Requests: x.Requests + b.Requests, Tokens: x.Tokens + b.Tokens}
	}
	return all
}

// withOutcomes joins load and outcomes to what is sent.
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

// addTo adds what other zones have under way.
func (x *zoneExchange) addTo(all map[string]proxy.InFlight, expiry time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for zone, sum := range x.sums {
		if time.Since(sum.receivedAt) > expiry {
			delete(x.sums, zone)
			continue
		}
		for id, b := range sum.load {
			o := all[id]
			all[id] = proxy.InFlight{Requests: o.Requests + b.Requests, Tokens: o.Tokens + b.Tokens}
		}
	}
}

// add counts what came of jobs in this zone, for each zone that is to be told.
func (x *zoneExchange) add(counts map[string]outlier.Count) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, due := range x.outcomes {
		for id, c := range counts {
			due[id] = due[id].Plus(c)
		}
	}
}

// take hands out what a zone has not been told yet.
func (x *zoneExchange) take(zone string) map[string]outlier.Count {
	x.mu.Lock()
	defer x.mu.Unlock()
	due := x.outcomes[zone]
	x.outcomes[zone] = map[string]outlier.Count{}
	return due
}

// putBack keeps what could not be told for the next time.
func (x *zoneExchange) putBack(zone string, counts map[string]outlier.Count) {
	x.mu.Lock()
	defer x.mu.Unlock()
	due := x.outcomes[zone]
	for id, c := range counts {
		due[id] = due[id].Plus(c)
	}
}
