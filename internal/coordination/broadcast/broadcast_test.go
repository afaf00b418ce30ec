package broadcast_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"damsontiller/internal/coordination/broadcast"
	"damsontiller/internal/coordination/peer"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport"
	"damsontiller/internal/transport/memnet"
)

type town struct {
	net     *memnet.Net
	peers   []*peer.Peer
	boards  []*broadcast.Broadcaster
	mu      sync.Mutex
	handled map[string]int // id/topic/key: times handled
	list    []*wire.Member
}

// newTown makes n nodes in three zones; the first deaf of them have no handler.
func newTown(t *testing.T, n, deaf int) (*town, context.CancelFunc) {
	ctx, stop := context.WithCancel(t.Context())
	w := &town{net: memnet.New(1), handled: map[string]int{}}
	for i := range n {
		m := &wire.Member{
			Id:   fmt.Sprintf("n%03d", i),
			Addr: fmt.Sprintf("h%d", i),
			Zone: string(rune('a' + i%3)),
			Live: true,
		}
		w.list = append(w.list, m)
		pr := peer.New(m, w.net.Host(m.Addr), transport.DefaultParams, hclog.NewNullLogger())
		broadcaster := broadcast.New(broadcast.DefaultParams, pr, func() []*wire.Member { return w.list })
		if i >= deaf {
			for _, topic := range []string{"x", "brief"} {
				broadcaster.Handle(topic, func(it *wire.Item) error {
					w.mu.Lock()
					w.handled[m.Id+"/"+it.Topic+"/"+it.Key]++
					w.mu.Unlock()
					return nil
				})
			}
		}
		if err := pr.Serve(ctx); err != nil {
			t.Fatal(err)
		}
		w.peers, w.boards = append(w.peers, pr), append(w.boards, broadcaster)
	}
	return w, func() {
		stop()
		for _, pr := range w.peers {
			pr.Close()
		}
		time.Sleep(time.Minute)
	}
}

func (w *town) count(topic, key string) (n, most int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.list {
		c := w.handled[m.Id+"/"+topic+"/"+key]
		if c > 0 {
			n++
		}
		most = max(most, c)
	}
	return n, most
}

// TestTree: everyone hears each item once, and the sender learns that they did.
func TestTree(t *testing.T) {
	for _, n := range []int{1, 2, 12, 50, 200} {
		synctest.Test(t, func(t *testing.T) {
			w, end := newTown(t, n, 0)
			defer end()
			accepted := w.boards[0].Publish(t.Context(), &wire.Item{Topic: "x", Key: "k", Seq: 1})
			if got, most := w.count("x", "k"); got != n || most != 1 || len(accepted) != n {
				t.Errorf("%d nodes: heard by %d, up to %d times, confirmed by %d", n, got, most, len(accepted))
			}
		})
	}
}

// TestRelayDies: with relays departed or hanging, all others hear within half a
// second, and a hanging one hears once it is back.
func TestRelayDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, end := newTown(t, 50, 0)
		defer end()
		// Members in zone order; the first of a quarter is a relay of the root.
		w.peers[3].Close() // n003, zone a: refused
		for _, m := range w.list {
			if m.Id != "n016" {
				w.net.SetPartitioned("h16", m.Addr, true) // zone b: hangs
			}
		}
		at := time.Now()
		w.boards[0].Publish(t.Context(), &wire.Item{Topic: "x", Key: "k", Seq: 1})
		synctest.Wait()
		for n := 0; n < 48; n, _ = w.count("x", "k") {
			time.Sleep(10 * time.Millisecond)
			if time.Since(at) > 3*time.Second {
				t.Fatalf("heard by %d of 48", n)
			}
		}
		if d := time.Since(at); d > 500*time.Millisecond {
			t.Errorf("the last heard after %s", d)
		}
		for _, m := range w.list {
			w.net.SetPartitioned("h16", m.Addr, false)
		}
		ctx, stop := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { w.boards[16].Run(ctx) })
		for range 20 {
			time.Sleep(500 * time.Millisecond)
		}
		stop()
		wg.Wait()
		if n, _ := w.count("x", "k"); n != 49 {
			t.Errorf("after the cut %d of 49 have heard", n)
		}
	})
}

// TestBrief: an item that is out of date at once is not offered again, also
// not by a node that has no use for its topic.
func TestBrief(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, end := newTown(t, 6, 2)
		defer end()
		w.list[5].Live = false // joins later
		w.boards[3].Publish(t.Context(), &wire.Item{Topic: "brief", Key: "k", Seq: 1, Brief: true})
		w.list[5].Live = true
		ctx, stop := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for _, broadcaster := range w.boards {
			wg.Go(func() { broadcaster.Run(ctx) })
		}
		time.Sleep(20 * time.Second)
		stop()
		wg.Wait()
		if n, most := w.count("brief", "k"); n != 3 || most != 1 {
			t.Errorf("heard by %d of 3, up to %d times", n, most)
		}
	})
}

