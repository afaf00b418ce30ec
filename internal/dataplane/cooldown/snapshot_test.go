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
	"damsontiller/internal/transport/memnet"
)

// fleet is some stores and the desks of some edges, without a core.
type fleet struct {
	stores []*store.Store
	desks  []*cooldown.Desk
	nodes  []*node.Node
}

func lay(t testing.TB, ctx context.Context, stores, edges int, host func(addr string) transport.Net) *fleet {
	t.Helper()
	f := &fleet{}
	var re spec.Cluster
	params := func(id, role, zone, addr string) node.Params {
		return node.Params{Self: &wire.Member{Id: id, Role: role, Zone: zone, Addr: addr}, Net: host(addr), Transport: transport.DefaultParams, Lease: lease.DefaultParams, Broadcast: broadcast.DefaultParams, Log: hclog.NewNullLogger()}
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
		re.Stores = append(re.Stores, spec.Machine{ID: id, Addr: addr, Zone: zone, Ident: v.Ident()})
	}
	raw, err := re.MarshalJSON()
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
		f.desks = append(f.desks, cooldown.New(cooldown.DefaultParams, n, &storeclient.Client{Peer: n.Peer, Cluster: n.Cluster, Proposer: n.Proposer}))
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

// looks clears many keys at a desk and tells how many the word did not cover.
func looks(ctx context.Context, d *cooldown.Desk, keys int) int {
	n := 0
	for i := range keys {
		was := d.Figures()
		d.Clear(ctx, fmt.Sprint("runner/", i), 4*time.Second)
		if a := d.Figures(); a.Looks > was.Looks || a.Blind > was.Blind {
			n++
		}
	}
	return n
}

// TestFresh: the word covers a key while a majority of its holders has answered,
// so a whole zone may be away; what is not covered is looked up.
func TestFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		net := memnet.New(1)
		f := lay(t, ctx, 9, 1, func(addr string) transport.Net { return net.Host(addr) })
		d := f.desks[0]
		go d.Word(ctx)
		if n := looks(ctx, d, 1); n != 1 {
			t.Errorf("%d looks before any word", n)
		}
		time.Sleep(300 * time.Millisecond)
		if n := looks(ctx, d, 50); n != 0 {
			t.Errorf("%d looks with a fresh word", n)
		}
		for _, i := range []int{0, 3, 6} {
			f.stores[i].Peer.Close()
		}
		for range 10 {
			time.Sleep(200 * time.Millisecond)
			if n := looks(ctx, d, 50); n != 0 {
				t.Errorf("%d looks with a zone away", n)
			}
		}
		// One more store: its keys, and no others, have no majority.
		f.stores[1].Peer.Close()
		time.Sleep(time.Second)
		looks(ctx, d, 1)
		time.Sleep(100 * time.Millisecond)
		if n := looks(ctx, d, 50); n == 0 || n == 50 {
			t.Errorf("%d looks of 50 with a zone and a store away", n)
		}
		// Asleep for long, the word is old.
		time.Sleep(10 * time.Second)
		if n := looks(ctx, d, 1); n != 1 {
			t.Errorf("%d looks after a long sleep", n)
		}
		stop()
		f.close()
		time.Sleep(time.Minute)
	})
}

// TestClear: what one desk writes another keeps to, by the word or by a look; what
// is left is never less than what the refusal asked for.
func TestClear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		net := memnet.New(1)
		f := lay(t, ctx, 3, 3, func(addr string) transport.Net { return net.Host(addr) })
		a, b, c := f.desks[0], f.desks[1], f.desks[2]
		go b.Word(ctx)
		b.Clear(ctx, "runner/x", time.Second)
		time.Sleep(300 * time.Millisecond)
		at := time.Now()
		floor := 7*time.Second + 300*time.Microsecond
		if w := a.Refused(ctx, "runner/x", floor); w < floor {
			t.Errorf("the refused one may come back after %s", w)
		}
		if w := c.Clear(ctx, "runner/x", time.Second); w < floor-time.Since(at) || w > floor+10*time.Millisecond {
			t.Errorf("by a look: %s", w)
		}
		for b.Clear(ctx, "runner/x", time.Second) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		if d := time.Since(at); d > cooldown.DefaultWord.Old {
			t.Errorf("by the word after %s", d)
		}
		time.Sleep(3 * time.Second)
		b.Clear(ctx, "runner/x", time.Second)
		time.Sleep(300 * time.Millisecond)
		if w := b.Clear(ctx, "runner/x", time.Second); w < floor-time.Since(at) || w > floor-time.Since(at)+10*time.Millisecond {
			t.Errorf("what is left after %s: %s", time.Since(at), w)
		}
		// A second refusal within it writes nothing, a longer one lengthens it.
		a.Refused(ctx, "runner/x", 0)
		a.Refused(ctx, "runner/x", 20*time.Second)
		if n := a.Count(); n != 2 {
			t.Errorf("%d cooldowns written", n)
		}
		time.Sleep(300 * time.Millisecond)
		if w := b.Clear(ctx, "runner/x", time.Second); w < 19*time.Second {
			t.Errorf("lengthened: %s", w)
		}
		stop()
		f.close()
		time.Sleep(time.Minute)
	})
}

