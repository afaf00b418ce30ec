// Package cooldown shares cooldowns after rate-limit refusals between all nodes. Each protected
// call, identified by a key, has one deadline before which no node may make the call. Any node
// installs it for all nodes when one of its calls is refused. docs/cooldown.md describes the
// algorithm that the package is based on and the differences to it.
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

// Params configures a Manager.
type Params struct {
	ReadTimeout  time.Duration // for reading a cooldown
	WriteTimeout time.Duration // for installing a cooldown
	CallTime     time.Duration // time that a call needs after the wait
	Snapshot     SnapshotParams
	// Local disables sharing: each node only uses the refusals of its own calls. It is meant for
	// benchmarks that compare the two, and no command sets it.
	Local bool
}

// DefaultParams are the default parameters.
var DefaultParams = Params{
	ReadTimeout:  150 * time.Millisecond,
	WriteTimeout: time.Second,
	CallTime:     100 * time.Millisecond,
	Snapshot:     DefaultSnapshot,
}

// Manager reads and installs cooldowns for the calls of this node.
type Manager struct {
	params Params
	node   *node.Node
	stores *storeclient.Client

	mu sync.Mutex
	// deadlines are the deadlines known to this node, on its own clock. They only save
	// reads: a known deadline is in force, but a missing one does not mean that there is none.
	deadlines map[string]time.Time
	// gates limit concurrent calls after a cooldown has ended.
	gates map[string]*gate
	// unwritten holds the deadlines of refusals that could not be written yet.
	unwritten map[string]time.Time
	// snapshot holds the recent answers of the stores.
	snapshot     snapshot
	writtenUntil map[string]time.Time // deadlines that are written at the stores
	writes       map[string]*write    // writes in progress
	installs     uint64               // number of cooldowns written

	wakeup                   loop.Wakeup // triggers a poll of the stores
	active                   atomic.Bool // whether any cooldown or gate is known
	polls, reads, unverified atomic.Uint64
}

// New returns a manager and subscribes it to the cooldowns that other nodes broadcast.
func New(params Params, local *node.Node, stores *storeclient.Client) *Manager {
	manager := &Manager{
		params:       params,
		node:         local,
		stores:       stores,
		deadlines:    map[string]time.Time{},
		gates:        map[string]*gate{},
		unwritten:    map[string]time.Time{},
		snapshot:     newSnapshot(),
		writtenUntil: map[string]time.Time{},
		writes:       map[string]*write{},
		wakeup:       loop.NewWakeup(),
	}
	local.Broadcast.Handle(keys.CooldownTopic, manager.onBroadcast)
	return manager
}

// KnownWait returns the remaining wait known to this node, without a request to the stores.
func (manager *Manager) KnownWait(key string) time.Duration {
	manager.mu.Lock()
	defer manager.mu.Unlock()
	return max(manager.remaining(key), 0)
}

// remaining returns the time until the latest known deadline. The caller holds mu.
func (manager *Manager) remaining(key string) time.Duration {
	deadline := manager.deadlines[key]
	if end := manager.snapshot.observed[key].end(); end.After(deadline) {
		deadline = end
	}
	return time.Until(deadline)
}

// extend moves the known deadline of a key to at least wait from now.
func (manager *Manager) extend(key string, wait time.Duration) {
	if wait <= 0 {
		return
	}
	manager.mu.Lock()
	defer manager.mu.Unlock()
	manager.narrowGate(key)
	// A deadline is never moved to an earlier time.
	if deadline := time.Now().Add(wait); deadline.After(manager.deadlines[key]) {
		manager.deadlines[key] = deadline
	}
}

// Read returns the remaining wait of a key from a majority of its stores, and the spec version used
// for the read. It fails if there is no majority; the call must not be made then.
func (manager *Manager) Read(ctx context.Context, key string) (time.Duration, uint64, error) {
	if wait := manager.KnownWait(key); wait > 0 || manager.params.Local {
		return wait, manager.node.Cluster.Now().Version, nil
	}
	ctx, stop := context.WithTimeout(ctx, manager.params.ReadTimeout)
	defer stop()
	state, version, err := manager.stores.ReadStrict(ctx, keys.Cooldown(key))
	if err != nil {
		return 0, version, err
	}
	wait, _, err := remainingOf(state)
	manager.extend(key, wait)
	return wait, version, err
}

