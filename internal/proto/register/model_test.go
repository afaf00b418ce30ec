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

// The model test drives the real Acceptor and Proposer from one scheduler, which executes one
// event at a time: all goroutines are blocked (synctest.Wait) before the next event is drawn
// from the history's seed. Each kind of fault is enabled in half of the histories.

// modelKey is the key of the register that all clients change.
const modelKey = "k"

// fault is a kind of fault that the scheduler injects.
type fault int

const (
	faultLoss        fault = iota // requests and replies are lost
	faultDuplicate                // a request arrives twice; either reply may be received
	faultReorder                  // pending messages are delivered in any order
	faultCrash                    // an acceptor's process crashes
	faultPower                    // an acceptor's machine loses power
	faultBlackout                 // all machines lose power at once
	faultWipe                     // an acceptor's disk is replaced by an empty one
	faultFreeze                   // an acceptor is suspended
	faultDisk                     // a write fails, although it may have been made
	faultPowerInSave              // an acceptor's machine loses power during a write
	faultClientStop               // a proposer's process restarts
	faultClientSleep              // a proposer is suspended between two of its steps
	faultClock                    // a proposer's time of day jumps by hours
	faultSets                     // the voters change
	faultRepair                   // acceptors adopt cells that others have accepted
	faultOldRelease               // some acceptors are of a release that does not promise a next ballot
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
	"power loss in save",
	"client stop",
	"client sleep",
	"clock",
	"sets",
	"repair",
	"old release",
}

// saveOutcome is the result of a write.
type saveOutcome int

const (
	saveSynced       saveOutcome = iota
	saveNothing                  // an error, nothing written
	saveVisible                  // an error, written but not synced
	saveSyncedFailed             // an error, though it was synced
)

// modelDisk distinguishes synced records from records that are visible only until a power loss.
type modelDisk struct {
	synced, visible map[string][]byte
	nextSave        saveOutcome // of the next write
	failed          int
}

func newModelDisk() *modelDisk {
	return &modelDisk{synced: map[string][]byte{}, visible: map[string][]byte{}}
}

func (d *modelDisk) Load(key string) (*wire.Rec, error) {
	record := &wire.Rec{}
	return record, proto.Unmarshal(d.visible[key], record)
}

func (d *modelDisk) Save(key string, record *wire.Rec) error {
	encoded, err := proto.Marshal(record)
	if err != nil {
		return err
	}
	outcome := d.nextSave
	d.nextSave = saveSynced
	if outcome != saveNothing {
		d.visible[key] = encoded
	}
	if outcome == saveSynced || outcome == saveSyncedFailed {
		d.synced[key] = encoded
	}
	if outcome != saveSynced {
		d.failed++
		return code.New(code.DiskFailure, "write failed")
	}
	return nil
}

// reopen does what the storage engine does at start: every record that its log contains is
// synced.
func (d *modelDisk) reopen(powerLost, torn bool) {
	if powerLost && !torn {
		d.visible = maps.Clone(d.synced)
	}
	d.synced = maps.Clone(d.visible)
	d.nextSave = saveSynced
}

// lowerBound is the lowest promised and accepted ballot that an identity may report from now
// on.
type lowerBound struct{ promised, accepted *wire.Ballot }

// machine runs one acceptor.
type machine struct {
	addr, ident string
	starts      int // number of starts of its process
	disk        *modelDisk
	acceptor    *register.Acceptor
	setVersion  int // index of the voter set that it has in force
	frozen      bool
	oldRelease  bool // its release does not promise a next ballot
}

// voterSet is one version of the voters. Its version number is its index plus one.
type voterSet struct{ set register.Set }

// message is a request or its reply in transit.
type message struct {
	client, op int
	addr       string
	request    *wire.Req
	reply      chan modelReply
	answered   *modelReply // the reply in transit
	served     *bool       // shared by a request and its duplicates
	apply      func()      // set for a repair or a copy, which is not a call
}

type modelReply struct {
	resp *wire.Resp
	err  error
}

// modelClient is one proposer's process and its caller.
type modelClient struct {
	id          int
	clockOffset time.Duration // of its time of day from the true one
	setVersion  int
	stop        context.CancelFunc
	done        bool
	random      *rand.Rand
	oneRound    uint64 // changes made in one round
}

