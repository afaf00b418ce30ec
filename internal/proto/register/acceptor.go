// Package register is a linearizable register by single-decree Paxos (Lamport, "Paxos
// Made Simple"): a value is changed in two rounds, prepare and accept, at a majority of
// acceptors. There is no log and no leader; the same code serves the spec at the core
// and every key at the stores.
//
// It departs from the paper in two ways. A register takes a sequence of values, each
// made from the one before (as in CASPaxos), and carries the operation ids of its last
// changes, so that a proposer whose answer was lost recognises its own change. And an
// accept carries the proposer's next ballot, which the acceptor promises in the same
// sync, so that the next change by that proposer needs the accept round alone.
package register

import (
	"math"
	"sync"
	"time"

	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// Disk stores records. Save returns only once the record is synced. After a Save that
// failed, Load may return either record, and what it returns may not be synced. When a
// process starts, all that Load returns is synced.
type Disk interface {
	Load(key string) (*wire.Rec, error)
	Save(key string, r *wire.Rec) error
}

// stripes is the number of locks that an acceptor's keys share.
const stripes = 64

// Acceptor is the voter of the protocol. It answers only after its disk has synced what
// the answer rests on. Its methods may be called concurrently.
type Acceptor struct {
	disk       Disk
	start      time.Time
	locks      [stripes]chan struct{} // full while somebody is at its keys
	mu         sync.Mutex
	acceptedAt map[string]acceptTime
	// unsynced are the keys of which Load shows a record whose Save failed.
	unsynced map[string]bool
	// uncertain are the timed cells whose write failed, by key: they may be on the disk
	// all the same, from a moment that nobody knows.
	uncertain        map[string]uint64
	compressedValues largeValues
}

// acceptTime remembers when this process first held a timed cell.
type acceptTime struct {
	operation uint64
	at        time.Time
}

// NewAcceptor makes an acceptor over d.
func NewAcceptor(d Disk) *Acceptor {
	a := &Acceptor{
		disk:       d,
		start:      time.Now(),
		acceptedAt: map[string]acceptTime{},
		unsynced:   map[string]bool{},
		uncertain:  map[string]uint64{},
	}
	for i := range a.locks {
		a.locks[i] = make(chan struct{}, 1)
	}
	return a
}

func (a *Acceptor) lock(key string) func() {
	l := a.locks[stripe(key)]
	l <- struct{}{}
	return func() { <-l }
}

// load reads a key's record and makes sure that it is synced: nothing may be answered from
// a record that a loss of power could undo. The caller holds the key's lock.
func (a *Acceptor) load(key string) (*wire.Rec, error) {
	r, err := a.disk.Load(key)
	if err != nil {
		return nil, err
	}
	a.mu.Lock()
	unsynced := a.unsynced[key]
	a.mu.Unlock()
	if !unsynced {
		return r, nil
	}
	if err := a.disk.Save(key, r); err != nil {
		return nil, err
	}
	a.mu.Lock()
	delete(a.unsynced, key)
	a.mu.Unlock()
	return r, nil
}

// save syncs a key's record. The caller holds the key's lock.
func (a *Acceptor) save(key string, r *wire.Rec) error {
	err := a.disk.Save(key, r)
	if err != nil {
		a.recordFailedSave(key, r)
	}
	return err
}

// recordFailedSave remembers a record whose write failed, unless it is certain that it was
// not written.
func (a *Acceptor) recordFailedSave(key string, written *wire.Rec) {
	r, err := a.disk.Load(key)
	if err == nil && wire.CompareBallots(r.Promised, written.Promised) != 0 {
		// What is there is an earlier record, which was synced.
		return
	}
	a.mu.Lock()
	a.unsynced[key] = true
	a.mu.Unlock()
}

// Answer answers a prepare, an accept in either form, or a read. The error has
// code.UnknownMessage for any other request.
func (a *Acceptor) Answer(q *wire.Req) (*wire.View, error) {
	switch op := q.Op.(type) {
	case *wire.Req_Prep:
		return a.Prepare(op.Prep)
	case *wire.Req_Acc, *wire.Req_AccCompressed:
		return a.Accept(q.Accept())
	case *wire.Req_Look:
		return a.Read(op.Look)
	}
	return nil, code.New(code.UnknownMessage, "%T is no request to an acceptor", q.Op)
}

// Prepare promises to accept nothing below the ballot.
func (a *Acceptor) Prepare(q *wire.Prep) (*wire.View, error) {
	defer a.lock(q.Key)()
	r, err := a.load(q.Key)
	if err != nil {
		return nil, err
	}
	if wire.CompareBallots(q.Ballot, r.Promised) <= 0 {
		return a.withoutValue(q.Key, r), code.New(code.OldBallot, "promised %d", r.Promised.GetN())
	}
	r.Promised = q.Ballot
	if err := a.save(q.Key, r); err != nil {
		return nil, err
	}
	return a.reduce(a.view(q.Key, r), q.Key, r, wanted{known: q.Known, acceptsCompressed: q.AcceptsCompressed}), nil
}

// Accept takes the cell unless a higher ballot was promised. In the same sync it promises
// the ballot that the proposer states for its next change, so that this change needs no
// prepare round. An acceptor of an earlier release promises only the ballot that it
// accepted, and its answer shows that.
func (a *Acceptor) Accept(q *wire.Acc) (*wire.View, error) {
	defer a.lock(q.Key)()
	r, err := a.load(q.Key)
	if err != nil {
		return nil, err
	}
	if wire.CompareBallots(q.Ballot, r.Promised) < 0 {
		return a.withoutValue(q.Key, r), code.New(code.OldBallot, "promised %d", r.Promised.GetN())
	}
	cell := q.Cell
	if len(q.CompressedValue) > 0 {
		value, err := wire.Decompress(q.CompressedValue)
		if err != nil {
			return nil, err
		}
		cell = withValue(q.Cell, value)
	}
	r.Promised, r.Accepted, r.Cell, r.Copied = q.Ballot, q.Ballot, cell, false
	if wire.CompareBallots(q.Next, q.Ballot) > 0 {
		r.Promised = q.Next
	}
	if err := a.saveCell(q.Key, r); err != nil {
		return nil, err
	}
	return a.withoutValue(q.Key, r), nil
}

// Adopt takes what another acceptor of the key has accepted, under the rule of an accept:
// never below what was promised.
func (a *Acceptor) Adopt(key string, v *wire.View) error {
	defer a.lock(key)()
	r, err := a.load(key)
	if err != nil || wire.CompareBallots(v.GetAccepted(), r.Accepted) <= 0 {
		return err
	}
	if wire.CompareBallots(v.Accepted, r.Promised) < 0 {
		return code.New(code.OldBallot, "promised %d", r.Promised.GetN())
	}
	r.Promised, r.Accepted, r.Cell, r.Copied = v.Accepted, v.Accepted, v.Cell, false
	return a.saveCell(key, r)
}

// saveCell syncs a record with a cell that was taken just now.
func (a *Acceptor) saveCell(key string, r *wire.Rec) error {
	err := a.save(key, r)
	if r.Cell.GetTimed() {
		a.trackAge(key, lastOperation(r.Cell), err)
	}
	return err
}

// RetentionFunc reports whether the value of a record is past its retention, and whether
// the record itself need not be remembered any more.
type RetentionFunc func(r *wire.Rec) (expired, remove bool)

// Expire drops the value of a record that old reports as past its retention. That there
// was a value is kept, with the promises, until old reports that this may go as well; drop
// then removes the record. It reports whether anything changed.
func (a *Acceptor) Expire(key string, old RetentionFunc, drop func(key string) error) (bool, error) {
	defer a.lock(key)()
	r, err := a.load(key)
	if err != nil {
		return false, err
	}
	expired, remove := old(r)
	switch {
	case remove:
		return true, drop(key)
	case expired && !r.Cell.GetPast():
		// What was promised before the value went is taken back by a higher promise:
		// nothing worked out from the value may be taken here any more.
		if r.Promised != nil && r.Promised.N < math.MaxUint64 {
			r.Promised = &wire.Ballot{N: r.Promised.N + 1}
		}
		r.Cell = &wire.Cell{Ver: r.Cell.GetVer(), Ops: r.Cell.GetOps(), Past: true}
		a.mu.Lock()
		delete(a.acceptedAt, key)
		delete(a.uncertain, key)
		a.mu.Unlock()
		return true, a.save(key, r)
	}
	return false, nil
}

// Read returns the record without promising anything.
func (a *Acceptor) Read(q *wire.Look) (*wire.View, error) {
	defer a.lock(q.Key)()
	r, err := a.load(q.Key)
	if err != nil {
		return nil, err
	}
	w := wanted{known: q.Known, head: q.Head, acceptsCompressed: q.AcceptsCompressed}
	return a.reduce(a.view(q.Key, r), q.Key, r, w), nil
}

func (a *Acceptor) view(key string, r *wire.Rec) *wire.View {
	v := &wire.View{Promised: r.Promised, Accepted: r.Accepted, Cell: r.Cell, Copied: r.Copied}
	if r.Cell.GetTimed() {
		v.AgeMs = a.age(key, lastOperation(r.Cell)).Milliseconds()
	}
	return v
}

// startAge starts the age of a cell accepted just now. A cell that is only accepted again
// under a higher ballot keeps its age.
func (a *Acceptor) startAge(key string, operation uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if m, ok := a.acceptedAt[key]; !ok || m.operation != operation {
		a.acceptedAt[key] = acceptTime{operation, time.Now()}
	}
}

// trackAge starts the age of a timed cell that was saved. One whose save failed may be
// found on the disk later, and its age starts then.
func (a *Acceptor) trackAge(key string, operation uint64, failed error) {
	if failed == nil {
		a.startAge(key, operation)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if m, ok := a.acceptedAt[key]; !ok || m.operation != operation {
		a.uncertain[key] = operation
	}
}

// age is how long this process has held the cell. That of a cell found on disk starts with
// the process: after a restart a wait is counted again in full rather than cut short.
func (a *Acceptor) age(key string, operation uint64) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if m, ok := a.acceptedAt[key]; ok && m.operation == operation {
		return time.Since(m.at)
	}
	if a.uncertain[key] == operation {
		a.acceptedAt[key] = acceptTime{operation, time.Now()}
		delete(a.uncertain, key)
		return 0
	}
	return time.Since(a.start)
}

func lastOperation(c *wire.Cell) uint64 {
	if n := len(c.GetOps()); n > 0 {
		return c.Ops[n-1]
	}
	return 0
}
