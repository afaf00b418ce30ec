package soak

import "testing"

// TestRetiredMachineStaysDown: a store was killed for a while, and taken away for good meanwhile.
// The first trouble started it again at its end, when it was in nobody's list any more: its
// process outlived the run by half an hour, and the ports that it held failed the next run.
func TestRetiredMachineStaysDown(t *testing.T) {
	m := &Machine{ID: "store-b-1", dir: t.TempDir()}
	m.Retire()
	m.Start()
	if m.wanted || m.cmd != nil || len(m.exits) > 0 {
		t.Errorf("a machine that is gone for good was started: wanted %v, ends %v", m.wanted, m.exits)
	}
}
