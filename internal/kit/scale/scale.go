// Package scale measures what the system costs as it grows: a few real processes
// of the product and many hollow nodes, which run the product's own code without
// traffic and share processes.
package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"damsontiller/internal/kit/fleet"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/loop"
)

// Params shape a run.
type Params struct {
	Nodes      int // in all: 3 cores, 3 stores, the real edges, and hollow ones
	Edges      int // real ones
	Runners    int
	Routes     int           // that the runners are spread over
	Tenants    int           // each has a budget of its own in the spec
	Changes    int           // of the spec an hour, in the second half
	Failures   int           // of hollow nodes an hour, in the second half
	SettleTime time.Duration // after forming, before anything is measured
	Time       time.Duration
	Seed       uint64
	Kind       string // of hollow nodes
	Portion    int    // hollow nodes to a process
	Bin, Dir   string
	Net        int
	Self       []string // the command that runs Hollow
	Out        io.Writer
	File       string
}

// What a run is known to need at the most; see docs/CAPACITY.md for the runs.
const (
	core3store3  = 6
	realBytes    = 96 << 20  // a real process
	hollowBytes  = 24 << 20  // a hollow process, and
	nodeBytes    = 2 << 20   // each node in it
	edgeBytes    = 4 << 20   // the same with the whole edge
	pairBytes    = 300       // what each node keeps of each other
	runnerBytes  = 128 << 10 // a stand-in runner
	nodeFiles    = 96        // descriptors of a node
	maxProcesses = 200
)

// Check refuses what the machine can't hold, before anything starts.
func (p *Params) Check(m Machine) error {
	least := core3store3 + p.Edges + 1
	switch {
	case p.Edges < 2 || p.Edges > 6:
		return fmt.Errorf("-edges: %d is not within 2 and 6", p.Edges)
	case p.Nodes < least:
		return fmt.Errorf("-nodes: %d leaves no hollow node beside %d real ones; %d or more", p.Nodes, least-1, least)
	case p.Routes < 1 || p.Runners < p.Routes:
		return fmt.Errorf("-runners: %d can't serve %d routes", p.Runners, p.Routes)
	case p.Tenants < 0 || p.Changes < 0 || p.Failures < 0:
		return errors.New("a negative number of tenants, changes or failures")
	case p.Runners+p.Tenants+p.Routes+16 > spec.MaxNames:
		return fmt.Errorf("%d runners, tenants and routes; a spec has at most %d entries", p.Runners+p.Tenants+p.Routes, spec.MaxNames-16)
	case p.SettleTime < 0:
		return fmt.Errorf("-settle: %s is negative", p.SettleTime)
	case p.Time < 4*time.Second:
		return fmt.Errorf("-time: %s is less than 4s", p.Time)
	case p.Kind != Member && p.Kind != Edge:
		return fmt.Errorf("-kind: %q is neither %s nor %s", p.Kind, Member, Edge)
	case p.Portion < 1 || uint64(p.Portion)*nodeFiles > m.Files:
		return fmt.Errorf("-share: %d nodes to a process want %d descriptors, %d may be open; %d would fit", p.Portion, p.Portion*nodeFiles, m.Files, m.Files/nodeFiles)
	case p.processes() > maxProcesses:
		return fmt.Errorf("-nodes: %d processes, at most %d; -share %d would fit", p.processes(), maxProcesses, (p.Nodes+maxProcesses/2-1)/(maxProcesses/2))
	}
	if need := p.memory(); need > m.Memory/2 {
		q := *p
		for q.Nodes > least && q.memory() > m.Memory/2 {
			q.Nodes--
		}
		return fmt.Errorf("-nodes: %d nodes want %d MiB, half of the machine's memory is %d MiB; %d would fit", p.Nodes, need>>20, m.Memory>>21, q.Nodes)
	}
	if uint64(p.Runners)*4 > m.Files {
		return fmt.Errorf("-runners: %d want %d descriptors, %d may be open; %d would fit", p.Runners, p.Runners*4, m.Files, m.Files/4)
	}
	return nil
}

