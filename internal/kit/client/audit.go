package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"damsontiller/internal/dataplane/traffic"
	"damsontiller/internal/transport/loop"
)

// Lapse is something promised that was not so when it was read back.
type Lapse struct {
	Forgot bool // a turn; else a claim
	What   string
}

// Audit asks for what was promised, once the day is over: every turn that was
// answered is followed, the last of each program on every edge and the others
// on one in turn; every keyed job that was answered well is asked again and
// must give the same result. most bounds the turns and the claims asked for.
func (c *Crowd) Audit(ctx context.Context, edges []string, most int) []Lapse {
	last := map[string]int{}
	var turns, claims []Ask
	for _, a := range c.Log() {
		if a.Status != http.StatusOK || a.Wrong != "" {
			continue
		}
		if a.Turn && a.Hist != "" {
			last[a.Program] = len(turns)
			turns = append(turns, a)
		}
		if a.Key != "" {
			claims = append(claims, a)
		}
	}
	var jobs []func() *Lapse
	for i, a := range thin(turns, most) {
		to := edges[i%len(edges) : i%len(edges)+1]
		if turns[last[a.Program]].TurnID == a.TurnID {
			to = edges
		}
		for j, e := range to {
			jobs = append(jobs, func() *Lapse { return c.follow(ctx, a, e, fmt.Sprintf("audit-%d-%d", i, j)) })
		}
	}
	for i, a := range thin(claims, most) {
		jobs = append(jobs, func() *Lapse { return c.again(ctx, a, edges[i%len(edges)]) })
	}
	var mu sync.Mutex
	var out []Lapse
	var wg sync.WaitGroup
	in := make(chan func() *Lapse)
	for range 16 {
		wg.Go(func() {
			for do := range in {
				if l := do(); l != nil {
					mu.Lock()
					out = append(out, *l)
					mu.Unlock()
				}
			}
		})
	}
	for _, j := range jobs {
		in <- j
	}
	close(in)
	wg.Wait()
	return out
}

// thin keeps at most so many, evenly spread.
func thin(all []Ask, most int) []Ask {
	if len(all) <= most {
		return all
	}
	out := make([]Ask, most)
	for i := range out {
		out[i] = all[i*len(all)/most]
	}
	return out
}

// receive asks one edge until it gives more than 'later'.
func (c *Crowd) receive(ctx context.Context, a *Ask, body []byte) traffic.Answer {
	a.Wait = 10 * time.Second
	for range 8 {
		ans := c.Once(ctx, a, a.Path, body, time.Now().Add(time.Minute), nil)
		switch a.Status {
		case http.StatusTooManyRequests,
			http.StatusServiceUnavailable,
			http.StatusBadGateway,
			http.StatusGatewayTimeout,
			0:
			// An answer lost now says nothing about what was promised; nor does a
			// deadline, where the program's own time is just about over.
			loop.Wait(ctx, max(a.RetryAfter, time.Second))
		default:
			return ans
		}
	}
	return traffic.Answer{}
}

// follow asks a turn's next one on an edge.
func (c *Crowd) follow(ctx context.Context, a Ask, edge, work string) *Lapse {
	body, err := json.Marshal(
		map[string]any{"conversation": a.Class, "words": "work:" + work + ";", "max_output": 1, "follows": a.TurnID},
	)
	if err != nil {
		return &Lapse{true, err.Error()}
	}
	q := Ask{Program: a.Program, Work: work, Route: a.Route, Turn: true, Edge: edge, Path: "/v1/turns"}
	ans := c.receive(ctx, &q, body)
	switch {
	case q.Status == http.StatusPaymentRequired:
		// Its history was found, or the budget would not have been asked.
		return nil
	case q.Status != http.StatusOK:
		return &Lapse{true, fmt.Sprintf("turn %s on %s: %d %s %s", a.TurnID, edge, q.Status, q.Name, q.Failure)}
	case ans.Text != fmt.Sprintf("work:%s;history:%s;end", work, a.Hist):
		return &Lapse{true, fmt.Sprintf("turn %s on %s: the runner was not given its whole history", a.TurnID, edge)}
	}
	return nil
}

// again asks a keyed job a second time.
func (c *Crowd) again(ctx context.Context, a Ask, edge string) *Lapse {
	q := Ask{Program: a.Program, Work: a.Work, Key: a.Key, Route: a.Route, Turn: a.Turn, Edge: edge, Path: a.Path}
	c.receive(ctx, &q, a.Body)
	if q.Status != http.StatusOK || q.Job != a.Job {
		return &Lapse{
			false,
			fmt.Sprintf(
				"%s was answered by job %s, and asked again at %s: %d %s, job %s",
				a.Work,
				a.Job,
				edge,
				q.Status,
				q.Name,
				q.Job,
			),
		}
	}
	return nil
}
