// Package checker checks the invariants after a run: it reads what callers were answered
// and what runners executed, and counts every violation.
package checker

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"damsontiller/internal/kit/client"
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
	Twice:      "ran twice",
	NotRun:     "reported as not run, ran",
	Forgot:     "conversation forgot",
	Budget:     "budget passed",
	Incomplete: "not its complete answer",
	Draining:   "work to a draining runner",
	Emptied:    "work in an emptied zone",
	Spec:       "spec late, back or missing",
	WarmingUp:  "warming runner overloaded",
	Planned:    "dropped in planned work",
	Early:      "called early or left sleeping",
	Recovery:   "service back too late",
	Urgent:     "urgent late",
	Excused:    "urgent late, explained",
}

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
// on a shared machine their time is no pass token.
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

// runners: leaving ones, emptied zones, new one.
func (c *Case) runners(v Verdict) {
	for _, r := range c.Runs {
		if r.WarmingUp && r.Over {
			v.add(WarmingUp, "%s got %s beyond what it bears while coming up", r.Runner.Name, r.Job)
		}
		if e, ok := c.latest(r.Arrived, r.Runner.Name, Drained, Back); ok && e.Kind == Drained &&
			r.Arrived.Sub(e.At) > maxDraining {
			v.add(
				Draining,
				"%s got %s %s after it left",
				r.Runner.Name,
				r.Job,
				r.Arrived.Sub(e.At).Round(time.Millisecond),
			)
		}
		if e, ok := c.latest(r.Arrived, r.Runner.Zone, Empty, Refill); ok && e.Kind == Empty &&
			r.Arrived.Sub(e.At) > emptiedMost {
			v.add(
				Emptied,
				"%s in %s got %s %s after the acknowledgement",
				r.Runner.Name,
				r.Runner.Zone,
				r.Job,
				r.Arrived.Sub(e.At).Round(time.Millisecond),
			)
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
				v.add(
					Spec,
					"%s has version %d, %s after %d was acknowledged",
					s.ID,
					s.Ver,
					s.At.Sub(e.At).Round(time.Millisecond),
					e.Ver,
				)
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
				v.add(
					Planned,
					"%s was taken by %s at %s and never answered%s",
					a.Work,
					a.Edge,
					a.Sent.Format(clock),
					c.since(a.Sent),
				)
			}
			since := a.Sent
			if since.Before(e.At) {
				since = e.At
			}
			if a.Code == int(code.Stopping) && a.Done.Sub(since) > plannedMost+noise {
				v.add(
					Planned,
					"%s was told to go elsewhere only after %s",
					a.Work,
					a.Done.Sub(since).Round(time.Millisecond),
				)
			}
		}
	}
}
