package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"damsontiller/internal/transport/loop"
)

// route and service are items of a configuration, as the operator writes them.
type route struct {
	Name      string  `json:"name"`
	Authority string  `json:"authority"`
	Prefix    string  `json:"path-prefix"`
	Type      string  `json:"route-type"`
	GuardMs   int     `json:"guard-timer-ms"`
	TargetMs  int     `json:"target-latency-ms"`
	Rank      int     `json:"precedence"`
	Service   string  `json:"target-service"`
	Attempts  int     `json:"max-attempts"`
	Retained  bool    `json:"retained"`
	Retention float64 `json:"retention-s"`
	Affinity  bool    `json:"affinity"`
	Resumable bool    `json:"resumable"`
	Keyless   bool    `json:"keyless"`
}

type service struct {
	Name   string `json:"name"`
	Health string `json:"health-path"`
	Conns  int    `json:"max-connections"`
	Proto  string `json:"protocol"`
}

type limits struct {
	Header      int `json:"max-header-bytes"`
	Body        int `json:"max-body-bytes"`
	HeaderTimer int `json:"header-timer-ms"`
	IdleTimer   int `json:"idle-timer-ms"`
}

type table struct {
	Revision uint64       `json:"revision"`
	Routes   []route      `json:"route-table"`
	Services []service    `json:"service-table"`
	Limits   limits       `json:"limits"`
	Tenants  []subscriber `json:"subscribers"`
}

// subscriber is a tenant as the operator writes it.
type subscriber struct {
	Name        string   `json:"name"`
	Credentials []string `json:"credentials"`
	RatePerS    float64  `json:"rate-per-s"`
	Burst       float64  `json:"burst-size"`
}

type patch struct {
	Revision uint64 `json:"revision"`
	Upsert   struct {
		Routes []route `json:"route-table"`
	} `json:"upsert"`
	Remove struct {
		Routes []string `json:"route-table"`
	} `json:"remove"`
}

// A change is one configuration that was sent: the one before it, with a route added and
// perhaps one removed.
type change struct {
	base, revision uint64
	added, removed string // names of routes, which are their prefixes without slashes
	limits         tenantLimits
	sent           time.Time
	acked          time.Time // zero: no 200
	refused        bool      // a 4xx: not taken, and never will be
}

// operator sends changes, two at once now and then, and reads them back.
type operator struct {
	cores      []*Machine
	edges      func() []*Machine // those that there are
	random     *rand.Rand
	idleRoutes int
	web        *http.Client
	// coresQuiet reports whether nothing happened to cores and stores since a time.
	coresQuiet func(time.Time) bool

	mu       sync.Mutex
	known    uint64 // the newest revision that is known to be in force
	live     []string
	limits   tenantLimits // those that are known to be in force
	initial  *change      // the first configuration
	changes  []*change    // those after it
	breaches []Breach
	ackedNow chan struct{} // closed at each acknowledgement, and replaced
	probes   int
	reads    int
}

