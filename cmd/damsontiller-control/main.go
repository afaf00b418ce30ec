// Command damsontiller-control is the control plane. Its serve subcommand runs a core
// machine; the other subcommands are the command-line client for operators.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/labstack/echo/v4"

	"damsontiller/cmd/internal/signals"
	"damsontiller/cmd/internal/startup"
	"damsontiller/internal/coordination/core"
	"damsontiller/internal/coordination/web"
	"damsontiller/internal/platform"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/state/storage"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/limitio"
)

const usage = `damsontiller-control serve [flags]                 run a core machine
damsontiller-control spec get|put|patch [flags]    read or change the spec
damsontiller-control spec version N [flags]        is version N in force everywhere?
damsontiller-control spec explain [flags]          which placements follow from the intents
damsontiller-control policy list                   the policy programs, their approvals, which is live
damsontiller-control policy put NAME -file F       take a program's text, JSON with rank and order
damsontiller-control policy approve NAME -file R   approve a rehearsal's report
damsontiller-control policy live NAME [-share N]   put it in force for N percent of all programs
damsontiller-control policy off                    back to the built-in rules
damsontiller-control policy drop NAME              forget a program
damsontiller-control trace JOB [-edge ADDR]        why a job went where it did
damsontiller-control zone empty|refill ZONE [-force]  take a zone out of service, or back
damsontiller-control store admit ID [-for OLD]     take a store into the set, in another's place or beside
damsontiller-control store retire ID               let a store go once its copies are elsewhere
damsontiller-control core admit ID -for OLD        replace a core machine
damsontiller-control store|core abandon            go back to the set as it was
damsontiller-control sets [flags]                  the sets, and what they change to
damsontiller-control members [flags]               list the members
damsontiller-control health [flags]                what is wrong, if anything
damsontiller-control check FILE                    check a spec file

Each takes -h.`

func main() { os.Exit(startup.Exit(run(os.Args[1:]))) }

// run executes the subcommand that the arguments name.
func run(args []string) error {
	if len(args) == 0 {
		return code.New(code.BadFlag, "a subcommand is missing\n%s", usage)
	}
	if args[0] == "serve" {
		return serve(args[1:])
	}
	signals.Default()
	switch args[0] {
	case "check":
		if len(args) != 2 {
			return code.New(code.BadFlag, "check wants one file")
		}
		if _, err := readSpec(args[1]); err != nil {
			return err
		}
		fmt.Println("ok")
		return nil
	case "-h", "-help", "--help", "help":
		fmt.Println(usage)
		return nil
	}
	return operate(args)
}

// readSpec reads a spec file and checks it.
func readSpec(file string) (*spec.Spec, error) {
	b, err := limitio.ReadFile(file, spec.MaxBytes)
	if err != nil {
		return nil, code.New(code.BadSpec, "%w", err)
	}
	s := &spec.Spec{}
	if err := spec.Read(b, s); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return s, nil
}

// serve runs a core machine, configured by flags or, without any, by the platform's
// settings file.
func serve(args []string) error {
	if file := os.Getenv(platform.ConfigPathEnv); file != "" && len(args) == 0 {
		return onPlatform(file)
	}
	flags := flag.NewFlagSet("damsontiller-control serve", flag.ContinueOnError)
	process := startup.Flags(flags)
	bootstrap := flags.Bool("bootstrap", false, "form the first set, once, together with every machine of -cores")
	cores := flags.String("cores", "", "with -bootstrap: the core machines, as id=address/zone,...")
	stores := flags.String("stores", "", "with -bootstrap: the store machines, as id=address/zone,...")
	file := flags.String("spec", "", "with -bootstrap: the first spec's file")
	moveRate := flags.Int("move-rate", 500, "keys moved a second while a set changes")
	ackTimeout := flags.Duration("ack-wait", 5*time.Second, "how long an operator's change waits to be in force")
	if err := process.Parse(args); err != nil {
		return err
	}
	if *moveRate < 1 {
		return code.New(code.BadFlag, "-move-rate: %d is less than 1", *moveRate)
	}
	params := core.Params{Bootstrap: *bootstrap, AckTimeout: *ackTimeout, MoveRate: *moveRate}
	if *ackTimeout <= 0 {
		return code.New(code.BadFlag, "-ack-wait: %s is not positive", *ackTimeout)
	}
	if *bootstrap {
		var err error
		if params.Cores, err = startup.Machines("cores", *cores); err != nil {
			return err
		}
		if params.Stores, err = startup.Machines("stores", *stores); err != nil {
			return err
		}
		if params.Spec, err = readSpec(*file); err != nil {
			return code.New(code.BadFlag, "-spec: %w", err)
		}
	} else if process.Seeds == "" {
		return code.New(code.BadFlag, "-seeds: missing")
	}
	return runCore(
		process,
		params,
		2*time.Second,
		func(_ context.Context, router *echo.Echo, node *core.Core, engine *storage.Engine) {
			if process.Faults {
				web.PartitionRoutes(router, node.Peer.Partitions)
				startup.DiskFaults(router, engine)
			}
		},
	)
}

// runCore runs a core until the process receives a stop signal. Requests in progress at
// that time have gracePeriod to finish. configure is called before the core starts, to add
// routes and background tasks.
func runCore(
	process *startup.Process,
	params core.Params,
	gracePeriod time.Duration,
	configure func(context.Context, *echo.Echo, *core.Core, *storage.Engine),
) error {
	log := process.Log("damsontiller-control")
	stopSignal := signals.Stopping(log)
	startup.ReportSlowStop(stopSignal, log, process.SlowStop)
	engine, err := process.Engine("core", log)
	if err != nil {
		return err
	}
	defer engine.Close()
	node, err := core.New(params, process.Node("core", engine.Ident(), log), engine)
	if err != nil {
		return err
	}
	// The background tasks keep running after the signal, because requests in progress need
	// them. Before the core serves there are no requests, and the signal cancels the tasks.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	router := web.New(log)
	node.Routes(router)
	configure(ctx, router, node, engine)
	detachCancel := context.AfterFunc(stopSignal, cancel)
	if err := node.Start(ctx); err != nil {
		return err
	}
	detachCancel()
	log.Info("serving", "listen", process.Listen, "http", process.HTTP, "spec", node.Cluster.Now().Version)
	err = web.Serve(stopSignal, startup.Opener(log), process.HTTP, router, gracePeriod)
	cancel()
	node.Wait()
	node.Peer.Close()
	log.Info("stopped")
	return err
}
