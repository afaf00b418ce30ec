package singleton_test

import (
	"testing"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/singleton"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// TestEpochGuard: an epoch below the highest seen is refused, wherever that was seen.
func TestEpochGuard(t *testing.T) {
	var f singleton.EpochGuard
	if err := f.Admit(3); err != nil {
		t.Fatal(err)
	}
	if err := f.Admit(3); err != nil {
		t.Errorf("the same holder again: %v", err)
	}
	if err := f.Admit(2); code.Of(err) != code.OldEpoch {
		t.Errorf("an old epoch: %v", err)
	}
	f.Observe(7)
	if err := f.Admit(6); code.Of(err) != code.OldEpoch || f.Highest() != 7 {
		t.Errorf("older than one heard of: %v, top %d", err, f.Highest())
	}
	f.Observe(1)
	if f.Highest() != 7 {
		t.Errorf("slipped back to %d", f.Highest())
	}
}

// TestOrder: live edges by id; those of emptied zones last.
func TestOrder(t *testing.T) {
	v := &cluster.View{}
	v.Spec = spec.Spec{EmptyZones: []string{"a"}}
	got := ""
	for _, m := range singleton.SuccessionOrder(v, []*wire.Member{
		{Id: "e3", Role: "edge", Zone: "c", Live: true},
		{Id: "e1", Role: "edge", Zone: "a", Live: true},
		{Id: "e2", Role: "edge", Zone: "b", Live: true},
		{Id: "e0", Role: "edge", Zone: "b"}, {Id: "c1", Role: "core", Zone: "b", Live: true},
	}) {
		got += m.Id + " "
	}
	if got != "e2 e3 e1 " {
		t.Errorf("order %q", got)
	}
}
