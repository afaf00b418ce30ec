package quota

import (
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/proto/wire"
)

// collectorRig is a collector with a recount of what it holds.
type collectorRig struct {
	t         *testing.T
	collector *Collector
}

func newCollectorRig(t *testing.T) *collectorRig {
	return &collectorRig{t: t, collector: NewCollector(DefaultParams)}
}

// report sends the report of one incarnation of a node.
func (r *collectorRig) report(id string, incarnation uint64, full bool, uses ...*wire.TenantUse) *wire.QuotaNews {
	report := &wire.QuotaReport{Use: uses}
	if !full {
		report.Table = r.collector.tableID
	}
	limit := func(string) Limit { return Limit{RatePerS: 10} }
	return r.collector.Collect(id, incarnation, report, Fleet{"a", "b", "c"}, limit)
}

func use(tenant string, admitted, requested uint32) *wire.TenantUse {
	return &wire.TenantUse{Tenant: tenant, Admitted: admitted, Asked: requested}
}

// check compares the totals with a recount of all nodes and ended incarnations.
func (r *collectorRig) check(step string) {
	r.t.Helper()
	want := map[string]tenantTotal{}
	for _, node := range r.collector.nodes {
		for tenant, use := range node.use {
			sum := want[tenant]
			sum.admitted += float64(use.admitted)
			sum.requested += float64(use.requested)
			want[tenant] = sum
		}
	}
	for _, incarnation := range r.collector.ended {
		for tenant, use := range incarnation.use {
			sum := want[tenant]
			sum.admitted += float64(use.admitted)
			want[tenant] = sum
		}
	}
	for tenant, sum := range r.collector.totals {
		if *sum != want[tenant] {
			r.t.Fatalf("%s: %s: total %+v, recounted %+v", step, tenant, *sum, want[tenant])
		}
	}
	if len(r.collector.totals) != len(want) {
		r.t.Fatalf("%s: %d totals, recounted %d", step, len(r.collector.totals), len(want))
	}
}

// TestReportAfterSilence guards against counts that stay for ever: the first report of a node that
// had been silent for so long that it was dropped was counted for a node that was no longer there.
func TestReportAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newCollectorRig(t)
		r.report("a", 0, true, use("t", 3, 4))
		time.Sleep(DefaultParams.MaxSilence + DefaultParams.Window + time.Second)
		if news := r.report("a", 0, false, use("t", 1, 1)); !news.Resend {
			t.Error("a report of changes was taken from a node that is not known")
		}
		r.check("after a silence")
		time.Sleep(time.Second)
		r.report("a", 0, true, use("t", 1, 1))
		time.Sleep(DefaultParams.MaxSilence + DefaultParams.Window + time.Second)
		r.report("a", 0, true, use("t", 2, 2))
		r.check("after another one")
		if sum := r.collector.totals["t"]; sum == nil || sum.admitted != 2 {
			t.Errorf("total %+v", sum)
		}
	})
}
