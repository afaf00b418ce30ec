package core

import (
	"context"
	"maps"
	"slices"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/membership"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
)

// maintainTable keeps the table of leases bounded, and completes that of a core whose folder
// is newer than some of the leases.
func (c *Core) maintainTable(ctx context.Context) {
	v := c.Cluster.Now()
	if len(v.Cluster.Stores) > 0 {
		// Without stores there is no fence, and acknowledgements rest on the table.
		if err := c.table.RemoveDeparted(func(m *wire.Member) bool { return inSets(v, m) }); err != nil {
			c.Log.Warn("departed members not removed", "err", err)
		}
	}
	if c.table.Incomplete() {
		c.completeTable(ctx, v)
	}
}

// inSets reports whether a member is, or was under another identity, in a present or next
// set.
func inSets(v *cluster.View, m *wire.Member) bool {
	for _, s := range slices.Concat(v.Cluster.Cores, v.NextCores, v.Cluster.Stores, v.NextStores) {
		if s.Ident == m.Ident && m.Ident != "" || s.ID == m.Id && s.Addr == m.Addr {
			return true
		}
	}
	return false
}

// completeTable takes what all other cores list, where each of them lists everybody. Every
// lease was granted by a majority of the cores, so that one of the others at least knows of
// it. It is done only while this core is one of them and their set does not change: leases
// that were granted without it before are then listed, and later ones are granted by
// majorities of the same set.
func (c *Core) completeTable(ctx context.Context, v *cluster.View) {
	cores := v.Cluster.Cores
	if len(v.NextCores) > 0 || len(cores) < minCompleting || !membership.Has(cores, c.Peer.Ident()) {
		return
	}
	ctx, stop := context.WithTimeout(ctx, membersTimeout)
	defer stop()
	others := slices.DeleteFunc(v.Cores().All(), func(r register.Replica) bool { return r.Ident == c.Peer.Ident() })
	members := map[string]*wire.Member{}
	answers := c.askMembers(ctx, others)
	for range others {
		a := <-answers
		if a.err != nil || a.ack.GetIncomplete() {
			return
		}
		mergeMembers(members, a.ack.GetMembers())
	}
	if err := c.table.MarkComplete(slices.Collect(maps.Values(members))); err != nil {
		c.Log.Warn("members not recorded", "err", err)
		return
	}
	c.Log.Info("the table of leases lists everybody again", "members", len(members))
}

// minCompleting is the least number of cores of which all but one know of every lease.
const minCompleting = 3

// forget drops what this process remembers of its disk, which has been replaced by an empty
// one.
func (c *Core) forget() {
	c.acceptor.Reset()
	if err := c.table.PersistAll(); err != nil {
		c.Log.Warn("members not recorded", "err", err)
	}
}
