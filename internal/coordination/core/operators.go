package core

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"damsontiller/internal/coordination/metrics"
	"damsontiller/internal/coordination/web"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// changeResponse is the HTTP response to a change.
type changeResponse struct {
	Version uint64   `json:"version"`
	Code    int      `json:"code"`
	Name    string   `json:"name"`
	InForce bool     `json:"in_force"`
	Waiting []string `json:"waiting"`
}

// Routes registers the operators' interface on e.
func (c *Core) Routes(e *echo.Echo) {
	e.GET("/v1/spec", c.getSpec)
	e.PUT("/v1/spec", c.putSpec, withOperationID)
	e.PATCH("/v1/spec", c.patchSpec, withOperationID)
	e.GET("/v1/spec/versions/:ver", c.getVersion)
	e.POST("/v1/zones/:zone/empty", func(x echo.Context) error { return c.changeZone(x, true) }, withOperationID)
	e.POST("/v1/zones/:zone/refill", func(x echo.Context) error { return c.changeZone(x, false) }, withOperationID)
	e.GET("/v1/explain", c.explain)
	e.GET("/v1/members", c.getMembers)
	e.GET("/v1/health", c.getHealth)
	metrics.Routes(e, func() []metrics.Sample {
		live := 0
		for _, m := range c.Lease.Members() {
			if m.Live {
				live++
			}
		}
		return append(
			c.MetricSamples(),
			metrics.Sample{Name: "members_live", Help: "Nodes whose lease runs.", Value: float64(live)},
			metrics.Sample{
				Name:  "keys_moved",
				Help:  "Keys moved in the last change of a set.",
				Value: float64(c.reconciler.keysMoved.Load()),
			},
		)
	})
	c.setRoutes(e)
	c.policyRoutes(e)
}

func (c *Core) getSpec(x echo.Context) error {
	// Read at a majority: the version in force on this core may be outdated.
	view, err := c.Cluster.ReadView(x.Request().Context())
	if err != nil {
		return writeError(x, err)
	}
	body, err := spec.State{Version: view.Version, Spec: view.Spec}.MarshalJSON()
	if err != nil {
		return writeError(x, err)
	}
	return x.JSONBlob(http.StatusOK, body)
}

func (c *Core) putSpec(x echo.Context) error {
	var put spec.Put
	if err := readRequest(x, &put); err != nil {
		return writeError(x, err)
	}
	if put.Expect == 0 {
		return writeError(x, code.New(code.BadField, "expect: the version to be replaced is missing"))
	}
	return c.changeSpec(x, put.Expect, func(s *spec.Spec) error { *s = put.Spec; return nil })
}

func (c *Core) patchSpec(x echo.Context) error {
	var patch spec.Patch
	if err := readRequest(x, &patch); err != nil {
		return writeError(x, err)
	}
	return c.changeSpec(x, patch.Expect, func(s *spec.Spec) error { *s = patch.Apply(*s); return nil })
}

// writeError responds with an error. If the request was not rejected but cannot be carried out now,
// the response tells the client when to retry.
func writeError(x echo.Context, err error) error {
	return writeFailure(x, web.FailureOf(err))
}

// retryAfterSeconds is the Retry-After header of a response to a temporary failure.
const retryAfterSeconds = "1"

func writeFailure(x echo.Context, failure web.Failure) error {
	status := web.Status(code.Code(failure.Code))
	if status == http.StatusServiceUnavailable {
		x.Response().Header().Set("Retry-After", retryAfterSeconds)
	}
	return x.JSON(status, failure)
}

// maxRequestBytes is the maximum body size of a request about a zone or a set.
const maxRequestBytes = 4096

func (c *Core) changeZone(x echo.Context, empty bool) error {
	zone := x.Param("zone")
	var options struct {
		Force bool `json:"force"`
	}
	body, err := web.ReadBody(x, maxRequestBytes)
	if err == nil && len(body) > 0 {
		err = web.DecodeStrict(body, &options)
	}
	if err != nil {
		return writeError(x, err)
	}
	return c.changeSpec(x, 0, func(s *spec.Spec) error {
		// Only the register is authoritative for the zones: this core's copy may be outdated.
		if !slices.Contains(s.Zones, zone) {
			return code.New(code.NoZone, "%q is not one of zones", zone)
		}
		if err := c.RequireContact(x.Request().Context()); err != nil {
			return err
		}
		s.EmptyZones = slices.DeleteFunc(slices.Clone(s.EmptyZones), func(name string) bool { return name == zone })
		if empty {
			s.EmptyZones = append(s.EmptyZones, zone)
			s.ForceEmpty = s.ForceEmpty || options.Force
		} else {
			// The force flag applied to the emptying only; the next emptying needs its own.
			s.ForceEmpty = false
		}
		return nil
	})
}

