package peer

import (
	"context"

	"damsontiller/internal/coordination/admission"
	"damsontiller/internal/proto/keys"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport"
)

// classOf returns the admission class of a request.
func classOf(request *wire.Req) admission.Class {
	switch op := request.Op.(type) {
	case *wire.Req_Renew:
		return admission.Control
	case *wire.Req_Prep:
		return voteClass(op.Prep.GetKey())
	case *wire.Req_Acc, *wire.Req_AccCompressed:
		return voteClass(request.Accept().GetKey())
	case *wire.Req_Look:
		return voteClass(op.Look.GetKey())
	case *wire.Req_News, *wire.Req_Digest, *wire.Req_Members, *wire.Req_Deal, *wire.Req_Tell, *wire.Req_Fill:
		return admission.Acknowledgements
	case *wire.Req_Hello:
		if op.Hello.GetHead() {
			return admission.Acknowledgements
		}
	case *wire.Req_List, *wire.Req_Sum, *wire.Req_Bulk:
		return admission.Bulk
	}
	return admission.Requests
}

// voteClass separates votes on the register of the cluster and reads of it from those of all other
// registers: a node that joins must be able to read the cluster however many have joined.
func voteClass(key string) admission.Class {
	if key == keys.Cluster {
		return admission.Control
	}
	return admission.Requests
}

// mayWait reports whether the handler of a request may wait for other processes. Such a handler
// has to end at the caller's deadline.
func mayWait(request *wire.Req) bool {
	switch request.Op.(type) {
	case *wire.Req_News, *wire.Req_Fill:
		return true
	}
	return false
}

// Processor models the processor of a simulated machine, which serves calls one at a time.
type Processor interface {
	// Run returns after an amount of work, given in bytes processed.
	Run(ctx context.Context, work int)
}

func (peer *Peer) process(ctx context.Context, work int) {
	if peer.Processor != nil {
		peer.Processor.Run(ctx, work)
	}
}

// callCost is the fixed cost of serving a call in addition to its size, in bytes processed.
const callCost = 4 << 10

func readCost(call *transport.Call) int { return len(call.Body) }

func serveCost(call *transport.Call) int { return callCost + len(call.Body) }
