package core

import (
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
)

// memberRow is a row of the members list.
type memberRow struct {
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
	// The cores to query are those of the sets that a majority has in force.
	view, err := c.Cluster.ReadView(x.Request().Context())
	if err != nil {
		return writeError(x, err)
	}
	list, err := c.queryMemberList(x.Request().Context())
	if err != nil {
		return writeError(x, err)
	}
	rows := []memberRow{}
	for _, m := range list.members {
		rows = append(
			rows,
			memberRow{
				m.Id, m.Role, m.Addr, m.Http, m.Zone, m.Live, m.SpecVer, m.SilentMs, isVoter(view, m), m.Status,
			},
		)
	}
	slices.SortFunc(rows, func(a, b memberRow) int {
		if a.ID != b.ID {
			if a.ID < b.ID {
				return -1
			}
			return 1
		}
		return 0
	})
	return x.JSON(http.StatusOK, map[string]any{"members": rows})
}

// isVoter reports whether a member is in a present or next set.
func isVoter(view *cluster.View, m *wire.Member) bool {
	return slices.ContainsFunc(
		slices.Concat(view.Cluster.Cores, view.NextCores, view.Cluster.Stores, view.NextStores),
		func(machine spec.Machine) bool { return machine.Ident != "" && machine.Ident == m.Ident },
	)
}

// getHealth lists the problems that an operator should check first.
func (c *Core) getHealth(x echo.Context) error {
	// The cores to query are those of the sets that a majority has in force.
	view, err := c.Cluster.ReadView(x.Request().Context())
	if err != nil {
		return writeError(x, err)
	}
	list, err := c.queryMemberList(x.Request().Context())
	if err != nil {
		return writeError(x, err)
	}
	problems := []string{}
	if len(view.NextCores)+len(view.NextStores) > 0 {
		problems = append(problems, "a change of a set is under way")
	}
	for _, m := range append(slices.Clone(view.Cluster.Cores), view.Cluster.Stores...) {
		known := list.members[m.ID+"@"+m.Addr]
		switch {
		case known == nil || !known.Live:
			problems = append(problems, m.ID+" is away")
		case m.Ident == "":
			problems = append(problems, m.ID+" is not bound yet")
		case known.Ident != m.Ident:
			problems = append(problems, m.ID+" came back with another identity and does not vote")
		}
	}
	for _, m := range list.members {
		if m.Role == "edge" && !m.Live {
			problems = append(problems, m.Id+" is away")
		}
		if m.Status != "" {
			problems = append(problems, m.Id+": "+m.Status)
		}
	}
	slices.Sort(problems)
	return x.JSON(
		http.StatusOK,
		map[string]any{"ok": len(problems) == 0, "spec": view.Version, "members": len(list.members), "wrong": problems},
	)
}
