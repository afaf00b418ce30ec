package node

import "sync"

// Gate lets requests in and can wait for those that are in to leave. Waiting keeps
// nobody out: one request that the disk holds up would else hold up all others.
type Gate struct {
	mu  sync.Mutex
	in  map[*visitors]bool // those that somebody waits for
	now *visitors
}

// visitors are the requests that came in between two waits.
type visitors struct {
	n    int
	gone chan struct{} // closed once all have left, where they are waited for
}

// Enter lets a request in until it calls leave.
func (g *Gate) Enter() (leave func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.now == nil {
		g.now = &visitors{gone: make(chan struct{})}
	}
	v := g.now
	v.n++
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if v.n--; v.n == 0 && g.in[v] {
			delete(g.in, v)
			close(v.gone)
		}
	}
}

// Drain returns once all who were in when it was called have left.
func (g *Gate) Drain() {
	for _, gone := range g.leaving() {
		<-gone
	}
}

// leaving gives what is closed as those who are in now leave.
func (g *Gate) leaving() (all []chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.now != nil && g.now.n > 0 {
		if g.in == nil {
			g.in = map[*visitors]bool{}
		}
		g.in[g.now] = true
		g.now = nil
	}
	for v := range g.in {
		all = append(all, v.gone)
	}
	return all
}
