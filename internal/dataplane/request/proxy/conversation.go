package proxy

import (
	"container/list"
	"context"
	"errors"
	"sync"
	"time"

	"damsontiller/internal/coordination/storeclient"
	"damsontiller/internal/proto/keys"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
	"damsontiller/internal/transport/membudget"
)

// TurnParams are the timeouts and limits of stored turns.
type TurnParams struct {
	ReadTimeout      time.Duration // for fetching turns of a chain that this node has not cached
	LateWriteTimeout time.Duration // for storing a turn whose own deadline has passed
	// ExtraRetention is added to the promised retention, so that later turns of the conversation
	// seldom have to renew it.
	ExtraRetention time.Duration
	CacheBytes     int // size limit of this node's cache of turns
	// MaxBytes and MaxTurns limit a conversation with its newest input.
	MaxBytes, MaxTurns int
}

// DefaultTurns are the default parameters of stored turns.
var DefaultTurns = TurnParams{
	ReadTimeout:      time.Second,
	LateWriteTimeout: time.Second,
	ExtraRetention:   4 * time.Minute,
	CacheBytes:       8 << 20,
	MaxBytes:         4 << 20,
	MaxTurns:         1024,
}

// maxConcurrentFetches limits the turns of one conversation that are fetched at once.
const maxConcurrentFetches = 16

// Turns stores conversations as deltas: each turn holds its own input and output and the ids of all
// turns before it. A turn is written to a majority of its stores before its response ends.
type Turns struct {
	stores *storeclient.Client
	params TurnParams

	mu          sync.Mutex
	cached      map[string]*list.Element
	lru         *list.List // least recently used at the back
	cachedBytes int
}

// turnsRetryAfter is when a caller may retry a job whose earlier turns could not be fetched.
const turnsRetryAfter = 250 * time.Millisecond

// NewTurns returns the policy that stores turns in the given stores.
func NewTurns(params TurnParams, stores *storeclient.Client) *Turns {
	return &Turns{stores: stores, params: params, cached: map[string]*list.Element{}, lru: list.New()}
}

// turn is a stored turn in this node's cache. It is immutable.
type turn struct {
	id        string
	key       string    // of its blob; includes the tenant
	expiresAt time.Time // the stores keep it at least until then
	*wire.Turn
}

// Estimates of the memory used by a cached turn in addition to its input and output.
const (
	turnIDBytes       = 32
	turnOverheadBytes = 200
)

func (t *turn) size() int {
	return len(t.In) + len(t.Out) + turnIDBytes*len(t.Before) + turnOverheadBytes
}

func (turns *Turns) lookup(key string) *turn {
	turns.mu.Lock()
	defer turns.mu.Unlock()
	element := turns.cached[key]
	if element == nil {
		return nil
	}
	turns.lru.MoveToFront(element)
	return element.Value.(*turn)
}

func (turns *Turns) store(added *turn) {
	turns.mu.Lock()
	defer turns.mu.Unlock()
	if element := turns.cached[added.key]; element != nil {
		turns.cachedBytes -= element.Value.(*turn).size()
		turns.lru.Remove(element)
	}
	turns.cached[added.key] = turns.lru.PushFront(added)
	for turns.cachedBytes += added.size(); turns.cachedBytes > turns.params.CacheBytes && turns.lru.Len() > 1; {
		element := turns.lru.Back()
		evicted := element.Value.(*turn)
		turns.lru.Remove(element)
		delete(turns.cached, evicted.key)
		turns.cachedBytes -= evicted.size()
	}
}

func (turns *Turns) fetch(ctx context.Context, tenant, id string) (*turn, error) {
	key := keys.ProxyTurn(tenant, id)
	// A cached turn may have expired. Only the stores can tell, so the cache is used only within
	// the known retention.
	if found := turns.lookup(key); found != nil && time.Now().Before(found.expiresAt) {
		return found, nil
	}
	requestedAt := time.Now()
	encoded, timeLeft, err := turns.stores.GetBlobTimeLeft(ctx, key)
	if err != nil {
		return nil, err
	}
	found := &turn{id: id, key: key, expiresAt: requestedAt.Add(timeLeft), Turn: &wire.Turn{}}
	if err := wire.Decode(encoded, found.Turn); err != nil {
		return nil, err
	}
	turns.store(found)
	return found, nil
}

