package core

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/proto/spec"
)

// Explanation says which placements follow from an intent.
type Explanation struct {
	Intent string `json:"intent"`
	Means  string `json:"means"`
}

// explain tells what the intents in force come to.
func (c *Core) explain(x echo.Context) error {
	v, err := c.Cluster.ReadView(x.Request().Context())
	if err != nil {
		return fail(x, err)
	}
	return x.JSON(http.StatusOK, map[string]any{"version": v.Version, "intents": Explain(v)})
}

// Explain works out the placements of each intent of a version.
func Explain(v *cluster.View) []Explanation {
	s := &v.Spec
	out := []Explanation{}
	add := func(intent, means string, a ...any) {
		out = append(out, Explanation{intent, fmt.Sprintf(means, a...)})
	}
	for i, r := range s.Routes {
		var on, off []string
		for _, n := range s.Runners {
			switch {
			case n.Route != r.Name:
			case s.Empty(n.Zone):
				off = append(off, n.Name)
			default:
				on = append(on, n.Name)
			}
		}
		m := "goes to " + strings.Join(on, ", ")
		if len(on) == 0 {
			m = "goes nowhere"
		}
		if len(off) > 0 {
			m += "; not to " + strings.Join(off, ", ") + ", whose zones are emptied"
		}
		add(fmt.Sprintf("routes[%d] %s", i, r.Name), "%s; one cooldown for each %s", m, coolsBy(s, r))
	}
	for i, k := range s.Classes {
		m := fmt.Sprintf("number %d in every backlog", i+1)
		if k.Reserve > 0 {
			m += fmt.Sprintf("; %d percent of the slots of every runner are for urgent work only", k.Reserve)
		}
		add(fmt.Sprintf("classes[%d] %s", i, k.Name), "%s", m)
	}
	for i, k := range s.Keeping {
		add(
			fmt.Sprintf("keeping[%d] %s", i, k.Class),
			"turns are kept for %s of the stores' open time, at two of three stores before they are answered",
			time.Duration(k.KeepS)*time.Second,
		)
	}
	for i, b := range s.Budgets {
		add(
			fmt.Sprintf("budgets[%d] %s", i, b.Programs),
			"each program of the class may put out %d, counted in one budget at the stores",
			b.Output,
		)
	}
	for _, z := range s.EmptyZones {
		add("empty_zones "+z, "no work to its runners; its edges are last in line to assign slots")
	}
	add(
		"cooldown",
		"first wait %s, doubled up to %s, from the start again after %s without a refusal",
		s.Cooldown.First(),
		s.Cooldown.Cap(),
		s.Cooldown.Quiet(),
	)
	if l := s.Live; l != nil {
		add(
			"live "+l.Policy,
			"ranks runners and orders jobs of %d percent of all programs; the built-in rules those of the others",
			l.Share,
		)
	}
	return out
}

// coolsBy names what shares a cooldown on a route.
func coolsBy(s *spec.Spec, r spec.Route) string {
	if r.Account != "" ||
		slices.ContainsFunc(s.Runners, func(n spec.Runner) bool { return n.Route == r.Name && n.Account != "" }) {
		return "account"
	}
	if r.Model {
		return "runner"
	}
	return "route"
}
