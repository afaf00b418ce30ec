package register_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
)

// stallableNetwork forwards a proposer's requests, or delays them while stalled. It stalls after
// the first accept, which only some voters receive and whose replies are lost.
type stallableNetwork struct {
	mu      sync.Mutex
	stalled bool
	reached string        // voters that receive the first accept; empty to forward everything
	resumed chan struct{} // closed when the network resumes
	call    wire.Caller
}

func (n *stallableNetwork) send(ctx context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
	n.mu.Lock()
	stalled, resumed, reached := n.stalled, n.resumed, n.reached
	if q.Accept() != nil && !stalled && n.reached != "" {
		n.stalled = true
	}
	accept := q.Accept() != nil && n.reached != ""
	n.mu.Unlock()
	if accept && resumed != nil {
		if strings.Contains(reached, addr) {
			_, _ = n.call(context.WithoutCancel(ctx), addr, q)
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if stalled {
		<-resumed
	}
	return n.call(ctx, addr, q)
}

// resume ends the stall permanently.
func (n *stallableNetwork) resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reached, n.stalled = "", false
	close(n.resumed)
	n.resumed = nil
}

// TestFrozenProposer suspends a proposer after its accept, while others change the key any
// number of times. Its change must be made at most once, be recognized as long as its operation
// id is kept, and be reported as uncertain after that.
func TestFrozenProposer(t *testing.T) {
	for _, oneRound := range []bool{false, true} {
		for _, reached := range []string{"none", "a2", "a0 a1 a2"} {
			for _, otherChanges := range []int{0, 1, 30, 31, 32, 33, 40, 70} {
				t.Run(fmt.Sprintf("one round %v, reached %s, other changes %d", oneRound, reached, otherChanges), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { frozenProposer(t, oneRound, reached, otherChanges) })
				})
			}
		}
	}
}

func frozenProposer(t *testing.T, oneRound bool, reached string, otherChanges int) {
	cluster, set := newTestCluster(1, 3, 0)
	network := &stallableNetwork{call: cluster.call}
	frozen, competing := register.NewProposer(1, network.send), register.NewProposer(2, cluster.call)
	appendWord := func(word string) register.UpdateFunc {
		return func(s register.State) ([]byte, bool, error) {
			return append(s.Value[:len(s.Value):len(s.Value)], word...), false, nil
		}
	}
	change := func(p *register.Proposer, word string) (register.State, error) {
		ctx, stop := context.WithTimeout(t.Context(), 10*time.Minute)
		defer stop()
		return p.Change(ctx, set, "k", appendWord(word))
	}
	if oneRound {
		if _, err := change(frozen, "0"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
	}
	network.mu.Lock()
	network.reached, network.resumed = reached, make(chan struct{})
	network.mu.Unlock()
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, err = change(frozen, "F")
	}()
	time.Sleep(5 * time.Second)
	for range otherChanges {
		if _, err := change(competing, "r"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	network.resume()
	<-done
	time.Sleep(time.Second)
	state, readErr := register.NewProposer(3, cluster.call).Read(t.Context(), set, "k")
	if readErr != nil {
		t.Fatal(readErr)
	}
	made := strings.Count(string(state.Value), "F")
	switch {
	case made > 1:
		t.Errorf("made %d times: value %q, error %v", made, state.Value, err)
	case err == nil && made != 1:
		t.Errorf("reported as made, but the value is %q", state.Value)
	case err != nil && !errors.Is(err, register.ErrUncertain):
		t.Errorf("neither made nor uncertain: %v", err)
	case err != nil && otherChanges < 32:
		t.Errorf("uncertain although its operation id is still kept: %v", err)
	case err == nil && otherChanges >= 33:
		t.Errorf("reported as made although its operation id is no longer kept: %q", state.Value)
	}
	time.Sleep(time.Second)
}

// TestClockBack checks that a process that starts with a clock hours behind, or whose clock is
// set back while it runs, exceeds the ballots of others at its second attempt, since a refusal
// contains the promised ballot.
func TestClockBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, set := newTestCluster(1, 3, 0)
		newProposer := func(node uint64, offset time.Duration) *register.Proposer {
			p := register.NewProposer(node, cluster.call)
			p.Clock = func() time.Time { return time.Now().Add(offset) }
			return p
		}
		ahead, behind := newProposer(1, 10*time.Hour), newProposer(2, -10*time.Hour)
		for i, p := range []*register.Proposer{ahead, behind, ahead, behind} {
			n := countRounds(p, func() {
				if _, err := p.Change(t.Context(), set, "k", setTo("v")); err != nil {
					t.Fatal(err)
				}
			})
			if n > 3 {
				t.Errorf("change %d took %d rounds", i, n)
			}
			time.Sleep(time.Second)
		}
		previous := behind.Clock
		behind.Clock = func() time.Time { return previous().Add(-24 * time.Hour) }
		if n := countRounds(behind, func() {
			if _, err := behind.Change(t.Context(), set, "k", setTo("v")); err != nil {
				t.Fatal(err)
			}
		}); n != 1 {
			t.Errorf("after the clock was set back a change took %d rounds", n)
		}
		time.Sleep(time.Second)
	})
}

