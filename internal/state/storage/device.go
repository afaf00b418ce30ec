package storage

import (
	"errors"
	"io"
	"io/fs"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// Timeouts and limits of a device.
const (
	// spaceRetryInterval is the delay before a write that failed for lack of space is retried.
	spaceRetryInterval = 50 * time.Millisecond
	// readTimeout is how long a read waits for a disk that does not respond.
	readTimeout = 500 * time.Millisecond
	// maxConcurrentReads limits the reads that wait for the disk at the same time.
	maxConcurrentReads = 64
	// fencedRetryDelay slows down background work that is retried as soon as it fails.
	fencedRetryDelay = 10 * time.Millisecond
)

var (
	errFenced      = errors.New("the device is fenced after a failure")
	errReadStalled = errors.New("the disk does not answer")
)

// device is the file system that one instance of the database writes through. The database
// treats every failed write as fatal to the process, so it must not see a full disk: a write
// that finds no space blocks here until there is some. Any other failure of a write or a sync
// fences the device: it makes no further changes, so that a new instance can be opened on the
// same folder.
//
// The database also ends the process, without a chance to recover, if its log can't be closed
// or a new log can't be created. Failures of the log are therefore reported as success, and
// callers that commit must check the device for a failure before they rely on the commit.
type device struct {
	vfs.FS
	withoutDatabase bool // no database uses the device, so errors are always reported
	fenced          chan struct{}

	spaceWaiters atomic.Int32 // changes that wait for disk space
	stalledReads atomic.Int32 // reads that timed out and are still pending
	discarding   atomic.Bool  // report success for discarded changes, so that the database can be closed
	readSlots    chan struct{}
	// releaseReserve frees the reserved disk space and reports whether it did. nil: there is no
	// reserve.
	releaseReserve func() bool

	mu             sync.Mutex
	failureHandler func(error) // called once, when the device is fenced
	fenceCause     error
	readErr        error     // of the last read that failed
	inFlight       int       // changes passed to the disk that have not completed
	lastProgress   time.Time // when a change last completed, or the first one was started
	idle           chan struct{}
	files          map[*deviceFile]struct{}
	locks          map[*deviceLock]struct{}
}

func newDevice(inner vfs.FS) *device {
	d := &device{
		FS:        inner,
		fenced:    make(chan struct{}),
		readSlots: make(chan struct{}, maxConcurrentReads),
		files:     map[*deviceFile]struct{}{},
		locks:     map[*deviceLock]struct{}{},
	}
	// Otherwise opening a database would wait forever for background work that keeps failing.
	d.discarding.Store(true)
	return d
}

// newFolderDevice returns a device for the files next to the database.
func newFolderDevice(inner vfs.FS) *device {
	d := newDevice(inner)
	d.withoutDatabase = true
	return d
}

// markOpened ends the opening phase: from now on, data synced before a failure must stay
// readable after it.
func (d *device) markOpened() { d.discarding.Store(false) }

// onFailure registers f to be called when the device is fenced. It is called at once if the
// device is fenced already.
func (d *device) onFailure(f func(cause error)) {
	d.mu.Lock()
	cause := d.fenceCause
	d.failureHandler = f
	d.mu.Unlock()
	if cause != nil {
		f(cause)
	}
}

// waitsForSpace reports whether a change waits for disk space.
func (d *device) waitsForSpace() bool { return d.spaceWaiters.Load() > 0 }

// failure returns the error that the device was fenced for, or nil.
func (d *device) failure() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fenceCause
}

// readFailure returns the error of the last failed read, or nil.
func (d *device) readFailure() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.readErr
}

// fence stops all further changes through the device. Only the first cause is recorded.
func (d *device) fence(cause error) {
	d.mu.Lock()
	first, notify := d.fenceCause == nil, d.failureHandler
	if first {
		d.fenceCause = cause
		close(d.fenced)
	}
	d.mu.Unlock()
	if first && notify != nil {
		notify(cause)
	}
}

// beginChange registers a change that is about to be passed to the disk. It returns false once
// the device is fenced.
func (d *device) beginChange() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fenceCause != nil {
		return false
	}
	if d.inFlight == 0 {
		d.lastProgress = time.Now()
	}
	d.inFlight++
	return true
}

// stallDuration returns for how long the disk has completed none of its pending changes.
func (d *device) stallDuration() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inFlight == 0 {
		return 0
	}
	return time.Since(d.lastProgress)
}

// endChange records that a change started with beginChange has completed.
func (d *device) endChange() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	d.lastProgress = time.Now()
	if d.inFlight == 0 && d.idle != nil {
		close(d.idle)
		d.idle = nil
	}
}

