package membership_test

import (
	"testing"

	"damsontiller/internal/coordination/membership"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/spec"
)

// editRegister makes a proposer edit the register with answers of the given cores only, and
// reports whether the edit was acknowledged.
func (w *coresWorld) editRegister(p *proposer, name string, edit func(*spec.Cluster) error, ids ...string) bool {
	w.propose(p, name, edit)
	op := p.op
	w.exchange(op, ids)
	if !quorum(op.set, op.promised) {
		p.op = nil
		return false
	}
	w.proposeValue(p)
	w.exchange(op, ids)
	if op.cell == nil || !quorum(op.set, op.accepted) {
		p.op = nil
		return false
	}
	w.acknowledge(p)
	w.apply(p.view, op.cell.Ver)
	w.check()
	return true
}

// exchange delivers a proposal's messages to the given cores and writes them to their disks.
func (w *coresWorld) exchange(op *proposal, ids []string) {
	w.network = nil
	for _, id := range ids {
		n := w.nodes[id]
		w.deliver(&coreMessage{to: register.Replica{Addr: id, Ident: n.machine.Ident}, op: op, cell: op.cell})
		for _, commit := range n.admitted {
			commit()
		}
		n.admitted = nil
	}
}

// publish applies the newest version to the views of all cores and the given proposers.
func (w *coresWorld) publish(proposers ...*proposer) {
	for _, n := range w.nodes {
		w.apply(n.view, w.newest)
	}
	for _, p := range proposers {
		w.apply(p.view, w.newest)
	}
}

func revertChange(c *spec.Cluster) error {
	membership.SetNext(c, membership.Cores, nil)
	return nil
}

// fiveToThree returns a model with five cores, and the edit that starts a change to three.
func fiveToThree(t *testing.T) (*coresWorld, func(*spec.Cluster) error) {
	w := newCoresWorld(t, 0)
	first := []string{"c0", "c1", "c2"}
	p := w.proposers[0]
	five := append(machinesAt(w, first...), machinesAt(w, "c3", "c4")...)
	w.editRegister(p, "five", func(c *spec.Cluster) error { c.Cores = five; return nil }, first...)
	w.publish(w.proposers...)
	// The newcomers receive the value, as they would when a change finishes.
	w.editRegister(p, "edit", func(*spec.Cluster) error { return nil }, "c0", "c1", "c2", "c3", "c4")
	w.publish(w.proposers...)
	return w, func(c *spec.Cluster) error {
		membership.SetNext(c, membership.Cores, five[:3])
		return nil
	}
}

func machinesAt(w *coresWorld, ids ...string) []spec.Machine {
	var out []spec.Machine
	for _, id := range ids {
		out = append(out, w.nodes[id].machine)
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
	w, begin := fiveToThree(t)
	all := []string{"c0", "c1", "c2", "c3", "c4"}
	reconciler, other, old := w.proposers[0], w.proposers[1], w.proposers[2]
	w.editRegister(reconciler, "begin", begin, all...)
	w.publish(other)
	observed := membership.Of(&reconciler.view.Now().Cluster, membership.Cores)
	w.editRegister(other, "revert", revertChange, all...)
	w.publish(old)
	w.editRegister(other, "begin", begin, all...)
	w.apply(reconciler.view, w.newest)
	finished := w.editRegister(
		reconciler,
		"finish",
		func(c *spec.Cluster) error { return membership.FinishChange(c, membership.Cores, observed) },
		"c0",
		"c1",
		"c2",
	)
	acknowledged := w.editRegister(old, "edit", func(*spec.Cluster) error { return nil }, "c2", "c3", "c4")
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
	w, begin := fiveToThree(t)
	all := []string{"c0", "c1", "c2", "c3", "c4"}
	reconciler, old := w.proposers[0], w.proposers[2]
	w.editRegister(reconciler, "begin", begin, all...)
	w.publish()
	w.editRegister(reconciler, "revert", revertChange, all...)
	w.apply(old.view, w.newest)
	w.editRegister(reconciler, "begin", begin, all...)
	w.publish()
	observed := membership.Of(&reconciler.view.Now().Cluster, membership.Cores)
	if !w.editRegister(
		reconciler,
		"finish",
		func(c *spec.Cluster) error { return membership.FinishChange(c, membership.Cores, observed) },
		"c0",
		"c1",
		"c2",
	) {
		t.Fatal("the change was not finished")
	}
	if w.editRegister(old, "edit", func(*spec.Cluster) error { return nil }, "c2", "c3", "c4") {
		t.Error("an edit was acknowledged by the old cores after the change to the new ones was finished")
	}
}
