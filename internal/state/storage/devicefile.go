package storage

import (
	"errors"
	"io"
	"io/fs"
	"sync"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// deviceFile is a file on a device.
type deviceFile struct {
	vfs.File
	device *device
	log    bool // whether the database treats a failure of the file as fatal
	once   sync.Once
}

// outcome returns the error of a write or sync that is reported to the database.
func (f *deviceFile) outcome(err error) error {
	if err != nil && f.device.suppressesErrors(f.log) {
		return nil
	}
	return err
}

// Write writes all of p, and waits whenever the disk runs out of space.
func (f *deviceFile) Write(p []byte) (int, error) {
	written := 0
	err := f.device.applyChange(func() error {
		n, err := f.File.Write(p[written:])
		written += max(n, 0)
		return err
	})
	if err != nil && f.outcome(err) == nil {
		return len(p), nil
	}
	return written, err
}

// WriteAt is Write at an offset.
func (f *deviceFile) WriteAt(p []byte, off int64) (int, error) {
	written := 0
	err := f.device.applyChange(func() error {
		n, err := f.File.WriteAt(p[written:], off+int64(written))
		written += max(n, 0)
		return err
	})
	return written, err
}

// Preallocate reserves space in advance. Its errors are ignored, since a lack of space shows
// when the file is written.
func (f *deviceFile) Preallocate(off, length int64) error {
	if f.device.beginChange() {
		_ = f.File.Preallocate(off, length)
		f.device.endChange()
	}
	return nil
}

// Stat returns information about the file. The database reads the size of a log when it starts
// a new one, so a failure for a log is handled like a failed write.
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

// SyncData syncs the contents of the file.
func (f *deviceFile) SyncData() error { return f.outcome(f.device.sync(f.File.SyncData)) }

// SyncTo starts to sync the first length bytes of the file.
func (f *deviceFile) SyncTo(length int64) (full bool, err error) {
	err = f.device.sync(func() (err error) {
		full, err = f.File.SyncTo(length)
		return err
	})
	return full, f.outcome(err)
}

// Read reads from the current position.
func (f *deviceFile) Read(p []byte) (int, error) {
	n, err := f.File.Read(p)
	return n, f.device.recordReadError(err)
}

// ReadAt reads at an offset. It reads into a buffer that is not shared with the caller, since a
// read that times out goes on in the background.
func (f *deviceFile) ReadAt(p []byte, off int64) (int, error) {
	type readResult struct {
		b   []byte
		err error
	}
	result, err := readWithTimeout(f.device, func() (readResult, error) {
		b := make([]byte, len(p))
		n, err := f.File.ReadAt(b, off)
		if errors.Is(err, io.EOF) {
			return readResult{b[:n], err}, nil
		}
		return readResult{b[:n], nil}, err
	}, nil)
	if err != nil || result.err != nil {
		f.device.throttle(errors.Join(err, result.err))
	}
	if err != nil {
		return 0, err
	}
	return copy(p, result.b), result.err
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

// nullFile replaces a file that could not be opened. Writes to it succeed and are discarded.
type nullFile struct{ vfs.File }

func (*nullFile) Write(p []byte) (int, error) { return len(p), nil }

func (*nullFile) WriteAt(p []byte, _ int64) (int, error) { return len(p), nil }

func (*nullFile) Read([]byte) (int, error) { return 0, errFenced }

func (*nullFile) ReadAt([]byte, int64) (int, error) { return 0, errFenced }

func (*nullFile) Stat() (vfs.FileInfo, error) { return nullFileInfo{}, nil }

func (*nullFile) Prefetch(int64, int64) error { return nil }

func (*nullFile) Preallocate(int64, int64) error { return nil }

func (*nullFile) Sync() error { return nil }

func (*nullFile) SyncData() error { return nil }

func (*nullFile) SyncTo(int64) (bool, error) { return true, nil }

func (*nullFile) Fd() uintptr { return vfs.InvalidFd }

func (*nullFile) Close() error { return nil }

// nullFileInfo describes an empty file.
type nullFileInfo struct{}

func (nullFileInfo) Name() string { return "" }

func (nullFileInfo) Size() int64 { return 0 }

func (nullFileInfo) Mode() fs.FileMode { return 0 }

func (nullFileInfo) ModTime() time.Time { return time.Time{} }

func (nullFileInfo) IsDir() bool { return false }

func (nullFileInfo) Sys() any { return nil }

func (nullFileInfo) DeviceID() vfs.DeviceID { return vfs.DeviceID{} }
