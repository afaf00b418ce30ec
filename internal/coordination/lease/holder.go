// Package lease implements membership by leases: a node is a live member while it renews its
// lease at a majority of the core machines. Each side measures time with its own monotonic
// clock.
package lease

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/peer"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// Params are the intervals and timeouts of leases.
type Params struct {
	RenewInterval time.Duration // time between renewals
	Duration      time.Duration // lifetime of a lease after a renewal
	// OrphanTimeout is the time without contact after which the jobs that a node may still be
	// running are no longer counted, and its entry may be removed from the member tables.
	OrphanTimeout time.Duration
}

// DefaultParams are the parameters specified by the design.
var DefaultParams = Params{RenewInterval: time.Second, Duration: 3 * time.Second, OrphanTimeout: 30 * time.Second}

// Holder renews this node's lease and keeps the member list that the core sends with each
// grant. Its methods may be called concurrently.
type Holder struct {
	params  Params
	peer    *peer.Peer
	cluster *cluster.Cluster
	wakeup  loop.Wakeup

	mu        sync.Mutex
	renewedAt time.Time // start of the last renewal that a majority granted
	members   []*wire.Member
	source    *memberList // the list from which members was taken
	lists     map[register.Replica]*memberList
	// BeforeRenewal is called before each renewal if it is set. It may block.
	BeforeRenewal func()
	// Disk reports the state of the machine's disk. It is nil if there is none and must be set
	// before use.
	Disk func() DiskState
	// outdated is set when a core machine has rejected this process because its folder holds
	// less than an earlier process has reported.
	outdated bool
}

// DiskState is the state of a node's disk as reported with each renewal.
type DiskState struct {
	Status  string        // description of a fault for operators
	HungFor time.Duration // time without a response
	Folder  *wire.FolderState
}

// NewHolder creates a holder, which renews while Run runs.
func NewHolder(params Params, pr *peer.Peer, cl *cluster.Cluster) *Holder {
	return &Holder{params: params, peer: pr, cluster: cl, wakeup: cl.Watch(), lists: map[register.Replica]*memberList{}}
}

// Run renews the lease at each interval until ctx is canceled. A new spec in force is
// confirmed by an immediate renewal.
func (h *Holder) Run(ctx context.Context) {
	loop.Every(ctx, h.params.RenewInterval, h.wakeup, func(ctx context.Context) { h.Renew(ctx) })
}

// RenewNow triggers an immediate renewal after a change of this node's state.
func (h *Holder) RenewNow() { h.wakeup.Notify() }

// grant is the answer of one core machine to a renewal, or an error.
type grant struct {
	from     register.Replica
	answered bool // the core machine has granted or refused it
	ack      *wire.RenewAck
	err      error
}

// Renewal is the outcome of one renewal.
type Renewal struct {
	Granted      bool // by a majority of the core machines
	SpecOutdated bool // a core machine has a newer spec than this node
	Answered     int  // core machines that have granted or refused it so far
}

// Renew sends one renewal to every core machine, and reads the spec if one of them has a newer one.
func (h *Holder) Renew(ctx context.Context) {
	if h.RequestRenewal(ctx).SpecOutdated {
		h.readNewerSpec(ctx)
	}
}

// RequestRenewal sends one renewal to every core machine and returns once a majority has granted it
// or all have answered.
func (h *Holder) RequestRenewal(ctx context.Context) Renewal {
	if h.BeforeRenewal != nil {
		h.BeforeRenewal()
	}
	view := h.cluster.Now()
	coreSet := view.Cores()
	cores := coreSet.All()
	if len(cores) == 0 {
		return Renewal{}
	}
	// The holder measures the lease from before its request and the core from after the
	// grant, so the lease ends at the holder first.
	startedAt := time.Now()
	grants := h.requestGrants(ctx, cores, view.Version)
	granted, renewal := map[register.Replica]bool{}, Renewal{}
	for range cores {
		g := <-grants
		if g.answered {
			renewal.Answered++
		}
		if g.ack == nil {
			// A core machine with a newer spec rejects a node whose core set is outdated.
			renewal.SpecOutdated = renewal.SpecOutdated || code.Of(g.err) == code.StaleSpec
			continue
		}
		granted[g.from] = true
		renewal.SpecOutdated = renewal.SpecOutdated || g.ack.SpecVer > view.Version
		if coreSet.Quorum(granted) {
			break
		}
	}
	renewal.Granted = coreSet.Quorum(granted) && !h.FolderOutdated()
	if renewal.Granted {
		h.mu.Lock()
		h.renewedAt = startedAt
		h.publishMembers(cores, granted)
		h.mu.Unlock()
	}
	return renewal
}

