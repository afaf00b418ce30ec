package peer

import (
	"context"

	"damsontiller/internal/coordination/admission"
	"damsontiller/internal/proto/keys"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport"
)

// classOf is the class by which a call is admitted.
func classOf(q *wire.Req) admission.Class {
	switch op := q.Op.(type) {
	case *wire.Req_Renew:
		return admission.Control
	case *wire.Req_Prep:
		return voteClass(op.Prep.GetKey())
	case *wire.Req_Acc, *wire.Req_AccCompressed:
		return voteClass(q.Accept().GetKey())
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

// voteClass tells votes of the cluster's register from those of callers' requests.
func voteClass(key string) admission.Class {
	if key == keys.Cluster {
		return admission.Control
	}
	return admission.Requests
}

// mayWait reports whether a call's handler may wait for other processes, and must end with
// its caller's time.
func mayWait(q *wire.Req) bool {
	switch q.Op.(type) {
	case *wire.Req_News, *wire.Req_Fill:
		return true
	}
	return false
}

// Processor is what a simulated machine serves calls with, one after another.
type Processor interface {
	// Run returns once so much work has been done, in bytes handled.
	Run(ctx context.Context, work int)
}

func (peer *Peer) process(ctx context.Context, work int) {
	if peer.Processor != nil {
		peer.Processor.Run(ctx, work)
	}
}

// What serving a call costs beside reading it, in bytes handled.
const callCost = 4 << 10

func readCost(call *transport.Call) int { return len(call.Body) }

func serveCost(call *transport.Call) int { return callCost + len(call.Body) }
