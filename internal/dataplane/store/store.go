// Package store is the data plane's store role: a voter of the registers whose
// keys it holds, and a keeper of turns.
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
	v        *storage.Engine
	acc      *register.Acceptor
	cool     *cooldowns
	repaired atomic.Int64 // keys taken from other stores
	fills    fills
	// operationRetention, if set, is how long operations are kept after their last change.
	operationRetention time.Duration
}

// New makes a store over its engine.
func New(np node.Params, v *storage.Engine) (*Store, error) {
	np.Persist = core.PersistCluster(v.SaveMetadata)
	c, err := newCooldowns(v)
	if err != nil {
		return nil, err
	}
	s := &Store{
		Node:  node.New(np),
		v:     v,
		acc:   register.NewAcceptor(c),
		cool:  c,
		fills: fills{ready: make(chan struct{})},
	}
	if err := core.RestoreCluster(v.LoadMetadata, s.Cluster); err != nil {
		return nil, err
	}
	if err := core.RestoreIdentityVersion(s.Node, v); err != nil {
		return nil, err
	}
	core.ServeRegister(
		s.Node,
		s.acc,
		func(q *wire.Req) error { return core.CheckVersion(s.Node, q) },
		func() []spec.Machine {
			v := s.Cluster.Now()
			return slices.Concat(v.Cluster.Stores, v.NextStores)
		},
	)
	s.FreshFolder = v.FolderState().Opened == 0
	s.Lease.Disk = func() lease.DiskState { return core.DiskState(v) }
	s.Peer.Handle(&wire.Req_Put{}, s.put)
	s.Peer.Handle(&wire.Req_Get{}, s.get)
	s.Peer.Handle(&wire.Req_Cools{}, s.cools)
	s.Peer.Handle(&wire.Req_Sum{}, s.answerSums)
	s.Peer.Handle(&wire.Req_List{}, s.answerList)
	s.Peer.Handle(&wire.Req_Fill{}, s.fill)
	s.Peer.Handle(&wire.Req_Bulk{}, s.bulk)
	return s, nil
}

// KeepOperations sets how long operations of proxied requests are kept after their last
// change, in place of what the spec says. It is called before Start.
func (s *Store) KeepOperations(d time.Duration) { s.operationRetention = d }

// retention is how long a register is kept after its last change; 0 is for good.
func (s *Store) retention(key string) time.Duration {
	if s.operationRetention > 0 && strings.HasPrefix(key, keys.OperationPrefix) {
		return s.operationRetention
	}
	return s.Cluster.Now().Spec.StateKeep(key)
}

// RepairInterval is the time between two comparisons with another store.
const RepairInterval = 3 * time.Second

// Repaired counts the keys taken from other stores.
func (s *Store) Repaired() int64 { return s.repaired.Load() }

// MaxKeyBytes bounds a key; longer ones are refused before the disk sees them.
const MaxKeyBytes = 512

func (s *Store) put(_ context.Context, q *wire.Req) (*wire.Resp, error) {
	defer s.Gate.Begin()()
	if err := core.CheckVersion(s.Node, q); err != nil {
		return nil, err
	}
	p := q.GetPut()
	if len(p.Key) == 0 || len(p.Key) > MaxKeyBytes || p.KeepMs <= 0 {
		return nil, code.New(code.Garbled, "key of %d bytes, keep of %d ms", len(p.Key), p.KeepMs)
	}
	return nil, s.v.PutBlob(p.Key, p.Val, time.Duration(p.KeepMs)*time.Millisecond)
}

func (s *Store) get(_ context.Context, q *wire.Req) (*wire.Resp, error) {
	if err := core.CheckVersion(s.Node, q); err != nil {
		return nil, err
	}
	g, err := s.v.GetBlob(q.GetGet().GetKey())
	if err != nil {
		return nil, err
	}
	return &wire.Resp{Op: &wire.Resp_Got{Got: g}}, nil
}

