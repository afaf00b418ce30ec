package sim

import (
	"slices"
	"time"
)

// networkFaults partition, reset and rename.
var networkFaults = []Fault{
	{"core_cut", Counted, partitionCounted},
	{"core_cut/one_way", Counted, partitionCountedOneWay},
	{"core_cut/seeds", Counted, partitionCountedSeeds},
	{"core_cut/both", Counted, partitionCountedBoth},
	{"core_cut/meet", Counted, partitionCountedMeet},
	{"zone_cut", Counted, partitionZone},
	{"seed_turnover", Operators, turnSeeds},
	{"hup", Operators, rereadSettings},
	{"reset_conns", Operators, resetConnections},
	{"node_cut", Edges, partitionEdge},
	{"node_cut/servers", Edges, partitionEdgeFromRunners},
}

func without(ids []string, but ...string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return slices.Contains(but, id) })
}

// partitionRandom cuts one counted machine off from the other counted ones while do runs.
func (d *Draw) partitionRandom(do func(id string, others []string)) {
	id := d.counted()
	defer d.claim(id)()
	others := without(d.countedMembers(), id)
	d.record("%s is cut off from %v", id, others)
	d.Sim.Partition([]string{id}, others, true)
	do(id, others)
	d.Sim.Partition([]string{id}, others, false)
	d.record("%s is joined again", id)
}

func partitionCounted(d *Draw) { d.partitionRandom(func(string, []string) { time.Sleep(d.long()) }) }

func partitionCountedOneWay(d *Draw) {
	id := d.counted()
	defer d.claim(id)()
	others := without(d.countedMembers(), id)
	from, to := []string{id}, others
	if d.Rand.IntN(2) == 0 {
		from, to = to, from
	}
	d.record("nothing goes from %v to %v", from, to)
	d.Sim.PartitionOneWay(from, to, true)
	time.Sleep(d.long())
	d.Sim.PartitionOneWay(from, to, false)
}

// partitionCountedSeeds has new seeds begin with the one that is partitioned while some other
// machines are started anew.
func partitionCountedSeeds(d *Draw) {
	d.partitionRandom(func(id string, _ []string) {
		cores := d.members("core")
		if slices.Contains(cores, id) {
			cores = append([]string{id}, without(cores, id)...)
		}
		d.Sim.Seeds(cores[:3]...)
		d.wait(500*time.Millisecond, 4*time.Second)
		edge := d.member("edge")
		release := d.claim(edge)
		d.Sim.KillProcess(edge)
		d.wait(100*time.Millisecond, time.Second)
		d.up(edge)
		release()
		time.Sleep(d.long())
	})
	d.nameSeeds()
}

// partitionCountedBoth starts the one that is partitioned anew, then the others that count, one
// by one.
func partitionCountedBoth(d *Draw) {
	d.partitionRandom(func(id string, others []string) {
		d.wait(500*time.Millisecond, 2*time.Second)
		d.Sim.KillProcess(id)
		d.wait(100*time.Millisecond, time.Second)
		d.up(id)
		for _, x := range others {
			release := d.claim(x)
			d.wait(200*time.Millisecond, time.Second)
			d.Sim.KillProcess(x)
			d.wait(50*time.Millisecond, 500*time.Millisecond)
			d.up(x)
			release()
		}
		d.wait(time.Second, 4*time.Second)
	})
}

// partitionCountedMeet sends changes to the core machine that is partitioned, during the partition
// and as it returns.
func partitionCountedMeet(d *Draw) {
	id := d.member("core")
	defer d.claim(id)()
	others := without(d.countedMembers(), id)
	d.record("%s is cut off and asked", id)
	d.Sim.Partition([]string{id}, others, true)
	end := time.Now().Add(d.long())
	for time.Now().Before(end) {
		d.Config.Try(d.operator(), id)
		d.wait(100*time.Millisecond, 900*time.Millisecond)
	}
	d.Sim.Partition([]string{id}, others, false)
	d.Config.Try(d.operator(), id)
}

func partitionZone(d *Draw) {
	zone := string(rune('a' + d.Rand.IntN(3)))
	ids := d.ofZone(zone)
	defer d.claim(ids...)()
	rest := without(d.everybody(), ids...)
	var edges, foreign []string
	for _, id := range ids {
		if d.Sim.Get(id).Role == "edge" {
			edges = append(edges, id)
		}
	}
	for _, r := range d.Sim.Runners {
		if r.P.Zone != zone {
			foreign = append(foreign, r.P.Addr)
		}
	}
	d.record("zone %s is cut off", zone)
	d.Sim.Partition(ids, rest, true)
	d.Sim.PartitionHTTP(edges, foreign, true)
	time.Sleep(d.long())
	d.Sim.Partition(ids, rest, false)
	d.Sim.PartitionHTTP(edges, foreign, false)
}

// turnSeeds has the settings name other core machines, in another order.
func turnSeeds(d *Draw) {
	cores := d.members("core")
	d.Rand.Shuffle(len(cores), func(i, j int) { cores[i], cores[j] = cores[j], cores[i] })
	d.Sim.Seeds(cores[:3]...)
}

// rereadSettings has some machines read settings that name other seeds.
func rereadSettings(d *Draw) {
	cores := d.members("core")
	for _, id := range d.everybody() {
		if d.Rand.IntN(3) > 0 {
			continue
		}
		d.Rand.Shuffle(len(cores), func(i, j int) { cores[i], cores[j] = cores[j], cores[i] })
		d.Sim.Reseed(id, cores[:3]...)
		d.wait(0, 200*time.Millisecond)
	}
}

func resetConnections(d *Draw) {
	all := d.everybody()
	for range 1 + d.Rand.IntN(3) {
		id := all[d.Rand.IntN(len(all))]
		n := d.Sim.Reset(id, 0.5, d.Rand)
		d.record("%d connections of %s are reset", n, id)
		d.wait(0, 300*time.Millisecond)
	}
}

// partitionEdge cuts an edge off from all counted machines.
func partitionEdge(d *Draw) {
	id := d.member("edge")
	defer d.claim(id)()
	counted := d.countedMembers()
	d.Sim.Partition([]string{id}, counted, true)
	time.Sleep(d.long())
	d.Sim.Partition([]string{id}, counted, false)
}

// partitionEdgeFromRunners cuts an edge off from half of the runners.
func partitionEdgeFromRunners(d *Draw) {
	id := d.member("edge")
	var addrs []string
	for _, r := range d.Sim.Runners {
		if d.Rand.IntN(2) == 0 {
			addrs = append(addrs, r.P.Addr)
		}
	}
	d.Sim.PartitionHTTP([]string{id}, addrs, true)
	d.wait(time.Second, 6*time.Second)
	d.Sim.PartitionHTTP([]string{id}, addrs, false)
}
