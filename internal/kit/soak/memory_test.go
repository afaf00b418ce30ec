package soak_test

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

const (
	// memoryOfSettings is the memory that the settings of these tests give, the least of an edge
	// of the users' deployments.
	memoryOfSettings = 72 << 20
	manyCallers      = 1200
)

// resident is the resident memory of the process in bytes.
func (p *process) resident() int {
	p.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	var total, pages int
	if _, err := fmt.Sscan(string(text), &total, &pages); err != nil {
		p.t.Fatal(err)
	}
	return pages * os.Getpagesize()
}

// TestManyCallersMemory guards against callers who together take an edge over its memory: 1,200
// connections that each send a head that does not end took 572 MB of an edge of 72 MB.
func TestManyCallersMemory(t *testing.T) {
	for name, head := range map[string]string{
		"short lines": "GET /x HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 25_000),
		"long lines":  "GET /x HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 100_000),
		"whole":       "GET /x HTTP/1.1\r\nHost: a\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			p := start(t, "edge", nil)
			p.settle("edge", func() {})
			p.asked()
			highest := 0
			for i := range manyCallers {
				conn, err := net.Dial("tcp", p.ip+":8149")
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				_ = conn.SetWriteDeadline(time.Now().Add(10 * time.Millisecond))
				_, _ = conn.Write([]byte(head))
				if i%50 == 0 {
					highest = max(highest, p.resident())
				}
			}
			for range 20 {
				time.Sleep(50 * time.Millisecond)
				highest = max(highest, p.resident())
			}
			if highest > memoryOfSettings {
				t.Errorf("%d MiB of %d", highest>>20, memoryOfSettings>>20)
			}
			t.Logf("at most %d MiB", highest>>20)
		})
	}
}
