package sim

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"damsontiller/internal/coordination/storeclient"
	"damsontiller/internal/dataplane/edge"
	"damsontiller/internal/dataplane/programs/budget"
	"damsontiller/internal/kit/checker"
	"damsontiller/internal/transport/loop"
)

// Record writes an event down.
func (s *Sim) Record(k checker.EventKind, id string, ver uint64) {
	s.mu.Lock()
	s.events = append(s.events, checker.Event{At: time.Now(), Kind: k, ID: id, Ver: ver})
	s.mu.Unlock()
}

// Sample records the spec version at each edge, until ctx ends.
func (s *Sim) Sample(ctx context.Context) {
	loop.Every(ctx, 200*time.Millisecond, nil, func(context.Context) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, m := range s.Machines {
			if s.isolated[m.ID] || time.Since(s.away[m.ID]) < 2*time.Second {
				continue
			}
			if m.live != nil && m.live.edge != nil {
				select {
				case <-m.live.ready:
					s.samples = append(
						s.samples,
						checker.Sample{At: time.Now(), ID: m.ID, Ver: m.live.edge.Cluster.Now().Version},
					)
				default:
				}
			}
		}
	})
}

// Audit reads back, at the end of a run, what was promised: turns and claims as
// callers do, each program's budget at the stores, and the spec.
func (s *Sim) Audit(ctx context.Context, most int) {
	var edges []string
	var e *edge.Edge
	for _, m := range s.Machines {
		if m.Role == "edge" && m.live != nil {
			edges = append(edges, m.HTTP)
			e = m.live.edge
		}
	}
	for _, r := range s.Runners {
		r.Forget()
	}
	v := checker.Audited(s.Crowd.Audit(ctx, edges, most))
	t := storeclient.New(e.Peer, e.Cluster, e.Proposer)
	got := map[string]int64{}
	for _, a := range s.Crowd.Log() {
		if a.Turn && a.Status == http.StatusOK {
			got[a.Program] += a.Output
		}
	}
	for p, n := range got {
		rctx, stop := context.WithTimeout(ctx, 5*time.Second)
		w, err := budget.Read(rctx, t, p)
		stop()
		total, _ := s.Spec.Output(p)
		if all := w.Used(); err != nil || all < n || all > total {
			v[checker.Budget] = append(
				v[checker.Budget],
				fmt.Sprintf("%s was given %d of %d, its budget says %d, %v", p, n, total, all, err),
			)
		}
	}
	var now struct {
		Version uint64 `json:"version"`
	}
	if st, err := s.Operate(http.MethodGet, "/v1/spec", nil, &now); err != nil || st != http.StatusOK {
		v[checker.Spec] = append(v[checker.Spec], fmt.Sprintf("can't be read at the end: %d %v", st, err))
	}
	s.Record(checker.FinalRead, "", now.Version)
	s.mu.Lock()
	s.audit = v
	s.mu.Unlock()
}

// Judge reads the log.
func (s *Sim) Judge() (checker.Verdict, *checker.Case) {
	c := &checker.Case{
		Spec:  &s.Spec,
		Asks:  s.Crowd.Log(),
		Runs:  checker.Runs(s.Runners),
		Most:  s.Crowd.Most,
		Audit: s.audit,
	}
	s.mu.Lock()
	c.Events = append(c.Events, s.events...)
	c.Samples = append(c.Samples, s.samples...)
	s.mu.Unlock()
	return checker.Judge(*c), c
}
