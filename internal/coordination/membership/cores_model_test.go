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

// The model of the cores is a randomized simulation: several proposers change the cluster's
// register while the set of its voters changes. Each proposer acts on its own view, message by
// message, and may be paused between any two messages. Production code provides the votes
// (register.Acceptor), the edits, the quorums, the refusal of stale requests and the condition
// for finishing a change. The model implements the two rounds of a proposal itself, so that it
// controls the delivery of every message.

type coreNode struct {
	machine  spec.Machine
	view     *cluster.Cluster
	disk     *memoryDisk
	voter    *register.Acceptor
	admitted []func()
}

// proposal is a change of the register in progress.
type proposal struct {
	name     string
	version  uint64 // of the view that the proposal is based on
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
	// confirmed holds the version that each identity has confirmed to this reconciler;
	// observed is the view on which it bases the change.
	confirmed map[string]uint64
	observed  *cluster.View
	// resumeAt is the cluster version at which a paused proposer resumes.
	resumeAt uint64
	// slow proposers only edit, and rarely learn of newer versions.
	slow bool
}

type coreMessage struct {
	to         register.Replica
	op         *proposal
	cell       *wire.Cell // nil for a prepare request
	deliveries int
}

// coresSimulation is the state of the cores' model.
type coresSimulation struct {
	t             *testing.T
	random        *rand.Rand
	nodes         map[string]*coreNode
	proposers     []*proposer
	network       []*coreMessage
	chosen        map[uint64][]byte
	newest        uint64
	view          *cluster.Cluster  // of the newest version
	acknowledged  map[string]uint64 // the version that acknowledged each edit, by the edit's name
	identityCount int
	clock         uint64
	edits         int
	finished      int
	log           []string
}

func newCoresSimulation(t *testing.T, seed uint64) *coresSimulation {
	sim := &coresSimulation{
		t:            t,
		random:       rand.New(rand.NewPCG(seed, 11)),
		nodes:        map[string]*coreNode{},
		chosen:       map[uint64][]byte{},
		view:         cluster.New(nil, nil),
		acknowledged: map[string]uint64{},
	}
	c := &spec.Cluster{CoresSince: 1, StoresSince: 1, SelfManaged: true}
	for i := range 6 {
		n := sim.newNode(fmt.Sprintf("c%d", i), string(rune('a'+i%3)))
		if i < 3+int(seed%2) {
			c.Cores = append(c.Cores, n.machine)
		}
	}
	raw, err := c.MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	sim.recordChosen(1, raw)
	first := &wire.Ballot{N: 1}
	for _, m := range c.Cores {
		if _, err := sim.nodes[m.Addr].voter.Accept(&wire.Acc{Key: cluster.Key, Ballot: first, Cell: &wire.Cell{Ver: 1, Val: raw}}); err != nil {
			t.Fatal(err)
		}
	}
	sim.clock = 1
	for _, n := range sim.nodes {
		sim.apply(n.view, 1)
	}
	for i := range 4 {
		p := &proposer{view: cluster.New(nil, nil), confirmed: map[string]uint64{}, slow: i > 1}
		sim.apply(p.view, 1)
		sim.proposers = append(sim.proposers, p)
	}
	return sim
}

func (sim *coresSimulation) newNode(id, zone string) *coreNode {
	sim.identityCount++
	n := &coreNode{view: cluster.New(nil, nil), disk: newMemoryDisk()}
	n.machine = spec.Machine{ID: id, Addr: id, Zone: zone, Ident: fmt.Sprintf("i%d", sim.identityCount)}
	n.voter = register.NewAcceptor(n.disk)
	sim.nodes[id] = n
	return n
}

func (sim *coresSimulation) fail(format string, args ...any) {
	sim.t.Fatalf("%s\n%s", fmt.Sprintf(format, args...), strings.Join(sim.log, "\n"))
}

func (sim *coresSimulation) logf(format string, args ...any) {
	sim.log = append(sim.log, fmt.Sprintf(format, args...))
}

