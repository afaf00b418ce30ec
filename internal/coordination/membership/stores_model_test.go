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

// The stores' model: an adversary plays machines, writers, movers and operators one
// step at a time and in any order; whoever gets no step is frozen. What decides is the
// product's: the register's edits (cluster.Edit, membership.SetNext, Settle), each process's
// own view (cluster.Apply, Stores, Holders), what a store refuses (Stale, SameStores),
// what it sends (Sender.Sends), what is enough (Readable, Gainers), and its votes
// (reg.Acceptor). The spec's own register is taken to be one of which every change goes
// over the one before; the model of the cores shows that.

const copies = 3

// memory is a store's disk.
type memory struct{ recs map[string]*wire.Rec }

func newMemory() *memory { return &memory{map[string]*wire.Rec{}} }

func (d *memory) Load(key string) (*wire.Rec, error) {
	if r := d.recs[key]; r != nil {
		return &wire.Rec{Promised: r.Promised, Accepted: r.Accepted, Cell: r.Cell}, nil
	}
	return &wire.Rec{}, nil
}

func (d *memory) Save(key string, r *wire.Rec) error {
	d.recs[key] = &wire.Rec{Promised: r.Promised, Accepted: r.Accepted, Cell: r.Cell}
	return nil
}

func (d *memory) saveAll(recs map[string]*wire.Rec) error {
	maps.Copy(d.recs, recs)
	return nil
}

// value is what a cell holds: the names of the writes that it rests on, and its own.
func value(c *wire.Cell) []string {
	if len(c.GetVal()) == 0 {
		return nil
	}
	return strings.Split(string(c.Val), " ")
}

type storeNode struct {
	machine spec.Machine
	view    *cluster.Cluster
	disk    *memory
	voter   *register.Acceptor
	// admitted are requests judged by the sets in force here, but not yet on the disk.
	admitted []func()
	fill     *filling
}

// filling is a store's bringing of what falls to it.
type filling struct {
	version, sets  uint64
	view           *cluster.View
	asked          []spec.Machine
	answered       int
	pages          [][]*wire.Copy
	failed         []string
	names          map[string]namedCopy
	complete, over bool
}

type namedCopy struct {
	ballot *wire.Ballot
	from   spec.Machine
}

// write is a change of one key under way at a writer.
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

// mover is a core that brings a change further, with what it remembers of it.
type mover struct {
	view     *cluster.Cluster
	seen     *cluster.View
	complete map[string]bool // gainers that have reported that they have all
	settles  bool
	// thaw is the version at which one that was frozen goes on.
	thaw int
}

// message is one on the network; it may be delivered late, twice or never.
type message struct {
	to    register.Replica
	op    *write
	acc   bool
	cell  *wire.Cell
	tries int
}

type storesWorld struct {
	t        *testing.T
	rnd      *rand.Rand
	versions [][]byte
	newest   *cluster.Cluster
	nodes    map[string]*storeNode // by address
	idents   int
	writers  []*writer
	movers   []*mover
	network  []*message
	clock    uint64
	writes   int
	acked    map[string][]string
	left     map[string]bool // identities that were in a set and are in none
	recent   [][]spec.Machine
	log      []string
	steps    int
}

func newStoresWorld(t *testing.T, seed uint64) *storesWorld {
	w := &storesWorld{
		t:     t,
		rnd:   rand.New(rand.NewPCG(seed, 7)),
		nodes: map[string]*storeNode{},
		acked: map[string][]string{},
		left:  map[string]bool{},
	}
	c := &spec.Cluster{Copies: copies, StoresSince: 1, CoresSince: 1, SelfManaged: true}
	for i := range 6 {
		n := w.newNode(fmt.Sprintf("s%d", i), string(rune('a'+i%3)))
		if i < 3+int(seed%2) {
			c.Stores = append(c.Stores, n.machine)
		}
	}
	raw, err := c.MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	w.versions, w.newest = [][]byte{raw}, cluster.New(nil, nil)
	for _, n := range w.nodes {
		w.apply(n.view, 1)
	}
	for range 2 {
		w.writers = append(w.writers, &writer{view: w.newView()})
		w.movers = append(w.movers, &mover{view: w.newView()})
	}
	return w
}

