// Package membudget bounds the memory that a process spends on data whose size another party
// decides: request bodies, buffered responses, conversations, frames. One Budget is shared by all
// connections of a process, so that their sum is bounded as well as each of them.
package membudget

import (
	"io"
	"sync"
	"sync/atomic"

	"damsontiller/internal/transport/code"
)

// Budget counts the bytes in use against a limit. Its methods may be called concurrently. A nil
// Budget has no limit.
type Budget struct {
	limit   int64
	held    atomic.Int64
	highest atomic.Int64
	refused atomic.Uint64
}

// New returns a budget of so many bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Limit returns the limit in bytes; 0 means none.
func (b *Budget) Limit() int64 {
	if b == nil {
		return 0
	}
	return b.limit
}

// Usage is a snapshot of a budget.
type Usage struct {
	Limit, Held, Highest int64 // bytes
	Refused              uint64
}

// Usage returns the current and the highest number of bytes held, and how often bytes were refused.
func (b *Budget) Usage() Usage {
	if b == nil {
		return Usage{}
	}
	return Usage{Limit: b.limit, Held: b.held.Load(), Highest: b.highest.Load(), Refused: b.refused.Load()}
}

// take reserves n bytes, or fails with code.MemoryFull.
func (b *Budget) take(n int64) error {
	if b == nil || n <= 0 {
		return nil
	}
	held := b.held.Add(n)
	if held > b.limit {
		b.held.Add(-n)
		b.refused.Add(1)
		return code.New(code.MemoryFull, "%d bytes of requests and answers are held, the limit is %d", held-n, b.limit)
	}
	b.recordHighest(held)
	return nil
}

// takeAlone reserves n bytes, even past the limit, if the budget holds nothing else. Otherwise it
// is take.
func (b *Budget) takeAlone(n int64) error {
	if b == nil || n <= 0 || !b.held.CompareAndSwap(0, n) {
		return b.take(n)
	}
	b.recordHighest(n)
	return nil
}

// recordHighest raises the highest number of bytes held.
func (b *Budget) recordHighest(held int64) {
	for highest := b.highest.Load(); held > highest; highest = b.highest.Load() {
		if b.highest.CompareAndSwap(highest, held) {
			return
		}
	}
}

// Account returns an account that holds nothing yet.
func (b *Budget) Account() *Account { return &Account{budget: b} }

// Account holds bytes of a budget for one purpose. Its methods may be called concurrently. A nil
// Account has no limit.
type Account struct {
	budget *Budget

	mu     sync.Mutex
	held   int64
	closed bool
}

// Grow reserves n more bytes. It fails with code.MemoryFull past the limit, and after Close.
func (a *Account) Grow(n int64) error { return a.grow(n, (*Budget).take) }

// GrowAlone is Grow, but succeeds past the limit while the budget holds nothing else: what is larger
// than the limit by itself still gets through.
func (a *Account) GrowAlone(n int64) error { return a.grow(n, (*Budget).takeAlone) }

// grow reserves n bytes by take. A closed account takes none, since nobody would return them.
func (a *Account) grow(n int64, take func(b *Budget, n int64) error) error {
	if a == nil || a.budget == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return code.New(code.MemoryFull, "the account is closed")
	}
	if err := take(a.budget, n); err != nil {
		return err
	}
	a.held += max(n, 0)
	return nil
}

// Release returns all bytes of the account to the budget.
func (a *Account) Release() { a.release(false) }

// Close returns all bytes of the account to the budget for good.
func (a *Account) Close() { a.release(true) }

func (a *Account) release(last bool) {
	if a == nil || a.budget == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget.held.Add(-a.held)
	a.held = 0
	a.closed = a.closed || last
}

// minReadBytes is the size of the first buffer of ReadUpTo.
const minReadBytes = 1 << 10

// ReadUpTo reads at most limit bytes, until the end of r. It reserves memory as bytes arrive, so
// that a sender is not lent more than about twice what it sent. After an error of the budget it
// returns what was read so far.
func (a *Account) ReadUpTo(r io.Reader, limit int64) ([]byte, error) {
	var content []byte
	for int64(len(content)) < limit {
		if len(content) == cap(content) {
			size := min(max(2*int64(cap(content)), minReadBytes), limit)
			if err := a.Grow(size - int64(cap(content))); err != nil {
				return content, err
			}
			larger := make([]byte, len(content), size)
			copy(larger, content)
			content = larger
		}
		n, err := r.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if err == io.EOF {
			return content, nil
		}
		if err != nil {
			return content, err
		}
	}
	return content, nil
}
