package register_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
)

const valueKey = "spec"

// voters is a set of acceptors that counts their replies.
type voters struct {
	mu        sync.Mutex
	acceptors map[string]*register.Acceptor
	down      map[string]bool
	delay     map[string]time.Duration
	// fetchDelay is the additional delay of replies to a fetch of the value.
	fetchDelay map[string]time.Duration

	values     int // replies with a value
	replyBytes int
	writes     int // prepare and accept requests
}

func newVoters(count int) (*voters, register.Set) {
	v := &voters{
		acceptors:  map[string]*register.Acceptor{},
		down:       map[string]bool{},
		delay:      map[string]time.Duration{},
		fetchDelay: map[string]time.Duration{},
	}
	var group []register.Replica
	for i := range count {
		addr := fmt.Sprintf("a%d", i)
		v.acceptors[addr] = register.NewAcceptor(newModelDisk())
		group = append(group, register.Replica{Addr: addr, Ident: "id-" + addr})
	}
	return v, register.Set{group}
}

func (v *voters) setDown(addr string, down bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.down[addr] = down
}

func (v *voters) setDelay(delay time.Duration, addrs ...string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, addr := range addrs {
		v.delay[addr] = delay
	}
}

func (v *voters) call(ctx context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
	v.mu.Lock()
	down, delay := v.down[addr], v.delay[addr]
	if read := q.GetLook(); read != nil && !read.Head {
		delay += v.fetchDelay[addr]
	}
	v.mu.Unlock()
	if down {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(delay)
	view, err := v.acceptors[addr].Answer(q)
	resp := &wire.Resp{Op: &wire.Resp_View{View: view}}
	encoded := wire.MustEncode(resp)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.replyBytes += len(encoded)
	if q.GetLook() == nil {
		v.writes++
	}
	if len(view.GetCompressedValue()) > 0 || len(view.GetCell().GetVal()) > 0 {
		v.values++
	}
	return resp, err
}

// takeCounts returns the counts since its last call and resets them.
func (v *voters) takeCounts() (values, size, writes int) {
	// The wait lets slow voters reply.
	time.Sleep(time.Second)
	v.mu.Lock()
	defer v.mu.Unlock()
	values, size, writes = v.values, v.replyBytes, v.writes
	v.values, v.replyBytes, v.writes = 0, 0, 0
	return values, size, writes
}

// largeValue returns a table of routes like the one in the spec's register.
func largeValue() []byte {
	var buffer bytes.Buffer
	for i := range 2000 {
		fmt.Fprintf(&buffer, `{"name":"r-%x","authority":"host%d.example","prefix":"/p%d/","kind":"stream"},`, i*7919, i%97, i)
	}
	return buffer.Bytes()
}

// TestLargeValueOnce checks that a read fetches a large value from one voter only, and from
// none if the reader already has it from an earlier read or its own change.
func TestLargeValueOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v, set := newVoters(8)
		value := largeValue()
		writer := register.NewProposer(1, v.call)
		if _, err := writer.Change(t.Context(), set, valueKey, setTo(string(value))); err != nil {
			t.Fatal(err)
		}
		if values, _, _ := v.takeCounts(); values != 0 {
			t.Errorf("%d replies with a value to a change of an empty register", values)
		}
		reader := register.NewProposer(2, v.call)
		for _, step := range []struct {
			name   string
			reader *register.Proposer
			values int
		}{{"first", reader, 1}, {"second", reader, 0}, {"writer", writer, 0}} {
			state, err := step.reader.Read(t.Context(), set, valueKey)
			if err != nil || !bytes.Equal(state.Value, value) {
				t.Fatalf("%s read: %d bytes, %v", step.name, len(state.Value), err)
			}
			if values, size, _ := v.takeCounts(); values != step.values || size > len(value)/4 {
				t.Errorf("%s read: %d replies with a value, %d bytes for a value of %d", step.name, values, size, len(value))
			}
		}
		if _, err := writer.Change(t.Context(), set, valueKey, setTo(string(value)+"more")); err != nil {
			t.Fatal(err)
		}
		if values, _, _ := v.takeCounts(); values != 0 {
			t.Errorf("%d replies with a value to a change by a proposer that has it", values)
		}
	})
}

// TestLargeValueHolderSlow checks that a value is fetched from another voter if the first one
// is slow.
func TestLargeValueHolderSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for slow := range 3 {
			v, set := newVoters(3)
			value := largeValue()
			if _, err := register.NewProposer(1, v.call).Change(t.Context(), set, valueKey, setTo(string(value))); err != nil {
				t.Fatal(err)
			}
			v.mu.Lock()
			v.fetchDelay[fmt.Sprintf("a%d", slow)] = 400 * time.Millisecond
			v.mu.Unlock()
			// Each reader asks the holders in a random order.
			for reader := range 20 {
				startedAt := time.Now()
				state, err := register.NewProposer(uint64(2+reader), v.call).Read(t.Context(), set, valueKey)
				if err != nil || !bytes.Equal(state.Value, value) {
					t.Errorf("a%d slow: %d bytes, %v", slow, len(state.Value), err)
				}
				if elapsed := time.Since(startedAt); elapsed > 200*time.Millisecond {
					t.Errorf("a%d slow: the read took %v", slow, elapsed)
				}
			}
			v.takeCounts()
		}
	})
}

// TestLaggingVoter checks that a voter that missed the last change does not cause a reader to
// write the value back while a quorum holds it.
func TestLaggingVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v, set := newVoters(5)
		proposer := register.NewProposer(1, v.call)
		if _, err := proposer.Change(t.Context(), set, valueKey, setTo("old")); err != nil {
			t.Fatal(err)
		}
		v.setDown("a4", true)
		if _, err := proposer.Change(t.Context(), set, valueKey, setTo("new")); err != nil {
			t.Fatal(err)
		}
		v.takeCounts()
		// The lagging voter now replies first.
		v.setDown("a4", false)
		v.setDelay(2*time.Millisecond, "a0", "a1", "a2", "a3")
		state, err := register.NewProposer(2, v.call).Read(t.Context(), set, valueKey)
		if err != nil || string(state.Value) != "new" {
			t.Fatalf("%q, %v", state.Value, err)
		}
		if _, _, writes := v.takeCounts(); writes != 0 {
			t.Errorf("%d prepare and accept requests by a read", writes)
		}
	})
}

// TestCompressedGarbage checks that an accept whose value cannot be decompressed is refused and
// leaves the record unchanged.
func TestCompressedGarbage(t *testing.T) {
	v, set := newVoters(1)
	if _, err := register.NewProposer(1, v.call).Change(t.Context(), set, valueKey, setTo("kept")); err != nil {
		t.Fatal(err)
	}
	for _, garbage := range []string{"\xff\xff\xff\xff\xff\xff", "\xff\xff\xff\xff\x0f", "\x10x"} {
		_, err := v.acceptors["a0"].Accept(&wire.Acc{
			Key: valueKey, Ballot: &wire.Ballot{N: 1 << 60}, Cell: &wire.Cell{Ver: 9}, CompressedValue: []byte(garbage),
		})
		if err == nil {
			t.Errorf("%x was accepted", garbage)
		}
	}
	state, err := register.NewProposer(2, v.call).Read(t.Context(), set, valueKey)
	if err != nil || string(state.Value) != "kept" {
		t.Errorf("%q, %v", state.Value, err)
	}
}
