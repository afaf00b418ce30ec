package soak

import (
	"slices"
	"sync"
	"time"
)

// fleet is the machines of a deployment, which come and go. Its methods may be called
// concurrently.
type fleet struct {
	mu       sync.Mutex
	machines []*Machine
	removed  []*Machine
}

func (f *fleet) add(m *Machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.machines = append(f.machines, m)
}

// remove takes a machine out for good.
func (f *fleet) remove(m *Machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.machines = slices.DeleteFunc(f.machines, func(other *Machine) bool { return other == m })
	f.removed = append(f.removed, m)
}

// all are the machines that there are.
func (f *fleet) all() []*Machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.machines)
}

// ever are all machines that there have been.
func (f *fleet) ever() []*Machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Concat(f.machines, f.removed)
}

func (f *fleet) role(role string) []*Machine { return ofRole(f.all(), role) }

func (f *fleet) everOf(role string) []*Machine { return ofRole(f.ever(), role) }

func ofRole(machines []*Machine, role string) []*Machine {
	return slices.DeleteFunc(machines, func(m *Machine) bool { return m.Role != role })
}

// newcomer makes a machine that there has not been, of a role and a zone. It is not in the fleet yet.
func (r *Rig) newcomer(role, zone string) *Machine {
	r.made[role]++
	firstFree := map[string]int{roleStore: r.params.Stores, roleEdge: (r.params.Edges-1)/len(zones) + 1}[role]
	m := r.newMachine(role, slices.Index(zones, zone), firstFree+r.made[role])
	m.seeds = r.fleet.role(roleCore)[0].seeds
	return m
}

// diskBudget is how many disks may be lost at once.
const diskBudget = 2

// disks counts those that are lost: each until its machine, or another in its place, has been
// back for syncTime.
type disks struct {
	mu   sync.Mutex
	lost []time.Time
}

// left is how many more may be lost now.
func (d *disks) left() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := diskBudget
	for _, at := range d.lost {
		if time.Since(at) < 2*syncTime {
			n--
		}
	}
	return max(n, 0)
}

func (d *disks) lose() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lost = append(d.lost, time.Now())
}
