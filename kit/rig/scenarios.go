package rig

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"damsontiller/kit/runner"
)

// Scenarios in the order in which they are run.
var Scenarios = []Scenario{
	{Name: "healthy", What: "nothing is done", Seconds: 8, Do: func(context.Context, *Rig) error { return nil }},
	{Name: "refusals", What: "runners refuse in every form, lose, cut and mix up answers", Seconds: 14, Do: refusals},
	{Name: "kills", What: "an edge, a store and a core machine are killed and restarted in turn", Seconds: 34, Do: kills},
	{Name: "drain", What: "runners leave and come back one by one", Seconds: 16, Do: drain},
	{Name: "zone", What: "a zone is emptied and refilled", Seconds: 14, Do: zone},
	{Name: "restarts", What: "every machine is stopped and started in turn", Seconds: 40, Do: restarts},
	{Name: "operators", What: "two operators race, many times", Seconds: 10, Do: operators},
	{Name: "ci", What: "a little of each, for every commit", Seconds: 16, Do: ci},
}

// Find finds a scenario.
func Find(name string) (Scenario, error) {
	for _, s := range Scenarios {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, fmt.Errorf("no scenario %q", name)
}

func refusals(ctx context.Context, r *Rig) error {
	all := []runner.Order{runner.Refuse, runner.Raise, runner.Lose, runner.Cut, runner.Mix, runner.RefuseSecs, runner.RefuseDate, runner.Slow}
	for i, o := range all {
		for j, n := range r.F.Runners {
			// One runner in three each time; each order meets every kind.
			if (i+j)%3 == 0 {
				n.Give(o)
			}
		}
		r.Wait(ctx, 1200*time.Millisecond)
	}
	// Every fault must have fired, or the scenario shows nothing.
	left := 0
	for _, n := range r.F.Runners {
		left += n.Undone()
	}
	if left > len(r.F.Runners) {
		return fmt.Errorf("%d orders met no job", left)
	}
	return nil
}

func kills(ctx context.Context, r *Rig) error {
	for _, id := range []string{"e1", "s2", "c3"} {
		if err := r.Kill(id); err != nil {
			return err
		}
		r.Wait(ctx, 4*time.Second)
		if err := r.Start(id); err != nil {
			return err
		}
		r.Wait(ctx, 4*time.Second)
	}
	return nil
}

func drain(ctx context.Context, r *Rig) error {
	for _, n := range r.F.Runners[:3] {
		r.Drain(n.P.Name)
		r.Wait(ctx, 3500*time.Millisecond)
		if err := r.Return(n.P.Name); err != nil {
			return err
		}
	}
	return nil
}

func zone(ctx context.Context, r *Rig) error {
	if err := r.Zone("b", true); err != nil {
		return err
	}
	r.Wait(ctx, 8*time.Second)
	return r.Zone("b", false)
}

func restarts(ctx context.Context, r *Rig) error {
	for _, m := range r.F.Machines {
		if err := r.Quit(m.ID); err != nil {
			return err
		}
		if err := r.Start(m.ID); err != nil {
			return err
		}
		// The next goes only once this one is back.
		r.Wait(ctx, 500*time.Millisecond)
		if err := r.healthy(ctx, 20*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// healthy waits until the operators' health page finds nothing wrong.
func (r *Rig) healthy(ctx context.Context, most time.Duration) error {
	ctx, stop := context.WithTimeout(ctx, most)
	defer stop()
	for {
		var h struct {
			OK    bool     `json:"ok"`
			Wrong []string `json:"wrong"`
		}
		if st, err := r.F.Operate(http.MethodGet, "/v1/health", nil, &h); err == nil && st == http.StatusOK && h.OK {
			return r.F.Ready(ctx, most)
		}
		r.Wait(ctx, 100*time.Millisecond)
		if ctx.Err() != nil {
			return fmt.Errorf("not healthy after %s: %v", most, h.Wrong)
		}
	}
}

// operators: of two that expect the same version one wins, and the other is
// told the version in force.
func operators(ctx context.Context, r *Rig) error {
	for range 10 {
		var s struct {
			Version uint64         `json:"version"`
			Spec    map[string]any `json:"spec"`
		}
		if _, err := r.F.Operate(http.MethodGet, "/v1/spec", nil, &s); err != nil {
			return err
		}
		type got struct {
			st  int
			a   ack
			err error
		}
		ch := make(chan got, 2)
		for range 2 {
			go func() {
				st, a, err := r.Change(http.MethodPut, "/v1/spec", map[string]any{"expect": s.Version, "spec": s.Spec})
				ch <- got{st, a, err}
			}()
		}
		won, lost := 0, 0
		for range 2 {
			g := <-ch
			switch {
			case g.err != nil:
				return g.err
			case g.st == http.StatusOK:
				won++
			case g.st == http.StatusConflict && g.a.Version > s.Version:
				lost++
			}
		}
		if won != 1 || lost != 1 {
			return fmt.Errorf("of two racing operators %d won and %d were told of the other", won, lost)
		}
	}
	return nil
}

func ci(ctx context.Context, r *Rig) error {
	for i, n := range r.F.Runners {
		n.Give([]runner.Order{runner.Refuse, runner.Raise, runner.Lose, runner.Cut, runner.Mix, runner.RefuseSecs}[i%6])
	}
	if err := r.Zone("c", true); err != nil {
		return err
	}
	if err := r.Kill("e1"); err != nil {
		return err
	}
	r.Wait(ctx, 2*time.Second)
	if err := r.Start("e1"); err != nil {
		return err
	}
	if err := r.Zone("c", false); err != nil {
		return err
	}
	r.Drain("m1")
	if err := r.Kill("s2"); err != nil {
		return err
	}
	r.Wait(ctx, 2*time.Second)
	if err := r.Start("s2"); err != nil {
		return err
	}
	if err := r.Kill("c3"); err != nil {
		return err
	}
	r.Wait(ctx, 2*time.Second)
	if err := r.Start("c3"); err != nil {
		return err
	}
	if err := r.Quit("e2"); err != nil {
		return err
	}
	if err := r.Start("e2"); err != nil {
		return err
	}
	return r.healthy(ctx, 30*time.Second)
}
