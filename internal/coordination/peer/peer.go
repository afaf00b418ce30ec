// Package peer implements the endpoint of a process for calls between processes: its address,
// identity and incarnation, and the requests that it serves.
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

// Handler answers one kind of request. A nil response with a nil error stands for a successful
// response without content.
type Handler func(ctx context.Context, q *wire.Req) (*wire.Resp, error)

// Peer sends calls to other processes and serves theirs.
type Peer struct {
	raisedIncarnation atomic.Uint64 // 0 unless RaiseIncarnation was called
	Self              wire.Member   // as of the start; Member returns the current entry
	Partitions        *transport.Partitions
	Log               hclog.Logger

	client   *transport.Client
	net      transport.Net
	params   transport.Params
	handlers map[reflect.Type]Handler
	server   *transport.Server

	// Admission decides which calls are admitted under overload.
	Admission *admission.Controller
	// Processor, if set, models the processing time of calls. Simulations set it before Serve.
	Processor Processor

	ident        atomic.Pointer[identity]
	latestStarts sync.Map // highest incarnation seen, by address
}

// identity is the identity of the data folder, with the version of the cluster under which it
// was created.
type identity struct {
	name    string
	version uint64
}

// Ident returns the current identity of this process. It changes only when a machine that was
// removed from the cluster rejoins with a new identity.
func (peer *Peer) Ident() string { return peer.ident.Load().name }

// IdentityVersion returns the version of the cluster under which the identity was created.
func (peer *Peer) IdentityVersion() uint64 { return peer.ident.Load().version }

// SetIdent sets the identity of the process and the version of the cluster under which it was
// created. With an empty name, requests addressed to any identity are rejected.
func (peer *Peer) SetIdent(name string, version uint64) { peer.ident.Store(&identity{name, version}) }

// Incarnation returns the number of this start of the process; it is higher than those of
// earlier starts. It derives from the clock at the start, and is raised if the clock was
// behind.
func (peer *Peer) Incarnation() uint64 { return max(peer.Self.Inc, peer.raisedIncarnation.Load()) }

// RaiseIncarnation raises the incarnation above that of an earlier start.
func (peer *Peer) RaiseIncarnation(earlier uint64) {
	for {
		old := peer.raisedIncarnation.Load()
		if earlier < max(old, peer.Self.Inc) || peer.raisedIncarnation.CompareAndSwap(old, earlier+1) {
			return
		}
	}
}

// New returns a peer with a new incarnation. Handlers are set before Serve.
func New(self *wire.Member, n transport.Net, p transport.Params, log hclog.Logger) *Peer {
	partitions := &transport.Partitions{}
	peer := &Peer{
		Partitions: partitions,
		Log:        log,
		client:     transport.NewClient(n, p, partitions),
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

// Member returns an entry for this process in the list of members, with the spec version that
// it confirms.
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

// Handle sets the handler for requests whose Op has the same type as op.
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

// Close stops the server and closes all outgoing connections.
func (peer *Peer) Close() {
	if peer.server != nil {
		peer.server.Close()
	}
	peer.client.Close()
}

// Sent returns the number of calls sent.
func (peer *Peer) Sent() uint64 { return peer.client.Sent.Load() }

// answer runs admission control on a call and serves it.
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
	heldBytes := int64(len(call.Body))
	waited := time.Since(call.ReadAt)
	if err := peer.Admission.Admit(classOf(q), heldBytes, waited, time.Now()); err != nil {
		return wire.MustEncode(wire.ErrorResponse(err))
	}
	call.OnDone = func() { peer.Admission.Release(heldBytes) }
	if remaining := time.Duration(q.RemainingMs)*time.Millisecond - waited; q.RemainingMs > 0 {
		if remaining <= 0 {
			// The deadline of the caller has passed.
			peer.Admission.Expired()
			return nil
		}
		if mayWait(q) {
			var stop context.CancelFunc
			ctx, stop = context.WithTimeout(ctx, remaining)
			defer stop()
		}
	}
	peer.process(ctx, serveCost(call))
	b := peer.serve(ctx, q)
	peer.Admission.Hold(int64(len(b)))
	heldBytes += int64(len(b))
	return b
}

// serve answers an admitted call.
func (peer *Peer) serve(ctx context.Context, q *wire.Req) []byte {
	r, err := peer.dispatch(ctx, q)
	if err != nil {
		failure := wire.ErrorResponse(err)
		// An error response may carry data that the caller needs for its next attempt.
		if r != nil {
			failure.Op = r.Op
		}
		r = failure
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

// staleReadTimeout is the time without received data after which a connection to a process that
// has restarted is closed.
const staleReadTimeout = 250 * time.Millisecond

// observeStart records the incarnation of a caller. If the caller has restarted, a connection
// to its earlier incarnation may stay open until TCP detects the failure, because a machine
// without power sends no reset; observeStart closes it.
func (peer *Peer) observeStart(q *wire.Req) {
	if q.From == "" || q.Inc == 0 {
		return
	}
	if latest, ok := peer.latestStarts.Load(q.From); !ok || latest.(uint64) < q.Inc {
		peer.latestStarts.Store(q.From, q.Inc)
		if ok {
			peer.client.Drop(q.From, staleReadTimeout)
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

// Call sends a request and returns the response. It may return a response together with an
// error.
func (peer *Peer) Call(ctx context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
	q.Ver, q.From, q.Id, q.Inc = wire.Version, peer.Self.Addr, peer.Self.Id, peer.Incarnation()
	if deadline, ok := ctx.Deadline(); ok {
		q.RemainingMs = max(time.Until(deadline).Milliseconds(), 1)
	}
	body, err := wire.Encode(q)
	if err != nil {
		return nil, err
	}
	b, err := peer.client.Call(ctx, addr, body)
	if err != nil {
		return nil, err
	}
	r := &wire.Resp{}
	if err := wire.Decode(b, r); err != nil {
		return nil, err
	}
	return r, r.Err()
}

// CallWithTimeout is Call with a timeout.
func (peer *Peer) CallWithTimeout(ctx context.Context, d time.Duration, addr string, q *wire.Req) (*wire.Resp, error) {
	ctx, stop := context.WithTimeout(ctx, d)
	defer stop()
	return peer.Call(ctx, addr, q)
}
