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

// setRoutes registers the requests about sets on e.
func (c *Core) setRoutes(e *echo.Echo) {
	e.GET("/v1/sets", c.getSets)
	e.POST("/v1/sets/:set/admit", func(x echo.Context) error { return c.changeSet(x, c.admit) }, withOperationID)
	e.POST("/v1/sets/:set/retire", func(x echo.Context) error { return c.changeSet(x, c.retire) }, withOperationID)
	e.POST("/v1/sets/:set/abandon", func(x echo.Context) error { return c.changeSet(x, c.abandon) }, withOperationID)
}

// setRequest is an operator's request about a set.
type setRequest struct {
	ID  string `json:"id"`
	For string `json:"for"` // the machine of the set to be replaced
}

func (c *Core) getSets(x echo.Context) error {
	view, err := c.Cluster.ReadView(x.Request().Context())
	if err != nil {
		return writeError(x, err)
	}
	return x.JSON(
		http.StatusOK,
		map[string]any{
			"version":     view.Version,
			"cores":       view.Cluster.Cores,
			"next_cores":  view.NextCores,
			"stores":      view.Cluster.Stores,
			"next_stores": view.NextStores,
			"moved":       c.reconciler.keysMoved.Load(),
		},
	)
}

func (c *Core) changeSet(
	x echo.Context,
	edit func(*spec.Cluster, membership.Set, setRequest, []*wire.Member) error,
) error {
	set, err := membership.ParseSet(x.Param("set"))
	if err != nil {
		return web.Fail(x, err)
	}
	var request setRequest
	body, err := web.ReadBody(x, maxRequestBytes)
	if err != nil {
		return writeError(x, err)
	}
	if err := web.DecodeStrict(body, &request); err != nil {
		return writeError(x, err)
	}
	list, err := c.queryMemberList(x.Request().Context())
	if err != nil {
		return writeError(x, err)
	}
	var members []*wire.Member
	for _, m := range list.members {
		members = append(members, m)
	}
	return c.change(x, 0, func(updated *spec.Cluster) error {
		if err := c.RequireContact(x.Request().Context()); err != nil {
			return err
		}
		return edit(updated, set, request, members)
	})
}

func (c *Core) admit(state *spec.Cluster, set membership.Set, request setRequest, members []*wire.Member) error {
	current := membership.Of(state, set)
	if current.Running() {
		return code.New(code.SetChanging, "another change of the %s is under way", set)
	}
	if set == membership.Cores && request.For == "" {
		return code.New(code.BadField, "for: name the core machine whose place it takes")
	}
	role := set.Role()
	replacedIndex := slices.IndexFunc(current.Now, func(m spec.Machine) bool { return m.ID == request.For })
	if request.For != "" && replacedIndex < 0 {
		return code.New(code.NoMember, "%q is not in the set", request.For)
	}
	// Several machines may have used that name; the live one outside the set is meant.
	err := code.New(code.NoMember, "no %s %q has a lease", role, request.ID)
	for _, m := range members {
		if m.Id != request.ID || m.Role != role {
			continue
		}
		switch {
		case !m.Live:
			// It may be live again at any moment.
			if code.Of(err) == code.NoMember {
				err = code.New(code.NotSeen, "no live %s %q has a lease at this moment", role, request.ID)
			}
			continue
		case m.Ident == "":
			continue
		case membership.Has(current.Now, m.Ident):
			err = code.New(code.InSet, "%s is in the set already", request.ID)
			continue
		case membership.IdentityRefused(state, m.Ident, m.IdentityVersion):
			err = code.New(code.UsedIdentity, "%s comes with an identity that was removed", request.ID)
			continue
		case slices.ContainsFunc(
			current.Now,
			func(s spec.Machine) bool { return s.ID == request.ID && request.For != request.ID },
		):
			err = code.New(code.InSet, "the set has a machine %s; admit it in that one's place", request.ID)
			continue
		}
		admitted := spec.Machine{ID: m.Id, Addr: m.Addr, Zone: m.Zone, Ident: m.Ident}
		next := slices.Clone(current.Now)
		if replacedIndex >= 0 {
			next[replacedIndex] = admitted
		} else {
			next = append(next, admitted)
		}
		membership.SetNext(state, set, next)
		// A machine that an operator admits by name is no longer retired.
		state.Retired = slices.DeleteFunc(state.Retired, func(id string) bool { return id == request.ID })
		return nil
	}
	return err
}

func (c *Core) retire(state *spec.Cluster, set membership.Set, request setRequest, _ []*wire.Member) error {
	current := membership.Of(state, set)
	if current.Running() {
		return code.New(code.SetChanging, "another change of the %s is under way", set)
	}
	i := slices.IndexFunc(current.Now, func(m spec.Machine) bool { return m.ID == request.ID })
	if i < 0 {
		return code.New(code.NoMember, "%q is not in the set", request.ID)
	}
	if copies := cluster.Copies(state); len(current.Now) <= copies {
		return code.New(
			code.BelowCopies,
			"%d machines would be left for %d copies; admit another in its place",
			len(current.Now)-1,
			copies,
		)
	}
	if set == membership.Stores && state.SelfManaged {
		state.Retired = append(state.Retired, request.ID)
	}
	membership.SetNext(state, set, slices.Delete(slices.Clone(current.Now), i, i+1))
	return nil
}

// abandon returns to the old set, which has remained complete during the change.
func (c *Core) abandon(state *spec.Cluster, set membership.Set, _ setRequest, _ []*wire.Member) error {
	if !membership.Of(state, set).Running() {
		return code.New(code.BadField, "no change of the %s is under way", set)
	}
	membership.SetNext(state, set, nil)
	return nil
}
