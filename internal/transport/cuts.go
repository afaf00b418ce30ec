package transport

import "sync"

// Partitions is the fault switch of the rehearsal kit: addresses that calls neither
// reach nor come from. In an ordinary run it stays empty.
type Partitions struct {
	mu        sync.Mutex
	set       map[string]bool
	swallowed int
}

// Set replaces the partitioned addresses.
func (partitions *Partitions) Set(addrs []string) {
	partitions.mu.Lock()
	defer partitions.mu.Unlock()
	partitions.set = map[string]bool{}
	for _, a := range addrs {
		partitions.set[a] = true
	}
}

// Has reports whether addr is partitioned, and counts that the fault took effect.
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

// Swallowed counts the calls a partition has swallowed.
func (partitions *Partitions) Swallowed() int {
	partitions.mu.Lock()
	defer partitions.mu.Unlock()
	return partitions.swallowed
}
