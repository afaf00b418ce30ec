package membership_test

import (
	"testing"

	"damsontiller/internal/coordination/membership"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/spec"
)

// change has a proposer make one change with the answers of these cores only; it tells
// whether it was acknowledged.
func (w *coresWorld) change(p *proposer, name string, edit func(*spec.Cluster) error, ids ...string) bool {
	w.propose(p, name, edit)
	op := p.op
	w.exchange(op, ids)
	if !quorum(op.set, op.promised) {
		p.op = nil
		return false
	}
	w.workOut(p)
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

// exchange brings a proposal's messages to these cores and onto their disks.
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

// tell has all cores and some proposers learn of the newest version.
func (w *coresWorld) tell(ps ...*proposer) {
	for _, n := range w.nodes {
		w.apply(n.view, w.newest)
	}
	for _, p := range ps {
		w.apply(p.view, w.newest)
	}
}

func back(c *spec.Cluster) error {
	membership.SetNext(c, membership.Cores, nil)
	return nil
}

// fiveToThree is a world of five cores and the edit that begins to drop two of them.
func fiveToThree(t *testing.T) (*coresWorld, func(*spec.Cluster) error) {
	w := newCoresWorld(t, 0)
	first := []string{"c0", "c1", "c2"}
	p := w.proposers[0]
	five := append(machinesAt(w, first...), machinesAt(w, "c3", "c4")...)
	w.change(p, "five", func(c *spec.Cluster) error { c.Cores = five; return nil }, first...)
	w.tell(w.proposers...)
	// The newcomers get the value as the settling of a change would bring it.
	w.change(p, "edit", func(*spec.Cluster) error { return nil }, "c0", "c1", "c2", "c3", "c4")
	w.tell(w.proposers...)
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

// TestFrozenCoreMover: a mover is frozen once a majority of the old cores has confirmed.
// Meanwhile the change is reverted and the same one begun anew, which no core has
// confirmed. The mover that wakes must not finish: whoever acts on the old set alone is
// not refused yet, and {c2, c3, c4} is a majority of that while {c0, c1} is one of the
// new.
func TestFrozenCoreMover(t *testing.T) {
	w, begin := fiveToThree(t)
	all := []string{"c0", "c1", "c2", "c3", "c4"}
	mover, other, old := w.proposers[0], w.proposers[1], w.proposers[2]
	w.change(mover, "begin", begin, all...)
	w.tell(other)
	seen := membership.Of(&mover.view.Now().Cluster, membership.Cores)
	w.change(other, "back", back, all...)
	w.tell(old)
	w.change(other, "begin", begin, all...)
	w.apply(mover.view, w.newest)
	finished := w.change(
		mover,
		"settle",
		func(c *spec.Cluster) error { return membership.FinishChange(c, membership.Cores, seen) },
		"c0",
		"c1",
		"c2",
	)
	acknowledged := w.change(old, "edit", func(*spec.Cluster) error { return nil }, "c2", "c3", "c4")
	if finished && acknowledged {
		t.Error("a change was acknowledged by the old cores after the new ones stand alone")
	}
	if finished {
		t.Error("settled on confirmations of another change")
	}
}

// TestSkippedCoreVersion: cores that saw the first change and the second one, but not
// that it was reverted in between, refuse a proposer of the version in between.
func TestSkippedCoreVersion(t *testing.T) {
	w, begin := fiveToThree(t)
	all := []string{"c0", "c1", "c2", "c3", "c4"}
	mover, old := w.proposers[0], w.proposers[2]
	w.change(mover, "begin", begin, all...)
	w.tell()
	w.change(mover, "back", back, all...)
	w.apply(old.view, w.newest)
	w.change(mover, "begin", begin, all...)
	w.tell()
	seen := membership.Of(&mover.view.Now().Cluster, membership.Cores)
	if !w.change(
		mover,
		"settle",
		func(c *spec.Cluster) error { return membership.FinishChange(c, membership.Cores, seen) },
		"c0",
		"c1",
		"c2",
	) {
		t.Fatal("not settled")
	}
	if w.change(old, "edit", func(*spec.Cluster) error { return nil }, "c2", "c3", "c4") {
		t.Error("a change was acknowledged by the old cores after the new ones stand alone")
	}
}
