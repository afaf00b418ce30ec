// Package singleton elects one member to run a singleton role: the first live member in an
// order that all members agree on. The holder acts under an epoch from a replicated register
// on the stores, so the role survives the loss of the core. Every member remembers the
// highest epoch it has seen as a fencing token and rejects lower ones, so two holders cannot
// both act.
package singleton

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/lease"
	"damsontiller/internal/coordination/peer"
	"damsontiller/internal/coordination/storeclient"
	"damsontiller/internal/proto/keys"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// Timeouts and intervals of the election.
const (
	stepInterval   = 250 * time.Millisecond
	confirmTimeout = 500 * time.Millisecond
	acquireTimeout = time.Second
	pingTimeout    = 200 * time.Millisecond
)

// never is reported as the time since an event that has not happened yet.
const never time.Duration = 1 << 62

// EpochGuard remembers the highest epoch of a singleton role that this node has seen and
// uses it as a fencing token. Its methods may be called concurrently.
type EpochGuard struct {
	mu        sync.Mutex
	highest   uint64
	contactAt time.Time
}

// Admit rejects an epoch below the highest seen, with code.OldEpoch.
func (guard *EpochGuard) Admit(epoch uint64) error {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	if epoch < guard.highest {
		return code.New(code.OldEpoch, "epoch %d, %d has been seen", epoch, guard.highest)
	}
	guard.highest, guard.contactAt = epoch, time.Now()
	return nil
}

// Observe records an epoch that another node has seen.
func (guard *EpochGuard) Observe(epoch uint64) {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	guard.highest = max(guard.highest, epoch)
}

// Highest returns the highest epoch seen.
func (guard *EpochGuard) Highest() uint64 {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	return guard.highest
}

// ObserveContact records another node's report of the time since a holder with a valid
// epoch contacted it.
func (guard *EpochGuard) ObserveContact(sinceContact time.Duration) {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	if at := time.Now().Add(-sinceContact); at.After(guard.contactAt) {
		guard.contactAt = at
	}
}

// SinceContact returns the time since a holder with a valid epoch was last in contact.
func (guard *EpochGuard) SinceContact() time.Duration {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	if guard.contactAt.IsZero() {
		return never
	}
	return time.Since(guard.contactAt)
}

// Role is one member's participation in the election for a singleton role.
type Role struct {
	Name    string
	Peer    *peer.Peer
	Cluster *cluster.Cluster
	Lease   *lease.Holder
	Stores  *storeclient.Client
	Epochs  *EpochGuard
	// Work performs the role's duties until ctx is canceled.
	Work func(ctx context.Context, epoch uint64)
	// SuspectAfter is the time without contact from the holder after which a successor
	// checks whether members before it in the order still answer.
	SuspectAfter time.Duration

	cancelWork context.CancelFunc // nil while this member does not hold the role
	workDone   chan struct{}
	epoch      uint64

	mu          sync.Mutex
	confirmedAt time.Time // start of the last check that showed this epoch to be the latest
}

// SinceConfirmed returns the time since this member's epoch was last known to be the latest.
func (role *Role) SinceConfirmed() time.Duration {
	role.mu.Lock()
	defer role.mu.Unlock()
	if role.confirmedAt.IsZero() {
		return never
	}
	return time.Since(role.confirmedAt)
}

// markConfirmed records a check begun at startedAt that showed this epoch to be the latest.
func (role *Role) markConfirmed(startedAt time.Time) {
	role.mu.Lock()
	role.confirmedAt = startedAt
	role.mu.Unlock()
}

// confirm checks whether this member's epoch is still the latest in the register.
func (role *Role) confirm(ctx context.Context) {
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	state, err := role.Stores.Read(ctx, role.key())
	if err != nil {
		return
	}
	if state.Version == role.epoch {
		role.markConfirmed(startedAt)
	}
	role.Epochs.Observe(state.Version)
}

// key is the key of the register that holds the role's epoch.
func (role *Role) key() string { return keys.Singleton(role.Name) }

