package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"damsontiller/internal/kit/checker"
	"damsontiller/internal/transport"
)

// PartitionOneWay cuts what some machines send to others, one way only.
func (s *Sim) PartitionOneWay(from, to []string, on bool) {
	if on {
		s.Record(checker.Hard, fmt.Sprintf("cut %v to %v", from, to), 0)
	}
	s.partitioned(s.Net.SetPartitionedOneWay, from, to, on)
}

// partitioned cuts or joins each pair by one way of the network's, and keeps note of who
// is separate.
func (s *Sim) partitioned(way func(a, b string, on bool), of, from []string, on bool) {
	s.mu.Lock()
	for _, a := range of {
		s.isolated[a], s.away[a] = on, time.Now()
	}
	s.mu.Unlock()
	for _, a := range of {
		for _, b := range from {
			if a != b {
				way(s.Get(a).Addr, s.Get(b).Addr, on)
			}
		}
	}
}

// Partition cuts machines off from others, both ways, or joins them again.
func (s *Sim) Partition(of, from []string, on bool) {
	if on {
		s.Record(checker.Hard, fmt.Sprintf("cut %v", of), 0)
	}
	s.partitioned(s.Net.SetPartitioned, of, from, on)
}

// Rest is every machine but those named.
func (s *Sim) Rest(but ...string) []string {
	var out []string
	for _, m := range s.Machines {
		if !strings.Contains(" "+strings.Join(but, " ")+" ", " "+m.ID+" ") {
			out = append(out, m.ID)
		}
	}
	return out
}

// webWay is an edge's way to a runner's address.
type webWay struct{ edge, addr string }

// PartitionHTTP cuts edges off from runners' addresses, or joins them again.
func (s *Sim) PartitionHTTP(edges, addrs []string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range edges {
		for _, a := range addrs {
			s.partitionedHTTP[webWay{e, a}] = on
		}
	}
}

func (s *Sim) isPartitionedHTTP(edge, addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partitionedHTTP[webWay{edge, addr}]
}

// trackedConn is one end of a connection that the simulation may reset.
type trackedConn struct {
	net.Conn
	s  *Sim
	id string
}

// Close ends the connection.
func (c *trackedConn) Close() error {
	c.s.mu.Lock()
	delete(c.s.conns[c.id], c)
	c.s.mu.Unlock()
	return c.Conn.Close()
}

func (s *Sim) track(id string, c net.Conn) net.Conn {
	t := &trackedConn{c, s, id}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[id] == nil {
		s.conns[id] = map[*trackedConn]bool{}
	}
	s.conns[id][t] = true
	return t
}

// Reset breaks a share of a machine's connections to others, and tells how many.
func (s *Sim) Reset(id string, fraction float64, rnd *rand.Rand) int {
	var broken []*trackedConn
	s.mu.Lock()
	for c := range s.conns[id] {
		if rnd.Float64() < fraction {
			broken = append(broken, c)
		}
	}
	s.mu.Unlock()
	for _, c := range broken {
		c.Close()
	}
	return len(broken)
}

// hostNet is the network as a machine sees it.
func (s *Sim) hostNet(m *Machine) transport.Net {
	host := s.Net.Host(m.Addr)
	return transport.Net{
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			if b := s.backendAt(addr); b != nil {
				return s.dialBackend(ctx, m, b)
			}
			c, err := host.Dial(ctx, addr)
			if err != nil {
				return nil, err
			}
			return s.track(m.ID, c), nil
		},
		Listen: host.Listen,
	}
}
