// Package rehearsal replays a recorded day on the simulated fleet under one policy and
// another, with the same seed, and puts their figures side by side.
package rehearsal

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"damsontiller/internal/dataplane/balancing/policy"
	"damsontiller/internal/dataplane/traffic"
	"damsontiller/internal/kit/checker"
	"damsontiller/internal/kit/client"
	"damsontiller/internal/kit/sim"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
)

// Params shape a rehearsal.
type Params struct {
	Deploy string // folder with the deployment's spec
	Day    *traffic.Day
	Seed   uint64
	// Runs is how often each column is run, under seeds from Seed on. Which of the
	// fleet's goroutines goes first is nobody's to say, so single runs differ.
	Runs  int
	Speed float64 // times the recorded pace
	// Base and Cand are the two policies; a nil one is the built-in.
	Base, Cand *spec.Policy
	// Bears is what each runner bears at once; 0 means the kit's 8.
	Bears int
	// Prefixes is how many each model server's cache holds; 0 means the kit's 16.
	Prefixes int
}

// Run rehearses. run gives each column a bubble of simulated time of its own.
func Run(p Params, run func(func())) (*spec.Approval, error) {
	out := &spec.Approval{Policy: policy.Builtin, Day: p.Day.Sum, Seed: p.Seed}
	if p.Cand != nil {
		out.Policy, out.Digest = p.Cand.Name, p.Cand.Source().Digest()
	}
	for _, c := range []struct {
		pol  *spec.Policy
		into *spec.Figures
	}{{p.Base, &out.Base}, {p.Cand, &out.Cand}} {
		all := took{}
		for i := range max(p.Runs, 1) {
			var err error
			q := p
			q.Seed += uint64(i)
			run(func() { err = column(q, c.pol, c.into, all) })
			if err != nil {
				return nil, err
			}
		}
		c.into.Waits = map[string]spec.Wait{}
		for k, ds := range all {
			slices.Sort(ds)
			c.into.Waits[k] = spec.Wait{Median: ds[len(ds)/2].Milliseconds(), P99: ds[len(ds)*99/100].Milliseconds()}
		}
	}
	return out, nil
}

// took is the time of each good answer, by class.
type took map[string][]time.Duration

// column is one replay; it adds to the figures.
func column(p Params, pol *spec.Policy, f *spec.Figures, all took) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	s, err := sim.New(sim.Params{Deploy: p.Deploy, Seed: p.Seed, Edges: 6, Bears: p.Bears, Prefix: p.Prefixes})
	if err != nil {
		return err
	}
	f.Name = policy.Builtin
	if pol != nil {
		f.Name = pol.Name
		if _, err := s.Spec.Load(*pol); err != nil {
			return err
		}
		s.Spec.Policies, s.Spec.Live = []spec.Policy{*pol}, &spec.Live{Policy: pol.Name, Share: 100}
	} else {
		s.Spec.Policies, s.Spec.Live = nil, nil
	}
	s.Spec.Approvals = nil
	if err := s.Start(ctx); err != nil {
		return err
	}
	// A day is not replayed on runners that are still warming up.
	time.Sleep(10 * time.Second)
	pl := &traffic.Player{
		Day:     p.Day,
		Speed:   p.Speed,
		Run:     "r",
		Client:  s.Crowd.Client,
		Edges:   s.Edges,
		Prompt:  client.Filler,
		Inspect: client.Look,
	}
	pl.Play(ctx)
	for _, m := range s.Machines {
		if e := s.Edge(m.ID); e != nil {
			f.Fallbacks += e.Fallbacks()
		}
	}
	stop()
	s.Stop()
	v, c := s.Judge()
	missed := f.Missed
	f.Breaches += int64(v.Total())
	urgent := map[string]bool{}
	for _, k := range s.Spec.Classes {
		urgent[k.Name] = k.Urgent
	}
	for _, a := range c.Asks {
		f.Asks++
		switch {
		case a.Status == 200:
			f.Served++
			all[a.Class] = append(all[a.Class], a.Done.Sub(a.Sent))
			if urgent[a.Class] && a.Done.Sub(a.Sent) > checker.UrgentMost {
				f.UrgentLate++
			}
			if a.Turn {
				f.Parted++
				if a.PrefixHit {
					f.PrefixHits++
				}
			}
		case a.Code == int(code.DeadlinePassed), a.Code == int(code.TooLong):
			f.Missed++
			f.Dropped++
		default:
			f.Dropped++
		}
	}
	f.MissedByRun = append(f.MissedByRun, f.Missed-missed)
	return nil
}

// Print writes both columns.
func Print(w io.Writer, a *spec.Approval) {
	b, c := a.Base, a.Cand
	fmt.Fprintf(
		w,
		"policy %s, text %.12s, day %.12s, seeds %d to %d\n\n%-22s %12s %12s\n",
		a.Policy,
		a.Digest,
		a.Day,
		a.Seed,
		a.Seed+uint64(len(b.MissedByRun))-1,
		"",
		b.Name,
		c.Name,
	)
	row := func(what string, x, y any) { fmt.Fprintf(w, "%-22s %12v %12v\n", what, x, y) }
	row("asks", b.Asks, c.Asks)
	row("served", b.Served, c.Served)
	row("deadlines missed", b.Missed, c.Missed)
	row(
		"  from run to run",
		fmt.Sprint(slices.Min(b.MissedByRun), "-", slices.Max(b.MissedByRun)),
		fmt.Sprint(slices.Min(c.MissedByRun), "-", slices.Max(c.MissedByRun)),
	)
	row("dropped in all", b.Dropped, c.Dropped)
	row("urgent over 0.5 s", b.UrgentLate, c.UrgentLate)
	row("prefixes held", fmt.Sprintf("%d/%d", b.PrefixHits, b.Parted), fmt.Sprintf("%d/%d", c.PrefixHits, c.Parted))
	for _, k := range slices.Sorted(maps.Keys(b.Waits)) {
		name := k
		if name == "" {
			name = "(none)"
		}
		row(
			name+" median, p99 ms",
			fmt.Sprintf("%d, %d", b.Waits[k].Median, b.Waits[k].P99),
			fmt.Sprintf("%d, %d", c.Waits[k].Median, c.Waits[k].P99),
		)
	}
	row("breaches", b.Breaches, c.Breaches)
	row("program failed", b.Fallbacks, c.Fallbacks)
	fmt.Fprintln(w, strings.Repeat("-", 48))
}
