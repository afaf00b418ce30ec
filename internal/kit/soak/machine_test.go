package soak

import (
	"io"
	"os/exec"
	"strings"
	"testing"
	"time"
)

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

// TestOverMemory: a process that uses more memory than its machine has is killed, and its end is
// none that was asked for.
func TestOverMemory(t *testing.T) {
	cmd := exec.Command("sleep", "60")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	m := &Machine{ID: "edge-a-1", Role: roleEdge, memoryMB: 1 << 20, cmd: cmd, begun: time.Now(), gone: make(chan struct{})}
	go m.await(cmd, m.gone)
	if m.checkMemory(); m.overMemory {
		t.Error("killed within its memory")
	}
	m.memoryMB = -1
	m.checkMemory()
	<-m.gone
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.exits) != 1 || m.exits[0].Expected || !strings.Contains(m.exits[0].Why, "memory") {
		t.Errorf("ends: %+v", m.exits)
	}
}

// TestSpoiledBytesJudged: a client that is shown bytes of a spoiled answer is a breach, whatever the
// status; a stream that the runner broke off is none.
func TestSpoiledBytesJudged(t *testing.T) {
	r := &Rig{ledger: newLedger()}
	r.ledger.begin("a", &run{runner: "i-1", attempt: "a", service: modelService, spoiled: true})
	edge := &Machine{ID: "edge-a-1"}
	for _, tc := range []struct {
		x    exchange
		want string
	}{
		{exchange{kind: orderJob, attempt: "none", status: 502, body: "runner: " + spoiledMark, edge: edge}, "SPOILED"},
		{exchange{kind: orderJob, attempt: "none", status: 502, body: "bytes that are no answer", edge: edge}, ""},
		{exchange{kind: turnJob, attempt: "a", status: 200, err: io.ErrUnexpectedEOF, edge: edge}, ""},
		{exchange{kind: turnJob, attempt: "a", status: 200, err: io.EOF, body: spoiledMark, edge: edge}, "SPOILED"},
		{exchange{kind: turnJob, attempt: "a", status: 503, edge: edge}, "REFUSED"},
	} {
		out := &Report{}
		r.judgeExchange(out, &tc.x, nil)
		got := ""
		if len(out.Breaches) > 0 {
			got = out.Breaches[0].Rule
		}
		if got != tc.want {
			t.Errorf("%s: %+v, want %q", tc.x.body, out.Breaches, tc.want)
		}
	}
}
