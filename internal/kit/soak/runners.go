package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The services of the deployment.
const (
	modelService = "sprachdienst"
	plainService = "bildportal"
)

// Headers that the stand-ins read and write.
const (
	headerAttempt    = "X-Damsontiller-Attempt-Id"
	headerSeal       = "X-Damsontiller-Server-Seal"
	headerTarget     = "X-Damsontiller-Target-Instance"
	headerNotRun     = "X-Damsontiller-Not-Executed"
	headerInstance   = "X-Damsontiller-Instance-Id"
	headerRemaining  = "X-Damsontiller-Time-Remaining"
	headerPrevious   = "X-Damsontiller-Previous-Turn"
	headerProgram    = "X-Damsontiller-Program-Id"
	headerSession    = "X-Damsontiller-Session-Id"
	headerProgramEnd = "X-Damsontiller-Program-Time-Remaining"
	headerTokens     = "X-Damsontiller-Token-Counts"
	headerBase       = "X-Damsontiller-Base-Revision"
	headerLoad       = "X-Damsontiller-Server-Load"
	headerOperation  = "X-Damsontiller-Operation-Key"
	headerTenant     = "X-Damsontiller-Subscriber"
	headerCredential = "X-Api-Key"
)

// events is the length of a stream.
const events = 11

const (
	runnersPerService = 12
	runnerSlots       = 64
)

// A run is what a runner saw of one attempt.
type run struct {
	runner  string
	attempt string
	service string
	body    string
	tenant  string // on whose behalf, as the runner was told
	secret  bool   // the runner was shown a credential
	began   time.Time
	spoiled bool      // the runner did not answer it as it should have
	ended   time.Time // the whole answer was written; zero: it was not
}

// ledger is what all runners ran, by attempt.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]*run
}

func newLedger() *ledger { return &ledger{runs: map[string][]*run{}} }

func (l *ledger) begin(attempt string, r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[attempt] = append(l.runs[attempt], r)
}

func (l *ledger) end(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.ended = time.Now()
}

// of gives copies of the runs of an attempt.
func (l *ledger) of(attempt string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []run
	for _, r := range l.runs[attempt] {
		out = append(out, *r)
	}
	return out
}

// platformList is the platform's list of runners, and the runners on it.
type platformList struct {
	server  *http.Server
	runners []*runner
}

func newPlatformList(network string, l *ledger, s *spoilers) (*platformList, error) {
	p := &platformList{}
	for i := range 2 * runnersPerService {
		r := &runner{
			id:       fmt.Sprintf("i-%04d", i),
			service:  [...]string{modelService, plainService}[i%2],
			zone:     zones[i/2%len(zones)],
			addr:     fmt.Sprintf("%s.100.%d:%d", network, i+1, runnerPort),
			ledger:   l,
			spoilers: s,
		}
		if err := r.serve(); err != nil {
			return nil, err
		}
		p.runners = append(p.runners, r)
	}
	ln, err := net.Listen("tcp", platformAddr(network))
	if err != nil {
		return nil, err
	}
	p.server = &http.Server{Handler: http.HandlerFunc(p.list), ReadHeaderTimeout: time.Minute}
	go func() { _ = p.server.Serve(ln) }()
	return p, nil
}

// instance is an entry of the platform's list.
type instance struct {
	ID        string  `json:"instance-id"`
	Service   string  `json:"target-service"`
	Addr      string  `json:"address"`
	Zone      string  `json:"zone"`
	Revision  string  `json:"revision"`
	Capacity  int     `json:"capacity"`
	Condition string  `json:"condition"`
	ColdMs    int     `json:"cold-remaining-ms"`
	Phase     string  `json:"phase"`
	Models    []model `json:"model-list"`
}

type model struct {
	Name     string   `json:"name"`
	Revision int      `json:"revision"`
	Adapters []string `json:"adapter-list"`
}

func (p *platformList) list(w http.ResponseWriter, _ *http.Request) {
	out := struct {
		Instances []instance `json:"instances"`
		Next      *string    `json:"next-token"`
	}{}
	for _, r := range p.runners {
		out.Instances = append(out.Instances, instance{
			ID: r.id, Service: r.service, Addr: r.addr, Zone: r.zone, Revision: "v1",
			Capacity: runnerSlots, Condition: "in_service", Phase: "both",
			Models: []model{{Name: "m", Revision: 1, Adapters: []string{}}},
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

func (p *platformList) stop() {
	for _, r := range p.runners {
		_ = r.server.Close()
	}
	_ = p.server.Close()
}

// runner is a stand-in that fails only while it is told to spoil answers: what its callers don't
// get otherwise was lost on the way.
type runner struct {
	id, service, zone, addr string
	ledger                  *ledger
	spoilers                *spoilers
	server                  *http.Server
}

func (r *runner) serve() error {
	ln, err := net.Listen("tcp", r.addr)
	if err != nil {
		return err
	}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	go func() { _ = r.server.Serve(ln) }()
	return nil
}

// ServeHTTP answers health questions, and runs jobs: the last part of the path says for how
// many milliseconds. The model's service answers with events.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/health" {
		w.Header().Set(headerInstance, r.id)
		return
	}
	attempt := q.Header.Get(headerAttempt)
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	w.Header().Set(headerAttempt, attempt)
	if q.Header.Get(headerTarget) != r.id {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	job := &run{
		runner: r.id, attempt: attempt, service: r.service, body: string(body), began: time.Now(),
		tenant: q.Header.Get(headerTenant), secret: q.Header.Get(headerCredential) != "",
	}
	answer := r.spoilers.draw(r)
	job.spoiled = answer != nil
	r.ledger.begin(attempt, job)
	if answer != nil {
		r.spoil(w, attempt, answer)
		return
	}
	w.Header().Set(headerSeal, sealOf(r.id, attempt))
	w.Header().Set(headerLoad, fmt.Sprintf("1,0,%d", runnerSlots))
	if r.service == modelService {
		err = stream(w, q, attempt)
	} else {
		time.Sleep(workOf(q.URL.Path))
		_, err = io.WriteString(w, plainBody(r.id, attempt))
	}
	if err == nil {
		r.ledger.end(job)
	}
}

func sealOf(runner, attempt string) string { return runner + "." + attempt }

func plainBody(runner, attempt string) string { return strings.Repeat(runner+"/"+attempt+"\n", 20) }

func eventData(attempt string, i int) string { return fmt.Sprintf("word %d of %s", i, attempt) }

func workOf(path string) time.Duration {
	_, ms, _ := strings.Cut(path, "/w")
	n, _ := strconv.Atoi(ms)
	return time.Duration(n) * time.Millisecond
}

func stream(w http.ResponseWriter, q *http.Request, attempt string) error {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for i := 1; i <= events; i++ {
		time.Sleep(workOf(q.URL.Path) / events)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, eventData(attempt, i)); err != nil {
			return err
		}
		if err := flush.Flush(); err != nil {
			return err
		}
	}
	return nil
}
