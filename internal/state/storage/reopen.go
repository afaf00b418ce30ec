package storage

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/pebble/v2"
)

// reopenInterval is the delay between attempts to open a folder on a failing disk.
const reopenInterval = 500 * time.Millisecond

// openDB opens the database through its own device and makes it the current instance.
func (engine *Engine) openDB(dev *device) error {
	if err := engine.waitForFolderLock(dev); err != nil {
		return fmt.Errorf("%w: %w", errFolderLocked, err)
	}
	dev.releaseReserve = engine.reserve.release
	options := engine.options(dev)
	// If the database of an existing identity is missing, an empty one must not replace it: the
	// missing database held the identity's promises.
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
	// lockTimeout is how long to wait for another process to release the folder, since the
	// previous process may still be exiting. Exiting instead would make each restart of this
	// process come later.
	lockTimeout       = 5 * time.Second
	lockRetryInterval = 20 * time.Millisecond
)

// waitForFolderLock waits until no other process has the folder open, up to lockTimeout.
func (engine *Engine) waitForFolderLock(dev *device) error {
	deadline := time.Now().Add(lockTimeout)
	for logged := false; ; logged = true {
		lock, err := pebble.LockDirectory(engine.params.Dir, dev)
		if err == nil {
			// If the lock can't be released, opening the database reports it.
			_ = lock.Close()
			return nil
		}
		if !errors.Is(err, fs.ErrExist) || time.Now().After(deadline) {
			return err
		}
		if !logged {
			engine.params.Log("data folder is in use by another process, waiting for its lock")
		}
		sleep(lockRetryInterval)
	}
}

// reopen replaces a failed instance by one opened from the data on the disk. Until then, the
// failed instance serves reads from its synced data.
func (engine *Engine) reopen(old *instance, cause error) {
	engine.params.Log("disk failure, reopening the data folder", "err", cause)
	// A change still pending on the disk could otherwise be applied later, between the writes
	// of the new instance.
	<-old.device.drained()
	for !engine.tryReopen(old) {
		sleep(reopenInterval)
	}
}

// tryReopen makes one attempt to replace a failed instance. It reports whether no further
// attempt is necessary.
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
		engine.params.Log("failed to reopen the data folder, retrying", "err", err)
		dev.fence(err)
		<-dev.drained()
		dev.release(true)
		return false
	}
	engine.replace(old, next)
	return true
}

// replace makes next the current instance in place of old, and closes the one not in use.
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
		engine.params.Log("data folder reopened")
		next.device.onFailure(func(cause error) { go engine.reopen(next, cause) })
	}
	if err := unused.close(); err != nil {
		engine.params.Log("failed to close a database instance", "err", err)
	}
	unused.resolve()
	unused.device.release(true)
}

// detach removes the current instance and closes it.
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
