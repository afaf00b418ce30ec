package main

import (
	"bytes"
	"context"
	"fmt"
	random "math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// The trouble of the case, at the default doses of garble in `fleetbench kinds`: half of the
// runners spoil two in a hundred of their answers for five seconds.
const (
	garbageLead    = 10 * time.Second // from the start of the machines to the start of traffic
	garbageTraffic = 34 * time.Second
	garbageWindow  = 5 * time.Second
	garbageGap     = 10 * time.Second // between the starts of two windows
	garbageFirst   = 3 * time.Second  // after the start of traffic
	garbageWindows = 3
	garbageRunners = 12   // of garbageServers are in trouble, under half
	garbageAnswers = 0.02 // share of their answers that is spoilt
	// garbageRate bounds the bytes a second that all runners together send to one edge, below its
	// link of 1000 Mbit/s.
	garbageRate  = 100e6
	garbageChunk = 256 << 10
)

// The machines and the traffic of sites/andina-replay.toml: its plain service gets some 300 requests
// a second.
const (
	requestsPerSecond = 240
	requestTimeLeft   = 4 * time.Second
	garbageServers    = 25
)

// links bound the garbage that is sent to each edge.
type links map[string]*rate.Limiter

func newLinks(edges []*machine) links {
	l := links{}
	for _, m := range edges {
		l[m.id] = rate.NewLimiter(garbageRate, garbageChunk)
	}
	return l
}

// edgeOf is the edge that a client sent an attempt to, the second part of the attempt's id.
func edgeOf(attempt string) string {
	_, edge, _ := strings.Cut(attempt, ".")
	return edge
}

// spoil sends bytes that are no answer until the caller closes the connection.
func (l links) spoil(w http.ResponseWriter, r *runner, attempt string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	r.record.add("%s sends bytes that are no answer to %s", r.id, attempt)
	garbage := bytes.Repeat([]byte("x"), garbageChunk)
	link, sent := l[edgeOf(attempt)], 0
	for link != nil {
		if err := link.WaitN(context.Background(), garbageChunk); err != nil {
			return
		}
		n, err := conn.Write(garbage)
		if sent += n; err != nil {
			break
		}
	}
	r.record.add("%s had sent %d MB to %s when the connection ended", r.id, sent>>20, attempt)
}

// garbage lets some runners answer with bytes that are no answer. Edges must not end by it.
func garbage(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec, []int{2, 2, 1}, []int{1, 1, 1}, []int{3, 2, 1})
	if err != nil {
		return notRun, err
	}
	defer f.close()
	endOnSignal(f)
	var inTrouble atomic.Bool
	edgeLinks := newLinks(f.edges)
	runners, err := startRunners(f, garbageServers)
	if err != nil {
		return notRun, err
	}
	for i, r := range runners {
		if i >= garbageRunners {
			break
		}
		r.spoil = func(w http.ResponseWriter, attempt string) bool {
			if !inTrouble.Load() || random.Float64() >= garbageAnswers {
				return false
			}
			edgeLinks.spoil(w, r, attempt)
			return true
		}
	}
	for _, m := range f.all() {
		if err := m.start(true); err != nil {
			return notRun, err
		}
	}
	begun := time.Now()
	s := supervise(f)
	defer s.stop.Store(true)
	if !firstConfiguration(f, garbageLead) {
		return notRun, fmt.Errorf("the first configuration was not taken")
	}
	time.Sleep(time.Until(begun.Add(garbageLead)))
	traffic := time.Now()
	if trouble {
		go func() {
			for i := range garbageWindows {
				time.Sleep(time.Until(traffic.Add(garbageFirst + time.Duration(i)*garbageGap)))
				rec.add("%d of %d runners are in trouble", garbageRunners, garbageServers)
				inTrouble.Store(true)
				time.Sleep(garbageWindow)
				inTrouble.Store(false)
				rec.add("the trouble is over")
			}
		}()
	}
	var counts struct{ sent, served atomic.Int64 }
	var clients sync.WaitGroup
	for i := 0; time.Since(traffic) < garbageTraffic; i++ {
		clients.Go(func() {
			m := f.edges[i%len(f.edges)]
			attempt := fmt.Sprintf("a%06d.%s", i, m.id)
			a := get(m, "/thumb/2f", attempt, requestTimeLeft)
			counts.sent.Add(1)
			if a.status == http.StatusOK && a.seal != "" {
				counts.served.Add(1)
			} else {
				rec.add("request %s is answered with %d", attempt, a.status)
			}
		})
		time.Sleep(time.Until(traffic.Add(time.Duration(i+1) * time.Second / requestsPerSecond)))
	}
	clients.Wait()
	s.stop.Store(true)
	rec.add("%d requests, %d served; ends of processes: %v", counts.sent.Load(), counts.served.Load(), s.counts())
	if s.machinesWithEnds() >= endsOfMachines {
		return broken, nil
	}
	return held, nil
}
