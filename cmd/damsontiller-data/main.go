// Command damsontiller-data is the data plane: -role edge serves callers, -role store
// keeps the shared state.
package main

import (
	"context"
	"flag"
	"net/http"
	"os"
	"time"

	"github.com/labstack/echo/v4"

	"damsontiller/cmd/internal/signals"
	"damsontiller/cmd/internal/startup"
	"damsontiller/internal/coordination/metrics"
	"damsontiller/internal/coordination/web"
	"damsontiller/internal/dataplane/edge"
	"damsontiller/internal/dataplane/store"
	"damsontiller/internal/platform"
	"damsontiller/internal/transport/code"
)

func main() { os.Exit(startup.Exit(run(os.Args[1:]))) }

func run(args []string) error {
	if file := os.Getenv(platform.ConfigPathEnv); file != "" && len(args) == 2 && args[0] == "-role" {
		return onPlatform(file, args[1])
	}
	fs := flag.NewFlagSet("damsontiller-data", flag.ContinueOnError)
	p := startup.Flags(fs)
	role := fs.String("role", "", "edge or store")
	grace := fs.Duration("grace", 20*time.Second, "edge: how long jobs under way are given at a stop")
	if err := p.Parse(args); err != nil {
		return err
	}
	if p.Seeds == "" {
		return code.New(code.BadFlag, "-seeds: missing")
	}
	if *grace <= 0 {
		return code.New(code.BadFlag, "-grace: %s is not positive", *grace)
	}
	switch *role {
	case "edge":
		return runEdge(p, *grace)
	case "store":
		return runStore(p, func(context.Context, *store.Store) {})
	}
	return code.New(code.BadFlag, "-role: %q is neither edge nor store", *role)
}

func runEdge(p *startup.Process, grace time.Duration) error {
	if p.Data != "" {
		return code.New(code.BadFlag, "-data: an edge keeps nothing on disk")
	}
	log := p.Log("damsontiller-data")
	sig := signals.Stopping(log)
	// The background tasks outlive the signal: what is under way still needs them.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e := edge.New(ctx, edge.DefaultParams, p.Node("edge", "", log))
	x := web.New(log)
	e.Routes(x)
	if p.Faults {
		web.PartitionRoutes(x, e.Peer.Partitions)
	}
	served := make(chan error, 1)
	hctx, hstop := context.WithCancel(context.Background())
	defer hstop()
	// The ingress answers from the start, if only that the node is not ready.
	go func() { served <- web.Serve(hctx, startup.Opener(log), p.HTTP, x, grace) }()
	jctx, jstop := context.WithCancel(ctx)
	defer jstop()
	started := make(chan error, 1)
	go func() { started <- e.Start(jctx) }()
	log.Info("serving", "listen", p.Listen, "http", p.HTTP)
	var err error
	for done := false; !done; {
		select {
		case err = <-started:
			if err != nil {
				done = true
			}
			started = nil
		case err = <-served:
			return err
		case <-sig.Done():
			done = true
		}
	}
	e.Stop()
	hstop()
	if serr := <-served; err == nil {
		err = serr
	}
	// What was decided behind the last answers is written down first.
	e.WaitBackground(2 * time.Second)
	cancel()
	e.Wait()
	e.Peer.Close()
	log.Info("stopped")
	return err
}

func truth(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// runStore runs a store until it is told to stop; more adds, before the start, what
// this store has beside the others.
func runStore(p *startup.Process, more func(context.Context, *store.Store)) error {
	log := p.Log("damsontiller-data")
	v, err := p.Engine("store", log)
	if err != nil {
		return err
	}
	defer v.Close()
	ctx, cancel := context.WithCancel(signals.Stopping(log))
	defer cancel()
	s, err := store.New(p.Node("store", v.Ident(), log), v)
	if err != nil {
		return err
	}
	more(ctx, s)
	if err := s.Start(ctx); err != nil {
		return err
	}
	x := web.New(log)
	x.GET("/v1/status", func(c echo.Context) error {
		return c.JSON(
			http.StatusOK,
			map[string]any{
				"id":            p.ID,
				"ready":         true,
				"spec":          s.Cluster.Now().Version,
				"ident":         v.Ident(),
				"messages_sent": s.Peer.Sent(),
				"mended":        s.Repaired(),
			},
		)
	})
	metrics.Routes(x, func() []metrics.Sample {
		return append(
			metrics.NodeSamples(s.Cluster.Now().Version, s.Peer.Sent()),
			metrics.Sample{
				Name:    "keys_mended_total",
				Help:    "Keys taken from other stores.",
				Value:   float64(s.Repaired()),
				Counter: true,
			},
			metrics.Sample{Name: "disk_full", Help: "1 while no new keys are taken.", Value: truth(v.NearlyFull())},
		)
	})
	if p.Faults {
		web.PartitionRoutes(x, s.Peer.Partitions)
		startup.DiskFaults(x, v)
	}
	log.Info("serving", "listen", p.Listen, "http", p.HTTP, "ident", v.Ident())
	err = web.Serve(ctx, startup.Opener(log), p.HTTP, x, time.Second)
	cancel()
	s.Wait()
	s.Peer.Close()
	log.Info("stopped")
	return err
}
