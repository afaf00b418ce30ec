package membership_test

import (
	"slices"
	"testing"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/membership"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/spec"
)

// These are single histories of the stores' model, step by step: a store is removed, the
// removal is reverted, and the very same one is begun anew.

// removal is a world of four stores in which one that holds a key is to go.
type removal struct {
	*storesWorld
	key     string
	old     []spec.Machine // the key's holders before; the first is to go
	next    []spec.Machine
	newcome spec.Machine // who holds the key in its place
}

func newRemoval(t *testing.T) *removal {
	w := newStoresWorld(t, 1)
	set := w.current().Cluster.Stores
	r := &removal{storesWorld: w, key: "k0", old: cluster.Holders(set, "k0", copies)}
	for _, m := range set {
		if m != r.old[0] {
			r.next = append(r.next, m)
		}
		if !slices.Contains(r.old, m) {
			r.newcome = m
		}
	}
	return r
}

func (r *removal) begin() {
	r.change("begun", func(c *spec.Cluster) error {
		membership.SetNext(c, membership.Stores, r.next)
		return nil
	})
}

func (r *removal) turnBack() {
	r.change("turned back", func(c *spec.Cluster) error {
		membership.SetNext(c, membership.Stores, nil)
		return nil
	})
}

// tell has every store learn of the newest version.
func (r *removal) tell() {
	for _, n := range r.nodes {
		r.apply(n.view, uint64(len(r.versions)))
	}
}

// fillAll has every machine that gains bring its keys under the newest version.
func (r *removal) fillAll() *cluster.View {
	v := r.current()
	change := membership.Of(&v.Cluster, membership.Stores)
	for _, g := range change.Receivers(copies) {
		for tries := 0; !r.order(r.nodes[g.Addr], v.StoresVersion, v.StoresDigest()); tries++ {
			if tries > 1000 {
				r.t.Fatalf("%s is never whole", g.ID)
			}
			if f := r.nodes[g.Addr].fill; f != nil && !f.over {
				r.stepFilling(r.nodes[g.Addr], f)
			}
		}
	}
	return v
}

// prepare has a writer prepare the key at its old holders under the newest version.
func (r *removal) prepare() *write {
	u := r.writers[0]
	r.apply(u.view, uint64(len(r.versions)))
	for u.op == nil || u.op.key != r.key {
		r.network = nil
		r.beginWrite(u)
	}
	r.network = nil
	for _, m := range r.old[:2] {
		r.exchange(u.op, m, false)
	}
	u.op.cell = next(u.op)
	return u.op
}

// exchange brings one message of a write to a store and onto its disk.
func (r *removal) exchange(op *write, m spec.Machine, acc bool) {
	r.deliver(&message{to: register.Replica{Addr: m.Addr, Ident: m.Ident}, op: op, acc: acc, cell: op.cell})
	n := r.nodes[m.Addr]
	for _, commit := range n.admitted {
		commit()
	}
	n.admitted = nil
}

// accept has the write accepted at the one who goes and one more; it reports whether that
// was enough to acknowledge it.
func (r *removal) accept(op *write) bool {
	for _, m := range r.old[:2] {
		r.exchange(op, m, true)
	}
	if !quorum(op.set, op.accepted) {
		return false
	}
	r.acked[op.key] = append(r.acked[op.key], op.name)
	return true
}

func (r *removal) finish(v *cluster.View) bool {
	finished := r.change("settled", func(c *spec.Cluster) error {
		return membership.FinishChange(c, membership.Stores, membership.Of(&v.Cluster, membership.Stores))
	})
	r.check()
	return finished
}

// TestFrozenMover: a mover is frozen once all keys have been brought. Meanwhile the
// removal is reverted, a write is acknowledged by the old set alone, and the same
// removal is begun anew. The mover that wakes must not finish on what was brought for
// the first one.
func TestFrozenMover(t *testing.T) {
	r := newRemoval(t)
	r.begin()
	r.tell()
	seen := r.fillAll()
	r.turnBack()
	r.tell()
	if !r.accept(r.prepare()) {
		t.Fatal("the old set alone must take the write")
	}
	r.begin()
	if r.finish(seen) {
		t.Error("settled on keys that were brought for another change")
	}
	r.tell()
	if !r.finish(r.fillAll()) {
		t.Error("the second change can't end")
	}
}

// TestSkippedVersion: stores that saw the first removal and the second one, but not that
// it was reverted in between, must refuse a writer that acts on the set in between.
func TestSkippedVersion(t *testing.T) {
	r := newRemoval(t)
	r.begin()
	r.tell()
	r.turnBack()
	op := r.prepare()
	r.begin()
	r.tell()
	seen := r.fillAll()
	if r.accept(op) {
		t.Error("a write under the old set alone was acknowledged after its keys had been brought")
	}
	if !r.finish(seen) {
		t.Error("the second change can't end")
	}
}

// TestRemovedOnlyOnceComplete: a store that brought its keys for the first removal has brought none
// for the second one.
func TestRemovedOnlyOnceComplete(t *testing.T) {
	r := newRemoval(t)
	r.begin()
	r.tell()
	first := r.fillAll()
	r.turnBack()
	r.begin()
	r.tell()
	gainer := r.nodes[r.newcome.Addr]
	if r.order(gainer, first.StoresVersion, first.StoresDigest()) {
		t.Error("an order of the first change is answered under the second")
	}
	now := r.current()
	if r.order(gainer, now.StoresVersion, now.StoresDigest()) {
		t.Error("whole for a change that no key was brought for")
	}
}

// TestTooFewAnswer: a store that could ask only one of a key's three holders has not
// got all that was acknowledged, and is not complete.
func TestTooFewAnswer(t *testing.T) {
	for _, tc := range []struct {
		absent   int
		complete bool
	}{{0, true}, {1, true}, {2, false}, {3, false}} {
		r := newRemoval(t)
		if !r.accept(r.prepare()) {
			t.Fatal("not acknowledged")
		}
		r.begin()
		r.tell()
		v := r.current()
		gainer := r.nodes[r.newcome.Addr]
		r.order(gainer, v.StoresVersion, v.StoresDigest())
		f := gainer.fill
		// Of the holders the first ones don't answer, who alone have the write.
		for _, m := range r.old[:tc.absent] {
			f.failed = append(f.failed, m.Ident)
			f.asked = slices.DeleteFunc(f.asked, func(o spec.Machine) bool { return o == m })
		}
		for !f.over {
			failed := len(f.failed)
			r.stepFilling(gainer, f)
			if len(f.failed) > failed {
				// Here every answer that is not meant to be lost arrives.
				f.failed = f.failed[:failed]
				f.answered--
			}
		}
		if f.complete != tc.complete {
			t.Errorf("without %d holders: whole %t", tc.absent, f.complete)
		}
		if f.complete && !r.hasCopy(r.newcome, r.key, r.acked[r.key][0]) {
			t.Errorf("without %d holders: whole, and lacks what was acknowledged", tc.absent)
		}
	}
}