// changeSpec applies edit to the spec and validates the result.
func (c *Core) changeSpec(x echo.Context, expect uint64, edit func(*spec.Spec) error) error {
	return c.change(x, expect, func(updated *spec.Cluster) error {
		if err := edit(&updated.Spec); err != nil {
			return err
		}
		return updated.Spec.Check()
	})
}

// ChangeResult is the outcome of an operator's change.
type ChangeResult struct {
	Version uint64
	InForce bool     // no node can act on an older version any more
	Waiting []string // nodes that might still act on an older version
}

// Change applies edit to the cluster and waits until the new version is in force or ctx is done. An
// error means that the change was not chosen or that its outcome is uncertain. On a version
// conflict the result holds the version in force.
func (c *Core) Change(ctx context.Context, expect uint64, edit func(*spec.Cluster) error) (ChangeResult, error) {
	return c.changeOnce(ctx, expect, spec.Operation{}, edit)
}

// confirmationInterval is the time between two checks of whether a change is in force.
const confirmationInterval = 50 * time.Millisecond

// changeOnce is Change for a request that may be retried.
func (c *Core) changeOnce(
	ctx context.Context,
	expect uint64,
	operation spec.Operation,
	edit func(*spec.Cluster) error,
) (ChangeResult, error) {
	version, raw, err := c.Cluster.ChangeOnce(ctx, expect, operation, edit)
	if err != nil {
		return ChangeResult{Version: version}, err
	}
	c.Log.Info("spec chosen", "version", version)
	confirmed := c.broadcastSpec(ctx, version, raw)
	result := ChangeResult{Version: version, Waiting: []string{"unknown"}}
	for {
		if waiting, err := c.unconfirmedNodes(ctx, version, confirmed); err == nil {
			if result.Waiting = waiting; len(waiting) == 0 {
				result.InForce = true
				return result, nil
			}
		}
		if !loop.Wait(ctx, confirmationInterval) {
			// The version is chosen, but some node could still act on an older one.
			return result, nil
		}
	}
}

// change applies edit and responds with 200 if the version is in force, or with 202 if it is chosen
// but not yet in force everywhere.
func (c *Core) change(x echo.Context, expect uint64, edit func(*spec.Cluster) error) error {
	ctx, cancel := context.WithTimeout(x.Request().Context(), c.params.AckTimeout)
	defer cancel()
	result, err := c.changeOnce(ctx, expect, requestOperation(x), edit)
	switch {
	case err != nil:
		failure := web.FailureOf(err)
		if code.Of(err) == code.SpecConflict {
			failure.Version = result.Version
		}
		return writeFailure(x, failure)
	case result.InForce:
		return x.JSON(
			http.StatusOK,
			changeResponse{Version: result.Version, Name: code.OK.Name(), InForce: true, Waiting: result.Waiting},
		)
	}
	return x.JSON(
		http.StatusAccepted,
		changeResponse{result.Version, int(code.NotInForce), code.NotInForce.Name(), false, result.Waiting},
	)
}

func (c *Core) getVersion(x echo.Context) error {
	version, err := strconv.ParseUint(x.Param("ver"), 10, 64)
	if err != nil || version == 0 {
		return writeError(x, code.New(code.BadField, "version: %q is not a version", x.Param("ver")))
	}
	ctx := x.Request().Context()
	view, err := c.Cluster.ReadView(ctx)
	if err != nil {
		return writeError(x, err)
	}
	if version > view.Version {
		return writeError(x, code.New(code.NoVersion, "version %d, the latest is %d", version, view.Version))
	}
	waiting, err := c.unconfirmedNodes(ctx, version, nil)
	if err != nil {
		return writeError(x, err)
	}
	response := changeResponse{Version: version, Name: code.OK.Name(), InForce: len(waiting) == 0, Waiting: waiting}
	if !response.InForce {
		response.Code, response.Name = int(code.NotInForce), code.NotInForce.Name()
	}
	return x.JSON(http.StatusOK, response)
}
