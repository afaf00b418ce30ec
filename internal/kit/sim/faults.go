package sim

import "slices"

// Faults are all that a mix draws from: the kinds of fault that the users' bench
// lists, each with its how after a slash.
var Faults = slices.Concat(
	machineFaults,
	membershipFaults,
	networkFaults,
	diskFaults,
	edgeFaults,
	runnerFaults,
	operatorFaults,
)

func init() {
	for i, f := range Faults {
		if slices.ContainsFunc(Faults[:i], func(o Fault) bool { return o.Name == f.Name }) {
			panic("two faults are named " + f.Name)
		}
	}
}