func (p *Params) hollows() int { return p.Nodes - core3store3 - p.Edges }

func (p *Params) processes() int {
	return core3store3 + p.Edges + (p.hollows()+p.Portion-1)/p.Portion
}

func (p *Params) memory() uint64 {
	node := uint64(nodeBytes)
	if p.Kind == Edge {
		node = edgeBytes
	}
	h := uint64(p.hollows())
	return uint64(core3store3+p.Edges)*realBytes + (h+uint64(p.Portion)-1)/uint64(p.Portion)*hollowBytes + h*node + h*uint64(p.Nodes)*pairBytes + uint64(p.Runners)*runnerBytes
}

// Figure is one line of a run.
type Figure struct {
	Name  string
	Value float64
	Unit  string
}

func (f Figure) String() string { return fmt.Sprintf("%-34s %14.4f %s", f.Name, f.Value, f.Unit) }

// process is one that holds hollow nodes.
type process struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *bufio.Scanner
	mu  sync.Mutex
	ids []string
}

func (c *process) ask(o order) (report, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, err := json.Marshal(o)
	if err != nil {
		return report{}, err
	}
	if _, err := c.in.Write(append(b, '\n')); err != nil {
		return report{}, err
	}
	if !c.out.Scan() {
		return report{}, fmt.Errorf("hollow process %d ended: %w", c.cmd.Process.Pid, errors.Join(c.out.Err(), io.ErrUnexpectedEOF))
	}
	var w report
	if err := json.Unmarshal(c.out.Bytes(), &w); err != nil {
		return w, err
	}
	if w.Failure != "" {
		return w, errors.New(w.Failure)
	}
	return w, nil
}

// run is one run.
type run struct {
	Params
	f       *fleet.Fleet
	crowd   []*process
	figures []Figure
	rnd     *rand.Rand
	keep    *os.File

	mu      sync.Mutex
	changes []change
	notices []float64 // seconds until a watcher missed a node that was killed
	late    int       // changes that were not in force everywhere in time
}

type change struct {
	ack   time.Duration // until the operator was told that it is in force
	all   time.Duration // until the last node had it
	nodes int
}

// Run starts all, measures, and stops all.
func Run(ctx context.Context, p Params) (_ []Figure, err error) {
	m, err := Here()
	if err != nil {
		return nil, err
	}
	if err := p.Check(m); err != nil {
		return nil, err
	}
	r := &run{Params: p, rnd: rand.New(rand.NewPCG(p.Seed, 12))}
	if err := os.RemoveAll(p.Dir); err != nil {
		return nil, err
	}
	deploy := filepath.Join(p.Dir, "deploy")
	if err := os.MkdirAll(deploy, 0o755); err != nil {
		return nil, err
	}
	size, err := p.spec(filepath.Join(deploy, "spec.json"))
	if err != nil {
		return nil, err
	}
	if r.f, err = fleet.New(fleet.Params{Deploy: deploy, Bin: p.Bin, Dir: filepath.Join(p.Dir, "fleet"), Net: p.Net, Seed: p.Seed, Bears: 64, Edges: p.Edges, Log: "warn"}); err != nil {
		return nil, err
	}
	if p.File != "" {
		if r.keep, err = os.Create(p.File); err != nil {
			return nil, err
		}
		defer func() { err = errors.Join(err, r.keep.Close()) }()
	}
	r.row("# nodes %d (real: 3 cores, 3 stores, %d edges; hollow: %d %ss, %d to a process), runners %d, routes %d, tenants %d, changes %d/h, failures %d/h, time %s, seed %d",
		p.Nodes, p.Edges, p.hollows(), p.Kind, p.Portion, p.Runners, p.Routes, p.Tenants, p.Changes, p.Failures, p.Time, p.Seed)
	r.say("spec.size", float64(size), "B")
	r.load("start")
	defer r.load("end")
	defer r.stop()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	// What forming has set off is let go by first.
	if !loop.Wait(ctx, p.SettleTime) {
		return nil, ctx.Err()
	}
	if err := r.window(ctx, "quiet", nil); err != nil {
		return nil, err
	}
	if p.Changes+p.Failures > 0 {
		if err := r.window(ctx, "busy", r.fault); err != nil {
			return nil, err
		}
		r.tell()
	}
	return r.figures, r.rest(ctx)
}

