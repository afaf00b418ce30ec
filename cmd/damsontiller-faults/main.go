// Command damsontiller-faults is the rehearsal kit: it starts a whole fleet on loopback, has
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
damsontiller-faults list              list the scenarios

Each takes -h.`

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "damsontiller-faults:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) == 0 {
		return fmt.Errorf("a subcommand is missing\n%s", usage)
	}
	switch args[0] {
	case "scale":
		return measure(args[1:])
	case hollow:
		return scale.Hollow(os.Stdin, os.Stdout)
	}
	fs := flag.NewFlagSet("damsontiller-faults "+args[0], flag.ExitOnError)
	deploy := fs.String("deploy", "andina", "deployment: andina or tsehay")
	deploys := fs.String("deploys", "deploy", "folder of the deployments")
	bin := fs.String("bin", "bin", "folder of damsontiller-control and damsontiller-data")
	dir := fs.String("dir", "run", "folder for data and logs; its fleets are replaced")
	seed := fs.Uint64("seed", 1, "seed of the callers and runners")
	seconds := fs.Int("seconds", 0, "least time of traffic")
	scale := fs.Float64("scale", 1, "traffic, in times of the usual rate")
	name := fs.String("scenario", "healthy", "what is done meanwhile")
	net := fs.Int("net", 0, "second number of the loopback network; 0 finds a free one")
	dayFile := fs.String("day", "", "run: replay this day file in place of the seeded callers")
	record := fs.String("record", "", "run: write the run's traffic to this day file, gzipped")
	level := fs.String("log", "info", "log level of the processes")
	if err := fs.Parse(args[1:]); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	params := func(deploy, what string, seed uint64) harness.Params {
		d := filepath.Join(*dir, deploy+"-"+what)
		return harness.Params{
			Fleet: fleet.Params{
				Deploy: filepath.Join(*deploys, deploy),
				Bin:    *bin,
				Dir:    d,
				Seed:   seed,
				Net:    *net,
				Log:    *level,
			},
			Seconds: *seconds,
			Scale:   *scale,
			Out:     os.Stdout,
		}
	}
	var theDay *traffic.Day
	if *dayFile != "" {
		f, err := os.Open(*dayFile)
		if err != nil {
			return err
		}
		defer f.Close()
		if theDay, err = traffic.Read(f); err != nil {
			return err
		}
	}
	rec := &recorder{file: *record}
	one := func(deploy, what string, seed uint64, out io.Writer) (*harness.Result, error) {
		s, err := harness.Find(what)
		if err != nil {
			return nil, err
		}
		p := params(deploy, what, seed)
		p.Out, p.Day = out, theDay
		if *record != "" {
			p.Record = rec
		}
		if err := os.RemoveAll(p.Fleet.Dir); err != nil {
			return nil, err
		}
		return harness.Run(ctx, p, s)
	}
	switch args[0] {
	case "list":
		for _, s := range harness.Scenarios {
			fmt.Printf("%-12s %s\n", s.Name, s.What)
		}
		return nil
	case "up":
		return up(ctx, params(*deploy, "up", *seed))
	case "ci":
		*name = "ci"
		fallthrough
	case "run":
		res, err := one(*deploy, *name, *seed, os.Stdout)
		if err != nil {
			return err
		}
		if err := rec.Close(); err != nil {
			return err
		}
		report(res)
		if n := res.Verdict.Total(); n > 0 {
			return fmt.Errorf("%d breaches", n)
		}
		return nil
	case "all":
		list := []string{"andina", "tsehay"}
		fs.Visit(func(f *flag.Flag) {
			if f.Name == "deploy" {
				list = []string{*deploy}
			}
		})
		return all(one, list, *seed)
	}
	return fmt.Errorf("%q is no subcommand\n%s", args[0], usage)
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
		fmt.Printf("%-3s %-5s zone %s  http %s  log %s\n", m.ID, m.Role, m.Zone, m.HTTP(), filepath.Join(m.Dir, "log"))
	}
	fmt.Println("the fleet serves; interrupt to end it")
	<-ctx.Done()
	return nil
}

func all(one func(string, string, uint64, io.Writer) (*harness.Result, error), deploys []string, seed uint64) error {
	fmt.Printf(
		"%-8s %-12s %5s %6s %6s %9s %12s  %s\n",
		"deploy",
		"scenario",
		"seed",
		"asks",
		"ok",
		"breaches",
		"urgent late",
		"service back after",
	)
	bad := 0
	for _, d := range deploys {
		for _, s := range harness.Scenarios {
			res, err := one(d, s.Name, seed, io.Discard)
			if err != nil {
				bad++
				fmt.Printf("%-8s %-12s %5d %v\n", d, s.Name, seed, err)
				continue
			}
			n := res.Verdict.Total()
			bad += n
			fmt.Printf(
				"%-8s %-12s %5d %6d %6d %9d %5d of %-4d  %s\n",
				d,
				s.Name,
				seed,
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
		return fmt.Errorf("%d breaches and failures", bad)
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
