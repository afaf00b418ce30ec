package assignment

import (
	"context"
	"encoding/json"
	"net/http"
	"reflect"
	"time"

	"damsontiller/internal/dataplane/request/runnerapi"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// poll polls the platform and every runner once.
func (assigner *Assigner) poll(ctx context.Context) {
	v := assigner.node.Cluster.Now()
	want := map[string]spec.Runner{}
	for _, r := range assigner.pollPlatform(ctx, v.Spec.Platform) {
		want[r.Name] = spec.Runner{Name: r.Name, Addr: r.Addr, Zone: r.Zone, Route: r.Route}
	}
	// An entry in the operators' spec overrides the platform's entry of the same name.
	for _, r := range v.Spec.Runners {
		want[r.Name] = r
	}
	type result struct {
		runner   spec.Runner
		report   *runnerapi.Report
		departed bool
	}
	results := make(chan result, len(want))
	polling := make(chan struct{}, maxConcurrentPolls)
	for _, r := range want {
		go func() {
			polling <- struct{}{}
			defer func() { <-polling }()
			report, departed := assigner.pollRunner(ctx, r)
			results <- result{r, report, departed}
		}()
	}
	var items []*wire.Item
	now := time.Now()
	for range want {
		polled := <-results
		if item := assigner.observe(now, polled.runner, polled.report, polled.departed); item != nil {
			items = append(items, item)
		}
	}
	assigner.mu.Lock()
	for name := range assigner.runners {
		if _, ok := want[name]; !ok {
			assigner.runners[name].Limit = 0
			assigner.runners[name].State.State = runnerapi.Departed
		}
	}
	assigner.mu.Unlock()
	assigner.checkAllReported(ctx)
	if len(items) > 0 && ctx.Err() == nil {
		// The broadcast may be slow and must not delay the next poll.
		go assigner.node.Broadcast.Publish(ctx, items...)
	}
}

func (assigner *Assigner) pollPlatform(ctx context.Context, addr string) []runnerapi.ListedRunner {
	if addr == "" {
		return nil
	}
	var l runnerapi.RunnerList
	if err := assigner.get(ctx, "http://"+addr+"/v1/runners", &l, maxListBytes); err != nil {
		assigner.node.Log.Debug("failed to read the platform's runner list", "err", err)
		// The list is eventually consistent anyway, so the last one read remains usable.
		return assigner.listed
	}
	assigner.listed = l.Runners[:0:0]
	for _, r := range l.Runners {
		if spec.Name(r.Name) && spec.Addr(r.Addr) == nil {
			assigner.listed = append(assigner.listed, r)
		}
	}
	return assigner.listed
}

// Limits of the polls.
const (
	maxReportBytes     = 64 << 10
	maxListBytes       = 1 << 20
	maxConcurrentPolls = 256
)

func (assigner *Assigner) get(ctx context.Context, url string, into any, maxBytes int64) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	r, err := assigner.client.Do(q)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return code.New(code.RunnerFailure, "status %d", r.StatusCode)
	}
	return json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBytes)).Decode(into)
}

func (assigner *Assigner) pollRunner(ctx context.Context, r spec.Runner) (report *runnerapi.Report, departed bool) {
	report = &runnerapi.Report{}
	if err := assigner.get(ctx, "http://"+r.Addr+"/v1/report", report, maxReportBytes); err != nil {
		return nil, PortRefused(err)
	}
	if report.Name != r.Name {
		assigner.node.Log.Warn("report is from another runner", "want", r.Name, "got", report.Name)
		return nil, false
	}
	return report, false
}

// observe processes the report of one runner, or its absence, and returns a broadcast item if the
// state has changed.
func (assigner *Assigner) observe(now time.Time, r spec.Runner, report *runnerapi.Report, departed bool) *wire.Item {
	assigner.mu.Lock()
	defer assigner.mu.Unlock()
	tracked := assigner.runners[r.Name]
	if tracked == nil {
		tracked = &trackedRunner{}
		assigner.runners[r.Name] = tracked
	}
	previous := tracked.State
	tracked.Runner = r
	if report == nil {
		// A single lost report does not mean that the runner departed; a refused connection does.
		if tracked.misses++; departed || tracked.misses >= missesToDepart {
			tracked.State.State, tracked.Limit, tracked.warmupStarted = runnerapi.Departed, 0, false
		}
	} else {
		tracked.misses = 0
		if report.Incarnation != tracked.Incarnation {
			// A new process at the same address: slots assigned for the previous process
			// no longer count, and the new one starts its own warm-up.
			tracked.Incarnation, tracked.warmupStarted, tracked.Limit, tracked.initiallyHeld, tracked.unaccounted =
				report.Incarnation, false, 0, 0, 0
		}
		assigner.boundOrphans(now, tracked, report.Load)
		tracked.State.State, tracked.Concurrency, tracked.Load, tracked.Prefixes =
			report.State, max(report.Concurrency, 0), report.Load, report.Prefixes
		assigner.warmUp(now, tracked, report)
	}
	if reflect.DeepEqual(withoutLoad(previous), withoutLoad(tracked.State)) {
		return nil
	}
	assigner.seq++
	b, err := json.Marshal(tracked.State)
	if err != nil {
		return nil
	}
	return &wire.Item{Topic: "runner", Key: r.Name, Epoch: assigner.epoch, Seq: assigner.seq, Body: b}
}

// missesToDepart is the number of consecutive missing reports after which a runner counts as
// departed.
const missesToDepart = 3

// withoutLoad clears the load, which changes with every report.
func withoutLoad(s State) State {
	s.Load = 0
	return s
}

// warmUp sets the slots that may be assigned: during warm-up a runner starts with a few slots,
// which double at each step while its reports show no further refusals.
func (assigner *Assigner) warmUp(now time.Time, tracked *trackedRunner, report *runnerapi.Report) {
	switch {
	case report.State != runnerapi.Ready:
		tracked.Limit, tracked.warmupStarted = 0, false
		return
	case !tracked.warmupStarted:
		tracked.warmupStarted, tracked.refused, tracked.warmedAt = true, report.Refused, now
		tracked.Limit = assigner.params.WarmupStart
		if assigner.params.LastState != nil {
			if s, ok := assigner.params.LastState(tracked.Name); ok && s.Incarnation == tracked.Incarnation {
				tracked.Limit = max(tracked.Limit, s.Limit)
			}
		}
		if time.Duration(report.UpMs)*time.Millisecond >= assigner.params.WarmAfter {
			tracked.Limit = report.Concurrency
		}
	case report.Refused > tracked.refused:
		// The runner refused work: keep the limit and check again after the next step.
		tracked.refused, tracked.warmedAt = report.Refused, now
	case now.Sub(tracked.warmedAt) >= assigner.params.WarmupStep:
		tracked.Limit, tracked.warmedAt = tracked.Limit*2, now
	}
	// The previous assigner had already warmed up the process to the slots that edges held
	// when they first reported.
	tracked.Limit = min(max(tracked.Limit, tracked.initiallyHeld), tracked.Concurrency)
}
