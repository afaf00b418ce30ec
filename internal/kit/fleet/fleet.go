// Package fleet starts a complete deployment on loopback: real processes of the
// product, each on an address of its own, and stand-in runners in this one.
// It ends only processes that it started, by their ids.
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"damsontiller/internal/kit/runner"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/loop"
)

// Machine is one process of the fleet.
type Machine struct {
	ID, Role, Zone, IP string
	Dir                string
	args               []string
	bin                string
	mu                 sync.Mutex
	cmd                *exec.Cmd
	done               chan struct{}
	log                *os.File
	extra              []string
}

// Addr and HTTP are where it listens.
func (m *Machine) Addr() string { return m.IP + ":7100" }

// HTTP is its HTTP address.
func (m *Machine) HTTP() string { return m.IP + ":7200" }

// Params shape a fleet.
type Params struct {
	Deploy string // folder with spec.json
	Bin    string // folder with the programs
	Dir    string // folder for data and logs
	Net    int    // second octet; 0 checks for a free one
	Seed   uint64
	Bears  int
	Edges  int  // 0 means six
	Up     bool // runners come up slowly
	Log    string
	// Extra flags for every process, after its own.
	Extra []string
}

// Fleet is a running deployment.
type Fleet struct {
	P        Params
	Spec     spec.Spec
	Machines []*Machine
	Runners  []*runner.Runner
	Platform *runner.Platform
	Web      *http.Client
	net      string
	seeds    []string
}

// New lays out a fleet; Start starts it.
func New(p Params) (*Fleet, error) {
	b, err := os.ReadFile(filepath.Join(p.Deploy, "spec.json"))
	if err != nil {
		return nil, err
	}
	if p.Net == 0 {
		if p.Net, err = freeNet(); err != nil {
			return nil, err
		}
	}
	f := &Fleet{
		P:   p,
		net: fmt.Sprintf("127.%d.", p.Net),
		Web: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	b = bytes.ReplaceAll(b, []byte("127.20."), []byte(f.net))
	if err := spec.Read(b, &f.Spec); err != nil {
		return nil, err
	}
	if err := f.Spec.Check(); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(p.Dir, 0o755); err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(p.Dir, "spec.json"), b, 0o644); err != nil {
		return nil, err
	}
	f.layOut()
	return f, nil
}

// freeNet finds a loopback network where nobody listens yet.
func freeNet() (int, error) {
	for n := 20; n < 250; n++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.31:7100", n))
		if err == nil {
			ln.Close()
			return n, nil
		}
	}
	return 0, errors.New("no free loopback network")
}

var zones = []string{"a", "b", "c"}

func (f *Fleet) add(id, role string, z, host int) *Machine {
	m := &Machine{
		ID:   id,
		Role: role,
		Zone: zones[z],
		IP:   fmt.Sprintf("%s%d.%d", f.net, z+1, host),
		bin:  filepath.Join(f.P.Bin, "damsontiller-data"),
	}
	m.Dir = filepath.Join(f.P.Dir, id)
	if role == "core" {
		m.bin = filepath.Join(f.P.Bin, "damsontiller-control")
	}
	f.Machines = append(f.Machines, m)
	return m
}

// args makes a machine's command line.
func (f *Fleet) args(m *Machine) {
	level := f.P.Log
	if level == "" {
		level = "info"
	}
	own := []string{
		"-id",
		m.ID,
		"-listen",
		m.Addr(),
		"-http",
		m.HTTP(),
		"-zone",
		m.Zone,
		"-seeds",
		strings.Join(f.seeds, ","),
		"-faults",
		"-log",
		level,
	}
	m.args = append([]string{"-role", m.Role}, own...)
	if m.Role == "core" {
		m.args = append([]string{"serve"}, own...)
	}
	if m.Role != "edge" {
		m.args = append(m.args, "-data", filepath.Join(m.Dir, "data"))
	}
	m.args = append(m.args, f.P.Extra...)
}

