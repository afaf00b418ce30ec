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

// Limits of the writer.
const (
	// maxQueuedWrites limits the writes that wait for the writer. Further writes are rejected.
	maxQueuedWrites = 1024
	// maxGroupWrites limits the writes that share one sync.
	maxGroupWrites = 256
	// maxGroupBytes is the size at which a group of writes is complete.
	maxGroupBytes = 512 << 10
	// closeTimeout is how long closing waits for a disk that does not respond.
	closeTimeout = 5 * time.Second
)

// edit sets one entry, or deletes it.
type edit struct {
	key     string
	value   []byte
	deleted bool
}

// States of a write.
const (
	queued   int32 = iota
	claimed        // picked up by the writer: it may reach the disk
	canceled       // will not be written
)

// write is a set of edits by one caller that are synced together.
type write struct {
	edits []edit
	state atomic.Int32
	done  chan error // receives one result
	// resolved is closed once the outcome can be read: from then on, views either include the
	// edits or never will.
	resolved chan struct{}
}

func (w *write) size() (n int) {
	for _, e := range w.edits {
		n += len(e.key) + len(e.value)
	}
	return n
}

// view is a snapshot of the synced data. Reads use a view and never the database itself, which
// also shows writes that have not been synced yet.
type view struct {
	*pebble.Snapshot
	users atomic.Int32 // reference count, including one while it is the newest view
}

func (v *view) release() {
	if v.users.Add(-1) == 0 {
		_ = v.Snapshot.Close()
	}
}

// instance is an open database with a single writer. After a failure it accepts no more writes,
// but its synced data can still be read until another instance replaces it.
type instance struct {
	db          *pebble.DB
	device      *device
	beforeSync  func() // called before each sync, for fault injection
	onSync      func(time.Duration)
	writes      chan *write
	quit        chan struct{}
	stopped     chan struct{}
	syncStarted atomic.Int64 // start of the current sync in nanoseconds since openedAt, plus one; 0: no sync is running
	openedAt    time.Time
	users       sync.WaitGroup // running calls
	sequence    atomic.Uint64  // write groups synced by all instances of the folder

	mu        sync.Mutex
	newest    *view
	uncertain []*write // writes of a failed instance whose outcome is unknown
}

// openInstance opens the database in dir through dev.
func openInstance(dir string, dev *device, o *pebble.Options) (i *instance, err error) {
	// The database panics on errors that it can't handle.
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
		writes:   make(chan *write, maxQueuedWrites),
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

// read runs f on the newest view. The instance is not closed before f returns.
func (i *instance) read(f func(pebble.Reader) error) error {
	i.mu.Lock()
	v := i.newest
	v.users.Add(1)
	i.mu.Unlock()
	defer v.release()
	return f(v.Snapshot)
}

// publishSnapshot makes the current contents of the database visible to reads.
func (i *instance) publishSnapshot() {
	v := &view{Snapshot: i.db.NewSnapshot()}
	v.users.Store(1)
	i.mu.Lock()
	old := i.newest
	i.newest = v
	i.mu.Unlock()
	old.release()
}

// currentSyncDuration returns how long the current sync has been running, or 0 if there is
// none.
func (i *instance) currentSyncDuration() time.Duration {
	started := i.syncStarted.Load()
	if started == 0 {
		return 0
	}
	return time.Since(i.openedAt) - time.Duration(started-1)
}

// run commits writes until the instance is closed or has failed. Queued writes share a sync.
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

// commitGroup commits a write together with those queued behind it.
func (i *instance) commitGroup(w *write) {
	var group []*write
	size := 0
	for more := true; more; {
		if w.state.CompareAndSwap(queued, claimed) {
			group = append(group, w)
			size += w.size()
		}
		if len(group) >= maxGroupWrites || size >= maxGroupBytes {
			break
		}
		select {
		case w = <-i.writes:
		default:
			more = false
		}
	}
	if len(group) == 0 {
		return
	}
	startedAt := time.Now()
	i.syncStarted.Store(int64(startedAt.Sub(i.openedAt)) + 1)
	err := i.commit(group)
	i.syncStarted.Store(0)
	i.onSync(time.Since(startedAt))
	if err != nil {
		i.mu.Lock()
		i.uncertain = append(i.uncertain, group...)
		i.mu.Unlock()
	}
	for _, w := range group {
		if err == nil {
			close(w.resolved)
		}
		w.done <- err
	}
}

// commit returns once the writes are synced and visible to reads, or with an error if they may
// be lost.
func (i *instance) commit(group []*write) (err error) {
	// The database panics if its log can't be written. After a failure that it considers fatal
	// to the process, it reports success.
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("commit: %v", r)
			i.device.fence(err)
		}
	}()
	i.beforeSync()
	b := i.db.NewBatch()
	for _, w := range group {
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

// submit passes edits to the writer and waits for their sync until the timeout. It returns the
// write if it may have been started: its outcome is known once it is resolved.
func (i *instance) submit(timeout time.Duration, edits []edit) (*write, error) {
	if err := i.rejectReason(timeout); err != nil {
		return nil, err
	}
	w := &write{edits: edits, done: make(chan error, 1), resolved: make(chan struct{})}
	select {
	case i.writes <- w:
	default:
		return nil, errQueueFull
	}
	t := time.NewTimer(timeout)
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

// Reasons why a write was not started or not completed in time.
var (
	errNoSpace     = errors.New("the disk has no space")
	errQueueFull   = errors.New("too many writes wait for the disk")
	errSyncTimeout = errors.New("the disk has not synced in time")
)

// rejectReason returns why a write can't be started, or nil.
func (i *instance) rejectReason(timeout time.Duration) error {
	switch {
	case i.device.failure() != nil:
		return errors.Join(errFenced, i.device.failure())
	case i.device.waitsForSpace():
		return errNoSpace
	case i.currentSyncDuration() >= timeout:
		return errSyncTimeout
	}
	return nil
}

// abandon stops waiting for a write. A write that is still queued is canceled.
func (i *instance) abandon(w *write, reason error) (*write, error) {
	if w.state.CompareAndSwap(queued, canceled) {
		if i.device.waitsForSpace() {
			reason = errNoSpace
		}
		return nil, reason
	}
	select {
	case err := <-w.done:
		return w, err
	default:
		return w, reason
	}
}

// resolve marks the uncertain writes of a failed instance as resolved, after another instance
// has been opened from the data on the disk.
func (i *instance) resolve() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, w := range i.uncertain {
		close(w.resolved)
	}
	i.uncertain = nil
}

// close closes the database once no view is in use. If the disk does not respond within the
// timeout, close fences the device and leaves the pending operations behind.
func (i *instance) close() error {
	close(i.quit)
	done := make(chan error, 1)
	go func() {
		<-i.stopped
		i.users.Wait()
		i.newest.release()
		done <- i.closeDB()
	}()
	t := time.NewTimer(closeTimeout)
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
	t.Reset(closeTimeout)
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
