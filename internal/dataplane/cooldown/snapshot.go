package cooldown

import (
	"context"
	"slices"
	"strings"
	"time"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/proto/keys"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/loop"
)

// SnapshotParams configures the snapshot of the stores' cooldowns. A node that runs many jobs uses
// the snapshot instead of a majority read for each job.
type SnapshotParams struct {
	Interval    time.Duration // between two polls of the stores
	Timeout     time.Duration // for one poll of a store
	MaxAge      time.Duration // maximum age of an answer, counted from when the poll was sent
	IdleAfter   time.Duration // polling stops this long after the last job
	ReadTimeout time.Duration // for a read if there is no recent snapshot
	ShareWindow time.Duration // a read that started within this time also serves later jobs
	WriteWait   time.Duration // how long a refused job waits for its cooldown to be written
}

// DefaultSnapshot are the default parameters.
var DefaultSnapshot = SnapshotParams{
	Interval:    250 * time.Millisecond,
	Timeout:     350 * time.Millisecond,
	MaxAge:      600 * time.Millisecond,
	IdleAfter:   2 * time.Second,
	ReadTimeout: 100 * time.Millisecond,
	ShareWindow: 200 * time.Millisecond,
	WriteWait:   150 * time.Millisecond,
}

// snapshot holds the cooldowns that the stores have recently reported. It is guarded by Manager.mu.
type snapshot struct {
	polledAt map[register.Replica]time.Time // when the latest poll that was answered was sent
	observed map[string]*observedCooldown   // by cooldown key

	// freshStores are the stores with a recent answer. The set is valid until freshUntil and for
	// one spec version. majority caches, by key, whether it contains a majority of the key's
	// stores.
	freshStores map[register.Replica]bool
	freshUntil  time.Time
	version     uint64
	majority    map[string]bool

	lastPoll    time.Time              // time of the last poll
	lastUsed    time.Time              // time of the last check by a job
	reads       map[string]*sharedRead // by cooldown key
	lastFailure time.Time              // time of the last failed read
	failures    int                    // number of consecutive failed reads
}

// observedCooldown is one cooldown register as reported by the stores. Each store counts the wait
// from when it accepted the value, which is after the refusal. The shortest remaining wait of a
// value is therefore long enough, and a store that received the value late, by a repair, must not
// extend it.
type observedCooldown struct {
	version uint64
	// endsByOperation maps the operation id of a change to its deadline. There may be several
	// values of one version, of which only one is chosen.
	endsByOperation map[uint64]time.Time
}

// retention is how long an expired cooldown is kept, so that a late answer of a store
// does not put it back in force.
const retention = 10 * time.Minute

func newSnapshot() snapshot {
	return snapshot{
		polledAt: map[register.Replica]time.Time{},
		observed: map[string]*observedCooldown{},
		majority: map[string]bool{},
		reads:    map[string]*sharedRead{},
	}
}

// end returns the latest deadline of the current version, or zero for a nil receiver.
func (cooldown *observedCooldown) end() time.Time {
	var latest time.Time
	if cooldown == nil {
		return latest
	}
	for _, end := range cooldown.endsByOperation {
		if end.After(latest) {
			latest = end
		}
	}
	return latest
}

// observe records the value of one register from a store's answer, and reports whether it is new.
func (snapshot *snapshot) observe(key string, version, operation uint64, end time.Time) bool {
	current := snapshot.observed[key]
	switch {
	case current == nil || version > current.version:
		snapshot.observed[key] = &observedCooldown{version, map[uint64]time.Time{operation: end}}
		return true
	case version < current.version:
		return false
	}
	old, known := current.endsByOperation[operation]
	if !known || end.Before(old) {
		current.endsByOperation[operation] = end
	}
	return !known
}

