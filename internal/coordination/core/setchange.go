package core

import (
	"context"
	"errors"
	"fmt"
	"time"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/membership"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// A change of a set has three steps. The register first holds both sets, and every quorum is a
// majority of each. Then all keys are transferred to the machines of the new set that lack them.
// Finally the new set remains alone. Each step is idempotent, so it does not matter which core
// executes it or whether several do.

// isReconciler reports whether this core runs the reconcilers.
func (c *Core) isReconciler(view *cluster.View) bool {
	self := memberFromWire(c.Peer.Member(0))
	return membership.IsReconciler(&view.Cluster, self.Machine, c.members(membership.Cores.Role())) && c.Lease.Valid()
}

// advanceChange takes a change of a set one step further: it transfers the keys to the next set,
// which then becomes the only one. It need not wait for every machine: before the change proceeds,
// a majority of the old set rejects requests that act on that set alone. The cores do so because
// they have confirmed the change; the stores do so for each moved key because they have sent their
// copies of it under the change.
func (c *Core) advanceChange(ctx context.Context, view *cluster.View, set membership.Set, change membership.Change) {
	var ready bool
	if set == membership.Cores {
		ready = c.coresConfirmed(view)
	} else {
		ready = c.keysTransferred(ctx, view, change)
	}
	if ready {
		c.finishChange(ctx, set, change)
	}
}

// coresConfirmed reports whether a majority of the old cores has the change in force. The spec is
// the only register of the cores, and finishing the change writes it to both sets.
func (c *Core) coresConfirmed(view *cluster.View) bool {
	versions := map[string]uint64{c.Peer.Ident(): c.Cluster.Now().Version}
	for _, m := range c.members(membership.Cores.Role()) {
		ident := m.Machine.Ident
		versions[ident] = max(versions[ident], m.Confirmed)
	}
	return membership.Confirmed(view.Cluster.Cores, versions, view.CoresVersion)
}

// keysTransferred transfers the keys to the next stores and reports whether all are transferred. It
// runs at each renewal, so a failed attempt is not retried before retryInterval has elapsed.
func (c *Core) keysTransferred(ctx context.Context, view *cluster.View, change membership.Change) bool {
	if time.Since(c.reconciler.lastTransferFailure) < retryInterval {
		return false
	}
	if err := c.transferKeys(ctx, view, change); err != nil {
		moved := c.reconciler.keysMoved.Load()
		c.Log.Info("keys not transferred yet", "set", membership.Stores, "moved", moved, "err", err)
		c.reconciler.lastTransferFailure = time.Now()
		return false
	}
	return true
}

// transferTimeout is how long one call waits for a store to receive its keys. The transfer
// continues after the timeout.
const transferTimeout = 2 * time.Second

// transferKeys makes each store of the next set fetch the keys that it receives.
func (c *Core) transferKeys(ctx context.Context, view *cluster.View, change membership.Change) error {
	type answer struct {
		ack *wire.FillAck
		err error
	}
	rate := c.params.MoveRate
	if view.SelfManaged {
		// Restoring the redundancy of a set that lacks a machine takes priority over the latency of
		// the traffic.
		rate = 0
	}
	receivers := change.Receivers(view.Copies())
	answers := make(chan answer, len(receivers))
	for _, m := range receivers {
		go func() {
			fill := &wire.Fill{Spec: view.StoresVersion, Sets: view.StoresDigest(), Rate: int32(rate)}
			response, err := c.Peer.CallWithTimeout(
				ctx,
				transferTimeout+time.Second,
				m.Addr,
				&wire.Req{Ident: m.Ident, Op: &wire.Req_Fill{Fill: fill}},
			)
			if err != nil {
				err = fmt.Errorf("%s: %w", m.ID, err)
			}
			answers <- answer{response.GetFill(), err}
		}()
	}
	var keys int64
	var lastErr error
	for range receivers {
		reply := <-answers
		keys += reply.ack.GetKeys()
		switch {
		case reply.err != nil:
			lastErr = reply.err
		case !reply.ack.GetWhole():
			lastErr = code.New(code.SetChanging, "keys are on their way")
		}
	}
	c.reconciler.keysMoved.Store(keys)
	return lastErr
}

// finishTimeout bounds the change of the register that finishes a change of a set.
const finishTimeout = 3 * time.Second

// finishChange makes the next set the only one.
func (c *Core) finishChange(ctx context.Context, set membership.Set, change membership.Change) {
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	version, raw, err := c.Cluster.Change(ctx, 0, func(updated *spec.Cluster) error {
		return membership.FinishChange(updated, set, change)
	})
	if err != nil {
		if !errors.Is(err, cluster.ErrNoChange) {
			c.Log.Warn("failed to finish set change", "set", set, "err", err)
		}
		return
	}
	moved := c.reconciler.keysMoved.Load()
	c.Log.Info("set change finished", "set", set, "version", version, "machines", len(change.Next), "moved", moved)
	c.broadcastAsync(ctx, version, raw)
}

// broadcastAsync broadcasts a version in the background.
func (c *Core) broadcastAsync(ctx context.Context, version uint64, raw []byte) {
	ctx = context.WithoutCancel(ctx)
	c.Go(ctx, func(ctx context.Context) { c.broadcastSpec(ctx, version, raw) })
}
