package node

import "sync"

// Gate counts requests in, and can wait for those that are in to end. Waiting keeps no
// request out: one that the disk delays would otherwise delay all others.
type Gate struct {
	mu      sync.Mutex
	awaited map[*generation]bool // those that somebody waits for
	current *generation
}

// generation are the requests that began between two waits.
type generation struct {
	pending  int
	departed chan struct{} // closed once all have left, where they are waited for
}

// Begin counts a request in until it calls end.
func (g *Gate) Begin() (end func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current == nil {
		g.current = &generation{departed: make(chan struct{})}
	}
	v := g.current
	v.pending++
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if v.pending--; v.pending == 0 && g.awaited[v] {
			delete(g.awaited, v)
			close(v.departed)
		}
	}
}

// Drain returns once all requests that were in when it was called have ended.
func (g *Gate) Drain() {
	for _, departed := range g.departures() {
		<-departed
	}
}

// departures are closed as the requests that are in now end.
func (g *Gate) departures() (all []chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current != nil && g.current.pending > 0 {
		if g.awaited == nil {
			g.awaited = map[*generation]bool{}
		}
		g.awaited[g.current] = true
		g.current = nil
	}
	for v := range g.awaited {
		all = append(all, v.departed)
	}
	return all
}
