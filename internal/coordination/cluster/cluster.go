// Package cluster is a process's view of the spec register: what is in force
// here, where the voters are, and how to read and change it.
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

// Key is the spec's register.
const Key = keys.Cluster

// defaultCopies is how many stores hold each key where the cluster does not say.
const defaultCopies = 3

// View is one version of the cluster. It is immutable.
type View struct {
	Version uint64
	// StoresVersion is the version since which the sets of stores are these. All processes
	// know the same, unless the value was written by a release that did not say.
	StoresVersion uint64
	// CoresVersion is the same for the sets of cores.
	CoresVersion uint64
	spec.Cluster
	raw        []byte
	compressed func() []byte // raw in the form in which it is sent
}

// Copies is how many stores hold each key.
func (view *View) Copies() int { return Copies(&view.Cluster) }

// Copies is how many stores hold each key under r.
func Copies(cluster *spec.Cluster) int {
	if cluster.Copies > 0 {
		return cluster.Copies
	}
	return defaultCopies
}

// Raw is the register's value.
func (view *View) Raw() []byte { return view.raw }

// Cluster holds the version in force in this process. Its methods may be called
// concurrently.
type Cluster struct {
	proposer *register.Proposer
	current  atomic.Pointer[View]
	// unsaved is a version newer than current that the disk has not taken. It is not in
	// force here, nor confirmed; questions are answered by it and voters found.
	unsaved atomic.Pointer[View]
	mu      sync.Mutex // guards on, and is held for changes of cur
	persist func(raw []byte, version uint64) error
	// applySemaphore is full while a version is put in force, which may wait for the disk.
	applySemaphore  chan struct{}
	watchers        []loop.Wakeup
	changeSemaphore chan struct{} // one change at a time from this process
	// Discover checks elsewhere for a newer version, where the voters known here refuse
	// to deal with one so old. It is set before use.
	Discover func(ctx context.Context) bool
}

// New makes an empty cluster. persist, if set, stores each version on disk before it comes
// into force.
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

// Newest is the newest version known: the one in force, or a later one that the disk has
// not taken yet. Nothing that this process votes on or confirms rests on it.
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

// recordUnsaved keeps a version that is not in force here.
func (cluster *Cluster) recordUnsaved(view *View) {
	for {
		old := cluster.unsaved.Load()
		if old != nil && old.Version >= view.Version || cluster.unsaved.CompareAndSwap(old, view) {
			return
		}
	}
}

// newView reads a version that follows the one in force.
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

// isDiskRefusal reports whether a version was not put in force only because this machine's
// disk does not take it, or not for sure.
func isDiskRefusal(err error) bool {
	switch code.Of(err) {
	case code.DiskFull, code.DiskStalled, code.WriteUncertain, code.DiskFailure:
		return true
	}
	return false
}

// Cores is the spec register's voters: two groups while the set changes.
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

// Stores is the voters of one key: two groups while the set changes; nil where fewer
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

// Holders are the stores of a set that hold a key, by rendezvous hashing over those whose
// identity is known, spread over zones: each round takes the first that is left of each
// zone, so that no zone has two more than another that has any left.
func Holders(set []spec.Machine, key string, copies int) []spec.Machine {
	type candidate struct {
		machine  *spec.Machine
		hash     uint64
		zoneRank int // its place among those of its zone
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
	// Fewer than all copies is no set to write to: a lone store would answer
	// for a majority that does not exist yet.
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

// MaxHolders is the largest number of a key's replicas that could be on some machines of a
// set.
func MaxHolders(set, subset []spec.Machine, copies int) int {
	machinesInZone, subsetInZone := map[string]int{}, map[string]int{}
	for _, m := range set {
		machinesInZone[m.Zone]++
	}
	for _, m := range subset {
		subsetInZone[m.Zone]++
	}
	// A zone gives one holder in each round until it has no more.
	maxInZone, unassigned := map[string]int{}, min(copies, len(set))
	for round := 1; unassigned > 0; round++ {
		count := 0
		for zone, machines := range machinesInZone {
			if machines >= round {
				maxInZone[zone]++
				count++
			}
		}
		// The last round may end before it has come to every zone; any may be among
		// those it takes.
		unassigned -= count
	}
	total := 0
	for zone, count := range subsetInZone {
		total += min(count, maxInZone[zone])
	}
	return min(total, copies, len(set))
}

// StoresDigest hashes the sets of stores and the version that made them so: a change that
// was reverted and begun anew has another.
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

// hash goes on with an FNV-1a hash.
func fnv1a(h uint64, s string) uint64 {
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	return h
}

// mix spreads a hash whose last letters differ little.
func mixBits(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}

// maxStaleAttempts bounds how often voters may refuse one request for its old version.
const maxStaleAttempts = 3

// withVoters runs do with the voters under the version in force. Voters of newer sets
// refuse, so that no request acts on an old one alone; then a newer version is discovered
// and do is run again.
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

// Read reads the cluster at a majority and puts it in force. The error has
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

// applyTimeout is how long a question waits for the disk to take a newer version.
const applyTimeout = 100 * time.Millisecond

// ReadView reads the cluster at a majority and returns what it has read, whether or not the
// disk takes it soon; where it does, it is in force. The error has code.CoreUnreachable.
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

// ErrNoChange is returned by the function of a change that would change nothing.
var ErrNoChange = errors.New("nothing to change")

// Change computes a new cluster from the one chosen last by f. It returns the version and
// value now chosen. A nonzero expect is the version that must be the present one, else the
// error has code.SpecConflict and the version returned is the present one. With
// code.OutcomeUnknown the change may be in force.
func (cluster *Cluster) Change(
	ctx context.Context,
	expect uint64,
	edit func(*spec.Cluster) error,
) (uint64, []byte, error) {
	return cluster.ChangeOnce(ctx, expect, spec.Operation{}, edit)
}

// ChangeOnce is Change for an order that may be sent again: where it was taken before,
// whatever has changed since, it changes nothing and is chosen once more.
func (cluster *Cluster) ChangeOnce(
	ctx context.Context,
	expect uint64,
	operation spec.Operation,
	edit func(*spec.Cluster) error,
) (uint64, []byte, error) {
	// Changes of one process that race each other only outbid each other's
	// ballots; they wait for their turn here.
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

// edited is the register's value after f's change of a state.
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

// applyChosen puts a version in force that was chosen just now. Where the disk does not
// take it, it is chosen all the same: this process then stays on its older version until
// it receives a newer one again, and confirms none.
func (cluster *Cluster) applyChosen(state register.State) error {
	if err := cluster.Apply(state.Version, state.Value); err != nil && !isDiskRefusal(err) {
		return err
	}
	return nil
}
