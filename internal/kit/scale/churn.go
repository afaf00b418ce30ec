package scale

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/loop"
)

type change struct {
	ack   time.Duration // until the operator was answered that it is in force
	all   time.Duration // until the last node had it
	nodes int
}

// fault changes the spec and kills hollow nodes at their rates until ctx ends.
func (r *run) fault(ctx context.Context) {
	var wg sync.WaitGroup
	every := func(hourly int, do func(context.Context, int)) {
		if hourly == 0 {
			return
		}
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				do(ctx, i)
				loop.Wait(ctx, time.Hour/time.Duration(hourly))
			}
		})
	}
	every(r.Changes, r.change)
	every(r.Failures, r.fail)
	wg.Wait()
}

// change makes one change of the spec, and finds when the last node had it.
func (r *run) change(ctx context.Context, i int) {
	at := time.Now()
	var a struct {
		Version uint64 `json:"version"`
		InForce bool   `json:"in_force"`
	}
	st, err := r.f.Operate(
		http.MethodPatch,
		"/v1/spec",
		map[string]any{"keeping": []spec.Keeping{{Class: "work", KeepS: int64(3600 + i%2)}}},
		&a,
	)
	c := change{ack: time.Since(at)}
	if err != nil || st != http.StatusOK {
		r.mu.Lock()
		r.late++
		r.mu.Unlock()
		r.row("# change: status %d, in force %v, %v", st, a.InForce, err)
		return
	}
	// All live nodes, but one that has just been killed or started anew.
	for ctx.Err() == nil && time.Since(at) < 14*time.Second {
		ws, err := r.each(order{Do: "force", Ver: a.Version})
		if err != nil {
			return
		}
		c.nodes = 0
		for _, w := range ws {
			for _, t := range w.At {
				c.nodes++
				c.all = max(c.all, time.Unix(0, t).Sub(at))
			}
		}
		if c.nodes >= r.hollows()-1 {
			r.mu.Lock()
			r.changes = append(r.changes, c)
			r.mu.Unlock()
			return
		}
		loop.Wait(ctx, 50*time.Millisecond)
	}
}

// fail kills a hollow node, finds when others miss it, and starts it again.
func (r *run) fail(ctx context.Context, _ int) {
	c := r.crowd[r.rnd.IntN(len(r.crowd))]
	id := c.ids[r.rnd.IntN(len(c.ids))]
	if _, err := r.each(order{Do: "watch", ID: id}); err != nil {
		return
	}
	at := time.Now()
	if _, err := c.ask(order{Do: "kill", ID: id}); err != nil {
		return
	}
	want := 0
	for _, c := range r.crowd {
		n := len(c.ids)
		if slices.Contains(c.ids, id) {
			n--
		}
		want += min(n, watchers)
	}
	for done := false; !done && time.Since(at) < 8*time.Second && loop.Wait(ctx, 100*time.Millisecond); {
		ws, err := r.each(order{Do: "seen", ID: id})
		if err != nil {
			return
		}
		var got []float64
		for _, w := range ws {
			for _, t := range w.At {
				got = append(got, time.Unix(0, t).Sub(at).Seconds())
			}
		}
		if done = len(got) >= want; done {
			r.mu.Lock()
			r.notices = append(r.notices, got...)
			r.mu.Unlock()
		}
	}
	_, _ = c.ask(order{Do: "start", ID: id})
}
