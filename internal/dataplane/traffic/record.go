package traffic

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"time"

	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// Edge is one edge as the operators' list of members tells it.
type Edge struct {
	ID   string `json:"id"`
	Role string `json:"role"`
	HTTP string `json:"http"`
	Zone string `json:"zone"`
	Live bool   `json:"live"`
}

// Get asks for JSON.
func Get(ctx context.Context, web *http.Client, url string, into any) error {
	ctx, stop := context.WithTimeout(ctx, 3*time.Second)
	defer stop()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	r, err := web.Do(q)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return code.New(code.Unreachable, "%s: status %d", url, r.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(r.Body, 64<<20)).Decode(into)
}

// Edges asks the core machines, one after another, who the edges are.
func Edges(ctx context.Context, web *http.Client, cores []string) ([]Edge, error) {
	var last error
	for _, c := range cores {
		var got struct {
			Members []Edge `json:"members"`
		}
		if last = Get(ctx, web, "http://"+c+"/v1/members", &got); last != nil {
			continue
		}
		var out []Edge
		for _, m := range got.Members {
			if m.Role == "edge" {
				out = append(out, m)
			}
		}
		return out, nil
	}
	return nil, code.New(code.CoreUnreachable, "no core machine answers: %w", last)
}

// Record gathers what all edges answer until ctx ends, and writes the day in
// order of arrival.
func Record(ctx context.Context, web *http.Client, cores []string, h Head, w io.Writer) (rows, lost int, err error) {
	start := time.Now()
	h.Start = start.UTC().Format(time.RFC3339)
	next := map[string]int{}
	var all []Row
	poll := func(ctx context.Context, first bool) {
		edges, err := Edges(ctx, web, cores)
		if err != nil {
			// The next check may find one; what is missed is counted.
			return
		}
		for _, e := range edges {
			var p Chunk
			if err := Get(ctx, web, fmt.Sprintf("http://%s/v1/traffic?after=%d", e.HTTP, next[e.ID]), &p); err != nil {
				continue
			}
			at := time.Now()
			next[e.ID] = p.Next
			if first {
				continue
			}
			lost += p.Lost
			for _, r := range p.Rows {
				r.T = at.Sub(start).Milliseconds() - r.AgeMs
				r.AgeMs = 0
				if r.T >= 0 {
					all = append(all, r)
				}
			}
		}
	}
	poll(ctx, true)
	loop.Every(ctx, 500*time.Millisecond, nil, func(ctx context.Context) { poll(ctx, false) })
	poll(context.WithoutCancel(ctx), false)
	sort.SliceStable(all, func(i, j int) bool { return all[i].T < all[j].T })
	d, err := NewWriter(w, h)
	if err != nil {
		return 0, 0, err
	}
	for _, r := range all {
		if err := d.Add(r); err != nil {
			return 0, 0, err
		}
	}
	return len(all), lost, d.Close(lost)
}

// Near lists the HTTP addresses of edges, those of the zone first.
func Near(edges []Edge, zone string) []string {
	var near, far []string
	for _, e := range edges {
		if e.Zone == zone {
			near = append(near, e.HTTP)
		} else {
			far = append(far, e.HTTP)
		}
	}
	return append(near, far...)
}

// Asks is the day as a log, for the same report that a replay gets.
func (d *Day) Asks() []Ask {
	var out []Ask
	for _, r := range d.Rows {
		at := time.Unix(0, 0).Add(time.Duration(r.T) * time.Millisecond)
		c := code.Code(r.Code)
		out = append(
			out,
			Ask{
				Program:   r.Program,
				Class:     r.Class,
				Route:     r.Route,
				Turn:      r.Turn,
				Sent:      at,
				Done:      at.Add(time.Duration(r.Took) * time.Millisecond),
				Status:    c.Status(),
				Code:      r.Code,
				Name:      c.Name(),
				PrefixHit: r.PrefixHit,
				Runner:    r.Runner,
				Output:    r.Output,
			},
		)
	}
	return out
}
