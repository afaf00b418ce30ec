// Package control is the interface of the platform's operators on a core machine.
package control

import (
	"context"
	"crypto/sha256"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"

	"damsontiller/internal/coordination/core"
	"damsontiller/internal/coordination/web"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// hBase is the header of the revision that a configuration builds on.
const hBase = "X-Damsontiller-Base-Revision"

// Bounds of one order.
const (
	// An operator goes to another node after a second of time without contact.
	orderWait = 800 * time.Millisecond
	maxOrder  = 3 << 20
)

// Retirer empties a store machine and tells how far that is.
type Retirer interface {
	Retire(ctx context.Context, id string) error
	Retired(ctx context.Context, id string) (bool, error)
}

// Handler takes their orders.
type Handler struct {
	Core *core.Core
	Sets Retirer
	Log  hclog.Logger // nil: none

	decoding atomic.Int64 // configurations that are being decoded
}

// maxDecoding bounds the configurations that are decoded at once, which takes several times the
// memory of their text.
const maxDecoding = 2

// decodePollInterval is how often an order that waits for its turn to be decoded looks again.
const decodePollInterval = 10 * time.Millisecond

// beginDecode waits until an order may be decoded; decoding is lowered after it.
func (o *Handler) beginDecode(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, orderWait/2)
	defer cancel()
	for o.decoding.Add(1) > maxDecoding {
		o.decoding.Add(-1)
		if !loop.Wait(ctx, decodePollInterval) {
			return false
		}
	}
	return true
}

// Routes puts the operators' interface on e.
func (o *Handler) Routes(e *echo.Echo) {
	e.POST("/v1/configuration/replace", func(x echo.Context) error { return o.change(x, "replace", replace) })
	e.POST("/v1/configuration/modify", func(x echo.Context) error { return o.change(x, "modify", modify) })
	e.GET("/v1/configuration/retrieve", o.retrieve)
	e.POST("/v1/evacuation/:zone/initiate", func(x echo.Context) error { return o.evacuate(x, true) })
	e.POST("/v1/evacuation/:zone/terminate", func(x echo.Context) error { return o.evacuate(x, false) })
	e.POST("/v1/retire/:node/initiate", o.retire)
	e.GET("/v1/retire/:node/retrieve", o.retired)
}

