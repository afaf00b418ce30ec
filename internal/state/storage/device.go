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
	// roomRetry is the pause before a write that found no room is tried again.
	roomRetry = 50 * time.Millisecond
	// readWait is how long a read waits for a disk that does not answer.
	readWait = 500 * time.Millisecond
	// maxReads bounds the reads that wait for the disk at the same time.
	maxReads = 64
	// refusalPause slows down background work that is tried again as soon as it fails.
	refusalPause = 10 * time.Millisecond
)

var (
	errFenced    = errors.New("the device is fenced after a failure")
	errReadStall = errors.New("the disk does not answer")
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
	plain  bool // there is no database behind it that needs to be told what is not so
	fenced chan struct{}

	waiting atomic.Int32 // changes that wait for room
	stuck   atomic.Int32 // reads that the disk has not answered in time
	doomed  atomic.Bool  // everything is said to go well, so that the database can be closed
	reads   chan struct{}

	mu      sync.Mutex
	onFence func(error) // called once, by whoever fences
	cause   error       // of the fence
	readErr error       // of the last read that failed
	under   int         // changes handed to the disk and not answered
	idle    chan struct{}
	files   map[*deviceFile]struct{}
	locks   map[*deviceLock]struct{}
}

func newDevice(inner vfs.FS) *device {
	d := &device{
		FS:     inner,
		fenced: make(chan struct{}),
		reads:  make(chan struct{}, maxReads),
		files:  map[*deviceFile]struct{}{},
		locks:  map[*deviceLock]struct{}{},
	}
	// Opening a database would wait for ever for background work that goes on failing.
	d.doomed.Store(true)
	return d
}

// newFolderDevice makes a device for the files beside the database.
func newFolderDevice(inner vfs.FS) *device {
	d := newDevice(inner)
	d.plain = true
	return d
}

// opened ends the opening: from now on what was synced before a failure is to be read after it.
func (d *device) opened() { d.doomed.Store(false) }

// onFailure has f called once the device is fenced, or now if it is.
func (d *device) onFailure(f func(cause error)) {
	d.mu.Lock()
	cause := d.cause
	d.onFence = f
	d.mu.Unlock()
	if cause != nil {
		f(cause)
	}
}

// noRoom tells whether a change waits for room.
func (d *device) noRoom() bool { return d.waiting.Load() > 0 }

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
	first, tell := d.cause == nil, d.onFence
	if first {
		d.cause = cause
		close(d.fenced)
	}
	d.mu.Unlock()
	if first && tell != nil {
		tell(cause)
	}
}

// enter counts a change that is handed to the disk; false once fenced.
func (d *device) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cause != nil {
		return false
	}
	d.under++
	return true
}

func (d *device) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.under--
	if d.under == 0 && d.idle != nil {
		close(d.idle)
		d.idle = nil
	}
}

// drained is closed once no change is in the hands of the disk any more. It is for a
// fenced device, which takes no new ones.
func (d *device) drained() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.under == 0 {
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
	var held []io.Closer
	for l := range d.locks {
		held = append(held, l)
	}
	if withFiles {
		for f := range d.files {
			held = append(held, f)
		}
	}
	d.mu.Unlock()
	for _, c := range held {
		_ = c.Close()
	}
}

// doom lets a fenced device say that all goes well, though it does nothing. Its database
// then gets to the end of whatever it is at, and can be closed.
func (d *device) doom() { d.doomed.Store(true) }

// pretends tells whether a change that was not made is said to have gone well.
func (d *device) pretends(log bool) bool {
	return !d.plain && (log || d.doomed.Load()) && d.failure() != nil
}

// refused is the answer of a fenced device.
func (d *device) refused() error {
	if !d.doomed.Load() {
		refusalWait()
	}
	return errors.Join(errFenced, d.failure())
}

// slow keeps background work that fails on a fenced device from trying again at once.
func (d *device) slow(err error) {
	if err != nil && d.failure() != nil {
		refusalWait()
	}
}

func refusalWait() {
	pause(refusalPause)
}

// change hands a change to the disk, as often as it takes to find room.
func (d *device) change(do func() error) error {
	waits := false
	defer func() {
		if waits {
			d.waiting.Add(-1)
		}
	}()
	for {
		if !d.enter() {
			return d.refused()
		}
		err := do()
		d.leave()
		switch {
		case err == nil || harmless(err):
			return err
		case !outOfRoom(err), d.doomed.Load() && !d.plain:
			// Opening without room fails as a whole, and is tried again as a whole.
			d.fence(err)
			return err
		}
		if !waits {
			waits = true
			d.waiting.Add(1)
		}
		if !d.pause() {
			return d.refused()
		}
	}
}

