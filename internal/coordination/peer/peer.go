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

	"damsontiller/internal/coordination/admission"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport"
	"damsontiller/internal/transport/code"
)

// Handler answers one kind of request. A nil answer with a nil error is the
// bare good answer.
type Handler func(ctx context.Context, q *wire.Req) (*wire.Resp, error)

// Peer calls and is called.
type Peer struct {
	raisedIncarnation atomic.Uint64 // the number of this start, where it was raised
	Self              wire.Member   // as it was at start
	Partitions        *transport.Partitions
	Log               hclog.Logger

	hub      *transport.Hub
	net      transport.Net
	params   transport.Params
	handlers map[reflect.Type]Handler
	server   *transport.Server

	// Admission decides which calls are taken while there are more than can be served.
	Admission *admission.Controller
	// Processor, if set, is what calls wait for; simulations set it before Serve.
	Processor Processor

	ident  atomic.Pointer[identity]
	starts sync.Map // the latest start seen at each address
}

// identity is what the process's data folder stands for, and the version of the cluster
// that it was made under.
type identity struct {
	name    string
	version uint64
}

// Ident is the identity that this process has now. It changes only where a machine
// that was removed comes back as a stranger.
func (peer *Peer) Ident() string { return peer.ident.Load().name }

// IdentityVersion is the version of the cluster that the identity was made under.
func (peer *Peer) IdentityVersion() uint64 { return peer.ident.Load().version }

// SetIdent gives the process another identity, made under a version of the cluster;
// with none it answers to no name.
func (peer *Peer) SetIdent(name string, version uint64) { peer.ident.Store(&identity{name, version}) }

// Incarnation is the number of this start; a later start of the machine has a higher
// one. It follows the clock at the start, and is raised where that was behind.
func (peer *Peer) Incarnation() uint64 { return max(peer.Self.Inc, peer.raisedIncarnation.Load()) }

// RaiseIncarnation raises the number of this start above that of an earlier one.
func (peer *Peer) RaiseIncarnation(earlier uint64) {
	for {
		old := peer.raisedIncarnation.Load()
		if earlier < max(old, peer.Self.Inc) || peer.raisedIncarnation.CompareAndSwap(old, earlier+1) {
			return
		}
	}
}

// New makes a peer with a new incarnation. Handlers are set before Serve.
func New(self *wire.Member, n transport.Net, p transport.Params, log hclog.Logger) *Peer {
	c := &transport.Partitions{}
	peer := &Peer{
		Partitions: c,
		Log:        log,
		hub:        transport.NewHub(n, p, c),
		net:        n,
		params:     p,
		handlers:   map[reflect.Type]Handler{},
		Admission:  admission.New(admission.DefaultParams),
	}
	peer.Self = wire.Member{
		Id:    self.Id,
		Role:  self.Role,
		Addr:  self.Addr,
		Http:  self.Http,
		Zone:  self.Zone,
		Ident: self.Ident,
		Inc:   uint64(time.Now().UnixMilli())<<16 | uint64(rand.Uint32()&0xffff),
	}
	peer.SetIdent(self.Ident, self.IdentityVersion)
	return peer
}

// Member is a copy of the peer's own entry with the spec version it confirms.
func (peer *Peer) Member(specVer uint64) *wire.Member {
	s := &peer.Self
	id := peer.ident.Load()
	return &wire.Member{
		Id:              s.Id,
		Role:            s.Role,
		Addr:            s.Addr,
		Http:            s.Http,
		Zone:            s.Zone,
		Ident:           id.name,
		IdentityVersion: id.version,
		Inc:             peer.Incarnation(),
		SpecVer:         specVer,
	}
}

// Handle sets the handler for requests whose op has the type of op.
func (peer *Peer) Handle(op any, h Handler) { peer.handlers[reflect.TypeOf(op)] = h }

