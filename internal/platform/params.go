// Package platform joins the product to the users' platform: it spells its
// settings, headers and bodies. It translates, and decides nothing.
package platform

import (
	"context"
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/BurntSushi/toml"

	"damsontiller/internal/dataplane/quota"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// ConfigPathEnv names the variable that holds the settings file's path.
const ConfigPathEnv = "DAMSONTILLER_CONFIG"

// Params are the fields of the settings file that the product needs; others are
// left aside. figures may be integers or fractions.
type Params struct {
	ID      string            `toml:"node-name"`
	IP      string            `toml:"ip"`
	Zone    string            `toml:"zone"`
	Ports   []int             `toml:"internal-port-range"`
	Seeds   []string          `toml:"seed-nodes"`
	Initial bool              `toml:"initial-start"`
	Data    string            `toml:"data-directory"`
	Zones   map[string]string `toml:"zones"`
	Bind    struct {
		Front   string `toml:"front"`
		Ready   string `toml:"readiness"`
		Control string `toml:"control"`
	} `toml:"bind-addresses"`
	Limits struct {
		MemoryMB float64 `toml:"memory-mb"`
		DiskMB   float64 `toml:"disk-mb"`
	} `toml:"limits"`
	Tolerance struct {
		Machines int `toml:"machines"`
		Zones    int `toml:"zones"`
	} `toml:"fault-tolerance"`
	Bounds struct {
		ContactMs float64 `toml:"contact-ms"`
		GraceS    float64 `toml:"grace-s"`
		SyncS     float64 `toml:"sync-time-s"`
		// KeyWindowS is for how long requests of one operation key are one operation.
		KeyWindowS float64 `toml:"key-window-s"`
		// QuotaWindowS is the span in which a tenant's requests are counted; QuotaExcess is
		// how much of its quota, QuotaSlack how many requests may be run beyond it.
		QuotaWindowS float64 `toml:"quota-window-s"`
		QuotaExcess  float64 `toml:"quota-excess"`
		QuotaSlack   float64 `toml:"quota-slack"`
	} `toml:"timing-bounds"`
	Platform struct {
		Address  string  `toml:"address"`
		RatePerS float64 `toml:"rate-per-s"`
	} `toml:"platform-api"`

	path string
}

func bad(field, format string, a ...any) error {
	return code.New(code.BadFlag, "settings: "+field+": "+format, a...)
}

// Load reads the settings file and checks what every role needs.
func Load(path string) (*Params, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, code.New(code.BadFlag, "settings %s: %w", path, err)
	}
	return parse(path, string(b))
}

// parse checks the text of the settings file.
func parse(path, text string) (*Params, error) {
	p := &Params{path: path}
	// What the file leaves out keeps these.
	p.Tolerance.Machines, p.Bounds.ContactMs, p.Bounds.GraceS, p.Bounds.SyncS, p.Platform.RatePerS = 1, 3000, 8, 4.3, 10
	if _, err := toml.Decode(text, p); err != nil {
		// The library's own text names the field and the line.
		return nil, code.New(code.BadFlag, "settings %s: %w", path, err)
	}
	return p, p.check()
}

// Bounds of the settings' figures.
const (
	maxMB      = 1 << 40
	maxLosses  = 100
	maxSeconds = 24 * 3600
	maxRate    = 1e9
)

// within reports whether a figure is a number from least to most; TOML has NaN, which
// is neither below nor above anything.
func within(f, least, most float64) bool { return f >= least && f <= most }

func (p *Params) check() error {
	switch {
	case !spec.Name(p.ID):
		return bad("node-name", "%q is not a name", p.ID)
	case net.ParseIP(p.IP) == nil:
		return bad("ip", "%q is not an IP number", p.IP)
	case !spec.Name(p.Zone):
		return bad("zone", "%q is not a name", p.Zone)
	case len(p.Ports) != 2 || p.Ports[0] < 1 || p.Ports[1] < p.Ports[0] || p.Ports[1] > 65535:
		return bad("internal-port-range", "%v is no range of ports", p.Ports)
	case p.Ports[1] == p.Ports[0]:
		return bad("internal-port-range", "two ports are needed")
	case len(p.Seeds) == 0:
		return bad("seed-nodes", "missing")
	case len(p.Zones) == 0:
		return bad("zones", "missing")
	case !within(p.Limits.MemoryMB, 0, maxMB) || !within(p.Limits.DiskMB, 0, maxMB):
		return bad("limits", "a figure is not within 0 and %d", maxMB)
	case min(p.Tolerance.Machines, p.Tolerance.Zones) < 0 || max(p.Tolerance.Machines, p.Tolerance.Zones) > maxLosses:
		return bad("fault-tolerance", "a figure is not within 0 and %d", maxLosses)
	case p.Bounds.ContactMs == 0 || !within(p.Bounds.ContactMs, 0, maxSeconds*1000):
		return bad("timing-bounds.contact-ms", "%v is not positive, or over a day", p.Bounds.ContactMs)
	case p.Bounds.GraceS == 0 || !within(p.Bounds.GraceS, 0, maxSeconds):
		return bad("timing-bounds.grace-s", "%v is not positive, or over a day", p.Bounds.GraceS)
	case p.Bounds.SyncS == 0 || !within(p.Bounds.SyncS, 0, maxSeconds):
		return bad("timing-bounds.sync-time-s", "%v is not positive, or over a day", p.Bounds.SyncS)
	case !within(p.Bounds.KeyWindowS, 0, maxSeconds):
		return bad("timing-bounds.key-window-s", "%v is not within 0 and a day", p.Bounds.KeyWindowS)
	case !within(p.Bounds.QuotaWindowS, 0, maxSeconds):
		return bad("timing-bounds.quota-window-s", "%v is not within 0 and a day", p.Bounds.QuotaWindowS)
	case !within(p.Bounds.QuotaExcess, 0, maxRate) || !within(p.Bounds.QuotaSlack, 0, maxRate):
		return bad("timing-bounds", "quota-excess or quota-slack is not within 0 and %v", maxRate)
	case p.Platform.RatePerS == 0 || !within(p.Platform.RatePerS, 0, maxRate):
		return bad("platform-api.rate-per-s", "%v is not positive, or over %d", p.Platform.RatePerS, maxRate)
	}
	if _, ok := p.Zones[p.Zone]; !ok {
		return bad("zones", "%q, this machine's own, is missing", p.Zone)
	}
	for _, s := range p.Seeds {
		if err := spec.Addr(s); err != nil {
			return bad("seed-nodes", "%w", err)
		}
	}
	return nil
}

