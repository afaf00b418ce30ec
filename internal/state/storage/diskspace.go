package storage

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"damsontiller/internal/transport/code"
)

// diskSpace tracks the free space of the disk and the duration of its syncs.
type diskSpace struct {
	minFree             atomic.Int64 // free bytes below which new keys are rejected
	free                atomic.Int64 // free bytes at the last check; -1 if unknown
	slowestSync         atomic.Int64 // longest sync since the last check, nanoseconds
	previousSlowestSync atomic.Int64 // the same for the check before
	// Faults injected by SimulateDisk: free bytes (-1: not simulated) and a delay of each sync
	// in nanoseconds.
	simulatedFree  atomic.Int64
	simulatedDelay atomic.Int64
}

// minFreeDivisor limits the space kept free of new keys to this fraction of the disk: a reserve
// that suits a disk of gigabytes would take up all of a small one.
const minFreeDivisor = 8

// SlowSync is the duration of one sync above which a disk is reported as slow.
const SlowSync = 500 * time.Millisecond

// SimulateDisk makes the disk report the given free bytes (-1: the actual value) and delays
// every sync. Only fault injection uses it.
func (engine *Engine) SimulateDisk(free int64, delay time.Duration) {
	engine.space.simulatedFree.Store(free)
	engine.space.simulatedDelay.Store(int64(delay))
	engine.MeasureDisk()
}

// MeasureDisk measures the disk space. A background task calls it every second.
func (engine *Engine) MeasureDisk() {
	free, total, minFree := int64(-1), int64(0), engine.params.MinFree
	if usage, err := engine.base.GetDiskUsage(engine.params.Dir); err == nil {
		free = int64(min(usage.AvailBytes, 1<<62))
		if usage.TotalBytes > 0 {
			total = int64(min(usage.TotalBytes, 1<<62))
			minFree = min(minFree, total/minFreeDivisor)
		}
	}
	engine.space.minFree.Store(minFree)
	if simulated := engine.space.simulatedFree.Load(); simulated >= 0 {
		free = simulated
	}
	engine.space.free.Store(free)
	engine.reserve.replenish(free, total, minFree)
	engine.space.previousSlowestSync.Store(engine.space.slowestSync.Swap(0))
}

// NearlyFull reports whether the remaining space is reserved for keys that exist already.
func (engine *Engine) NearlyFull() bool {
	free := engine.space.free.Load()
	return engine.reserve.inUse() || free >= 0 && free < engine.space.minFree.Load()
}

// unavailableReason returns why all writes are rejected, or an empty string if they are not.
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

// Status describes the problems of the disk to operators. It is empty if there are none.
func (engine *Engine) Status() string {
	var problems []string
	if reason := engine.unavailableReason(); reason != "" {
		problems = append(problems, reason)
	}
	if engine.NearlyFull() {
		problems = append(
			problems,
			fmt.Sprintf("disk nearly full, %d MiB left, no new keys taken", engine.space.free.Load()>>20),
		)
	}
	if d := time.Duration(max(engine.space.previousSlowestSync.Load(), engine.space.slowestSync.Load())); d > SlowSync {
		problems = append(problems, fmt.Sprintf("disk slow, a sync took %s", d.Round(10*time.Millisecond)))
	}
	return strings.Join(problems, "; ")
}

// delaySync waits for the simulated sync delay.
func (engine *Engine) delaySync() {
	if d := engine.space.simulatedDelay.Load(); d > 0 {
		sleep(time.Duration(d))
	}
}

// recordSync records the duration of a sync.
func (engine *Engine) recordSync(took time.Duration) {
	for d := int64(took); ; {
		old := engine.space.slowestSync.Load()
		if d <= old || engine.space.slowestSync.CompareAndSwap(old, d) {
			return
		}
	}
}

// admitNewKey rejects a key that does not exist yet with code.DiskFull while the disk is nearly
// full, so that updates of existing keys can still be synced.
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
