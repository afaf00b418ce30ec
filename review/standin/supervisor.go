package main

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	memoryLimitMB    = 284 // of an edge
	restartDelay     = 200 * time.Millisecond
	supervisorPeriod = 10 * time.Millisecond
	endsOfMachine    = 3 // processes that end by themselves on one machine
	endsOfMachines   = 2 // machines with so many, a tenth of those in use and two at least
	maxPanicLines    = 12
)

// panicLines are the last lines of a machine's log that tell of a panic.
func (m *machine) panicLines() []string {
	text, err := os.ReadFile(filepath.Join(m.folder(), "log"))
	if err != nil {
		return nil
	}
	at := strings.LastIndex(string(text), "\npanic: ")
	if at < 0 {
		return nil
	}
	// Without the folder of the sources, which differs from machine to machine.
	trace := strings.ReplaceAll(string(text[at:]), m.fleet.root+"/", "")
	lines := strings.Split(strings.TrimSpace(trace), "\n")
	return lines[:min(len(lines), maxPanicLines)]
}

// supervisor restarts processes that have ended, and ends those over their memory, as the platform
// does.
type supervisor struct {
	fleet *fleet
	mu    sync.Mutex
	ends  map[string]int // processes that ended by themselves, by machine
	stop  atomic.Bool
}

func supervise(f *fleet) *supervisor {
	s := &supervisor{fleet: f, ends: map[string]int{}}
	for _, m := range f.edges {
		go s.watch(m)
	}
	return s
}

// counts are the processes that ended by themselves so far.
func (s *supervisor) counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.ends)
}

// residentMB is the resident memory of a process.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}

// watch supervises one edge until the end of the case.
func (s *supervisor) watch(m *machine) {
	for !s.stop.Load() {
		m.mu.Lock()
		cmd, end := m.cmd, m.end
		m.mu.Unlock()
		if cmd == nil {
			return
		}
		select {
		case <-end:
			if s.stop.Load() || !s.recordEnd(m) {
				return
			}
			time.Sleep(restartDelay)
			if s.stop.Load() {
				return
			}
			if err := m.start(false); err != nil {
				s.fleet.record.add("start of %s: %v", m.id, err)
				return
			}
			continue
		case <-time.After(supervisorPeriod):
		}
		if used := residentMB(cmd.Process.Pid); used > memoryLimitMB {
			s.fleet.record.add("%s uses %d MB of %d: killed", m.id, used, memoryLimitMB)
			m.signal(syscall.SIGKILL)
		}
	}
}

// recordEnd records the end of a process, and reports whether it is to be started again.
func (s *supervisor) recordEnd(m *machine) bool {
	m.mu.Lock()
	stopping, removed := m.stopping, m.removed
	m.mu.Unlock()
	if stopping {
		s.fleet.record.add("process of %s ended, as it was told", m.id)
		return !removed
	}
	s.mu.Lock()
	s.ends[m.id]++
	s.mu.Unlock()
	s.fleet.record.add("process of %s ended by itself", m.id)
	for _, line := range m.panicLines() {
		s.fleet.record.add("  its log: %s", line)
	}
	return true
}

// machinesWithEnds counts the machines on which processes ended by themselves too often.
func (s *supervisor) machinesWithEnds() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, n := range s.ends {
		if n >= endsOfMachine {
			count++
		}
	}
	return count
}
