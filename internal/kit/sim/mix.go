package sim

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"damsontiller/internal/proto/spec"
)

// SyncTime is for how long a counted machine is taken as lost after its return: the
// next loss may come then, whether or not the fleet is complete again.
const SyncTime = 4200 * time.Millisecond

// Family groups faults that are drawn by one goroutine, one after another.
// Different families overlap as they come.
type Family int

// The families.
const (
	Counted   Family = iota // lose one machine with a disk, or one zone, at a time
	Edges                   // lose edges, in any number
	Runners                 // fault back ends
	Operators               // order changes
	Families
)

// Fault is one kind of fault. Its name is the bench's kind and, after a slash, its
// how. Run returns once the fault is over; what a counted fault returns after, the
// sync time follows.
type Fault struct {
	Name   string
	Family Family
	Run    func(*Draw)
}

// Draw is one fault that was drawn: the mix that it is part of, and its chances.
type Draw struct {
	*Mix
	Rand *rand.Rand
}

// between is a random time.
func (d *Draw) between(least, most time.Duration) time.Duration {
	return least + time.Duration(d.Rand.Int64N(int64(most-least)+1))
}

// wait lets a random time pass.
func (d *Draw) wait(least, most time.Duration) { time.Sleep(d.between(least, most)) }

// long is a random time that is mostly short, and at times up to 20 s.
func (d *Draw) long() time.Duration {
	if d.Rand.IntN(5) > 0 {
		return d.between(time.Second, 6*time.Second)
	}
	return d.between(6*time.Second, 20*time.Second)
}

// member draws a machine in use of a role.
func (d *Draw) member(role string) string {
	in := d.members(role)
	return in[d.Rand.IntN(len(in))]
}

// counted draws a machine whose loss is counted.
func (d *Draw) counted() string {
	in := d.countedMembers()
	return in[d.Rand.IntN(len(in))]
}

// Mix draws faults at random under a seed, within what the fleet must bear.
type Mix struct {
	Sim    *Sim
	Config *ConfigLog
	Turns  *TurnLog
	Raw    *RawLog

	ctx  context.Context
	seed uint64

	mu      sync.Mutex
	inUse   map[string][]string // ids by role
	unused  map[string][]string
	claimed map[string]bool
	fired   map[string]int
	history []string
	wrong   []string
}

// NewMix makes a mix over a fleet that runs and whose sets are self-managed.
func NewMix(ctx context.Context, s *Sim, seed uint64) *Mix {
	m := &Mix{
		Sim:     s,
		ctx:     ctx,
		seed:    seed,
		inUse:   map[string][]string{},
		unused:  map[string][]string{},
		claimed: map[string]bool{},
		fired:   map[string]int{},
	}
	for _, x := range s.Machines {
		if x.Spare {
			m.unused[x.Role] = append(m.unused[x.Role], x.ID)
		} else {
			m.inUse[x.Role] = append(m.inUse[x.Role], x.ID)
		}
	}
	m.Config = NewConfigLog(s, m.fail)
	m.Turns = NewTurnLog(s, m.fail)
	m.Raw = NewRawLog(s, seed, m.fail)
	return m
}

// fail notes something that must not happen.
func (m *Mix) fail(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := time.Now().Format("15:04:05.000")
	m.wrong = append(m.wrong, at+" "+fmt.Sprintf(format, args...))
}

// Wrong is all that must not have happened and did.
func (m *Mix) Wrong() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.wrong)
}

// Fired counts the faults by name.
func (m *Mix) Fired() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.fired)
}

// History tells what was done, in order.
func (m *Mix) History() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return strings.Join(m.history, "\n")
}

// record writes a step of a fault down.
func (m *Mix) record(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history = append(m.history, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

func (m *Mix) members(role string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.inUse[role])
}

func (m *Mix) countedMembers() []string {
	return append(m.members("core"), m.members("store")...)
}

// everybody is every machine in use.
func (m *Mix) everybody() []string {
	return append(m.countedMembers(), m.members("edge")...)
}

// spare takes a machine that is not in use, with an empty disk, into use.
func (m *Mix) spare(role string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	left := m.unused[role]
	if len(left) == 0 {
		return "", false
	}
	m.unused[role] = left[1:]
	m.inUse[role] = append(m.inUse[role], left[0])
	return left[0], true
}

// retireFromUse forgets a machine that has departed for good.
func (m *Mix) retireFromUse(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for role, in := range m.inUse {
		m.inUse[role] = slices.DeleteFunc(in, func(x string) bool { return x == id })
	}
}

// claim takes machines for one fault, once no other has any of them, and gives the
// function that releases them.
func (m *Mix) claim(ids ...string) (release func()) {
	for !m.tryClaim(ids) {
		time.Sleep(20 * time.Millisecond)
	}
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		for _, id := range ids {
			delete(m.claimed, id)
		}
	}
}

