package storage

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/pebble/v2"
)

// reopenInterval is the time between two tries to open a folder on a disk that fails.
const reopenInterval = 500 * time.Millisecond

// openDB opens the database through a device of its own and puts it to use.
func (engine *Engine) openDB(dev *device) error {
	if err := engine.waitForFolderLock(dev); err != nil {
		return fmt.Errorf("%w: %w", errFolderLocked, err)
	}
	dev.releaseReserve = engine.reserve.release
	options := engine.options(dev)
	// An identity whose data have departed must not begin anew without them: they held what
	// it had promised.
	options.ErrorIfNotExists = !engine.createDatabase
	i, err := openInstance(engine.path("db"), dev, options)
	if err != nil {
		return err
	}
	engine.createDatabase = false
	i.beforeSync, i.onSync = engine.delaySync, engine.recordSync
	go i.run()
	engine.instanceMutex.Lock()
	engine.current = i
	engine.folderStart, engine.openedSequence = rand.Uint64()|1, i.sequence.Load()
	engine.instanceMutex.Unlock()
	dev.onFailure(func(cause error) { go engine.reopen(i, cause) })
	return nil
}

const (
	// lockTimeout is how long a folder may be in use by another process: the one before this
	// may not have ended yet. One that ends instead is started again later and later.
	lockTimeout       = 5 * time.Second
	lockRetryInterval = 20 * time.Millisecond
)

// waitForFolderLock waits until no other process has the folder open, for a while.
func (engine *Engine) waitForFolderLock(dev *device) error {
	until := time.Now().Add(lockTimeout)
	for told := false; ; told = true {
		lock, err := pebble.LockDirectory(engine.params.Dir, dev)
		if err == nil {
			// A lock that can't be given back is found by whoever opens the database next.
			_ = lock.Close()
			return nil
		}
		if !errors.Is(err, fs.ErrExist) || time.Now().After(until) {
			return err
		}
		if !told {
			engine.params.Log("folder in use by another process, waiting for it")
		}
		sleep(lockRetryInterval)
	}
}

// reopen replaces a failed instance by one opened from what is on the disk. Until then the
// failed one serves reads from what it had synced.
func (engine *Engine) reopen(old *instance, cause error) {
	engine.params.Log("the disk failed, opening the folder again", "err", cause)
	// A change still in the disk's hands could be made later, in the midst of what the
	// new instance writes.
	<-old.device.drained()
	for !engine.tryReopen(old) {
		sleep(reopenInterval)
	}
}

// reopened attempts that once. It reports whether nothing is left to be attempted.
func (engine *Engine) tryReopen(old *instance) bool {
	engine.openSemaphore <- struct{}{}
	defer func() { <-engine.openSemaphore }()
	if engine.isClosed() || engine.instance() != old {
		return true
	}
	old.device.release(false)
	dev := newDevice(engine.base)
	dev.releaseReserve = engine.reserve.release
	next, err := openInstance(engine.path("db"), dev, engine.options(dev))
	if err != nil {
		engine.params.Log("the folder can't be opened again yet", "err", err)
		dev.fence(err)
		<-dev.drained()
		dev.release(true)
		return false
	}
	engine.replace(old, next)
	return true
}

// replace puts next to use in place of old, and closes the one that is not in use then.
func (engine *Engine) replace(old, next *instance) {
	next.beforeSync, next.onSync = engine.delaySync, engine.recordSync
	go next.run()
	engine.instanceMutex.Lock()
	unused := next
	if engine.current == old && !engine.isClosed() {
		engine.current, unused = next, old
	}
	engine.instanceMutex.Unlock()
	if unused == old {
		engine.params.Log("the folder is open again")
		next.device.onFailure(func(cause error) { go engine.reopen(next, cause) })
	}
	if err := unused.close(); err != nil {
		engine.params.Log("an instance was not closed well", "err", err)
	}
	unused.resolve()
	unused.device.release(true)
}

// detach takes the instance out of use and closes it.
func (engine *Engine) detach() error {
	engine.instanceMutex.Lock()
	old := engine.current
	engine.current = nil
	engine.instanceMutex.Unlock()
	if old == nil {
		return nil
	}
	err := old.close()
	if old.device.failure() != nil {
		<-old.device.drained()
		old.device.release(true)
	}
	return err
}