// requestGrants sends a renewal that confirms a spec version to every core machine in
// parallel. The channel has capacity for every answer, so the calls complete even if the
// caller stops receiving once it has a quorum.
func (h *Holder) requestGrants(ctx context.Context, cores []register.Replica, version uint64) <-chan grant {
	self := h.Self(version)
	ctx, cancel := context.WithTimeout(ctx, h.params.Duration/2)
	grants := make(chan grant, len(cores))
	var wg sync.WaitGroup
	for _, c := range cores {
		wg.Go(func() {
			r, err := h.peer.Call(
				ctx,
				c.Addr,
				&wire.Req{Ident: c.Ident, Op: &wire.Req_Renew{Renew: h.newRequest(c, self)}},
			)
			if err != nil {
				h.raiseIncarnation(err, r)
				h.recordOutdatedFolder(c, err)
				grants <- grant{from: c, answered: r != nil, err: err}
				return
			}
			// The list of a core machine is also updated if its answer comes after the
			// quorum. Otherwise the slowest one would send its full list every time.
			h.updateMemberList(c, r.GetRenew())
			grants <- grant{from: c, answered: true, ack: r.GetRenew()}
		})
	}
	go func() {
		wg.Wait()
		cancel()
	}()
	return grants
}

// Self returns this node's own entry, which confirms a version of the spec.
func (h *Holder) Self(version uint64) *wire.Member {
	self := h.peer.Member(version)
	if h.Disk == nil {
		return self
	}
	disk := h.Disk()
	self.Status, self.DiskHungMs, self.Folder = disk.Status, disk.HungFor.Milliseconds(), disk.Folder
	return self
}

// recordOutdatedFolder records that a core machine has rejected this process because of its
// data folder.
func (h *Holder) recordOutdatedFolder(c register.Replica, err error) {
	if code.Of(err) != code.FolderOutdated {
		return
	}
	h.mu.Lock()
	first := !h.outdated
	h.outdated = true
	h.mu.Unlock()
	if first {
		h.peer.Log.Error("data folder was restored from a copy", "core", c.Addr, "err", err)
	}
}

// FolderOutdated reports whether a core machine has rejected this process because its folder
// holds less than an earlier process has reported. ResetFolder clears that state.
func (h *Holder) FolderOutdated() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.outdated
}

// ResetFolder clears FolderOutdated. It is called once the folder has a new identity.
func (h *Holder) ResetFolder() {
	h.mu.Lock()
	h.outdated = false
	h.mu.Unlock()
}

// readNewerSpec reads the spec from the register. Specs are normally received by broadcast; a
// newer version at a core machine shows that this one was missed.
func (h *Holder) readNewerSpec(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.params.Duration/2)
	defer cancel()
	if err := h.cluster.Read(ctx); err != nil {
		h.peer.Log.Warn("newer spec can't be read", "err", err)
	}
}

// raiseIncarnation raises this node's incarnation above the one that a core machine has
// recorded. The running process is always the latest one at its address; a lower number means
// that its clock was behind.
func (h *Holder) raiseIncarnation(err error, r *wire.Resp) {
	if code.Of(err) != code.OldEpoch {
		return
	}
	for _, m := range r.GetRenew().GetMembers() {
		if m.Id == h.peer.Self.Id {
			h.peer.RaiseIncarnation(m.Inc)
		}
	}
}

// memberList is this node's copy of the member list of one core machine.
type memberList struct {
	table      uint64         // id of the core machine's table
	lastChange uint64         // number of the last change received
	members    []*wire.Member // sorted by id and address; immutable
	sum        uint64         // of the digests of members
	live       int            // number of live members
	// grantedMs is the highest granted_ms received from the table, and answeredAt the time of
	// the last answer.
	grantedMs  int64
	answeredAt time.Time
}

// recordAnswer records the receipt of an answer and returns the time since the previous one,
// or 0 for the first one.
func (l *memberList) recordAnswer(answer *wire.RenewAck) time.Duration {
	previous := l.answeredAt
	l.grantedMs, l.answeredAt = max(l.grantedMs, answer.GrantedMs), time.Now()
	if previous.IsZero() {
		return 0
	}
	return l.answeredAt.Sub(previous)
}

