// Package intern maps names to dense indices as they come in at ingress, so
// that everything behind it works on small arrays.
package intern

import "sync"

// Table gives each name one index, for good.
type Table struct {
	mu   sync.RWMutex
	ix   map[string]int
	list []string
}

// Index gives the index of a name, a new one if it has none.
func (t *Table) Index(name string) int {
	t.mu.RLock()
	i, ok := t.ix[name]
	t.mu.RUnlock()
	if ok {
		return i
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if i, ok = t.ix[name]; ok {
		return i
	}
	if t.ix == nil {
		t.ix = map[string]int{}
	}
	i = len(t.list)
	t.ix[name], t.list = i, append(t.list, name)
	return i
}

// Name gives an index's name.
func (t *Table) Name(i int) string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.list[i]
}
