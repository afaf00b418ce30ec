// Package core is the control plane: a voter of the spec register, the table
// of leases, and the operators' HTTP interface.
package core

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/lease"
	"damsontiller/internal/coordination/membership"
	"damsontiller/internal/coordination/node"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/loop"
)

// Disk is what a core machine keeps.
type Disk interface {
	register.Disk
	lease.Disk
	// Ident is the identity that the disk stands for. Renew puts all of it aside for
	// a new one.
	Ident() string
	ReplaceIdentity(why string) error
	// ReplaceIdentityKeepingBlobs does the same and keeps what the folder holds for ImportRetiredBlobs.
	ReplaceIdentityKeepingBlobs(why string) error
	// MeasureDisk measures the disk.
	MeasureDisk()
	DiskStates
	Lister
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

// Intervals of a core's background tasks.
const (
	diskCheckInterval = time.Second
	tableInterval     = time.Second
	bindInterval      = 500 * time.Millisecond
	reconcileInterval = 500 * time.Millisecond
)

// Core is one control-plane process.
type Core struct {
	*node.Node
	params         Params
	disk           Disk
	acceptor       *register.Acceptor
	table          *lease.Table
	startedAt      time.Time
	drainedVersion atomic.Uint64  // the change of the cores after which Gate was last waited for
	contact        contactTracker // since when this core has been in contact with a majority
	reconciler     reconcilerState
}

// reconcilerState is what the reconcilers of the two sets remember between their steps.
type reconcilerState struct {
	// wakeups has a reconciler check its set again at once. The map never changes.
	wakeups map[membership.Set]loop.Wakeup
	// outsiders are kept for each set. The map never changes.
	outsiders map[membership.Set]*outsiders
	// lastNewcomer is when a store that is in no set was last seen for the first time, in
	// Unix nanoseconds; knownIdentities are those seen so far.
	lastNewcomer    atomic.Int64
	knownIdentities sync.Map
	keysMoved       atomic.Int64 // in the change of a set under way
	// founded is when this very process formed the set; zero: it did not. It is set
	// before the reconcilers begin.
	founded time.Time
	// lastTransferFailure is when keys could last not be transferred. Only the stores'
	// reconciler uses it.
	lastTransferFailure time.Time
}

// New makes a core over its disk.
func New(p Params, np node.Params, d Disk) (*Core, error) {
	np.Persist = PersistCluster(d.SaveMetadata)
	c := &Core{params: p, disk: d, acceptor: register.NewAcceptor(d), Node: node.New(np), startedAt: time.Now()}
	c.reconciler.wakeups = map[membership.Set]loop.Wakeup{
		membership.Cores:  c.Cluster.Watch(),
		membership.Stores: c.Cluster.Watch(),
	}
	c.reconciler.outsiders = map[membership.Set]*outsiders{membership.Cores: {}, membership.Stores: {}}
	c.reconciler.lastNewcomer.Store(time.Now().UnixNano())
	c.FreshFolder = d.FolderState().Opened == 0
	c.Lease.BeforeRenewal = c.drain
	c.Lease.Disk = func() lease.DiskState { return DiskState(d) }
	var err error
	if c.table, err = lease.NewTable(np.Lease, d); err != nil {
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
	c.Peer.Handle(
		&wire.Req_List{},
		func(_ context.Context, q *wire.Req) (*wire.Resp, error) { return List(d, q.GetList(), nil) },
	)
	c.Peer.Handle(&wire.Req_Members{}, func(context.Context, *wire.Req) (*wire.Resp, error) {
		return &wire.Resp{
			Op: &wire.Resp_Members{
				Members: &wire.MembersAck{
					Members:    c.table.List(),
					UpMs:       time.Since(c.startedAt).Milliseconds(),
					Incomplete: c.table.Incomplete(),
				},
			},
		}, nil
	})
	return c, nil
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
	ReplaceOutdatedFolder(c.Node, c.disk, c.forget)
	if err := c.Join(ctx); err != nil {
		return err
	}
	c.Run(ctx)
	c.Go(ctx, func(ctx context.Context) {
		loop.Every(ctx, diskCheckInterval, nil, func(context.Context) { c.disk.MeasureDisk() })
	})
	c.Go(ctx, func(ctx context.Context) { loop.Every(ctx, tableInterval, nil, c.maintainTable) })
	c.Go(ctx, func(ctx context.Context) { loop.Every(ctx, bindInterval, nil, c.bindStores) })
	c.Go(ctx, func(ctx context.Context) { loop.Every(ctx, contactCheckInterval, nil, c.checkContact) })
	for set, wakeup := range c.reconciler.wakeups {
		c.Go(ctx, func(ctx context.Context) {
			loop.Every(ctx, reconcileInterval, wakeup, func(ctx context.Context) { c.reconcile(ctx, set) })
		})
	}
	c.Go(ctx, func(ctx context.Context) { WatchRemoval(ctx, c.Node, c.disk, c.forget) })
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
	// Leases were granted before this folder was there.
	if err := c.table.MarkIncomplete(); err != nil {
		return err
	}
	return SaveIdentityVersion(c.Node, c.disk, c.Cluster.Now().Version)
}
