package membership

import (
	"cmp"
	"slices"
	"time"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/proto/spec"
)

const (
	// AbsentAfter is the time without contact after which a newcomer may replace a
	// machine that does not answer a probe.
	AbsentAfter = 2 * time.Second
	// ReplaceAfter is the time without contact after which a spare that was admitted
	// earlier replaces a machine. It exceeds the duration of most restarts.
	ReplaceAfter = 3 * time.Second
	// MinCores is the minimum size of a set of cores.
	MinCores = 3
)

// Times without a new store after which the first set is formed from the stores in contact.
// The fewer they are, the longer the wait.
const (
	fullSetWait  = 150 * time.Millisecond // at least as many stores as copies, in enough zones
	majorityWait = time.Second            // stores for a majority of the copies
	minorityWait = 5 * time.Second        // fewer stores, so that losing one could lose data
)

// Member is the state of a machine as a core knows it from the machine's lease renewals.
type Member struct {
	Machine spec.Machine
	Start   uint64 // start counter of its process
	// IdentityVersion is the cluster version that was in force when the machine created its
	// identity.
	IdentityVersion uint64
	// Confirmed is the cluster version that the machine has confirmed to be in force. The
	// machine refuses requests that act on an older set.
	Confirmed       uint64
	Live            bool // its lease has not expired
	UnresponsiveFor time.Duration
	// OutsideFor is the time since this core first saw the machine outside the set.
	OutsideFor time.Duration
}

// WithSelf replaces a core's entries for its own name and address by its present state. A
// core renews its lease at itself only while it is in the set, so its table may still list
// its previous, removed identity. A core that was just added to the next set would otherwise
// treat itself as a machine that lost its disk, and revert the change.
func WithSelf(members []Member, self Member) []Member {
	out := slices.DeleteFunc(slices.Clone(members), func(m Member) bool {
		return m.Machine.ID == self.Machine.ID && m.Machine.Addr == self.Machine.Addr
	})
	self.Live = true
	self.UnresponsiveFor = 0
	return append(out, self)
}

// Presence is the result of probing a machine.
type Presence int

// The results of a probe. A machine that was not probed counts as present.
const (
	Present   Presence = iota
	Uncertain          // no answer, but unresponsive for less than AbsentAfter
	Absent
)

// PresenceOf returns the presence of a machine from whether it answered the probe and how
// long it has been unresponsive.
func PresenceOf(answered bool, unresponsive time.Duration) Presence {
	switch {
	case answered:
		return Present
	case unresponsive >= AbsentAfter:
		return Absent
	}
	return Uncertain
}

// Observation is the input of a decision about a set.
type Observation struct {
	Set     Set
	Cluster *spec.Cluster
	Members []Member // the known machines of the set's role
	// Presence holds the probe results by identity; nil if no machine has been probed yet.
	Presence map[string]Presence
	// Forming is set during the cluster's bootstrap period. Newcomers admitted then are
	// regular machines: they are not recorded as spares and replace no machine later.
	Forming bool
	// NewcomerAge is the time since a previously unknown store last made contact.
	NewcomerAge time.Duration
}

// Target is the desired state of a set.
type Target struct {
	Machines []spec.Machine
	// Spares are the identities of newcomers that are admitted as additional machines and
	// may replace another machine later. Promoted are earlier spares that replace one now.
	Spares, Promoted []string
	// IdentityVersions maps the newcomers' identities to their identity versions.
	IdentityVersions map[string]uint64
}

// Decision is a target, or what is still needed to determine one.
type Decision struct {
	Target
	// Probe lists the machines that must be probed before a target can be determined.
	Probe []spec.Machine
	// Wait is set while the target is undetermined or incomplete.
	Wait bool
}

