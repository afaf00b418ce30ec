package membership_test

import (
	"testing"

	"damsontiller/internal/coordination/membership"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/spec"
)

// editRegister makes a proposer edit the register with answers of the given cores only, and
// reports whether the edit was acknowledged.
func (sim *coresSimulation) editRegister(p *proposer, name string, edit func(*spec.Cluster) error, ids ...string) bool {
	sim.propose(p, name, edit)
	op := p.op
	sim.exchange(op, ids)
	if !quorum(op.set, op.promised) {
		p.op = nil
		return false
	}
	sim.proposeValue(p)
	sim.exchange(op, ids)
	if op.cell == nil || !quorum(op.set, op.accepted) {
		p.op = nil
		return false
	}
	sim.acknowledge(p)
	sim.apply(p.view, op.cell.Ver)
	sim.check()
	return true
}

// exchange delivers a proposal's messages to the given cores and writes them to their disks.
func (sim *coresSimulation) exchange(op *proposal, ids []string) {
	sim.network = nil
	for _, id := range ids {
		n := sim.nodes[id]
		sim.deliver(&coreMessage{to: register.Replica{Addr: id, Ident: n.machine.Ident}, op: op, cell: op.cell})
		for _, commit := range n.admitted {
			commit()
		}
		n.admitted = nil
	}
}

// publish applies the newest version to the views of all cores and the given proposers.
func (sim *coresSimulation) publish(proposers ...*proposer) {
	for _, n := range sim.nodes {
		sim.apply(n.view, sim.newest)
	}
	for _, p := range proposers {
		sim.apply(p.view, sim.newest)
	}
}

func revertChange(c *spec.Cluster) error {
	membership.SetNext(c, membership.Cores, nil)
	return nil
}

// fiveToThree returns a model with five cores, and the edit that starts a change to three.
func fiveToThree(t *testing.T) (*coresSimulation, func(*spec.Cluster) error) {
	sim := newCoresSimulation(t, 0)
	first := []string{"c0", "c1", "c2"}
	p := sim.proposers[0]
	five := append(machinesAt(sim, first...), machinesAt(sim, "c3", "c4")...)
	sim.editRegister(p, "five", func(c *spec.Cluster) error { c.Cores = five; return nil }, first...)
	sim.publish(sim.proposers...)
	// The newcomers receive the value, as they would when a change finishes.
	sim.editRegister(p, "edit", func(*spec.Cluster) error { return nil }, "c0", "c1", "c2", "c3", "c4")
	sim.publish(sim.proposers...)
	return sim, func(c *spec.Cluster) error {
		membership.SetNext(c, membership.Cores, five[:3])
		return nil
	}
}

func machinesAt(sim *coresSimulation, ids ...string) []spec.Machine {
	var out []spec.Machine
	for _, id := range ids {
		out = append(out, sim.nodes[id].machine)
	}
	return out
}

// TestPausedCoreReconciler guards against a reconciler that finishes a change on confirmations
// of an earlier, equal one. It is paused once a majority of the old cores has confirmed the
// change. Meanwhile the change is reverted and started again, and no core has confirmed the
// second one. The resumed reconciler must not finish it: proposers that act on the old set
// alone are not refused yet, and {c2, c3, c4} is a majority of the old set while {c0, c1} is
// one of the new set.
func TestPausedCoreReconciler(t *testing.T) {
	sim, begin := fiveToThree(t)
	all := []string{"c0", "c1", "c2", "c3", "c4"}
	reconciler, other, old := sim.proposers[0], sim.proposers[1], sim.proposers[2]
	sim.editRegister(reconciler, "begin", begin, all...)
	sim.publish(other)
	observed := membership.Of(&reconciler.view.Now().Cluster, membership.Cores)
	sim.editRegister(other, "revert", revertChange, all...)
	sim.publish(old)
	sim.editRegister(other, "begin", begin, all...)
	sim.apply(reconciler.view, sim.newest)
	finished := sim.editRegister(
		reconciler,
		"finish",
		func(c *spec.Cluster) error { return membership.FinishChange(c, membership.Cores, observed) },
		"c0",
		"c1",
		"c2",
	)
	acknowledged := sim.editRegister(old, "edit", func(*spec.Cluster) error { return nil }, "c2", "c3", "c4")
	if finished && acknowledged {
		t.Error("an edit was acknowledged by the old cores after the change to the new ones was finished")
	}
	if finished {
		t.Error("the change was finished on confirmations of another change")
	}
}

// TestSkippedCoreVersion verifies that cores that learned of a change and of an equal later
// one, but not of the revert between them, refuse a proposer at the version of the revert.
func TestSkippedCoreVersion(t *testing.T) {
	sim, begin := fiveToThree(t)
	all := []string{"c0", "c1", "c2", "c3", "c4"}
	reconciler, old := sim.proposers[0], sim.proposers[2]
	sim.editRegister(reconciler, "begin", begin, all...)
	sim.publish()
	sim.editRegister(reconciler, "revert", revertChange, all...)
	sim.apply(old.view, sim.newest)
	sim.editRegister(reconciler, "begin", begin, all...)
	sim.publish()
	observed := membership.Of(&reconciler.view.Now().Cluster, membership.Cores)
	if !sim.editRegister(
		reconciler,
		"finish",
		func(c *spec.Cluster) error { return membership.FinishChange(c, membership.Cores, observed) },
		"c0",
		"c1",
		"c2",
	) {
		t.Fatal("the change was not finished")
	}
	if sim.editRegister(old, "edit", func(*spec.Cluster) error { return nil }, "c2", "c3", "c4") {
		t.Error("an edit was acknowledged by the old cores after the change to the new ones was finished")
	}
}
