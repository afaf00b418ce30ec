package node

import "sync"

// Gate tracks pending requests and can wait for them to finish. Waiting does not block new
// requests: otherwise one request delayed by the disk would delay all others.
type Gate struct {
	mu       sync.Mutex
	draining map[*generation]bool // generations that a Drain waits for
	current  *generation
}

// generation is the set of requests that began between two calls to Drain.
type generation struct {
	pending int
	done    chan struct{} // closed once all have ended, if a Drain waits for them
}

// Begin registers a request, which is pending until the caller calls end.
func (g *Gate) Begin() (end func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current == nil {
		g.current = &generation{done: make(chan struct{})}
	}
	joined := g.current
	joined.pending++
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if joined.pending--; joined.pending == 0 && g.draining[joined] {
			delete(g.draining, joined)
			close(joined.done)
		}
	}
}

// Drain returns once all requests that were pending when it was called have ended.
func (g *Gate) Drain() {
	for _, done := range g.awaitPending() {
		<-done
	}
}

// awaitPending starts a new generation and returns the channels that close when the requests
// pending now have ended.
func (g *Gate) awaitPending() (all []chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current != nil && g.current.pending > 0 {
		if g.draining == nil {
			g.draining = map[*generation]bool{}
		}
		g.draining[g.current] = true
		g.current = nil
	}
	for gen := range g.draining {
		all = append(all, gen.done)
	}
	return all
}