// Decide computes the target of a set. A machine is never removed only because it is
// unresponsive, since it may come back with its data; it must be replaced by a newcomer. If
// all machines are present, a newcomer is admitted as a spare and replaces the next machine
// that fails. Apart from the promotion of a spare, a set shrinks only if an operator retires a
// store.
//
// Cores are added and removed in pairs to keep their number odd: a set of even size
// tolerates no more failures than the odd size below it. A newcomer that would make the
// number even remains outside the set as a candidate and replaces the next core that fails.
func Decide(o Observation) Decision {
	if o.Set == Stores && len(o.Cluster.Stores) == 0 {
		return firstStores(o)
	}
	p := newPlan(o)
	p.dropRetired()
	p.replaceWiped()
	if len(p.newcomers) == 0 && !p.mayPromote() || p.onlyIdleCandidate() {
		return p.decision()
	}
	if o.Presence == nil {
		return Decision{Probe: p.remaining()}
	}
	for _, m := range p.newcomers {
		if !p.admitNewcomer(m) {
			return Decision{Wait: true}
		}
	}
	p.admitCandidates()
	p.dropAbsent()
	return p.decision()
}

// plan is the intermediate state of the computation of a target.
type plan struct {
	Observation
	now, next  []spec.Machine
	newcomers  []Member // not yet assigned to a place in the set
	candidates []Member // newcomers that replace no machine of the set
	spares     []string // identities in next that may replace another machine
	target     Target
	wait       bool
}

func newPlan(o Observation) *plan {
	now := Of(o.Cluster, o.Set).Now
	return &plan{
		Observation: o,
		now:         now,
		next:        slices.Clone(now),
		target:      Target{IdentityVersions: map[string]uint64{}},
	}
}

func (p *plan) decision() Decision {
	p.target.Machines = p.next
	return Decision{Target: p.target, Wait: p.wait}
}

// minSize returns the minimum size of the set.
func (p *plan) minSize() int {
	if p.Set == Cores {
		return MinCores
	}
	return cluster.Copies(p.Cluster)
}

// eligibleNewcomers returns the live machines outside the set that may join it, one per
// address, sorted by name and then by descending start counter.
func eligibleNewcomers(o Observation) []Member {
	now := Of(o.Cluster, o.Set).Now
	var out []Member
	for _, m := range o.Members {
		retired := o.Set == Stores && slices.Contains(o.Cluster.Retired, m.Machine.ID)
		if m.Machine.Ident == "" || !m.Live || retired || Has(now, m.Machine.Ident) ||
			IdentityRefused(o.Cluster, m.Machine.Ident, m.IdentityVersion) {
			continue
		}
		out = append(out, m)
	}
	slices.SortStableFunc(out, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Machine.ID, b.Machine.ID), -cmp.Compare(a.Start, b.Start))
	})
	return uniqueByAddress(out)
}

// uniqueByAddress keeps one newcomer per address. Of several with the same name it keeps the
// one with the latest start, which is sorted first; of several names, the one with the most
// recent contact.
func uniqueByAddress(sorted []Member) []Member {
	var out []Member
	for _, m := range sorted {
		i := slices.IndexFunc(out, func(other Member) bool { return other.Machine.Addr == m.Machine.Addr })
		switch {
		case i < 0:
			out = append(out, m)
		case out[i].Machine.ID != m.Machine.ID && m.UnresponsiveFor < out[i].UnresponsiveFor:
			out[i] = m
		}
	}
	return out
}

// dropRetired removes the stores that operators have retired, down to the minimum size.
func (p *plan) dropRetired() {
	if p.Set != Stores {
		return
	}
	for _, id := range p.Cluster.Retired {
		i := slices.IndexFunc(p.next, func(m spec.Machine) bool { return m.ID == id })
		if i >= 0 && len(p.next) > p.minSize() {
			p.next = slices.Delete(p.next, i, i+1)
		}
	}
}

