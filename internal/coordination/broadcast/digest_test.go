package broadcast_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
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

// countedPair is two broadcasters whose network traffic is counted.
type countedPair struct {
	broadcasters [2]*broadcast.Broadcaster
	peers        [2]*peer.Peer
	bytes        atomic.Int64
	writes       atomic.Int64
}

// countingConn counts the bytes and writes of a connection.
type countingConn struct {
	net.Conn
	counters *countedPair
}

func (c countingConn) Write(b []byte) (int, error) {
	c.counters.bytes.Add(int64(len(b)))
	c.counters.writes.Add(1)
	return c.Conn.Write(b)
}

func newPair(t *testing.T) (*countedPair, func()) {
	ctx, stop := context.WithCancel(t.Context())
	network, pair := memnet.New(1), &countedPair{}
	list := []*wire.Member{{Id: "x", Addr: "hx", Zone: "a", Live: true}, {Id: "y", Addr: "hy", Zone: "a", Live: true}}
	for i, m := range list {
		host := network.Host(m.Addr)
		dial := host.Dial
		host.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			c, err := dial(ctx, addr)
			if err != nil {
				return nil, err
			}
			return countingConn{c, pair}, nil
		}
		listen := host.Listen
		host.Listen = func(addr string) (net.Listener, error) {
			l, err := listen(addr)
			return countingListener{l, pair}, err
		}
		pair.peers[i] = peer.New(m, host, transport.DefaultParams, hclog.NewNullLogger())
		pair.broadcasters[i] = broadcast.New(broadcast.DefaultParams, pair.peers[i], func() []*wire.Member { return list })
		if err := pair.peers[i].Serve(ctx); err != nil {
			t.Fatal(err)
		}
	}
	return pair, func() {
		stop()
		for _, pr := range pair.peers {
			pr.Close()
		}
		time.Sleep(time.Minute)
	}
}

// countingListener accepts connections that count their traffic.
type countingListener struct {
	net.Listener
	counters *countedPair
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.counters}, nil
}

// exchangeDigest lets the first broadcaster run one digest exchange with the second and
// returns the number of bytes sent.
func (pair *countedPair) exchangeDigest(t *testing.T) int64 {
	pair.bytes.Store(0)
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { pair.broadcasters[0].Run(ctx) })
	time.Sleep(broadcast.DefaultParams.DigestInterval / 2)
	stop()
	wg.Wait()
	return pair.bytes.Load()
}

func item(i int, seq uint64) *wire.Item {
	return &wire.Item{Topic: "runner", Key: fmt.Sprintf("r%04d", i), Seq: seq, Body: make([]byte, 200)}
}

// TestDigestSize checks that two broadcasters with equal items exchange only a few bytes,
// independent of the number of items. If some items differ, the traffic is bounded by their
// number, and both hold the same items afterwards.
func TestDigestSize(t *testing.T) {
	for _, n := range []int{10, 1300} {
		synctest.Test(t, func(t *testing.T) {
			pair, end := newPair(t)
			defer end()
			for _, broadcaster := range pair.broadcasters {
				for i := range n {
					broadcaster.Apply([]*wire.Item{item(i, 1)})
				}
			}
			if got := pair.exchangeDigest(t); got > 200 {
				t.Errorf("%d equal items: %d bytes", n, got)
			}
			// On each side one item is newer and one is missing.
			pair.broadcasters[0].Apply([]*wire.Item{item(1, 2), item(n, 1)})
			pair.broadcasters[1].Apply([]*wire.Item{item(2, 7), item(n+1, 1)})
			if got, limit := pair.exchangeDigest(t), int64(4*200+n*5/2+1500); got > limit {
				t.Errorf("%d items, four differ: %d bytes, wanted at most %d", n, got, limit)
			}
			for i, broadcaster := range pair.broadcasters {
				for _, missing := range []*wire.Item{item(1, 2), item(2, 7), item(n, 1), item(n+1, 1)} {
					if h := broadcaster.Latest(missing.Topic, missing.Key); h.GetSeq() != missing.Seq {
						t.Errorf(
							"%d items: node %d has %s at %d, not %d",
							n,
							i,
							missing.Key,
							h.GetSeq(),
							missing.Seq,
						)
					}
				}
			}
			if got := pair.exchangeDigest(t); got > 200 {
				t.Errorf("%d items after repair: %d bytes", n, got)
			}
		})
	}
}

