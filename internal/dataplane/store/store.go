// Package store is the data plane's store role: an acceptor for the registers whose keys
// it holds, and the storage of turns as blobs.
package store

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"damsontiller/internal/coordination/core"
	"damsontiller/internal/coordination/lease"
	"damsontiller/internal/coordination/node"
	"damsontiller/internal/proto/keys"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/state/storage"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// Store is one store process.
type Store struct {
	*node.Node
	engine    *storage.Engine
	acceptor  *register.Acceptor
	cooldowns *cooldowns
	repaired  atomic.Int64 // keys pulled from other stores
	transfers transfers
	// operationRetention, if positive, overrides the spec's retention of operations, counted
	// from their last change.
	operationRetention time.Duration
}

// New returns a store on top of a storage engine.
func New(params node.Params, engine *storage.Engine) (*Store, error) {
	params.Persist = core.PersistCluster(engine.SaveMetadata)
	c, err := newCooldowns(engine)
	if err != nil {
		return nil, err
	}
	s := &Store{
		Node:      node.New(params),
		engine:    engine,
		acceptor:  register.NewAcceptor(c),
		cooldowns: c,
		transfers: transfers{ready: make(chan struct{})},
	}
	if err := core.RestoreCluster(engine.LoadMetadata, s.Cluster); err != nil {
		return nil, err
	}
	if err := core.RestoreIdentityVersion(s.Node, engine); err != nil {
		return nil, err
	}
	core.ServeRegister(
		s.Node,
		s.acceptor,
		func(q *wire.Req) error { return core.CheckVersion(s.Node, q) },
		func() []spec.Machine {
			v := s.Cluster.Now()
			return slices.Concat(v.Cluster.Stores, v.NextStores)
		},
	)
	s.FreshFolder = engine.FolderState().Opened == 0
	s.Lease.Disk = func() lease.DiskState { return core.DiskState(engine) }
	s.Peer.Handle(&wire.Req_Put{}, s.put)
	s.Peer.Handle(&wire.Req_Get{}, s.get)
	s.Peer.Handle(&wire.Req_Cools{}, s.handleCooldowns)
	s.Peer.Handle(&wire.Req_Sum{}, s.handleSum)
	s.Peer.Handle(&wire.Req_List{}, s.handleList)
	s.Peer.Handle(&wire.Req_Fill{}, s.handleFill)
	s.Peer.Handle(&wire.Req_Bulk{}, s.handleBulk)
	return s, nil
}

// KeepOperations overrides the spec's retention of operations of proxied requests, counted
// from their last change. It must be called before Start.
func (s *Store) KeepOperations(d time.Duration) { s.operationRetention = d }

// retention returns how long a register is kept after its last change; 0 means forever.
func (s *Store) retention(key string) time.Duration {
	if s.operationRetention > 0 && strings.HasPrefix(key, keys.OperationPrefix) {
		return s.operationRetention
	}
	return s.Cluster.Now().Spec.StateKeep(key)
}

// RepairInterval is the interval between comparisons with other stores.
const RepairInterval = 3 * time.Second

// Repaired returns the number of keys pulled from other stores so far.
func (s *Store) Repaired() int64 { return s.repaired.Load() }

// MaxKeyBytes is the largest length of a key; longer ones are rejected before any disk access.
const MaxKeyBytes = 512

// put stores a blob.
func (s *Store) put(_ context.Context, q *wire.Req) (*wire.Resp, error) {
	defer s.Gate.Begin()()
	if err := core.CheckVersion(s.Node, q); err != nil {
		return nil, err
	}
	p := q.GetPut()
	if len(p.Key) == 0 || len(p.Key) > MaxKeyBytes || p.KeepMs <= 0 {
		return nil, code.New(code.Garbled, "key of %d bytes, keep of %d ms", len(p.Key), p.KeepMs)
	}
	return nil, s.engine.PutBlob(p.Key, p.Val, time.Duration(p.KeepMs)*time.Millisecond)
}

// get returns a blob.
func (s *Store) get(_ context.Context, q *wire.Req) (*wire.Resp, error) {
	if err := core.CheckVersion(s.Node, q); err != nil {
		return nil, err
	}
	g, err := s.engine.GetBlob(q.GetGet().GetKey())
	if err != nil {
		return nil, err
	}
	return &wire.Resp{Op: &wire.Resp_Got{Got: g}}, nil
}

