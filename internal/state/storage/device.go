package storage

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// Times and bounds of a device.
const (
	// spaceRetryPause is the pause before a write that found no room is tried again.
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

// device is the file system that one instance of the database writes through. The
// database must not see a disk without room, since it takes any failed write for the
// end of the process; so a write that finds no room waits here until there is some.
// Any other failure of a write or a sync fences the device: from then on it changes
// nothing any more, so that a new instance can be opened on the same folder.
//
// The database also ends the process, past any recovery, where its log can't be closed
// or begun anew. So what fails with the log is said to have gone well; whoever has
// committed anything asks the device for its failure before believing it.
type device struct {
	vfs.FS
	withoutDatabase bool // there is no database behind it that needs to be told what is not so
	fenced          chan struct{}

	spaceWaiters atomic.Int32 // changes that wait for room
	stalledReads atomic.Int32 // reads that the disk has not answered in time
	discarding   atomic.Bool  // everything is said to go well, so that the database can be closed
	readSlots    chan struct{}

	mu            sync.Mutex
	onFailureFunc func(error) // called once, by whoever fences
	cause         error       // of the fence
	readErr       error       // of the last read that failed
	inFlight      int         // changes handed to the disk and not answered
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

// waitsForSpace tells whether a change waits for room.
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
	d.inFlight++
	return true
}

func (d *device) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
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

// startDiscarding lets a fenced device say that all goes well, though it does nothing. Its database
// then gets to the end of whatever it is at, and can be closed.
func (d *device) startDiscarding() { d.discarding.Store(true) }

// suppressesErrors tells whether a change that was not made is said to have gone well.
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

// change hands a change to the disk, as often as it takes to find room.
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
		switch {
		case err == nil || isBenign(err):
			return err
		case !isNoSpace(err), d.discarding.Load() && !d.withoutDatabase:
			// Opening without room fails as a whole, and is tried again as a whole.
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

// sync hands a sync to the disk. It is never tried again: a disk that failed one may
// have dropped what it was to keep and take the next for done.
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
	return errors.Is(err, fs.ErrNotExist) || errors.Is(err, fs.ErrExist) || errors.Is(err, fs.ErrInvalid) || errors.Is(err, fs.ErrClosed)
}

// readWithTimeout runs a read that the disk may not answer. One that is answered too late is
// handed to late.
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

// recordReadError notes a read that failed, and hands its failure back.
func (d *device) recordReadError(err error) error {
	if err == nil || errors.Is(err, io.EOF) || isBenign(err) {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.readErr = err
	return err
}

func (d *device) wrap(name string, f vfs.File, err error) (vfs.File, error) {
	if err != nil {
		return nil, err
	}
	w := &deviceFile{File: f, device: d, log: isLog(name)}
	d.mu.Lock()
	d.files[w] = struct{}{}
	d.mu.Unlock()
	return w, nil
}

// openWrite runs what opens a file for writing.
func (d *device) openWrite(name string, open func() (vfs.File, error)) (vfs.File, error) {
	var f vfs.File
	err := d.change(func() (err error) {
		f, err = open()
		return err
	})
	if err != nil && d.suppressesErrors(isLog(name)) {
		f, err = &nullFile{}, nil
	}
	return d.wrap(name, f, err)
}

// isLog tells whether a file is one of the database's log.
func isLog(name string) bool { return strings.HasSuffix(name, logSuffix) }

const logSuffix = ".log"

// Create makes a file.
func (d *device) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	return d.openWrite(name, func() (vfs.File, error) { return d.FS.Create(name, category) })
}

// OpenReadWrite opens a file, or makes it.
func (d *device) OpenReadWrite(name string, category vfs.DiskWriteCategory, opts ...vfs.OpenOption) (vfs.File, error) {
	return d.openWrite(name, func() (vfs.File, error) { return d.FS.OpenReadWrite(name, category, opts...) })
}

// ReuseForWrite renames a file and opens it for writing.
func (d *device) ReuseForWrite(from, to string, category vfs.DiskWriteCategory) (vfs.File, error) {
	return d.openWrite(to, func() (vfs.File, error) { return d.FS.ReuseForWrite(from, to, category) })
}

// Open opens a file for reading.
func (d *device) Open(name string, opts ...vfs.OpenOption) (vfs.File, error) {
	f, err := readWithTimeout(d, func() (vfs.File, error) { return d.FS.Open(name, opts...) }, func(f vfs.File) { _ = f.Close() })
	d.throttle(err)
	return d.wrap(name, f, err)
}

// OpenDir opens a folder, to sync it.
func (d *device) OpenDir(name string) (vfs.File, error) {
	f, err := d.FS.OpenDir(name)
	w, err := d.wrap(name, f, d.recordReadError(err))
	if err != nil {
		return nil, err
	}
	// A new log is begun with a sync of its folder.
	w.(*deviceFile).log = true
	return w, nil
}

// List lists a folder.
func (d *device) List(dir string) ([]string, error) {
	names, err := d.FS.List(dir)
	return names, d.recordReadError(err)
}

// Stat looks at a file.
func (d *device) Stat(name string) (vfs.FileInfo, error) {
	info, err := d.FS.Stat(name)
	return info, d.recordReadError(err)
}

// Link makes a second name of a file.
func (d *device) Link(from, to string) error {
	return d.changeNames(func() error { return d.FS.Link(from, to) })
}

// Rename renames a file.
func (d *device) Rename(from, to string) error {
	return d.changeNames(func() error { return d.FS.Rename(from, to) })
}

// MkdirAll makes a folder and those that lead to it.
func (d *device) MkdirAll(dir string, perm os.FileMode) error {
	return d.changeNames(func() error { return d.FS.MkdirAll(dir, perm) })
}

// changeNames hands a change of names to the disk.
func (d *device) changeNames(do func() error) error {
	err := d.change(do)
	if err != nil && d.suppressesErrors(false) {
		return nil
	}
	return err
}

// Remove removes a file. Failing to do so harms nothing.
func (d *device) Remove(name string) error {
	return d.remove(func() error { return d.FS.Remove(name) })
}

// RemoveAll removes a folder and all in it.
func (d *device) RemoveAll(name string) error {
	return d.remove(func() error { return d.FS.RemoveAll(name) })
}

func (d *device) remove(do func() error) error {
	if !d.begin() {
		return d.fencedError()
	}
	defer d.end()
	return do()
}

// Lock locks a file against other processes.
func (d *device) Lock(name string) (io.Closer, error) {
	var c io.Closer
	err := d.change(func() (err error) {
		c, err = d.FS.Lock(name)
		if err != nil && lockedByOther(err) {
			err = &lockedError{err}
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	l := &deviceLock{Closer: c, device: d}
	d.mu.Lock()
	d.locks[l] = struct{}{}
	d.mu.Unlock()
	return l, nil
}

// lockedByOther tells a lock that somebody else has from a failure of the disk.
func lockedByOther(err error) bool {
	var number syscall.Errno
	return !errors.As(err, &number) || number == syscall.EAGAIN || number == syscall.EACCES
}

// lockedError is a lock that somebody else has.
type lockedError struct{ err error }

func (e *lockedError) Error() string        { return e.err.Error() }
func (e *lockedError) Unwrap() error        { return e.err }
func (e *lockedError) Is(target error) bool { return target == fs.ErrExist }

// Unwrap is the file system below.
func (d *device) Unwrap() vfs.FS { return d.FS }

// deviceLock is a lock that is given back once.
type deviceLock struct {
	io.Closer
	device *device
	once   sync.Once
}

// Close gives the lock back.
func (l *deviceLock) Close() (err error) {
	l.once.Do(func() {
		l.device.mu.Lock()
		delete(l.device.locks, l)
		l.device.mu.Unlock()
		err = l.Closer.Close()
	})
	return err
}

// deviceFile is a file on a device.
type deviceFile struct {
	vfs.File
	device *device
	log    bool // the database does not survive a failure of it
	once   sync.Once
}

// outcome is what the database is told of a write or sync.
func (f *deviceFile) outcome(err error) error {
	if err != nil && f.device.suppressesErrors(f.log) {
		return nil
	}
	return err
}

// Write writes all of p, however often the disk runs out of room meanwhile.
func (f *deviceFile) Write(p []byte) (int, error) {
	done := 0
	err := f.device.change(func() error {
		n, err := f.File.Write(p[done:])
		done += max(n, 0)
		return err
	})
	if err != nil && f.outcome(err) == nil {
		return len(p), nil
	}
	return done, err
}

// WriteAt does the same at an offset.
func (f *deviceFile) WriteAt(p []byte, off int64) (int, error) {
	done := 0
	err := f.device.change(func() error {
		n, err := f.File.WriteAt(p[done:], off+int64(done))
		done += max(n, 0)
		return err
	})
	return done, err
}

// Preallocate asks for room in advance. Whether it is given shows at the write.
func (f *deviceFile) Preallocate(off, length int64) error {
	if f.device.begin() {
		_ = f.File.Preallocate(off, length)
		f.device.end()
	}
	return nil
}

// Stat looks at the file. A log is asked for its size as it is begun anew.
func (f *deviceFile) Stat() (vfs.FileInfo, error) {
	info, err := f.File.Stat()
	if err == nil || !f.log {
		return info, f.device.recordReadError(err)
	}
	f.device.fence(err)
	return nullFileInfo{}, f.outcome(err)
}

// Sync syncs the file.
func (f *deviceFile) Sync() error { return f.outcome(f.device.sync(f.File.Sync)) }

// SyncData syncs what is in the file.
func (f *deviceFile) SyncData() error { return f.outcome(f.device.sync(f.File.SyncData)) }

// SyncTo begins to sync the first bytes of a file.
func (f *deviceFile) SyncTo(length int64) (full bool, err error) {
	err = f.device.sync(func() (err error) {
		full, err = f.File.SyncTo(length)
		return err
	})
	return full, f.outcome(err)
}

// Read reads on.
func (f *deviceFile) Read(p []byte) (int, error) {
	n, err := f.File.Read(p)
	return n, f.device.recordReadError(err)
}

// ReadAt reads at an offset. Its buffer is its own, since a read that the disk does
// not answer in time is left behind.
func (f *deviceFile) ReadAt(p []byte, off int64) (int, error) {
	type part struct {
		b   []byte
		err error
	}
	got, err := readWithTimeout(f.device, func() (part, error) {
		b := make([]byte, len(p))
		n, err := f.File.ReadAt(b, off)
		if errors.Is(err, io.EOF) {
			return part{b[:n], err}, nil
		}
		return part{b[:n], nil}, err
	}, nil)
	if err != nil || got.err != nil {
		f.device.throttle(errors.Join(err, got.err))
	}
	if err != nil {
		return 0, err
	}
	return copy(p, got.b), got.err
}

// Close closes the file.
func (f *deviceFile) Close() (err error) {
	f.once.Do(func() {
		f.device.mu.Lock()
		delete(f.device.files, f)
		f.device.mu.Unlock()
		if err = f.File.Close(); err != nil && f.log {
			f.device.fence(err)
		}
		err = f.outcome(err)
	})
	return err
}

// nullFile stands for a file that could not be opened.
type nullFile struct{ vfs.File }

func (*nullFile) Write(p []byte) (int, error)            { return len(p), nil }
func (*nullFile) WriteAt(p []byte, _ int64) (int, error) { return len(p), nil }
func (*nullFile) Read([]byte) (int, error)               { return 0, errFenced }
func (*nullFile) ReadAt([]byte, int64) (int, error)      { return 0, errFenced }
func (*nullFile) Stat() (vfs.FileInfo, error)            { return nullFileInfo{}, nil }
func (*nullFile) Prefetch(int64, int64) error            { return nil }
func (*nullFile) Preallocate(int64, int64) error         { return nil }
func (*nullFile) Sync() error                            { return nil }
func (*nullFile) SyncData() error                        { return nil }
func (*nullFile) SyncTo(int64) (bool, error)             { return true, nil }
func (*nullFile) Fd() uintptr                            { return vfs.InvalidFd }
func (*nullFile) Close() error                           { return nil }

// nullFileInfo describes a file that holds nothing.
type nullFileInfo struct{}

func (nullFileInfo) Name() string           { return "" }
func (nullFileInfo) Size() int64            { return 0 }
func (nullFileInfo) Mode() fs.FileMode      { return 0 }
func (nullFileInfo) ModTime() time.Time     { return time.Time{} }
func (nullFileInfo) IsDir() bool            { return false }
func (nullFileInfo) Sys() any               { return nil }
func (nullFileInfo) DeviceID() vfs.DeviceID { return vfs.DeviceID{} }
