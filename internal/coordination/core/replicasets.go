package core

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/membership"
	"damsontiller/internal/coordination/web"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// The register first holds both sets, and every quorum is then a majority of each;
// then all keys are brought to the machines of the new set that lack them; then the
// new set stands alone. Each step may be done twice, so it does not matter who does
// it, nor that it is only one.

// setRoutes puts the commands for sets on e.
func (c *Core) setRoutes(e *echo.Echo) {
	e.GET("/v1/sets", c.getSets)
	e.POST("/v1/sets/:set/admit", func(x echo.Context) error { return c.changeSet(x, c.admit) })
	e.POST("/v1/sets/:set/retire", func(x echo.Context) error { return c.changeSet(x, c.retire) })
	e.POST("/v1/sets/:set/abandon", func(x echo.Context) error { return c.changeSet(x, c.abandon) })
}

// setOrder is an operator's order about a set.
type setOrder struct {
	ID  string `json:"id"`
	For string `json:"for"` // the machine of the set whose place it takes
}

func (c *Core) getSets(x echo.Context) error {
	if err := c.Cluster.Read(x.Request().Context()); err != nil {
		return fail(x, err)
	}
	v := c.Cluster.Now()
	return x.JSON(http.StatusOK, map[string]any{"version": v.Version, "cores": v.Cluster.Cores, "next_cores": v.NextCores, "stores": v.Cluster.Stores, "next_stores": v.NextStores, "moved": c.keysMoved.Load()})
}

func (c *Core) changeSet(x echo.Context, do func(*spec.Cluster, membership.Set, setOrder, []*wire.Member) error) error {
	set, err := membership.ParseSet(x.Param("set"))
	if err != nil {
		return web.Fail(x, err)
	}
	var o setOrder
	b, err := web.Body(x, 4096)
	if err != nil {
		return fail(x, err)
	}
	if err := web.Strict(b, &o); err != nil {
		return fail(x, err)
	}
	all, err := c.knownMembers(x.Request().Context())
	if err != nil {
		return fail(x, err)
	}
	var ms []*wire.Member
	for _, m := range all {
		ms = append(ms, m)
	}
	return c.change(x, 0, func(r *spec.Cluster) error {
		if err := c.InContact(x.Request().Context()); err != nil {
			return err
		}
		return do(r, set, o, ms)
	})
}

func (c *Core) admit(r *spec.Cluster, set membership.Set, o setOrder, ms []*wire.Member) error {
	now := membership.Of(r, set)
	if now.Running() {
		return code.New(code.SetChanging, "another change of the %s is under way", set)
	}
	if set == membership.Cores && o.For == "" {
		return code.New(code.BadField, "for: name the core machine whose place it takes")
	}
	role := set.Role()
	old := slices.IndexFunc(now.Now, func(m spec.Machine) bool { return m.ID == o.For })
	if o.For != "" && old < 0 {
		return code.New(code.NoMember, "%q is not in the set", o.For)
	}
	// Several may have come under that name; the one that lives and is not in
	// the set is meant.
	err := code.New(code.NoMember, "no %s %q has a lease", role, o.ID)
	for _, m := range ms {
		if m.Id != o.ID || m.Role != role {
			continue
		}
		switch {
		case !m.Live:
			// It may be live again at any moment.
			if code.Of(err) == code.NoMember {
				err = code.New(code.NotSeen, "no live %s %q has a lease at this moment", role, o.ID)
			}
			continue
		case m.Ident == "":
			continue
		case membership.Has(now.Now, m.Ident):
			err = code.New(code.InSet, "%s is in the set already", o.ID)
			continue
		case membership.IdentityRefused(r, m.Ident, m.IdentityVersion):
			err = code.New(code.UsedIdentity, "%s comes with an identity that was let go", o.ID)
			continue
		case slices.ContainsFunc(now.Now, func(s spec.Machine) bool { return s.ID == o.ID && o.For != o.ID }):
			err = code.New(code.InSet, "the set has a machine %s; admit it in that one's place", o.ID)
			continue
		}
		n := spec.Machine{ID: m.Id, Addr: m.Addr, Zone: m.Zone, Ident: m.Ident}
		next := slices.Clone(now.Now)
		if old >= 0 {
			next[old] = n
		} else {
			next = append(next, n)
		}
		membership.SetNext(r, set, next)
		// Whoever is named by an operator is wanted again.
		r.Retired = slices.DeleteFunc(r.Retired, func(id string) bool { return id == o.ID })
		return nil
	}
	return err
}

func (c *Core) retire(r *spec.Cluster, set membership.Set, o setOrder, _ []*wire.Member) error {
	now := membership.Of(r, set)
	if now.Running() {
		return code.New(code.SetChanging, "another change of the %s is under way", set)
	}
	i := slices.IndexFunc(now.Now, func(m spec.Machine) bool { return m.ID == o.ID })
	if i < 0 {
		return code.New(code.NoMember, "%q is not in the set", o.ID)
	}
	if n := cluster.Copies(r); len(now.Now) <= n {
		return code.New(code.BelowCopies, "%d machines would be left for %d copies; admit another in its place", len(now.Now)-1, n)
	}
	if set == membership.Stores && r.SelfManaged {
		r.Retired = append(r.Retired, o.ID)
	}
	membership.SetNext(r, set, slices.Delete(slices.Clone(now.Now), i, i+1))
	return nil
}

