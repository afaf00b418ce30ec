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

// Times and bounds of a device.
const (
	// spaceRetryPause is the pause before a write that found no space is tried again.
	spaceRetryPause = 50 * time.Millisecond
	// readTimeout is how long a read waits for a disk that does not answer.
	readTimeout = 500 * time.Millisecond
	// maxReads bounds the reads that wait for the disk at the same time.
	maxReads = 64
	// refusalPause slows down background work that is tried again as soon as it fails.
	refusalPause = 10 * time.Millisecond
)

var (
	errFenced      = errors.New("the device is fenced after a failure")
	errReadStalled = errors.New("the disk does not answer")
)

// device is the file system that one instance of the database writes through. The database
// must not see a disk without space, since it takes any failed write for the end of the
// process; so a write that finds no space waits here until there is some. Any other
// failure of a write or a sync fences the device: from then on it changes nothing, so that
// a new instance can be opened on the same folder.
//
// The database also ends the process, past any recovery, where its log can not be closed
// or begun anew. So failures of the log are reported as success; whoever has committed
// anything asks the device for its failure before relying on it.
type device struct {
	vfs.FS
	withoutDatabase bool // there is no database behind it that needs to be shown what is not so
	fenced          chan struct{}

	spaceWaiters atomic.Int32 // changes that wait for space
	stalledReads atomic.Int32 // reads that the disk has not answered in time
	discarding   atomic.Bool  // everything is said to go well, so that the database can be closed
	readSlots    chan struct{}
	// releaseReserve makes space; it reports whether it did. nil: there is no reserve.
	releaseReserve func() bool

	mu            sync.Mutex
	onFailureFunc func(error) // called once, by whoever fences
	cause         error       // of the fence
	readErr       error       // of the last read that failed
	inFlight      int         // changes handed to the disk and not answered
	lastProgress  time.Time   // when it last answered one, or was handed the first
	idle          chan struct{}
	files         map[*deviceFile]struct{}
	locks         map[*deviceLock]struct{}
}

func newDevice(inner vfs.FS) *device {
	d := &device{
		FS:        inner,
		fenced:    make(chan struct{}),
		readSlots: make(chan struct{}, maxReads),
		files:     map[*deviceFile]struct{}{},
		locks:     map[*deviceLock]struct{}{},
	}
	// Opening a database would wait for ever for background work that goes on failing.
	d.discarding.Store(true)
	return d
}

// newFolderDevice makes a device for the files beside the database.
func newFolderDevice(inner vfs.FS) *device {
	d := newDevice(inner)
	d.withoutDatabase = true
	return d
}

// opened ends the opening: from now on what was synced before a failure is to be read after it.
func (d *device) opened() { d.discarding.Store(false) }

// onFailure has f called once the device is fenced, or now if it is.
func (d *device) onFailure(f func(cause error)) {
	d.mu.Lock()
	cause := d.cause
	d.onFailureFunc = f
	d.mu.Unlock()
	if cause != nil {
		f(cause)
	}
}

// waitsForSpace reports whether a change waits for space.
func (d *device) waitsForSpace() bool { return d.spaceWaiters.Load() > 0 }

// failure is what the device was fenced for, or nil.
func (d *device) failure() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cause
}

// readFailure is the failure of the last read that failed, or nil.
func (d *device) readFailure() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.readErr
}

// fence ends all changes through the device. The first cause counts.
func (d *device) fence(cause error) {
	d.mu.Lock()
	first, tell := d.cause == nil, d.onFailureFunc
	if first {
		d.cause = cause
		close(d.fenced)
	}
	d.mu.Unlock()
	if first && tell != nil {
		tell(cause)
	}
}

// begin counts a change that is handed to the disk; false once fenced.
func (d *device) begin() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cause != nil {
		return false
	}
	if d.inFlight == 0 {
		d.lastProgress = time.Now()
	}
	d.inFlight++
	return true
}

// hungFor is how long the disk has answered none of the changes that it was handed.
func (d *device) hungFor() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inFlight == 0 {
		return 0
	}
	return time.Since(d.lastProgress)
}

