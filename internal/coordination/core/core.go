// Package core is the control plane: a voter of the spec register, the table
// of leases, and the operators' HTTP interface.
package core

import (
	"context"
	"encoding/binary"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/lease"
	"damsontiller/internal/coordination/membership"
	"damsontiller/internal/coordination/node"
	"damsontiller/internal/coordination/storeclient"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// Disk is what a core machine keeps.
type Disk interface {
	register.Disk
	SaveMetadata(key string, b []byte) error
	LoadMetadata(key string) ([]byte, error)
	ListMetadata(prefix string) (map[string][]byte, error)
	// Ident is the identity that the disk stands for. Renew puts all of it aside for
	// a new one.
	Ident() string
	ReplaceIdentity(why string) error
	// MeasureDisk measures the disk; Status says what is wrong with it.
	MeasureDisk()
	Status() string
	Lister
}

// Lister pages through the keys that a disk holds.
type Lister interface {
	Keys(kind wire.List_Kind, after string, limit int, want func(string) bool) ([]*wire.Row, error)
}

// MaxPage bounds one page of keys.
const MaxPage = 1000

// List answers List calls from a disk; want narrows them.
func List(d Lister, q *wire.List, want func(string) bool) (*wire.Resp, error) {
	n := int(q.Limit)
	if n <= 0 || n > MaxPage {
		n = MaxPage
	}
	rows, err := d.Keys(q.Kind, q.After, n, want)
	if err != nil {
		return nil, err
	}
	return &wire.Resp{Op: &wire.Resp_Rows{Rows: &wire.Rows{Rows: rows}}}, nil
}

// Params are a core machine's settings.
type Params struct {
	// Bootstrap forms the first set; Cores, Stores and Spec are its content.
	Bootstrap bool
	Cores     []spec.Machine
	Stores    []spec.Machine
	Spec      *spec.Spec
	// FounderAddrs are the addresses of the cores that form the first set, where no names
	// are known. It stands without stores, over Zones where there is no Spec; they
	// are taken in as they come.
	FounderAddrs []string
	Zones        []string
	// Copies is how many stores hold each key; 0 means 3.
	Copies int
	// MoveRate bounds the keys moved a second while a set changes.
	MoveRate int
	// AckTimeout is how long an operator's request waits to be acknowledged.
	AckTimeout time.Duration
}

// Core is one control-plane process.
type Core struct {
	params    Params
	disk      Disk
	acceptor  *register.Acceptor
	table     *lease.Table
	keysMoved atomic.Int64 // keys moved in the change of a set under way
	// What a set's duty is to look at again at once, and when a store that is in no
	// set was last heard of for the first time.
	wakeups         map[membership.Set]loop.Wakeup
	lastNewcomer    atomic.Int64
	knownIdentities sync.Map // identities heard of
	startedAt       time.Time
	// founded is when this very process formed the set, if it did. It and tried, when
	// keys could last not be moved, are touched by one goroutine at a time.
	founded, lastTransferFailure time.Time
	drainedVersion               atomic.Uint64  // the change of the cores after which Gate was last waited for
	contact                      contactTracker // since when this core has been in touch with a majority
	*node.Node
}

const clusterKey = "realm"

// PersistCluster notes each spec on disk before it comes into force.
func PersistCluster(save func(string, []byte) error) func([]byte, uint64) error {
	return func(raw []byte, ver uint64) error {
		return save(clusterKey, append(binary.BigEndian.AppendUint64(nil, ver), raw...))
	}
}

// RestoreCluster puts the spec kept on disk in force: a node never slips back to an
// older one than it has had.
func RestoreCluster(saved func(string) ([]byte, error), r *cluster.Cluster) error {
	b, err := saved(clusterKey)
	if err != nil || len(b) < 8 {
		return err
	}
	return r.Apply(binary.BigEndian.Uint64(b), b[8:])
}

// New makes a core over its disk.
func New(p Params, np node.Params, d Disk) (*Core, error) {
	np.Persist = PersistCluster(d.SaveMetadata)
	c := &Core{params: p, disk: d, acceptor: register.NewAcceptor(d), Node: node.New(np), startedAt: time.Now()}
	c.contact.start = c.startedAt
	c.wakeups = map[membership.Set]loop.Wakeup{membership.Cores: c.Cluster.Watch(), membership.Stores: c.Cluster.Watch()}
	c.lastNewcomer.Store(time.Now().UnixNano())
	c.Lease.Status = func() string {
		c.drain()
		return d.Status()
	}
	saved, err := d.ListMetadata(lease.MemberKeyPrefix)
	if err != nil {
		return nil, err
	}
	if c.table, err = lease.NewTable(np.Lease, saved, d.SaveMetadata); err != nil {
		return nil, err
	}
	if err := RestoreCluster(d.LoadMetadata, c.Cluster); err != nil {
		return nil, err
	}
	if err := RestoreIdentityVersion(c.Node, d); err != nil {
		return nil, err
	}
	ServeRegister(c.Node, c.acceptor, c.checkCoresVersion, func() []spec.Machine {
		v := c.Cluster.Now()
		if v.Version == 0 {
			// Before there is a set, whoever names this identity has it from us and
			// is forming the first.
			return []spec.Machine{{Ident: c.Peer.Ident()}}
		}
		return slices.Concat(v.Cluster.Cores, v.NextCores)
	})
	c.Peer.Handle(&wire.Req_Renew{}, c.renew)
	c.Peer.Handle(&wire.Req_List{}, func(_ context.Context, q *wire.Req) (*wire.Resp, error) { return List(d, q.GetList(), nil) })
	c.Peer.Handle(&wire.Req_Members{}, func(context.Context, *wire.Req) (*wire.Resp, error) {
		return &wire.Resp{Op: &wire.Resp_Members{Members: &wire.MembersAck{Members: c.table.List(), UpMs: time.Since(c.startedAt).Milliseconds()}}}, nil
	})
	return c, nil
}

// ServeRegister answers the register's rounds, as long as this identity is in the set.
// A machine that lost its disk has another identity and stays out.
func ServeRegister(n *node.Node, a *register.Acceptor, checkVersion func(*wire.Req) error, set func() []spec.Machine) {
	ok := func() error {
		if id := n.Peer.Ident(); id == "" || !slices.ContainsFunc(set(), func(m spec.Machine) bool { return m.Ident == id }) {
			return code.New(code.NotVoting, "%s is not admitted to the set", n.Peer.Self.Id)
		}
		return nil
	}
	on := func(op any, f func(*wire.Req) (*wire.View, error)) {
		n.Peer.Handle(op, func(_ context.Context, q *wire.Req) (*wire.Resp, error) {
			// What a newer set's version shuts out is either refused or on the disk
			// by the time that somebody asks for all that is there.
			defer n.Gate.Begin()()
			if err := ok(); err != nil {
				return nil, err
			}
			if err := checkVersion(q); err != nil {
				return nil, err
			}
			v, err := f(q)
			return &wire.Resp{Op: &wire.Resp_View{View: v}}, err
		})
	}
	on(&wire.Req_Prep{}, func(q *wire.Req) (*wire.View, error) { return a.Prepare(q.GetPrep()) })
	on(&wire.Req_Acc{}, func(q *wire.Req) (*wire.View, error) { return a.Accept(q.GetAcc()) })
	on(&wire.Req_Look{}, func(q *wire.Req) (*wire.View, error) { return a.Read(q.GetLook()) })
}

// CheckVersion refuses a sender that acts on an older spec than the highest that this
// machine has synced: a strict one whatever has changed, any where the sets have.
// What was begun under a promise may be ended.
func CheckVersion(n *node.Node, q *wire.Req) error {
	v := n.Cluster.Now()
	_, ends := q.Op.(*wire.Req_Acc)
	if membership.Stale(v, q.Spec) || q.Strict && !ends && q.Spec > 0 && q.Spec < v.Version {
		return code.New(code.StaleSpec, "version %d, %s has %d", q.Spec, n.Peer.Self.Id, v.Version)
	}
	return nil
}

// drain waits, once after each change of the cores, until what was let in before is
// on the disk: only then may this core say that it has confirmed it.
func (c *Core) drain() {
	v := c.Cluster.Now().CoresVersion
	if c.drainedVersion.Load() == v {
		return
	}
	c.Gate.Drain()
	c.drainedVersion.Store(v)
}

// checkCoresVersion refuses whoever deals with the cores under sets that are no more: his
// majority could be one of the old set alone.
func (c *Core) checkCoresVersion(q *wire.Req) error {
	if v := c.Cluster.Now(); membership.StaleCores(v, q.Spec) {
		return code.New(code.StaleSpec, "version %d, the cores have changed with %d", q.Spec, v.CoresVersion)
	}
	return nil
}

func (c *Core) renew(ctx context.Context, q *wire.Req) (*wire.Resp, error) {
	// Whoever goes by cores that are no more may be known to none of the others that
	// wait for all who could act on an older spec.
	if err := c.checkCoresVersion(&wire.Req{Spec: q.GetRenew().GetSelf().GetSpecVer()}); err != nil {
		return nil, err
	}
	r, err := c.table.Grant(ctx, q)
	if err != nil {
		return r, err
	}
	v := c.Cluster.Now()
	r.GetRenew().SpecVer = v.Version
	c.onRenewal(v, q.GetRenew().GetSelf())
	return r, nil
}

// Start listens, finds its set and joins. It returns once the core serves.
func (c *Core) Start(ctx context.Context) error {
	if err := c.Peer.Serve(ctx); err != nil {
		return err
	}
	if c.Cluster.Now().Version == 0 {
		if err := c.joinCluster(ctx); err != nil {
			return err
		}
	}
	if err := c.Join(ctx); err != nil {
		return err
	}
	c.Run(ctx)
	c.Go(ctx, func(ctx context.Context) {
		loop.Every(ctx, time.Second, nil, func(context.Context) { c.disk.MeasureDisk() })
	})
	c.Go(ctx, func(ctx context.Context) { loop.Every(ctx, 500*time.Millisecond, nil, c.bindStores) })
	c.Go(ctx, func(ctx context.Context) { loop.Every(ctx, contactCheckInterval, nil, c.checkContact) })
	for set, wakeup := range c.wakeups {
		c.Go(ctx, func(ctx context.Context) {
			loop.Every(ctx, 500*time.Millisecond, wakeup, func(ctx context.Context) { c.reconcile(ctx, set) })
		})
	}
	c.Go(ctx, func(ctx context.Context) { WatchRemoval(ctx, c.Node, c.disk, c.acceptor.Reset) })
	return nil
}

// joinCluster forms the first set or finds the one that stands, for a machine that knows of
// none yet. An identity that may be in the first set counts as made under version 0.
func (c *Core) joinCluster(ctx context.Context) error {
	voted, err := c.disk.Load(cluster.Key)
	if err != nil {
		return err
	}
	if len(c.founders()) > 0 {
		if err := SaveIdentityVersion(c.Node, c.disk, 0); err != nil {
			return err
		}
		return c.bootstrap(ctx)
	}
	if err := c.Discover(ctx); err != nil {
		return err
	}
	if voted.Promised != nil {
		return SaveIdentityVersion(c.Node, c.disk, 0)
	}
	return SaveIdentityVersion(c.Node, c.disk, c.Cluster.Now().Version)
}

// bindStores gives each store of the set that has none yet the identity it came
// with. Once bound it is never changed here: a store that lost its disk comes
// with another and has to be admitted.
func (c *Core) bindStores(ctx context.Context) {
	idents := map[string]string{}
	used := c.Cluster.Now().Used
	for _, m := range c.Lease.Members() {
		if m.Role == "store" && m.Live && !slices.Contains(used, m.Ident) {
			idents[m.Id] = m.Ident
		}
	}
	want := func(s spec.Machine) bool { return s.Ident == "" && idents[s.ID] != "" }
	if !slices.ContainsFunc(c.Cluster.Now().Cluster.Stores, want) {
		return
	}
	ver, raw, err := c.Cluster.Change(ctx, 0, func(r *spec.Cluster) error {
		some := false
		for i, s := range r.Stores {
			if want(s) {
				r.Stores[i].Ident, some = idents[s.ID], true
			}
		}
		if !some {
			return cluster.ErrNoChange
		}
		return nil
	})
	if err != nil {
		if !errors.Is(err, cluster.ErrNoChange) {
			c.Log.Warn("stores not bound", "err", err)
		}
		return
	}
	c.Log.Info("stores bound", "version", ver)
	c.broadcastSpec(ctx, ver, raw)
}

// broadcastSpec sends a version down the tree and gives the ids that took it.
func (c *Core) broadcastSpec(ctx context.Context, ver uint64, raw []byte) map[string]bool {
	confirmed := map[string]bool{}
	for _, id := range c.Broadcast.Publish(ctx, &wire.Item{Topic: "spec", Seq: ver, Body: raw}) {
		confirmed[id] = true
	}
	return confirmed
}

// knownMembers merges the members that a majority of core machines know: the newest
// start of each, its highest confirmation, its shortest silence.
func (c *Core) knownMembers(ctx context.Context) (map[string]*wire.Member, error) {
	set := c.Cluster.Now().Cores()
	ctx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	type answer struct {
		r   register.Replica
		ms  []*wire.Member
		err error
	}
	cores := set.All()
	ch := make(chan answer, len(cores))
	for _, m := range cores {
		go func() {
			r, err := c.Peer.Call(ctx, m.Addr, &wire.Req{Ident: m.Ident, Op: &wire.Req_Members{Members: &wire.MembersAsk{}}})
			ch <- answer{m, r.GetMembers().GetMembers(), err}
		}()
	}
	all := map[string]*wire.Member{}
	answered := map[register.Replica]bool{}
	take := func(a answer) {
		if a.err != nil {
			return
		}
		answered[a.r] = true
		for _, m := range a.ms {
			k := m.Id + "@" + m.Addr
			o := all[k]
			if o == nil || m.Inc > o.Inc {
				all[k] = m
			} else if m.Inc == o.Inc {
				o.SpecVer = max(o.SpecVer, m.SpecVer)
				o.SilentMs = min(o.SilentMs, m.SilentMs)
				o.Live = o.Live || m.Live
			}
		}
	}
	// A lease is granted by a majority, so any majority knows of every node. The
	// others are given a moment more: they may have heard of some later.
	var most <-chan time.Time
	for range cores {
		select {
		case a := <-ch:
			take(a)
		case <-most:
			return all, nil
		}
		if most == nil && set.Quorum(answered) {
			t := time.NewTimer(stragglerWait)
			defer t.Stop()
			most = t.C
		}
	}
	if !set.Quorum(answered) {
		return nil, code.New(code.CoreUnreachable, "%d of %d core machines answered", len(answered), len(cores))
	}
	return all, nil
}

// stragglerWait is how long a core machine that is slower than a majority is waited for.
const stragglerWait = 50 * time.Millisecond

// unconfirmed lists the nodes that could still act on a version older than ver. It
// is none where the stores are the fence: so many have confirmed that no key
// finds a majority below it, and what was looked at before is too old by now.
func (c *Core) unconfirmed(ctx context.Context, ver uint64, confirmed map[string]bool) ([]string, error) {
	all, err := c.knownMembers(ctx)
	if err != nil {
		return nil, err
	}
	// The fence's time runs while the silent are asked for.
	var over <-chan time.Time
	if c.fencedByStores(all, ver, confirmed) {
		t := time.NewTimer(storeclient.ReadWindow)
		defer t.Stop()
		over = t.C
	}
	type probed struct {
		id  string
		yes bool
	}
	ch := make(chan probed, len(all))
	n := 0
	for _, m := range all {
		if m.SpecVer >= ver || confirmed[m.Id] {
			continue
		}
		n++
		go func() {
			// A refused port: the process is gone, and a new one reads the
			// spec at a majority before it serves.
			ch <- probed{m.Id, c.portRefused(ctx, m.Addr)}
		}()
	}
	out := []string{}
	for range n {
		select {
		case g := <-ch:
			if !g.yes {
				out = append(out, g.id)
			}
		case <-over:
			return []string{}, nil
		}
	}
	slices.Sort(out)
	if len(out) > 0 && over != nil {
		select {
		case <-over:
			return []string{}, nil
		case <-ctx.Done():
		}
	}
	return out, nil
}

// fencedByStores tells whether in neither set of stores could those that have not confirmed ver
// make a majority of some key's copies.
func (c *Core) fencedByStores(known map[string]*wire.Member, ver uint64, confirmed map[string]bool) bool {
	v := c.Cluster.Now()
	return membership.Fenced(&v.Cluster, func(m spec.Machine) bool {
		member := known[m.ID+"@"+m.Addr]
		return member.GetIdent() == m.Ident && (member.GetSpecVer() >= ver || confirmed[m.ID])
	})
}

// has tells whether a set has a machine of that identity.
func has(set []spec.Machine, ident string) bool { return membership.Has(set, ident) }
