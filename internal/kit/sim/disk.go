package sim

import (
	"fmt"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"damsontiller/internal/kit/checker"
	"damsontiller/internal/state/storage/faultfs"
)

// faultyDisk is what a machine's disk does wrong, also across starts of the machine.
type faultyDisk struct {
	full, stalled bool
	delay         time.Duration
	fs            *faultfs.FS // of the process that runs
}

// mount is the disk as a process that starts now has it.
func (m *Machine) mount() vfs.FS {
	m.disk.fs = faultfs.New(m.fs)
	m.disk.apply()
	return m.disk.fs
}

// unmount lets a process that was killed end: its disk answers again, for nobody.
func (m *Machine) unmount() {
	if m.disk.fs != nil {
		m.disk.fs.SetStalled(false)
		m.disk.fs.SetDelay(0)
	}
}

func (d *faultyDisk) apply() {
	if d.fs == nil {
		return
	}
	d.fs.SetFull(d.full)
	d.fs.SetStalled(d.stalled)
	d.fs.SetDelay(d.delay)
}

// fault changes what a machine's disk does wrong.
func (s *Sim) fault(id, what string, change func(*faultyDisk)) {
	s.Record(checker.Hard, fmt.Sprintf("%s of %s", what, id), 0)
	m := s.Get(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&m.disk)
	m.disk.apply()
}

// DiskFull sets whether a machine's disk takes no more bytes.
func (s *Sim) DiskFull(id string, on bool) {
	s.fault(id, "full disk", func(d *faultyDisk) { d.full = on })
}

// DiskStall sets whether a machine's disk answers nothing.
func (s *Sim) DiskStall(id string, on bool) {
	s.fault(id, "stalled disk", func(d *faultyDisk) { d.stalled = on })
}

// DiskSlow lets each call to a machine's disk take longer.
func (s *Sim) DiskSlow(id string, delay time.Duration) {
	s.fault(id, "slow disk", func(d *faultyDisk) { d.delay = delay })
}

// DiskFails lets the next write or sync of a machine's disk fail with err.
func (s *Sim) DiskFails(id string, kind faultfs.Kind, err error) {
	s.fault(id, "failing disk", func(d *faultyDisk) {
		if d.fs != nil {
			d.fs.FailNext(kind, 1, err)
		}
	})
}
