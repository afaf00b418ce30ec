package core

import (
	"context"
	"errors"
	"slices"
	"time"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// The first set is formed once. Every initialCore gives its identity, and version 1
// is chosen only by all of them: whatever is chosen is then on every initialCore's
// disk. One that loses its disk meanwhile comes with another identity, and any
// set that it could found with the others needs their word too, which is given
// already. So no two first sets can be, unless every initialCore's disk is lost.

// initialCore is where one of the first cores is; id is empty where only the address
// is given.
type initialCore struct{ addr, id string }

// founders are all who must agree to the first set; none where this machine is not
// one of them.
func (c *Core) initialCores() []initialCore {
	var cores []initialCore
	if c.params.Bootstrap {
		for _, m := range c.params.Cores {
			cores = append(cores, initialCore{m.Addr, m.ID})
		}
		return cores
	}
	if slices.Contains(c.params.InitialCoreAddrs, c.Peer.Self.Addr) {
		for _, addr := range c.params.InitialCoreAddrs {
			cores = append(cores, initialCore{addr: addr})
		}
	}
	return cores
}

// bootstrap makes the first set, or finds the one that stands. Each initialCore must be
// empty and forming as well, or already belong to a set.
func (c *Core) bootstrap(ctx context.Context) error {
	peers := c.initialCores()
	selfIndex := slices.IndexFunc(peers, func(peer initialCore) bool { return peer.addr == c.Peer.Self.Addr })
	for attempt := 0; ; attempt++ {
		set, err := c.queryInitialCores(ctx, peers)
		if err != nil {
			return err
		}
		if c.Cluster.Now().Version > 0 {
			c.reconciler.bootstrappedAt = time.Now()
			return nil
		}
		if set != nil {
			c.Cluster.SetInitialVoters(set)
			// One proposes at a time, in the list's order, or they outbid each
			// other's ballots; the later ones only if the earlier ones don't.
			if attempt%max(len(peers), 1) == selfIndex {
				if err := c.proposeFirstVersion(ctx, set); err != nil {
					c.Log.Info("first set not chosen yet", "err", err)
				} else {
					c.reconciler.bootstrappedAt = time.Now()
					return nil
				}
			}
		}
		if attempt%40 == 0 {
			c.Log.Info("forming, waiting for every founder", "founders", len(peers))
		}
		if !loop.Wait(ctx, 100*time.Millisecond) {
			return code.New(code.CoreUnreachable, "the set was not formed: %w", ctx.Err())
		}
	}
}

// queryInitialCores asks every initialCore who it is. It gives the set only where all are there
// and none belongs to a set yet; a set that stands is put in force here.
func (c *Core) queryInitialCores(ctx context.Context, peers []initialCore) ([]spec.Machine, error) {
	type helloReply struct {
		index int
		ack   *wire.HelloAck
	}
	replies := make(chan helloReply, len(peers))
	for i, peer := range peers {
		go func() {
			if peer.addr == c.Peer.Self.Addr {
				replies <- helloReply{i, &wire.HelloAck{Self: c.Peer.Member(0)}}
				return
			}
			ack, err := c.Hello(ctx, peer.addr)
			if err != nil {
				ack = nil
			}
			replies <- helloReply{i, ack}
		}()
	}
	set := make([]spec.Machine, len(peers))
	complete := true
	for range peers {
		reply := <-replies
		peer := peers[reply.index]
		if reply.ack == nil {
			complete = false
			continue
		}
		self := reply.ack.Self
		if peer.id != "" && self.GetId() != peer.id {
			return nil, code.New(
				code.NotBootable,
				"%s says it is %q, the settings say %q",
				peer.addr,
				self.GetId(),
				peer.id,
			)
		}
		if reply.ack.Formed {
			if err := c.Cluster.Apply(reply.ack.ClusterVer, reply.ack.Cluster); err != nil {
				return nil, err
			}
			complete = false
			continue
		}
		if self.GetRole() != "core" || self.GetIdent() == "" {
			complete = false
			continue
		}
		set[reply.index] = spec.Machine{ID: self.Id, Addr: peer.addr, Zone: self.Zone, Ident: self.Ident}
	}
	if view := c.Cluster.Now(); view.Version > 0 {
		// An operator who lists the set by name means this machine to be in it;
		// found by address alone it joins as a stranger and is taken in.
		if c.params.Bootstrap &&
			!slices.ContainsFunc(view.Cluster.Cores, func(m spec.Machine) bool { return m.Ident == c.Peer.Ident() }) {
			return nil, code.New(
				code.NotBootable,
				"a set stands already and does not know this identity: start without -bootstrap and have it admitted",
			)
		}
		return nil, nil
	}
	if !complete {
		return nil, nil
	}
	return set, nil
}

// proposeFirstVersion proposes version 1 to all founders; whichever machine is first, the others
// find it.
func (c *Core) proposeFirstVersion(ctx context.Context, set []spec.Machine) error {
	first := spec.Cluster{
		Cores:       set,
		Stores:      c.params.Stores,
		Copies:      c.params.Copies,
		SelfManaged: !c.params.Bootstrap,
		CoresSince:  1,
		StoresSince: 1,
	}
	if c.params.Spec != nil {
		first.Spec = *c.params.Spec
	} else {
		first.Spec = spec.Bare(c.params.Zones)
	}
	raw, err := first.MarshalJSON()
	if err != nil {
		return err
	}
	// A group each: all of them are then the only quorum.
	var all register.Set
	for _, m := range set {
		all = append(all, []register.Replica{{Addr: m.Addr, Ident: m.Ident}})
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	state, err := c.Proposer.Change(ctx, all, cluster.Key, func(current register.State) ([]byte, bool, error) {
		if current.Version > 0 {
			return nil, false, cluster.ErrNoChange
		}
		return raw, false, nil
	})
	if err != nil && !errors.Is(err, cluster.ErrNoChange) {
		return err
	}
	return c.Cluster.Apply(state.Version, state.Value)
}
