package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"time"
)

// arrival is a request that reached a runner and was run.
type arrival struct {
	runner        *runner
	attempt, edge string
	sent, at      time.Time
	cold          bool
}

// record is what was sent, answered and run. It is written to record.txt.
type record struct {
	begun time.Time

	mu       sync.Mutex
	lines    []string
	sentAt   map[string]time.Time
	sentTo   map[string]string
	arrivals []arrival
	statuses map[int]int
}

func newRecord() *record {
	return &record{
		begun: time.Now(), sentAt: map[string]time.Time{}, sentTo: map[string]string{}, statuses: map[int]int{},
	}
}

// note adds a line. The caller must not hold the lock.
func (r *record) note(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(format, a...)
}

func (r *record) add(format string, a ...any) {
	r.lines = append(r.lines, fmt.Sprintf("%8.3f s  ", time.Since(r.begun).Seconds())+fmt.Sprintf(format, a...))
}

func (r *record) request(attempt, edge string, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sentAt[attempt], r.sentTo[attempt] = sent, edge
	r.add("sent      %s to %s", attempt, edge)
}

func (r *record) answer(attempt string, status int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statuses[status]++
	r.add("answered  %s: %d %s", attempt, status, how)
}

func (r *record) arrival(to *runner, attempt string, at time.Time, cold bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, arrival{
		runner: to, attempt: attempt, edge: r.sentTo[attempt], sent: r.sentAt[attempt], at: at, cold: cold,
	})
	state := ""
	if cold {
		state = ", which is cold"
	}
	r.add("run       %s at %s%s", attempt, to.id, state)
}

// busiest returns the largest number of arrivals, among those that count, that were both sent and
// arrived within one window, and that window's first arrivals by edge.
func busiest(arrivals []arrival, window time.Duration) (most int, from time.Time, byEdge map[string]int) {
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].sent.Before(arrivals[j].sent) })
	for i, first := range arrivals {
		count, edges := 0, map[string]int{}
		for _, a := range arrivals[i:] {
			if a.at.Before(first.sent.Add(window)) {
				count++
				edges[a.edge]++
			}
		}
		if count > most {
			most, from, byEdge = count, first.sent, edges
		}
	}
	return most, from, byEdge
}

// write writes record.txt, the verdict first.
func (r *record) write(dir, verdict string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return err
	}
	defer file.Close()
	out := bufio.NewWriter(file)
	fmt.Fprintf(out, "%s\nanswers by status: %v\n", verdict, r.statuses)
	for _, line := range r.lines {
		fmt.Fprintln(out, line)
	}
	return out.Flush()
}
