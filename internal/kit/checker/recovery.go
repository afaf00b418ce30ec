package checker

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"damsontiller/internal/kit/client"
)

// served: the caller got its answer, or a refusal that a cooldown or its budget
// truly demands.
func (c *Case) served(a client.Ask) bool {
	switch a.Status {
	case 200:
		return true
	case 429:
		for _, k := range c.keys(a.Route) {
			if slices.ContainsFunc(
				slices.Concat(c.waits[k], c.received[k], c.sched[k]),
				func(w wait) bool { return w.from.Before(a.Done) && w.to.After(a.Sent) },
			) {
				return true
			}
		}
	case 402:
		total, ok := c.Spec.Output(a.Program)
		asked := int64(0)
		for _, b := range c.Asks {
			if b.Program == a.Program && b.Turn && b.Sent.Before(a.Done) {
				asked += c.Most
			}
		}
		return ok && asked > total
	}
	return false
}

// chunk is one work with all its asks.
type chunk struct {
	sent, done time.Time // first asked; answered well, if it was
	ok, urgent bool
	asks       []client.Ask
}

// counts is the time by which a piece belongs to one failure or the next: when it
// was first asked, or, if it was not served, when it was given up.
func (p *chunk) counts() time.Time {
	if p.ok {
		return p.sent
	}
	at := p.sent
	for _, a := range p.asks {
		if a.Done.After(at) {
			at = a.Done
		}
	}
	return at
}

// chunks are in the order in which they were first asked.
func (c *Case) chunks() []*chunk {
	all := map[string]*chunk{}
	var ps []*chunk
	for _, a := range c.Asks {
		p := all[a.Work]
		if p == nil {
			p = &chunk{sent: a.Sent, urgent: a.Urgent}
			all[a.Work] = p
			ps = append(ps, p)
		}
		if a.Sent.Before(p.sent) {
			p.sent = a.Sent
		}
		if a.Status == 200 && (p.done.IsZero() || a.Done.Before(p.done)) {
			p.done = a.Done
		}
		p.ok = p.ok || c.served(a)
		p.asks = append(p.asks, a)
	}
	sort.SliceStable(ps, func(i, j int) bool { return ps[i].sent.Before(ps[j].sent) })
	return ps
}

// BackAfter is the time from a failure until service is complete for good, that is
// until the next failure: the last work that was not served, in any two seconds
// in which fewer than nineteen of twenty were. A caller whose edge has departed asks
// another; what counts is whether its work was served in the end. It is not back
// where the last two seconds of all were such.
func (c *Case) BackAfter(at time.Time) (time.Duration, bool) {
	if c.waits == nil {
		c.sched = c.schedule()
		c.waits = c.reportedWaits()
	}
	var until time.Time
	for _, e := range c.Events {
		if e.Kind == Hard && e.At.After(at) && (until.IsZero() || e.At.Before(until)) {
			until = e.At
		}
	}
	if c.ps == nil {
		c.ps = c.chunks()
	}
	var ps []*chunk
	for _, p := range c.ps {
		// A work that was under way when a failure came and was not served in the
		// end is that failure's, not the one's before.
		if when := p.counts(); !when.Before(at) && (until.IsZero() || when.Before(until)) {
			ps = append(ps, p)
		}
	}
	if len(ps) == 0 {
		return 0, true
	}
	back, end := time.Duration(0), ps[len(ps)-1].sent
	complete := true
	for i := range ps {
		ok, n, last := 0, 0, time.Time{}
		for _, p := range ps[i:] {
			if p.sent.Sub(ps[i].sent) > window {
				break
			}
			if n++; p.ok {
				ok++
			} else {
				last = p.sent
				if last.Before(at) {
					last = at
				}
			}
		}
		bad := ok*20 < n*19
		// The last few alone are no two seconds' worth.
		if bad && (end.Sub(ps[i].sent) >= window || i == 0) {
			back = last.Sub(at)
		}
		if end.Sub(ps[i].sent) >= window || i == 0 {
			complete = !bad
		}
	}
	return back, complete || !until.IsZero()
}

func (c *Case) recovery(v Verdict) {
	for _, e := range c.Events {
		if e.Kind != Hard {
			continue
		}
		d, ok := c.BackAfter(e.At)
		if !ok {
			v.add(Recovery, "after %s service did not come back", e.ID)
		} else if d > recoveryMost {
			v.add(Recovery, "after %s service was back in %s%s", e.ID, d.Round(time.Millisecond), c.unserved(e.At, d))
		}
	}
}

// urgent: answers over half a second, counted from the first asking.
func (c *Case) urgent(v Verdict) {
	slow := map[string]bool{} // works on which a runner itself took its time
	for _, r := range c.Runs {
		slow[r.Work] = slow[r.Work] || r.Answered.Sub(r.Arrived) > UrgentMost/2
	}
	for _, p := range c.ps {
		if !p.urgent || p.done.IsZero() || p.done.Sub(p.sent) <= UrgentMost {
			continue
		}
		row := Urgent
		for _, a := range p.asks {
			if a.Lost || a.Refused || slow[a.Work] || c.stoodStill(a) || c.allDown(a) {
				row = Excused
			}
			for _, k := range c.keys(a.Route) {
				for _, w := range slices.Concat(c.waits[k], c.received[k], c.sched[k]) {
					if w.from.Before(p.done) && w.to.After(p.sent) {
						row = Excused
					}
				}
			}
		}
		v.add(
			row,
			"%s took %s%s%s",
			p.asks[0].Work,
			p.done.Sub(p.sent).Round(time.Millisecond),
			c.since(p.sent),
			tries(p),
		)
	}
}

// Everything is how a hard event's name begins where the entire fleet went down.
const Everything = "everything"

// allDown: it came while the entire fleet was starting again.
func (c *Case) allDown(a client.Ask) bool {
	return slices.ContainsFunc(c.Events, func(e Event) bool {
		return e.Kind == Hard && strings.HasPrefix(e.ID, Everything) && !a.Sent.Before(e.At) &&
			a.Sent.Sub(e.At) < recoveryMost
	})
}

// stoodStill: the edge asked was frozen for some of the time.
func (c *Case) stoodStill(a client.Ask) bool {
	e, ok := c.latest(a.Done, a.Edge, Frozen, Thawed)
	return ok && (e.Kind == Frozen || e.At.After(a.Sent))
}

// since names the last failure before at.
func (c *Case) since(at time.Time) string {
	out := ""
	for _, e := range c.Events {
		if e.Kind == Hard && !e.At.After(at) {
			out = fmt.Sprintf(", %s after %s", at.Sub(e.At).Round(time.Millisecond), e.ID)
		}
	}
	return out
}

// tries says how each ask of a piece went.
func tries(p *chunk) string {
	out := ""
	for _, a := range p.asks {
		what := a.Name
		switch {
		case a.Lost:
			what = "lost"
		case a.Refused:
			what = "port refused"
		case a.Status == 200:
			what = "ok"
		}
		out += fmt.Sprintf("; %s: %s in %s", a.Edge, what, a.Done.Sub(a.Sent).Round(time.Millisecond))
	}
	return out
}

// unserved tells of the last works that keep a window from being good.
func (c *Case) unserved(at time.Time, d time.Duration) string {
	out := ""
	for _, p := range c.ps {
		if off := p.sent.Sub(at); !p.ok && off <= d && off > d-window {
			out += "\n       " + p.asks[0].Work + tries(p)
		}
	}
	return out
}
