// Command damsontiller-mutants shows that tests hold the mechanisms they claim to hold: it takes
// a list of mutants, each of which switches one mechanism off, applies them one after
// the other to a scratch copy of the tree, and runs the test that should fail. Its command
// ablate writes copies of the tree without one mechanism of decision each, to be measured.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"regexp"
	"syscall"
	"time"
)

// errSurvived ends a run in which some mutant was not killed.
var errSurvived = errors.New("not every mutant was killed")

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "damsontiller-mutants:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) > 0 && args[0] == "ablate" {
		return ablate(args[1:])
	}
	flags := flag.NewFlagSet("damsontiller-mutants", flag.ExitOnError)
	root := flags.String("root", ".", "the tree, which is only read")
	list := flags.String("list", "docs/mutants.toml", "the list of mutants")
	only := flags.String("only", "", "run the mutants whose names match this expression")
	limit := flags.Duration("timeout", 5*time.Minute, "longest time of one test run")
	if err := flags.Parse(args); err != nil {
		return err
	}
	name, err := regexp.Compile(*only)
	if err != nil {
		return err
	}
	mutants, err := load(*list)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	scratch, err := newScratch(*root)
	if err != nil {
		return err
	}
	defer scratch.remove()
	var results []result
	for _, mutant := range mutants {
		if ctx.Err() != nil || !name.MatchString(mutant.Name) {
			continue
		}
		r := judge(ctx, scratch, mutant, goTest{limit: *limit})
		fmt.Fprintf(os.Stderr, "%s: %s\n", mutant.Name, r.verdict)
		results = append(results, r)
	}
	printTable(os.Stdout, results)
	if err := ctx.Err(); err != nil {
		return err
	}
	return survivors(results)
}

// survivors is an error if any mutant was not killed.
func survivors(results []result) error {
	for _, r := range results {
		if r.verdict != killed {
			return errSurvived
		}
	}
	return nil
}
