package storage

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"damsontiller/internal/transport/code"
)

// diskSpace watches how much space the disk has and how long it takes to sync.
type diskSpace struct {
	minFree             atomic.Int64 // free bytes below which no new key is taken
	free                atomic.Int64 // at the last check; -1 where it can't be told
	slowestSync         atomic.Int64 // longest sync since the last check, nanoseconds
	previousSlowestSync atomic.Int64 // the same, of the check before
	// Faults of the rehearsal kit: pretended free bytes (-1: none pretended),
	// and a delay of each sync.
	simulatedFree  atomic.Int64
	simulatedDelay atomic.Int64
}

// minFreeDivisor is the fraction of a disk that is kept free of new keys at the most, as a
// divisor: what suits a disk of gigabytes would be all there is of a small one.
const minFreeDivisor = 8

// SlowSync is the time for one sync above which a disk is called slow.
const SlowSync = 500 * time.Millisecond

// SimulateDisk makes the disk seem to have free bytes (-1: what it has) and every sync
// take longer. Only the fault kit uses it.
func (engine *Engine) SimulateDisk(free int64, delay time.Duration) {
	engine.space.simulatedFree.Store(free)
	engine.space.simulatedDelay.Store(int64(delay))
	engine.MeasureDisk()
}

// MeasureDisk measures the disk space; a background task calls it each second.
func (engine *Engine) MeasureDisk() {
	free, total, minFree := int64(-1), int64(0), engine.params.MinFree
	if u, err := engine.base.GetDiskUsage(engine.params.Dir); err == nil {
		free = int64(min(u.AvailBytes, 1<<62))
		if u.TotalBytes > 0 {
			total = int64(min(u.TotalBytes, 1<<62))
			minFree = min(minFree, total/minFreeDivisor)
		}
	}
	engine.space.minFree.Store(minFree)
	if f := engine.space.simulatedFree.Load(); f >= 0 {
		free = f
	}
	engine.space.free.Store(free)
	engine.reserve.replenish(free, total, minFree)
	engine.space.previousSlowestSync.Store(engine.space.slowestSync.Swap(0))
}

// NearlyFull reports whether the space left is reserved for the keys that are here
// already.
func (engine *Engine) NearlyFull() bool {
	f := engine.space.free.Load()
	return engine.reserve.inUse() || f >= 0 && f < engine.space.minFree.Load()
}

// unavailable tells why no writes are taken at all; empty: they are.
func (engine *Engine) unavailableReason() string {
	i := engine.instance()
	switch {
	case i == nil, i.device.failure() != nil:
		return "disk failed, no writes taken until the folder is open again"
	case i.device.waitsForSpace():
		return "disk full, no writes taken"
	case i.currentSyncDuration() >= writeTimeout, i.device.stalledReads.Load() > 0:
		return "disk does not answer, no writes taken"
	}
	return ""
}

// Status tells operators what is wrong with the disk; empty: nothing.
func (engine *Engine) Status() string {
	var out []string
	if s := engine.unavailableReason(); s != "" {
		out = append(out, s)
	}
	if engine.NearlyFull() {
		out = append(
			out,
			fmt.Sprintf("disk nearly full, %d MiB left, no new keys taken", engine.space.free.Load()>>20),
		)
	}
	if d := time.Duration(max(engine.space.previousSlowestSync.Load(), engine.space.slowestSync.Load())); d > SlowSync {
		out = append(out, fmt.Sprintf("disk slow, a sync took %s", d.Round(10*time.Millisecond)))
	}
	return strings.Join(out, "; ")
}

// simulatedDelay waits as long as the rehearsal kit says that a sync takes.
func (engine *Engine) delaySync() {
	if d := engine.space.simulatedDelay.Load(); d > 0 {
		sleep(time.Duration(d))
	}
}

// recordSync records how long a sync took.
func (engine *Engine) recordSync(took time.Duration) {
	for d := int64(took); ; {
		old := engine.space.slowestSync.Load()
		if d <= old || engine.space.slowestSync.CompareAndSwap(old, d) {
			return
		}
	}
}

// admitNewKey refuses a key that is new here while the disk is nearly full, with
// code.DiskFull, so that the keys that are here can still be synced.
func (engine *Engine) admitNewKey(key string) error {
	if !engine.NearlyFull() {
		return nil
	}
	b, err := engine.get(key)
	if err == nil && b == nil {
		err = code.New(code.DiskFull, "%d bytes are left", engine.space.free.Load())
	}
	return err
}
