package proxytest_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"damsontiller/internal/dataplane/quota"
	"damsontiller/internal/proto/spec"
)

// quotaTable is a configuration whose one tenant may send 20 requests a second and 20 more.
const quotaTable = `{"revision":1,"route-table":[],"service-table":[],` +
	`"subscribers":[{"name":"north","credentials":["k-north"],"rate-per-s":20,"burst-size":20}]}`

// TestQuotaOverEdges: a tenant that sends 90 requests a second to three edges gets its quota
// over all of them; the others are refused, told when to come back, and do not run.
func TestQuotaOverEdges(t *testing.T) {
	inEvening(t, func(t *testing.T, e *evening) {
		e.putTable(quotaTable)
		for _, r := range e.rigs {
			r.setTable(func(t *spec.Table) {
				t.Tenants = []spec.Tenant{{Name: "north", Credentials: []string{northKey}, RatePerS: 20, Burst: 20}}
			})
		}
		time.Sleep(2 * time.Second)
		const seconds, eachPerS = 12, 30
		var wg sync.WaitGroup
		for i := range seconds * eachPerS {
			for n, r := range e.rigs {
				wg.Go(func() {
					x := r.ask(once+"x", "", try(fmt.Sprintf("e%d-%d", n, i), credential(northKey)))
					if ran := len(r.runs(x.try)); (x.status == 200) != (ran == 1) ||
						x.status != 200 && (x.status != http.StatusTooManyRequests || x.head.Get("Retry-After") == "") {
						t.Errorf("status %d, %d runs, Retry-After %q", x.status, ran, x.head.Get("Retry-After"))
					}
				})
			}
			time.Sleep(time.Second / eachPerS)
		}
		wg.Wait()
		e.checkQuota(seconds)
	})
}

// putTable puts a table in force on the cores.
func (e *evening) putTable(body string) {
	e.t.Helper()
	for _, m := range e.sim.Machines {
		if m.Role != "core" {
			continue
		}
		url := "http://" + m.HTTP + "/v1/configuration/replace"
		q, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
		if err != nil {
			e.t.Fatal(err)
		}
		q.Header.Set("X-Damsontiller-Base-Revision", "0")
		r, err := e.sim.RoundTrip(q)
		if err != nil || r.StatusCode != http.StatusOK {
			e.t.Fatalf("table not put: %v %v", r, err)
		}
		return
	}
}

// checkQuota holds what ran against the quota of quotaTable.
func (e *evening) checkQuota(seconds int) {
	e.t.Helper()
	const rate, burst = 20, 20
	var at []time.Time
	for _, b := range e.bs {
		for _, run := range b.Runs() {
			at = append(at, run.At)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	p := quota.DefaultParams
	allowed := int((rate*p.Window.Seconds()+burst)*(1+p.Excess) + p.Slack)
	first := 0
	for last := range at {
		for at[last].Sub(at[first]) >= p.Window {
			first++
		}
		if n := last - first + 1; n > allowed {
			e.t.Fatalf("%d requests ran in a window, %d are allowed", n, allowed)
		}
	}
	if want := rate * seconds * 85 / 100; len(at) < want {
		e.t.Errorf("%d requests ran in %d s, want %d", len(at), seconds, want)
	}
}
