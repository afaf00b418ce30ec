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
func (v *View) Copies() int { return Copies(&v.Cluster) }

// Copies is how many stores hold each key under r.
func Copies(cluster *spec.Cluster) int {
	if cluster.Copies > 0 {
		return cluster.Copies
	}
	return defaultCopies
}

// Raw is the register's value.
func (v *View) Raw() []byte { return v.raw }

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
	// applying is full while a version is put in force, which may wait for the disk.
	applying chan struct{}
	watchers []loop.Wakeup
	changing chan struct{} // one change at a time from this process
	// Discover checks elsewhere for a newer version, where the voters known here refuse
	// to deal with one so old. It is set before use.
	Discover func(ctx context.Context) bool
}

// New makes an empty cluster. persist, if set, stores each version on disk before it comes
// into force.
func New(proposer *register.Proposer, persist func(raw []byte, version uint64) error) *Cluster {
	cluster := &Cluster{
		proposer: proposer,
		persist:  persist,
		changing: make(chan struct{}, 1),
		applying: make(chan struct{}, 1),
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
	if v := cluster.unsaved.Load(); v != nil && v.Version > now.Version {
		return v
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
	k := loop.NewWakeup()
	cluster.mu.Lock()
	cluster.watchers = append(cluster.watchers, k)
	cluster.mu.Unlock()
	return k
}

// Apply puts a version in force if it is higher than the present one.
func (cluster *Cluster) Apply(version uint64, raw []byte) error {
	cluster.applying <- struct{}{}
	defer func() { <-cluster.applying }()
	if version <= cluster.Now().Version {
		return nil
	}
	v, err := cluster.newView(version, raw)
	if err != nil {
		return err
	}
	if cluster.persist != nil {
		if err := cluster.persist(raw, version); err != nil {
			if isDiskRefusal(err) {
				cluster.noteUnsaved(v)
			}
			return err
		}
	}
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.current.Store(v)
	for _, k := range cluster.watchers {
		k.Notify()
	}
	return nil
}

// noteUnsaved keeps a version that is not in force here.
func (cluster *Cluster) noteUnsaved(v *View) {
	for {
		old := cluster.unsaved.Load()
		if old != nil && old.Version >= v.Version || cluster.unsaved.CompareAndSwap(old, v) {
			return
		}
	}
}

// newView reads a version that follows the one in force.
func (cluster *Cluster) newView(version uint64, raw []byte) (*View, error) {
	v := &View{
		Version:    version,
		raw:        raw,
		compressed: sync.OnceValue(func() []byte { return wire.Compress(raw) }),
	}
	if err := v.UnmarshalJSON(raw); err != nil {
		return nil, code.New(code.Garbled, "cluster %d: %w", version, err)
	}
	v.StoresVersion = storesSince(cluster.Now(), v)
	v.CoresVersion = coresSince(cluster.Now(), v)
	return v, nil
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
func (v *View) Cores() register.Set {
	set := register.Set{replicas(v.Cluster.Cores)}
	if len(v.NextCores) > 0 {
		set = append(set, replicas(v.NextCores))
	}
	return set
}

func replicas(ms []spec.Machine) []register.Replica {
	out := make([]register.Replica, len(ms))
	for i, m := range ms {
		out[i] = register.Replica{Addr: m.Addr, Ident: m.Ident}
	}
	return out
}

// Stores is the voters of one key: two groups while the set changes; nil where fewer
// stores have an identity than the key has replicas.
func (v *View) Stores(key string) register.Set {
	g := Holders(v.Cluster.Stores, key, v.Copies())
	if g == nil {
		return nil
	}
	set := register.Set{replicas(g)}
	if len(v.NextStores) > 0 {
		set = append(set, replicas(Holders(v.NextStores, key, v.Copies())))
	}
	return set
}

// Holders are the stores of a set that hold a key, by rendezvous hashing over those whose
// identity is known, spread over zones: each round takes the first that is left of each
// zone, so that no zone has two more than another that has any left.
func Holders(set []spec.Machine, key string, defaultCopies int) []spec.Machine {
	type candidate struct {
		m    *spec.Machine
		h    uint64
		turn int // its place among those of its zone
	}
	all := make([]candidate, 0, len(set))
	k := hash(fnvStart, key)
	for i := range set {
		if m := &set[i]; m.Ident != "" {
			all = append(all, candidate{m: m, h: mix(hash(hash(k, "/"), m.ID))})
		}
	}
	// Fewer than all copies is no set to write to: a lone store would answer
	// for a majority that does not exist yet.
	if len(all) < min(defaultCopies, len(set)) || len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(b.h, a.h) })
	for i := range all {
		for j := range i {
			if all[j].m.Zone == all[i].m.Zone {
				all[i].turn++
			}
		}
	}
	slices.SortStableFunc(all, func(a, b candidate) int { return cmp.Compare(a.turn, b.turn) })
	got := make([]spec.Machine, 0, min(defaultCopies, len(all)))
	for _, c := range all[:min(defaultCopies, len(all))] {
		got = append(got, *c.m)
	}
	return got
}

// MaxHolders is the largest number of a key's replicas that could be on some machines of a
// set.
func MaxHolders(set, some []spec.Machine, defaultCopies int) int {
	zones, in := map[string]int{}, map[string]int{}
	for _, m := range set {
		zones[m.Zone]++
	}
	for _, m := range some {
		in[m.Zone]++
	}
	// A zone gives one holder in each round until it has no more.
	most, left := map[string]int{}, min(defaultCopies, len(set))
	for r := 1; left > 0; r++ {
		n := 0
		for z, have := range zones {
			if have >= r {
				most[z]++
				n++
			}
		}
		// The last round may end before it has come to every zone; any may be among
		// those it takes.
		left -= n
	}
	worst := 0
	for z, n := range in {
		worst += min(n, most[z])
	}
	return min(worst, defaultCopies, len(set))
}

// StoresDigest hashes the sets of stores and the version that made them so: a change that
// was reverted and begun anew has another.
func (v *View) StoresDigest() uint64 {
	h := uint64(fnvStart)
	if v.StoresSince > 0 {
		h = hash(h, strconv.FormatUint(v.StoresSince, 10))
	}
	for _, set := range [][]spec.Machine{v.Cluster.Stores, v.NextStores} {
		h = hash(h, "|")
		for _, m := range set {
			for _, s := range []string{m.ID, m.Addr, m.Zone, m.Ident} {
				h = hash(hash(h, s), "/")
			}
		}
	}
	return mix(h)
}

const fnvStart = 14695981039346656037

// hash goes on with an FNV-1a hash.
func hash(h uint64, s string) uint64 {
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// mix spreads a hash whose last letters differ little.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}

// maxAttempts bounds how often voters may refuse one request for its old version.
const maxAttempts = 3

// withVoters runs do with the voters under the version in force. Voters of newer sets
// refuse, so that no request acts on an old one alone; then a newer version is discovered
// and do is run again.
func (cluster *Cluster) withVoters(ctx context.Context, do func(context.Context, register.Set) error) error {
	for attempt := 1; ; attempt++ {
		v := cluster.Newest()
		err := do(register.WithVersion(ctx, v.Version, false), v.Cores())
		if attempt == maxAttempts || code.Of(err) != code.StaleSpec || errors.Is(err, register.ErrUncertain) ||
			cluster.Discover == nil ||
			!cluster.Discover(ctx) ||
			cluster.Newest().Version == v.Version {
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

// applyWait is how long a question waits for the disk to take a newer version.
const applyWait = 100 * time.Millisecond

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
	v, err := cluster.newView(state.Version, state.Value)
	if err != nil {
		return nil, err
	}
	cluster.noteUnsaved(v)
	applied := make(chan error, 1)
	go func() { applied <- cluster.Apply(state.Version, state.Value) }()
	wait := time.NewTimer(applyWait)
	defer wait.Stop()
	select {
	case err := <-applied:
		if err != nil && !isDiskRefusal(err) {
			return nil, err
		}
	case <-wait.C:
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
	f func(*spec.Cluster) error,
) (uint64, []byte, error) {
	return cluster.ChangeOnce(ctx, expect, spec.Operation{}, f)
}

// ChangeOnce is Change for an order that may be sent again: where it was taken before,
// whatever has changed since, it changes nothing and is chosen once more.
func (cluster *Cluster) ChangeOnce(
	ctx context.Context,
	expect uint64,
	operation spec.Operation,
	f func(*spec.Cluster) error,
) (uint64, []byte, error) {
	// Changes of one process that race each other only outbid each other's
	// ballots; they wait for their turn here.
	select {
	case cluster.changing <- struct{}{}:
		defer func() { <-cluster.changing }()
	case <-ctx.Done():
		return 0, nil, code.New(code.CoreUnreachable, "nothing changed: %w", ctx.Err())
	}
	var seen uint64
	var state register.State
	work := func(s register.State) ([]byte, bool, error) {
		seen = s.Version
		b, err := edited(s, expect, operation, f)
		return b, false, err
	}
	err := cluster.withVoters(ctx, func(ctx context.Context, set register.Set) (err error) {
		state, err = cluster.proposer.Change(ctx, set, Key, work)
		return err
	})
	switch {
	case err == nil:
		return state.Version, state.Value, cluster.applyChosen(state)
	case errors.Is(err, register.ErrUncertain):
		return seen, nil, code.New(code.OutcomeUnknown, "the change may be in force, read the spec again: %w", err)
	case errors.Is(err, register.ErrNoQuorum):
		return seen, nil, code.New(code.CoreUnreachable, "nothing changed: %w", err)
	}
	return seen, nil, err
}

// edited is the register's value after f's change of a state.
func edited(
	s register.State,
	expect uint64,
	operation spec.Operation,
	f func(*spec.Cluster) error,
) ([]byte, error) {
	var c spec.Cluster
	if err := c.UnmarshalJSON(s.Value); err != nil {
		return nil, code.New(code.Garbled, "cluster %d: %w", s.Version, err)
	}
	taken, err := c.TookOperation(operation)
	switch {
	case err != nil:
		return nil, err
	case taken:
		return s.Value, nil
	case expect != 0 && s.Version != expect:
		return nil, code.New(code.SpecConflict, "expected version %d, version %d is in force", expect, s.Version)
	}
	if err := Edit(&c, s.Version+1, f); err != nil {
		return nil, err
	}
	c.RememberOperation(operation)
	return c.MarshalJSON()
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