func (r *run) row(f string, a ...any) {
	fmt.Fprintf(r.Out, f+"\n", a...)
	if r.keep != nil {
		fmt.Fprintf(r.keep, f+"\n", a...)
	}
}

func (r *run) say(name string, v float64, unit string) {
	f := Figure{name, v, unit}
	r.figures = append(r.figures, f)
	r.row("%s", f)
}

// load says how busy the whole machine is: others may use it as well.
func (r *run) load(when string) {
	if b, err := os.ReadFile("/proc/loadavg"); err == nil {
		var v float64
		if _, err := fmt.Sscan(string(b), &v); err == nil {
			r.say("machine.load."+when, v, "running, the last minute's mean")
		}
	}
}

// spec writes the first spec.
func (p *Params) spec(file string) (int, error) {
	s := spec.Spec{Name: "scale", Zones: []string{"a", "b", "c"}, Platform: "127.20.1.90:9900",
		Classes: []spec.Class{{Name: "live", Urgent: true, Reserve: 25}, {Name: "work"}},
		Keeping: []spec.Keeping{{Class: "work", KeepS: 3600}}, Budgets: []spec.Budget{{Programs: "*", Output: 2000}}}
	for i := range p.Routes {
		s.Routes = append(s.Routes, spec.Route{Name: fmt.Sprintf("model%d", i)})
	}
	s.Routes[0].Model = true
	for i := range p.Runners {
		s.Runners = append(s.Runners, spec.Runner{Name: fmt.Sprintf("r%04d", i), Addr: fmt.Sprintf("127.20.%d.%d:9000", 100+i/200, 1+i%200), Zone: s.Zones[i%3], Route: s.Routes[i%p.Routes].Name})
	}
	for i := range p.Tenants {
		s.Budgets = append(s.Budgets, spec.Budget{Programs: fmt.Sprintf("tenant%03d", i), Output: 2000})
	}
	if err := s.Check(); err != nil {
		return 0, err
	}
	b, err := s.MarshalJSON()
	if err != nil {
		return 0, err
	}
	return len(b), os.WriteFile(file, b, 0o644)
}

// start starts everything at once, and waits until every node is a member and
// knows all others.
func (r *run) start(ctx context.Context) error {
	for _, n := range r.f.Runners {
		if err := n.Start(); err != nil {
			return err
		}
	}
	if err := r.f.Platform.Start(ctx); err != nil {
		return err
	}
	var seeds []string
	for _, m := range r.f.Of("core") {
		seeds = append(seeds, m.Addr())
	}
	var all []position
	for i := range r.hollows() {
		z := []string{"a", "b", "c"}[i%3]
		all = append(all, position{ID: fmt.Sprintf("h%04d", i), Zone: z, Addr: fmt.Sprintf("127.%d.%d.%d:7100", r.f.P.Net, 10+i/200, 1+i%200)})
	}
	at := time.Now()
	for _, m := range r.f.Machines {
		if err := m.Start(true); err != nil {
			return err
		}
	}
	for portion := range slices.Chunk(all, r.Portion) {
		if err := r.hollow(setup{Kind: r.Kind, Seeds: seeds, Nodes: portion}); err != nil {
			return err
		}
	}
	most := 90 * time.Second
	for joined := false; ; {
		j, w, err := r.formed()
		if err != nil {
			return err
		}
		if !joined && j == r.hollows() {
			joined = true
			r.say("form.joined", time.Since(at).Seconds(), "s")
		}
		if w == r.hollows() {
			r.say("form.whole", time.Since(at).Seconds(), "s")
			return nil
		}
		if time.Since(at) > most {
			return fmt.Errorf("after %s %d of %d hollow nodes are members, %d know all %d nodes", most, j, r.hollows(), w, r.Nodes)
		}
		if !loop.Wait(ctx, 200*time.Millisecond) {
			return ctx.Err()
		}
	}
}

