// Command damsontiller-replay records the traffic of a cluster in a day file, reports on a
// day file, replays it against a cluster, and compares policies on a simulated one.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"damsontiller/cmd/internal/startup"
	"damsontiller/internal/dataplane/traffic"
	"damsontiller/internal/kit/rehearsal"
	"damsontiller/internal/kit/simtime"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/limitio"
)

const usage = `damsontiller-replay record [flags]   write what a fleet's edges answer into a day file
damsontiller-replay play [flags]     replay a day file against a fleet, and report
damsontiller-replay show [flags]     report on a day file as it was recorded
damsontiller-replay rehearse [flags] replay a day on a simulated fleet under two policies, and compare

Each takes -h.`

func main() { os.Exit(startup.Exit(run(os.Args[1:]))) }

// run executes the subcommand that the arguments name.
func run(args []string) error {
	if len(args) == 0 {
		return code.New(code.BadFlag, "a subcommand is missing\n%s", usage)
	}
	flags := flag.NewFlagSet("damsontiller-replay "+args[0], flag.ContinueOnError)
	file := flags.String("day", "day.jsonl", "the day file")
	cores := flags.String("core", "127.0.0.1:7200", "HTTP addresses of core machines, with commas between")
	maxDuration := flags.Duration("for", time.Minute, "record: how long; an interrupt ends it as well")
	name := flags.String("name", "day", "record: the day's name")
	speed := flags.Float64("speed", 1, "play, rehearse: times the recorded speed")
	deploy := flags.String("deploy", "deploy/andina", "rehearse: folder with the deployment's spec.json")
	candidate := flags.String(
		"policy",
		"",
		"rehearse: the candidate, a file of JSON with rank and order; none: the built-in rules",
	)
	baseline := flags.String("base", "", "rehearse: the policy in force, likewise")
	seed := flags.Uint64("seed", 1, "rehearse: seed of the fleet and its runners")
	runs := flags.Int("runs", 3, "rehearse: runs of each column, under seeds from -seed on")
	slots := flags.Int("bears", 8, "rehearse: jobs that each runner bears at once")
	prefixes := flags.Int("prefixes", 16, "rehearse: prefixes that each model server's cache holds")
	out := flags.String(
		"out",
		"",
		"rehearse: where the report for damsontiller-control policy approve goes; none: nowhere",
	)
	if err := flags.Parse(args[1:]); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return code.New(code.BadFlag, "%w", err)
	}
	if flags.NArg() > 0 {
		return code.New(code.BadFlag, "%q is no flag", flags.Arg(0))
	}
	coreAddrs := strings.Split(*cores, ",")
	for _, addr := range coreAddrs {
		if err := spec.Addr(addr); err != nil {
			return code.New(code.BadFlag, "-core: %w", err)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	switch args[0] {
	case "record":
		if *maxDuration <= 0 {
			return code.New(code.BadFlag, "-for: %s is not positive", *maxDuration)
		}
		return record(ctx, *file, *name, coreAddrs, *maxDuration)
	case "play":
		if *speed <= 0 || *speed > 1000 {
			return code.New(code.BadFlag, "-speed: %v is not within 0 and 1000", *speed)
		}
		return play(ctx, *file, coreAddrs, *speed)
	case "show":
		return show(*file)
	case "rehearse":
		if *speed <= 0 || *speed > 1000 || *slots < 1 || *slots > 10000 || *runs < 1 || *runs > 100 || *prefixes < 1 {
			return code.New(code.BadFlag, "-speed, -bears, -prefixes or -runs: out of range")
		}
		day, err := readDay(*file)
		if err != nil {
			return err
		}
		params := rehearsal.Params{
			Deploy:   *deploy,
			Day:      day,
			Seed:     *seed,
			Runs:     *runs,
			Speed:    *speed,
			Bears:    *slots,
			Prefixes: *prefixes,
		}
		if params.Base, err = readPolicy(*baseline); err != nil {
			return err
		}
		if params.Cand, err = readPolicy(*candidate); err != nil {
			return err
		}
		simtime.Main(
			func(run func(func())) error { return compare(params, *out, run) },
			func(err error) { fmt.Fprintln(os.Stderr, err) },
		)
		return nil
	case "-h", "help":
		fmt.Println(usage)
		return nil
	}
	return code.New(code.BadFlag, "%q is no subcommand\n%s", args[0], usage)
}

// record writes the traffic of a cluster to a day file until ctx is canceled or maxDuration
// has elapsed.
func record(ctx context.Context, file, name string, cores []string, maxDuration time.Duration) error {
	ctx, stop := context.WithTimeout(ctx, maxDuration)
	defer stop()
	client := &http.Client{}
	if _, err := traffic.Edges(ctx, client, cores); err != nil {
		return err
	}
	output, err := os.Create(file)
	if err != nil {
		return code.New(code.BadDay, "%w", err)
	}
	rows, lost, err := traffic.Record(ctx, client, cores, traffic.Head{Name: name}, output)
	if closeErr := output.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return code.New(code.BadDay, "%w", err)
	}
	fmt.Printf("%s: %d rows, %d lost\n", file, rows, lost)
	return nil
}

