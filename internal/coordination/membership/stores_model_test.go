package membership_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/membership"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
)

// The model of the stores is a randomized simulation. A scheduler executes single steps of
// machines, writers, reconcilers and operators in random order; a process that gets no steps
// is paused. The decisions are made by production code: edits of the register
// (cluster.Edit, SetNext, FinishChange), each process's view (cluster.Apply, Stores,
// Holders), the requests that a store refuses (Stale, SameStores), the keys that it sends
// (Sender.Sends), when a transfer is complete (Readable, Receivers), and the votes
// (register.Acceptor). The register of the spec is assumed to be linearizable; the model of
// the cores verifies that.

const copies = 3

// memoryDisk is a machine's disk in memory.
type memoryDisk struct{ records map[string]*wire.Rec }

func newMemoryDisk() *memoryDisk { return &memoryDisk{map[string]*wire.Rec{}} }

func (d *memoryDisk) Load(key string) (*wire.Rec, error) {
	if r := d.records[key]; r != nil {
		return &wire.Rec{Promised: r.Promised, Accepted: r.Accepted, Cell: r.Cell}, nil
	}
	return &wire.Rec{}, nil
}

func (d *memoryDisk) Save(key string, r *wire.Rec) error {
	d.records[key] = &wire.Rec{Promised: r.Promised, Accepted: r.Accepted, Cell: r.Cell}
	return nil
}

func (d *memoryDisk) saveAll(records map[string]*wire.Rec) error {
	maps.Copy(d.records, records)
	return nil
}

// writeNames returns the names of the writes in a cell: those of the earlier writes that it
// includes, and its own.
func writeNames(cell *wire.Cell) []string {
	if len(cell.GetVal()) == 0 {
		return nil
	}
	return strings.Split(string(cell.Val), " ")
}

type storeNode struct {
	machine spec.Machine
	view    *cluster.Cluster
	disk    *memoryDisk
	voter   *register.Acceptor
	// admitted are requests that passed the version check but are not on the disk yet.
	admitted []func()
	transfer *keyTransfer
}

// keyTransfer is a store's transfer of the keys that a change assigns to it.
type keyTransfer struct {
	version, setsDigest uint64
	view                *cluster.View
	sources             []spec.Machine
	requested           int // number of sources that were sent a request
	pages               [][]*wire.Copy
	failed              []string // identities of the sources that did not answer
	named               map[string]namedCopy
	complete, done      bool
}

// namedCopy is a copy of which a source has sent only the key and the ballot.
type namedCopy struct {
	ballot *wire.Ballot
	source spec.Machine
}

// write is a writer's change of one key in progress.
type write struct {
	key, name string
	version   uint64
	set       register.Set
	ballot    *wire.Ballot
	promised  map[register.Replica]*wire.View
	accepted  map[register.Replica]bool
	cell      *wire.Cell
}

type writer struct {
	view *cluster.Cluster
	op   *write
}

// reconciler is a core that advances a change, with its state of that change.
type reconciler struct {
	view      *cluster.Cluster
	observed  *cluster.View
	complete  map[string]bool // identities of the receivers that have reported completion
	finishing bool
	// resumeAt is the cluster version at which a paused reconciler resumes.
	resumeAt int
}

// message is a message on the network. It may be delivered late, twice or never.
type message struct {
	to         register.Replica
	op         *write
	accept     bool // accept request; otherwise prepare
	cell       *wire.Cell
	deliveries int
}

// storesSimulation is the state of the stores' model.
type storesSimulation struct {
	t             *testing.T
	random        *rand.Rand
	versions      [][]byte
	newest        *cluster.Cluster
	nodes         map[string]*storeNode // by address
	identityCount int
	writers       []*writer
	reconcilers   []*reconciler
	network       []*message
	clock         uint64
	writes        int
	acknowledged  map[string][]string
	removed       map[string]bool // identities that were in a set and are in none
	recentTargets [][]spec.Machine
	log           []string
	steps         int
}

