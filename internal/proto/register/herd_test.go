package register_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

const (
	// herdBound is within which all readers have read the value.
	herdBound = 5 * time.Second
	// readTimeout bounds one read; a reader tries again after it.
	readTimeout = time.Second
	maxTransit  = 500 * time.Microsecond // of a request or a reply
	herdVoters  = 8
	// giveUpAfter is how long readers try.
	giveUpAfter = 4 * herdBound
)

// busyVoters are acceptors that serve one request at a time, in order of arrival. A request whose
// caller has given up is dropped unserved.
type busyVoters struct {
	acceptors map[string]*register.Acceptor
	queues    map[string]chan busyRequest
	random    *rand.Rand
	mu        sync.Mutex
	served    int
}

type busyRequest struct {
	ctx   context.Context
	op    *wire.Req
	reply chan busyReply
}

type busyReply struct {
	resp *wire.Resp
	err  error
}

func newBusyVoters(ctx context.Context, service time.Duration, seed uint64) (*busyVoters, register.Set) {
	voters := &busyVoters{
		acceptors: map[string]*register.Acceptor{},
		queues:    map[string]chan busyRequest{},
		random:    rand.New(rand.NewPCG(seed, 1)),
	}
	var group []register.Replica
	for i := range herdVoters {
		addr := fmt.Sprintf("a%d", i)
		voters.acceptors[addr] = register.NewAcceptor(newModelDisk())
		voters.queues[addr] = make(chan busyRequest, 1<<16)
		group = append(group, register.Replica{Addr: addr, Ident: "id-" + addr})
		go voters.serve(ctx, voters.acceptors[addr], voters.queues[addr], service)
	}
	return voters, register.Set{group}
}

func (v *busyVoters) serve(
	ctx context.Context,
	acceptor *register.Acceptor,
	queue <-chan busyRequest,
	service time.Duration,
) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-queue:
			if request.ctx.Err() != nil {
				continue
			}
			time.Sleep(service)
			view, err := acceptor.Answer(request.op)
			v.mu.Lock()
			v.served++
			v.mu.Unlock()
			request.reply <- busyReply{&wire.Resp{Op: &wire.Resp_View{View: view}}, err}
		}
	}
}

func (v *busyVoters) transit() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Duration(v.random.Int64N(int64(maxTransit)))
}