// status is how the platform spells a failure. What is not clearly wrong with the
// order is never reported as refused for good: 503 sends the operator to another node.
func status(c code.Code) int {
	switch c {
	case code.SpecConflict:
		return http.StatusPreconditionFailed
	case code.BadSpec, code.BadJSON, code.BadHeader, code.NoHeader, code.BadField, code.UnknownField:
		return http.StatusBadRequest
	case code.BodyLost:
		return http.StatusRequestTimeout
	case code.TooLarge:
		return http.StatusRequestEntityTooLarge
	case code.NoZone, code.NoMember, code.NoPath:
		return http.StatusNotFound
	case code.BelowCopies:
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

// fail answers an order that was not carried out. One that is refused for good is logged: as
// long as it is an operator's first, nothing else tells why nothing is served.
func (o *Handler) fail(x echo.Context, err error) error {
	s := status(code.Of(err))
	if s == http.StatusServiceUnavailable {
		x.Response().Header().Set("Retry-After", "0.2")
	} else if o.Log != nil {
		o.Log.Warn("order refused", "order", x.Request().URL.Path, "status", s, "err", err)
	}
	return x.JSON(s, web.FailureOf(err))
}

// bound is how long an order may take; it outlives its caller, for what is half
// told is better told to the end. A long body has more time.
func bound(x echo.Context, body int) (context.Context, context.CancelFunc) {
	return context.WithTimeout(
		context.WithoutCancel(x.Request().Context()),
		orderWait+time.Duration(body)*time.Microsecond,
	)
}

func replace(b []byte) (uint64, func(spec.Table) spec.Table, error) {
	t, err := Whole(b)
	return t.Revision, func(spec.Table) spec.Table { return t }, err
}

func modify(b []byte) (uint64, func(spec.Table) spec.Table, error) { return Patch(b) }

// change takes a configuration, complete or in part.
func (o *Handler) change(
	x echo.Context,
	kind string,
	read func([]byte) (uint64, func(spec.Table) spec.Table, error),
) error {
	on, err := base(x.Request().Header.Get(hBase))
	if err != nil {
		return o.fail(x, err)
	}
	b, err := web.ReadBody(x, maxOrder)
	if err != nil {
		return o.fail(x, err)
	}
	if !o.beginDecode(x.Request().Context()) {
		return o.fail(x, code.New(code.MemoryFull, "%d other configurations are being read", maxDecoding))
	}
	rev, apply, err := read(b)
	o.decoding.Add(-1)
	if err != nil {
		return o.fail(x, err)
	}
	digest := digestOf(kind, on, b)
	// One that was taken before changes nothing, but is chosen once more, so that
	// this answer too waits until it is in force.
	return o.order(x, len(b), func(_ context.Context, r *spec.Cluster) error {
		_, err := r.Replace(on, rev, digest, apply(r.Table))
		return err
	})
}

// digestOf tells an order from any other of its revision. The very same order, sent
// again, has the same digest.
func digestOf(kind string, on uint64, body []byte) spec.OrderDigest {
	h := sha256.New()
	h.Write([]byte(kind + " " + strconv.FormatUint(on, 10) + " "))
	h.Write(body)
	return spec.OrderDigest(h.Sum(nil)[:len(spec.OrderDigest{})])
}

// order makes f's change and answers once it is chosen and, if that is soon, in force.
func (o *Handler) order(x echo.Context, size int, f func(context.Context, *spec.Cluster) error) error {
	ctx, stop := bound(x, size)
	defer stop()
	a, err := o.Core.Change(ctx, 0, func(r *spec.Cluster) error { return f(ctx, r) })
	if err != nil {
		return o.fail(x, err)
	}
	return x.JSON(http.StatusOK, map[string]any{"version": a.Version, "in_force": a.InForce})
}

func (o *Handler) retrieve(x echo.Context) error {
	ctx, stop := bound(x, 0)
	defer stop()
	v, err := o.Core.Cluster.ReadView(ctx)
	if err != nil {
		return o.fail(x, err)
	}
	b, err := Written(&v.Table)
	if err != nil {
		return o.fail(x, err)
	}
	return x.JSONBlob(http.StatusOK, b)
}

// evacuate takes a zone out of service, or back. The order stands whatever is left.
// Of two orders about a zone the one that a majority chose last is in force.
func (o *Handler) evacuate(x echo.Context, empty bool) error {
	z := x.Param("zone")
	return o.order(x, 0, func(ctx context.Context, r *spec.Cluster) error {
		s := &r.Spec
		if !slices.Contains(s.Zones, z) {
			return code.New(code.NoZone, "%q is not one of zones", z)
		}
		// The order has no number: one that may be old must not undo a newer one.
		if err := o.Core.RequireContact(ctx); err != nil {
			return err
		}
		s.EmptyZones = slices.DeleteFunc(slices.Clone(s.EmptyZones), func(e string) bool { return e == z })
		if empty {
			s.EmptyZones = append(s.EmptyZones, z)
		}
		s.ForceEmpty = len(s.EmptyZones) > 0
		return s.Check()
	})
}

func (o *Handler) retire(x echo.Context) error {
	ctx, stop := bound(x, 0)
	defer stop()
	if err := o.Sets.Retire(ctx, x.Param("node")); err != nil {
		return o.fail(x, err)
	}
	return x.JSON(http.StatusOK, map[string]string{"condition": "in_progress"})
}

func (o *Handler) retired(x echo.Context) error {
	ctx, stop := bound(x, 0)
	defer stop()
	done, err := o.Sets.Retired(ctx, x.Param("node"))
	if err != nil {
		return o.fail(x, err)
	}
	state := "in_progress"
	if done {
		state = "completed"
	}
	return x.JSON(http.StatusOK, map[string]string{"condition": state})
}
