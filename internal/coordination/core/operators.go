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

// ack is the answer to a change.
type ack struct {
	Version uint64   `json:"version"`
	Code    int      `json:"code"`
	Name    string   `json:"name"`
	InForce bool     `json:"in_force"`
	Waiting []string `json:"waiting"`
}

// Routes puts the operators' interface on e.
func (c *Core) Routes(e *echo.Echo) {
	e.GET("/v1/spec", c.getSpec)
	e.PUT("/v1/spec", c.putSpec, identified)
	e.PATCH("/v1/spec", c.patchSpec, identified)
	e.GET("/v1/spec/versions/:ver", c.getVersion)
	e.POST("/v1/zones/:zone/empty", func(x echo.Context) error { return c.changeZone(x, true) }, identified)
	e.POST("/v1/zones/:zone/refill", func(x echo.Context) error { return c.changeZone(x, false) }, identified)
	e.GET("/v1/explain", c.explain)
	e.GET("/v1/members", c.getMembers)
	e.GET("/v1/health", c.getHealth)
	metrics.Routes(e, func() []metrics.Row {
		live := 0
		for _, m := range c.Lease.Members() {
			if m.Live {
				live++
			}
		}
		return append(
			metrics.Node(c.Cluster.Now().Version, c.Peer.Sent()),
			metrics.Row{Name: "members_live", Help: "Nodes whose lease runs.", Value: float64(live)},
			metrics.Row{
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
	// Read at a majority: what this core has in force may be older.
	v, err := c.Cluster.ReadView(x.Request().Context())
	if err != nil {
		return fail(x, err)
	}
	b, err := spec.State{Version: v.Version, Spec: v.Spec}.MarshalJSON()
	if err != nil {
		return fail(x, err)
	}
	return x.JSONBlob(http.StatusOK, b)
}

func (c *Core) putSpec(x echo.Context) error {
	var p spec.Put
	if err := read(x, &p); err != nil {
		return fail(x, err)
	}
	if p.Expect == 0 {
		return fail(x, code.New(code.BadField, "expect: the version to be replaced is missing"))
	}
	return c.changeSpec(x, p.Expect, func(s *spec.Spec) error { *s = p.Spec; return nil })
}

func (c *Core) patchSpec(x echo.Context) error {
	var p spec.Patch
	if err := read(x, &p); err != nil {
		return fail(x, err)
	}
	return c.changeSpec(x, p.Expect, func(s *spec.Spec) error { *s = p.Apply(*s); return nil })
}

// fail answers with a failure. Where nothing is refused, but could not be done now, it
// says when to come back.
func fail(x echo.Context, err error) error {
	return answerFailure(x, web.Of(err))
}

// retryAfter is when to come back, in seconds, after a failure that is only for the
// moment.
const retryAfter = "1"

func answerFailure(x echo.Context, f web.Failure) error {
	status := web.Status(code.Code(f.Code))
	if status == http.StatusServiceUnavailable {
		x.Response().Header().Set("Retry-After", retryAfter)
	}
	return x.JSON(status, f)
}

func (c *Core) changeZone(x echo.Context, empty bool) error {
	z := x.Param("zone")
	var o struct {
		Force bool `json:"force"`
	}
	b, err := web.Body(x, 4096)
	if err == nil && len(b) > 0 {
		err = web.Strict(b, &o)
	}
	if err != nil {
		return fail(x, err)
	}
	return c.changeSpec(x, 0, func(s *spec.Spec) error {
		// Only the register says which zones there are: this core's copy may be old.
		if !slices.Contains(s.Zones, z) {
			return code.New(code.NoZone, "%q is not one of zones", z)
		}
		if err := c.RequireContact(x.Request().Context()); err != nil {
			return err
		}
		s.EmptyZones = slices.DeleteFunc(slices.Clone(s.EmptyZones), func(e string) bool { return e == z })
		if empty {
			s.EmptyZones = append(s.EmptyZones, z)
			s.ForceEmpty = s.ForceEmpty || o.Force
		} else {
			// The force word was for the emptying; the next one needs its own.
			s.ForceEmpty = false
		}
		return nil
	})
}

// changeSpec makes f's change and checks the spec that comes of it.
func (c *Core) changeSpec(x echo.Context, expect uint64, f func(*spec.Spec) error) error {
	return c.change(x, expect, func(r *spec.Cluster) error {
		if err := f(&r.Spec); err != nil {
			return err
		}
		return r.Spec.Check()
	})
}

// ChangeResult is what becomes of an operator's change.
type ChangeResult struct {
	Version uint64
	InForce bool     // nobody acts on an older one any more
	Waiting []string // who still might
}

// Change makes f's change of the cluster and waits, for as long as ctx lasts, until
// it is in force. An error means that it was not chosen, or is uncertain; on a
// conflict the version in force is given.
func (c *Core) Change(ctx context.Context, expect uint64, f func(*spec.Cluster) error) (ChangeResult, error) {
	return c.changeOnce(ctx, expect, spec.Operation{}, f)
}

// changeOnce is Change for an order that may be sent again.
func (c *Core) changeOnce(
	ctx context.Context,
	expect uint64,
	operation spec.Operation,
	f func(*spec.Cluster) error,
) (ChangeResult, error) {
	ver, raw, err := c.Cluster.ChangeOnce(ctx, expect, operation, f)
	if err != nil {
		return ChangeResult{Version: ver}, err
	}
	c.Log.Info("spec chosen", "version", ver)
	confirmed := c.broadcastSpec(ctx, ver, raw)
	a := ChangeResult{Version: ver, Waiting: []string{"unknown"}}
	for {
		if w, err := c.unconfirmed(ctx, ver, confirmed); err == nil {
			if a.Waiting = w; len(w) == 0 {
				a.InForce = true
				return a, nil
			}
		}
		if !loop.Wait(ctx, 50*time.Millisecond) {
			// Chosen, but somebody could still act on an older one.
			return a, nil
		}
	}
}

// change makes f's change and answers as the rule of acknowledgement says.
func (c *Core) change(x echo.Context, expect uint64, f func(*spec.Cluster) error) error {
	ctx, stop := context.WithTimeout(x.Request().Context(), c.params.AckTimeout)
	defer stop()
	a, err := c.changeOnce(ctx, expect, operationOf(x), f)
	switch {
	case err != nil:
		p := web.Of(err)
		if code.Of(err) == code.SpecConflict {
			p.Version = a.Version
		}
		return answerFailure(x, p)
	case a.InForce:
		return x.JSON(http.StatusOK, ack{Version: a.Version, Name: code.OK.Name(), InForce: true, Waiting: a.Waiting})
	}
	return x.JSON(http.StatusAccepted, ack{a.Version, int(code.NotInForce), code.NotInForce.Name(), false, a.Waiting})
}

func (c *Core) getVersion(x echo.Context) error {
	ver, err := strconv.ParseUint(x.Param("ver"), 10, 64)
	if err != nil || ver == 0 {
		return fail(x, code.New(code.BadField, "version: %q is not a version", x.Param("ver")))
	}
	ctx := x.Request().Context()
	v, err := c.Cluster.ReadView(ctx)
	if err != nil {
		return fail(x, err)
	}
	if ver > v.Version {
		return fail(x, code.New(code.NoVersion, "version %d, the latest is %d", ver, v.Version))
	}
	w, err := c.unconfirmed(ctx, ver, nil)
	if err != nil {
		return fail(x, err)
	}
	a := ack{Version: ver, Name: code.OK.Name(), InForce: len(w) == 0, Waiting: w}
	if !a.InForce {
		a.Code, a.Name = int(code.NotInForce), code.NotInForce.Name()
	}
	return x.JSON(http.StatusOK, a)
}
