package cluster_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// machines returns the given numbers of machines in the zones a, b, c and so on.
func machines(zones ...int) []spec.Machine {
	var out []spec.Machine
	for z, n := range zones {
		for i := range n {
			id := fmt.Sprintf("s%c%d", 'a'+z, i)
			out = append(out, spec.Machine{ID: id, Addr: id, Zone: string(rune('a' + z)), Ident: "i" + id})
		}
	}
	return out
}

// TestHolders checks that the replicas of a key are spread over zones, so that with enough zones
// the loss of any one leaves a majority; that every machine holds some keys; and that adding a
// machine moves only the keys that it receives.
func TestHolders(t *testing.T) {
	for _, tc := range []struct {
		zones             []int
		copies            int
		zoneHoldsMajority bool // a zone may hold a majority
	}{
		{[]int{1, 1, 1}, 3, false},
		{[]int{2, 2, 1}, 3, false},
		{[]int{4, 1, 1}, 3, false},
		{[]int{2, 2, 2}, 5, false},
		{[]int{5, 4, 3}, 5, false},
		{[]int{3, 3}, 3, true},
		{[]int{7}, 3, true},
	} {
		set := machines(tc.zones...)
		count := map[string]int{}
		extended := append(slices.Clone(set), spec.Machine{ID: "new", Addr: "new", Zone: "b", Ident: "inew"})
		for i := range 3000 {
			key := fmt.Sprint("turn/", i)
			holders := cluster.Holders(set, key, tc.copies)
			if len(holders) != tc.copies {
				t.Fatalf("%v: %d holders", tc, len(holders))
			}
			holdersInZone := map[string]int{}
			for _, m := range holders {
				holdersInZone[m.Zone]++
				count[m.ID]++
			}
			for z, n := range holdersInZone {
				if !tc.zoneHoldsMajority && n*2 >= tc.copies {
					t.Fatalf("%v: zone %s holds %d of %d", tc, z, n, tc.copies)
				}
			}
			// Only the new machine may gain keys.
			for _, m := range cluster.Holders(extended, key, tc.copies) {
				if m.ID != "new" && !slices.Contains(holders, m) {
					t.Fatalf("%v: %s gains %s though it is not new", tc, m.ID, key)
				}
			}
		}
		for _, m := range set {
			if count[m.ID] == 0 {
				t.Errorf("%v: %s holds nothing", tc, m.ID)
			}
		}
	}
	if cluster.Holders(nil, "k", 3) != nil {
		t.Error("an empty set has holders")
	}
	half := machines(1, 1, 1)
	half[0].Ident = ""
	if cluster.Holders(half, "k", 3) != nil {
		t.Error("a set with an unknown identity has holders")
	}
}

// TestMaxHolders checks that MaxHolders is never less than the number of replicas actually placed
// on the subset.
func TestMaxHolders(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		set := machines(rnd.IntN(4), rnd.IntN(4), 1+rnd.IntN(4))
		copies := []int{3, 5}[rnd.IntN(2)]
		var subset []spec.Machine
		for _, m := range set {
			if rnd.IntN(3) == 0 {
				subset = append(subset, m)
			}
		}
		bound := cluster.MaxHolders(set, subset, copies)
		for i := range 200 {
			count := 0
			for _, m := range cluster.Holders(set, fmt.Sprint(i), copies) {
				if slices.Contains(subset, m) {
					count++
				}
			}
			if count > bound {
				t.Fatalf(
					"set %v, subset %v: %d of a key's %d replicas on the subset, MaxHolders is %d",
					set,
					subset,
					count,
					copies,
					bound,
				)
			}
		}
	}
	if w := cluster.MaxHolders(machines(2, 2, 1), machines(2), 3); w != 1 {
		t.Errorf("one of three zones holds %d of three replicas", w)
	}
}

// TestStoresDigest checks that different sets of stores have different digests.
func TestStoresDigest(t *testing.T) {
	view := func(now, next []spec.Machine) uint64 {
		v := cluster.View{Cluster: spec.Cluster{Stores: now, NextStores: next}}
		return v.StoresDigest()
	}
	a, b := machines(1, 1, 1), machines(1, 1, 1)
	b[1].Ident = "other"
	if view(a, nil) == view(b, nil) || view(a, b) == view(b, a) || view(a, nil) == view(nil, a) {
		t.Error("different sets have the same digest")
	}
	if view(a, b) != view(slices.Clone(a), slices.Clone(b)) {
		t.Error("equal sets have different digests")
	}
}

// memory is an in-memory disk of an acceptor.
type memory map[string]*wire.Rec

func (disk memory) Load(key string) (*wire.Rec, error) {
	if record := disk[key]; record != nil {
		return &wire.Rec{Promised: record.Promised, Accepted: record.Accepted, Cell: record.Cell}, nil
	}
	return &wire.Rec{}, nil
}

func (disk memory) Save(key string, record *wire.Rec) error {
	disk[key] = record
	return nil
}

// TestChosenOnFullDisk checks that a chosen change is no error if the local disk does not store it,
// and that the version is not in force on this process, so that it is not confirmed.
func TestChosenOnFullDisk(t *testing.T) {
	acceptor := register.NewAcceptor(memory{})
	call := func(_ context.Context, _ string, q *wire.Req) (*wire.Resp, error) {
		v, err := acceptor.Answer(q)
		return &wire.Resp{Op: &wire.Resp_View{View: v}}, err
	}
	proposer := register.NewProposer(1, call)
	cores := []spec.Machine{{ID: "c1", Addr: "c1", Ident: "ic1"}}
	first := spec.Cluster{Cores: cores}
	raw, err := first.MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	set := register.Set{{{Addr: "c1", Ident: "ic1"}}}
	initialValue := func(register.State) ([]byte, bool, error) { return raw, false, nil }
	if _, err := proposer.Change(t.Context(), set, cluster.Key, initialValue); err != nil {
		t.Fatal(err)
	}
	for _, failure := range []code.Code{code.DiskFull, code.DiskStalled, code.WriteUncertain, code.DiskFailure} {
		local := cluster.New(proposer, func([]byte, uint64) error { return code.New(failure, "no sync") })
		local.SetInitialVoters(cores)
		version, value, err := local.Change(t.Context(), 0, func(cluster *spec.Cluster) error {
			cluster.Copies++
			return nil
		})
		if err != nil || version == 0 || value == nil {
			t.Errorf("%v: a chosen change returned version %d, %v", failure, version, err)
		}
		if local.Now().Version != 0 {
			t.Errorf("%v: version %d is in force but not on disk", failure, local.Now().Version)
		}
	}
}
