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

// maintainLeaseTable limits the size of the lease table, and completes the table of a core whose
// folder is newer than some of the leases.
func (c *Core) maintainLeaseTable(ctx context.Context) {
	view := c.Cluster.Now()
	if len(view.Cluster.Stores) > 0 {
		// Without stores there is no fence, and acknowledgements depend on the table.
		if err := c.table.RemoveDeparted(func(m *wire.Member) bool { return isInAnySet(view, m) }); err != nil {
			c.Log.Warn("failed to remove departed members", "err", err)
		}
	}
	if c.table.Incomplete() {
		c.completeLeaseTable(ctx, view)
	}
}

// isInAnySet reports whether a member is in a present or next set, under its present or another
// identity.
func isInAnySet(view *cluster.View, member *wire.Member) bool {
	for _, machine := range slices.Concat(view.Cluster.Cores, view.NextCores, view.Cluster.Stores, view.NextStores) {
		if machine.Ident == member.Ident && member.Ident != "" ||
			machine.ID == member.Id && machine.Addr == member.Addr {
			return true
		}
	}
	return false
}

// completeLeaseTable merges the members listed by all other cores, provided that each of those
// lists is complete. Every lease was granted by a majority of the cores, so at least one of the
// others knows it. This is done only while this core is in the set of cores and that set does not
// change: the lists then include all leases granted earlier without this core, and later leases are
// granted by majorities of the same set.
func (c *Core) completeLeaseTable(ctx context.Context, view *cluster.View) {
	cores := view.Cluster.Cores
	if len(view.NextCores) > 0 || len(cores) < minCoresToComplete || !membership.Has(cores, c.Peer.Ident()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, membersTimeout)
	defer cancel()
	others := slices.DeleteFunc(view.Cores().All(), func(r register.Replica) bool { return r.Ident == c.Peer.Ident() })
	members := map[string]*wire.Member{}
	answers := c.queryMembers(ctx, others)
	for range others {
		answer := <-answers
		if answer.err != nil || answer.ack.GetIncomplete() {
			return
		}
		mergeMembers(members, answer.ack.GetMembers())
	}
	if err := c.table.MarkComplete(slices.Collect(maps.Values(members))); err != nil {
		c.Log.Warn("failed to record members", "err", err)
		return
	}
	c.Log.Info("lease table is complete again", "members", len(members))
}

// minCoresToComplete is the smallest number of cores for which all cores but one know every lease.
const minCoresToComplete = 3

// resetDiskState discards the state that this process caches from its disk, which has been replaced
// by an empty one.
func (c *Core) resetDiskState() {
	c.acceptor.Reset()
	if err := c.table.PersistAll(); err != nil {
		c.Log.Warn("failed to record members", "err", err)
	}
}
