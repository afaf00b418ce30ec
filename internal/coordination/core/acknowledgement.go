package core

import (
	"context"
	"slices"
	"time"

	"damsontiller/internal/coordination/membership"
	"damsontiller/internal/coordination/singleton"
	"damsontiller/internal/coordination/storeclient"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// broadcastSpec sends a version down the tree and gives the ids that took it.
func (c *Core) broadcastSpec(ctx context.Context, ver uint64, raw []byte) map[string]bool {
	confirmed := map[string]bool{}
	for _, id := range c.Broadcast.Publish(ctx, &wire.Item{Topic: "spec", Seq: ver, Body: raw}) {
		confirmed[id] = true
	}
	return confirmed
}

// knownMembers merges the members that a majority of core machines know: the newest
// start of each, its highest confirmation, its shortest time without contact.
func (c *Core) knownMembers(ctx context.Context) (map[string]*wire.Member, error) {
	set := c.Cluster.Now().Cores()
	ctx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	type answer struct {
		r   register.Replica
		ms  []*wire.Member
		err error
	}
	cores := set.All()
	ch := make(chan answer, len(cores))
	for _, m := range cores {
		go func() {
			r, err := c.Peer.Call(
				ctx,
				m.Addr,
				&wire.Req{Ident: m.Ident, Op: &wire.Req_Members{Members: &wire.MembersAsk{}}},
			)
			ch <- answer{m, r.GetMembers().GetMembers(), err}
		}()
	}
	all := map[string]*wire.Member{}
	answered := map[register.Replica]bool{}
	take := func(a answer) {
		if a.err != nil {
			return
		}
		answered[a.r] = true
		for _, m := range a.ms {
			k := m.Id + "@" + m.Addr
			o := all[k]
			if o == nil || m.Inc > o.Inc {
				all[k] = m
			} else if m.Inc == o.Inc {
				o.SpecVer = max(o.SpecVer, m.SpecVer)
				o.SilentMs = min(o.SilentMs, m.SilentMs)
				o.Live = o.Live || m.Live
			}
		}
	}
	// A lease is granted by a majority, so any majority knows of every node. The
	// others are given a moment more: they may have seen some later.
	var most <-chan time.Time
	for range cores {
		select {
		case a := <-ch:
			take(a)
		case <-most:
			return all, nil
		}
		if most == nil && set.Quorum(answered) {
			t := time.NewTimer(stragglerWait)
			defer t.Stop()
			most = t.C
		}
	}
	if !set.Quorum(answered) {
		return nil, code.New(code.CoreUnreachable, "%d of %d core machines answered", len(answered), len(cores))
	}
	return all, nil
}

// stragglerWait is how long a core machine that is slower than a majority is waited for.
const stragglerWait = 50 * time.Millisecond

// unconfirmed lists the nodes that could still act on a version older than ver. It
// is none where the stores are the fence: so many have confirmed that no key
// finds a majority below it, and what was looked at before is too old by now.
func (c *Core) unconfirmed(ctx context.Context, ver uint64, confirmed map[string]bool) ([]string, error) {
	all, err := c.knownMembers(ctx)
	if err != nil {
		return nil, err
	}
	// The fence's time runs while the unresponsive are asked for.
	var over <-chan time.Time
	if c.fencedByStores(all, ver, confirmed) {
		t := time.NewTimer(storeclient.ReadWindow)
		defer t.Stop()
		over = t.C
	}
	type probed struct {
		id  string
		yes bool
	}
	ch := make(chan probed, len(all))
	n := 0
	for _, m := range all {
		if m.SpecVer >= ver || confirmed[m.Id] {
			continue
		}
		n++
		go func() {
			// A refused port: the process has exited, and a new one reads the
			// spec at a majority before it serves.
			ch <- probed{m.Id, c.portRefused(ctx, m.Addr)}
		}()
	}
	out := []string{}
	for range n {
		select {
		case g := <-ch:
			if !g.yes {
				out = append(out, g.id)
			}
		case <-over:
			return []string{}, nil
		}
	}
	slices.Sort(out)
	if len(out) > 0 && over != nil {
		select {
		case <-over:
			return []string{}, nil
		case <-ctx.Done():
		}
	}
	return out, nil
}

// fencedByStores tells whether in neither set of stores could those that have not confirmed ver
// make a majority of some key's copies.
func (c *Core) fencedByStores(known map[string]*wire.Member, ver uint64, confirmed map[string]bool) bool {
	v := c.Cluster.Now()
	return membership.Fenced(&v.Cluster, func(m spec.Machine) bool {
		member := known[m.ID+"@"+m.Addr]
		return member.GetIdent() == m.Ident && (member.GetSpecVer() >= ver || confirmed[m.ID])
	})
}

func (c *Core) portRefused(ctx context.Context, addr string) bool {
	return singleton.PortRefused(ctx, c.Peer, addr)
}
