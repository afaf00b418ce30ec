// Package storage keeps a process's state under its one data folder, on pebble.
// What it says is kept has been synced.
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

// Format is the data folder's version.
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
	// TombstoneRetention is how long a past turn is remembered as past.
	TombstoneRetention time.Duration
	// MinFree is the free bytes below which no new key is taken; on a small disk an
	// eighth of it, where that is less.
	MinFree int64
	Log     func(string, ...any)
}

// Engine is an open data folder. A disk that is full, does not answer or fails ends
// neither it nor the process: meanwhile it refuses writes, with code.DiskFull,
// code.DiskStalled or code.DiskFailure, serves reads from what was synced, and it recovers
// by itself. Its methods may be called concurrently.
type Engine struct {
	params   Params
	base     vfs.FS
	files    *device // the files beside the database
	identity identityFile
	// NewIdentity tells that the folder was empty or unreadable, and that the
	// identity is therefore a new one which must not vote before admission.
	NewIdentity bool
	// createDatabase tells that the identity was made just now and has no database yet.
	createDatabase bool

	space   diskSpace
	reserve *diskReserve

	instanceMutex sync.RWMutex // guards what follows
	current       *instance    // nil while there is none
	// folderStart is drawn anew by each opening of the folder and for each identity;
	// openedSequence is how many groups of writes had been synced before.
	folderStart, openedSequence uint64
	closed                      chan struct{}
	// opening is full while somebody opens the folder or changes it for another.
	openSemaphore chan struct{}

	mu           sync.Mutex
	uptimeBefore time.Duration // uptime before this start
	start        time.Time
	// uncertainWrites are the records whose last write may or may not be on the disk. They are
	// not written again before that is known and was read.
	uncertainWrites map[string]*write
}

// Open opens or creates the folder. It refuses a folder of another machine or format, with
// code.ForeignFolder or code.FolderVersion, and leaves it as it is. It waits for a disk
// that is full, does not answer or fails.
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

// readFailureTimeout is how long a disk may fail reads at the start before what it holds is
// given up. A disk that answers nothing is waited for however long it takes: it takes no
// new data either.
const readFailureTimeout = time.Minute

// openWithRetry opens the folder, and waits for a disk that is full, does not answer or
// fails. Where a disk goes on failing reads the machine starts as a stranger.
func (engine *Engine) openWithRetry() error {
	var unreadableSince time.Time
	for {
		engine.files = newFolderDevice(engine.base)
		open := engine.openFolder
		if !unreadableSince.IsZero() && time.Since(unreadableSince) >= readFailureTimeout {
			// Where that fails as well, the next attempt comes after as long again.
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
		engine.params.Log("the disk fails, trying again to open the folder", "err", err)
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

// acquire returns the instance in use, which is not closed before the caller has called
// Done on its users.
func (engine *Engine) acquire() (*instance, error) {
	engine.instanceMutex.RLock()
	defer engine.instanceMutex.RUnlock()
	if engine.current == nil {
		return nil, code.New(code.DiskFailure, "the folder is not open")
	}
	engine.current.users.Add(1)
	return engine.current, nil
}

// options keep the database small. Machines have as little as 72 MB of memory and 128 MB
// of disk, and store tens of MB.
func (engine *Engine) options(dev *device) *pebble.Options {
	o := &pebble.Options{
		FS:     dev,
		Logger: pebbleLogger{engine.params.Log, dev},
		// The newest format, for its table writer: the older one pools channels,
		// which simulated worlds in one test process must not share.
		FormatMajorVersion: pebble.FormatNewest,
		CacheSize:          4 << 20,
		// What a crash leaves in the log, up to two of these, is read and written anew
		// before the folder is open; each log takes a tenth more of the disk at once,
		// and one that has ended waits to be used again.
		MemTableSize:        2 << 20,
		MaxManifestFileSize: 1 << 20,
		MaxOpenFiles:        256,
		// A level more at sizes like these, and small files: a compaction then needs
		// only a few MB of space for what it makes beside what it replaces.
		LBaseMaxBytes:               8 << 20,
		CompactionConcurrencyRange:  func() (int, int) { return 1, 1 },
		MemTableStopWritesThreshold: 2,
	}
	for i := range o.TargetFileSizes {
		o.TargetFileSizes[i] = 2 << 20
	}
	return o
}

// quiet forwards only the database's errors to the log. What the database calls fatal
// fences its device and does not end the process.
type pebbleLogger struct {
	log func(string, ...any)
	dev *device
}

func (pebbleLogger) Infof(string, ...any)        {}
func (l pebbleLogger) Errorf(f string, a ...any) { l.log("pebble", "err", fmt.Sprintf(f, a...)) }
func (l pebbleLogger) Fatalf(f string, a ...any) {
	err := fmt.Errorf("pebble: "+f, a...)
	l.log("the database gave up", "err", err)
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