// Start listens, joins the cluster and starts the background tasks. It returns once the
// store is a member.
func (s *Store) Start(ctx context.Context) error {
	if err := s.Peer.Serve(ctx); err != nil {
		return err
	}
	if s.Cluster.Now().Version == 0 {
		if err := s.Discover(ctx); err != nil {
			return err
		}
		if err := core.SaveIdentityVersion(s.Node, s.engine, s.Cluster.Now().Version); err != nil {
			return err
		}
	}
	core.ReplaceOutdatedFolder(s.Node, s.engine, s.resetState)
	if err := s.Join(ctx); err != nil {
		return err
	}
	s.Run(ctx)
	s.transfers.ctx = ctx
	close(s.transfers.ready)
	s.Go(ctx, s.adoptSetAside)
	s.Go(ctx, func(ctx context.Context) { core.WatchRemoval(ctx, s.Node, s.engine, s.resetState) })
	s.Go(ctx, func(ctx context.Context) {
		loop.Every(ctx, 5*time.Second, nil, func(context.Context) {
			if err := s.engine.SaveUptime(); err != nil {
				s.Log.Error("failed to save uptime", "err", err)
			}
		})
	})
	s.Go(ctx, func(ctx context.Context) {
		loop.Every(ctx, time.Second, nil, func(context.Context) { s.engine.MeasureDisk() })
	})
	s.Go(ctx, func(ctx context.Context) { loop.Every(ctx, time.Minute, nil, s.expireBlobs) })
	s.Go(ctx, func(ctx context.Context) {
		loop.Every(ctx, expireInterval, nil, func(context.Context) { s.expire() })
	})
	s.Go(ctx, func(ctx context.Context) { loop.Every(ctx, RepairInterval, nil, s.repair) })
	return nil
}

// adoptSetAside imports the blobs that were set aside when the data directory was restored
// from a copy.
func (s *Store) adoptSetAside(ctx context.Context) {
	loop.Every(ctx, adoptInterval, nil, func(ctx context.Context) {
		switch n, err := s.engine.ImportRetiredBlobs(ctx); {
		case err != nil:
			s.Log.Warn("import of blobs set aside is incomplete", "taken", n, "err", err)
		case n > 0:
			s.Log.Info("imported blobs set aside", "blobs", n)
		}
	})
}

// adoptInterval is the interval between checks for blobs set aside.
const adoptInterval = 5 * time.Second

// expireBlobs removes the values of expired blobs, and later their keys.
func (s *Store) expireBlobs(context.Context) {
	emptied, deleted, err := s.engine.ExpireBlobs()
	if err != nil {
		s.Log.Error("failed to expire blobs", "err", err)
	} else if emptied+deleted > 0 {
		s.Log.Info("expired blobs", "emptied", emptied, "forgotten", deleted)
	}
}

// expireInterval is the interval between sweeps over the registers.
const expireInterval = 10 * time.Second

// maxExpired bounds the registers expired per sweep, so that expiry doesn't delay traffic.
const maxExpired = 5000

// expire removes the values of registers past their retention, and deletes the registers
// whose tombstones are past theirs.
func (s *Store) expire() {
	expired, err := s.engine.RegistersOlderThan(maxExpired, s.retention)
	n := 0
	for _, k := range expired {
		keep := s.retention(k)
		expiredHere, expireErr := s.acceptor.Expire(k, func(r *wire.Rec) (expireValue, deleteRecord bool) {
			if r.AtMs == 0 {
				// An undated record: saving it unchanged sets its date.
				if err == nil {
					err = s.engine.Save(k, r)
				}
				return false, false
			}
			d := s.engine.Age(r)
			if strings.HasPrefix(k, keys.OperationPrefix) {
				// Operations outnumber all other registers by far, and none is requested past
				// its retention: they are deleted without a tombstone.
				return false, d > keep
			}
			return d > keep, d > s.engine.TombstoneRetention() && (r.Cell.GetPast() || r.Accepted == nil)
		}, s.engine.DeleteRegister)
		if expiredHere {
			n++
		}
		if err = errors.Join(err, expireErr); err != nil {
			break
		}
	}
	if err != nil {
		s.Log.Error("failed to remove expired registers", "err", err)
	} else if n > 0 {
		s.Log.Info("removed expired registers", "keys", n)
	}
}