// replaceWiped replaces each machine whose address is now used by a newer identity, which
// means that it lost its disk. The other eligible machines become the plan's newcomers.
func (p *plan) replaceWiped() {
	waiting := eligibleNewcomers(p.Observation)
	for len(waiting) > 0 {
		successor := waiting[0]
		waiting = waiting[1:]
		i := slices.IndexFunc(p.next, func(s spec.Machine) bool { return s.Addr == successor.Machine.Addr })
		if i < 0 {
			p.newcomers = append(p.newcomers, successor)
			continue
		}
		// Both disks are empty, so a newcomer in the wiped machine's zone is preferred: a set
		// that tolerates the loss of any one zone must still tolerate it after the repair.
		if other := p.takeInZone(&waiting, successor, p.next[i].Zone); other != nil {
			p.newcomers = append(p.newcomers, successor)
			successor = *other
		}
		if slices.Contains(p.Cluster.Spares, p.next[i].Ident) {
			p.target.Spares = append(p.target.Spares, successor.Machine.Ident)
		}
		p.replaceAt(i, successor)
	}
	for _, m := range p.next {
		if slices.Contains(p.Cluster.Spares, m.Ident) {
			p.spares = append(p.spares, m.Ident)
		}
	}
}

// takeInZone handles a wiped machine whose successor is in another zone: it removes and
// returns a newcomer in the wiped machine's zone whose name and address no machine of the set
// has. It returns nil if the successor is in that zone or there is no such newcomer.
func (p *plan) takeInZone(waiting *[]Member, successor Member, zone string) *Member {
	if successor.Machine.Zone == zone {
		return nil
	}
	for _, members := range []*[]Member{&p.newcomers, waiting} {
		i := slices.IndexFunc(*members, func(m Member) bool {
			return m.Machine.Zone == zone && !slices.ContainsFunc(p.next, func(s spec.Machine) bool {
				return s.ID == m.Machine.ID || s.Addr == m.Machine.Addr
			})
		})
		if i >= 0 {
			taken := (*members)[i]
			*members = slices.Delete(*members, i, i+1)
			return &taken
		}
	}
	return nil
}

// replaceAt replaces the machine at an index of the next set by a newcomer.
func (p *plan) replaceAt(i int, m Member) {
	p.next[i] = m.Machine
	p.target.IdentityVersions[m.Machine.Ident] = m.IdentityVersion
}

// mayPromote reports whether a spare could replace a machine now.
func (p *plan) mayPromote() bool {
	return len(p.spares) > 0 &&
		slices.ContainsFunc(p.next, func(m spec.Machine) bool { return p.longUnresponsive(m.Ident) })
}

func (p *plan) longUnresponsive(ident string) bool {
	i := slices.IndexFunc(p.Members, func(m Member) bool { return m.Machine.Ident == ident })
	return i >= 0 && p.Members[i].UnresponsiveFor >= ReplaceAfter
}

// remaining returns the machines of the current set that are also in the next one.
func (p *plan) remaining() []spec.Machine {
	var out []spec.Machine
	for _, m := range p.now {
		if Has(p.next, m.Ident) {
			out = append(out, m)
		}
	}
	return out
}

func (p *plan) absent(m spec.Machine) bool { return p.Presence[m.Ident] == Absent }

// admitNewcomer replaces the machine with the newcomer's name at its previous address, or
// else an absent machine, preferably in the newcomer's zone. If there is neither, the
// newcomer becomes a candidate. It returns false if the presence of a machine that the
// newcomer could replace is uncertain.
func (p *plan) admitNewcomer(m Member) bool {
	if i := slices.IndexFunc(p.next, func(s spec.Machine) bool { return s.ID == m.Machine.ID }); i >= 0 {
		p.replaceRelocated(i, m)
		return true
	}
	for _, presence := range p.Presence {
		if presence == Uncertain {
			return false
		}
	}
	if i := p.replaceableIndex(m); i >= 0 {
		p.replaceAt(i, m)
		return true
	}
	p.candidates = append(p.candidates, m)
	return true
}

// replaceRelocated handles a newcomer whose name is in the set with another address.
func (p *plan) replaceRelocated(i int, m Member) {
	switch p.Presence[p.next[i].Ident] {
	case Absent:
		p.replaceAt(i, m)
	case Uncertain:
		p.wait = true
	}
}

