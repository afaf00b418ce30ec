package soak

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"damsontiller/internal/platform"
	"damsontiller/internal/transport/loop"
)

// restartDelay is how long after the end of a process the supervisor starts the next.
const restartDelay = 200 * time.Millisecond

// An event is what was done to a machine, or what its process did.
type event struct {
	at   time.Time
	kind eventKind
	note string
}

type eventKind int

const (
	started eventKind = iota
	terminated
	reloaded
	killed
	frozen
	thawed
	ended
	wiped
)

func (k eventKind) String() string {
	return [...]string{
		"started", "SIGTERM", "SIGHUP", "killed", "frozen", "thawed", "ended", "disk lost",
	}[k]
}

// An Exit is the end of one process.
type Exit struct {
	Machine  string
	At       time.Time
	Lived    time.Duration
	How      string
	Expected bool
	Why      string // it was not expected
	early    bool   // by a signal that it could not take yet
}

// Machine is one machine of the deployment with its supervisor: a process that ends is
// started again, unless the machine is down.
type Machine struct {
	ID, Role, Zone, IP string

	dir, bin, platform string
	seeds              []string
	initial            bool // it is of the deployment's first start
	memoryMB           int

	mu     sync.Mutex
	wanted bool // the machine is up
	// retired: it is gone for good, and is not started again.
	retired bool
	lives   int
	cmd     *exec.Cmd
	frozen  bool      // by trouble
	begun   time.Time // of the process
	stopped time.Time // the first SIGTERM of the process
	gone    chan struct{}
	events  []event
	exits   []Exit
	// peakMB is the highest memory of any of its processes; overMemory: the present one has gone
	// over the machine's.
	peakMB     int
	overMemory bool
}

func (m *Machine) record(kind eventKind, note string) {
	m.events = append(m.events, event{time.Now(), kind, note})
}

// Start switches the machine on.
func (m *Machine) Start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.wanted || m.retired {
		return
	}
	m.wanted = true
	m.startProcess()
}

// Retire takes the machine away for good: whoever took its power before must not start it again.
func (m *Machine) Retire() {
	m.mu.Lock()
	m.retired = true
	m.mu.Unlock()
	m.Kill("gone for good")
}

// Leave tells the machine's process to stop, and starts no other one. It returns once the process
// has ended.
func (m *Machine) Leave() {
	m.mu.Lock()
	m.retired, m.wanted = true, false
	running, gone := m.cmd != nil, m.gone
	m.mu.Unlock()
	m.Signal(syscall.SIGTERM, terminated)
	if running {
		<-gone
	}
}

// startProcess needs mu.
func (m *Machine) startProcess() {
	if !m.wanted || m.cmd != nil {
		return
	}
	if err := m.tryStart(); err != nil {
		m.exits = append(m.exits, Exit{Machine: m.ID, At: time.Now(), How: err.Error(), Why: "can't be started"})
		return
	}
	m.record(started, "")
}