// recordAnswer records the answer of a store to a poll. The remaining waits count from when the
// answer arrived, so they are never too short.
func (manager *Manager) recordAnswer(store register.Replica, polledAt time.Time, cooldowns []*wire.Cool) {
	now := time.Now()
	manager.mu.Lock()
	defer manager.mu.Unlock()
	for _, c := range cooldowns {
		key, ok := strings.CutPrefix(c.Key, keys.CooldownPrefix)
		if !ok || c.LeftMs <= 0 {
			continue
		}
		if manager.snapshot.observe(key, c.Ver, c.Op, now.Add(time.Duration(c.LeftMs)*time.Millisecond)) &&
			manager.remaining(key) > 0 {
			manager.narrowGate(key)
		}
	}
	if polledAt.After(manager.snapshot.polledAt[store]) {
		manager.snapshot.polledAt[store] = polledAt
	}
	if !manager.snapshot.freshStores[store] {
		manager.snapshot.freshUntil = time.Time{}
	}
}

// isFresh reports whether a majority of the key's stores have answered recently. The caller holds mu.
func (manager *Manager) isFresh(key string) bool {
	snapshot, view, now := &manager.snapshot, manager.node.Cluster.Now(), time.Now()
	if view.Version != snapshot.version || !now.Before(snapshot.freshUntil) {
		fresh, until := map[register.Replica]bool{}, now.Add(manager.params.Snapshot.MaxAge)
		for store, polledAt := range snapshot.polledAt {
			end := polledAt.Add(manager.params.Snapshot.MaxAge)
			if !now.Before(end) {
				delete(snapshot.polledAt, store)
				continue
			}
			fresh[store] = true
			if end.Before(until) {
				until = end
			}
		}
		unchanged := view.Version == snapshot.version && len(fresh) == len(snapshot.freshStores)
		for store := range fresh {
			unchanged = unchanged && snapshot.freshStores[store]
		}
		if !unchanged || len(snapshot.majority) > maxCachedKeys {
			snapshot.majority = map[string]bool{}
		}
		snapshot.freshStores, snapshot.freshUntil, snapshot.version = fresh, until, view.Version
	}
	ok, known := snapshot.majority[key]
	if !known {
		stores := view.Stores(keys.Cooldown(key))
		ok = stores.Quorum(snapshot.freshStores)
		snapshot.majority[key] = ok
	}
	return ok
}

// maxCachedKeys limits the size of snapshot.majority.
const maxCachedKeys = 4096

// RunSnapshot polls the stores while there are jobs, until ctx is done.
func (manager *Manager) RunSnapshot(ctx context.Context) {
	loop.Every(ctx, manager.params.Snapshot.Interval, manager.wakeup, func(ctx context.Context) {
		now := time.Now()
		manager.mu.Lock()
		due := now.Sub(manager.snapshot.lastUsed) < manager.params.Snapshot.IdleAfter &&
			now.Sub(manager.snapshot.lastPoll) >= manager.params.Snapshot.Interval/2
		if due {
			manager.snapshot.lastPoll = now
		}
		manager.mu.Unlock()
		if due {
			manager.pollAll(ctx, manager.node.Cluster.Now(), now)
		}
	})
}

// pollAll polls all stores concurrently and does not wait for their answers.
func (manager *Manager) pollAll(ctx context.Context, view *cluster.View, polledAt time.Time) {
	polled := map[string]bool{}
	ctx = register.WithVersion(ctx, view.Version, false)
	for _, machine := range slices.Concat(view.Cluster.Stores, view.NextStores) {
		if machine.Ident == "" || polled[machine.Ident] {
			continue
		}
		polled[machine.Ident] = true
		go manager.pollStore(ctx, machine, polledAt)
	}
}

// pollStore requests the cooldowns in force from one store and records its answer.
func (manager *Manager) pollStore(ctx context.Context, machine spec.Machine, polledAt time.Time) {
	request := &wire.Req{Ident: machine.Ident, Op: &wire.Req_Cools{Cools: &wire.Cools{}}}
	register.SetVersion(ctx, request)
	manager.polls.Add(1)
	answer, err := manager.node.Peer.CallWithTimeout(ctx, manager.params.Snapshot.Timeout, machine.Addr, request)
	if err != nil {
		// The store is unreachable or has another spec version, and does not count as fresh.
		return
	}
	manager.recordAnswer(
		register.Replica{Addr: machine.Addr, Ident: machine.Ident},
		polledAt,
		answer.GetCools().GetCools(),
	)
}

// maxBackoffDoublings limits the pause between reads while the stores are unreachable. The pause is
// ShareWindow, doubled with each failed read.
const maxBackoffDoublings = 2