// CheckRole checks the fields that one role needs beside the others.
func (p *Params) CheckRole(role string) error {
	type field struct{ name, addr string }
	var need []field
	switch role {
	case "core":
		need = []field{{"bind-addresses.control", p.Bind.Control}}
	case "edge":
		need = []field{
			{"bind-addresses.front", p.Bind.Front},
			{"bind-addresses.readiness", p.Bind.Ready},
			{"platform-api.address", p.Platform.Address},
		}
	}
	for _, f := range need {
		if err := spec.Addr(f.addr); err != nil {
			return bad(f.name, "%w", err)
		}
	}
	if role != "edge" && p.Data == "" {
		return bad("data-directory", "missing")
	}
	return nil
}

// ListenAddr is where this node hears the others.
func (p *Params) ListenAddr() string { return p.inner(p.IP, 0) }

// StatusAddr is where this process tells its own status and figures.
func (p *Params) StatusAddr() string { return p.inner(p.IP, 1) }

func (p *Params) inner(ip string, n int) string {
	return net.JoinHostPort(ip, strconv.Itoa(p.Ports[0]+n))
}

// Peers are the seeds' addresses among the nodes: all machines use the same ports.
func (p *Params) Peers() []string {
	var out []string
	for _, s := range p.Seeds {
		ip, _, _ := net.SplitHostPort(s)
		out = append(out, p.inner(ip, 0))
	}
	return out
}

// IsFounder reports whether this core is one of those that form the first set.
func (p *Params) IsFounder() bool { return p.Initial && slices.Contains(p.Peers(), p.ListenAddr()) }

// ZoneList is every zone, in one order.
func (p *Params) ZoneList() []string {
	var out []string
	for z := range p.Zones {
		out = append(out, z)
	}
	slices.Sort(out)
	return out
}

// ReplicationFactor is how many stores hold a key so that a majority outlives the losses given.
func (p *Params) ReplicationFactor() int { return 2*p.Tolerance.Machines + 1 }

// ContactTimeout is how long nothing may happen to a machine that is in touch.
func (p *Params) ContactTimeout() time.Duration { return Ms(p.Bounds.ContactMs) }

// Quota are the bounds of the tenants' quotas; what the settings leave out keeps its default.
func (p *Params) Quota() quota.Params {
	out := quota.DefaultParams
	if p.Bounds.QuotaWindowS > 0 {
		out.Window = Ms(p.Bounds.QuotaWindowS * 1000)
		out.Excess, out.Slack = p.Bounds.QuotaExcess, p.Bounds.QuotaSlack
	}
	return out
}

// operationMargin is how much longer than its window an operation is kept: its window counts
// from when its first request was sent, and its retention from its last change.
const operationMargin = 30 * time.Second

// OperationRetention is how long stores keep an operation; 0: the settings don't say.
func (p *Params) OperationRetention() time.Duration {
	if p.Bounds.KeyWindowS == 0 {
		return 0
	}
	return Ms(p.Bounds.KeyWindowS*1000) + operationMargin
}

// Grace is how long after the stop signal the process may go on.
func (p *Params) Grace() time.Duration { return Ms(p.Bounds.GraceS * 1000) }

// Ms is a number of milliseconds, which may be a fraction.
func Ms(f float64) time.Duration { return time.Duration(f * float64(time.Millisecond)) }

// watcher knows the settings file as it was read last.
type watcher struct {
	path    string
	at      time.Time
	size    int64
	changed func(*Params)
	wrong   func(error)
}

func (p *Params) watcher(changed func(*Params), wrong func(error)) *watcher {
	w := &watcher{path: p.path, changed: changed, wrong: wrong}
	w.at, w.size = stat(p.path)
	return w
}

// Watch tells of each change of the settings file until ctx ends: at once after
// the signal for it, within a second without one. A file that can't be read is
// left aside: what was read last holds.
//
// The signal is taken by the program, from its first moment to its last: while nobody
// takes it, it ends the process.
func (p *Params) Watch(ctx context.Context, reloads <-chan os.Signal, changed func(*Params), wrong func(error)) {
	w := p.watcher(changed, wrong)
	loop.Take(ctx, reloads, time.Second, func() { w.poll(false) }, func(os.Signal) { w.poll(true) })
}

// poll reads the file if it has changed; signal says that it has.
func (w *watcher) poll(signal bool) {
	at, size := stat(w.path)
	if !signal && at.Equal(w.at) && size == w.size {
		return
	}
	q, err := Load(w.path)
	if err != nil {
		// The next check reads it again: it may be half written.
		w.wrong(err)
		return
	}
	w.at, w.size = at, size
	w.changed(q)
}

// stat gives the time of the last change and the size; nothing where there is no
// file.
func stat(path string) (time.Time, int64) {
	fi, err := os.Stat(path)
	if err != nil {
		return time.Time{}, 0
	}
	return fi.ModTime(), fi.Size()
}
