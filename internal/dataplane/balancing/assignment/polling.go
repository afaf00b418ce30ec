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

// poll asks every runner and the platform once.
func (assigner *Assigner) poll(ctx context.Context) {
	v := assigner.node.Cluster.Now()
	want := map[string]spec.Runner{}
	for _, r := range assigner.pollPlatform(ctx, v.Spec.Platform) {
		want[r.Name] = spec.Runner{Name: r.Name, Addr: r.Addr, Zone: r.Zone, Route: r.Route}
	}
	// Where both name a runner, the operators' word counts.
	for _, r := range v.Spec.Runners {
		want[r.Name] = r
	}
	type seen struct {
		r        spec.Runner
		rep      *runnerapi.Report
		departed bool
	}
	ch := make(chan seen, len(want))
	for _, r := range want {
		go func() {
			rep, departed := assigner.pollRunner(ctx, r)
			ch <- seen{r, rep, departed}
		}()
	}
	var items []*wire.Item
	now := time.Now()
	for range want {
		s := <-ch
		if i := assigner.observe(now, s.r, s.rep, s.departed); i != nil {
			items = append(items, i)
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
		// The tree may be slow; the next poll must not be.
		go assigner.node.Broadcast.Publish(ctx, items...)
	}
}

func (assigner *Assigner) pollPlatform(ctx context.Context, addr string) []runnerapi.ListedRunner {
	if addr == "" {
		return nil
	}
	var l runnerapi.RunnerList
	if err := assigner.get(ctx, "http://"+addr+"/v1/runners", &l); err != nil {
		assigner.node.Log.Debug("platform list not read", "err", err)
		// The list lags anyway; the last one read stays good.
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

func (assigner *Assigner) get(ctx context.Context, url string, into any) error {
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
	return json.NewDecoder(http.MaxBytesReader(nil, r.Body, 1<<20)).Decode(into)
}

func (assigner *Assigner) pollRunner(ctx context.Context, r spec.Runner) (rep *runnerapi.Report, departed bool) {
	rep = &runnerapi.Report{}
	if err := assigner.get(ctx, "http://"+r.Addr+"/v1/report", rep); err != nil {
		return nil, PortRefused(err)
	}
	if rep.Name != r.Name {
		assigner.node.Log.Warn("another runner answers", "want", r.Name, "got", rep.Name)
		return nil, false
	}
	return rep, false
}

// observe takes one report; it gives an update where the state has changed.
func (assigner *Assigner) observe(now time.Time, r spec.Runner, rep *runnerapi.Report, departed bool) *wire.Item {
	assigner.mu.Lock()
	defer assigner.mu.Unlock()
	o := assigner.runners[r.Name]
	if o == nil {
		o = &runner{}
		assigner.runners[r.Name] = o
	}
	was := o.State
	o.Runner = r
	if rep == nil {
		// One lost report is no leave; a refused port is.
		if o.misses++; departed || o.misses >= 3 {
			o.State.State, o.Limit, o.known = runnerapi.Departed, 0, false
		}
	} else {
		o.misses = 0
		if rep.Incarnation != o.Incarnation {
			// Another process at the same address: nothing that was assigned of the
			// one before counts, and it is warming up whatever that one bore.
			o.Incarnation, o.known, o.Limit, o.base, o.unaccounted = rep.Incarnation, false, 0, 0, 0
		}
		assigner.boundOrphans(now, o, rep.Load)
		o.State.State, o.Concurrency, o.Load, o.Prefixes = rep.State, max(rep.Concurrency, 0), rep.Load, rep.Prefixes
		assigner.warmUp(now, o, rep)
	}
	if reflect.DeepEqual(withoutLoad(was), withoutLoad(o.State)) {
		return nil
	}
	assigner.seq++
	b, err := json.Marshal(o.State)
	if err != nil {
		return nil
	}
	return &wire.Item{Topic: "runner", Key: r.Name, Epoch: assigner.epoch, Seq: assigner.seq, Body: b}
}

// withoutLoad leaves out what changes all the time.
func withoutLoad(s State) State {
	s.Load = 0
	return s
}

// warmUp sets what may be assigned: a warming runner starts with few and doubles
// while its own reports show no refusals.
func (assigner *Assigner) warmUp(now time.Time, o *runner, rep *runnerapi.Report) {
	switch {
	case rep.State != runnerapi.Ready:
		o.Limit, o.known = 0, false
		return
	case !o.known:
		o.known, o.refused, o.warmedAt = true, rep.Refused, now
		o.Limit = assigner.params.WarmupStart
		if assigner.params.LastState != nil {
			if s, ok := assigner.params.LastState(o.Name); ok && s.Incarnation == o.Incarnation {
				o.Limit = max(o.Limit, s.Limit)
			}
		}
		if time.Duration(rep.UpMs)*time.Millisecond >= assigner.params.WarmAfter {
			o.Limit = rep.Concurrency
		}
	case rep.Refused > o.refused:
		// It refused: stay, and check again after a while.
		o.refused, o.warmedAt = rep.Refused, now
	case now.Sub(o.warmedAt) >= assigner.params.WarmupStep:
		o.Limit, o.warmedAt = o.Limit*2, now
	}
	// What edges held when a new assigner first received them, the one before it had
	// warmed the process up to.
	o.Limit = min(max(o.Limit, o.base), o.Concurrency)
}
