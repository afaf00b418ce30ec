package quota

import (
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/proto/wire"
)

// heardNode is a node that has admitted some requests and has heard of a fleet since.
func heardNode(admitted int, limit Limit) *Node {
	node := NewNode(DefaultParams)
	merge(node, nil)
	for range admitted {
		node.Admit(Request{Tenant: tenantName, Limit: limit})
	}
	merge(node, nil)
	return node
}

func merge(node *Node, news []*wire.TenantNews) {
	report := node.Report()
	node.Merge(report, time.Now(), &wire.QuotaNews{Table: 1, Nodes: 50, Available: thousand, Tenants: news})
}

// admits counts how many requests in a row a node admits.
func admits(node *Node, limit Limit, most int) int {
	for n := range most {
		if !node.Admit(Request{Tenant: tenantName, Limit: limit}).Admitted {
			return n
		}
	}
	return most
}

// TestNodeAlone: a node that hears nothing any more admits in a window what it had when it
// last heard, or its equal part of the limit; past its hold nothing.
func TestNodeAlone(t *testing.T) {
	limit := Limit{RatePerS: 100, Burst: 100}
	for _, c := range []struct {
		name      string
		admitted  int
		silent    time.Duration
		now, then int // at once, and a window later
	}{
		{"as much as before", 30, 2 * time.Second, 0, 30},
		{"its equal part", 3, 2 * time.Second, 10, 13},
		{"past its hold", 30, DefaultParams.MaxSilence, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				node := heardNode(c.admitted, limit)
				time.Sleep(c.silent)
				if got := admits(node, limit, 1000); got != c.now {
					t.Errorf("%d admitted at once, want %d", got, c.now)
				}
				time.Sleep(DefaultParams.Window + time.Second)
				if got := admits(node, limit, 1000); got != c.then {
					t.Errorf("%d admitted a window later, want %d", got, c.then)
				}
			})
		})
	}
}

// TestNodeCancel: a request that has not run leaves its place to another.
func TestNodeCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := Limit{RatePerS: 100, Burst: 100}
		node := heardNode(30, limit)
		time.Sleep(DefaultParams.Window + time.Second)
		for range 30 {
			d := node.Admit(Request{Tenant: tenantName, Limit: limit})
			if !d.Admitted {
				t.Fatal("not admitted")
			}
			node.Cancel(tenantName, d)
		}
		if got := admits(node, limit, 1000); got != 30 {
			t.Errorf("%d admitted, want 30", got)
		}
	})
}

// TestNodeNotHeard: a node that has heard nothing yet admits nothing; without a limit it does.
func TestNodeNotHeard(t *testing.T) {
	node := NewNode(DefaultParams)
	if node.Admit(Request{Tenant: tenantName, Limit: Limit{RatePerS: 5}}).Admitted {
		t.Error("admitted before anything was heard")
	}
	if !node.Admit(Request{Tenant: tenantName}).Admitted {
		t.Error("refused though there is no limit")
	}
}

// TestNodeResend: a collector that lacks a node's counts gets them all with the next report.
func TestNodeResend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := Limit{RatePerS: 100, Burst: 100}
		node, other := heardNode(7, limit), NewCollector(DefaultParams)
		limitOf := func(string) Limit { return limit }
		collect := func() *wire.QuotaNews {
			report, at := node.Report(), time.Now()
			news := other.Collect("e1", 1, report, Fleet{"e1"}, limitOf)
			node.Merge(report, at, news)
			return news
		}
		if !collect().Resend {
			t.Error("a collector takes differences to counts that it does not have")
		}
		if news := collect(); news.Resend || other.totals[tenantName].admitted != 7 {
			t.Errorf("after the second report: %v", news)
		}
		// Nothing changed, so nothing is sent.
		if report := node.Report(); len(report.Use) != 0 {
			t.Errorf("sent again: %v", report.Use)
		}
	})
}
