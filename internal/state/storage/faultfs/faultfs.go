// Package faultfs provides a file system with fault injection for tests: a full disk, a disk
// that does not respond, a slow disk, and single or repeated failures of calls.
package faultfs

import (
	"errors"
	"io"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// Kind is the kind of a file system call.
type Kind int

// The kinds of calls.
const (
	Read   Kind = iota // opens a file for reading, or reads
	Write              // writes data, or creates or renames a file
	Sync               // syncs a file or a directory
	Remove             // removes a file
)

// FS is a file system with fault injection.
type FS struct {
	vfs.FS
	mu         sync.Mutex
	full       bool
	delay      time.Duration
	stalled    chan struct{} // closed when the disk responds again; nil while it is not stalled
	calls      [Remove + 1]int
	callFaults map[callNumber]error
	fileFaults []fileFault
	onCall     func(kind Kind, n int)
	// capacity limits the total bytes of all files; 0: no limit. used has the bytes of each
	// file.
	capacity int64
	used     map[string]int64
}

// fileFault is a failure of calls on files whose names contain namePart.
type fileFault struct {
	kind      Kind
	namePart  string
	err       error
	permanent bool // whether it fails each matching call, not just the next one
}

// callNumber identifies a call: the n-th of its kind.
type callNumber struct {
	kind Kind
	n    int
}

// New returns a file system on top of inner that injects no faults yet.
func New(inner vfs.FS) *FS { return &FS{FS: inner, callFaults: map[callNumber]error{}} }

// SetFull sets whether the disk is full. Writes to a full disk write half of their bytes and
// fail with ENOSPC.
func (f *FS) SetFull(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full = on
}

// SetDelay sets a delay for each call.
func (f *FS) SetDelay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = delay
}

// SetStalled sets whether the disk is stalled. Calls block until it is not stalled any more.
func (f *FS) SetStalled(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case on && f.stalled == nil:
		f.stalled = make(chan struct{})
	case !on && f.stalled != nil:
		close(f.stalled)
		f.stalled = nil
	}
}

// FailNext makes the n-th call of a kind from now on fail with err; the next call is number 1.
func (f *FS) FailNext(kind Kind, n int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callFaults[callNumber{kind, f.calls[kind] + n}] = err
}

// FailNextOnFile makes the next call of a kind on a file whose name contains namePart fail with
// err.
func (f *FS) FailNextOnFile(kind Kind, namePart string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fileFaults = append(f.fileFaults, fileFault{kind: kind, namePart: namePart, err: err})
}

// FailAlwaysOnFile makes each call of a kind on a file whose name contains namePart fail with
// err, until ClearFileFaults is called.
func (f *FS) FailAlwaysOnFile(kind Kind, namePart string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fileFaults = append(f.fileFaults, fileFault{kind: kind, namePart: namePart, err: err, permanent: true})
}

// ClearFileFaults removes the faults set with FailNextOnFile and FailAlwaysOnFile.
func (f *FS) ClearFileFaults() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fileFaults = nil
}

// SetCapacity limits the total bytes of the files written from now on.
func (f *FS) SetCapacity(bytes int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.capacity = bytes
	if f.used == nil {
		f.used = map[string]int64{}
	}
}

// Used returns the total bytes of the files written since SetCapacity.
func (f *FS) Used() (total int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.used {
		total += n
	}
	return total
}

// allocate adds bytes to the usage of a file. It returns ENOSPC if they exceed the capacity.
func (f *FS) allocate(name string, n int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.capacity == 0 {
		return nil
	}
	total := int64(n)
	for _, size := range f.used {
		total += size
	}
	if total > f.capacity {
		return syscall.ENOSPC
	}
	f.used[name] += int64(n)
	return nil
}

// renameUsage moves the usage of a file, or of all files in a directory, to another name.
func (f *FS) renameUsage(from, to string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, n := range f.used {
		if name == from || strings.HasPrefix(name, from+"/") {
			delete(f.used, name)
			f.used[to+strings.TrimPrefix(name, from)] = n
		}
	}
}

