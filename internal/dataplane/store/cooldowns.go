package store

import (
	"context"
	"strings"
	"sync"
	"time"

	"damsontiller/internal/coordination/core"
	"damsontiller/internal/dataplane/cooldown"
	"damsontiller/internal/proto/keys"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/state/storage"
)

// cooldowns is the acceptor's storage, with an in-memory index of the remaining cooldowns:
// edges request them too often for a disk read each time.
type cooldowns struct {
	*storage.Engine
	mu sync.Mutex
	// all has every register that holds a cooldown, expired ones included, until its value is
	// released: if a vote saves an expired one again, unchanged, its wait does not restart.
	all    map[string]*cooldownWait
	active map[string]*cooldownWait // the entries of all that may not have expired yet
}

// cooldownWait is one cooldown as this store counts it down.
type cooldownWait struct {
	ver, op uint64
	start   time.Time // when this store began to count
	wait    time.Duration
}

// newCooldowns loads the cooldowns of the data directory and continues to count them down by
// the directory's own uptime clock. That clock stops while the process is down and may lose
// time in a crash, so it never overstates the age of a cooldown: no wait is cut short.
func newCooldowns(engine *storage.Engine) (*cooldowns, error) {
	c := &cooldowns{Engine: engine, all: map[string]*cooldownWait{}, active: map[string]*cooldownWait{}}
	now := time.Now()
	err := engine.EachRegister(keys.CooldownPrefix, func(k string, r *wire.Rec) {
		age := time.Duration(0)
		if r.AtMs > 0 {
			age = max(engine.Age(r), 0)
		}
		c.track(k, r, now.Add(-age))
	})
	return c, err
}

// Save saves a record. It returns once the record is synced.
func (c *cooldowns) Save(key string, r *wire.Rec) error {
	if err := c.Engine.Save(key, r); err != nil {
		return err
	}
	if strings.HasPrefix(key, keys.CooldownPrefix) {
		c.track(key, r, time.Now())
	}
	return nil
}

// track updates the index after a record was saved. A record of the same version and
// operation as the indexed one doesn't restart its wait.
func (c *cooldowns) track(key string, r *wire.Rec, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !r.Cell.GetTimed() {
		delete(c.all, key)
		delete(c.active, key)
		return
	}
	op := uint64(0)
	if n := len(r.Cell.Ops); n > 0 {
		op = r.Cell.Ops[n-1]
	}
	if existing := c.all[key]; existing != nil && existing.ver == r.Cell.Ver && existing.op == op {
		return
	}
	wait, err := cooldown.DecodeWait(r.Cell.Val)
	if err != nil {
		// The next change of the register fails on the same value and reports the error.
		return
	}
	entry := &cooldownWait{ver: r.Cell.Ver, op: op, start: at, wait: wait}
	c.all[key], c.active[key] = entry, entry
}

// remaining lists the cooldowns that have not expired, with the time left of each.
func (c *cooldowns) remaining() []*wire.Cool {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*wire.Cool
	for k, entry := range c.active {
		left := entry.start.Add(entry.wait).Sub(now)
		if left <= 0 {
			delete(c.active, k)
			continue
		}
		out = append(out, &wire.Cool{Key: k, Ver: entry.ver, Op: entry.op, LeftMs: cooldown.WaitMs(left)})
	}
	return out
}

// handleCooldowns returns all cooldowns in force to an edge.
func (s *Store) handleCooldowns(_ context.Context, q *wire.Req) (*wire.Resp, error) {
	if err := core.CheckVersion(s.Node, q); err != nil {
		return nil, err
	}
	return &wire.Resp{Op: &wire.Resp_Cools{Cools: &wire.CoolsAck{Cools: s.cooldowns.remaining()}}}, nil
}