// replaceableIndex returns the index of an absent machine that a newcomer may replace,
// preferably in its own zone, or -1. A newcomer that has been outside the set for at least
// ReplaceAfter waits as long as a spare does, since most absent machines are only restarting.
func (p *plan) replaceableIndex(m Member) int {
	replaceable := func(s spec.Machine) bool {
		return p.absent(s) && (m.OutsideFor < ReplaceAfter || p.longUnresponsive(s.Ident))
	}
	i := slices.IndexFunc(p.next, func(s spec.Machine) bool { return replaceable(s) && s.Zone == m.Machine.Zone })
	if i >= 0 {
		return i
	}
	return slices.IndexFunc(p.next, replaceable)
}

// admitCandidates adds candidates as additional machines: all of them to a set of stores,
// and to a set of cores as many as keep its size odd.
func (p *plan) admitCandidates() {
	if p.Set == Stores {
		for _, m := range p.candidates {
			p.admitAdditional(m)
		}
		return
	}
	if len(p.next)%2 == 0 && len(p.candidates) > 0 {
		p.admitAdditional(p.takeCandidate())
	}
	for len(p.candidates) > 1 {
		first, second := p.takeCandidate(), p.takeCandidate()
		larger := append(slices.Clone(p.next), first.Machine, second.Machine)
		if toleratesZoneLoss(p.next) && !toleratesZoneLoss(larger) {
			return
		}
		p.admitAdditional(first)
		p.admitAdditional(second)
	}
}

// admitAdditional admits a newcomer without replacing a machine.
func (p *plan) admitAdditional(m Member) {
	p.next = append(p.next, spec.Machine{})
	p.replaceAt(len(p.next)-1, m)
	if !p.Forming {
		p.target.Spares = append(p.target.Spares, m.Machine.Ident)
	}
}

// takeCandidate removes and returns the first candidate of the zone that has the fewest
// machines in the set.
func (p *plan) takeCandidate() Member {
	zoneSizes := map[string]int{}
	for _, m := range p.next {
		zoneSizes[m.Zone]++
	}
	best := 0
	for i, m := range p.candidates {
		if zoneSizes[m.Machine.Zone] < zoneSizes[p.candidates[best].Machine.Zone] {
			best = i
		}
	}
	m := p.candidates[best]
	p.candidates = slices.Delete(p.candidates, best, best+1)
	return m
}

// toleratesZoneLoss reports whether a majority of a set remains after the loss of any one
// zone.
func toleratesZoneLoss(set []spec.Machine) bool {
	zoneSizes := map[string]int{}
	for _, m := range set {
		zoneSizes[m.Zone]++
	}
	for _, n := range zoneSizes {
		if n*2 >= len(set) {
			return false
		}
	}
	return true
}

// onlyIdleCandidate reports whether the only newcomer is a core that has been outside the set
// for at least ReplaceAfter, would make the number of cores even, and can replace no machine
// now. The machines of the set are then not probed.
func (p *plan) onlyIdleCandidate() bool {
	if p.Set != Cores || len(p.newcomers) != 1 || len(p.next)%2 == 0 || p.newcomers[0].OutsideFor < ReplaceAfter {
		return false
	}
	return !slices.ContainsFunc(p.next, func(s spec.Machine) bool {
		return s.ID == p.newcomers[0].Machine.ID || p.longUnresponsive(s.Ident)
	})
}

// dropAbsent removes absent machines that are replaced by spares. Cores are removed only as
// far as the resulting number is odd.
func (p *plan) dropAbsent() {
	next, promoted := slices.Clone(p.next), []string(nil)
	for _, ident := range p.spares {
		i := slices.IndexFunc(next, func(s spec.Machine) bool {
			return p.absent(s) && p.longUnresponsive(s.Ident) && s.Ident != ident
		})
		if i < 0 || len(next) <= p.minSize() {
			return
		}
		next = slices.Delete(next, i, i+1)
		promoted = append(promoted, ident)
		if p.Set == Stores || len(next)%2 == 1 {
			p.next, p.target.Promoted = slices.Clone(next), slices.Clone(promoted)
		}
	}
}