// SuccessionOrder lists the live edges in the order in which they may acquire the role: by
// id, with members of drained zones last.
func SuccessionOrder(view *cluster.View, members []*wire.Member) []*wire.Member {
	var out []*wire.Member
	for _, m := range members {
		if m.Live && m.Role == "edge" {
			out = append(out, m)
		}
	}
	sort.SliceStable(out, func(i, j int) bool {
		drainedI, drainedJ := view.Spec.Empty(out[i].Zone), view.Spec.Empty(out[j].Zone)
		if drainedI != drainedJ {
			return drainedJ
		}
		return out[i].Id < out[j].Id
	})
	return out
}

// Run acquires and releases the role until ctx is canceled.
func (role *Role) Run(ctx context.Context) {
	loop.Every(ctx, stepInterval, role.Cluster.Watch(), role.step)
	role.release()
}

// step runs one round of the election.
func (role *Role) step(ctx context.Context) {
	// The holder keeps the role until a higher epoch shows that another member has
	// acquired it. Releasing it earlier would leave the role without a holder.
	elected := role.cancelWork == nil && role.isElected(ctx)
	if role.cancelWork != nil {
		role.confirm(ctx)
	}
	// Other members reject this epoch once they have seen a higher one. The elected member
	// then acquires the role again under a still higher epoch.
	if role.cancelWork != nil && role.Epochs.Highest() > role.epoch {
		role.release()
	}
	if elected && role.cancelWork == nil {
		role.acquire(ctx)
	}
}

// isElected reports whether this member is the first live member in the succession order. A
// member before it is skipped before its lease expires if no holder has been in contact for
// SuspectAfter and that member does not answer. If that member is merely slow, the epoch
// fences the older of the two holders.
func (role *Role) isElected(ctx context.Context) bool {
	successors := SuccessionOrder(role.Cluster.Now(), role.Lease.Members())
	for _, m := range successors {
		if m.Id == role.Peer.Self.Id {
			// Without a lease this member's list is outdated, so the first member in the
			// other members' lists keeps the role. If no holder has been in contact, as
			// when the core is down, this member acquires it anyway.
			return role.Lease.Valid() || role.Epochs.SinceContact() >= role.SuspectAfter
		}
		if role.Epochs.SinceContact() < role.SuspectAfter || ping(ctx, role.Peer, m.Addr) == nil {
			return false
		}
	}
	return false
}

// PortRefused reports whether the connection to addr is refused: no process listens there.
func PortRefused(ctx context.Context, p *peer.Peer, addr string) bool {
	return errors.Is(ping(ctx, p, addr), transport.ErrRefused)
}

// ping reports an error unless the process at addr answers within pingTimeout.
func ping(ctx context.Context, p *peer.Peer, addr string) error {
	_, err := p.CallWithTimeout(ctx, pingTimeout, addr, &wire.Req{Op: &wire.Req_Hello{Hello: &wire.Hello{}}})
	return err
}

// acquire writes this member's id to the register, which raises the epoch, and starts Work.
func (role *Role) acquire(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	startedAt := time.Now()
	state, err := role.Stores.Change(callCtx, role.key(), func(register.State) ([]byte, bool, error) {
		return []byte(role.Peer.Self.Id), false, nil
	})
	if err != nil {
		role.Peer.Log.Warn("singleton role not acquired", "role", role.Name, "err", err)
		return
	}
	if role.Epochs.Admit(state.Version) != nil {
		return
	}
	role.Peer.Log.Info("singleton role acquired", "role", role.Name, "epoch", state.Version)
	workCtx, cancelWork := context.WithCancel(ctx)
	role.cancelWork, role.workDone, role.epoch = cancelWork, make(chan struct{}), state.Version
	role.markConfirmed(startedAt)
	go func(done chan struct{}) {
		defer close(done)
		role.Work(workCtx, state.Version)
	}(role.workDone)
}

// release stops Work and waits for it to return.
func (role *Role) release() {
	if role.cancelWork == nil {
		return
	}
	role.cancelWork()
	<-role.workDone
	role.cancelWork = nil
	role.Peer.Log.Info("singleton role released", "role", role.Name)
}
