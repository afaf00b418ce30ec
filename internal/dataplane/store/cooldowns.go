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

// cooldowns is the disk as the acceptor sees it, with what is left of each cooldown
// in memory: the edges ask for it too often to check on the disk each time.
type cooldowns struct {
	*storage.Engine
	mu sync.Mutex
	// all are the cooldowns among the registers, until their value is released: one
	// that is over and is saved again by a vote does not begin anew.
	all   map[string]*wait
	force map[string]*wait // those of all that may be in force
}

type wait struct {
	ver, op uint64
	at      time.Time // since when it is counted here
	wait    time.Duration
}

// newCooldowns takes what the folder holds. It counts on where the folder's own
// time says that it lay here before; that time stands still while nothing runs, and
// may be set back by a crash, so it is never too long.
func newCooldowns(v *storage.Engine) (*cooldowns, error) {
	c := &cooldowns{Engine: v, all: map[string]*wait{}, force: map[string]*wait{}}
	now := time.Now()
	err := v.EachRegister(keys.CooldownPrefix, func(k string, r *wire.Rec) {
		age := time.Duration(0)
		if r.AtMs > 0 {
			age = max(v.Age(r), 0)
		}
		c.remember(k, r, now.Add(-age))
	})
	return c, err
}

// Save returns once the record is synced.
func (c *cooldowns) Save(key string, r *wire.Rec) error {
	if err := c.Engine.Save(key, r); err != nil {
		return err
	}
	if strings.HasPrefix(key, keys.CooldownPrefix) {
		c.remember(key, r, time.Now())
	}
	return nil
}

func (c *cooldowns) remember(key string, r *wire.Rec, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !r.Cell.GetTimed() {
		delete(c.all, key)
		delete(c.force, key)
		return
	}
	op := uint64(0)
	if n := len(r.Cell.Ops); n > 0 {
		op = r.Cell.Ops[n-1]
	}
	if d := c.all[key]; d != nil && d.ver == r.Cell.Ver && d.op == op {
		return
	}
	w, err := cooldown.DecodeWait(r.Cell.Val)
	if err != nil {
		// Whoever changes the register next meets the same failure and says so.
		return
	}
	d := &wait{ver: r.Cell.Ver, op: op, at: at, wait: w}
	c.all[key], c.force[key] = d, d
}

// left lists what is in force.
func (c *cooldowns) left() []*wire.Cool {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*wire.Cool
	for k, d := range c.force {
		left := d.at.Add(d.wait).Sub(now)
		if left <= 0 {
			delete(c.force, k)
			continue
		}
		out = append(out, &wire.Cool{Key: k, Ver: d.ver, Op: d.op, LeftMs: cooldown.WaitMs(left)})
	}
	return out
}

// cools answers an edge that wants to know them all.
func (s *Store) cools(_ context.Context, q *wire.Req) (*wire.Resp, error) {
	if err := core.CheckVersion(s.Node, q); err != nil {
		return nil, err
	}
	return &wire.Resp{Op: &wire.Resp_Cools{Cools: &wire.CoolsAck{Cools: s.cool.left()}}}, nil
}
