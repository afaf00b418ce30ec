package sim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/kit/sim"
	"damsontiller/internal/proto/spec"
)

const (
	herdEdges  = 40
	herdRoutes = 500
	// coreLink is the bandwidth of a core's link, in bytes a second: a quarter of a second
	// for all that the herd needs, and many seconds for the spec's value in every answer.
	coreLink = 4 << 20
	// slowLink takes seconds for one copy of the value, compressed.
	slowLink = 10 << 10
	// herdTime is within which all are members again, with the newest spec.
	herdTime = 4 * time.Second
	// herdBytes is what a core's link may carry meanwhile for each machine.
	herdBytes = 100 << 10
)

// largeTable gives the cluster the table of routes of a customer.
func largeTable(c *spec.Cluster) error {
	origin := `{"name":"r-%x","authority":"host%d.example","path-prefix":"/p%d/","route-type":"streaming",` +
		`"guard-timer-ms":4000,"target-latency-ms":200,"precedence":1,"target-service":"x","max-attempts":2}`
	c.Table.Services = []spec.Service{{Name: "x"}}
	for i := range herdRoutes {
		c.Table.Paths = append(c.Table.Paths, spec.Path{
			Name: fmt.Sprintf("r-%x", i*7919), Authority: fmt.Sprintf("host%d.example", i%97),
			Prefix: fmt.Sprintf("/p%d/", i), Kind: spec.Stream, GuardMs: 4000,
			To:     []spec.Share{{Service: "x", Weight: 1}},
			Origin: fmt.Appendf(nil, origin, i*7919, i%97, i),
		})
	}
	return nil
}

// TestHerd: all machines lose power at once under a large spec and cores with small links;
// all are back within herdTime, and what the cores' links carry is bounded. Before values
// were left out of answers the herd asked for more than the links carry, gave up and asked
// again, for as long as the test lasted. One core whose link is slow holds nobody up.
func TestHerd(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name  string
		links map[string]int // of cores, in bytes a second
	}{
		{"small links", map[string]int{"c1": coreLink, "c2": coreLink, "c3": coreLink}},
		{"one slow link", map[string]int{"c1": coreLink, "c2": slowLink, "c3": coreLink}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { herd(t, tc.links) })
		})
	}
}

// herd takes the power of all machines of a fleet, starts them at once, and checks that
// they are back in time.
func herd(t *testing.T, links map[string]int) {
	ctx, stop := context.WithCancel(t.Context())
	s, err := sim.New(sim.Params{Deploy: "../../../deploy/andina", Seed: 1, Edges: herdEdges, Found: true})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		stop()
		s.Stop()
	}()
	if err := s.Start(ctx); err != nil {
		t.Fatal(err)
	}
	sets(t, s, 2*time.Second, "c1 c2 c3", "s1 s2 s3")
	version, _, err := s.Core("c1").Cluster.Change(ctx, 0, largeTable)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(5 * time.Second)
	rnd := rand.New(rand.NewPCG(1, 1))
	machines := inUse(s)
	for _, m := range machines {
		s.PowerOff(m.ID, rnd)
	}
	time.Sleep(2 * time.Second)
	carried := map[string]int64{}
	for id, bytesPerSecond := range links {
		s.Net.SetBandwidth(s.Get(id).Addr, bytesPerSecond)
		carried[id] = s.Net.BytesCarried(s.Get(id).Addr)
	}
	began := time.Now()
	for _, m := range machines {
		if err := s.Up(ctx, m.ID, false); err != nil {
			t.Fatal(err)
		}
	}
	// A machine behind a slow link is not waited for.
	want := 0
	for _, m := range machines {
		if links[m.ID] != slowLink {
			want++
		}
	}
	for time.Since(began) < herdTime && members(s, version) < want {
		time.Sleep(50 * time.Millisecond)
	}
	if n := members(s, version); n < want {
		t.Errorf("%d of %d machines are back after %s", n, len(machines), time.Since(began))
	}
	for id, before := range carried {
		n := s.Net.BytesCarried(s.Get(id).Addr) - before
		if n > herdBytes*int64(len(machines)) {
			t.Errorf("the link of %s carried %d bytes", id, n)
		}
		t.Logf("after %s the link of %s has carried %d bytes", time.Since(began), id, n)
	}
}