// TestDigestOfOlder checks the answer to a node of an older release, which sends the versions
// of all its items at once: the items that it lacks and the names of those that it has newer.
func TestDigestOfOlder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pair, end := newPair(t)
		defer end()
		pair.broadcasters[1].Apply([]*wire.Item{item(1, 2), item(2, 1), item(3, 1)})
		r, err := pair.peers[0].Call(
			t.Context(),
			"hy",
			&wire.Req{
				Op: &wire.Req_Digest{
					Digest: &wire.Digest{
						Heads: []*wire.Item{
							{Topic: "runner", Key: "r0001", Seq: 1},
							{Topic: "runner", Key: "r0002", Seq: 5},
						},
					},
				},
			},
		)
		if err != nil {
			t.Fatal(err)
		}
		d := r.GetDigest()
		if len(d.Items) != 2 || len(d.Want) != 1 || d.Want[0].Key != "r0002" {
			t.Errorf("items %v, wanted %v", d.Items, d.Want)
		}
	})
}

// TestPartners checks that a node exchanges digests with only a few others at a time, so that
// its connections do not grow with the cluster, and with all of them over time.
func TestPartners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 60
		network := memnet.New(1)
		var list []*wire.Member
		ctx, stop := context.WithCancel(t.Context())
		var mu sync.Mutex
		asked := map[string]int{}
		var peers []*peer.Peer
		var first *broadcast.Broadcaster
		for i := range n {
			list = append(list, &wire.Member{Id: fmt.Sprintf("n%02d", i), Addr: fmt.Sprintf("h%d", i), Live: true})
		}
		for i, m := range list {
			pr := peer.New(m, network.Host(m.Addr), transport.DefaultParams, hclog.NewNullLogger())
			broadcaster := broadcast.New(broadcast.DefaultParams, pr, func() []*wire.Member { return list })
			if i == 0 {
				first = broadcaster
			} else {
				pr.Handle(&wire.Req_Digest{}, func(context.Context, *wire.Req) (*wire.Resp, error) {
					mu.Lock()
					defer mu.Unlock()
					asked[m.Id]++
					return nil, nil
				})
			}
			if err := pr.Serve(ctx); err != nil {
				t.Fatal(err)
			}
			peers = append(peers, pr)
		}
		var wg sync.WaitGroup
		wg.Go(func() { first.Run(ctx) })
		params := broadcast.DefaultParams
		minute := int(time.Minute / params.DigestInterval)
		time.Sleep(time.Minute)
		mu.Lock()
		if got, limit := len(asked), params.Partners+minute/params.PartnerLifetime+1; got > limit ||
			got < params.Partners {
			t.Errorf("%d nodes asked in a minute, wanted %d to %d", got, params.Partners, limit)
		}
		mu.Unlock()
		// Partners are selected at random. By calculation, about one run in a hundred misses a
		// node within an hour; the probability of missing two nodes or of needing more than two
		// hours is negligible.
		time.Sleep(time.Hour)
		mu.Lock()
		if missed := n - 1 - len(asked); missed > 1 {
			t.Errorf("%d of %d nodes not asked in an hour", missed, n-1)
		}
		mu.Unlock()
		time.Sleep(time.Hour)
		mu.Lock()
		if missed := n - 1 - len(asked); missed != 0 {
			t.Errorf("%d of %d nodes not asked in two hours", missed, n-1)
		}
		mu.Unlock()
		stop()
		wg.Wait()
		for _, pr := range peers {
			pr.Close()
		}
		time.Sleep(time.Minute)
	})
}