// recordChosen records a version as chosen. It verifies that no other value was chosen for the
// version and that the value includes every edit acknowledged before.
func (sim *coresSimulation) recordChosen(ver uint64, raw []byte) {
	if old, ok := sim.chosen[ver]; ok && string(old) != string(raw) {
		sim.fail("version %d has two values:\n%s\nand\n%s", ver, old, raw)
	}
	sim.chosen[ver] = raw
	var c spec.Cluster
	if err := c.UnmarshalJSON(raw); err != nil {
		sim.t.Fatal(err)
	}
	edits := strings.Fields(c.Spec.Name)
	for name, acknowledgedBy := range sim.acknowledged {
		if acknowledgedBy <= ver && !slices.Contains(edits, name) {
			sim.fail("version %d lacks %s, acknowledged by %d", ver, name, acknowledgedBy)
		}
	}
	sim.newest = max(sim.newest, ver)
}

func (sim *coresSimulation) apply(c *cluster.Cluster, ver uint64) {
	if err := c.Apply(ver, sim.chosen[ver]); err != nil {
		sim.t.Fatal(err)
	}
}

// learn applies a random later chosen version to a process's view.
func (sim *coresSimulation) learn(c *cluster.Cluster) {
	var later []uint64
	for _, ver := range slices.Sorted(maps.Keys(sim.chosen)) {
		if ver > c.Now().Version {
			later = append(later, ver)
		}
	}
	switch {
	case len(later) == 0:
	case sim.random.IntN(2) == 0:
		sim.apply(c, later[len(later)-1])
	default:
		sim.apply(c, later[sim.random.IntN(len(later))])
	}
}

// check verifies that every quorum of the newest version's sets includes a core with that
// version.
func (sim *coresSimulation) check() {
	if sim.view.Now().Version < sim.newest {
		sim.apply(sim.view, sim.newest)
	}
	for _, group := range sim.view.Now().Cores() {
		missing := 0
		for _, r := range group {
			n := sim.nodes[r.Addr]
			if n.machine.Ident == r.Ident && n.disk.records[cluster.Key].GetCell().GetVer() < sim.newest {
				missing++
			}
		}
		if missing*2 <= len(group) {
			return
		}
	}
	sim.fail("version %d can be missed by a quorum", sim.newest)
}

func (sim *coresSimulation) propose(p *proposer, name string, edit func(*spec.Cluster) error) {
	v := p.view.Now()
	sim.clock++
	sim.edits++
	p.op = &proposal{
		name:     fmt.Sprintf("%s%d", name, sim.edits),
		version:  v.Version,
		set:      v.Cores(),
		edit:     edit,
		ballot:   &wire.Ballot{N: sim.clock},
		promised: map[register.Replica]*wire.View{},
		accepted: map[register.Replica]bool{},
	}
	sim.send(p.op)
}

func (sim *coresSimulation) send(op *proposal) {
	for _, r := range op.set.All() {
		sim.network = append(sim.network, &coreMessage{to: r, op: op, cell: op.cell})
	}
}

