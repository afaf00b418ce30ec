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

// removalCheckInterval is the time between two checks for a removed identity. The check also runs
// at each new version of the cluster.
const removalCheckInterval = 5 * time.Second

// identityReplacer replaces the identity of a process that has a data folder.
type identityReplacer struct {
	node *node.Node
	disk Disk
	// resetDiskState discards the state that the process caches from its disk.
	resetDiskState func()
}

// WatchRemoval checks whether this machine needs a new identity, because another machine replaced
// it during its absence or because its folder was restored from a backup. In self-managed sets the
// machine then continues with an empty folder and a new identity, and is admitted as a new machine.
// A machine retired by operators keeps its data unchanged. resetDiskState discards the state that
// the process caches from its disk.
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

// ReplaceOutdatedFolder makes a process whose folder was restored from a backup take a new identity
// before it joins. The contents of the folder are set aside, and a store adopts them as copies that
// do not count as votes.
func ReplaceOutdatedFolder(n *node.Node, disk Disk, resetDiskState func()) {
	replacer := &identityReplacer{node: n, disk: disk, resetDiskState: resetDiskState}
	n.ReplaceFolder = replacer.replaceOutdated
}

func (replacer *identityReplacer) replaceOutdated() error {
	err := replacer.replaceIdentity(
		replacer.node.Cluster.Now(),
		"the folder was restored from a backup",
		replacer.disk.ReplaceIdentityKeepingBlobs,
	)
	if err == nil {
		replacer.node.Lease.ResetFolder()
	}
	return err
}

// replaceIdentity calls replace to set the folder aside and create a new identity, and continues
// with that identity under the given view of the cluster.
func (replacer *identityReplacer) replaceIdentity(
	view *cluster.View,
	why string,
	replace func(why string) error,
) error {
	n, oldIdent := replacer.node, replacer.node.Peer.Ident()
	// From here on no request reaches the old identity; requests in progress finish first.
	n.Peer.SetIdent("", 0)
	n.Gate.Drain()
	if err := replace(why); err != nil {
		n.Log.Error("failed to create a new identity", "err", err)
		return err
	}
	if replacer.resetDiskState != nil {
		replacer.resetDiskState()
	}
	if err := SaveIdentityVersion(n, replacer.disk, view.Version); err != nil {
		n.Log.Error("failed to record the version of the new identity", "err", err)
		return err
	}
	if err := PersistCluster(replacer.disk.SaveMetadata)(view.Raw(), view.Version); err != nil {
		n.Log.Error("spec not saved", "err", err)
	}
	n.Peer.SetIdent(replacer.disk.Ident(), view.Version)
	n.Log.Warn("continuing under a new identity", "why", why, "was", oldIdent, "ident", replacer.disk.Ident())
	n.Lease.RenewNow()
	return nil
}
