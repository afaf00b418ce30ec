// Package storage persists a process's state in its data folder, using pebble. A write that has
// returned without an error has been synced.
package storage

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"

	"damsontiller/internal/transport/code"
)

// Format is the version of the data folder's format.
const Format = 1

const (
	registerPrefix = "r/"
	blobPrefix     = "b/"
	metadataPrefix = "m/"
	uptimeKey      = metadataPrefix + "lived"
)

// Params are the settings of an engine.
type Params struct {
	Dir  string
	ID   string // the machine's name, checked against the folder
	Role string
	FS   vfs.FS // nil means the real file system
	// TombstoneRetention is how long an expired blob or register is remembered as expired.
	TombstoneRetention time.Duration
	// MinFree is the number of free bytes below which new keys are rejected. On a small disk
	// the limit is an eighth of the disk, if that is less.
	MinFree int64
	Log     func(string, ...any)
}

// Engine is an open data folder. A disk that is full, does not respond or fails ends neither
// the engine nor the process: it rejects writes with code.DiskFull, code.DiskStalled or
// code.DiskFailure, serves reads from the synced data, and recovers by itself. Its methods may
// be called concurrently.
type Engine struct {
	params   Params
	base     vfs.FS
	files    *device // the files next to the database
	identity identityFile
	// NewIdentity reports that the folder was empty or unreadable, so that the identity is new
	// and must not vote before it has been admitted.
	NewIdentity bool
	// createDatabase reports that the identity is new and that its database does not exist yet.
	createDatabase bool

	space   diskSpace
	reserve *diskReserve

	instanceMutex sync.RWMutex // guards the fields up to openedSequence, and identity
	current       *instance    // nil while no database is open
	// folderStart is a random number chosen on each opening of the folder and for each new
	// identity. openedSequence is the number of write groups that had been synced before.
	folderStart, openedSequence uint64
	closed                      chan struct{}
	// openSemaphore holds an element while the folder is being reopened or its identity
	// changed.
	openSemaphore chan struct{}

	mu           sync.Mutex
	uptimeBefore time.Duration // uptime before this start
	start        time.Time
	// uncertainWrites holds the last write of each record for which it is unknown whether the
	// write reached the disk. Such a record is not written again until the outcome is known and
	// the record has been read.
	uncertainWrites map[string]*write
}

// Open opens or creates the folder. It rejects a folder of another machine or format with
// code.ForeignFolder or code.FolderVersion, and leaves it unchanged. It retries while the disk
// is full, does not respond or fails.
func Open(p Params) (*Engine, error) {
	engine := &Engine{
		params:          p,
		base:            p.FS,
		start:           time.Now(),
		closed:          make(chan struct{}),
		openSemaphore:   make(chan struct{}, 1),
		uncertainWrites: map[string]*write{},
	}
	if engine.base == nil {
		engine.base = vfs.Default
	}
	engine.space.simulatedFree.Store(-1)
	if engine.params.TombstoneRetention == 0 {
		engine.params.TombstoneRetention = 30 * 24 * time.Hour
	}
	if engine.params.Log == nil {
		engine.params.Log = func(string, ...any) {}
	}
	engine.reserve = &diskReserve{fs: engine.base, path: engine.path(reserveName)}
	engine.reserve.detect()
	if err := engine.openWithRetry(); err != nil {
		return nil, err
	}
	engine.MeasureDisk()
	return engine, nil
}

// readFailureTimeout is how long reads may fail at startup before the data on the disk is
// considered lost. A disk that does not respond at all is waited for without a limit, since it
// would accept no new data either.
const readFailureTimeout = time.Minute

// openWithRetry opens the folder, and retries while the disk is full, does not respond or
// fails. If reads keep failing, it opens the folder with a new identity.
func (engine *Engine) openWithRetry() error {
	var unreadableSince time.Time
	for {
		engine.files = newFolderDevice(engine.base)
		open := engine.openFolder
		if !unreadableSince.IsZero() && time.Since(unreadableSince) >= readFailureTimeout {
			// If this fails as well, the next attempt follows after another readFailureTimeout.
			open, unreadableSince = engine.openWithNewIdentity, time.Time{}
		}
		err := open()
		if err == nil {
			return nil
		}
		switch cause := engine.files.readFailure(); {
		case engine.files.failure() == nil && cause == nil:
			return err
		case cause == nil || errors.Is(cause, errReadStalled):
			unreadableSince = time.Time{}
		case unreadableSince.IsZero():
			unreadableSince = time.Now()
		}
		engine.params.Log("can't open the data folder, retrying", "err", err)
		engine.files.release(true)
		sleep(reopenInterval)
	}
}

func sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	<-t.C
}

func (engine *Engine) isClosed() bool {
	select {
	case <-engine.closed:
		return true
	default:
		return false
	}
}

func (engine *Engine) instance() *instance {
	engine.instanceMutex.RLock()
	defer engine.instanceMutex.RUnlock()
	return engine.current
}

// acquire returns the current instance, which is not closed until the caller calls Done on its
// users.
func (engine *Engine) acquire() (*instance, error) {
	engine.instanceMutex.RLock()
	defer engine.instanceMutex.RUnlock()
	if engine.current == nil {
		return nil, code.New(code.DiskFailure, "the folder is not open")
	}
	engine.current.users.Add(1)
	return engine.current, nil
}

// options returns settings that keep the database small: machines have as little as 72 MB of
// memory and 128 MB of disk, and store tens of MB.
func (engine *Engine) options(dev *device) *pebble.Options {
	options := &pebble.Options{
		FS:     dev,
		Logger: pebbleLogger{engine.params.Log, dev},
		// The newest format is used for its table writer: the older one pools channels, which
		// simulated clusters in one test process must not share.
		FormatMajorVersion: pebble.FormatNewest,
		CacheSize:          4 << 20,
		// After a crash, up to two memtables of log data are read and rewritten before the
		// folder is open. In addition, each log preallocates a tenth more disk space, and a
		// finished log is kept for reuse.
		MemTableSize:        2 << 20,
		MaxManifestFileSize: 1 << 20,
		MaxOpenFiles:        256,
		// At these sizes there is one more level, and files are small, so that a compaction
		// needs only a few MB of space for its output in addition to its input.
		LBaseMaxBytes:               8 << 20,
		CompactionConcurrencyRange:  func() (int, int) { return 1, 1 },
		MemTableStopWritesThreshold: 2,
	}
	for i := range options.TargetFileSizes {
		options.TargetFileSizes[i] = 2 << 20
	}
	return options
}

// pebbleLogger forwards only the database's errors to the log. An error that the database
// considers fatal fences its device and does not end the process.
type pebbleLogger struct {
	log func(string, ...any)
	dev *device
}

func (pebbleLogger) Infof(string, ...any)        {}
func (l pebbleLogger) Errorf(f string, a ...any) { l.log("pebble", "err", fmt.Sprintf(f, a...)) }
func (l pebbleLogger) Fatalf(f string, a ...any) {
	err := fmt.Errorf("pebble: "+f, a...)
	l.log("fatal database error", "err", err)
	l.dev.fence(err)
}

// Close closes the folder.
func (engine *Engine) Close() error {
	err := engine.SaveUptime()
	engine.instanceMutex.Lock()
	close(engine.closed)
	old := engine.current
	engine.current = nil
	engine.instanceMutex.Unlock()
	if old == nil {
		return err
	}
	return errors.Join(err, old.close())
}
