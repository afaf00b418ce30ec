package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"damsontiller/internal/coordination/broadcast"
	"damsontiller/internal/coordination/lease"
	"damsontiller/internal/coordination/node"
	"damsontiller/internal/dataplane/edge"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport"
	"damsontiller/internal/transport/listen"
	"damsontiller/internal/transport/loop"
)

// Kinds of hollow nodes.
const (
	// Member is what every process of the system is, and no more: lease, spec,
	// updates.
	Member = "member"
	// Edge is the product's complete edge without callers: it also asks for slots.
	Edge = "edge"
)

// position is where a hollow node stands.
type position struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
	Zone string `json:"zone"`
}

// setup is the first line that a hollow process reads.
type setup struct {
	Kind  string     `json:"kind"`
	Seeds []string   `json:"seeds"`
	Nodes []position `json:"nodes"`
}

// order is every further line; each is answered with one line.
type order struct {
	Do   string `json:"do"` // stat, kill, start, watch, seen, force
	ID   string `json:"id,omitempty"`
	Ver  uint64 `json:"ver,omitempty"`
	Want int    `json:"want,omitempty"` // members that a whole list has
}

// load is what one hollow node has sent and received so far.
type load struct {
	Calls uint64 `json:"calls"` // made by it
	In    uint64 `json:"in"`    // bytes, frames and their heads
	Out   uint64 `json:"out"`
}

// report is a hollow process's answer.
type report struct {
	Failure  string  `json:"problem,omitempty"`
	Joined   int     `json:"joined"`
	Complete int     `json:"whole"` // nodes whose list has as many live members as wanted
	CPU      int64   `json:"cpu"`   // ns of the process
	Loads    []load  `json:"loads"`
	Conns    int64   `json:"conns"` // open, both ends
	At       []int64 `json:"at"`    // unix ns: of each node that has seen what was asked for
}

// hollow is one node without traffic.
type hollow struct {
	position
	seeds []string
	kind  string
	calls uint64 // of its former starts
	in    atomic.Uint64
	out   atomic.Uint64
	conns *atomic.Int64

	mu     sync.Mutex
	node   *node.Node
	stop   context.CancelFunc
	ended  chan struct{}
	joined bool
	force  map[uint64]int64 // when a version was first in force here
}

// counted counts what goes through a connection.
type counted struct {
	net.Conn
	h    *hollow
	once sync.Once
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.h.in.Add(uint64(n))
	return n, err
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.h.out.Add(uint64(n))
	return n, err
}

func (c *counted) Close() error {
	c.once.Do(func() { c.h.conns.Add(-1) })
	return c.Conn.Close()
}

func (h *hollow) wrap(c net.Conn) net.Conn {
	h.conns.Add(1)
	return &counted{Conn: c, h: h}
}

type listener struct {
	net.Listener
	h *hollow
}

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.h.wrap(c), nil
}

// start starts the node as its own process would be.
func (h *hollow) start() {
	ctx, stop := context.WithCancel(context.Background())
	tcp := transport.TCP(transport.DefaultParams, listen.Opener{})
	p := node.Params{
		Self: &wire.Member{
			Id:   h.ID,
			Role: "edge",
			Addr: h.Addr,
			Zone: h.Zone,
		}, Seeds: h.seeds, Transport: transport.DefaultParams,
		Lease: lease.DefaultParams, Broadcast: broadcast.DefaultParams, Log: hclog.NewNullLogger(),
		Net: transport.Net{
			Dial: func(ctx context.Context, addr string) (net.Conn, error) {
				c, err := tcp.Dial(ctx, addr)
				if err != nil {
					return nil, err
				}
				return h.wrap(c), nil
			},
			Listen: func(addr string) (net.Listener, error) {
				l, err := tcp.Listen(addr)
				if err != nil {
					return nil, err
				}
				return listener{l, h}, nil
			},
		},
	}
	var n *node.Node
	var begin func(context.Context) error
	if h.kind == Edge {
		e := edge.New(ctx, edge.DefaultParams, p)
		n, begin = e.Node, e.Start
	} else {
		// Not an edge to the others: it holds no slots and takes no role.
		p.Self.Role = "hollow"
		n = node.New(p)
		begin = func(ctx context.Context) error {
			if err := n.Peer.Serve(ctx); err != nil {
				return err
			}
			if err := n.Discover(ctx); err != nil {
				return err
			}
			if err := n.Join(ctx); err != nil {
				return err
			}
			n.Run(ctx)
			return nil
		}
	}
	wakeup := n.Cluster.Watch()
	ended := make(chan struct{})
	h.mu.Lock()
	h.node, h.stop, h.ended, h.joined = n, stop, ended, false
	h.mu.Unlock()
	go func() {
		loop.Every(ctx, time.Second, wakeup, func(context.Context) { h.see(n.Cluster.Now().Version) })
	}()
	go func() {
		defer close(ended)
		if err := begin(ctx); err != nil {
			return
		}
		h.mu.Lock()
		h.joined = true
		h.mu.Unlock()
		n.Wait()
	}()
}

