package proxytest_test

import (
	"fmt"
	"testing"
	"time"

	"damsontiller/internal/kit/proxytest"
	"damsontiller/internal/proto/spec"
)

// operations are a fleet's keyed requests, at runners that deduplicate or not.
type operations struct {
	*fleet
	deduplicate bool
}

// eachKindOfRunner runs a test at runners that deduplicate, and at runners that don't.
func eachKindOfRunner(t *testing.T, shape func(*proxytest.Params), do func(*testing.T, operations)) {
	for _, deduplicate := range []bool{false, true} {
		t.Run(fmt.Sprintf("deduplicate=%v", deduplicate), func(t *testing.T) {
			table := &proxytest.OperationTable{}
			inBubble(t, func(p *proxytest.Params) {
				if deduplicate {
					p.Operations = table
				}
				if shape != nil {
					shape(p)
				}
			}, func(t *testing.T, f *fleet) {
				f.table = func(t *spec.Table) {
					twoTenants(t)
					t.Services[0].Deduplicates = deduplicate
				}
				do(t, operations{f, deduplicate})
			})
		})
	}
}

func (o operations) ask(edge, operation, key string) received {
	return o.at(edge).ask(keyed+"x", "in", credential(key), head(names.Operation, operation))
}

// ran counts what ran at all runners.
func (o operations) ran() int {
	n := 0
	for _, b := range o.bs {
		n += len(b.Runs())
	}
	return n
}

func (o operations) wantRuns(what string, want int) {
	o.t.Helper()
	if n := o.ran(); n != want {
		o.t.Errorf("%s: %d runs, want %d", what, n, want)
	}
}

// same fails unless an answer is the first one's, under the repeat's own name.
func same(t *testing.T, what string, x, first received) {
	t.Helper()
	if x.status != first.status || x.body != first.body || x.head.Get(names.Seal) != first.head.Get(names.Seal) {
		t.Errorf("%s: status %d seal %q, the first %d %q",
			what, x.status, x.head.Get(names.Seal), first.status, first.head.Get(names.Seal))
	}
	if x.head.Get(names.Try) != x.try {
		t.Errorf("%s: an answer to %q, want %q", what, x.head.Get(names.Try), x.try)
	}
}

// TestOperationRunsOnce: the repeats of an operation get the first one's answer at every edge,
// also after one of them and most stores were started anew; another tenant's operation of the
// same name is another one.
func TestOperationRunsOnce(t *testing.T) {
	eachKindOfRunner(t, nil, func(t *testing.T, o operations) {
		first := o.ask("e1", "op-1", northKey)
		if first.status != 200 {
			t.Fatalf("status %d: %s", first.status, first.body)
		}
		for _, edge := range []string{"e1", "e2", "e3"} {
			same(t, edge, o.ask(edge, "op-1", northKey2), first)
		}
		o.wantRuns("repeats", 1)
		if x := o.ask("e2", "op-1", southKey); !o.deduplicate && x.body == first.body {
			t.Error("another tenant got the answer")
		}
		before := o.ran()
		o.restart("e1")
		for _, store := range []string{"s1", "s2", "s3"} {
			o.s.Kill(store)
		}
		for _, store := range []string{"s1", "s2", "s3"} {
			o.up(store)
		}
		same(t, "after the stores came back", o.ask("e1", "op-1", northKey), first)
		o.wantRuns("after the stores came back", before)
	})
}

// TestOperationTogether: of many requests of one operation at once, at all edges, one runs;
// the others get its answer or hear that it is under way.
func TestOperationTogether(t *testing.T) {
	shape := func(p *proxytest.Params) { p.Work = 400 * time.Millisecond }
	eachKindOfRunner(t, shape, func(t *testing.T, o operations) {
		const requests = 9
		for i := range 3 {
			o.at(fmt.Sprintf("e%d", i+1))
		}
		got := make(chan received, requests)
		for i := range requests {
			go func() { got <- o.ask(fmt.Sprintf("e%d", i%3+1), "op-1", northKey) }()
		}
		body := ""
		for range requests {
			switch x := <-got; {
			case x.status == 200 && body == "":
				body = x.body
			case x.status == 200 && x.body == body, x.status == 409:
			default:
				t.Errorf("status %d: %s", x.status, x.body)
			}
		}
		o.wantRuns("together", 1)
	})
}

