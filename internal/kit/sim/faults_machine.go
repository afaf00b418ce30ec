package sim

import (
	"time"

	"damsontiller/internal/kit/checker"
)

// machineFaults take counted machines' processes, power or time.
var machineFaults = []Fault{
	{"node_kill", Counted, func(d *Draw) { d.crashOne(d.Sim.KillProcess, false) }},
	{"node_kill/power", Counted, func(d *Draw) { d.crashOne(d.powerOff, false) }},
	{"node_kill/wipe", Counted, func(d *Draw) { d.crashOne(d.powerOff, true) }},
	{"node_freeze", Counted, freezeCounted},
	{"node_slow", Counted, slowCounted},
	{"after_ack_kill", Counted, func(d *Draw) { d.crashAfterAck(d.powerOff) }},
	{"after_ack_kill/kill", Counted, func(d *Draw) { d.crashAfterAck(d.Sim.KillProcess) }},
	{"after_ack_kill/timed", Counted, crashDuringChange},
	{"after_ack_kill/taken", Edges, crashAfterWork},
	{"after_ack_wipe", Counted, func(d *Draw) { d.wipeAfterAck(false) }},
	{"after_ack_wipe/power", Counted, func(d *Draw) { d.wipeAfterAck(true) }},
	{"after_ack_wipe/timed", Counted, wipeDuringChange},
	{"herd_kill/core", Counted, func(d *Draw) { d.crashAllCounted(d.Sim.KillProcess) }},
	{"herd_kill/core+power", Counted, func(d *Draw) { d.crashAllCounted(d.powerOff) }},
	{"herd_kill/core+taken", Counted, crashAllAfterWork},
	{"zone_loss", Counted, loseZone},
	{"roll_term/core", Counted, rollingRestartCounted},
	{"clock_step/back", Counted, func(d *Draw) { d.stepClocks(-2 * time.Second) }},
	{"clock_step/ahead", Counted, func(d *Draw) { d.stepClocks(2 * time.Second) }},
}

func (d *Draw) powerOff(id string) { d.Sim.PowerOff(id, d.Rand) }

// crashOne ends one counted machine by a way, which comes back soon or late.
func (d *Draw) crashOne(crash func(string), wipe bool) {
	id := d.counted()
	defer d.claim(id)()
	d.record("%s goes, wipe %t", id, wipe)
	d.crash(crash, id, wipe)
	d.wait(100*time.Millisecond, 6*time.Second)
	d.up(id)
}

func (d *Draw) crash(crash func(string), id string, wipe bool) {
	crash(id)
	if wipe {
		d.Sim.Wipe(id)
	}
}

func freezeCounted(d *Draw) {
	id := d.counted()
	defer d.claim(id)()
	d.record("%s freezes", id)
	d.Sim.Freeze(id)
	time.Sleep(d.long())
	d.Sim.Thaw(id)
}

func slowCounted(d *Draw) {
	id := d.counted()
	defer d.claim(id)()
	d.record("%s is slow", id)
	d.Sim.Slow(id, 5, d.between(2*time.Second, 6*time.Second))
}

// operator is one with chances of this draw.
func (d *Draw) operator() *Operator { return &Operator{Rand: d.Rand} }

// crashAfterAck ends the core machine that acknowledges a change within 4 ms.
func (d *Draw) crashAfterAck(crash func(string)) {
	core := d.Config.Change(d.operator())
	if core == "" {
		return
	}
	defer d.claim(core)()
	d.wait(0, 4*time.Millisecond)
	d.record("%s acknowledged and goes", core)
	crash(core)
	d.wait(100*time.Millisecond, 5*time.Second)
	d.up(core)
}

// duringChange calls hit between 5 and 400 ms after a change was sent, acknowledged
// or not, and returns once the change is acknowledged.
func (d *Draw) duringChange(hit func()) {
	done := make(chan struct{})
	op := &Operator{Rand: d.fork()}
	go func() {
		defer close(done)
		d.Config.Change(op)
	}()
	d.wait(5*time.Millisecond, 400*time.Millisecond)
	hit()
	<-done
}

func crashDuringChange(d *Draw) {
	id := d.member("core")
	defer d.claim(id)()
	after := d.between(100*time.Millisecond, 5*time.Second)
	rnd := d.fork()
	d.duringChange(func() {
		d.record("%s goes during a change", id)
		d.Sim.PowerOff(id, rnd)
		time.Sleep(after)
		d.up(id)
	})
}