// readDay reads a day file.
func readDay(file string) (*traffic.Day, error) {
	input, err := os.Open(file)
	if err != nil {
		return nil, code.New(code.BadDay, "%w", err)
	}
	defer input.Close()
	day, err := traffic.Read(input)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return day, nil
}

// play replays a day file against a cluster and prints a summary of the results.
func play(ctx context.Context, file string, cores []string, speed float64) error {
	day, err := readDay(file)
	if err != nil {
		return err
	}
	client := &http.Client{}
	edges, err := traffic.Edges(ctx, client, cores)
	if err != nil {
		return err
	}
	player := &traffic.Player{
		Day:    day,
		Speed:  speed,
		Run:    strconv.FormatInt(time.Now().UnixNano(), 36),
		Client: traffic.NewClient(nil),
		Edges:  func(zone string) []string { return traffic.Near(edges, zone) },
	}
	fmt.Printf("%s: %d rows, digest %.12s, at speed %v\n", day.Name, len(day.Rows), day.Sum, speed)
	player.Play(ctx)
	traffic.Sum(player.Client.Log()).Print(os.Stdout)
	return nil
}

// readPolicy reads a policy program, which is named after its file. Without a file it
// returns nil, which selects the built-in rules.
func readPolicy(file string) (*spec.Policy, error) {
	if file == "" {
		return nil, nil
	}
	data, err := limitio.ReadFile(file, spec.MaxBytes)
	if err != nil {
		return nil, code.New(code.BadFlag, "%w", err)
	}
	var program spec.PolicyPut
	if err := spec.Read(data, &program); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	name := strings.TrimSuffix(filepath.Base(file), ".json")
	if !spec.Name(name) {
		return nil, code.New(code.BadFlag, "%s: %q is not a name", file, name)
	}
	return &spec.Policy{Name: name, Rank: program.Rank, Order: program.Order}, nil
}

// compare runs a rehearsal, prints the results of both policies side by side, and writes
// the report to the file out unless that is empty.
func compare(params rehearsal.Params, out string, runSimulation func(func())) error {
	report, err := rehearsal.Run(params, runSimulation)
	if err != nil {
		return err
	}
	rehearsal.Print(os.Stdout, report)
	if out == "" {
		return nil
	}
	data, err := report.MarshalJSON()
	if err != nil {
		return err
	}
	return os.WriteFile(out, append(data, '\n'), 0o644)
}

// show prints a summary of a day file as it was recorded.
func show(file string) error {
	day, err := readDay(file)
	if err != nil {
		return err
	}
	fmt.Printf(
		"%s: recorded %s, %d rows, %d lost, digest %.12s\n",
		day.Name,
		day.Start,
		len(day.Rows),
		day.Lost,
		day.Sum,
	)
	traffic.Sum(day.Asks()).Print(os.Stdout)
	return nil
}