// pause waits until a change may be tried again; false once fenced.
func (d *device) pause() bool {
	t := time.NewTimer(roomRetry)
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
	if !d.enter() {
		return d.refused()
	}
	err := do()
	d.leave()
	if err != nil {
		d.fence(err)
	}
	return err
}

// outOfRoom: the disk took less than it was given, and may take the rest later.
func outOfRoom(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// harmless: an answer about names, which says nothing of the disk's health.
func harmless(err error) bool {
	return errors.Is(err, fs.ErrNotExist) || errors.Is(err, fs.ErrExist) || errors.Is(err, fs.ErrInvalid) || errors.Is(err, fs.ErrClosed)
}

// bounded runs a read that the disk may not answer. One that is answered too late is
// handed to late.
func bounded[T any](d *device, do func() (T, error), late func(T)) (T, error) {
	var none T
	if d.stuck.Load() > 0 {
		refusalWait()
		return none, d.heard(errReadStall)
	}
	t := time.NewTimer(readWait)
	defer t.Stop()
	select {
	case d.reads <- struct{}{}:
	case <-t.C:
		return none, d.heard(errReadStall)
	}
	type answer struct {
		v   T
		err error
	}
	answers := make(chan answer)
	gone := make(chan struct{})
	go func() {
		v, err := do()
		<-d.reads
		select {
		case answers <- answer{v, err}:
		case <-gone:
			d.stuck.Add(-1)
			if err == nil && late != nil {
				late(v)
			}
		}
	}()
	select {
	case a := <-answers:
		return a.v, d.heard(a.err)
	case <-t.C:
		d.stuck.Add(1)
		close(gone)
		return none, d.heard(errReadStall)
	}
}

// heard notes a read that failed, and hands its failure back.
func (d *device) heard(err error) error {
	if err == nil || errors.Is(err, io.EOF) || harmless(err) {
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
	w := &deviceFile{File: f, d: d, log: isLog(name)}
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
	if err != nil && d.pretends(isLog(name)) {
		f, err = &noFile{}, nil
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
	f, err := bounded(d, func() (vfs.File, error) { return d.FS.Open(name, opts...) }, func(f vfs.File) { _ = f.Close() })
	d.slow(err)
	return d.wrap(name, f, err)
}

// OpenDir opens a folder, to sync it.
func (d *device) OpenDir(name string) (vfs.File, error) {
	f, err := d.FS.OpenDir(name)
	w, err := d.wrap(name, f, d.heard(err))
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
	return names, d.heard(err)
}

// Stat looks at a file.
func (d *device) Stat(name string) (vfs.FileInfo, error) {
	info, err := d.FS.Stat(name)
	return info, d.heard(err)
}

// Link makes a second name of a file.
func (d *device) Link(from, to string) error {
	return d.named(func() error { return d.FS.Link(from, to) })
}

// Rename renames a file.
func (d *device) Rename(from, to string) error {
	return d.named(func() error { return d.FS.Rename(from, to) })
}

// MkdirAll makes a folder and those that lead to it.
func (d *device) MkdirAll(dir string, perm os.FileMode) error {
	return d.named(func() error { return d.FS.MkdirAll(dir, perm) })
}

// named hands a change of names to the disk.
func (d *device) named(do func() error) error {
	err := d.change(do)
	if err != nil && d.pretends(false) {
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
	if !d.enter() {
		return d.refused()
	}
	defer d.leave()
	return do()
}

// Lock locks a file against other processes.
func (d *device) Lock(name string) (io.Closer, error) {
	var c io.Closer
	err := d.change(func() (err error) {
		c, err = d.FS.Lock(name)
		if err != nil && heldByOther(err) {
			err = &lockedError{err}
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	l := &deviceLock{Closer: c, d: d}
	d.mu.Lock()
	d.locks[l] = struct{}{}
	d.mu.Unlock()
	return l, nil
}

// heldByOther tells a lock that somebody else has from a failure of the disk.
func heldByOther(err error) bool {
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
	d    *device
	once sync.Once
}

// Close gives the lock back.
func (l *deviceLock) Close() (err error) {
	l.once.Do(func() {
		l.d.mu.Lock()
		delete(l.d.locks, l)
		l.d.mu.Unlock()
		err = l.Closer.Close()
	})
	return err
}

// deviceFile is a file on a device.
type deviceFile struct {
	vfs.File
	d    *device
	log  bool // the database does not survive a failure of it
	once sync.Once
}

// outcome is what the database is told of a write or sync.
func (f *deviceFile) outcome(err error) error {
	if err != nil && f.d.pretends(f.log) {
		return nil
	}
	return err
}

// Write writes all of p, however often the disk runs out of room meanwhile.
func (f *deviceFile) Write(p []byte) (int, error) {
	done := 0
	err := f.d.change(func() error {
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
	err := f.d.change(func() error {
		n, err := f.File.WriteAt(p[done:], off+int64(done))
		done += max(n, 0)
		return err
	})
	return done, err
}

// Preallocate asks for room in advance. Whether it is given shows at the write.
func (f *deviceFile) Preallocate(off, length int64) error {
	if f.d.enter() {
		_ = f.File.Preallocate(off, length)
		f.d.leave()
	}
	return nil
}

// Stat looks at the file. A log is asked for its size as it is begun anew.
func (f *deviceFile) Stat() (vfs.FileInfo, error) {
	info, err := f.File.Stat()
	if err == nil || !f.log {
		return info, f.d.heard(err)
	}
	f.d.fence(err)
	return noInfo{}, f.outcome(err)
}

// Sync syncs the file.
func (f *deviceFile) Sync() error { return f.outcome(f.d.sync(f.File.Sync)) }

// SyncData syncs what is in the file.
func (f *deviceFile) SyncData() error { return f.outcome(f.d.sync(f.File.SyncData)) }

// SyncTo begins to sync the first bytes of a file.
func (f *deviceFile) SyncTo(length int64) (full bool, err error) {
	err = f.d.sync(func() (err error) {
		full, err = f.File.SyncTo(length)
		return err
	})
	return full, f.outcome(err)
}

// Read reads on.
func (f *deviceFile) Read(p []byte) (int, error) {
	n, err := f.File.Read(p)
	return n, f.d.heard(err)
}

// ReadAt reads at an offset. Its buffer is its own, since a read that the disk does
// not answer in time is left behind.
func (f *deviceFile) ReadAt(p []byte, off int64) (int, error) {
	type part struct {
		b   []byte
		err error
	}
	got, err := bounded(f.d, func() (part, error) {
		b := make([]byte, len(p))
		n, err := f.File.ReadAt(b, off)
		if errors.Is(err, io.EOF) {
			return part{b[:n], err}, nil
		}
		return part{b[:n], nil}, err
	}, nil)
	if err != nil || got.err != nil {
		f.d.slow(errors.Join(err, got.err))
	}
	if err != nil {
		return 0, err
	}
	return copy(p, got.b), got.err
}

// Close closes the file.
func (f *deviceFile) Close() (err error) {
	f.once.Do(func() {
		f.d.mu.Lock()
		delete(f.d.files, f)
		f.d.mu.Unlock()
		if err = f.File.Close(); err != nil && f.log {
			f.d.fence(err)
		}
		err = f.outcome(err)
	})
	return err
}

// noFile stands for a file that could not be opened.
type noFile struct{ vfs.File }

func (*noFile) Write(p []byte) (int, error)            { return len(p), nil }
func (*noFile) WriteAt(p []byte, _ int64) (int, error) { return len(p), nil }
func (*noFile) Read([]byte) (int, error)               { return 0, errFenced }
func (*noFile) ReadAt([]byte, int64) (int, error)      { return 0, errFenced }
func (*noFile) Stat() (vfs.FileInfo, error)            { return noInfo{}, nil }
func (*noFile) Prefetch(int64, int64) error            { return nil }
func (*noFile) Preallocate(int64, int64) error         { return nil }
func (*noFile) Sync() error                            { return nil }
func (*noFile) SyncData() error                        { return nil }
func (*noFile) SyncTo(int64) (bool, error)             { return true, nil }
func (*noFile) Fd() uintptr                            { return vfs.InvalidFd }
func (*noFile) Close() error                           { return nil }

// noInfo describes a file that holds nothing.
type noInfo struct{}

func (noInfo) Name() string           { return "" }
func (noInfo) Size() int64            { return 0 }
func (noInfo) Mode() fs.FileMode      { return 0 }
func (noInfo) ModTime() time.Time     { return time.Time{} }
func (noInfo) IsDir() bool            { return false }
func (noInfo) Sys() any               { return nil }
func (noInfo) DeviceID() vfs.DeviceID { return vfs.DeviceID{} }
