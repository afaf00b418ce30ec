package lease

import (
	"cmp"
	"slices"
	"time"

	"damsontiller/internal/proto/wire"
)

// Members that are gone for good are removed, or the table would grow with every machine
// that is ever replaced. Silence does not prove that a node acts no more on an old version:
// an edge that is cut off from the cores serves on as long as it reaches the stores. So a
// table from which anybody was removed says that it is incomplete, and an acknowledgement
// that asks it rests on the fence of the stores alone (package core): a sender below the
// version then finds no majority of stores, whether anybody knows of it or not. The note
// that says so is synced before the first record goes.

const (
	// MaxDeparted is how many members that are not live are kept.
	MaxDeparted = 256
	// maxRemovedAtOnce bounds the members removed in one step.
	maxRemovedAtOnce = 64
	// maxRemovals bounds the removals that are told one by one. Whoever has missed more
	// gets the whole list.
	maxRemovals = 256
	// incompleteKey is the key of the note that the table does not list everybody.
	incompleteKey = "members-incomplete"
)

// removal is a member that was removed, with the number of that change.
type removal struct {
	changeNumber uint64
	key          string
}

// Incomplete reports whether there may be nodes that the table does not list.
func (t *Table) Incomplete() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.incomplete
}

// MarkIncomplete notes that there may be nodes that the table does not list.
func (t *Table) MarkIncomplete() error {
	if t.Incomplete() {
		return nil
	}
	if err := t.disk.SaveMetadata(incompleteKey, []byte{1}); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.incomplete = true
	return nil
}

// PersistAll keeps all that is listed on a disk that has been replaced by an empty one, and
// notes that members may be missing.
func (t *Table) PersistAll() error {
	t.mu.Lock()
	t.incomplete = false
	var members []*wire.Member
	for _, e := range t.entries {
		members = append(members, e.member)
	}
	t.mu.Unlock()
	if err := t.MarkIncomplete(); err != nil {
		return err
	}
	for _, m := range members {
		if err := t.disk.SaveMetadata(MemberKeyPrefix+key(m), wire.MustEncode(m)); err != nil {
			return err
		}
	}
	return nil
}

// MarkComplete takes the members that complete tables list, and notes that this one lists
// everybody now. The caller asked a majority that granted all leases.
func (t *Table) MarkComplete(members []*wire.Member) error {
	for _, m := range members {
		if err := t.adopt(m); err != nil {
			return err
		}
	}
	if err := t.disk.DeleteMetadata(incompleteKey); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.incomplete = false
	return nil
}

// adopt records and lists a member that another table lists.
func (t *Table) adopt(m *wire.Member) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries[key(m)] != nil {
		return nil
	}
	t.beginRecording(m)
	t.mu.Unlock()
	err := t.record(m)
	t.mu.Lock()
	t.endRecording(m)
	if err == nil && t.entries[key(m)] == nil {
		t.addKnown(m)
	}
	return err
}

// RemoveDeparted removes the members that have been unresponsive for longest, as far as
// more than MaxDeparted are not live. It leaves those that keep wants, and those that have
// not been unresponsive for long.
func (t *Table) RemoveDeparted(keep func(*wire.Member) bool) error {
	departed := t.departed(keep)
	if len(departed) == 0 {
		return nil
	}
	if err := t.MarkIncomplete(); err != nil {
		return err
	}
	for _, m := range departed {
		if err := t.remove(m); err != nil {
			return err
		}
	}
	return nil
}

// departed are the members that are to be removed now.
func (t *Table) departed(keep func(*wire.Member) bool) []*wire.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	now, surplus := time.Now(), -MaxDeparted
	var candidates []*entry
	for _, e := range t.entries {
		if e.renewed != nil {
			continue
		}
		surplus++
		if t.unresponsiveAt(e, now) >= t.params.OrphanTimeout && !keep(e.member) {
			candidates = append(candidates, e)
		}
	}
	if surplus <= 0 {
		return nil
	}
	slices.SortFunc(candidates, func(a, b *entry) int {
		return cmp.Or(a.renewedAt.Compare(b.renewedAt), cmp.Compare(key(a.member), key(b.member)))
	})
	var out []*wire.Member
	for _, e := range candidates[:min(len(candidates), surplus, maxRemovedAtOnce)] {
		out = append(out, e.member)
	}
	return out
}

// remove takes a member out of the list, unless it has renewed since it was chosen, and
// then its record. A start of it that comes meanwhile is recorded after that (record).
func (t *Table) remove(m *wire.Member) error {
	deleted, ok := t.unlist(m)
	if !ok {
		return nil
	}
	err := t.disk.DeleteMetadata(MemberKeyPrefix + key(m))
	t.mu.Lock()
	delete(t.deleting, key(m))
	t.mu.Unlock()
	close(deleted)
	return err
}

// unlist takes a member out of the list and notes that its record is being deleted. It
// reports false where the member has renewed since, or is about to be granted a lease.
func (t *Table) unlist(m *wire.Member) (deleted chan struct{}, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[key(m)]
	if e == nil || e.member != m || e.renewed != nil || t.recording[key(m)] > 0 {
		return nil, false
	}
	delete(t.entries, key(m))
	t.forgetFolder(m.Ident)
	t.changed.Remove(e.changed)
	t.sum -= memberDigest(e.shown)
	t.lastChange++
	t.removals = append(t.removals, removal{t.lastChange, key(m)})
	if len(t.removals) > maxRemovals {
		t.removals = slices.Delete(t.removals, 0, len(t.removals)-maxRemovals)
	}
	deleted = make(chan struct{})
	t.deleting[key(m)] = deleted
	return deleted, true
}

// record keeps on disk that a start of a member exists, before it is granted a lease. It is
// called between beginRecording and endRecording, without the lock.
func (t *Table) record(m *wire.Member) error {
	t.mu.Lock()
	deleted := t.deleting[key(m)]
	t.mu.Unlock()
	if deleted != nil {
		<-deleted
	}
	return t.disk.SaveMetadata(MemberKeyPrefix+key(m), wire.MustEncode(m))
}

// beginRecording keeps a member's record from being deleted until endRecording. The caller
// holds the lock in both.
func (t *Table) beginRecording(m *wire.Member) { t.recording[key(m)]++ }

func (t *Table) endRecording(m *wire.Member) {
	if t.recording[key(m)]--; t.recording[key(m)] == 0 {
		delete(t.recording, key(m))
	}
}

// forgetFolder drops the state of an identity's folder once no entry has the identity.
func (t *Table) forgetFolder(ident string) {
	for _, e := range t.entries {
		if e.member.Ident == ident {
			return
		}
	}
	delete(t.folders, ident)
}

// rememberedSince reports whether all removals after a change are remembered.
func (t *Table) rememberedSince(change uint64) bool {
	return len(t.removals) < maxRemovals || change >= t.removals[0].changeNumber
}

// removedSince are the keys of the members removed after a change and not listed again.
func (t *Table) removedSince(change uint64) []string {
	var out []string
	for _, r := range t.removals {
		if r.changeNumber > change && t.entries[r.key] == nil {
			out = append(out, r.key)
		}
	}
	return out
}