func (v *busyVoters) call(ctx context.Context, addr string, op *wire.Req) (*wire.Resp, error) {
	time.Sleep(v.transit())
	reply := make(chan busyReply, 1)
	v.queues[addr] <- busyRequest{ctx, op, reply}
	select {
	case r := <-reply:
		time.Sleep(v.transit())
		return r.resp, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// leave has a change accepted by so many of the voters only, as its proposer dies.
func (v *busyVoters) leave(t *testing.T, set register.Set, holders int) {
	t.Helper()
	proposer := register.NewProposer(1, func(_ context.Context, addr string, op *wire.Req) (*wire.Resp, error) {
		if op.Accept() != nil && addr >= fmt.Sprintf("a%d", holders) {
			return nil, errors.New("lost")
		}
		view, err := v.acceptors[addr].Answer(op)
		return &wire.Resp{Op: &wire.Resp_View{View: view}}, err
	})
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer stop()
	if _, err := proposer.Change(ctx, set, "k", setTo("newest")); err == nil {
		t.Fatal("the change was chosen")
	}
}

// prepareAndDie has a proposer prepare a ballot at all voters and end there.
func (v *busyVoters) prepareAndDie(t *testing.T) {
	t.Helper()
	ballot := &wire.Ballot{N: uint64(time.Now().UnixMilli()) + 1, Node: 2}
	for _, acceptor := range v.acceptors {
		if _, err := acceptor.Prepare(&wire.Prep{Key: "k", Ballot: ballot}); err != nil {
			t.Fatal(err)
		}
	}
}

// herdFault is what happens to readers while they complete the value.
type herdFault int

const (
	noFault       herdFault = iota
	preparedFault           // a proposer has prepared a higher ballot everywhere and died
	dyingFault              // readers that prepare a ballot die before their accept request
	frozenFault             // readers stand still between their prepare and their accept request
)

const (
	// mostFaulty is the number of proposers that die or stand still.
	mostFaulty = 4
	frozenFor  = 3 * time.Second
)

// faultyReaders decides which readers die or stand still.
type faultyReaders struct {
	mu     sync.Mutex
	kind   herdFault
	struck map[int]time.Time // readers, and when they go on; zero if never
}

// strike is called before a reader sends a request, with the ballots that it has prepared. It
// delays a reader that stands still, and reports whether the reader is dead.
func (f *faultyReaders) strike(reader int, op *wire.Req, prepared map[uint64]bool) bool {
	f.mu.Lock()
	if op.GetPrep() != nil {
		prepared[op.GetPrep().Ballot.N] = true
	}
	until, struck := f.struck[reader]
	if !struck && f.kind >= dyingFault && len(f.struck) < mostFaulty &&
		op.Accept() != nil && prepared[op.Accept().Ballot.N] {
		struck = true
		if f.kind == frozenFault {
			until = time.Now().Add(frozenFor)
		}
		f.struck[reader] = until
	}
	f.mu.Unlock()
	if struck && !until.IsZero() {
		time.Sleep(time.Until(until))
	}
	return struck && until.IsZero()
}

func (f *faultyReaders) dead(reader int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	until, struck := f.struck[reader]
	return struck && until.IsZero()
}

// herd has readers read a value at once that few voters hold, and returns when the last one that
// lives has read it or has given up.
func herd(t *testing.T, readers int, service time.Duration, kind herdFault, seed uint64) (last time.Duration, served int) {
	ctx, stop := context.WithCancel(t.Context())
	defer synctest.Wait()
	defer stop()
	voters, set := newBusyVoters(ctx, service, seed)
	voters.leave(t, set, herdVoters/2)
	if kind != noFault {
		voters.prepareAndDie(t)
	}
	faulty := &faultyReaders{kind: kind, struck: map[int]time.Time{}}
	began := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for reader := range readers {
		wg.Go(func() {
			prepared := map[uint64]bool{}
			proposer := register.NewProposer(uint64(100+reader), func(ctx context.Context, addr string, op *wire.Req) (*wire.Resp, error) {
				if faulty.strike(reader, op, prepared) {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				return voters.call(ctx, addr, op)
			})
			random := rand.New(rand.NewPCG(seed, uint64(reader)))
			proposer.Random = func() uint64 { return random.Uint64() }
			for time.Since(began) < giveUpAfter {
				readCtx, stopRead := context.WithTimeout(ctx, readTimeout)
				state, err := proposer.Read(readCtx, set, "k")
				stopRead()
				if faulty.dead(reader) {
					return
				}
				if err == nil {
					if string(state.Value) != "newest" {
						t.Errorf("read %q", state.Value)
					}
					break
				}
			}
			mu.Lock()
			last = max(last, time.Since(began))
			mu.Unlock()
		})
	}
	wg.Wait()
	// Requests that their senders no longer wait for reach the voters.
	time.Sleep(frozenFor + readTimeout)
	voters.mu.Lock()
	defer voters.mu.Unlock()
	return last, voters.served
}

// TestReadersOutbidEachOther: readers that all find the newest value at a minority of the voters
// that answer complete it together, whatever becomes of those that propose.
func TestReadersOutbidEachOther(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault herdFault
	}{{"none", noFault}, {"prepared", preparedFault}, {"dying", dyingFault}, {"frozen", frozenFault}} {
		for _, service := range []time.Duration{200 * time.Microsecond, time.Millisecond, 5 * time.Millisecond} {
			for _, readers := range []int{72, 450} {
				if service*time.Duration(readers) > herdBound/4 {
					// The voters alone take longer for the requests of one attempt.
					continue
				}
				t.Run(fmt.Sprintf("%s/%s/%d", tc.name, service, readers), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						last, served := herd(t, readers, service, tc.fault, 1)
						t.Logf("the last reader has read after %s, the voters have served %d requests", last, served)
						if last > herdBound {
							t.Errorf("the last reader has read after %s, at most %s is allowed", last, herdBound)
						}
					})
				})
			}
		}
	}
}

// TestCompletedUnderItsBallot: a read completes the newest value under the ballot that it was
// accepted under; its age is that of the majority.
func TestCompletedUnderItsBallot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer stop()
		voters, set := newBusyVoters(ctx, time.Microsecond, 1)
		voters.leave(t, set, herdVoters/2)
		before, err := voters.acceptors["a0"].Read(&wire.Look{Key: "k"})
		if err != nil {
			t.Fatal(err)
		}
		proposer := register.NewProposer(3, voters.call)
		state, err := proposer.Read(ctx, set, "k")
		if err != nil || string(state.Value) != "newest" || state.Age != 0 {
			t.Errorf("%q of age %s, %v", state.Value, state.Age, err)
		}
		time.Sleep(time.Second)
		for addr, acceptor := range voters.acceptors {
			after, err := acceptor.Read(&wire.Look{Key: "k"})
			if err != nil || wire.CompareBallots(after.Accepted, before.Accepted) != 0 {
				t.Errorf("%s has accepted %v, not %v; %v", addr, after.Accepted, before.Accepted, err)
			}
		}
		if counts := proposer.Counts(); counts.Proposals != 0 || counts.Completions != 1 {
			t.Errorf("%d proposals, %d completions", counts.Proposals, counts.Completions)
		}
	})
}

