// Package soak runs a whole deployment as real processes on loopback, as the platform
// starts them: with settings files, under a supervisor, before stand-ins for the platform's
// list of runners, for the runners and for the operator. Clients keep using their
// connections until these are closed. Meanwhile signals, kills, lost disks, held ports and
// changes of the configuration come in series that overlap, drawn from a seed. What its own
// clients, runners and operators saw is judged afterwards.
//
// It covers what the simulated fleet can't: the scheduler on several processors, the
// kernel's sockets and signals, the syncs of a real disk, and the start-up of a process.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"damsontiller/internal/transport/loop"
)

// Params shape a run.
type Params struct {
	Bin  string // folder with the programs
	Dir  string // folder for settings, data and logs
	Seed uint64
	// Traffic is how long clients work before the closing fault.
	Traffic time.Duration
	// After is how long they work on once all machines are back.
	After time.Duration
	// Of each role, and clients, each with one connection.
	Cores, Stores, Edges, Clients int
	// CoreShare is the part of the time in which core processes may run; 0: all of it.
	CoreShare float64
	// IdleRoutes are routes of the configuration that nobody calls.
	IdleRoutes int
	// Smallest: the machines have the memory of the smallest ones of the users' deployments.
	Smallest bool
	// Quotas plays tenants over their limits, edges that are restarted in turn, leave and are cut
	// off, and limits that change, in place of lost disks and changes of the stores.
	Quotas bool
	Out    io.Writer
}

func (p Params) memory() memoryMB {
	if p.Smallest {
		return smallestMemory
	}
	return usualMemory
}

// Timing of the deployment that is played; the settings files tell it to the processes.
const (
	contact     = 4 * time.Second
	grace       = 8 * time.Second
	configApply = 2500 * time.Millisecond
	stretch     = 6 * time.Second
	lossSlack   = 200 * time.Millisecond
	revertSlack = 250 * time.Millisecond
	syncTime    = 6 * time.Second
	// recoverWithin is how soon service must be back after a closing fault.
	recoverWithin = 15 * time.Second
	// startTimeout bounds the first start.
	startTimeout = 30 * time.Second
)

// Rig is a deployment under test.
type Rig struct {
	params Params
	fleet  fleet
	disks  disks
	// made counts the machines of each role that came later.
	made     map[string]int
	net      string // the first two octets of all addresses
	taken    net.Listener
	ledger   *ledger
	platform *platformList
	spoilers *spoilers
	entry    *entry
	operator *operator
	clients  []*client
	// bursting are the clients of the tenants that send more than they may.
	bursting []*client
	bursts   []*burst // of these tenants
	begun    time.Time
}

// Run plays one run and judges it.
func Run(ctx context.Context, p Params) (*Report, error) {
	r, err := newRig(p)
	if err != nil {
		return nil, err
	}
	defer r.stop()
	r.begun = time.Now()
	for _, m := range r.fleet.all() {
		m.Start()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var background sync.WaitGroup
	background.Go(func() { r.entry.run(ctx) })
	background.Go(func() { r.watchMemory(ctx) })
	if p.CoreShare > 0 {
		for _, m := range r.fleet.role(roleCore) {
			background.Go(func() { m.throttle(ctx, p.CoreShare) })
		}
	}
	if err := r.untilServing(ctx); err != nil {
		return nil, err
	}
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	for _, c := range slices.Concat(r.clients, r.bursting) {
		background.Go(func() { c.run(traffic) })
	}
	for _, b := range r.bursts {
		background.Go(func() { b.run(traffic) })
	}
	background.Go(func() { r.operator.probe(traffic) })
	changes, stopChanges := context.WithCancel(ctx)
	defer stopChanges()
	var changing sync.WaitGroup
	changing.Go(func() { r.operator.run(changes) })
	r.trouble(ctx, p.Traffic, r.troubleKinds)
	closed := r.close(ctx, func() {
		stopChanges()
		changing.Wait()
	})
	loop.Wait(ctx, p.After)
	stopTraffic()
	final := r.operator.readBack(ctx, contact)
	cancel()
	background.Wait()
	return r.judge(closed, final), nil
}

func newRig(p Params) (*Rig, error) {
	if err := os.MkdirAll(p.Dir, 0o755); err != nil {
		return nil, err
	}
	if err := checkPrograms(p.Bin); err != nil {
		return nil, err
	}
	network, taken, err := takeNetwork()
	if err != nil {
		return nil, err
	}
	r := &Rig{params: p, net: network, taken: taken, ledger: newLedger(), made: map[string]int{}}
	r.layOut()
	r.spoilers = newSpoilers(r.random(4))
	if r.platform, err = newPlatformList(network, r.ledger, r.spoilers); err != nil {
		taken.Close()
		return nil, err
	}
	edges := func() []*Machine { return r.fleet.role(roleEdge) }
	r.entry = newEntry(edges)
	r.operator = newOperator(r.fleet.role(roleCore), edges, r.random(1), p.IdleRoutes)
	r.operator.coresQuiet = r.controlQuiet
	if p.Quotas {
		r.addBursting()
	}
	for i := range p.Clients {
		r.clients = append(r.clients, newClient(i, r.entry, r.ledger, r.random(uint64(100+i))))
	}
	return r, nil
}

// random gives each part of the rig a source of its own, so that how far one of them gets
// does not change the plans of the others.
func (r *Rig) random(part uint64) *rand.Rand { return rand.New(rand.NewPCG(r.params.Seed, part)) }

// untilServing brings in the first configuration and waits until every edge is ready.
func (r *Rig) untilServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if !r.operator.first(ctx) {
		return fmt.Errorf("the first configuration was not taken within %s", startTimeout)
	}
	for !r.entry.allReady() {
		if !loop.Wait(ctx, 100*time.Millisecond) {
			return fmt.Errorf("not all edges are ready within %s", startTimeout)
		}
	}
	fmt.Fprintf(r.params.Out, "serving after %s\n", time.Since(r.begun).Round(time.Millisecond))
	return nil
}

// controlQuiet reports whether nothing happened to a core or a store since a time.
func (r *Rig) controlQuiet(since time.Time) bool {
	for _, m := range r.fleet.all() {
		if m.Role != roleEdge && m.disturbedSince(since) {
			return false
		}
	}
	return true
}

// stop ends every process.
func (r *Rig) stop() {
	var wg sync.WaitGroup
	for _, m := range r.fleet.all() {
		wg.Go(func() { m.Kill("end of the run") })
	}
	wg.Wait()
	r.platform.stop()
	r.taken.Close()
}
