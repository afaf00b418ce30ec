package proxy

import (
	"strings"
	"testing"
	"time"

	"damsontiller/internal/proto/keys"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/membudget"
)

// TestConversationLimits guards against conversations that grow without a limit: in bytes, in turns,
// and in what all of them take of the memory at once.
func TestConversationLimits(t *testing.T) {
	params := DefaultTurns
	params.MaxBytes, params.MaxTurns = 10_000, 5
	turns := NewTurns(params, nil)
	chain := []*turn{{Turn: &wire.Turn{In: []byte("in"), Out: []byte(strings.Repeat("o", 5000))}}}
	memory := membudget.New(7000)
	j := &Job{memory: memory.Account()}
	if got, err := turns.prompt(j, chain, []byte("new")); err != nil || string(got) != "in"+string(chain[0].Out)+"new" {
		t.Errorf("%d bytes, %v", len(got), err)
	}
	if _, err := turns.prompt(j, chain, []byte("new")); code.Of(err) != code.MemoryFull {
		t.Errorf("past the memory: %v", err)
	}
	if _, err := turns.prompt(j, chain, make([]byte, 5000)); code.Of(err) != code.TooLarge {
		t.Errorf("past the bytes: %v", err)
	}
	for before, want := range map[int]code.Code{0: code.OK, 4: code.TooLarge} {
		latest := &turn{id: "t", key: keys.ProxyTurn("", "t"), expiresAt: time.Now().Add(time.Hour), Turn: &wire.Turn{}}
		latest.Before = make([]string, before)
		turns.store(latest)
		if _, err := turns.fetchChain(t.Context(), "", "t", nil); code.Of(err) != want {
			t.Errorf("%d turns before: %v", before, err)
		}
	}
}