// fetchChain fetches the turn that a job continues and all turns before it, oldest first. It
// returns NoTurn only if a majority of the stores has no such turn.
func (turns *Turns) fetchChain(ctx context.Context, tenant, id string, memory *membudget.Account) ([]*turn, error) {
	latest, err := turns.fetch(ctx, tenant, id)
	if err != nil {
		return nil, err
	}
	if n := len(latest.Before) + 1; n >= turns.params.MaxTurns {
		return nil, code.New(code.TooLarge, "the conversation has %d turns, limit %d", n, turns.params.MaxTurns)
	}
	chain := make([]*turn, len(latest.Before)+1)
	chain[len(latest.Before)] = latest
	errs := make(chan error, len(latest.Before))
	fetching := make(chan struct{}, maxConcurrentFetches)
	for i, id := range latest.Before {
		if t := turns.lookup(keys.ProxyTurn(tenant, id)); t != nil {
			chain[i] = t
			errs <- nil
			continue
		}
		go func() {
			fetching <- struct{}{}
			defer func() { <-fetching }()
			t, err := turns.fetch(ctx, tenant, id)
			if err == nil {
				err = memory.Grow(int64(t.size()))
			}
			chain[i] = t
			errs <- err
		}()
	}
	for range latest.Before {
		if fetchErr := <-errs; fetchErr != nil {
			err = fetchErr
		}
	}
	if code.Of(err) == code.MemoryFull {
		return nil, err
	}
	if err != nil {
		// The latest turn exists, so its predecessors must exist too: not finding one does not
		// prove that it was deleted.
		return nil, code.New(code.StoresUnreachable, "turn %s: the turns before it: %w", id, err)
	}
	return chain, nil
}

// keepLimits bounds the time for writing a turn.
type keepLimits struct {
	// until is when the write is given up if stores are silent: another node may reach them.
	until time.Time
	// caller ends when the caller no longer waits. Until then the write goes on past until while a
	// majority of the stores is within reach.
	caller context.Context
}

// mayGoOn reports whether a write that failed is tried again.
func (limits keepLimits) mayGoOn(err error) bool {
	if time.Now().Before(limits.until) {
		return true
	}
	return errors.Is(err, storeclient.ErrReachable) && limits.caller.Err() == nil
}

// write writes a turn to a majority of its stores within the limits.
func (turns *Turns) write(ctx context.Context, limits keepLimits, written *turn, retention time.Duration) error {
	encoded := wire.MustEncode(written.Turn)
	for try := 0; ; try++ {
		err := turns.stores.PutBlobWhileReachable(
			ctx,
			limits.until,
			written.key,
			encoded,
			retention+turns.params.ExtraRetention,
		)
		if !isTransient(err) || !limits.mayGoOn(err) || !loop.Wait(ctx, storeRetryDelay(try)) {
			return err
		}
	}
}

// Keep writes a turn to a majority of its stores, and renews the turns before it that would expire
// before it does.
func (turns *Turns) Keep(
	ctx context.Context,
	limits keepLimits,
	tenant, id string,
	chain []*turn,
	in, out []byte,
	retention time.Duration,
) error {
	kept := &turn{id: id, key: keys.ProxyTurn(tenant, id), Turn: &wire.Turn{In: in, Out: out}}
	for _, previous := range chain {
		kept.Before = append(kept.Before, previous.id)
	}
	now := time.Now()
	errs := make(chan error, len(chain)+1)
	writes := 1
	var renewed []*turn
	put := func(written *turn) { errs <- turns.write(ctx, limits, written, retention) }
	for _, previous := range chain {
		if previous.expiresAt.Before(now.Add(retention + 2*turns.params.LateWriteTimeout)) {
			writes++
			renewal := &turn{
				id:        previous.id,
				key:       previous.key,
				expiresAt: now.Add(retention + turns.params.ExtraRetention),
				Turn:      previous.Turn,
			}
			go put(renewal)
			renewed = append(renewed, renewal)
		}
	}
	kept.expiresAt = now.Add(retention + turns.params.ExtraRetention)
	go put(kept)
	var err error
	for range writes {
		if writeErr := <-errs; writeErr != nil {
			err = writeErr
		}
	}
	if err != nil {
		return code.New(code.NotKept, "the turn ran but could not be kept: %w", err)
	}
	// Cached only after all writes succeeded, so that the next turn retries a renewal that failed.
	for _, renewal := range renewed {
		turns.store(renewal)
	}
	turns.store(kept)
	return nil
}

