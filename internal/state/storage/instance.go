package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble/v2"
)

// Bounds of the writer.
const (
	// maxQueued bounds the writes that wait for the writer. More are refused.
	maxQueued = 1024
	// maxGroup bounds the writes that share one sync.
	maxGroup = 256
	// maxGroupBytes ends a group early.
	maxGroupBytes = 512 << 10
	// closeWait is how long closing waits for a disk that does not answer.
	closeWait = 5 * time.Second
)

// edit sets one entry, or deletes it.
type edit struct {
	key     string
	value   []byte
	deleted bool
}

// What has become of a write.
const (
	queued   int32 = iota
	claimed        // the writer has it: it may reach the disk
	canceled       // it has not been begun, and will not be
)

// write is one caller's edits, synced together.
type write struct {
	edits []edit
	state atomic.Int32
	done  chan error // holds one answer
	// resolved is closed once the outcome can be read: from then on views either have
	// the edits or never will.
	resolved chan struct{}
}

func (w *write) size() (n int) {
	for _, e := range w.edits {
		n += len(e.key) + len(e.value)
	}
	return n
}

// view is what had been synced at one moment. Reads go through a view, never to the
// database itself, which shows writes that the disk has not synced yet.
type view struct {
	*pebble.Snapshot
	users atomic.Int32 // and one for being the newest
}

func (v *view) release() {
	if v.users.Add(-1) == 0 {
		_ = v.Snapshot.Close()
	}
}

// instance is a database that is open, with its one writer. A failed instance writes
// nothing any more; what it had synced can still be read until another takes its place.
type instance struct {
	db          *pebble.DB
	device      *device
	beforeSync  func() // of each sync; for the rehearsal kit
	onSync      func(time.Duration)
	writes      chan *write
	quit        chan struct{}
	stopped     chan struct{}
	syncStarted atomic.Int64 // one more than when, since began, the sync under way began; 0: none is
	openedAt    time.Time
	users       sync.WaitGroup // calls under way
	sequence    atomic.Uint64  // groups of writes synced, of all instances of the folder

	mu        sync.Mutex
	newest    *view
	uncertain []*write // of a failed instance: what nobody knows the outcome of
}

// openInstance opens the database in dir through dev.
func openInstance(dir string, dev *device, o *pebble.Options) (i *instance, err error) {
	// The database panics where it finds no way to go on.
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("open: %v", r)
		}
	}()
	db, err := pebble.Open(dir, o)
	if err != nil {
		return nil, err
	}
	dev.markOpened()
	if cause := dev.failure(); cause != nil {
		dev.startDiscarding()
		_ = db.Close()
		return nil, cause
	}
	i = &instance{
		db:       db,
		device:   dev,
		writes:   make(chan *write, maxQueued),
		quit:     make(chan struct{}),
		stopped:  make(chan struct{}),
		openedAt: time.Now(),
	}
	i.newest = &view{Snapshot: db.NewSnapshot()}
	i.newest.users.Store(1)
	sequence, err := readSequence(i.newest)
	if err != nil {
		i.newest.release()
		return nil, errors.Join(err, db.Close())
	}
	i.sequence.Store(sequence)
	return i, nil
}

// read runs f on what has been synced by now. The instance is not closed meanwhile.
func (i *instance) read(f func(pebble.Reader) error) error {
	i.mu.Lock()
	v := i.newest
	v.users.Add(1)
	i.mu.Unlock()
	defer v.release()
	return f(v.Snapshot)
}

// advance lets reads see what the database holds now.
func (i *instance) publishSnapshot() {
	v := &view{Snapshot: i.db.NewSnapshot()}
	v.users.Store(1)
	i.mu.Lock()
	old := i.newest
	i.newest = v
	i.mu.Unlock()
	old.release()
}

// syncing is how long the sync under way has taken; 0 where none is.
func (i *instance) currentSyncDuration() time.Duration {
	at := i.syncStarted.Load()
	if at == 0 {
		return 0
	}
	return time.Since(i.openedAt) - time.Duration(at-1)
}

// run commits writes, as many as wait in one sync, until the instance is closed or has
// failed.
func (i *instance) run() {
	defer close(i.stopped)
	for {
		select {
		case <-i.quit:
			return
		case <-i.device.fenced:
			return
		case w := <-i.writes:
			i.commitGroup(w)
		}
	}
}

