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

// Explanation describes the placements that result from one intent.
type Explanation struct {
	Intent string `json:"intent"`
	Means  string `json:"means"`
}

// explain returns the placements that result from the intents in force.
func (c *Core) explain(x echo.Context) error {
	view, err := c.Cluster.ReadView(x.Request().Context())
	if err != nil {
		return writeError(x, err)
	}
	return x.JSON(http.StatusOK, map[string]any{"version": view.Version, "intents": Explain(view)})
}

// Explain computes the placements that result from each intent of a version.
func Explain(view *cluster.View) []Explanation {
	s := &view.Spec
	explanations := []Explanation{}
	add := func(intent, means string, args ...any) {
		explanations = append(explanations, Explanation{intent, fmt.Sprintf(means, args...)})
	}
	for i, route := range s.Routes {
		var active, drained []string
		for _, runner := range s.Runners {
			switch {
			case runner.Route != route.Name:
			case s.Empty(runner.Zone):
				drained = append(drained, runner.Name)
			default:
				active = append(active, runner.Name)
			}
		}
		means := "goes to " + strings.Join(active, ", ")
		if len(active) == 0 {
			means = "goes nowhere"
		}
		if len(drained) > 0 {
			means += "; not to " + strings.Join(drained, ", ") + ", whose zones are emptied"
		}
		add(
			fmt.Sprintf("routes[%d] %s", i, route.Name),
			"%s; one cooldown for each %s",
			means,
			cooldownScope(s, route),
		)
	}
	for i, class := range s.Classes {
		means := fmt.Sprintf("number %d in every backlog", i+1)
		if class.Reserve > 0 {
			means += fmt.Sprintf("; %d percent of the slots of every runner are for urgent work only", class.Reserve)
		}
		add(fmt.Sprintf("classes[%d] %s", i, class.Name), "%s", means)
	}
	for i, class := range s.Keeping {
		add(
			fmt.Sprintf("keeping[%d] %s", i, class.Class),
			"turns are kept for %s of the stores' open time, at two of three stores before they are answered",
			time.Duration(class.KeepS)*time.Second,
		)
	}
	for i, budget := range s.Budgets {
		add(
			fmt.Sprintf("budgets[%d] %s", i, budget.Programs),
			"each program of the class may put out %d, counted in one budget at the stores",
			budget.Output,
		)
	}
	for _, zone := range s.EmptyZones {
		add("empty_zones "+zone, "no work to its runners; its edges are last in line to assign slots")
	}
	add(
		"cooldown",
		"first wait %s, doubled up to %s, from the start again after %s without a refusal",
		s.Cooldown.First(),
		s.Cooldown.Cap(),
		s.Cooldown.Quiet(),
	)
	if live := s.Live; live != nil {
		add(
			"live "+live.Policy,
			"ranks runners and orders jobs of %d percent of all programs; the built-in rules those of the others",
			live.Share,
		)
	}
	return explanations
}

// cooldownScope names the unit that shares a cooldown on a route.
func cooldownScope(s *spec.Spec, route spec.Route) string {
	if route.Account != "" ||
		slices.ContainsFunc(s.Runners, func(runner spec.Runner) bool {
			return runner.Route == route.Name && runner.Account != ""
		}) {
		return "account"
	}
	if route.Model {
		return "runner"
	}
	return "route"
}
