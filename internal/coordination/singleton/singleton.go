// Package singleton runs a singleton role at the first live member in an agreed order,
// under an epoch from a register at the stores, so that the role survives the loss of
// the core. Every member remembers the highest epoch it has seen as a fencing token and
// refuses lower ones, so no two holders can both act.
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

// EpochGuard remembers the highest epoch of a singleton role that this node has seen, as a
// fencing token. Its methods may be called concurrently.
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

// Observe remembers an epoch that another node has seen.
func (guard *EpochGuard) Observe(epoch uint64) {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	guard.highest = max(guard.highest, epoch)
}

// Highest is the highest epoch seen.
func (guard *EpochGuard) Highest() uint64 {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	return guard.highest
}

// ObserveContact takes another node's report of how long ago a holder with a valid epoch
// contacted it.
func (guard *EpochGuard) ObserveContact(quiet time.Duration) {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	if at := time.Now().Add(-quiet); at.After(guard.contactAt) {
		guard.contactAt = at
	}
}

// SinceContact is how long ago a holder with a valid epoch was last in contact.
func (guard *EpochGuard) SinceContact() time.Duration {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	if guard.contactAt.IsZero() {
		return 1 << 62
	}
	return time.Since(guard.contactAt)
}

// Role is a singleton role as one member takes part in it.
type Role struct {
	Name    string
	Peer    *peer.Peer
	Cluster *cluster.Cluster
	Lease   *lease.Holder
	Stores  *storeclient.Client
	Epochs  *EpochGuard
	// Work does the role until ctx ends.
	Work func(ctx context.Context, epoch uint64)
	// SuspectAfter after which a successor checks whether the holder's port is closed.
	SuspectAfter time.Duration

	stop  context.CancelFunc
	ended chan struct{}
	epoch uint64

	mu          sync.Mutex
	confirmedAt time.Time // before the last check that showed our epoch as the last
}

// SinceConfirmed is how long ago our epoch was certainly the latest.
func (role *Role) SinceConfirmed() time.Duration {
	role.mu.Lock()
	defer role.mu.Unlock()
	if role.confirmedAt.IsZero() {
		return 1 << 62
	}
	return time.Since(role.confirmedAt)
}

func (role *Role) markConfirmed(asked time.Time) {
	role.mu.Lock()
	role.confirmedAt = asked
	role.mu.Unlock()
}

// confirm checks whether our epoch is still the latest.
func (role *Role) confirm(ctx context.Context) {
	asked := time.Now()
	ctx, stop := context.WithTimeout(ctx, 500*time.Millisecond)
	defer stop()
	st, err := role.Stores.Read(ctx, role.key())
	if err != nil {
		return
	}
	if st.Version == role.epoch {
		role.markConfirmed(asked)
	}
	role.Epochs.Observe(st.Version)
}

func (role *Role) key() string { return keys.Singleton(role.Name) }

// SuccessionOrder lists the live edges in the order in which they take the role; those in emptied
// zones come last.
func SuccessionOrder(v *cluster.View, ms []*wire.Member) []*wire.Member {
	var out []*wire.Member
	for _, m := range ms {
		if m.Live && m.Role == "edge" {
			out = append(out, m)
		}
	}
	sort.SliceStable(out, func(i, j int) bool {
		a, b := v.Spec.Empty(out[i].Zone), v.Spec.Empty(out[j].Zone)
		if a != b {
			return b
		}
		return out[i].Id < out[j].Id
	})
	return out
}

// Run acquires and releases the role until ctx ends.
func (role *Role) Run(ctx context.Context) {
	loop.Every(ctx, 250*time.Millisecond, role.Cluster.Watch(), role.step)
	role.release()
}

func (role *Role) step(ctx context.Context) {
	// Whoever holds it goes on until a higher epoch shows that another has taken
	// it: leaving before would be leaving it to nobody.
	elected := role.stop == nil && role.isElected(ctx)
	if role.stop != nil {
		role.confirm(ctx)
	}
	// A higher epoch has been seen: nobody listens to ours any more. Whose turn
	// it is takes the role anew, under one that is higher still.
	if role.stop != nil && role.Epochs.Highest() > role.epoch {
		role.release()
	}
	if elected && role.stop == nil {
		role.acquire(ctx)
	}
}

// isElected reports whether this member is the first live one. A first one that no node in
// contact has seen of late, and that does not answer, is skipped before its lease ends.
// Should it only be slow, the epoch separates the two.
func (role *Role) isElected(ctx context.Context) bool {
	o := SuccessionOrder(role.Cluster.Now(), role.Lease.Members())
	for _, m := range o {
		if m.Id == role.Peer.Self.Id {
			// Without a lease our list is old, and whoever is first by the
			// others' lists goes on; unless nobody does, as without the core.
			return role.Lease.Valid() || role.Epochs.SinceContact() >= role.SuspectAfter
		}
		if role.Epochs.SinceContact() < role.SuspectAfter || ping(ctx, role.Peer, m.Addr) == nil {
			return false
		}
	}
	return false
}

// PortRefused reports whether no process listens at addr any more.
func PortRefused(ctx context.Context, p *peer.Peer, addr string) bool {
	return errors.Is(ping(ctx, p, addr), transport.ErrRefused)
}

func ping(ctx context.Context, p *peer.Peer, addr string) error {
	_, err := p.CallFor(ctx, 200*time.Millisecond, addr, &wire.Req{Op: &wire.Req_Hello{Hello: &wire.Hello{}}})
	return err
}

func (role *Role) acquire(ctx context.Context) {
	cctx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	asked := time.Now()
	st, err := role.Stores.Change(cctx, role.key(), func(register.State) ([]byte, bool, error) {
		return []byte(role.Peer.Self.Id), false, nil
	})
	if err != nil {
		role.Peer.Log.Warn("singleton role not acquired", "role", role.Name, "err", err)
		return
	}
	if role.Epochs.Admit(st.Version) != nil {
		return
	}
	role.Peer.Log.Info("singleton role acquired", "role", role.Name, "epoch", st.Version)
	wctx, wstop := context.WithCancel(ctx)
	role.stop, role.ended, role.epoch = wstop, make(chan struct{}), st.Version
	role.markConfirmed(asked)
	go func(ended chan struct{}) {
		defer close(ended)
		role.Work(wctx, st.Version)
	}(role.ended)
}

func (role *Role) release() {
	if role.stop == nil {
		return
	}
	role.stop()
	<-role.ended
	role.stop = nil
	role.Peer.Log.Info("singleton role released", "role", role.Name)
}
