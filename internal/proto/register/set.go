package register

import (
	"slices"
)

// Replica is one voter: its address and the identity that it must have.
type Replica struct {
	Addr  string
	Ident string
}

// Set lists the voters in groups; a quorum is a majority of every group. There are two groups
// while one set of voters replaces another.
type Set [][]Replica

// All returns the voters of all groups, each once.
func (s Set) All() []Replica {
	var all []Replica
	for _, group := range s {
		for _, r := range group {
			if !slices.Contains(all, r) {
				all = append(all, r)
			}
		}
	}
	return all
}

// Quorum reports whether voters contains a majority of every group.
func (s Set) Quorum(voters map[Replica]bool) bool {
	for _, group := range s {
		count := 0
		for _, r := range group {
			if voters[r] {
				count++
			}
		}
		if count*2 <= len(group) {
			return false
		}
	}
	return len(s) > 0
}

// quorumLost reports whether so many voters have failed that no quorum is possible.
func (s Set) quorumLost(replies []reply) bool {
	for _, group := range s {
		failed := 0
		for _, r := range replies {
			if r.err != nil && slices.Contains(group, r.from) {
				failed++
			}
		}
		if failed*2 >= len(group) {
			return true
		}
	}
	return false
}
