// Package peer is a process as its peers see it: one address, one identity,
// one incarnation, and the calls it answers.
package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport"
	"damsontiller/internal/transport/code"
)

// Handler answers one kind of request. A nil answer with a nil error is the
// bare good answer.
type Handler func(ctx context.Context, q *wire.Req) (*wire.Resp, error)

// Peer calls and is called.
type Peer struct {
	raised atomic.Uint64 // the number of this start, where it was raised
	Self   wire.Member   // as it was at start
	Cuts   *transport.Cuts
	Log    hclog.Logger

	hub *transport.Hub
	net transport.Net
	p   transport.Params
	on  map[reflect.Type]Handler
	srv *transport.Server

	ident  atomic.Pointer[identity]
	starts sync.Map // the latest start heard of at each address
}

// identity is what the process's data folder stands for, and the version of the cluster
// that it was made under.
type identity struct {
	name    string
	version uint64
}

// Ident is the identity that this process has now. It changes only where a machine
// that was let go comes back as a stranger.
func (p *Peer) Ident() string { return p.ident.Load().name }

// IdentityVersion is the version of the cluster that the identity was made under.
func (p *Peer) IdentityVersion() uint64 { return p.ident.Load().version }

// SetIdent gives the process another identity, made under a version of the cluster;
// with none it answers to no name.
func (p *Peer) SetIdent(name string, version uint64) { p.ident.Store(&identity{name, version}) }

// Incarnation is the number of this start; a later start of the machine has a higher
// one. It follows the clock at the start, and is raised where that was behind.
func (p *Peer) Incarnation() uint64 { return max(p.Self.Inc, p.raised.Load()) }

// Overtake raises the number of this start above that of an earlier one.
func (p *Peer) Overtake(earlier uint64) {
	for {
		old := p.raised.Load()
		if earlier < max(old, p.Self.Inc) || p.raised.CompareAndSwap(old, earlier+1) {
			return
		}
	}
}

// New makes a peer with a fresh incarnation. Handlers are set before Serve.
func New(self *wire.Member, n transport.Net, p transport.Params, log hclog.Logger) *Peer {
	c := &transport.Cuts{}
	pr := &Peer{Cuts: c, Log: log, hub: transport.NewHub(n, p, c), net: n, p: p, on: map[reflect.Type]Handler{}}
	pr.Self = wire.Member{Id: self.Id, Role: self.Role, Addr: self.Addr, Http: self.Http, Zone: self.Zone, Ident: self.Ident,
		Inc: uint64(time.Now().UnixMilli())<<16 | uint64(rand.Uint32()&0xffff)}
	pr.SetIdent(self.Ident, self.IdentityVersion)
	return pr
}

// Member is a copy of the peer's own entry with the spec version it confirms.
func (p *Peer) Member(specVer uint64) *wire.Member {
	s := &p.Self
	id := p.ident.Load()
	return &wire.Member{Id: s.Id, Role: s.Role, Addr: s.Addr, Http: s.Http, Zone: s.Zone, Ident: id.name, IdentityVersion: id.version, Inc: p.Incarnation(), SpecVer: specVer}
}

// On sets the handler for requests whose op has the type of op.
func (p *Peer) On(op any, h Handler) { p.on[reflect.TypeOf(op)] = h }

// Serve listens at the peer's address until Close.
func (p *Peer) Serve(ctx context.Context) error {
	ln, err := p.net.Listen(p.Self.Addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	p.srv = transport.Serve(ctx, ln, p.p, p.answer, func(err error) { p.Log.Warn("connection let go", "code", int(code.Of(err)), "why", code.Text(err)) })
	return nil
}

// Close stops listening and calling.
func (p *Peer) Close() {
	if p.srv != nil {
		p.srv.Close()
	}
	p.hub.Close()
}

// Sent counts the calls made.
func (p *Peer) Sent() uint64 { return p.hub.Sent.Load() }

func (p *Peer) answer(ctx context.Context, body []byte) []byte {
	q := &wire.Req{}
	if err := wire.Decode(body, q); err != nil {
		return wire.Encode(wire.Fail(err))
	}
	if p.Cuts.Has(q.From) {
		return nil
	}
	p.met(q)
	r, err := p.dispatch(ctx, q)
	if err != nil {
		f := wire.Fail(err)
		// A refusal may still carry what the caller needs to do better.
		if r != nil {
			f.Op = r.Op
		}
		r = f
	} else if r == nil {
		r = wire.Done()
	}
	r.Ver = wire.Version
	b, err := wire.TryEncode(r)
	if err != nil {
		return wire.Encode(wire.Fail(err))
	}
	return b
}

// stale is for how long nothing is heard on a connection to a process that has
// started anew since.
const stale = 250 * time.Millisecond

// met notes the start that a caller is of. What was sent to an earlier one may wait
// for long until the network notices: a machine without power refuses nothing.
func (p *Peer) met(q *wire.Req) {
	if q.From == "" || q.Inc == 0 {
		return
	}
	if o, ok := p.starts.Load(q.From); !ok || o.(uint64) < q.Inc {
		p.starts.Store(q.From, q.Inc)
		if ok {
			p.hub.Drop(q.From, stale)
		}
	}
}

func (p *Peer) dispatch(ctx context.Context, q *wire.Req) (*wire.Resp, error) {
	if q.Ver < wire.Oldest {
		return nil, code.New(code.WireVersion, "message version %d, oldest understood %d", q.Ver, wire.Oldest)
	}
	if id := p.Ident(); q.Ident != "" && q.Ident != id {
		return nil, code.New(code.WrongIdentity, "%s has identity %s", p.Self.Id, id)
	}
	h := p.on[reflect.TypeOf(q.Op)]
	if h == nil {
		return nil, code.New(code.UnknownMsg, "%s does not serve %T", p.Self.Role, q.Op)
	}
	return h(ctx, q)
}

// Call sends a request. The answer may come back beside a failure.
func (p *Peer) Call(ctx context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
	q.Ver, q.From, q.Id, q.Inc = wire.Version, p.Self.Addr, p.Self.Id, p.Incarnation()
	body, err := wire.TryEncode(q)
	if err != nil {
		return nil, err
	}
	b, err := p.hub.Call(ctx, addr, body)
	if err != nil {
		return nil, err
	}
	r := &wire.Resp{}
	if err := wire.Decode(b, r); err != nil {
		return nil, err
	}
	return r, r.Err()
}

// CallFor is Call with a deadline of its own.
func (p *Peer) CallFor(ctx context.Context, d time.Duration, addr string, q *wire.Req) (*wire.Resp, error) {
	ctx, stop := context.WithTimeout(ctx, d)
	defer stop()
	return p.Call(ctx, addr, q)
}
