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

type coresWorld struct {
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

func newCoresWorld(t *testing.T, seed uint64) *coresWorld {
	w := &coresWorld{
		t:            t,
		random:       rand.New(rand.NewPCG(seed, 11)),
		nodes:        map[string]*coreNode{},
		chosen:       map[uint64][]byte{},
		view:         cluster.New(nil, nil),
		acknowledged: map[string]uint64{},
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
	w.recordChosen(1, raw)
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
	w.identityCount++
	n := &coreNode{view: cluster.New(nil, nil), disk: newMemoryDisk()}
	n.machine = spec.Machine{ID: id, Addr: id, Zone: zone, Ident: fmt.Sprintf("i%d", w.identityCount)}
	n.voter = register.NewAcceptor(n.disk)
	w.nodes[id] = n
	return n
}

func (w *coresWorld) fail(format string, args ...any) {
	w.t.Fatalf("%s\n%s", fmt.Sprintf(format, args...), strings.Join(w.log, "\n"))
}

func (w *coresWorld) logf(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf(format, args...))
}

// recordChosen records a version as chosen. It verifies that no other value was chosen for the
// version and that the value includes every edit acknowledged before.
func (w *coresWorld) recordChosen(ver uint64, raw []byte) {
	if old, ok := w.chosen[ver]; ok && string(old) != string(raw) {
		w.fail("version %d has two values:\n%s\nand\n%s", ver, old, raw)
	}
	w.chosen[ver] = raw
	var c spec.Cluster
	if err := c.UnmarshalJSON(raw); err != nil {
		w.t.Fatal(err)
	}
	edits := strings.Fields(c.Spec.Name)
	for name, acknowledgedBy := range w.acknowledged {
		if acknowledgedBy <= ver && !slices.Contains(edits, name) {
			w.fail("version %d lacks %s, acknowledged by %d", ver, name, acknowledgedBy)
		}
	}
	w.newest = max(w.newest, ver)
}

func (w *coresWorld) apply(c *cluster.Cluster, ver uint64) {
	if err := c.Apply(ver, w.chosen[ver]); err != nil {
		w.t.Fatal(err)
	}
}

// learn applies a random later chosen version to a process's view.
func (w *coresWorld) learn(c *cluster.Cluster) {
	var later []uint64
	for _, ver := range slices.Sorted(maps.Keys(w.chosen)) {
		if ver > c.Now().Version {
			later = append(later, ver)
		}
	}
	switch {
	case len(later) == 0:
	case w.random.IntN(2) == 0:
		w.apply(c, later[len(later)-1])
	default:
		w.apply(c, later[w.random.IntN(len(later))])
	}
}

// check verifies that every quorum of the newest version's sets has that version.
func (w *coresWorld) check() {
	if w.view.Now().Version < w.newest {
		w.apply(w.view, w.newest)
	}
	for _, group := range w.view.Now().Cores() {
		missing := 0
		for _, r := range group {
			n := w.nodes[r.Addr]
			if n.machine.Ident == r.Ident && n.disk.records[cluster.Key].GetCell().GetVer() < w.newest {
				missing++
			}
		}
		if missing*2 <= len(group) {
			return
		}
	}
	w.fail("version %d can be missed by a quorum", w.newest)
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

// deliver passes a message to a core, which checks its version as package core does. An
// admitted message reaches the disk in a later step.
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

// advance starts the next round of a proposal, or completes it, once a quorum has answered.
func (w *coresWorld) advance(p *proposer) {
	op := p.op
	switch {
	case op.cell == nil && quorum(op.set, op.promised):
		w.proposeValue(p)
	case op.cell != nil && quorum(op.set, op.accepted):
		w.acknowledge(p)
	case w.random.IntN(60) == 0 || !w.inFlight(op):
		p.op = nil
		if !p.slow || w.random.IntN(4) == 0 {
			w.learn(p.view)
		}
	}
}

// inFlight reports whether a proposal has messages on the network, or any core has admitted
// requests that are not on its disk yet.
func (w *coresWorld) inFlight(op *proposal) bool {
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

// proposeValue applies the edit to the value with the highest accepted ballot among the
// promises, and sends the result to the acceptors.
func (w *coresWorld) proposeValue(p *proposer) {
	op := p.op
	var newest *wire.View
	for _, v := range op.promised {
		if newest == nil || wire.CompareBallots(v.Accepted, newest.Accepted) > 0 {
			newest = v
		}
	}
	var c spec.Cluster
	if err := c.UnmarshalJSON(newest.Cell.GetVal()); err != nil {
		w.t.Fatal(err)
	}
	err := cluster.Edit(&c, newest.Cell.Ver+1, func(c *spec.Cluster) error {
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
	op.cell = &wire.Cell{Ver: newest.Cell.Ver + 1, Val: raw}
	w.send(op)
}

func (w *coresWorld) acknowledge(p *proposer) {
	op := p.op
	p.op = nil
	w.recordChosen(op.cell.Ver, op.cell.Val)
	w.acknowledged[op.name] = op.cell.Ver
	w.logf("v%d %s proposed under v%d", op.cell.Ver, op.name, op.version)
	if p.slow && w.random.IntN(2) == 0 {
		return
	}
	w.apply(p.view, op.cell.Ver)
	if strings.HasPrefix(op.name, "finish") {
		w.finished++
	}
}

// stepProposer starts a proposal or advances the one in progress.
func (w *coresWorld) stepProposer(p *proposer) {
	switch {
	case p.op != nil:
		w.advance(p)
	case w.newest < p.resumeAt:
	case p.slow || w.random.IntN(12) == 0:
		w.propose(p, "edit", func(*spec.Cluster) error { return nil })
	case w.random.IntN(60) == 0:
		w.propose(p, "revert", func(c *spec.Cluster) error { membership.SetNext(c, membership.Cores, nil); return nil })
	default:
		w.reconcile(p)
	}
}

// reconcile executes a step of the cores' reconciler: it starts a change, collects the
// confirmations of the cores, and finishes the change.
func (w *coresWorld) reconcile(p *proposer) {
	if p.observed == nil {
		w.learn(p.view)
		p.observed = p.view.Now()
	}
	v := p.observed
	change := membership.Of(&v.Cluster, membership.Cores)
	if !change.Running() {
		next := w.randomTarget(change.Now)
		p.observed = nil
		w.propose(p, "begin", func(c *spec.Cluster) error {
			target := membership.Target{Machines: next, IdentityVersions: map[string]uint64{}}
			return membership.BeginChange(c, membership.Cores, change, target)
		})
		return
	}
	if !membership.Confirmed(change.Now, p.confirmed, v.CoresVersion) {
		w.confirmVersion(p)
		if w.random.IntN(60) == 0 {
			p.observed = nil
		}
		return
	}
	// The reconciler may be paused between the last confirmation and finishing the change.
	if p.resumeAt == 0 && w.random.IntN(3) > 0 {
		p.resumeAt = w.newest + uint64(w.random.IntN(4))
		return
	}
	p.observed, p.resumeAt = nil, 0
	w.propose(
		p,
		"finish",
		func(c *spec.Cluster) error { return membership.FinishChange(c, membership.Cores, change) },
	)
}

// confirmVersion makes a random core confirm the version in force to a reconciler. The core
// first writes its admitted requests to the disk.
func (w *coresWorld) confirmVersion(p *proposer) {
	n := w.pickNode()
	w.learn(n.view)
	for _, commit := range n.admitted {
		commit()
	}
	n.admitted = nil
	ident := n.machine.Ident
	p.confirmed[ident] = max(p.confirmed[ident], n.view.Now().Version)
}

// randomTarget returns a random set that differs from the current one in at most one machine.
func (w *coresWorld) randomTarget(now []spec.Machine) []spec.Machine {
	next := slices.Clone(now)
	i := w.random.IntN(len(next))
	if w.random.IntN(3) == 0 && len(next) > membership.MinCores {
		return slices.Delete(next, i, i+1)
	}
	ids := slices.Sorted(maps.Keys(w.nodes))
	m := w.nodes[ids[w.random.IntN(len(ids))]].machine
	switch j := slices.IndexFunc(next, func(o spec.Machine) bool { return o.ID == m.ID }); {
	case j >= 0:
		next[j] = m
	case len(next) < 5 && w.random.IntN(2) == 0:
		next = append(next, m)
	default:
		next[i] = m
	}
	return next
}

// pickNode returns a random core, preferably one with admitted requests that are not on its
// disk yet.
func (w *coresWorld) pickNode() *coreNode {
	ids := slices.Sorted(maps.Keys(w.nodes))
	var busy []string
	for _, id := range ids {
		if len(w.nodes[id].admitted) > 0 {
			busy = append(busy, id)
		}
	}
	if len(busy) > 0 && w.random.IntN(3) > 0 {
		ids = busy
	}
	return w.nodes[ids[w.random.IntN(len(ids))]]
}

func (w *coresWorld) stepNetwork() {
	if len(w.network) == 0 {
		return
	}
	i := w.random.IntN(len(w.network))
	if w.random.IntN(4) > 0 {
		i = len(w.network) - 1 - w.random.IntN(min(len(w.network), 8))
	}
	m := w.network[i]
	w.deliver(m)
	if m.deliveries++; m.deliveries > 1 || w.random.IntN(8) > 0 {
		w.network = slices.Delete(w.network, i, i+1)
	}
}

func (w *coresWorld) stepNode(n *coreNode) {
	if len(n.admitted) > 0 {
		n.admitted[0]()
		n.admitted = n.admitted[1:]
	} else if w.random.IntN(4) == 0 {
		w.learn(n.view)
	}
}

// stepDiskLoss makes a core lose its disk, provided that a majority of each set remains in the
// newest version and in every later version on a disk, which may still be chosen.
func (w *coresWorld) stepDiskLoss() {
	n := w.pickNode()
	values := [][]byte{w.chosen[w.newest]}
	for _, other := range w.nodes {
		if r := other.disk.records[cluster.Key]; r.GetCell().GetVer() > w.newest {
			values = append(values, r.Cell.Val)
		}
	}
	for _, raw := range values {
		var c spec.Cluster
		if err := c.UnmarshalJSON(raw); err != nil {
			w.t.Fatal(err)
		}
		for _, set := range [][]spec.Machine{c.Cores, c.NextCores} {
			lost := 0
			for _, m := range set {
				if w.nodes[m.Addr].machine.Ident != m.Ident || m.Ident == n.machine.Ident {
					lost++
				}
			}
			if lost*2 >= len(set) && len(set) > 0 {
				return
			}
		}
	}
	w.logf("%s loses its disk", n.machine.ID)
	w.learn(w.newNode(n.machine.ID, n.machine.Zone).view)
}

func (w *coresWorld) step() {
	switch k := w.random.IntN(200); {
	case k < 90:
		w.stepNetwork()
	case k < 150:
		w.stepNode(w.pickNode())
	case k < 199:
		i := w.random.IntN(len(w.proposers) + 2)
		w.stepProposer(w.proposers[i%len(w.proposers)])
	default:
		w.stepDiskLoss()
	}
	w.check()
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
		w := newCoresWorld(t, uint64(first+seed))
		for range steps {
			w.step()
		}
		versions += w.newest
		finished += w.finished
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
