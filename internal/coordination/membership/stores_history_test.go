package membership_test

import (
	"slices"
	"testing"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/membership"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/spec"
)

// These tests execute single histories of the stores' model step by step: a store is removed,
// the removal is reverted, and the same removal is started again.

// removal is a model with four stores, of which one that holds a key is removed.
type removal struct {
	*storesSimulation
	key       string
	old       []spec.Machine // the key's replicas before; the first one is removed
	next      []spec.Machine
	successor spec.Machine // the replica that replaces the removed one
}

func newRemoval(t *testing.T) *removal {
	sim := newStoresSimulation(t, 1)
	set := sim.current().Cluster.Stores
	r := &removal{storesSimulation: sim, key: "k0", old: cluster.Holders(set, "k0", copies)}
	for _, m := range set {
		if m != r.old[0] {
			r.next = append(r.next, m)
		}
		if !slices.Contains(r.old, m) {
			r.successor = m
		}
	}
	return r
}

func (r *removal) beginRemoval() {
	r.editRegister("started", func(c *spec.Cluster) error {
		membership.SetNext(c, membership.Stores, r.next)
		return nil
	})
}

func (r *removal) revert() {
	r.editRegister("reverted", func(c *spec.Cluster) error {
		membership.SetNext(c, membership.Stores, nil)
		return nil
	})
}

// publish applies the newest version to the views of all stores.
func (r *removal) publish() {
	for _, n := range r.nodes {
		r.apply(n.view, uint64(len(r.versions)))
	}
}

// transferAll completes the transfers of all receivers under the newest version.
func (r *removal) transferAll() *cluster.View {
	v := r.current()
	change := membership.Of(&v.Cluster, membership.Stores)
	for _, receiver := range change.Receivers(copies) {
		for attempts := 0; !r.requestTransfer(r.nodes[receiver.Addr], v.StoresVersion, v.StoresDigest()); attempts++ {
			if attempts > 1000 {
				r.t.Fatalf("%s never completes its transfer", receiver.ID)
			}
			if transfer := r.nodes[receiver.Addr].transfer; transfer != nil && !transfer.done {
				r.stepTransfer(r.nodes[receiver.Addr], transfer)
			}
		}
	}
	return v
}

// prepare makes a writer prepare the key at its old replicas under the newest version.
func (r *removal) prepare() *write {
	writer := r.writers[0]
	r.apply(writer.view, uint64(len(r.versions)))
	for writer.op == nil || writer.op.key != r.key {
		r.network = nil
		r.beginWrite(writer)
	}
	r.network = nil
	for _, m := range r.old[:2] {
		r.exchange(writer.op, m, false)
	}
	writer.op.cell = nextCell(writer.op)
	return writer.op
}

// exchange delivers one message of a write to a store and writes it to the store's disk.
func (r *removal) exchange(op *write, m spec.Machine, accept bool) {
	r.deliver(&message{to: register.Replica{Addr: m.Addr, Ident: m.Ident}, op: op, accept: accept, cell: op.cell})
	n := r.nodes[m.Addr]
	for _, commit := range n.admitted {
		commit()
	}
	n.admitted = nil
}

// accept makes the store to be removed and one other accept the write, and reports whether
// this acknowledges it.
func (r *removal) accept(op *write) bool {
	for _, m := range r.old[:2] {
		r.exchange(op, m, true)
	}
	if !quorum(op.set, op.accepted) {
		return false
	}
	r.acknowledged[op.key] = append(r.acknowledged[op.key], op.name)
	return true
}

func (r *removal) finish(v *cluster.View) bool {
	finished := r.editRegister("finished", func(c *spec.Cluster) error {
		return membership.FinishChange(c, membership.Stores, membership.Of(&v.Cluster, membership.Stores))
	})
	r.check()
	return finished
}

// TestPausedReconciler guards against a reconciler that finishes a change on the transfers of an
// earlier, equal one. It is paused once all keys are transferred. Meanwhile the removal is
// reverted, a write is acknowledged by the old set alone, and the same removal is started
// again. The resumed reconciler must not finish the second change on the transfers made for
// the first one.
func TestPausedReconciler(t *testing.T) {
	r := newRemoval(t)
	r.beginRemoval()
	r.publish()
	observed := r.transferAll()
	r.revert()
	r.publish()
	if !r.accept(r.prepare()) {
		t.Fatal("the write was not acknowledged by the old set alone")
	}
	r.beginRemoval()
	if r.finish(observed) {
		t.Error("the change was finished on keys that were transferred for another change")
	}
	r.publish()
	if !r.finish(r.transferAll()) {
		t.Error("the second change was not finished")
	}
}

// TestSkippedVersion verifies that stores that learned of a removal and of an equal later one,
// but not of the revert between them, refuse a writer at the version of the revert.
func TestSkippedVersion(t *testing.T) {
	r := newRemoval(t)
	r.beginRemoval()
	r.publish()
	r.revert()
	op := r.prepare()
	r.beginRemoval()
	r.publish()
	observed := r.transferAll()
	if r.accept(op) {
		t.Error("a write under the old set alone was acknowledged after its keys had been transferred")
	}
	if !r.finish(observed) {
		t.Error("the second change was not finished")
	}
}

// TestRemovedOnlyOnceComplete verifies that a store that completed its transfer for the first
// removal is not complete for the second one.
func TestRemovedOnlyOnceComplete(t *testing.T) {
	r := newRemoval(t)
	r.beginRemoval()
	r.publish()
	first := r.transferAll()
	r.revert()
	r.beginRemoval()
	r.publish()
	receiver := r.nodes[r.successor.Addr]
	if r.requestTransfer(receiver, first.StoresVersion, first.StoresDigest()) {
		t.Error("a transfer request of the first change was accepted under the second")
	}
	now := r.current()
	if r.requestTransfer(receiver, now.StoresVersion, now.StoresDigest()) {
		t.Error("complete for a change for which no key was transferred")
	}
}

// TestTooFewAnswer verifies that a transfer is not complete if only one of a key's three
// replicas answered, since the receiver may then lack acknowledged writes.
func TestTooFewAnswer(t *testing.T) {
	for _, tc := range []struct {
		absent   int
		complete bool
	}{{0, true}, {1, true}, {2, false}, {3, false}} {
		r := newRemoval(t)
		if !r.accept(r.prepare()) {
			t.Fatal("not acknowledged")
		}
		r.beginRemoval()
		r.publish()
		v := r.current()
		receiver := r.nodes[r.successor.Addr]
		r.requestTransfer(receiver, v.StoresVersion, v.StoresDigest())
		transfer := receiver.transfer
		// The first replicas don't answer. Only the first two have the write.
		for _, m := range r.old[:tc.absent] {
			transfer.failed = append(transfer.failed, m.Ident)
			transfer.sources = slices.DeleteFunc(transfer.sources, func(o spec.Machine) bool { return o == m })
		}
		for !transfer.done {
			failed := len(transfer.failed)
			r.stepTransfer(receiver, transfer)
			if len(transfer.failed) > failed {
				// In this test only the answers of the absent replicas are lost.
				transfer.failed = transfer.failed[:failed]
				transfer.requested--
			}
		}
		if transfer.complete != tc.complete {
			t.Errorf("without %d replicas: complete %t", tc.absent, transfer.complete)
		}
		if transfer.complete && !r.hasCopy(r.successor, r.key, r.acknowledged[r.key][0]) {
			t.Errorf("without %d replicas: complete, but an acknowledged write is missing", tc.absent)
		}
	}
}
