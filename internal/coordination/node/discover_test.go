package node_test

import (
	"bytes"
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/hashicorp/go-hclog"

	"damsontiller/internal/coordination/broadcast"
	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/lease"
	"damsontiller/internal/coordination/node"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport"
	"damsontiller/internal/transport/memnet"
)

const seedCount = 8

// seeds are processes that have a cluster or none.
type seeds struct {
	addrs          []string
	clusterAnswers atomic.Int64 // answers that contained the cluster
	answers        atomic.Int64 // all answers
}

// largeCluster returns a cluster with as many routes as a real deployment.
func largeCluster(t *testing.T, revision uint64) []byte {
	t.Helper()
	c := spec.Cluster{Table: spec.Table{Revision: revision}}
	for i := range 500 {
		c.Table.Paths = append(c.Table.Paths, spec.Path{
			Name: fmt.Sprintf("r-%x", i*7919), Authority: fmt.Sprintf("host%d.example", i%97),
			Prefix: fmt.Sprintf("/p%d/", i), Kind: spec.Stream, GuardMs: 4000,
		})
	}
	raw, err := c.MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// startSeeds starts seeds that have the given versions in force; 0 means none.
func startSeeds(t *testing.T, network *memnet.Net, versions [seedCount]uint64) *seeds {
	t.Helper()
	s := &seeds{}
	for i, version := range versions {
		n := newNode(network, fmt.Sprintf("127.0.80.%d:7100", 1+i), nil)
		if version > 0 {
			if err := n.Cluster.Apply(version, largeCluster(t, version)); err != nil {
				t.Fatal(err)
			}
		}
		// Replaces the node's own handler to count the answers.
		n.Peer.Handle(&wire.Req_Hello{}, func(_ context.Context, q *wire.Req) (*wire.Resp, error) {
			s.answers.Add(1)
			ack := n.Cluster.Now().HelloAck(n.Peer.Member(version), q.GetHello())
			if len(ack.Cluster)+len(ack.CompressedCluster) > 0 {
				s.clusterAnswers.Add(1)
			}
			return &wire.Resp{Op: &wire.Resp_Hello{Hello: ack}}, nil
		})
		if err := n.Peer.Serve(t.Context()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Peer.Close)
		s.addrs = append(s.addrs, n.Peer.Self.Addr)
	}
	return s
}

func newNode(network *memnet.Net, addr string, seedAddrs []string) *node.Node {
	return node.New(node.Params{
		Self:      &wire.Member{Id: addr, Role: "edge", Zone: "a", Addr: addr},
		Seeds:     seedAddrs,
		Net:       network.Host(addr),
		Transport: transport.DefaultParams,
		Lease:     lease.DefaultParams,
		Broadcast: broadcast.DefaultParams,
		Log:       hclog.NewNullLogger(),
	})
}

// TestDiscoverOnce: a node without a cluster fetches it, compressed, from only one of its
// seeds. A node that has the cluster does not fetch it again.
func TestDiscoverOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(1)
		s := startSeeds(t, network, [seedCount]uint64{0, 3, 3, 3, 3, 3, 3, 0})
		n := newNode(network, "127.0.81.1:7100", s.addrs)
		defer n.Peer.Close()
		if err := n.Discover(t.Context()); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if v := n.Cluster.Now(); v.Version != 3 || !bytes.Equal(v.Raw(), largeCluster(t, 3)) {
			t.Fatalf("version %d, %d bytes", v.Version, len(v.Raw()))
		}
		if full := s.clusterAnswers.Swap(0); full != 1 {
			t.Errorf("%d seeds sent the cluster", full)
		}
		if !n.Cluster.Discover(t.Context()) {
			t.Error("no seed knew a cluster")
		}
		if full, all := s.clusterAnswers.Load(), s.answers.Load(); full != 0 || all < 2*seedCount {
			t.Errorf("%d seeds sent the cluster again, %d answers in all", full, all)
		}
	})
}

// TestDiscoverNewest: the newest version among the seeds is fetched, and only once.
func TestDiscoverNewest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(1)
		s := startSeeds(t, network, [seedCount]uint64{3, 4, 9, 5, 9, 0, 3, 4})
		n := newNode(network, "127.0.81.1:7100", s.addrs)
		defer n.Peer.Close()
		if err := n.Cluster.Apply(3, largeCluster(t, 3)); err != nil {
			t.Fatal(err)
		}
		if !n.Cluster.Discover(t.Context()) || n.Cluster.Now().Version != 9 {
			t.Errorf("version %d", n.Cluster.Now().Version)
		}
		if full := s.clusterAnswers.Load(); full != 1 {
			t.Errorf("%d seeds sent the cluster", full)
		}
	})
}

// TestHelloForms: a process that does not announce support for a compressed cluster, such as an
// earlier release, gets it uncompressed.
func TestHelloForms(t *testing.T) {
	view := cluster.New(nil, nil)
	raw := largeCluster(t, 2)
	if err := view.Apply(2, raw); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name              string
		ask               *wire.Hello
		plain, compressed bool
	}{
		{"earlier release", &wire.Hello{}, true, false},
		{"head", &wire.Hello{Head: true}, false, false},
		{"head, compressed", &wire.Hello{Head: true, AcceptsCompressed: true}, false, false},
		{"compressed", &wire.Hello{AcceptsCompressed: true}, false, true},
	} {
		ack := view.Now().HelloAck(&wire.Member{}, tc.ask)
		if bytes.Equal(ack.Cluster, raw) != tc.plain || len(ack.CompressedCluster) > 0 != tc.compressed ||
			ack.ClusterVer != 2 || !ack.Formed {
			t.Errorf("%s: %d bytes, %d compressed", tc.name, len(ack.Cluster), len(ack.CompressedCluster))
		}
		if len(ack.CompressedCluster) > len(raw)/3 {
			t.Errorf("%s: %d bytes become %d", tc.name, len(raw), len(ack.CompressedCluster))
		}
	}
}
