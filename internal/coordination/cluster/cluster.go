// Package cluster gives a process access to the spec register: the version in force here, the
// voters, and functions to read and change it.
package cluster

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"damsontiller/internal/proto/keys"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// Key is the key of the spec's register.
const Key = keys.Cluster

// defaultCopies is the number of replicas of each key if the cluster does not specify one.
const defaultCopies = 3

// View is one version of the cluster. It is immutable.
type View struct {
	Version uint64
	// StoresVersion is the version that last changed the sets of stores. It is the same on all
	// processes, unless the value was written by a release that did not record it.
	StoresVersion uint64
	// CoresVersion is the same for the sets of cores.
	CoresVersion uint64
	spec.Cluster
	raw        []byte
	compressed func() []byte // raw in the compressed form used on the wire
}

// Copies is the number of stores that hold each key.
func (view *View) Copies() int { return Copies(&view.Cluster) }

// Copies is the number of stores that hold each key of a cluster.
func Copies(cluster *spec.Cluster) int {
	if cluster.Copies > 0 {
		return cluster.Copies
	}
	return defaultCopies
}

// Raw is the register's value.
func (view *View) Raw() []byte { return view.raw }

// Cluster holds the version in force in this process. Its methods may be called concurrently.
type Cluster struct {
	proposer *register.Proposer
	current  atomic.Pointer[View]
	// unsaved is a version newer than current that could not be written to disk. It is neither in
	// force here nor confirmed, but it is used to answer reads and to find voters.
	unsaved atomic.Pointer[View]
	mu      sync.Mutex // guards watchers, and is held for updates of current
	persist func(raw []byte, version uint64) error
	// applySemaphore is full while a version is put in force, which may wait for the disk.
	applySemaphore  chan struct{}
	watchers        []loop.Wakeup
	changeSemaphore chan struct{} // allows one change at a time from this process
	// Discover looks for a newer version on other processes when the known voters reject this
	// process's version as too old. It is set before use.
	Discover func(ctx context.Context) bool
}

// New creates an empty cluster. persist, if set, stores each version on disk before it comes into
// force.
func New(proposer *register.Proposer, persist func(raw []byte, version uint64) error) *Cluster {
	cluster := &Cluster{
		proposer:        proposer,
		persist:         persist,
		changeSemaphore: make(chan struct{}, 1),
		applySemaphore:  make(chan struct{}, 1),
	}
	cluster.current.Store(&View{})
	return cluster
}

// Now is the version in force.
func (cluster *Cluster) Now() *View { return cluster.current.Load() }

// Newest is the newest version known: the version in force, or a later one that is not on the disk
// yet. Votes and confirmations of this process must not be based on it.
func (cluster *Cluster) Newest() *View {
	now := cluster.Now()
	if unsaved := cluster.unsaved.Load(); unsaved != nil && unsaved.Version > now.Version {
		return unsaved
	}
	return now
}

// SetInitialVoters sets the voters of a cluster that has no version yet.
func (cluster *Cluster) SetInitialVoters(cores []spec.Machine) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	if cluster.Now().Version == 0 {
		cluster.current.Store(&View{Cluster: spec.Cluster{Cores: cores}})
	}
}

// Watch returns a wake-up that is notified of every new version.
func (cluster *Cluster) Watch() loop.Wakeup {
	wakeup := loop.NewWakeup()
	cluster.mu.Lock()
	cluster.watchers = append(cluster.watchers, wakeup)
	cluster.mu.Unlock()
	return wakeup
}

// Apply puts a version in force if it is higher than the present one.
func (cluster *Cluster) Apply(version uint64, raw []byte) error {
	cluster.applySemaphore <- struct{}{}
	defer func() { <-cluster.applySemaphore }()
	if version <= cluster.Now().Version {
		return nil
	}
	view, err := cluster.newView(version, raw)
	if err != nil {
		return err
	}
	if cluster.persist != nil {
		if err := cluster.persist(raw, version); err != nil {
			if isDiskRefusal(err) {
				cluster.recordUnsaved(view)
			}
			return err
		}
	}
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.current.Store(view)
	for _, wakeup := range cluster.watchers {
		wakeup.Notify()
	}
	return nil
}