// firstStores computes the first set of stores from all stores in contact. It waits for more
// of them until no new store has made contact for a time that depends on their number.
func firstStores(o Observation) Decision {
	p := newPlan(o)
	zones := map[string]bool{}
	for _, m := range eligibleNewcomers(o) {
		// Of several stores with the same name, the latest start is sorted first and wins.
		taken := slices.ContainsFunc(
			p.next,
			func(s spec.Machine) bool { return s.ID == m.Machine.ID || s.Addr == m.Machine.Addr },
		)
		if taken {
			continue
		}
		p.next = append(p.next, spec.Machine{})
		p.replaceAt(len(p.next)-1, m)
		zones[m.Machine.Zone] = true
	}
	copies := cluster.Copies(o.Cluster)
	quietPeriod := minorityWait
	switch {
	case len(p.next) >= copies && len(zones) >= min(copies, len(o.Cluster.Spec.Zones)):
		quietPeriod = fullSetWait
	case len(p.next)*2 > copies:
		quietPeriod = majorityWait
	}
	p.wait = len(p.next) > 0 && o.NewcomerAge < quietPeriod
	return p.decision()
}

// Stalled reports whether a change waits for a machine that will not complete its transfer
// because it is absent or has come back with another identity. If machines must be probed to
// determine this, it returns them.
func (c Change) Stalled(o Observation) (stalled bool, probe []spec.Machine) {
	receivers := c.Receivers(cluster.Copies(o.Cluster))
	unresponsive := false
	for _, m := range o.Members {
		wiped := func(s spec.Machine) bool { return s.Addr == m.Machine.Addr && s.Ident != m.Machine.Ident }
		if m.Live && slices.ContainsFunc(receivers, wiped) {
			return true, nil
		}
		unresponsive = unresponsive || Has(receivers, m.Machine.Ident) && m.UnresponsiveFor >= AbsentAfter
	}
	if !unresponsive {
		return false, nil
	}
	if o.Presence == nil {
		return false, receivers
	}
	return slices.ContainsFunc(receivers, func(m spec.Machine) bool { return o.Presence[m.Ident] == Absent }), nil
}

// IsReconciler reports whether a core runs the reconcilers: the first voter by name among
// those in contact. If two cores run them concurrently, they only do the same work twice, so
// a voter that has missed a lease renewal is skipped.
func IsReconciler(c *spec.Cluster, self spec.Machine, members []Member) bool {
	voters := slices.Concat(c.Cores, c.NextCores)
	for _, m := range members {
		if m.Live && m.UnresponsiveFor < missedRenewalTimeout && m.Machine.ID < self.ID && m.Machine.Ident != "" &&
			Has(voters, m.Machine.Ident) {
			return false
		}
	}
	return self.Ident != "" && Has(voters, self.Ident)
}

// missedRenewalTimeout is the time without contact after which a machine has missed a lease
// renewal.
const missedRenewalTimeout = 1500 * time.Millisecond

// Confirmed reports whether a majority of a set has a cluster version in force, given the
// version that each identity has confirmed. Machines that have confirmed it refuse requests
// that act on an older set.
func Confirmed(set []spec.Machine, versions map[string]uint64, version uint64) bool {
	confirmed := 0
	for _, m := range set {
		if versions[m.Ident] >= version {
			confirmed++
		}
	}
	return confirmed*2 > len(set)
}

// Fenced reports whether the stores that have not confirmed a version are, in the current and
// in the next set, too few to form a majority of any key's replicas.
func Fenced(c *spec.Cluster, confirmed func(spec.Machine) bool) bool {
	for _, set := range [][]spec.Machine{c.Stores, c.NextStores} {
		var unconfirmed []spec.Machine
		for _, m := range set {
			if !confirmed(m) {
				unconfirmed = append(unconfirmed, m)
			}
		}
		if !IsMinority(set, unconfirmed, cluster.Copies(c)) {
			return false
		}
	}
	return len(c.Stores) > 0
}
