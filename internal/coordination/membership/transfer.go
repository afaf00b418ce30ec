package membership

import (
	"slices"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/proto/spec"
)

// Receives reports whether the change assigns keys to a machine of the next set that it
// did not hold.
func (c Change) Receives(m spec.Machine, copies int) bool {
	if !Has(c.Now, m.Ident) {
		return true
	}
	// Where all hold all, nobody else gains; nor where nobody leaves.
	return len(c.Now) > copies && slices.ContainsFunc(c.Now, c.departs)
}

// departs reports whether a machine of the present set has no successor of its name and
// zone in the next one, so that its keys go to others.
func (c Change) departs(old spec.Machine) bool {
	return !slices.ContainsFunc(c.Next, func(m spec.Machine) bool { return m.ID == old.ID && m.Zone == old.Zone })
}

// Receivers are the machines of the next set to which keys are transferred.
func (c Change) Receivers(copies int) []spec.Machine {
	var out []spec.Machine
	for _, m := range c.Next {
		if c.Receives(m, copies) {
			out = append(out, m)
		}
	}
	return out
}

// IsMinority reports whether some machines of a set are less than a majority of any key's
// replicas, and the others a majority of them.
func IsMinority(set, some []spec.Machine, copies int) bool {
	return len(some) == 0 || cluster.MaxHolders(set, some, copies)*2 < min(copies, len(set))
}

// Readable reports whether a majority of each key's replicas is left of a set without the
// identities that are absent.
func Readable(set []spec.Machine, absent []string, copies int) bool {
	var without []spec.Machine
	for _, m := range set {
		if slices.Contains(absent, m.Ident) {
			without = append(without, m)
		}
	}
	return IsMinority(set, without, copies)
}

// Stale reports whether a request that acts on the sets of stores of an older version must
// be refused under a view: its majority could be one of a set that is no longer valid.
func Stale(v *cluster.View, version uint64) bool { return version > 0 && version < v.StoresVersion }

// StaleCores is Stale for the sets of cores.
func StaleCores(v *cluster.View, version uint64) bool { return version > 0 && version < v.CoresVersion }

// SameStores reports whether a view is at the very change of the stores that an order was
// given for.
func SameStores(v *cluster.View, version, sets uint64) bool {
	return v.Version >= version && v.StoresDigest() == sets
}

// Sender is a store of the present set that sends keys to a store of the next one.
type Sender struct {
	View   *cluster.View
	Self   string   // the sender's identity
	To     string   // the identity of the store that gains
	Absent []string // identities that the gaining store can't ask
}

// Sends reports whether a key is to be sent to the other store, and whether with its value
// or by name and ballot only: the first of its replicas that can be asked sends the value.
func (s Sender) Sends(key string) (wanted, withValue bool) {
	now := cluster.Holders(s.View.Cluster.Stores, key, s.View.Copies())
	next := cluster.Holders(s.View.NextStores, key, s.View.Copies())
	if Has(now, s.To) || !Has(now, s.Self) || !Has(next, s.To) {
		return false, false
	}
	for _, m := range now {
		if m.Ident != s.To && !slices.Contains(s.Absent, m.Ident) {
			return true, m.Ident == s.Self
		}
	}
	return true, true
}