func (w *storesWorld) newView() *cluster.Cluster {
	c := cluster.New(nil, nil)
	w.apply(c, 1)
	return c
}

func (w *storesWorld) newNode(id, zone string) *storeNode {
	w.idents++
	n := &storeNode{view: cluster.New(nil, nil), disk: newMemory()}
	n.machine = spec.Machine{ID: id, Addr: id, Zone: zone, Ident: fmt.Sprintf("i%d", w.idents)}
	n.voter = register.NewAcceptor(n.disk)
	w.nodes[id] = n
	return n
}

func (w *storesWorld) say(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf(format, args...))
}

func (w *storesWorld) fail(format string, args ...any) {
	w.t.Fatalf("%s\n%s", fmt.Sprintf(format, args...), strings.Join(w.log, "\n"))
}

// apply has a process learn of a version.
func (w *storesWorld) apply(c *cluster.Cluster, ver uint64) {
	if err := c.Apply(ver, w.versions[ver-1]); err != nil {
		w.t.Fatal(err)
	}
}

// learn has a process hear of some version later than its own, skipping others.
func (w *storesWorld) learn(c *cluster.Cluster) {
	last, now := uint64(len(w.versions)), c.Now().Version
	switch {
	case now == last:
	case w.rnd.IntN(2) == 0:
		w.apply(c, last)
	default:
		w.apply(c, now+1+w.rnd.Uint64N(last-now))
	}
}

// current is the newest version's view.
func (w *storesWorld) current() *cluster.View {
	if last := uint64(len(w.versions)); w.newest.Now().Version < last {
		w.apply(w.newest, last)
	}
	return w.newest.Now()
}

// change edits the register, as cluster.Change does.
func (w *storesWorld) change(what string, f func(*spec.Cluster) error) bool {
	last := uint64(len(w.versions))
	var c spec.Cluster
	if err := c.UnmarshalJSON(w.versions[last-1]); err != nil {
		w.t.Fatal(err)
	}
	if err := cluster.Edit(&c, last+1, f); err != nil {
		return false
	}
	raw, err := c.MarshalJSON()
	if err != nil {
		w.t.Fatal(err)
	}
	w.versions = append(w.versions, raw)
	w.say("v%d %s: %v -> %v", last+1, what, names(c.Stores), names(c.NextStores))
	w.checkIdentities(&c)
	return true
}

func names(set []spec.Machine) []string {
	out := []string{}
	for _, m := range set {
		out = append(out, m.ID+"/"+m.Ident)
	}
	return out
}

// checkIdentities: no identity comes back once it is in no set any more.
func (w *storesWorld) checkIdentities(c *spec.Cluster) {
	in := map[string]bool{}
	for _, m := range slices.Concat(c.Stores, c.NextStores) {
		if in[m.Ident] = true; w.left[m.Ident] {
			w.fail("identity %s is back", m.Ident)
		}
	}
	var before spec.Cluster
	if err := before.UnmarshalJSON(w.versions[len(w.versions)-2]); err != nil {
		w.t.Fatal(err)
	}
	for _, m := range slices.Concat(before.Stores, before.NextStores) {
		if !in[m.Ident] {
			w.left[m.Ident] = true
		}
	}
}

// present reports whether a machine of a set is there with its disk.
func (w *storesWorld) present(m spec.Machine) bool {
	n := w.nodes[m.Addr]
	return n != nil && n.machine.Ident == m.Ident
}

func (w *storesWorld) hasCopy(m spec.Machine, key, name string) bool {
	r := w.nodes[m.Addr].disk.recs[key]
	return r != nil && slices.Contains(value(r.Cell), name)
}

// check: what was acknowledged is seen at every quorum of the sets in force.
func (w *storesWorld) check() {
	v := w.current()
	groups := [][]spec.Machine{v.Cluster.Stores}
	if len(v.NextStores) > 0 {
		groups = append(groups, v.NextStores)
	}
	for key, writes := range w.acked {
		for _, name := range writes {
			if !w.seen(groups, key, name) {
				w.fail("write %s of %s can be missed at version %d", name, key, v.Version)
			}
		}
	}
}

