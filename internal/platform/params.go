// Package platform is the adapter between the server and the platform on which it runs. It reads the
// platform's settings file, serves callers and readiness probes, and contains no routing decisions;
// the subpackages translate the platform's headers and APIs.
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
	"damsontiller/internal/transport/limitio"
	"damsontiller/internal/transport/loop"
)

// ConfigPathEnv is the name of the environment variable with the path of the settings file.
const ConfigPathEnv = "DAMSONTILLER_CONFIG"

// Params are the settings that the server uses. Other fields of the settings file are ignored.
// Fields of type float64 accept integers and fractions.
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
		// Descriptors is the number of file descriptors of the process.
		Descriptors float64 `toml:"file-descriptors"`
	} `toml:"limits"`
	Tolerance struct {
		Machines int `toml:"machines"`
		Zones    int `toml:"zones"`
	} `toml:"fault-tolerance"`
	Bounds struct {
		ContactMs float64 `toml:"contact-ms"`
		GraceS    float64 `toml:"grace-s"`
		SyncS     float64 `toml:"sync-time-s"`
		// KeyWindowS is the time during which requests with the same operation key are one operation.
		KeyWindowS float64 `toml:"key-window-s"`
		// QuotaWindowS is the sliding window in which a tenant's requests are counted. A tenant may
		// exceed its quota by the fraction QuotaExcess of it plus QuotaSlack requests.
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

// settingError returns an error about one field of the settings file.
func settingError(field, format string, a ...any) error {
	return code.New(code.BadFlag, "settings: "+field+": "+format, a...)
}

// Load reads the settings file and checks the fields that every role needs.
func Load(path string) (*Params, error) {
	b, err := limitio.ReadFile(path, maxSettingsBytes)
	if err != nil {
		return nil, code.New(code.BadFlag, "settings %s: %w", path, err)
	}
	return parse(path, string(b))
}

// maxSettingsBytes limits the settings file.
const maxSettingsBytes = 1 << 20

// parse decodes and checks the text of the settings file.
func parse(path, text string) (*Params, error) {
	p := &Params{path: path}
	// Defaults of fields that the file does not set.
	p.Tolerance.Machines, p.Bounds.ContactMs, p.Bounds.GraceS, p.Bounds.SyncS, p.Platform.RatePerS = 1, 3000, 8, 4.3, 10
	if _, err := toml.Decode(text, p); err != nil {
		// The error text of the library names the field and the line.
		return nil, code.New(code.BadFlag, "settings %s: %w", path, err)
	}
	return p, p.check()
}

// Upper bounds of the settings.
const (
	maxMB       = 1 << 40
	maxFailures = 100 // tolerated failures of machines or zones
	maxSeconds  = 24 * 3600
	maxRate     = 1e9 // per second; also the bound of the quota settings
)

// within reports whether f is in the range from low to high. It is false for NaN, which TOML allows.
func within(f, low, high float64) bool { return f >= low && f <= high }

func (p *Params) check() error {
	switch {
	case !spec.Name(p.ID):
		return settingError("node-name", "%q is not a name", p.ID)
	case net.ParseIP(p.IP) == nil:
		return settingError("ip", "%q is not an IP number", p.IP)
	case !spec.Name(p.Zone):
		return settingError("zone", "%q is not a name", p.Zone)
	case len(p.Ports) != 2 || p.Ports[0] < 1 || p.Ports[1] < p.Ports[0] || p.Ports[1] > 65535:
		return settingError("internal-port-range", "%v is no range of ports", p.Ports)
	case p.Ports[1] == p.Ports[0]:
		return settingError("internal-port-range", "two ports are needed")
	case len(p.Seeds) == 0:
		return settingError("seed-nodes", "missing")
	case len(p.Zones) == 0:
		return settingError("zones", "missing")
	case !within(p.Limits.MemoryMB, 0, maxMB) || !within(p.Limits.DiskMB, 0, maxMB) ||
		!within(p.Limits.Descriptors, 0, maxMB):
		return settingError("limits", "a figure is not within 0 and %d", maxMB)
	case min(p.Tolerance.Machines, p.Tolerance.Zones) < 0 || max(p.Tolerance.Machines, p.Tolerance.Zones) > maxFailures:
		return settingError("fault-tolerance", "a figure is not within 0 and %d", maxFailures)
	case p.Bounds.ContactMs == 0 || !within(p.Bounds.ContactMs, 0, maxSeconds*1000):
		return settingError("timing-bounds.contact-ms", "%v is not positive, or over a day", p.Bounds.ContactMs)
	case p.Bounds.GraceS == 0 || !within(p.Bounds.GraceS, 0, maxSeconds):
		return settingError("timing-bounds.grace-s", "%v is not positive, or over a day", p.Bounds.GraceS)
	case p.Bounds.SyncS == 0 || !within(p.Bounds.SyncS, 0, maxSeconds):
		return settingError("timing-bounds.sync-time-s", "%v is not positive, or over a day", p.Bounds.SyncS)
	case !within(p.Bounds.KeyWindowS, 0, maxSeconds):
		return settingError("timing-bounds.key-window-s", "%v is not within 0 and a day", p.Bounds.KeyWindowS)
	case !within(p.Bounds.QuotaWindowS, 0, maxSeconds):
		return settingError("timing-bounds.quota-window-s", "%v is not within 0 and a day", p.Bounds.QuotaWindowS)
	case !within(p.Bounds.QuotaExcess, 0, maxRate) || !within(p.Bounds.QuotaSlack, 0, maxRate):
		return settingError("timing-bounds", "quota-excess or quota-slack is not within 0 and %v", maxRate)
	case p.Platform.RatePerS == 0 || !within(p.Platform.RatePerS, 0, maxRate):
		return settingError("platform-api.rate-per-s", "%v is not positive, or over %d", p.Platform.RatePerS, maxRate)
	}
	if _, ok := p.Zones[p.Zone]; !ok {
		return settingError("zones", "%q, this machine's own, is missing", p.Zone)
	}
	for _, s := range p.Seeds {
		if err := spec.Addr(s); err != nil {
			return settingError("seed-nodes", "%w", err)
		}
	}
	return nil
}

// CheckRole checks the fields that only the given role needs.
func (p *Params) CheckRole(role string) error {
	type field struct{ name, addr string }
	var required []field
	switch role {
	case "core":
		required = []field{{"bind-addresses.control", p.Bind.Control}}
	case "edge":
		required = []field{
			{"bind-addresses.front", p.Bind.Front},
			{"bind-addresses.readiness", p.Bind.Ready},
			{"platform-api.address", p.Platform.Address},
		}
	}
	for _, f := range required {
		if err := spec.Addr(f.addr); err != nil {
			return settingError(f.name, "%w", err)
		}
	}
	if role != "edge" && p.Data == "" {
		return settingError("data-directory", "missing")
	}
	return nil
}

// ListenAddr returns the address at which this node listens for other nodes.
func (p *Params) ListenAddr() string { return p.internalAddr(p.IP, 0) }

// StatusAddr returns the address at which this process serves its status and metrics.
func (p *Params) StatusAddr() string { return p.internalAddr(p.IP, 1) }

// internalAddr returns the address of the port with the given offset in the internal port range.
func (p *Params) internalAddr(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(p.Ports[0]+offset))
}

