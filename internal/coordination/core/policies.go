package core

import (
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"

	"damsontiller/internal/coordination/web"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
)

// policyRoutes registers the requests about policy programs on e.
func (c *Core) policyRoutes(e *echo.Echo) {
	e.GET("/v1/policies", c.getPolicies)
	e.PUT("/v1/policies/:name", c.putPolicy, withOperationID)
	e.DELETE("/v1/policies/:name", c.deletePolicy, withOperationID)
	e.POST("/v1/policies/:name/approve", c.approvePolicy, withOperationID)
	e.POST("/v1/policies/live", c.setLivePolicy, withOperationID)
	e.POST("/v1/policies/off", func(x echo.Context) error {
		return c.changeSpec(x, 0, func(s *spec.Spec) error { s.Live = nil; return nil })
	}, withOperationID)
}

// policyRow is a policy as operators see it.
type policyRow struct {
	spec.Policy
	Digest    string          `json:"digest"`
	Share     int             `json:"share"` // of all programs, in percent; 0 if not live
	Approvals []spec.Approval `json:"approvals,omitempty"`
}

func (c *Core) getPolicies(x echo.Context) error {
	view, err := c.Cluster.ReadView(x.Request().Context())
	if err != nil {
		return writeError(x, err)
	}
	rows := []policyRow{}
	for _, policy := range view.Spec.Policies {
		row := policyRow{Policy: policy, Digest: policy.Source().Digest()}
		if live := view.Spec.Live; live != nil && live.Policy == policy.Name {
			row.Share = live.Share
		}
		for _, approval := range view.Spec.Approvals {
			if approval.Policy == policy.Name {
				row.Approvals = append(row.Approvals, approval)
			}
		}
		rows = append(rows, row)
	}
	return x.JSON(http.StatusOK, map[string]any{"version": view.Version, "policies": rows})
}

func removeApprovals(s *spec.Spec, name string) {
	s.Approvals = slices.DeleteFunc(
		slices.Clone(s.Approvals),
		func(approval spec.Approval) bool { return approval.Policy == name },
	)
}

// putPolicy stores the text of a policy. A different text under the same name has to be approved
// again, and a live policy must be taken off before its text can change.
func (c *Core) putPolicy(x echo.Context) error {
	var put spec.PolicyPut
	if err := readRequest(x, &put); err != nil {
		return writeError(x, err)
	}
	policy := spec.Policy{Name: x.Param("name"), Rank: put.Rank, Order: put.Order}
	return c.changeSpec(x, 0, func(s *spec.Spec) error {
		old, ok := s.Policy(policy.Name)
		if ok && old == policy {
			return nil
		}
		if s.Live != nil && s.Live.Policy == policy.Name {
			return code.New(code.NotApproved, "%q is live; its text can't change under it", policy.Name)
		}
		s.Policies = slices.DeleteFunc(
			slices.Clone(s.Policies),
			func(other spec.Policy) bool { return other.Name == policy.Name },
		)
		s.Policies = append(s.Policies, policy)
		removeApprovals(s, policy.Name)
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
		s.Policies = slices.DeleteFunc(
			slices.Clone(s.Policies),
			func(policy spec.Policy) bool { return policy.Name == name },
		)
		removeApprovals(s, name)
		return nil
	})
}

// approvePolicy stores the report of a rehearsal as it was written.
func (c *Core) approvePolicy(x echo.Context) error {
	var approval spec.Approval
	if err := readRequest(x, &approval); err != nil {
		return writeError(x, err)
	}
	if approval.Policy != x.Param("name") {
		return writeError(x, code.New(code.BadField, "policy: the report is of %q", approval.Policy))
	}
	return c.changeSpec(x, 0, func(s *spec.Spec) error {
		if _, ok := s.Policy(approval.Policy); !ok {
			return code.New(code.BadField, "there is no policy %q", approval.Policy)
		}
		removeApprovals(s, approval.Policy)
		s.Approvals = append(s.Approvals, approval)
		return nil
	})
}

func (c *Core) setLivePolicy(x echo.Context) error {
	var live spec.Live
	if err := readRequest(x, &live); err != nil {
		return writeError(x, err)
	}
	return c.changeSpec(x, 0, func(s *spec.Spec) error {
		s.Live = &live
		return nil
	})
}

func readRequest(x echo.Context, into interface{ UnmarshalJSON([]byte) error }) error {
	body, err := web.ReadBody(x, spec.MaxBytes)
	if err != nil {
		return err
	}
	return spec.Read(body, into)
}