// seen: in some group of a quorum too few are there without it to be a majority.
func (w *storesWorld) seen(groups [][]spec.Machine, key, name string) bool {
	for _, group := range groups {
		holders := cluster.Holders(group, key, copies)
		without := 0
		for _, m := range holders {
			if w.present(m) && !w.hasCopy(m, key, name) {
				without++
			}
		}
		if without*2 <= len(holders) {
			return true
		}
	}
	return false
}

// checkMajority: right after a change has settled, of each key's holders a majority
// has what was acknowledged, but for those that have lost their disk since.
func (w *storesWorld) checkMajority() {
	v := w.current()
	for key, writes := range w.acked {
		holders := cluster.Holders(v.Cluster.Stores, key, copies)
		for _, name := range writes {
			have, departed := 0, 0
			for _, m := range holders {
				switch {
				case !w.present(m):
					departed++
				case w.hasCopy(m, key, name):
					have++
				}
			}
			if have == 0 || (have+departed)*2 <= len(holders) {
				w.fail(
					"write %s of %s is at %d of %d holders at version %d, %d are gone",
					name,
					key,
					have,
					len(holders),
					v.Version,
					departed,
				)
			}
		}
	}
}

// votes reports whether a store takes part, as core.Vote does.
func (n *storeNode) votes() bool {
	v := n.view.Now()
	return membership.Has(v.Cluster.Stores, n.machine.Ident) || membership.Has(v.NextStores, n.machine.Ident)
}

// deliver has a store judge a message. What it lets in reaches the disk in a later step.
func (w *storesWorld) deliver(m *message) {
	n := w.nodes[m.to.Addr]
	if n.machine.Ident != m.to.Ident || !n.votes() || membership.Stale(n.view.Now(), m.op.version) {
		return
	}
	n.admitted = append(n.admitted, func() { w.commit(n, m) })
}

func (w *storesWorld) commit(n *storeNode, m *message) {
	if n.machine.Ident != m.to.Ident {
		return
	}
	op := m.op
	if m.acc {
		if _, err := n.voter.Accept(&wire.Acc{Key: op.key, Ballot: op.ballot, Cell: m.cell}); err == nil {
			op.accepted[m.to] = true
			w.say("%s takes %s of %s by v%d, has v%d", m.to.Addr, op.name, op.key, op.version, n.view.Now().Version)
		}
		return
	}
	if v, err := n.voter.Prepare(&wire.Prep{Key: op.key, Ballot: op.ballot}); err == nil {
		op.promised[m.to] = v
	}
}

func quorum[V any](set register.Set, answers map[register.Replica]V) bool {
	have := map[register.Replica]bool{}
	for r := range answers {
		have[r] = true
	}
	return set.Quorum(have)
}

func (w *storesWorld) send(op *write, acc bool) {
	for _, r := range op.set.All() {
		w.network = append(w.network, &message{to: r, op: op, acc: acc, cell: op.cell})
	}
}

// stepWriter brings one writer a step further.
func (w *storesWorld) stepWriter(u *writer) {
	op := u.op
	switch {
	case op == nil:
		w.beginWrite(u)
	case op.cell == nil && quorum(op.set, op.promised):
		op.cell = next(op)
		w.send(op, true)
	case op.cell != nil && quorum(op.set, op.accepted):
		w.acked[op.key] = append(w.acked[op.key], op.name)
		w.say("%s of %s is acknowledged", op.name, op.key)
		u.op = nil
	case w.rnd.IntN(40) == 0 || !w.underWay(op):
		// It gives up; what it has sent stays on its way.
		u.op = nil
		w.learn(u.view)
	}
}

// underWay reports whether a write has messages on the network or at a store.
func (w *storesWorld) underWay(op *write) bool {
	if slices.ContainsFunc(w.network, func(m *message) bool { return m.op == op }) {
		return true
	}
	for _, n := range w.nodes {
		if len(n.admitted) > 0 {
			return true
		}
	}
	return false
}

func (w *storesWorld) beginWrite(u *writer) {
	v := u.view.Now()
	key := fmt.Sprintf("k%d", w.rnd.IntN(2))
	set := v.Stores(key)
	if set == nil {
		return
	}
	w.clock++
	w.writes++
	u.op = &write{
		key:      key,
		name:     fmt.Sprintf("w%d", w.writes),
		version:  v.Version,
		set:      set,
		ballot:   &wire.Ballot{N: w.clock, Node: 1},
		promised: map[register.Replica]*wire.View{},
		accepted: map[register.Replica]bool{},
	}
	w.send(u.op, false)
}

