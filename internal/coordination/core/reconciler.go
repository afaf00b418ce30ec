package core

import (
	"context"
	"errors"
	"slices"
	"time"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/membership"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
)

// Sets that look after themselves: the first live core compares each set with the
// machines that are there, and changes it by one step at a time. What a set should be
// is decided in package membership; here the machines are observed and asked, and the
// register is changed.

const (
	// again is when a set's duty looks again at what it waits for.
	again = 100 * time.Millisecond
	// reviewTime bounds the time from the first observation to the change that rests on
	// it: a core that was frozen in between begins nothing.
	reviewTime = 4 * time.Second
	// presenceTimeout is how long a machine has to answer whether it is there.
	presenceTimeout = 300 * time.Millisecond
	// formingTime is for how long after it has formed the set a core takes newcomers for
	// machines of the first hour, which take nobody's place later.
	formingTime = 6 * time.Second
)

// heard lets the duty look at once where a renewal shows something new.
func (c *Core) heard(v *cluster.View, m *wire.Member) {
	for set, kick := range c.kicks {
		change := membership.Of(&v.Cluster, set)
		known := membership.Has(change.Now, m.GetIdent()) || membership.Has(change.Next, m.GetIdent())
		newcomer := m.GetRole() == set.Role() && !known
		if newcomer && set == membership.Stores && c.unmet(m.Ident) {
			c.came.Store(time.Now().UnixNano())
		}
		// A confirmation may be the last that a change waits for.
		if newcomer || change.Running() {
			kick.Poke()
		}
	}
}

// unmet tells whether an identity is heard of for the first time.
func (c *Core) unmet(ident string) bool {
	_, old := c.met.LoadOrStore(ident, true)
	return !old
}

// tend brings a set further.
func (c *Core) tend(ctx context.Context, set membership.Set) {
	v := c.Cluster.Now()
	change := membership.Of(&v.Cluster, set)
	if !v.Tended && !change.Running() || !c.leads(v) {
		return
	}
	if v.Tended && c.review(ctx, v, set, change) {
		return
	}
	if change.Running() {
		c.move(ctx, v, set, change)
		time.AfterFunc(again, c.kicks[set].Poke)
	}
}

// review compares a set with what it should be. It tells whether it has begun a change
// of it, or aimed one that can't end elsewhere.
func (c *Core) review(ctx context.Context, v *cluster.View, set membership.Set, change membership.Change) bool {
	ctx, stop := context.WithTimeout(ctx, reviewTime)
	defer stop()
	o := c.observe(v, set)
	decision := membership.Decide(o)
	if len(decision.Ask) > 0 {
		o.Presence = c.ask(ctx, o, decision.Ask)
		decision = membership.Decide(o)
	}
	if decision.Wait {
		time.AfterFunc(again, c.kicks[set].Poke)
		return false
	}
	if change.Running() {
		if slices.Equal(decision.Machines, change.Next) || !c.stuck(ctx, v, set, change) {
			return false
		}
	} else if slices.Equal(decision.Machines, change.Now) {
		return false
	}
	c.turn(ctx, set, change, decision.Goal)
	return true
}

// observe is what this core knows of the machines of a set's role.
func (c *Core) observe(v *cluster.View, set membership.Set) membership.Observation {
	return membership.Observation{
		Set:         set,
		Cluster:     &v.Cluster,
		Members:     c.members(set.Role()),
		Forming:     time.Since(c.founded) <= formingTime,
		NewcomerAge: time.Since(time.Unix(0, c.came.Load())),
	}
}

// members are the machines of a role, as this core has heard of them; of itself it
// needs no renewal.
func (c *Core) members(role string) []membership.Member {
	var out []membership.Member
	for _, m := range c.table.List() {
		if m.Role == role {
			out = append(out, observed(m))
		}
	}
	self := observed(c.Peer.Member(c.Cluster.Now().Ver))
	if c.Peer.Self.Role == role {
		out = membership.WithSelf(out, self)
	}
	return out
}

func observed(m *wire.Member) membership.Member {
	return membership.Member{
		Machine:         spec.Machine{ID: m.Id, Addr: m.Addr, Zone: m.Zone, Ident: m.Ident},
		Start:           m.Inc,
		IdentityVersion: m.IdentityVersion,
		Confirmed:       m.SpecVer,
		Live:            m.Live,
		Silent:          time.Duration(m.SilentMs) * time.Millisecond,
	}
}

// ask asks some machines whether they are there. What a renewal told long ago is asked
// for again, so that a core that was itself out of reach takes nobody for absent.
func (c *Core) ask(ctx context.Context, o membership.Observation, machines []spec.Machine) map[string]membership.Presence {
	type answer struct {
		ident    string
		answered bool
	}
	answers := make(chan answer, len(machines))
	asked := 0
	for _, m := range machines {
		if m.Ident == c.Peer.Ident() {
			continue
		}
		asked++
		go func() {
			_, err := c.Peer.CallFor(ctx, presenceTimeout, m.Addr, &wire.Req{Ident: m.Ident, Op: &wire.Req_Hello{Hello: &wire.Hello{}}})
			answers <- answer{m.Ident, err == nil}
		}()
	}
	out := map[string]membership.Presence{}
	for range asked {
		a := <-answers
		out[a.ident] = membership.PresenceOf(a.answered, c.silence(o, a.ident))
	}
	return out
}

// silence is for how long a machine has not been heard of. One never heard of by this
// core counts as silent for as long as the core has run.
func (c *Core) silence(o membership.Observation, ident string) time.Duration {
	least := time.Since(c.began)
	for _, m := range o.Members {
		if m.Machine.Ident == ident {
			least = min(least, m.Silent)
		}
	}
	return least
}

// stuck tells whether a change waits for a machine that will not bring it to an end.
func (c *Core) stuck(ctx context.Context, v *cluster.View, set membership.Set, change membership.Change) bool {
	o := c.observe(v, set)
	stuck, ask := change.Stuck(o)
	if len(ask) > 0 {
		o.Presence = c.ask(ctx, o, ask)
		stuck, _ = change.Stuck(o)
	}
	return stuck
}

// turn begins a change of a set, or aims one that can't end elsewhere.
func (c *Core) turn(ctx context.Context, set membership.Set, was membership.Change, goal membership.Goal) {
	ver, raw, err := c.Cluster.Change(ctx, 0, func(r *spec.Cluster) error {
		return membership.Turn(r, set, was, goal)
	})
	if err != nil {
		if !errors.Is(err, cluster.ErrSame) {
			c.Log.Warn("set not changed", "set", set, "err", err)
		}
		return
	}
	c.Log.Info("set changes", "set", set, "version", ver, "from", names(was.Now), "to", names(goal.Machines))
	c.tell(ctx, ver, raw)
}

func names(machines []spec.Machine) []string {
	out := []string{}
	for _, m := range machines {
		out = append(out, m.ID)
	}
	return out
}
