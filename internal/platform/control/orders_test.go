package control

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"damsontiller/internal/coordination/broadcast"
	"damsontiller/internal/coordination/core"
	"damsontiller/internal/coordination/lease"
	"damsontiller/internal/coordination/node"
	"damsontiller/internal/coordination/web"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/state/storage"
	"damsontiller/internal/transport"
	"damsontiller/internal/transport/memnet"
)

// Operators send orders to cores that are partitioned, frozen, restarted and wiped, lose
// answers and send again; every answer that a core gives is written down, also those
// that are lost on their way, and the history is checked at the end.

// plan is one run: actions one after another.
type plan struct {
	seed    uint64
	actions []action
}

type action struct {
	kind  int
	pause time.Duration // before it
	core  int
	some  int // its meaning is the kind's
	lasts time.Duration
}

const (
	newOrder = iota
	newOrder2
	newOrder3
	oldOrder
	readBack
	zoneOrder
	partitionBoth
	partitionOneWay
	freezeCore
	restartCore
	wipeCore
	restartAll
	actionKinds
)

func drawPlan(rt *rapid.T) plan {
	one := rapid.Custom(func(t *rapid.T) action {
		return action{
			kind: rapid.IntRange(0, actionKinds-1).Draw(t, "kind"),
			pause: time.Duration(
				rapid.SampledFrom([]int{0, 0, 1, 20, 300, 1500}).Draw(t, "pause"),
			) * time.Millisecond,
			core: rapid.IntRange(0, 2).Draw(t, "core"),
			some: rapid.IntRange(0, 1000).Draw(t, "some"),
			lasts: time.Duration(
				rapid.SampledFrom([]int{300, 1200, 4000, 20000}).Draw(t, "lasts"),
			) * time.Millisecond,
		}
	})
	return plan{rapid.Uint64().Draw(rt, "seed"), rapid.SliceOfN(one, 25, 80).Draw(rt, "actions")}
}

// machine is one core machine of the model.
type machine struct {
	id, addr string
	fs       *vfs.MemFS
	handler  http.Handler
	core     *core.Core
	stop     context.CancelFunc
	dead     chan struct{}
	handlers *sync.WaitGroup
	end      func()
}

// lab is the fleet and its history.
type lab struct {
	ctx      context.Context
	net      *memnet.Net
	machines []*machine
	addrs    []string
	began    time.Time
	calm     time.Time // from when on the next fault may come

	mu      sync.Mutex
	orders  []*order
	answers []answered
	reads   []seen
	faults  []string
	flying  int
	wg      sync.WaitGroup

	zone zoneOperator
}

// order is one order of an operator, the same however often it is sent.
type order struct {
	name           string
	kind, on, body string
	base, revision int
}

// answered is one answer that a core gave.
type answered struct {
	order            *order
	status           int
	sent, answeredAt time.Duration
}

// seen is one configuration that was read, or acknowledged.
type seen struct {
	revision         int
	name             string // of the route that tells the order
	sent, answeredAt time.Duration
}

func (l *lab) now() time.Duration { return time.Since(l.began) }

func (l *lab) fault(format string, a ...any) {
	l.mu.Lock()
	l.faults = append(l.faults, fmt.Sprintf(format, a...))
	l.mu.Unlock()
}

func (l *lab) start(m *machine, first bool) {
	v, err := storage.Open(storage.Params{Dir: "/data", ID: m.id, Role: "core", FS: m.fs, MinFree: 1 << 20})
	if err != nil {
		l.fault("%s: %v", m.id, err)
		return
	}
	params := core.Params{Zones: []string{"a", "b"}, AckTimeout: time.Second, MoveRate: 500}
	if first {
		params.InitialCoreAddrs = l.addrs
	}
	c, err := core.New(params, node.Params{
		Self:  &wire.Member{Id: m.id, Role: "core", Addr: m.addr, Zone: "a", Ident: v.Ident()},
		Seeds: l.addrs, Net: l.net.Host(m.addr), Transport: transport.DefaultParams, Lease: lease.DefaultParams, Broadcast: broadcast.DefaultParams, Log: hclog.NewNullLogger()}, v)
	if err != nil {
		l.fault("%s: %v", m.id, err)
		return
	}
	ctx, stop := context.WithCancel(l.ctx)
	e := web.New(hclog.NewNullLogger())
	(&Handler{Core: c, Sets: c}).Routes(e)
	began := make(chan error, 1)
	go func() { began <- c.Start(ctx) }()
	handlers := &sync.WaitGroup{}
	l.mu.Lock()
	m.core, m.stop, m.dead, m.handler, m.handlers = c, stop, make(chan struct{}), e, handlers
	l.mu.Unlock()
	m.end = func() {
		<-began
		c.Wait()
		handlers.Wait()
		_ = v.Close()
	}
}

