package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The day: a small tenant is hot for some seconds, again and again, and edges are stopped and
// started in turn meanwhile.
const (
	collectorLead  = 10 * time.Second
	collectorLimit = 100 * time.Second // of the case
	// hotPerSecond is what the small tenant sends while it is hot, 7.5 times its limit of 1/s.
	hotPerSecond = 7.5
	// hotAtFirst is the time for which only the first edge gets the small tenant's requests. Its limit
	// is used up within it.
	hotAtFirst   = 2700 * time.Millisecond
	hotLate      = 400 * time.Millisecond // at the edge that stops, before its front closes
	stopAfter    = 300 * time.Millisecond // the time of the SIGTERM after the tenant became hot
	lateRequests = 4
	lateTimeLeft = 2 * time.Second
	// cycleTime bounds the wait for the end of a process after a cycle.
	cycleTime = 8 * time.Second
	rest      = 1500 * time.Millisecond
	others    = 30 // requests a second of the other tenant
)

var (
	smallTenant = tenant{name: "small", key: "k-small", ratePerS: 1}
	largeTenant = tenant{name: "large", key: "k-large"}
)

// collector stops edges in turn while a tenant over its limit sends requests. No process of
// another edge may end by it.
func collector(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec, []int{2, 2, 1}, []int{1, 1, 1}, []int{3, 2, 1})
	if err != nil {
		return notRun, err
	}
	defer f.close()
	endOnSignal(f)
	if _, err := startRunners(f, garbageServers); err != nil {
		return notRun, err
	}
	for _, m := range f.all() {
		if err := m.start(true); err != nil {
			return notRun, err
		}
	}
	begun := time.Now()
	s := supervise(f)
	defer s.stop.Store(true)
	if !firstConfiguration(f, collectorLead, smallTenant, largeTenant) {
		return notRun, fmt.Errorf("the first configuration was not taken")
	}
	time.Sleep(time.Until(begun.Add(collectorLead)))
	traffic := startTraffic(f)
	cycles := 0
	for _, first := range f.edges[:endsOfMachines] {
		for s.counts()[first.id] < endsOfMachine && time.Since(begun) < collectorLimit-cycleTime {
			// The last three edges are stopped in turn.
			cycles++
			s.cycle(f.edges[len(f.edges)-1], f.edges[3+cycles%2], first, cycles, trouble)
			if !trouble && cycles >= endsOfMachine*endsOfMachines {
				break
			}
		}
		if trouble && first != f.edges[endsOfMachines-1] {
			first.stop(true)
			time.Sleep(2 * rest)
		}
	}
	traffic.stop()
	s.stop.Store(true)
	rec.add("the other tenant: %d requests, %d served", traffic.sent.Load(), traffic.served.Load())
	rec.add("%d cycles; processes that ended by themselves: %v", cycles, s.counts())
	if s.machinesWithEnds() >= endsOfMachines {
		return broken, nil
	}
	return held, nil
}

// cycle lets the small tenant be hot at one edge and then at another one, which is stopped and
// started again. It waits until a process of the watched edge ends by itself, or cycleTime.
func (s *supervisor) cycle(hot, stopped, watched *machine, number int, trouble bool) {
	rec := s.fleet.record
	before := s.counts()[watched.id]
	conns := dialAll(stopped, lateRequests)
	begun := time.Now()
	if trouble {
		time.AfterFunc(stopAfter, func() { stopped.stop(false) })
	}
	var late atomic.Bool
	var client sync.WaitGroup
	statuses := map[int]int{}
	client.Go(func() {
		for i := 0; !late.Load(); i++ {
			a := getAs(hot, "/thumb/2f", fmt.Sprintf("s%d-%d", number, i), smallTenant.key, requestTimeLeft)
			statuses[a.status]++
			time.Sleep(time.Until(begun.Add(time.Duration(float64(i+1) / hotPerSecond * float64(time.Second)))))
		}
	})
	time.Sleep(time.Until(begun.Add(hotAtFirst)))
	lateStatuses := map[int]int{}
	for i, c := range conns {
		lateStatuses[sendOn(c, fmt.Sprintf("l%d-%d", number, i), smallTenant.key)]++
		time.Sleep(hotLate / lateRequests)
	}
	late.Store(true)
	client.Wait()
	rec.add("cycle %d: the small tenant at %s: answers by status %v", number, hot.id, statuses)
	rec.add("cycle %d: the small tenant at %s: answers by status %v", number, stopped.id, lateStatuses)
	for end := time.Now().Add(cycleTime); time.Now().Before(end) && s.counts()[watched.id] == before; {
		time.Sleep(supervisorPeriod)
	}
	time.Sleep(rest)
}

// dialAll opens connections that clients keep for later requests.
func dialAll(m *machine, count int) []net.Conn {
	var conns []net.Conn
	for range count {
		if c, err := net.Dial("tcp", m.addr(frontPort)); err == nil {
			conns = append(conns, c)
		}
	}
	return conns
}

// sendOn sends one request on an open connection, closes it and returns the status, 0 for none.
func sendOn(c net.Conn, attempt, key string) int {
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(lateTimeLeft))
	_, err := fmt.Fprintf(c, "GET /thumb/2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n\r\n",
		host, headerAttempt, attempt, headerKey, key, headerRemaining, lateTimeLeft.Milliseconds())
	if err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// load is the traffic of the other tenant.
type load struct {
	sent, served atomic.Int64
	done         atomic.Bool
	clients      sync.WaitGroup
}

// startTraffic sends requests of the other tenant to all edges in turn.
func startTraffic(f *fleet) *load {
	l := &load{}
	l.clients.Go(func() {
		begun := time.Now()
		for i := 0; !l.done.Load(); i++ {
			m := f.edges[i%len(f.edges)]
			if m.isStopping() {
				continue
			}
			l.clients.Go(func() {
				a := getAs(m, "/thumb/2f", fmt.Sprintf("o%06d", i), largeTenant.key, requestTimeLeft)
				l.sent.Add(1)
				if a.status == http.StatusOK && a.seal != "" {
					l.served.Add(1)
				}
			})
			time.Sleep(time.Until(begun.Add(time.Duration(i+1) * time.Second / others)))
		}
	})
	return l
}

func (l *load) stop() {
	l.done.Store(true)
	l.clients.Wait()
}
