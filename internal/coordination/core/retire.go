package core

import (
	"context"
	"errors"
	"slices"
	"time"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/membership"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

const (
	// maxRetired is the maximum number of names of retired stores to keep. A store that still runs
	// after its name was dropped finds that its identity was removed and rejoins as an empty new
	// machine.
	maxRetired = 256
	// membershipKnownAfter is the uptime after which a core has seen every node that is in contact.
	// It equals the length of a lease, in which a node renews several times.
	membershipKnownAfter = 2500 * time.Millisecond
	// admissionWindow is the time without contact up to which a store outside the sets may still be
	// admitted.
	admissionWindow = 30 * time.Second
)

// Retire has a store emptied and removed. Repeating the request for a store that is being removed
// or already removed has no effect. Permanent rejections are based on the register; temporary ones,
// based on the nodes live at this moment, have code.FewLive or code.NotSeen.
func (c *Core) Retire(ctx context.Context, id string) error {
	list, err := c.queryMemberList(ctx)
	if err != nil {
		return err
	}
	version, raw, err := c.Cluster.Change(ctx, 0, func(updated *spec.Cluster) error {
		if slices.Contains(updated.Retired, id) {
			return cluster.ErrNoChange
		}
		if err := c.RequireContact(ctx); err != nil {
			return err
		}
		return retireStore(updated, id, list.members)
	})
	switch {
	case errors.Is(err, cluster.ErrNoChange):
		return nil
	case code.Of(err) == code.NotSeen && c.confirmedUnknownStore(ctx, id):
		return code.New(code.NoMember, "no store %q", id)
	case err != nil:
		return err
	}
	c.Log.Info("store retiring", "id", id, "version", version)
	c.broadcastAsync(ctx, version, raw)
	return nil
}

// retireStore records in the cluster that a store is to be removed. The known members are a
// snapshot.
func retireStore(state *spec.Cluster, id string, known map[string]*wire.Member) error {
	isStore := func(m *wire.Member) bool { return m.Role == membership.Stores.Role() }
	inSet := slices.ContainsFunc(
		slices.Concat(state.Stores, state.NextStores),
		func(m spec.Machine) bool { return m.ID == id },
	)
	seen := false
	for _, m := range known {
		seen = seen || m.Id == id && isStore(m)
	}
	if !inSet && !seen {
		return code.New(code.NotSeen, "no store %q has been seen", id)
	}
	if err := checkRemainingStores(state, id, known); inSet && err != nil {
		return err
	}
	state.Retired = append(state.Retired, id)
	state.Retired = pruneRetired(state)
	return nil
}

// checkRemainingStores rejects the removal of a store permanently if the set without it could not
// have as many stores as replicas, and temporarily if fewer of the remaining stores are live.
func checkRemainingStores(state *spec.Cluster, id string, known map[string]*wire.Member) error {
	copies := cluster.Copies(state)
	candidates := map[string]bool{}
	for _, m := range slices.Concat(state.Stores, state.NextStores) {
		candidates[m.ID] = true
	}
	live := 0
	for _, m := range known {
		remains := m.Id != id && m.Role == membership.Stores.Role() && !slices.Contains(state.Retired, m.Id)
		switch {
		case !remains:
		case membership.Has(state.Stores, m.Ident):
			if m.Live {
				live++
			}
		case !membership.IdentityRefused(state, m.Ident, m.IdentityVersion) &&
			m.SilentMs < admissionWindow.Milliseconds():
			// The store may still be admitted.
			candidates[m.Id] = true
		}
	}
	delete(candidates, id)
	for _, retired := range state.Retired {
		delete(candidates, retired)
	}
	switch {
	case len(candidates) < copies:
		return code.New(code.BelowCopies, "%d machines would be left for %d copies", len(candidates), copies)
	case live < copies:
		return code.New(code.FewLive, "%d live machines would be left for %d copies at this moment", live, copies)
	}
	return nil
}

// pruneRetired returns the list of retired names. If it exceeds maxRetired, the oldest names that
// are in no set are dropped.
func pruneRetired(state *spec.Cluster) []string {
	excess := len(state.Retired) - maxRetired
	if excess <= 0 {
		return state.Retired
	}
	sets := slices.Concat(state.Stores, state.NextStores)
	var remaining []string
	for _, id := range state.Retired {
		inSet := slices.ContainsFunc(sets, func(m spec.Machine) bool { return m.ID == id })
		if excess > 0 && !inSet {
			excess--
			continue
		}
		remaining = append(remaining, id)
	}
	return remaining
}

// confirmedUnknownStore reports whether no store of the given name is known to a majority of the
// cores, each of which has run long enough to have seen every node in contact.
func (c *Core) confirmedUnknownStore(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, membersTimeout)
	defer cancel()
	set := c.Cluster.Now().Cores()
	cores := set.All()
	answers := c.queryMembers(ctx, cores)
	matches := func(m *wire.Member) bool { return m.Id == id && m.Role == membership.Stores.Role() }
	witnesses := map[register.Replica]bool{}
	for range cores {
		answer := <-answers
		if answer.err != nil || answer.ack.GetUpMs() < membershipKnownAfter.Milliseconds() {
			continue
		}
		if slices.ContainsFunc(answer.ack.GetMembers(), matches) {
			return false
		}
		witnesses[answer.core] = true
		if set.Quorum(witnesses) {
			return true
		}
	}
	return false
}

// Retired reports whether a retiring store has left the sets and holds no data that is still
// needed.
func (c *Core) Retired(ctx context.Context, id string) (bool, error) {
	view, err := c.Cluster.ReadView(ctx)
	if err != nil {
		return false, err
	}
	inSet := slices.ContainsFunc(
		slices.Concat(view.Cluster.Stores, view.NextStores),
		func(m spec.Machine) bool { return m.ID == id },
	)
	if !slices.Contains(view.Retired, id) {
		if !inSet {
			return false, code.New(code.NoMember, "no store %q is to go", id)
		}
		return false, nil
	}
	return !inSet, nil
}
