package register_test

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/proto"

	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// The model drives the true Acceptor and Proposer by one scheduler, which takes one
// event at a time: everything is blocked (synctest.Wait) before the next is drawn
// from the history's seed. Each fault is on in half of the histories.

// modelKey is the register that all clients change.
const modelKey = "k"

// fault is one kind of fault that the adversary may cause.
type fault int

const (
	faultLoss        fault = iota // requests and answers vanish
	faultDuplicate                // a request arrives twice; either answer may be heard
	faultReorder                  // what waits is delivered in any order
	faultCrash                    // an acceptor's process is killed
	faultPower                    // an acceptor's machine loses power
	faultBlackout                 // all machines lose power at once
	faultWipe                     // an acceptor's disk is exchanged for an empty one
	faultFreeze                   // an acceptor stands still
	faultDisk                     // a write fails, and may or may not have been made
	faultDieInSave                // power goes while a write is made
	faultClientStop               // a proposer's process starts anew
	faultClientSleep              // a proposer stands still between two of its steps
	faultClock                    // a proposer's time of day jumps by hours
	faultSets                     // the voters change
	faultRepair                   // acceptors adopt what others have accepted
	faultOlder                    // some acceptors are of a version that promises no next ballot
	faultCount
)

var faultNames = [faultCount]string{
	"loss",
	"duplicate",
	"reorder",
	"crash",
	"power",
	"blackout",
	"wipe",
	"freeze",
	"disk",
	"die in save",
	"client stop",
	"client sleep",
	"clock",
	"sets",
	"repair",
	"older version",
}

// saveOutcome is what comes of a write.
type saveOutcome int

const (
	saveSynced       saveOutcome = iota
	saveNothing                  // an error, nothing written
	saveVisible                  // an error, written but not synced
	saveSyncedFailed             // an error, though it was synced
)

// modelDisk tells what is synced from what is only seen as long as power stays.
type modelDisk struct {
	synced, seen map[string][]byte
	next         saveOutcome // of the next write
	failed       int
}

func newModelDisk() *modelDisk {
	return &modelDisk{synced: map[string][]byte{}, seen: map[string][]byte{}}
}

func (d *modelDisk) Load(key string) (*wire.Rec, error) {
	r := &wire.Rec{}
	return r, proto.Unmarshal(d.seen[key], r)
}

func (d *modelDisk) Save(key string, r *wire.Rec) error {
	b, err := proto.Marshal(r)
	if err != nil {
		return err
	}
	outcome := d.next
	d.next = saveSynced
	if outcome != saveNothing {
		d.seen[key] = b
	}
	if outcome == saveSynced || outcome == saveSyncedFailed {
		d.synced[key] = b
	}
	if outcome != saveSynced {
		d.failed++
		return code.New(code.DiskFailure, "write failed")
	}
	return nil
}

// reopen is what the storage engine does at start: what its log shows is synced.
func (d *modelDisk) reopen(powerLost, torn bool) {
	if powerLost && !torn {
		d.seen = maps.Clone(d.synced)
	}
	d.synced = maps.Clone(d.seen)
	d.next = saveSynced
}

// floor is the least that an identity may ever show of a key again.
type floor struct{ promised, accepted *wire.Ballot }

// machine is one acceptor's place.
type machine struct {
	addr, ident string
	start       int // of its process
	disk        *modelDisk
	acceptor    *register.Acceptor
	view        int // index of the view that it has in force
	frozen      bool
	older       bool // its version knows no next ballot
}

// view is one version of the voters. Its version is its index and one.
type view struct{ set register.Set }

// message is a request on its way, or its answer.
type message struct {
	client, op int
	addr       string
	request    *wire.Req
	reply      chan modelReply
	answered   *modelReply // the answer on its way back
	served     *bool       // shared by a request and its repetitions
	apply      func()      // of what is no call: a repair or a copy
}

type modelReply struct {
	resp *wire.Resp
	err  error
}