// hasCapacity reports whether a capacity is set.
func (f *FS) hasCapacity() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.capacity > 0
}

// releaseUsage drops the usage of a file that is removed or truncated, or of all files in a
// directory.
func (f *FS) releaseUsage(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for other := range f.used {
		if other == name || strings.HasPrefix(other, name+"/") {
			delete(f.used, other)
		}
	}
}

// GetDiskUsage reports the capacity set with SetCapacity, if any.
func (f *FS) GetDiskUsage(dir string) (vfs.DiskUsage, error) {
	f.mu.Lock()
	capacity := f.capacity
	f.mu.Unlock()
	if capacity == 0 {
		return f.FS.GetDiskUsage(dir)
	}
	used := f.Used()
	return vfs.DiskUsage{
		AvailBytes: uint64(capacity - used), TotalBytes: uint64(capacity), UsedBytes: uint64(used),
	}, nil
}

// takeFault returns the error that a call is to fail with, or nil, and removes a fault that
// applies only once.
func (f *FS) takeFault(p callNumber, name string) error {
	for i, fault := range f.fileFaults {
		if fault.kind == p.kind && strings.Contains(name, fault.namePart) {
			if !fault.permanent {
				f.fileFaults = slices.Delete(f.fileFaults, i, i+1)
			}
			return fault.err
		}
	}
	err := f.callFaults[p]
	delete(f.callFaults, p)
	return err
}

// Count returns the number of calls of a kind so far.
func (f *FS) Count(kind Kind) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[kind]
}

// OnCall sets a hook that is called at each call with its kind and its number among the calls
// of that kind.
func (f *FS) OnCall(hook func(kind Kind, n int)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onCall = hook
}

// call counts a call, and applies the configured delays and faults.
func (f *FS) call(kind Kind, name string) error {
	f.mu.Lock()
	f.calls[kind]++
	n, onCall := f.calls[kind], f.onCall
	f.mu.Unlock()
	if onCall != nil {
		onCall(kind, n)
	}
	f.mu.Lock()
	err, delay := f.takeFault(callNumber{kind, n}, name), f.delay
	f.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	f.waitWhileStalled()
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil && f.full && kind == Write {
		err = syscall.ENOSPC
	}
	return err
}

// waitWhileStalled returns once the disk is not stalled.
func (f *FS) waitWhileStalled() {
	for {
		f.mu.Lock()
		stalled := f.stalled
		f.mu.Unlock()
		if stalled == nil {
			return
		}
		<-stalled
	}
}

func (f *FS) openFile(kind Kind, name string, open func() (vfs.File, error)) (vfs.File, error) {
	if err := f.call(kind, name); err != nil {
		return nil, err
	}
	inner, err := open()
	if err != nil {
		return nil, err
	}
	return &file{File: inner, fs: f, name: name}, nil
}

// Create creates a file.
func (f *FS) Create(name string, c vfs.DiskWriteCategory) (vfs.File, error) {
	return f.openFile(Write, name, func() (vfs.File, error) {
		f.releaseUsage(name)
		return f.FS.Create(name, c)
	})
}

// OpenReadWrite opens a file for reading and writing.
func (f *FS) OpenReadWrite(name string, c vfs.DiskWriteCategory, opts ...vfs.OpenOption) (vfs.File, error) {
	return f.openFile(Write, name, func() (vfs.File, error) { return f.FS.OpenReadWrite(name, c, opts...) })
}

// ReuseForWrite renames a file and opens it for writing.
func (f *FS) ReuseForWrite(from, to string, c vfs.DiskWriteCategory) (vfs.File, error) {
	return f.openFile(Write, to, func() (vfs.File, error) {
		f.releaseUsage(from)
		return f.FS.ReuseForWrite(from, to, c)
	})
}

