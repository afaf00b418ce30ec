package node_test

import (
	"testing"
	"testing/synctest"

	"damsontiller/internal/coordination/node"
)

// TestGate: a drain waits for all who were in before it and for nobody else, and keeps
// nobody out.
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