// kill ends a machine's process; what was not synced is lost.
func (l *lab) kill(m *machine) {
	if m.stop == nil {
		return
	}
	l.net.Unfreeze(m.addr)
	m.fs = m.fs.CrashClone(vfs.CrashCloneCfg{})
	l.mu.Lock()
	close(m.dead)
	m.handler = nil
	l.mu.Unlock()
	m.core.Peer.Close()
	m.stop()
	m.stop = nil
	l.wg.Go(m.end)
}

// patience is how long an operator waits for an answer.
const patience = time.Second

// call sends a request to a machine as an operator does. Status 0 is no answer. The
// request goes on after its sender has given up, and on is given its answer whenever
// it comes.
func (l *lab) call(at int, method, path, on, body string, answer func(status int, body string)) int {
	m := l.machines[at]
	l.mu.Lock()
	handler, dead, handlers := m.handler, m.dead, m.handlers
	if handler != nil {
		handlers.Add(1)
	}
	l.mu.Unlock()
	if handler == nil {
		time.Sleep(time.Millisecond)
		return 0
	}
	status := make(chan int, 1)
	l.wg.Go(func() {
		defer handlers.Done()
		time.Sleep(time.Millisecond)
		l.net.WaitWhileFrozen(m.addr)
		q := httptest.NewRequest(method, path, strings.NewReader(body))
		if on != "" {
			q.Header.Set(hBase, on)
		}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, q)
		l.net.WaitWhileFrozen(m.addr)
		select {
		case <-dead:
			return
		default:
		}
		answer(w.Code, w.Body.String())
		status <- w.Code
	})
	t := time.NewTimer(patience)
	defer t.Stop()
	select {
	case s := <-status:
		return s
	case <-dead:
	case <-t.C:
	}
	return 0
}

// send sends an order to a machine once, and writes its answer down.
func (l *lab) send(at int, o *order) int {
	sent := l.now()
	return l.call(at, http.MethodPost, "/v1/configuration/"+o.kind, o.on, o.body, func(status int, _ string) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.answers = append(l.answers, answered{o, status, sent, l.now()})
		if status == http.StatusOK {
			l.reads = append(l.reads, seen{o.revision, "", sent, l.now()})
		}
	})
}

// read reads the configuration back; it gives its revision, or -1.
func (l *lab) read(at int) int {
	sent, revision := l.now(), -1
	s := l.call(at, http.MethodGet, "/v1/configuration/retrieve", "", "", func(status int, body string) {
		if status != http.StatusOK {
			return
		}
		n, name := marker(body)
		l.mu.Lock()
		defer l.mu.Unlock()
		revision = n
		l.reads = append(l.reads, seen{n, name, sent, l.now()})
	})
	if s != http.StatusOK {
		return -1
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return revision
}

// marker finds in a configuration its revision and the order that made it.
func marker(body string) (revision int, name string) {
	var c struct {
		Revision int `json:"revision"`
		Routes   []struct {
			Name string `json:"name"`
			Mark string `json:"mark"`
		} `json:"route-table"`
	}
	if err := json.Unmarshal([]byte(body), &c); err != nil {
		return -1, err.Error()
	}
	for _, r := range c.Routes {
		if r.Name == "mark" {
			name = r.Mark
		}
	}
	return c.Revision, name
}

// make makes a new order on a revision that its operator knows, or on one near it.
func (l *lab) make(some int) *order {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := 0
	for _, r := range l.reads {
		known = max(known, r.revision)
	}
	base := known
	if some%7 == 0 {
		base = max(known-1, 0)
	}
	o := &order{
		name:     fmt.Sprint("o", len(l.orders)),
		kind:     "replace",
		base:     base,
		revision: base + 1 + some%3,
		on:       strconv.Itoa(base),
	}
	token := strings.Replace(route("mark", "/mark/", toS), `"later"`, `"mark":"`+o.name+`","later"`, 1)
	o.body = table(o.revision, token)
	if some%2 == 1 && base > 0 {
		o.kind = "modify"
		o.body = fmt.Sprintf(`{"revision":%d,"upsert":{"route-table":[%s]}}`, o.revision, token)
	}
	l.orders = append(l.orders, o)
	return o
}

// operate sends an order until there is a clear answer, losing some on the way.
func (l *lab) operate(o *order, at int, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 7))
	for try := range 8 {
		status := l.send(at, o)
		lost := rnd.IntN(3) == 0
		if !lost && status >= 200 && status < 500 && status != http.StatusRequestTimeout {
			return
		}
		time.Sleep(time.Duration(1+rnd.IntN(50*(try+1))) * time.Millisecond)
		at = rnd.IntN(len(l.machines))
	}
}

