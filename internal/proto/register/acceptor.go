// Package register implements a linearizable register with single-decree Paxos (Lamport, "Paxos
// Made Simple"). A value is changed in two rounds, prepare and accept, at a majority of
// acceptors. There is no log and no leader. The same code serves the spec at the core and every
// key at the stores.
//
// It departs from the paper in two ways. A register takes a sequence of values, each computed
// from the previous one (as in CASPaxos), and stores the operation ids of its last changes, so
// that a proposer that lost the reply to a change can recognize that change. And an accept
// request carries the proposer's next ballot, which the acceptor promises in the same sync, so
// that the next change by that proposer needs only the accept round.
package register

import (
	"math"
	"sync"
	"time"

	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// Disk stores records. Save returns only once the record is synced. After a failed Save, Load
// may return either the old or the new record, which may not be synced. When the process
// starts, every record that Load returns is synced.
type Disk interface {
	Load(key string) (*wire.Rec, error)
	Save(key string, r *wire.Rec) error
}

// lockStripes is the number of locks shared by all keys of an acceptor.
const lockStripes = 64

// Acceptor is the voter of the protocol. It answers only after the disk has synced the state
// that the answer depends on. Its methods may be called concurrently.
type Acceptor struct {
	disk       Disk
	startedAt  time.Time
	locks      [lockStripes]chan struct{} // each is full while locked
	mu         sync.Mutex
	acceptedAt map[string]acceptTime
	// unsynced holds the keys whose last Save failed although Load returns the new record.
	unsynced map[string]bool
	// uncertain maps keys to the operation ids of timed cells whose Save failed. Such a cell
	// may be on the disk, written at an unknown time.
	uncertain        map[string]uint64
	compressedValues largeValueCache
}

// acceptTime is the time at which this process first held a timed cell.
type acceptTime struct {
	operation uint64
	at        time.Time
}

// NewAcceptor returns an acceptor that stores its records on disk.
func NewAcceptor(disk Disk) *Acceptor {
	a := &Acceptor{
		disk:       disk,
		startedAt:  time.Now(),
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
	stripeLock := a.locks[stripe(key)]
	stripeLock <- struct{}{}
	return func() { <-stripeLock }
}

// load reads a key's record and makes sure that it is synced, since an answer must not depend
// on a record that a power loss could undo. The caller holds the key's lock.
func (a *Acceptor) load(key string) (*wire.Rec, error) {
	record, err := a.disk.Load(key)
	if err != nil {
		return nil, err
	}
	a.mu.Lock()
	unsynced := a.unsynced[key]
	a.mu.Unlock()
	if !unsynced {
		return record, nil
	}
	if err := a.disk.Save(key, record); err != nil {
		return nil, err
	}
	a.mu.Lock()
	delete(a.unsynced, key)
	a.mu.Unlock()
	return record, nil
}

// save stores and syncs a key's record. The caller holds the key's lock.
func (a *Acceptor) save(key string, record *wire.Rec) error {
	err := a.disk.Save(key, record)
	if err != nil {
		a.recordFailedSave(key, record)
	}
	return err
}

// recordFailedSave marks a key as unsynced after its Save failed, unless the record on the disk
// shows that nothing was written.
func (a *Acceptor) recordFailedSave(key string, written *wire.Rec) {
	record, err := a.disk.Load(key)
	if err == nil && wire.CompareBallots(record.Promised, written.Promised) != 0 {
		// The disk still has an earlier record, which was synced.
		return
	}
	a.mu.Lock()
	a.unsynced[key] = true
	a.mu.Unlock()
}

// Answer handles a prepare request, an accept request in either form, or a read request. It
// returns an error with code.UnknownMessage for any other request.
func (a *Acceptor) Answer(request *wire.Req) (*wire.View, error) {
	switch op := request.Op.(type) {
	case *wire.Req_Prep:
		return a.Prepare(op.Prep)
	case *wire.Req_Acc, *wire.Req_AccCompressed:
		accept := request.Accept()
		if accept == nil {
			return nil, code.New(code.Garbled, "an accept request without its content")
		}
		return a.Accept(accept)
	case *wire.Req_Look:
		return a.Read(op.Look)
	}
	return nil, code.New(code.UnknownMessage, "%T is no request to an acceptor", request.Op)
}

// Prepare promises not to accept any ballot below the requested one.
func (a *Acceptor) Prepare(request *wire.Prep) (*wire.View, error) {
	defer a.lock(request.Key)()
	record, err := a.load(request.Key)
	if err != nil {
		return nil, err
	}
	if wire.CompareBallots(request.Ballot, record.Promised) <= 0 {
		return a.withoutValue(request.Key, record), code.New(code.OldBallot, "promised %d", record.Promised.GetN())
	}
	record.Promised = request.Ballot
	if err := a.save(request.Key, record); err != nil {
		return nil, err
	}
	return a.omitLargeValue(a.view(request.Key, record), request.Key, record, viewOptions{
		known:             request.Known,
		acceptsCompressed: request.AcceptsCompressed,
	}), nil
}

// Accept accepts the cell unless a higher ballot was promised. In the same sync it promises the
// ballot that the proposer states for its next change, so that this change needs no prepare
// round. An acceptor of an earlier release promises only the accepted ballot, and its answer
// shows that.
func (a *Acceptor) Accept(request *wire.Acc) (*wire.View, error) {
	defer a.lock(request.Key)()
	record, err := a.load(request.Key)
	if err != nil {
		return nil, err
	}
	if wire.CompareBallots(request.Ballot, record.Promised) < 0 {
		return a.withoutValue(request.Key, record), code.New(code.OldBallot, "promised %d", record.Promised.GetN())
	}
	if wire.CompareBallots(request.Ballot, record.Accepted) == 0 && !record.Copied &&
		wire.CompareBallots(request.Next, record.Promised) <= 0 {
		// A copy of a request that was accepted before.
		return a.withoutValue(request.Key, record), nil
	}
	cell := request.Cell
	if len(request.CompressedValue) > 0 {
		value, err := wire.Decompress(request.CompressedValue)
		if err != nil {
			return nil, err
		}
		cell = withValue(request.Cell, value)
	}
	record.Promised, record.Accepted, record.Cell, record.Copied = request.Ballot, request.Ballot, cell, false
	if wire.CompareBallots(request.Next, request.Ballot) > 0 {
		record.Promised = request.Next
	}
	if err := a.saveCell(request.Key, record); err != nil {
		return nil, err
	}
	return a.withoutValue(request.Key, record), nil
}

// Adopt accepts a cell that another acceptor of the key has accepted. As for an accept request,
// it fails if a higher ballot was promised.
func (a *Acceptor) Adopt(key string, view *wire.View) error {
	defer a.lock(key)()
	record, err := a.load(key)
	if err != nil || wire.CompareBallots(view.GetAccepted(), record.Accepted) <= 0 {
		return err
	}
	if wire.CompareBallots(view.Accepted, record.Promised) < 0 {
		return code.New(code.OldBallot, "promised %d", record.Promised.GetN())
	}
	record.Promised, record.Accepted, record.Cell, record.Copied = view.Accepted, view.Accepted, view.Cell, false
	return a.saveCell(key, record)
}

// saveCell saves a record whose cell has just been accepted.
func (a *Acceptor) saveCell(key string, record *wire.Rec) error {
	err := a.save(key, record)
	if record.Cell.GetTimed() {
		a.trackAge(key, lastOperation(record.Cell), err)
	}
	return err
}

// RetentionFunc reports whether the value of a record is past its retention period, and whether
// the whole record can be removed.
type RetentionFunc func(r *wire.Rec) (expired, remove bool)

// Expire drops the value of a record that retention reports as expired. The record keeps its
// promises and the fact that there was a value until retention reports that it can be removed;
// Expire then calls deleteRecord. It reports whether anything changed.
func (a *Acceptor) Expire(key string, retention RetentionFunc, deleteRecord func(key string) error) (bool, error) {
	defer a.lock(key)()
	record, err := a.load(key)
	if err != nil {
		return false, err
	}
	expired, remove := retention(record)
	switch {
	case remove:
		return true, deleteRecord(key)
	case expired && !record.Cell.GetPast():
		// Raising the promise invalidates ballots promised before the value expired: a change
		// computed from the expired value must not be accepted.
		if record.Promised != nil && record.Promised.N < math.MaxUint64 {
			record.Promised = &wire.Ballot{N: record.Promised.N + 1}
		}
		record.Cell = &wire.Cell{Ver: record.Cell.GetVer(), Ops: record.Cell.GetOps(), Past: true}
		a.mu.Lock()
		delete(a.acceptedAt, key)
		delete(a.uncertain, key)
		a.mu.Unlock()
		return true, a.save(key, record)
	}
	return false, nil
}

// Read returns the record without promising anything.
func (a *Acceptor) Read(request *wire.Look) (*wire.View, error) {
	defer a.lock(request.Key)()
	record, err := a.load(request.Key)
	if err != nil {
		return nil, err
	}
	options := viewOptions{known: request.Known, head: request.Head, acceptsCompressed: request.AcceptsCompressed}
	return a.omitLargeValue(a.view(request.Key, record), request.Key, record, options), nil
}

func (a *Acceptor) view(key string, record *wire.Rec) *wire.View {
	view := &wire.View{Promised: record.Promised, Accepted: record.Accepted, Cell: record.Cell, Copied: record.Copied}
	if record.Cell.GetTimed() {
		view.AgeMs = a.age(key, lastOperation(record.Cell)).Milliseconds()
	}
	return view
}

// startAge starts the age of a cell that was just accepted. A cell that is accepted
// again under a higher ballot keeps its age.
func (a *Acceptor) startAge(key string, operation uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if entry, ok := a.acceptedAt[key]; !ok || entry.operation != operation {
		a.acceptedAt[key] = acceptTime{operation, time.Now()}
	}
}

// trackAge starts the age of a timed cell that was saved. A cell whose save failed may appear
// on the disk later; its age then starts when it is first seen.
func (a *Acceptor) trackAge(key string, operation uint64, saveErr error) {
	if saveErr == nil {
		a.startAge(key, operation)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if entry, ok := a.acceptedAt[key]; !ok || entry.operation != operation {
		a.uncertain[key] = operation
	}
}

// age returns how long this process has held the cell. The age of a cell that was found on the
// disk starts with the process, so that after a restart a wait restarts in full and is never
// cut short.
func (a *Acceptor) age(key string, operation uint64) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if entry, ok := a.acceptedAt[key]; ok && entry.operation == operation {
		return time.Since(entry.at)
	}
	if a.uncertain[key] == operation {
		a.acceptedAt[key] = acceptTime{operation, time.Now()}
		delete(a.uncertain, key)
		return 0
	}
	return time.Since(a.startedAt)
}

func lastOperation(cell *wire.Cell) uint64 {
	if n := len(cell.GetOps()); n > 0 {
		return cell.Ops[n-1]
	}
	return 0
}