// TestBriefWithoutOrder: an item that is out of date at once is heard whatever epoch and
// number it has beside earlier ones of its key, as its sender's clock may have gone back.
func TestBriefWithoutOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, end := newTown(t, 4, 0)
		defer end()
		for i, epoch := range []uint64{9, 3, 0, 0} {
			w.boards[1].Publish(t.Context(), &wire.Item{Topic: "brief", Key: "k", Epoch: epoch, Seq: 1, Brief: true})
			if n, most := w.count("brief", "k"); n != 4 || most != i+1 {
				t.Errorf("epoch %d: heard by %d of 4, %d times", epoch, n, most)
			}
		}
	})
}

// TestNoSlipBack: an older item changes nothing, whichever way it comes.
func TestNoSlipBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, end := newTown(t, 2, 0)
		defer end()
		w.boards[0].Apply([]*wire.Item{{Topic: "x", Key: "k", Epoch: 2, Seq: 1}})
		w.boards[0].Apply([]*wire.Item{{Topic: "x", Key: "k", Epoch: 1, Seq: 9}})
		if i := w.boards[0].Latest("x", "k"); i.Epoch != 2 {
			t.Errorf("epoch %d", i.Epoch)
		}
		if _, most := w.count("x", "k"); most != 1 {
			t.Errorf("handled %d times", most)
		}
	})
}

// TestReach measures how long an item takes to reach all, and what it costs,
// with up to 2 ms on each way. The bound is the brief's two seconds.
func TestReach(t *testing.T) {
	for _, n := range []int{12, 50, 200} {
		synctest.Test(t, func(t *testing.T) {
			w, end := newTown(t, n, 0)
			defer end()
			w.net.Delay(2 * time.Millisecond)
			sent := func() (s uint64) {
				for _, pr := range w.peers {
					s += pr.Sent()
				}
				return s
			}
			before, at := sent(), time.Now()
			accepted := w.boards[0].Publish(t.Context(), &wire.Item{Topic: "x", Key: "k", Seq: 1})
			d := time.Since(at)
			t.Logf(
				"%3d nodes: %3d confirmed after %s, %d messages",
				n,
				len(accepted),
				d.Round(100*time.Microsecond),
				sent()-before,
			)
			if len(accepted) != n || d > 2*time.Second {
				t.Errorf("%d of %d nodes after %s", len(accepted), n, d)
			}
			ctx, stop := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			for _, broadcaster := range w.boards {
				wg.Go(func() { broadcaster.Run(ctx) })
			}
			before = sent()
			time.Sleep(10 * time.Second)
			t.Logf("%3d nodes: %.1f digest messages a node and second", n, float64(sent()-before)/10/float64(n))
			stop()
			wg.Wait()
		})
	}
}

// TestLargeBody: a large body is sent and kept compressed, by the tree and by repair, and
// each handler gets it as it was published; a small one is left as it is.
func TestLargeBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, end := newTown(t, 20, 0)
		defer end()
		large := bytes.Repeat([]byte(`{"name":"route","kind":"stream"},`), 1000)
		var got [20][]byte
		for i, b := range w.boards {
			b.Handle("large", func(it *wire.Item) error {
				w.mu.Lock()
				defer w.mu.Unlock()
				got[i] = it.Body
				return nil
			})
		}
		// The last one is cut off while the tree sends, and is repaired later.
		for i := range 19 {
			w.net.SetPartitioned(fmt.Sprintf("h%d", i), "h19", true)
		}
		w.boards[0].Publish(t.Context(), &wire.Item{Topic: "large", Key: "k", Seq: 1, Body: large})
		w.boards[0].Publish(t.Context(), &wire.Item{Topic: "x", Key: "k", Seq: 1, Body: []byte("small")})
		time.Sleep(5 * time.Second)
		for i := range 19 {
			w.net.SetPartitioned(fmt.Sprintf("h%d", i), "h19", false)
		}
		ctx, stop := context.WithCancel(t.Context())
		go w.boards[19].Run(ctx)
		time.Sleep(30 * time.Second)
		stop()
		w.mu.Lock()
		defer w.mu.Unlock()
		for i, b := range w.boards {
			if !bytes.Equal(got[i], large) {
				t.Errorf("node %d got %d bytes of %d", i, len(got[i]), len(large))
			}
			if kept := b.Latest("large", "k"); len(kept.GetBody()) > 0 || len(kept.GetCompressedBody()) > len(large)/10 {
				t.Errorf("node %d keeps %d bytes, %d compressed", i, len(kept.GetBody()), len(kept.GetCompressedBody()))
			}
			if kept := b.Latest("x", "k"); string(kept.GetBody()) != "small" {
				t.Errorf("node %d keeps a small body as %q", i, kept.GetBody())
			}
		}
	})
}
