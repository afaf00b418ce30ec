package cluster

import (
	"context"

	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
)

// Hello asks another process who it is, and for the cluster that it has in force unless
// only the head is asked for. The answer's cluster is decompressed. An empty identity of
// the replica asks whoever is at its address.
func Hello(ctx context.Context, call wire.Caller, to register.Replica, q *wire.Hello) (*wire.HelloAck, error) {
	r, err := call(ctx, to.Addr, &wire.Req{Ident: to.Ident, Op: &wire.Req_Hello{Hello: q}})
	if err != nil {
		return nil, err
	}
	ack := r.GetHello()
	if len(ack.GetCompressedCluster()) > 0 {
		if ack.Cluster, err = wire.Decompress(ack.CompressedCluster); err != nil {
			return nil, err
		}
	}
	return ack, nil
}

// HelloAck is the answer to a hello, with the cluster in the form that it asks for.
func (v *View) HelloAck(self *wire.Member, q *wire.Hello) *wire.HelloAck {
	ack := &wire.HelloAck{Self: self, Formed: v.Version > 0, ClusterVer: v.Version}
	switch {
	case q.GetHead():
	case q.GetAcceptsCompressed() && len(v.raw) >= wire.CompressAbove:
		ack.CompressedCluster = v.compressed()
	default:
		ack.Cluster = v.raw
	}
	return ack
}