// abandon goes back to the old set, which has been whole all the while.
func (c *Core) abandon(r *spec.Cluster, set membership.Set, _ setOrder, _ []*wire.Member) error {
	if !membership.Of(r, set).Running() {
		return code.New(code.BadField, "no change of the %s is under way", set)
	}
	membership.SetNext(r, set, nil)
	return nil
}

// isReconciler tells whether this core does the sets' duty.
func (c *Core) isReconciler(v *cluster.View) bool {
	self := observed(c.Peer.Member(0))
	return membership.IsReconciler(&v.Cluster, self.Machine, c.members(membership.Cores.Role())) && c.Lease.Valid()
}

// advanceChange brings a change of a set further: the keys are brought to the new set, then it
// stands alone. Nobody needs to be waited for. Of the old set's machines a majority
// refuses whoever acts on that set alone before the change goes on: of the cores
// because they have confirmed, of the stores, for each key that moves, because it was
// they who gave what they had of it.
func (c *Core) advanceChange(ctx context.Context, v *cluster.View, set membership.Set, change membership.Change) {
	var ready bool
	if set == membership.Cores {
		ready = c.confirmed(v)
	} else {
		ready = c.keysTransferred(ctx, v, change)
	}
	if ready {
		c.finishChange(ctx, set, change)
	}
}

// confirmed tells whether a majority of the old cores has the change in force. The
// spec's is their only register, and settling writes it to both sets.
func (c *Core) confirmed(v *cluster.View) bool {
	versions := map[string]uint64{c.Peer.Ident(): c.Cluster.Now().Version}
	for _, m := range c.members(membership.Cores.Role()) {
		ident := m.Machine.Ident
		versions[ident] = max(versions[ident], m.Confirmed)
	}
	return membership.Confirmed(v.Cluster.Cores, versions, v.CoresVersion)
}

// keysTransferred has the keys brought to the next stores, and tells whether they are. Each
// renewal comes by here; a try that failed is not made again at once.
func (c *Core) keysTransferred(ctx context.Context, v *cluster.View, change membership.Change) bool {
	if time.Since(c.lastTransferFailure) < retryInterval {
		return false
	}
	if err := c.transferKeys(ctx, v, change); err != nil {
		c.Log.Info("set not moved yet", "set", membership.Stores, "moved", c.keysMoved.Load(), "err", err)
		c.lastTransferFailure = time.Now()
		return false
	}
	return true
}

// transferTimeout is how long one call waits for a store to have its keys; it goes on
// meanwhile.
const transferTimeout = 2 * time.Second

// transferKeys has each store of the next set bring what falls to it.
func (c *Core) transferKeys(ctx context.Context, v *cluster.View, change membership.Change) error {
	type answer struct {
		a   *wire.FillAck
		err error
	}
	rate := c.params.MoveRate
	if v.SelfManaged {
		// A set that lacks a machine is in more danger than the traffic is in haste.
		rate = 0
	}
	gainers := change.Receivers(v.Copies())
	ch := make(chan answer, len(gainers))
	for _, m := range gainers {
		go func() {
			order := &wire.Fill{Spec: v.StoresVersion, Sets: v.StoresDigest(), Rate: int32(rate)}
			r, err := c.Peer.CallFor(ctx, transferTimeout+time.Second, m.Addr, &wire.Req{Ident: m.Ident, Op: &wire.Req_Fill{Fill: order}})
			if err != nil {
				err = fmt.Errorf("%s: %w", m.ID, err)
			}
			ch <- answer{r.GetFill(), err}
		}()
	}
	var keys int64
	var last error
	for range gainers {
		a := <-ch
		keys += a.a.GetKeys()
		switch {
		case a.err != nil:
			last = a.err
		case !a.a.GetWhole():
			last = code.New(code.SetChanging, "keys are on their way")
		}
	}
	c.keysMoved.Store(keys)
	return last
}

// finishChange lets the new set stand alone.
func (c *Core) finishChange(ctx context.Context, set membership.Set, change membership.Change) {
	ctx, stop := context.WithTimeout(ctx, 3*time.Second)
	defer stop()
	ver, raw, err := c.Cluster.Change(ctx, 0, func(r *spec.Cluster) error {
		return membership.FinishChange(r, set, change)
	})
	if err != nil {
		if !errors.Is(err, cluster.ErrNoChange) {
			c.Log.Warn("set not settled", "set", set, "err", err)
		}
		return
	}
	c.Log.Info("set changed", "set", set, "version", ver, "machines", len(change.Next), "moved", c.keysMoved.Load())
	c.broadcastAsync(ctx, ver, raw)
}

// broadcastAsync sends a version down the tree while the duty goes on.
func (c *Core) broadcastAsync(ctx context.Context, ver uint64, raw []byte) {
	ctx = context.WithoutCancel(ctx)
	c.Go(ctx, func(ctx context.Context) { c.broadcastSpec(ctx, ver, raw) })
}