// history is one run of the model test.
type history struct {
	t        *testing.T
	seed     uint64
	random   *rand.Rand
	enabled  [faultCount]bool
	injected [faultCount]int
	lossRate int

	mu          sync.Mutex
	posted      []*message
	waiting     []*message
	machines    []*machine
	voterSets   []voterSet
	retired     map[string]bool            // identities that were removed from the voters
	copied      map[string]map[string]bool // by new voter: the old voters whose copies it has imported
	identCount  int
	lowerBounds map[string]*lowerBound
	proposed    map[string]*wire.Cell
	clients     []*modelClient
	nodes       uint64
	ops         []porcupine.Operation
	notMade     []string // words of changes that were reported as not made
	outcomes    map[string]int
	start       time.Time
	steps       int
	faulty      bool // faults are still injected
	failures    []string
}

const (
	modelMachines   = 6
	modelVoters     = 3
	modelMaxLetters = 60 // length of the value at which a change is refused
	wordLength      = 3
	maxSteps        = 6000
)

func newHistory(t *testing.T, seed uint64) *history {
	h := &history{
		t:           t,
		seed:        seed,
		random:      rand.New(rand.NewPCG(seed, 11)),
		retired:     map[string]bool{},
		copied:      map[string]map[string]bool{},
		lowerBounds: map[string]*lowerBound{},
		proposed:    map[string]*wire.Cell{},
		outcomes:    map[string]int{},
		start:       time.Now(),
		faulty:      true,
	}
	for f := range faultCount {
		h.enabled[f] = h.random.IntN(2) == 0
	}
	h.lossRate = 1 + h.random.IntN(20)
	for i := range modelMachines {
		m := &machine{addr: fmt.Sprintf("a%d", i), disk: newModelDisk()}
		m.oldRelease = h.enabled[faultOldRelease] && h.chance(500)
		h.replaceDisk(m)
		h.machines = append(h.machines, m)
	}
	var group []register.Replica
	for _, m := range h.machines[:modelVoters] {
		group = append(group, m.replica())
	}
	h.voterSets = []voterSet{{set: register.Set{group}}}
	return h
}

func (m *machine) replica() register.Replica { return register.Replica{Addr: m.addr, Ident: m.ident} }

// replaceDisk gives a machine an empty disk and with it a new identity.
func (h *history) replaceDisk(m *machine) {
	h.identCount++
	m.ident = fmt.Sprintf("%s-%d", m.addr, h.identCount)
	m.disk = newModelDisk()
	h.lowerBounds[m.ident] = &lowerBound{}
	h.restart(m)
}

func (h *history) restart(m *machine) {
	m.starts++
	m.frozen = false
	m.acceptor = register.NewAcceptor(m.disk)
}

func (h *history) fail(format string, args ...any) {
	h.failures = append(h.failures, fmt.Sprintf(format, args...))
}

// chance returns true with a probability of perMille/1000.
func (h *history) chance(perMille int) bool { return h.random.IntN(1000) < perMille }

// occurs reports whether a fault occurs now, and counts it.
func (h *history) occurs(f fault, perMille int) bool {
	if !h.faulty || !h.enabled[f] || !h.chance(perMille) {
		return false
	}
	h.injected[f]++
	return true
}

type clientKey struct{}

// call is the network as seen by a proposer.
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

// collect takes the messages posted since the last step, in an order that does not depend on
// goroutine scheduling.
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
		if h.occurs(faultLoss, h.lossRate*10) {
			continue
		}
		h.waiting = append(h.waiting, m)
		if h.occurs(faultDuplicate, 100) {
			duplicate := *m
			h.waiting = append(h.waiting, &duplicate)
		}
	}
	h.posted = nil
}

// checkProposed checks that at most one value is proposed under a ballot.
func (h *history) checkProposed(accept *wire.Acc) {
	if accept == nil {
		return
	}
	id := fmt.Sprintf("%d %d", accept.Ballot.N, accept.Ballot.Node)
	if earlier := h.proposed[id]; earlier == nil {
		h.proposed[id] = proto.Clone(accept.Cell).(*wire.Cell)
	} else if !proto.Equal(earlier, accept.Cell) {
		h.fail("two values under ballot %s: %v and %v", id, earlier, accept.Cell)
	}
}