func newStoresSimulation(t *testing.T, seed uint64) *storesSimulation {
	sim := &storesSimulation{
		t:            t,
		random:       rand.New(rand.NewPCG(seed, 7)),
		nodes:        map[string]*storeNode{},
		acknowledged: map[string][]string{},
		removed:      map[string]bool{},
	}
	c := &spec.Cluster{Copies: copies, StoresSince: 1, CoresSince: 1, SelfManaged: true}
	for i := range 6 {
		n := sim.newNode(fmt.Sprintf("s%d", i), string(rune('a'+i%3)))
		if i < 3+int(seed%2) {
			c.Stores = append(c.Stores, n.machine)
		}
	}
	raw, err := c.MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	sim.versions, sim.newest = [][]byte{raw}, cluster.New(nil, nil)
	for _, n := range sim.nodes {
		sim.apply(n.view, 1)
	}
	for range 2 {
		sim.writers = append(sim.writers, &writer{view: sim.newView()})
		sim.reconcilers = append(sim.reconcilers, &reconciler{view: sim.newView()})
	}
	return sim
}

func (sim *storesSimulation) newView() *cluster.Cluster {
	c := cluster.New(nil, nil)
	sim.apply(c, 1)
	return c
}

func (sim *storesSimulation) newNode(id, zone string) *storeNode {
	sim.identityCount++
	n := &storeNode{view: cluster.New(nil, nil), disk: newMemoryDisk()}
	n.machine = spec.Machine{ID: id, Addr: id, Zone: zone, Ident: fmt.Sprintf("i%d", sim.identityCount)}
	n.voter = register.NewAcceptor(n.disk)
	sim.nodes[id] = n
	return n
}

func (sim *storesSimulation) logf(format string, args ...any) {
	sim.log = append(sim.log, fmt.Sprintf(format, args...))
}

func (sim *storesSimulation) fail(format string, args ...any) {
	sim.t.Fatalf("%s\n%s", fmt.Sprintf(format, args...), strings.Join(sim.log, "\n"))
}

// apply applies a version to a process's view.
func (sim *storesSimulation) apply(c *cluster.Cluster, ver uint64) {
	if err := c.Apply(ver, sim.versions[ver-1]); err != nil {
		sim.t.Fatal(err)
	}
}

// learn applies a random later version to a process's view, which may skip versions.
func (sim *storesSimulation) learn(c *cluster.Cluster) {
	last, now := uint64(len(sim.versions)), c.Now().Version
	switch {
	case now == last:
	case sim.random.IntN(2) == 0:
		sim.apply(c, last)
	default:
		sim.apply(c, now+1+sim.random.Uint64N(last-now))
	}
}

// current returns the view of the newest version.
func (sim *storesSimulation) current() *cluster.View {
	if last := uint64(len(sim.versions)); sim.newest.Now().Version < last {
		sim.apply(sim.newest, last)
	}
	return sim.newest.Now()
}

// editRegister edits the cluster's register, as cluster.Change does.
func (sim *storesSimulation) editRegister(description string, f func(*spec.Cluster) error) bool {
	last := uint64(len(sim.versions))
	var c spec.Cluster
	if err := c.UnmarshalJSON(sim.versions[last-1]); err != nil {
		sim.t.Fatal(err)
	}
	if err := cluster.Edit(&c, last+1, f); err != nil {
		return false
	}
	raw, err := c.MarshalJSON()
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.versions = append(sim.versions, raw)
	sim.logf("v%d %s: %v -> %v", last+1, description, machineNames(c.Stores), machineNames(c.NextStores))
	sim.checkIdentities(&c)
	return true
}

func machineNames(set []spec.Machine) []string {
	out := []string{}
	for _, m := range set {
		out = append(out, m.ID+"/"+m.Ident)
	}
	return out
}

