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
	// machine.
	AbsentAfter = 2 * time.Second
	// ReplaceAfter is the time without contact after which a spare that was admitted
	// earlier replaces a machine. It is longer than most restarts take.
	ReplaceAfter = 3 * time.Second
	// MinCores is the least number of cores that a set keeps.
	MinCores = 3
)

// For how long no new store must have come when the first set of them is made of those
// that are there.
const (
	fullSetWait  = 150 * time.Millisecond // there are as many as the copies, in enough zones
	majorityWait = time.Second            // there is a majority of the copies
	minorityWait = 5 * time.Second        // so few that the loss of one would lose what it keeps
)

// Member is what a core knows of a machine from its renewals.
type Member struct {
	Machine spec.Machine
	Start   uint64 // the number of its process's start
	// IdentityVersion is the version of the cluster that its identity was made under.
	IdentityVersion uint64
	// Confirmed reports whether a majority of a set has a version in force, by what each
	// identity has confirmed. These refuse requests that act on an older set.
	Confirmed       uint64 // the version that it has in force
	Live            bool   // its lease runs
	UnresponsiveFor time.Duration
	// OutsideFor is how long ago this core first saw it stand outside the set.
	OutsideFor time.Duration
}

// WithSelf replaces whatever the table shows of a core itself by its own entry as it is
// now. A core renews its lease at itself only while it is in the set, so its table may
// still show an identity of its own that was removed: by that, a core that has just been
// chosen for the next set would take itself for one that lost its disk, and revert the
// change.
func WithSelf(members []Member, self Member) []Member {
	out := slices.DeleteFunc(slices.Clone(members), func(m Member) bool {
		return m.Machine.ID == self.Machine.ID && m.Machine.Addr == self.Machine.Addr
	})
	self.Live = true
	self.UnresponsiveFor = 0
	return append(out, self)
}

// Presence is the outcome of asking a machine whether it is there.
type Presence int

// A machine that was not asked counts as present.
const (
	Present   Presence = iota
	Uncertain          // it does not answer, but has not been unresponsive for long
	Absent
)

// PresenceOf judges a machine by whether it answered, and for how long it had been
// unresponsive.
func PresenceOf(answered bool, unresponsive time.Duration) Presence {
	switch {
	case answered:
		return Present
	case unresponsive >= AbsentAfter:
		return Absent
	}
	return Uncertain
}

// Observation is all that a decision about a set rests on.
type Observation struct {
	Set     Set
	Cluster *spec.Cluster
	Members []Member // of the set's role
	// Presence is by identity; nil where nobody has been asked yet.
	Presence map[string]Presence
	// Forming tells that the cluster is so young that newcomers are machines of the
	// first hour, which take nobody's place later.
	Forming bool
	// NewcomerAge is how long ago the last store came that had not been seen before.
	NewcomerAge time.Duration
}

// Target is what a set should be.
type Target struct {
	Machines []spec.Machine
	// Spares are newcomers admitted beside the others, who may take the place of one of
	// them later; Spent are those who do so now.
	Spares, Promoted []string
	// IdentityVersions are those of the newcomers, by identity.
	IdentityVersions map[string]uint64
}

// Decision is a target, or the reason why there is none yet.
type Decision struct {
	Target
	// Probe are the machines that must be asked whether they are there first.
	Probe []spec.Machine
	// Wait tells that the target can't be said yet, or not all of it.
	Wait bool
}

