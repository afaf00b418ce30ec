package cluster

import (
	"slices"

	"damsontiller/internal/proto/spec"
)

// Edit applies edit to a cluster whose next version is given, and records in the cluster which
// version last changed each of its sets. This makes the version the same on every process,
// including one that has not seen the versions in between, and two changes between the same sets
// can be distinguished.
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

// MaxRemovedIdentities is the maximum number of removed identities to list.
const MaxRemovedIdentities = 64

// pruneRemovedIdentities clears the list of removed identities if it is too long. All identities
// that were ever in a set were created under a lower version than the new floor, and are rejected
// because of it from then on (see package membership).
func pruneRemovedIdentities(cluster *spec.Cluster, version uint64) {
	if len(cluster.Used) > MaxRemovedIdentities {
		cluster.Used, cluster.IdentityFloor = nil, version
	}
}

// pruneSpareIdentities drops the spare identities that are no longer in any set.
func pruneSpareIdentities(cluster *spec.Cluster) {
	all := slices.Concat(cluster.Cores, cluster.NextCores, cluster.Stores, cluster.NextStores)
	cluster.Spares = slices.DeleteFunc(cluster.Spares, func(ident string) bool {
		return !slices.ContainsFunc(all, func(m spec.Machine) bool { return m.Ident == ident })
	})
}

// storesSince is the version that last changed the sets of stores. If the register does not record
// it, this is the first version at which this process has seen these sets.
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
