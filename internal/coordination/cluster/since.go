package cluster

import (
	"slices"

	"damsontiller/internal/proto/spec"
)

// Edit makes f's change of a cluster whose next version is ver, and writes into the
// cluster which version last changed each of its sets. So every process knows the same
// one, also a process that never saw the versions in between, and two changes between
// the same sets can be distinguished.
func Edit(c *spec.Cluster, version uint64, f func(*spec.Cluster) error) error {
	cores, nextCores := slices.Clone(c.Cores), slices.Clone(c.NextCores)
	stores, nextStores := slices.Clone(c.Stores), slices.Clone(c.NextStores)
	if err := f(c); err != nil {
		return err
	}
	pruneUsed(c, version)
	pruneSpares(c)
	if !slices.Equal(cores, c.Cores) || !slices.Equal(nextCores, c.NextCores) {
		c.CoresSince = version
	}
	if !slices.Equal(stores, c.Stores) || !slices.Equal(nextStores, c.NextStores) {
		c.StoresSince = version
	}
	return nil
}

// MaxRemovedIdentities is how many identities that were removed are listed at the most.
const MaxRemovedIdentities = 64

// pruneUsed cuts the list of identities that were removed. All that were ever in a set
// were made under a lower version than the one of the cut, and are refused by that from
// then on: see package membership.
func pruneUsed(c *spec.Cluster, version uint64) {
	if len(c.Used) > MaxRemovedIdentities {
		c.Used, c.IdentityFloor = nil, version
	}
}

// pruneSpares keeps of those that were admitted beside the others only who is in a set.
func pruneSpares(c *spec.Cluster) {
	all := slices.Concat(c.Cores, c.NextCores, c.Stores, c.NextStores)
	c.Spares = slices.DeleteFunc(c.Spares, func(ident string) bool {
		return !slices.ContainsFunc(all, func(m spec.Machine) bool { return m.Ident == ident })
	})
}

// storesSince is the version since which the sets of stores are these. Where the
// register doesn't say, it is the first version that this process has seen them at.
func storesSince(old, v *View) uint64 {
	if v.StoresSince > 0 {
		return v.StoresSince
	}
	if old.Version > 0 && slices.Equal(old.Cluster.Stores, v.Cluster.Stores) &&
		slices.Equal(old.NextStores, v.NextStores) {
		return old.StoresVersion
	}
	return v.Version
}

// coresSince is the same for the sets of cores.
func coresSince(old, v *View) uint64 {
	if v.CoresSince > 0 {
		return v.CoresSince
	}
	if old.Version > 0 && slices.Equal(old.Cluster.Cores, v.Cluster.Cores) &&
		slices.Equal(old.NextCores, v.NextCores) {
		return old.CoresVersion
	}
	return v.Version
}