func newOperator(cores []*Machine, edges func() []*Machine, random *rand.Rand, idleRoutes int) *operator {
	return &operator{
		cores: cores, edges: edges, random: random, idleRoutes: idleRoutes,
		ackedNow: make(chan struct{}),
		web:      &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

func (o *operator) breach(rule, format string, a ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.breaches = append(o.breaches, Breach{At: time.Now(), Rule: rule, What: fmt.Sprintf(format, a...)})
}

// baseTable has the routes that clients use, those that nobody uses, and the live ones.
func (o *operator) baseTable(revision uint64, live []string, quotas tenantLimits) table {
	t := table{
		Revision: revision,
		Services: []service{{modelService, "/health", 460, "h1"}, {plainService, "/health", 390, "h1"}},
		Limits:   limits{Header: 16384, Body: 4 << 20, HeaderTimer: 3000, IdleTimer: 15000},
	}
	turn := newRoute("turn", modelService, "streaming")
	turn.Retained, turn.Retention, turn.Affinity = true, 60, true
	order := newRoute("order", plainService, "non_idempotent")
	keyed := newRoute("keyed", plainService, "keyed")
	t.Routes = []route{turn, order, newRoute("read", plainService, "idempotent"), keyed}
	t.Tenants = quotas.subscribers()
	for i := range o.idleRoutes {
		t.Routes = append(t.Routes, newRoute(fmt.Sprintf("idle%d", i), plainService, "idempotent"))
	}
	for _, name := range live {
		t.Routes = append(t.Routes, newRoute(name, plainService, "idempotent"))
	}
	return t
}

func newRoute(name, service, kind string) route {
	return route{
		Name: name, Authority: authority, Prefix: "/" + name + "/", Type: kind, GuardMs: 6000,
		TargetMs: 800, Rank: 1, Service: service, Attempts: 2, Retention: 60,
	}
}

// first sends the first configuration until it is taken.
func (o *operator) first(ctx context.Context) bool {
	body, _ := json.Marshal(o.baseTable(1, nil, o.limits))
	o.initial = &change{revision: 1, sent: time.Now(), limits: o.limits}
	c := o.initial
	for ctx.Err() == nil {
		if o.send(ctx, c, "replace", body, 5*time.Second); !c.acked.IsZero() {
			o.settle(c)
			return true
		}
	}
	return false
}

const (
	maxLive = 4 // routes that were added and not removed
	// orderTime is how long a change is sent again while its answer is unclear.
	orderTime = 15 * time.Second
	// readTimeout bounds the time for which the configuration is not to be read, if over half
	// of the core is up again before.
	readTimeout = 25 * time.Second
)

// run sends changes until ctx ends; one under way is given its time.
func (o *operator) run(ctx context.Context) {
	for loop.Wait(ctx, time.Duration(100+o.random.IntN(900))*time.Millisecond) {
		first := o.next(0)
		all := []*change{first}
		if o.random.IntN(4) == 0 {
			all = append(all, o.next(1))
		}
		whole := o.random.IntN(2) == 0 || !first.limits.equal(o.limits)
		var wg sync.WaitGroup
		for _, c := range all {
			wg.Go(func() { o.sendChange(context.WithoutCancel(ctx), c, whole) })
		}
		wg.Wait()
		if len(all) == 2 && !first.acked.IsZero() && !all[1].acked.IsZero() {
			o.breach("CONFIG", "revisions %d and %d, both on %d, were acknowledged",
				first.revision, all[1].revision, first.base)
		}
		o.learn(context.WithoutCancel(ctx), all)
	}
}

// next makes a change of what is known to be in force.
func (o *operator) next(rival uint64) *change {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := &change{base: o.known, revision: o.known + 1 + rival + uint64(o.random.IntN(3))*2}
	c.added = fmt.Sprintf("x%d", c.revision)
	c.limits = o.limits
	if rival > 0 {
		c.added += "b"
	} else if o.limits.bursting != nil {
		c.limits = o.limits.next(o.random)
	}
	if len(o.live) >= maxLive {
		c.removed = o.live[0]
	}
	o.changes = append(o.changes, c)
	return c
}

func (o *operator) sendChange(ctx context.Context, c *change, whole bool) {
	verb := "modify"
	var body []byte
	if whole {
		verb = "replace"
		body, _ = json.Marshal(o.baseTable(c.revision, o.liveWith(c), c.limits))
	} else {
		p := patch{Revision: c.revision}
		p.Upsert.Routes = []route{newRoute(c.added, plainService, "idempotent")}
		p.Remove.Routes = []string{}
		if c.removed != "" {
			p.Remove.Routes = append(p.Remove.Routes, c.removed)
		}
		body, _ = json.Marshal(p)
	}
	c.sent = time.Now()
	o.send(ctx, c, verb, body, orderTime)
}

// liveWith is the list of live routes once a change is in force.
func (o *operator) liveWith(c *change) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for _, name := range o.live {
		if name != c.removed {
			out = append(out, name)
		}
	}
	return append(out, c.added)
}

// send sends a change again, to any core, until its answer is clear or its time is over.
func (o *operator) send(ctx context.Context, c *change, verb string, body []byte, within time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for pause := 50 * time.Millisecond; ; pause = min(2*pause, time.Second) {
		switch status := o.post(ctx, verb, c.base, body); {
		case status == http.StatusOK:
			o.mu.Lock()
			c.acked = time.Now()
			close(o.ackedNow)
			o.ackedNow = make(chan struct{})
			o.mu.Unlock()
			return
		case status >= 400 && status < 500 && !comeBack(status):
			c.refused = true
			return
		}
		if !loop.Wait(ctx, pause) {
			return
		}
	}
}

// comeBack reports whether a status asks to be tried again.
func comeBack(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusTooManyRequests
}

func (o *operator) core() *Machine {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.cores[o.random.IntN(len(o.cores))]
}

func (o *operator) post(ctx context.Context, verb string, base uint64, body []byte) int {
	url := "http://" + o.core().addr(controlPort) + "/v1/configuration/" + verb
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set(headerBase, strconv.FormatUint(base, 10))
	r, err := o.web.Do(q)
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode
}

// learn finds out what is in force after some changes on one base: what was acknowledged,
// or what is read back.
func (o *operator) learn(ctx context.Context, sent []*change) {
	for _, c := range sent {
		if !c.acked.IsZero() {
			o.settle(c)
			return
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	for {
		t, ok := o.retrieve(ctx)
		if !ok && ctx.Err() != nil {
			o.breach("CONFIG", "not to be read for %s", readTimeout)
			return
		}
		if !ok {
			loop.Wait(ctx, 100*time.Millisecond)
			continue
		}
		for _, c := range sent {
			if c.revision == t.Revision {
				o.settle(c)
				return
			}
		}
		if t.Revision == sent[0].base {
			return
		}
		o.breach("CONFIG", "revision %d is in force, after %d", t.Revision, sent[0].base)
		o.mu.Lock()
		o.known = t.Revision
		o.mu.Unlock()
		return
	}
}

// settle notes that a change is in force.
func (o *operator) settle(c *change) {
	live := o.liveWith(c)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.known, o.limits = c.revision, c.limits
	if c.added != "" {
		o.live = live
	}
}

// retrieve reads the configuration at any core, and judges how old it is.
func (o *operator) retrieve(ctx context.Context) (table, bool) {
	sent := time.Now()
	core := o.core()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet,
		"http://"+core.addr(controlPort)+"/v1/configuration/retrieve", nil)
	if err != nil {
		return table{}, false
	}
	r, err := o.web.Do(q)
	if err != nil {
		return table{}, false
	}
	defer r.Body.Close()
	var t table
	if r.StatusCode != http.StatusOK || json.NewDecoder(r.Body).Decode(&t) != nil {
		return table{}, false
	}
	if newest := o.newestAcked(sent.Add(-configApply)); newest != nil && t.Revision < newest.revision {
		o.breach("CONFIG", "%s gives revision %d, %s after revision %d was acknowledged",
			core.ID, t.Revision, sent.Sub(newest.acked).Round(time.Millisecond), newest.revision)
	}
	o.mu.Lock()
	o.reads++
	o.mu.Unlock()
	return t, true
}

// newestAcked is the newest change that was acknowledged before a time.
func (o *operator) newestAcked(before time.Time) *change {
	o.mu.Lock()
	defer o.mu.Unlock()
	var newest *change
	for _, c := range o.changes {
		if !c.acked.IsZero() && c.acked.Before(before) && (newest == nil || c.revision > newest.revision) {
			newest = c
		}
	}
	return newest
}

// awaitAck waits for the next acknowledgement.
func (o *operator) awaitAck(ctx context.Context, within time.Duration) {
	o.mu.Lock()
	acked := o.ackedNow
	o.mu.Unlock()
	select {
	case <-acked:
	case <-time.After(within):
	case <-ctx.Done():
	}
}

// readBack reads the configuration for a while at the end; it reports whether it came.
func (o *operator) readBack(ctx context.Context, span time.Duration) bool {
	came := false
	for end := time.Now().Add(span); time.Now().Before(end); loop.Wait(ctx, 50*time.Millisecond) {
		if t, ok := o.retrieve(ctx); ok {
			came = true
			o.judgeContent(t)
		}
	}
	return came
}

// judgeContent compares what was read with what was sent.
func (o *operator) judgeContent(t table) {
	o.mu.Lock()
	want := o.baseTable(t.Revision, o.live, o.limits)
	known := o.known
	o.mu.Unlock()
	if t.Revision != known {
		return // a change without a clear answer may be in force
	}
	got := map[string]route{}
	for _, r := range t.Routes {
		got[r.Name] = r
	}
	for _, r := range want.Routes {
		if got[r.Name] != r {
			o.breach("CONFIG", "revision %d: route %s is %+v, and was sent as %+v", t.Revision, r.Name, got[r.Name], r)
			return
		}
	}
	if !slices.EqualFunc(t.Tenants, want.Tenants, subscriber.equal) {
		o.breach("CONFIG", "revision %d: tenants are %+v, and were sent as %+v", t.Revision, t.Tenants, want.Tenants)
	}
	if len(got) != len(want.Routes) {
		o.breach("CONFIG", "revision %d holds %d routes, and was sent with %d", t.Revision, len(got), len(want.Routes))
	}
}