// zoneOperator orders a zone out of service and back, one order after another.
type zoneOperator struct {
	turn    chan struct{} // a mutex would not let simulated time go on
	last    string        // the last order, if it was acknowledged
	unclear bool
}

// zoneOrder sends one order about the zone until it is acknowledged.
func (l *lab) zoneOrder(answer string, at int, seed uint64) {
	l.zone.turn <- struct{}{}
	defer func() { <-l.zone.turn }()
	rnd := rand.New(rand.NewPCG(seed, 9))
	l.zone.last, l.zone.unclear = answer, true
	for range 12 {
		status := l.call(at, http.MethodPost, "/v1/evacuation/a/"+answer, "", "", func(status int, body string) {
			if status >= 400 && status != http.StatusServiceUnavailable {
				l.fault("%s of a zone that there is: %d %s", answer, status, body)
			}
		})
		if status == http.StatusOK && rnd.IntN(3) > 0 {
			l.zone.unclear = false
			return
		}
		time.Sleep(time.Duration(1+rnd.IntN(200)) * time.Millisecond)
		at = rnd.IntN(len(l.machines))
	}
}

// free reports whether a fault may come now; it holds off the next one for a while.
func (l *lab) free(lasts time.Duration) bool {
	if time.Now().Before(l.calm) {
		return false
	}
	l.calm = time.Now().Add(lasts)
	return true
}

// settle is how long after a fault the next one may come; repair, after a lost disk.
const (
	stableAfter = time.Second
	repairTime  = 8 * time.Second
)

func (l *lab) do(a action) {
	time.Sleep(a.pause)
	m := l.machines[a.core]
	switch a.kind {
	case newOrder, newOrder2, newOrder3, oldOrder:
		l.mu.Lock()
		many := l.flying >= 8
		var o *order
		if a.kind == oldOrder && len(l.orders) > 0 {
			o = l.orders[a.some%len(l.orders)]
		}
		l.mu.Unlock()
		if many {
			return
		}
		if o == nil {
			o = l.make(a.some)
		}
		l.mu.Lock()
		l.flying++
		l.mu.Unlock()
		l.wg.Go(func() {
			l.operate(o, a.core, uint64(a.some))
			l.mu.Lock()
			l.flying--
			l.mu.Unlock()
		})
	case readBack:
		l.wg.Go(func() { l.read(a.core) })
	case zoneOrder:
		answer := "initiate"
		if a.some%2 == 0 {
			answer = "terminate"
		}
		l.wg.Go(func() { l.zoneOrder(answer, a.core, uint64(a.some)) })
	case partitionBoth, partitionOneWay:
		if !l.free(a.lasts + stableAfter) {
			return
		}
		l.partitioned(a, true)
		time.AfterFunc(a.lasts, func() { l.partitioned(a, false) })
	case freezeCore:
		if !l.free(a.lasts + stableAfter) {
			return
		}
		l.net.Freeze(m.addr)
		time.AfterFunc(a.lasts, func() { l.net.Unfreeze(m.addr) })
	case restartCore:
		if !l.free(time.Second + stableAfter) {
			return
		}
		l.kill(m)
		time.Sleep(time.Duration(a.some) * time.Millisecond)
		l.start(m, false)
	case wipeCore:
		if !l.free(time.Second + repairTime) {
			return
		}
		l.kill(m)
		m.fs = vfs.NewCrashableMem()
		time.Sleep(time.Duration(a.some) * time.Millisecond)
		l.start(m, false)
	case restartAll:
		if !l.free(3 * time.Second) {
			return
		}
		for _, m := range l.machines {
			l.kill(m)
		}
		time.Sleep(time.Duration(a.some) * time.Millisecond)
		for _, m := range l.machines {
			l.start(m, false)
		}
	}
}

// partitioned cuts a machine off from the others, or joins it.
func (l *lab) partitioned(a action, on bool) {
	m := l.machines[a.core]
	for _, o := range l.machines {
		switch {
		case o == m:
		case a.kind == partitionBoth:
			l.net.SetPartitioned(m.addr, o.addr, on)
		case a.some%2 == 0:
			l.net.SetPartitionedOneWay(m.addr, o.addr, on)
		default:
			l.net.SetPartitionedOneWay(o.addr, m.addr, on)
		}
	}
}

