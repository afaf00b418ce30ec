// Package sim is an entire fleet in one process, on simulated time and a
// simulated network, for tests inside a testing/synctest bubble. It runs the
// product's own code: only the network, the disks and the clock are not real.
package sim

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/hashicorp/go-hclog"

	"damsontiller/internal/coordination/lease"
	"damsontiller/internal/dataplane/edge"
	"damsontiller/internal/dataplane/request/job"
	"damsontiller/internal/kit/checker"
	"damsontiller/internal/kit/client"
	"damsontiller/internal/kit/proxytest"
	"damsontiller/internal/kit/runner"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/loop"
	"damsontiller/internal/transport/memnet"
)

// Sim is the fleet.
type Sim struct {
	Net      *memnet.Net
	Spec     spec.Spec
	Machines []*Machine
	Runners  []*runner.Runner
	Backends []*proxytest.Backend // of proxied requests
	Crowd    *client.Crowd
	Log      hclog.Logger

	mu      sync.Mutex
	up      map[string]http.Handler // runners by address
	events  []checker.Event
	samples []checker.Sample
	audit   checker.Verdict
	wg      sync.WaitGroup
	cores   []spec.Machine
	stores  []spec.Machine
	lic     lease.Params
	alone   bool
	found   bool
	seeds   []string // of machines started from now on; none: the first cores
	point   func(string, job.Point, *job.Ctx)
	made    func(string, *edge.Edge)
	// coreCallTime is the processor time of a small call at a core.
	coreCallTime time.Duration
	// away is when a machine was last out of the others' reach. What it has in
	// force then can't be acted on, so the spec it would name is no evidence; it
	// has the usual two seconds from its return.
	away     map[string]time.Time
	isolated map[string]bool
	pauses   map[string]time.Duration // by edge and point; each holds one job
	// partitionedHTTP are the edges' ways to runners that nothing comes through.
	partitionedHTTP map[webWay]bool
	conns           map[string]map[*trackedConn]bool // connections that stand, by machine
}

// Params shape a simulated fleet.
type Params struct {
	Deploy string // folder of the deployment
	Seed   uint64
	Edges  int
	Bears  int
	Prefix int // prefixes that each runner holds at the most
	Up     bool
	Log    bool
	LogTo  io.Writer // everything logged, at the lowest level
	Alone  bool      // cooldowns are not shared
	Found  bool      // the sets form by themselves, from the addresses of c1, c2 and c3
	Raw    int       // so many stand-ins for proxied requests; with none, edges take no proxied requests
	Spares int       // more machines of each counted role that a test may start later
	// CoreCallTime is the processor time of a small call at a core; 0: calls take none.
	CoreCallTime time.Duration
	// Point is called at each numbered point of a job's way at an edge.
	Point func(edge string, p job.Point, c *job.Ctx)
	// Edge is called with each edge made, before it starts.
	Edge func(id string, e *edge.Edge)
}

