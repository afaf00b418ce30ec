package membership_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/membership"
	"damsontiller/internal/proto/spec"
)

// clusterRegister is the value of the cluster's register with its version.
type clusterRegister struct {
	version uint64
	cluster spec.Cluster
}

func (r *clusterRegister) edit(f func(*spec.Cluster) error) error {
	err := cluster.Edit(&r.cluster, r.version+1, f)
	if err == nil {
		r.version++
	}
	return err
}

// replace begins and finishes a change that replaces one machine of a set by a newcomer.
func (r *clusterRegister) replace(set membership.Set, i int, m spec.Machine, identityVersion uint64) error {
	observed := membership.Of(&r.cluster, set)
	target := membership.Target{
		Machines:         slices.Clone(observed.Now),
		IdentityVersions: map[string]uint64{m.Ident: identityVersion},
	}
	target.Machines[i] = m
	if err := r.edit(func(c *spec.Cluster) error { return membership.BeginChange(c, set, observed, target) }); err != nil {
		return err
	}
	change := membership.Of(&r.cluster, set)
	return r.edit(func(c *spec.Cluster) error { return membership.FinishChange(c, set, change) })
}

// TestThousandReplaced verifies that the register doesn't grow with the number of replaced
// machines and that no replaced identity is ever admitted again. That includes the first
// identities, which have version 0 because an earlier release created them.
func TestThousandReplaced(t *testing.T) {
	r := &clusterRegister{
		version: 1,
		cluster: spec.Cluster{
			Stores:      machinesOf(threeStores),
			Cores:       machinesOf("c1/a/k1 c2/b/k2 c3/c/k3"),
			StoresSince: 1,
			CoresSince:  1,
		},
	}
	departed := map[string]uint64{} // the removed identities and their identity versions
	identityVersions := map[string]uint64{"i1": 0, "i2": 0, "i3": 0, "k1": 0, "k2": 0, "k3": 0}
	largest := 0
	for i := range 1000 {
		set := []membership.Set{membership.Stores, membership.Cores}[i%2]
		old := membership.Of(&r.cluster, set).Now[i/2%3]
		m := spec.Machine{ID: old.ID, Addr: old.Addr, Zone: old.Zone, Ident: fmt.Sprintf("%024d", i)}
		identityVersions[m.Ident] = r.version
		if err := r.replace(set, i/2%3, m, r.version); err != nil {
			t.Fatalf("replacement %d: %v", i, err)
		}
		departed[old.Ident] = identityVersions[old.Ident]
		raw, err := r.cluster.MarshalJSON()
		if err != nil {
			t.Fatal(err)
		}
		largest = max(largest, len(raw))
		if i%20 == 0 {
			checkRefused(t, r, departed)
		}
	}
	checkRefused(t, r, departed)
	for ident, identityVersion := range departed {
		m := spec.Machine{ID: "s1", Addr: "s1", Zone: "a", Ident: ident}
		if err := r.replace(membership.Stores, 0, m, identityVersion); !errors.Is(err, cluster.ErrNoChange) {
			t.Fatalf("removed identity %s was admitted again: %v", ident, err)
		}
	}
	if maxBytes := 5000; largest > maxBytes || len(r.cluster.Used) > cluster.MaxRemovedIdentities {
		t.Errorf("the register reached %d bytes, %d identities are listed", largest, len(r.cluster.Used))
	}
	t.Logf(
		"%d replaced, at most %d bytes, %d listed, floor %d at version %d",
		len(departed),
		largest,
		len(r.cluster.Used),
		r.cluster.IdentityFloor,
		r.version,
	)
}

func checkRefused(t *testing.T, r *clusterRegister, departed map[string]uint64) {
	t.Helper()
	for ident, identityVersion := range departed {
		if !membership.IdentityRefused(&r.cluster, ident, identityVersion) ||
			!membership.Removed(&r.cluster, ident, identityVersion) {
			t.Fatalf("version %d: identity %s of version %d is not refused", r.version, ident, identityVersion)
		}
	}
}