func (m *Machine) tryStart() error {
	if err := m.writeSettings(m.initial && m.lives == 0); err != nil {
		return err
	}
	log, err := os.OpenFile(m.log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	fmt.Fprintf(log, "---- life %d\n", m.lives)
	program, args := m.command()
	cmd := exec.Command(program, args...)
	cmd.Env = []string{platform.ConfigPathEnv + "=" + m.settings(), "GORACE=" + os.Getenv("GORACE")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	m.lives++
	m.frozen, m.overMemory = false, false
	m.cmd, m.begun, m.stopped, m.gone = cmd, time.Now(), time.Time{}, make(chan struct{})
	go m.await(cmd, m.gone)
	return nil
}

// await waits for the end of a process and starts the next one.
func (m *Machine) await(cmd *exec.Cmd, gone chan struct{}) {
	_ = cmd.Wait()
	m.mu.Lock()
	m.exits = append(m.exits, m.judgeExit(cmd.ProcessState))
	m.record(ended, cmd.ProcessState.String())
	m.cmd = nil
	m.mu.Unlock()
	close(gone)
	time.AfterFunc(restartDelay, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.startProcess()
	})
}

// judgeExit tells whether a process may have ended as it did: killed, or by itself with
// status 0 after a SIGTERM. One that is told to stop before it serves may say that it
// failed to start.
func (m *Machine) judgeExit(state *os.ProcessState) Exit {
	x := Exit{Machine: m.ID, At: time.Now(), Lived: time.Since(m.begun), How: state.String()}
	status, _ := state.Sys().(syscall.WaitStatus)
	asked := !m.stopped.IsZero()
	switch {
	case status.Signaled() && status.Signal() != syscall.SIGKILL && !m.hasStarted():
		// From exec to its first own instruction no process can take a signal.
		x.early = true
	case m.overMemory:
		x.Why = fmt.Sprintf("went over the memory of its machine, %d MB", m.memoryMB)
	case status.Signaled() && status.Signal() == syscall.SIGKILL && !m.outlastedGrace():
		x.Expected = true
	case status.Signaled() && status.Signal() == syscall.SIGKILL && m.frozenFor(m.stopped) > mostFrozen:
		// It stood still for the time in which it would have stopped.
		x.Expected = true
	case status.Signaled() && status.Signal() == syscall.SIGKILL:
		x.Why = "still ran at the end of its grace"
	case status.Signaled() && asked:
		x.Why = fmt.Sprintf("ended by a signal %s after the first SIGTERM", time.Since(m.stopped))
	case status.Signaled():
		x.Why = "ended by a signal that is no order to stop"
	case asked:
		x.Expected = status.ExitStatus() == 0 || m.stopped.Sub(m.begun) < contact
		x.Why = "failed at a stop"
	default:
		x.Why = "ended by itself"
	}
	return x
}

// mostFrozen is how long a process may stand still during its grace and must stop in time all the
// same.
const mostFrozen = 3500 * time.Millisecond

// frozenFor is how long the process stood still since a time.
func (m *Machine) frozenFor(since time.Time) time.Duration {
	sum, from := time.Duration(0), time.Time{}
	for _, e := range append(slices.Clone(m.events), event{at: time.Now(), kind: thawed}) {
		switch {
		case e.kind == started:
			sum, from = 0, time.Time{}
		case e.kind == frozen && from.IsZero():
			from = e.at
		case e.kind == thawed && !from.IsZero():
			if from.Before(since) {
				from = since
			}
			sum, from = sum+max(e.at.Sub(from), 0), time.Time{}
		}
	}
	return sum
}

// hasStarted reports whether the process has logged that it starts.
func (m *Machine) hasStarted() bool {
	log, err := os.ReadFile(m.log())
	_, life, _ := bytes.Cut(log, fmt.Appendf(nil, "---- life %d\n", m.lives-1))
	return err == nil && len(life) > 0
}

func (m *Machine) log() string { return filepath.Join(m.dir, "log") }

func (m *Machine) outlastedGrace() bool {
	return !m.stopped.IsZero() && time.Since(m.stopped) >= grace
}

// Kill takes the machine's power: its process is gone and no other is started.
func (m *Machine) Kill(note string) {
	m.mu.Lock()
	m.wanted = false
	cmd, gone := m.cmd, m.gone
	if cmd != nil {
		m.record(killed, note)
		_ = cmd.Process.Kill()
	}
	m.mu.Unlock()
	if cmd != nil {
		<-gone
	}
}

// Wipe loses the disk of a machine that is down.
func (m *Machine) Wipe() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.record(wiped, "")
	return os.RemoveAll(filepath.Join(m.dir, "data"))
}

// Signal sends a signal to the process, if there is one.
func (m *Machine) Signal(s syscall.Signal, kind eventKind) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return
	}
	m.record(kind, "")
	m.frozen = kind == frozen || m.frozen && kind != thawed
	if s == syscall.SIGTERM && m.stopped.IsZero() {
		m.stopped = time.Now()
		m.killAfterGrace(m.cmd)
	}
	_ = m.cmd.Process.Signal(s)
}

// throttlePeriod is the time in which a throttled process gets its share once.
const throttlePeriod = 50 * time.Millisecond

// throttle lets the machine's processes run for a share of the time only, until ctx ends, as
// a machine does that has no processor to spare.
func (m *Machine) throttle(ctx context.Context, share float64) {
	runs := time.Duration(share * float64(throttlePeriod))
	for ctx.Err() == nil {
		m.suspend(syscall.SIGSTOP)
		loop.Wait(ctx, throttlePeriod-runs)
		m.suspend(syscall.SIGCONT)
		loop.Wait(ctx, runs)
	}
}

func (m *Machine) suspend(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil && !m.frozen {
		_ = m.cmd.Process.Signal(s)
	}
}

// killAfterGrace ends a process that was told to stop and still runs once its time is over.
func (m *Machine) killAfterGrace(cmd *exec.Cmd) {
	time.AfterFunc(grace, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.cmd == cmd {
			m.record(killed, "grace")
			_ = cmd.Process.Kill()
		}
	})
}

// disturbedSince reports whether anything was done to the machine, or its process ended,
// since a time.
func (m *Machine) disturbedSince(since time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.events) > 0 && m.events[len(m.events)-1].at.After(since)
}

// runsSince is when the process began, and whether there is one that was not told to stop.
func (m *Machine) runsSince() (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.begun, m.cmd != nil && m.stopped.IsZero()
}

// happened reports whether one of some kinds of events lies within a span.
func (m *Machine) happened(from, to time.Time, kinds ...eventKind) (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.events {
		if e.at.Before(from) || e.at.After(to) {
			continue
		}
		for _, k := range kinds {
			if e.kind == k {
				return e.at, true
			}
		}
	}
	return time.Time{}, false
}
