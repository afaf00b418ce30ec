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

	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// Key is the spec's register.
const Key = "spec"

// copies is how many stores hold each key where the cluster does not say.
const copies = 3

// View is one version of the cluster. It is never changed once made.
type View struct {
	Ver uint64
	// SetVer is the version since which the sets of stores are these. All processes
	// know the same, unless the value was written by a release that did not say.
	SetVer uint64
	// CoreVer is the same for the sets of cores.
	CoreVer uint64
	spec.Cluster
	raw []byte
}

// Copies is how many stores hold each key.
func (v *View) Copies() int { return Copies(&v.Cluster) }

// Copies is how many stores hold each key under r.
func Copies(r *spec.Cluster) int {
	if r.Copies > 0 {
		return r.Copies
	}
	return copies
}

// Raw is the register's value.
func (v *View) Raw() []byte { return v.raw }

// Cluster holds the version in force in this process.
type Cluster struct {
	prop *register.Proposer
	cur  atomic.Pointer[View]
	mu   sync.Mutex // guards on, and is held for changes of cur
	keep func(raw []byte, ver uint64) error
	// keeping is full while a version is put in force, which may wait for the disk.
	keeping chan struct{}
	on      []loop.Kick
	turn    chan struct{} // one change at a time from this process
	// Ask looks elsewhere for a newer version, where the voters known here refuse
	// to deal with one so old. It is set before use.
	Ask func(ctx context.Context) bool
}

// New makes an empty cluster; keep, if set, puts each version on disk before it
// comes into force.
func New(prop *register.Proposer, keep func(raw []byte, ver uint64) error) *Cluster {
	r := &Cluster{prop: prop, keep: keep, turn: make(chan struct{}, 1), keeping: make(chan struct{}, 1)}
	r.cur.Store(&View{})
	return r
}

// Now is the version in force.
func (r *Cluster) Now() *View { return r.cur.Load() }

// Boot sets the voters of a cluster that has no version yet.
func (r *Cluster) Boot(cores []spec.Machine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Now().Ver == 0 {
		r.cur.Store(&View{Cluster: spec.Cluster{Cores: cores}})
	}
}

// Watch gives a kick that fires at every new version.
func (r *Cluster) Watch() loop.Kick {
	k := loop.NewKick()
	r.mu.Lock()
	r.on = append(r.on, k)
	r.mu.Unlock()
	return k
}

