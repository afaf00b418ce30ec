package cooldown_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/hashicorp/go-hclog"

	"damsontiller/internal/coordination/broadcast"
	"damsontiller/internal/coordination/lease"
	"damsontiller/internal/coordination/node"
	"damsontiller/internal/coordination/storeclient"
	"damsontiller/internal/dataplane/cooldown"
	"damsontiller/internal/dataplane/store"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/state/storage"
	"damsontiller/internal/transport"
	"damsontiller/internal/transport/listen"
	"damsontiller/internal/transport/memnet"
)

// fleet consists of stores and the cooldown managers of edges, without core nodes.
type fleet struct {
	stores   []*store.Store
	managers []*cooldown.Manager
	nodes    []*node.Node
}

// newFleet starts the stores and creates the managers. host returns the network of an address.
func newFleet(t testing.TB, ctx context.Context, stores, edges int, host func(addr string) transport.Net) *fleet {
	t.Helper()
	f := &fleet{}
	var cluster spec.Cluster
	params := func(id, role, zone, addr string) node.Params {
		return node.Params{
			Self:      &wire.Member{Id: id, Role: role, Zone: zone, Addr: addr},
			Net:       host(addr),
			Transport: transport.DefaultParams,
			Lease:     lease.DefaultParams,
			Broadcast: broadcast.DefaultParams,
			Log:       hclog.NewNullLogger(),
		}
	}
	for i := range stores {
		id, addr, zone := fmt.Sprint("s", i), fmt.Sprintf("127.0.77.%d:7100", 1+i), string(rune('a'+i%3))
		v, err := storage.Open(storage.Params{Dir: "/data", ID: id, Role: "store", FS: vfs.NewCrashableMem()})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { v.Close() })
		np := params(id, "store", zone, addr)
		np.Self.Ident = v.Ident()
		s, err := store.New(np, v)
		if err != nil {
			t.Fatal(err)
		}
		f.stores = append(f.stores, s)
		cluster.Stores = append(cluster.Stores, spec.Machine{ID: id, Addr: addr, Zone: zone, Ident: v.Ident()})
	}
	raw, err := cluster.MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range f.stores {
		if err := s.Cluster.Apply(1, raw); err != nil {
			t.Fatal(err)
		}
		if err := s.Peer.Serve(ctx); err != nil {
			t.Fatal(err)
		}
	}
	for i := range edges {
		n := node.New(params(fmt.Sprint("e", i), "edge", "a", fmt.Sprintf("127.0.78.%d:7100", 1+i)))
		if err := n.Cluster.Apply(1, raw); err != nil {
			t.Fatal(err)
		}
		f.nodes = append(f.nodes, n)
		f.managers = append(
			f.managers,
			cooldown.New(
				cooldown.DefaultParams,
				n,
				storeclient.New(n.Peer, n.Cluster, n.Proposer),
			),
		)
	}
	return f
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		n.Peer.Close()
	}
	for _, s := range f.stores {
		s.Peer.Close()
	}
}

// countUncovered checks many keys at a manager and returns how many its snapshot did not cover.
func countUncovered(ctx context.Context, manager *cooldown.Manager, keys int) int {
	n := 0
	for i := range keys {
		before := manager.Stats()
		manager.Remaining(ctx, fmt.Sprint("runner/", i), 4*time.Second)
		if after := manager.Stats(); after.Reads > before.Reads || after.Unverified > before.Unverified {
			n++
		}
	}
	return n
}

