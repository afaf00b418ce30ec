// Package harness runs a fleet under traffic, causes failures, and has the judge
// read the log.
package harness

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"damsontiller/internal/dataplane/traffic"
	"damsontiller/internal/kit/checker"
	"damsontiller/internal/kit/client"
	"damsontiller/internal/kit/fleet"
	"damsontiller/internal/kit/runner"
	"damsontiller/internal/transport/loop"
)

// Params shape a run.
type Params struct {
	Fleet   fleet.Params
	Seconds int
	Scale   float64 // of the deployment's usual rate
	Day     *traffic.Day
	Record  io.Writer // where a day file of the run goes, if anywhere
	Out     io.Writer
}

// Rig is one run.
type Rig struct {
	P     Params
	F     *fleet.Fleet
	Crowd *client.Crowd
	asks  func() []client.Ask

	mu      sync.Mutex
	events  []checker.Event
	samples []checker.Sample
	audit   checker.Verdict
	rounds  uint64
	sent    uint64
}

// Result is what a run showed.
type Result struct {
	Scenario string
	Seed     uint64
	Verdict  checker.Verdict
	Asks     int
	Codes    map[string]int
	Words    map[string]string // an example of what was said with each code
	Runs     int
	Early    int
	Held     int
	Back     []Back
	Urgent   []time.Duration
	Rounds   uint64
	Sent     uint64
}

// Back is the time to recover from one failure.
type Back struct {
	What  string
	After time.Duration
}

// Scenario is what is done while the traffic runs. It returns early when ctx
// ends.
type Scenario struct {
	Name string
	What string
	Do   func(ctx context.Context, r *Rig) error
	// Seconds the traffic needs at least.
	Seconds int
}

func (r *Rig) say(f string, a ...any) { fmt.Fprintf(r.P.Out, f+"\n", a...) }

// Record writes an event down.
func (r *Rig) Record(k checker.EventKind, id string, ver uint64) {
	r.mu.Lock()
	r.events = append(r.events, checker.Event{At: time.Now(), Kind: k, ID: id, Ver: ver})
	r.mu.Unlock()
	r.say("  %s %s", k, id)
}

