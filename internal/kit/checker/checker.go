// Package checker checks the invariants after a run: it reads what callers were answered
// and what runners executed, and counts every violation.
package checker

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"damsontiller/internal/dataplane/cooldown"
	"damsontiller/internal/kit/client"
	"damsontiller/internal/kit/runner"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
)

// Row numbers the brief's list, in its order.
type Row int

// The lines of "What must never happen".
const (
	Twice Row = iota + 1
	NotRun
	Forgot
	Budget
	Incomplete
	Draining
	Emptied
	Spec
	WarmingUp
	Planned
	Early
	Recovery
	// Urgent and Excused are no lines of the list: urgent answers over half a
	// second, and those that a cooldown, the runner itself or a dead edge explains.
	Urgent
	Excused
)

// Names say each line in short.
var Names = map[Row]string{
	Twice: "ran twice", NotRun: "told not run, ran", Forgot: "conversation forgot", Budget: "budget passed", Incomplete: "not its whole answer",
	Draining: "work to a leaving runner", Emptied: "work in an emptied zone", Spec: "spec late, back or missing", WarmingUp: "fresh runner overborne",
	Planned: "dropped in planned work", Early: "called early or left sleeping", Recovery: "service back too late",
	Urgent: "urgent late", Excused: "urgent late, explained",
}

// Run is a line of a runner's ledger, with whose it is.
type Run struct {
	runner.Entry
	Runner spec.Runner
}

// Runs gathers the ledgers of all stand-ins.
func Runs(rs []*runner.Runner) []Run {
	var out []Run
	for _, r := range rs {
		for _, e := range r.Log() {
			out = append(out, Run{Entry: e, Runner: r.P.Runner})
		}
	}
	return out
}

// EventKind is what was done to the fleet.
type EventKind string

// The events the judge knows.
const (
	Hard      EventKind = "hard"      // a failure; service must be back in 12 s
	Stopping  EventKind = "stopping"  // planned stop of ID (an edge's HTTP address) begins
	Stopped   EventKind = "stopped"   // it has ended
	Drained   EventKind = "drained"   // runner ID said that it leaves
	Back      EventKind = "back"      // runner ID is there anew
	Empty     EventKind = "empty"     // zone ID is acknowledged as emptied
	Refill    EventKind = "refill"    // zone ID takes work again
	Acked     EventKind = "acked"     // version Ver was acknowledged
	FinalRead EventKind = "finalread" // version Ver was read at the end
	Frozen    EventKind = "frozen"    // edge ID (its HTTP address) stands still
	Thawed    EventKind = "thawed"    // it goes on
)

// Event is one of them.
type Event struct {
	At   time.Time
	Kind EventKind
	ID   string
	Ver  uint64
}

// Sample is the spec version that a node said it had in force.
type Sample struct {
	At  time.Time
	ID  string
	Ver uint64
}

// Case is all the evidence.
type Case struct {
	Spec    *spec.Spec
	Asks    []client.Ask
	Runs    []Run
	Events  []Event
	Samples []Sample
	Most    int64   // largest output of a turn
	Audit   Verdict // what was read back at the end and was not as promised

	waits    map[string][]wait // what binds everybody, by key
	received map[string][]wait // what callers were told, by key; it excuses only
	sched    map[string][]wait
	ps       []*chunk
}

// wait is a cooldown as somebody was told of it, of one key.
type wait struct{ from, to time.Time }

// Verdict lists the breaches by line.
type Verdict map[Row][]string

// Audited puts what was read back at the end on the list's lines.
func Audited(ls []client.Lapse) Verdict {
	v := Verdict{}
	for _, l := range ls {
		if l.Forgot {
			v.add(Forgot, "%s", l.What)
		} else {
			v.add(Twice, "%s", l.What)
		}
	}
	return v
}

// Total counts the breaches of the list. Urgent answers are lines of their own:
// on a shared machine their time is no pass mark.
func (v Verdict) Total() int {
	n := 0
	for l := Twice; l <= Recovery; l++ {
		n += len(v[l])
	}
	return n
}