// Serve listens at the peer's address until Close.
func (peer *Peer) Serve(ctx context.Context) error {
	ln, err := peer.net.Listen(peer.Self.Addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	peer.server = transport.Serve(
		ctx,
		ln,
		peer.params,
		peer.answer,
		func(err error) { peer.Log.Warn("connection closed", "code", int(code.Of(err)), "why", code.Text(err)) },
	)
	return nil
}

// Close stops listening and calling.
func (peer *Peer) Close() {
	if peer.server != nil {
		peer.server.Close()
	}
	peer.hub.Close()
}

// Sent counts the calls made.
func (peer *Peer) Sent() uint64 { return peer.hub.Sent.Load() }

// answer admits a call and serves it.
func (peer *Peer) answer(ctx context.Context, call *transport.Call) []byte {
	q := &wire.Req{}
	if err := wire.Decode(call.Body, q); err != nil {
		return wire.MustEncode(wire.ErrorResponse(err))
	}
	if peer.Partitions.Has(q.From) {
		return nil
	}
	peer.observeStart(q)
	peer.process(ctx, readCost(call))
	held := int64(len(call.Body))
	waited := time.Since(call.ReadAt)
	if err := peer.Admission.Admit(classOf(q), held, waited, time.Now()); err != nil {
		return wire.MustEncode(wire.ErrorResponse(err))
	}
	call.OnDone = func() { peer.Admission.Release(held) }
	if left := time.Duration(q.RemainingMs)*time.Millisecond - waited; q.RemainingMs > 0 {
		if left <= 0 {
			// Its caller has given it up.
			peer.Admission.CountExpired()
			return nil
		}
		if mayWait(q) {
			var stop context.CancelFunc
			ctx, stop = context.WithTimeout(ctx, left)
			defer stop()
		}
	}
	peer.process(ctx, serveCost(call))
	b := peer.serve(ctx, q)
	peer.Admission.Reserve(int64(len(b)))
	held += int64(len(b))
	return b
}

// serve answers a call that was admitted.
func (peer *Peer) serve(ctx context.Context, q *wire.Req) []byte {
	r, err := peer.dispatch(ctx, q)
	if err != nil {
		f := wire.ErrorResponse(err)
		// A refusal may still carry what the caller needs to do better.
		if r != nil {
			f.Op = r.Op
		}
		r = f
	} else if r == nil {
		r = wire.OKResponse()
	}
	r.Ver = wire.Version
	b, err := wire.Encode(r)
	if err != nil {
		return wire.MustEncode(wire.ErrorResponse(err))
	}
	return b
}

// staleReadTimeout is for how long nothing is received on a connection to a process that has
// started anew since.
const staleReadTimeout = 250 * time.Millisecond

// observeStart records the start that a caller is of. What was sent to an earlier one may wait
// for long until the network notices: a machine without power refuses nothing.
func (peer *Peer) observeStart(q *wire.Req) {
	if q.From == "" || q.Inc == 0 {
		return
	}
	if o, ok := peer.starts.Load(q.From); !ok || o.(uint64) < q.Inc {
		peer.starts.Store(q.From, q.Inc)
		if ok {
			peer.hub.Drop(q.From, staleReadTimeout)
		}
	}
}

func (peer *Peer) dispatch(ctx context.Context, q *wire.Req) (*wire.Resp, error) {
	if q.Ver < wire.OldestVersion {
		return nil, code.New(code.WireVersion, "message version %d, oldest understood %d", q.Ver, wire.OldestVersion)
	}
	if id := peer.Ident(); q.Ident != "" && q.Ident != id {
		return nil, code.New(code.WrongIdentity, "%s has identity %s", peer.Self.Id, id)
	}
	h := peer.handlers[reflect.TypeOf(q.Op)]
	if h == nil {
		return nil, code.New(code.UnknownMessage, "%s does not serve %T", peer.Self.Role, q.Op)
	}
	return h(ctx, q)
}

// Call sends a request. The answer may come back beside a failure.
func (peer *Peer) Call(ctx context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
	q.Ver, q.From, q.Id, q.Inc = wire.Version, peer.Self.Addr, peer.Self.Id, peer.Incarnation()
	if deadline, ok := ctx.Deadline(); ok {
		q.RemainingMs = max(time.Until(deadline).Milliseconds(), 1)
	}
	body, err := wire.Encode(q)
	if err != nil {
		return nil, err
	}
	b, err := peer.hub.Call(ctx, addr, body)
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
func (peer *Peer) CallFor(ctx context.Context, d time.Duration, addr string, q *wire.Req) (*wire.Resp, error) {
	ctx, stop := context.WithTimeout(ctx, d)
	defer stop()
	return peer.Call(ctx, addr, q)
}
