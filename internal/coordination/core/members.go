package core

import (
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
)

// member is a row of the members list.
type member struct {
	ID       string `json:"id"`
	Role     string `json:"role"`
	Addr     string `json:"addr"`
	HTTP     string `json:"http"`
	Zone     string `json:"zone"`
	Live     bool   `json:"live"`
	Spec     uint64 `json:"spec"`
	SilentMs int64  `json:"silent_ms"`
	Votes    bool   `json:"votes"`
	Status   string `json:"status,omitempty"`
}

func (c *Core) getMembers(x echo.Context) error {
	// The sets whose cores are asked are those that a majority has in force.
	v, err := c.Cluster.ReadView(x.Request().Context())
	if err != nil {
		return fail(x, err)
	}
	list, err := c.knownMembers(x.Request().Context())
	if err != nil {
		return fail(x, err)
	}
	out := []member{}
	for _, m := range list.members {
		out = append(
			out,
			member{m.Id, m.Role, m.Addr, m.Http, m.Zone, m.Live, m.SpecVer, m.SilentMs, votes(v, m), m.Status},
		)
	}
	slices.SortFunc(out, func(a, b member) int {
		if a.ID != b.ID {
			if a.ID < b.ID {
				return -1
			}
			return 1
		}
		return 0
	})
	return x.JSON(http.StatusOK, map[string]any{"members": out})
}

// votes reports whether a member is in a present or next set.
func votes(v *cluster.View, m *wire.Member) bool {
	return slices.ContainsFunc(
		slices.Concat(v.Cluster.Cores, v.NextCores, v.Cluster.Stores, v.NextStores),
		func(s spec.Machine) bool { return s.Ident != "" && s.Ident == m.Ident },
	)
}

// getHealth tells what an operator should check first.
func (c *Core) getHealth(x echo.Context) error {
	// The sets whose cores are asked are those that a majority has in force.
	v, err := c.Cluster.ReadView(x.Request().Context())
	if err != nil {
		return fail(x, err)
	}
	list, err := c.knownMembers(x.Request().Context())
	if err != nil {
		return fail(x, err)
	}
	wrong := []string{}
	if len(v.NextCores)+len(v.NextStores) > 0 {
		wrong = append(wrong, "a change of a set is under way")
	}
	for _, m := range append(slices.Clone(v.Cluster.Cores), v.Cluster.Stores...) {
		g := list.members[m.ID+"@"+m.Addr]
		switch {
		case g == nil || !g.Live:
			wrong = append(wrong, m.ID+" is away")
		case m.Ident == "":
			wrong = append(wrong, m.ID+" is not bound yet")
		case g.Ident != m.Ident:
			wrong = append(wrong, m.ID+" came back with another identity and does not vote")
		}
	}
	for _, m := range list.members {
		if m.Role == "edge" && !m.Live {
			wrong = append(wrong, m.Id+" is away")
		}
		if m.Status != "" {
			wrong = append(wrong, m.Id+": "+m.Status)
		}
	}
	slices.Sort(wrong)
	return x.JSON(
		http.StatusOK,
		map[string]any{"ok": len(wrong) == 0, "spec": v.Version, "members": len(list.members), "wrong": wrong},
	)
}
