package quota

import (
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/proto/wire"
)

// syncedNode returns a node that has admitted some requests and has exchanged its counts since.
func syncedNode(admitted int, limit Limit) *Node {
	node := NewNode(DefaultParams)
	merge(node, nil)
	for range admitted {
		node.Admit(Request{Tenant: tenantName, Limit: limit})
	}
	merge(node, nil)
	return node
}

func merge(node *Node, answer []*wire.TenantNews) {
	report := node.Report()
	node.Merge(report, time.Now(), &wire.QuotaNews{Table: 1, Nodes: 50, Available: permille, Tenants: answer})
}

// countAdmitted sends up to most requests and returns how many are admitted before the first refusal.
func countAdmitted(node *Node, limit Limit, most int) int {
	for n := range most {
		if !node.Admit(Request{Tenant: tenantName, Limit: limit}).Admitted {
			return n
		}
	}
	return most
}

// TestNodeAlone checks that a node without contact to a collector admits per window what it had
// admitted at its last exchange or its equal share of the limit, and nothing after MaxSilence.
func TestNodeAlone(t *testing.T) {
	limit := Limit{RatePerS: 100, Burst: 100}
	for _, c := range []struct {
		name               string
		admitted           int
		silent             time.Duration
		wantNow, wantLater int // admitted immediately, and one window later
	}{
		{"as much as before", 30, 2 * time.Second, 0, 30},
		{"its equal share", 3, 2 * time.Second, 10, 13},
		{"after its maximum silence", 30, DefaultParams.MaxSilence, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				node := syncedNode(c.admitted, limit)
				time.Sleep(c.silent)
				if got := countAdmitted(node, limit, 1000); got != c.wantNow {
					t.Errorf("%d admitted at once, want %d", got, c.wantNow)
				}
				time.Sleep(DefaultParams.Window + time.Second)
				if got := countAdmitted(node, limit, 1000); got != c.wantLater {
					t.Errorf("%d admitted a window later, want %d", got, c.wantLater)
				}
			})
		})
	}
}

// TestNodeCancel checks that a canceled request does not count against the quota.
func TestNodeCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := Limit{RatePerS: 100, Burst: 100}
		node := syncedNode(30, limit)
		time.Sleep(DefaultParams.Window + time.Second)
		for range 30 {
			d := node.Admit(Request{Tenant: tenantName, Limit: limit})
			if !d.Admitted {
				t.Fatal("not admitted")
			}
			node.Cancel(tenantName, d)
		}
		if got := countAdmitted(node, limit, 1000); got != 30 {
			t.Errorf("%d admitted, want 30", got)
		}
	})
}

// TestNodeNotHeard checks that a node admits nothing before its first exchange, except for tenants
// without a limit.
func TestNodeNotHeard(t *testing.T) {
	node := NewNode(DefaultParams)
	if node.Admit(Request{Tenant: tenantName, Limit: Limit{RatePerS: 5}}).Admitted {
		t.Error("admitted before the first exchange")
	}
	if !node.Admit(Request{Tenant: tenantName}).Admitted {
		t.Error("refused though there is no limit")
	}
}

// TestNodeResend checks that a collector without a node's counts requests and receives a full report.
func TestNodeResend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := Limit{RatePerS: 100, Burst: 100}
		node, collector := syncedNode(7, limit), NewCollector(DefaultParams)
		limitOf := func(string) Limit { return limit }
		collect := func() *wire.QuotaNews {
			report, sentAt := node.Report(), time.Now()
			answer := collector.Collect("e1", 1, report, Fleet{"e1"}, limitOf)
			node.Merge(report, sentAt, answer)
			return answer
		}
		if !collect().Resend {
			t.Error("the collector accepted a partial report without the earlier counts")
		}
		if answer := collect(); answer.Resend || collector.totals[tenantName].admitted != 7 {
			t.Errorf("after the second report: %v", answer)
		}
		// Unchanged counts are not sent again.
		if report := node.Report(); len(report.Use) != 0 {
			t.Errorf("sent again: %v", report.Use)
		}
	})
}