// Run starts a fleet, runs the scenario under traffic, and judges.
func Run(ctx context.Context, p Params, s Scenario) (*Result, error) {
	f, err := fleet.New(p.Fleet)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	r := &Rig{P: p, F: f}
	r.Crowd = client.New(client.Kinds(p.Fleet.Deploy), p.Fleet.Seed, r.edges, nil)
	r.asks = r.Crowd.Log
	r.say("%s: %s (seed %d, net 127.%d)", s.Name, s.What, p.Fleet.Seed, f.P.Net)
	if err := f.Start(ctx); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	wg.Go(func() { loop.Every(ctx, 200*time.Millisecond, nil, r.sample) })
	traffic := make(chan struct{})
	wg.Go(func() {
		defer close(traffic)
		r.traffic(ctx, time.Duration(max(p.Seconds, s.Seconds))*time.Second)
	})
	rctx, rstop := context.WithCancel(ctx)
	defer rstop()
	recorded := make(chan error, 1)
	go func() { recorded <- r.record(rctx) }()
	// A little quiet traffic first, so that a failure has something to break.
	loop.Wait(ctx, 2*time.Second)
	if err := s.Do(ctx, r); err != nil {
		return nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	<-traffic
	rstop()
	r.counts()
	for _, n := range r.F.Runners {
		n.Forget()
	}
	r.audit = checker.Audited(r.Crowd.Audit(ctx, r.edges("a"), 60))
	if err := <-recorded; err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	if err := r.read(); err != nil {
		return nil, fmt.Errorf("spec at the end: %w", err)
	}
	res := r.result(s.Name)
	stop()
	wg.Wait()
	return res, nil
}

// traffic is the crowd's, or a recorded day's.
func (r *Rig) traffic(ctx context.Context, d time.Duration) {
	if r.P.Day == nil {
		r.Crowd.Run(ctx, d, r.P.Scale)
		return
	}
	p := &traffic.Player{
		Day:     r.P.Day,
		Speed:   r.P.Scale,
		Run:     strconv.FormatInt(time.Now().UnixNano(), 36),
		Client:  traffic.NewClient(nil),
		Edges:   r.edges,
		Prompt:  client.Filler,
		Inspect: client.Look,
	}
	r.mu.Lock()
	r.asks = p.Client.Log
	r.mu.Unlock()
	p.Play(ctx)
}

// record writes the run's traffic as a day file.
func (r *Rig) record(ctx context.Context) error {
	if r.P.Record == nil {
		return nil
	}
	var cores []string
	for _, m := range r.F.Of("core") {
		cores = append(cores, m.HTTP())
	}
	rows, lost, err := traffic.Record(ctx, r.F.Web, cores, traffic.Head{Name: r.F.Spec.Name}, r.P.Record)
	r.say("  recorded %d rows, %d lost", rows, lost)
	return err
}

// edges is where the platform sends a client: its own zone first.
func (r *Rig) edges(zone string) []string {
	var near, far []string
	for _, m := range r.F.Of("edge") {
		if m.Zone == zone {
			near = append(near, m.HTTP())
		} else {
			far = append(far, m.HTTP())
		}
	}
	return append(near, far...)
}

// sample asks every edge for the spec that it has in force.
func (r *Rig) sample(ctx context.Context) {
	var wg sync.WaitGroup
	for _, m := range r.F.Of("edge") {
		wg.Go(func() {
			at := time.Now()
			if s, err := r.F.Status(m); err == nil && s.Ready && ctx.Err() == nil {
				r.mu.Lock()
				r.samples = append(r.samples, checker.Sample{At: at, ID: m.ID, Ver: s.Spec})
				r.mu.Unlock()
			}
		})
	}
	wg.Wait()
}

// Acknowledgement is the answer to an operator's change.
type Acknowledgement struct {
	Version uint64   `json:"version"`
	Code    int      `json:"code"`
	Name    string   `json:"name"`
	Waiting []string `json:"waiting"`
	Failure string   `json:"problem"`
}

// Change makes an operator's change and writes its acknowledgement down.
func (r *Rig) Change(method, path string, body any) (int, Acknowledgement, error) {
	var a Acknowledgement
	st, err := r.F.Operate(method, path, body, &a)
	if err == nil && st == http.StatusOK {
		r.Record(checker.Acked, path, a.Version)
	}
	return st, a, err
}

// Zone empties or refills a zone.
func (r *Rig) Zone(zone string, empty bool) error {
	path, kind := "/v1/zones/"+zone+"/refill", checker.Refill
	if empty {
		path, kind = "/v1/zones/"+zone+"/empty", checker.Empty
	} else {
		// From here on work may come, whenever the change is in force.
		r.Record(kind, zone, 0)
	}
	st, a, err := r.Change(http.MethodPost, path, nil)
	if err != nil {
		return err
	}
	if st != http.StatusOK {
		return fmt.Errorf("%s: status %d, %d %s, waiting for %v", path, st, a.Code, a.Failure, a.Waiting)
	}
	if empty {
		r.Record(kind, zone, 0)
	}
	return nil
}

// Kill ends a machine's process as a crash would.
func (r *Rig) Kill(id string) error {
	r.Record(checker.Hard, "kill "+id, 0)
	if !r.F.Get(id).Kill() {
		return fmt.Errorf("%s did not run", id)
	}
	return nil
}

// Start starts a machine again.
func (r *Rig) Start(id string) error {
	r.say("  start %s", id)
	return r.F.Get(id).Start(false)
}

// Quit stops a machine in an orderly way.
func (r *Rig) Quit(id string) error {
	m := r.F.Get(id)
	r.Record(checker.Stopping, m.HTTP(), 0)
	if !m.Quit() {
		return fmt.Errorf("%s did not run", id)
	}
	r.Record(checker.Stopped, m.HTTP(), 0)
	return nil
}

// Freeze stops a machine's process where it stands; Thaw lets it go on.
func (r *Rig) Freeze(id string) error {
	r.Record(checker.Hard, "freeze "+id, 0)
	if !r.F.Get(id).Signal(syscall.SIGSTOP) {
		return fmt.Errorf("%s does not run", id)
	}
	return nil
}

// Thaw wakes it.
func (r *Rig) Thaw(id string) error {
	r.say("  thaw %s", id)
	if !r.F.Get(id).Signal(syscall.SIGCONT) {
		return fmt.Errorf("%s does not run", id)
	}
	return nil
}

// Drain lets a runner say that it leaves; Return brings it back anew.
func (r *Rig) Drain(name string) *runner.Runner {
	n := r.Runner(name)
	n.Drain()
	r.Record(checker.Drained, name, 0)
	return n
}

// Return brings a drained runner back as a new process.
func (r *Rig) Return(name string) error {
	n := r.Runner(name)
	n.Stop()
	r.Record(checker.Back, name, 0)
	return n.Start()
}

// Runner finds a stand-in.
func (r *Rig) Runner(name string) *runner.Runner {
	for _, n := range r.F.Runners {
		if n.P.Name == name {
			return n
		}
	}
	return nil
}

// Wait lets time pass under traffic.
func (r *Rig) Wait(ctx context.Context, d time.Duration) { loop.Wait(ctx, d) }

func (r *Rig) read() error {
	var s struct {
		Version uint64 `json:"version"`
	}
	st, err := r.F.Operate(http.MethodGet, "/v1/spec", nil, &s)
	if err != nil {
		return err
	}
	if st != http.StatusOK {
		return fmt.Errorf("status %d", st)
	}
	r.Record(checker.FinalRead, "", s.Version)
	return nil
}

func (r *Rig) result(name string) *Result {
	c := checker.Case{
		Spec:  &r.F.Spec,
		Asks:  r.asks(),
		Runs:  checker.Runs(r.F.Runners),
		Most:  r.Crowd.Most,
		Audit: r.audit,
	}
	r.mu.Lock()
	c.Events = append(c.Events, r.events...)
	c.Samples = append(c.Samples, r.samples...)
	r.mu.Unlock()
	res := &Result{
		Scenario: name,
		Seed:     r.P.Fleet.Seed,
		Verdict:  checker.Judge(c),
		Asks:     len(c.Asks),
		Runs:     len(c.Runs),
		Codes:    map[string]int{},
		Words:    map[string]string{},
		Rounds:   r.rounds,
		Sent:     r.sent,
	}
	for _, a := range c.Asks {
		switch {
		case a.Lost:
			res.Codes["lost"]++
		case a.Refused:
			res.Codes["port refused"]++
		case a.Status == http.StatusOK:
			res.Codes["ok"]++
			if a.PrefixHit {
				res.Held++
			}
			if a.Urgent {
				res.Urgent = append(res.Urgent, a.Done.Sub(a.Sent))
			}
		default:
			res.Codes[a.Name]++
			res.Words[a.Name] = a.Failure
		}
	}
	for _, e := range c.Runs {
		if e.Refused {
			res.Early++
		}
	}
	for _, e := range c.Events {
		if e.Kind == checker.Hard {
			if d, ok := c.BackAfter(e.At); ok {
				res.Back = append(res.Back, Back{e.ID, d})
			} else {
				res.Back = append(res.Back, Back{e.ID, -1})
			}
		}
	}
	return res
}

// counts takes down what the day cost, before the audit adds to it.
func (r *Rig) counts() {
	for _, m := range r.F.Of("edge") {
		if s, err := r.F.Status(m); err == nil {
			r.rounds += s.Rounds
			r.sent += s.Sent
		}
	}
}
