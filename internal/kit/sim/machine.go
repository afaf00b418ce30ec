package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/labstack/echo/v4"

	"damsontiller/internal/coordination/broadcast"
	"damsontiller/internal/coordination/core"
	"damsontiller/internal/coordination/node"
	"damsontiller/internal/coordination/web"
	"damsontiller/internal/dataplane/edge"
	"damsontiller/internal/dataplane/request/job"
	"damsontiller/internal/dataplane/store"
	"damsontiller/internal/kit/checker"
	"damsontiller/internal/platform/control"
	"damsontiller/internal/platform/headers"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/state/storage"
	"damsontiller/internal/transport"
)

// Machine is one simulated machine.
type Machine struct {
	ID, Role, Zone, Addr, HTTP string
	Front                      string       // where an edge takes proxied requests
	Spare                      bool         // laid out, and not started with the others
	clock                      atomic.Int64 // by which its time of day is wrong
	fs                         *vfs.MemFS
	disk                       faultyDisk
	live                       *live
}

// live is the process that runs on a machine.
type live struct {
	stop   context.CancelFunc
	dead   chan struct{}
	end    func() // waits for its goroutines and closes its disk
	web    *echo.Echo
	node   *node.Node
	edge   *edge.Edge
	raw    *edge.Proxy
	core   *core.Core
	store  *store.Store
	engine *storage.Engine
	ready  chan struct{}
	start  func(context.Context) error
}

// Up starts a machine; first is whether cores form their set.
func (s *Sim) Up(ctx context.Context, id string, first bool) error {
	m := s.Get(id)
	ctx, stop := context.WithCancel(ctx)
	l := &live{stop: stop, dead: make(chan struct{}), ready: make(chan struct{}), web: web.New(s.Log)}
	np := s.nodeParams(m)
	if err := l.open(m, &np); err != nil {
		return err
	}
	var err error
	switch m.Role {
	case "core":
		err = s.makeCore(l, np, first)
	case "store":
		err = l.makeStore(np)
	case "edge":
		s.makeEdge(ctx, l, m, np)
	}
	if err != nil {
		return err
	}
	l.node.Proposer.Clock = m.timeOfDay
	l.node.Peer.Self.Inc = uint64(
		int64(l.node.Peer.Self.Inc) + m.clock.Load()/int64(time.Millisecond)<<incarnationShift,
	)
	s.launch(ctx, m, l)
	return nil
}

// incarnationShift is by how much the time of a start is shifted in its number.
const incarnationShift = 16

// timeOfDay is the clock that a machine reads, which may be wrong.
func (m *Machine) timeOfDay() time.Time { return time.Now().Add(time.Duration(m.clock.Load())) }

// StepClock makes a machine's time of day wrong by so much.
func (s *Sim) StepClock(id string, by time.Duration) { s.Get(id).clock.Store(int64(by)) }

// nodeParams are a machine's settings that every role has.
func (s *Sim) nodeParams(m *Machine) node.Params {
	np := node.Params{
		Self:      &wire.Member{Id: m.ID, Role: m.Role, Addr: m.Addr, Http: m.HTTP, Zone: m.Zone},
		Net:       s.hostNet(m),
		Transport: transport.DefaultParams,
		Lease:     s.lic,
		Broadcast: broadcast.DefaultParams,
		Log:       s.Log.Named(m.ID),
		Seeds:     s.seedsNow(),
	}
	if len(np.Seeds) > 0 {
		return np
	}
	for _, c := range s.cores {
		np.Seeds = append(np.Seeds, c.Addr)
	}
	return np
}

// open opens the disk of a machine whose role has one.
func (l *live) open(m *Machine, np *node.Params) error {
	if m.Role == "edge" {
		return nil
	}
	v, err := storage.Open(storage.Params{Dir: "/data", ID: m.ID, Role: m.Role, FS: m.mount(), MinFree: 1 << 20})
	if err != nil {
		return err
	}
	np.Self.Ident = v.Ident()
	l.engine = v
	return nil
}

