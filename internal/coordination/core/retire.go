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
	// maxRetired bounds the names of retired stores that are remembered. A store whose
	// name was forgotten and that still runs finds its identity removed, and comes back
	// as the empty stranger that it then is.
	maxRetired = 256
	// membershipKnownAfter is the time after which a core that runs has seen every node that
	// is in contact: the length of a lease, in which a node renews several times.
	membershipKnownAfter = 2500 * time.Millisecond
	// admissionWindow is the time without contact up to which a store that is in no set may
	// still be taken in.
	admissionWindow = 30 * time.Second
)

// Retire has a store emptied and removed. A repeated order for one that is removed, or
// is about to be, changes nothing. What it refuses for good rests on the register;
// what rests on who is live at this moment is code.FewLive or code.NotHeard.
func (c *Core) Retire(ctx context.Context, id string) error {
	list, err := c.knownMembers(ctx)
	if err != nil {
		return err
	}
	ver, raw, err := c.Cluster.Change(ctx, 0, func(r *spec.Cluster) error {
		if slices.Contains(r.Retired, id) {
			return cluster.ErrNoChange
		}
		if err := c.RequireContact(ctx); err != nil {
			return err
		}
		return retireStore(r, id, list.members)
	})
	switch {
	case errors.Is(err, cluster.ErrNoChange):
		return nil
	case code.Of(err) == code.NotSeen && c.confirmedUnknown(ctx, id):
		return code.New(code.NoMember, "no store %q", id)
	case err != nil:
		return err
	}
	c.Log.Info("store retiring", "id", id, "version", ver)
	c.broadcastAsync(ctx, ver, raw)
	return nil
}

// retireStore notes in the cluster that a store is to go. The members known are a
// view of this moment.
func retireStore(r *spec.Cluster, id string, known map[string]*wire.Member) error {
	isStore := func(m *wire.Member) bool { return m.Role == membership.Stores.Role() }
	in := slices.ContainsFunc(slices.Concat(r.Stores, r.NextStores), func(m spec.Machine) bool { return m.ID == id })
	there := false
	for _, m := range known {
		there = there || m.Id == id && isStore(m)
	}
	if !in && !there {
		return code.New(code.NotSeen, "no store %q has been seen", id)
	}
	if err := enoughLeft(r, id, known); in && err != nil {
		return err
	}
	r.Retired = append(r.Retired, id)
	r.Retired = forgetRetired(r)
	return nil
}

// enoughLeft refuses for good to let a store go where the set can't be as large as the
// copies without it, and for the moment where fewer of the others are live.
func enoughLeft(r *spec.Cluster, id string, known map[string]*wire.Member) error {
	copies := cluster.Copies(r)
	possible := map[string]bool{}
	for _, m := range slices.Concat(r.Stores, r.NextStores) {
		possible[m.ID] = true
	}
	live := 0
	for _, m := range known {
		stays := m.Id != id && m.Role == membership.Stores.Role() && !slices.Contains(r.Retired, m.Id)
		switch {
		case !stays:
		case membership.Has(r.Stores, m.Ident):
			if m.Live {
				live++
			}
		case !membership.IdentityRefused(r, m.Ident, m.IdentityVersion) && m.SilentMs < admissionWindow.Milliseconds():
			// It may be taken in yet.
			possible[m.Id] = true
		}
	}
	delete(possible, id)
	for _, probed := range r.Retired {
		delete(possible, probed)
	}
	switch {
	case len(possible) < copies:
		return code.New(code.BelowCopies, "%d machines would be left for %d copies", len(possible), copies)
	case live < copies:
		return code.New(code.FewLive, "%d live machines would be left for %d copies at this moment", live, copies)
	}
	return nil
}

// forgetRetired is the list of retired names without the oldest that are in no set
// any more, as far as the list is too long.
func forgetRetired(r *spec.Cluster) []string {
	extra := len(r.Retired) - maxRetired
	if extra <= 0 {
		return r.Retired
	}
	sets := slices.Concat(r.Stores, r.NextStores)
	var kept []string
	for _, id := range r.Retired {
		in := slices.ContainsFunc(sets, func(m spec.Machine) bool { return m.ID == id })
		if extra > 0 && !in {
			extra--
			continue
		}
		kept = append(kept, id)
	}
	return kept
}

// confirmedUnknown reports whether a majority of the cores, each of which has run for long enough
// to have seen every node in contact, knows no store of a name.
func (c *Core) confirmedUnknown(ctx context.Context, id string) bool {
	ctx, stop := context.WithTimeout(ctx, membersTimeout)
	defer stop()
	set := c.Cluster.Now().Cores()
	cores := set.All()
	answers := c.askMembers(ctx, cores)
	isStore := func(m *wire.Member) bool { return m.Id == id && m.Role == membership.Stores.Role() }
	witnesses := map[register.Replica]bool{}
	for range cores {
		a := <-answers
		if a.err != nil || a.ack.GetUpMs() < membershipKnownAfter.Milliseconds() {
			continue
		}
		if slices.ContainsFunc(a.ack.GetMembers(), isStore) {
			return false
		}
		witnesses[a.core] = true
		if set.Quorum(witnesses) {
			return true
		}
	}
	return false
}

// Retired reports whether a store that is to go holds nothing any more that is needed.
func (c *Core) Retired(ctx context.Context, id string) (bool, error) {
	v, err := c.Cluster.ReadView(ctx)
	if err != nil {
		return false, err
	}
	in := slices.ContainsFunc(
		slices.Concat(v.Cluster.Stores, v.NextStores),
		func(m spec.Machine) bool { return m.ID == id },
	)
	if !slices.Contains(v.Retired, id) {
		if !in {
			return false, code.New(code.NoMember, "no store %q is to go", id)
		}
		return false, nil
	}
	return !in, nil
}
