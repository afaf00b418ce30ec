// Package slots keeps this node's share of what each runner can bear.
package slots

import (
	"sync"
	"time"

	"damsontiller/internal/dataplane/balancing/intern"
	"damsontiller/internal/proto/wire"
)

// Kind of a slot.
type Kind int

// Urgent slots are for urgent work only.
const (
	Plain Kind = iota
	Urgent
)

type share struct {
	incarnation string // of the runner's process
	allowed     [2]int
	used        [2]int
	until       time.Time // end of the term
}

// Table holds the shares. Indices are the runner names'.
type Table struct {
	names  *intern.Table
	mu     sync.Mutex
	shares []share
}

// New makes an empty box.
func New(n *intern.Table) *Table { return &Table{names: n} }

func (table *Table) at(ix int) *share {
	for len(table.shares) <= ix {
		table.shares = append(table.shares, share{})
	}
	return &table.shares[ix]
}

// Update replaces the shares. asked is when the request for them was made: the
// term is counted from then, so that it ends here before it ends at the assigner.
func (table *Table) Update(asked time.Time, term time.Duration, granted []*wire.Slot) {
	table.mu.Lock()
	defer table.mu.Unlock()
	for i := range table.shares {
		table.shares[i].allowed = [2]int{}
	}
	for _, s := range granted {
		h := table.at(table.names.Index(s.Runner))
		if h.incarnation != s.Mark {
			// Another process: what was in use went with the one before it.
			*h = share{incarnation: s.Mark}
		}
		h.allowed = [2]int{int(s.Plain), int(s.Urgent)}
		h.until = asked.Add(term)
	}
}

// Acquire takes a slot; urgent work takes an urgent one first, so that plain ones
// stay for the rest. The slot is one of the process whose incarnation is handed back.
func (table *Table) Acquire(ix int, urgent bool) (Kind, string, bool) {
	table.mu.Lock()
	defer table.mu.Unlock()
	h := table.at(ix)
	if !time.Now().Before(h.until) {
		return Plain, "", false
	}
	if urgent && h.used[Urgent] < h.allowed[Urgent] {
		h.used[Urgent]++
		return Urgent, h.incarnation, true
	}
	if h.used[Plain] < h.allowed[Plain] {
		h.used[Plain]++
		return Plain, h.incarnation, true
	}
	return Plain, "", false
}

// Free tells how many slots a job of that kind could take, and how many are
// in use.
func (table *Table) Free(ix int, urgent bool) (free, used int) {
	table.mu.Lock()
	defer table.mu.Unlock()
	h := table.at(ix)
	used = h.used[Plain] + h.used[Urgent]
	if !time.Now().Before(h.until) {
		return 0, used
	}
	free = max(h.allowed[Plain]-h.used[Plain], 0)
	if urgent {
		free += max(h.allowed[Urgent]-h.used[Urgent], 0)
	}
	return free, used
}

// Release gives a slot back; one of a process that has departed has departed with it.
func (table *Table) Release(ix int, incarnation string, k Kind) {
	table.mu.Lock()
	defer table.mu.Unlock()
	if h := table.at(ix); h.incarnation == incarnation {
		h.used[k]--
	}
}

// Incarnation is of the process that the slots held of a runner are for.
func (table *Table) Incarnation(ix int) string {
	table.mu.Lock()
	defer table.mu.Unlock()
	return table.at(ix).incarnation
}

// Valid reports whether a slot of that process may still be used: its term runs,
// and no other process has taken the runner's place.
func (table *Table) Valid(ix int, incarnation string) bool {
	table.mu.Lock()
	defer table.mu.Unlock()
	h := table.at(ix)
	return h.incarnation == incarnation && time.Now().Before(h.until)
}

// Report reports for each runner what is allowed, or still in use beyond that.
func (table *Table) Report() []*wire.Slot {
	table.mu.Lock()
	defer table.mu.Unlock()
	var out []*wire.Slot
	now := time.Now()
	for i := range table.shares {
		h := &table.shares[i]
		if !now.Before(h.until) {
			h.allowed = [2]int{}
		}
		s := &wire.Slot{
			Runner: table.names.Name(i),
			Mark:   h.incarnation,
			Plain:  int32(max(h.allowed[Plain], h.used[Plain])),
			Urgent: int32(max(h.allowed[Urgent], h.used[Urgent])),
			Busy:   int32(h.used[Plain] + h.used[Urgent]),
		}
		if s.Plain+s.Urgent > 0 {
			out = append(out, s)
		}
	}
	return out
}
