// Command damsontiller-faults is the rehearsal kit: it starts an entire fleet on loopback, has
// stand-in callers use it, causes failures, and judges what it saw.
package main

import (
	"compress/gzip"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"syscall"
	"time"

	"damsontiller/internal/dataplane/traffic"
	"damsontiller/internal/kit/fleet"
	"damsontiller/internal/kit/harness"
	"damsontiller/internal/kit/scale"
)

const usage = `damsontiller-faults up [flags]        start a fleet and keep it running until interrupted
damsontiller-faults run [flags]       run one scenario (-scenario) under traffic, and judge it
damsontiller-faults all [flags]       run every scenario, for both deployments or the one named, and print a table
damsontiller-faults ci [flags]        the short run of the test command
damsontiller-faults scale [flags]     measure what each role costs, with real and hollow nodes
damsontiller-faults soak [flags]      run the deployment as the platform starts it, under series of signals and kills
damsontiller-faults list              list the scenarios

Each takes -h.`

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "damsontiller-faults:", err)
		os.Exit(1)
	}
}

// options are the flags of the subcommands that run a fleet.
type options struct {
	deploy    string // deployment
	deploySet bool   // it was named
	deploys   string // folder of the deployments
	bin       string // folder of the programs
	dir       string // for data and logs
	seed      uint64
	seconds   int     // least time of traffic
	scale     float64 // traffic, in times of the usual rate
	scenario  string
	net       int // second number of the loopback network; 0 finds a free one
	day       *traffic.Day
	record    *recorder // nil: the traffic is not recorded
	level     string    // log level of the processes
}

func run(args []string) error {
	if len(args) == 0 {
		return fmt.Errorf("a subcommand is missing\n%s", usage)
	}
	switch args[0] {
	case "scale":
		return measure(args[1:])
	case "soak":
		return runSoak(args[1:])
	case hollow:
		return scale.Hollow(os.Stdin, os.Stdout)
	case "list":
		return list()
	}
	o, err := parseOptions(args)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	switch args[0] {
	case "up":
		return up(ctx, o.params(o.deploy, "up", os.Stdout))
	case "ci":
		o.scenario = "ci"
		return runOne(ctx, o)
	case "run":
		return runOne(ctx, o)
	case "all":
		return runAll(ctx, o)
	}
	return fmt.Errorf("%q is no subcommand\n%s", args[0], usage)
}

func parseOptions(args []string) (*options, error) {
	o := &options{}
	fs := flag.NewFlagSet("damsontiller-faults "+args[0], flag.ExitOnError)
	fs.StringVar(&o.deploy, "deploy", "andina", "deployment: andina or tsehay")
	fs.StringVar(&o.deploys, "deploys", "deploy", "folder of the deployments")
	fs.StringVar(&o.bin, "bin", "bin", "folder of damsontiller-control and damsontiller-data")
	fs.StringVar(&o.dir, "dir", "run", "folder for data and logs; its fleets are replaced")
	fs.Uint64Var(&o.seed, "seed", 1, "seed of the callers and runners")
	fs.IntVar(&o.seconds, "seconds", 0, "least time of traffic")
	fs.Float64Var(&o.scale, "scale", 1, "traffic, in times of the usual rate")
	fs.StringVar(&o.scenario, "scenario", "healthy", "what is done meanwhile")
	fs.IntVar(&o.net, "net", 0, "second number of the loopback network; 0 finds a free one")
	dayFile := fs.String("day", "", "run: replay this day file in place of the seeded callers")
	record := fs.String("record", "", "run: write the run's traffic to this day file, gzipped")
	fs.StringVar(&o.level, "log", "info", "log level of the processes")
	if err := fs.Parse(args[1:]); err != nil {
		return nil, err
	}
	fs.Visit(func(f *flag.Flag) { o.deploySet = o.deploySet || f.Name == "deploy" })
	if *record != "" {
		o.record = &recorder{file: *record}
	}
	if *dayFile == "" {
		return o, nil
	}
	f, err := os.Open(*dayFile)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	o.day, err = traffic.Read(f)
	return o, err
}

// params are those of a run on a deployment.
func (o *options) params(deploy, what string, out io.Writer) harness.Params {
	return harness.Params{
		Fleet: fleet.Params{
			Deploy: filepath.Join(o.deploys, deploy),
			Bin:    o.bin,
			Dir:    filepath.Join(o.dir, deploy+"-"+what),
			Seed:   o.seed,
			Net:    o.net,
			Log:    o.level,
		},
		Seconds: o.seconds,
		Scale:   o.scale,
		Out:     out,
	}
}

// play runs one scenario on a deployment.
func (o *options) play(ctx context.Context, deploy, scenario string, out io.Writer) (*harness.Result, error) {
	s, err := harness.Find(scenario)
	if err != nil {
		return nil, err
	}
	p := o.params(deploy, scenario, out)
	p.Day = o.day
	if o.record != nil {
		p.Record = o.record
	}
	if err := os.RemoveAll(p.Fleet.Dir); err != nil {
		return nil, err
	}
	return harness.Run(ctx, p, s)
}

