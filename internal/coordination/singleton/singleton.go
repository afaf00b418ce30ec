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
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// Fence remembers the highest epoch of a duty seen here.
type Fence struct {
	mu  sync.Mutex
	top uint64
	at  time.Time
}

// Pass refuses an epoch below the highest seen.
func (f *Fence) Pass(epoch uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if epoch < f.top {
		return code.New(code.OldEpoch, "epoch %d, %d has been seen", epoch, f.top)
	}
	f.top, f.at = epoch, time.Now()
	return nil
}

// See remembers an epoch that somebody else has seen.
func (f *Fence) See(epoch uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.top = max(f.top, epoch)
}

// Top is the highest epoch seen.
func (f *Fence) Top() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.top
}

// Heard takes another's word that it heard a good epoch so long ago.
func (f *Fence) Heard(quiet time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := time.Now().Add(-quiet); at.After(f.at) {
		f.at = at
	}
}

// Quiet is how long nobody with a good epoch has been heard.
func (f *Fence) Quiet() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.at.IsZero() {
		return 1 << 62
	}
	return time.Since(f.at)
}

// Duty is one duty as seen by one member.
type Duty struct {
	Name    string
	Peer    *peer.Peer
	Cluster *cluster.Cluster
	Lic     *lease.Holder
	Tier    *storeclient.Tier
	Fence   *Fence
	// Work does the duty until ctx ends.
	Work func(ctx context.Context, epoch uint64)
	// Silence after which a successor looks whether the holder's port is gone.
	Silence time.Duration

	stop  context.CancelFunc
	ended chan struct{}
	epoch uint64

	mu    sync.Mutex
	asked time.Time // before the last look that showed our epoch as the last
}

// Since is how long ago our epoch was surely the last.
func (d *Duty) Since() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.asked.IsZero() {
		return 1 << 62
	}
	return time.Since(d.asked)
}

func (d *Duty) sure(asked time.Time) {
	d.mu.Lock()
	d.asked = asked
	d.mu.Unlock()
}

// confirm looks whether our epoch is still the last.
func (d *Duty) confirm(ctx context.Context) {
	asked := time.Now()
	ctx, stop := context.WithTimeout(ctx, 500*time.Millisecond)
	defer stop()
	st, err := d.Tier.Read(ctx, d.key())
	if err != nil {
		return
	}
	if st.Ver == d.epoch {
		d.sure(asked)
	}
	d.Fence.See(st.Ver)
}

func (d *Duty) key() string { return "duty/" + d.Name }

// Order lists the live edge members; those in emptied zones come last.
func Order(v *cluster.View, ms []*wire.Member) []*wire.Member {
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

// Run takes and leaves the duty until ctx ends.
func (d *Duty) Run(ctx context.Context) {
	loop.Every(ctx, 250*time.Millisecond, d.Cluster.Watch(), d.step)
	d.leave()
}

func (d *Duty) step(ctx context.Context) {
	// Whoever holds it goes on until a higher epoch shows that another has taken
	// it: leaving before would be leaving it to nobody.
	mine := d.stop == nil && d.mine(ctx)
	if d.stop != nil {
		d.confirm(ctx)
	}
	// A higher epoch has been seen: nobody listens to ours any more. Whose turn
	// it is takes the duty anew, under one that is higher still.
	if d.stop != nil && d.Fence.Top() > d.epoch {
		d.leave()
	}
	if mine && d.stop == nil {
		d.take(ctx)
	}
}

// mine: the first live member has the duty. A first one that nobody within reach
// has heard of late, and that does not answer, is passed over before its lease
// ends. Should it only be slow, the epoch keeps the two apart.
func (d *Duty) mine(ctx context.Context) bool {
	o := Order(d.Cluster.Now(), d.Lic.Members())
	for _, m := range o {
		if m.Id == d.Peer.Self.Id {
			// Without a lease our list is old, and whoever is first by the
			// others' lists goes on; unless nobody does, as without the core.
			return d.Lic.Valid() || d.Fence.Quiet() >= d.Silence
		}
		if d.Fence.Quiet() < d.Silence || answers(ctx, d.Peer, m.Addr) == nil {
			return false
		}
	}
	return false
}

// Gone tells whether nobody listens at addr any more.
func Gone(ctx context.Context, p *peer.Peer, addr string) bool {
	return errors.Is(answers(ctx, p, addr), transport.ErrRefused)
}

func answers(ctx context.Context, p *peer.Peer, addr string) error {
	_, err := p.CallFor(ctx, 200*time.Millisecond, addr, &wire.Req{Op: &wire.Req_Hello{Hello: &wire.Hello{}}})
	return err
}

func (d *Duty) take(ctx context.Context) {
	cctx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	asked := time.Now()
	st, err := d.Tier.Change(cctx, d.key(), func(register.State) ([]byte, bool, error) {
		return []byte(d.Peer.Self.Id), false, nil
	})
	if err != nil {
		d.Peer.Log.Warn("duty can't be taken", "duty", d.Name, "err", err)
		return
	}
	if d.Fence.Pass(st.Ver) != nil {
		return
	}
	d.Peer.Log.Info("duty taken", "duty", d.Name, "epoch", st.Ver)
	wctx, wstop := context.WithCancel(ctx)
	d.stop, d.ended, d.epoch = wstop, make(chan struct{}), st.Ver
	d.sure(asked)
	go func(ended chan struct{}) {
		defer close(ended)
		d.Work(wctx, st.Ver)
	}(d.ended)
}

func (d *Duty) leave() {
	if d.stop == nil {
		return
	}
	d.stop()
	<-d.ended
	d.stop = nil
	d.Peer.Log.Info("duty left", "duty", d.Name)
}
