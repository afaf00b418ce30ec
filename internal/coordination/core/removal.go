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

// folderOwner is a process with a data folder that stands for its identity.
type folderOwner struct {
	node *node.Node
	disk Disk
	// forget drops what the process remembers of its disk.
	forget func()
}

// WatchRemoval watches whether this machine must take a new identity: another machine
// replaced it while it was away, or its folder was put back from a copy. Where the sets are
// self-managed the machine then goes on with an empty folder and a new identity, and is
// admitted again as a newcomer. A machine that operators retired keeps its data as it is.
// forget drops what the process remembers of its disk.
func WatchRemoval(ctx context.Context, n *node.Node, d Disk, forget func()) {
	owner := &folderOwner{node: n, disk: d, forget: forget}
	loop.Every(ctx, removalCheckInterval, n.Cluster.Watch(), func(context.Context) {
		v := n.Cluster.Now()
		if !v.SelfManaged || slices.Contains(v.Retired, n.Peer.Self.Id) {
			return
		}
		switch {
		case n.Lease.FolderOutdated():
			_ = owner.replaceOutdated()
		case membership.Removed(&v.Cluster, n.Peer.Ident(), n.Peer.IdentityVersion()):
			_ = owner.replaceIdentity(v, "the identity was removed from the set", d.ReplaceIdentity)
		}
	})
}

// ReplaceOutdatedFolder has a process whose folder was put back from a copy take a new
// identity before it joins. What the folder holds is set aside, and a store takes it over
// as copies that are no votes.
func ReplaceOutdatedFolder(n *node.Node, d Disk, forget func()) {
	owner := &folderOwner{node: n, disk: d, forget: forget}
	n.ReplaceFolder = owner.replaceOutdated
}

func (o *folderOwner) replaceOutdated() error {
	err := o.replaceIdentity(
		o.node.Cluster.Now(),
		"the folder was put back from a copy",
		o.disk.ReplaceIdentityKeepingBlobs,
	)
	if err == nil {
		o.node.Lease.ResetFolder()
	}
	return err
}

// replaceIdentity has replace put the folder aside for one of a new identity, and goes on
// with that one under a view of the cluster.
func (o *folderOwner) replaceIdentity(v *cluster.View, why string, replace func(why string) error) error {
	n, was := o.node, o.node.Peer.Ident()
	// From here on nobody reaches the old identity; what is under way ends first.
	n.Peer.SetIdent("", 0)
	n.Gate.Drain()
	if err := replace(why); err != nil {
		n.Log.Error("no new identity", "err", err)
		return err
	}
	if o.forget != nil {
		o.forget()
	}
	if err := SaveIdentityVersion(n, o.disk, v.Version); err != nil {
		n.Log.Error("no new identity", "err", err)
		return err
	}
	if err := PersistCluster(o.disk.SaveMetadata)(v.Raw(), v.Version); err != nil {
		n.Log.Error("spec not saved", "err", err)
	}
	n.Peer.SetIdent(o.disk.Ident(), v.Version)
	n.Log.Warn("back under a new identity", "why", why, "was", was, "ident", o.disk.Ident())
	n.Lease.RenewNow()
	return nil
}
