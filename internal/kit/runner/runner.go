// Package runner is a stand-in back end: it bears so much, reports it, refuses
// when full, misbehaves on order, and writes down all that it does.
package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"damsontiller/internal/dataplane/request/runnerapi"
	"damsontiller/internal/proto/spec"
)

// Order is a way to misbehave with the next jobs.
type Order string

// The orders.
const (
	Refuse     Order = "refuse"      // 429, no Retry-After
	RefuseSecs Order = "refuse-secs" // 429 with seconds
	RefuseDate Order = "refuse-date" // 429 with a date, by a clock an hour wrong
	Raise      Order = "raise"       // 503 with one of the six strings
	Lose       Order = "lose"        // run, then drop the connection
	Truncate   Order = "cut"         // run, then break the answer off halfway
	Mix        Order = "mix"         // run, then answer for another job
	Slow       Order = "slow"        // run for two seconds longer
	Garble     Order = "garble"      // run, then answer what is no JSON
	Shape      Order = "shape"       // run, then answer JSON of another shape
	NoJob      Order = "no-job"      // run, then answer without the job's name
	NoText     Order = "no-text"     // run, then answer without a text
	Twin       Order = "twin"        // run, then answer with a second answer behind the first
	Long       Order = "long"        // run, then answer more than any edge takes
)

// Entry is one line of the log.
type Entry struct {
	Job, Work, Program string
	Addr               string // where its caller sent it; another runner may have been there before
	Arrived            time.Time
	Ran                bool // the work was done
	Output             int64
	Refused            bool
	Wait               time.Duration // named, or the least a cooldown may be
	Answered           time.Time
	Over               bool // came in while all that it bears was taken
	WarmingUp          bool // at that time it was still coming up
	Left               bool // came in after it had said that it drains
	Other              bool // meant for a process before this one, and refused
}

// Params shape a stand-in.
type Params struct {
	spec.Runner
	Model bool
	Bears int
	// Up: bears 2 at first, doubling each second until Bears.
	Up     bool
	Take   time.Duration // mean time of a job
	Seed   uint64
	Prefix int // prefixes held at the most; 0 means 16
}

// Runner is one stand-in.
type Runner struct {
	P   Params
	srv *http.Server

	mu       sync.Mutex
	rnd      *rand.Rand
	start    time.Time
	inFlight int
	refused  int64
	orders   []Order
	strikes  int
	log      []Entry
	prefixes []string
	drained  time.Time
	shut     time.Time
	gen      int // of the process this stands for
}

// New makes a stand-in; Start lets it serve.
func New(p Params) *Runner {
	return &Runner{P: p, rnd: rand.New(rand.NewPCG(p.Seed, 7))}
}

// Start listens at its address.
func (r *Runner) Start() error {
	ln, err := net.Listen("tcp", r.P.Addr)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: r.Handler(), ReadHeaderTimeout: 5 * time.Second}
	r.mu.Lock()
	r.srv = srv
	r.mu.Unlock()
	go func() { _ = srv.Serve(ln) }()
	return nil
}

// Handler is a new process of this stand-in, whoever serves it.
func (r *Runner) Handler() http.Handler {
	r.mu.Lock()
	r.gen++
	r.start, r.drained, r.inFlight, r.prefixes = time.Now(), time.Time{}, 0, nil
	r.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", r.report)
	mux.HandleFunc("POST /v1/run", r.run)
	return mux
}

// Stop ends it at once, as a crash would.
func (r *Runner) Stop() {
	r.mu.Lock()
	r.gen++
	srv := r.srv
	r.mu.Unlock()
	if srv != nil {
		_ = srv.Close()
	}
}

// Drain says that it leaves; it goes on with what it has.
func (r *Runner) Drain() {
	r.mu.Lock()
	r.drained = time.Now()
	r.mu.Unlock()
}

// Shut makes it refuse every job for a time.
func (r *Runner) Shut(d time.Duration) {
	r.mu.Lock()
	r.shut = time.Now().Add(d)
	r.mu.Unlock()
}

// Give adds orders for the next jobs, one each.
func (r *Runner) Give(os ...Order) {
	r.mu.Lock()
	r.orders = append(r.orders, os...)
	r.mu.Unlock()
}

// Undone is how many orders no job has met yet.
func (r *Runner) Undone() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.orders)
}

// Log is a copy of all that was written down.
func (r *Runner) Log() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Entry(nil), r.log...)
}

// Drained is when it said that it leaves.
func (r *Runner) Drained() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.drained
}

func (r *Runner) bears() int {
	if !r.P.Up {
		return r.P.Bears
	}
	b := 2 << min(int(time.Since(r.start)/time.Second), 16)
	return min(b, r.P.Bears)
}

// incarnation names the process this stands for now.
func (r *Runner) incarnation() string { return fmt.Sprintf("%s-%d", r.P.Name, r.gen) }