// modelClient is one proposer's process and the caller behind it.
type modelClient struct {
	id     int
	clock  time.Duration // its time of day beside the true one
	view   int
	stop   context.CancelFunc
	done   bool
	random *rand.Rand
	short  uint64
}

// history is one run of the model.
type history struct {
	t        *testing.T
	seed     uint64
	random   *rand.Rand
	on       [faultCount]bool
	fired    [faultCount]int
	lossRate int

	mu         sync.Mutex
	posted     []*message
	waiting    []*message
	machines   []*machine
	views      []view
	used       map[string]bool // identities that were expired
	filled     map[string]map[string]bool
	idents     int
	floors     map[string]*floor
	proposed   map[string]*wire.Cell
	clients    []*modelClient
	nodes      uint64
	ops        []porcupine.Operation
	allRefused []string // words of changes that were answered 'no'
	outcomes   map[string]int
	start      time.Time
	steps      int
	faulty     bool
	bad        []string
}

const (
	modelMachines = 6
	modelVoters   = 3
	modelFull     = 60 // letters at which a change is refused
	outcomeLength = 3
	maxSteps      = 6000
)

func newHistory(t *testing.T, seed uint64) *history {
	h := &history{
		t:        t,
		seed:     seed,
		random:   rand.New(rand.NewPCG(seed, 11)),
		used:     map[string]bool{},
		filled:   map[string]map[string]bool{},
		floors:   map[string]*floor{},
		proposed: map[string]*wire.Cell{},
		outcomes: map[string]int{},
		start:    time.Now(),
		faulty:   true,
	}
	for f := range faultCount {
		h.on[f] = h.random.IntN(2) == 0
	}
	h.lossRate = 1 + h.random.IntN(20)
	for i := range modelMachines {
		m := &machine{addr: fmt.Sprintf("a%d", i), disk: newModelDisk()}
		m.older = h.on[faultOlder] && h.chance(500)
		h.renew(m)
		h.machines = append(h.machines, m)
	}
	var group []register.Replica
	for _, m := range h.machines[:modelVoters] {
		group = append(group, m.replica())
	}
	h.views = []view{{set: register.Set{group}}}
	return h
}

func (m *machine) replica() register.Replica { return register.Replica{Addr: m.addr, Ident: m.ident} }

// renew gives a machine an empty disk and with it a new identity.
func (h *history) renew(m *machine) {
	h.idents++
	m.ident = fmt.Sprintf("%s-%d", m.addr, h.idents)
	m.disk = newModelDisk()
	h.floors[m.ident] = &floor{}
	h.restart(m)
}

func (h *history) restart(m *machine) {
	m.start++
	m.frozen = false
	m.acceptor = register.NewAcceptor(m.disk)
}

func (h *history) fail(format string, args ...any) {
	h.bad = append(h.bad, fmt.Sprintf(format, args...))
}

// chance is true in so many of a thousand cases.
func (h *history) chance(perMille int) bool { return h.random.IntN(1000) < perMille }

// hits reports whether a fault strikes now, and counts it.
func (h *history) hits(f fault, perMille int) bool {
	if !h.faulty || !h.on[f] || !h.chance(perMille) {
		return false
	}
	h.fired[f]++
	return true
}

type clientKey struct{}

