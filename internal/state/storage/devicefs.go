package storage

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"strings"
	"sync"
	"syscall"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// wrap returns an opened file as a file of the device.
func (d *device) wrap(name string, f vfs.File, err error) (vfs.File, error) {
	if err != nil {
		return nil, err
	}
	wrapped := &deviceFile{File: f, device: d, log: isLog(name)}
	d.mu.Lock()
	d.files[wrapped] = struct{}{}
	d.mu.Unlock()
	return wrapped, nil
}

// openWrite runs an operation that opens a file for writing.
func (d *device) openWrite(name string, open func() (vfs.File, error)) (vfs.File, error) {
	var f vfs.File
	err := d.applyChange(func() (err error) {
		f, err = open()
		return err
	})
	if err != nil && d.suppressesErrors(isLog(name)) {
		// A database that has lost its manifest creates a new table for each flush that it
		// retries, without a delay, while it waits to be closed. Creating its other files must
		// not block, since that can happen with its mutex held.
		if isTable(name) {
			throttleFenced()
		}
		f, err = &nullFile{}, nil
	}
	return d.wrap(name, f, err)
}

// isLog reports whether a file belongs to the database's write-ahead log.
func isLog(name string) bool { return strings.HasSuffix(name, logSuffix) }

// isTable reports whether a file is a table of the database.
func isTable(name string) bool { return strings.HasSuffix(name, tableSuffix) }

const (
	logSuffix   = ".log"
	tableSuffix = ".sst"
)

// Create creates a file.
func (d *device) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	return d.openWrite(name, func() (vfs.File, error) { return d.FS.Create(name, category) })
}

// OpenReadWrite opens a file for reading and writing, and creates it if necessary.
func (d *device) OpenReadWrite(
	name string,
	category vfs.DiskWriteCategory,
	opts ...vfs.OpenOption,
) (vfs.File, error) {
	return d.openWrite(name, func() (vfs.File, error) { return d.FS.OpenReadWrite(name, category, opts...) })
}

// ReuseForWrite renames a file and opens it for writing.
func (d *device) ReuseForWrite(from, to string, category vfs.DiskWriteCategory) (vfs.File, error) {
	return d.openWrite(to, func() (vfs.File, error) { return d.FS.ReuseForWrite(from, to, category) })
}

// Open opens a file for reading.
func (d *device) Open(name string, opts ...vfs.OpenOption) (vfs.File, error) {
	f, err := readWithTimeout(
		d,
		func() (vfs.File, error) { return d.FS.Open(name, opts...) },
		func(f vfs.File) { _ = f.Close() },
	)
	d.throttle(err)
	return d.wrap(name, f, err)
}

// OpenDir opens a directory in order to sync it.
func (d *device) OpenDir(name string) (vfs.File, error) {
	f, err := d.FS.OpenDir(name)
	wrapped, err := d.wrap(name, f, d.recordReadError(err))
	if err != nil {
		return nil, err
	}
	// The creation of a new log ends with a sync of its directory.
	wrapped.(*deviceFile).log = true
	return wrapped, nil
}

// List lists a directory.
func (d *device) List(dir string) ([]string, error) {
	names, err := d.FS.List(dir)
	return names, d.recordReadError(err)
}

// Stat returns information about a file.
func (d *device) Stat(name string) (vfs.FileInfo, error) {
	info, err := d.FS.Stat(name)
	return info, d.recordReadError(err)
}

// Link creates a hard link.
func (d *device) Link(from, to string) error {
	return d.changeDirectory(func() error { return d.FS.Link(from, to) })
}

// Rename renames a file.
func (d *device) Rename(from, to string) error {
	return d.changeDirectory(func() error { return d.FS.Rename(from, to) })
}

// MkdirAll creates a directory and its missing parents.
func (d *device) MkdirAll(dir string, perm os.FileMode) error {
	return d.changeDirectory(func() error { return d.FS.MkdirAll(dir, perm) })
}

// changeDirectory runs an operation that changes directory entries.
func (d *device) changeDirectory(operation func() error) error {
	err := d.applyChange(operation)
	if err != nil && d.suppressesErrors(false) {
		return nil
	}
	return err
}

// Remove removes a file. A failure does not fence the device, since a file left over does no
// harm.
func (d *device) Remove(name string) error {
	return d.remove(func() error { return d.FS.Remove(name) })
}

// RemoveAll removes a directory and its contents. A failure does not fence the device.
func (d *device) RemoveAll(name string) error {
	return d.remove(func() error { return d.FS.RemoveAll(name) })
}

func (d *device) remove(operation func() error) error {
	if !d.beginChange() {
		return d.fencedError()
	}
	defer d.endChange()
	return operation()
}

// Lock locks a file against other processes.
func (d *device) Lock(name string) (io.Closer, error) {
	var c io.Closer
	err := d.applyChange(func() (err error) {
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

// lockedByOther reports whether an error means that another process holds the lock, as opposed
// to a disk failure.
func lockedByOther(err error) bool {
	var errno syscall.Errno
	return !errors.As(err, &errno) || errno == syscall.EAGAIN || errno == syscall.EACCES
}

// lockedError is returned for a lock that another process holds.
type lockedError struct{ err error }

func (e *lockedError) Error() string { return e.err.Error() }

func (e *lockedError) Unwrap() error { return e.err }

func (e *lockedError) Is(target error) bool { return target == fs.ErrExist }

// Unwrap returns the underlying file system.
func (d *device) Unwrap() vfs.FS { return d.FS }

// deviceLock is a file lock that is released at most once.
type deviceLock struct {
	io.Closer
	device *device
	once   sync.Once
}

// Close releases the lock.
func (l *deviceLock) Close() (err error) {
	l.once.Do(func() {
		l.device.mu.Lock()
		delete(l.device.locks, l)
		l.device.mu.Unlock()
		err = l.Closer.Close()
	})
	return err
}