// New lays out a fleet of three cores, three stores and some edges.
func New(p Params) (*Sim, error) {
	b, err := os.ReadFile(filepath.Join(p.Deploy, "spec.json"))
	if err != nil {
		return nil, err
	}
	s := &Sim{
		Net:             memnet.New(p.Seed),
		Log:             hclog.NewNullLogger(),
		up:              map[string]http.Handler{},
		away:            map[string]time.Time{},
		isolated:        map[string]bool{},
		pauses:          map[string]time.Duration{},
		partitionedHTTP: map[webWay]bool{},
		conns:           map[string]map[*trackedConn]bool{},
		lic:             lease.DefaultParams,
		alone:           p.Alone,
		found:           p.Found,
		point:           p.Point,
		made:            p.Edge,
		coreCallTime:    p.CoreCallTime,
	}
	if p.Log || os.Getenv("SIM_LOG") != "" {
		s.Log = hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: os.Stderr})
	}
	if p.LogTo != nil {
		s.Log = hclog.New(&hclog.LoggerOptions{Level: hclog.Trace, Output: p.LogTo})
	}
	if err := spec.Read(b, &s.Spec); err != nil {
		return nil, err
	}
	s.Spec.Platform = ""
	for z := range 3 {
		m := s.add(fmt.Sprintf("c%d", z+1), "core", z, z+1)
		s.cores = append(s.cores, spec.Machine{ID: m.ID, Addr: m.Addr, Zone: m.Zone})
	}
	for z := range 3 {
		m := s.add(fmt.Sprintf("s%d", z+1), "store", z, 10+z)
		s.stores = append(s.stores, spec.Machine{ID: m.ID, Addr: m.Addr, Zone: m.Zone})
	}
	for i := range max(p.Edges, 1) {
		s.add(fmt.Sprintf("e%d", i+1), "edge", i%3, 20+i)
	}
	s.addSpares(p.Spares)
	s.addBackends(p.Raw)
	for i, r := range s.Spec.Runners {
		rp := runner.Params{
			Runner: r,
			Bears:  max(p.Bears, 1),
			Up:     p.Up,
			Prefix: p.Prefix,
			Take:   40 * time.Millisecond,
			Seed:   p.Seed*1000 + uint64(i),
		}
		if p.Bears == 0 {
			rp.Bears = 8
		}
		if r.Route == "model" {
			rp.Model, rp.Take = true, 250*time.Millisecond
		}
		s.Runners = append(s.Runners, runner.New(rp))
	}
	s.Crowd = client.New(client.Kinds(p.Deploy), p.Seed, s.Edges, s)
	return s, nil
}

// addSpares lays out machines that a test may start later; the list itself never
// changes.
func (s *Sim) addSpares(more int) {
	spares := []*Machine{
		s.add("c4", "core", 2, 4),
		s.add("s4", "store", 0, 14),
		s.add("e7", "edge", 0, 40),
		s.add("c5", "core", 0, 5),
		s.add("s5", "store", 1, 15),
	}
	for i := range more {
		zone := (i + 2) % 3
		spares = append(
			spares,
			s.add(fmt.Sprintf("c%d", i+6), "core", zone, 60+i),
			s.add(fmt.Sprintf("s%d", i+6), "store", zone, 120+i),
		)
	}
	for _, m := range spares {
		m.Spare = true
	}
}

func (s *Sim) add(id, role string, z, host int) *Machine {
	ip := fmt.Sprintf("10.0.%d.%d", z+1, host)
	m := &Machine{
		ID:    id,
		Role:  role,
		Zone:  string(rune('a' + z)),
		Addr:  ip + ":7100",
		HTTP:  ip + ":7200",
		Front: ip + ":7300",
		fs:    vfs.NewCrashableMem(),
	}
	s.Machines = append(s.Machines, m)
	return m
}

// Get finds a machine.
func (s *Sim) Get(id string) *Machine {
	for _, m := range s.Machines {
		if m.ID == id {
			return m
		}
	}
	return nil
}

// Start starts all and waits until the edges serve.
func (s *Sim) Start(ctx context.Context) error {
	for _, r := range s.Runners {
		s.RunnerUp(r.P.Name)
	}
	for _, m := range s.Machines {
		if m.Spare {
			continue
		}
		if err := s.Up(ctx, m.ID, true); err != nil {
			return err
		}
	}
	for _, m := range s.Machines {
		if m.Spare {
			continue
		}
		select {
		case <-m.live.ready:
		case <-time.After(time.Minute):
			return fmt.Errorf("%s does not serve", m.ID)
		}
	}
	loop.Wait(ctx, 3*time.Second)
	return nil
}

// Until waits, in simulated time, until ok says so.
func Until(most time.Duration, ok func() bool) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return ok()
}

// Stop ends all and waits for every goroutine.
func (s *Sim) Stop() {
	for _, r := range s.Runners {
		r.Stop()
	}
	for _, b := range s.Backends {
		b.Stop()
	}
	for _, m := range s.Machines {
		s.kill(m.ID, false, vfs.CrashCloneCfg{})
	}
	s.wg.Wait()
	time.Sleep(time.Minute)
}
