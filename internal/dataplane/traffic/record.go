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

const (
	// getTimeout is the timeout of one request to a core or an edge.
	getTimeout = 3 * time.Second
	// pollInterval is the interval between requests for the rows of all edges.
	pollInterval = 500 * time.Millisecond
)

// Edge is one edge in the list of members, GET /v1/members.
type Edge struct {
	ID   string `json:"id"`
	Role string `json:"role"`
	HTTP string `json:"http"`
	Zone string `json:"zone"`
	Live bool   `json:"live"`
}

// Get requests a URL and decodes its JSON body.
func Get(ctx context.Context, web *http.Client, url string, into any) error {
	ctx, stop := context.WithTimeout(ctx, getTimeout)
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

// Edges requests the list of edges from the core machines, one after another until one answers.
func Edges(ctx context.Context, web *http.Client, cores []string) ([]Edge, error) {
	var lastErr error
	for _, c := range cores {
		var list struct {
			Members []Edge `json:"members"`
		}
		if lastErr = Get(ctx, web, "http://"+c+"/v1/members", &list); lastErr != nil {
			continue
		}
		var out []Edge
		for _, m := range list.Members {
			if m.Role == "edge" {
				out = append(out, m)
			}
		}
		return out, nil
	}
	return nil, code.New(code.CoreUnreachable, "no core machine answers: %w", lastErr)
}

// Record collects the answered jobs of all edges until ctx ends, and writes the day file in
// order of arrival.
func Record(ctx context.Context, web *http.Client, cores []string, h Head, w io.Writer) (rows, lost int, err error) {
	start := time.Now()
	h.Start = start.UTC().Format(time.RFC3339)
	next := map[string]int{}
	var all []Row
	poll := func(ctx context.Context, first bool) {
		edges, err := Edges(ctx, web, cores)
		if err != nil {
			// The next poll may find a core; rows missed until then are counted as lost.
			return
		}
		for _, e := range edges {
			var chunk Chunk
			if err := Get(
				ctx,
				web,
				fmt.Sprintf("http://%s/v1/traffic?after=%d", e.HTTP, next[e.ID]),
				&chunk,
			); err != nil {
				continue
			}
			at := time.Now()
			next[e.ID] = chunk.Next
			if first {
				continue
			}
			lost += chunk.Lost
			for _, r := range chunk.Rows {
				r.T = at.Sub(start).Milliseconds() - r.AgeMs
				r.AgeMs = 0
				if r.T >= 0 {
					all = append(all, r)
				}
			}
		}
	}
	poll(ctx, true)
	loop.Every(ctx, pollInterval, nil, func(ctx context.Context) { poll(ctx, false) })
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

// Near returns the HTTP addresses of edges, those of the zone first.
func Near(edges []Edge, zone string) []string {
	var sameZone, otherZones []string
	for _, e := range edges {
		if e.Zone == zone {
			sameZone = append(sameZone, e.HTTP)
		} else {
			otherZones = append(otherZones, e.HTTP)
		}
	}
	return append(sameZone, otherZones...)
}

// Asks returns the day as a log, so that it can be reported like a replay.
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
