package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"damsontiller/internal/kit/scale"
)

// hollow is how damsontiller-faults starts a process of hollow nodes; it is for itself only.
const hollow = "hollow"

// measure is the scale run.
func measure(args []string) error {
	fs := flag.NewFlagSet("damsontiller-faults scale", flag.ExitOnError)
	p := scale.Params{Out: os.Stdout}
	fs.IntVar(&p.Nodes, "nodes", 50, "nodes in all: 3 cores, 3 stores, the real edges, and hollow ones")
	fs.IntVar(&p.Edges, "edges", 2, "real edges, 2 to 6")
	fs.IntVar(&p.Runners, "runners", 12, "stand-in runners")
	fs.IntVar(&p.Routes, "routes", 2, "routes that the runners are spread over")
	fs.IntVar(&p.Tenants, "tenants", 0, "tenants, each with a budget of its own in the spec")
	fs.IntVar(&p.Changes, "changes", 720, "changes of the spec an hour, in the second half")
	fs.IntVar(&p.Failures, "failures", 360, "hollow nodes killed an hour, in the second half")
	fs.DurationVar(
		&p.SettleTime,
		"settle",
		8*time.Second,
		"time after forming before anything is measured; the runners warm up, which is news",
	)
	fs.DurationVar(&p.Time, "time", 40*time.Second, "time measured: one half quiet, one with changes and failures")
	fs.Uint64Var(&p.Seed, "seed", 1, "seed of the failures")
	fs.StringVar(
		&p.Kind,
		"kind",
		scale.Member,
		"hollow nodes: member, what every process has, or edge, the whole edge without callers",
	)
	fs.IntVar(&p.Portion, "share", 50, "hollow nodes to a process")
	fs.StringVar(&p.Bin, "bin", "bin", "folder of damsontiller-control and damsontiller-data")
	fs.StringVar(&p.Dir, "dir", filepath.Join("run", "scale"), "folder for data and logs; it is replaced")
	fs.IntVar(&p.Net, "net", 0, "second number of the loopback network; 0 finds a free one")
	fs.StringVar(&p.File, "out", "", "file to keep the figures in")
	if err := fs.Parse(args); err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	p.Self = []string{self, hollow}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	_, err = scale.Run(ctx, p)
	return err
}