// checkIdentities verifies that an identity that was removed from all sets is never in a set
// again.
func (sim *storesSimulation) checkIdentities(c *spec.Cluster) {
	in := map[string]bool{}
	for _, m := range slices.Concat(c.Stores, c.NextStores) {
		if in[m.Ident] = true; sim.removed[m.Ident] {
			sim.fail("removed identity %s is in a set again", m.Ident)
		}
	}
	var before spec.Cluster
	if err := before.UnmarshalJSON(sim.versions[len(sim.versions)-2]); err != nil {
		sim.t.Fatal(err)
	}
	for _, m := range slices.Concat(before.Stores, before.NextStores) {
		if !in[m.Ident] {
			sim.removed[m.Ident] = true
		}
	}
}

// present reports whether a machine of a set still has its disk.
func (sim *storesSimulation) present(m spec.Machine) bool {
	n := sim.nodes[m.Addr]
	return n != nil && n.machine.Ident == m.Ident
}

func (sim *storesSimulation) hasCopy(m spec.Machine, key, name string) bool {
	r := sim.nodes[m.Addr].disk.records[key]
	return r != nil && slices.Contains(writeNames(r.Cell), name)
}

// check verifies that every quorum of the sets in force includes all acknowledged writes.
func (sim *storesSimulation) check() {
	v := sim.current()
	groups := [][]spec.Machine{v.Cluster.Stores}
	if len(v.NextStores) > 0 {
		groups = append(groups, v.NextStores)
	}
	for key, writes := range sim.acknowledged {
		for _, name := range writes {
			if !sim.readable(groups, key, name) {
				sim.fail("write %s of %s can be missed at version %d", name, key, v.Version)
			}
		}
	}
}

// readable reports whether every quorum includes a write: in at least one set, the replicas
// without the write that still have their disk are less than a majority.
func (sim *storesSimulation) readable(groups [][]spec.Machine, key, name string) bool {
	for _, group := range groups {
		holders := cluster.Holders(group, key, copies)
		missing := 0
		for _, m := range holders {
			if sim.present(m) && !sim.hasCopy(m, key, name) {
				missing++
			}
		}
		if missing*2 <= len(holders) {
			return true
		}
	}
	return false
}

// checkMajority verifies right after the end of a change that a majority of each key's
// replicas has all acknowledged writes, where replicas that lost their disk are excused.
func (sim *storesSimulation) checkMajority() {
	v := sim.current()
	for key, writes := range sim.acknowledged {
		holders := cluster.Holders(v.Cluster.Stores, key, copies)
		for _, name := range writes {
			present, lost := 0, 0
			for _, m := range holders {
				switch {
				case !sim.present(m):
					lost++
				case sim.hasCopy(m, key, name):
					present++
				}
			}
			if present == 0 || (present+lost)*2 <= len(holders) {
				sim.fail(
					"write %s of %s is at %d of %d replicas at version %d, %d lost their disk",
					name,
					key,
					present,
					len(holders),
					v.Version,
					lost,
				)
			}
		}
	}
}

// votes reports whether a store is in a set in force and therefore votes.
func (n *storeNode) votes() bool {
	v := n.view.Now()
	return membership.Has(v.Cluster.Stores, n.machine.Ident) || membership.Has(v.NextStores, n.machine.Ident)
}

// deliver passes a message to a store, which checks its version. An admitted message reaches
// the disk in a later step.
func (sim *storesSimulation) deliver(m *message) {
	n := sim.nodes[m.to.Addr]
	if n.machine.Ident != m.to.Ident || !n.votes() || membership.Stale(n.view.Now(), m.op.version) {
		return
	}
	n.admitted = append(n.admitted, func() { sim.commit(n, m) })
}

func (sim *storesSimulation) commit(n *storeNode, m *message) {
	if n.machine.Ident != m.to.Ident {
		return
	}
	op := m.op
	if m.accept {
		if _, err := n.voter.Accept(&wire.Acc{Key: op.key, Ballot: op.ballot, Cell: m.cell}); err == nil {
			op.accepted[m.to] = true
			sim.logf("%s accepts %s of %s sent under v%d, is at v%d", m.to.Addr, op.name, op.key, op.version, n.view.Now().Version)
		}
		return
	}
	if v, err := n.voter.Prepare(&wire.Prep{Key: op.key, Ballot: op.ballot}); err == nil {
		op.promised[m.to] = v
	}
}

