package main

import (
	"context"
	"time"

	"github.com/labstack/echo/v4"

	"damsontiller/cmd/internal/signals"
	"damsontiller/cmd/internal/startup"
	"damsontiller/internal/coordination/core"
	"damsontiller/internal/platform"
	"damsontiller/internal/platform/control"
	"damsontiller/internal/state/storage"
)

// onPlatform serves as a core machine of the platform.
func onPlatform(file string) error {
	s, err := platform.Load(file)
	if err != nil {
		return err
	}
	if err := s.CheckRole("core"); err != nil {
		return err
	}
	p, err := startup.Platform(s, s.Bind.Control)
	if err != nil {
		return err
	}
	cp := core.Params{Zones: s.ZoneList(), Copies: s.ReplicationFactor(), AckTimeout: time.Second, MoveRate: 500}
	if s.IsFounder() {
		cp.InitialCoreAddrs = s.Peers()
	}
	return runCore(
		p,
		cp,
		min(3*time.Second, s.Grace()/2),
		func(ctx context.Context, e *echo.Echo, c *core.Core, _ *storage.Engine) {
			(&control.Handler{Core: c, Sets: c, Log: c.Log.Named("orders")}).Routes(e)
			startup.Reseed(ctx, s, c.Node, signals.Reloads())
		},
	)
}
