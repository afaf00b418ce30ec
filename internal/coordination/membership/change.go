// Package membership holds the decisions about the sets of core and store machines:
// what a set should be, how it changes from one to another, and which machines bring
// which keys to the next one. All of it is pure; package core and package store
// observe, decide here, and act.
//
// A change of a set is a joint one. The register first holds both sets, and every
// quorum is then a majority of each. Once all keys are at the machines of the next set
// that lacked them, the next set stands alone. Every step of a change is bound to the
// version of the cluster that began it.
package membership

import (
	"slices"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
)

// Set names one of the two replica sets, as operators write it.
type Set string

// The sets.
const (
	Cores  Set = "cores"
	Stores Set = "stores"
)

// ParseSet reads a set's name.
func ParseSet(name string) (Set, error) {
	set := Set(name)
	if set != Cores && set != Stores {
		return "", code.New(code.NoPath, "%q is neither stores nor cores", name)
	}
	return set, nil
}

// Role is the role of the machines of the set.
func (s Set) Role() string {
	if s == Cores {
		return "core"
	}
	return "store"
}

// Change is the state of a set: its machines, those that it changes to if a change is
// under way, and the version of the cluster since which both are these.
type Change struct {
	Since     uint64
	Now, Next []spec.Machine
}

// Of is the state of a set within a cluster.
func Of(c *spec.Cluster, set Set) Change {
	if set == Cores {
		return Change{Since: c.CoresSince, Now: c.Cores, Next: c.NextCores}
	}
	return Change{Since: c.StoresSince, Now: c.Stores, Next: c.NextStores}
}

// Running reports whether a change of the set is under way.
func (c Change) Running() bool { return len(c.Next) > 0 }

// Equal reports whether two observations are of the very same change. Equal sets are not
// enough: a change may have been reverted and begun anew in between, and what was done for
// the first says nothing about the second.
func (c Change) Equal(other Change) bool {
	return c.Since == other.Since && slices.Equal(c.Now, other.Now) && slices.Equal(c.Next, other.Next)
}

// Has reports whether a set has a machine of that identity.
func Has(set []spec.Machine, ident string) bool {
	return slices.ContainsFunc(set, func(m spec.Machine) bool { return m.Ident == ident })
}

// setMachines writes both sets of a change into a cluster.
func setMachines(c *spec.Cluster, set Set, now, next []spec.Machine) {
	if set == Cores {
		c.Cores, c.NextCores = now, next
	} else {
		c.Stores, c.NextStores = now, next
	}
}

// InitializeSet sets the first machines of a set that has had none. Nothing has ever been
// stored there, so there is nothing to transfer.
func InitializeSet(c *spec.Cluster, set Set, machines []spec.Machine) {
	setMachines(c, set, machines, nil)
}

// SetNext changes what a set changes to; an empty next reverts the change. The present set
// has been complete all the while, so that nothing is lost by it. A machine that was to
// join and no longer is may have voted, so its identity is marked as used.
func SetNext(c *spec.Cluster, set Set, next []spec.Machine) {
	was := Of(c, set)
	for _, m := range was.Next {
		if !Has(was.Now, m.Ident) && !Has(next, m.Ident) {
			markUsed(c, m.Ident)
		}
	}
	setMachines(c, set, was.Now, next)
}

// BeginChange begins a change of a set towards a target, or redirects the one under way.
// It changes nothing and returns cluster.ErrNoChange where the cluster is not in the very
// change that the target was computed for, or where a newcomer may no longer join.
func BeginChange(c *spec.Cluster, set Set, was Change, target Target) error {
	if !Of(c, set).Equal(was) || !admissible(c, set, target) {
		return cluster.ErrNoChange
	}
	switch {
	case len(was.Now) == 0:
		InitializeSet(c, set, target.Machines)
	case slices.Equal(target.Machines, was.Now):
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
// cluster.ErrNoChange where the cluster is no longer in that very change: what was
// transferred was for another.
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
