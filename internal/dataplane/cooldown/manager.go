// Package cooldown is the shared cooldown: one deadline for each protected call,
// seen by every session worker, installed for all by any worker's refusal.
// docs/cooldown.md names the source and says what was kept and what changed.
package cooldown

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"damsontiller/internal/coordination/node"
	"damsontiller/internal/coordination/storeclient"
	"damsontiller/internal/proto/keys"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// Params are the worker's times.
type Params struct {
	ReadTimeout  time.Duration // deadline of a read of the deadline
	WriteTimeout time.Duration // deadline of installing one
	CallTime     time.Duration // what a call itself needs after a wait
	Snapshot     SnapshotParams
	// Local leaves each node to its own refusals. It is here for the measure of
	// what sharing is worth; no program sets it.
	Local bool
}

// DefaultParams are the design's.
var DefaultParams = Params{
	ReadTimeout:  150 * time.Millisecond,
	WriteTimeout: time.Second,
	CallTime:     100 * time.Millisecond,
	Snapshot:     DefaultSnapshot,
}

// Manager reads and installs cooldowns for the workers of this node.
type Manager struct {
	params Params
	node   *node.Node
	stores *storeclient.Client

	mu sync.Mutex
	// until is what this node has seen, on its own clock. It only ever saves
	// a read: a deadline seen is in force, one not seen proves nothing.
	until map[string]time.Time
	// gates let few through first once a cooldown has ended.
	gates map[string]*gate
	// unwritten are refusals that could not be written yet.
	unwritten map[string]time.Time
	// snapshot is what the stores said of late; wrote is until when they have what this
	// node wrote, and writes what it is writing.
	snapshot     snapshot
	writtenUntil map[string]time.Time
	writes       map[string]*write
	// installs counts cooldowns written.
	installs uint64

	wakeup                   loop.Wakeup // asks the stores for their word
	active                   atomic.Bool // some cooldown or gate is known
	polls, reads, unverified atomic.Uint64
}

// New makes the manager and listens for what others spread.
func New(p Params, n *node.Node, t *storeclient.Client) *Manager {
	manager := &Manager{
		params:       p,
		node:         n,
		stores:       t,
		until:        map[string]time.Time{},
		gates:        map[string]*gate{},
		unwritten:    map[string]time.Time{},
		snapshot:     newSnapshot(),
		writtenUntil: map[string]time.Time{},
		writes:       map[string]*write{},
		wakeup:       loop.NewWakeup(),
	}
	n.Broadcast.Handle(keys.CooldownTopic, manager.onBroadcast)
	return manager
}

// KnownWait is the wait as far as this node knows without asking.
func (manager *Manager) KnownWait(key string) time.Duration {
	manager.mu.Lock()
	defer manager.mu.Unlock()
	return max(manager.remaining(key), 0)
}

// remaining is the wait by the latest deadline known.
func (manager *Manager) remaining(key string) time.Duration {
	u := manager.until[key]
	if e := manager.snapshot.observed[key].end(); e.After(u) {
		u = e
	}
	return time.Until(u)
}

func (manager *Manager) extend(key string, w time.Duration) {
	if w <= 0 {
		return
	}
	manager.mu.Lock()
	defer manager.mu.Unlock()
	manager.narrowGate(key)
	// A merge never shortens.
	if u := time.Now().Add(w); u.After(manager.until[key]) {
		manager.until[key] = u
	}
}

// Read reads the deadline at a majority. Without one there is no answer, and
// the call must not be made. It tells under which spec it looked.
func (manager *Manager) Read(ctx context.Context, key string) (time.Duration, uint64, error) {
	if w := manager.KnownWait(key); w > 0 || manager.params.Local {
		return w, manager.node.Cluster.Now().Version, nil
	}
	ctx, stop := context.WithTimeout(ctx, manager.params.ReadTimeout)
	defer stop()
	st, ver, err := manager.stores.ReadStrict(ctx, keys.Cooldown(key))
	if err != nil {
		return 0, ver, err
	}
	w, _, err := remainingOf(st)
	manager.extend(key, w)
	return w, ver, err
}

