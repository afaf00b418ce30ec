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

// testCluster is a set of nodes on an in-memory network.
type testCluster struct {
	net          *memnet.Net
	peers        []*peer.Peer
	broadcasters []*broadcast.Broadcaster
	mu           sync.Mutex
	handled      map[string]int // number of handler calls by id/topic/key
	members      []*wire.Member
}

// newTestCluster starts n nodes in three zones. The first withoutHandler of them have no
// handler.
func newTestCluster(t *testing.T, n, withoutHandler int) (*testCluster, context.CancelFunc) {
	ctx, stop := context.WithCancel(t.Context())
	cluster := &testCluster{net: memnet.New(1), handled: map[string]int{}}
	for i := range n {
		m := &wire.Member{
			Id:   fmt.Sprintf("n%03d", i),
			Addr: fmt.Sprintf("h%d", i),
			Zone: string(rune('a' + i%3)),
			Live: true,
		}
		cluster.members = append(cluster.members, m)
		pr := peer.New(m, cluster.net.Host(m.Addr), transport.DefaultParams, hclog.NewNullLogger())
		broadcaster := broadcast.New(broadcast.DefaultParams, pr, func() []*wire.Member { return cluster.members })
		if i >= withoutHandler {
			for _, topic := range []string{"x", "brief"} {
				broadcaster.Handle(topic, func(it *wire.Item) error {
					cluster.mu.Lock()
					cluster.handled[m.Id+"/"+it.Topic+"/"+it.Key]++
					cluster.mu.Unlock()
					return nil
				})
			}
		}
		if err := pr.Serve(ctx); err != nil {
			t.Fatal(err)
		}
		cluster.peers, cluster.broadcasters = append(cluster.peers, pr), append(cluster.broadcasters, broadcaster)
	}
	return cluster, func() {
		stop()
		for _, pr := range cluster.peers {
			pr.Close()
		}
		time.Sleep(time.Minute)
	}
}

// count returns how many nodes have handled an item and the highest number of handler calls
// on one node.
func (cluster *testCluster) count(topic, key string) (n, highest int) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	for _, m := range cluster.members {
		c := cluster.handled[m.Id+"/"+topic+"/"+key]
		if c > 0 {
			n++
		}
		highest = max(highest, c)
	}
	return n, highest
}

// TestTree checks that every node handles each item once and that the sender receives all
// acknowledgements.
func TestTree(t *testing.T) {
	for _, n := range []int{1, 2, 12, 50, 200} {
		synctest.Test(t, func(t *testing.T) {
			cluster, end := newTestCluster(t, n, 0)
			defer end()
			accepted := cluster.broadcasters[0].Publish(t.Context(), &wire.Item{Topic: "x", Key: "k", Seq: 1})
			if got, highest := cluster.count("x", "k"); got != n || highest != 1 || len(accepted) != n {
				t.Errorf("%d nodes: handled by %d, up to %d times, acknowledged by %d", n, got, highest, len(accepted))
			}
		})
	}
}

// TestRelayDies checks that all other nodes receive an item within half a second if relays
// are down or hang, and that a hanging relay receives it once it is reachable again.
func TestRelayDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, end := newTestCluster(t, 50, 0)
		defer end()
		// Members are sorted by zone, and the first node of each quarter is a child of the root.
		cluster.peers[3].Close() // n003 in zone a refuses connections
		for _, m := range cluster.members {
			if m.Id != "n016" {
				cluster.net.SetPartitioned("h16", m.Addr, true) // n016 in zone b hangs
			}
		}
		start := time.Now()
		cluster.broadcasters[0].Publish(t.Context(), &wire.Item{Topic: "x", Key: "k", Seq: 1})
		synctest.Wait()
		for n := 0; n < 48; n, _ = cluster.count("x", "k") {
			time.Sleep(10 * time.Millisecond)
			if time.Since(start) > 3*time.Second {
				t.Fatalf("handled by %d of 48", n)
			}
		}
		if d := time.Since(start); d > 500*time.Millisecond {
			t.Errorf("the last node received the item after %s", d)
		}
		for _, m := range cluster.members {
			cluster.net.SetPartitioned("h16", m.Addr, false)
		}
		ctx, stop := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { cluster.broadcasters[16].Run(ctx) })
		for range 20 {
			time.Sleep(500 * time.Millisecond)
		}
		stop()
		wg.Wait()
		if n, _ := cluster.count("x", "k"); n != 49 {
			t.Errorf("after the partition has healed, %d of 49 have handled the item", n)
		}
	})
}

