package lease

import (
	"time"

	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// A renewal proves that its sender can be heard. That the sender hears as well, and that
// its disk answers, it must state: a machine that only sends, or whose writes never end,
// is of no use to the others, and its place goes to another as that of a silent one does.

// HungDiskTimeout is the time without any answer from a member's disk after which the member
// counts as unresponsive. It is longer than any sync of a disk that is merely slow.
const HungDiskTimeout = 10 * time.Second

// sinceStart is a moment in milliseconds since the table began, at least 1.
func (t *Table) sinceStart(now time.Time) int64 { return max(now.Sub(t.started).Milliseconds(), 1) }

// recordHeard records from what a renewal states which grant its sender has received. One
// of a release that states nothing counts as hearing, and so does the first renewal of a
// start, or of any to this table: it can't have heard of anything before.
func (t *Table) recordHeard(e *entry, r *wire.Renew) {
	now := time.Now()
	if !r.StatesHeard || !e.renewedThisRun || e.member.Inc != r.Self.Inc {
		e.heardAt = now
		return
	}
	if r.Table != t.id || r.HeardMs <= 0 || r.HeardMs > t.sinceStart(now) {
		return
	}
	if heard := t.started.Add(time.Duration(r.HeardMs) * time.Millisecond); heard.After(e.heardAt) {
		e.heardAt = heard
	}
}

// unresponsive is for how long an entry has been of no use, and unresponsiveAt the same at
// a moment: since its last renewal, since the last grant that it heard where that is more
// than a lease ago, or since its disk answered where that is long ago.
func (t *Table) unresponsive(e *entry) time.Duration { return t.unresponsiveAt(e, time.Now()) }

func (t *Table) unresponsiveAt(e *entry, now time.Time) time.Duration {
	out := now.Sub(e.renewedAt)
	if deaf := now.Sub(e.heardAt); deaf >= t.params.Duration {
		out = max(out, deaf)
	}
	if hung := time.Duration(e.member.DiskHungMs) * time.Millisecond; hung >= HungDiskTimeout {
		out += hung
	}
	return out
}

// folder is the state of an identity's data folder as a start of its process stated it.
type folder struct {
	start  uint64 // the opening that stated it
	synced uint64 // groups of writes synced by then
}

// recordFolder records the state of a member's folder.
func (t *Table) recordFolder(m *wire.Member) {
	if m.Ident == "" || m.GetFolder() == nil {
		return
	}
	known := t.folders[m.Ident]
	t.folders[m.Ident] = folder{start: m.Folder.Start, synced: max(known.synced, m.Folder.Synced)}
}

// checkFolder refuses a start whose folder had synced less when it was opened than an
// earlier start of the same identity has stated: it was put back from a copy, and has
// forgotten votes. The error has code.FolderOutdated.
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
