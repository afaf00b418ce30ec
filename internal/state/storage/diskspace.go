package storage

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"damsontiller/internal/transport/code"
)

// Room watches how much room the disk has and how long it takes to sync.
type room struct {
	least atomic.Int64 // free bytes below which no new key is taken
	free  atomic.Int64 // at the last look; -1 where it can't be told
	slow  atomic.Int64 // longest sync since the last look, nanoseconds
	was   atomic.Int64 // the same, of the look before
	// Faults of the rehearsal kit: pretended free bytes (-1: none pretended),
	// and a delay of each sync.
	fakeFree  atomic.Int64
	fakeDelay atomic.Int64
}

// leastPart of a disk is the most that is ever kept free of new keys: what suits a
// disk of gigabytes would be all there is of a small one.
const leastPart = 8

// SlowSync is the time for one sync above which a disk is called slow.
const SlowSync = 500 * time.Millisecond

// Pretend makes the disk seem to have free bytes (-1: what it has) and every
// sync take longer. Only the rehearsal kit uses it.
func (v *Engine) Pretend(free int64, delay time.Duration) {
	v.room.fakeFree.Store(free)
	v.room.fakeDelay.Store(int64(delay))
	v.Look()
}

// Look measures the room again; a duty calls it each second.
func (v *Engine) Look() {
	free, least := int64(-1), v.p.MinFree
	if u, err := v.inner.GetDiskUsage(v.p.Dir); err == nil {
		free = int64(min(u.AvailBytes, 1<<62))
		if u.TotalBytes > 0 {
			least = min(least, int64(min(u.TotalBytes, 1<<62)/leastPart))
		}
	}
	v.room.least.Store(least)
	if f := v.room.fakeFree.Load(); f >= 0 {
		free = f
	}
	v.room.free.Store(free)
	v.room.was.Store(v.room.slow.Swap(0))
}

// Full tells whether room is kept for what is here already.
func (v *Engine) Full() bool {
	f := v.room.free.Load()
	return f >= 0 && f < v.room.least.Load()
}

// trouble tells why no writes are taken at all; empty: they are.
func (v *Engine) trouble() string {
	i := v.instance()
	switch {
	case i == nil, i.dev.failure() != nil:
		return "disk failed, no writes taken until the folder is open again"
	case i.dev.noRoom():
		return "disk full, no writes taken"
	case i.syncing() >= voteWait, i.dev.stuck.Load() > 0:
		return "disk does not answer, no writes taken"
	}
	return ""
}

// Status tells operators what is wrong with the disk; empty: nothing.
func (v *Engine) Status() string {
	var out []string
	if s := v.trouble(); s != "" {
		out = append(out, s)
	}
	if v.Full() {
		out = append(out, fmt.Sprintf("disk nearly full, %d MiB left, no new keys taken", v.room.free.Load()>>20))
	}
	if d := time.Duration(max(v.room.was.Load(), v.room.slow.Load())); d > SlowSync {
		out = append(out, fmt.Sprintf("disk slow, a sync took %s", d.Round(10*time.Millisecond)))
	}
	return strings.Join(out, "; ")
}

// fakeDelay waits as long as the rehearsal kit says that a sync takes.
func (v *Engine) fakeDelay() {
	if d := v.room.fakeDelay.Load(); d > 0 {
		pause(time.Duration(d))
	}
}

// noteSync notes how long a sync took.
func (v *Engine) noteSync(took time.Duration) {
	for d := int64(took); ; {
		old := v.room.slow.Load()
		if d <= old || v.room.slow.CompareAndSwap(old, d) {
			return
		}
	}
}

// Admit refuses a key that is new here while the disk is nearly full, so that
// what is held already can still be synced.
func (v *Engine) admit(key string) error {
	if !v.Full() {
		return nil
	}
	b, err := v.get(key)
	if err == nil && b == nil {
		err = code.New(code.DiskFull, "%d bytes are left", v.room.free.Load())
	}
	return err
}