// String is a table.
func (v Verdict) String() string {
	var b strings.Builder
	for l := Twice; l <= Excused; l++ {
		fmt.Fprintf(&b, "%2d %-30s %d\n", l, Names[l], len(v[l]))
		for i, s := range v[l] {
			if i == 5 {
				fmt.Fprintf(&b, "     ... %d more\n", len(v[l])-i)
				break
			}
			fmt.Fprintf(&b, "     %s\n", s)
		}
	}
	return b.String()
}

// UrgentMost is the time within which an urgent answer should land.
const UrgentMost = 500 * time.Millisecond

// Tolerances. The brief's own figures, and the time in which a call may
// already be on its way while a refusal is being written.
const (
	maxDraining  = 3 * time.Second
	emptiedMost  = 5 * time.Second
	specMost     = 2 * time.Second
	plannedMost  = 200 * time.Millisecond
	recoveryMost = 12 * time.Second
	inFlight     = 150 * time.Millisecond
	noise        = 300 * time.Millisecond // of the kit's own clock readings
	window       = 2 * time.Second        // over which service is counted
)

// clock is how a time of day is written in a verdict.
const clock = "15:04:05.000"

func (v Verdict) add(l Row, f string, a ...any) { v[l] = append(v[l], fmt.Sprintf(f, a...)) }

// Judge counts.
func Judge(c Case) Verdict {
	v := Verdict{}
	for l, words := range c.Audit {
		v[l] = append(v[l], words...)
	}
	sort.Slice(c.Runs, func(i, j int) bool { return c.Runs[i].Arrived.Before(c.Runs[j].Arrived) })
	sort.SliceStable(c.Events, func(i, j int) bool { return c.Events[i].At.Before(c.Events[j].At) })
	c.work(v)
	c.told(v)
	c.budgets(v)
	c.runners(v)
	c.specs(v)
	c.planned(v)
	c.sched = c.schedule()
	c.waits = c.reportedWaits()
	c.cooldowns(v)
	c.ps = c.chunks()
	c.recovery(v)
	c.urgent(v)
	return v
}

// work: keyed work done more than once; work done that was said not to be.
func (c *Case) work(v Verdict) {
	keyed := map[string]bool{}
	for _, a := range c.Asks {
		if a.Key != "" {
			keyed[a.Work] = true
		}
	}
	ran := map[string][]Run{}
	jobs := map[string]bool{}
	for _, r := range c.Runs {
		if r.Ran {
			ran[r.Work] = append(ran[r.Work], r)
			jobs[r.Job] = true
		}
	}
	for w, rs := range ran {
		if keyed[w] && len(rs) > 1 {
			v.add(Twice, "%s ran %d times", w, len(rs))
		}
	}
	asks := map[string][]client.Ask{}
	for _, a := range c.Asks {
		asks[a.Work] = append(asks[a.Work], a)
	}
	for _, a := range c.Asks {
		if a.Ran != "no" {
			continue
		}
		if a.Job != "" && jobs[a.Job] {
			v.add(NotRun, "%s was told %d %s, job %s ran", a.Work, a.Code, a.Name, a.Job)
			continue
		}
		if a.Key == "" {
			continue
		}
		// The word is about the work, whoever of its asks it ran for: it had
		// run already, or it ran later and nobody had asked again.
		for _, r := range ran[a.Work] {
			if r.Arrived.Before(a.Done) || !askedAgain(asks[a.Work], a, r.Arrived) {
				v.add(NotRun, "%s was told %d %s, and ran as %s", a.Work, a.Code, a.Name, r.Job)
				break
			}
		}
	}
}

// askedAgain: an ask after a's answer that may account for a run.
func askedAgain(all []client.Ask, a client.Ask, run time.Time) bool {
	for _, b := range all {
		if !b.Sent.Before(a.Done) && !b.Sent.After(run) {
			return true
		}
	}
	return false
}

