package transport

import "sync"

// Partitions injects network partitions for fault tests: a set of addresses that calls neither
// reach nor come from. In production it is empty.
type Partitions struct {
	mu        sync.Mutex
	set       map[string]bool
	swallowed int
}

// Set replaces the set of partitioned addresses.
func (partitions *Partitions) Set(addrs []string) {
	partitions.mu.Lock()
	defer partitions.mu.Unlock()
	partitions.set = map[string]bool{}
	for _, a := range addrs {
		partitions.set[a] = true
	}
}

// Has reports whether addr is partitioned, and if so counts the call as dropped.
func (partitions *Partitions) Has(addr string) bool {
	if partitions == nil {
		return false
	}
	partitions.mu.Lock()
	defer partitions.mu.Unlock()
	if partitions.set[addr] {
		partitions.swallowed++
		return true
	}
	return false
}

// Swallowed returns the number of calls dropped because of a partition.
func (partitions *Partitions) Swallowed() int {
	partitions.mu.Lock()
	defer partitions.mu.Unlock()
	return partitions.swallowed
}
