package node_test

import (
	"testing"
	"testing/synctest"

	"damsontiller/internal/coordination/node"
)

// TestGate: Drain waits for the requests that were pending when it was called and for no
// others, and does not block new requests.
func TestGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g node.Gate
		g.Drain()
		first := g.Begin()
		drained := make(chan int, 2)
		go func() { g.Drain(); drained <- 1 }()
		synctest.Wait()
		second := g.Begin()
		go func() { g.Drain(); drained <- 2 }()
		synctest.Wait()
		third := g.Begin()
		second()
		synctest.Wait()
		if len(drained) != 0 {
			t.Fatal("a drain did not wait for the first")
		}
		first()
		synctest.Wait()
		if len(drained) != 2 {
			t.Fatalf("%d drains ended", len(drained))
		}
		third()
		g.Drain()
	})
}