func (f *Fleet) layOut() {
	var cores, stores []string
	for z := range 3 {
		m := f.add(fmt.Sprintf("c%d", z+1), "core", z, 31)
		cores = append(cores, fmt.Sprintf("%s=%s/%s", m.ID, m.Addr(), m.Zone))
		f.seeds = append(f.seeds, m.Addr())
	}
	for z := range 3 {
		m := f.add(fmt.Sprintf("s%d", z+1), "store", z, 21)
		stores = append(stores, fmt.Sprintf("%s=%s/%s", m.ID, m.Addr(), m.Zone))
	}
	edges := f.P.Edges
	if edges == 0 {
		edges = 6
	}
	for i := range edges {
		f.add(fmt.Sprintf("e%d", i+1), "edge", i%3, 11+i/3)
	}
	for _, m := range f.Machines {
		f.args(m)
		if m.Role == "core" {
			m.extra = []string{
				"-bootstrap",
				"-cores",
				strings.Join(cores, ","),
				"-stores",
				strings.Join(stores, ","),
				"-spec",
				filepath.Join(f.P.Dir, "spec.json"),
			}
		}
	}
	for i, r := range f.Spec.Runners {
		p := runner.Params{
			Runner: r,
			Bears:  f.P.Bears,
			Up:     f.P.Up,
			Take:   40 * time.Millisecond,
			Seed:   f.P.Seed*1000 + uint64(i),
		}
		if p.Bears == 0 {
			p.Bears = 8
		}
		for _, rt := range f.Spec.Routes {
			if rt.Name == r.Route && rt.Model {
				p.Model, p.Take = true, 250*time.Millisecond
			}
		}
		f.Runners = append(f.Runners, runner.New(p))
	}
	f.Platform = &runner.Platform{Addr: f.Spec.Platform, Lag: 2 * time.Second}
}

// Start starts everything and waits until the fleet serves.
func (f *Fleet) Start(ctx context.Context) error {
	for _, r := range f.Runners {
		if err := r.Start(); err != nil {
			return err
		}
	}
	if err := f.Platform.Start(ctx); err != nil {
		return err
	}
	for _, m := range f.Machines {
		if err := m.Start(true); err != nil {
			return err
		}
	}
	return f.Ready(ctx, 60*time.Second)
}

// Ready waits until every edge that runs serves and holds slots.
func (f *Fleet) Ready(ctx context.Context, most time.Duration) error {
	ctx, stop := context.WithTimeout(ctx, most)
	defer stop()
	for {
		missing := ""
		for _, m := range f.Machines {
			if m.Role == "edge" && m.Running() {
				if s, err := f.Status(m); err != nil || !s.Ready || len(s.Slots) == 0 {
					missing = m.ID
					break
				}
			}
		}
		if missing == "" {
			missing = f.unhealthy()
		}
		if missing == "" {
			return nil
		}
		if !loop.Wait(ctx, 100*time.Millisecond) {
			return fmt.Errorf("%s does not serve after %s (logs in %s)", missing, most, f.P.Dir)
		}
	}
}

// unhealthy is a machine of the sets that is not bound yet, if there is one.
func (f *Fleet) unhealthy() string {
	var h struct {
		Wrong []string `json:"wrong"`
	}
	if _, err := f.Operate(http.MethodGet, "/v1/health", nil, &h); err != nil {
		return err.Error()
	}
	for _, w := range h.Wrong {
		if strings.HasSuffix(w, "is not bound yet") {
			return w
		}
	}
	return ""
}

// Status is an edge's own report.
type Status struct {
	ID     string           `json:"id"`
	Ready  bool             `json:"ready"`
	Spec   uint64           `json:"spec"`
	Epoch  uint64           `json:"deal_epoch"`
	Counts map[string]int64 `json:"counts"`
	Rounds uint64           `json:"register_rounds"`
	Sent   uint64           `json:"messages_sent"`
	Slots  map[string]int   `json:"slots"`
	Policy string           `json:"policy"`
	Share  int              `json:"policy_share"`
	Fell   int64            `json:"policy_fallbacks"`
}

// Status asks a machine for its status.
func (f *Fleet) Status(m *Machine) (Status, error) {
	var s Status
	c := &http.Client{Timeout: time.Second, Transport: f.Web.Transport}
	r, err := c.Get("http://" + m.HTTP() + "/v1/status")
	if err != nil {
		return s, err
	}
	defer r.Body.Close()
	return s, json.NewDecoder(r.Body).Decode(&s)
}

// Of lists the machines of a role.
func (f *Fleet) Of(role string) []*Machine {
	var out []*Machine
	for _, m := range f.Machines {
		if m.Role == role {
			out = append(out, m)
		}
	}
	return out
}

// Get finds a machine.
func (f *Fleet) Get(id string) *Machine {
	for _, m := range f.Machines {
		if m.ID == id {
			return m
		}
	}
	return nil
}