func (r *run) hollow(s setup) error {
	c := &process{cmd: exec.Command(r.Self[0], r.Self[1:]...)}
	c.cmd.Stderr = os.Stderr
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if c.in, err = c.cmd.StdinPipe(); err != nil {
		return err
	}
	if err := c.cmd.Start(); err != nil {
		return err
	}
	r.crowd = append(r.crowd, c)
	c.out = bufio.NewScanner(out)
	c.out.Buffer(nil, 4<<20)
	for _, n := range s.Nodes {
		c.ids = append(c.ids, n.ID)
	}
	b, err := json.Marshal(s)
	if err != nil {
		return err
	}
	_, err = c.in.Write(append(b, '\n'))
	return err
}

// each asks every hollow process the same.
func (r *run) each(o order) ([]report, error) {
	out := make([]report, len(r.crowd))
	errs := make([]error, len(r.crowd))
	var wg sync.WaitGroup
	for i, c := range r.crowd {
		wg.Go(func() { out[i], errs[i] = c.ask(o) })
	}
	wg.Wait()
	return out, errors.Join(errs...)
}

func (r *run) formed() (joined, complete int, err error) {
	ws, err := r.each(order{Do: "stat", Want: r.Nodes})
	for _, w := range ws {
		joined += w.Joined
		complete += w.Complete
	}
	return joined, complete, err
}

// stop ends what was started, by id.
func (r *run) stop() {
	var wg sync.WaitGroup
	for _, c := range r.crowd {
		wg.Go(func() {
			c.in.Close()
			t := time.AfterFunc(5*time.Second, func() { _ = c.cmd.Process.Kill() })
			defer t.Stop()
			_ = c.cmd.Wait()
		})
	}
	wg.Wait()
	r.f.Stop()
}

// sample is what all have used up to one moment.
type sample struct {
	at     time.Time
	real   map[string]use
	calls  map[string]float64 // made by a real process, by its own count
	hollow []report
	rss    []use // of the hollow processes
}

func (r *run) sample() (sample, error) {
	s := sample{real: map[string]use{}, calls: map[string]float64{}}
	var err error
	if s.hollow, err = r.each(order{Do: "stat"}); err != nil {
		return s, err
	}
	for _, m := range r.f.Machines {
		if s.real[m.ID], err = usage(m.Pid()); err != nil {
			return s, err
		}
	}
	for _, c := range r.crowd {
		u, err := usage(c.cmd.Process.Pid)
		if err != nil {
			return s, err
		}
		s.rss = append(s.rss, u)
	}
	s.at = time.Now()
	for _, m := range r.f.Machines {
		if n, err := r.sent(m); err == nil {
			s.calls[m.ID] = n
		}
	}
	return s, nil
}

// sent reads a process's own count of the messages it has sent.
func (r *run) sent(m *fleet.Machine) (float64, error) {
	a, err := r.f.Web.Get("http://" + m.HTTP() + "/metrics")
	if err != nil {
		return 0, err
	}
	defer a.Body.Close()
	for l := bufio.NewScanner(a.Body); l.Scan(); {
		var n float64
		if _, err := fmt.Sscanf(l.Text(), "dt_messages_sent_total %g", &n); err == nil {
			return n, nil
		}
	}
	return 0, errors.New("no count")
}

// window measures half of the run's time.
func (r *run) window(ctx context.Context, name string, do func(context.Context)) error {
	a, err := r.sample()
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(ctx, r.Time/2)
	defer stop()
	if do != nil {
		do(ctx)
	}
	<-ctx.Done()
	if errors.Is(ctx.Err(), context.Canceled) {
		return ctx.Err()
	}
	b, err := r.sample()
	if err != nil {
		return err
	}
	r.compare(name, a, b)
	return nil
}

