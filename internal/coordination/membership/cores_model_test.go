package membership_test

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/membership"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
)

// The cores' model: the cluster's own register is changed by several proposers while the
// set of its voters changes under them. Each acts by its own view, message by message,
// and may be frozen between any two. The votes are the product's (reg.Acceptor), and so
// are the edits, the quorums, what a voter refuses and when a change may finish. The two
// rounds are played here, so that every message is the adversary's.

type coreNode struct {
	machine  spec.Machine
	view     *cluster.Cluster
	disk     *memory
	voter    *register.Acceptor
	admitted []func()
}

// proposal is one change of the register under way.
type proposal struct {
	name     string
	version  uint64 // of the view it is made under
	set      register.Set
	edit     func(*spec.Cluster) error
	ballot   *wire.Ballot
	promised map[register.Replica]*wire.View
	accepted map[register.Replica]bool
	cell     *wire.Cell
}

type proposer struct {
	view *cluster.Cluster
	op   *proposal
	// confirmed is what this mover has seen each identity's version; seen is the
	// view that it judges the change by.
	confirmed map[string]uint64
	seen      *cluster.View
	thaw      uint64
	// slow marks one that only edits, and seldom hears of anything newer.
	slow bool
}

type coreMessage struct {
	to    register.Replica
	op    *proposal
	cell  *wire.Cell // nil: prepare
	tries int
}

type coresWorld struct {
	t         *testing.T
	rnd       *rand.Rand
	nodes     map[string]*coreNode
	proposers []*proposer
	network   []*coreMessage
	chosen    map[uint64][]byte
	newest    uint64
	view      *cluster.Cluster  // of the newest version
	begun     map[string]uint64 // names of acknowledged edits, and by which version
	idents    int
	clock     uint64
	edits     int
	finished  int
	log       []string
}

func newCoresWorld(t *testing.T, seed uint64) *coresWorld {
	w := &coresWorld{
		t:      t,
		rnd:    rand.New(rand.NewPCG(seed, 11)),
		nodes:  map[string]*coreNode{},
		chosen: map[uint64][]byte{},
		view:   cluster.New(nil, nil),
		begun:  map[string]uint64{},
	}
	c := &spec.Cluster{CoresSince: 1, StoresSince: 1, SelfManaged: true}
	for i := range 6 {
		n := w.newNode(fmt.Sprintf("c%d", i), string(rune('a'+i%3)))
		if i < 3+int(seed%2) {
			c.Cores = append(c.Cores, n.machine)
		}
	}
	raw, err := c.MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	w.choose(1, raw)
	first := &wire.Ballot{N: 1}
	for _, m := range c.Cores {
		if _, err := w.nodes[m.Addr].voter.Accept(&wire.Acc{Key: cluster.Key, Ballot: first, Cell: &wire.Cell{Ver: 1, Val: raw}}); err != nil {
			t.Fatal(err)
		}
	}
	w.clock = 1
	for _, n := range w.nodes {
		w.apply(n.view, 1)
	}
	for i := range 4 {
		p := &proposer{view: cluster.New(nil, nil), confirmed: map[string]uint64{}, slow: i > 1}
		w.apply(p.view, 1)
		w.proposers = append(w.proposers, p)
	}
	return w
}

func (w *coresWorld) newNode(id, zone string) *coreNode {
	w.idents++
	n := &coreNode{view: cluster.New(nil, nil), disk: newMemory()}
	n.machine = spec.Machine{ID: id, Addr: id, Zone: zone, Ident: fmt.Sprintf("i%d", w.idents)}
	n.voter = register.NewAcceptor(n.disk)
	w.nodes[id] = n
	return n
}

func (w *coresWorld) fail(format string, args ...any) {
	w.t.Fatalf("%s\n%s", fmt.Sprintf(format, args...), strings.Join(w.log, "\n"))
}

func (w *coresWorld) say(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf(format, args...))
}

