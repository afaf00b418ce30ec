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

// onPlatform runs a core machine with the settings of the platform.
func onPlatform(file string) error {
	settings, err := platform.Load(file)
	if err != nil {
		return err
	}
	if err := settings.CheckRole("core"); err != nil {
		return err
	}
	process, err := startup.Platform(settings, settings.Bind.Control)
	if err != nil {
		return err
	}
	params := core.Params{
		Zones:      settings.ZoneList(),
		Copies:     settings.ReplicationFactor(),
		AckTimeout: time.Second,
		MoveRate:   500,
	}
	if settings.IsFounder() {
		params.InitialCoreAddrs = settings.Peers()
	}
	return runCore(
		process,
		params,
		min(3*time.Second, settings.Grace()/2),
		func(ctx context.Context, router *echo.Echo, node *core.Core, _ *storage.Engine) {
			(&control.Handler{Core: node, Sets: node, Log: node.Log.Named("orders")}).Routes(router)
			startup.Reseed(ctx, settings, node.Node, signals.Reloads())
		},
	)
}
