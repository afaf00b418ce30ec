package main

import (
	"context"
	"time"

	"damsontiller/cmd/internal/signals"
	"damsontiller/cmd/internal/startup"
	"damsontiller/internal/coordination/web"
	"damsontiller/internal/dataplane/edge"
	"damsontiller/internal/dataplane/store"
	"damsontiller/internal/platform"
	"damsontiller/internal/platform/discovery"
	"damsontiller/internal/platform/headers"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/membudget"
)

// onPlatform serves in a role with the settings of the platform.
func onPlatform(file, role string) error {
	settings, err := platform.Load(file)
	if err != nil {
		return err
	}
	if err := settings.CheckRole(role); err != nil {
		return err
	}
	process, err := startup.Platform(settings, settings.StatusAddr())
	if err != nil {
		return err
	}
	switch role {
	case "edge":
		return platformEdge(process, settings)
	case "store":
		return runStore(process, func(ctx context.Context, node *store.Store) {
			node.KeepOperations(settings.OperationRetention())
			startup.Reseed(ctx, settings, node.Node, signals.Reloads())
		})
	}
	return code.New(code.BadFlag, "-role: %q is neither edge nor store", role)
}

// platformEdge runs an edge that proxies the requests of the platform's callers. It returns
// when the start fails or a server ends, as the front server does after a stop signal.
func platformEdge(process *startup.Process, settings *platform.Params) error {
	log := process.Log("damsontiller-data")
	stopSignal := signals.Stopping(log)
	startup.ReportSlowStop(stopSignal, log, process.SlowStop)
	// The background tasks keep running after the signal, because requests in progress need
	// them.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	params := edge.DefaultParams
	params.ProxyOnly = true
	memory := membudget.New(settings.MemoryBudget())
	params.Memory = memory
	node := edge.New(ctx, params, process.Node("edge", "", log))
	proxyParams := edge.DefaultProxy
	proxyParams.Quota = settings.Quota()
	handler := node.NewProxy(proxyParams, headers.Codec{})
	opener := startup.Opener(log)
	front := &platform.Front{
		Addr:    settings.Bind.Front,
		Open:    opener,
		Handler: handler,
		Limits:  func() spec.Limits { return node.Cluster.Now().Table.Limits },
		Memory:  memory,
		// The platform's clients reconnect, also after an idle connection was closed.
		MaxConnections: settings.MaxConnections(),
	}
	ready := func() error {
		if stopSignal.Err() != nil {
			return code.New(code.Stopping, "this node stops, ask another")
		}
		if !front.Listening() {
			return code.New(code.NotReady, "callers can't connect yet")
		}
		return handler.Ready()
	}
	// Three servers: for callers, for the platform's readiness probe, and for the node's
	// status and metrics. The process ends when any of them does.
	served := make(chan error, 3)
	sideCtx, stopSide := context.WithCancel(ctx)
	defer stopSide()
	router := web.New(log)
	node.Routes(router)
	go func() { served <- front.Serve(stopSignal, settings.Grace()-time.Second) }()
	go func() {
		served <- platform.ServeAuxiliary(sideCtx, opener, settings.Bind.Ready, platform.ReadinessHandler(ready))
	}()
	go func() { served <- platform.ServeAuxiliary(sideCtx, opener, process.HTTP, router) }()
	// Seeds are reloaded from here on, because they may change before any of them responds.
	startup.Reseed(ctx, settings, node.Node, signals.Reloads())
	started := make(chan error, 1)
	startCtx, cancelStart := context.WithCancel(ctx)
	defer cancelStart()
	go func() { started <- node.Start(startCtx) }()
	log.Info("serving", "listen", process.Listen, "front", settings.Bind.Front)
	var err error
	for done := false; !done; {
		select {
		case err = <-started:
			if started = nil; err != nil {
				return err
			}
			reader := discovery.New(settings.Platform.Address)
			node.Go(ctx, func(ctx context.Context) { handler.Run(ctx, reader.List) })
		case err = <-served:
			done = true
		}
	}
	node.Stop()
	node.WaitBackground(500 * time.Millisecond)
	stopSide()
	cancel()
	node.Wait()
	node.Peer.Close()
	log.Info("stopped")
	return err
}
