package endpoints_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"damsontiller/internal/dataplane/balancing/endpoints"
)

// TestList: runners by service and id, in one order on every node.
func TestList(t *testing.T) {
	l := endpoints.NewList(
		time.Now(),
		[]endpoints.Runner{{ID: "c", Service: "x"}, {ID: "a", Service: "x"}, {ID: "b", Service: "y"}},
	)
	if x := l.ForService("x"); len(x) != 2 || x[0].ID != "a" || x[1].ID != "c" || len(l.ForService("y")) != 1 || len(l.ForService("z")) != 0 {
		t.Errorf("%v", l.Runners)
	}
	if l.Get("b") != l.ForService("y")[0] || l.Get("nobody") != nil {
		t.Error("by id")
	}
}

// TestTake: the latest reading stands, whoever comes last.
func TestTake(t *testing.T) {
	r, at := endpoints.New(), time.Now()
	if len(r.Current().Runners) != 0 {
		t.Error("somebody is on a new roll")
	}
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Go(func() {
			r.Replace(
				endpoints.NewList(at.Add(time.Duration(i)*time.Millisecond), []endpoints.Runner{{ID: fmt.Sprint(i)}}),
			)
		})
	}
	wg.Wait()
	if r.Current().Get("99") == nil {
		t.Errorf("%v stands", r.Current().Runners)
	}
	if r.Replace(endpoints.NewList(at, nil)) || r.Current().Get("99") == nil {
		t.Error("an earlier reading was taken")
	}
}
