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

// voter is an acceptor on a disk with fault injection.
type voter struct {
	mu       sync.Mutex
	mem      *vfs.MemFS
	fs       *faultfs.FS
	engine   *storage.Engine
	acceptor *register.Acceptor
	// highestAnswered is the highest ballot that it has reported as promised or accepted.
	highestAnswered *wire.Ballot
}

func (v *voter) start(t *testing.T, id string) {
	v.fs = faultfs.New(v.mem)
	v.engine = open(t, v.fs, id)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.acceptor = register.NewAcceptor(v.engine)
}

// crash simulates a power loss with torn writes, and restarts the voter.
func (v *voter) crash(t *testing.T, id string, rng *rand.Rand) {
	oldEngine, fs := v.engine, v.fs
	// Answers given from here on are not delivered.
	v.mu.Lock()
	v.acceptor = nil
	highestAnswered := v.highestAnswered
	v.mu.Unlock()
	v.mem = v.mem.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: rng.IntN(100), RNG: rng})
	fs.SetFull(false)
	fs.SetStalled(false)
	go func() { _ = oldEngine.Close() }()
	v.start(t, id)
	r, err := v.engine.Load("k")
	if err != nil || v.engine.NewIdentity || wire.CompareBallots(r.Promised, highestAnswered) < 0 {
		t.Errorf("%s: promise %v after a crash, but it had answered %v: %v", id, r.Promised, highestAnswered, err)
	}
}

func (v *voter) answer(q *wire.Req) (view *wire.View, err error) {
	v.mu.Lock()
	acceptor := v.acceptor
	v.mu.Unlock()
	if acceptor == nil {
		return nil, code.New(code.Unreachable, "crashed")
	}
	view, err = acceptor.Answer(q)
	v.mu.Lock()
	defer v.mu.Unlock()
	if acceptor != v.acceptor {
		return nil, code.New(code.Unreachable, "crashed during the call")
	}
	if err == nil && wire.CompareBallots(view.Promised, v.highestAnswered) > 0 {
		v.highestAnswered = view.Promised
	}
	return view, err
}

// TestVotersModel: three voters with full, stalled and failing disks and power losses, while
// two proposers append tokens to one register. Every acknowledged token is in the register
// exactly once, no token whose change was rejected with a definite error ever appears, and each
// voter keeps what it has answered.
func TestVotersModel(t *testing.T) {
	for seed := range searchCount(6) {
		synctest.Test(t, func(t *testing.T) { votersModel(t, uint64(seed)) })
	}
}

func votersModel(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 77))
	voters := map[string]*voter{}
	var replicas []register.Replica
	for i := range 3 {
		id := fmt.Sprintf("s%d", i+1)
		voters[id] = &voter{mem: vfs.NewCrashableMem()}
		voters[id].start(t, id)
		replicas = append(replicas, register.Replica{Addr: id, Ident: id})
	}
	call := func(_ context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
		view, err := voters[addr].answer(q)
		return &wire.Resp{Op: &wire.Resp_View{View: view}}, err
	}
	var mu sync.Mutex
	acknowledged, rejected := map[string]bool{}, map[string]bool{}
	ctx, stop := context.WithTimeout(t.Context(), 40*time.Second)
	defer stop()
	var wg sync.WaitGroup
	for n := range 2 {
		p := register.NewProposer(uint64(n+1), call)
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				token := fmt.Sprintf("%d.%d;", n, i)
				callCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
				_, err := p.Change(callCtx, register.Set{replicas}, "k", func(s register.State) ([]byte, bool, error) {
					return append(append([]byte{}, s.Value...), token...), false, nil
				})
				cancel()
				mu.Lock()
				acknowledged[token] = err == nil
				rejected[token] = err != nil && !errors.Is(err, register.ErrUncertain)
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	for range 25 {
		id := fmt.Sprintf("s%d", 1+rng.IntN(3))
		v := voters[id]
		switch rng.IntN(8) {
		case 0, 1:
			v.fs.SetFull(true)
		case 2:
			v.fs.SetStalled(true)
		case 3:
			v.fs.FailNext(faultfs.Write, 1+rng.IntN(4), syscall.EIO)
		case 4:
			v.fs.FailNext(faultfs.Sync, 1+rng.IntN(4), []error{syscall.EIO, syscall.ENOSPC}[rng.IntN(2)])
		case 5:
			v.crash(t, id, rng)
		default:
			v.fs.SetFull(false)
			v.fs.SetStalled(false)
		}
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	}
	for _, v := range voters {
		v.fs.SetFull(false)
		v.fs.SetStalled(false)
	}
	<-ctx.Done()
	wg.Wait()
	time.Sleep(10 * time.Second)
	state, err := register.NewProposer(9, call).Read(t.Context(), register.Set{replicas}, "k")
	if err != nil {
		t.Fatalf("seed %d: %v", seed, err)
	}
	n := 0
	for token, ok := range acknowledged {
		count := strings.Count(";"+string(state.Value), ";"+token)
		if ok {
			n++
		}
		if ok && count != 1 || count > 1 || rejected[token] && count > 0 {
			t.Errorf(
				"seed %d: token %s: acknowledged %v, rejected %v, found %d times",
				seed,
				token,
				ok,
				rejected[token],
				count,
			)
		}
	}
	if n == 0 {
		t.Errorf("seed %d: nothing was acknowledged of %d", seed, len(acknowledged))
	}
	for _, v := range voters {
		if err := v.engine.Close(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
	time.Sleep(time.Minute)
}
