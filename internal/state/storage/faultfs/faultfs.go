// Package faultfs is a file system that fails as set: a disk without space, one that
// answers nothing, one that is slow, and one that fails a single write or sync. It is
// for tests only.
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

// Kind is what a call asks the disk for.
type Kind int

// The kinds of calls.
const (
	Read   Kind = iota // opens for reading and reads
	Write              // takes bytes, or makes or renames a file
	Sync               // syncs a file or a folder
	Remove             // removes a file
)

// FS is a file system that can be set to fail.
type FS struct {
	vfs.FS
	mu      sync.Mutex
	full    bool
	delay   time.Duration
	stalled chan struct{} // closed once the disk answers again; nil: it does
	count   [Remove + 1]int
	fail    map[point]error
	named   []named
	at      func(kind Kind, n int)
	// capacity bounds the bytes of all files; 0: it does not. used are those of each.
	capacity int64
	used     map[string]int64
}

// named is a failure that waits for a call on a certain file.
type named struct {
	kind    Kind
	half    string
	err     error
	lasting bool // it fails each such call
}

// point is one call: the n-th of its kind.
type point struct {
	kind Kind
	n    int
}

// New makes a file system over inner that does not fail yet.
func New(inner vfs.FS) *FS { return &FS{FS: inner, fail: map[point]error{}} }

// SetFull sets whether the disk has no space: a write takes half of its bytes and says
// that there is no space left.
func (f *FS) SetFull(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full = on
}

// SetDelay lets each call take longer.
func (f *FS) SetDelay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = delay
}

// SetStalled sets whether the disk answers nothing. Calls wait until it does again.
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

// FailNext lets the n-th call of a kind from now on fail with err; the next is 1.
func (f *FS) FailNext(kind Kind, n int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fail[point{kind, f.count[kind] + n}] = err
}

// FailNextOnFile lets the next call of a kind on a file whose name has part in it fail.
func (f *FS) FailNextOnFile(kind Kind, half string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.named = append(f.named, named{kind: kind, half: half, err: err})
}

// FailAlwaysOnFile lets each call of a kind on a file whose name has part in it fail, until ClearFileFaults.
func (f *FS) FailAlwaysOnFile(kind Kind, half string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.named = append(f.named, named{kind: kind, half: half, err: err, lasting: true})
}

// ClearFileFaults ends all failures of named files.
func (f *FS) ClearFileFaults() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.named = nil
}

// SetCapacity bounds the bytes that files written from now on may hold together.
func (f *FS) SetCapacity(bytes int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.capacity = bytes
	if f.used == nil {
		f.used = map[string]int64{}
	}
}

// Used is how many bytes files hold together since SetCapacity.
func (f *FS) Used() (total int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.used {
		total += n
	}
	return total
}

// take counts bytes that a file is to hold more. The error is ENOSPC where they don't fit.
func (f *FS) take(name string, n int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.capacity == 0 {
		return nil
	}
	total := int64(n)
	for _, held := range f.used {
		total += held
	}
	if total > f.capacity {
		return syscall.ENOSPC
	}
	f.used[name] += int64(n)
	return nil
}

// moved counts a file's bytes, or those of all in a folder, under another name.
func (f *FS) moved(from, to string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, n := range f.used {
		if name == from || strings.HasPrefix(name, from+"/") {
			delete(f.used, name)
			f.used[to+strings.TrimPrefix(name, from)] = n
		}
	}
}

// bounded reports whether there is a capacity.
func (f *FS) bounded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.capacity > 0
}

// freed forgets the bytes of a file that is removed or begun anew, or of all in a folder.
func (f *FS) freed(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for other := range f.used {
		if other == name || strings.HasPrefix(other, name+"/") {
			delete(f.used, other)
		}
	}
}

// GetDiskUsage tells what SetCapacity has set.
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

// failure takes what a call is to fail with; nil: nothing.
func (f *FS) failure(p point, name string) error {
	for i, n := range f.named {
		if n.kind == p.kind && strings.Contains(name, n.half) {
			if !n.lasting {
				f.named = slices.Delete(f.named, i, i+1)
			}
			return n.err
		}
	}
	err := f.fail[p]
	delete(f.fail, p)
	return err
}

// Count is the number of calls of a kind so far.
func (f *FS) Count(kind Kind) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count[kind]
}

// OnCall has on called at each call, with its number among those of its kind.
func (f *FS) OnCall(on func(kind Kind, n int)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.at = on
}

