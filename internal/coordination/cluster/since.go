package cluster

import (
	"slices"

	"damsontiller/internal/proto/spec"
)

// Edit makes f's change of a cluster whose next version is ver, and writes into the
// cluster which version last changed each of its sets. So every process knows the same
// one, also a process that never saw the versions in between, and two changes between
// the same sets can be distinguished.
func Edit(cluster *spec.Cluster, version uint64, edit func(*spec.Cluster) error) error {
	cores, nextCores := slices.Clone(cluster.Cores), slices.Clone(cluster.NextCores)
	stores, nextStores := slices.Clone(cluster.Stores), slices.Clone(cluster.NextStores)
	if err := edit(cluster); err != nil {
		return err
	}
	pruneRemovedIdentities(cluster, version)
	pruneSpareIdentities(cluster)
	if !slices.Equal(cores, cluster.Cores) || !slices.Equal(nextCores, cluster.NextCores) {
		cluster.CoresSince = version
	}
	if !slices.Equal(stores, cluster.Stores) || !slices.Equal(nextStores, cluster.NextStores) {
		cluster.StoresSince = version
	}
	return nil
}

// MaxRemovedIdentities is how many identities that were removed are listed at the most.
const MaxRemovedIdentities = 64

// pruneRemovedIdentities cuts the list of identities that were removed. All that were ever in a set
// were made under a lower version than the one of the cut, and are refused by that from
// then on: see package membership.
func pruneRemovedIdentities(cluster *spec.Cluster, version uint64) {
	if len(cluster.Used) > MaxRemovedIdentities {
		cluster.Used, cluster.IdentityFloor = nil, version
	}
}

// pruneSpareIdentities keeps of those that were admitted beside the others only who is in a set.
func pruneSpareIdentities(cluster *spec.Cluster) {
	all := slices.Concat(cluster.Cores, cluster.NextCores, cluster.Stores, cluster.NextStores)
	cluster.Spares = slices.DeleteFunc(cluster.Spares, func(ident string) bool {
		return !slices.ContainsFunc(all, func(m spec.Machine) bool { return m.Ident == ident })
	})
}

// storesSince is the version since which the sets of stores are these. Where the
// register doesn't say, it is the first version that this process has seen them at.
func storesSince(previous, view *View) uint64 {
	if view.StoresSince > 0 {
		return view.StoresSince
	}
	if previous.Version > 0 && slices.Equal(previous.Cluster.Stores, view.Cluster.Stores) &&
		slices.Equal(previous.NextStores, view.NextStores) {
		return previous.StoresVersion
	}
	return view.Version
}

// coresSince is the same for the sets of cores.
func coresSince(previous, view *View) uint64 {
	if view.CoresSince > 0 {
		return view.CoresSince
	}
	if previous.Version > 0 && slices.Equal(previous.Cluster.Cores, view.Cluster.Cores) &&
		slices.Equal(previous.NextCores, view.NextCores) {
		return previous.CoresVersion
	}
	return view.Version
}
