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
	log    bool // the database does not survive a failure of it
	once   sync.Once
}

// outcome is what the database is shown of a write or sync.
func (f *deviceFile) outcome(err error) error {
	if err != nil && f.device.suppressesErrors(f.log) {
		return nil
	}
	return err
}

// Write writes all of p, however often the disk runs out of space meanwhile.
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

// Preallocate asks for space in advance. Whether it is given shows at the write.
func (f *deviceFile) Preallocate(off, length int64) error {
	if f.device.begin() {
		_ = f.File.Preallocate(off, length)
		f.device.end()
	}
	return nil
}

// Stat checks the file. A log is asked for its size as it is begun anew.
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
	type chunk struct {
		b   []byte
		err error
	}
	got, err := readWithTimeout(f.device, func() (chunk, error) {
		b := make([]byte, len(p))
		n, err := f.File.ReadAt(b, off)
		if errors.Is(err, io.EOF) {
			return chunk{b[:n], err}, nil
		}
		return chunk{b[:n], nil}, err
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

// nullFileInfo describes a file that holds nothing.
type nullFileInfo struct{}

func (nullFileInfo) Name() string { return "" }

func (nullFileInfo) Size() int64 { return 0 }

func (nullFileInfo) Mode() fs.FileMode { return 0 }

func (nullFileInfo) ModTime() time.Time { return time.Time{} }

func (nullFileInfo) IsDir() bool { return false }

func (nullFileInfo) Sys() any { return nil }

func (nullFileInfo) DeviceID() vfs.DeviceID { return vfs.DeviceID{} }