// Decide computes what a set should be. A machine is never removed only because it is
// unresponsive, since it may come back with its data; a newcomer has to replace it. A
// newcomer that finds all machines present is admitted as a spare and replaces whichever
// fails next. So a set never shrinks, unless an operator retires a store.
//
// Cores come and go by twos, so that their number is odd: of an even number a majority is
// one more than half, and bears the loss of no more machines than the odd number below it.
// A newcomer that would make their number even stands outside as a candidate, and replaces
// whichever fails next.
func Decide(o Observation) Decision {
	if o.Set == Stores && len(o.Cluster.Stores) == 0 {
		return firstStores(o)
	}
	p := newPlan(o)
	p.dropRetired()
	p.replaceWiped()
	if len(p.newcomers) == 0 && !p.mayDrop() || p.onlyCandidates() {
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

// plan is a target while it is computed.
type plan struct {
	Observation
	now, want  []spec.Machine
	newcomers  []Member // that no place has been found for yet
	candidates []Member // those that find no place but beside the others
	spares     []string // of those in want, who may take another's place
	target     Target
	wait       bool
}

func newPlan(o Observation) *plan {
	now := Of(o.Cluster, o.Set).Now
	return &plan{
		Observation: o,
		now:         now,
		want:        slices.Clone(now),
		target:      Target{IdentityVersions: map[string]uint64{}},
	}
}

func (p *plan) decision() Decision {
	p.target.Machines = p.want
	return Decision{Target: p.target, Wait: p.wait}
}

// minSize is how many machines the set keeps at least.
func (p *plan) minSize() int {
	if p.Set == Cores {
		return MinCores
	}
	return cluster.Copies(p.Cluster)
}

// candidates are the live machines outside the set that may join it, one of each address, by
// name; of one name the latest start comes first.
func candidates(o Observation) []Member {
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
	return oneOfEachAddress(out)
}

// oneOfEachAddress leaves out candidates whose address another uses since: of one name that
// with the later start, which comes first, of two names that which was heard from last.
func oneOfEachAddress(sorted []Member) []Member {
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

// dropRetired removes the stores that operators have retired, as long as enough are left.
func (p *plan) dropRetired() {
	if p.Set != Stores {
		return
	}
	for _, id := range p.Cluster.Retired {
		i := slices.IndexFunc(p.want, func(m spec.Machine) bool { return m.ID == id })
		if i >= 0 && len(p.want) > p.minSize() {
			p.want = slices.Delete(p.want, i, i+1)
		}
	}
}

// replaceWiped replaces each machine whose address has come back with a newer identity: it
// has lost its disk. The other candidates are left as newcomers.
func (p *plan) replaceWiped() {
	waiting := candidates(p.Observation)
	for len(waiting) > 0 {
		successor := waiting[0]
		waiting = waiting[1:]
		i := slices.IndexFunc(p.want, func(s spec.Machine) bool { return s.Addr == successor.Machine.Addr })
		if i < 0 {
			p.newcomers = append(p.newcomers, successor)
			continue
		}
		// Both disks are empty, so the place goes to the lost machine's own zone: a set that
		// bears the loss of any one zone must not lose that by a repair.
		if other := p.takeOfZone(&waiting, successor, p.want[i].Zone); other != nil {
			p.newcomers = append(p.newcomers, successor)
			successor = *other
		}
		if slices.Contains(p.Cluster.Spares, p.want[i].Ident) {
			p.target.Spares = append(p.target.Spares, successor.Machine.Ident)
		}
		p.replaceAt(i, successor)
	}
	for _, m := range p.want {
		if slices.Contains(p.Cluster.Spares, m.Ident) {
			p.spares = append(p.spares, m.Ident)
		}
	}
}

// takeOfZone takes, where the successor of a lost machine is of another zone, a candidate of
// the lost one's zone that neither has nor claims a place of its own in the set. It is nil if
// there is none.
func (p *plan) takeOfZone(waiting *[]Member, successor Member, zone string) *Member {
	if successor.Machine.Zone == zone {
		return nil
	}
	for _, from := range []*[]Member{&p.newcomers, waiting} {
		i := slices.IndexFunc(*from, func(m Member) bool {
			return m.Machine.Zone == zone && !slices.ContainsFunc(p.want, func(s spec.Machine) bool {
				return s.ID == m.Machine.ID || s.Addr == m.Machine.Addr
			})
		})
		if i >= 0 {
			taken := (*from)[i]
			*from = slices.Delete(*from, i, i+1)
			return &taken
		}
	}
	return nil
}

// replaceAt replaces the machine at an index by a newcomer.
func (p *plan) replaceAt(i int, m Member) {
	p.want[i] = m.Machine
	p.target.IdentityVersions[m.Machine.Ident] = m.IdentityVersion
}

// mayDrop reports whether a spare could replace a machine now.
func (p *plan) mayDrop() bool {
	return len(p.spares) > 0 &&
		slices.ContainsFunc(p.want, func(m spec.Machine) bool { return p.longUnresponsive(m.Ident) })
}

func (p *plan) longUnresponsive(ident string) bool {
	i := slices.IndexFunc(p.Members, func(m Member) bool { return m.Machine.Ident == ident })
	return i >= 0 && p.Members[i].UnresponsiveFor >= ReplaceAfter
}

// remaining are the machines of the present set that are to stay.
func (p *plan) remaining() []spec.Machine {
	var out []spec.Machine
	for _, m := range p.now {
		if Has(p.want, m.Ident) {
			out = append(out, m)
		}
	}
	return out
}

func (p *plan) absent(m spec.Machine) bool { return p.Presence[m.Ident] == Absent }

// admitNewcomer has a newcomer replace the machine of its own name at an earlier address,
// or an absent machine, of its own zone if there is one; else it is admitted as a spare.
// It reports false where it is uncertain whether some machine is absent that it could
// replace.
func (p *plan) admitNewcomer(m Member) bool {
	if i := slices.IndexFunc(p.want, func(s spec.Machine) bool { return s.ID == m.Machine.ID }); i >= 0 {
		p.replaceRelocated(i, m)
		return true
	}
	for _, presence := range p.Presence {
		if presence == Uncertain {
			return false
		}
	}
	if i := p.vacant(m); i >= 0 {
		p.replaceAt(i, m)
		return true
	}
	p.candidates = append(p.candidates, m)
	return true
}

// replaceRelocated handles a newcomer whose name is in the set at another address.
func (p *plan) replaceRelocated(i int, m Member) {
	switch p.Presence[p.want[i].Ident] {
	case Absent:
		p.replaceAt(i, m)
	case Uncertain:
		p.wait = true
	}
}

// vacant is the index of an absent machine that a newcomer may replace, of its zone if
// there is one; else -1. One that has stood outside for a while waits for as long as a spare
// does: most machines that are absent only start anew.
func (p *plan) vacant(m Member) int {
	vacant := func(s spec.Machine) bool {
		return p.absent(s) && (m.OutsideFor < ReplaceAfter || p.longUnresponsive(s.Ident))
	}
	i := slices.IndexFunc(p.want, func(s spec.Machine) bool { return vacant(s) && s.Zone == m.Machine.Zone })
	if i >= 0 {
		return i
	}
	return slices.IndexFunc(p.want, vacant)
}

// admitCandidates admits newcomers beside the others: all of them to a set of stores, to one
// of cores as many as leave an odd number.
func (p *plan) admitCandidates() {
	if p.Set == Stores {
		for _, m := range p.candidates {
			p.admitBeside(m)
		}
		return
	}
	if len(p.want)%2 == 0 && len(p.candidates) > 0 {
		p.admitBeside(p.takeCandidate())
	}
	for len(p.candidates) > 1 {
		first, second := p.takeCandidate(), p.takeCandidate()
		larger := append(slices.Clone(p.want), first.Machine, second.Machine)
		if bearsZoneLoss(p.want) && !bearsZoneLoss(larger) {
			return
		}
		p.admitBeside(first)
		p.admitBeside(second)
	}
}

// admitBeside admits a newcomer that replaces nobody now.
func (p *plan) admitBeside(m Member) {
	p.want = append(p.want, spec.Machine{})
	p.replaceAt(len(p.want)-1, m)
	if !p.Forming {
		p.target.Spares = append(p.target.Spares, m.Machine.Ident)
	}
}

// takeCandidate takes the first candidate of the zone that has fewest machines in the set.
func (p *plan) takeCandidate() Member {
	inZone := map[string]int{}
	for _, m := range p.want {
		inZone[m.Zone]++
	}
	best := 0
	for i, m := range p.candidates {
		if inZone[m.Machine.Zone] < inZone[p.candidates[best].Machine.Zone] {
			best = i
		}
	}
	m := p.candidates[best]
	p.candidates = slices.Delete(p.candidates, best, best+1)
	return m
}

// bearsZoneLoss reports whether a majority of a set is left without any one zone.
func bearsZoneLoss(set []spec.Machine) bool {
	inZone := map[string]int{}
	for _, m := range set {
		inZone[m.Zone]++
	}
	for _, n := range inZone {
		if n*2 >= len(set) {
			return false
		}
	}
	return true
}

// onlyCandidates reports whether the only newcomer is a core that has stood outside for a
// while, would make the number of cores even, and could replace nobody now.
func (p *plan) onlyCandidates() bool {
	if p.Set != Cores || len(p.newcomers) != 1 || len(p.want)%2 == 0 || p.newcomers[0].OutsideFor < ReplaceAfter {
		return false
	}
	return !slices.ContainsFunc(p.want, func(s spec.Machine) bool {
		return s.ID == p.newcomers[0].Machine.ID || p.longUnresponsive(s.Ident)
	})
}

// dropAbsent removes absent machines that spares replace. Of cores it leaves an odd number.
func (p *plan) dropAbsent() {
	want, promoted := slices.Clone(p.want), []string(nil)
	for _, ident := range p.spares {
		i := slices.IndexFunc(want, func(s spec.Machine) bool {
			return p.absent(s) && p.longUnresponsive(s.Ident) && s.Ident != ident
		})
		if i < 0 || len(want) <= p.minSize() {
			return
		}
		want = slices.Delete(want, i, i+1)
		promoted = append(promoted, ident)
		if p.Set == Stores || len(want)%2 == 1 {
			p.want, p.target.Promoted = slices.Clone(want), slices.Clone(promoted)
		}
	}
}

// firstStores computes the first set of stores: all that are there once they are enough,
// or once no more come.
func firstStores(o Observation) Decision {
	p := newPlan(o)
	zones := map[string]bool{}
	for _, m := range candidates(o) {
		// Of two at one place or of one name the later start is meant, which came first.
		taken := slices.ContainsFunc(
			p.want,
			func(s spec.Machine) bool { return s.ID == m.Machine.ID || s.Addr == m.Machine.Addr },
		)
		if taken {
			continue
		}
		p.want = append(p.want, spec.Machine{})
		p.replaceAt(len(p.want)-1, m)
		zones[m.Machine.Zone] = true
	}
	copies := cluster.Copies(o.Cluster)
	quiet := minorityWait
	switch {
	case len(p.want) >= copies && len(zones) >= min(copies, len(o.Cluster.Spec.Zones)):
		quiet = fullSetWait
	case len(p.want)*2 > copies:
		quiet = majorityWait
	}
	p.wait = len(p.want) > 0 && o.NewcomerAge < quiet
	return p.decision()
}

// Stalled reports whether a change waits for a machine that will not complete it, because
// it has departed or has come back with another identity. Where that can only be said
// after some machines have been asked, it returns those.
func (c Change) Stalled(o Observation) (stalled bool, ask []spec.Machine) {
	need := c.Receivers(cluster.Copies(o.Cluster))
	unresponsive := false
	for _, m := range o.Members {
		wiped := func(s spec.Machine) bool { return s.Addr == m.Machine.Addr && s.Ident != m.Machine.Ident }
		if m.Live && slices.ContainsFunc(need, wiped) {
			return true, nil
		}
		unresponsive = unresponsive || Has(need, m.Machine.Ident) && m.UnresponsiveFor >= AbsentAfter
	}
	if !unresponsive {
		return false, nil
	}
	if o.Presence == nil {
		return false, need
	}
	return slices.ContainsFunc(need, func(m spec.Machine) bool { return o.Presence[m.Ident] == Absent }), nil
}

// IsReconciler reports whether a core runs the reconcilers: the first by name of the
// voters that are in contact. Two that run them at once only do the same work twice, so
// one that has missed a renewal is skipped.
func IsReconciler(c *spec.Cluster, self spec.Machine, members []Member) bool {
	voters := slices.Concat(c.Cores, c.NextCores)
	for _, m := range members {
		if m.Live && m.UnresponsiveFor < leaderTimeout && m.Machine.ID < self.ID && m.Machine.Ident != "" &&
			Has(voters, m.Machine.Ident) {
			return false
		}
	}
	return self.Ident != "" && Has(voters, self.Ident)
}

// leaderTimeout is the time without contact of a machine that has missed a renewal.
const leaderTimeout = 1500 * time.Millisecond

// Confirmed reports whether a majority of a set has a version in force, by what each
// identity has confirmed. These refuse whoever deals with them under an older set.
func Confirmed(set []spec.Machine, versions map[string]uint64, version uint64) bool {
	n := 0
	for _, m := range set {
		if versions[m.Ident] >= version {
			n++
		}
	}
	return n*2 > len(set)
}

// Fenced reports whether in no set of stores those that have not confirmed a version could
// form a majority of some key's replicas.
func Fenced(c *spec.Cluster, confirmed func(spec.Machine) bool) bool {
	for _, set := range [][]spec.Machine{c.Stores, c.NextStores} {
		var behind []spec.Machine
		for _, m := range set {
			if !confirmed(m) {
				behind = append(behind, m)
			}
		}
		if !IsMinority(set, behind, cluster.Copies(c)) {
			return false
		}
	}
	return len(c.Stores) > 0
}
