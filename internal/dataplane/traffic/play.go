package traffic

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// Player replays a day file against a fleet.
type Player struct {
	Day   *Day
	Speed float64
	// Run is a prefix that separates keys and programs from those of other replays.
	Run string
	// Edges returns the edges that the platform would list for a client of a zone.
	Edges  func(zone string) []string
	Client *Client
	// Prompt returns the prompt of a row; if nil, it is filler text of the same length.
	Prompt func(r Row, work string) string
	// Inspect, if not nil, is called with each success and the history of its conversation.
	Inspect func(a *Ask, ans Answer, history []Line)

	turns map[string]*turn
}

// Line is one turn of a replayed conversation.
type Line struct{ Words, Answer string }

// turn is the state of one replayed turn.
type turn struct {
	finished chan struct{}
	id       string // ID of the replayed turn; empty if it failed
	history  []Line
}

// Play sends every row at its time, scaled by Speed, and returns once all are answered.
func (p *Player) Play(ctx context.Context) {
	p.turns = map[string]*turn{}
	for _, r := range p.Day.Rows {
		if r.Turn {
			p.turns[r.Job] = &turn{finished: make(chan struct{})}
		}
	}
	start := time.Now()
	var wg sync.WaitGroup
	for i, r := range p.Day.Rows {
		at := start.Add(time.Duration(float64(r.T)/p.Speed) * time.Millisecond)
		if !loop.Wait(ctx, time.Until(at)) {
			break
		}
		wg.Go(func() { p.playRow(ctx, i, r) })
	}
	wg.Wait()
}

// playRow sends row i and records its turn.
func (p *Player) playRow(ctx context.Context, i int, r Row) {
	work := fmt.Sprintf("%s-%d", p.Run, i)
	if r.Key != "" {
		// Rows with the same key must have the same body.
		work = p.Run + "-" + r.Key
	}
	words := strings.Repeat("w", max(r.Words, 1))
	if p.Prompt != nil {
		words = p.Prompt(r, work)
	}
	class, name, _ := strings.Cut(r.Program, "/")
	wait := time.Duration(max(r.Wait, 200)) * time.Millisecond
	a := Ask{
		Program: class + "/" + p.Run + "-" + name,
		Work:    work,
		Route:   r.Route,
		Class:   r.Class,
		Zone:    r.Zone,
		Turn:    r.Turn,
		Wait:    wait,
	}
	if r.Key != "" {
		a.Key = p.Run + "-" + r.Key
	}
	body := map[string]any{"class": r.Class, "parts": r.Parts}
	path := "/v1/calls/" + r.Route
	var history []Line
	current := p.turns[r.Job]
	if r.Turn {
		defer close(current.finished)
		path = "/v1/turns"
		body["conversation"], body["words"], body["max_output"], body["model"] = r.Conv, words, max(
			r.Most,
			1,
		), r.Route
		if r.Follows != "" {
			// A caller can't send the next turn before it has the answer to this one.
			t := p.turns[r.Follows]
			if t == nil {
				p.skip(a, "it follows a turn from before the day")
				return
			}
			select {
			case <-t.finished:
			case <-ctx.Done():
				return
			}
			if t.id == "" {
				p.skip(a, "it follows a turn that was not answered")
				return
			}
			a.Follows, history = true, t.history
			body["follows"] = t.id
		}
	} else {
		body["args"] = map[string]string{"words": words}
	}
	ans, ok := p.Client.Ask(
		ctx,
		a,
		path,
		body,
		time.Now().Add(10*wait),
		p.Edges(r.Zone),
		i%2,
		func(a *Ask, ans Answer) {
			if p.Inspect != nil {
				p.Inspect(a, ans, history)
			}
		},
	)
	if r.Turn && ok {
		current.id, current.history = ans.Turn, append(history[:len(history):len(history)], Line{words, ans.Text})
	}
}

// skip logs a row that could not be sent.
func (p *Player) skip(a Ask, why string) {
	a.Name, a.Failure = "skipped", why
	a.Sent = time.Now()
	a.Done = a.Sent
	p.Client.mu.Lock()
	p.Client.log = append(p.Client.log, a)
	p.Client.mu.Unlock()
}

// Class is a report's summary of one class.
type Class struct {
	Asks, OK           int
	Median, P99        time.Duration
	PrefixHits, Parted int // turns with a cached prefix, of all successful turns
	Late, Cooldown     int
}

// Report summarizes a log of requests.
type Report struct {
	Asks    int
	Codes   map[string]int
	Classes map[string]Class
}

// Sum returns the report of a log.
func Sum(asks []Ask) Report {
	r := Report{Codes: map[string]int{}, Classes: map[string]Class{}}
	took := map[string][]time.Duration{}
	for _, a := range asks {
		c := r.Classes[a.Class]
		r.Asks++
		c.Asks++
		name := a.Name
		switch {
		case a.Status == 200:
			name = code.OK.Name()
			c.OK++
			took[a.Class] = append(took[a.Class], a.Done.Sub(a.Sent))
			if a.Turn {
				c.Parted++
			}
			if a.PrefixHit {
				c.PrefixHits++
			}
		case a.Refused:
			name = "port refused"
		case a.Lost:
			name = "no answer"
		case a.Code == int(code.DeadlinePassed):
			c.Late++
		case a.Code == int(code.Cooling), a.Code == int(code.RunnerDrop):
			c.Cooldown++
		}
		r.Codes[name]++
		r.Classes[a.Class] = c
	}
	for k, durations := range took {
		slices.Sort(durations)
		c := r.Classes[k]
		c.Median, c.P99 = durations[len(durations)/2], durations[len(durations)*99/100]
		r.Classes[k] = c
	}
	return r
}

// Print writes the report as two tables.
func (r Report) Print(w io.Writer) {
	fmt.Fprintf(w, "%-18s %6s\n", "code", "asks")
	for _, k := range slices.Sorted(maps.Keys(r.Codes)) {
		fmt.Fprintf(w, "%-18s %6d\n", k, r.Codes[k])
	}
	fmt.Fprintf(
		w,
		"\n%-12s %6s %6s %9s %9s %8s %6s %8s\n",
		"class",
		"asks",
		"ok",
		"median",
		"p99",
		"prefix",
		"late",
		"cooldown",
	)
	for _, k := range slices.Sorted(maps.Keys(r.Classes)) {
		c := r.Classes[k]
		fmt.Fprintf(
			w,
			"%-12s %6d %6d %9s %9s %4d/%-4d %5d %8d\n",
			k,
			c.Asks,
			c.OK,
			c.Median.Round(time.Millisecond),
			c.P99.Round(time.Millisecond),
			c.PrefixHits,
			c.Parted,
			c.Late,
			c.Cooldown,
		)
	}
}
