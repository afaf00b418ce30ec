package endpoints_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"damsontiller/internal/dataplane/balancing/endpoints"
)

// TestList checks the lookup by service and by ID, and that the order does not depend on the input.
func TestList(t *testing.T) {
	l := endpoints.NewList(
		time.Now(),
		[]endpoints.Runner{{ID: "c", Service: "x"}, {ID: "a", Service: "x"}, {ID: "b", Service: "y"}},
	)
	if x := l.ForService("x"); len(x) != 2 || x[0].ID != "a" || x[1].ID != "c" || len(l.ForService("y")) != 1 || len(l.ForService("z")) != 0 {
		t.Errorf("lookup by service failed: %v", l.Runners)
	}
	if l.Get("b") != l.ForService("y")[0] || l.Get("nobody") != nil {
		t.Error("lookup by ID failed")
	}
}

// TestReplace checks that concurrent updates keep the latest reading, regardless of their order.
func TestReplace(t *testing.T) {
	store, at := endpoints.New(), time.Now()
	if len(store.Current().Runners) != 0 {
		t.Error("a new store has runners")
	}
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Go(func() {
			store.Replace(
				endpoints.NewList(at.Add(time.Duration(i)*time.Millisecond), []endpoints.Runner{{ID: fmt.Sprint(i)}}),
			)
		})
	}
	wg.Wait()
	if store.Current().Get("99") == nil {
		t.Errorf("current list is %v, want the latest reading", store.Current().Runners)
	}
	if store.Replace(endpoints.NewList(at, nil)) || store.Current().Get("99") == nil {
		t.Error("an earlier reading replaced a later one")
	}
}
