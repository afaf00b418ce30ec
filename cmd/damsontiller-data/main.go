// Command damsontiller-data is the data plane: with -role edge it serves callers, with
// -role store it stores the shared state.
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

// run serves in the role that the arguments name, configured by flags or by the
// platform's settings file.
func run(args []string) error {
	if file := os.Getenv(platform.ConfigPathEnv); file != "" && len(args) == 2 && args[0] == "-role" {
		return onPlatform(file, args[1])
	}
	flags := flag.NewFlagSet("damsontiller-data", flag.ContinueOnError)
	process := startup.Flags(flags)
	role := flags.String("role", "", "edge or store")
	grace := flags.Duration("grace", 20*time.Second, "edge: how long jobs under way are given at a stop")
	if err := process.Parse(args); err != nil {
		return err
	}
	if process.Seeds == "" {
		return code.New(code.BadFlag, "-seeds: missing")
	}
	if *grace <= 0 {
		return code.New(code.BadFlag, "-grace: %s is not positive", *grace)
	}
	switch *role {
	case "edge":
		return runEdge(process, *grace)
	case "store":
		return runStore(process, func(context.Context, *store.Store) {})
	}
	return code.New(code.BadFlag, "-role: %q is neither edge nor store", *role)
}

// runEdge runs an edge until the process receives a stop signal, the start fails or the
// HTTP server ends. Jobs in progress at the signal have gracePeriod to finish.
func runEdge(process *startup.Process, gracePeriod time.Duration) error {
	if process.Data != "" {
		return code.New(code.BadFlag, "-data: an edge keeps nothing on disk")
	}
	log := process.Log("damsontiller-data")
	stopSignal := signals.Stopping(log)
	startup.ReportSlowStop(stopSignal, log, gracePeriod+process.SlowStop)
	// The background tasks keep running after the signal, because jobs in progress need them.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	node := edge.New(ctx, edge.DefaultParams, process.Node("edge", "", log))
	router := web.New(log)
	node.Routes(router)
	if process.Faults {
		web.PartitionRoutes(router, node.Peer.Partitions)
	}
	served := make(chan error, 1)
	serveCtx, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	// The HTTP server runs during the start, so that callers get the answer "not ready".
	go func() { served <- web.Serve(serveCtx, startup.Opener(log), process.HTTP, router, gracePeriod) }()
	startCtx, cancelStart := context.WithCancel(ctx)
	defer cancelStart()
	started := make(chan error, 1)
	go func() { started <- node.Start(startCtx) }()
	log.Info("serving", "listen", process.Listen, "http", process.HTTP)
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
		case <-stopSignal.Done():
			done = true
		}
	}
	node.Stop()
	stopServing()
	if serveErr := <-served; err == nil {
		err = serveErr
	}
	// Writes that follow the last responses finish before the background tasks are canceled.
	node.WaitBackground(2 * time.Second)
	cancel()
	node.Wait()
	node.Peer.Close()
	log.Info("stopped")
	return err
}

// boolValue returns the value of a metric that is 1 for true and 0 for false.
func boolValue(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// runStore runs a store until the process receives a stop signal. configure is called
// before the store starts, to adjust it and add background tasks.
func runStore(process *startup.Process, configure func(context.Context, *store.Store)) error {
	log := process.Log("damsontiller-data")
	stopSignal := signals.Stopping(log)
	startup.ReportSlowStop(stopSignal, log, process.SlowStop)
	engine, err := process.Engine("store", log)
	if err != nil {
		return err
	}
	defer engine.Close()
	ctx, cancel := context.WithCancel(stopSignal)
	defer cancel()
	node, err := store.New(process.Node("store", engine.Ident(), log), engine)
	if err != nil {
		return err
	}
	configure(ctx, node)
	if err := node.Start(ctx); err != nil {
		return err
	}
	router := web.New(log)
	router.GET("/v1/status", func(c echo.Context) error {
		return c.JSON(
			http.StatusOK,
			map[string]any{
				"id":            process.ID,
				"ready":         true,
				"spec":          node.Cluster.Now().Version,
				"ident":         engine.Ident(),
				"messages_sent": node.Peer.Sent(),
				"mended":        node.Repaired(),
			},
		)
	})
	metrics.Routes(router, func() []metrics.Sample {
		return append(
			node.MetricSamples(),
			metrics.Sample{
				Name:    "keys_mended_total",
				Help:    "Keys taken from other stores.",
				Value:   float64(node.Repaired()),
				Counter: true,
			},
			metrics.Sample{
				Name:  "disk_full",
				Help:  "1 while no new keys are taken.",
				Value: boolValue(engine.NearlyFull()),
			},
		)
	})
	if process.Faults {
		web.PartitionRoutes(router, node.Peer.Partitions)
		startup.DiskFaults(router, engine)
	}
	log.Info("serving", "listen", process.Listen, "http", process.HTTP, "ident", engine.Ident())
	err = web.Serve(ctx, startup.Opener(log), process.HTTP, router, time.Second)
	cancel()
	node.Wait()
	node.Peer.Close()
	log.Info("stopped")
	return err
}
