// Package slots keeps this node's share of what each runner can bear.
package slots

import (
	"sync"
	"time"

	"damsontiller/internal/dataplane/intern"
	"damsontiller/internal/proto/wire"
)

// Kind of a slot.
type Kind int

// Urgent slots are for urgent work only.
const (
	Plain Kind = iota
	Urgent
)

type hand struct {
	mark  string // of the runner's process
	allow [2]int
	used  [2]int
	until time.Time // end of the term
}

// Box holds the shares. Indices are the runner names'.
type Box struct {
	names *intern.Table
	mu    sync.Mutex
	all   []hand
}

// New makes an empty box.
func New(n *intern.Table) *Box { return &Box{names: n} }

func (b *Box) at(ix int) *hand {
	for len(b.all) <= ix {
		b.all = append(b.all, hand{})
	}
	return &b.all[ix]
}

// Deal replaces the shares. asked is when the request for them was made: the
// term is counted from then, so that it ends here before it ends at the dealer.
func (b *Box) Deal(asked time.Time, term time.Duration, dealt []*wire.Slot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.all {
		b.all[i].allow = [2]int{}
	}
	for _, s := range dealt {
		h := b.at(b.names.Ix(s.Runner))
		if h.mark != s.Mark {
			// Another process: what was in use went with the one before it.
			*h = hand{mark: s.Mark}
		}
		h.allow = [2]int{int(s.Plain), int(s.Urgent)}
		h.until = asked.Add(term)
	}
}

// Take takes a slot; urgent work takes an urgent one first, so that plain ones
// stay for the rest. The slot is one of the process whose mark is handed back.
func (b *Box) Take(ix int, urgent bool) (Kind, string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.at(ix)
	if !time.Now().Before(h.until) {
		return Plain, "", false
	}
	if urgent && h.used[Urgent] < h.allow[Urgent] {
		h.used[Urgent]++
		return Urgent, h.mark, true
	}
	if h.used[Plain] < h.allow[Plain] {
		h.used[Plain]++
		return Plain, h.mark, true
	}
	return Plain, "", false
}

// Free tells how many slots a job of that kind could take, and how many are
// in use.
func (b *Box) Free(ix int, urgent bool) (free, used int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.at(ix)
	used = h.used[Plain] + h.used[Urgent]
	if !time.Now().Before(h.until) {
		return 0, used
	}
	free = max(h.allow[Plain]-h.used[Plain], 0)
	if urgent {
		free += max(h.allow[Urgent]-h.used[Urgent], 0)
	}
	return free, used
}

// Give gives a slot back; one of a process that is gone is gone with it.
func (b *Box) Give(ix int, mark string, k Kind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.at(ix); h.mark == mark {
		h.used[k]--
	}
}

// Mark is of the process that the slots held of a runner are for.
func (b *Box) Mark(ix int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.at(ix).mark
}

// Holds tells whether a slot of that process may still be used: its term runs,
// and no other process has taken the runner's place.
func (b *Box) Holds(ix int, mark string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.at(ix)
	return h.mark == mark && time.Now().Before(h.until)
}

// Held reports for each runner what is allowed, or still in use beyond that.
func (b *Box) Held() []*wire.Slot {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*wire.Slot
	now := time.Now()
	for i := range b.all {
		h := &b.all[i]
		if !now.Before(h.until) {
			h.allow = [2]int{}
		}
		s := &wire.Slot{Runner: b.names.Name(i), Mark: h.mark, Plain: int32(max(h.allow[Plain], h.used[Plain])), Urgent: int32(max(h.allow[Urgent], h.used[Urgent])),
			Busy: int32(h.used[Plain] + h.used[Urgent])}
		if s.Plain+s.Urgent > 0 {
			out = append(out, s)
		}
	}
	return out
}
