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

// register is the cluster's value with its version.
type clusterRegister struct {
	ver uint64
	c   spec.Cluster
}

func (r *clusterRegister) edit(f func(*spec.Cluster) error) error {
	err := cluster.Edit(&r.c, r.ver+1, f)
	if err == nil {
		r.ver++
	}
	return err
}

// replace has a set take a newcomer in another's place, in two steps.
func (r *clusterRegister) replace(set membership.Set, i int, m spec.Machine, madeUnder uint64) error {
	was := membership.Of(&r.c, set)
	target := membership.Target{
		Machines:         slices.Clone(was.Now),
		IdentityVersions: map[string]uint64{m.Ident: madeUnder},
	}
	target.Machines[i] = m
	if err := r.edit(func(c *spec.Cluster) error { return membership.BeginChange(c, set, was, target) }); err != nil {
		return err
	}
	change := membership.Of(&r.c, set)
	return r.edit(func(c *spec.Cluster) error { return membership.FinishChange(c, set, change) })
}

// TestThousandReplaced: the register stays as large as it was however many machines are
// replaced, and none of them ever comes back, also not the very first ones, which an
// earlier release has made and which were frozen all the while.
func TestThousandReplaced(t *testing.T) {
	r := &clusterRegister{
		ver: 1,
		c: spec.Cluster{
			Stores:      machinesOf(threeStores),
			Cores:       machinesOf("c1/a/k1 c2/b/k2 c3/c/k3"),
			StoresSince: 1,
			CoresSince:  1,
		},
	}
	departed := map[string]uint64{} // identities removed, and what each was made under
	madeUnder := map[string]uint64{"i1": 0, "i2": 0, "i3": 0, "k1": 0, "k2": 0, "k3": 0}
	largest := 0
	for i := range 1000 {
		set := []membership.Set{membership.Stores, membership.Cores}[i%2]
		old := membership.Of(&r.c, set).Now[i/2%3]
		m := spec.Machine{ID: old.ID, Addr: old.Addr, Zone: old.Zone, Ident: fmt.Sprintf("%024d", i)}
		madeUnder[m.Ident] = r.ver
		if err := r.replace(set, i/2%3, m, r.ver); err != nil {
			t.Fatalf("replacement %d: %v", i, err)
		}
		departed[old.Ident] = madeUnder[old.Ident]
		raw, err := r.c.MarshalJSON()
		if err != nil {
			t.Fatal(err)
		}
		largest = max(largest, len(raw))
		if i%20 == 0 {
			checkRefused(t, r, departed)
		}
	}
	checkRefused(t, r, departed)
	for ident, made := range departed {
		m := spec.Machine{ID: "s1", Addr: "s1", Zone: "a", Ident: ident}
		if err := r.replace(membership.Stores, 0, m, made); !errors.Is(err, cluster.ErrNoChange) {
			t.Fatalf("%s was taken in again: %v", ident, err)
		}
	}
	if most := 5000; largest > most || len(r.c.Used) > cluster.MaxRemovedIdentities {
		t.Errorf("the register has had %d bytes, %d identities are listed", largest, len(r.c.Used))
	}
	t.Logf(
		"%d replaced, at most %d bytes, %d listed, floor %d of version %d",
		len(departed),
		largest,
		len(r.c.Used),
		r.c.IdentityFloor,
		r.ver,
	)
}

func checkRefused(t *testing.T, r *clusterRegister, departed map[string]uint64) {
	t.Helper()
	for ident, made := range departed {
		if !membership.IdentityRefused(&r.c, ident, made) || !membership.Removed(&r.c, ident, made) {
			t.Fatalf("at version %d %s, made under %d, may come back", r.ver, ident, made)
		}
	}
}

// TestNoIdentityBack: whatever is begun, reverted, redirected elsewhere and settled, with
// newcomers old and new, an identity that was in a set and is in none is refused.
func TestNoIdentityBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &clusterRegister{ver: 1, c: spec.Cluster{Stores: machinesOf(threeStores), StoresSince: 1, CoresSince: 1}}
		made := map[string]uint64{"i1": 0, "i2": 0, "i3": 0}
		left := map[string]bool{}
		for step := range rapid.IntRange(1, 150).Draw(t, "steps") {
			before := slices.Concat(r.c.Stores, r.c.NextStores)
			r.play(t, made, step)
			for _, m := range before {
				if !membership.Has(slices.Concat(r.c.Stores, r.c.NextStores), m.Ident) {
					left[m.Ident] = true
				}
			}
			for ident := range left {
				if membership.Has(slices.Concat(r.c.Stores, r.c.NextStores), ident) ||
					!membership.IdentityRefused(&r.c, ident, made[ident]) {
					t.Fatalf("%s, made under %d, is not refused at version %d", ident, made[ident], r.ver)
				}
			}
			if len(r.c.Used) > cluster.MaxRemovedIdentities || len(r.c.Spares) > len(r.c.Stores)+len(r.c.NextStores) {
				t.Fatalf("%d used, %d beside", len(r.c.Used), len(r.c.Spares))
			}
		}
	})
}

// play makes one change of the stores at random; one that changes nothing is fine.
func (r *clusterRegister) play(t *rapid.T, made map[string]uint64, step int) {
	was := membership.Of(&r.c, membership.Stores)
	ident := fmt.Sprintf("n%d", step)
	if rapid.IntRange(0, 3).Draw(t, "old") == 0 {
		ident = fmt.Sprintf("n%d", rapid.IntRange(0, step).Draw(t, "which"))
	}
	if _, ok := made[ident]; !ok {
		made[ident] = r.ver - uint64(rapid.IntRange(0, 1).Draw(t, "behind"))
	}
	target := membership.Target{Machines: slices.Clone(was.Now), IdentityVersions: made, Spares: []string{ident}}
	i := rapid.IntRange(0, 2).Draw(t, "place")
	target.Machines[i].Ident = ident
	_ = r.edit(func(c *spec.Cluster) error {
		switch rapid.IntRange(0, 3).Draw(t, "what") {
		case 0:
			membership.SetNext(c, membership.Stores, nil)
			return nil
		case 1:
			return membership.FinishChange(c, membership.Stores, was)
		}
		return membership.BeginChange(c, membership.Stores, was, target)
	})
}

// TestRetiredBetween: a store that its operator retires after a mover has looked, and
// before it changes the set, is not taken in any more.
func TestRetiredBetween(t *testing.T) {
	const newcomer = "s4/a/i4"
	target := membership.Target{
		Machines:         machinesOf(threeStores + " " + newcomer),
		IdentityVersions: map[string]uint64{"i4": 1},
	}
	for _, tc := range []struct {
		retired []string
		taken   bool
	}{
		{nil, true},
		{[]string{"s9"}, true},
		{[]string{"s4"}, false},
		{[]string{"s1"}, true},
	} {
		r := &clusterRegister{ver: 1, c: spec.Cluster{Stores: machinesOf(threeStores), StoresSince: 1, CoresSince: 1}}
		was := membership.Of(&r.c, membership.Stores)
		r.c.Retired = tc.retired
		_ = r.edit(func(c *spec.Cluster) error { return membership.BeginChange(c, membership.Stores, was, target) })
		if got := membership.Has(r.c.NextStores, "i4"); got != tc.taken {
			t.Errorf("retired %v: taken in %t, want %t", tc.retired, got, tc.taken)
		}
	}
}
