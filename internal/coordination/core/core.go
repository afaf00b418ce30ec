// Package core implements the control plane: a voter of the spec register, the table of leases, and
// the operators' HTTP interface.
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

// Disk is the persistent storage of a core machine.
type Disk interface {
	register.Disk
	lease.Disk
	// Ident returns the identity recorded on the disk. ReplaceIdentity moves the data aside and
	// continues with an empty database under a new identity.
	Ident() string
	ReplaceIdentity(why string) error
	// ReplaceIdentityKeepingBlobs does the same, but keeps the data so that ImportRetiredBlobs can
	// import the blobs.
	ReplaceIdentityKeepingBlobs(why string) error
	// MeasureDisk measures the free disk space.
	MeasureDisk()
	DiskStatusReporter
	KeyLister
}

// Params are the settings of a core machine.
type Params struct {
	// Bootstrap is set to form the first set from Cores, Stores and Spec.
	Bootstrap bool
	Cores     []spec.Machine
	Stores    []spec.Machine
	Spec      *spec.Spec
	// InitialCoreAddrs are the addresses of the cores that form the first set if their names are
	// not known. The set starts without stores, and over Zones if there is no Spec; stores are
	// admitted when they appear.
	InitialCoreAddrs []string
	Zones            []string
	// Copies is the number of replicas of each key; 0 means 3.
	Copies int
	// MoveRate limits the keys moved per second during a change of a set.
	MoveRate int
	// AckTimeout is how long an operator's request waits for its acknowledgement.
	AckTimeout time.Duration
}

// Intervals of a core's background tasks.
const (
	diskCheckInterval  = time.Second
	leaseTableInterval = time.Second
	bindInterval       = 500 * time.Millisecond
	reconcileInterval  = 500 * time.Millisecond
)

// Core is one control-plane process.
type Core struct {
	*node.Node
	params         Params
	disk           Disk
	acceptor       *register.Acceptor
	table          *lease.Table
	startedAt      time.Time
	drainedVersion atomic.Uint64  // the CoresVersion for which Gate was last drained
	contact        contactTracker // how long this core has been in contact with a majority
	reconciler     reconcilerState
}

// reconcilerState is the state that the reconcilers of the two sets keep between steps.
type reconcilerState struct {
	// wakeups make a reconciler check its set immediately. The map is never modified.
	wakeups map[membership.Set]loop.Wakeup
	// nonMembers has a tracker for each set. The map is never modified.
	nonMembers map[membership.Set]*nonMemberTracker
	// lastNewStoreUnixNano is when a store outside the present and next set was last seen for the
	// first time, in Unix nanoseconds; seenIdentities holds the identities seen so far.
	lastNewStoreUnixNano atomic.Int64
	seenIdentities       sync.Map
	keysMoved            atomic.Int64 // in the current change of a set
	// bootstrappedAt is when this process formed the set; zero if it did not. It is set before the
	// reconcilers start.
	bootstrappedAt time.Time
	// lastTransferFailure is the time of the last failed key transfer. Only the reconciler of the
	// stores uses it.
	lastTransferFailure time.Time
}