func (r *Runner) report(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	rep := runnerapi.Report{
		Name:        r.P.Name,
		State:       runnerapi.Ready,
		Incarnation: r.incarnation(),
		Concurrency: r.bears(),
		Load:        r.inFlight,
		UpMs:        time.Since(r.start).Milliseconds(),
		Refused:     r.refused,
		Prefixes:    append([]string(nil), r.prefixes...),
	}
	if !r.drained.IsZero() {
		rep.State = runnerapi.Draining
	}
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(rep)
}

// Work finds the caller's token in a job's words.
func Work(words string) string {
	_, rest, ok := strings.Cut(words, "work:")
	if !ok {
		return ""
	}
	w, _, _ := strings.Cut(rest, ";")
	return w
}

// Digest is what a stand-in model answers about a history, so that a caller
// sees whether any of it was forgotten.
func Digest(history any) string {
	b, err := json.Marshal(history)
	if err != nil {
		return "none"
	}
	var lines []map[string]string
	if json.Unmarshal(b, &lines) != nil {
		return "none"
	}
	h := fnv.New64a()
	for _, l := range lines {
		fmt.Fprintf(h, "%s|%s|", l["words"], l["answer"])
	}
	return fmt.Sprintf("%d-%x", len(lines), h.Sum64())
}

func (r *Runner) run(w http.ResponseWriter, q *http.Request) {
	var j runnerapi.Request
	if err := json.NewDecoder(q.Body).Decode(&j); err != nil {
		http.Error(w, "{}", http.StatusBadRequest)
		return
	}
	w.Header().Set(runnerapi.JobHeader, j.Job)
	e := Entry{Job: j.Job, Work: Work(j.Prompt), Program: j.Program, Addr: q.Host, Arrived: time.Now()}
	r.mu.Lock()
	o, admitted := r.admit(&e, j.Incarnation)
	if !admitted {
		refuse := r.reject(w, &e, o)
		r.mu.Unlock()
		refuse()
		return
	}
	work := r.begin(j, o)
	r.mu.Unlock()
	// A stand-in finishes its work whether or not its caller is still there.
	t := time.NewTimer(work.takes)
	<-t.C
	ans, alive := r.finish(&e, j, work)
	if alive {
		respond(w, o, ans)
	}
}

// admit decides what becomes of a job: the order that it is carried out under, or why it
// is rejected. r.mu is held.
func (r *Runner) admit(e *Entry, incarnation string) (o Order, admitted bool) {
	full := r.inFlight >= r.bears()
	e.Over, e.WarmingUp = full, r.P.Up && r.bears() < r.P.Bears
	switch {
	case incarnation != "" && incarnation != r.incarnation():
		e.Other, e.Over = true, false
		return "", false
	case !r.drained.IsZero():
		e.Left, e.Refused, e.Over = true, false, false
		return "", false
	case full, e.Arrived.Before(r.shut):
		o = Refuse
	case len(r.orders) > 0:
		o, r.orders = r.orders[0], r.orders[1:]
	}
	return o, o != Refuse && o != RefuseSecs && o != RefuseDate && o != Raise
}

// reject logs a job that was not admitted, and gives what writes the answer. r.mu is
// held.
func (r *Runner) reject(w http.ResponseWriter, e *Entry, o Order) (write func()) {
	switch {
	case e.Other:
		r.log = append(r.log, *e)
		return func() {
			failure(w, http.StatusPreconditionFailed, "Other", "meant for another process", runnerapi.Other)
		}
	case e.Left:
		r.log = append(r.log, *e)
		return func() { failure(w, http.StatusServiceUnavailable, "Draining", "going away", runnerapi.Draining) }
	}
	e.Refused, e.Wait = true, time.Second
	r.refused++
	r.strikes++
	message := raised[r.strikes%len(raised)]
	switch o {
	case RefuseSecs:
		e.Wait = 2 * time.Second
		w.Header().Set("Retry-After", "2")
	case RefuseDate:
		// By a clock an hour wrong: only the difference to Date counts.
		wrong := e.Arrived.Add(time.Hour).Truncate(time.Second).UTC()
		e.Wait = 3 * time.Second
		w.Header().Set("Date", wrong.Format(http.TimeFormat))
		w.Header().Set("Retry-After", wrong.Add(e.Wait).Format(http.TimeFormat))
	}
	e.Answered = time.Now()
	r.log = append(r.log, *e)
	if o == Raise {
		return func() { failure(w, http.StatusServiceUnavailable, "UpstreamError", message, "") }
	}
	return func() { failure(w, http.StatusTooManyRequests, "Busy", "later", "") }
}

// execution is one job at work.
type execution struct {
	gen       int // start of the process that it belongs to
	takes     time.Duration
	output    int64
	prefixHit bool
}