// TestOperationAnswerLost: an operation whose answer is lost has run, perhaps; no repeat runs
// it again. Runners that deduplicate have its answer still.
func TestOperationAnswerLost(t *testing.T) {
	plan := &proxytest.Plan{}
	shape := func(p *proxytest.Params) { p.Plan = plan }
	eachKindOfRunner(t, shape, func(t *testing.T, o operations) {
		plan.Set(proxytest.LoseAnswer)
		want := 502
		if o.deduplicate {
			want = 200
		}
		for _, edge := range []string{"e1", "e2", "e1"} {
			if x := o.ask(edge, "op-1", northKey); x.status != want {
				t.Errorf("%s: status %d, want %d: %s", edge, x.status, want, x.body)
			}
		}
		o.wantRuns("answer lost", 1)
	})
}

// TestOperationOwnFailure: a runner's own 500 is the operation's answer, for each repeat.
func TestOperationOwnFailure(t *testing.T) {
	plan := &proxytest.Plan{}
	shape := func(p *proxytest.Params) { p.Plan = plan }
	eachKindOfRunner(t, shape, func(t *testing.T, o operations) {
		if o.deduplicate {
			t.Skip("what such a runner answers to a repeat is its own")
		}
		plan.Set(proxytest.Own500)
		first := o.ask("e1", "op-1", northKey)
		if first.status != 500 {
			t.Fatalf("status %d", first.status)
		}
		same(t, "repeat", o.ask("e2", "op-1", northKey), first)
		o.wantRuns("own failure", 1)
	})
}

// TestOperationNotRun: an operation that all runners refused may be begun anew.
func TestOperationNotRun(t *testing.T) {
	plan := &proxytest.Plan{}
	shape := func(p *proxytest.Params) { p.Plan = plan }
	eachKindOfRunner(t, shape, func(t *testing.T, o operations) {
		plan.Set(proxytest.Drop, proxytest.Drop, proxytest.Drop, proxytest.Drop)
		if x := o.ask("e1", "op-1", northKey); x.status != 503 {
			t.Errorf("refused: status %d: %s", x.status, x.body)
		}
		plan.Set()
		time.Sleep(2 * time.Second)
		if x := o.ask("e2", "op-1", northKey); x.status != 200 {
			t.Errorf("begun anew: status %d: %s", x.status, x.body)
		}
		o.wantRuns("begun anew", 1)
	})
}

// TestOperationOwnerEnds: the edge that forwarded an operation ends in the midst of it. A
// repeat elsewhere does not run it once more, whether or not the first did.
func TestOperationOwnerEnds(t *testing.T) {
	shape := func(p *proxytest.Params) { p.Work = 500 * time.Millisecond }
	eachKindOfRunner(t, shape, func(t *testing.T, o operations) {
		r := o.at("e1")
		done := make(chan received, 1)
		go func() { done <- r.ask(keyed+"x", "in", credential(northKey), head(names.Operation, "op-1")) }()
		time.Sleep(300 * time.Millisecond)
		o.wantRuns("under way", 1)
		o.restart("e1")
		<-done
		for _, edge := range []string{"e2", "e3", "e1"} {
			x := o.ask(edge, "op-1", northKey)
			if o.deduplicate && x.status != 200 || !o.deduplicate && x.status != 502 {
				t.Errorf("%s: status %d: %s", edge, x.status, x.body)
			}
		}
		o.wantRuns("owner ended", 1)
	})
}

// TestOperationStoresAway: what can't be claimed is not run, and callers learn just that.
func TestOperationStoresAway(t *testing.T) {
	eachKindOfRunner(t, nil, func(t *testing.T, o operations) {
		o.at("e1")
		o.s.Kill("s1")
		o.s.Kill("s2")
		if x := o.ask("e1", "op-1", northKey); x.status != 503 {
			t.Errorf("stores away: status %d: %s", x.status, x.body)
		}
		o.wantRuns("stores away", 0)
		o.up("s1")
		o.up("s2")
		if x := o.ask("e2", "op-1", northKey); x.status != 200 {
			t.Errorf("stores back: status %d: %s", x.status, x.body)
		}
		o.wantRuns("stores back", 1)
	})
}

// TestOperationOtherService: while the path comes to lead to another service, a repeat does
// not run there: the first may have run at the one before.
func TestOperationOtherService(t *testing.T) {
	eachKindOfRunner(t, nil, func(t *testing.T, o operations) {
		first := o.ask("e1", "op-1", northKey)
		r := o.at("e2")
		r.setTable(func(t *spec.Table) {
			t.Services = append(t.Services, spec.Service{Name: "other", Deduplicates: o.deduplicate})
			for i := range t.Paths {
				t.Paths[i].To = []spec.Share{{Service: "other", Weight: 1}}
			}
		})
		x := r.ask(keyed+"x", "in", credential(northKey), head(names.Operation, "op-1"))
		if o.deduplicate && x.status != 502 || !o.deduplicate && x.body != first.body {
			t.Errorf("status %d: %s", x.status, x.body)
		}
		o.wantRuns("other service", 1)
	})
}