// Apply puts a version in force if it is higher than the one that is.
func (r *Cluster) Apply(ver uint64, raw []byte) error {
	r.keeping <- struct{}{}
	defer func() { <-r.keeping }()
	if ver <= r.Now().Ver {
		return nil
	}
	v := &View{Ver: ver, raw: raw}
	if err := v.UnmarshalJSON(raw); err != nil {
		return code.New(code.Garbled, "cluster %d: %w", ver, err)
	}
	if r.keep != nil {
		if err := r.keep(raw, ver); err != nil {
			return err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	v.SetVer = storesSince(r.Now(), v)
	v.CoreVer = coresSince(r.Now(), v)
	r.cur.Store(v)
	for _, k := range r.on {
		k.Poke()
	}
	return nil
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

// Stores is the voters of one key: two groups while the set changes.
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

// Holders are the stores of a set that hold a key: rendezvous order over those
// whose identity is known, spread over zones. Each round takes the first that is
// left of each zone, so that no zone has two more than another that has any left.
func Holders(set []spec.Machine, key string, copies int) []spec.Machine {
	type cand struct {
		m    *spec.Machine
		h    uint64
		turn int // its place among those of its zone
	}
	all := make([]cand, 0, len(set))
	k := hash(fnvStart, key)
	for i := range set {
		if m := &set[i]; m.Ident != "" {
			all = append(all, cand{m: m, h: mix(hash(hash(k, "/"), m.ID))})
		}
	}
	// Fewer than all copies is no set to write to: a lone store would answer
	// for a majority that does not exist yet.
	if len(all) < min(copies, len(set)) || len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(a, b cand) int { return cmp.Compare(b.h, a.h) })
	for i := range all {
		for j := range i {
			if all[j].m.Zone == all[i].m.Zone {
				all[i].turn++
			}
		}
	}
	slices.SortStableFunc(all, func(a, b cand) int { return cmp.Compare(a.turn, b.turn) })
	got := make([]spec.Machine, 0, min(copies, len(all)))
	for _, c := range all[:min(copies, len(all))] {
		got = append(got, *c.m)
	}
	return got
}

// Worst is the most of a key's holders that could be among some machines of a set.
func Worst(set, some []spec.Machine, copies int) int {
	zones, in := map[string]int{}, map[string]int{}
	for _, m := range set {
		zones[m.Zone]++
	}
	for _, m := range some {
		in[m.Zone]++
	}
	// A zone gives one holder in each round until it has no more.
	most, left := map[string]int{}, min(copies, len(set))
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
	return min(worst, copies, len(set))
}

// Sets is a digest of the sets of stores and of the version that made them so: a
// change that was turned back and begun anew has another.
func (v *View) Sets() uint64 {
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

// tries is how often voters may refuse one dealing with them for its old version.
const tries = 3

// with deals with the voters under the version in force. Voters that belong to
// newer sets refuse, so that nobody acts on an old one alone; then whoever knows
// better is asked, and it is done anew.
func (r *Cluster) with(ctx context.Context, do func(context.Context, register.Set) error) error {
	for try := 1; ; try++ {
		v := r.Now()
		err := do(register.Stamp(ctx, v.Ver, false), v.Cores())
		if try == tries || code.Of(err) != code.StaleSpec || errors.Is(err, register.ErrMaybe) || r.Ask == nil || !r.Ask(ctx) || r.Now().Ver == v.Ver {
			return err
		}
	}
}

// Read fetches the cluster at a majority and puts it in force.
func (r *Cluster) Read(ctx context.Context) error {
	var st register.State
	err := r.with(ctx, func(ctx context.Context, set register.Set) (err error) {
		st, err = r.prop.Read(ctx, set, Key)
		return err
	})
	if err != nil {
		return code.New(code.CoreAway, "%w", err)
	}
	if st.Ver == 0 {
		return nil
	}
	return r.Apply(st.Ver, st.Val)
}

// ErrSame tells that a change would change nothing.
var ErrSame = errors.New("nothing to change")

// Change works a new cluster out of the one chosen last. It answers with the
// version and value now chosen; expect 0 means whichever version there is.
func (r *Cluster) Change(ctx context.Context, expect uint64, f func(*spec.Cluster) error) (uint64, []byte, error) {
	// Changes of one process that race each other only beat down each other's
	// ballots; they wait for their turn here.
	select {
	case r.turn <- struct{}{}:
		defer func() { <-r.turn }()
	case <-ctx.Done():
		return 0, nil, code.New(code.CoreAway, "nothing changed: %w", ctx.Err())
	}
	var seen uint64
	var st register.State
	work := func(s register.State) ([]byte, bool, error) {
		seen = s.Ver
		if expect != 0 && s.Ver != expect {
			return nil, false, code.New(code.SpecConflict, "expected version %d, version %d is in force", expect, s.Ver)
		}
		var re spec.Cluster
		if err := re.UnmarshalJSON(s.Val); err != nil {
			return nil, false, code.New(code.Garbled, "cluster %d: %w", s.Ver, err)
		}
		if err := Edit(&re, s.Ver+1, f); err != nil {
			return nil, false, err
		}
		b, err := re.MarshalJSON()
		return b, false, err
	}
	err := r.with(ctx, func(ctx context.Context, set register.Set) (err error) {
		st, err = r.prop.Change(ctx, set, Key, work)
		return err
	})
	switch {
	case err == nil:
		return st.Ver, st.Val, r.chosen(st)
	case errors.Is(err, register.ErrMaybe):
		return seen, nil, code.New(code.OutcomeUnknown, "the change may be in force, read the spec again: %w", err)
	case errors.Is(err, register.ErrNoQuorum):
		return seen, nil, code.New(code.CoreAway, "nothing changed: %w", err)
	}
	return seen, nil, err
}

// chosen puts a version in force that was chosen just now. A disk that does not take it
// takes nothing back from that: this process then stays on its older version until it
// hears of a newer one again, and confirms none.
func (r *Cluster) chosen(st register.State) error {
	err := r.Apply(st.Ver, st.Val)
	switch code.Of(err) {
	case code.DiskFull, code.DiskStalled, code.WriteUnsure, code.DiskFailure:
		return nil
	}
	return err
}
