package membership

import (
	"slices"

	"damsontiller/internal/proto/spec"
)

// An identity that was removed from a set must never be admitted again: the machine may
// have voted, and its data is out of date. The register lists the identities that were
// removed most recently. A list of all of them would grow with every replaced disk, so it is
// cleared when it is full, and the register keeps a version floor for the dropped identities.
//
// A machine records the cluster version that it knows on its disk, once per identity and
// before its first lease request: the identity version. A machine admitted in version V has
// recorded a version lower than V. When the list is cleared in version F, the floor becomes
// F. Every identity that was in a set before F has a lower identity version and is refused
// even though it is no longer listed. The floor never decreases and the recorded version
// never changes, so such an identity stays refused permanently. A newcomer below the floor
// that was in no set is refused as well; it creates a new identity and loses nothing, since
// it stores no data yet.

// IdentityRefused reports whether an identity may not be admitted to a set.
func IdentityRefused(c *spec.Cluster, ident string, identityVersion uint64) bool {
	return slices.Contains(c.Used, ident) || identityVersion < c.IdentityFloor
}

// Removed reports whether a machine must replace its identity because it is in no set and
// can't be admitted to one.
func Removed(c *spec.Cluster, ident string, identityVersion uint64) bool {
	return !Has(allMachines(c), ident) && IdentityRefused(c, ident, identityVersion)
}

// markUsed adds an identity to the list of identities that were removed from a set.
func markUsed(c *spec.Cluster, ident string) {
	if ident != "" && !slices.Contains(c.Used, ident) {
		c.Used = append(c.Used, ident)
	}
}

// admissible reports whether every machine of a target is already in a set or may join one.
// A store that was retired between the observation and the change may not join: its operator
// may already have been told that it stores no data and can be decommissioned.
func admissible(c *spec.Cluster, set Set, target Target) bool {
	inSet := allMachines(c)
	return !slices.ContainsFunc(target.Machines, func(m spec.Machine) bool {
		if Has(inSet, m.Ident) {
			return false
		}
		retired := set == Stores && slices.Contains(c.Retired, m.ID)
		return retired || IdentityRefused(c, m.Ident, target.IdentityVersions[m.Ident])
	})
}

// InSets reports whether an identity is in a current or next set.
func InSets(c *spec.Cluster, ident string) bool { return Has(allMachines(c), ident) }

// allMachines returns the machines of all current and next sets.
func allMachines(c *spec.Cluster) []spec.Machine {
	return slices.Concat(c.Cores, c.NextCores, c.Stores, c.NextStores)
}