func quorum[V any](set register.Set, answers map[register.Replica]V) bool {
	answered := map[register.Replica]bool{}
	for replica := range answers {
		answered[replica] = true
	}
	return set.Quorum(answered)
}

func (sim *storesSimulation) send(op *write, accept bool) {
	for _, r := range op.set.All() {
		sim.network = append(sim.network, &message{to: r, op: op, accept: accept, cell: op.cell})
	}
}

// stepWriter executes one step of a writer.
func (sim *storesSimulation) stepWriter(writer *writer) {
	op := writer.op
	switch {
	case op == nil:
		sim.beginWrite(writer)
	case op.cell == nil && quorum(op.set, op.promised):
		op.cell = nextCell(op)
		sim.send(op, true)
	case op.cell != nil && quorum(op.set, op.accepted):
		sim.acknowledged[op.key] = append(sim.acknowledged[op.key], op.name)
		sim.logf("%s of %s is acknowledged", op.name, op.key)
		writer.op = nil
	case sim.random.IntN(40) == 0 || !sim.inFlight(op):
		// The writer gives up. Its messages remain on the network.
		writer.op = nil
		sim.learn(writer.view)
	}
}

// inFlight reports whether a write has messages on the network, or any store has admitted
// requests that are not on its disk yet.
func (sim *storesSimulation) inFlight(op *write) bool {
	if slices.ContainsFunc(sim.network, func(m *message) bool { return m.op == op }) {
		return true
	}
	for _, n := range sim.nodes {
		if len(n.admitted) > 0 {
			return true
		}
	}
	return false
}

func (sim *storesSimulation) beginWrite(writer *writer) {
	v := writer.view.Now()
	key := fmt.Sprintf("k%d", sim.random.IntN(2))
	set := v.Stores(key)
	if set == nil {
		return
	}
	sim.clock++
	sim.writes++
	writer.op = &write{
		key:      key,
		name:     fmt.Sprintf("w%d", sim.writes),
		version:  v.Version,
		set:      set,
		ballot:   &wire.Ballot{N: sim.clock, Node: 1},
		promised: map[register.Replica]*wire.View{},
		accepted: map[register.Replica]bool{},
	}
	sim.send(writer.op, false)
}

// nextCell returns the cell that a write proposes, based on the promise with the highest
// accepted ballot.
func nextCell(op *write) *wire.Cell {
	var newest *wire.View
	for _, v := range op.promised {
		if newest == nil || wire.CompareBallots(v.Accepted, newest.Accepted) > 0 {
			newest = v
		}
	}
	return &wire.Cell{
		Ver: newest.Cell.GetVer() + 1,
		Val: []byte(strings.Join(append(writeNames(newest.Cell), op.name), " ")),
	}
}

