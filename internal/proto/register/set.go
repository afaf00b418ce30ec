package register

import (
	"slices"
)

// Replica is one voter: its address, and the identity that it must have.
type Replica struct {
	Addr  string
	Ident string
}

// Set is the voters, in groups; a quorum is a majority of every group. There are two
// groups while one set replaces another.
type Set [][]Replica

// All lists the voters of all groups, each once.
func (s Set) All() []Replica {
	var out []Replica
	for _, g := range s {
		for _, r := range g {
			if !slices.Contains(out, r) {
				out = append(out, r)
			}
		}
	}
	return out
}

// Quorum reports whether a majority of every group is in have.
func (s Set) Quorum(have map[Replica]bool) bool {
	for _, g := range s {
		n := 0
		for _, r := range g {
			if have[r] {
				n++
			}
		}
		if n*2 <= len(g) {
			return false
		}
	}
	return len(s) > 0
}

// quorumLost reports whether so many voters have failed that no quorum is possible.
func (s Set) quorumLost(got []reply) bool {
	for _, g := range s {
		n := 0
		for _, a := range got {
			if a.err != nil && slices.Contains(g, a.from) {
				n++
			}
		}
		if n*2 >= len(g) {
			return true
		}
	}
	return false
}
