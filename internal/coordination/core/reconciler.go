package core

import (
	"context"
	"errors"
	"slices"
	"time"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/lease"
	"damsontiller/internal/coordination/membership"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
)

// Self-managed sets: the first live core compares each set with the
// machines that are there, and changes it by one step at a time. What a set should be
// is decided in package membership; here the machines are observed and asked, and the
// register is changed.

const (
	// retryInterval is when the reconciler of a set checks again what it waits for.
	retryInterval = 100 * time.Millisecond
	// reviewTimeout bounds the time from the first observation to the change that rests on
	// it: a core that was frozen in between begins nothing.
	reviewTimeout = 4 * time.Second
	// presenceTimeout is how long a machine has to answer whether it is there.
	presenceTimeout = 300 * time.Millisecond
	// bootstrapPeriod is for how long after it has formed the set a core takes newcomers for
	// machines of the first hour, which take nobody's place later.
	bootstrapPeriod = 6 * time.Second
)

// onRenewal wakes the reconcilers where a renewal shows something new.
func (c *Core) onRenewal(v *cluster.View, m *wire.Member) {
	for set, wakeup := range c.reconciler.wakeups {
		change := membership.Of(&v.Cluster, set)
		known := membership.Has(change.Now, m.GetIdent()) || membership.Has(change.Next, m.GetIdent())
		newcomer := m.GetRole() == set.Role() && !known
		if newcomer && set == membership.Stores && c.firstSeen(m.Ident) {
			c.reconciler.lastNewcomer.Store(time.Now().UnixNano())
		}
		// A confirmation may be the last that a change waits for.
		if newcomer || change.Running() {
			wakeup.Notify()
		}
	}
}

// firstSeen reports whether an identity is seen for the first time.
func (c *Core) firstSeen(ident string) bool {
	_, old := c.reconciler.knownIdentities.LoadOrStore(ident, true)
	return !old
}

// reconcile brings a set one step closer to what it should be.
func (c *Core) reconcile(ctx context.Context, set membership.Set) {
	v := c.Cluster.Now()
	change := membership.Of(&v.Cluster, set)
	if !v.SelfManaged && !change.Running() || !c.isReconciler(v) {
		return
	}
	if v.SelfManaged && c.review(ctx, v, set, change) {
		return
	}
	if change.Running() {
		c.advanceChange(ctx, v, set, change)
		time.AfterFunc(retryInterval, c.reconciler.wakeups[set].Notify)
	}
}

// review compares a set with what it should be. It reports whether it has begun a change
// of it, or redirected one that can not complete.
func (c *Core) review(ctx context.Context, v *cluster.View, set membership.Set, change membership.Change) bool {
	ctx, stop := context.WithTimeout(ctx, reviewTimeout)
	defer stop()
	o := c.observe(v, set)
	decision := membership.Decide(o)
	if len(decision.Ask) > 0 {
		o.Presence = c.probe(ctx, o, decision.Ask)
		decision = membership.Decide(o)
	}
	if decision.Wait {
		time.AfterFunc(retryInterval, c.reconciler.wakeups[set].Notify)
		return false
	}
	if change.Running() {
		if slices.Equal(decision.Machines, change.Next) || !c.stalled(ctx, v, set, change) {
			return false
		}
	} else if slices.Equal(decision.Machines, change.Now) {
		return false
	}
	c.beginChange(ctx, set, change, decision.Target)
	return true
}

// observe is what this core knows of the machines of a set's role.
func (c *Core) observe(v *cluster.View, set membership.Set) membership.Observation {
	return membership.Observation{
		Set:         set,
		Cluster:     &v.Cluster,
		Members:     c.reconciler.outsiders[set].observe(v, c.members(set.Role())),
		Forming:     time.Since(c.reconciler.founded) <= bootstrapPeriod,
		NewcomerAge: time.Since(time.Unix(0, c.reconciler.lastNewcomer.Load())),
	}
}

// outsiders remembers since when machines of a role have been seen outside their set. Only
// the reconciler of that set uses it.
type outsiders struct{ since map[string]time.Time }

// observe states of each member for how long it has been seen outside the sets.
func (o *outsiders) observe(v *cluster.View, members []membership.Member) []membership.Member {
	since := map[string]time.Time{}
	for i, m := range members {
		ident := m.Machine.Ident
		if ident == "" || !m.Live || membership.InSets(&v.Cluster, ident) {
			continue
		}
		at, known := o.since[ident]
		if !known {
			at = time.Now()
		}
		since[ident] = at
		members[i].KnownFor = time.Since(at)
	}
	o.since = since
	return members
}

// members are the machines of a role that this core has seen. Its own entry needs no
// renewal.
func (c *Core) members(role string) []membership.Member {
	var out []membership.Member
	for _, m := range c.table.List() {
		if m.Role == role {
			out = append(out, observed(m))
		}
	}
	self := observed(c.Peer.Member(c.Cluster.Now().Version))
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
		UnresponsiveFor: time.Duration(m.SilentMs) * time.Millisecond,
	}
}

// probe asks some machines whether they are there. What a renewal reported a while ago is
// checked anew, so that a core that was itself out of contact takes no machine for absent.
func (c *Core) probe(
	ctx context.Context,
	o membership.Observation,
	machines []spec.Machine,
) map[string]membership.Presence {
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
			r, err := c.Peer.CallFor(
				ctx,
				presenceTimeout,
				m.Addr,
				&wire.Req{Ident: m.Ident, Op: &wire.Req_Hello{Hello: &wire.Hello{Head: true}}},
			)
			// A machine whose disk hangs is there, but of no use to its set.
			hung := time.Duration(r.GetHello().GetSelf().GetDiskHungMs()) * time.Millisecond
			answers <- answer{m.Ident, err == nil && hung < lease.HungDiskTimeout}
		}()
	}
	out := map[string]membership.Presence{}
	for range asked {
		a := <-answers
		out[a.ident] = membership.PresenceOf(a.answered, c.unresponsiveFor(o, a.ident))
	}
	return out
}

// unresponsiveFor is how long a machine has been without contact. One never seen by this
// core counts as unresponsive for as long as the core has run.
func (c *Core) unresponsiveFor(o membership.Observation, ident string) time.Duration {
	least := time.Since(c.startedAt)
	for _, m := range o.Members {
		if m.Machine.Ident == ident {
			least = min(least, m.UnresponsiveFor)
		}
	}
	return least
}

// stalled reports whether a change waits for a machine that will not complete it.
func (c *Core) stalled(ctx context.Context, v *cluster.View, set membership.Set, change membership.Change) bool {
	o := c.observe(v, set)
	stalled, ask := change.Stalled(o)
	if len(ask) > 0 {
		o.Presence = c.probe(ctx, o, ask)
		stalled, _ = change.Stalled(o)
	}
	return stalled
}

// beginChange begins a change of a set, or redirects one that can not complete.
func (c *Core) beginChange(ctx context.Context, set membership.Set, was membership.Change, target membership.Target) {
	ver, raw, err := c.Cluster.Change(ctx, 0, func(r *spec.Cluster) error {
		return membership.BeginChange(r, set, was, target)
	})
	if err != nil {
		if !errors.Is(err, cluster.ErrNoChange) {
			c.Log.Warn("set not changed", "set", set, "err", err)
		}
		return
	}
	c.Log.Info("set changes", "set", set, "version", ver, "from", names(was.Now), "to", names(target.Machines))
	c.broadcastAsync(ctx, ver, raw)
}

func names(machines []spec.Machine) []string {
	out := []string{}
	for _, m := range machines {
		out = append(out, m.ID)
	}
	return out
}
