package singleton_test

import (
	"testing"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/singleton"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// TestEpochGuard checks that an epoch below the highest one is rejected, whether this node
// or another one has seen that.
func TestEpochGuard(t *testing.T) {
	var guard singleton.EpochGuard
	if err := guard.Admit(3); err != nil {
		t.Fatal(err)
	}
	if err := guard.Admit(3); err != nil {
		t.Errorf("the same holder again: %v", err)
	}
	if err := guard.Admit(2); code.Of(err) != code.OldEpoch {
		t.Errorf("an old epoch: %v", err)
	}
	guard.Observe(7)
	if err := guard.Admit(6); code.Of(err) != code.OldEpoch || guard.Highest() != 7 {
		t.Errorf("epoch lower than one observed by another node: %v, highest %d", err, guard.Highest())
	}
	guard.Observe(1)
	if guard.Highest() != 7 {
		t.Errorf("highest epoch went back to %d", guard.Highest())
	}
}

// TestOrder checks that live edges are ordered by id, with those of drained zones last.
func TestOrder(t *testing.T) {
	view := &cluster.View{}
	view.Spec = spec.Spec{EmptyZones: []string{"a"}}
	got := ""
	for _, m := range singleton.SuccessionOrder(view, []*wire.Member{
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
