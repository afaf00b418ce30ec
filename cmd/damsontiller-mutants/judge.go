package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os/exec"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"
)

// verdict is what became of a mutant.
type verdict string

// Verdicts. Only a killed mutant proves its test.
const (
	killed       verdict = "killed"
	survived     verdict = "SURVIVED"
	notCompiled  verdict = "does not compile"
	notApplied   verdict = "not applicable"
	redWithoutIt verdict = "test is red without it"
	notRun       verdict = "test not found"
	notRestored  verdict = "not restored"
	brokenOff    verdict = "broken off"
)

const (
	grace         = 10 * time.Second // beyond go test's own time limit
	shownOfOutput = 2000             // bytes at the end
)

// result is one row of the table.
type result struct {
	mutant  Mutant
	verdict verdict
	detail  string
	took    time.Duration
}

// tester runs a test of the tree under root.
type tester interface {
	test(ctx context.Context, root, pkg, pattern string) (outcome, string)
}

// outcome is how a test run ended.
type outcome int

// Outcomes of a test run.
const (
	passed outcome = iota
	failed
	unbuilt // the package or its test could not be built
	unfound // no test matches the pattern
)

// goTest runs tests by the go command.
type goTest struct{ limit time.Duration }

func (g goTest) test(ctx context.Context, root, pkg, pattern string) (outcome, string) {
	ctx, stop := context.WithTimeout(ctx, g.limit+grace)
	defer stop()
	// A test may build the programs itself, which the cache of results does not know.
	args := []string{"test", "-v", "-count", "1", "-timeout", g.limit.String(), "-run", pattern, pkg}
	command := exec.CommandContext(ctx, "go", args...)
	command.Dir = root
	var out bytes.Buffer
	command.Stdout, command.Stderr = &out, &out
	// What is broken off takes the test's own process with it.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	command.Cancel = func() error { return syscall.Kill(-command.Process.Pid, syscall.SIGKILL) }
	err := command.Run()
	return read(err, out.String()), out.String()
}

// read tells the outcome from what go test said.
func read(err error, out string) outcome {
	switch {
	case strings.Contains(out, "[build failed]") || strings.Contains(out, "[setup failed]"):
		return unbuilt
	case err != nil && strings.Contains(out, "=== RUN"):
		return failed
	case err != nil:
		return unbuilt
	case !strings.Contains(out, "=== RUN"):
		return unfound
	}
	return passed
}

// judge applies a mutant to the scratch copy, runs its test, and restores the copy.
func judge(ctx context.Context, s *scratch, m Mutant, t tester) result {
	began := time.Now()
	v, detail := mutate(ctx, s, m, t)
	if ctx.Err() != nil {
		v = brokenOff
	}
	return result{mutant: m, verdict: v, detail: detail, took: time.Since(began)}
}

func mutate(ctx context.Context, s *scratch, m Mutant, t tester) (v verdict, detail string) {
	if v, detail := baseline(ctx, s, m, t); v != "" {
		return v, detail
	}
	restore, err := m.apply(s.root)
	if err != nil {
		return notApplied, err.Error()
	}
	defer func() {
		if err := restore(); err != nil {
			v, detail = notRestored, err.Error()
		}
	}()
	got, out := t.test(ctx, s.root, m.Package, m.Test)
	switch got {
	case failed:
		return killed, ""
	case unbuilt:
		return notCompiled, tail(out)
	case unfound:
		return notRun, ""
	}
	return survived, ""
}

// baseline runs the test without the mutant; a verdict other than "" ends the matter.
func baseline(ctx context.Context, s *scratch, m Mutant, t tester) (verdict, string) {
	got, out := t.test(ctx, s.root, m.Package, m.Test)
	switch got {
	case passed:
		return "", ""
	case unfound:
		return notRun, ""
	}
	return redWithoutIt, tail(out)
}

func tail(s string) string { return s[max(0, len(s)-shownOfOutput):] }

// printTable prints a row for each mutant, then the details of those not killed.
func printTable(w io.Writer, results []result) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "mutant\tmechanism\ttest\tday\tverdict\ttook")
	count := map[verdict]int{}
	for _, r := range results {
		count[r.verdict]++
		m := r.mutant
		fmt.Fprintf(
			table,
			"%s\t%s\t%s %s\t%s\t%s\t%.1f s\n",
			m.Name,
			m.Mechanism,
			m.Package,
			m.Test,
			m.Day,
			r.verdict,
			r.took.Seconds(),
		)
	}
	_ = table.Flush()
	for _, r := range results {
		if r.detail != "" {
			fmt.Fprintf(w, "\n%s: %s\n%s\n", r.mutant.Name, r.verdict, r.detail)
		}
	}
	fmt.Fprintf(
		w,
		"\n%d mutants, %d killed, %d survived, %d undecided\n",
		len(results),
		count[killed],
		count[survived],
		len(results)-count[killed]-count[survived],
	)
}