// begin counts a job in and draws what it takes and puts out. r.mu is held.
func (r *Runner) begin(j runnerapi.Request, o Order) execution {
	r.inFlight++
	x := execution{gen: r.gen, prefixHit: r.cached(j.Parts)}
	x.takes = r.P.Take/2 + time.Duration(r.rnd.Int64N(int64(r.P.Take)))
	if r.P.Model && !x.prefixHit {
		x.takes += r.P.Take / 2
	}
	if r.P.Model {
		x.output = 1 + r.rnd.Int64N(max(j.MaxOutput, 1))
	}
	if o == Slow {
		x.takes += 2 * time.Second
	}
	return x
}

// finish logs a job that has ended and makes its answer. It reports whether the process is
// still the one that began it: one that was killed leaves the work half done.
func (r *Runner) finish(e *Entry, j runnerapi.Request, x execution) (ans runnerapi.Response, alive bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x.gen != r.gen {
		return ans, false
	}
	r.inFlight--
	e.Ran, e.Output, e.Answered = true, x.output, time.Now()
	r.log = append(r.log, *e)
	return runnerapi.Response{
		Job:       j.Job,
		Text:      fmt.Sprintf("work:%s;history:%s;end", e.Work, Digest(j.History)),
		Output:    x.output,
		PrefixHit: x.prefixHit,
		Prefixes:  slices.Clone(r.prefixes),
	}, true
}

// respond writes a job's answer, spoiled as ordered.
func respond(w http.ResponseWriter, o Order, ans runnerapi.Response) {
	if o == Mix {
		ans.Job = "someone-else"
	}
	b, err := json.Marshal(ans)
	if err != nil {
		return
	}
	if o == Lose {
		hijack(w)
		return
	}
	b = bend(o, ans, b)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if o != Truncate {
		_, _ = w.Write(b)
		return
	}
	_, _ = w.Write(b[:len(b)/2])
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	hijack(w)
}

// bend spoils a complete response b as ordered.
func bend(o Order, ans runnerapi.Response, b []byte) []byte {
	switch o {
	case Garble:
		return []byte(strings.ReplaceAll(string(b), ":", "="))
	case Shape:
		return []byte(`["` + ans.Job + `"]`)
	case NoJob:
		return []byte(`{"text":"work done"}`)
	case NoText:
		return []byte(`{"job":"` + ans.Job + `","output":1}`)
	case Twin:
		return append(append([]byte(nil), b...), b...)
	case Long:
		ans.Text += strings.Repeat(" ", 2<<20)
		if l, err := json.Marshal(ans); err == nil {
			return l
		}
	}
	return b
}

var raised = []string{
	"error 429 upstream",
	"Rate Limit hit",
	"RateLimit hit",
	"Too Many Requests now",
	"please throttle",
	"Quota Exceeded for key",
}

func failure(w http.ResponseWriter, status int, typ, msg, state string) {
	var p runnerapi.Failure
	p.Error.Type, p.Error.Message, p.State = typ, msg, state
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}

// hijack drops the connection with no further word.
func hijack(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			c.Close()
			return
		}
	}
	panic(http.ErrAbortHandler)
}

// cached reports whether the complete prefix is held, and takes in every run of
// leading parts.
func (r *Runner) cached(parts []string) bool {
	prefixHit := len(parts) > 0
	for i := range parts {
		key := strings.Join(parts[:i+1], "+")
		if slices.Contains(r.prefixes, key) {
			continue
		}
		prefixHit = false
		r.prefixes = append(r.prefixes, key)
	}
	n := r.P.Prefix
	if n == 0 {
		n = 16
	}
	if len(r.prefixes) > n {
		r.prefixes = r.prefixes[len(r.prefixes)-n:]
	}
	return prefixHit
}

// Platform is the platform's lagging list.
type Platform struct {
	Addr string
	Lag  time.Duration
	mu   sync.Mutex
	list []runnerapi.ListedRunner
	srv  *http.Server
}

// Set replaces the list, seen after the lag.
func (p *Platform) Set(l []runnerapi.ListedRunner) {
	time.AfterFunc(p.Lag, func() {
		p.mu.Lock()
		p.list = l
		p.mu.Unlock()
	})
}

// Start serves the list until ctx ends.
func (p *Platform) Start(ctx context.Context) error {
	ln, err := net.Listen("tcp", p.Addr)
	if err != nil {
		return err
	}
	p.srv = &http.Server{
		ReadHeaderTimeout: 5 * time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			p.mu.Lock()
			defer p.mu.Unlock()
			_ = json.NewEncoder(w).Encode(runnerapi.RunnerList{Runners: p.list})
		}),
	}
	go func() { _ = p.srv.Serve(ln) }()
	context.AfterFunc(ctx, p.Stop)
	return nil
}

// Stop ends the list's server; its port is free when it returns.
func (p *Platform) Stop() {
	if p.srv != nil {
		_ = p.srv.Close()
	}
}

// Forget takes back all orders that no job has met.
func (r *Runner) Forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders, r.shut = nil, time.Time{}
}