// stepNetwork delivers a random message, which may stay on the network for a second delivery.
func (sim *storesSimulation) stepNetwork() {
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

// stepStore executes one step of a store: it writes an admitted request to the disk, advances
// the transfer of its keys, or learns of a later version.
func (sim *storesSimulation) stepStore(n *storeNode) {
	switch {
	case len(n.admitted) > 0 && sim.random.IntN(4) > 0:
		n.admitted[0]()
		n.admitted = n.admitted[1:]
	case n.transfer != nil && !n.transfer.done && sim.random.IntN(4) > 0:
		sim.stepTransfer(n, n.transfer)
	case sim.random.IntN(3) == 0:
		sim.learn(n.view)
	}
}

// stepTransfer requests a page from the next source or imports a received page. After the last
// page it imports the copies that were sent by name only.
func (sim *storesSimulation) stepTransfer(n *storeNode, transfer *keyTransfer) {
	switch {
	case len(transfer.pages) > 0 && (transfer.requested == len(transfer.sources) || sim.random.IntN(2) == 0):
		sim.importPage(n, transfer)
	case transfer.requested < len(transfer.sources):
		sim.requestPage(n, transfer, transfer.sources[transfer.requested])
		transfer.requested++
	default:
		transfer.done = true
		transfer.complete = membership.Readable(transfer.view.Cluster.Stores, transfer.failed, copies) &&
			sim.importNamed(n, transfer)
	}
}

func (sim *storesSimulation) importPage(n *storeNode, transfer *keyTransfer) {
	var withValue []*wire.Copy
	for _, c := range transfer.pages[0] {
		if c.Rec != nil {
			withValue = append(withValue, c)
		}
	}
	transfer.pages = transfer.pages[1:]
	sim.importCopies(n, withValue)
}

func (sim *storesSimulation) importCopies(n *storeNode, copies []*wire.Copy) {
	if _, err := n.voter.Import(copies, n.disk.saveAll); err != nil {
		sim.t.Fatal(err)
	}
}

// answeringSource returns the store that answers a transfer request to a machine, or nil if the
// request is lost or refused.
func (sim *storesSimulation) answeringSource(_ *storeNode, transfer *keyTransfer, m spec.Machine) *storeNode {
	other := sim.nodes[m.Addr]
	lost := sim.random.IntN(8) == 0
	if lost || other.machine.Ident != m.Ident ||
		!membership.SameStores(other.view.Now(), transfer.version, transfer.setsDigest) {
		return nil
	}
	// As in production, requests that were admitted earlier are written to the disk first.
	for _, commit := range other.admitted {
		commit()
	}
	other.admitted = nil
	return other
}

func (sim *storesSimulation) requestPage(n *storeNode, transfer *keyTransfer, m spec.Machine) {
	if sim.random.IntN(8) > 0 && sim.present(m) {
		sim.learn(sim.nodes[m.Addr].view)
	}
	other := sim.answeringSource(n, transfer, m)
	if other == nil {
		transfer.failed = append(transfer.failed, m.Ident)
		return
	}
	sender := membership.Sender{View: other.view.Now(), Self: m.Ident, To: n.machine.Ident}
	var page []*wire.Copy
	for key, r := range other.disk.records {
		wanted, withValue := sender.Sends(key)
		switch {
		case !wanted || r.Accepted == nil:
		case withValue:
			page = append(
				page,
				&wire.Copy{Key: key, Ballot: r.Accepted, Rec: &wire.Rec{Accepted: r.Accepted, Cell: r.Cell}},
			)
		default:
			if old := transfer.named[key]; wire.CompareBallots(r.Accepted, old.ballot) > 0 {
				transfer.named[key] = namedCopy{r.Accepted, m}
			}
		}
	}
	transfer.pages = append(transfer.pages, page)
}

// importNamed requests and imports the copies that were sent by name only. It reports whether
// their sources have answered.
func (sim *storesSimulation) importNamed(n *storeNode, transfer *keyTransfer) bool {
	for key, named := range transfer.named {
		if r := n.disk.records[key]; r != nil && wire.CompareBallots(r.Accepted, named.ballot) >= 0 {
			continue
		}
		other := sim.answeringSource(n, transfer, named.source)
		if other == nil {
			return false
		}
		r := other.disk.records[key]
		sim.importCopies(n, []*wire.Copy{{Key: key, Rec: &wire.Rec{Accepted: r.Accepted, Cell: r.Cell}}})
	}
	return true
}

// requestTransfer requests a store to transfer its keys for a change, and reports whether the
// transfer is complete.
func (sim *storesSimulation) requestTransfer(n *storeNode, version, setsDigest uint64) bool {
	for n.view.Now().Version < version {
		sim.learn(n.view)
	}
	v := n.view.Now()
	if !membership.SameStores(v, version, setsDigest) || len(v.NextStores) == 0 {
		return false
	}
	transfer := n.transfer
	if transfer != nil && transfer.version == version && transfer.setsDigest == setsDigest &&
		(!transfer.done || transfer.complete) {
		return transfer.complete
	}
	n.transfer = &keyTransfer{version: version, setsDigest: v.StoresDigest(), view: v, named: map[string]namedCopy{}}
	for _, m := range v.Cluster.Stores {
		if m.Ident != n.machine.Ident {
			n.transfer.sources = append(n.transfer.sources, m)
		}
	}
	sim.random.Shuffle(len(n.transfer.sources), func(i, j int) {
		n.transfer.sources[i], n.transfer.sources[j] = n.transfer.sources[j], n.transfer.sources[i]
	})
	return false
}

// stepReconciler executes one step of a reconciler, which may be paused between any two steps.
func (sim *storesSimulation) stepReconciler(r *reconciler) {
	if len(sim.versions) < r.resumeAt {
		return
	}
	if r.observed == nil {
		sim.learn(r.view)
		r.observed, r.complete = r.view.Now(), map[string]bool{}
	}
	change := membership.Of(&r.observed.Cluster, membership.Stores)
	if !change.Running() {
		sim.beginChange(change)
		r.observed = nil
		return
	}
	for _, receiver := range change.Receivers(copies) {
		if r.complete[receiver.Ident] {
			continue
		}
		if sim.present(receiver) &&
			sim.requestTransfer(sim.nodes[receiver.Addr], r.observed.StoresVersion, r.observed.StoresDigest()) {
			r.complete[receiver.Ident] = true
			sim.logf("%s has completed its transfer for v%d", receiver.ID, r.observed.StoresVersion)
		} else if sim.random.IntN(100) == 0 {
			r.observed = nil
		}
		return
	}
	// All receivers have reported completion. Finishing the change is a separate step.
	if !r.finishing {
		r.finishing = true
		if sim.random.IntN(3) > 0 {
			r.resumeAt = len(sim.versions) + 1 + sim.random.IntN(4)
		}
		return
	}
	finished := sim.editRegister(
		"finished",
		func(c *spec.Cluster) error { return membership.FinishChange(c, membership.Stores, change) },
	)
	r.observed, r.finishing = nil, false
	if finished {
		sim.checkMajority()
	}
}

// beginChange starts a change of the stores to a random target, which may be an earlier one.
func (sim *storesSimulation) beginChange(observed membership.Change) {
	next := sim.randomTarget(observed.Now)
	if len(next) < copies || slices.Equal(next, observed.Now) {
		return
	}
	if sim.editRegister("started", func(c *spec.Cluster) error {
		if !membership.Of(c, membership.Stores).Equal(observed) || sim.hasUsedIdentity(c, next) {
			return cluster.ErrNoChange
		}
		membership.SetNext(c, membership.Stores, next)
		return nil
	}) {
		sim.recentTargets = append(sim.recentTargets, next)
	}
}

func (sim *storesSimulation) hasUsedIdentity(c *spec.Cluster, next []spec.Machine) bool {
	return slices.ContainsFunc(next, func(m spec.Machine) bool { return slices.Contains(c.Used, m.Ident) })
}

// randomTarget returns the most recent target, or a random set that differs from the current
// one in at most one machine.
func (sim *storesSimulation) randomTarget(now []spec.Machine) []spec.Machine {
	if len(sim.recentTargets) > 0 && sim.random.IntN(3) > 0 {
		return sim.recentTargets[len(sim.recentTargets)-1]
	}
	next := slices.Clone(now)
	var others []spec.Machine
	for _, id := range slices.Sorted(maps.Keys(sim.nodes)) {
		m := sim.nodes[id].machine
		if !slices.ContainsFunc(now, func(o spec.Machine) bool { return o.ID == m.ID && o.Ident == m.Ident }) {
			others = append(others, m)
		}
	}
	i := sim.random.IntN(len(next))
	switch kind := sim.random.IntN(4); {
	case kind < 2 && len(next) > copies:
		return slices.Delete(next, i, i+1)
	case len(others) == 0:
		return next
	}
	m := others[sim.random.IntN(len(others))]
	if j := slices.IndexFunc(next, func(o spec.Machine) bool { return o.ID == m.ID }); j >= 0 {
		next[j] = m
	} else if len(next) < 5 && sim.random.IntN(2) == 0 {
		next = append(next, m)
	} else {
		next[i] = m
	}
	return next
}

// stepOperator starts a change, or reverts or redirects the one in progress.
func (sim *storesSimulation) stepOperator() {
	v := sim.current()
	if len(v.NextStores) == 0 {
		sim.beginChange(membership.Of(&v.Cluster, membership.Stores))
		return
	}
	next := []spec.Machine(nil)
	if sim.random.IntN(3) == 0 {
		next = sim.randomTarget(v.Cluster.Stores)
	}
	sim.editRegister("redirected", func(c *spec.Cluster) error {
		if sim.hasUsedIdentity(c, next) || len(next) > 0 && len(next) < copies {
			return cluster.ErrNoChange
		}
		membership.SetNext(c, membership.Stores, next)
		return nil
	})
}

// stepDiskLoss makes a machine lose its disk, unless less than a majority of some key's replicas
// would be left in a set in force.
func (sim *storesSimulation) stepDiskLoss() {
	ids := slices.Sorted(maps.Keys(sim.nodes))
	n := sim.nodes[ids[sim.random.IntN(len(ids))]]
	v := sim.current()
	for _, set := range [][]spec.Machine{v.Cluster.Stores, v.NextStores} {
		var lost []string
		for _, m := range set {
			if !sim.present(m) || m.Ident == n.machine.Ident {
				lost = append(lost, m.Ident)
			}
		}
		if len(set) > 0 && !membership.Readable(set, lost, copies) {
			return
		}
	}
	sim.logf("%s loses its disk", n.machine.ID)
	wiped := sim.newNode(n.machine.ID, n.machine.Zone)
	sim.learn(wiped.view)
}

// pickNode returns a random store, preferably one with pending work.
func (sim *storesSimulation) pickNode() *storeNode {
	ids := slices.Sorted(maps.Keys(sim.nodes))
	var busy []string
	for _, id := range ids {
		if n := sim.nodes[id]; len(n.admitted) > 0 || n.transfer != nil && !n.transfer.done {
			busy = append(busy, id)
		}
	}
	if len(busy) > 0 && sim.random.IntN(5) > 0 {
		ids = busy
	}
	return sim.nodes[ids[sim.random.IntN(len(ids))]]
}

// anyPaused reports whether a reconciler is paused until a later version.
func (sim *storesSimulation) anyPaused() bool {
	return slices.ContainsFunc(sim.reconcilers, func(r *reconciler) bool { return len(sim.versions) < r.resumeAt })
}

func (sim *storesSimulation) step() {
	sim.steps++
	switch k := sim.random.IntN(200); {
	case k < 60:
		sim.stepNetwork()
	case k < 90:
		sim.stepWriter(sim.writers[sim.random.IntN(len(sim.writers))])
	case k < 150:
		sim.stepStore(sim.pickNode())
	case k < 197:
		sim.stepReconciler(sim.reconcilers[sim.random.IntN(len(sim.reconcilers))])
	case k < 199:
		sim.stepOperator()
	default:
		sim.stepDiskLoss()
	}
	if sim.anyPaused() && sim.random.IntN(40) == 0 {
		sim.stepOperator()
	}
	sim.check()
}

// intFromEnv returns the value of an environment variable, or a default if it is not a number.
func intFromEnv(name string, defaultValue int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return defaultValue
}

// TestStoresModel verifies in random histories of set changes, writes and disk losses that no
// acknowledged write is lost and that no removed identity is admitted again.
func TestStoresModel(t *testing.T) {
	t.Parallel()
	at := time.Now()
	n, first := intFromEnv("MODEL_HISTORIES", 300), intFromEnv("MODEL_FIRST", 1)
	steps, acknowledged, finished := 0, 0, 0
	for seed := range n {
		sim := newStoresSimulation(t, uint64(first+seed))
		for range 400 {
			sim.step()
		}
		steps += sim.steps
		for _, a := range sim.acknowledged {
			acknowledged += len(a)
		}
		for _, line := range sim.log {
			if strings.Contains(line, "finished") {
				finished++
			}
		}
	}
	t.Logf(
		"%d histories, %d steps, %d acknowledged writes, %d changes finished, %s",
		n,
		steps,
		acknowledged,
		finished,
		time.Since(at).Round(time.Millisecond),
	)
}
