package core

import (
	"context"
	"slices"
	"time"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/membership"
	"damsontiller/internal/coordination/node"
	"damsontiller/internal/transport/loop"
)

// removalCheckInterval is the time between two checks for a removed identity, beside those
// at each new version of the cluster.
const removalCheckInterval = 5 * time.Second

// identityReplacer is a process with a data folder that stands for its identity.
type identityReplacer struct {
	node *node.Node
	disk Disk
	// resetDiskState drops what the process remembers of its disk.
	resetDiskState func()
}

// WatchRemoval watches whether this machine must take a new identity: another machine
// replaced it while it was away, or its folder was put back from a copy. Where the sets are
// self-managed the machine then goes on with an empty folder and a new identity, and is
// admitted again as a newcomer. A machine that operators retired keeps its data as it is.
// resetDiskState drops what the process remembers of its disk.
func WatchRemoval(ctx context.Context, n *node.Node, disk Disk, resetDiskState func()) {
	replacer := &identityReplacer{node: n, disk: disk, resetDiskState: resetDiskState}
	loop.Every(ctx, removalCheckInterval, n.Cluster.Watch(), func(context.Context) {
		view := n.Cluster.Now()
		if !view.SelfManaged || slices.Contains(view.Retired, n.Peer.Self.Id) {
			return
		}
		switch {
		case n.Lease.FolderOutdated():
			_ = replacer.replaceOutdated()
		case membership.Removed(&view.Cluster, n.Peer.Ident(), n.Peer.IdentityVersion()):
			_ = replacer.replaceIdentity(view, "the identity was removed from the set", disk.ReplaceIdentity)
		}
	})
}

// ReplaceOutdatedFolder has a process whose folder was put back from a copy take a new
// identity before it joins. What the folder holds is set aside, and a store takes it over
// as copies that are no votes.
func ReplaceOutdatedFolder(n *node.Node, disk Disk, resetDiskState func()) {
	replacer := &identityReplacer{node: n, disk: disk, resetDiskState: resetDiskState}
	n.ReplaceFolder = replacer.replaceOutdated
}

func (replacer *identityReplacer) replaceOutdated() error {
	err := replacer.replaceIdentity(
		replacer.node.Cluster.Now(),
		"the folder was put back from a copy",
		replacer.disk.SetAside,
	)
	if err == nil {
		replacer.node.Lease.ResetFolder()
	}
	return err
}

// replaceIdentity has replace put the folder aside for one of a new identity, and goes on
// with that one under a view of the cluster.
func (replacer *identityReplacer) replaceIdentity(
	view *cluster.View,
	why string,
	replace func(why string) error,
) error {
	n, oldIdent := replacer.node, replacer.node.Peer.Ident()
	// From here on nobody reaches the old identity; what is under way ends first.
	n.Peer.SetIdent("", 0)
	n.Gate.Drain()
	if err := replace(why); err != nil {
		n.Log.Error("no new identity", "err", err)
		return err
	}
	if replacer.resetDiskState != nil {
		replacer.resetDiskState()
	}
	if err := SaveIdentityVersion(n, replacer.disk, view.Version); err != nil {
		n.Log.Error("no new identity", "err", err)
		return err
	}
	if err := PersistCluster(replacer.disk.SaveMetadata)(view.Raw(), view.Version); err != nil {
		n.Log.Error("spec not saved", "err", err)
	}
	n.Peer.SetIdent(replacer.disk.Ident(), view.Version)
	n.Log.Warn("back under a new identity", "why", why, "was", oldIdent, "ident", replacer.disk.Ident())
	n.Lease.RenewNow()
	return nil
}
