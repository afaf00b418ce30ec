package sim

import "time"

// diskFaults fault one counted machine's disk.
var diskFaults = []Fault{
	{"disk_slow", Counted, func(d *Draw) { d.faultDisk(slowDisk) }},
	{"disk_full", Counted, func(d *Draw) { d.faultDisk(fullDisk) }},
	{"disk_stall", Counted, func(d *Draw) { d.faultDisk(stalledDisk) }},
}

// diskFault faults a machine's disk for a time.
type diskFault func(s *Sim, id string, length time.Duration)

// slowSync is the time that each call to a slow disk takes.
const slowSync = 30 * time.Millisecond

func slowDisk(s *Sim, id string, length time.Duration) {
	s.DiskSlow(id, slowSync)
	time.Sleep(length)
	s.DiskSlow(id, 0)
}

func fullDisk(s *Sim, id string, length time.Duration) {
	s.DiskFull(id, true)
	time.Sleep(length)
	s.DiskFull(id, false)
}

func stalledDisk(s *Sim, id string, length time.Duration) {
	s.DiskStall(id, true)
	time.Sleep(length)
	s.DiskStall(id, false)
}

func (d *Draw) faultDisk(fault diskFault) {
	id := d.counted()
	defer d.claim(id)()
	d.record("disk of %s", id)
	fault(d.Sim, id, d.between(time.Second, 6*time.Second))
}
