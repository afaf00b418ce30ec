package transport

import "sync"

// Cuts is the fault switch of the rehearsal kit: addresses that calls neither
// reach nor come from. In an ordinary run it stays empty.
type Cuts struct {
	mu    sync.Mutex
	set   map[string]bool
	fired int
}

// Set replaces the cut addresses.
func (c *Cuts) Set(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.set = map[string]bool{}
	for _, a := range addrs {
		c.set[a] = true
	}
}

// Has tells whether addr is cut off, and counts that the fault took effect.
func (c *Cuts) Has(addr string) bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.set[addr] {
		c.fired++
		return true
	}
	return false
}

// Fired counts the calls a cut has swallowed.
func (c *Cuts) Fired() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fired
}
