package membership

import (
	"slices"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/proto/spec"
)

// Receives reports whether the change assigns keys to a machine of the next set that the
// machine does not store yet.
func (c Change) Receives(m spec.Machine, copies int) bool {
	if !Has(c.Now, m.Ident) {
		return true
	}
	// A machine of both sets receives no keys if every machine stores all keys, or if no
	// machine departs.
	return len(c.Now) > copies && slices.ContainsFunc(c.Now, c.departs)
}

// departs reports whether the next set has no machine with the name and zone of a machine
// of the current set, so that its keys are reassigned to other machines.
func (c Change) departs(old spec.Machine) bool {
	return !slices.ContainsFunc(c.Next, func(m spec.Machine) bool { return m.ID == old.ID && m.Zone == old.Zone })
}

// Receivers returns the machines of the next set to which keys are transferred.
func (c Change) Receivers(copies int) []spec.Machine {
	var out []spec.Machine
	for _, m := range c.Next {
		if c.Receives(m, copies) {
			out = append(out, m)
		}
	}
	return out
}

// IsMinority reports whether, for every key, the machines of a subset are a minority of the
// key's replicas, so that the other machines of the set are a majority.
func IsMinority(set, subset []spec.Machine, copies int) bool {
	return len(subset) == 0 || cluster.MaxHolders(set, subset, copies)*2 < min(copies, len(set))
}

// Readable reports whether a majority of each key's replicas remains in a set without the
// absent identities.
func Readable(set []spec.Machine, absent []string, copies int) bool {
	var missing []spec.Machine
	for _, m := range set {
		if slices.Contains(absent, m.Ident) {
			missing = append(missing, m)
		}
	}
	return IsMinority(set, missing, copies)
}

// Stale reports whether a request must be refused because its sender acts on the store sets
// of an older cluster version than the view requires: its quorum could be a majority of a
// set that is no longer valid. Version 0 stands for no stated version and is never stale.
func Stale(v *cluster.View, version uint64) bool { return version > 0 && version < v.StoresVersion }

// StaleCores is like Stale, for the sets of cores.
func StaleCores(v *cluster.View, version uint64) bool { return version > 0 && version < v.CoresVersion }

// SameStores reports whether a view has reached the version of a transfer request and is in
// the change of the stores that the request was made for, identified by its sets digest.
func SameStores(v *cluster.View, version, sets uint64) bool {
	return v.Version >= version && v.StoresDigest() == sets
}

// Sender is a store of the current set that sends keys to a store of the next one.
type Sender struct {
	View   *cluster.View
	Self   string   // the sender's identity
	To     string   // the identity of the receiving store
	Absent []string // identities of the stores that the receiving store can't reach
}

// Sends reports whether a key must be sent to the receiving store, and whether with its value
// or with its name and ballot only: the first reachable replica of the key sends the value.
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