func (c *Case) told(v Verdict) {
	for _, a := range c.Asks {
		if a.Wrong != "" {
			v.add(Incomplete, "%s: %s", a.Work, a.Wrong)
		}
		if a.Forgot {
			v.add(Forgot, "%s: the runner was not given the whole history", a.Work)
		}
		if a.Follows && (a.Code == int(code.NoTurn) || a.Code == int(code.Expired)) {
			v.add(Forgot, "%s: told %s of a turn just kept", a.Work, a.Name)
		}
	}
}

func (c *Case) budgets(v Verdict) {
	out := map[string]int64{}
	for _, r := range c.Runs {
		out[r.Program] += r.Output
	}
	for p, n := range out {
		if most, ok := c.Spec.Output(p); ok && n > most+c.Most {
			v.add(Budget, "%s put out %d of %d", p, n, most)
		}
	}
}

// runners: leaving ones, emptied zones, fresh ones.
func (c *Case) runners(v Verdict) {
	for _, r := range c.Runs {
		if r.WarmingUp && r.Over {
			v.add(WarmingUp, "%s got %s beyond what it bears while coming up", r.Runner.Name, r.Job)
		}
		if e, ok := c.latest(r.Arrived, r.Runner.Name, Drained, Back); ok && e.Kind == Drained && r.Arrived.Sub(e.At) > maxDraining {
			v.add(Draining, "%s got %s %s after it left", r.Runner.Name, r.Job, r.Arrived.Sub(e.At).Round(time.Millisecond))
		}
		if e, ok := c.latest(r.Arrived, r.Runner.Zone, Empty, Refill); ok && e.Kind == Empty && r.Arrived.Sub(e.At) > emptiedMost {
			v.add(Emptied, "%s in %s got %s %s after the acknowledgement", r.Runner.Name, r.Runner.Zone, r.Job, r.Arrived.Sub(e.At).Round(time.Millisecond))
		}
	}
}

// latest finds the last event of two kinds about id before at.
func (c *Case) latest(at time.Time, id string, a, b EventKind) (Event, bool) {
	var got Event
	ok := false
	for _, e := range c.Events {
		if e.At.After(at) {
			break
		}
		if e.ID == id && (e.Kind == a || e.Kind == b) {
			got, ok = e, true
		}
	}
	return got, ok
}

func (c *Case) specs(v Verdict) {
	top := map[string]uint64{}
	for _, s := range c.Samples {
		if s.Ver < top[s.ID] {
			v.add(Spec, "%s went back from version %d to %d", s.ID, top[s.ID], s.Ver)
		}
		top[s.ID] = s.Ver
		for _, e := range c.Events {
			if e.Kind == Acked && s.At.Sub(e.At) > specMost && s.Ver < e.Ver {
				v.add(Spec, "%s has version %d, %s after %d was acknowledged", s.ID, s.Ver, s.At.Sub(e.At).Round(time.Millisecond), e.Ver)
			}
		}
	}
	acked, read := uint64(0), uint64(0)
	seen := false
	for _, e := range c.Events {
		switch e.Kind {
		case Acked:
			acked = max(acked, e.Ver)
		case FinalRead:
			read, seen = e.Ver, true
		}
	}
	if seen && read < acked {
		v.add(Spec, "version %d was acknowledged, %d is read at the end", acked, read)
	}
}

// planned: a request that a stopping node has taken is answered, and one still
// waiting within a fifth of a second.
func (c *Case) planned(v Verdict) {
	for _, e := range c.Events {
		if e.Kind != Stopping {
			continue
		}
		end := e.At.Add(time.Hour)
		for _, s := range c.Events {
			if s.Kind == Stopped && s.ID == e.ID && s.At.After(e.At) {
				end = s.At
				break
			}
		}
		for _, a := range c.Asks {
			if a.Edge != e.ID || a.Done.Before(e.At) || a.Sent.After(end) {
				continue
			}
			if a.Lost {
				v.add(Planned, "%s was taken by %s at %s and never answered%s", a.Work, a.Edge, a.Sent.Format(clock), c.since(a.Sent))
			}
			since := a.Sent
			if since.Before(e.At) {
				since = e.At
			}
			if a.Code == int(code.Stopping) && a.Done.Sub(since) > plannedMost+noise {
				v.add(Planned, "%s was told to go elsewhere only after %s", a.Work, a.Done.Sub(since).Round(time.Millisecond))
			}
		}
	}
}

