package storeclient_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/peer"
	"damsontiller/internal/coordination/storeclient"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/memnet"
)

// stubStores answer for blobs and count what they are asked.
type stubStores struct {
	mu           sync.Mutex
	asked        map[string]int // requests for a blob, by store
	hellos       map[string]int // of the whole spec, by store
	holds        map[string]bool
	unresponsive map[string]bool
	newer        *cluster.View // refuses whoever acts on an older one
}

const stubZones = 3

// newStubs starts stores s0, s1, … in zones a, b, c in turn, and a client in zone b.
func newStubs(t *testing.T, stores, copies int) (*stubStores, *storeclient.Client) {
	t.Helper()
	stubs := &stubStores{asked: map[string]int{}, hellos: map[string]int{}, holds: map[string]bool{}, unresponsive: map[string]bool{}}
	network := memnet.New(1)
	newPeer := func(id, zone, addr, ident string) *peer.Peer {
		self := &wire.Member{Id: id, Zone: zone, Addr: addr, Ident: ident}
		return peer.New(self, network.Host(addr), transport.DefaultParams, hclog.NewNullLogger())
	}
	c := spec.Cluster{Copies: copies}
	for i := range stores {
		m := spec.Machine{
			ID: fmt.Sprint("s", i), Addr: fmt.Sprintf("127.0.77.%d:7100", 1+i),
			Zone: string(rune('a' + i%stubZones)), Ident: fmt.Sprint("ident-", i),
		}
		c.Stores = append(c.Stores, m)
		p := newPeer(m.ID, m.Zone, m.Addr, m.Ident)
		p.Handle(&wire.Req_Get{}, func(ctx context.Context, q *wire.Req) (*wire.Resp, error) { return stubs.get(ctx, m.ID, q) })
		p.Handle(&wire.Req_Hello{}, func(_ context.Context, q *wire.Req) (*wire.Resp, error) {
			return stubs.hello(m.ID, q.GetHello()), nil
		})
		if err := p.Serve(t.Context()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Close)
	}
	raw, err := c.MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	own := newPeer("e0", "b", "127.0.78.1:7100", "")
	t.Cleanup(own.Close)
	proposer := register.NewProposer(1, own.Call)
	view := cluster.New(proposer, nil)
	if err := view.Apply(1, raw); err != nil {
		t.Fatal(err)
	}
	return stubs, storeclient.New(own, view, proposer)
}

func (s *stubStores) get(ctx context.Context, id string, q *wire.Req) (*wire.Resp, error) {
	s.mu.Lock()
	s.asked[id]++
	unresponsive, holds, newer := s.unresponsive[id], s.holds[id], s.newer
	s.mu.Unlock()
	if newer != nil && q.Spec < newer.Version {
		return nil, code.New(code.StaleSpec, "version %d", newer.Version)
	}
	if unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	got := &wire.Got{}
	if holds {
		got = &wire.Got{State: wire.Got_HERE, Val: []byte("blob"), KeepMs: 1000}
	}
	return &wire.Resp{Op: &wire.Resp_Got{Got: got}}, nil
}

func (s *stubStores) hello(id string, q *wire.Hello) *wire.Resp {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !q.GetHead() {
		s.hellos[id]++
	}
	return &wire.Resp{Op: &wire.Resp_Hello{Hello: s.newer.HelloAck(&wire.Member{Id: id}, q)}}
}

func (s *stubStores) total(counts map[string]int) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range counts {
		n += c
	}
	clear(counts)
	return n
}

// TestNearestFirst: a blob is asked of the one holder of this node's zone; of the others
// only where that one lacks it or does not answer soon; and that it is not there is said
// only once a majority has said so.
func TestNearestFirst(t *testing.T) {
	for _, tc := range []struct {
		name         string
		holds        []string
		unresponsive []string
		asked        int
		most         int // may have been asked, where the first answer ends the asking; 0: asked
		code         code.Code
		noSlack      bool // it takes no longer than the network does
	}{
		{name: "near", holds: []string{"s0", "s1", "s2"}, asked: 1, noSlack: true},
		{name: "lacking", holds: []string{"s0", "s2"}, asked: 2, most: 3, noSlack: true},
		{name: "unresponsive", holds: []string{"s0", "s1", "s2"}, unresponsive: []string{"s1"}, asked: 2, most: 3},
		{name: "absent", asked: 2, most: 3, code: code.NoTurn, noSlack: true},
		{name: "one unresponsive of none", unresponsive: []string{"s1"}, asked: 3, code: code.NoTurn},
		{name: "two unresponsive of none", unresponsive: []string{"s0", "s2"}, asked: 3, code: code.StoresUnreachable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stubs, client := newStubs(t, 3, 3)
				for _, id := range tc.holds {
					stubs.holds[id] = true
				}
				for _, id := range tc.unresponsive {
					stubs.unresponsive[id] = true
				}
				ctx, stop := context.WithTimeout(t.Context(), time.Second)
				defer stop()
				began := time.Now()
				blob, err := client.GetBlob(ctx, "turn/1")
				if code.Of(err) != tc.code || err == nil && string(blob) != "blob" {
					t.Fatalf("%q, %v", blob, err)
				}
				if took := time.Since(began); tc.noSlack && took > 20*time.Millisecond {
					t.Errorf("it took %v", took)
				}
				synctest.Wait()
				n := stubs.total(stubs.asked)
				if n != tc.asked && (tc.most == 0 || n < tc.asked || n > tc.most) {
					t.Errorf("%d stores were asked, want %d to %d", n, tc.asked, tc.most)
				}
			})
		})
	}
}

// TestCatchUpOnce: many requests that stores refuse for their old spec fetch the newer one
// once, from one store.
func TestCatchUpOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stubs, client := newStubs(t, 5, 5)
		newer := cluster.New(nil, nil)
		if err := newer.Apply(7, client.Cluster.Now().Raw()); err != nil {
			t.Fatal(err)
		}
		for _, id := range []string{"s0", "s1", "s2", "s3", "s4"} {
			stubs.holds[id] = true
		}
		stubs.newer = newer.Now()
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				if _, err := client.GetBlob(t.Context(), fmt.Sprint("turn/", i)); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		if client.Cluster.Now().Version != 7 {
			t.Errorf("version %d is in force", client.Cluster.Now().Version)
		}
		if n := stubs.total(stubs.hellos); n != 1 {
			t.Errorf("the spec was fetched %d times", n)
		}
	})
}