// Install puts a refusal in force for all and gives the wait. It returns once
// the cooldown is written, or once its writing has failed by the deadline; then
// it is spread by the tree, kept, and written when the tier is back.
func (manager *Manager) Install(ctx context.Context, key string, floor time.Duration) time.Duration {
	c := manager.node.Cluster.Now().Spec.Cooldown
	// This node stops at once, whatever becomes of the write.
	manager.extend(key, max(floor, c.First()))
	if manager.params.Local {
		return manager.KnownWait(key)
	}
	w, err := manager.write(ctx, key, floor)
	if err != nil {
		w = manager.KnownWait(key)
		manager.mu.Lock()
		manager.unwritten[key] = time.Now().Add(w)
		manager.mu.Unlock()
		manager.node.Log.Warn("cooldown kept until the stores are back", "key", key, "wait", w, "err", err)
	}
	manager.extend(key, w)
	manager.broadcast(key, w)
	return w
}

func (manager *Manager) write(ctx context.Context, key string, floor time.Duration) (time.Duration, error) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), manager.params.WriteTimeout)
	defer stop()
	c := manager.node.Cluster.Now().Spec.Cooldown
	var wait time.Duration
	st, err := manager.stores.Change(ctx, keys.Cooldown(key), func(st register.State) ([]byte, bool, error) {
		v, changed, err := nextValue(&c, st, floor)
		if err != nil {
			return nil, false, err
		}
		if !changed {
			wait, _, _ = remainingOf(st)
			return nil, false, errInForce
		}
		b, err := json.Marshal(v)
		return b, true, err
	})
	if errors.Is(err, errInForce) {
		manager.recordWritten(key, wait)
		return wait, nil
	}
	if err != nil {
		return 0, err
	}
	manager.mu.Lock()
	manager.installs++
	manager.mu.Unlock()
	wait, _, err = remainingOf(st)
	manager.recordWritten(key, wait)
	return wait, err
}

// recordWritten remembers until when the stores have a cooldown in force.
func (manager *Manager) recordWritten(key string, w time.Duration) {
	manager.mu.Lock()
	manager.writtenUntil[key] = time.Now().Add(w)
	manager.mu.Unlock()
}

type announcement struct {
	Key    string `json:"key"`
	WaitMs int64  `json:"wait_ms"`
}

// broadcast spreads what was installed, so that others need not ask to know.
func (manager *Manager) broadcast(key string, w time.Duration) {
	// A brief item is heard whatever came before it: it needs neither epoch nor number, and
	// so no clock.
	i := &wire.Item{Topic: keys.CooldownTopic, Key: manager.node.Peer.Self.Id + "/" + key, Brief: true}
	i.Body, _ = json.Marshal(announcement{key, WaitMs(w)})
	go manager.node.Broadcast.Publish(context.Background(), i)
}

func (manager *Manager) onBroadcast(i *wire.Item) error {
	var s announcement
	if err := json.Unmarshal(i.Body, &s); err != nil {
		return code.New(code.Garbled, "cool: %w", err)
	}
	manager.extend(s.Key, time.Duration(s.WaitMs)*time.Millisecond)
	return nil
}

// Run writes kept refusals once the tier takes them, and forgets what is over.
func (manager *Manager) Run(ctx context.Context) {
	loop.Every(ctx, 250*time.Millisecond, nil, func(ctx context.Context) {
		manager.expire()
		manager.mu.Lock()
		todo := map[string]time.Time{}
		for k, u := range manager.unwritten {
			todo[k] = u
		}
		manager.mu.Unlock()
		for k, u := range todo {
			left := time.Until(u)
			if left > 0 {
				if _, err := manager.write(ctx, k, left); err != nil {
					continue
				}
			}
			manager.mu.Lock()
			if manager.unwritten[k].Equal(u) {
				delete(manager.unwritten, k)
			}
			manager.mu.Unlock()
		}
	})
}

// SpecVersion is the version in force here.
func (manager *Manager) SpecVersion() uint64 { return manager.node.Cluster.Now().Version }

// Installs is how many cooldowns this node has written.
func (manager *Manager) Installs() uint64 {
	manager.mu.Lock()
	defer manager.mu.Unlock()
	return manager.installs
}

// Active lists the cooldowns this node knows to be in force.
func (manager *Manager) Active() map[string]int64 {
	manager.mu.Lock()
	defer manager.mu.Unlock()
	out := map[string]int64{}
	for k := range manager.until {
		if w := manager.remaining(k); w > 0 {
			out[k] = w.Milliseconds()
		}
	}
	for k := range manager.snapshot.observed {
		if w := manager.remaining(k); w > 0 {
			out[k] = w.Milliseconds()
		}
	}
	return out
}