// Install installs a cooldown for all nodes after a refusal and returns the wait. It returns when
// the cooldown is written or the write has failed. A failed write is retried by Run. In both cases
// the cooldown is broadcast to the other nodes.
func (manager *Manager) Install(ctx context.Context, key string, floor time.Duration) time.Duration {
	c := manager.node.Cluster.Now().Spec.Cooldown
	// The cooldown applies to this node immediately, even if the write fails.
	manager.extend(key, max(floor, c.First()))
	if manager.params.Local {
		return manager.KnownWait(key)
	}
	wait, err := manager.write(ctx, key, floor)
	if err != nil {
		wait = manager.KnownWait(key)
		manager.mu.Lock()
		manager.unwritten[key] = time.Now().Add(wait)
		manager.mu.Unlock()
		manager.node.Log.Warn("cooldown not written, retrying in the background", "key", key, "wait", wait, "err", err)
	}
	manager.extend(key, wait)
	manager.broadcast(key, wait)
	return wait
}

// write writes a cooldown to the stores, unless one that is long enough is in force, and returns the
// remaining wait.
func (manager *Manager) write(ctx context.Context, key string, floor time.Duration) (time.Duration, error) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), manager.params.WriteTimeout)
	defer stop()
	c := manager.node.Cluster.Now().Spec.Cooldown
	var wait time.Duration
	state, err := manager.stores.Change(ctx, keys.Cooldown(key), func(state register.State) ([]byte, bool, error) {
		v, changed, err := nextValue(&c, state, floor)
		if err != nil {
			return nil, false, err
		}
		if !changed {
			wait, _, _ = remainingOf(state)
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
	wait, _, err = remainingOf(state)
	manager.recordWritten(key, wait)
	return wait, err
}

// recordWritten records the deadline of a cooldown that is written at the stores.
func (manager *Manager) recordWritten(key string, wait time.Duration) {
	manager.mu.Lock()
	manager.writtenUntil[key] = time.Now().Add(wait)
	manager.mu.Unlock()
}

// announcement is the body of a cooldown broadcast.
type announcement struct {
	Key    string `json:"key"`
	WaitMs int64  `json:"wait_ms"`
}

// broadcast announces an installed cooldown to the other nodes, which saves them a read.
func (manager *Manager) broadcast(key string, wait time.Duration) {
	// A brief item is delivered regardless of earlier items. It needs neither an epoch nor a
	// sequence number, and therefore no clock.
	item := &wire.Item{Topic: keys.CooldownTopic, Key: manager.node.Peer.Self.Id + "/" + key, Brief: true}
	item.Body, _ = json.Marshal(announcement{key, WaitMs(wait)})
	go manager.node.Broadcast.Publish(context.Background(), item)
}

// onBroadcast applies a cooldown that another node has announced.
func (manager *Manager) onBroadcast(item *wire.Item) error {
	var received announcement
	if err := json.Unmarshal(item.Body, &received); err != nil {
		return code.New(code.Garbled, "cool: %w", err)
	}
	manager.extend(received.Key, time.Duration(received.WaitMs)*time.Millisecond)
	return nil
}

// maintenanceInterval is the time between two passes of Run.
const maintenanceInterval = 250 * time.Millisecond

// Run retries failed writes and removes expired cooldowns until ctx is done.
func (manager *Manager) Run(ctx context.Context) {
	loop.Every(ctx, maintenanceInterval, nil, func(ctx context.Context) {
		manager.expireState(manager.node.Cluster.Now().Spec.Cooldown.Quiet())
		manager.mu.Lock()
		pending := map[string]time.Time{}
		for key, deadline := range manager.unwritten {
			pending[key] = deadline
		}
		manager.mu.Unlock()
		for key, deadline := range pending {
			left := time.Until(deadline)
			if left > 0 {
				if _, err := manager.write(ctx, key, left); err != nil {
					continue
				}
			}
			manager.mu.Lock()
			if manager.unwritten[key].Equal(deadline) {
				delete(manager.unwritten, key)
			}
			manager.mu.Unlock()
		}
	})
}

// SpecVersion returns the spec version in force at this node.
func (manager *Manager) SpecVersion() uint64 { return manager.node.Cluster.Now().Version }

// Installs returns the number of cooldowns that this node has written.
func (manager *Manager) Installs() uint64 {
	manager.mu.Lock()
	defer manager.mu.Unlock()
	return manager.installs
}

// Active returns the remaining milliseconds of each cooldown that this node knows to be in force.
func (manager *Manager) Active() map[string]int64 {
	manager.mu.Lock()
	defer manager.mu.Unlock()
	out := map[string]int64{}
	for key := range manager.deadlines {
		if wait := manager.remaining(key); wait > 0 {
			out[key] = wait.Milliseconds()
		}
	}
	for key := range manager.snapshot.observed {
		if wait := manager.remaining(key); wait > 0 {
			out[key] = wait.Milliseconds()
		}
	}
	return out
}
