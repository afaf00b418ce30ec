// Package node is what every process of the system is: a peer with a licence,
// the spec in force, and an ear for news.
package node

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"damsontiller/coord/licence"
	"damsontiller/coord/news"
	"damsontiller/coord/peer"
	"damsontiller/coord/realm"
	"damsontiller/proto/reg"
	"damsontiller/proto/wire"
	"damsontiller/xport"
	"damsontiller/xport/code"
	"damsontiller/xport/loop"
)

// Params place a node.
type Params struct {
	Self  *wire.Member
	Seeds []string
	Net   xport.Net
	Xport xport.Params
	Lic   licence.Params
	News  news.Params
	// Keep puts a spec on disk, where there is one.
	Keep func(raw []byte, ver uint64) error
	Log  hclog.Logger
}

// Node joins the parts.
type Node struct {
	P     Params
	Peer  *peer.Peer
	Prop  *reg.Proposer
	Realm *realm.Realm
	Lic   *licence.Holder
	Board *news.Board
	Log   hclog.Logger

	wg sync.WaitGroup
}

// New builds a node; more handlers may be set before Start.
func New(p Params) *Node {
	n := &Node{P: p, Log: p.Log}
	n.Peer = peer.New(p.Self, p.Net, p.Xport, p.Log.Named("peer"))
	n.Prop = reg.NewProposer(n.Peer.Self.Inc, n.Peer.Call)
	n.Realm = realm.New(n.Prop, p.Keep)
	n.Lic = licence.NewHolder(p.Lic, n.Peer, n.Realm)
	n.Board = news.New(p.News, n.Peer, n.Lic.Members)
	n.Board.On("spec", func(i *wire.Item) error { return n.Realm.Apply(i.Seq, i.Body) })
	n.Peer.On(&wire.Req_Hello{}, n.hello)
	return n
}

func (n *Node) hello(context.Context, *wire.Req) (*wire.Resp, error) {
	v := n.Realm.Now()
	return &wire.Resp{Op: &wire.Resp_Hello{Hello: &wire.HelloAck{Self: n.Peer.Member(v.Ver), Formed: v.Ver > 0, Realm: v.Raw(), RealmVer: v.Ver}}}, nil
}

// Hello asks another process who it is and what realm it knows.
func (n *Node) Hello(ctx context.Context, addr string) (*wire.HelloAck, error) {
	r, err := n.Peer.CallFor(ctx, 500*time.Millisecond, addr, &wire.Req{Op: &wire.Req_Hello{Hello: &wire.Hello{}}})
	if err != nil {
		return nil, err
	}
	return r.GetHello(), nil
}

// Go runs a duty of this process in its own goroutine until ctx ends.
func (n *Node) Go(ctx context.Context, f func(context.Context)) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f(ctx)
	}()
}

// Wait returns once every duty has ended.
func (n *Node) Wait() { n.wg.Wait() }

// Find learns the realm's voters from the seeds.
func (n *Node) Find(ctx context.Context) error {
	for try := 0; ; try++ {
		for _, s := range n.P.Seeds {
			if h, err := n.Hello(ctx, s); err == nil && h.GetFormed() {
				if err := n.Realm.Apply(h.RealmVer, h.Realm); err == nil {
					return nil
				}
			}
		}
		if try%20 == 0 {
			n.Log.Info("waiting for a seed that knows the realm", "seeds", n.P.Seeds)
		}
		if !loop.Wait(ctx, 250*time.Millisecond) {
			return code.New(code.CoreAway, "no seed answered: %w", ctx.Err())
		}
	}
}

// Join gets a licence, and only then reads the spec at a majority: whatever is
// acknowledged later knows of this node, and whatever was earlier is read.
func (n *Node) Join(ctx context.Context) error {
	for try := 0; ; try++ {
		err := error(nil)
		if n.Lic.Renew(ctx) {
			if err = n.Realm.Read(ctx); err == nil {
				n.Log.Info("member", "spec", n.Realm.Now().Ver, "inc", n.Peer.Self.Inc)
				return nil
			}
		}
		if try%20 == 0 {
			n.Log.Info("waiting for a licence", "err", err)
		}
		if !loop.Wait(ctx, 250*time.Millisecond) {
			return code.New(code.CoreAway, "no licence: %w", ctx.Err())
		}
	}
}

// Run starts the standing duties.
func (n *Node) Run(ctx context.Context) {
	n.Go(ctx, n.Lic.Run)
	n.Go(ctx, n.Board.Run)
}
