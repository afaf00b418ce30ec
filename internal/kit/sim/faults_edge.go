package sim

import "time"

// edgeFaults lose edges, in any number.
var edgeFaults = []Fault{
	{"node_kill/edge", Edges, func(d *Draw) { d.crashEdges(d.Sim.KillProcess) }},
	{"node_kill/edge+power", Edges, func(d *Draw) { d.crashEdges(d.powerOff) }},
	{"node_freeze/edge", Edges, freezeEdge},
	{"node_slow/edge", Edges, slowEdge},
	{"roll_term", Edges, rollingRestartEdges},
}

// crashEdges ends up to half of the edges at once.
func (d *Draw) crashEdges(crash func(string)) {
	edges := d.members("edge")
	d.Rand.Shuffle(len(edges), func(i, j int) { edges[i], edges[j] = edges[j], edges[i] })
	edges = edges[:1+d.Rand.IntN(len(edges)/2)]
	defer d.claim(edges...)()
	d.record("%v go", edges)
	for _, id := range edges {
		crash(id)
	}
	d.wait(100*time.Millisecond, 4*time.Second)
	d.up(edges...)
}

func freezeEdge(d *Draw) {
	id := d.member("edge")
	defer d.claim(id)()
	d.Sim.Freeze(id)
	time.Sleep(d.long())
	d.Sim.Thaw(id)
}

func slowEdge(d *Draw) {
	id := d.member("edge")
	defer d.claim(id)()
	d.Sim.Slow(id, 5, d.between(2*time.Second, 6*time.Second))
}

// rollingRestartEdges stops an edge in an orderly way and starts it again.
func rollingRestartEdges(d *Draw) {
	id := d.member("edge")
	defer d.claim(id)()
	d.record("%s stops as planned", id)
	d.Sim.Quit(id)
	d.wait(100*time.Millisecond, time.Second)
	d.up(id)
}