// TestGateOfPass: right after a cooldown one call, then twice as many with each one
// taken, and none is let in while it lasts; leaves may be given back in any order.
func TestGateOfPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		net := memnet.New(1)
		f := lay(t, ctx, 3, 1, func(addr string) transport.Net { return net.Host(addr) })
		d := f.desks[0]
		go d.Word(ctx)
		go d.Run(ctx)
		early, ok := d.Admit(ctx, "k", time.Second)
		if !ok {
			t.Fatal("no leave without a cooldown")
		}
		d.Refused(ctx, "k", 0)
		if _, ok := d.Admit(ctx, "k", time.Second); ok || d.Open("k") || early.Stands(ctx, time.Second) {
			t.Error("a leave while it cools")
		}
		time.Sleep(1100 * time.Millisecond)
		early.Good()
		early.Leave()
		for _, want := range []int{1, 2, 4, 8, 16} {
			var ps []*cooldown.Pass
			for {
				p, ok := d.Admit(ctx, "k", time.Second)
				if !ok {
					break
				}
				ps = append(ps, p)
			}
			if len(ps) != want {
				t.Errorf("%d at once, want %d", len(ps), want)
			}
			ps[0].Good()
			ps[0].Good()
			for _, p := range ps {
				p.Leave()
			}
		}
		var ps []*cooldown.Pass
		for range 100 {
			p, ok := d.Admit(ctx, "k", time.Second)
			if !ok {
				t.Fatal("the gate is not open")
			}
			ps = append(ps, p)
		}
		for _, p := range ps {
			p.Leave()
		}
		time.Sleep(time.Second)
		if !d.Calm() {
			t.Error("not calm")
		}
		// A gate that nobody goes through is forgotten.
		d.Refused(ctx, "gone", 0)
		time.Sleep(40 * time.Second)
		if !d.Calm() {
			t.Error("a key that nobody uses any more is remembered")
		}
		stop()
		f.close()
		time.Sleep(time.Minute)
	})
}

// TestDispatcher: refusals seen by many desks in one moment are one step.
func TestDispatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		net := memnet.New(1)
		net.Delay(2 * time.Millisecond)
		f := lay(t, ctx, 3, 64, func(addr string) transport.Net { return net.Host(addr) })
		at := time.Now()
		done := make(chan time.Duration, 64*5)
		for _, d := range f.desks {
			for range 5 {
				go func() {
					d.Refused(ctx, "runner/x", 0)
					done <- time.Since(at)
				}()
			}
		}
		last := time.Duration(0)
		for range 64 * 5 {
			last = max(last, <-done)
		}
		time.Sleep(time.Second)
		n, kept, rounds := uint64(0), 0, uint64(0)
		for i, d := range f.desks {
			n += d.Count()
			rounds += f.nodes[i].Proposer.Rounds.Load()
			if !d.Open("runner/x") {
				kept++
			}
		}
		t.Logf("64 desks, 5 refusals each: %d written, %d rounds, the last job waited %s", n, rounds, last)
		if n != 1 || last > cooldown.DefaultWord.Wait+time.Millisecond {
			t.Errorf("%d cooldowns written, the last after %s", n, last)
		}
		stop()
		f.close()
		time.Sleep(time.Minute)
	})
}

// BenchmarkClear is the processor's time for one job's look at the cooldown: by a
// fresh word, and by a majority read at three stores, whose share is in the figure.
func BenchmarkClear(b *testing.B) {
	ctx, stop := context.WithCancel(b.Context())
	defer stop()
	f := lay(b, ctx, 3, 1, func(string) transport.Net { return transport.TCP(transport.DefaultParams) })
	defer f.close()
	d := f.desks[0]
	go d.Word(ctx)
	d.Clear(ctx, "runner/x", time.Second)
	for d.Figures().Words < 6 {
		d.Clear(ctx, "runner/x", time.Second)
	}
	b.Run("word", func(b *testing.B) {
		for b.Loop() {
			d.Clear(ctx, "runner/x", time.Second)
		}
	})
	b.Run("look", func(b *testing.B) {
		for b.Loop() {
			if _, _, err := d.Look(ctx, "runner/x"); err != nil {
				b.Fatal(err)
			}
		}
	})
}
