package core

import (
	"context"
	"slices"

	"damsontiller/internal/coordination/membership"
	"damsontiller/internal/coordination/node"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// ServeRegister answers the register's rounds, as long as this identity is in the set.
// A machine that lost its disk has another identity and stays out.
func ServeRegister(
	n *node.Node,
	a *register.Acceptor,
	checkVersion func(*wire.Req) error,
	set func() []spec.Machine,
) {
	ok := func() error {
		if id := n.Peer.Ident(); id == "" ||
			!slices.ContainsFunc(set(), func(m spec.Machine) bool { return m.Ident == id }) {
			return code.New(code.NotVoting, "%s is not admitted to the set", n.Peer.Self.Id)
		}
		return nil
	}
	answer := func(_ context.Context, q *wire.Req) (*wire.Resp, error) {
		// What a newer set's version shuts out is either refused or on the disk
		// by the time that somebody asks for all that is there.
		defer n.Gate.Begin()()
		if !n.MayVote() {
			return nil, code.New(code.NotVoting, "%s has not joined yet", n.Peer.Self.Id)
		}
		if err := ok(); err != nil {
			return nil, err
		}
		if err := checkVersion(q); err != nil {
			return nil, err
		}
		v, err := a.Answer(q)
		return &wire.Resp{Op: &wire.Resp_View{View: v}}, err
	}
	for _, op := range []any{&wire.Req_Prep{}, &wire.Req_Acc{}, &wire.Req_AccCompressed{}, &wire.Req_Look{}} {
		n.Peer.Handle(op, answer)
	}
}

// CheckVersion refuses a sender that acts on an older spec than the highest that this
// machine has synced: a strict one whatever has changed, any where the sets have.
// What was begun under a promise may be ended.
func CheckVersion(n *node.Node, q *wire.Req) error {
	v := n.Cluster.Now()
	if membership.Stale(v, q.Spec) || q.Strict && q.Accept() == nil && q.Spec > 0 && q.Spec < v.Version {
		return code.New(code.StaleSpec, "version %d, %s has %d", q.Spec, n.Peer.Self.Id, v.Version)
	}
	return nil
}

// drain waits, once after each change of the cores, until what was let in before is
// on the disk: only then may this core say that it has confirmed it.
func (c *Core) drain() {
	v := c.Cluster.Now().CoresVersion
	if c.drainedVersion.Load() == v {
		return
	}
	c.Gate.Drain()
	c.drainedVersion.Store(v)
}

// checkCoresVersion refuses whoever deals with the cores under sets that are no more: his
// majority could be one of the old set alone.
func (c *Core) checkCoresVersion(q *wire.Req) error {
	if v := c.Cluster.Now(); membership.StaleCores(v, q.Spec) {
		return code.New(code.StaleSpec, "version %d, the cores have changed with %d", q.Spec, v.CoresVersion)
	}
	return nil
}
