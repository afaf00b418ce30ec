package core

import (
	"context"
	"errors"
	"slices"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/proto/spec"
)

// bindStores records the identity of each store in the set that has none yet. One core does so, since
// the changes of several would collide. A recorded identity is never replaced here: a store that lost
// its disk reports a different identity and has to be admitted again.
func (c *Core) bindStores(ctx context.Context) {
	view := c.Cluster.Now()
	idents := map[string]string{}
	for _, m := range c.Lease.Members() {
		if m.Role == "store" && m.Live && !slices.Contains(view.Used, m.Ident) {
			idents[m.Id] = m.Ident
		}
	}
	bindable := func(s spec.Machine) bool { return s.Ident == "" && idents[s.ID] != "" }
	if !slices.ContainsFunc(view.Cluster.Stores, bindable) || !c.isReconciler(view) {
		return
	}
	version, raw, err := c.Cluster.Change(ctx, 0, func(updated *spec.Cluster) error {
		bound := false
		for i, s := range updated.Stores {
			if bindable(s) {
				updated.Stores[i].Ident, bound = idents[s.ID], true
			}
		}
		if !bound {
			return cluster.ErrNoChange
		}
		return nil
	})
	if err != nil {
		if !errors.Is(err, cluster.ErrNoChange) {
			c.Log.Warn("failed to bind stores to their identities", "err", err)
		}
		return
	}
	c.Log.Info("stores bound to their identities", "version", version)
	c.broadcastSpec(ctx, version, raw)
}
