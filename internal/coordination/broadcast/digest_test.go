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

// pair is two boards whose traffic is counted.
type pair struct {
	boards [2]*broadcast.Broadcaster
	peers  [2]*peer.Peer
	bytes  atomic.Int64
	calls  atomic.Int64
}

type meter struct {
	net.Conn
	params *pair
}

func (m meter) Write(b []byte) (int, error) {
	m.params.bytes.Add(int64(len(b)))
	m.params.calls.Add(1)
	return m.Conn.Write(b)
}

func newPair(t *testing.T) (*pair, func()) {
	ctx, stop := context.WithCancel(t.Context())
	nw, w := memnet.New(1), &pair{}
	list := []*wire.Member{{Id: "x", Addr: "hx", Zone: "a", Live: true}, {Id: "y", Addr: "hy", Zone: "a", Live: true}}
	for i, m := range list {
		host := nw.Host(m.Addr)
		dial := host.Dial
		host.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			c, err := dial(ctx, addr)
			if err != nil {
				return nil, err
			}
			return meter{c, w}, nil
		}
		listen := host.Listen
		host.Listen = func(addr string) (net.Listener, error) {
			l, err := listen(addr)
			return meters{l, w}, err
		}
		w.peers[i] = peer.New(m, host, transport.DefaultParams, hclog.NewNullLogger())
		w.boards[i] = broadcast.New(broadcast.DefaultParams, w.peers[i], func() []*wire.Member { return list })
		if err := w.peers[i].Serve(ctx); err != nil {
			t.Fatal(err)
		}
	}
	return w, func() {
		stop()
		for _, pr := range w.peers {
			pr.Close()
		}
		time.Sleep(time.Minute)
	}
}

type meters struct {
	net.Listener
	params *pair
}

func (m meters) Accept() (net.Conn, error) {
	c, err := m.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return meter{c, m.params}, nil
}

// once has the first board compare with the second one time.
func (w *pair) once(t *testing.T) int64 {
	w.bytes.Store(0)
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { w.boards[0].Run(ctx) })
	time.Sleep(broadcast.DefaultParams.DigestInterval / 2)
	stop()
	wg.Wait()
	return w.bytes.Load()
}

func item(i int, seq uint64) *wire.Item {
	return &wire.Item{Topic: "runner", Key: fmt.Sprintf("r%04d", i), Seq: seq, Body: make([]byte, 200)}
}

// TestDigestSize: two boards that are alike compare in a few bytes, however much is
// on them; where some items differ, what is sent grows with these, and both have
// them afterwards.
func TestDigestSize(t *testing.T) {
	for _, n := range []int{10, 1300} {
		synctest.Test(t, func(t *testing.T) {
			w, end := newPair(t)
			defer end()
			for _, broadcaster := range w.boards {
				for i := range n {
					broadcaster.Apply([]*wire.Item{item(i, 1)})
				}
			}
			if got := w.once(t); got > 200 {
				t.Errorf("%d items alike: %d bytes", n, got)
			}
			// One is older there, one here, one is there only, one here only.
			w.boards[0].Apply([]*wire.Item{item(1, 2), item(n, 1)})
			w.boards[1].Apply([]*wire.Item{item(2, 7), item(n+1, 1)})
			if got, most := w.once(t), int64(4*200+n*5/2+1500); got > most {
				t.Errorf("%d items, four differ: %d bytes, wanted at most %d", n, got, most)
			}
			for i, broadcaster := range w.boards {
				for _, missing := range []*wire.Item{item(1, 2), item(2, 7), item(n, 1), item(n+1, 1)} {
					if h := broadcaster.Latest(missing.Topic, missing.Key); h.GetSeq() != missing.Seq {
						t.Errorf(
							"%d items: board %d has %s at %d, not %d",
							n,
							i,
							missing.Key,
							h.GetSeq(),
							missing.Seq,
						)
					}
				}
			}
			if got := w.once(t); got > 200 {
				t.Errorf("%d items, mended: %d bytes", n, got)
			}
		})
	}
}

// TestDigestOfOlder: a neighbour of the version before sends all its heads at once,
// and is given what it lacks and what is wanted of it.
func TestDigestOfOlder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, end := newPair(t)
		defer end()
		w.boards[1].Apply([]*wire.Item{item(1, 2), item(2, 1), item(3, 1)})
		r, err := w.peers[0].Call(
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
			t.Errorf("told %v, wanted %v", d.Items, d.Want)
		}
	})
}

// TestPartners: a node compares with a few others at a time, so that its
// connections do not grow with the nodes, and in time with all of them.
func TestPartners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 60
		nw := memnet.New(1)
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
			pr := peer.New(m, nw.Host(m.Addr), transport.DefaultParams, hclog.NewNullLogger())
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
		if got, most := len(asked), params.Partners+minute/params.PartnerLifetime+1; got > most ||
			got < params.Partners {
			t.Errorf("%d nodes asked in a minute, wanted %d to %d", got, params.Partners, most)
		}
		mu.Unlock()
		// Partners are drawn at random: by reckoning, about one run in a hundred misses a node
		// in an hour, and next to none misses two or needs more than two hours.
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