// drained returns a channel that is closed once no change is pending on the disk. It is meant
// for a fenced device, which starts no new ones.
func (d *device) drained() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inFlight == 0 {
		done := make(chan struct{})
		close(done)
		return done
	}
	if d.idle == nil {
		d.idle = make(chan struct{})
	}
	return d.idle
}

// release frees the locks, and optionally closes the files, that a fenced instance still holds.
func (d *device) release(withFiles bool) {
	d.mu.Lock()
	var toClose []io.Closer
	for l := range d.locks {
		toClose = append(toClose, l)
	}
	if withFiles {
		for f := range d.files {
			toClose = append(toClose, f)
		}
	}
	d.mu.Unlock()
	for _, c := range toClose {
		_ = c.Close()
	}
}

// startDiscarding makes a fenced device report success for the changes that it discards, so
// that its database can complete pending work and be closed.
func (d *device) startDiscarding() { d.discarding.Store(true) }

// suppressesErrors reports whether a discarded change is reported as success.
func (d *device) suppressesErrors(log bool) bool {
	return !d.withoutDatabase && (log || d.discarding.Load()) && d.failure() != nil
}

// fencedError returns the error for a change on a fenced device.
func (d *device) fencedError() error {
	if !d.discarding.Load() {
		throttleFenced()
	}
	return errors.Join(errFenced, d.failure())
}

// throttle delays background work that fails on a fenced device, so that it does not retry in a
// tight loop.
func (d *device) throttle(err error) {
	if err != nil && d.failure() != nil {
		throttleFenced()
	}
}

func throttleFenced() {
	sleep(fencedRetryDelay)
}

// applyChange runs a change on the disk and retries it while the disk has no space.
func (d *device) applyChange(operation func() error) error {
	counted := false
	defer func() {
		if counted {
			d.spaceWaiters.Add(-1)
		}
	}()
	for {
		if !d.beginChange() {
			return d.fencedError()
		}
		err := operation()
		d.endChange()
		if isNoSpace(err) && d.releaseReserve != nil && d.releaseReserve() {
			continue
		}
		switch {
		case err == nil || isBenign(err):
			return err
		case !isNoSpace(err), d.discarding.Load() && !d.withoutDatabase:
			// Without space, the whole opening fails and is retried as a whole.
			d.fence(err)
			return err
		}
		if !counted {
			counted = true
			d.spaceWaiters.Add(1)
		}
		if !d.waitForRetry() {
			return d.fencedError()
		}
	}
}

// waitForRetry waits until a change may be retried. It returns false once the device is fenced.
func (d *device) waitForRetry() bool {
	t := time.NewTimer(spaceRetryInterval)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-d.fenced:
		return false
	}
}

// sync runs a sync on the disk. It is never retried: a disk that failed a sync may have dropped
// the data and still report success for the next one.
func (d *device) sync(operation func() error) error {
	if !d.beginChange() {
		return d.fencedError()
	}
	err := operation()
	d.endChange()
	if err != nil {
		d.fence(err)
	}
	return err
}

// isNoSpace reports whether the disk ran out of space, so that a retry may succeed later.
func isNoSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// isBenign reports whether an error is about file names or handles and does not indicate a disk
// failure.
func isBenign(err error) bool {
	return errors.Is(err, fs.ErrNotExist) || errors.Is(err, fs.ErrExist) || errors.Is(err, fs.ErrInvalid) ||
		errors.Is(err, fs.ErrClosed)
}

// readWithTimeout runs a read that may block. A result that arrives after the timeout is passed
// to onLate.
func readWithTimeout[T any](d *device, operation func() (T, error), onLate func(T)) (T, error) {
	var zero T
	if d.stalledReads.Load() > 0 {
		throttleFenced()
		return zero, d.recordReadError(errReadStalled)
	}
	t := time.NewTimer(readTimeout)
	defer t.Stop()
	select {
	case d.readSlots <- struct{}{}:
	case <-t.C:
		return zero, d.recordReadError(errReadStalled)
	}
	type result struct {
		v   T
		err error
	}
	results := make(chan result)
	abandoned := make(chan struct{})
	go func() {
		v, err := operation()
		<-d.readSlots
		select {
		case results <- result{v, err}:
		case <-abandoned:
			d.stalledReads.Add(-1)
			if err == nil && onLate != nil {
				onLate(v)
			}
		}
	}()
	select {
	case r := <-results:
		return r.v, d.recordReadError(r.err)
	case <-t.C:
		d.stalledReads.Add(1)
		close(abandoned)
		return zero, d.recordReadError(errReadStalled)
	}
}

// recordReadError records a failed read and returns its error unchanged.
func (d *device) recordReadError(err error) error {
	if err == nil || errors.Is(err, io.EOF) || isBenign(err) {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.readErr = err
	return err
}