// choose records a version as acknowledged: it must be the only one of its number, and
// hold every edit that was acknowledged before.
func (w *coresWorld) choose(ver uint64, raw []byte) {
	if old, ok := w.chosen[ver]; ok && string(old) != string(raw) {
		w.fail("version %d is both\n%s\nand\n%s", ver, old, raw)
	}
	w.chosen[ver] = raw
	var c spec.Cluster
	if err := c.UnmarshalJSON(raw); err != nil {
		w.t.Fatal(err)
	}
	has := strings.Fields(c.Spec.Name)
	for name, by := range w.begun {
		if by <= ver && !slices.Contains(has, name) {
			w.fail("version %d lacks %s, acknowledged by %d", ver, name, by)
		}
	}
	w.newest = max(w.newest, ver)
}

func (w *coresWorld) apply(c *cluster.Cluster, ver uint64) {
	if err := c.Apply(ver, w.chosen[ver]); err != nil {
		w.t.Fatal(err)
	}
}

// learn has a process hear of some chosen version later than its own.
func (w *coresWorld) learn(c *cluster.Cluster) {
	var later []uint64
	for _, ver := range slices.Sorted(maps.Keys(w.chosen)) {
		if ver > c.Now().Version {
			later = append(later, ver)
		}
	}
	switch {
	case len(later) == 0:
	case w.rnd.IntN(2) == 0:
		w.apply(c, later[len(later)-1])
	default:
		w.apply(c, later[w.rnd.IntN(len(later))])
	}
}

// check: the newest acknowledged version is seen at every quorum of its sets.
func (w *coresWorld) check() {
	if w.view.Now().Version < w.newest {
		w.apply(w.view, w.newest)
	}
	for _, group := range w.view.Now().Cores() {
		without := 0
		for _, r := range group {
			n := w.nodes[r.Addr]
			if n.machine.Ident == r.Ident && n.disk.recs[cluster.Key].GetCell().GetVer() < w.newest {
				without++
			}
		}
		if without*2 <= len(group) {
			return
		}
	}
	w.fail("version %d can be missed", w.newest)
}

func (w *coresWorld) propose(p *proposer, name string, edit func(*spec.Cluster) error) {
	v := p.view.Now()
	w.clock++
	w.edits++
	p.op = &proposal{
		name:     fmt.Sprintf("%s%d", name, w.edits),
		version:  v.Version,
		set:      v.Cores(),
		edit:     edit,
		ballot:   &wire.Ballot{N: w.clock},
		promised: map[register.Replica]*wire.View{},
		accepted: map[register.Replica]bool{},
	}
	w.send(p.op)
}

func (w *coresWorld) send(op *proposal) {
	for _, r := range op.set.All() {
		w.network = append(w.network, &coreMessage{to: r, op: op, cell: op.cell})
	}
}

// deliver has a core judge a message, as core.Vote does; what it lets in is on the disk
// in a later step.
func (w *coresWorld) deliver(m *coreMessage) {
	n := w.nodes[m.to.Addr]
	v := n.view.Now()
	votes := membership.Has(v.Cluster.Cores, n.machine.Ident) || membership.Has(v.NextCores, n.machine.Ident)
	if n.machine.Ident != m.to.Ident || !votes || membership.StaleCores(v, m.op.version) {
		return
	}
	n.admitted = append(n.admitted, func() {
		if n.machine.Ident != m.to.Ident {
			return
		}
		if m.cell != nil {
			if _, err := n.voter.Accept(&wire.Acc{Key: cluster.Key, Ballot: m.op.ballot, Cell: m.cell}); err == nil {
				m.op.accepted[m.to] = true
			}
		} else if v, err := n.voter.Prepare(&wire.Prep{Key: cluster.Key, Ballot: m.op.ballot}); err == nil {
			m.op.promised[m.to] = v
		}
	})
}

// advance brings a proposal further where a quorum has answered.
func (w *coresWorld) advance(p *proposer) {
	op := p.op
	switch {
	case op.cell == nil && quorum(op.set, op.promised):
		w.workOut(p)
	case op.cell != nil && quorum(op.set, op.accepted):
		w.acknowledge(p)
	case w.rnd.IntN(60) == 0 || !w.underWay(op):
		p.op = nil
		if !p.slow || w.rnd.IntN(4) == 0 {
			w.learn(p.view)
		}
	}
}