func wipeDuringChange(d *Draw) {
	id := d.counted()
	defer d.claim(id)()
	after := d.between(100*time.Millisecond, 5*time.Second)
	rnd := d.fork()
	d.duringChange(func() {
		d.record("%s loses its disk during a change", id)
		d.Sim.PowerOff(id, rnd)
		d.Sim.Wipe(id)
		time.Sleep(after)
		d.up(id)
	})
}

// wipeAfterAck takes the disk of one counted machine right after an acknowledgement;
// others: all other counted machines lose power at the same time.
func (d *Draw) wipeAfterAck(others bool) {
	d.Config.Change(d.operator())
	ids := d.countedMembers()
	wiped := ids[d.Rand.IntN(len(ids))]
	if !others {
		ids = []string{wiped}
	}
	defer d.claim(ids...)()
	d.record("%s loses its disk, others power: %t", wiped, others)
	for _, id := range ids {
		d.crash(d.powerOff, id, id == wiped)
	}
	d.restart(ids)
}

// restart brings machines up again, in any order, within a second of each other.
func (d *Draw) restart(ids []string) {
	d.wait(100*time.Millisecond, 3*time.Second)
	if len(ids) > 1 {
		d.Sim.Record(checker.Hard, checker.Everything+" that counts down, started again", 0)
	}
	for _, i := range d.Rand.Perm(len(ids)) {
		d.up(ids[i])
		d.wait(0, 300*time.Millisecond)
	}
}

func (d *Draw) crashAllCounted(crash func(string)) {
	ids := d.countedMembers()
	defer d.claim(ids...)()
	d.record("all counted machines go")
	for _, id := range ids {
		crash(id)
	}
	d.restart(ids)
}

// crashAllAfterWork takes the power of all counted machines right after a client's
// turn was kept.
func crashAllAfterWork(d *Draw) {
	ids := d.countedMembers()
	defer d.claim(ids...)()
	d.Turns.Say(d.member("edge"))
	for _, id := range ids {
		d.powerOff(id)
	}
	d.restart(ids)
}

// crashAfterWork ends the edge that has just taken a client's work.
func crashAfterWork(d *Draw) {
	id := d.member("edge")
	defer d.claim(id)()
	d.Turns.Say(id)
	d.powerOff(id)
	d.wait(100*time.Millisecond, 4*time.Second)
	d.up(id)
}

// loseZone takes the power of all in a zone, runners too.
func loseZone(d *Draw) {
	zone := string(rune('a' + d.Rand.IntN(3)))
	ids := d.ofZone(zone)
	defer d.claim(ids...)()
	d.record("zone %s loses power", zone)
	for _, id := range ids {
		d.powerOff(id)
	}
	runners := d.runnersOf(zone)
	for _, r := range runners {
		d.Sim.RunnerDown(r)
	}
	d.wait(time.Second, 6*time.Second)
	for _, id := range ids {
		d.up(id)
		d.wait(0, 200*time.Millisecond)
	}
	for _, r := range runners {
		d.Sim.RunnerUp(r)
	}
}

// ofZone are the machines in use of a zone.
func (d *Draw) ofZone(zone string) []string {
	var out []string
	for _, id := range d.everybody() {
		if d.Sim.Get(id).Zone == zone {
			out = append(out, id)
		}
	}
	return out
}

// rollingRestartCounted stops the counted machines one after another and starts them again.
func rollingRestartCounted(d *Draw) {
	for _, id := range d.countedMembers() {
		release := d.claim(id)
		d.record("%s stops as planned", id)
		d.Sim.KillProcess(id)
		d.wait(100*time.Millisecond, time.Second)
		d.up(id)
		release()
		time.Sleep(SyncTime)
	}
}

// stepClocks lets the time of day jump on some machines and back, and starts one of
// them anew in between and afterwards.
func (d *Draw) stepClocks(by time.Duration) {
	var stepped []string
	for _, id := range d.everybody() {
		if d.Rand.IntN(3) == 0 {
			stepped = append(stepped, id)
		}
	}
	d.record("clocks step by %s on %v", by, stepped)
	for _, id := range stepped {
		d.Sim.StepClock(id, by)
	}
	d.wait(500*time.Millisecond, 2*time.Second)
	id := d.counted()
	release := d.claim(id)
	d.Sim.KillProcess(id)
	d.wait(50*time.Millisecond, time.Second)
	d.up(id)
	d.wait(500*time.Millisecond, 2*time.Second)
	for _, id := range stepped {
		d.Sim.StepClock(id, 0)
	}
	release()
}