func (d *device) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	d.lastProgress = time.Now()
	if d.inFlight == 0 && d.idle != nil {
		close(d.idle)
		d.idle = nil
	}
}

// drained is closed once no change is in the hands of the disk any more. It is for a
// fenced device, which takes no new ones.
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

// release gives back the locks and files that a fenced instance still holds.
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

// startDiscarding has a fenced device report success for changes that it discards. Its
// database then completes whatever it is at, and can be closed.
func (d *device) startDiscarding() { d.discarding.Store(true) }

// suppressesErrors reports whether a change that was discarded is reported as success.
func (d *device) suppressesErrors(log bool) bool {
	return !d.withoutDatabase && (log || d.discarding.Load()) && d.failure() != nil
}

// fencedError is the answer of a fenced device.
func (d *device) fencedError() error {
	if !d.discarding.Load() {
		throttleFenced()
	}
	return errors.Join(errFenced, d.failure())
}

// throttle keeps background work that fails on a fenced device from trying again at once.
func (d *device) throttle(err error) {
	if err != nil && d.failure() != nil {
		throttleFenced()
	}
}

func throttleFenced() {
	sleep(refusalPause)
}

// change runs a change on the disk, repeated for as long as there is no space.
func (d *device) change(do func() error) error {
	waiting := false
	defer func() {
		if waiting {
			d.spaceWaiters.Add(-1)
		}
	}()
	for {
		if !d.begin() {
			return d.fencedError()
		}
		err := do()
		d.end()
		if isNoSpace(err) && d.releaseReserve != nil && d.releaseReserve() {
			continue
		}
		switch {
		case err == nil || isBenign(err):
			return err
		case !isNoSpace(err), d.discarding.Load() && !d.withoutDatabase:
			// Opening without space fails as a unit, and is tried again as a unit.
			d.fence(err)
			return err
		}
		if !waiting {
			waiting = true
			d.spaceWaiters.Add(1)
		}
		if !d.sleep() {
			return d.fencedError()
		}
	}
}

// sleep waits until a change may be tried again; false once fenced.
func (d *device) sleep() bool {
	t := time.NewTimer(spaceRetryPause)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-d.fenced:
		return false
	}
}

// sync runs a sync on the disk. It is never repeated: a disk that failed one may have
// dropped the data and report success for the next.
func (d *device) sync(do func() error) error {
	if !d.begin() {
		return d.fencedError()
	}
	err := do()
	d.end()
	if err != nil {
		d.fence(err)
	}
	return err
}

// isNoSpace: the disk took less than it was given, and may take the rest later.
func isNoSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// isBenign: an answer about names, which says nothing of the disk's health.
func isBenign(err error) bool {
	return errors.Is(err, fs.ErrNotExist) || errors.Is(err, fs.ErrExist) || errors.Is(err, fs.ErrInvalid) ||
		errors.Is(err, fs.ErrClosed)
}

// readWithTimeout runs a read that the disk may not answer. A result that comes too late
// is passed to late.
func readWithTimeout[T any](d *device, do func() (T, error), late func(T)) (T, error) {
	var none T
	if d.stalledReads.Load() > 0 {
		throttleFenced()
		return none, d.recordReadError(errReadStalled)
	}
	t := time.NewTimer(readTimeout)
	defer t.Stop()
	select {
	case d.readSlots <- struct{}{}:
	case <-t.C:
		return none, d.recordReadError(errReadStalled)
	}
	type answer struct {
		v   T
		err error
	}
	answers := make(chan answer)
	abandoned := make(chan struct{})
	go func() {
		v, err := do()
		<-d.readSlots
		select {
		case answers <- answer{v, err}:
		case <-abandoned:
			d.stalledReads.Add(-1)
			if err == nil && late != nil {
				late(v)
			}
		}
	}()
	select {
	case a := <-answers:
		return a.v, d.recordReadError(a.err)
	case <-t.C:
		d.stalledReads.Add(1)
		close(abandoned)
		return none, d.recordReadError(errReadStalled)
	}
}

// recordReadError remembers a read that failed, and returns its error.
func (d *device) recordReadError(err error) error {
	if err == nil || errors.Is(err, io.EOF) || isBenign(err) {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.readErr = err
	return err
}