// recordUnsaved records a version that is not in force here.
func (cluster *Cluster) recordUnsaved(view *View) {
	for {
		old := cluster.unsaved.Load()
		if old != nil && old.Version >= view.Version || cluster.unsaved.CompareAndSwap(old, view) {
			return
		}
	}
}

// newView decodes a version that follows the one in force.
func (cluster *Cluster) newView(version uint64, raw []byte) (*View, error) {
	view := &View{
		Version:    version,
		raw:        raw,
		compressed: sync.OnceValue(func() []byte { return wire.Compress(raw) }),
	}
	if err := view.UnmarshalJSON(raw); err != nil {
		return nil, code.New(code.Garbled, "cluster %d: %w", version, err)
	}
	view.StoresVersion = storesSince(cluster.Now(), view)
	view.CoresVersion = coresSince(cluster.Now(), view)
	return view, nil
}

// isDiskRefusal reports whether a version was not put in force only because this machine's disk
// rejected it or did not confirm it.
func isDiskRefusal(err error) bool {
	switch code.Of(err) {
	case code.DiskFull, code.DiskStalled, code.WriteUncertain, code.DiskFailure:
		return true
	}
	return false
}

// Cores returns the voters of the spec register: two groups during a change of the set.
func (view *View) Cores() register.Set {
	set := register.Set{replicas(view.Cluster.Cores)}
	if len(view.NextCores) > 0 {
		set = append(set, replicas(view.NextCores))
	}
	return set
}

func replicas(machines []spec.Machine) []register.Replica {
	out := make([]register.Replica, len(machines))
	for i, m := range machines {
		out[i] = register.Replica{Addr: m.Addr, Ident: m.Ident}
	}
	return out
}

// Stores returns the voters of one key: two groups during a change of the set, or nil if fewer
// stores have an identity than the key has replicas.
func (view *View) Stores(key string) register.Set {
	holders := Holders(view.Cluster.Stores, key, view.Copies())
	if holders == nil {
		return nil
	}
	set := register.Set{replicas(holders)}
	if len(view.NextStores) > 0 {
		set = append(set, replicas(Holders(view.NextStores, key, view.Copies())))
	}
	return set
}

// Holders returns the stores of a set that hold a key, by rendezvous hashing over the stores whose
// identity is known. Replicas are spread over zones: each round takes the first remaining store of
// each zone, so that the numbers of replicas in two zones differ by at most one until one of them
// runs out of stores.
func Holders(set []spec.Machine, key string, copies int) []spec.Machine {
	type candidate struct {
		machine  *spec.Machine
		hash     uint64
		zoneRank int // rank by hash within its zone
	}
	candidates := make([]candidate, 0, len(set))
	keyHash := fnv1a(fnvOffsetBasis, key)
	for i := range set {
		if machine := &set[i]; machine.Ident != "" {
			candidates = append(
				candidates,
				candidate{machine: machine, hash: mixBits(fnv1a(fnv1a(keyHash, "/"), machine.ID))},
			)
		}
	}
	// A set with fewer stores than replicas must not be written to: a single store would act as a
	// majority that does not exist yet.
	if len(candidates) < min(copies, len(set)) || len(candidates) == 0 {
		return nil
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.hash, a.hash) })
	for i := range candidates {
		for j := range i {
			if candidates[j].machine.Zone == candidates[i].machine.Zone {
				candidates[i].zoneRank++
			}
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.zoneRank, b.zoneRank) })
	holders := make([]spec.Machine, 0, min(copies, len(candidates)))
	for _, c := range candidates[:min(copies, len(candidates))] {
		holders = append(holders, *c.machine)
	}
	return holders
}

