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

// maintainLeaseTable keeps the table of leases bounded, and completes that of a core whose folder
// is newer than some of the leases.
func (c *Core) maintainLeaseTable(ctx context.Context) {
	view := c.Cluster.Now()
	if len(view.Cluster.Stores) > 0 {
		// Without stores there is no fence, and acknowledgements rest on the table.
		if err := c.table.RemoveDeparted(func(m *wire.Member) bool { return isInAnySet(view, m) }); err != nil {
			c.Log.Warn("departed members not removed", "err", err)
		}
	}
	if c.table.Incomplete() {
		c.completeLeaseTable(ctx, view)
	}
}

// isInAnySet reports whether a member is, or was under another identity, in a present or next
// set.
func isInAnySet(view *cluster.View, member *wire.Member) bool {
	for _, machine := range slices.Concat(view.Cluster.Cores, view.NextCores, view.Cluster.Stores, view.NextStores) {
		if machine.Ident == member.Ident && member.Ident != "" ||
			machine.ID == member.Id && machine.Addr == member.Addr {
			return true
		}
	}
	return false
}

// completeLeaseTable takes what all other cores list, where each of them lists everybody. Every
// lease was granted by a majority of the cores, so that one of the others at least knows of
// it. It is done only while this core is one of them and their set does not change: leases
// that were granted without it before are then listed, and later ones are granted by
// majorities of the same set.
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
	if err := c.table.Complete(slices.Collect(maps.Values(members))); err != nil {
		c.Log.Warn("members not recorded", "err", err)
		return
	}
	c.Log.Info("the table of leases lists everybody again", "members", len(members))
}

// minCoresToComplete is the least number of cores of which all but one know of every lease.
const minCoresToComplete = 3

// resetDiskState drops what this process remembers of its disk, which has been replaced by an empty
// one.
func (c *Core) resetDiskState() {
	c.acceptor.Reset()
	if err := c.table.Rerecord(); err != nil {
		c.Log.Warn("members not recorded", "err", err)
	}
}
