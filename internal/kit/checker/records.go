package checker

import (
	"time"

	"damsontiller/internal/kit/client"
	"damsontiller/internal/kit/runner"
	"damsontiller/internal/proto/spec"
)

// Run is a line of a runner's log, with whose it is.
type Run struct {
	runner.Entry
	Runner spec.Runner
}

// Runs gathers the log of all stand-ins.
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
	received map[string][]wait // what callers were answered, by key; it excuses only
	sched    map[string][]wait
	ps       []*chunk
}