// MaxHolders is the largest number of a key's replicas that could be on a subset of the machines of
// a set.
func MaxHolders(set, subset []spec.Machine, copies int) int {
	machinesInZone, subsetInZone := map[string]int{}, map[string]int{}
	for _, m := range set {
		machinesInZone[m.Zone]++
	}
	for _, m := range subset {
		subsetInZone[m.Zone]++
	}
	// Each zone contributes one holder per round until it has no machines left.
	maxInZone, unassigned := map[string]int{}, min(copies, len(set))
	for round := 1; unassigned > 0; round++ {
		count := 0
		for zone, machines := range machinesInZone {
			if machines >= round {
				maxInZone[zone]++
				count++
			}
		}
		// The last round may end before it reaches every zone; any zone may be among those it
		// takes.
		unassigned -= count
	}
	total := 0
	for zone, count := range subsetInZone {
		total += min(count, maxInZone[zone])
	}
	return min(total, copies, len(set))
}

// StoresDigest hashes the sets of stores and the version that last changed them, so that a change
// that was reverted and started again has a different digest.
func (view *View) StoresDigest() uint64 {
	digest := uint64(fnvOffsetBasis)
	if view.StoresSince > 0 {
		digest = fnv1a(digest, strconv.FormatUint(view.StoresSince, 10))
	}
	for _, set := range [][]spec.Machine{view.Cluster.Stores, view.NextStores} {
		digest = fnv1a(digest, "|")
		for _, m := range set {
			for _, field := range []string{m.ID, m.Addr, m.Zone, m.Ident} {
				digest = fnv1a(fnv1a(digest, field), "/")
			}
		}
	}
	return mixBits(digest)
}

const (
	fnvOffsetBasis = 14695981039346656037
	fnvPrime       = 1099511628211
)

// fnv1a continues an FNV-1a hash h with the bytes of s.
func fnv1a(h uint64, s string) uint64 {
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	return h
}

// mixBits distributes the bits of hashes of strings that differ only in their last bytes.
func mixBits(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}

// maxStaleAttempts is the maximum number of attempts of a request that voters reject for its
// outdated version.
const maxStaleAttempts = 3

// withVoters runs do with the voters of the newest version known. Voters of newer sets reject the
// request, so that it cannot act on an old set alone; in that case withVoters discovers a newer
// version and runs do again.
func (cluster *Cluster) withVoters(ctx context.Context, do func(context.Context, register.Set) error) error {
	for attempt := 1; ; attempt++ {
		view := cluster.Newest()
		err := do(register.WithVersion(ctx, view.Version, false), view.Cores())
		if attempt == maxStaleAttempts || code.Of(err) != code.StaleSpec || errors.Is(err, register.ErrUncertain) ||
			cluster.Discover == nil ||
			!cluster.Discover(ctx) ||
			cluster.Newest().Version == view.Version {
			return err
		}
	}
}

// Read reads the cluster at a majority and puts it in force. If no majority answers, the error has
// code.CoreUnreachable.
func (cluster *Cluster) Read(ctx context.Context) error {
	state, err := cluster.readState(ctx)
	if err != nil || state.Version == 0 {
		return err
	}
	return cluster.Apply(state.Version, state.Value)
}

// readState reads the register at a majority.
func (cluster *Cluster) readState(ctx context.Context) (state register.State, err error) {
	err = cluster.withVoters(ctx, func(ctx context.Context, set register.Set) (err error) {
		state, err = cluster.proposer.Read(ctx, set, Key)
		return err
	})
	if err != nil {
		return state, code.New(code.CoreUnreachable, "%w", err)
	}
	return state, nil
}

// applyTimeout is how long a read waits for the disk to store a newer version.
const applyTimeout = 100 * time.Millisecond