// compare says what went on between two samples, for each role: the mean and the
// most of its processes.
func (r *run) compare(name string, a, b sample) {
	secs := b.at.Sub(a.at).Seconds()
	type col struct{ cpu, io, calls, rss, peak, anon, files []float64 }
	roles := map[string]*col{}
	for _, m := range r.f.Machines {
		c := roles[m.Role]
		if c == nil {
			c = &col{}
			roles[m.Role] = c
		}
		x, y := a.real[m.ID], b.real[m.ID]
		c.cpu = append(c.cpu, 100*(y.cpu-x.cpu).Seconds()/secs)
		c.io = append(c.io, float64(y.io-x.io)/secs)
		c.calls = append(c.calls, (b.calls[m.ID]-a.calls[m.ID])/secs)
		c.rss = append(c.rss, float64(y.rss)/(1<<20))
		c.peak = append(c.peak, float64(y.peak)/(1<<20))
		c.anon = append(c.anon, float64(y.anon)/(1<<20))
		c.files = append(c.files, float64(y.fds))
	}
	both := func(what, unit string, vs []float64) {
		r.say(name+"."+what, mean(vs), unit)
		r.say(name+"."+what+".most", slices.Max(vs), unit)
	}
	for _, role := range []string{"core", "store", "edge"} {
		c := roles[role]
		both(role+".cpu", "% of a core", c.cpu)
		both(role+".bytes", "B/s read and written", c.io)
		both(role+".calls", "calls made/s", c.calls)
		both(role+".rss", "MiB", c.rss)
		both(role+".rss.peak", "MiB", c.peak)
		both(role+".rss.anon", "MiB", c.anon)
		both(role+".files", "descriptors", c.files)
	}
	var in, out, calls, cpu, rss []float64
	conns := int64(0)
	for i, w := range b.hollow {
		n := float64(len(w.Loads))
		conns += w.Conns
		cpu = append(cpu, 100*float64(w.CPU-a.hollow[i].CPU)/1e9/secs/n)
		rss = append(rss, float64(b.rss[i].rss)/(1<<20)/n)
		for k, l := range w.Loads {
			o := a.hollow[i].Loads[k]
			in = append(in, float64(l.In-o.In)/secs)
			out = append(out, float64(l.Out-o.Out)/secs)
			if l.Calls >= o.Calls {
				calls = append(calls, float64(l.Calls-o.Calls)/secs)
			}
		}
	}
	both("hollow.cpu", "% of a core a node", cpu)
	both("hollow.in", "B/s a node", in)
	both("hollow.out", "B/s a node", out)
	both("hollow.calls", "calls made/s a node", calls)
	both("hollow.rss", "MiB a node, its process's share", rss)
	r.say(name+".hollow.conns", float64(conns)/float64(r.hollows()), "connections a node")
}

func mean(vs []float64) float64 {
	s := 0.0
	for _, v := range vs {
		s += v
	}
	return s / float64(max(len(vs), 1))
}

// fault changes the spec and kills hollow nodes at their rates until ctx ends.
func (r *run) fault(ctx context.Context) {
	var wg sync.WaitGroup
	every := func(hourly int, do func(context.Context, int)) {
		if hourly == 0 {
			return
		}
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				do(ctx, i)
				loop.Wait(ctx, time.Hour/time.Duration(hourly))
			}
		})
	}
	every(r.Changes, r.change)
	every(r.Failures, r.fail)
	wg.Wait()
}

