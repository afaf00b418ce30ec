// Command damsontiller-control is the control plane: it serves on core machines, and its
// subcommands are the operators' way in.
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

func readSpec(file string) (*spec.Spec, error) {
	b, err := os.ReadFile(file)
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

func serve(args []string) error {
	if file := os.Getenv(platform.ConfigPathEnv); file != "" && len(args) == 0 {
		return onPlatform(file)
	}
	fs := flag.NewFlagSet("damsontiller-control serve", flag.ContinueOnError)
	p := startup.Flags(fs)
	boot := fs.Bool("bootstrap", false, "form the first set, once, together with every machine of -cores")
	cores := fs.String("cores", "", "with -bootstrap: the core machines, as id=address/zone,...")
	stores := fs.String("stores", "", "with -bootstrap: the store machines, as id=address/zone,...")
	file := fs.String("spec", "", "with -bootstrap: the first spec's file")
	rate := fs.Int("move-rate", 500, "keys moved a second while a set changes")
	ack := fs.Duration("ack-wait", 5*time.Second, "how long an operator's change waits to be in force")
	if err := p.Parse(args); err != nil {
		return err
	}
	if *rate < 1 {
		return code.New(code.BadFlag, "-move-rate: %d is less than 1", *rate)
	}
	cp := core.Params{Bootstrap: *boot, AckTimeout: *ack, MoveRate: *rate}
	if *ack <= 0 {
		return code.New(code.BadFlag, "-ack-wait: %s is not positive", *ack)
	}
	if *boot {
		var err error
		if cp.Cores, err = startup.Machines("cores", *cores); err != nil {
			return err
		}
		if cp.Stores, err = startup.Machines("stores", *stores); err != nil {
			return err
		}
		if cp.Spec, err = readSpec(*file); err != nil {
			return code.New(code.BadFlag, "-spec: %w", err)
		}
	} else if p.Seeds == "" {
		return code.New(code.BadFlag, "-seeds: missing")
	}
	return runCore(p, cp, 2*time.Second, func(_ context.Context, e *echo.Echo, c *core.Core, v *storage.Engine) {
		if p.Faults {
			web.PartitionRoutes(e, c.Peer.Partitions)
			startup.DiskFaults(e, v)
		}
	})
}

// runCore runs a core until it is told to stop; grace is for the orders under way
// then. more adds, before the start, what this core has beside the others.
func runCore(
	p *startup.Process,
	cp core.Params,
	grace time.Duration,
	more func(context.Context, *echo.Echo, *core.Core, *storage.Engine),
) error {
	log := p.Log("damsontiller-control")
	v, err := p.Engine("core", log)
	if err != nil {
		return err
	}
	defer v.Close()
	c, err := core.New(cp, p.Node("core", v.Ident(), log), v)
	if err != nil {
		return err
	}
	sig := signals.Stopping(log)
	// The background tasks outlive the signal: an order under way still needs them. A core
	// that does not serve yet has none.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e := web.New(log)
	c.Routes(e)
	more(ctx, e, c, v)
	serves := context.AfterFunc(sig, cancel)
	if err := c.Start(ctx); err != nil {
		return err
	}
	serves()
	log.Info("serving", "listen", p.Listen, "http", p.HTTP, "spec", c.Cluster.Now().Version)
	err = web.Serve(sig, startup.Opener(log), p.HTTP, e, grace)
	cancel()
	c.Wait()
	c.Peer.Close()
	log.Info("stopped")
	return err
}