// TestBrief checks that a transient (brief) item is not offered again by anti-entropy, not
// even by a node without a handler for its topic.
func TestBrief(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, end := newTestCluster(t, 6, 2)
		defer end()
		cluster.members[5].Live = false // joins later
		cluster.broadcasters[3].Publish(t.Context(), &wire.Item{Topic: "brief", Key: "k", Seq: 1, Brief: true})
		cluster.members[5].Live = true
		ctx, stop := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for _, broadcaster := range cluster.broadcasters {
			wg.Go(func() { broadcaster.Run(ctx) })
		}
		time.Sleep(20 * time.Second)
		stop()
		wg.Wait()
		if n, highest := cluster.count("brief", "k"); n != 3 || highest != 1 {
			t.Errorf("handled by %d of 3, up to %d times", n, highest)
		}
	})
}

// TestBriefWithoutOrder checks that a transient (brief) item is handled even if its epoch and
// sequence number are lower than those of earlier items of its key, since its sender's clock
// may have been set back.
func TestBriefWithoutOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, end := newTestCluster(t, 4, 0)
		defer end()
		for i, epoch := range []uint64{9, 3, 0, 0} {
			cluster.broadcasters[1].Publish(t.Context(), &wire.Item{Topic: "brief", Key: "k", Epoch: epoch, Seq: 1, Brief: true})
			if n, highest := cluster.count("brief", "k"); n != 4 || highest != i+1 {
				t.Errorf("epoch %d: handled by %d of 4, %d times", epoch, n, highest)
			}
		}
	})
}

// TestOlderItemIgnored checks that an item with a lower epoch does not replace a later one.
func TestOlderItemIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, end := newTestCluster(t, 2, 0)
		defer end()
		cluster.broadcasters[0].Apply([]*wire.Item{{Topic: "x", Key: "k", Epoch: 2, Seq: 1}})
		cluster.broadcasters[0].Apply([]*wire.Item{{Topic: "x", Key: "k", Epoch: 1, Seq: 9}})
		if i := cluster.broadcasters[0].Latest("x", "k"); i.Epoch != 2 {
			t.Errorf("epoch %d", i.Epoch)
		}
		if _, highest := cluster.count("x", "k"); highest != 1 {
			t.Errorf("handled %d times", highest)
		}
	})
}

// TestReach measures the time and the number of messages to deliver an item to all nodes with
// a network delay of up to 2 ms each way. The specified limit is two seconds.
func TestReach(t *testing.T) {
	for _, n := range []int{12, 50, 200} {
		synctest.Test(t, func(t *testing.T) {
			cluster, end := newTestCluster(t, n, 0)
			defer end()
			cluster.net.SetMaxDelay(2 * time.Millisecond)
			sent := func() (s uint64) {
				for _, pr := range cluster.peers {
					s += pr.Sent()
				}
				return s
			}
			before, start := sent(), time.Now()
			accepted := cluster.broadcasters[0].Publish(t.Context(), &wire.Item{Topic: "x", Key: "k", Seq: 1})
			d := time.Since(start)
			t.Logf(
				"%3d nodes: %3d acknowledged after %s, %d messages",
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
			for _, broadcaster := range cluster.broadcasters {
				wg.Go(func() { broadcaster.Run(ctx) })
			}
			before = sent()
			time.Sleep(10 * time.Second)
			t.Logf("%3d nodes: %.1f digest messages per node and second", n, float64(sent()-before)/10/float64(n))
			stop()
			wg.Wait()
		})
	}
}

// TestLargeBody checks that a large body is sent and stored compressed by the relay tree and
// by anti-entropy, that each handler receives the original body, and that a small body is not
// compressed.
func TestLargeBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, end := newTestCluster(t, 20, 0)
		defer end()
		large := bytes.Repeat([]byte(`{"name":"route","kind":"stream"},`), 1000)
		var got [20][]byte
		for i, b := range cluster.broadcasters {
			b.Handle("large", func(it *wire.Item) error {
				cluster.mu.Lock()
				defer cluster.mu.Unlock()
				got[i] = it.Body
				return nil
			})
		}
		// The last node is partitioned while the item is published and repaired later.
		for i := range 19 {
			cluster.net.SetPartitioned(fmt.Sprintf("h%d", i), "h19", true)
		}
		cluster.broadcasters[0].Publish(t.Context(), &wire.Item{Topic: "large", Key: "k", Seq: 1, Body: large})
		cluster.broadcasters[0].Publish(t.Context(), &wire.Item{Topic: "x", Key: "k", Seq: 1, Body: []byte("small")})
		time.Sleep(5 * time.Second)
		for i := range 19 {
			cluster.net.SetPartitioned(fmt.Sprintf("h%d", i), "h19", false)
		}
		ctx, stop := context.WithCancel(t.Context())
		go cluster.broadcasters[19].Run(ctx)
		time.Sleep(30 * time.Second)
		stop()
		cluster.mu.Lock()
		defer cluster.mu.Unlock()
		for i, b := range cluster.broadcasters {
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
