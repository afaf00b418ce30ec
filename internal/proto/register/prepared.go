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

// preparedBallot lets a proposer change a key in one round. It holds a ballot of this proposer
// that a quorum promised while accepting its last change, and the accepted cell. It is
// equivalent to the result of a prepare round for that ballot and, like it, may be used only
// once: two values under one ballot would break agreement.
type preparedBallot struct {
	key        string
	set        Set
	ballot     *wire.Ballot
	cell       *wire.Cell
	preparedAt clock.Moment // when the quorum had answered
}

// next returns the cell that update computes from the last accepted one.
func (b *preparedBallot) next(update UpdateFunc, operation uint64) (*wire.Cell, error) {
	state := State{Version: b.cell.GetVer(), Value: b.cell.GetVal()}
	if b.cell.GetTimed() {
		// The quorum held the cell before its replies arrived here. The time since then is
		// therefore a lower bound of the cell's age, like the ages counted by the acceptors,
		// and it does not restart with them.
		state.Age = time.Since(b.preparedAt.Monotonic())
		state.GreatestAge = state.Age
	}
	value, timed, err := update(state)
	if err != nil {
		return nil, err
	}
	return nextCell(b.cell, operation, value, timed), nil
}

const (
	// preparedLifetime is far below the shortest retention period, so that no voter has expired
	// a value written within it. It includes the time for which the machine was suspended.
	preparedLifetime = 10 * time.Second
	maxPrepared      = 2048    // entries
	maxPreparedBytes = 1 << 20 // of keys, values and operation ids together
	// maxPreparedEntryBytes bounds the size of one entry.
	maxPreparedEntryBytes = maxPreparedBytes / 16
)

// preparedCache is a bounded cache of prepared ballots by key. It evicts the oldest first.
type preparedCache struct {
	mu     sync.Mutex
	byKey  map[string]*list.Element
	oldest list.List // the oldest entry is in front
	size   int
}

func preparedSize(b *preparedBallot) int {
	return len(b.key) + len(b.cell.GetVal()) + 8*len(b.cell.GetOps())
}

func (c *preparedCache) put(b *preparedBallot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.byKey[b.key]; e != nil {
		c.remove(e)
	}
	if preparedSize(b) > maxPreparedEntryBytes {
		return
	}
	if c.byKey == nil {
		c.byKey = map[string]*list.Element{}
	}
	c.byKey[b.key] = c.oldest.PushBack(b)
	c.size += preparedSize(b)
	for e := c.oldest.Front(); e != nil; e = c.oldest.Front() {
		if c.size <= maxPreparedBytes && c.oldest.Len() <= maxPrepared &&
			b.preparedAt.Sub(e.Value.(*preparedBallot).preparedAt) <= preparedLifetime {
			return
		}
		c.remove(e)
	}
}

// take removes and returns a key's prepared ballot. It returns nil if there is none, if it has
// expired, or if another set of voters promised it.
func (c *preparedCache) take(key string, set Set, now clock.Moment) *preparedBallot {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.byKey[key]
	if e == nil {
		return nil
	}
	b := c.remove(e)
	if now.Sub(b.preparedAt) > preparedLifetime || !slices.EqualFunc(b.set, set, slices.Equal[[]Replica]) {
		return nil
	}
	return b
}

func (c *preparedCache) remove(e *list.Element) *preparedBallot {
	b := c.oldest.Remove(e).(*preparedBallot)
	delete(c.byKey, b.key)
	c.size -= preparedSize(b)
	return b
}

// keyQueues serializes the changes that this process makes to a key, because concurrent ones
// would only invalidate each other's ballots.
type keyQueues struct {
	mu    sync.Mutex
	byKey map[string]*keyQueue
}

type keyQueue struct {
	token chan struct{}
	users int // callers that hold the token or wait for it
}

// acquire waits for the key's token, for at most timeout. It is an optimization and not a lock:
// a caller whose wait has ended proceeds concurrently with a change that hangs.
func (q *keyQueues) acquire(ctx context.Context, key string, timeout time.Duration) (release func()) {
	q.mu.Lock()
	queue := q.byKey[key]
	if queue == nil {
		if q.byKey == nil {
			q.byKey = map[string]*keyQueue{}
		}
		queue = &keyQueue{token: make(chan struct{}, 1)}
		queue.token <- struct{}{}
		q.byKey[key] = queue
	}
	queue.users++
	q.mu.Unlock()
	acquired := false
	select {
	case <-queue.token:
		acquired = true
	default:
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		select {
		case <-queue.token:
			acquired = true
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return func() {
		if acquired {
			queue.token <- struct{}{}
		}
		q.mu.Lock()
		if queue.users--; queue.users == 0 {
			delete(q.byKey, key)
		}
		q.mu.Unlock()
	}
}
