package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Headers that the stand-ins read and write.
const (
	headerAttempt      = "X-Damsontiller-Attempt-Id"
	headerSeal         = "X-Damsontiller-Server-Seal"
	headerTarget       = "X-Damsontiller-Target-Instance"
	headerNotExecuted  = "X-Damsontiller-Not-Executed"
	headerInstance     = "X-Damsontiller-Instance-Id"
	headerCold         = "X-Damsontiller-Cold-Remaining"
	headerRemaining    = "X-Damsontiller-Time-Remaining"
	headerTokens       = "X-Damsontiller-Token-Counts"
	headerModel        = "X-Damsontiller-Model"
	headerPrefix       = "X-Damsontiller-Prompt-Prefix"
	headerBaseRevision = "X-Damsontiller-Base-Revision"
)

// listLag is how far the platform's list is behind.
const listLag = 800 * time.Millisecond

// runner is a server of the users. It runs every request that names it, as long as it has a slot.
type runner struct {
	id, service, zone, addr string
	capacity                int
	work                    time.Duration
	events                  int // of a streamed answer; 0: a plain one
	log                     *record

	mu        sync.Mutex
	born      time.Time // it was started then; zero: before all others
	running   int
	coldSince time.Time // it went cold
	coldUntil time.Time
}

// cool makes the runner cold for a time from now on.
func (r *runner) cool(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.coldSince, r.coldUntil = time.Now(), time.Now().Add(d)
}

// start starts the runner during traffic, which makes it cold for a time.
func (r *runner) start(cold time.Duration) {
	r.mu.Lock()
	r.born = time.Now()
	r.mu.Unlock()
	r.cool(cold)
}

// runs reports whether the runner had been started at a moment.
func (r *runner) runs(at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.born.After(at)
}

// cold returns how long the runner will be cold yet, as of an earlier moment.
func (r *runner) cold(at time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.coldSince.IsZero() || at.Before(r.coldSince) {
		return 0
	}
	return max(0, r.coldUntil.Sub(at))
}

// begin takes a slot.
func (r *runner) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= r.capacity {
		return false
	}
	r.running++
	return true
}

func (r *runner) end() {
	r.mu.Lock()
	r.running--
	r.mu.Unlock()
}

// ServeHTTP answers health probes and runs requests.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/health" {
		w.Header().Set(headerInstance, r.id)
		if cold := r.cold(time.Now()); cold > 0 {
			w.Header().Set(headerCold, fmt.Sprint(cold.Milliseconds()))
		}
		return
	}
	arrived := time.Now()
	attempt := q.Header.Get(headerAttempt)
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	w.Header().Set(headerAttempt, attempt)
	if q.Header.Get(headerTarget) != r.id {
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !r.begin() {
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.end()
	r.log.arrival(r, attempt, arrived, r.cold(arrived) > 0)
	w.Header().Set(headerSeal, r.id+"."+attempt)
	if r.events == 0 {
		time.Sleep(r.work)
		_, _ = io.WriteString(w, r.id+" ran "+attempt+"\n")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Damsontiller-Weight-Revisions", "1")
	flush := http.NewResponseController(w)
	for i := 1; i <= r.events; i++ {
		time.Sleep(r.work / time.Duration(r.events))
		if _, err := fmt.Fprintf(w, "id: %d\ndata: word %d of %s\n\n", i, i, attempt); err != nil {
			return
		}
		_ = flush.Flush()
	}
}

// platform is the platform's list of runners.
type platform struct{ runners []*runner }

type listEntry struct {
	ID        string      `json:"instance-id"`
	Service   string      `json:"target-service"`
	Address   string      `json:"address"`
	Zone      string      `json:"zone"`
	Revision  string      `json:"revision"`
	Capacity  int         `json:"capacity"`
	Condition string      `json:"condition"`
	ColdMs    int64       `json:"cold-remaining-ms"`
	Phase     string      `json:"phase"`
	Models    []listModel `json:"model-list"`
}

type listModel struct {
	Name     string   `json:"name"`
	Revision int      `json:"revision"`
	Adapters []string `json:"adapter-list"`
}

// ServeHTTP serves the list as it was listLag ago.
func (p *platform) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != "/instances" {
		http.NotFound(w, q)
		return
	}
	page := struct {
		Instances []listEntry `json:"instances"`
		Next      *string     `json:"next-token"`
	}{Instances: []listEntry{}}
	for _, r := range p.runners {
		if !r.runs(time.Now().Add(-listLag)) {
			continue
		}
		page.Instances = append(page.Instances, listEntry{
			ID: r.id, Service: r.service, Address: r.addr, Zone: r.zone, Revision: "v1",
			Capacity: r.capacity, Condition: "in_service", Phase: "both",
			ColdMs: r.cold(time.Now().Add(-listLag)).Milliseconds(),
			Models: []listModel{{Name: "m", Revision: 1, Adapters: []string{}}},
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page)
}

// listen serves a handler at an address until the process ends.
func listen(addr string, handler http.Handler) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(ln) }()
	return nil
}
