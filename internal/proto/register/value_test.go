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

// voters are acceptors that count what they answer.
type voters struct {
	mu    sync.Mutex
	all   map[string]*register.Acceptor
	down  map[string]bool
	delay map[string]time.Duration
	// fetchDelay is the delay of answers that bring a value.
	fetchDelay map[string]time.Duration

	values int // answers with a value
	bytes  int // of the answers
	writes int // prepare and accept requests
}

func newVoters(n int) (*voters, register.Set) {
	v := &voters{
		all:        map[string]*register.Acceptor{},
		down:       map[string]bool{},
		delay:      map[string]time.Duration{},
		fetchDelay: map[string]time.Duration{},
	}
	var group []register.Replica
	for i := range n {
		addr := fmt.Sprintf("a%d", i)
		v.all[addr] = register.NewAcceptor(newModelDisk())
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
	view, err := v.all[addr].Answer(q)
	r := &wire.Resp{Op: &wire.Resp_View{View: view}}
	b := wire.MustEncode(r)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.bytes += len(b)
	if q.GetLook() == nil {
		v.writes++
	}
	if len(view.GetCompressedValue()) > 0 || len(view.GetCell().GetVal()) > 0 {
		v.values++
	}
	return r, err
}

// counted returns what was answered since the last call of it.
func (v *voters) counted() (values, size, writes int) {
	// Stragglers have answered by then.
	time.Sleep(time.Second)
	v.mu.Lock()
	defer v.mu.Unlock()
	values, size, writes = v.values, v.bytes, v.writes
	v.values, v.bytes, v.writes = 0, 0, 0
	return values, size, writes
}

// largeValue is a table of routes as it is in the spec's register.
func largeValue() []byte {
	var b bytes.Buffer
	for i := range 2000 {
		fmt.Fprintf(&b, `{"name":"r-%x","authority":"host%d.example","prefix":"/p%d/","kind":"stream"},`, i*7919, i%97, i)
	}
	return b.Bytes()
}

// TestLargeValueOnce: a read of a large value brings it from one voter, and none where the
// reader holds it already, whether by an earlier read or by its own change.
func TestLargeValueOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v, set := newVoters(8)
		value := largeValue()
		writer := register.NewProposer(1, v.call)
		if _, err := writer.Change(t.Context(), set, valueKey, put(string(value))); err != nil {
			t.Fatal(err)
		}
		if values, _, _ := v.counted(); values != 0 {
			t.Errorf("%d answers with a value to a change of an empty register", values)
		}
		reader := register.NewProposer(2, v.call)
		for _, step := range []struct {
			name   string
			reader *register.Proposer
			values int
		}{{"first", reader, 1}, {"second", reader, 0}, {"writer", writer, 0}} {
			st, err := step.reader.Read(t.Context(), set, valueKey)
			if err != nil || !bytes.Equal(st.Value, value) {
				t.Fatalf("%s read: %d bytes, %v", step.name, len(st.Value), err)
			}
			if values, size, _ := v.counted(); values != step.values || size > len(value)/4 {
				t.Errorf("%s read: %d answers with a value, %d bytes for a value of %d", step.name, values, size, len(value))
			}
		}
		if _, err := writer.Change(t.Context(), set, valueKey, put(string(value)+"more")); err != nil {
			t.Fatal(err)
		}
		if values, _, _ := v.counted(); values != 0 {
			t.Errorf("%d answers with a value to a change by who knows it", values)
		}
	})
}

// TestLargeValueHolderSlow: the value is fetched from another voter where the first one
// asked for it does not answer soon.
func TestLargeValueHolderSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for slow := range 3 {
			v, set := newVoters(3)
			value := largeValue()
			if _, err := register.NewProposer(1, v.call).Change(t.Context(), set, valueKey, put(string(value))); err != nil {
				t.Fatal(err)
			}
			v.mu.Lock()
			v.fetchDelay[fmt.Sprintf("a%d", slow)] = 400 * time.Millisecond
			v.mu.Unlock()
			// Which holder is asked first is drawn anew by each reader.
			for reader := range 20 {
				began := time.Now()
				st, err := register.NewProposer(uint64(2+reader), v.call).Read(t.Context(), set, valueKey)
				if err != nil || !bytes.Equal(st.Value, value) {
					t.Errorf("a%d slow: %d bytes, %v", slow, len(st.Value), err)
				}
				if took := time.Since(began); took > 200*time.Millisecond {
					t.Errorf("a%d slow: it took %v", slow, took)
				}
			}
			v.counted()
		}
	})
}

// TestLaggingVoter: a voter that missed the last change makes no reader write the value
// back while a quorum holds it.
func TestLaggingVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v, set := newVoters(5)
		p := register.NewProposer(1, v.call)
		if _, err := p.Change(t.Context(), set, valueKey, put("old")); err != nil {
			t.Fatal(err)
		}
		v.setDown("a4", true)
		if _, err := p.Change(t.Context(), set, valueKey, put("new")); err != nil {
			t.Fatal(err)
		}
		v.counted()
		// The one that lags is the fastest now.
		v.setDown("a4", false)
		v.setDelay(2*time.Millisecond, "a0", "a1", "a2", "a3")
		st, err := register.NewProposer(2, v.call).Read(t.Context(), set, valueKey)
		if err != nil || string(st.Value) != "new" {
			t.Fatalf("%q, %v", st.Value, err)
		}
		if _, _, writes := v.counted(); writes != 0 {
			t.Errorf("%d prepare and accept requests by a read", writes)
		}
	})
}

// TestCompressedGarbage: an accept whose compressed value can't be read is refused, and
// what is held stays.
func TestCompressedGarbage(t *testing.T) {
	v, set := newVoters(1)
	if _, err := register.NewProposer(1, v.call).Change(t.Context(), set, valueKey, put("kept")); err != nil {
		t.Fatal(err)
	}
	for _, garbage := range []string{"\xff\xff\xff\xff\xff\xff", "\xff\xff\xff\xff\x0f", "\x10x"} {
		_, err := v.all["a0"].Accept(&wire.Acc{
			Key: valueKey, Ballot: &wire.Ballot{N: 1 << 60}, Cell: &wire.Cell{Ver: 9}, CompressedValue: []byte(garbage),
		})
		if err == nil {
			t.Errorf("%x was accepted", garbage)
		}
	}
	st, err := register.NewProposer(2, v.call).Read(t.Context(), set, valueKey)
	if err != nil || string(st.Value) != "kept" {
		t.Errorf("%q, %v", st.Value, err)
	}
}