// call is the network as a proposer sees it.
func (h *history) call(ctx context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
	from := ctx.Value(clientKey{}).([2]int)
	m := &message{
		client:  from[0],
		op:      from[1],
		addr:    addr,
		request: proto.Clone(q).(*wire.Req),
		reply:   make(chan modelReply, 2),
		served:  new(bool),
	}
	h.mu.Lock()
	h.posted = append(h.posted, m)
	h.mu.Unlock()
	select {
	case r := <-m.reply:
		return r.resp, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func requestBallot(q *wire.Req) *wire.Ballot {
	if p := q.GetPrep(); p != nil {
		return p.Ballot
	}
	return q.Accept().GetBallot()
}

// collect takes what was posted since the last step, in an order that does not hang
// on which goroutine ran first.
func (h *history) collect() {
	slices.SortFunc(h.posted, func(a, b *message) int {
		return cmp.Or(
			cmp.Compare(a.client, b.client),
			cmp.Compare(a.op, b.op),
			wire.CompareBallots(requestBallot(a.request), requestBallot(b.request)),
			cmp.Compare(fmt.Sprintf("%T", a.request.Op), fmt.Sprintf("%T", b.request.Op)),
			cmp.Compare(a.addr, b.addr),
		)
	})
	for _, m := range h.posted {
		h.checkProposed(m.request.Accept())
		if h.hits(faultLoss, h.lossRate*10) {
			continue
		}
		h.waiting = append(h.waiting, m)
		if h.hits(faultDuplicate, 100) {
			again := *m
			h.waiting = append(h.waiting, &again)
		}
	}
	h.posted = nil
}

// checkProposed: one value a ballot.
func (h *history) checkProposed(q *wire.Acc) {
	if q == nil {
		return
	}
	id := fmt.Sprintf("%d %d", q.Ballot.N, q.Ballot.Node)
	if c := h.proposed[id]; c == nil {
		h.proposed[id] = proto.Clone(q.Cell).(*wire.Cell)
	} else if !proto.Equal(c, q.Cell) {
		h.fail("two values under ballot %s: %v and %v", id, c, q.Cell)
	}
}

func (h *history) at(addr string) *machine {
	return h.machines[slices.IndexFunc(h.machines, func(m *machine) bool { return m.addr == addr })]
}

// deliver takes one message that may go on now a step further.
func (h *history) deliver() bool {
	var ready []int
	for i, m := range h.waiting {
		if m.answered != nil || !h.at(m.addr).frozen {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return false
	}
	pick := ready[0]
	if h.on[faultReorder] || !h.faulty {
		pick = ready[h.random.IntN(len(ready))]
		h.fired[faultReorder]++
	}
	m := h.waiting[pick]
	h.waiting = slices.Delete(h.waiting, pick, pick+1)
	switch {
	case m.apply != nil:
		m.apply()
	case m.answered != nil:
		m.reply <- *m.answered
	default:
		h.serve(m)
	}
	return true
}

// serve has the machine answer a request.
func (h *history) serve(m *message) {
	at := h.at(m.addr)
	dies := h.hits(faultDieInSave, 5)
	if dies {
		at.disk.next = saveOutcome(h.random.IntN(int(saveSyncedFailed) + 1))
	}
	again := *m.served
	*m.served = true
	v, err := h.answer(at, m.request)
	switch code.Of(err) {
	case code.WrongIdentity, code.NotVoting, code.StaleSpec:
		// Refused without a read of the record: that none is taken later rests on the
		// transport, which sends the frame of a call once.
		h.waiting = slices.DeleteFunc(
			h.waiting,
			func(o *message) bool { return o.answered == nil && o.served == m.served },
		)
	}
	if dies {
		h.losePower(at)
		return
	}
	h.checkView(at, m.request, v, err)
	resp := proto.Clone(&wire.Resp{Op: &wire.Resp_View{View: v}}).(*wire.Resp)
	if again && err != nil && wire.CompareBallots(v.GetAccepted(), requestBallot(m.request)) != 0 {
		// The transport sends the frame of a call once: a refusal that is not the first
		// answer is not heard, but for one that shows the ballot as accepted.
		return
	}
	if !h.hits(faultLoss, h.lossRate*10) {
		m.answered = &modelReply{resp, err}
		h.waiting = append(h.waiting, m)
	}
}

// answer is what the product does around the acceptor: it refuses another identity,
// one that is in no set, and a sender of older sets.
func (h *history) answer(at *machine, q *wire.Req) (*wire.View, error) {
	if q.Ident != at.ident {
		return nil, code.New(code.WrongIdentity, "%s", at.ident)
	}
	if !slices.Contains(h.views[at.view].set.All(), at.replica()) {
		return nil, code.New(code.NotVoting, "%s", at.ident)
	}
	if q.Spec < uint64(at.view)+1 {
		return nil, code.New(code.StaleSpec, "version %d, %d is in force", q.Spec, at.view+1)
	}
	if acc := q.Accept(); acc != nil && at.older {
		h.fired[faultOlder]++
		return at.acceptor.Accept(&wire.Acc{Key: acc.Key, Ballot: acc.Ballot, Cell: acc.Cell})
	}
	return at.acceptor.Answer(q)
}

// checkView holds an answer against what the identity has shown before.
func (h *history) checkView(at *machine, q *wire.Req, v *wire.View, err error) {
	f := h.floors[at.ident]
	if v != nil {
		if wire.CompareBallots(v.Promised, f.promised) < 0 || wire.CompareBallots(v.Accepted, f.accepted) < 0 {
			h.fail(
				"%s shows promised %v accepted %v after promised %v accepted %v",
				at.ident,
				v.Promised,
				v.Accepted,
				f.promised,
				f.accepted,
			)
		}
		f.promised, f.accepted = proto.Clone(v.Promised).(*wire.Ballot), proto.Clone(v.Accepted).(*wire.Ballot)
	}
	if err != nil {
		return
	}
	ballot := requestBallot(q)
	if ballot != nil && wire.CompareBallots(v.Promised, ballot) < 0 {
		h.fail("%s answers well to %v and has promised %v", at.ident, ballot, v.Promised)
	}
	if q.Accept() != nil && wire.CompareBallots(v.Accepted, ballot) < 0 {
		h.fail("%s answers well to the accept of %v and has accepted %v", at.ident, ballot, v.Accepted)
	}
}

// losePower restarts a machine with what was synced, and perhaps with what was not.
func (h *history) losePower(m *machine) {
	m.disk.reopen(true, h.chance(300))
	h.restart(m)
	h.checkFloor(m)
}

// checkFloor: whatever an identity has answered is on its disk for good.
func (h *history) checkFloor(m *machine) {
	r, err := m.disk.Load(modelKey)
	if err != nil {
		h.fail("%s: %v", m.ident, err)
	}
	f := h.floors[m.ident]
	if wire.CompareBallots(r.Promised, f.promised) < 0 || wire.CompareBallots(r.Accepted, f.accepted) < 0 {
		h.fail(
			"%s came back with promised %v accepted %v, answered before promised %v accepted %v",
			m.ident,
			r.Promised,
			r.Accepted,
			f.promised,
			f.accepted,
		)
	}
}

func (h *history) anyMachine() *machine { return h.machines[h.random.IntN(len(h.machines))] }

// injectFault lets each fault strike with its own chance.
func (h *history) injectFault() {
	if h.hits(faultCrash, 8) {
		m := h.anyMachine()
		m.disk.reopen(false, false)
		h.restart(m)
		h.checkFloor(m)
	}
	if h.hits(faultPower, 8) {
		h.losePower(h.anyMachine())
	}
	for _, m := range h.machines {
		// Where a write has failed power is lost sooner.
		if !maps.EqualFunc(m.disk.seen, m.disk.synced, bytes.Equal) && h.hits(faultPower, 20) {
			h.losePower(m)
		}
	}
	if h.hits(faultBlackout, 2) {
		for _, m := range h.machines {
			h.losePower(m)
		}
	}
	if h.hits(faultWipe, 6) {
		if m := h.anyMachine(); h.spares(m) {
			m.view = 0
			h.renew(m)
		}
	}
	if h.hits(faultFreeze, 10) {
		m := h.anyMachine()
		m.frozen = true
	}
	if m := h.anyMachine(); m.frozen && h.chance(100) {
		m.frozen = false
	}
	if h.hits(faultDisk, 20) {
		h.anyMachine().disk.next = saveOutcome(1 + h.random.IntN(int(saveSyncedFailed)))
	}
	if h.hits(faultClientStop, 4) {
		c := h.clients[h.random.IntN(len(h.clients))]
		if c.stop != nil {
			c.stop()
		}
	}
	if h.hits(faultClock, 8) {
		h.clients[h.random.IntN(len(h.clients))].clock = time.Duration(h.random.IntN(20)-10) * time.Hour
	}
	if h.hits(faultSets, 20) {
		h.moveSets()
	}
	if m := h.anyMachine(); m.view < len(h.views)-1 && h.chance(100) {
		h.learn(m)
	}
	if h.hits(faultRepair, 30) {
		h.repair()
	}
}

// exists reports whether the identity is still some machine's.
func (h *history) exists(r register.Replica) bool { return h.at(r.Addr).ident == r.Ident }

// spares: without the machine's identity a majority of each group is left, now and
// in whatever the change under way may come to.
func (h *history) spares(m *machine) bool {
	for _, group := range h.views[len(h.views)-1].set {
		left := 0
		for _, r := range group {
			if r != m.replica() && h.exists(r) {
				left++
			}
		}
		if left*2 <= len(group) {
			return false
		}
	}
	return true
}

// learn puts the newest view in force at a machine. One that was expired comes back
// as a stranger.
func (h *history) learn(m *machine) {
	m.view = len(h.views) - 1
	if h.used[m.ident] {
		h.renew(m)
	}
}

// moveSets brings a change of the voters a step further, or begins one.
func (h *history) moveSets() {
	now := h.views[len(h.views)-1]
	if len(now.set) == 1 {
		if next := h.nextGroup(now.set[0]); next != nil {
			h.views = append(h.views, view{set: register.Set{now.set[0], next}})
			h.filled = map[string]map[string]bool{}
		}
		return
	}
	old, next := now.set[0], now.set[1]
	if h.chance(50) || slices.ContainsFunc(next, func(r register.Replica) bool { return !h.exists(r) }) {
		h.endMove(old, next, old)
		return
	}
	remove := true
	for _, r := range next {
		if len(h.filled[r.Ident])*2 <= len(old) {
			remove = false
			h.bring(old, r)
		}
	}
	if remove {
		h.endMove(old, old, next)
	}
}

// endMove lets one group stand alone; who is in none any more is never taken again.
func (h *history) endMove(a, b, stays []register.Replica) {
	for _, r := range slices.Concat(a, b) {
		if !slices.Contains(stays, r) {
			h.used[r.Ident] = true
		}
	}
	h.views = append(h.views, view{set: register.Set{stays}})
}

// nextGroup exchanges one voter, or two, for other machines.
func (h *history) nextGroup(now []register.Replica) []register.Replica {
	next := slices.Clone(now)
	for range 1 + h.random.IntN(2) {
		m := h.anyMachine()
		if h.used[m.ident] || slices.ContainsFunc(next, func(r register.Replica) bool { return r.Ident == m.ident }) {
			continue
		}
		i := slices.IndexFunc(next, func(r register.Replica) bool { return r.Addr == m.addr })
		if i < 0 {
			i = h.random.IntN(len(next))
		}
		next[i] = m.replica()
	}
	if slices.Equal(next, now) {
		return nil
	}
	return next
}

// bring sends a new voter one old voter's copy. It may come late, when the change is
// over, and also to one that is in the old set itself. Who gives it has the change in force,
// and so refuses who goes by the old voters alone.
func (h *history) bring(old []register.Replica, to register.Replica) {
	from := old[h.random.IntN(len(old))]
	giver, taker, version := h.at(from.Addr), h.at(to.Addr), len(h.views)-1
	if !h.exists(from) || giver.frozen || giver.view < version || taker.view < version ||
		h.filled[to.Ident][from.Ident] {
		return
	}
	v, err := giver.acceptor.Read(&wire.Look{Key: modelKey})
	if err != nil {
		return
	}
	copied := &wire.Copy{Key: modelKey, Rec: proto.Clone(&wire.Rec{Accepted: v.Accepted, Cell: v.Cell}).(*wire.Rec)}
	start := taker.start
	h.waiting = append(h.waiting, &message{addr: to.Addr, apply: func() {
		if taker.start != start {
			return
		}
		if _, err := taker.acceptor.Import([]*wire.Copy{copied}, func(all map[string]*wire.Rec) error { return taker.disk.Save(modelKey, all[modelKey]) }); err != nil {
			return
		}
		if h.filled[to.Ident] == nil {
			h.filled[to.Ident] = map[string]bool{}
		}
		h.filled[to.Ident][from.Ident] = true
	}})
}

// repair sends one voter's copy to another, which adopts it.
func (h *history) repair() {
	all := h.views[len(h.views)-1].set.All()
	from, to := all[h.random.IntN(len(all))], all[h.random.IntN(len(all))]
	if from == to || !h.exists(from) || !h.exists(to) {
		return
	}
	v, err := h.at(from.Addr).acceptor.Read(&wire.Look{Key: modelKey})
	if err != nil {
		return
	}
	v = proto.Clone(v).(*wire.View)
	taker := h.at(to.Addr)
	start := taker.start
	h.waiting = append(h.waiting, &message{addr: to.Addr, apply: func() {
		if taker.start == start {
			_ = taker.acceptor.Adopt(modelKey, v)
		}
	}})
}

// run plays the history and checks it.
func (h *history) run(clients, opsEach int) {
	var wg sync.WaitGroup
	for i := range clients {
		c := &modelClient{id: i, random: rand.New(rand.NewPCG(h.seed, 100+uint64(i)))}
		h.clients = append(h.clients, c)
		wg.Go(func() { h.client(c, opsEach) })
	}
	for ; !h.allDone(); h.steps++ {
		synctest.Wait()
		if pause := h.step(); pause > 0 {
			time.Sleep(pause)
		}
	}
	wg.Wait()
	h.heal()
	h.last()
	h.check()
}

// step is one turn of the scheduler; it tells for how long nothing is to be done.
func (h *history) step() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.collect()
	if h.steps == maxSteps {
		h.heal()
	}
	h.injectFault()
	if h.chance(150) || !h.deliver() {
		return time.Duration(1+h.random.IntN(20_000)) * time.Microsecond
	}
	return 0
}

func (h *history) allDone() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !slices.ContainsFunc(h.clients, func(c *modelClient) bool { return !c.done })
}

// heal ends all faults and brings everybody up to date.
func (h *history) heal() {
	h.faulty = false
	for _, m := range h.machines {
		m.frozen = false
		m.disk.next = saveSynced
		h.learn(m)
	}
}

// last reads through a new proposer once all is well, and lets what is still under
// way arrive.
func (h *history) last() {
	c := &modelClient{id: len(h.clients), random: rand.New(rand.NewPCG(h.seed, 99)), clock: -20 * time.Hour}
	h.clients = append(h.clients, c)
	for range 2 {
		h.mu.Lock()
		c.done = false
		c.view = len(h.views) - 1
		h.mu.Unlock()
		go func() {
			h.operate(c, h.proposer(c), 0, true, time.Minute)
			h.mu.Lock()
			c.done = true
			h.mu.Unlock()
		}()
		for !h.allDone() || len(h.waiting) > 0 {
			synctest.Wait()
			h.mu.Lock()
			h.collect()
			delivered := h.deliver()
			h.mu.Unlock()
			if !delivered {
				time.Sleep(time.Millisecond)
			}
		}
	}
	if n := h.outcomes["last read"]; n != 2 {
		h.fail("%d of 2 last reads", n)
	}
	time.Sleep(2 * time.Second)
}

// proposer starts a client's process anew.
func (h *history) proposer(c *modelClient) *register.Proposer {
	h.mu.Lock()
	h.nodes++
	p := register.NewProposer(uint64(c.id+1)<<32|uint64(c.random.Uint32()), h.call)
	h.mu.Unlock()
	p.RoundTimeout = 100 * time.Millisecond
	p.Clock = func() time.Time {
		h.mu.Lock()
		defer h.mu.Unlock()
		return time.Now().Add(c.clock)
	}
	p.Random = c.random.Uint64
	return p
}

// client makes one operation after another.
func (h *history) client(c *modelClient, ops int) {
	p := h.proposer(c)
	for i := range ops {
		if c.random.IntN(3) == 0 {
			time.Sleep(time.Duration(c.random.IntN(200)) * time.Millisecond)
		}
		h.mu.Lock()
		c.view = max(c.view, len(h.views)-1-c.random.IntN(2))
		h.mu.Unlock()
		most := 400 * time.Millisecond
		if c.random.IntN(5) == 0 {
			most = 5 * time.Second
		}
		stopped := h.operate(c, p, i, c.random.IntN(4) == 0, most)
		if stopped {
			c.short += p.OneRound.Load()
			p = h.proposer(c)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	c.short += p.OneRound.Load()
	c.done = true
}

// operate makes one read or change and records what came of it.
func (h *history) operate(
	c *modelClient,
	p *register.Proposer,
	number int,
	read bool,
	most time.Duration,
) (stopped bool) {
	v := c.view
	ctx, stop := context.WithTimeout(context.WithValue(h.t.Context(), clientKey{}, [2]int{c.id, number}), most)
	defer stop()
	ctx = register.WithVersion(ctx, uint64(v)+1, c.random.IntN(8) == 0)
	ctx, halt := context.WithCancel(ctx)
	defer halt()
	h.mu.Lock()
	c.stop = func() { stopped = true; halt() }
	set := h.views[v].set
	h.mu.Unlock()
	in := input{read: read, nextCell: fmt.Sprintf("%c%02d", 'a'+c.id, number)}
	at := int64(time.Since(h.start))
	var st register.State
	var err error
	if read {
		st, err = p.Read(ctx, set, modelKey)
	} else {
		st, err = p.Change(ctx, set, modelKey, h.appender(c, in.nextCell))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	c.stop = nil
	h.recordOperation(c, in, at, st, err)
	return stopped
}

// appender adds a word, and may stand still before it does.
func (h *history) appender(c *modelClient, outcome string) register.UpdateFunc {
	return func(s register.State) ([]byte, bool, error) {
		if h.on[faultClientSleep] && c.random.IntN(10) == 0 {
			time.Sleep(time.Duration(c.random.IntN(3000)) * time.Millisecond)
			h.mu.Lock()
			h.fired[faultClientSleep]++
			h.mu.Unlock()
		}
		if len(s.Value) >= modelFull {
			return nil, false, errFull
		}
		return append(bytes.Clone(s.Value), outcome...), false, nil
	}
}

// recordOperation puts an operation into the history.
func (h *history) recordOperation(c *modelClient, in input, at int64, st register.State, err error) {
	op := porcupine.Operation{
		ClientId: c.id,
		Input:    in,
		Call:     at,
		Output:   string(st.Value),
		Return:   int64(time.Since(h.start)),
	}
	switch {
	case in.read && err != nil:
		h.outcomes["read failed"]++
		return
	case in.read && c.id == len(h.clients)-1 && !h.faulty:
		h.outcomes["last read"]++
	case in.read:
		h.outcomes["read"]++
	case errors.Is(err, errFull):
		h.outcomes["full"]++
		h.allRefused = append(h.allRefused, in.nextCell)
		op.Output = "full"
	case errors.Is(err, register.ErrUncertain):
		h.outcomes["maybe"]++
		op.Return, op.Output, op.ClientId = 1<<62, "maybe:"+in.nextCell, 1000+len(h.ops)
	case err != nil:
		h.outcomes["no"]++
		h.allRefused = append(h.allRefused, in.nextCell)
		return
	default:
		h.outcomes["changed"]++
		i := strings.Index(string(st.Value), in.nextCell)
		if i < 0 {
			h.fail("%s is said to be chosen, the value is %q", in.nextCell, st.Value)
			return
		}
		op.Output = string(st.Value)[:i+outcomeLength]
	}
	h.ops = append(h.ops, op)
}

// check holds the complete history against the promises.
func (h *history) check() {
	seen := longest(h.ops)
	for _, outcome := range h.allRefused {
		if strings.Contains(seen, outcome) {
			h.fail("%s was answered 'no' and is in %q", outcome, seen)
		}
	}
	if !explainedWords(h.ops, seen) {
		h.fail("not linearizable:\n%s", written(h.ops))
	}
	for _, m := range h.machines {
		h.checkFloor(m)
	}
	for _, b := range h.bad {
		h.t.Errorf("seed %d: %s", h.seed, b)
	}
}

// written lists a history in the order of its calls.
func written(ops []porcupine.Operation) string {
	ops = slices.Clone(ops)
	slices.SortFunc(ops, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	var out strings.Builder
	for _, o := range ops {
		fmt.Fprintf(
			&out,
			"%v-%v client %d %+v: %v\n",
			time.Duration(o.Call),
			time.Duration(o.Return),
			o.ClientId,
			o.Input,
			o.Output,
		)
	}
	return out.String()
}

func longest(ops []porcupine.Operation) string {
	seen := ""
	for _, o := range ops {
		if s := o.Output.(string); len(s) > len(seen) && s != "full" && !strings.HasPrefix(s, "maybe:") {
			seen = s
		}
	}
	return seen
}

// explainedWords checks the history, each doubtful change taken or left out as the
// values read show.
func explainedWords(ops []porcupine.Operation, seen string) bool {
	var h []porcupine.Operation
	for _, o := range ops {
		if outcome, ok := strings.CutPrefix(o.Output.(string), "maybe:"); ok {
			at := strings.Index(seen, outcome)
			if at < 0 {
				continue
			}
			o.Output = seen[:at+outcomeLength]
		}
		h = append(h, o)
	}
	return porcupine.CheckOperations(model(modelFull), h)
}

// modelHistories is how many histories are played; REG_HISTORIES asks for more and
// REG_SEED for others.
const modelHistories = 200

// TestModel plays seeded histories against the adversary.
func TestModel(t *testing.T) {
	first, count := number(t, "REG_SEED", 0), number(t, "REG_HISTORIES", modelHistories)
	var fired [faultCount]int
	outcomes := map[string]int{}
	steps, short := 0, uint64(0)
	began := time.Now()
	for seed := first; seed < first+count && !t.Failed(); seed++ {
		synctest.Test(t, func(t *testing.T) {
			h := newHistory(t, uint64(seed))
			h.run(3+int(seed%2), 12)
			for f := range fired {
				fired[f] += h.fired[f]
			}
			for k, n := range h.outcomes {
				outcomes[k] += n
			}
			for _, c := range h.clients {
				short += c.short
			}
			steps += h.steps
		})
	}
	t.Logf(
		"%d histories, %d steps, %s; %v, %d in one round",
		count,
		steps,
		time.Since(began).Round(10*time.Millisecond),
		outcomes,
		short,
	)
	for f, n := range fired {
		t.Logf("%s: %d", faultNames[f], n)
		if n == 0 && count >= modelHistories {
			t.Errorf("%s did not happen", faultNames[f])
		}
	}
	for _, k := range []string{"changed", "maybe", "no", "full", "read"} {
		if outcomes[k] == 0 && count >= modelHistories {
			t.Errorf("no operation ended as %q", k)
		}
	}
}

func number(t *testing.T, name string, otherwise int) int {
	s := os.Getenv(name)
	if s == "" {
		return otherwise
	}
	n, err := strconv.Atoi(s)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}
