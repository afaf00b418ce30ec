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

// The first set is formed once. Every founder gives its identity, and version 1
// is chosen only by all of them: whatever is chosen is then on every founder's
// disk. One that loses its disk meanwhile comes with another identity, and any
// set that it could found with the others needs their word too, which is given
// already. So no two first sets can be, unless every founder's disk is lost.

// founder is where one of the first cores is; id is empty where only the address
// is given.
type founder struct{ addr, id string }

// founders are all who must agree to the first set; none where this machine is not
// one of them.
func (c *Core) founders() []founder {
	var out []founder
	if c.params.Bootstrap {
		for _, m := range c.params.Cores {
			out = append(out, founder{m.Addr, m.ID})
		}
		return out
	}
	if slices.Contains(c.params.InitialCoreAddrs, c.Peer.Self.Addr) {
		for _, a := range c.params.InitialCoreAddrs {
			out = append(out, founder{addr: a})
		}
	}
	return out
}

// bootstrap makes the first set, or finds the one that stands. Each founder must be
// empty and forming as well, or already belong to a set.
func (c *Core) bootstrap(ctx context.Context) error {
	fs := c.founders()
	me := slices.IndexFunc(fs, func(f founder) bool { return f.addr == c.Peer.Self.Addr })
	for try := 0; ; try++ {
		set, err := c.greetFounders(ctx, fs)
		if err != nil {
			return err
		}
		if c.Cluster.Now().Version > 0 {
			c.reconciler.founded = time.Now()
			return nil
		}
		if set != nil {
			c.Cluster.SetInitialVoters(set)
			// One proposes at a time, in the list's order, or they outbid each
			// other's ballots; the later ones only if the earlier ones don't.
			if try%max(len(fs), 1) == me {
				if err := c.proposeFirst(ctx, set); err != nil {
					c.Log.Info("first set not chosen yet", "err", err)
				} else {
					c.reconciler.founded = time.Now()
					return nil
				}
			}
		}
		if try%40 == 0 {
			c.Log.Info("forming, waiting for every founder", "founders", len(fs))
		}
		if !loop.Wait(ctx, 100*time.Millisecond) {
			return code.New(code.CoreUnreachable, "the set was not formed: %w", ctx.Err())
		}
	}
}

// greetFounders asks every founder who it is. It gives the set only where all are there
// and none belongs to a set yet; a set that stands is put in force here.
func (c *Core) greetFounders(ctx context.Context, fs []founder) ([]spec.Machine, error) {
	type greeting struct {
		i int
		h *wire.HelloAck
	}
	ch := make(chan greeting, len(fs))
	for i, f := range fs {
		go func() {
			if f.addr == c.Peer.Self.Addr {
				ch <- greeting{i, &wire.HelloAck{Self: c.Peer.Member(0)}}
				return
			}
			h, err := c.Hello(ctx, f.addr)
			if err != nil {
				h = nil
			}
			ch <- greeting{i, h}
		}()
	}
	set := make([]spec.Machine, len(fs))
	complete := true
	for range fs {
		m := <-ch
		f := fs[m.i]
		if m.h == nil {
			complete = false
			continue
		}
		s := m.h.Self
		if f.id != "" && s.GetId() != f.id {
			return nil, code.New(code.NotBootable, "%s says it is %q, the settings say %q", f.addr, s.GetId(), f.id)
		}
		if m.h.Formed {
			if err := c.Cluster.Apply(m.h.ClusterVer, m.h.Cluster); err != nil {
				return nil, err
			}
			complete = false
			continue
		}
		if s.GetRole() != "core" || s.GetIdent() == "" {
			complete = false
			continue
		}
		set[m.i] = spec.Machine{ID: s.Id, Addr: f.addr, Zone: s.Zone, Ident: s.Ident}
	}
	if v := c.Cluster.Now(); v.Version > 0 {
		// An operator who lists the set by name means this machine to be in it;
		// found by address alone it joins as a stranger and is taken in.
		if c.params.Bootstrap &&
			!slices.ContainsFunc(v.Cluster.Cores, func(m spec.Machine) bool { return m.Ident == c.Peer.Ident() }) {
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

// proposeFirst proposes version 1 to all founders; whichever machine is first, the others
// find it.
func (c *Core) proposeFirst(ctx context.Context, set []spec.Machine) error {
	re := spec.Cluster{
		Cores:       set,
		Stores:      c.params.Stores,
		Copies:      c.params.Copies,
		SelfManaged: !c.params.Bootstrap,
		CoresSince:  1,
		StoresSince: 1,
	}
	if c.params.Spec != nil {
		re.Spec = *c.params.Spec
	} else {
		re.Spec = spec.Bare(c.params.Zones)
	}
	raw, err := re.MarshalJSON()
	if err != nil {
		return err
	}
	// A group each: all of them are then the only quorum.
	var all register.Set
	for _, m := range set {
		all = append(all, []register.Replica{{Addr: m.Addr, Ident: m.Ident}})
	}
	ctx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	st, err := c.Proposer.Change(ctx, all, cluster.Key, func(s register.State) ([]byte, bool, error) {
		if s.Version > 0 {
			return nil, false, cluster.ErrNoChange
		}
		return raw, false, nil
	})
	if err != nil && !errors.Is(err, cluster.ErrNoChange) {
		return err
	}
	return c.Cluster.Apply(st.Version, st.Value)
}
