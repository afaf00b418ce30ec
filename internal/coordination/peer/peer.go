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
type Handler func(ctx context.Context, request *wire.Req) (*wire.Resp, error)

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
func New(self *wire.Member, network transport.Net, params transport.Params, log hclog.Logger) *Peer {
	partitions := &transport.Partitions{}
	admissionParams := admission.DefaultParams
	if params.MaxHeldBytes > 0 {
		admissionParams.MaxBytes = min(admissionParams.MaxBytes, params.MaxHeldBytes)
	}
	peer := &Peer{
		Partitions: partitions,
		Log:        log,
		client:     transport.NewClient(network, params, partitions),
		net:        network,
		params:     params,
		handlers:   map[reflect.Type]Handler{},
		Admission:  admission.New(admissionParams),
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
	self := &peer.Self
	id := peer.ident.Load()
	return &wire.Member{
		Id:              self.Id,
		Role:            self.Role,
		Addr:            self.Addr,
		Http:            self.Http,
		Zone:            self.Zone,
		Ident:           id.name,
		IdentityVersion: id.version,
		Inc:             peer.Incarnation(),
		SpecVer:         specVer,
	}
}

// Handle sets the handler for requests whose Op has the same type as op.
func (peer *Peer) Handle(op any, handler Handler) { peer.handlers[reflect.TypeOf(op)] = handler }

// Serve listens at the peer's address until Close.
func (peer *Peer) Serve(ctx context.Context) error {
	listener, err := peer.net.Listen(peer.Self.Addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	peer.server = transport.Serve(
		ctx,
		listener,
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

// LastReceived returns when data was last received from the process at addr, in answer to any call.
// It is zero if there is no connection to it.
func (peer *Peer) LastReceived(addr string) time.Time { return peer.client.LastReceived(addr) }

// answer runs admission control on a call and serves it.
func (peer *Peer) answer(ctx context.Context, call *transport.Call) []byte {
	request := &wire.Req{}
	if err := wire.Decode(call.Body, request); err != nil {
		return wire.MustEncode(wire.ErrorResponse(err))
	}
	if peer.Partitions.Has(request.From) {
		return nil
	}
	peer.observeStart(request)
	peer.process(ctx, readCost(call))
	heldBytes := int64(len(call.Body))
	waited := time.Since(call.ReadAt)
	if err := peer.Admission.Admit(classOf(request), heldBytes, waited, time.Now()); err != nil {
		return wire.MustEncode(wire.ErrorResponse(err))
	}
	call.OnDone = func() { peer.Admission.Release(heldBytes) }
	if remaining := time.Duration(request.RemainingMs)*time.Millisecond - waited; request.RemainingMs > 0 {
		if remaining <= 0 {
			// The deadline of the caller has passed.
			peer.Admission.CountExpired()
			return nil
		}
		if mayWait(request) {
			var stop context.CancelFunc
			ctx, stop = context.WithTimeout(ctx, remaining)
			defer stop()
		}
	}
	peer.process(ctx, serveCost(call))
	answer := peer.serve(ctx, request)
	peer.Admission.Reserve(int64(len(answer)))
	heldBytes += int64(len(answer))
	return answer
}

// serve answers an admitted call.
func (peer *Peer) serve(ctx context.Context, request *wire.Req) []byte {
	response, err := peer.dispatch(ctx, request)
	if err != nil {
		failure := wire.ErrorResponse(err)
		// An error response may carry data that the caller needs for its next attempt.
		if response != nil {
			failure.Op = response.Op
		}
		response = failure
	} else if response == nil {
		response = wire.OKResponse()
	}
	response.Ver = wire.Version
	answer, err := wire.Encode(response)
	if err != nil {
		return wire.MustEncode(wire.ErrorResponse(err))
	}
	return answer
}

// staleReadTimeout is the time without received data after which a connection to a process that
// has restarted is closed.
const staleReadTimeout = 250 * time.Millisecond

// observeStart records the incarnation of a caller. If the caller has restarted, a connection
// to its earlier incarnation may stay open until TCP detects the failure, because a machine
// without power sends no reset; observeStart closes it.
func (peer *Peer) observeStart(request *wire.Req) {
	if request.From == "" || request.Inc == 0 {
		return
	}
	if latest, ok := peer.latestStarts.Load(request.From); !ok || latest.(uint64) < request.Inc {
		peer.latestStarts.Store(request.From, request.Inc)
		if ok {
			peer.client.Drop(request.From, staleReadTimeout)
		}
	}
}

// dispatch checks the version and the addressee of a request and calls its handler.
func (peer *Peer) dispatch(ctx context.Context, request *wire.Req) (*wire.Resp, error) {
	if request.Ver < wire.OldestVersion {
		return nil, code.New(
			code.WireVersion,
			"message version %d, oldest understood %d",
			request.Ver,
			wire.OldestVersion,
		)
	}
	if id := peer.Ident(); request.Ident != "" && request.Ident != id {
		return nil, code.New(code.WrongIdentity, "%s has identity %s", peer.Self.Id, id)
	}
	handler := peer.handlers[reflect.TypeOf(request.Op)]
	if handler == nil {
		return nil, code.New(code.UnknownMessage, "%s does not serve %T", peer.Self.Role, request.Op)
	}
	return handler(ctx, request)
}

// Call sends a request and returns the response. It may return a response together with an
// error.
func (peer *Peer) Call(ctx context.Context, addr string, request *wire.Req) (*wire.Resp, error) {
	request.Ver, request.From, request.Id, request.Inc = wire.Version, peer.Self.Addr, peer.Self.Id, peer.Incarnation()
	if deadline, ok := ctx.Deadline(); ok {
		request.RemainingMs = max(time.Until(deadline).Milliseconds(), 1)
	}
	body, err := wire.Encode(request)
	if err != nil {
		return nil, err
	}
	answer, err := peer.client.Call(ctx, addr, body)
	if err != nil {
		return nil, err
	}
	response := &wire.Resp{}
	if err := wire.Decode(answer, response); err != nil {
		return nil, err
	}
	return response, response.Err()
}

// CallWithTimeout is Call with a timeout.
func (peer *Peer) CallWithTimeout(
	ctx context.Context,
	timeout time.Duration,
	addr string,
	request *wire.Req,
) (*wire.Resp, error) {
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	return peer.Call(ctx, addr, request)
}