func (h *history) machineAt(addr string) *machine {
	return h.machines[slices.IndexFunc(h.machines, func(m *machine) bool { return m.addr == addr })]
}

// deliver advances one message that is deliverable now.
func (h *history) deliver() bool {
	var ready []int
	for i, m := range h.waiting {
		if m.answered != nil || !h.machineAt(m.addr).frozen {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return false
	}
	index := ready[0]
	if h.enabled[faultReorder] || !h.faulty {
		index = ready[h.random.IntN(len(ready))]
		h.injected[faultReorder]++
	}
	m := h.waiting[index]
	h.waiting = slices.Delete(h.waiting, index, index+1)
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

// serve lets the machine answer a request.
func (h *history) serve(m *message) {
	at := h.machineAt(m.addr)
	losesPower := h.occurs(faultPowerInSave, 5)
	if losesPower {
		at.disk.nextSave = saveOutcome(h.random.IntN(int(saveSyncedFailed) + 1))
	}
	duplicate := *m.served
	*m.served = true
	view, err := h.answer(at, m.request)
	switch code.Of(err) {
	case code.WrongIdentity, code.NotVoting, code.StaleSpec:
		// The request was refused without reading the record. No duplicate may be accepted
		// later, because the transport sends the frame of a call once.
		h.waiting = slices.DeleteFunc(
			h.waiting,
			func(other *message) bool { return other.answered == nil && other.served == m.served },
		)
	}
	if losesPower {
		h.losePower(at)
		return
	}
	h.checkView(at, m.request, view, err)
	resp := proto.Clone(&wire.Resp{Op: &wire.Resp_View{View: view}}).(*wire.Resp)
	if duplicate && err != nil && wire.CompareBallots(view.GetAccepted(), requestBallot(m.request)) != 0 {
		// The transport sends the frame of a call once, so a refusal of a duplicate is not
		// received, except for one that shows the ballot as accepted.
		return
	}
	if !h.occurs(faultLoss, h.lossRate*10) {
		m.answered = &modelReply{resp, err}
		h.waiting = append(h.waiting, m)
	}
}

// answer does what the product does around the acceptor: it refuses requests for another
// identity, to a machine that is in no set, and from a sender with an older set.
func (h *history) answer(at *machine, q *wire.Req) (*wire.View, error) {
	if q.Ident != at.ident {
		return nil, code.New(code.WrongIdentity, "%s", at.ident)
	}
	if !slices.Contains(h.voterSets[at.setVersion].set.All(), at.replica()) {
		return nil, code.New(code.NotVoting, "%s", at.ident)
	}
	if q.Spec < uint64(at.setVersion)+1 {
		return nil, code.New(code.StaleSpec, "version %d, %d is in force", q.Spec, at.setVersion+1)
	}
	if accept := q.Accept(); accept != nil && at.oldRelease {
		h.injected[faultOldRelease]++
		return at.acceptor.Accept(&wire.Acc{Key: accept.Key, Ballot: accept.Ballot, Cell: accept.Cell})
	}
	return at.acceptor.Answer(q)
}

// checkView compares a reply with those that the identity has given before.
func (h *history) checkView(at *machine, q *wire.Req, view *wire.View, err error) {
	bound := h.lowerBounds[at.ident]
	if view != nil {
		if wire.CompareBallots(view.Promised, bound.promised) < 0 || wire.CompareBallots(view.Accepted, bound.accepted) < 0 {
			h.fail(
				"%s reports promised %v accepted %v after promised %v accepted %v",
				at.ident,
				view.Promised,
				view.Accepted,
				bound.promised,
				bound.accepted,
			)
		}
		bound.promised, bound.accepted = proto.Clone(view.Promised).(*wire.Ballot), proto.Clone(view.Accepted).(*wire.Ballot)
	}
	if err != nil {
		return
	}
	ballot := requestBallot(q)
	if ballot != nil && wire.CompareBallots(view.Promised, ballot) < 0 {
		h.fail("%s acknowledges %v but has promised %v", at.ident, ballot, view.Promised)
	}
	if q.Accept() != nil && wire.CompareBallots(view.Accepted, ballot) < 0 {
		h.fail("%s acknowledges the accept of %v but has accepted %v", at.ident, ballot, view.Accepted)
	}
}

// losePower restarts a machine with the synced records, and sometimes with unsynced ones as
// well.
func (h *history) losePower(m *machine) {
	m.disk.reopen(true, h.chance(300))
	h.restart(m)
	h.checkLowerBound(m)
}

// checkLowerBound checks that the disk contains all that an identity has reported.
func (h *history) checkLowerBound(m *machine) {
	record, err := m.disk.Load(modelKey)
	if err != nil {
		h.fail("%s: %v", m.ident, err)
	}
	bound := h.lowerBounds[m.ident]
	if wire.CompareBallots(record.Promised, bound.promised) < 0 || wire.CompareBallots(record.Accepted, bound.accepted) < 0 {
		h.fail(
			"%s restarted with promised %v accepted %v, reported before promised %v accepted %v",
			m.ident,
			record.Promised,
			record.Accepted,
			bound.promised,
			bound.accepted,
		)
	}
}

func (h *history) anyMachine() *machine { return h.machines[h.random.IntN(len(h.machines))] }

// injectFault draws each fault with its own probability.
func (h *history) injectFault() {
	if h.occurs(faultCrash, 8) {
		m := h.anyMachine()
		m.disk.reopen(false, false)
		h.restart(m)
		h.checkLowerBound(m)
	}
	if h.occurs(faultPower, 8) {
		h.losePower(h.anyMachine())
	}
	for _, m := range h.machines {
		// A power loss is more likely while a record is not synced.
		if !maps.EqualFunc(m.disk.visible, m.disk.synced, bytes.Equal) && h.occurs(faultPower, 20) {
			h.losePower(m)
		}
	}
	if h.occurs(faultBlackout, 2) {
		for _, m := range h.machines {
			h.losePower(m)
		}
	}
	if h.occurs(faultWipe, 6) {
		if m := h.anyMachine(); h.canLose(m) {
			m.setVersion = 0
			h.replaceDisk(m)
		}
	}
	if h.occurs(faultFreeze, 10) {
		m := h.anyMachine()
		m.frozen = true
	}
	if m := h.anyMachine(); m.frozen && h.chance(100) {
		m.frozen = false
	}
	if h.occurs(faultDisk, 20) {
		h.anyMachine().disk.nextSave = saveOutcome(1 + h.random.IntN(int(saveSyncedFailed)))
	}
	if h.occurs(faultClientStop, 4) {
		c := h.clients[h.random.IntN(len(h.clients))]
		if c.stop != nil {
			c.stop()
		}
	}
	if h.occurs(faultClock, 8) {
		h.clients[h.random.IntN(len(h.clients))].clockOffset = time.Duration(h.random.IntN(20)-10) * time.Hour
	}
	if h.occurs(faultSets, 20) {
		h.advanceSetChange()
	}
	if m := h.anyMachine(); m.setVersion < len(h.voterSets)-1 && h.chance(100) {
		h.updateVoterSet(m)
	}
	if h.occurs(faultRepair, 30) {
		h.repair()
	}
}

// exists reports whether the identity still belongs to a machine.
func (h *history) exists(r register.Replica) bool { return h.machineAt(r.Addr).ident == r.Ident }

// canLose reports whether a majority of each group is left without the machine's identity,
// whether or not the set change in progress completes.
func (h *history) canLose(m *machine) bool {
	for _, group := range h.voterSets[len(h.voterSets)-1].set {
		remaining := 0
		for _, r := range group {
			if r != m.replica() && h.exists(r) {
				remaining++
			}
		}
		if remaining*2 <= len(group) {
			return false
		}
	}
	return true
}

// updateVoterSet puts the newest voter set in force at a machine. A machine whose identity was
// retired gets a new one.
func (h *history) updateVoterSet(m *machine) {
	m.setVersion = len(h.voterSets) - 1
	if h.retired[m.ident] {
		h.replaceDisk(m)
	}
}

// advanceSetChange advances a change of the voters, or begins one.
func (h *history) advanceSetChange() {
	current := h.voterSets[len(h.voterSets)-1]
	if len(current.set) == 1 {
		if next := h.nextGroup(current.set[0]); next != nil {
			h.voterSets = append(h.voterSets, voterSet{set: register.Set{current.set[0], next}})
			h.copied = map[string]map[string]bool{}
		}
		return
	}
	old, next := current.set[0], current.set[1]
	if h.chance(50) || slices.ContainsFunc(next, func(r register.Replica) bool { return !h.exists(r) }) {
		h.finishSetChange(old, next, old)
		return
	}
	complete := true
	for _, r := range next {
		if len(h.copied[r.Ident])*2 <= len(old) {
			complete = false
			h.sendCopy(old, r)
		}
	}
	if complete {
		h.finishSetChange(old, old, next)
	}
}

// finishSetChange puts one group in force alone. A voter that is in no group anymore is never
// used again.
func (h *history) finishSetChange(a, b, remaining []register.Replica) {
	for _, r := range slices.Concat(a, b) {
		if !slices.Contains(remaining, r) {
			h.retired[r.Ident] = true
		}
	}
	h.voterSets = append(h.voterSets, voterSet{set: register.Set{remaining}})
}

// nextGroup replaces one or two voters by other machines.
func (h *history) nextGroup(current []register.Replica) []register.Replica {
	next := slices.Clone(current)
	for range 1 + h.random.IntN(2) {
		m := h.anyMachine()
		if h.retired[m.ident] || slices.ContainsFunc(next, func(r register.Replica) bool { return r.Ident == m.ident }) {
			continue
		}
		i := slices.IndexFunc(next, func(r register.Replica) bool { return r.Addr == m.addr })
		if i < 0 {
			i = h.random.IntN(len(next))
		}
		next[i] = m.replica()
	}
	if slices.Equal(next, current) {
		return nil
	}
	return next
}

// sendCopy sends a new voter one old voter's copy. It may arrive late, when the change is over,
// and also at a voter of the old set. The source has the set change in force, and so refuses
// proposers that use only the old voters.
func (h *history) sendCopy(old []register.Replica, to register.Replica) {
	from := old[h.random.IntN(len(old))]
	source, target, version := h.machineAt(from.Addr), h.machineAt(to.Addr), len(h.voterSets)-1
	if !h.exists(from) || source.frozen || source.setVersion < version || target.setVersion < version ||
		h.copied[to.Ident][from.Ident] {
		return
	}
	view, err := source.acceptor.Read(&wire.Look{Key: modelKey})
	if err != nil {
		return
	}
	copied := &wire.Copy{Key: modelKey, Rec: proto.Clone(&wire.Rec{Accepted: view.Accepted, Cell: view.Cell}).(*wire.Rec)}
	starts := target.starts
	h.waiting = append(h.waiting, &message{addr: to.Addr, apply: func() {
		if target.starts != starts {
			return
		}
		if _, err := target.acceptor.Import([]*wire.Copy{copied}, func(records map[string]*wire.Rec) error { return target.disk.Save(modelKey, records[modelKey]) }); err != nil {
			return
		}
		if h.copied[to.Ident] == nil {
			h.copied[to.Ident] = map[string]bool{}
		}
		h.copied[to.Ident][from.Ident] = true
	}})
}

// repair sends one voter's copy to another, which adopts it.
func (h *history) repair() {
	all := h.voterSets[len(h.voterSets)-1].set.All()
	from, to := all[h.random.IntN(len(all))], all[h.random.IntN(len(all))]
	if from == to || !h.exists(from) || !h.exists(to) {
		return
	}
	view, err := h.machineAt(from.Addr).acceptor.Read(&wire.Look{Key: modelKey})
	if err != nil {
		return
	}
	view = proto.Clone(view).(*wire.View)
	target := h.machineAt(to.Addr)
	starts := target.starts
	h.waiting = append(h.waiting, &message{addr: to.Addr, apply: func() {
		if target.starts == starts {
			_ = target.acceptor.Adopt(modelKey, view)
		}
	}})
}

// run executes the history and checks it.
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
	h.endFaults()
	h.finalReads()
	h.check()
}

// step executes one step of the scheduler. It returns how long to sleep before the next one.
func (h *history) step() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.collect()
	if h.steps == maxSteps {
		h.endFaults()
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

// endFaults ends all faults and puts the newest voter set in force everywhere.
func (h *history) endFaults() {
	h.faulty = false
	for _, m := range h.machines {
		m.frozen = false
		m.disk.nextSave = saveSynced
		h.updateVoterSet(m)
	}
}

// finalReads reads through a new proposer after all faults have ended, and delivers the
// remaining messages.
func (h *history) finalReads() {
	c := &modelClient{id: len(h.clients), random: rand.New(rand.NewPCG(h.seed, 99)), clockOffset: -20 * time.Hour}
	h.clients = append(h.clients, c)
	for range 2 {
		h.mu.Lock()
		c.done = false
		c.setVersion = len(h.voterSets) - 1
		h.mu.Unlock()
		go func() {
			h.runOperation(c, h.proposer(c), 0, true, time.Minute)
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
	if n := h.outcomes["final read"]; n != 2 {
		h.fail("%d of 2 final reads", n)
	}
	time.Sleep(2 * time.Second)
}

// proposer starts a new process of a client.
func (h *history) proposer(c *modelClient) *register.Proposer {
	h.mu.Lock()
	h.nodes++
	p := register.NewProposer(uint64(c.id+1)<<32|uint64(c.random.Uint32()), h.call)
	h.mu.Unlock()
	p.RoundTimeout = 100 * time.Millisecond
	p.Clock = func() time.Time {
		h.mu.Lock()
		defer h.mu.Unlock()
		return time.Now().Add(c.clockOffset)
	}
	p.Random = c.random.Uint64
	return p
}

// client runs one operation after another.
func (h *history) client(c *modelClient, ops int) {
	p := h.proposer(c)
	for i := range ops {
		if c.random.IntN(3) == 0 {
			time.Sleep(time.Duration(c.random.IntN(200)) * time.Millisecond)
		}
		h.mu.Lock()
		c.setVersion = max(c.setVersion, len(h.voterSets)-1-c.random.IntN(2))
		h.mu.Unlock()
		timeout := 400 * time.Millisecond
		if c.random.IntN(5) == 0 {
			timeout = 5 * time.Second
		}
		stopped := h.runOperation(c, p, i, c.random.IntN(4) == 0, timeout)
		if stopped {
			c.oneRound += p.OneRound.Load()
			p = h.proposer(c)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	c.oneRound += p.OneRound.Load()
	c.done = true
}

// runOperation runs one read or change and records its result.
func (h *history) runOperation(
	c *modelClient,
	p *register.Proposer,
	number int,
	read bool,
	timeout time.Duration,
) (stopped bool) {
	version := c.setVersion
	ctx, stop := context.WithTimeout(context.WithValue(h.t.Context(), clientKey{}, [2]int{c.id, number}), timeout)
	defer stop()
	ctx = register.WithVersion(ctx, uint64(version)+1, c.random.IntN(8) == 0)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.mu.Lock()
	c.stop = func() { stopped = true; cancel() }
	set := h.voterSets[version].set
	h.mu.Unlock()
	operation := input{read: read, appended: fmt.Sprintf("%c%02d", 'a'+c.id, number)}
	calledAt := int64(time.Since(h.start))
	var state register.State
	var err error
	if read {
		state, err = p.Read(ctx, set, modelKey)
	} else {
		state, err = p.Change(ctx, set, modelKey, h.appender(c, operation.appended))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	c.stop = nil
	h.recordOperation(c, operation, calledAt, state, err)
	return stopped
}

// appender returns an update that appends a word, sometimes after a pause.
func (h *history) appender(c *modelClient, word string) register.UpdateFunc {
	return func(s register.State) ([]byte, bool, error) {
		if h.enabled[faultClientSleep] && c.random.IntN(10) == 0 {
			time.Sleep(time.Duration(c.random.IntN(3000)) * time.Millisecond)
			h.mu.Lock()
			h.injected[faultClientSleep]++
			h.mu.Unlock()
		}
		if len(s.Value) >= modelMaxLetters {
			return nil, false, errFull
		}
		return append(bytes.Clone(s.Value), word...), false, nil
	}
}

// recordOperation adds an operation to the history.
func (h *history) recordOperation(c *modelClient, operation input, calledAt int64, state register.State, err error) {
	op := porcupine.Operation{
		ClientId: c.id,
		Input:    operation,
		Call:     calledAt,
		Output:   string(state.Value),
		Return:   int64(time.Since(h.start)),
	}
	switch {
	case operation.read && err != nil:
		h.outcomes["read failed"]++
		return
	case operation.read && c.id == len(h.clients)-1 && !h.faulty:
		h.outcomes["final read"]++
	case operation.read:
		h.outcomes["read"]++
	case errors.Is(err, errFull):
		h.outcomes["full"]++
		h.notMade = append(h.notMade, operation.appended)
		op.Output = "full"
	case errors.Is(err, register.ErrUncertain):
		h.outcomes["maybe"]++
		op.Return, op.Output, op.ClientId = 1<<62, "maybe:"+operation.appended, 1000+len(h.ops)
	case err != nil:
		h.outcomes["no"]++
		h.notMade = append(h.notMade, operation.appended)
		return
	default:
		h.outcomes["changed"]++
		i := strings.Index(string(state.Value), operation.appended)
		if i < 0 {
			h.fail("%s was reported as chosen, the value is %q", operation.appended, state.Value)
			return
		}
		op.Output = string(state.Value)[:i+wordLength]
	}
	h.ops = append(h.ops, op)
}

// check checks the complete history.
func (h *history) check() {
	longest := longestValue(h.ops)
	for _, word := range h.notMade {
		if strings.Contains(longest, word) {
			h.fail("%s was reported as not made and is in %q", word, longest)
		}
	}
	if !isHistoryLinearizable(h.ops, longest) {
		h.fail("not linearizable:\n%s", formatOperations(h.ops))
	}
	for _, machine := range h.machines {
		h.checkLowerBound(machine)
	}
	for _, failure := range h.failures {
		h.t.Errorf("seed %d: %s", h.seed, failure)
	}
}

// formatOperations lists a history in the order of the calls.
func formatOperations(ops []porcupine.Operation) string {
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

func longestValue(ops []porcupine.Operation) string {
	longest := ""
	for _, o := range ops {
		if s := o.Output.(string); len(s) > len(longest) && s != "full" && !strings.HasPrefix(s, "maybe:") {
			longest = s
		}
	}
	return longest
}

// isHistoryLinearizable checks the history. An uncertain change is included if its word is in
// the longest value read, and left out otherwise.
func isHistoryLinearizable(ops []porcupine.Operation, longest string) bool {
	var decided []porcupine.Operation
	for _, o := range ops {
		if word, ok := strings.CutPrefix(o.Output.(string), "maybe:"); ok {
			index := strings.Index(longest, word)
			if index < 0 {
				continue
			}
			o.Output = longest[:index+wordLength]
		}
		decided = append(decided, o)
	}
	return porcupine.CheckOperations(model(modelMaxLetters), decided)
}

// modelHistories is the default number of histories. REG_HISTORIES sets another number and
// REG_SEED the first seed.
const modelHistories = 200

// TestModel runs seeded histories with injected faults.
func TestModel(t *testing.T) {
	first, count := envInt(t, "REG_SEED", 0), envInt(t, "REG_HISTORIES", modelHistories)
	var injected [faultCount]int
	outcomes := map[string]int{}
	steps, oneRound := 0, uint64(0)
	startedAt := time.Now()
	for seed := first; seed < first+count && !t.Failed(); seed++ {
		synctest.Test(t, func(t *testing.T) {
			h := newHistory(t, uint64(seed))
			h.run(3+int(seed%2), 12)
			for f := range injected {
				injected[f] += h.injected[f]
			}
			for k, n := range h.outcomes {
				outcomes[k] += n
			}
			for _, c := range h.clients {
				oneRound += c.oneRound
			}
			steps += h.steps
		})
	}
	t.Logf(
		"%d histories, %d steps, %s; %v, %d in one round",
		count,
		steps,
		time.Since(startedAt).Round(10*time.Millisecond),
		outcomes,
		oneRound,
	)
	for f, n := range injected {
		t.Logf("%s: %d", faultNames[f], n)
		if n == 0 && count >= modelHistories {
			t.Errorf("%s did not occur", faultNames[f])
		}
	}
	for _, k := range []string{"changed", "maybe", "no", "full", "read"} {
		if outcomes[k] == 0 && count >= modelHistories {
			t.Errorf("no operation ended as %q", k)
		}
	}
}

func envInt(t *testing.T, name string, fallback int) int {
	value := os.Getenv(name)
	if value == "" {
		return fallback
	}
	n, err := strconv.Atoi(value)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}
