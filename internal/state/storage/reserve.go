package storage

import (
	"sync"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// A reserve of a few megabytes is kept in a file of its own. A write that finds no space
// removes it, so that votes and leases go on with what it held while bulk is refused. It is
// made anew once there is plenty of space.

const (
	// reserveBytes is the size of the reserve, on a small disk a reserveDivisor-th of it
	// where that is less.
	reserveBytes = 4 << 20
	// reserveDiskDivisor is the part of a disk that the reserve takes at the most.
	reserveDiskDivisor = 32
	// reserveChunk is how much of it is written at once.
	reserveChunk = 256 << 10
	reserveName  = "reserve"
)

// diskReserve is the file that holds space. Its methods may be called concurrently.
type diskReserve struct {
	fs   vfs.FS
	path string

	mu       sync.Mutex
	present  bool
	released bool // released since, and not made anew
}

// release removes the reserve. It reports whether there was one.
func (r *diskReserve) release() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.present {
		return false
	}
	r.present, r.released = false, true
	return r.fs.Remove(r.path) == nil
}

// inUse reports whether writes live on what the reserve held.
func (r *diskReserve) inUse() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.released
}

// adopt takes over the reserve of an earlier start.
func (r *diskReserve) detect() {
	_, err := r.fs.Stat(r.path)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.present = err == nil
}

// make makes the reserve where there is none and plenty of space: beyond its own size as
// much as new keys need. Where the disk takes less than that it is left for the next time.
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

// write writes the file, not a hole: it has to hold space.
func (r *diskReserve) write(size int64) error {
	f, err := r.fs.Create(r.path, vfs.WriteCategoryUnspecified)
	if err != nil {
		return err
	}
	chunk := make([]byte, reserveChunk)
	for i := range chunk {
		chunk[i] = byte(i*31 + 1)
	}
	for left := size; left > 0 && err == nil; left -= reserveChunk {
		_, err = f.Write(chunk[:min(left, reserveChunk)])
	}
	if err == nil {
		err = f.Sync()
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	return err
}
