package core

import (
	"context"
	"slices"
	"time"

	"damsontiller/internal/coordination/membership"
	"damsontiller/internal/coordination/node"
	"damsontiller/internal/transport/loop"
)

// WatchRemoval watches whether this machine's identity was removed from its set: another
// machine replaced it while it was away. Where the sets are self-managed the machine then
// goes on with an empty folder and a new identity, and is admitted again as a newcomer. A
// machine that operators retired keeps its data as it is. forget drops what the process
// remembers of its disk.
func WatchRemoval(ctx context.Context, n *node.Node, d Disk, forget func()) {
	loop.Every(ctx, 5*time.Second, n.Cluster.Watch(), func(context.Context) {
		v, was := n.Cluster.Now(), n.Peer.Ident()
		if !v.SelfManaged || !membership.Removed(&v.Cluster, was, n.Peer.IdentityVersion()) ||
			slices.Contains(v.Retired, n.Peer.Self.Id) {
			return
		}
		// From here on nobody reaches the old identity; what is under way ends first.
		n.Peer.SetIdent("", 0)
		n.Gate.Drain()
		if err := d.ReplaceIdentity("the identity was removed from the set"); err != nil {
			n.Log.Error("no new identity", "err", err)
			return
		}
		if forget != nil {
			forget()
		}
		if err := SaveIdentityVersion(n, d, v.Version); err != nil {
			n.Log.Error("no new identity", "err", err)
			return
		}
		if err := PersistCluster(d.SaveMetadata)(v.Raw(), v.Version); err != nil {
			n.Log.Error("spec not saved", "err", err)
		}
		n.Peer.SetIdent(d.Ident(), v.Version)
		n.Log.Warn("removed from the set, back under a new identity", "was", was, "ident", d.Ident())
		n.Lease.RenewNow()
	})
}
