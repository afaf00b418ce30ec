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
		// A database that has lost its manifest begins a table for each flush that it
		// tries again, without a pause of its own, for as long as it waits to be closed.
		// Its other files may be begun with its mutex held, and must not wait.
		if isTable(name) {
			throttleFenced()
		}
		f, err = &nullFile{}, nil
	}
	return d.wrap(name, f, err)
}

// isLog reports whether a file is one of the database's log.
func isLog(name string) bool { return strings.HasSuffix(name, logSuffix) }

// isTable reports whether a file is one of the database's tables.
func isTable(name string) bool { return strings.HasSuffix(name, tableSuffix) }

const (
	logSuffix   = ".log"
	tableSuffix = ".sst"
)

// Create makes a file.
func (d *device) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	return d.openWrite(name, func() (vfs.File, error) { return d.FS.Create(name, category) })
}

// OpenReadWrite opens a file, or makes it.
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

// Stat checks a file.
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

func (e *lockedError) Error() string { return e.err.Error() }

func (e *lockedError) Unwrap() error { return e.err }

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
