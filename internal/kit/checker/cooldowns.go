package checker

import (
	"slices"
	"sort"
	"strings"
	"time"

	"damsontiller/internal/dataplane/cooldown"
	"damsontiller/internal/transport/code"
)

// wait is a cooldown as somebody was notified of it, of one key.
type wait struct{ from, to time.Time }

// reportedWaits gathers every wait that a node learned of or reported to a caller, by key: a
// runner's own report with each refusal, at least the schedule's first; and for a
// tool, whose key is one, the wait that a caller was given.
func (c *Case) reportedWaits() map[string][]wait {
	c.received = map[string][]wait{}
	out := map[string][]wait{}
	for _, r := range c.Runs {
		if r.Refused {
			k := c.calledKey(r)
			out[k] = append(out[k], wait{r.Answered, r.Answered.Add(max(r.Wait, c.Spec.Cooldown.First()))})
		}
	}
	for _, a := range c.Asks {
		if a.BodyRetryAfter == 0 || a.Code != int(code.Cooling) && a.Code != int(code.RunnerDrop) {
			continue
		}
		if ks := c.keys(a.Route); len(ks) == 1 {
			// It was worked out before it was received.
			end := a.Done.Add(a.BodyRetryAfter - noise)
			c.received[ks[0]] = append(c.received[ks[0]], wait{a.Done, end})
			if c.lengthened(ks[0], a.Done) {
				end = earlier(end, c.longest(ks[0], a.Done))
			}
			if end.After(a.Done) {
				out[ks[0]] = append(out[ks[0]], wait{a.Done, end})
			}
		}
	}
	return out
}

// lengthened reports whether a store was killed between the last refusal of a key and a
// time. Started anew it counts the cooldown from its start, so that what is answered then
// is longer than what was installed, by as much as the store asked is late: two nodes
// tell different ends, and neither is early before the one that was installed.
func (c *Case) lengthened(key string, at time.Time) bool {
	var refused time.Time
	for _, r := range c.Runs {
		if r.Refused && !r.Answered.After(at) && c.calledKey(r) == key && r.Answered.After(refused) {
			refused = r.Answered
		}
	}
	return !refused.IsZero() && slices.ContainsFunc(c.Events, func(e Event) bool {
		return e.Kind == Hard && strings.HasPrefix(e.ID, StoreKilled) && e.At.After(refused) && !e.At.After(at)
	})
}

// StoreKilled is how a hard event's name begins where a store went down.
const StoreKilled = "kill s"

// longest is the end of the longest cooldown of a key that the refusals up to a time
// can have installed.
func (c *Case) longest(key string, at time.Time) time.Time {
	var end time.Time
	for _, w := range c.sched[key] {
		if !w.from.After(at) && w.to.After(end) {
			end = w.to
		}
	}
	return end
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// schedule works out how long each refusal may have held its key back at most: by
// the steps of the spec's schedule. It excuses; it accuses nobody, for a step that
// could not be written was not in force.
func (c *Case) schedule() map[string][]wait {
	out := map[string][]wait{}
	type state struct {
		end  time.Time
		step int
	}
	now := map[string]*state{}
	rs := slices.Clone(c.Runs)
	sort.SliceStable(rs, func(i, j int) bool { return rs[i].Answered.Before(rs[j].Answered) })
	for _, r := range rs {
		if !r.Refused {
			continue
		}
		k := c.calledKey(r)
		s := now[k]
		if s == nil {
			s = &state{}
			now[k] = s
		}
		d := r.Wait
		if !r.Answered.Before(s.end) {
			if s.step++; r.Answered.Sub(s.end) > c.Spec.Cooldown.Quiet() {
				s.step = 1
			}
			d = max(d, min(c.Spec.Cooldown.First()<<min(s.step-1, 20), c.Spec.Cooldown.Cap()))
		}
		if end := r.Answered.Add(d); end.After(s.end) {
			s.end = end
		}
		out[k] = append(out[k], wait{r.Answered, s.end})
	}
	return out
}

// calledKey is the cooldown key of the runner that a call was meant for: whose address it
// was sent to. Where two have exchanged their addresses it reaches the other one, which
// the caller can't know, and whose own key it was not checked against.
func (c *Case) calledKey(r Run) string {
	for _, called := range c.Spec.Runners {
		if r.Addr != "" && called.Addr == r.Addr {
			return cooldown.Key(c.Spec, called)
		}
	}
	return cooldown.Key(c.Spec, r.Runner)
}

// keys are the cooldown keys of a route's runners.
func (c *Case) keys(route string) []string {
	var out []string
	for _, r := range c.Spec.Runners {
		if k := cooldown.Key(c.Spec, r); r.Route == route && !slices.Contains(out, k) {
			out = append(out, k)
		}
	}
	return out
}

// until is the end of the longest wait of a key that somebody had been answered
// for longer than slack at a time.
func (c *Case) until(key string, at time.Time, slack time.Duration) time.Time {
	var end time.Time
	for _, w := range c.waits[key] {
		if at.Sub(w.from) > slack && w.to.After(end) {
			end = w.to
		}
	}
	return end
}

// cooldowns: no call within a wait that some node has been answered; and nobody
// who can't outlast the wait is left sleeping.
func (c *Case) cooldowns(v Verdict) {
	for _, r := range c.Runs {
		if end := c.until(c.calledKey(r), r.Arrived, inFlight); r.Arrived.Before(end) {
			v.add(
				Early,
				"%s was called at %s for %s, %s before the end of a wait%s",
				r.Runner.Name,
				r.Arrived.Format(clock),
				r.Work,
				end.Sub(r.Arrived).Round(time.Millisecond),
				c.since(r.Arrived),
			)
		}
	}
	for _, a := range c.Asks {
		took := a.Done.Sub(a.Sent)
		if a.Status == 0 || took <= noise {
			continue
		}
		// Of several servers the one that is free first decides.
		least := time.Duration(-1)
		for _, k := range c.keys(a.Route) {
			if left := c.until(k, a.Sent, noise).Sub(a.Sent); least < 0 || left < least {
				least = left
			}
		}
		if least > a.Wait {
			v.add(
				Early,
				"%s had %s left of a wait of %s and was left sleeping for %s",
				a.Work,
				a.Wait.Round(time.Millisecond),
				least.Round(time.Millisecond),
				took.Round(time.Millisecond),
			)
		}
	}
}
