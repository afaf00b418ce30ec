// Package startup holds the code that the programs share to start: settings from flags and
// a settings file, validation with errors that name the flag, logging and exit codes.
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
	"damsontiller/internal/transport/limitio"
	"damsontiller/internal/transport/listen"
	"damsontiller/internal/transport/logqueue"
)

// Exit codes.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitFlags   = 2
)

// Process holds the settings of a server process.
type Process struct {
	ID, Listen, HTTP, Zone, Data, Level         string
	Seeds                                       string
	Faults                                      bool
	Memory                                      int64 // bytes; 0: not known
	MinFree                                     int64 // MiB of free disk that new keys leave unused
	RenewInterval, LeaseDuration, OrphanTimeout time.Duration
	// SlowStop is how long after a stop signal a process that still runs logs what it waits for.
	SlowStop time.Duration
	file     string
	fs       *flag.FlagSet
}

// defaultSlowStop is longer than the usual grace periods.
const defaultSlowStop = 30 * time.Second

// Flags defines the flags that all server processes have in common.
func Flags(fs *flag.FlagSet) *Process {
	process := &Process{fs: fs, SlowStop: defaultSlowStop}
	defaults := lease.DefaultParams
	fs.StringVar(&process.ID, "id", "", "name of this machine")
	fs.StringVar(&process.Listen, "listen", "", "IP number and port for the system's own processes")
	fs.StringVar(&process.HTTP, "http", "", "IP number and port for HTTP")
	fs.StringVar(&process.Zone, "zone", "", "zone of this machine")
	fs.StringVar(&process.Data, "data", "", "data folder, where this process keeps anything")
	fs.StringVar(&process.Seeds, "seeds", "", "up to three addresses of other processes, with commas between")
	fs.StringVar(&process.Level, "log", "info", "least level logged: debug, info, warn, error")
	fs.BoolVar(&process.Faults, "faults", false, "let the fault kit partition this process (never in service)")
	fs.DurationVar(&process.RenewInterval, "renew", defaults.RenewInterval, "time between renewals of the lease")
	fs.DurationVar(&process.LeaseDuration, "lasts", defaults.Duration, "time a lease lasts")
	fs.DurationVar(
		&process.OrphanTimeout,
		"hold",
		defaults.OrphanTimeout,
		"time after which what an unresponsive edge left running is no longer counted",
	)
	fs.Int64Var(&process.MinFree, "min-free", 64, "MiB of free disk below which a store or core takes no new key")
	fs.StringVar(
		&process.file,
		"params",
		"",
		"settings file: a JSON object of flag names and values; flags go before it",
	)
	return process
}

// flagError returns an error that names the invalid flag.
func flagError(name, format string, args ...any) error {
	return code.New(code.BadFlag, "-%s: %s", name, fmt.Sprintf(format, args...))
}

// Parse reads the flags and the settings file and validates the settings.
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

// maxParamsBytes limits the settings file.
const maxParamsBytes = 1 << 20

// load applies the settings file to the flags that the command line does not set.
func (p *Process) load() error {
	data, err := limitio.ReadFile(p.file, maxParamsBytes)
	if err != nil {
		return flagError("params", "%v", err)
	}
	var values map[string]any
	if err := json.Unmarshal(data, &values); err != nil {
		return flagError("params", "%s: %v", p.file, err)
	}
	given := map[string]bool{}
	p.fs.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range values {
		if name == "params" || p.fs.Lookup(name) == nil {
			return flagError("params", "%s: %q is not a setting", p.file, name)
		}
		if given[name] {
			continue
		}
		switch value.(type) {
		case string, bool, float64:
		default:
			return flagError("params", "%s: %q wants a plain value", p.file, name)
		}
		if err := p.fs.Set(name, fmt.Sprint(value)); err != nil {
			return flagError(name, "%s: %v", p.file, err)
		}
	}
	return nil
}

// check validates the settings.
func (p *Process) check() error {
	if !spec.Name(p.ID) {
		return flagError("id", "%q is not a name", p.ID)
	}
	if err := spec.Addr(p.Listen); err != nil {
		return flagError("listen", "%v", err)
	}
	if err := spec.Addr(p.HTTP); err != nil {
		return flagError("http", "%v", err)
	}
	if !spec.Name(p.Zone) {
		return flagError("zone", "%q is not a name", p.Zone)
	}
	if n := len(p.SeedList()); n > 3 {
		return flagError("seeds", "%d addresses, at most three", n)
	}
	for _, s := range p.SeedList() {
		if err := spec.Addr(s); err != nil {
			return flagError("seeds", "%v", err)
		}
	}
	if hclog.LevelFromString(p.Level) == hclog.NoLevel {
		return flagError("log", "%q is not a level", p.Level)
	}
	if p.MinFree < 0 {
		return flagError("min-free", "%d is negative", p.MinFree)
	}
	if p.RenewInterval <= 0 || p.LeaseDuration < 2*p.RenewInterval {
		return flagError("lasts", "%s is less than twice -renew %s", p.LeaseDuration, p.RenewInterval)
	}
	if p.OrphanTimeout < p.LeaseDuration {
		return flagError("hold", "%s is less than -lasts %s", p.OrphanTimeout, p.LeaseDuration)
	}
	return nil
}

