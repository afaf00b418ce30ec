// Package startup is what the programs share on the command line: settings from flags
// and a file, checks that name the flag at fault, logging and signals.
package startup

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"log"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"

	"damsontiller/internal/coordination/broadcast"
	"damsontiller/internal/coordination/lease"
	"damsontiller/internal/coordination/node"
	"damsontiller/internal/coordination/web"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/state/storage"
	"damsontiller/internal/transport"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/listen"
	"damsontiller/internal/transport/logqueue"
)

// Exit codes.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitFlags   = 2
)

// Process is where a process stands.
type Process struct {
	ID, Listen, HTTP, Zone, Data, Level         string
	Seeds                                       string
	Faults                                      bool
	MinFree                                     int64
	RenewInterval, LeaseDuration, OrphanTimeout time.Duration
	file                                        string
	fs                                          *flag.FlagSet
}

// Flags defines the flags that every process has.
func Flags(fs *flag.FlagSet) *Process {
	p := &Process{fs: fs}
	d := lease.DefaultParams
	fs.StringVar(&p.ID, "id", "", "name of this machine")
	fs.StringVar(&p.Listen, "listen", "", "IP number and port for the system's own processes")
	fs.StringVar(&p.HTTP, "http", "", "IP number and port for HTTP")
	fs.StringVar(&p.Zone, "zone", "", "zone of this machine")
	fs.StringVar(&p.Data, "data", "", "data folder, where this process keeps anything")
	fs.StringVar(&p.Seeds, "seeds", "", "up to three addresses of other processes, with commas between")
	fs.StringVar(&p.Level, "log", "info", "least level logged: debug, info, warn, error")
	fs.BoolVar(&p.Faults, "faults", false, "let the fault kit partition this process (never in service)")
	fs.DurationVar(&p.RenewInterval, "renew", d.RenewInterval, "time between renewals of the lease")
	fs.DurationVar(&p.LeaseDuration, "lasts", d.Duration, "time a lease lasts")
	fs.DurationVar(
		&p.OrphanTimeout,
		"hold",
		d.OrphanTimeout,
		"time after which what an unresponsive edge left running is no longer counted",
	)
	fs.Int64Var(&p.MinFree, "min-free", 64, "MiB of free disk below which a store or core takes no new key")
	fs.StringVar(&p.file, "params", "", "settings file: a JSON object of flag names and values; flags go before it")
	return p
}

func flagErr(name, format string, a ...any) error {
	return code.New(code.BadFlag, "-%s: %s", name, fmt.Sprintf(format, a...))
}

// Parse reads flags and the settings file, and checks them.
func (p *Process) Parse(args []string) error {
	p.fs.SetOutput(io.Discard)
	if err := p.fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			p.fs.SetOutput(os.Stdout)
			p.fs.Usage()
			return err
		}
		return code.New(code.BadFlag, "%w", err)
	}
	if p.fs.NArg() > 0 {
		return code.New(code.BadFlag, "%q is no flag", p.fs.Arg(0))
	}
	if p.file != "" {
		if err := p.load(); err != nil {
			return err
		}
	}
	return p.check()
}

func (p *Process) load() error {
	b, err := os.ReadFile(p.file)
	if err != nil {
		return flagErr("params", "%v", err)
	}
	var m map[string]any
	if err := json.Unmarshal(b, &m); err != nil {
		return flagErr("params", "%s: %v", p.file, err)
	}
	given := map[string]bool{}
	p.fs.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for k, v := range m {
		if k == "params" || p.fs.Lookup(k) == nil {
			return flagErr("params", "%s: %q is not a setting", p.file, k)
		}
		if given[k] {
			continue
		}
		switch v.(type) {
		case string, bool, float64:
		default:
			return flagErr("params", "%s: %q wants a plain value", p.file, k)
		}
		if err := p.fs.Set(k, fmt.Sprint(v)); err != nil {
			return flagErr(k, "%s: %v", p.file, err)
		}
	}
	return nil
}

func (p *Process) check() error {
	if !spec.Name(p.ID) {
		return flagErr("id", "%q is not a name", p.ID)
	}
	if err := spec.Addr(p.Listen); err != nil {
		return flagErr("listen", "%v", err)
	}
	if err := spec.Addr(p.HTTP); err != nil {
		return flagErr("http", "%v", err)
	}
	if !spec.Name(p.Zone) {
		return flagErr("zone", "%q is not a name", p.Zone)
	}
	if n := len(p.SeedList()); n > 3 {
		return flagErr("seeds", "%d addresses, at most three", n)
	}
	for _, s := range p.SeedList() {
		if err := spec.Addr(s); err != nil {
			return flagErr("seeds", "%v", err)
		}
	}
	if hclog.LevelFromString(p.Level) == hclog.NoLevel {
		return flagErr("log", "%q is not a level", p.Level)
	}
	if p.MinFree < 0 {
		return flagErr("min-free", "%d is negative", p.MinFree)
	}
	if p.RenewInterval <= 0 || p.LeaseDuration < 2*p.RenewInterval {
		return flagErr("lasts", "%s is less than twice -renew %s", p.LeaseDuration, p.RenewInterval)
	}
	if p.OrphanTimeout < p.LeaseDuration {
		return flagErr("hold", "%s is less than -lasts %s", p.OrphanTimeout, p.LeaseDuration)
	}
	return nil
}