// Peers returns the internal addresses of the seed nodes. All machines use the same internal ports.
func (p *Params) Peers() []string {
	var out []string
	for _, s := range p.Seeds {
		ip, _, _ := net.SplitHostPort(s)
		out = append(out, p.internalAddr(ip, 0))
	}
	return out
}

// IsFounder reports whether this core is one of the seed nodes of the cluster's initial start, which
// form the first set of cores.
func (p *Params) IsFounder() bool { return p.Initial && slices.Contains(p.Peers(), p.ListenAddr()) }

// ZoneList returns the names of all zones in sorted order.
func (p *Params) ZoneList() []string {
	var out []string
	for z := range p.Zones {
		out = append(out, z)
	}
	slices.Sort(out)
	return out
}

// ReplicationFactor returns the number of stores for each key with which a majority survives the
// tolerated machine failures.
func (p *Params) ReplicationFactor() int { return 2*p.Tolerance.Machines + 1 }

// ContactTimeout returns the time for which a machine must be out of contact before it may be treated
// as lost.
func (p *Params) ContactTimeout() time.Duration { return Ms(p.Bounds.ContactMs) }

// Quota returns the parameters of the tenants' quotas. Without quota-window-s they are the defaults.
func (p *Params) Quota() quota.Params {
	params := quota.DefaultParams
	if p.Bounds.QuotaWindowS > 0 {
		params.Window = Ms(p.Bounds.QuotaWindowS * 1000)
		params.Excess, params.Slack = p.Bounds.QuotaExcess, p.Bounds.QuotaSlack
	}
	return params
}

// operationMargin is the time by which the retention of an operation exceeds its window: the window
// starts when the first request was sent, the retention at the last change.
const operationMargin = 30 * time.Second

// OperationRetention returns the time for which stores keep an operation, or 0 if key-window-s is
// not set.
func (p *Params) OperationRetention() time.Duration {
	if p.Bounds.KeyWindowS == 0 {
		return 0
	}
	return Ms(p.Bounds.KeyWindowS*1000) + operationMargin
}

// Grace returns the maximum time from the stop signal to the end of the process.
func (p *Params) Grace() time.Duration { return Ms(p.Bounds.GraceS * 1000) }

// Ms converts milliseconds, with fractions, to a Duration.
func Ms(f float64) time.Duration { return time.Duration(f * float64(time.Millisecond)) }

// watchInterval is the interval at which the settings file is checked for a change.
const watchInterval = time.Second

// watcher detects changes of the settings file since it was last read.
type watcher struct {
	path     string
	modTime  time.Time
	size     int64
	onChange func(*Params)
	onError  func(error)
}

func (p *Params) watcher(onChange func(*Params), onError func(error)) *watcher {
	w := &watcher{path: p.path, onChange: onChange, onError: onError}
	w.modTime, w.size = stat(p.path)
	return w
}

// Watch calls onChange after each change of the settings file until ctx ends: immediately after a
// signal on reloads, otherwise within watchInterval. It calls onError for a file that cannot be
// read; the settings read before remain in force.
//
// The caller must be subscribed to the signal for the whole run of the program, because a signal
// without a subscriber ends the process.
func (p *Params) Watch(ctx context.Context, reloads <-chan os.Signal, onChange func(*Params), onError func(error)) {
	w := p.watcher(onChange, onError)
	loop.Consume(ctx, reloads, watchInterval, func() { w.poll(false) }, func(os.Signal) { w.poll(true) })
}

// poll reads the file if it has changed, or in any case if force is set.
func (w *watcher) poll(force bool) {
	modTime, size := stat(w.path)
	if !force && modTime.Equal(w.modTime) && size == w.size {
		return
	}
	params, err := Load(w.path)
	if err != nil {
		// The file may be incompletely written; the next poll reads it again.
		w.onError(err)
		return
	}
	w.modTime, w.size = modTime, size
	w.onChange(params)
}

// stat returns the modification time and size of a file, or zero values if it does not exist.
func stat(path string) (time.Time, int64) {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}, 0
	}
	return info.ModTime(), info.Size()
}