// members counts the machines that serve under a version or a newer one.
func members(s *sim.Sim, version uint64) (n int) {
	for _, m := range inUse(s) {
		if s.Serves(m.ID) && s.View(m.ID).Version >= version {
			n++
		}
	}
	return n
}

// inUse are the machines that start with the fleet.
func inUse(s *sim.Sim) (all []*sim.Machine) {
	for _, m := range s.Machines {
		if !m.Spare {
			all = append(all, m)
		}
	}
	return all
}

const (
	// unfinishedCores is the number of cores, and unfinishedEdges that of edges: with nine stores
	// and cores 72 machines.
	unfinishedCores = 7
	unfinishedEdges = 62
	// unfinishedTime is within which all machines serve the newest version.
	unfinishedTime = 5 * time.Second
)

// TestNewestVersionAtAMinority: all machines start at once under slow cores, of which those that
// hold the newest version are no majority once one has lost its disk; all serve it in time.
func TestNewestVersionAtAMinority(t *testing.T) {
	t.Parallel()
	for _, callTime := range []time.Duration{200 * time.Microsecond, time.Millisecond, 2 * time.Millisecond} {
		for _, wiped := range []int{0, 1} {
			t.Run(fmt.Sprintf("%s a call, %d disks lost", callTime, wiped), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { newestAtAMinority(t, callTime, wiped) })
			})
		}
	}
}

// newestAtAMinority leaves a version at few cores, ends all machines, takes the disks of some
// holders and starts all at once.
func newestAtAMinority(t *testing.T, callTime time.Duration, wiped int) {
	ctx, stop := context.WithCancel(t.Context())
	s, err := sim.New(sim.Params{
		Deploy: "../../../deploy/andina", Seed: 1, Edges: unfinishedEdges, Found: true, Spares: 2, CoreCallTime: callTime,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		stop()
		s.Stop()
	}()
	if err := s.Start(ctx); err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"c4", "c5", "c6", "c7"} {
		if err := s.Up(ctx, id, false); err != nil {
			t.Fatal(err)
		}
		s.Get(id).Spare = false
	}
	if !sim.Until(time.Minute, func() bool {
		view := s.Cluster()
		return len(view.Cluster.Cores) == unfinishedCores && len(view.NextCores) == 0
	}) {
		t.Fatalf("the cores are %v", s.Cluster().Cluster.Cores)
	}
	if _, _, err := s.Core("c1").Cluster.Change(ctx, 0, largeTable); err != nil {
		t.Fatal(err)
	}
	time.Sleep(5 * time.Second)
	version := leaveVersion(ctx, t, s)
	rnd := rand.New(rand.NewPCG(1, 1))
	machines := inUse(s)
	for _, m := range machines {
		s.PowerOff(m.ID, rnd)
	}
	time.Sleep(2 * time.Second)
	for i := range wiped {
		s.Wipe(fmt.Sprintf("c%d", i+1))
	}
	began := time.Now()
	for _, m := range machines {
		if err := s.Up(ctx, m.ID, false); err != nil {
			t.Fatal(err)
		}
	}
	for time.Since(began) < 4*unfinishedTime && members(s, version) < len(machines) {
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("%d of %d machines are back after %s, %d serve", members(s, version), len(machines), time.Since(began), members(s, 0))
	if took := time.Since(began); took > unfinishedTime {
		t.Errorf("%d of %d machines are back after %s", members(s, version), len(machines), took)
	}
}

// leaveVersion has a change of c1 accepted by four of the seven cores only, which is the smallest
// majority, and returns its version.
func leaveVersion(ctx context.Context, t *testing.T, s *sim.Sim) uint64 {
	t.Helper()
	raiseGuard := func(c *spec.Cluster) error {
		c.Table.Paths[0].GuardMs++
		return nil
	}
	if _, _, err := s.Core("c1").Cluster.Change(ctx, 0, raiseGuard); err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"c5", "c6", "c7"} {
		s.Freeze(id)
	}
	version, _, err := s.Core("c1").Cluster.Change(ctx, 0, raiseGuard)
	if err != nil {
		t.Fatal(err)
	}
	return version
}
