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

// The reconciler of a self-managed set runs on the first live core. It compares the set with the
// machines present and changes the set one step at a time. Package membership decides what the set
// should be; this file observes and probes the machines and changes the register.

const (
	// retryInterval is the interval at which a reconciler checks a condition that it waits for.
	retryInterval = 100 * time.Millisecond
	// reviewTimeout bounds the time from the first observation to the change based on it, so that a
	// core that was paused in between does not begin a change from outdated observations.
	reviewTimeout = 4 * time.Second
	// presenceTimeout is how long a machine has to answer a presence probe.
	presenceTimeout = 300 * time.Millisecond
	// bootstrapPeriod is the time after forming the set during which a core counts new machines as
	// part of the initial set-up, so that they do not replace other machines later.
	bootstrapPeriod = 6 * time.Second
)

// onRenewal wakes the reconcilers if a lease renewal shows a new machine or may complete a change.
func (c *Core) onRenewal(view *cluster.View, member *wire.Member) {
	for set, wakeup := range c.reconciler.wakeups {
		change := membership.Of(&view.Cluster, set)
		known := membership.Has(change.Now, member.GetIdent()) || membership.Has(change.Next, member.GetIdent())
		isNew := member.GetRole() == set.Role() && !known
		if isNew && set == membership.Stores && c.markSeen(member.Ident) {
			c.reconciler.lastNewStoreUnixNano.Store(time.Now().UnixNano())
		}
		// This confirmation may be the last one that a change waits for.
		if isNew || change.Running() {
			wakeup.Notify()
		}
	}
}

// markSeen records an identity and reports whether it is seen for the first time.
func (c *Core) markSeen(ident string) bool {
	_, seen := c.reconciler.seenIdentities.LoadOrStore(ident, true)
	return !seen
}

// reconcile brings a set one step closer to its target.
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

// review compares a set with its target. It reports whether it has begun a change of the set or
// redirected a change that cannot complete.
func (c *Core) review(ctx context.Context, view *cluster.View, set membership.Set, change membership.Change) bool {
	ctx, cancel := context.WithTimeout(ctx, reviewTimeout)
	defer cancel()
	observation := c.observe(view, set)
	decision := membership.Decide(observation)
	if len(decision.Probe) > 0 {
		observation.Presence = c.probe(ctx, observation, decision.Probe)
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

// observe returns what this core knows about the machines of a set's role.
func (c *Core) observe(view *cluster.View, set membership.Set) membership.Observation {
	return membership.Observation{
		Set:         set,
		Cluster:     &view.Cluster,
		Members:     c.reconciler.nonMembers[set].observe(view, c.members(set.Role())),
		Forming:     time.Since(c.reconciler.bootstrappedAt) <= bootstrapPeriod,
		NewcomerAge: time.Since(time.Unix(0, c.reconciler.lastNewStoreUnixNano.Load())),
	}
}

// nonMemberTracker records since when machines of a role have been seen outside their set. Only the
// reconciler of that set uses it.
type nonMemberTracker struct{ firstSeen map[string]time.Time }

// observe sets for each member how long it has been seen outside the sets.
func (tracker *nonMemberTracker) observe(view *cluster.View, members []membership.Member) []membership.Member {
	firstSeen := map[string]time.Time{}
	for i, m := range members {
		ident := m.Machine.Ident
		if ident == "" || !m.Live || membership.InSets(&view.Cluster, ident) {
			continue
		}
		first, known := tracker.firstSeen[ident]
		if !known {
			first = time.Now()
		}
		firstSeen[ident] = first
		members[i].OutsideFor = time.Since(first)
	}
	tracker.firstSeen = firstSeen
	return members
}

// members returns the machines of a role that this core has seen. Its own entry does not depend on
// a lease renewal.
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

// probe asks the given machines whether they are present. Earlier renewals are not enough: a core
// that was itself out of contact must not consider other machines absent.
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
			response, err := c.Peer.CallWithTimeout(
				ctx,
				presenceTimeout,
				m.Addr,
				&wire.Req{Ident: m.Ident, Op: &wire.Req_Hello{Hello: &wire.Hello{Head: true}}},
			)
			// A machine with a hung disk responds but is of no use to its set.
			hungFor := time.Duration(response.GetHello().GetSelf().GetDiskHungMs()) * time.Millisecond
			answers <- answer{m.Ident, err == nil && hungFor < lease.HungDiskTimeout}
		}()
	}
	presence := map[string]membership.Presence{}
	for range asked {
		reply := <-answers
		presence[reply.ident] = membership.PresenceOf(reply.answered, c.unresponsiveFor(observation, reply.ident))
	}
	return presence
}

// unresponsiveFor is how long a machine has been without contact. A machine that this core has
// never seen counts as unresponsive since the start of this core.
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

// beginChange begins a change of a set or redirects a change that cannot complete.
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
			c.Log.Warn("failed to begin set change", "set", set, "err", err)
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
