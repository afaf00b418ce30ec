package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"damsontiller/internal/kit/soak"
)

// runSoak plays runs of the whole deployment as real processes, one for each seed.
func runSoak(args []string) error {
	fs := flag.NewFlagSet("damsontiller-faults soak", flag.ExitOnError)
	p := soak.Params{Out: os.Stdout}
	fs.StringVar(&p.Bin, "bin", "bin", "folder of damsontiller-control and damsontiller-data")
	dir := fs.String("dir", "run/soak", "folder for settings, data and logs; what it holds of a seed is replaced")
	first := fs.Uint64("seed", 1, "seed of the first run")
	runs := fs.Int("runs", 1, "runs, each with the next seed")
	fs.DurationVar(&p.Traffic, "time", 40*time.Second, "traffic before the closing fault")
	fs.DurationVar(&p.After, "after", 10*time.Second, "traffic after it")
	fs.IntVar(&p.Cores, "cores", 5, "core machines")
	fs.IntVar(&p.Stores, "stores", 6, "store machines")
	fs.IntVar(&p.Edges, "edges", 8, "edge machines")
	fs.IntVar(&p.Clients, "clients", 40, "clients, each with one connection")
	fs.Float64Var(&p.CoreShare, "core-share", 0, "part of the time in which core processes may run; 0: all of it")
	fs.IntVar(&p.IdleRoutes, "routes", 510, "routes that nobody calls")
	fs.BoolVar(&p.Smallest, "smallest", false, "machines with the least memory of the users' deployments")
	fs.BoolVar(&p.Quotas, "quotas", false, "tenants over their limits; edges restart in turn, leave, are cut off")
	if err := fs.Parse(args); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	failed := 0
	for i := range *runs {
		p.Seed = *first + uint64(i)
		p.Dir = filepath.Join(*dir, fmt.Sprintf("seed-%d", p.Seed))
		if err := os.RemoveAll(p.Dir); err != nil {
			return err
		}
		fmt.Printf("== seed %d\n", p.Seed)
		report, err := soak.Run(ctx, p)
		if err != nil {
			return fmt.Errorf("seed %d: %w", p.Seed, err)
		}
		report.Write(os.Stdout)
		if !report.Passed() {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d runs broke a rule", failed, *runs)
	}
	return nil
}