// see records when a version, and every one below it, was first in force.
func (h *hollow) see(ver uint64) {
	now := time.Now().UnixNano()
	h.mu.Lock()
	defer h.mu.Unlock()
	for ; ver > 0 && h.force[ver] == 0; ver-- {
		h.force[ver] = now
	}
}

// kill ends the node: its port is refused from here on.
func (h *hollow) kill() {
	h.mu.Lock()
	n, stop, ended := h.node, h.stop, h.ended
	h.node, h.joined = nil, false
	h.mu.Unlock()
	if n == nil {
		return
	}
	stop()
	n.Peer.Close()
	<-ended
	h.calls += n.Peer.Sent()
}

func (h *hollow) live() *node.Node {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.joined {
		return nil
	}
	return h.node
}

// members counts the live ones in this node's list, and reports whether id is
// among them.
func members(n *node.Node, id string) (live int, has bool) {
	for _, m := range n.Lease.Members() {
		if m.Live {
			live++
			has = has || m.Id == id
		}
	}
	return live, has
}

// crowd is a process of hollow nodes.
type crowd struct {
	all   []*hollow
	conns atomic.Int64
	mu    sync.Mutex
	seen  map[string][]int64 // when those who watch missed a node
}

// watchers is how many nodes of a process watch for one that was killed.
const watchers = 4

// Hollow runs a process of hollow nodes: it reads its setup and then orders from
// in, one a line, and ends with it.
func Hollow(in io.Reader, out io.Writer) error {
	rd := bufio.NewScanner(in)
	rd.Buffer(nil, 4<<20)
	if !rd.Scan() {
		return fmt.Errorf("no setup: %w", io.ErrUnexpectedEOF)
	}
	var s setup
	if err := json.Unmarshal(rd.Bytes(), &s); err != nil {
		return fmt.Errorf("setup: %w", err)
	}
	c := &crowd{seen: map[string][]int64{}}
	for _, p := range s.Nodes {
		h := &hollow{position: p, seeds: s.Seeds, kind: s.Kind, conns: &c.conns, force: map[uint64]int64{}}
		c.all = append(c.all, h)
		h.start()
	}
	enc := json.NewEncoder(out)
	for rd.Scan() {
		var o order
		if err := json.Unmarshal(rd.Bytes(), &o); err != nil {
			return fmt.Errorf("order: %w", err)
		}
		if err := enc.Encode(c.answer(o)); err != nil {
			return err
		}
	}
	for _, h := range c.all {
		h.kill()
	}
	return rd.Err()
}

func (c *crowd) get(id string) *hollow {
	for _, h := range c.all {
		if h.ID == id {
			return h
		}
	}
	return nil
}

func (c *crowd) answer(o order) report {
	var w report
	switch o.Do {
	case "stat":
		var u syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
			w.Failure = err.Error()
		}
		w.CPU, w.Conns = u.Utime.Nano()+u.Stime.Nano(), c.conns.Load()
		for _, h := range c.all {
			l := load{Calls: h.calls, In: h.in.Load(), Out: h.out.Load()}
			if n := h.live(); n != nil {
				w.Joined++
				l.Calls += n.Peer.Sent()
				if o.Want > 0 {
					if live, _ := members(n, ""); live == o.Want {
						w.Complete++
					}
				}
			}
			w.Loads = append(w.Loads, l)
		}
	case "kill", "start":
		h := c.get(o.ID)
		if h == nil {
			w.Failure = "no node " + o.ID
			break
		}
		h.kill()
		if o.Do == "start" {
			h.start()
		}
	case "watch":
		c.watch(o.ID)
	case "seen":
		c.mu.Lock()
		w.At = append(w.At, c.seen[o.ID]...)
		c.mu.Unlock()
	case "force":
		for _, h := range c.all {
			h.mu.Lock()
			if at := h.force[o.Ver]; at > 0 && h.joined {
				w.At = append(w.At, at)
			}
			h.mu.Unlock()
		}
	default:
		w.Failure = "no order " + o.Do
	}
	return w
}

// watch has some nodes watch for another, until each misses it or a while is
// over.
func (c *crowd) watch(id string) {
	c.mu.Lock()
	c.seen[id] = nil
	c.mu.Unlock()
	n := 0
	for _, h := range c.all {
		if nd := h.live(); nd != nil && h.ID != id && n < watchers {
			n++
			go func() {
				ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
				defer stop()
				loop.Every(ctx, 20*time.Millisecond, nil, func(context.Context) {
					if _, has := members(nd, id); has || ctx.Err() != nil {
						return
					}
					c.mu.Lock()
					c.seen[id] = append(c.seen[id], time.Now().UnixNano())
					c.mu.Unlock()
					stop()
				})
			}()
		}
	}
}
