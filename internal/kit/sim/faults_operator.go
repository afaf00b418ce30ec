package sim

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"damsontiller/internal/kit/checker"
)

// operatorFaults order changes, valid and not, and lose what is answered.
var operatorFaults = []Fault{
	{"config_change", Operators, func(d *Draw) { d.Config.Change(d.operator()) }},
	{"config_change/spec", Operators, changeSpec},
	{"config_race", Operators, raceConfigs},
	{"bad_config", Operators, sendBadConfigs},
	{"ack_lost", Operators, loseAcks},
	{"evacuate", Operators, evacuate},
	{"burst", Operators, burst},
}

// fork is a source of chances for another goroutine.
func (d *Draw) fork() *rand.Rand { return rand.New(rand.NewPCG(d.Rand.Uint64(), 3)) }

// changeSpec makes a change by the product's own interface.
func changeSpec(d *Draw) {
	for range 20 {
		status, a, err := d.Sim.Change(
			http.MethodPatch,
			"/v1/spec",
			map[string]any{"cooldown": map[string]any{"first_ms": 1000 + d.Rand.IntN(500)}},
		)
		if err == nil && status == http.StatusOK {
			return
		}
		if status == http.StatusConflict {
			d.fail("a change without a version conflicts: %+v", a)
			return
		}
		d.wait(100*time.Millisecond, time.Second)
	}
}

func raceConfigs(d *Draw) {
	for range 1 + d.Rand.IntN(3) {
		a, b := &Operator{Rand: d.fork()}, &Operator{Rand: d.fork()}
		if d.Rand.IntN(2) == 0 {
			a.LoseAnswers, b.LoseAnswers = 0.5, 0.5
		}
		d.Config.Race(a, b)
		d.wait(0, time.Second)
	}
}

// loseAcks makes changes of which most acknowledgements are lost.
func loseAcks(d *Draw) {
	for range 1 + d.Rand.IntN(3) {
		d.Config.Change(&Operator{Rand: d.fork(), LoseAnswers: 0.7})
	}
}

// badConfig spoils a valid order.
type badConfig struct {
	how   string
	spoil func(o ConfigOrder, newest uint64) ConfigOrder
}

func inBody(old, new string) func(ConfigOrder, uint64) ConfigOrder {
	return func(o ConfigOrder, _ uint64) ConfigOrder {
		o.Body = strings.Replace(o.Body, old, new, 1)
		return o
	}
}

var badConfigs = []badConfig{
	{"cut_short", func(o ConfigOrder, _ uint64) ConfigOrder { o.Body = o.Body[:len(o.Body)/2]; return o }},
	{"unknown_service", inBody(`"target-service":"svc"`, `"target-service":"none"`)},
	{"same_place", inBody(`"path-prefix":"/r/"`, `"path-prefix":"/o/"`)},
	{"no_weight", inBody(`"target-service":"svc"`, `"distribution":[{"target-service":"svc","share":0}]`)},
	{"no_timeout", inBody(`"guard-timer-ms":4000`, `"guard-timer-ms":0`)},
	{"old_version", func(o ConfigOrder, newest uint64) ConfigOrder {
		o.Revision = newest - 1
		o.Body = configBody(o.Revision, 7)
		return o
	}},
	{"same_version", func(o ConfigOrder, newest uint64) ConfigOrder {
		o.Revision = newest
		o.Body = configBody(o.Revision, 8)
		return o
	}},
	{"stale_match", func(o ConfigOrder, newest uint64) ConfigOrder { o.Base = newest - 1; return o }},
}

// sendBadConfigs sends each invalid configuration; none may be taken.
func sendBadConfigs(d *Draw) {
	for _, b := range badConfigs {
		d.Config.SendBad(d.operator(), b)
		d.wait(0, 100*time.Millisecond)
	}
}

// evacuate takes a zone out of service and back. Zones emptied by one order are not
// another's.
func evacuate(d *Draw) {
	zone := string(rune('a' + d.Rand.IntN(3)))
	op := d.operator()
	if d.Rand.IntN(2) == 0 {
		op.LoseAnswers = 0.7
	}
	d.record("zone %s is evacuated", zone)
	d.Config.Evacuate(op, zone, true)
	d.wait(time.Second, 6*time.Second)
	d.Config.Evacuate(op, zone, false)
}

func burst(d *Draw) {
	d.Sim.Record(checker.Hard, "burst", 0)
	d.Sim.Crowd.Run(d.ctx, 2*time.Second, 4)
}
