// Package membership decides which machines form the sets of cores and stores, how a set
// changes to another one, and which machines send which keys during a change. Its functions
// perform no I/O: packages core and store collect the observations, call this package and
// carry out the result.
//
// A change of a set is a joint-consensus change. The register first holds the current and
// the next set, and every quorum then needs a majority of each. Once all keys are
// transferred to the machines of the next set that lacked them, the next set becomes the
// only one. Every step of a change is tied to the cluster version that started the change.
package membership

import (
	"slices"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
)

// Set is the name of one of the two replica sets, as operators write it.
type Set string

// The replica sets.
const (
	Cores  Set = "cores"
	Stores Set = "stores"
)

// ParseSet returns the set with the given name, or a NoPath error for an unknown name.
func ParseSet(name string) (Set, error) {
	set := Set(name)
	if set != Cores && set != Stores {
		return "", code.New(code.NoPath, "%q is neither stores nor cores", name)
	}
	return set, nil
}

// Role returns the role of the machines in the set.
func (s Set) Role() string {
	if s == Cores {
		return "core"
	}
	return "store"
}

// Change is the state of a set: its current machines, the machines of the next set while a
// change is in progress, and the cluster version that last modified either of them.
type Change struct {
	Since     uint64
	Now, Next []spec.Machine
}

// Of returns the state of a set in a cluster.
func Of(c *spec.Cluster, set Set) Change {
	if set == Cores {
		return Change{Since: c.CoresSince, Now: c.Cores, Next: c.NextCores}
	}
	return Change{Since: c.StoresSince, Now: c.Stores, Next: c.NextStores}
}

// Running reports whether a change of the set is in progress.
func (c Change) Running() bool { return len(c.Next) > 0 }

// Equal reports whether two observations are of the same change. Comparing the machines is
// not enough: a change may have been reverted and started again in between, and keys
// transferred or versions confirmed for the first change don't count for the second.
func (c Change) Equal(other Change) bool {
	return c.Since == other.Since && slices.Equal(c.Now, other.Now) && slices.Equal(c.Next, other.Next)
}

// Has reports whether a set contains a machine with the given identity.
func Has(set []spec.Machine, ident string) bool {
	return slices.ContainsFunc(set, func(m spec.Machine) bool { return m.Ident == ident })
}

// setMachines stores the current and next machines of a set in a cluster.
func setMachines(c *spec.Cluster, set Set, now, next []spec.Machine) {
	if set == Cores {
		c.Cores, c.NextCores = now, next
	} else {
		c.Stores, c.NextStores = now, next
	}
}

// InitializeSet sets the first machines of a set that was empty so far. No data has been
// stored in it yet, so no transfer is needed.
func InitializeSet(c *spec.Cluster, set Set, machines []spec.Machine) {
	setMachines(c, set, machines, nil)
}

// SetNext replaces the next machines of a set; an empty next reverts the change. The current
// set holds all data during a change, so reverting loses none. A machine that is no longer
// part of the next set may already have voted, so its identity is marked as used.
func SetNext(c *spec.Cluster, set Set, next []spec.Machine) {
	before := Of(c, set)
	for _, m := range before.Next {
		if !Has(before.Now, m.Ident) && !Has(next, m.Ident) {
			markUsed(c, m.Ident)
		}
	}
	setMachines(c, set, before.Now, next)
}

// BeginChange starts a change of a set to a target, or redirects the change in progress.
// It changes nothing and returns cluster.ErrNoChange if the state of the set differs from
// the observed one, for which the target was computed, or if a newcomer may no longer join.
func BeginChange(c *spec.Cluster, set Set, observed Change, target Target) error {
	if !Of(c, set).Equal(observed) || !admissible(c, set, target) {
		return cluster.ErrNoChange
	}
	switch {
	case len(observed.Now) == 0:
		InitializeSet(c, set, target.Machines)
	case slices.Equal(target.Machines, observed.Now):
		SetNext(c, set, nil)
	default:
		SetNext(c, set, target.Machines)
	}
	for _, ident := range target.Spares {
		if !slices.Contains(c.Spares, ident) {
			c.Spares = append(c.Spares, ident)
		}
	}
	c.Spares = slices.DeleteFunc(c.Spares, func(ident string) bool { return slices.Contains(target.Promoted, ident) })
	return nil
}

// FinishChange makes the next set of a change the only one. It changes nothing and returns
// cluster.ErrNoChange if the cluster is no longer in that change, because the keys were
// then transferred for a different one.
func FinishChange(c *spec.Cluster, set Set, change Change) error {
	if !change.Running() || !Of(c, set).Equal(change) {
		return cluster.ErrNoChange
	}
	for _, m := range change.Now {
		if !Has(change.Next, m.Ident) {
			markUsed(c, m.Ident)
		}
	}
	setMachines(c, set, change.Next, nil)
	return nil
}