// change makes one change of the spec, and finds when the last node had it.
func (r *run) change(ctx context.Context, i int) {
	at := time.Now()
	var a struct {
		Version uint64 `json:"version"`
		InForce bool   `json:"in_force"`
	}
	st, err := r.f.Operate(http.MethodPatch, "/v1/spec", map[string]any{"keeping": []spec.Keeping{{Class: "work", KeepS: int64(3600 + i%2)}}}, &a)
	c := change{ack: time.Since(at)}
	if err != nil || st != http.StatusOK {
		r.mu.Lock()
		r.late++
		r.mu.Unlock()
		r.row("# change: status %d, in force %v, %v", st, a.InForce, err)
		return
	}
	// All live nodes, but one that has just been killed or started anew.
	for ctx.Err() == nil && time.Since(at) < 14*time.Second {
		ws, err := r.each(order{Do: "force", Ver: a.Version})
		if err != nil {
			return
		}
		c.nodes = 0
		for _, w := range ws {
			for _, t := range w.At {
				c.nodes++
				c.all = max(c.all, time.Unix(0, t).Sub(at))
			}
		}
		if c.nodes >= r.hollows()-1 {
			r.mu.Lock()
			r.changes = append(r.changes, c)
			r.mu.Unlock()
			return
		}
		loop.Wait(ctx, 50*time.Millisecond)
	}
}

// fail kills a hollow node, finds when others miss it, and starts it again.
func (r *run) fail(ctx context.Context, _ int) {
	c := r.crowd[r.rnd.IntN(len(r.crowd))]
	id := c.ids[r.rnd.IntN(len(c.ids))]
	if _, err := r.each(order{Do: "watch", ID: id}); err != nil {
		return
	}
	at := time.Now()
	if _, err := c.ask(order{Do: "kill", ID: id}); err != nil {
		return
	}
	want := 0
	for _, c := range r.crowd {
		n := len(c.ids)
		if slices.Contains(c.ids, id) {
			n--
		}
		want += min(n, watchers)
	}
	for done := false; !done && time.Since(at) < 8*time.Second && loop.Wait(ctx, 100*time.Millisecond); {
		ws, err := r.each(order{Do: "seen", ID: id})
		if err != nil {
			return
		}
		var got []float64
		for _, w := range ws {
			for _, t := range w.At {
				got = append(got, time.Unix(0, t).Sub(at).Seconds())
			}
		}
		if done = len(got) >= want; done {
			r.mu.Lock()
			r.notices = append(r.notices, got...)
			r.mu.Unlock()
		}
	}
	_, _ = c.ask(order{Do: "start", ID: id})
}

// tell says what the troubles showed.
func (r *run) tell() {
	r.mu.Lock()
	defer r.mu.Unlock()
	var acks, alls []float64
	for _, c := range r.changes {
		acks = append(acks, c.ack.Seconds())
		alls = append(alls, c.all.Seconds())
	}
	three := func(what string, vs []float64) {
		r.say(what+".count", float64(len(vs)), "")
		if len(vs) == 0 {
			return
		}
		slices.Sort(vs)
		r.say(what+".least", vs[0], "s")
		r.say(what+".middle", vs[len(vs)/2], "s")
		r.say(what+".most", vs[len(vs)-1], "s")
	}
	three("change.ack", acks)
	three("change.everywhere", alls)
	r.say("change.late", float64(r.late), "")
	three("failure.noticed", r.notices)
}

// rest says what is left on disk, and how whole the fleet is at the end.
func (r *run) rest(ctx context.Context) error {
	for _, role := range []string{"core", "store"} {
		var vs []float64
		for _, m := range r.f.Of(role) {
			vs = append(vs, float64(folder(filepath.Join(m.Dir, "data")))/1024)
		}
		r.say("disk."+role, mean(vs), "KiB")
	}
	for end := time.Now().Add(15 * time.Second); ; {
		_, w, err := r.formed()
		if err != nil {
			return err
		}
		if w == r.hollows() {
			r.say("end.whole", float64(w), "hollow nodes know all")
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("at the end %d of %d hollow nodes know all nodes (logs in %s)", w, r.hollows(), strings.TrimSuffix(r.Dir, "/"))
		}
		if !loop.Wait(ctx, 200*time.Millisecond) {
			return ctx.Err()
		}
	}
}
