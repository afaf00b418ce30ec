package register

import (
	"container/list"
	"context"
	"slices"
	"sync"
	"time"

	"damsontiller/internal/proto/wire"
)

// ahead is what lets a proposer change a key in one round: a ballot of its own that
// a quorum has promised along with taking its last change, and what it wrote. It is
// the outcome of preparing that ballot, and like one it is used at most once: a
// second value under one ballot would break agreement.
type ahead struct {
	key  string
	set  Set
	b    *wire.Ballot
	cell *wire.Cell
	at   time.Time // once the quorum had answered
}

// next is the cell that f makes of it.
func (a *ahead) next(f Func, op uint64) (*wire.Cell, error) {
	st := State{Ver: a.cell.GetVer(), Val: a.cell.GetVal()}
	if a.cell.GetTimed() {
		// A quorum held the cell before its answers came here. So our own count since
		// then is never more than the time it has been held: a lower bound, as the
		// acceptors' own counts are, and one that their restarts don't undo.
		st.Age = time.Since(a.at)
	}
	val, timed, err := f(st)
	if err != nil {
		return nil, err
	}
	return add(a.cell, op, val, timed), nil
}

const (
	// keepAhead is far below the shortest time that state may be kept: what was
	// written within it has not been let go by any voter.
	keepAhead = 10 * time.Second
	mostAhead = 2048
	sizeAhead = 1 << 20 // bytes of values, of which one may be a sixteenth
)

// aheads holds the latest of them, oldest let go first.
type aheads struct {
	mu   sync.Mutex
	all  map[string]*list.Element
	old  list.List // oldest in front
	size int
}

func size(a *ahead) int { return len(a.key) + len(a.cell.GetVal()) + 8*len(a.cell.GetOps()) }

func (s *aheads) put(a *ahead) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.all[a.key]; e != nil {
		s.remove(e)
	}
	if size(a) > sizeAhead/16 {
		return
	}
	if s.all == nil {
		s.all = map[string]*list.Element{}
	}
	s.all[a.key] = s.old.PushBack(a)
	s.size += size(a)
	for e := s.old.Front(); e != nil; e = s.old.Front() {
		if s.size <= sizeAhead && s.old.Len() <= mostAhead && time.Since(e.Value.(*ahead).at) <= keepAhead {
			return
		}
		s.remove(e)
	}
}

// take hands out a key's, and forgets it. One made with other voters is worth
// nothing: its promises are theirs.
func (s *aheads) take(key string, set Set) *ahead {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.all[key]
	if e == nil {
		return nil
	}
	a := s.remove(e)
	if time.Since(a.at) > keepAhead || !slices.EqualFunc(a.set, set, slices.Equal[[]Replica]) {
		return nil
	}
	return a
}

func (s *aheads) remove(e *list.Element) *ahead {
	a := s.old.Remove(e).(*ahead)
	delete(s.all, a.key)
	s.size -= size(a)
	return a
}

// turns lets the changes that one process makes to a key go one after another:
// side by side they would only beat down each other's ballots.
type turns struct {
	mu  sync.Mutex
	all map[string]*turn
}

type turn struct {
	free chan struct{}
	n    int // at work and waiting
}

// enter waits for the key's turn. It is a courtesy, not a lock: whoever has waited
// for most goes on beside a change that hangs.
func (s *turns) enter(ctx context.Context, key string, most time.Duration) (leave func()) {
	s.mu.Lock()
	t := s.all[key]
	if t == nil {
		if s.all == nil {
			s.all = map[string]*turn{}
		}
		t = &turn{free: make(chan struct{}, 1)}
		t.free <- struct{}{}
		s.all[key] = t
	}
	t.n++
	s.mu.Unlock()
	mine := false
	select {
	case <-t.free:
		mine = true
	default:
		w := time.NewTimer(most)
		defer w.Stop()
		select {
		case <-t.free:
			mine = true
		case <-w.C:
		case <-ctx.Done():
		}
	}
	return func() {
		if mine {
			t.free <- struct{}{}
		}
		s.mu.Lock()
		if t.n--; t.n == 0 {
			delete(s.all, key)
		}
		s.mu.Unlock()
	}
}