// SeedList returns the addresses of the seeds.
func (p *Process) SeedList() []string {
	if p.Seeds == "" {
		return nil
	}
	return strings.Split(p.Seeds, ",")
}

// stderr receives all log output, including that of libraries.
var stderr = logqueue.New(os.Stderr)

// flushTimeout limits the time to write the remaining log lines when a process exits.
const flushTimeout = 300 * time.Millisecond

// Log creates the logger of the process and logs that the process is starting. From that
// line on, observers can rely on the process handling signals.
func (p *Process) Log(name string) hclog.Logger {
	log.SetOutput(stderr)
	logger := hclog.New(
		&hclog.LoggerOptions{Name: name + " " + p.ID, Level: hclog.LevelFromString(p.Level), Output: stderr},
	)
	logger.Info("starting", "pid", os.Getpid())
	return logger
}

// Node returns the parameters of the process's node.
func (p *Process) Node(role, ident string, log hclog.Logger) node.Params {
	return node.Params{
		Self:  &wire.Member{Id: p.ID, Role: role, Addr: p.Listen, Http: p.HTTP, Zone: p.Zone, Ident: ident},
		Seeds: p.SeedList(), Net: transport.TCP(transport.DefaultParams, Opener(log)),
		Transport: transport.DefaultParams.WithMemory(p.Memory),
		Lease: lease.Params{
			RenewInterval: p.RenewInterval,
			Duration:      p.LeaseDuration,
			OrphanTimeout: p.OrphanTimeout,
		}, Broadcast: broadcast.DefaultParams, Log: log,
	}
}

// Engine opens the storage engine in the data directory.
func (p *Process) Engine(role string, log hclog.Logger) (*storage.Engine, error) {
	if p.Data == "" {
		return nil, flagError("data", "missing")
	}
	startedAt := time.Now()
	engine, err := storage.Open(
		storage.Params{
			Dir:     p.Data,
			ID:      p.ID,
			Role:    role,
			MinFree: p.MinFree << 20,
			Log:     func(message string, args ...any) { log.Warn(message, args...) },
		},
	)
	if err == nil {
		log.Info("data folder open", "took", time.Since(startedAt).Round(time.Millisecond))
	}
	return engine, err
}

// DiskFaults adds the route by which fault injection simulates a full or slow disk.
func DiskFaults(router *echo.Echo, engine *storage.Engine) {
	router.POST("/debug/disk", func(c echo.Context) error {
		request := struct {
			Free    int64 `json:"free"`
			DelayMs int64 `json:"delay_ms"`
		}{Free: -1}
		if err := c.Bind(&request); err != nil {
			return web.Fail(c, code.New(code.BadJSON, "%w", err))
		}
		engine.SimulateDisk(request.Free, time.Duration(request.DelayMs)*time.Millisecond)
		return c.NoContent(http.StatusOK)
	})
}

// Opener returns the opener for the addresses at which a process listens. It logs an
// address that is in use.
func Opener(log hclog.Logger) listen.Opener {
	return listen.Opener{InUse: func(addr string) { log.Warn("address in use, waiting for it", "addr", addr) }}
}

// Exit prints err, flushes the log and returns the exit code.
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

// Machines parses the value of the named flag, a list such as c1=127.0.0.1:7101/a,c2=...
func Machines(flagName, list string) ([]spec.Machine, error) {
	var machines []spec.Machine
	ids := map[string]bool{}
	for _, segment := range strings.Split(list, ",") {
		id, rest, idFound := strings.Cut(segment, "=")
		addr, zone, zoneFound := strings.Cut(rest, "/")
		if !idFound || !zoneFound || !spec.Name(id) || !spec.Name(zone) {
			return nil, flagError(flagName, "%q is not name=address/zone", segment)
		}
		if err := spec.Addr(addr); err != nil {
			return nil, flagError(flagName, "%v", err)
		}
		if ids[id] {
			return nil, flagError(flagName, "%q is listed twice", id)
		}
		ids[id] = true
		machines = append(machines, spec.Machine{ID: id, Addr: addr, Zone: zone})
	}
	return machines, nil
}