// makeCore makes a core with both operators' interfaces.
func (s *Sim) makeCore(l *live, np node.Params, first bool) error {
	cp := core.Params{
		Bootstrap:  first,
		Cores:      s.cores,
		Stores:     s.stores,
		Spec:       &s.Spec,
		AckTimeout: 5 * time.Second,
		MoveRate:   500,
	}
	if s.found {
		cp.Bootstrap, cp.Cores, cp.Stores = false, nil, nil
		if first {
			cp.InitialCoreAddrs = np.Seeds
		}
	}
	c, err := core.New(cp, np, l.engine)
	if err != nil {
		return err
	}
	l.core, l.node, l.start = c, c.Node, c.Start
	if s.coreCallTime > 0 {
		c.Peer.Processor = newProcessor(s.coreCallTime)
	}
	c.Routes(l.web)
	(&control.Handler{Core: c, Sets: c}).Routes(l.web)
	return nil
}

func (l *live) makeStore(np node.Params) error {
	st, err := store.New(np, l.engine)
	if err != nil {
		return err
	}
	l.store, l.node, l.start = st, st.Node, st.Start
	return nil
}

func (s *Sim) makeEdge(ctx context.Context, l *live, m *Machine, np node.Params) {
	p := edge.DefaultParams
	p.Assignment.Transport, p.Cooldown.Local = &from{s, m}, s.alone
	p.Point = func(pt job.Point, c *job.Ctx) {
		if s.point != nil {
			s.point(m.ID, pt, c)
		}
		if d := s.pending(m.ID, pt); d > 0 {
			time.Sleep(d)
		}
		s.Net.WaitWhileFrozen(m.Addr)
	}
	e := edge.New(ctx, p, np)
	l.edge, l.node, l.start = e, e.Node, e.Start
	e.Routes(l.web)
	if len(s.Backends) > 0 {
		l.raw = e.NewProxy(edge.DefaultProxy, headers.Codec{})
	}
	if s.made != nil {
		s.made(m.ID, e)
	}
}

// launch lets a process that was made begin.
func (s *Sim) launch(ctx context.Context, m *Machine, l *live) {
	started := make(chan struct{})
	s.wg.Go(func() {
		defer close(started)
		if err := l.start(ctx); err != nil {
			return
		}
		close(l.ready)
		if l.raw != nil {
			l.node.Go(ctx, func(ctx context.Context) { l.raw.Run(ctx, s.list) })
		}
	})
	l.end = func() {
		<-started
		l.node.Wait()
		if l.engine != nil {
			_ = l.engine.Close()
		}
	}
	s.mu.Lock()
	m.live = l
	s.mu.Unlock()
}

// Kill ends a machine's process at once; what it had not synced is lost.
func (s *Sim) Kill(id string) { s.kill(id, true, vfs.CrashCloneCfg{}) }

// KillProcess ends a machine's process at once; the machine stays up, so that what
// the process had written is on its disk, synced or not.
func (s *Sim) KillProcess(id string) {
	s.kill(id, true, vfs.CrashCloneCfg{UnsyncedDataPercent: 100, RNG: rand.New(rand.NewPCG(1, 1))})
}

// PowerOff takes a machine's power; of what it had not synced a random part is kept.
func (s *Sim) PowerOff(id string, rnd *rand.Rand) {
	s.kill(
		id,
		true,
		vfs.CrashCloneCfg{UnsyncedDataPercent: rnd.IntN(100), RNG: rand.New(rand.NewPCG(rnd.Uint64(), 2))},
	)
}

func (s *Sim) kill(id string, record bool, loss vfs.CrashCloneCfg) {
	m := s.Get(id)
	s.mu.Lock()
	l := m.live
	m.live = nil
	if record {
		s.events = append(s.events, checker.Event{At: time.Now(), Kind: checker.Hard, ID: "kill " + id})
	}
	s.mu.Unlock()
	if l == nil {
		return
	}
	// Nothing that it does from now on is received by others: what is not on the disk as
	// it is kept may not be promised.
	close(l.dead)
	s.Net.Freeze(m.Addr)
	m.fs = m.fs.CrashClone(loss)
	m.unmount()
	l.node.Peer.Close()
	s.Net.Unfreeze(m.Addr)
	s.Reset(id, 1, rand.New(rand.NewPCG(1, 2)))
	l.stop()
	s.wg.Go(l.end)
}

