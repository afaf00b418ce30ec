package storage

import (
	"sync"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// A few megabytes of disk space are reserved in a separate file. A write that finds no space
// removes the file, so that votes and leases can use its space while bulk writes are rejected.
// The file is written again once there is enough free space.

const (
	// reserveBytes is the size of the reserve, unless reserveDiskDivisor sets a lower limit.
	reserveBytes = 4 << 20
	// reserveDiskDivisor limits the reserve to this fraction of the disk.
	reserveDiskDivisor = 32
	// reserveChunk is the number of bytes of the reserve written at once.
	reserveChunk = 256 << 10
	reserveName  = "reserve"
)

// diskReserve is the file that reserves disk space. Its methods may be called concurrently.
type diskReserve struct {
	fs   vfs.FS
	path string

	mu       sync.Mutex
	present  bool
	released bool // removed to free space and not written again yet
}

// release removes the reserve and reports whether that freed any space.
func (r *diskReserve) release() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.present {
		return false
	}
	r.present, r.released = false, true
	return r.fs.Remove(r.path) == nil
}

// inUse reports whether writes use the space of the reserve.
func (r *diskReserve) inUse() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.released
}

// detect checks whether an earlier run left a reserve.
func (r *diskReserve) detect() {
	_, err := r.fs.Stat(r.path)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.present = err == nil
}

// replenish writes the reserve if it is missing and there is enough space: twice its size, in
// addition to what must stay free of new keys. If writing it fails, the next call tries again.
func (r *diskReserve) replenish(free, total, minFree int64) {
	size := int64(reserveBytes)
	if total > 0 {
		size = min(size, total/reserveDiskDivisor)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.present || free < minFree+2*size {
		return
	}
	if err := r.write(size); err != nil {
		_ = r.fs.Remove(r.path)
		return
	}
	r.present, r.released = true, false
}

// write fills the file with data. A sparse file would reserve no space.
func (r *diskReserve) write(size int64) error {
	file, err := r.fs.Create(r.path, vfs.WriteCategoryUnspecified)
	if err != nil {
		return err
	}
	chunk := make([]byte, reserveChunk)
	for i := range chunk {
		chunk[i] = byte(i*31 + 1)
	}
	for remaining := size; remaining > 0 && err == nil; remaining -= reserveChunk {
		_, err = file.Write(chunk[:min(remaining, reserveChunk)])
	}
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}
