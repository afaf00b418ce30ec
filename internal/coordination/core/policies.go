package core

import (
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"

	"damsontiller/internal/coordination/web"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
)

// policyRoutes puts the commands for policy programs on e.
func (c *Core) policyRoutes(e *echo.Echo) {
	e.GET("/v1/policies", c.getPolicies)
	e.PUT("/v1/policies/:name", c.putPolicy, identified)
	e.DELETE("/v1/policies/:name", c.deletePolicy, identified)
	e.POST("/v1/policies/:name/approve", c.approve, identified)
	e.POST("/v1/policies/live", c.live, identified)
	e.POST("/v1/policies/off", func(x echo.Context) error {
		return c.changeSpec(x, 0, func(s *spec.Spec) error { s.Live = nil; return nil })
	}, identified)
}

// policyRow is a policy as operators see it.
type policyRow struct {
	spec.Policy
	Digest   string          `json:"digest"`
	Share    int             `json:"share"` // of all programs, in percent; 0: not live
	Approval []spec.Approval `json:"approvals,omitempty"`
}

func (c *Core) getPolicies(x echo.Context) error {
	v, err := c.Cluster.ReadView(x.Request().Context())
	if err != nil {
		return fail(x, err)
	}
	out := []policyRow{}
	for _, p := range v.Spec.Policies {
		r := policyRow{Policy: p, Digest: p.Source().Digest()}
		if l := v.Spec.Live; l != nil && l.Policy == p.Name {
			r.Share = l.Share
		}
		for _, a := range v.Spec.Approvals {
			if a.Policy == p.Name {
				r.Approval = append(r.Approval, a)
			}
		}
		out = append(out, r)
	}
	return x.JSON(http.StatusOK, map[string]any{"version": v.Version, "policies": out})
}

func dropApprovals(s *spec.Spec, name string) {
	s.Approvals = slices.DeleteFunc(slices.Clone(s.Approvals), func(a spec.Approval) bool { return a.Policy == name })
}

// putPolicy takes a text; another text of the same name has to be approved anew,
// and a live one must be taken off first.
func (c *Core) putPolicy(x echo.Context) error {
	var p spec.PolicyPut
	if err := read(x, &p); err != nil {
		return fail(x, err)
	}
	n := spec.Policy{Name: x.Param("name"), Rank: p.Rank, Order: p.Order}
	return c.changeSpec(x, 0, func(s *spec.Spec) error {
		old, ok := s.Policy(n.Name)
		if ok && old == n {
			return nil
		}
		if s.Live != nil && s.Live.Policy == n.Name {
			return code.New(code.NotApproved, "%q is live; its text can't change under it", n.Name)
		}
		s.Policies = slices.DeleteFunc(slices.Clone(s.Policies), func(o spec.Policy) bool { return o.Name == n.Name })
		s.Policies = append(s.Policies, n)
		dropApprovals(s, n.Name)
		return nil
	})
}

func (c *Core) deletePolicy(x echo.Context) error {
	name := x.Param("name")
	return c.changeSpec(x, 0, func(s *spec.Spec) error {
		if _, ok := s.Policy(name); !ok {
			return code.New(code.BadField, "there is no policy %q", name)
		}
		if s.Live != nil && s.Live.Policy == name {
			return code.New(code.NotApproved, "%q is live; take it off first", name)
		}
		s.Policies = slices.DeleteFunc(slices.Clone(s.Policies), func(o spec.Policy) bool { return o.Name == name })
		dropApprovals(s, name)
		return nil
	})
}

// approve takes a rehearsal's report as it was written.
func (c *Core) approve(x echo.Context) error {
	var a spec.Approval
	if err := read(x, &a); err != nil {
		return fail(x, err)
	}
	if a.Policy != x.Param("name") {
		return fail(x, code.New(code.BadField, "policy: the report is of %q", a.Policy))
	}
	return c.changeSpec(x, 0, func(s *spec.Spec) error {
		if _, ok := s.Policy(a.Policy); !ok {
			return code.New(code.BadField, "there is no policy %q", a.Policy)
		}
		dropApprovals(s, a.Policy)
		s.Approvals = append(s.Approvals, a)
		return nil
	})
}

func (c *Core) live(x echo.Context) error {
	var l spec.Live
	if err := read(x, &l); err != nil {
		return fail(x, err)
	}
	return c.changeSpec(x, 0, func(s *spec.Spec) error {
		s.Live = &l
		return nil
	})
}

func read(x echo.Context, into interface{ UnmarshalJSON([]byte) error }) error {
	b, err := web.ReadBody(x, spec.MaxBytes)
	if err != nil {
		return err
	}
	return spec.Read(b, into)
}