// call counts a call, and waits and fails as set.
func (f *FS) call(kind Kind, name string) error {
	f.mu.Lock()
	f.count[kind]++
	n, at := f.count[kind], f.at
	f.mu.Unlock()
	if at != nil {
		at(kind, n)
	}
	f.mu.Lock()
	err, delay := f.failure(point{kind, n}, name), f.delay
	f.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	f.wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil && f.full && kind == Write {
		err = syscall.ENOSPC
	}
	return err
}

// wait returns once the disk answers.
func (f *FS) wait() {
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

func (f *FS) opened(kind Kind, name string, open func() (vfs.File, error)) (vfs.File, error) {
	if err := f.call(kind, name); err != nil {
		return nil, err
	}
	got, err := open()
	if err != nil {
		return nil, err
	}
	return &file{File: got, fs: f, name: name}, nil
}

// Create makes a file.
func (f *FS) Create(name string, c vfs.DiskWriteCategory) (vfs.File, error) {
	return f.opened(Write, name, func() (vfs.File, error) {
		f.freed(name)
		return f.FS.Create(name, c)
	})
}

// OpenReadWrite opens a file for both.
func (f *FS) OpenReadWrite(name string, c vfs.DiskWriteCategory, opts ...vfs.OpenOption) (vfs.File, error) {
	return f.opened(Write, name, func() (vfs.File, error) { return f.FS.OpenReadWrite(name, c, opts...) })
}

// ReuseForWrite renames a file and opens it.
func (f *FS) ReuseForWrite(from, to string, c vfs.DiskWriteCategory) (vfs.File, error) {
	return f.opened(Write, to, func() (vfs.File, error) {
		f.freed(from)
		return f.FS.ReuseForWrite(from, to, c)
	})
}

// Open opens a file for reading.
func (f *FS) Open(name string, opts ...vfs.OpenOption) (vfs.File, error) {
	return f.opened(Read, name, func() (vfs.File, error) { return f.FS.Open(name, opts...) })
}

// OpenDir opens a folder.
func (f *FS) OpenDir(name string) (vfs.File, error) {
	return f.opened(Read, name, func() (vfs.File, error) { return f.FS.OpenDir(name) })
}

func (f *FS) change(kind Kind, name string, do func() error) error {
	if err := f.call(kind, name); err != nil {
		return err
	}
	return do()
}

// Rename renames a file.
func (f *FS) Rename(from, to string) error {
	return f.change(Write, to, func() error {
		f.moved(from, to)
		return f.FS.Rename(from, to)
	})
}

// Link makes a second name.
func (f *FS) Link(from, to string) error {
	return f.change(Write, to, func() error { return f.FS.Link(from, to) })
}

// MkdirAll makes a folder; one that is there takes no space.
func (f *FS) MkdirAll(dir string, perm os.FileMode) error {
	kind := Write
	if _, err := f.FS.Stat(dir); err == nil {
		kind = Read
	}
	return f.change(kind, dir, func() error { return f.FS.MkdirAll(dir, perm) })
}

// Remove removes a file.
func (f *FS) Remove(name string) error {
	return f.change(Remove, name, func() error {
		f.freed(name)
		return f.FS.Remove(name)
	})
}

// RemoveAll removes a folder.
func (f *FS) RemoveAll(name string) error {
	return f.change(Remove, name, func() error {
		f.freed(name)
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

// Unwrap is the file system below.
func (f *FS) Unwrap() vfs.FS { return f.FS }

// file is an open file.
type file struct {
	vfs.File
	fs   *FS
	name string
}

// half writes half of p where there is no space for all.
func (f *file) half(p []byte, err error, write func([]byte) (int, error)) (int, error) {
	if err == nil {
		return write(p)
	}
	n, werr := write(p[:len(p)/2])
	if werr != nil {
		return n, werr
	}
	return n, err
}

func (f *file) Write(p []byte) (int, error) {
	err := f.fs.call(Write, f.name)
	if err == nil {
		err = f.fs.take(f.name, len(p))
	}
	if errors.Is(err, syscall.ENOSPC) && f.fs.bounded() {
		return 0, err
	}
	return f.half(p, err, f.File.Write)
}

func (f *file) WriteAt(p []byte, off int64) (int, error) {
	return f.half(p, f.fs.call(Write, f.name), func(b []byte) (int, error) { return f.File.WriteAt(b, off) })
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

func (f *file) Sync() error { return f.fs.change(Sync, f.name, f.File.Sync) }

func (f *file) SyncData() error { return f.fs.change(Sync, f.name, f.File.SyncData) }

func (f *file) SyncTo(length int64) (full bool, err error) {
	err = f.fs.change(Sync, f.name, func() (err error) {
		full, err = f.File.SyncTo(length)
		return err
	})
	return full, err
}