// Operate sends an operator's request to the first core that answers.
func (f *Fleet) Operate(method, path string, body any, into any) (int, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	if body == nil {
		b = nil
	}
	last := errors.New("no core runs")
	for _, m := range f.Of("core") {
		if !m.Running() {
			continue
		}
		q, err := http.NewRequest(method, "http://"+m.HTTP()+path, bytes.NewReader(b))
		if err != nil {
			return 0, err
		}
		r, err := f.Web.Do(q)
		if err != nil {
			last = err
			continue
		}
		defer r.Body.Close()
		got, err := io.ReadAll(io.LimitReader(r.Body, 8<<20))
		if err != nil {
			return r.StatusCode, err
		}
		if into != nil {
			if err := json.Unmarshal(got, into); err != nil {
				return r.StatusCode, fmt.Errorf("%w: %s", err, got)
			}
		}
		return r.StatusCode, nil
	}
	return 0, last
}

// Partition cuts machines off from others, both ways; also have no partition of
// theirs, which joins them again.
func (f *Fleet) Partition(of []*Machine, from []*Machine, also ...*Machine) error {
	set := func(m *Machine, others []*Machine) error {
		var addrs []string
		for _, o := range others {
			if o != m {
				addrs = append(addrs, o.Addr())
			}
		}
		b, err := json.Marshal(map[string]any{"cut": addrs})
		if err != nil {
			return err
		}
		r, err := f.Web.Post("http://"+m.HTTP()+"/debug/cuts", "application/json", bytes.NewReader(b))
		if err != nil {
			return err
		}
		return r.Body.Close()
	}
	for _, m := range of {
		if err := set(m, from); err != nil {
			return err
		}
	}
	for _, m := range from {
		if err := set(m, of); err != nil {
			return err
		}
	}
	for _, m := range also {
		if err := set(m, nil); err != nil {
			return err
		}
	}
	return nil
}

// Disk makes a machine's disk seem to have free bytes (-1: what it has), and
// each sync take longer.
func (f *Fleet) Disk(m *Machine, free, delayMs int) error {
	b, err := json.Marshal(map[string]int{"free": free, "delay_ms": delayMs})
	if err != nil {
		return err
	}
	r, err := f.Web.Post("http://"+m.HTTP()+"/debug/disk", "application/json", bytes.NewReader(b))
	if err != nil {
		return err
	}
	return r.Body.Close()
}

// Add lays out and starts one more machine.
func (f *Fleet) Add(id, role string, z, host int) (*Machine, error) {
	m := f.add(id, role, z, host)
	f.args(m)
	return m, m.Start(false)
}

// Stop ends all that was started.
func (f *Fleet) Stop() {
	var wg sync.WaitGroup
	for _, m := range f.Machines {
		wg.Go(func() { m.Kill() })
	}
	wg.Wait()
	for _, r := range f.Runners {
		r.Stop()
	}
	f.Platform.Stop()
}

// Start starts the process; first is whether a core forms its set.
func (m *Machine) Start(first bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		return fmt.Errorf("%s runs already", m.ID)
	}
	if err := os.MkdirAll(m.Dir, 0o755); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.Dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	args := m.args
	if first {
		args = append(args[:len(args):len(args)], m.extra...)
	}
	c := exec.Command(m.bin, args...)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		log.Close()
		return err
	}
	done := make(chan struct{})
	m.cmd, m.log, m.done = c, log, done
	go func() {
		_ = c.Wait()
		log.Close()
		m.mu.Lock()
		if m.cmd == c {
			m.cmd = nil
		}
		m.mu.Unlock()
		close(done)
	}()
	return nil
}

// Running reports whether the process runs.
func (m *Machine) Running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd != nil
}

// Pid is the process's id, 0 while none runs.
func (m *Machine) Pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return 0
	}
	return m.cmd.Process.Pid
}

// Signal sends a signal to the process, if it runs.
func (m *Machine) Signal(s syscall.Signal) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd != nil && m.cmd.Process.Signal(s) == nil
}

// Kill ends the process at once and waits for its end.
func (m *Machine) Kill() bool { return m.end(syscall.SIGKILL) }

// Quit asks the process to stop and waits for its end.
func (m *Machine) Quit() bool { return m.end(syscall.SIGTERM) }

func (m *Machine) end(s syscall.Signal) bool {
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	if !m.Signal(s) {
		return false
	}
	<-done
	return true
}

// Wipe empties the data folder of a process that does not run.
func (m *Machine) Wipe() error {
	if m.Running() {
		return fmt.Errorf("%s runs", m.ID)
	}
	return os.RemoveAll(filepath.Join(m.Dir, "data"))
}
