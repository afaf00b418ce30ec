package membership

import (
	"slices"

	"damsontiller/internal/proto/spec"
)

// An identity that was in a set and was removed must never be admitted again: whoever
// comes with it may have voted, and what it holds is old. The register lists those that
// were removed last. A list of all would grow with every disk that is replaced, so it is
// cut, and the register keeps a floor in its place.
//
// A machine records on its disk, once for each identity and before it first asks for a
// lease, which version of the cluster it knew then: the version that its identity was
// made under. Whoever was admitted by version V had recorded a lower one. So when the list
// is cut by version F, the floor becomes F, and every identity that was ever in a set
// before F has a lower version and is refused from then on, though nobody lists it. The
// floor never falls and the record never changes, so that holds for ever. A newcomer below
// the floor that was in no set is refused as well; it takes a new identity, which costs
// it nothing, as it holds nothing yet.

// IdentityRefused reports whether an identity may not be admitted to a set.
func IdentityRefused(c *spec.Cluster, ident string, madeUnder uint64) bool {
	return slices.Contains(c.Used, ident) || madeUnder < c.IdentityFloor
}

// Removed reports whether a machine must replace its identity: it is in no set, and will
// not be admitted to one.
func Removed(c *spec.Cluster, ident string, madeUnder uint64) bool {
	return !Has(allMachines(c), ident) && IdentityRefused(c, ident, madeUnder)
}

// markUsed records that an identity is in no set any more.
func markUsed(c *spec.Cluster, ident string) {
	if ident != "" && !slices.Contains(c.Used, ident) {
		c.Used = append(c.Used, ident)
	}
}

// admissible reports whether all machines of a next set are in a set already or may join
// one. A store that was retired between the observation and the change may not: its
// operator may have been notified that it holds nothing and can be taken away.
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

// InSets reports whether a machine of an identity is in a present or next set.
func InSets(c *spec.Cluster, ident string) bool { return Has(allMachines(c), ident) }

// allMachines are the machines of all sets.
func allMachines(c *spec.Cluster) []spec.Machine {
	return slices.Concat(c.Cores, c.NextCores, c.Stores, c.NextStores)
}