// sharedRead is one majority read that several jobs wait for.
type sharedRead struct {
	startedAt time.Time
	done      chan struct{}
}

// Remaining returns the remaining wait of a key, or 0 if the call may be made now. It uses the
// recent snapshot of the stores, or a majority read if there is none. If the stores do not respond,
// it uses the deadlines known to this node; docs/cooldown.md explains why. left is the remaining
// time of the job.
func (manager *Manager) Remaining(ctx context.Context, key string, left time.Duration) time.Duration {
	manager.mu.Lock()
	manager.snapshot.lastUsed = time.Now()
	if wait := manager.remaining(key); wait > 0 || manager.params.Local {
		manager.mu.Unlock()
		return wait
	}
	if manager.isFresh(key) {
		manager.mu.Unlock()
		return 0
	}
	if time.Since(
		manager.snapshot.lastFailure,
	) < manager.params.Snapshot.ShareWindow<<min(
		manager.snapshot.failures,
		maxBackoffDoublings,
	) {
		manager.mu.Unlock()
		manager.wakeup.Notify()
		manager.unverified.Add(1)
		return 0
	}
	read := manager.snapshot.reads[key]
	if read == nil || time.Since(read.startedAt) > manager.params.Snapshot.ShareWindow {
		read = &sharedRead{time.Now(), make(chan struct{})}
		manager.snapshot.reads[key] = read
		go manager.readShared(ctx, key, read)
	}
	manager.mu.Unlock()
	manager.wakeup.Notify()
	waitCtx, stop := context.WithTimeout(ctx, min(manager.params.Snapshot.ReadTimeout, left/10))
	defer stop()
	if !loop.WaitFor(waitCtx, read.done) {
		manager.unverified.Add(1)
	}
	return manager.KnownWait(key)
}

// readShared reads a key's cooldown for all jobs that wait for it, and updates the failure count.
func (manager *Manager) readShared(ctx context.Context, key string, read *sharedRead) {
	defer close(read.done)
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), manager.params.Snapshot.ReadTimeout)
	defer stop()
	manager.reads.Add(1)
	_, _, err := manager.Read(ctx, key)
	manager.mu.Lock()
	defer manager.mu.Unlock()
	if err == nil {
		manager.snapshot.failures, manager.snapshot.lastFailure = 0, time.Time{}
		return
	}
	// While the stores are unreachable, only an occasional job attempts a read, to detect when they
	// are reachable again. The pause between two reads is bounded, so that a node that was
	// suspended does not skip reads because of an old failure.
	manager.snapshot.failures++
	manager.snapshot.lastFailure = time.Now()
	manager.node.Log.Debug("failed to read cooldown from the stores", "key", key, "err", err)
}

// Idle reports whether no cooldown in force is known to this node and it has no gate after a recent one.
func (manager *Manager) Idle() bool { return !manager.active.Load() }

// GateOpen reports whether a call of the key is allowed by its cooldown and its gate, as known to
// this node.
func (manager *Manager) GateOpen(key string) bool {
	if manager.Idle() {
		return true
	}
	manager.mu.Lock()
	defer manager.mu.Unlock()
	g := manager.gates[key]
	return manager.remaining(key) <= 0 && (g == nil || g.inFlight < g.limit)
}

// Admission is the permission for one call of a key. End must be called when the call ends.
type Admission struct {
	manager   *Manager
	key       string
	gate      *gate // nil if the key had no recent cooldown
	succeeded bool
}

// Admit admits a call if its key has no cooldown in force and its gate, if any, is below its limit
// of concurrent calls.
func (manager *Manager) Admit(ctx context.Context, key string, left time.Duration) (*Admission, bool) {
	if manager.Remaining(ctx, key, left) > 0 {
		return nil, false
	}
	manager.mu.Lock()
	defer manager.mu.Unlock()
	g := manager.gates[key]
	if g != nil {
		if g.inFlight >= g.limit {
			return nil, false
		}
		g.inFlight++
	}
	return &Admission{manager: manager, key: key, gate: g}, true
}

// StillValid reports whether the call may still be made. It must be called right before the first
// byte is sent, because dialing takes time and the node may have been suspended since Admit.
func (admission *Admission) StillValid(ctx context.Context, left time.Duration) bool {
	return admission.manager.Remaining(ctx, admission.key, left) <= 0
}