func (m *Mix) tryClaim(ids []string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if slices.ContainsFunc(ids, func(id string) bool { return m.claimed[id] }) {
		return false
	}
	for _, id := range ids {
		m.claimed[id] = true
	}
	return true
}

// up starts machines that are down.
func (m *Mix) up(ids ...string) {
	for _, id := range ids {
		if err := m.Sim.Up(m.ctx, id, false); err != nil {
			m.fail("%s does not start: %v", id, err)
		}
	}
}

// Run draws faults of every family until the time is over, then ends those that are
// still under way. With each fault's own sync time the fleet has had what it is due.
func (m *Mix) Run(d time.Duration) {
	end := time.Now().Add(d)
	var wg sync.WaitGroup
	for f := range Families {
		wg.Go(func() { m.family(f, end) })
	}
	wg.Wait()
}

func (m *Mix) family(f Family, end time.Time) {
	rnd := rand.New(rand.NewPCG(m.seed, uint64(f)+100))
	var all []Fault
	for _, x := range Faults {
		if x.Family == f {
			all = append(all, x)
		}
	}
	var deck []Fault
	for time.Now().Before(end) {
		if len(deck) == 0 {
			deck = slices.Clone(all)
			rnd.Shuffle(len(deck), func(i, j int) { deck[i], deck[j] = deck[j], deck[i] })
		}
		m.fire(deck[0], rand.New(rand.NewPCG(rnd.Uint64(), 1)))
		// At times the same comes once more at once.
		if rnd.IntN(6) > 0 {
			deck = deck[1:]
		}
		time.Sleep(time.Duration(100+rnd.IntN(1000)) * time.Millisecond)
	}
}

// Fire causes one fault by name and waits until it is over.
func (m *Mix) Fire(name string) {
	for i, f := range Faults {
		if f.Name == name {
			m.fire(f, rand.New(rand.NewPCG(m.seed, uint64(i))))
			return
		}
	}
	m.fail("no fault %q", name)
}

func (m *Mix) fire(f Fault, rnd *rand.Rand) {
	m.record("%s begins", f.Name)
	d := &Draw{m, rnd}
	d.faultBackends(f.Name)
	f.Run(d)
	m.mu.Lock()
	m.fired[f.Name]++
	m.mu.Unlock()
	m.record("%s ends", f.Name)
	if f.Family == Counted {
		time.Sleep(SyncTime)
	}
}

// Complete tells what keeps the sets from being the machines in use, as they are (Lacks),
// with no change under way; empty: nothing.
func (m *Mix) Complete() string {
	v := m.Sim.Cluster()
	if n := len(v.NextCores) + len(v.NextStores); n > 0 {
		return fmt.Sprintf(
			"version %d: a change is under way: cores %v to %v, stores %v to %v",
			v.Version,
			v.Cluster.Cores,
			v.NextCores,
			v.Cluster.Stores,
			v.NextStores,
		)
	}
	for role, set := range map[string][]spec.Machine{"core": v.Cluster.Cores, "store": v.Cluster.Stores} {
		if why := m.Sim.Lacks(role, set, m.members(role)); why != "" {
			return fmt.Sprintf("version %d: %s", v.Version, why)
		}
	}
	return ""
}

// WaitBackground checks, once all faults are over, what must hold then: sets as large as
// before and complete, the newest acknowledged configuration in force, zones as
// acknowledged, kept turns there.
func (m *Mix) WaitBackground() {
	Until(20*time.Second, func() bool { return m.Complete() == "" })
	if w := m.Complete(); w != "" {
		m.fail("sets are not whole: %s", w)
	}
	m.Config.ReadBack()
	m.Turns.ReadBack()
	m.Raw.ReadBack()
}

// Use starts machines that were laid out only, and counts them as in use.
func (m *Mix) Use(ids ...string) {
	m.mu.Lock()
	for role, left := range m.unused {
		for _, id := range ids {
			if slices.Contains(left, id) {
				m.inUse[role] = append(m.inUse[role], id)
			}
		}
		m.unused[role] = slices.DeleteFunc(slices.Clone(left), func(x string) bool { return slices.Contains(ids, x) })
	}
	m.mu.Unlock()
	m.up(ids...)
}

// Forget counts a machine as departed for good.
func (m *Mix) Forget(id string) { m.retireFromUse(id) }