// TestAbsurdBallot checks that a record whose ballot cannot be exceeded prevents changes of its
// key only, and that a proposer that has seen it never reuses a ballot nor uses a lower one.
func TestAbsurdBallot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, set := newTestCluster(1, 3, 0)
		broken := &wire.Rec{Promised: &wire.Ballot{N: 1<<64 - 1, Node: 1<<64 - 1}}
		for _, disk := range cluster.disks {
			if err := disk.Save("broken", broken); err != nil {
				t.Fatal(err)
			}
		}
		var mu sync.Mutex
		last := uint64(0)
		proposer := register.NewProposer(1, func(ctx context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
			if ballot := q.GetPrep().GetBallot(); ballot != nil {
				mu.Lock()
				if ballot.N < last {
					t.Errorf("ballot %d after %d", ballot.N, last)
				}
				last = ballot.N
				mu.Unlock()
			}
			return cluster.call(ctx, addr, q)
		})
		startedAt := time.Now()
		// The time of day runs backwards, so that only the highest ballot seen can raise the next one.
		proposer.Clock = func() time.Time { return startedAt.Add(-time.Since(startedAt)) }
		for range 3 {
			ctx, stop := context.WithTimeout(t.Context(), time.Second)
			if _, err := proposer.Change(ctx, set, "broken", setTo("v")); !errors.Is(err, register.ErrNoQuorum) ||
				errors.Is(err, register.ErrUncertain) {
				t.Errorf("the broken key: %v", err)
			}
			stop()
			time.Sleep(time.Second)
			if _, err := proposer.Change(t.Context(), set, "intact", setTo("v")); err != nil {
				t.Errorf("another key: %v", err)
			}
		}
		time.Sleep(time.Second)
	})
}

// TestUnchosenValueNotRecovered checks a change whose accept reached only one voter, which then
// became unreachable, and which was then refused based on the other voters' state. A later
// proposer whose quorum includes that voter must not find the value. The test does not depend
// on the order of the replies.
func TestUnchosenValueNotRecovered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		acceptors := map[string]*register.Acceptor{}
		var group []register.Replica
		for _, addr := range []string{"a0", "a1", "a2"} {
			acceptors[addr] = register.NewAcceptor(newModelDisk())
			group = append(group, register.Replica{Addr: addr})
		}
		set := register.Set{group}
		answer := func(addr string, q *wire.Req) (*wire.Resp, error) {
			view, err := acceptors[addr].Answer(q)
			return &wire.Resp{Op: &wire.Resp_View{View: view}}, err
		}
		var mu sync.Mutex
		attempts := 0
		attemptsSoFar := func() int {
			mu.Lock()
			defer mu.Unlock()
			return attempts
		}
		first := register.NewProposer(1, func(ctx context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
			lost := q.Accept() != nil && attemptsSoFar() == 1
			if lost && addr == "a2" {
				_, _ = answer(addr, q)
			}
			if lost || addr == "a2" && attemptsSoFar() > 0 {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return answer(addr, q)
		})
		_, err := first.Change(t.Context(), set, "k", func(register.State) ([]byte, bool, error) {
			mu.Lock()
			defer mu.Unlock()
			if attempts++; attempts > 1 {
				return nil, false, errFull
			}
			return []byte("unchosen"), false, nil
		})
		if !errors.Is(err, errFull) {
			t.Fatalf("got %v", err)
		}
		later := register.NewProposer(2, func(ctx context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
			if addr == "a0" {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return answer(addr, q)
		})
		state, err := later.Change(t.Context(), set, "k", nil)
		if err != nil || len(state.Value) != 0 {
			t.Errorf("reported as refused, but found later: %q, %v", state.Value, err)
		}
		time.Sleep(time.Second)
	})
}
