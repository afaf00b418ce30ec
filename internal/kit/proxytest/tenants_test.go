package proxytest_test

import (
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/kit/proxytest"
	"damsontiller/internal/proto/spec"
)

// Credentials of the tests' tenants.
const (
	northKey  = "k-north"
	northKey2 = "k-north-2"
	southKey  = "k-south"
)

func credential(key string) option { return head("X-Test-Credential", key) }

func twoTenants(t *spec.Table) {
	t.Tenants = []spec.Tenant{
		{Name: "north", Credentials: []string{northKey, northKey2}},
		{Name: "south", Credentials: []string{southKey}},
	}
}

// TestCredential: a request runs under the tenant of its credential, whatever its caller says
// of its tenant; the runner sees the tenant's name and never the credential; one with a
// credential that nobody holds does not run.
func TestCredential(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, farm(2, nil))
		defer r.stop()
		r.setTable(func(t *spec.Table) {
			twoTenants(t)
			for i := range t.Paths {
				t.Paths[i].Keyless = t.Paths[i].Name == stream
			}
		})
		for _, c := range []struct {
			path, key, tenant string
			status            int
		}{
			{once, northKey, "north", 200},
			{once, northKey2, "north", 200},
			{once, southKey, "south", 200},
			{once, "", "", 401},
			{once, "k-nort", "", 401},
			{repeatable, "k-north ", "north", 200}, // a header's value ends before its blanks
			{stream, "", "", 200},
			{stream, "k-nobody", "", 200},
			{stream, southKey, "south", 200},
		} {
			x := r.ask(c.path+"x", "in", credential(c.key), head("X-Test-Tenant", "another"))
			if x.status != c.status {
				t.Errorf("%s with %q: status %d, want %d: %s", c.path, c.key, x.status, c.status, x.body)
			}
			runs := r.runs(x.try)
			if (len(runs) == 1) != (c.status == 200) {
				t.Errorf("%s with %q: %d runs", c.path, c.key, len(runs))
				continue
			}
			for _, run := range runs {
				if got := run.Head.Get("X-Test-Tenant"); got != c.tenant {
					t.Errorf("%s with %q: ran for %q, want %q", c.path, c.key, got, c.tenant)
				}
				if run.Head.Get("X-Test-Credential") != "" {
					t.Errorf("%s with %q: the runner got the credential", c.path, c.key)
				}
			}
		}
	})
}

// TestCredentialWithdrawn: a credential that is withdrawn holds neither on a new connection
// nor for a request that waits for a runner at that moment.
func TestCredentialWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, farm(1, func(p *proxytest.Params) { p.Work = 300 * time.Millisecond }))
		defer r.stop()
		r.setTable(twoTenants)
		// The runner is full: the next request waits for a place.
		for range 8 {
			go r.ask(once+"x", "in", credential(southKey))
		}
		synctest.Wait()
		waits := make(chan received, 1)
		go func() { waits <- r.ask(once+"x", "in", credential(northKey)) }()
		synctest.Wait()
		r.setTable(func(t *spec.Table) {
			t.Tenants = []spec.Tenant{{Name: "north", Credentials: []string{northKey2}}, t.Tenants[1]}
		})
		if x := <-waits; x.status != 401 || len(r.runs(x.try)) > 0 {
			t.Errorf("the request that waited: status %d, %d runs", x.status, len(r.runs(x.try)))
		}
		if x := r.ask(once+"x", "in", credential(northKey)); x.status != 401 {
			t.Errorf("a new request: status %d", x.status)
		}
		if x := r.ask(once+"x", "in", credential(northKey2)); x.status != 200 {
			t.Errorf("the tenant's other credential: status %d", x.status)
		}
	})
}

// TestTurnOfAnotherTenant: a turn is found by its own tenant only, and is there for it all the
// same.
func TestTurnOfAnotherTenant(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, f *fleet) {
		f.table = twoTenants
		if x := f.at("e1").ask(kept+"c", "in", try("first", credential(northKey))); x.status != 200 {
			t.Fatalf("status %d: %s", x.status, x.body)
		}
		follow := func(name, key string) received {
			return f.at("e2").ask(kept+"c", "on", try(name, credential(key), head("X-Test-Follows", "first")))
		}
		if x := follow("theirs", southKey); x.status != 404 || len(f.at("e2").runs("theirs")) > 0 {
			t.Errorf("another tenant's: status %d, %d runs", x.status, len(f.at("e2").runs("theirs")))
		}
		if x := follow("ours", northKey2); x.status != 200 {
			t.Errorf("the tenant's own: status %d: %s", x.status, x.body)
		}
	})
}