// TestSnapshotIsFresh checks that the snapshot covers a key while a majority of its stores have
// answered, even if all stores of a zone are down. Keys that are not covered are read.
func TestSnapshotIsFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		net := memnet.New(1)
		f := newFleet(t, ctx, 9, 1, func(addr string) transport.Net { return net.Host(addr) })
		manager := f.managers[0]
		go manager.RunSnapshot(ctx)
		if n := countUncovered(ctx, manager, 1); n != 1 {
			t.Errorf("%d keys read before the first snapshot, want 1", n)
		}
		time.Sleep(300 * time.Millisecond)
		if n := countUncovered(ctx, manager, 50); n != 0 {
			t.Errorf("%d keys read with a fresh snapshot", n)
		}
		for _, i := range []int{0, 3, 6} {
			f.stores[i].Peer.Close()
		}
		for range 10 {
			time.Sleep(200 * time.Millisecond)
			if n := countUncovered(ctx, manager, 50); n != 0 {
				t.Errorf("%d keys read with a zone down", n)
			}
		}
		// With one more store down, only its keys have no majority.
		f.stores[1].Peer.Close()
		time.Sleep(time.Second)
		countUncovered(ctx, manager, 1)
		time.Sleep(100 * time.Millisecond)
		if n := countUncovered(ctx, manager, 50); n == 0 || n == 50 {
			t.Errorf("%d of 50 keys read with a zone and a store down", n)
		}
		// The snapshot is outdated after a long suspension.
		time.Sleep(10 * time.Second)
		if n := countUncovered(ctx, manager, 1); n != 1 {
			t.Errorf("%d keys read after a long suspension, want 1", n)
		}
		stop()
		f.close()
		time.Sleep(time.Minute)
	})
}

// TestRemaining checks that a cooldown written by one manager applies to the others, both with a
// snapshot and with a read, and that the remaining wait is never shorter than the refusal requires.
func TestRemaining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		net := memnet.New(1)
		f := newFleet(t, ctx, 3, 3, func(addr string) transport.Net { return net.Host(addr) })
		a, b, c := f.managers[0], f.managers[1], f.managers[2]
		go b.RunSnapshot(ctx)
		b.Remaining(ctx, "runner/x", time.Second)
		time.Sleep(300 * time.Millisecond)
		refusedAt := time.Now()
		floor := 7*time.Second + 300*time.Microsecond
		if w := a.RecordRefusal(ctx, "runner/x", floor); w < floor {
			t.Errorf("wait after the refusal: %s", w)
		}
		if w := c.Remaining(ctx, "runner/x", time.Second); w < floor-time.Since(refusedAt) || w > floor+10*time.Millisecond {
			t.Errorf("wait with a read: %s", w)
		}
		for b.Remaining(ctx, "runner/x", time.Second) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		if d := time.Since(refusedAt); d > cooldown.DefaultSnapshot.MaxAge {
			t.Errorf("cooldown in the snapshot only after %s", d)
		}
		time.Sleep(3 * time.Second)
		b.Remaining(ctx, "runner/x", time.Second)
		time.Sleep(300 * time.Millisecond)
		if w := b.Remaining(ctx, "runner/x", time.Second); w < floor-time.Since(refusedAt) ||
			w > floor-time.Since(refusedAt)+10*time.Millisecond {
			t.Errorf("remaining wait after %s: %s", time.Since(refusedAt), w)
		}
		// A second refusal during the cooldown is not written. One with a longer wait extends it.
		a.RecordRefusal(ctx, "runner/x", 0)
		a.RecordRefusal(ctx, "runner/x", 20*time.Second)
		if n := a.Installs(); n != 2 {
			t.Errorf("%d cooldowns written", n)
		}
		time.Sleep(300 * time.Millisecond)
		if w := b.Remaining(ctx, "runner/x", time.Second); w < 19*time.Second {
			t.Errorf("wait after the extension: %s", w)
		}
		stop()
		f.close()
		time.Sleep(time.Minute)
	})
}