// TestExpiredCopyNotCompleted: a value that one of its holders has expired is not accepted again
// under its ballot, where the others would hold another cell.
func TestExpiredCopyNotCompleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer stop()
		voters, set := newBusyVoters(ctx, time.Microsecond, 1)
		voters.leave(t, set, herdVoters/2)
		expired := func(*wire.Rec) (bool, bool) { return true, false }
		if _, err := voters.acceptors["a0"].Expire("k", expired, nil); err != nil {
			t.Fatal(err)
		}
		before, err := voters.acceptors["a0"].Read(&wire.Look{Key: "k"})
		if err != nil {
			t.Fatal(err)
		}
		proposer := register.NewProposer(3, voters.call)
		state, err := proposer.Read(ctx, set, "k")
		if err != nil || !state.Expired || len(state.Value) > 0 {
			t.Errorf("%q, expired %t, %v", state.Value, state.Expired, err)
		}
		time.Sleep(time.Second)
		for addr, acceptor := range voters.acceptors {
			after, err := acceptor.Read(&wire.Look{Key: "k"})
			if err != nil || !after.Cell.GetPast() || wire.CompareBallots(after.Accepted, before.Accepted) <= 0 {
				t.Errorf("%s has %v under %v, %v", addr, after.Cell, after.Accepted, err)
			}
		}
	})
}

// TestCopyOfAcceptedRequest: an accept request that arrives again is answered without a write, and
// still promises the ballot that it names.
func TestCopyOfAcceptedRequest(t *testing.T) {
	disk := newModelDisk()
	acceptor := register.NewAcceptor(disk)
	ballot, next := &wire.Ballot{N: 5, Node: 1}, &wire.Ballot{N: 6, Node: 1}
	request := &wire.Acc{Key: "k", Ballot: ballot, Cell: &wire.Cell{Ver: 1, Val: []byte("v")}}
	if _, err := acceptor.Accept(request); err != nil {
		t.Fatal(err)
	}
	disk.nextSave = saveNothing
	if _, err := acceptor.Accept(request); err != nil || disk.failed > 0 {
		t.Errorf("written again: %v", err)
	}
	disk.nextSave = saveSynced
	withNext := &wire.Acc{Key: "k", Ballot: ballot, Cell: request.Cell, Next: next}
	view, err := acceptor.Accept(withNext)
	if err != nil || wire.CompareBallots(view.Promised, next) != 0 {
		t.Errorf("promised %v, %v", view.GetPromised(), err)
	}
	view, err = acceptor.Accept(request)
	if code.Of(err) != code.OldBallot || wire.CompareBallots(view.GetAccepted(), ballot) != 0 {
		t.Errorf("accepted %v, %v", view.GetAccepted(), err)
	}
}

// changers is the number of proposers that change a register at once: the cores of a large
// deployment, and as many operators.
const changers = 16

// TestChangersOutbidEachOther: proposers that all change a register of slow voters at once, each
// with calls of a second, are done in time.
func TestChangersOutbidEachOther(t *testing.T) {
	for _, service := range []time.Duration{200 * time.Microsecond, time.Millisecond, 5 * time.Millisecond} {
		t.Run(service.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				last := changeAtOnce(t, service, 1)
				t.Logf("the last change is made after %s", last)
				if last > herdBound {
					t.Errorf("the last change is made after %s, at most %s is allowed", last, herdBound)
				}
			})
		})
	}
}

// changeAtOnce returns when the last of all changers has made its change or given up.
func changeAtOnce(t *testing.T, service time.Duration, seed uint64) (last time.Duration) {
	ctx, stop := context.WithCancel(t.Context())
	defer synctest.Wait()
	defer stop()
	voters, set := newBusyVoters(ctx, service, seed)
	began := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for changer := range changers {
		wg.Go(func() {
			proposer := register.NewProposer(uint64(100+changer), voters.call)
			random := rand.New(rand.NewPCG(seed, uint64(changer)))
			proposer.Random = func() uint64 { return random.Uint64() }
			for time.Since(began) < giveUpAfter {
				changeCtx, stopChange := context.WithTimeout(ctx, readTimeout)
				_, err := proposer.Change(changeCtx, set, "k", func(s register.State) ([]byte, bool, error) {
					if bytes.Contains(s.Value, []byte{byte(changer)}) {
						return s.Value, false, nil
					}
					return append(bytes.Clone(s.Value), byte(changer)), false, nil
				})
				stopChange()
				if err == nil {
					break
				}
			}
			mu.Lock()
			last = max(last, time.Since(began))
			mu.Unlock()
		})
	}
	wg.Wait()
	time.Sleep(frozenFor + readTimeout)
	return last
}

// slowAnswer is how long each voter takes for an answer, more than a round waits at first.
const slowAnswer = 700 * time.Millisecond

// TestVotersSlowerThanARound: a read succeeds although no voter answers within the first timeout of
// a round.
func TestVotersSlowerThanARound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The voters answer the last requests.
		defer time.Sleep(2 * slowAnswer)
		voters, set := newVoters(herdVoters)
		writer := register.NewProposer(1, voters.call)
		if _, err := writer.Change(t.Context(), set, "k", setTo("newest")); err != nil {
			t.Fatal(err)
		}
		for _, voter := range set.All() {
			voters.setDelay(slowAnswer, voter.Addr)
		}
		reader := register.NewProposer(2, voters.call)
		ctx, stop := context.WithTimeout(t.Context(), herdBound)
		defer stop()
		for ctx.Err() == nil {
			if state, err := reader.Read(ctx, set, "k"); err == nil && string(state.Value) == "newest" {
				return
			}
		}
		t.Errorf("not read within %s", herdBound)
	})
}
