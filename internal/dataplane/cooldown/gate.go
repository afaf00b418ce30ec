package cooldown

import (
	"time"
)

// narrowGate limits a key to one concurrent call once its cooldown is over. The caller holds mu.
func (manager *Manager) narrowGate(key string) {
	manager.active.Store(true)
	g := manager.gates[key]
	if g == nil {
		g = &gate{usedAt: time.Now()}
		manager.gates[key] = g
	}
	g.limit = 1
}

// widenGate doubles the limit of a gate after a successful call, unless the key is in cooldown. The
// caller holds mu.
func (manager *Manager) widenGate(key string, g *gate) {
	if manager.remaining(key) > 0 {
		return
	}
	if g.limit *= 2; g.limit > gateUnlimited && manager.gates[key] == g {
		delete(manager.gates, key)
	}
}

// gate limits the concurrent calls of one key from this node after a cooldown. The limit starts at
// one and doubles with each successful call, because sending an entire backlog at once would only
// be refused again.
type gate struct {
	limit, inFlight int
	usedAt          time.Time
}

// gateUnlimited is the limit above which a gate is removed.
const gateUnlimited = 16

// Allowed reports whether the key's gate admits another call. It does not check the cooldown.
func (manager *Manager) Allowed(key string) bool {
	manager.mu.Lock()
	defer manager.mu.Unlock()
	g := manager.gates[key]
	return g == nil || g.inFlight < g.limit
}

// BeginCall counts a call that Allowed has admitted. The caller ends the returned admission when
// the call has ended.
func (manager *Manager) BeginCall(key string) *Admission {
	manager.mu.Lock()
	defer manager.mu.Unlock()
	admission := &Admission{manager: manager, key: key, gate: manager.gates[key]}
	if admission.gate != nil {
		admission.gate.inFlight++
	}
	return admission
}
