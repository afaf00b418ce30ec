package lease

import (
	"time"

	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// A renewal only proves that its sender can send. The sender must also report that it
// receives grants and that its disk responds: a machine that can only send, or whose writes
// never complete, is as useless to the others as one that is down, and is replaced likewise.

// HungDiskTimeout is the time without a response from a member's disk after which the member
// counts as unresponsive. It is longer than any sync of a disk that is merely slow.
const HungDiskTimeout = 10 * time.Second

// millisecondsSinceStart returns the milliseconds from the start of the table to now, at
// least 1.
func (t *Table) millisecondsSinceStart(now time.Time) int64 {
	return max(now.Sub(t.started).Milliseconds(), 1)
}

// recordReceivedGrant records the last grant that the sender of a renewal reports to have
// received. A node of an older release reports none and is assumed to receive grants. So is a
// node with the first renewal of an incarnation or the first one to this table, since there
// was no grant yet that it could have received.
func (t *Table) recordReceivedGrant(e *entry, renewal *wire.Renew) {
	now := time.Now()
	if !renewal.StatesHeard || !e.renewedThisRun || e.member.Inc != renewal.Self.Inc {
		e.grantReceivedAt = now
		return
	}
	if renewal.Table != t.id || renewal.HeardMs <= 0 || renewal.HeardMs > t.millisecondsSinceStart(now) {
		return
	}
	if at := t.started.Add(time.Duration(renewal.HeardMs) * time.Millisecond); at.After(e.grantReceivedAt) {
		e.grantReceivedAt = at
	}
}

// unresponsive returns for how long a member has been unresponsive. It is the time since its
// last renewal, or since the last grant that it received if that exceeds the lease duration,
// plus the time for which its disk has hung if that reaches HungDiskTimeout.
func (t *Table) unresponsive(e *entry) time.Duration { return t.unresponsiveAt(e, time.Now()) }

// unresponsiveAt is unresponsive at a given time.
func (t *Table) unresponsiveAt(e *entry, now time.Time) time.Duration {
	out := now.Sub(e.renewedAt)
	if sinceGrant := now.Sub(e.grantReceivedAt); sinceGrant >= t.params.Duration {
		out = max(out, sinceGrant)
	}
	if hung := time.Duration(e.member.DiskHungMs) * time.Millisecond; hung >= HungDiskTimeout {
		out += hung
	}
	return out
}

// folderState is the state of the data folder of an identity as last reported by a process.
type folderState struct {
	start  uint64 // identifies the opening of the folder that reported it
	synced uint64 // number of write groups synced by then
}

// recordFolder records the reported state of a member's folder.
func (t *Table) recordFolder(m *wire.Member) {
	if m.Ident == "" || m.GetFolder() == nil {
		return
	}
	known := t.folders[m.Ident]
	t.folders[m.Ident] = folderState{start: m.Folder.Start, synced: max(known.synced, m.Folder.Synced)}
}

// checkFolder rejects a member whose folder held fewer synced write groups when it was opened
// than an earlier process of the same identity has reported. Such a folder was restored from
// a copy and has lost votes. The error has code.FolderOutdated.
func (t *Table) checkFolder(m *wire.Member) error {
	known, ok := t.folders[m.Ident]
	if !ok || m.GetFolder() == nil || m.Folder.Start == known.start || m.Folder.Opened >= known.synced {
		return nil
	}
	return code.New(
		code.FolderOutdated,
		"the folder of %s had %d groups of writes when it was opened, and %d before",
		m.Id,
		m.Folder.Opened,
		known.synced,
	)
}