// play runs a plan and tells what is wrong with its history.
func play(t *testing.T, p plan) (l *lab) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		l = &lab{ctx: ctx, net: memnet.New(p.seed), began: time.Now()}
		l.zone.turn = make(chan struct{}, 1)
		for i := range 3 {
			addr := fmt.Sprintf("10.0.0.%d:7000", i+1)
			l.addrs = append(l.addrs, addr)
			l.machines = append(l.machines, &machine{id: fmt.Sprint("c", i), addr: addr, fs: vfs.NewCrashableMem()})
		}
		for _, m := range l.machines {
			l.start(m, true)
		}
		time.Sleep(3 * time.Second)
		first := l.make(2)
		if got := l.send(0, first); got != http.StatusOK {
			l.fault("the first configuration: %d", got)
		}
		for _, a := range p.actions {
			l.do(a)
		}
		// All faults end and all operators come to an end.
		time.Sleep(time.Until(l.calm) + 30*time.Second)
		l.last()
		for _, m := range l.machines {
			l.kill(m)
		}
		stop()
		l.wg.Wait()
		time.Sleep(time.Minute)
	})
	l.judge()
	return l
}

// last reads back what is in force at the end, from every machine.
func (l *lab) last() {
	for i := range l.machines {
		if l.read(i) < 0 {
			l.fault("at the end machine %d gives no configuration", i)
		}
	}
	empty := l.machines[0].core.Cluster.Now().Spec.EmptyZones
	l.zone.turn <- struct{}{}
	defer func() { <-l.zone.turn }()
	if want := l.zone.last == "initiate"; l.zone.last != "" && !l.zone.unclear && want != (len(empty) > 0) {
		l.fault("the last acknowledged order is to %s the evacuation, empty zones are %v", l.zone.last, empty)
	}
	// Every order is sent once more: what was taken must not be refused now either.
	for i, o := range l.orders {
		l.send(i%len(l.machines), o)
	}
}

// judge checks the history.
func (l *lab) judge() {
	taken, refused := map[*order]bool{}, map[*order]int{}
	byRevision, byBase, byName := map[int]*order{}, map[int]*order{}, map[string]*order{}
	for _, o := range l.orders {
		byName[o.name] = o
	}
	record := func(by map[int]*order, n int, what string, o *order) {
		if other := by[n]; other != nil && other != o {
			l.fault("%s %d is acknowledged for %+v and %+v", what, n, other, o)
		}
		by[n] = o
	}
	for _, a := range l.answers {
		switch a.status {
		case http.StatusOK:
			taken[a.order] = true
			record(byRevision, a.order.revision, "revision", a.order)
			record(byBase, a.order.base, "base", a.order)
		case http.StatusPreconditionFailed, http.StatusBadRequest, http.StatusConflict, http.StatusNotFound:
			refused[a.order] = a.status
		case http.StatusServiceUnavailable:
		default:
			l.fault("%+v is answered %d", a.order, a.status)
		}
	}
	for _, r := range l.reads {
		if r.name == "" {
			continue
		}
		o := byName[r.name]
		if o == nil || o.revision != r.revision {
			l.fault("revision %d is read with the content of %+v", r.revision, o)
			continue
		}
		taken[o] = true
		record(byRevision, o.revision, "revision", o)
		record(byBase, o.base, "base", o)
	}
	for o := range taken {
		if s := refused[o]; s > 0 {
			l.fault("%+v was taken and is answered %d", o, s)
		}
	}
	// Whoever asks later finds nothing older.
	for _, r := range l.reads {
		if r.name == "" {
			continue
		}
		for _, before := range l.reads {
			if before.answeredAt < r.sent && before.revision > r.revision {
				l.fault(
					"revision %d is read from %s on, though %d was known at %s",
					r.revision,
					r.sent,
					before.revision,
					before.answeredAt,
				)
			}
		}
	}
}

// histories is how many plans are played.
func histories(t *testing.T) int {
	n, err := strconv.Atoi(os.Getenv("ORDERS_HISTORIES"))
	if err != nil || n <= 0 {
		return 15
	}
	t.Logf("%d histories", n)
	return n
}

// TestOrdersModel: under cuts, freezes, restarts and lost disks, with orders of two
// operators that race, lose answers and are sent again, each number is acknowledged
// for one change, what was taken is never refused, and nothing old is read as the
// newest.
func TestOrdersModel(t *testing.T) {
	n := 0
	most := histories(t)
	orders, answers := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		if n++; n > most {
			return
		}
		l := play(t, p)
		orders += len(l.orders)
		answers += len(l.answers)
		if len(l.faults) > 0 {
			rt.Fatalf("%s", strings.Join(l.faults, "\n"))
		}
	})
	t.Logf("%d histories, %d orders, %d answers", min(n, most), orders, answers)
}
