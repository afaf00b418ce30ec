package quota

import (
	"fmt"
	"math/rand/v2"
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
			sum.holders++
			want[tenant] = sum
		}
	}
	for _, incarnation := range r.collector.ended {
		for tenant, use := range incarnation.use {
			sum := want[tenant]
			sum.admitted += float64(use.admitted)
			sum.holders++
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

// TestRefusedThenRestarted guards against the end of the process that merges the quotas' counts:
// two edges that had only refused requests of a tenant started anew within a window, and the first
// of their former incarnations to expire deleted the total that the second one counted in.
func TestRefusedThenRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newCollectorRig(t)
		for incarnation := range uint64(2) {
			for _, id := range []string{"a", "b"} {
				if incarnation == 0 {
					r.report(id, incarnation, true, use("t", 0, 5))
				} else {
					r.report(id, incarnation, true)
				}
				r.check(fmt.Sprint(id, incarnation))
			}
		}
		time.Sleep(DefaultParams.Window)
		r.report("c", 0, true)
		r.check("after a window")
	})
}

// TestTotalsRecounted checks the totals against a recount after each of many random reports, starts,
// silences and expiries.
func TestTotalsRecounted(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			r := newCollectorRig(t)
			incarnations := map[string]uint64{}
			for step := range 250 {
				id := string(rune('a' + random.IntN(4)))
				var uses []*wire.TenantUse
				for range random.IntN(4) {
					admitted := uint32(random.IntN(3))
					uses = append(uses, use(fmt.Sprint("t", random.IntN(3)), admitted, admitted+uint32(random.IntN(3))))
				}
				switch random.IntN(10) {
				case 0:
					incarnations[id]++
				case 1:
					time.Sleep(time.Duration(random.Int64N(int64(2 * DefaultParams.Window))))
				case 2:
					time.Sleep(DefaultParams.MaxSilence)
				default:
					time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
				}
				r.report(id, incarnations[id], random.IntN(3) == 0, uses...)
				r.check(fmt.Sprintf("seed %d, step %d", seed, step))
			}
		})
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

// TestCollectorFault checks that a wrong state of the counts ends no process: they start anew, and
// the next full reports are counted as ever.
func TestCollectorFault(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newCollectorRig(t)
		faults := 0
		r.collector.OnFault = func(any) { faults++ }
		r.report("a", 0, true, use("t", 1, 2))
		r.report("b", 0, true, use("u", 1, 1))
		former := r.collector.tableID
		r.collector.totals["t"] = nil
		if news := r.report("a", 0, false, use("t", 2, 3)); !news.Resend || faults != 1 || r.collector.tableID == former {
			t.Errorf("%d faults, %+v", faults, news)
		}
		r.check("after the fault")
		if news := r.report("a", 0, true, use("t", 2, 3)); news.Resend || faults != 1 {
			t.Errorf("%d faults, %+v", faults, news)
		}
		if news := r.collector.Collect("b", 0, &wire.QuotaReport{Table: former}, nil, nil); !news.Resend {
			t.Error("changes to counts that are gone were taken")
		}
		r.check("in the end")
	})
}