// New creates a core that stores its state on the given disk.
func New(params Params, nodeParams node.Params, disk Disk) (*Core, error) {
	nodeParams.Persist = PersistCluster(disk.SaveMetadata)
	c := &Core{
		params:    params,
		disk:      disk,
		acceptor:  register.NewAcceptor(disk),
		Node:      node.New(nodeParams),
		startedAt: time.Now(),
	}
	c.reconciler.wakeups = map[membership.Set]loop.Wakeup{
		membership.Cores:  c.Cluster.Watch(),
		membership.Stores: c.Cluster.Watch(),
	}
	c.reconciler.nonMembers = map[membership.Set]*nonMemberTracker{membership.Cores: {}, membership.Stores: {}}
	c.reconciler.lastNewStoreUnixNano.Store(time.Now().UnixNano())
	c.FreshFolder = disk.FolderState().Opened == 0
	c.Lease.BeforeRenewal = c.drainAfterCoreChange
	c.Lease.Disk = func() lease.DiskState { return DiskState(disk) }
	var err error
	if c.table, err = lease.NewTable(nodeParams.Lease, disk); err != nil {
		return nil, err
	}
	if err := RestoreCluster(disk.LoadMetadata, c.Cluster); err != nil {
		return nil, err
	}
	if err := RestoreIdentityVersion(c.Node, disk); err != nil {
		return nil, err
	}
	ServeRegister(c.Node, c.acceptor, c.checkCoresVersion, func() []spec.Machine {
		view := c.Cluster.Now()
		if view.Version == 0 {
			// Before the first set exists, a caller that names this identity got it from this
			// machine and is forming the first set.
			return []spec.Machine{{Ident: c.Peer.Ident()}}
		}
		return slices.Concat(view.Cluster.Cores, view.NextCores)
	})
	c.Peer.Handle(&wire.Req_Renew{}, c.renew)
	c.Peer.Handle(
		&wire.Req_List{},
		func(_ context.Context, request *wire.Req) (*wire.Resp, error) {
			return ListKeys(disk, request.GetList(), nil)
		},
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

func (c *Core) renew(ctx context.Context, request *wire.Req) (*wire.Resp, error) {
	// A caller that acts on cores that have been replaced may be unknown to the present cores,
	// which wait for all nodes that could act on an older spec.
	if err := c.checkCoresVersion(&wire.Req{Spec: request.GetRenew().GetSelf().GetSpecVer()}); err != nil {
		return nil, err
	}
	response, err := c.table.Grant(ctx, request)
	if err != nil {
		return response, err
	}
	view := c.Cluster.Now()
	response.GetRenew().SpecVer = view.Version
	c.onRenewal(view, request.GetRenew().GetSelf())
	return response, nil
}

// Start listens, finds or forms the set and joins it. It returns once the core serves requests.
func (c *Core) Start(ctx context.Context) error {
	if err := c.Peer.Serve(ctx); err != nil {
		return err
	}
	if c.Cluster.Now().Version == 0 {
		if err := c.joinCluster(ctx); err != nil {
			return err
		}
	}
	ReplaceOutdatedFolder(c.Node, c.disk, c.resetDiskState)
	if err := c.Join(ctx); err != nil {
		return err
	}
	c.Run(ctx)
	c.Go(ctx, func(ctx context.Context) {
		loop.Every(ctx, diskCheckInterval, nil, func(context.Context) { c.disk.MeasureDisk() })
	})
	c.Go(ctx, func(ctx context.Context) { loop.Every(ctx, leaseTableInterval, nil, c.maintainLeaseTable) })
	c.Go(ctx, func(ctx context.Context) { loop.Every(ctx, bindInterval, nil, c.bindStores) })
	c.Go(ctx, func(ctx context.Context) { loop.Every(ctx, contactCheckInterval, nil, c.checkContact) })
	for set, wakeup := range c.reconciler.wakeups {
		c.Go(ctx, func(ctx context.Context) {
			loop.Every(ctx, reconcileInterval, wakeup, func(ctx context.Context) { c.reconcile(ctx, set) })
		})
	}
	c.Go(ctx, func(ctx context.Context) { WatchRemoval(ctx, c.Node, c.disk, c.resetDiskState) })
	return nil
}

// joinCluster forms the first set or finds the existing one, for a machine that does not know any
// yet. An identity that may be in the first set is recorded as created under version 0.
func (c *Core) joinCluster(ctx context.Context) error {
	vote, err := c.disk.Load(cluster.Key)
	if err != nil {
		return err
	}
	if len(c.initialCores()) > 0 {
		if err := SaveIdentityVersion(c.Node, c.disk, 0); err != nil {
			return err
		}
		return c.bootstrap(ctx)
	}
	if err := c.Discover(ctx); err != nil {
		return err
	}
	if vote.Promised != nil {
		return SaveIdentityVersion(c.Node, c.disk, 0)
	}
	// Leases may have been granted before this folder existed.
	if err := c.table.MarkIncomplete(); err != nil {
		return err
	}
	return SaveIdentityVersion(c.Node, c.disk, c.Cluster.Now().Version)
}
