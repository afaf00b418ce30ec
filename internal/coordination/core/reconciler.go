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
func (c *Core) onRenewal(view *cluster.View, member *wire.Member) {
	for set, wakeup := range c.reconciler.wakeups {
		change := membership.Of(&view.Cluster, set)
		known := membership.Has(change.Now, member.GetIdent()) || membership.Has(change.Next, member.GetIdent())
		isNew := member.GetRole() == set.Role() && !known
		if isNew && set == membership.Stores && c.markSeen(member.Ident) {
			c.reconciler.lastNewStoreUnixNano.Store(time.Now().UnixNano())
		}
		// A confirmation may be the last that a change waits for.
		if isNew || change.Running() {
			wakeup.Notify()
		}
	}
}

// firstSeen reports whether an identity is seen for the first time.
func (c *Core) markSeen(ident string) bool {
	_, seen := c.reconciler.seenIdentities.LoadOrStore(ident, true)
	return !seen
}

// reconcile brings a set one step closer to what it should be.
func (c *Core) reconcile(ctx context.Context, set membership.Set) {
	view := c.Cluster.Now()
	change := membership.Of(&view.Cluster, set)
	if !view.SelfManaged && !change.Running() || !c.isReconciler(view) {
		return
	}
	if view.SelfManaged && c.review(ctx, view, set, change) {
		return
	}
	if change.Running() {
		c.advanceChange(ctx, view, set, change)
		time.AfterFunc(retryInterval, c.reconciler.wakeups[set].Notify)
	}
}

// review compares a set with what it should be. It reports whether it has begun a change
// of it, or redirected one that can not complete.
func (c *Core) review(ctx context.Context, view *cluster.View, set membership.Set, change membership.Change) bool {
	ctx, cancel := context.WithTimeout(ctx, reviewTimeout)
	defer cancel()
	observation := c.observe(view, set)
	decision := membership.Decide(observation)
	if len(decision.Ask) > 0 {
		observation.Presence = c.probe(ctx, observation, decision.Ask)
		decision = membership.Decide(observation)
	}
	if decision.Wait {
		time.AfterFunc(retryInterval, c.reconciler.wakeups[set].Notify)
		return false
	}
	if change.Running() {
		if slices.Equal(decision.Machines, change.Next) || !c.stalled(ctx, view, set, change) {
			return false
		}
	} else if slices.Equal(decision.Machines, change.Now) {
		return false
	}
	c.beginChange(ctx, set, change, decision.Target)
	return true
}

// observe is what this core knows of the machines of a set's role.
func (c *Core) observe(view *cluster.View, set membership.Set) membership.Observation {
	return membership.Observation{
		Set:         set,
		Cluster:     &view.Cluster,
		Members:     c.reconciler.nonMembers[set].observe(view, c.members(set.Role())),
		Forming:     time.Since(c.reconciler.bootstrappedAt) <= bootstrapPeriod,
		NewcomerAge: time.Since(time.Unix(0, c.reconciler.lastNewStoreUnixNano.Load())),
	}
}

// nonMembers remembers since when machines of a role have been seen outside their set. Only
// the reconciler of that set uses it.
type nonMemberTracker struct{ since map[string]time.Time }

// observe states of each member for how long it has been seen outside the sets.
func (tracker *nonMemberTracker) observe(view *cluster.View, members []membership.Member) []membership.Member {
	since := map[string]time.Time{}
	for i, m := range members {
		ident := m.Machine.Ident
		if ident == "" || !m.Live || membership.InSets(&view.Cluster, ident) {
			continue
		}
		first, known := tracker.since[ident]
		if !known {
			first = time.Now()
		}
		since[ident] = first
		members[i].KnownFor = time.Since(first)
	}
	tracker.since = since
	return members
}

// members are the machines of a role that this core has seen. Its own entry needs no
// renewal.
func (c *Core) members(role string) []membership.Member {
	var members []membership.Member
	for _, m := range c.table.List() {
		if m.Role == role {
			members = append(members, memberFromWire(m))
		}
	}
	self := memberFromWire(c.Peer.Member(c.Cluster.Now().Version))
	if c.Peer.Self.Role == role {
		members = membership.WithSelf(members, self)
	}
	return members
}

func memberFromWire(member *wire.Member) membership.Member {
	return membership.Member{
		Machine:         spec.Machine{ID: member.Id, Addr: member.Addr, Zone: member.Zone, Ident: member.Ident},
		Start:           member.Inc,
		IdentityVersion: member.IdentityVersion,
		Confirmed:       member.SpecVer,
		Live:            member.Live,
		UnresponsiveFor: time.Duration(member.SilentMs) * time.Millisecond,
	}
}

// probe asks some machines whether they are there. What a renewal reported a while ago is
// checked anew, so that a core that was itself out of contact takes no machine for absent.
func (c *Core) probe(
	ctx context.Context,
	observation membership.Observation,
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
			response, err := c.Peer.CallFor(
				ctx,
				presenceTimeout,
				m.Addr,
				&wire.Req{Ident: m.Ident, Op: &wire.Req_Hello{Hello: &wire.Hello{Head: true}}},
			)
			// A machine whose disk hangs is there, but of no use to its set.
			hungFor := time.Duration(response.GetHello().GetSelf().GetDiskHungMs()) * time.Millisecond
			answers <- answer{m.Ident, err == nil && hungFor < lease.HungDisk}
		}()
	}
	presence := map[string]membership.Presence{}
	for range asked {
		reply := <-answers
		presence[reply.ident] = membership.PresenceOf(reply.answered, c.unresponsiveFor(observation, reply.ident))
	}
	return presence
}

// unresponsiveFor is how long a machine has been without contact. One never seen by this
// core counts as unresponsive for as long as the core has run.
func (c *Core) unresponsiveFor(observation membership.Observation, ident string) time.Duration {
	shortest := time.Since(c.startedAt)
	for _, m := range observation.Members {
		if m.Machine.Ident == ident {
			shortest = min(shortest, m.UnresponsiveFor)
		}
	}
	return shortest
}

// stalled reports whether a change waits for a machine that will not complete it.
func (c *Core) stalled(ctx context.Context, view *cluster.View, set membership.Set, change membership.Change) bool {
	observation := c.observe(view, set)
	stalled, unprobed := change.Stalled(observation)
	if len(unprobed) > 0 {
		observation.Presence = c.probe(ctx, observation, unprobed)
		stalled, _ = change.Stalled(observation)
	}
	return stalled
}

// beginChange begins a change of a set, or redirects one that can not complete.
func (c *Core) beginChange(
	ctx context.Context,
	set membership.Set,
	before membership.Change,
	target membership.Target,
) {
	version, raw, err := c.Cluster.Change(ctx, 0, func(updated *spec.Cluster) error {
		return membership.BeginChange(updated, set, before, target)
	})
	if err != nil {
		if !errors.Is(err, cluster.ErrNoChange) {
			c.Log.Warn("set not changed", "set", set, "err", err)
		}
		return
	}
	c.Log.Info(
		"set change begun",
		"set", set,
		"version", version,
		"from", machineIDs(before.Now),
		"to", machineIDs(target.Machines),
	)
	c.broadcastAsync(ctx, version, raw)
}

func machineIDs(machines []spec.Machine) []string {
	ids := []string{}
	for _, m := range machines {
		ids = append(ids, m.ID)
	}
	return ids
}
