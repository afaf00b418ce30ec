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

// The first set is formed only once. Every initial core reports its identity, and version 1 is
// chosen only by all of them, so the chosen value is on the disk of every initial core. A core that
// loses its disk in the meantime returns with another identity. Any set that it could form with the
// others also needs their votes, which they have already cast. Two different first sets are
// therefore impossible unless all initial cores lose their disks.

const (
	// bootstrapInterval is the time between two attempts to form the first set.
	bootstrapInterval = 100 * time.Millisecond
	// bootstrapLogAttempts is the number of attempts for each log line.
	bootstrapLogAttempts = 40
	// proposeTimeout bounds one proposal of the first version.
	proposeTimeout = time.Second
)

// initialCore is the address of a core of the first set; id is empty if only the address is
// configured.
type initialCore struct{ addr, id string }

// initialCores returns the cores that must all agree to the first set, or nil if this machine is
// not one of them.
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

// bootstrap forms the first set or finds the existing one. Each initial core must either be empty
// and forming a set too, or already belong to a set.
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
			// Only one core proposes per attempt, in list order, because concurrent proposals would
			// outbid each other's ballots. Later cores propose only if the earlier ones do not.
			if attempt%max(len(peers), 1) == selfIndex {
				if err := c.proposeFirstVersion(ctx, set); err != nil {
					c.Log.Info("first set not chosen yet", "err", err)
				} else {
					c.reconciler.bootstrappedAt = time.Now()
					return nil
				}
			}
		}
		if attempt%bootstrapLogAttempts == 0 {
			c.Log.Info("forming the first set, waiting for every initial core", "founders", len(peers))
		}
		if !loop.Wait(ctx, bootstrapInterval) {
			return code.New(code.CoreUnreachable, "the set was not formed: %w", ctx.Err())
		}
	}
}

// queryInitialCores sends a hello to every initial core. It returns the set only if all of them
// answer and none belongs to a set yet. If a set already exists, its version is put in force here.
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
		// An operator who lists the cores by name intends this machine to be one of them. A machine
		// that is configured with addresses only joins as a new machine and is admitted.
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

// proposeFirstVersion proposes version 1 to all initial cores. Whichever core succeeds first, the
// others read its value.
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
	// With one group for each core, the only quorum is all of them.
	var all register.Set
	for _, m := range set {
		all = append(all, []register.Replica{{Addr: m.Addr, Ident: m.Ident}})
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
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