// Quit stops an edge in an orderly way.
func (s *Sim) Quit(id string) {
	m := s.Get(id)
	s.Record(checker.Stopping, m.HTTP, 0)
	m.live.edge.Stop()
	// Requests under way end; then the process does.
	time.Sleep(3 * time.Second)
	m.live.edge.WaitBackground(2 * time.Second)
	s.kill(id, false, vfs.CrashCloneCfg{})
	s.Record(checker.Stopped, m.HTTP, 0)
}

// Wipe gives a machine that does not run an empty disk.
func (s *Sim) Wipe(id string) { s.Get(id).fs = vfs.NewCrashableMem() }

// Freeze stops a machine's process where it stands: every job at its next
// numbered point, and all that it sends and is sent. Thaw lets it go on.
func (s *Sim) Freeze(id string) {
	m := s.Get(id)
	s.Record(checker.Hard, "freeze "+id, 0)
	s.Record(checker.Frozen, m.HTTP, 0)
	s.mu.Lock()
	s.isolated[id] = true
	s.mu.Unlock()
	s.Net.Freeze(m.Addr)
}

// Pause lets the next job that comes to a point at an edge stand still there.
func (s *Sim) Pause(edge string, p job.Point, d time.Duration) {
	s.mu.Lock()
	s.pauses[fmt.Sprint(edge, p)] = d
	s.mu.Unlock()
}

func (s *Sim) pending(edge string, p job.Point) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := fmt.Sprint(edge, p)
	d := s.pauses[k]
	delete(s.pauses, k)
	return d
}

// Thaw wakes a frozen machine.
func (s *Sim) Thaw(id string) {
	m := s.Get(id)
	s.mu.Lock()
	s.isolated[id], s.away[id] = false, time.Now()
	s.mu.Unlock()
	s.Net.Unfreeze(m.Addr)
	s.Record(checker.Thawed, m.HTTP, 0)
}

// Seeds names other machines as seeds of those that are started from now on.
func (s *Sim) Seeds(ids ...string) {
	var addrs []string
	for _, id := range ids {
		addrs = append(addrs, s.Get(id).Addr)
	}
	s.mu.Lock()
	s.seeds = addrs
	s.mu.Unlock()
}

// Reseed has a running machine read its settings again, in which other machines are
// named as seeds.
func (s *Sim) Reseed(id string, ids ...string) {
	var addrs []string
	for _, x := range ids {
		addrs = append(addrs, s.Get(x).Addr)
	}
	s.mu.Lock()
	l := s.Get(id).live
	s.mu.Unlock()
	if l != nil {
		l.node.SetSeeds(addrs)
	}
}

func (s *Sim) seedsNow() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.seeds)
}

// Slow lets a machine run some times slower for a while: it stands still for all but
// a part of each 20 ms.
func (s *Sim) Slow(id string, times int, d time.Duration) {
	m := s.Get(id)
	s.mu.Lock()
	s.isolated[id] = true
	s.mu.Unlock()
	runs := slowRound / time.Duration(times)
	for end := time.Now().Add(d); time.Now().Before(end); {
		s.Net.Freeze(m.Addr)
		time.Sleep(slowRound - runs)
		s.Net.Unfreeze(m.Addr)
		time.Sleep(runs)
	}
	s.mu.Lock()
	s.isolated[id], s.away[id] = false, time.Now()
	s.mu.Unlock()
}

const slowRound = 20 * time.Millisecond

// Disk makes a machine's disk seem to have free bytes (-1: enough) and be slow.
func (s *Sim) Disk(id string, free int64, delay time.Duration) {
	s.mu.Lock()
	l := s.Get(id).live
	s.mu.Unlock()
	if l != nil && l.engine != nil {
		l.engine.SimulateDisk(free, delay)
	}
}