// ReadView reads the cluster at a majority and returns the version read, even if the disk does not
// store it in time. If the disk does, the version is in force. If no majority answers, the error
// has code.CoreUnreachable.
func (cluster *Cluster) ReadView(ctx context.Context) (*View, error) {
	state, err := cluster.readState(ctx)
	if err != nil {
		return nil, err
	}
	if state.Version <= cluster.Now().Version {
		return cluster.Now(), nil
	}
	view, err := cluster.newView(state.Version, state.Value)
	if err != nil {
		return nil, err
	}
	cluster.recordUnsaved(view)
	applied := make(chan error, 1)
	go func() { applied <- cluster.Apply(state.Version, state.Value) }()
	timer := time.NewTimer(applyTimeout)
	defer timer.Stop()
	select {
	case err := <-applied:
		if err != nil && !isDiskRefusal(err) {
			return nil, err
		}
	case <-timer.C:
	}
	return cluster.Newest(), nil
}

// ErrNoChange is returned by an edit function that would change nothing.
var ErrNoChange = errors.New("nothing to change")

// Change applies edit to the cluster chosen last and proposes the result. It returns the version
// and value now chosen. If expect is not zero and differs from the present version, the error has
// code.SpecConflict and the version returned is the present one. With code.OutcomeUnknown the
// change may be in force.
func (cluster *Cluster) Change(
	ctx context.Context,
	expect uint64,
	edit func(*spec.Cluster) error,
) (uint64, []byte, error) {
	return cluster.ChangeOnce(ctx, expect, spec.Operation{}, edit)
}

// ChangeOnce is Change for a request that may be retried. If the operation was executed before, it
// changes nothing, whatever has changed since, and the present value is chosen again.
func (cluster *Cluster) ChangeOnce(
	ctx context.Context,
	expect uint64,
	operation spec.Operation,
	edit func(*spec.Cluster) error,
) (uint64, []byte, error) {
	// Concurrent changes from one process would only outbid each other's ballots, so they run one
	// at a time.
	select {
	case cluster.changeSemaphore <- struct{}{}:
		defer func() { <-cluster.changeSemaphore }()
	case <-ctx.Done():
		return 0, nil, code.New(code.CoreUnreachable, "nothing changed: %w", ctx.Err())
	}
	var seenVersion uint64
	var state register.State
	compute := func(current register.State) ([]byte, bool, error) {
		seenVersion = current.Version
		value, err := editValue(current, expect, operation, edit)
		return value, false, err
	}
	err := cluster.withVoters(ctx, func(ctx context.Context, set register.Set) (err error) {
		state, err = cluster.proposer.Change(ctx, set, Key, compute)
		return err
	})
	switch {
	case err == nil:
		return state.Version, state.Value, cluster.applyChosen(state)
	case errors.Is(err, register.ErrUncertain):
		return seenVersion, nil, code.New(
			code.OutcomeUnknown,
			"the change may be in force, read the spec again: %w",
			err,
		)
	case errors.Is(err, register.ErrNoQuorum):
		return seenVersion, nil, code.New(code.CoreUnreachable, "nothing changed: %w", err)
	}
	return seenVersion, nil, err
}

// editValue returns the register's value after edit is applied to a state.
func editValue(
	current register.State,
	expect uint64,
	operation spec.Operation,
	edit func(*spec.Cluster) error,
) ([]byte, error) {
	var cluster spec.Cluster
	if err := cluster.UnmarshalJSON(current.Value); err != nil {
		return nil, code.New(code.Garbled, "cluster %d: %w", current.Version, err)
	}
	repeated, err := cluster.TookOperation(operation)
	switch {
	case err != nil:
		return nil, err
	case repeated:
		return current.Value, nil
	case expect != 0 && current.Version != expect:
		return nil, code.New(code.SpecConflict, "expected version %d, version %d is in force", expect, current.Version)
	}
	if err := Edit(&cluster, current.Version+1, edit); err != nil {
		return nil, err
	}
	cluster.RememberOperation(operation)
	return cluster.MarshalJSON()
}

// applyChosen puts a version in force that has just been chosen. If the disk does not store it, the
// version is chosen nonetheless: this process then stays on its older version until it receives a
// newer one again, and confirms none.
func (cluster *Cluster) applyChosen(state register.State) error {
	if err := cluster.Apply(state.Version, state.Value); err != nil && !isDiskRefusal(err) {
		return err
	}
	return nil
}
