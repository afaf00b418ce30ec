package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"damsontiller/internal/transport/loop"
)

// entry is the platform's address for clients: it passes new connections to edges that call
// themselves ready. One that misses two questions in a row gets none until it answers again.
type entry struct {
	edges func() []*Machine // those that there are
	web   *http.Client

	mu sync.Mutex
	// missed counts the questions in a row that an edge missed; none: it was never ready.
	missed map[*Machine]int
}

// entryInterval is how often an edge is asked.
const entryInterval = time.Second

func newEntry(edges func() []*Machine) *entry {
	return &entry{edges: edges, missed: map[*Machine]int{}, web: &http.Client{
		Timeout:   entryInterval,
		Transport: &http.Transport{DisableKeepAlives: true},
	}}
}

func (e *entry) run(ctx context.Context) {
	loop.Every(ctx, entryInterval, nil, func(context.Context) {
		var wg sync.WaitGroup
		for _, m := range e.edges() {
			wg.Go(func() { e.ask(m) })
		}
		wg.Wait()
	})
}

func (e *entry) ask(m *Machine) {
	ok := false
	if r, err := e.web.Get("http://" + m.addr(readinessPort) + "/v1/readiness"); err == nil {
		r.Body.Close()
		ok = r.StatusCode == http.StatusOK
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, known := e.missed[m]; ok {
		e.missed[m] = 0
	} else if known {
		e.missed[m]++
	}
}

func (e *entry) ready() []*Machine {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []*Machine
	for _, m := range e.edges() {
		if missed, known := e.missed[m]; known && missed < 2 {
			out = append(out, m)
		}
	}
	return out
}

func (e *entry) allReady() bool { return len(e.ready()) == len(e.edges()) }

// pick draws an edge that a new connection goes to: any, if under half are ready.
func (e *entry) pick(random *rand.Rand) *Machine {
	in, all := e.ready(), e.edges()
	if 2*len(in) < len(all) {
		in = all
	}
	return in[random.IntN(len(in))]
}
