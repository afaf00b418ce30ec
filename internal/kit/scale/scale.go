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
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"damsontiller/internal/kit/fleet"
	"damsontiller/internal/transport/loop"
)

// What a run is known to need at the most; see docs/CAPACITY.md for the runs.
const (
	core3store3  = 6
	realBytes    = 96 << 20  // a real process
	hollowBytes  = 24 << 20  // a hollow process, and
	nodeBytes    = 2 << 20   // each node in it
	edgeBytes    = 4 << 20   // the same with the complete edge
	pairBytes    = 300       // what each node keeps of each other
	runnerBytes  = 128 << 10 // a stand-in runner
	nodeFiles    = 96        // descriptors of a node
	maxProcesses = 200
)

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
		return report{}, fmt.Errorf(
			"hollow process %d ended: %w",
			c.cmd.Process.Pid,
			errors.Join(c.out.Err(), io.ErrUnexpectedEOF),
		)
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
	r.f, err = fleet.New(fleet.Params{
		Deploy: deploy,
		Bin:    p.Bin,
		Dir:    filepath.Join(p.Dir, "fleet"),
		Net:    p.Net,
		Seed:   p.Seed,
		Bears:  64,
		Edges:  p.Edges,
		Log:    "warn",
	})
	if err != nil {
		return nil, err
	}
	if p.File != "" {
		if r.keep, err = os.Create(p.File); err != nil {
			return nil, err
		}
		defer func() { err = errors.Join(err, r.keep.Close()) }()
	}
	r.row(
		"# nodes %d (real: 3 cores, 3 stores, %d edges; hollow: %d %ss, %d to a process), "+
			"runners %d, routes %d, tenants %d, changes %d/h, failures %d/h, time %s, seed %d",
		p.Nodes,
		p.Edges,
		p.hollows(),
		p.Kind,
		p.Portion,
		p.Runners,
		p.Routes,
		p.Tenants,
		p.Changes,
		p.Failures,
		p.Time,
		p.Seed,
	)
	r.say("spec.size", float64(size), "B")
	r.load("start")
	defer r.load("end")
	defer r.stop()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	// What forming has set off has to end first.
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

// load says how loaded the complete machine is: others may use it as well.
func (r *run) load(when string) {
	if b, err := os.ReadFile("/proc/loadavg"); err == nil {
		var v float64
		if _, err := fmt.Sscan(string(b), &v); err == nil {
			r.say("machine.load."+when, v, "running, the last minute's mean")
		}
	}
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
		all = append(
			all,
			position{
				ID:   fmt.Sprintf("h%04d", i),
				Zone: z,
				Addr: fmt.Sprintf("127.%d.%d.%d:7100", r.f.P.Net, 10+i/200, 1+i%200),
			},
		)
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
			return fmt.Errorf(
				"after %s %d of %d hollow nodes are members, %d know all %d nodes",
				most,
				j,
				r.hollows(),
				w,
				r.Nodes,
			)
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

// tell says what the faults showed.
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

// rest says what is left on disk, and how complete the fleet is at the end.
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
			return fmt.Errorf(
				"at the end %d of %d hollow nodes know all nodes (logs in %s)",
				w,
				r.hollows(),
				strings.TrimSuffix(r.Dir, "/"),
			)
		}
		if !loop.Wait(ctx, 200*time.Millisecond) {
			return ctx.Err()
		}
	}
}