// SeedList is the seeds as a list.
func (p *Process) SeedList() []string {
	if p.Seeds == "" {
		return nil
	}
	return strings.Split(p.Seeds, ",")
}

// stderr is where everything is logged, also by libraries.
var stderr = logqueue.New(os.Stderr)

// flushTimeout bounds the wait for the log at the end of a process.
const flushTimeout = 300 * time.Millisecond

// Log makes the process's log, and says that the process starts: from here on it is known to
// take signals.
func (p *Process) Log(name string) hclog.Logger {
	log.SetOutput(stderr)
	logger := hclog.New(
		&hclog.LoggerOptions{Name: name + " " + p.ID, Level: hclog.LevelFromString(p.Level), Output: stderr},
	)
	logger.Info("starting", "pid", os.Getpid())
	return logger
}

// Node makes the node's params.
func (p *Process) Node(role, ident string, log hclog.Logger) node.Params {
	return node.Params{
		Self:  &wire.Member{Id: p.ID, Role: role, Addr: p.Listen, Http: p.HTTP, Zone: p.Zone, Ident: ident},
		Seeds: p.SeedList(), Net: transport.TCP(transport.DefaultParams, Opener(log)),
		Transport: transport.DefaultParams,
		Lease: lease.Params{
			RenewInterval: p.RenewInterval,
			Duration:      p.LeaseDuration,
			OrphanTimeout: p.OrphanTimeout,
		}, Broadcast: broadcast.DefaultParams, Log: log,
	}
}

// Engine opens the data folder.
func (p *Process) Engine(role string, log hclog.Logger) (*storage.Engine, error) {
	if p.Data == "" {
		return nil, flagErr("data", "missing")
	}
	return storage.Open(
		storage.Params{
			Dir:     p.Data,
			ID:      p.ID,
			Role:    role,
			MinFree: p.MinFree << 20,
			Log:     func(m string, a ...any) { log.Warn(m, a...) },
		},
	)
}

// DiskFaults adds the rehearsal kit's switch for a disk that is full or slow.
func DiskFaults(e *echo.Echo, v *storage.Engine) {
	e.POST("/debug/disk", func(c echo.Context) error {
		q := struct {
			Free    int64 `json:"free"`
			DelayMs int64 `json:"delay_ms"`
		}{Free: -1}
		if err := c.Bind(&q); err != nil {
			return web.Fail(c, code.New(code.BadJSON, "%w", err))
		}
		v.SimulateDisk(q.Free, time.Duration(q.DelayMs)*time.Millisecond)
		return c.NoContent(http.StatusOK)
	})
}

// Opener opens the addresses at which a process listens; one that is in use is logged.
func Opener(log hclog.Logger) listen.Opener {
	return listen.Opener{InUse: func(addr string) { log.Warn("address in use, waiting for it", "addr", addr) }}
}

// Exit reports a failure, ends the log and gives the exit code.
func Exit(err error) int {
	defer stderr.Close(flushTimeout)
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return ExitOK
	case code.Of(err) == code.BadFlag:
		fmt.Fprintln(stderr, err)
		return ExitFlags
	}
	fmt.Fprintln(stderr, err)
	return ExitFailure
}

// Machines parses a list like c1=127.0.0.1:7101/a,c2=...
func Machines(name, s string) ([]spec.Machine, error) {
	var out []spec.Machine
	ids := map[string]bool{}
	for _, segment := range strings.Split(s, ",") {
		id, rest, ok := strings.Cut(segment, "=")
		addr, zone, ok2 := strings.Cut(rest, "/")
		if !ok || !ok2 || !spec.Name(id) || !spec.Name(zone) {
			return nil, flagErr(name, "%q is not name=address/zone", segment)
		}
		if err := spec.Addr(addr); err != nil {
			return nil, flagErr(name, "%v", err)
		}
		if ids[id] {
			return nil, flagErr(name, "%q is listed twice", id)
		}
		ids[id] = true
		out = append(out, spec.Machine{ID: id, Addr: addr, Zone: zone})
	}
	return out, nil
}