// next is the cell that a write makes of the newest that it was promised over.
func next(op *write) *wire.Cell {
	var top *wire.View
	for _, v := range op.promised {
		if top == nil || wire.CompareBallots(v.Accepted, top.Accepted) > 0 {
			top = v
		}
	}
	return &wire.Cell{Ver: top.Cell.GetVer() + 1, Val: []byte(strings.Join(append(value(top.Cell), op.name), " "))}
}

// stepNetwork delivers, doubles or loses a message.
func (w *storesWorld) stepNetwork() {
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

// stepStore lets a store write what it let in, learn of a version, or bring keys.
func (w *storesWorld) stepStore(n *storeNode) {
	switch {
	case len(n.admitted) > 0 && w.rnd.IntN(4) > 0:
		n.admitted[0]()
		n.admitted = n.admitted[1:]
	case n.fill != nil && !n.fill.over && w.rnd.IntN(4) > 0:
		w.stepFilling(n, n.fill)
	case w.rnd.IntN(3) == 0:
		w.learn(n.view)
	}
}

// stepFilling asks the next store, or takes what has come; at the end it takes what was
// only named.
func (w *storesWorld) stepFilling(n *storeNode, f *filling) {
	switch {
	case len(f.pages) > 0 && (f.answered == len(f.asked) || w.rnd.IntN(2) == 0):
		w.takePage(n, f)
	case f.answered < len(f.asked):
		w.askPage(n, f, f.asked[f.answered])
		f.answered++
	default:
		f.over = true
		f.complete = membership.Readable(f.view.Cluster.Stores, f.failed, copies) && w.takeNamed(n, f)
	}
}

func (w *storesWorld) takePage(n *storeNode, f *filling) {
	var withValue []*wire.Copy
	for _, c := range f.pages[0] {
		if c.Rec != nil {
			withValue = append(withValue, c)
		}
	}
	f.pages = f.pages[1:]
	w.take(n, withValue)
}

func (w *storesWorld) take(n *storeNode, copies []*wire.Copy) {
	if _, err := n.voter.Import(copies, n.disk.saveAll); err != nil {
		w.t.Fatal(err)
	}
}

// sends is what another store answers; nil where it refuses.
func (w *storesWorld) sends(_ *storeNode, f *filling, m spec.Machine) *storeNode {
	other := w.nodes[m.Addr]
	lost := w.rnd.IntN(8) == 0
	if lost || other.machine.Ident != m.Ident || !membership.SameStores(other.view.Now(), f.version, f.sets) {
		return nil
	}
	// The gate: what was let in before is on the disk.
	for _, commit := range other.admitted {
		commit()
	}
	other.admitted = nil
	return other
}

func (w *storesWorld) askPage(n *storeNode, f *filling, m spec.Machine) {
	if w.rnd.IntN(8) > 0 && w.present(m) {
		w.learn(w.nodes[m.Addr].view)
	}
	other := w.sends(n, f, m)
	if other == nil {
		f.failed = append(f.failed, m.Ident)
		return
	}
	sender := membership.Sender{View: other.view.Now(), Self: m.Ident, To: n.machine.Ident}
	var page []*wire.Copy
	for key, r := range other.disk.recs {
		wanted, withValue := sender.Sends(key)
		switch {
		case !wanted || r.Accepted == nil:
		case withValue:
			page = append(
				page,
				&wire.Copy{Key: key, Ballot: r.Accepted, Rec: &wire.Rec{Accepted: r.Accepted, Cell: r.Cell}},
			)
		default:
			if old := f.names[key]; wire.CompareBallots(r.Accepted, old.ballot) > 0 {
				f.names[key] = namedCopy{r.Accepted, m}
			}
		}
	}
	f.pages = append(f.pages, page)
}

// takeNamed asks for what only its name has come of.
func (w *storesWorld) takeNamed(n *storeNode, f *filling) bool {
	for key, named := range f.names {
		if r := n.disk.recs[key]; r != nil && wire.CompareBallots(r.Accepted, named.ballot) >= 0 {
			continue
		}
		other := w.sends(n, f, named.from)
		if other == nil {
			return false
		}
		r := other.disk.recs[key]
		w.take(n, []*wire.Copy{{Key: key, Rec: &wire.Rec{Accepted: r.Accepted, Cell: r.Cell}}})
	}
	return true
}

// order tells a store to bring its keys, as store.fill does; it reports whether it has.
func (w *storesWorld) order(n *storeNode, version, sets uint64) bool {
	for n.view.Now().Version < version {
		w.learn(n.view)
	}
	v := n.view.Now()
	if !membership.SameStores(v, version, sets) || len(v.NextStores) == 0 {
		return false
	}
	f := n.fill
	if f != nil && f.version == version && f.sets == sets && (!f.over || f.complete) {
		return f.complete
	}
	n.fill = &filling{version: version, sets: v.StoresDigest(), view: v, names: map[string]namedCopy{}}
	for _, m := range v.Cluster.Stores {
		if m.Ident != n.machine.Ident {
			n.fill.asked = append(n.fill.asked, m)
		}
	}
	w.rnd.Shuffle(len(n.fill.asked), func(i, j int) {
		n.fill.asked[i], n.fill.asked[j] = n.fill.asked[j], n.fill.asked[i]
	})
	return false
}

// stepMover brings one mover a step further. Between any two it may be frozen.
func (w *storesWorld) stepMover(m *mover) {
	if len(w.versions) < m.thaw {
		return
	}
	if m.seen == nil {
		w.learn(m.view)
		m.seen, m.complete = m.view.Now(), map[string]bool{}
	}
	change := membership.Of(&m.seen.Cluster, membership.Stores)
	if !change.Running() {
		w.begin(change)
		m.seen = nil
		return
	}
	for _, g := range change.Receivers(copies) {
		if m.complete[g.Ident] {
			continue
		}
		if w.present(g) && w.order(w.nodes[g.Addr], m.seen.StoresVersion, m.seen.StoresDigest()) {
			m.complete[g.Ident] = true
			w.say("%s is whole for v%d", g.ID, m.seen.StoresVersion)
		} else if w.rnd.IntN(100) == 0 {
			m.seen = nil
		}
		return
	}
	// All have reported; the order to finish is one more step.
	if !m.settles {
		m.settles = true
		if w.rnd.IntN(3) > 0 {
			m.thaw = len(w.versions) + 1 + w.rnd.IntN(4)
		}
		return
	}
	finished := w.change(
		"settled",
		func(c *spec.Cluster) error { return membership.FinishChange(c, membership.Stores, change) },
	)
	m.seen, m.settles = nil, false
	if finished {
		w.checkMajority()
	}
}

// begin lets the set change to some other, or to one that it was to change to before.
func (w *storesWorld) begin(was membership.Change) {
	next := w.candidate(was.Now)
	if len(next) < copies || slices.Equal(next, was.Now) {
		return
	}
	if w.change("begun", func(c *spec.Cluster) error {
		if !membership.Of(c, membership.Stores).Equal(was) || w.banned(c, next) {
			return cluster.ErrNoChange
		}
		membership.SetNext(c, membership.Stores, next)
		return nil
	}) {
		w.recent = append(w.recent, next)
	}
}

func (w *storesWorld) banned(c *spec.Cluster, next []spec.Machine) bool {
	return slices.ContainsFunc(next, func(m spec.Machine) bool { return slices.Contains(c.Used, m.Ident) })
}

func (w *storesWorld) candidate(now []spec.Machine) []spec.Machine {
	if len(w.recent) > 0 && w.rnd.IntN(3) > 0 {
		return w.recent[len(w.recent)-1]
	}
	next := slices.Clone(now)
	var others []spec.Machine
	for _, id := range slices.Sorted(maps.Keys(w.nodes)) {
		m := w.nodes[id].machine
		if !slices.ContainsFunc(now, func(o spec.Machine) bool { return o.ID == m.ID && o.Ident == m.Ident }) {
			others = append(others, m)
		}
	}
	i := w.rnd.IntN(len(next))
	switch kind := w.rnd.IntN(4); {
	case kind < 2 && len(next) > copies:
		return slices.Delete(next, i, i+1)
	case len(others) == 0:
		return next
	}
	m := others[w.rnd.IntN(len(others))]
	if j := slices.IndexFunc(next, func(o spec.Machine) bool { return o.ID == m.ID }); j >= 0 {
		next[j] = m
	} else if len(next) < 5 && w.rnd.IntN(2) == 0 {
		next = append(next, m)
	} else {
		next[i] = m
	}
	return next
}

// stepOperator turns a change back, or redirects it elsewhere.
func (w *storesWorld) stepOperator() {
	v := w.current()
	if len(v.NextStores) == 0 {
		w.begin(membership.Of(&v.Cluster, membership.Stores))
		return
	}
	next := []spec.Machine(nil)
	if w.rnd.IntN(3) == 0 {
		next = w.candidate(v.Cluster.Stores)
	}
	w.change("aimed", func(c *spec.Cluster) error {
		if w.banned(c, next) || len(next) > 0 && len(next) < copies {
			return cluster.ErrNoChange
		}
		membership.SetNext(c, membership.Stores, next)
		return nil
	})
}

// stepLoss has a machine lose its disk, where a majority of each key's holders is left
// with theirs in each set in force.
func (w *storesWorld) stepLoss() {
	ids := slices.Sorted(maps.Keys(w.nodes))
	n := w.nodes[ids[w.rnd.IntN(len(ids))]]
	v := w.current()
	for _, set := range [][]spec.Machine{v.Cluster.Stores, v.NextStores} {
		var departed []string
		for _, m := range set {
			if !w.present(m) || m.Ident == n.machine.Ident {
				departed = append(departed, m.Ident)
			}
		}
		if len(set) > 0 && !membership.Readable(set, departed, copies) {
			return
		}
	}
	w.say("%s loses its disk", n.machine.ID)
	again := w.newNode(n.machine.ID, n.machine.Zone)
	w.learn(again.view)
}

// pick chooses a store, mostly one that has something to do.
func (w *storesWorld) pick() *storeNode {
	ids := slices.Sorted(maps.Keys(w.nodes))
	var changing []string
	for _, id := range ids {
		if n := w.nodes[id]; len(n.admitted) > 0 || n.fill != nil && !n.fill.over {
			changing = append(changing, id)
		}
	}
	if len(changing) > 0 && w.rnd.IntN(5) > 0 {
		ids = changing
	}
	return w.nodes[ids[w.rnd.IntN(len(ids))]]
}

// frozen reports whether a mover is kept from its step until the set has moved on.
func (w *storesWorld) frozen() bool {
	return slices.ContainsFunc(w.movers, func(m *mover) bool { return len(w.versions) < m.thaw })
}

func (w *storesWorld) step() {
	w.steps++
	switch k := w.rnd.IntN(200); {
	case k < 60:
		w.stepNetwork()
	case k < 90:
		w.stepWriter(w.writers[w.rnd.IntN(len(w.writers))])
	case k < 150:
		w.stepStore(w.pick())
	case k < 197:
		w.stepMover(w.movers[w.rnd.IntN(len(w.movers))])
	case k < 199:
		w.stepOperator()
	default:
		w.stepLoss()
	}
	if w.frozen() && w.rnd.IntN(40) == 0 {
		w.stepOperator()
	}
	w.check()
}

// histories is how many the models search; the environment may ask for more.
func histories(name string, usual int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return usual
}

// TestStoresModel plays movers, writers and losses at random against each other.
func TestStoresModel(t *testing.T) {
	t.Parallel()
	at := time.Now()
	n, first := histories("MODEL_HISTORIES", 300), histories("MODEL_FIRST", 1)
	steps, acked, finished := 0, 0, 0
	for seed := range n {
		w := newStoresWorld(t, uint64(first+seed))
		for range 400 {
			w.step()
		}
		steps += w.steps
		for _, a := range w.acked {
			acked += len(a)
		}
		for _, l := range w.log {
			if strings.Contains(l, "settled") {
				finished++
			}
		}
	}
	t.Logf(
		"%d histories, %d steps, %d acknowledged writes, %d changes settled, %s",
		n,
		steps,
		acked,
		finished,
		time.Since(at).Round(time.Millisecond),
	)
}
