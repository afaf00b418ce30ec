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

// ServeRegister answers requests to the register while this identity is in the set. A machine that
// lost its disk has another identity and does not vote.
func ServeRegister(
	node *node.Node,
	acceptor *register.Acceptor,
	checkVersion func(*wire.Req) error,
	admitted func() []spec.Machine,
) {
	checkAdmitted := func() error {
		if id := node.Peer.Ident(); id == "" ||
			!slices.ContainsFunc(admitted(), func(m spec.Machine) bool { return m.Ident == id }) {
			return code.New(code.NotVoting, "%s is not admitted to the set", node.Peer.Self.Id)
		}
		return nil
	}
	handle := func(_ context.Context, request *wire.Req) (*wire.Resp, error) {
		// A request that the version of a newer set excludes is either rejected or on the disk by
		// the time another process asks for everything on this machine.
		defer node.Gate.Begin()()
		if !node.MayVote() {
			return nil, code.New(code.NotVoting, "%s has not joined yet", node.Peer.Self.Id)
		}
		if err := checkAdmitted(); err != nil {
			return nil, err
		}
		if err := checkVersion(request); err != nil {
			return nil, err
		}
		view, err := acceptor.Answer(request)
		return &wire.Resp{Op: &wire.Resp_View{View: view}}, err
	}
	for _, op := range []any{&wire.Req_Prep{}, &wire.Req_Acc{}, &wire.Req_AccCompressed{}, &wire.Req_Look{}} {
		node.Peer.Handle(op, handle)
	}
}

// CheckVersion rejects a request whose sender acts on an older spec than the latest that this
// machine has synced: a strict request after any change, other requests only after a change of the
// sets. An accept may finish what was begun under a promise.
func CheckVersion(node *node.Node, request *wire.Req) error {
	view := node.Cluster.Now()
	if membership.Stale(view, request.Spec) ||
		request.Strict && request.Accept() == nil && request.Spec > 0 && request.Spec < view.Version {
		return code.New(code.StaleSpec, "version %d, %s has %d", request.Spec, node.Peer.Self.Id, view.Version)
	}
	return nil
}

// drainAfterCoreChange waits, once after each change of the cores, until all requests admitted
// before are on the disk. Only then may this core confirm the change.
func (c *Core) drainAfterCoreChange() {
	version := c.Cluster.Now().CoresVersion
	if c.drainedVersion.Load() == version {
		return
	}
	c.Gate.Drain()
	c.drainedVersion.Store(version)
}

// checkCoresVersion rejects a request to the cores that acts on sets no longer valid: its majority
// could be one of the old set alone.
func (c *Core) checkCoresVersion(request *wire.Req) error {
	if view := c.Cluster.Now(); membership.StaleCores(view, request.Spec) {
		return code.New(code.StaleSpec, "version %d, the cores have changed with %d", request.Spec, view.CoresVersion)
	}
	return nil
}
