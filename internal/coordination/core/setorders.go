package core

import (
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/membership"
	"damsontiller/internal/coordination/web"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// setRoutes puts the commands for sets on e.
func (c *Core) setRoutes(e *echo.Echo) {
	e.GET("/v1/sets", c.getSets)
	e.POST("/v1/sets/:set/admit", func(x echo.Context) error { return c.changeSet(x, c.admit) }, identified)
	e.POST("/v1/sets/:set/retire", func(x echo.Context) error { return c.changeSet(x, c.retire) }, identified)
	e.POST("/v1/sets/:set/abandon", func(x echo.Context) error { return c.changeSet(x, c.abandon) }, identified)
}

// setOrder is an operator's order about a set.
type setOrder struct {
	ID  string `json:"id"`
	For string `json:"for"` // the machine of the set whose place it takes
}

func (c *Core) getSets(x echo.Context) error {
	v, err := c.Cluster.ReadView(x.Request().Context())
	if err != nil {
		return fail(x, err)
	}
	return x.JSON(
		http.StatusOK,
		map[string]any{
			"version":     v.Version,
			"cores":       v.Cluster.Cores,
			"next_cores":  v.NextCores,
			"stores":      v.Cluster.Stores,
			"next_stores": v.NextStores,
			"moved":       c.reconciler.keysMoved.Load(),
		},
	)
}

func (c *Core) changeSet(
	x echo.Context,
	do func(*spec.Cluster, membership.Set, setOrder, []*wire.Member) error,
) error {
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
	list, err := c.knownMembers(x.Request().Context())
	if err != nil {
		return fail(x, err)
	}
	var ms []*wire.Member
	for _, m := range list.members {
		ms = append(ms, m)
	}
	return c.change(x, 0, func(r *spec.Cluster) error {
		if err := c.RequireContact(x.Request().Context()); err != nil {
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
	// Several may have come under that name; the one that is live and is not in
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
			err = code.New(code.UsedIdentity, "%s comes with an identity that was removed", o.ID)
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
		return code.New(
			code.BelowCopies,
			"%d machines would be left for %d copies; admit another in its place",
			len(now.Now)-1,
			n,
		)
	}
	if set == membership.Stores && r.SelfManaged {
		r.Retired = append(r.Retired, o.ID)
	}
	membership.SetNext(r, set, slices.Delete(slices.Clone(now.Now), i, i+1))
	return nil
}

// abandon goes back to the old set, which has been complete all the while.
func (c *Core) abandon(r *spec.Cluster, set membership.Set, _ setOrder, _ []*wire.Member) error {
	if !membership.Of(r, set).Running() {
		return code.New(code.BadField, "no change of the %s is under way", set)
	}
	membership.SetNext(r, set, nil)
	return nil
}