func list() error {
	for _, s := range harness.Scenarios {
		fmt.Printf("%-12s %s\n", s.Name, s.What)
	}
	return nil
}

func runOne(ctx context.Context, o *options) error {
	result, err := o.play(ctx, o.deploy, o.scenario, os.Stdout)
	if err != nil {
		return err
	}
	if o.record != nil {
		if err := o.record.Close(); err != nil {
			return err
		}
	}
	report(result)
	if n := result.Verdict.Total(); n > 0 {
		return fmt.Errorf("%d violations", n)
	}
	return nil
}

// recorder is a gzipped file that is made when first written to.
type recorder struct {
	file string
	f    *os.File
	z    *gzip.Writer
}

func (r *recorder) Write(b []byte) (int, error) {
	if r.f == nil {
		f, err := os.Create(r.file)
		if err != nil {
			return 0, err
		}
		r.f, r.z = f, gzip.NewWriter(f)
	}
	return r.z.Write(b)
}

// Close ends the file.
func (r *recorder) Close() error {
	if r.f == nil {
		return nil
	}
	return errors.Join(r.z.Close(), r.f.Close())
}

func up(ctx context.Context, p harness.Params) error {
	f, err := fleet.New(p.Fleet)
	if err != nil {
		return err
	}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return err
	}
	for _, m := range f.Machines {
		fmt.Printf(
			"%-3s %-5s zone %s  http %s  log %s\n",
			m.ID,
			m.Role,
			m.Zone,
			m.HTTP(),
			filepath.Join(m.Dir, "log"),
		)
	}
	fmt.Println("the fleet serves; interrupt to end it")
	<-ctx.Done()
	return nil
}

// runAll runs every scenario, on both deployments or the one named, and prints a table.
func runAll(ctx context.Context, o *options) error {
	deploys := []string{"andina", "tsehay"}
	if o.deploySet {
		deploys = []string{o.deploy}
	}
	const header = "%-8s %-12s %5s %6s %6s %9s %12s  %s\n"
	fmt.Printf(header, "deploy", "scenario", "seed", "asks", "ok", "violations", "urgent late", "service back after")
	bad := 0
	for _, d := range deploys {
		for _, s := range harness.Scenarios {
			res, err := o.play(ctx, d, s.Name, io.Discard)
			if err != nil {
				bad++
				fmt.Printf("%-8s %-12s %5d %v\n", d, s.Name, o.seed, err)
				continue
			}
			n := res.Verdict.Total()
			bad += n
			fmt.Printf(
				"%-8s %-12s %5d %6d %6d %9d %5d of %-4d  %s\n",
				d,
				s.Name,
				o.seed,
				res.Asks,
				res.Codes["ok"],
				n,
				late(res.Urgent),
				len(res.Urgent),
				backs(res),
			)
			if n > 0 {
				fmt.Print(res.Verdict)
			}
		}
	}
	if bad > 0 {
		return fmt.Errorf("%d violations and failures", bad)
	}
	return nil
}

// late counts the urgent answers that took over half a second.
func late(took []time.Duration) int {
	n := 0
	for _, d := range took {
		if d > 500*time.Millisecond {
			n++
		}
	}
	return n
}

func backs(r *harness.Result) string {
	var out []string
	for _, b := range r.Back {
		if b.After < 0 {
			out = append(out, b.What+": never")
		} else {
			out = append(out, fmt.Sprintf("%s: %s", b.What, b.After.Round(10*time.Millisecond)))
		}
	}
	return strings.Join(out, ", ")
}

func report(r *harness.Result) {
	fmt.Printf("asks %d, runs %d, refused by runners %d, prefixes held %d\n", r.Asks, r.Runs, r.Early, r.Held)
	var names []string
	for n := range r.Codes {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		fmt.Printf("  %-18s %5d  %s\n", n, r.Codes[n], r.Words[n])
	}
	if len(r.Urgent) > 0 {
		slices.Sort(r.Urgent)
		fmt.Printf(
			"urgent: %d, median %s, longest %s, over half a second %d\n",
			len(r.Urgent),
			r.Urgent[len(r.Urgent)/2].Round(time.Millisecond),
			r.Urgent[len(r.Urgent)-1].Round(time.Millisecond),
			late(r.Urgent),
		)
	}
	if ok := r.Codes["ok"]; ok > 0 {
		fmt.Printf(
			"register rounds a good answer %.2f, messages %.1f\n",
			float64(r.Rounds)/float64(ok),
			float64(r.Sent)/float64(ok),
		)
	}
	if len(r.Back) > 0 {
		fmt.Println("service back after", backs(r))
	}
	fmt.Print(r.Verdict)
}