// compareMembers orders members by id and address.
func compareMembers(a, b *wire.Member) int {
	return cmp.Or(strings.Compare(a.Id, b.Id), strings.Compare(a.Addr, b.Addr))
}

// upsert inserts or replaces members. It copies the list, since readers may still use the old
// one.
func (l *memberList) upsert(updates []*wire.Member) {
	if len(updates) == 0 {
		return
	}
	members := make([]*wire.Member, len(l.members), len(l.members)+len(updates))
	copy(members, l.members)
	count := func(m *wire.Member, n int) {
		if m.Live {
			l.live += n
		}
	}
	for _, m := range updates {
		l.sum += memberDigest(m)
		count(m, 1)
		i, ok := slices.BinarySearchFunc(members, m, compareMembers)
		if !ok {
			members = slices.Insert(members, i, m)
			continue
		}
		l.sum -= memberDigest(members[i])
		count(members[i], -1)
		members[i] = m
	}
	l.members = members
}

// remove removes members by key (id@addr). It copies the list, since readers may still use the
// old one.
func (l *memberList) remove(keys []string) {
	if len(keys) == 0 {
		return
	}
	l.members = slices.DeleteFunc(slices.Clone(l.members), func(m *wire.Member) bool {
		if !slices.Contains(keys, key(m)) {
			return false
		}
		l.sum -= memberDigest(m)
		if m.Live {
			l.live--
		}
		return true
	})
}

// newRequest builds the renewal for one core machine.
func (h *Holder) newRequest(c register.Replica, self *wire.Member) *wire.Renew {
	h.mu.Lock()
	defer h.mu.Unlock()
	renewal := &wire.Renew{Self: self, StatesHeard: true}
	if l := h.lists[c]; l != nil {
		renewal.Table, renewal.Seen, renewal.HeardMs = l.table, l.lastChange, l.grantedMs
	}
	return renewal
}

// updateMemberList applies the full list in a core machine's answer, or the changes to it.
func (h *Holder) updateMemberList(c register.Replica, answer *wire.RenewAck) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.lists[c]
	if l != nil && l.table == answer.Table && l.recordAnswer(answer) > h.params.Duration {
		// The core machine treats this node as not receiving grants until the next renewal
		// reports this one.
		h.wakeup.Notify()
	}
	switch {
	case l != nil && l.table != 0 && l.table == answer.Table && answer.Seen <= l.lastChange:
		// There are no changes, or a later answer arrived first.
		return
	case !answer.Part:
		// Sorted, so that each member is inserted at the end.
		slices.SortFunc(answer.Members, compareMembers)
		l = &memberList{}
		l.recordAnswer(answer)
		h.lists[c] = l
	case l == nil || l.table != answer.Table:
		// The answer is from an earlier run of the core machine.
		return
	}
	l.table, l.lastChange = answer.Table, answer.Seen
	l.remove(answer.Removed)
	l.upsert(answer.Members)
	if answer.Part && l.sum != answer.MembersSum {
		// This is not expected to happen. If it does, the next renewal requests the full list.
		h.peer.Log.Warn("checksum of the member list does not match; requesting the full list", "core", c.Addr)
		l.table = 0
	}
}

// publishMembers publishes the list with the most live members among the core machines that
// granted the renewal. A machine that has just restarted lists few live members at first.
func (h *Holder) publishMembers(cores []register.Replica, granted map[register.Replica]bool) {
	var best *memberList
	for _, c := range cores {
		l := h.lists[c]
		if granted[c] && l != nil && (best == nil || l.live > best.live || l.live == best.live && l == h.source) {
			best = l
		}
	}
	if best != nil {
		h.members, h.source = best.members, best
	}
	for c := range h.lists {
		if !slices.Contains(cores, c) {
			delete(h.lists, c)
		}
	}
}

// never is the time since the last renewal if there has been none.
const never time.Duration = 1 << 62

// Members returns the member list received with the last granted renewal, which must not be
// modified. It shows which members are live. Confirmed spec versions and the times for which
// members have been unresponsive are known to the core machines only.
func (h *Holder) Members() []*wire.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.members
}

// SinceRenewal returns the time since the start of the last renewal that a majority granted.
func (h *Holder) SinceRenewal() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.renewedAt.IsZero() {
		return never
	}
	return time.Since(h.renewedAt)
}

// Valid reports whether the lease has not expired.
func (h *Holder) Valid() bool { return h.SinceRenewal() < h.params.Duration }