// underWay reports whether a proposal has messages on the network or at a core.
func (w *coresWorld) underWay(op *proposal) bool {
	if slices.ContainsFunc(w.network, func(m *coreMessage) bool { return m.op == op }) {
		return true
	}
	for _, n := range w.nodes {
		if len(n.admitted) > 0 {
			return true
		}
	}
	return false
}

// workOut makes the new value of the newest that was promised over.
func (w *coresWorld) workOut(p *proposer) {
	op := p.op
	var top *wire.View
	for _, v := range op.promised {
		if top == nil || wire.CompareBallots(v.Accepted, top.Accepted) > 0 {
			top = v
		}
	}
	var c spec.Cluster
	if err := c.UnmarshalJSON(top.Cell.GetVal()); err != nil {
		w.t.Fatal(err)
	}
	err := cluster.Edit(&c, top.Cell.Ver+1, func(c *spec.Cluster) error {
		c.Spec.Name += " " + op.name
		return op.edit(c)
	})
	if err != nil {
		if !errors.Is(err, cluster.ErrNoChange) {
			w.t.Fatal(err)
		}
		p.op = nil
		return
	}
	raw, err := c.MarshalJSON()
	if err != nil {
		w.t.Fatal(err)
	}
	op.cell = &wire.Cell{Ver: top.Cell.Ver + 1, Val: raw}
	w.send(op)
}

func (w *coresWorld) acknowledge(p *proposer) {
	op := p.op
	p.op = nil
	w.choose(op.cell.Ver, op.cell.Val)
	w.begun[op.name] = op.cell.Ver
	w.say("v%d %s by a view of v%d", op.cell.Ver, op.name, op.version)
	if p.slow && w.rnd.IntN(2) == 0 {
		return
	}
	w.apply(p.view, op.cell.Ver)
	if strings.HasPrefix(op.name, "settle") {
		w.finished++
	}
}

// stepProposer begins a change, or brings the one under way further.
func (w *coresWorld) stepProposer(p *proposer) {
	switch {
	case p.op != nil:
		w.advance(p)
	case w.newest < p.thaw:
	case p.slow || w.rnd.IntN(12) == 0:
		w.propose(p, "edit", func(*spec.Cluster) error { return nil })
	case w.rnd.IntN(60) == 0:
		w.propose(p, "back", func(c *spec.Cluster) error { membership.SetNext(c, membership.Cores, nil); return nil })
	default:
		w.reconcile(p)
	}
}

// reconcile is the reconciler of the cores: it begins a change, gathers confirmations, and
// finishes.
func (w *coresWorld) reconcile(p *proposer) {
	if p.seen == nil {
		w.learn(p.view)
		p.seen = p.view.Now()
	}
	v := p.seen
	change := membership.Of(&v.Cluster, membership.Cores)
	if !change.Running() {
		next := w.candidate(change.Now)
		p.seen = nil
		w.propose(p, "begin", func(c *spec.Cluster) error {
			target := membership.Target{Machines: next, IdentityVersions: map[string]uint64{}}
			return membership.BeginChange(c, membership.Cores, change, target)
		})
		return
	}
	if !membership.Confirmed(change.Now, p.confirmed, v.CoresVersion) {
		w.renew(p)
		if w.rnd.IntN(60) == 0 {
			p.seen = nil
		}
		return
	}
	// It may be frozen between hearing the last confirmation and settling.
	if p.thaw == 0 && w.rnd.IntN(3) > 0 {
		p.thaw = w.newest + uint64(w.rnd.IntN(4))
		return
	}
	p.seen, p.thaw = nil, 0
	w.propose(
		p,
		"settle",
		func(c *spec.Cluster) error { return membership.FinishChange(c, membership.Cores, change) },
	)
}

// renew has a core tell a mover which version it has in force. What it let in before is
// on its disk by then.
func (w *coresWorld) renew(p *proposer) {
	n := w.pick()
	w.learn(n.view)
	for _, commit := range n.admitted {
		commit()
	}
	n.admitted = nil
	ident := n.machine.Ident
	p.confirmed[ident] = max(p.confirmed[ident], n.view.Now().Version)
}

