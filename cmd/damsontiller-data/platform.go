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
)

// onPlatform serves in a role as the platform's settings say.
func onPlatform(file, role string) error {
	s, err := platform.Load(file)
	if err != nil {
		return err
	}
	if err := s.CheckRole(role); err != nil {
		return err
	}
	p, err := startup.Platform(s, s.StatusAddr())
	if err != nil {
		return err
	}
	switch role {
	case "edge":
		return platformEdge(p, s)
	case "store":
		return runStore(p, func(ctx context.Context, st *store.Store) {
			st.KeepOperations(s.OperationRetention())
			startup.Reseed(ctx, s, st.Node, signals.Reloads())
		})
	}
	return code.New(code.BadFlag, "-role: %q is neither edge nor store", role)
}

// platformEdge serves the platform's callers.
func platformEdge(p *startup.Process, s *platform.Params) error {
	log := p.Log("damsontiller-data")
	sig := signals.Stopping(log)
	// The background tasks outlive the signal: what is under way still needs them.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ep := edge.DefaultParams
	ep.ProxyOnly = true
	e := edge.New(ctx, ep, p.Node("edge", "", log))
	proxied := edge.DefaultProxy
	proxied.Quota = s.Quota()
	handler := e.NewProxy(proxied, headers.Codec{})
	open := startup.Opener(log)
	front := &platform.Front{
		Addr:    s.Bind.Front,
		Open:    open,
		Handler: handler,
		Limits:  func() spec.Limits { return e.Cluster.Now().Table.Limits },
	}
	may := func() error {
		if sig.Err() != nil {
			return code.New(code.Stopping, "this node stops, ask another")
		}
		if !front.Listening() {
			return code.New(code.NotReady, "callers can't connect yet")
		}
		return handler.Ready()
	}
	// Three servers: for callers, for the platform's question, for the node's own
	// figures. Any that fails ends the process.
	served := make(chan error, 3)
	side, sideStop := context.WithCancel(ctx)
	defer sideStop()
	x := web.New(log)
	e.Routes(x)
	go func() { served <- front.Serve(sig, s.Grace()-time.Second) }()
	go func() { served <- platform.ServeAuxiliary(side, open, s.Bind.Ready, platform.ReadinessHandler(may)) }()
	go func() { served <- platform.ServeAuxiliary(side, open, p.HTTP, x) }()
	// The seeds may change before any has answered.
	startup.Reseed(ctx, s, e.Node, signals.Reloads())
	started := make(chan error, 1)
	sctx, serves := context.WithCancel(ctx)
	defer serves()
	go func() { started <- e.Start(sctx) }()
	log.Info("serving", "listen", p.Listen, "front", s.Bind.Front)
	var err error
	for done := false; !done; {
		select {
		case err = <-started:
			if started = nil; err != nil {
				return err
			}
			reader := discovery.New(s.Platform.Address)
			e.Go(ctx, func(ctx context.Context) { handler.Run(ctx, reader.List) })
		case err = <-served:
			done = true
		}
	}
	e.Stop()
	e.WaitBackground(500 * time.Millisecond)
	sideStop()
	cancel()
	e.Wait()
	e.Peer.Close()
	log.Info("stopped")
	return err
}
