// Package intern maps names to dense indices at ingress, so that the code behind it
// can use small arrays.
package intern

import "sync"

// Table assigns each name a permanent index. The zero value is an empty table.
type Table struct {
	mu      sync.RWMutex
	indices map[string]int
	names   []string
}

// Index returns the index of a name and assigns a new one to an unknown name.
func (t *Table) Index(name string) int {
	t.mu.RLock()
	i, ok := t.indices[name]
	t.mu.RUnlock()
	if ok {
		return i
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if i, ok = t.indices[name]; ok {
		return i
	}
	if t.indices == nil {
		t.indices = map[string]int{}
	}
	i = len(t.names)
	t.indices[name], t.names = i, append(t.names, name)
	return i
}

// Name returns the name with the given index.
func (t *Table) Name(i int) string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.names[i]
}