// deliver passes a message to a core, which checks its version as package core does. An
// admitted message reaches the disk in a later step.
func (sim *coresSimulation) deliver(m *coreMessage) {
	n := sim.nodes[m.to.Addr]
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

// advance starts the next round of a proposal, or completes it, once a quorum has answered.
func (sim *coresSimulation) advance(p *proposer) {
	op := p.op
	switch {
	case op.cell == nil && quorum(op.set, op.promised):
		sim.proposeValue(p)
	case op.cell != nil && quorum(op.set, op.accepted):
		sim.acknowledge(p)
	case sim.random.IntN(60) == 0 || !sim.inFlight(op):
		p.op = nil
		if !p.slow || sim.random.IntN(4) == 0 {
			sim.learn(p.view)
		}
	}
}

// inFlight reports whether a proposal has messages on the network, or any core has admitted
// requests that are not on its disk yet.
func (sim *coresSimulation) inFlight(op *proposal) bool {
	if slices.ContainsFunc(sim.network, func(m *coreMessage) bool { return m.op == op }) {
		return true
	}
	for _, n := range sim.nodes {
		if len(n.admitted) > 0 {
			return true
		}
	}
	return false
}

// proposeValue applies the edit to the value with the highest accepted ballot among the
// promises, and sends the result to the acceptors.
func (sim *coresSimulation) proposeValue(p *proposer) {
	op := p.op
	var newest *wire.View
	for _, v := range op.promised {
		if newest == nil || wire.CompareBallots(v.Accepted, newest.Accepted) > 0 {
			newest = v
		}
	}
	var c spec.Cluster
	if err := c.UnmarshalJSON(newest.Cell.GetVal()); err != nil {
		sim.t.Fatal(err)
	}
	err := cluster.Edit(&c, newest.Cell.Ver+1, func(c *spec.Cluster) error {
		c.Spec.Name += " " + op.name
		return op.edit(c)
	})
	if err != nil {
		if !errors.Is(err, cluster.ErrNoChange) {
			sim.t.Fatal(err)
		}
		p.op = nil
		return
	}
	raw, err := c.MarshalJSON()
	if err != nil {
		sim.t.Fatal(err)
	}
	op.cell = &wire.Cell{Ver: newest.Cell.Ver + 1, Val: raw}
	sim.send(op)
}

func (sim *coresSimulation) acknowledge(p *proposer) {
	op := p.op
	p.op = nil
	sim.recordChosen(op.cell.Ver, op.cell.Val)
	sim.acknowledged[op.name] = op.cell.Ver
	sim.logf("v%d %s proposed under v%d", op.cell.Ver, op.name, op.version)
	if p.slow && sim.random.IntN(2) == 0 {
		return
	}
	sim.apply(p.view, op.cell.Ver)
	if strings.HasPrefix(op.name, "finish") {
		sim.finished++
	}
}

// stepProposer starts a proposal or advances the one in progress.
func (sim *coresSimulation) stepProposer(p *proposer) {
	switch {
	case p.op != nil:
		sim.advance(p)
	case sim.newest < p.resumeAt:
	case p.slow || sim.random.IntN(12) == 0:
		sim.propose(p, "edit", func(*spec.Cluster) error { return nil })
	case sim.random.IntN(60) == 0:
		sim.propose(p, "revert", func(c *spec.Cluster) error { membership.SetNext(c, membership.Cores, nil); return nil })
	default:
		sim.reconcile(p)
	}
}

// reconcile executes a step of the cores' reconciler: it starts a change, collects the
// confirmations of the cores, and finishes the change.
func (sim *coresSimulation) reconcile(p *proposer) {
	if p.observed == nil {
		sim.learn(p.view)
		p.observed = p.view.Now()
	}
	v := p.observed
	change := membership.Of(&v.Cluster, membership.Cores)
	if !change.Running() {
		next := sim.randomTarget(change.Now)
		p.observed = nil
		sim.propose(p, "begin", func(c *spec.Cluster) error {
			target := membership.Target{Machines: next, IdentityVersions: map[string]uint64{}}
			return membership.BeginChange(c, membership.Cores, change, target)
		})
		return
	}
	if !membership.Confirmed(change.Now, p.confirmed, v.CoresVersion) {
		sim.confirmVersion(p)
		if sim.random.IntN(60) == 0 {
			p.observed = nil
		}
		return
	}
	// The reconciler may be paused between the last confirmation and finishing the change.
	if p.resumeAt == 0 && sim.random.IntN(3) > 0 {
		p.resumeAt = sim.newest + uint64(sim.random.IntN(4))
		return
	}
	p.observed, p.resumeAt = nil, 0
	sim.propose(
		p,
		"finish",
		func(c *spec.Cluster) error { return membership.FinishChange(c, membership.Cores, change) },
	)
}

// confirmVersion makes a random core confirm the version in force to a reconciler. The core
// first writes its admitted requests to the disk.
func (sim *coresSimulation) confirmVersion(p *proposer) {
	n := sim.pickNode()
	sim.learn(n.view)
	for _, commit := range n.admitted {
		commit()
	}
	n.admitted = nil
	ident := n.machine.Ident
	p.confirmed[ident] = max(p.confirmed[ident], n.view.Now().Version)
}

// randomTarget returns a random set that differs from the current one in at most one machine.
func (sim *coresSimulation) randomTarget(now []spec.Machine) []spec.Machine {
	next := slices.Clone(now)
	i := sim.random.IntN(len(next))
	if sim.random.IntN(3) == 0 && len(next) > membership.MinCores {
		return slices.Delete(next, i, i+1)
	}
	ids := slices.Sorted(maps.Keys(sim.nodes))
	m := sim.nodes[ids[sim.random.IntN(len(ids))]].machine
	switch j := slices.IndexFunc(next, func(o spec.Machine) bool { return o.ID == m.ID }); {
	case j >= 0:
		next[j] = m
	case len(next) < 5 && sim.random.IntN(2) == 0:
		next = append(next, m)
	default:
		next[i] = m
	}
	return next
}

// pickNode returns a random core, preferably one with admitted requests that are not on its
// disk yet.
func (sim *coresSimulation) pickNode() *coreNode {
	ids := slices.Sorted(maps.Keys(sim.nodes))
	var busy []string
	for _, id := range ids {
		if len(sim.nodes[id].admitted) > 0 {
			busy = append(busy, id)
		}
	}
	if len(busy) > 0 && sim.random.IntN(3) > 0 {
		ids = busy
	}
	return sim.nodes[ids[sim.random.IntN(len(ids))]]
}

func (sim *coresSimulation) stepNetwork() {
	if len(sim.network) == 0 {
		return
	}
	i := sim.random.IntN(len(sim.network))
	if sim.random.IntN(4) > 0 {
		i = len(sim.network) - 1 - sim.random.IntN(min(len(sim.network), 8))
	}
	m := sim.network[i]
	sim.deliver(m)
	if m.deliveries++; m.deliveries > 1 || sim.random.IntN(8) > 0 {
		sim.network = slices.Delete(sim.network, i, i+1)
	}
}

func (sim *coresSimulation) stepNode(n *coreNode) {
	if len(n.admitted) > 0 {
		n.admitted[0]()
		n.admitted = n.admitted[1:]
	} else if sim.random.IntN(4) == 0 {
		sim.learn(n.view)
	}
}

// stepDiskLoss makes a core lose its disk, provided that a majority of each set remains in the
// newest version and in every later version on a disk, which may still be chosen.
func (sim *coresSimulation) stepDiskLoss() {
	n := sim.pickNode()
	values := [][]byte{sim.chosen[sim.newest]}
	for _, other := range sim.nodes {
		if r := other.disk.records[cluster.Key]; r.GetCell().GetVer() > sim.newest {
			values = append(values, r.Cell.Val)
		}
	}
	for _, raw := range values {
		var c spec.Cluster
		if err := c.UnmarshalJSON(raw); err != nil {
			sim.t.Fatal(err)
		}
		for _, set := range [][]spec.Machine{c.Cores, c.NextCores} {
			lost := 0
			for _, m := range set {
				if sim.nodes[m.Addr].machine.Ident != m.Ident || m.Ident == n.machine.Ident {
					lost++
				}
			}
			if lost*2 >= len(set) && len(set) > 0 {
				return
			}
		}
	}
	sim.logf("%s loses its disk", n.machine.ID)
	sim.learn(sim.newNode(n.machine.ID, n.machine.Zone).view)
}

func (sim *coresSimulation) step() {
	switch k := sim.random.IntN(200); {
	case k < 90:
		sim.stepNetwork()
	case k < 150:
		sim.stepNode(sim.pickNode())
	case k < 199:
		i := sim.random.IntN(len(sim.proposers) + 2)
		sim.stepProposer(sim.proposers[i%len(sim.proposers)])
	default:
		sim.stepDiskLoss()
	}
	sim.check()
}

// TestCoresModel verifies in random histories of proposals, set changes and disk losses that
// each version of the register has one value and that no acknowledged edit is lost.
func TestCoresModel(t *testing.T) {
	t.Parallel()
	at := time.Now()
	n, first := intFromEnv("MODEL_HISTORIES", 600), intFromEnv("MODEL_FIRST", 1)
	const steps = 500
	versions, finished := uint64(0), 0
	for seed := range n {
		sim := newCoresSimulation(t, uint64(first+seed))
		for range steps {
			sim.step()
		}
		versions += sim.newest
		finished += sim.finished
	}
	t.Logf(
		"%d histories of %d steps, %d versions, %d changes finished, %s",
		n,
		steps,
		versions,
		finished,
		time.Since(at).Round(time.Millisecond),
	)
}