// Start listens and joins. It returns once the store is a member.
func (s *Store) Start(ctx context.Context) error {
	if err := s.Peer.Serve(ctx); err != nil {
		return err
	}
	if s.Cluster.Now().Version == 0 {
		if err := s.Discover(ctx); err != nil {
			return err
		}
		if err := core.SaveIdentityVersion(s.Node, s.v, s.Cluster.Now().Version); err != nil {
			return err
		}
	}
	core.ReplaceOutdatedFolder(s.Node, s.v, s.forget)
	if err := s.Join(ctx); err != nil {
		return err
	}
	s.Run(ctx)
	s.fills.ctx = ctx
	close(s.fills.ready)
	s.Go(ctx, s.adoptSetAside)
	s.Go(ctx, func(ctx context.Context) { core.WatchRemoval(ctx, s.Node, s.v, s.forget) })
	s.Go(ctx, func(ctx context.Context) {
		loop.Every(ctx, 5*time.Second, nil, func(context.Context) {
			if err := s.v.Tick(); err != nil {
				s.Log.Error("uptime not saved", "err", err)
			}
		})
	})
	s.Go(ctx, func(ctx context.Context) {
		loop.Every(ctx, time.Second, nil, func(context.Context) { s.v.MeasureDisk() })
	})
	s.Go(ctx, func(ctx context.Context) { loop.Every(ctx, time.Minute, nil, s.expireBlobs) })
	s.Go(ctx, func(ctx context.Context) {
		loop.Every(ctx, expireInterval, nil, func(context.Context) { s.expire() })
	})
	s.Go(ctx, func(ctx context.Context) { loop.Every(ctx, RepairInterval, nil, s.repair) })
	return nil
}

// adoptSetAside takes over the blobs of a folder that was put back from a copy.
func (s *Store) adoptSetAside(ctx context.Context) {
	loop.Every(ctx, adoptInterval, nil, func(ctx context.Context) {
		switch n, err := s.v.AdoptSetAside(ctx); {
		case err != nil:
			s.Log.Warn("blobs set aside not taken over yet", "taken", n, "err", err)
		case n > 0:
			s.Log.Info("blobs set aside taken over", "blobs", n)
		}
	})
}

// adoptInterval is the time between two checks for data set aside.
const adoptInterval = 5 * time.Second

func (s *Store) expireBlobs(context.Context) {
	e, f, err := s.v.ExpireBlobs()
	if err != nil {
		s.Log.Error("expiry of blobs failed", "err", err)
	} else if e+f > 0 {
		s.Log.Info("turns past their time", "emptied", e, "forgotten", f)
	}
}

// expireInterval is the time between two sweeps over the registers.
const expireInterval = 10 * time.Second

// maxExpired bounds what one sweep lets go, so that traffic goes first.
const maxExpired = 5000

// expire empties registers past their keeping times, and forgets those that have
// been empty for long.
func (s *Store) expire() {
	expired, err := s.v.OlderThan(maxExpired, s.retention)
	n := 0
	for _, k := range expired {
		keep := s.retention(k)
		did, ferr := s.acc.Expire(k, func(r *wire.Rec) (past, withValue bool) {
			if r.AtMs == 0 {
				// Dated by being written again, as it is.
				if err == nil {
					err = s.v.Save(k, r)
				}
				return false, false
			}
			d := s.v.Age(r)
			if strings.HasPrefix(k, keys.OperationPrefix) {
				// They are far more than all other registers, and nobody asks for one past
				// its window: none is remembered as past.
				return false, d > keep
			}
			return d > keep, d > s.v.TombstoneRetention() && (r.Cell.GetPast() || r.Accepted == nil)
		}, s.v.DeleteRegister)
		if did {
			n++
		}
		if err = errors.Join(err, ferr); err != nil {
			break
		}
	}
	if err != nil {
		s.Log.Error("expired state not removed", "err", err)
	} else if n > 0 {
		s.Log.Info("expired state removed", "keys", n)
	}
}
