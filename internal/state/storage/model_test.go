package storage_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/state/storage"
	"damsontiller/internal/state/storage/faultfs"
	"damsontiller/internal/transport/code"
)

// voter is an acceptor on a disk that fails as the test says.
type voter struct {
	mu  sync.Mutex
	mem *vfs.MemFS
	fs  *faultfs.FS
	v   *storage.Engine
	acc *register.Acceptor
	// answered is the highest ballot that it has said to have promised or taken.
	answered *wire.Ballot
}

func (w *voter) start(t *testing.T, id string) {
	w.fs = faultfs.New(w.mem)
	w.v = open(t, w.fs, id)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acc = register.NewAcceptor(w.v)
}

// crash takes the power away, with torn writes, and starts the voter again.
func (w *voter) crash(t *testing.T, id string, rnd *rand.Rand) {
	old, fs := w.v, w.fs
	// What it would answer from here on is heard by nobody.
	w.mu.Lock()
	w.acc = nil
	answered := w.answered
	w.mu.Unlock()
	w.mem = w.mem.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: rnd.IntN(100), RNG: rnd})
	fs.SetFull(false)
	fs.SetStalled(false)
	go func() { _ = old.Close() }()
	w.start(t, id)
	r, err := w.v.Load("k")
	if err != nil || w.v.NewIdentity || wire.CompareBallots(r.Promised, answered) < 0 {
		t.Errorf("%s promises %v after a crash, and had answered %v: %v", id, r.Promised, answered, err)
	}
}

func (w *voter) answer(q *wire.Req) (view *wire.View, err error) {
	w.mu.Lock()
	acc := w.acc
	w.mu.Unlock()
	if acc == nil {
		return nil, code.New(code.Unreachable, "crashed")
	}
	view, err = acc.Answer(q)
	w.mu.Lock()
	defer w.mu.Unlock()
	if acc != w.acc {
		return nil, code.New(code.Unreachable, "crashed meanwhile")
	}
	if err == nil && wire.CompareBallots(view.Promised, w.answered) > 0 {
		w.answered = view.Promised
	}
	return view, err
}

// TestVotersModel: three voters whose disks are full, stall, fail and lose power while
// two proposers add marks to one register. Every mark that was acknowledged stays, in
// order and once; none that was refused for sure ever shows; each voter keeps what it
// has answered.
func TestVotersModel(t *testing.T) {
	for seed := range searches(6) {
		synctest.Test(t, func(t *testing.T) { votersModel(t, uint64(seed)) })
	}
}

func votersModel(t *testing.T, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 77))
	voters := map[string]*voter{}
	var set []register.Replica
	for i := range 3 {
		id := fmt.Sprintf("s%d", i+1)
		voters[id] = &voter{mem: vfs.NewCrashableMem()}
		voters[id].start(t, id)
		set = append(set, register.Replica{Addr: id, Ident: id})
	}
	call := func(_ context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
		view, err := voters[addr].answer(q)
		return &wire.Resp{Op: &wire.Resp_View{View: view}}, err
	}
	var mu sync.Mutex
	acked, refused := map[string]bool{}, map[string]bool{}
	ctx, stop := context.WithTimeout(t.Context(), 40*time.Second)
	defer stop()
	var wg sync.WaitGroup
	for n := range 2 {
		p := register.NewProposer(uint64(n+1), call)
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				token := fmt.Sprintf("%d.%d;", n, i)
				cctx, end := context.WithTimeout(ctx, 3*time.Second)
				_, err := p.Change(cctx, register.Set{set}, "k", func(s register.State) ([]byte, bool, error) {
					return append(append([]byte{}, s.Value...), token...), false, nil
				})
				end()
				mu.Lock()
				acked[token] = err == nil
				refused[token] = err != nil && !errors.Is(err, register.ErrUncertain)
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	for range 25 {
		id := fmt.Sprintf("s%d", 1+rnd.IntN(3))
		w := voters[id]
		switch rnd.IntN(8) {
		case 0, 1:
			w.fs.SetFull(true)
		case 2:
			w.fs.SetStalled(true)
		case 3:
			w.fs.FailNext(faultfs.Write, 1+rnd.IntN(4), syscall.EIO)
		case 4:
			w.fs.FailNext(faultfs.Sync, 1+rnd.IntN(4), []error{syscall.EIO, syscall.ENOSPC}[rnd.IntN(2)])
		case 5:
			w.crash(t, id, rnd)
		default:
			w.fs.SetFull(false)
			w.fs.SetStalled(false)
		}
		time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)
	}
	for _, w := range voters {
		w.fs.SetFull(false)
		w.fs.SetStalled(false)
	}
	<-ctx.Done()
	wg.Wait()
	time.Sleep(10 * time.Second)
	st, err := register.NewProposer(9, call).Read(t.Context(), register.Set{set}, "k")
	if err != nil {
		t.Fatalf("seed %d: %v", seed, err)
	}
	n := 0
	for token, ok := range acked {
		count := strings.Count(";"+string(st.Value), ";"+token)
		if ok {
			n++
		}
		if ok && count != 1 || count > 1 || refused[token] && count > 0 {
			t.Errorf(
				"seed %d: mark %s acknowledged %v, refused %v, and is there %d times",
				seed,
				token,
				ok,
				refused[token],
				count,
			)
		}
	}
	if n == 0 {
		t.Errorf("seed %d: nothing was acknowledged of %d", seed, len(acked))
	}
	for _, w := range voters {
		if err := w.v.Close(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
	time.Sleep(time.Minute)
}
