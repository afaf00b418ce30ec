package soak

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"damsontiller/internal/transport/loop"
)

// memoryInterval is how often the memory of the processes is looked at.
const memoryInterval = 50 * time.Millisecond

// memoryMB is the memory of a machine of each role, in MB.
type memoryMB map[string]int

// The machines of the users' deployments: usual ones, and the smallest of each role.
var (
	usualMemory    = memoryMB{roleEdge: 184, roleStore: 294, roleCore: 280}
	smallestMemory = memoryMB{roleEdge: 72, roleStore: 81, roleCore: 256}
)

// watchMemory kills each process that goes over the memory of its machine, until ctx ends.
func (r *Rig) watchMemory(ctx context.Context) {
	loop.Every(ctx, memoryInterval, nil, func(context.Context) {
		for _, m := range r.fleet.all() {
			m.checkMemory()
		}
	})
}

// checkMemory kills the machine's process if it uses more memory than the machine has.
func (m *Machine) checkMemory() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return
	}
	used := residentMB(m.cmd.Process.Pid)
	m.peakMB = max(m.peakMB, used)
	if used > m.memoryMB && !m.overMemory {
		m.overMemory = true
		m.record(killed, fmt.Sprintf("%d MB of %d", used, m.memoryMB))
		_ = m.cmd.Process.Kill()
	}
}

// residentMB is the resident memory of a process; 0 if it has ended.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// peaks are the highest memory of a process of each role.
func (r *Rig) peaks() memoryMB {
	out := memoryMB{}
	for _, m := range r.fleet.ever() {
		m.mu.Lock()
		out[m.Role] = max(out[m.Role], m.peakMB)
		m.mu.Unlock()
	}
	return out
}
