package lease

import (
	"cmp"
	"slices"
	"time"

	"damsontiller/internal/proto/wire"
)

// Permanently departed members are removed, since otherwise the table would grow with every
// machine that is ever replaced. A node that does not renew may still act on an old version of
// the spec: an edge that is partitioned from the cores keeps serving while it reaches the
// stores. Therefore a table from which members were removed is marked as incomplete, and the
// acknowledgement of a change then relies only on fencing by the stores (package core): a
// sender with an older version finds no majority of stores, whether or not it is listed. The
// marker is synced before the first record is deleted.

const (
	// MaxDeparted is the number of members kept that are not live.
	MaxDeparted = 256
	// maxRemovedAtOnce limits the number of members removed in one step.
	maxRemovedAtOnce = 64
	// maxRemovals limits the removals kept for incremental answers. A node that has missed
	// more receives the full list.
	maxRemovals = 256
	// incompleteKey is the key of the marker that the table may not list all members.
	incompleteKey = "members-incomplete"
)

// removal is the removal of a member and the number of that change.
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

// MarkIncomplete persists the marker that there may be nodes that the table does not list.
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

// PersistAll writes all listed members to a disk that has been replaced by an empty one, and
// marks the table as incomplete.
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

// MarkComplete adds the members that complete tables list and marks this table as complete.
// The caller must have read the lists of a majority of the core, which together has granted
// every lease.
func (t *Table) MarkComplete(members []*wire.Member) error {
	for _, m := range members {
		if err := t.addFromPeer(m); err != nil {
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

// addFromPeer records and lists a member that another table lists.
func (t *Table) addFromPeer(m *wire.Member) error {
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
		t.addRecorded(m)
	}
	return err
}

// RemoveDeparted removes members that are not live in excess of MaxDeparted, starting with
// those that have been unresponsive for the longest time. It keeps the members for which keep
// returns true and those that became unresponsive less than Params.OrphanTimeout ago.
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

// departed returns the members to be removed now.
func (t *Table) departed(keep func(*wire.Member) bool) []*wire.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	now, surplus := time.Now(), -MaxDeparted
	var candidates []*entry
	for _, e := range t.entries {
		if e.renewalElement != nil {
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

// remove removes a member from the list and then deletes its record, unless the member has
// renewed since it was selected. If it starts again meanwhile, it is recorded after the
// deletion (record).
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

// unlist removes a member from the list and registers that its record is being deleted. The
// caller closes the returned channel when it is. ok is false if the member has renewed since
// it was selected or is about to be granted a lease.
func (t *Table) unlist(m *wire.Member) (deleted chan struct{}, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[key(m)]
	if e == nil || e.member != m || e.renewalElement != nil || t.recording[key(m)] > 0 {
		return nil, false
	}
	delete(t.entries, key(m))
	t.removeFolderState(m.Ident)
	t.changeOrder.Remove(e.changeElement)
	t.sum -= memberDigest(e.published)
	t.lastChange++
	t.removals = append(t.removals, removal{t.lastChange, key(m)})
	if len(t.removals) > maxRemovals {
		t.removals = slices.Delete(t.removals, 0, len(t.removals)-maxRemovals)
	}
	deleted = make(chan struct{})
	t.deleting[key(m)] = deleted
	return deleted, true
}

// record persists an incarnation of a member before it is granted a lease. It is called
// between beginRecording and endRecording, without holding the lock.
func (t *Table) record(m *wire.Member) error {
	t.mu.Lock()
	deleted := t.deleting[key(m)]
	t.mu.Unlock()
	if deleted != nil {
		<-deleted
	}
	return t.disk.SaveMetadata(MemberKeyPrefix+key(m), wire.MustEncode(m))
}

// beginRecording prevents the deletion of a member's record until endRecording. The caller
// holds the lock for both.
func (t *Table) beginRecording(m *wire.Member) { t.recording[key(m)]++ }

// endRecording ends what beginRecording has begun.
func (t *Table) endRecording(m *wire.Member) {
	if t.recording[key(m)]--; t.recording[key(m)] == 0 {
		delete(t.recording, key(m))
	}
}

// removeFolderState removes the folder state of an identity that no entry has any more.
func (t *Table) removeFolderState(ident string) {
	for _, e := range t.entries {
		if e.member.Ident == ident {
			return
		}
	}
	delete(t.folders, ident)
}

// hasRemovalsSince reports whether all removals after a change are still kept.
func (t *Table) hasRemovalsSince(change uint64) bool {
	return len(t.removals) < maxRemovals || change >= t.removals[0].changeNumber
}

// removedSince returns the keys of the members removed after a change and not listed again.
func (t *Table) removedSince(change uint64) []string {
	var out []string
	for _, r := range t.removals {
		if r.changeNumber > change && t.entries[r.key] == nil {
			out = append(out, r.key)
		}
	}
	return out
}
