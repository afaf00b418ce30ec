package membudget

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"damsontiller/internal/transport/code"
)

// TestBudget checks that the accounts of a budget never hold more than its limit together, and
// give back what they held.
func TestBudget(t *testing.T) {
	b := New(100)
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			for range 200 {
				a := b.Account()
				for range 4 {
					if err := a.Grow(10); err != nil && code.Of(err) != code.MemoryFull {
						t.Error(err)
					}
					if held := b.Usage().Highest; held > 100 {
						t.Errorf("%d held", held)
					}
				}
				a.Close()
			}
		})
	}
	wg.Wait()
	if u := b.Usage(); u.Held != 0 || u.Highest > 100 || u.Highest == 0 {
		t.Errorf("%+v", u)
	}
	closed := b.Account()
	closed.Close()
	if err := closed.Grow(1); code.Of(err) != code.MemoryFull || b.Usage().Held != 0 {
		t.Errorf("after Close: %v", err)
	}
	if err := b.Account().Grow(101); code.Of(err) != code.MemoryFull || b.Usage().Held != 0 {
		t.Errorf("over the limit: %v", err)
	}
}

// TestReadUpTo checks what is read and held for contents of all sizes, in pieces of one byte, with
// errors, and past the budget.
func TestReadUpTo(t *testing.T) {
	broken := errors.New("broken")
	for _, size := range []int{0, 1, minReadBytes, minReadBytes + 1, 5000} {
		content := strings.Repeat("x", size)
		b := New(1 << 20)
		a := b.Account()
		got, err := a.ReadUpTo(iotest.OneByteReader(strings.NewReader(content)), 8000)
		if err != nil || string(got) != content || b.Usage().Held > 2*int64(size)+minReadBytes {
			t.Errorf("%d: %d bytes, %v, %d held", size, len(got), err, b.Usage().Held)
		}
		a.Close()
		if b.Usage().Held != 0 {
			t.Errorf("%d: %d held after Close", size, b.Usage().Held)
		}
		got, err = New(1<<20).Account().ReadUpTo(io.MultiReader(strings.NewReader(content), iotest.ErrReader(broken)), 8000)
		if !errors.Is(err, broken) || string(got) != content {
			t.Errorf("%d: %d bytes, %v", size, len(got), err)
		}
	}
	endless := bytes.NewReader(make([]byte, 1<<20))
	if got, err := New(1<<20).Account().ReadUpTo(endless, 3000); err != nil || len(got) != 3000 {
		t.Errorf("%d bytes, %v", len(got), err)
	}
	if got, err := New(4096).Account().ReadUpTo(endless, 100_000); code.Of(err) != code.MemoryFull || len(got) > 4096 {
		t.Errorf("past the budget: %d bytes, %v", len(got), err)
	}
	var none *Account
	if got, err := none.ReadUpTo(endless, 50_000); err != nil || len(got) != 50_000 {
		t.Errorf("no budget: %d bytes, %v", len(got), err)
	}
}