func (w *coresWorld) candidate(now []spec.Machine) []spec.Machine {
	next := slices.Clone(now)
	i := w.rnd.IntN(len(next))
	if w.rnd.IntN(3) == 0 && len(next) > membership.MinCores {
		return slices.Delete(next, i, i+1)
	}
	ids := slices.Sorted(maps.Keys(w.nodes))
	m := w.nodes[ids[w.rnd.IntN(len(ids))]].machine
	switch j := slices.IndexFunc(next, func(o spec.Machine) bool { return o.ID == m.ID }); {
	case j >= 0:
		next[j] = m
	case len(next) < 5 && w.rnd.IntN(2) == 0:
		next = append(next, m)
	default:
		next[i] = m
	}
	return next
}

// pick chooses a core, mostly one that has let something in.
func (w *coresWorld) pick() *coreNode {
	ids := slices.Sorted(maps.Keys(w.nodes))
	var changing []string
	for _, id := range ids {
		if len(w.nodes[id].admitted) > 0 {
			changing = append(changing, id)
		}
	}
	if len(changing) > 0 && w.rnd.IntN(3) > 0 {
		ids = changing
	}
	return w.nodes[ids[w.rnd.IntN(len(ids))]]
}

func (w *coresWorld) stepNetwork() {
	if len(w.network) == 0 {
		return
	}
	i := w.rnd.IntN(len(w.network))
	if w.rnd.IntN(4) > 0 {
		i = len(w.network) - 1 - w.rnd.IntN(min(len(w.network), 8))
	}
	m := w.network[i]
	w.deliver(m)
	if m.tries++; m.tries > 1 || w.rnd.IntN(8) > 0 {
		w.network = slices.Delete(w.network, i, i+1)
	}
}

func (w *coresWorld) stepNode(n *coreNode) {
	if len(n.admitted) > 0 {
		n.admitted[0]()
		n.admitted = n.admitted[1:]
	} else if w.rnd.IntN(4) == 0 {
		w.learn(n.view)
	}
}

// stepLoss has a core lose its disk, where a majority is left of the sets of the newest
// version and of whatever version a disk holds that may yet be chosen.
func (w *coresWorld) stepLoss() {
	n := w.pick()
	values := [][]byte{w.chosen[w.newest]}
	for _, other := range w.nodes {
		if r := other.disk.recs[cluster.Key]; r.GetCell().GetVer() > w.newest {
			values = append(values, r.Cell.Val)
		}
	}
	for _, raw := range values {
		var c spec.Cluster
		if err := c.UnmarshalJSON(raw); err != nil {
			w.t.Fatal(err)
		}
		for _, set := range [][]spec.Machine{c.Cores, c.NextCores} {
			departed := 0
			for _, m := range set {
				if w.nodes[m.Addr].machine.Ident != m.Ident || m.Ident == n.machine.Ident {
					departed++
				}
			}
			if departed*2 >= len(set) && len(set) > 0 {
				return
			}
		}
	}
	w.say("%s loses its disk", n.machine.ID)
	w.learn(w.newNode(n.machine.ID, n.machine.Zone).view)
}

func (w *coresWorld) step() {
	switch k := w.rnd.IntN(200); {
	case k < 90:
		w.stepNetwork()
	case k < 150:
		w.stepNode(w.pick())
	case k < 199:
		i := w.rnd.IntN(len(w.proposers) + 2)
		w.stepProposer(w.proposers[i%len(w.proposers)])
	default:
		w.stepLoss()
	}
	w.check()
}

// TestCoresModel plays proposers, movers and losses at random against each other.
func TestCoresModel(t *testing.T) {
	t.Parallel()
	at := time.Now()
	n, first := histories("MODEL_HISTORIES", 600), histories("MODEL_FIRST", 1)
	const steps = 500
	versions, finished := uint64(0), 0
	for seed := range n {
		w := newCoresWorld(t, uint64(first+seed))
		for range steps {
			w.step()
		}
		versions += w.newest
		finished += w.finished
	}
	t.Logf(
		"%d histories of %d steps, %d versions, %d changes settled, %s",
		n,
		steps,
		versions,
		finished,
		time.Since(at).Round(time.Millisecond),
	)
}
