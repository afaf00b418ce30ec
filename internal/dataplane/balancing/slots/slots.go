// Package slots tracks this node's share of each runner's concurrency limit.
package slots

import (
	"sync"
	"time"

	"damsontiller/internal/dataplane/balancing/intern"
	"damsontiller/internal/proto/wire"
)

// Kind is the kind of a slot.
type Kind int

// Plain slots serve all work; Urgent slots are reserved for urgent work.
const (
	Plain Kind = iota
	Urgent
)

// share is this node's share of one runner. Slots are counted by Kind.
type share struct {
	incarnation string // of the runner process
	allowed     [2]int
	until       time.Time // end of the lease term
	// inUse holds the acquired slots by the incarnation that they belong to. An entry lives until the
	// last of its slots is released, since an incarnation may be granted again after another one.
	inUse map[string][2]int
}

// used returns the slots in use of the present incarnation.
func (s *share) used() [2]int { return s.inUse[s.incarnation] }

// use adds slots to those in use of an incarnation.
func (s *share) use(incarnation string, kind Kind, n int) {
	if s.inUse == nil {
		s.inUse = map[string][2]int{}
	}
	used := s.inUse[incarnation]
	used[kind] += n
	if s.inUse[incarnation] = used; used == [2]int{} {
		delete(s.inUse, incarnation)
	}
}

// Table holds this node's shares, indexed by the interned runner names.
type Table struct {
	names  *intern.Table
	mu     sync.Mutex
	shares []share
}

// New returns an empty table.
func New(n *intern.Table) *Table { return &Table{names: n} }

// shareOf returns the share for a runner index; the caller holds mu.
func (table *Table) shareOf(index int) *share {
	for len(table.shares) <= index {
		table.shares = append(table.shares, share{})
	}
	return &table.shares[index]
}

// Update replaces the shares. requestedAt is the time at which they were requested: the
// term counts from then, so that it ends here before it ends at the assigner.
func (table *Table) Update(requestedAt time.Time, term time.Duration, granted []*wire.Slot) {
	table.mu.Lock()
	defer table.mu.Unlock()
	for i := range table.shares {
		table.shares[i].allowed = [2]int{}
	}
	for _, s := range granted {
		entry := table.shareOf(table.names.Index(s.Runner))
		if entry.incarnation != s.Mark {
			// Slots in use belong to the other process.
			entry.incarnation = s.Mark
		}
		entry.allowed = [2]int{int(s.Plain), int(s.Urgent)}
		entry.until = requestedAt.Add(term)
	}
}

// Acquire takes a slot. Urgent work takes an urgent slot first, to leave the plain
// slots to other work. It also returns the incarnation of the process that the slot
// belongs to.
func (table *Table) Acquire(index int, urgent bool) (Kind, string, bool) {
	table.mu.Lock()
	defer table.mu.Unlock()
	entry := table.shareOf(index)
	if !time.Now().Before(entry.until) {
		return Plain, "", false
	}
	used := entry.used()
	if urgent && used[Urgent] < entry.allowed[Urgent] {
		entry.use(entry.incarnation, Urgent, 1)
		return Urgent, entry.incarnation, true
	}
	if used[Plain] < entry.allowed[Plain] {
		entry.use(entry.incarnation, Plain, 1)
		return Plain, entry.incarnation, true
	}
	return Plain, "", false
}

// Free returns how many slots are available to urgent or other work, and how many
// are in use in total.
func (table *Table) Free(index int, urgent bool) (free, used int) {
	table.mu.Lock()
	defer table.mu.Unlock()
	entry := table.shareOf(index)
	inUse := entry.used()
	used = inUse[Plain] + inUse[Urgent]
	if !time.Now().Before(entry.until) {
		return 0, used
	}
	free = max(entry.allowed[Plain]-inUse[Plain], 0)
	if urgent {
		free += max(entry.allowed[Urgent]-inUse[Urgent], 0)
	}
	return free, used
}

// Release returns a slot to the incarnation that it belongs to.
func (table *Table) Release(index int, incarnation string, kind Kind) {
	table.mu.Lock()
	defer table.mu.Unlock()
	table.shareOf(index).use(incarnation, kind, -1)
}

// Incarnation returns the incarnation of the runner process that this node's slots
// belong to.
func (table *Table) Incarnation(index int) string {
	table.mu.Lock()
	defer table.mu.Unlock()
	return table.shareOf(index).incarnation
}

// Valid reports whether a slot of the given process may still be used: its term has
// not ended and the process has not been replaced.
func (table *Table) Valid(index int, incarnation string) bool {
	table.mu.Lock()
	defer table.mu.Unlock()
	entry := table.shareOf(index)
	return entry.incarnation == incarnation && time.Now().Before(entry.until)
}

// Report lists the slots held of each runner: the slots allowed, or the slots in use
// where these are more.
func (table *Table) Report() []*wire.Slot {
	table.mu.Lock()
	defer table.mu.Unlock()
	var out []*wire.Slot
	now := time.Now()
	for i := range table.shares {
		entry := &table.shares[i]
		if !now.Before(entry.until) {
			entry.allowed = [2]int{}
		}
		used := entry.used()
		s := &wire.Slot{
			Runner: table.names.Name(i),
			Mark:   entry.incarnation,
			Plain:  int32(max(entry.allowed[Plain], used[Plain])),
			Urgent: int32(max(entry.allowed[Urgent], used[Urgent])),
			Busy:   int32(used[Plain] + used[Urgent]),
		}
		if s.Plain+s.Urgent > 0 {
			out = append(out, s)
		}
	}
	return out
}
