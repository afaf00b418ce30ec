package register

import (
	"container/list"
	"context"
	"slices"
	"sync"
	"time"

	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/clock"
)

// preparedBallot lets a proposer change a key in one round: a ballot of its own that a
// quorum promised along with accepting its last change, and the cell that was accepted. It
// is equivalent to the outcome of a prepare round for that ballot and, like it, may be
// used once only: two values under one ballot would break agreement.
type preparedBallot struct {
	key        string
	set        Set
	ballot     *wire.Ballot
	cell       *wire.Cell
	preparedAt clock.Moment // once the quorum had answered
}

// next is the cell that f makes of the one accepted last.
func (a *preparedBallot) next(f UpdateFunc, operation uint64) (*wire.Cell, error) {
	st := State{Version: a.cell.GetVer(), Value: a.cell.GetVal()}
	if a.cell.GetTimed() {
		// A quorum held the cell before its answers came here. So our own count since
		// then is never more than the time it has been held: a lower bound, as the
		// acceptors' own counts are, and one that their restarts don't undo.
		st.Age = time.Since(a.preparedAt.Monotonic())
		st.GreatestAge = st.Age
	}
	value, timed, err := f(st)
	if err != nil {
		return nil, err
	}
	return nextCell(a.cell, operation, value, timed), nil
}

const (
	// preparedLifetime is far below the shortest time that state may be kept: what was
	// written within it has not been expired by any voter. It is counted through a
	// suspension of the machine.
	preparedLifetime = 10 * time.Second
	maxPrepared      = 2048
	maxPreparedBytes = 1 << 20 // bytes of values, of which one may be a sixteenth
)

// preparedCache is a bounded cache of prepared ballots by key. The oldest are evicted
// first.
type preparedCache struct {
	mu     sync.Mutex
	byKey  map[string]*list.Element
	oldest list.List // oldest in front
	size   int
}

func size(a *preparedBallot) int { return len(a.key) + len(a.cell.GetVal()) + 8*len(a.cell.GetOps()) }

func (s *preparedCache) put(a *preparedBallot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.byKey[a.key]; e != nil {
		s.remove(e)
	}
	if size(a) > maxPreparedBytes/16 {
		return
	}
	if s.byKey == nil {
		s.byKey = map[string]*list.Element{}
	}
	s.byKey[a.key] = s.oldest.PushBack(a)
	s.size += size(a)
	for e := s.oldest.Front(); e != nil; e = s.oldest.Front() {
		if s.size <= maxPreparedBytes && s.oldest.Len() <= maxPrepared &&
			a.preparedAt.Sub(e.Value.(*preparedBallot).preparedAt) <= preparedLifetime {
			return
		}
		s.remove(e)
	}
}

// take removes and returns a key's prepared ballot; nil if there is none, it is too old by
// now, or it was promised by another set of voters.
func (s *preparedCache) take(key string, set Set, now clock.Moment) *preparedBallot {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.byKey[key]
	if e == nil {
		return nil
	}
	a := s.remove(e)
	if now.Sub(a.preparedAt) > preparedLifetime || !slices.EqualFunc(a.set, set, slices.Equal[[]Replica]) {
		return nil
	}
	return a
}

func (s *preparedCache) remove(e *list.Element) *preparedBallot {
	a := s.oldest.Remove(e).(*preparedBallot)
	delete(s.byKey, a.key)
	s.size -= size(a)
	return a
}

// keyQueues serializes the changes that this process makes to one key: concurrent ones
// would only invalidate each other's ballots.
type keyQueues struct {
	mu    sync.Mutex
	byKey map[string]*keyQueue
}

type keyQueue struct {
	token chan struct{}
	users int // at work and waiting
}

// acquire waits for the key's turn, for as long as most at the longest. It is an
// optimisation and not a lock: a caller whose wait has ended goes on beside a change that
// hangs.
func (s *keyQueues) acquire(ctx context.Context, key string, most time.Duration) (release func()) {
	s.mu.Lock()
	t := s.byKey[key]
	if t == nil {
		if s.byKey == nil {
			s.byKey = map[string]*keyQueue{}
		}
		t = &keyQueue{token: make(chan struct{}, 1)}
		t.token <- struct{}{}
		s.byKey[key] = t
	}
	t.users++
	s.mu.Unlock()
	owned := false
	select {
	case <-t.token:
		owned = true
	default:
		w := time.NewTimer(most)
		defer w.Stop()
		select {
		case <-t.token:
			owned = true
		case <-w.C:
		case <-ctx.Done():
		}
	}
	return func() {
		if owned {
			t.token <- struct{}{}
		}
		s.mu.Lock()
		if t.users--; t.users == 0 {
			delete(s.byKey, key)
		}
		s.mu.Unlock()
	}
}