// TestNoIdentityBack verifies that an identity that was removed from all sets is refused after
// any sequence of started, redirected, reverted and finished changes with old and new
// newcomers.
func TestNoIdentityBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &clusterRegister{version: 1, cluster: spec.Cluster{Stores: machinesOf(threeStores), StoresSince: 1, CoresSince: 1}}
		identityVersions := map[string]uint64{"i1": 0, "i2": 0, "i3": 0}
		removed := map[string]bool{}
		for step := range rapid.IntRange(1, 150).Draw(t, "steps") {
			before := slices.Concat(r.cluster.Stores, r.cluster.NextStores)
			r.randomEdit(t, identityVersions, step)
			for _, m := range before {
				if !membership.Has(slices.Concat(r.cluster.Stores, r.cluster.NextStores), m.Ident) {
					removed[m.Ident] = true
				}
			}
			for ident := range removed {
				if membership.Has(slices.Concat(r.cluster.Stores, r.cluster.NextStores), ident) ||
					!membership.IdentityRefused(&r.cluster, ident, identityVersions[ident]) {
					t.Fatalf("identity %s of version %d is not refused at version %d", ident, identityVersions[ident], r.version)
				}
			}
			if len(r.cluster.Used) > cluster.MaxRemovedIdentities || len(r.cluster.Spares) > len(r.cluster.Stores)+len(r.cluster.NextStores) {
				t.Fatalf("%d used identities, %d spares", len(r.cluster.Used), len(r.cluster.Spares))
			}
		}
	})
}

// randomEdit makes one random edit of the stores, which may have no effect.
func (r *clusterRegister) randomEdit(t *rapid.T, identityVersions map[string]uint64, step int) {
	observed := membership.Of(&r.cluster, membership.Stores)
	ident := fmt.Sprintf("n%d", step)
	if rapid.IntRange(0, 3).Draw(t, "old") == 0 {
		ident = fmt.Sprintf("n%d", rapid.IntRange(0, step).Draw(t, "which"))
	}
	if _, ok := identityVersions[ident]; !ok {
		identityVersions[ident] = r.version - uint64(rapid.IntRange(0, 1).Draw(t, "behind"))
	}
	target := membership.Target{Machines: slices.Clone(observed.Now), IdentityVersions: identityVersions, Spares: []string{ident}}
	i := rapid.IntRange(0, 2).Draw(t, "place")
	target.Machines[i].Ident = ident
	_ = r.edit(func(c *spec.Cluster) error {
		switch rapid.IntRange(0, 3).Draw(t, "what") {
		case 0:
			membership.SetNext(c, membership.Stores, nil)
			return nil
		case 1:
			return membership.FinishChange(c, membership.Stores, observed)
		}
		return membership.BeginChange(c, membership.Stores, observed, target)
	})
}

// TestRetiredBetween verifies that a store is not admitted if its operator retires it between
// the reconciler's observation and the change.
func TestRetiredBetween(t *testing.T) {
	const newcomer = "s4/a/i4"
	target := membership.Target{
		Machines:         machinesOf(threeStores + " " + newcomer),
		IdentityVersions: map[string]uint64{"i4": 1},
	}
	for _, tc := range []struct {
		retired  []string
		admitted bool
	}{
		{nil, true},
		{[]string{"s9"}, true},
		{[]string{"s4"}, false},
		{[]string{"s1"}, true},
	} {
		r := &clusterRegister{version: 1, cluster: spec.Cluster{Stores: machinesOf(threeStores), StoresSince: 1, CoresSince: 1}}
		observed := membership.Of(&r.cluster, membership.Stores)
		r.cluster.Retired = tc.retired
		_ = r.edit(func(c *spec.Cluster) error { return membership.BeginChange(c, membership.Stores, observed, target) })
		if got := membership.Has(r.cluster.NextStores, "i4"); got != tc.admitted {
			t.Errorf("retired %v: admitted %t, want %t", tc.retired, got, tc.admitted)
		}
	}
}
