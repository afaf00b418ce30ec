package cluster

import (
	"context"

	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
)

// Hello asks another process for its identity, and for the cluster that it has in force unless the
// request is for the head only. The cluster in the answer is decompressed. If the replica has no
// identity, any process at its address may answer.
func Hello(ctx context.Context, call wire.Caller, replica register.Replica, hello *wire.Hello) (*wire.HelloAck, error) {
	response, err := call(ctx, replica.Addr, &wire.Req{Ident: replica.Ident, Op: &wire.Req_Hello{Hello: hello}})
	if err != nil {
		return nil, err
	}
	ack := response.GetHello()
	if len(ack.GetCompressedCluster()) > 0 {
		if ack.Cluster, err = wire.Decompress(ack.CompressedCluster); err != nil {
			return nil, err
		}
	}
	return ack, nil
}

// HelloAck is the answer to a hello, with the cluster in the form that the hello accepts.
func (view *View) HelloAck(self *wire.Member, hello *wire.Hello) *wire.HelloAck {
	ack := &wire.HelloAck{Self: self, Formed: view.Version > 0, ClusterVer: view.Version}
	switch {
	case hello.GetHead():
	case hello.GetAcceptsCompressed() && len(view.raw) >= wire.CompressAbove:
		ack.CompressedCluster = view.compressed()
	default:
		ack.Cluster = view.raw
	}
	return ack
}