// prompt returns the whole conversation with its newest input, in memory of the job.
func (turns *Turns) prompt(j *Job, chain []*turn, input []byte) ([]byte, error) {
	size := len(input)
	for _, t := range chain {
		size += len(t.In) + len(t.Out)
	}
	if size > turns.params.MaxBytes {
		return nil, code.New(code.TooLarge, "the conversation has %d bytes, limit %d", size, turns.params.MaxBytes)
	}
	if err := j.memory.Grow(int64(size)); err != nil {
		return nil, err
	}
	prompt := make([]byte, 0, size)
	for _, t := range chain {
		prompt = append(prompt, t.In...)
		prompt = append(prompt, t.Out...)
	}
	return append(prompt, input...), nil
}

// Do sends the runner the entire conversation, and ends the response only after the turn is stored.
func (turns *Turns) Do(j *Job, response *Response, next Next) Answer {
	if !j.Path.Kept {
		return next(j, response)
	}
	var chain []*turn
	input := j.Body
	if j.PreviousAttempt != "" {
		ctx, stop := context.WithTimeout(j, min(turns.params.ReadTimeout, j.TimeLeft()))
		err := retryAtStores(ctx, func() (err error) {
			chain, err = turns.fetchChain(ctx, j.TenantName(), j.PreviousAttempt, j.memory)
			return err
		})
		stop()
		if err != nil {
			return Refuse(err, turnsRetryAfter)
		}
		if j.Body, err = turns.prompt(j, chain, input); err != nil {
			return Refuse(err, turnsRetryAfter)
		}
	}
	response.Collect()
	answer := next(j, response)
	if answer.Err != nil || !answer.Success {
		return answer
	}
	patience := max(min(j.TimeLeft(), 2*turns.params.LateWriteTimeout), turns.params.LateWriteTimeout)
	limits := keepLimits{until: time.Now().Add(patience), caller: j}
	ctx, stop := context.WithTimeout(context.WithoutCancel(j), max(j.TimeLeft(), patience))
	defer stop()
	retention := time.Duration(j.Path.KeepMs) * time.Millisecond
	err := turns.Keep(ctx, limits, j.TenantName(), j.Attempt, chain, input, response.Text(), retention)
	if err != nil {
		return Answer{Err: err}
	}
	return answer
}

// Bounds of the exponential delay between attempts at the stores.
const (
	storeRetryMinDelay = 10 * time.Millisecond
	storeRetryMaxDelay = 100 * time.Millisecond
)

// retryAtStores repeats an operation at the stores until it succeeds, fails permanently or ctx ends.
// The operation must be idempotent. While the set of stores changes, stores refuse clients that use
// the old set, possibly after other stores have accepted the write, and a new store may not know
// yet that it is in the set. Both conditions are transient.
func retryAtStores(ctx context.Context, do func() error) error {
	for try := 0; ; try++ {
		err := do()
		if !isTransient(err) || !loop.Wait(ctx, storeRetryDelay(try)) {
			return err
		}
	}
}

// storeRetryDelay returns the delay after a number of failed attempts.
func storeRetryDelay(try int) time.Duration {
	return min(storeRetryMinDelay<<min(try, 4), storeRetryMaxDelay)
}

// isTransient reports whether a failure at the stores is likely to pass soon.
func isTransient(err error) bool {
	c := code.Of(err)
	return c == code.StoresUnreachable || c == code.OutcomeUnknown
}
