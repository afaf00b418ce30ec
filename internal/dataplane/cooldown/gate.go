package cooldown

import (
	"time"
)

// narrowGate lets one call of the key through at first, once its cooldown is over.
func (manager *Manager) narrowGate(key string) {
	manager.active.Store(true)
	g := manager.gates[key]
	if g == nil {
		g = &gate{used: time.Now()}
		manager.gates[key] = g
	}
	g.limit = 1
}

// widenGate lets twice as many through after a good answer, unless the key cools.
func (manager *Manager) widenGate(key string, g *gate) {
	if manager.remaining(key) > 0 {
		return
	}
	if g.limit *= 2; g.limit > gateUnlimited && manager.gates[key] == g {
		delete(manager.gates, key)
	}
}

// gate bounds the calls of one key that this node has under way at once, after
// a cooldown: one at first, twice as many with each good answer. A entire backlog
// let loose at once would only be refused again.
type gate struct {
	limit, inFlight int
	used            time.Time
}

// gateUnlimited is where a gate is wide enough to be none.
const gateUnlimited = 16

// Allowed reports whether a call of the key may be made as far as this node knows.
func (manager *Manager) Allowed(key string) bool {
	manager.mu.Lock()
	defer manager.mu.Unlock()
	g := manager.gates[key]
	return g == nil || g.inFlight < g.limit
}

// BeginCall counts a call in that Free let through, Leave counts it out.
func (manager *Manager) BeginCall(key string) {
	manager.mu.Lock()
	defer manager.mu.Unlock()
	if g := manager.gates[key]; g != nil {
		g.inFlight++
	}
}

// EndCall widens the gate after a good answer.
func (manager *Manager) EndCall(key string, good bool) {
	manager.mu.Lock()
	defer manager.mu.Unlock()
	g := manager.gates[key]
	if g == nil {
		return
	}
	// Calls from before the gate were never counted in.
	g.inFlight = max(g.inFlight-1, 0)
	g.used = time.Now()
	if good {
		manager.widenGate(key, g)
	}
}