// Open opens a file for reading.
func (f *FS) Open(name string, opts ...vfs.OpenOption) (vfs.File, error) {
	return f.openFile(Read, name, func() (vfs.File, error) { return f.FS.Open(name, opts...) })
}

// OpenDir opens a directory.
func (f *FS) OpenDir(name string) (vfs.File, error) {
	return f.openFile(Read, name, func() (vfs.File, error) { return f.FS.OpenDir(name) })
}

func (f *FS) runCall(kind Kind, name string, operation func() error) error {
	if err := f.call(kind, name); err != nil {
		return err
	}
	return operation()
}

// Rename renames a file.
func (f *FS) Rename(from, to string) error {
	return f.runCall(Write, to, func() error {
		f.renameUsage(from, to)
		return f.FS.Rename(from, to)
	})
}

// Link creates a hard link.
func (f *FS) Link(from, to string) error {
	return f.runCall(Write, to, func() error { return f.FS.Link(from, to) })
}

// MkdirAll creates a directory. It counts as a read if the directory exists, since no space is
// needed then.
func (f *FS) MkdirAll(dir string, perm os.FileMode) error {
	kind := Write
	if _, err := f.FS.Stat(dir); err == nil {
		kind = Read
	}
	return f.runCall(kind, dir, func() error { return f.FS.MkdirAll(dir, perm) })
}

// Remove removes a file.
func (f *FS) Remove(name string) error {
	return f.runCall(Remove, name, func() error {
		f.releaseUsage(name)
		return f.FS.Remove(name)
	})
}

// RemoveAll removes a directory and its contents.
func (f *FS) RemoveAll(name string) error {
	return f.runCall(Remove, name, func() error {
		f.releaseUsage(name)
		return f.FS.RemoveAll(name)
	})
}

// Lock locks a file.
func (f *FS) Lock(name string) (io.Closer, error) {
	if err := f.call(Read, name); err != nil {
		return nil, err
	}
	return f.FS.Lock(name)
}

// Unwrap returns the underlying file system.
func (f *FS) Unwrap() vfs.FS { return f.FS }

// file is an open file.
type file struct {
	vfs.File
	fs   *FS
	name string
}

// writePartially writes all of p, or only half of it if err is set, and then returns err.
func (f *file) writePartially(p []byte, err error, write func([]byte) (int, error)) (int, error) {
	if err == nil {
		return write(p)
	}
	n, writeErr := write(p[:len(p)/2])
	if writeErr != nil {
		return n, writeErr
	}
	return n, err
}

func (f *file) Write(p []byte) (int, error) {
	err := f.fs.call(Write, f.name)
	if err == nil {
		err = f.fs.allocate(f.name, len(p))
	}
	if errors.Is(err, syscall.ENOSPC) && f.fs.hasCapacity() {
		return 0, err
	}
	return f.writePartially(p, err, f.File.Write)
}

func (f *file) WriteAt(p []byte, off int64) (int, error) {
	return f.writePartially(p, f.fs.call(Write, f.name), func(b []byte) (int, error) { return f.File.WriteAt(b, off) })
}

func (f *file) Read(p []byte) (int, error) {
	if err := f.fs.call(Read, f.name); err != nil {
		return 0, err
	}
	return f.File.Read(p)
}

func (f *file) ReadAt(p []byte, off int64) (int, error) {
	if err := f.fs.call(Read, f.name); err != nil {
		return 0, err
	}
	return f.File.ReadAt(p, off)
}

func (f *file) Sync() error { return f.fs.runCall(Sync, f.name, f.File.Sync) }

func (f *file) SyncData() error { return f.fs.runCall(Sync, f.name, f.File.SyncData) }

func (f *file) SyncTo(length int64) (full bool, err error) {
	err = f.fs.runCall(Sync, f.name, func() (err error) {
		full, err = f.File.SyncTo(length)
		return err
	})
	return full, err
}