// Succeeded records that the call was not refused, and widens the gate.
func (admission *Admission) Succeeded() {
	if admission.gate == nil || admission.succeeded {
		return
	}
	admission.succeeded = true
	admission.manager.mu.Lock()
	defer admission.manager.mu.Unlock()
	admission.manager.widenGate(admission.key, admission.gate)
}

// End releases the call's place in the gate.
func (admission *Admission) End() {
	if admission.gate == nil {
		return
	}
	admission.manager.mu.Lock()
	defer admission.manager.mu.Unlock()
	admission.gate.inFlight--
	admission.gate.usedAt = time.Now()
}

// write is a write in progress of a cooldown, which several refusals of one key may share.
type write struct {
	floor time.Duration
	done  chan struct{}
}

// RecordRefusal installs a cooldown after a refusal and returns the wait. The cooldown applies to
// this node immediately. The caller waits for the write for at most SnapshotParams.WriteWait, and the
// write continues in the background. Concurrent refusals of one key share a write, and there is no
// write while the stores have a cooldown in force that is long enough.
func (manager *Manager) RecordRefusal(ctx context.Context, key string, floor time.Duration) time.Duration {
	c := &manager.node.Cluster.Now().Spec.Cooldown
	manager.extend(key, max(floor, c.First()))
	manager.mu.Lock()
	// Near its end, the cooldown may already have expired at the stores, so that this refusal starts
	// a new one.
	if time.Until(manager.writtenUntil[key]) > floor+c.First()/4 {
		manager.mu.Unlock()
		return manager.KnownWait(key)
	}
	pending := manager.writes[key]
	if pending == nil || pending.floor < floor {
		pending = &write{floor, make(chan struct{})}
		manager.writes[key] = pending
		go func() {
			manager.Install(context.WithoutCancel(ctx), key, floor)
			manager.mu.Lock()
			if manager.writes[key] == pending {
				delete(manager.writes, key)
			}
			manager.mu.Unlock()
			close(pending.done)
		}()
	}
	unreachable := manager.snapshot.failures > 0
	manager.mu.Unlock()
	if unreachable {
		// The job has already waited for the stores.
		return manager.KnownWait(key)
	}
	waitCtx, stop := context.WithTimeout(ctx, manager.params.Snapshot.WriteWait)
	defer stop()
	loop.WaitFor(waitCtx, pending.done)
	return manager.KnownWait(key)
}

// expireState removes expired state, so that keys without runners do not use memory. quiet is how
// long a gate without calls is kept.
func (manager *Manager) expireState(quiet time.Duration) {
	now := time.Now()
	manager.mu.Lock()
	defer manager.mu.Unlock()
	anyInForce := false
	for key, deadline := range manager.deadlines {
		if !now.Before(deadline) {
			delete(manager.deadlines, key)
		}
	}
	for key, cooldown := range manager.snapshot.observed {
		if now.Sub(cooldown.end()) > retention {
			delete(manager.snapshot.observed, key)
		}
		anyInForce = anyInForce || now.Before(cooldown.end())
	}
	for key, deadline := range manager.writtenUntil {
		if !now.Before(deadline) {
			delete(manager.writtenUntil, key)
		}
	}
	for key, read := range manager.snapshot.reads {
		if now.Sub(read.startedAt) > time.Second {
			delete(manager.snapshot.reads, key)
		}
	}
	for key, g := range manager.gates {
		if g.inFlight == 0 && manager.remaining(key) <= 0 && now.Sub(g.usedAt) > quiet {
			delete(manager.gates, key)
		}
	}
	manager.active.Store(anyInForce || len(manager.deadlines)+len(manager.gates) > 0)
}

// Stats counts the cooldown checks since the start of the node.
type Stats struct {
	Polls      uint64 // polls of single stores
	Reads      uint64 // majority reads because there was no recent snapshot
	Unverified uint64 // checks without a recent snapshot or a completed read
}

// Stats returns the counts.
func (manager *Manager) Stats() Stats {
	return Stats{manager.polls.Load(), manager.reads.Load(), manager.unverified.Load()}
}
