package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"damsontiller/internal/kit/checker"
	"damsontiller/internal/kit/fleet"
	"damsontiller/internal/kit/runner"
)

// Scenarios in the order in which they are run.
var Scenarios = []Scenario{
	{Name: "healthy", What: "nothing is done", Seconds: 8, Do: func(context.Context, *Rig) error { return nil }},
	{Name: "refusals", What: "runners refuse in every form, lose, cut and mix up answers", Seconds: 14, Do: refusals},
	{
		Name:    "kills",
		What:    "an edge, a store and a core machine are killed and restarted in turn",
		Seconds: 34,
		Do:      kills,
	},
	{Name: "drain", What: "runners leave and come back one by one", Seconds: 16, Do: drain},
	{Name: "zone", What: "a zone is emptied and refilled", Seconds: 14, Do: zone},
	{Name: "restarts", What: "every machine is stopped and started in turn", Seconds: 40, Do: restarts},
	{Name: "operators", What: "two operators race, many times", Seconds: 10, Do: operators},
	{Name: "crowd", What: "six times the usual traffic for a while, urgent work among it", Seconds: 16, Do: crowd},
	{
		Name:    "runners",
		What:    "runners are replaced one by one by fresh ones, and some crash",
		Seconds: 24,
		Do:      runners,
	},
	{Name: "freeze", What: "the dealing edge, a store and a core machine freeze and wake", Seconds: 40, Do: freeze},
	{Name: "cutcore", What: "the core is cut in two, then cut off whole", Seconds: 36, Do: partitionCore},
	{Name: "cutstore", What: "a store is cut off, then joins again", Seconds: 22, Do: partitionStore},
	{Name: "loststore", What: "a store loses its disk and is admitted anew", Seconds: 30, Do: lostStore},
	{
		Name:    "sets",
		What:    "a store is added, another retired, a core replaced at a new address",
		Seconds: 50,
		Do:      sets,
	},
	{Name: "disk", What: "a store's disk turns slow, another's fills up", Seconds: 26, Do: disk},
	{Name: "bursts", What: "spec changes in bursts through all core machines", Seconds: 14, Do: bursts},
	{Name: "zoneloss", What: "a whole zone is lost and comes back", Seconds: 40, Do: zoneLoss},
	{Name: "fullstop", What: "everything goes down at once and comes up again", Seconds: 40, Do: fullStop},
	{
		Name:    "policy",
		What:    "a rehearsed policy is approved and rolled out through the death of the dealing edge, and taken back",
		Seconds: 36,
		Do:      policies,
	},
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
	all := []runner.Order{
		runner.Refuse,
		runner.Raise,
		runner.Lose,
		runner.Truncate,
		runner.Mix,
		runner.RefuseSecs,
		runner.RefuseDate,
		runner.Slow,
	}
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
// answered the version in force.
func operators(_ context.Context, r *Rig) error {
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
			a   Acknowledgement
			err error
		}
		ch := make(chan got, 2)
		for range 2 {
			go func() {
				st, a, err := r.Change(
					http.MethodPut,
					"/v1/spec",
					map[string]any{"expect": s.Version, "spec": s.Spec},
				)
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

func crowd(ctx context.Context, r *Rig) error {
	r.Crowd.Run(ctx, 6*time.Second, 6)
	return nil
}

func runners(ctx context.Context, r *Rig) error {
	for i, n := range r.F.Runners[:6] {
		n.P.Up = true
		if i%2 == 0 {
			r.Drain(n.P.Name)
			r.Wait(ctx, 3200*time.Millisecond)
		}
		if err := r.Return(n.P.Name); err != nil {
			return err
		}
		r.Wait(ctx, time.Second)
	}
	return nil
}

func freeze(ctx context.Context, r *Rig) error {
	for _, id := range []string{"e1", "s2", "c3"} {
		if err := r.Freeze(id); err != nil {
			return err
		}
		r.Wait(ctx, 7*time.Second)
		if err := r.Thaw(id); err != nil {
			return err
		}
		r.Wait(ctx, 3*time.Second)
	}
	return nil
}

func (r *Rig) partition(ctx context.Context, d time.Duration, ids ...string) error {
	var of, rest []*fleet.Machine
	for _, m := range r.F.Machines {
		if slices.Contains(ids, m.ID) {
			of = append(of, m)
		} else {
			rest = append(rest, m)
		}
	}
	r.Record(checker.Hard, fmt.Sprintf("cut %v", ids), 0)
	if err := r.F.Partition(of, rest); err != nil {
		return err
	}
	r.Wait(ctx, d)
	r.say("  joined %v", ids)
	return r.F.Partition(of, nil, rest...)
}

func partitionCore(ctx context.Context, r *Rig) error {
	if err := r.partition(ctx, 8*time.Second, "c1"); err != nil {
		return err
	}
	r.Wait(ctx, 3*time.Second)
	if err := r.partition(ctx, 12*time.Second, "c1", "c2", "c3"); err != nil {
		return err
	}
	r.Wait(ctx, 3*time.Second)
	if err := r.Zone("b", true); err != nil {
		return err
	}
	return r.Zone("b", false)
}

func partitionStore(ctx context.Context, r *Rig) error {
	return r.partition(ctx, 8*time.Second, "s3")
}

// admit orders a machine into a set and waits until the set stands.
func (r *Rig) admit(ctx context.Context, set, id, replaced string) error {
	return r.order(ctx, "/v1/sets/"+set+"/admit", map[string]string{"id": id, "for": replaced})
}

func (r *Rig) order(ctx context.Context, path string, body map[string]string) error {
	var a Acknowledgement
	for end := time.Now().Add(15 * time.Second); ; r.Wait(ctx, 200*time.Millisecond) {
		st, got, err := r.Change(http.MethodPost, path, body)
		if err == nil && (st == http.StatusOK || st == http.StatusAccepted) {
			break
		}
		// It may still be on its way to its lease.
		if a = got; time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("%s %v: status %d, %+v, %v", path, body, st, a, err)
		}
	}
	at := time.Now()
	for end := at.Add(60 * time.Second); ; r.Wait(ctx, 200*time.Millisecond) {
		var s struct {
			NextCores  []any `json:"next_cores"`
			NextStores []any `json:"next_stores"`
		}
		if st, err := r.F.Operate(http.MethodGet, "/v1/sets", nil, &s); err == nil && st == http.StatusOK &&
			len(s.NextCores)+len(s.NextStores) == 0 {
			r.say("  %s %v: the set stands after %s", path, body, time.Since(at).Round(10*time.Millisecond))
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("%s %v: the set is still changing", path, body)
		}
	}
}

func lostStore(ctx context.Context, r *Rig) error {
	if err := r.Kill("s2"); err != nil {
		return err
	}
	if err := r.F.Get("s2").Wipe(); err != nil {
		return err
	}
	r.Wait(ctx, 2*time.Second)
	if err := r.Start("s2"); err != nil {
		return err
	}
	if err := r.admit(ctx, "stores", "s2", "s2"); err != nil {
		return err
	}
	// With its copies back another store may go.
	if err := r.Kill("s1"); err != nil {
		return err
	}
	r.Wait(ctx, 3*time.Second)
	return r.Start("s1")
}

func sets(ctx context.Context, r *Rig) error {
	if _, err := r.F.Add("s4", "store", 0, 22); err != nil {
		return err
	}
	if err := r.admit(ctx, "stores", "s4", ""); err != nil {
		return err
	}
	if err := r.order(ctx, "/v1/sets/stores/retire", map[string]string{"id": "s1"}); err != nil {
		return err
	}
	if err := r.Quit("s1"); err != nil {
		return err
	}
	if err := r.Kill("c3"); err != nil {
		return err
	}
	if _, err := r.F.Add("c4", "core", 2, 32); err != nil {
		return err
	}
	if err := r.admit(ctx, "cores", "c4", "c3"); err != nil {
		return err
	}
	if err := r.Kill("c1"); err != nil {
		return err
	}
	r.Wait(ctx, 2*time.Second)
	if err := r.Zone("a", true); err != nil {
		return err
	}
	return r.Zone("a", false)
}

func disk(ctx context.Context, r *Rig) error {
	simulateDisk := func(id string, free, delay int) error { return r.F.Disk(r.F.Get(id), free, delay) }
	if err := simulateDisk("s3", -1, 800); err != nil {
		return err
	}
	r.Wait(ctx, 6*time.Second)
	if err := simulateDisk("s3", -1, 0); err != nil {
		return err
	}
	if err := simulateDisk("s1", 1000, 0); err != nil {
		return err
	}
	r.Wait(ctx, 6*time.Second)
	return simulateDisk("s1", -1, 0)
}

func bursts(ctx context.Context, r *Rig) error {
	errs := make(chan error, 30)
	for i := range 30 {
		go func() {
			st, a, err := r.Change(
				http.MethodPatch,
				"/v1/spec",
				map[string]any{"cooldown": map[string]any{"first_ms": 1000 + i}},
			)
			if err == nil && st != http.StatusOK {
				err = fmt.Errorf("burst: status %d, %+v", st, a)
			}
			errs <- err
		}()
		r.Wait(ctx, 30*time.Millisecond)
	}
	for range 30 {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

func zoneLoss(ctx context.Context, r *Rig) error {
	var departed []*fleet.Machine
	for _, m := range r.F.Machines {
		if m.Zone == "a" {
			departed = append(departed, m)
		}
	}
	r.Record(checker.Hard, "zone a lost", 0)
	for _, m := range departed {
		if !m.Kill() {
			return fmt.Errorf("%s did not run", m.ID)
		}
	}
	for _, n := range r.F.Runners {
		if n.P.Zone == "a" {
			n.Stop()
		}
	}
	r.Wait(ctx, 12*time.Second)
	for _, n := range r.F.Runners {
		if n.P.Zone == "a" {
			if err := r.Return(n.P.Name); err != nil {
				return err
			}
		}
	}
	for _, m := range departed {
		if err := r.Start(m.ID); err != nil {
			return err
		}
	}
	return r.healthy(ctx, 30*time.Second)
}

func fullStop(ctx context.Context, r *Rig) error {
	if err := r.Zone("c", true); err != nil {
		return err
	}
	for _, m := range r.F.Machines {
		m.Kill()
	}
	r.Wait(ctx, 2*time.Second)
	for _, m := range r.F.Machines {
		if err := r.Start(m.ID); err != nil {
			return err
		}
	}
	// The time of the failure is when all that is needed runs again.
	r.Record(checker.Hard, checker.Everything+" down, started again", 0)
	if err := r.healthy(ctx, 30*time.Second); err != nil {
		return err
	}
	return r.Zone("c", false)
}

// policies sends the deployment's program with the report of its rehearsal, and
// rolls it out step by step.
func policies(ctx context.Context, r *Rig) error {
	dir := filepath.Join(r.P.Fleet.Deploy, "policies")
	send := func(want int, method, path, file string, body any) error {
		if file != "" {
			b, err := os.ReadFile(filepath.Join(dir, file))
			if err != nil {
				return err
			}
			body = json.RawMessage(b)
		}
		st, a, err := r.Change(method, path, body)
		if err == nil && st != want {
			err = fmt.Errorf("%s %s: status %d, %d %s", method, path, st, a.Code, a.Failure)
		}
		return err
	}
	live := func(fraction int) any { return map[string]any{"policy": "hold", "share": fraction} }
	steps := []func() error{
		func() error { return send(http.StatusOK, http.MethodPut, "/v1/policies/hold", "hold.json", nil) },
		// Not without an approval, nor with another text's.
		func() error { return send(http.StatusConflict, http.MethodPost, "/v1/policies/live", "", live(10)) },
		func() error {
			return send(
				http.StatusConflict,
				http.MethodPost,
				"/v1/policies/hold/approve",
				"",
				map[string]any{"policy": "hold", "digest": strings.Repeat("0", 64), "day": strings.Repeat("0", 64)},
			)
		},
		func() error {
			return send(http.StatusOK, http.MethodPost, "/v1/policies/hold/approve", "hold.report.json", nil)
		},
		func() error { return send(http.StatusOK, http.MethodPost, "/v1/policies/live", "", live(20)) },
		func() error { r.Wait(ctx, 5*time.Second); return r.Kill("e1") },
		func() error { return send(http.StatusOK, http.MethodPost, "/v1/policies/live", "", live(100)) },
		func() error { r.Wait(ctx, 4*time.Second); return r.Start("e1") },
		func() error { r.Wait(ctx, 6*time.Second); return r.healthy(ctx, 20*time.Second) },
	}
	for _, do := range steps {
		if err := do(); err != nil {
			return err
		}
	}
	for _, m := range r.F.Of("edge") {
		s, err := r.F.Status(m)
		if err != nil {
			return err
		}
		if s.Policy != "hold" || s.Share != 100 || s.Fell > 0 {
			return fmt.Errorf("%s runs %q for %d percent and fell back %d times", m.ID, s.Policy, s.Share, s.Fell)
		}
	}
	return send(http.StatusOK, http.MethodPost, "/v1/policies/off", "", nil)
}

func ci(ctx context.Context, r *Rig) error {
	faults := []runner.Order{
		runner.Refuse,
		runner.Raise,
		runner.Lose,
		runner.Truncate,
		runner.Mix,
		runner.RefuseSecs,
	}
	for i, n := range r.F.Runners {
		n.Give(faults[i%len(faults)])
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