// reportedWaits gathers every wait that a node was told or told a caller, by key: a
// runner's own word with each refusal, at least the schedule's first; and for a
// tool, whose key is one, the wait that a caller was given.
func (c *Case) reportedWaits() map[string][]wait {
	c.received = map[string][]wait{}
	out := map[string][]wait{}
	for _, r := range c.Runs {
		if r.Refused {
			k := cooldown.Key(c.Spec, r.Runner)
			out[k] = append(out[k], wait{r.Answered, r.Answered.Add(max(r.Wait, c.Spec.Cooldown.First()))})
		}
	}
	for _, a := range c.Asks {
		if a.BodyRetryAfter == 0 || a.Code != int(code.Cooling) && a.Code != int(code.RunnerDrop) {
			continue
		}
		if ks := c.keys(a.Route); len(ks) == 1 {
			// It was worked out before it was heard.
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

// lengthened tells whether a store was killed between the last refusal of a key and a
// time. Started anew it counts the cooldown from its start, so that what is told then
// is longer than what was installed, by as much as the store asked is late: two nodes
// tell different ends, and neither is early before the one that was installed.
func (c *Case) lengthened(key string, at time.Time) bool {
	var refused time.Time
	for _, r := range c.Runs {
		if r.Refused && !r.Answered.After(at) && cooldown.Key(c.Spec, r.Runner) == key && r.Answered.After(refused) {
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
		k := cooldown.Key(c.Spec, r.Runner)
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

// until is the end of the longest wait of a key that somebody had been told
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

// cooldowns: no call within a wait that some node has been told; and nobody
// who can't outlast the wait is left sleeping.
func (c *Case) cooldowns(v Verdict) {
	for _, r := range c.Runs {
		if end := c.until(cooldown.Key(c.Spec, r.Runner), r.Arrived, inFlight); r.Arrived.Before(end) {
			v.add(Early, "%s was called at %s for %s, %s before the end of a wait%s", r.Runner.Name, r.Arrived.Format(clock), r.Work, end.Sub(r.Arrived).Round(time.Millisecond), c.since(r.Arrived))
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
			v.add(Early, "%s had %s left of a wait of %s and was left sleeping for %s", a.Work, a.Wait.Round(time.Millisecond), least.Round(time.Millisecond), took.Round(time.Millisecond))
		}
	}
}

// served: the caller got its answer, or a refusal that a cooldown or its budget
// truly demands.
func (c *Case) served(a client.Ask) bool {
	switch a.Status {
	case 200:
		return true
	case 429:
		for _, k := range c.keys(a.Route) {
			if slices.ContainsFunc(slices.Concat(c.waits[k], c.received[k], c.sched[k]), func(w wait) bool { return w.from.Before(a.Done) && w.to.After(a.Sent) }) {
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

// BackAfter is the time from a failure until service is whole for good, that is
// until the next failure: the last work that was not served, in any two seconds
// in which fewer than nineteen of twenty were. A caller whose edge is gone asks
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
		v.add(row, "%s took %s%s%s", p.asks[0].Work, p.done.Sub(p.sent).Round(time.Millisecond), c.since(p.sent), tries(p))
	}
}

// Everything is how a hard event's name begins where the whole fleet went down.
const Everything = "everything"

// allDown: it came while the whole fleet was starting again.
func (c *Case) allDown(a client.Ask) bool {
	return slices.ContainsFunc(c.Events, func(e Event) bool {
		return e.Kind == Hard && strings.HasPrefix(e.ID, Everything) && !a.Sent.Before(e.At) && a.Sent.Sub(e.At) < recoveryMost
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