// TestGateAfterCooldown checks that no call is admitted during a cooldown, and that afterwards one
// concurrent call is admitted and the limit doubles with each success. Calls may end in any order.
func TestGateAfterCooldown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		net := memnet.New(1)
		f := newFleet(t, ctx, 3, 1, func(addr string) transport.Net { return net.Host(addr) })
		manager := f.managers[0]
		go manager.RunSnapshot(ctx)
		go manager.Run(ctx)
		early, ok := manager.Admit(ctx, "k", time.Second)
		if !ok {
			t.Fatal("call not admitted without a cooldown")
		}
		manager.RecordRefusal(ctx, "k", 0)
		if _, ok := manager.Admit(ctx, "k", time.Second); ok || manager.GateOpen("k") ||
			early.StillValid(ctx, time.Second) {
			t.Error("call admitted during the cooldown")
		}
		time.Sleep(1100 * time.Millisecond)
		early.Succeeded()
		early.End()
		for _, want := range []int{1, 2, 4, 8, 16} {
			var admissions []*cooldown.Admission
			for {
				p, ok := manager.Admit(ctx, "k", time.Second)
				if !ok {
					break
				}
				admissions = append(admissions, p)
			}
			if len(admissions) != want {
				t.Errorf("%d at once, want %d", len(admissions), want)
			}
			admissions[0].Succeeded()
			admissions[0].Succeeded()
			for _, p := range admissions {
				p.End()
			}
		}
		var admissions []*cooldown.Admission
		for range 100 {
			p, ok := manager.Admit(ctx, "k", time.Second)
			if !ok {
				t.Fatal("the gate is not open")
			}
			admissions = append(admissions, p)
		}
		for _, p := range admissions {
			p.End()
		}
		time.Sleep(time.Second)
		if !manager.Idle() {
			t.Error("not idle after the gate was removed")
		}
		// The gate of an unused key is removed.
		manager.RecordRefusal(ctx, "unused", 0)
		time.Sleep(40 * time.Second)
		if !manager.Idle() {
			t.Error("the gate of an unused key was kept")
		}
		stop()
		f.close()
		time.Sleep(time.Minute)
	})
}

// TestSimultaneousRefusals checks that refusals at many managers at the same time count as one step.
func TestSimultaneousRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		net := memnet.New(1)
		net.SetMaxDelay(2 * time.Millisecond)
		f := newFleet(t, ctx, 3, 64, func(addr string) transport.Net { return net.Host(addr) })
		start := time.Now()
		done := make(chan time.Duration, 64*5)
		for _, manager := range f.managers {
			for range 5 {
				go func() {
					manager.RecordRefusal(ctx, "runner/x", 0)
					done <- time.Since(start)
				}()
			}
		}
		last := time.Duration(0)
		for range 64 * 5 {
			last = max(last, <-done)
		}
		time.Sleep(time.Second)
		n, inForce, rounds := uint64(0), 0, uint64(0)
		for i, manager := range f.managers {
			n += manager.Installs()
			rounds += f.nodes[i].Proposer.Rounds.Load()
			if !manager.GateOpen("runner/x") {
				inForce++
			}
		}
		t.Logf("64 managers, 5 refusals each: %d written, %d rounds, the last job waited %s", n, rounds, last)
		if n != 1 || last > cooldown.DefaultSnapshot.WriteWait+time.Millisecond {
			t.Errorf("%d cooldowns written, the last after %s", n, last)
		}
		stop()
		f.close()
		time.Sleep(time.Minute)
	})
}

// BenchmarkRemaining measures the CPU time for one job's check of the cooldown, with a recent snapshot
// and with a majority read. The latter includes the CPU time of the three stores.
func BenchmarkRemaining(b *testing.B) {
	ctx, stop := context.WithCancel(b.Context())
	defer stop()
	f := newFleet(b, ctx, 3, 1, func(string) transport.Net { return transport.TCP(transport.DefaultParams, listen.Opener{}) })
	defer f.close()
	manager := f.managers[0]
	go manager.RunSnapshot(ctx)
	manager.Remaining(ctx, "runner/x", time.Second)
	for manager.Stats().Polls < 6 {
		manager.Remaining(ctx, "runner/x", time.Second)
	}
	b.Run("snapshot", func(b *testing.B) {
		for b.Loop() {
			manager.Remaining(ctx, "runner/x", time.Second)
		}
	})
	b.Run("read", func(b *testing.B) {
		for b.Loop() {
			if _, _, err := manager.Read(ctx, "runner/x"); err != nil {
				b.Fatal(err)
			}
		}
	})
}