// commitGroup commits a write together with those that wait behind it.
func (i *instance) commitGroup(w *write) {
	var ws []*write
	size := 0
	for more := true; more; {
		if w.state.CompareAndSwap(queued, claimed) {
			ws = append(ws, w)
			size += w.size()
		}
		if len(ws) >= maxGroup || size >= maxGroupBytes {
			break
		}
		select {
		case w = <-i.writes:
		default:
			more = false
		}
	}
	if len(ws) == 0 {
		return
	}
	at := time.Now()
	i.syncStarted.Store(int64(at.Sub(i.openedAt)) + 1)
	err := i.commit(ws)
	i.syncStarted.Store(0)
	i.onSync(time.Since(at))
	if err != nil {
		i.mu.Lock()
		i.uncertain = append(i.uncertain, ws...)
		i.mu.Unlock()
	}
	for _, w := range ws {
		if err == nil {
			close(w.resolved)
		}
		w.done <- err
	}
}

// commit returns once the writes are synced and can be read, or may be lost.
func (i *instance) commit(ws []*write) (err error) {
	// The database panics where its log can't be written, and after a failure that it
	// takes for the end of the process it says that all went well.
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("commit: %v", r)
			i.device.fence(err)
		}
	}()
	i.beforeSync()
	b := i.db.NewBatch()
	for _, w := range ws {
		for _, e := range w.edits {
			if e.deleted {
				err = b.Delete([]byte(e.key), nil)
			} else {
				err = b.Set([]byte(e.key), e.value, nil)
			}
			if err != nil {
				i.device.fence(err)
				return err
			}
		}
	}
	next := i.sequence.Load() + 1
	if err := b.Set([]byte(sequenceKey), binary.BigEndian.AppendUint64(nil, next), nil); err != nil {
		i.device.fence(err)
		return err
	}
	if err := b.Commit(pebble.Sync); err != nil {
		i.device.fence(err)
	}
	if err := i.device.failure(); err != nil {
		return err
	}
	_ = b.Close()
	i.publishSnapshot()
	i.sequence.Store(next)
	return nil
}

// submit hands edits to the writer and waits for their sync, for as long as limit
// says. The write is given where it may have been begun: its outcome is known once it
// is resolved.
func (i *instance) submit(limit time.Duration, edits []edit) (*write, error) {
	if err := i.rejectReason(limit); err != nil {
		return nil, err
	}
	w := &write{edits: edits, done: make(chan error, 1), resolved: make(chan struct{})}
	select {
	case i.writes <- w:
	default:
		return nil, errQueueFull
	}
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case err := <-w.done:
		return w, err
	case <-i.stopped:
		return i.abandon(w, errFenced)
	case <-t.C:
		return i.abandon(w, errSyncTimeout)
	}
}

// Why a write was not begun, or not answered in time.
var (
	errNoSpace     = errors.New("the disk has no space")
	errQueueFull   = errors.New("too many writes wait for the disk")
	errSyncTimeout = errors.New("the disk has not synced in time")
)

// rejection tells why a write is not even begun.
func (i *instance) rejectReason(limit time.Duration) error {
	switch {
	case i.device.failure() != nil:
		return errors.Join(errFenced, i.device.failure())
	case i.device.waitsForSpace():
		return errNoSpace
	case i.currentSyncDuration() >= limit:
		return errSyncTimeout
	}
	return nil
}

// abandon is the answer to a write that waits no longer.
func (i *instance) abandon(w *write, why error) (*write, error) {
	if w.state.CompareAndSwap(queued, canceled) {
		if i.device.waitsForSpace() {
			why = errNoSpace
		}
		return nil, why
	}
	select {
	case err := <-w.done:
		return w, err
	default:
		return w, why
	}
}

// resolve ends the uncertainty about the writes of a failed instance, once another has been
// opened from what the disk holds.
func (i *instance) resolve() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, w := range i.uncertain {
		close(w.resolved)
	}
	i.uncertain = nil
}

// close closes the database once no view is read any more. A disk that does not answer
// is not waited for: the device is fenced, and what it still does is left behind.
func (i *instance) close() error {
	close(i.quit)
	done := make(chan error, 1)
	go func() {
		<-i.stopped
		i.users.Wait()
		i.newest.release()
		done <- i.closeDB()
	}()
	t := time.NewTimer(closeWait)
	defer t.Stop()
	if i.device.waitsForSpace() {
		i.device.fence(errNoSpace)
	}
	if i.device.failure() != nil {
		i.device.startDiscarding()
	}
	select {
	case err := <-done:
		return err
	case <-t.C:
	}
	i.device.fence(errSyncTimeout)
	i.device.startDiscarding()
	t.Reset(closeWait)
	select {
	case err := <-done:
		return err
	case <-t.C:
		return errSyncTimeout
	}
}

func (i *instance) closeDB() (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("close: %v", r)
		}
	}()
	return i.db.Close()
}
