// Package storage keeps a process's state under its one data folder, on pebble.
// What it says is kept has been synced.
package storage

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"google.golang.org/protobuf/proto"

	"damsontiller/internal/proto/wire"
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

// Params open a engine.
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

// identityFile is the folder's identity file.
type identityFile struct {
	Format int    `json:"format"`
	ID     string `json:"id"`
	Role   string `json:"role"`
	Ident  string `json:"ident"`
}

// Engine is an open data folder. A disk that is full, does not answer or fails ends
// neither it nor the process: it refuses writes meanwhile, answers reads from what was
// synced, and goes on by itself.
type Engine struct {
	params   Params
	base     vfs.FS
	files    *device // the files beside the database
	identity identityFile
	// NewIdentity tells that the folder was empty or unreadable, and that the
	// identity is therefore a new one which must not vote before admission.
	NewIdentity bool
	// withoutDatabase tells that the identity was made just now and has no database yet.
	withoutDatabase bool

	space diskSpace

	instanceMutex sync.RWMutex // guards what follows
	current       *instance    // nil while there is none
	closed        chan struct{}
	// opening is full while somebody opens the folder or changes it for another.
	opening chan struct{}

	mu           sync.Mutex
	uptimeBefore time.Duration // lived before this start
	start        time.Time
	// uncertainWrites are the records whose last write may or may not be on the disk. They are
	// not written again before that is known and was read.
	uncertainWrites map[string]*write
}

// reopenPause is the time between two tries to open a folder on a disk that fails.
const reopenPause = 500 * time.Millisecond

// Open opens or creates the folder. A folder of another machine or version is
// left alone and refused. A disk that is full, does not answer or fails is waited for.
func Open(p Params) (*Engine, error) {
	engine := &Engine{params: p, base: p.FS, start: time.Now(), closed: make(chan struct{}), opening: make(chan struct{}, 1), uncertainWrites: map[string]*write{}}
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
	for {
		engine.files = newFolderDevice(engine.base)
		err := engine.openFolder()
		if err == nil {
			break
		}
		if engine.files.failure() == nil && engine.files.readFailure() == nil {
			return nil, err
		}
		engine.params.Log("the disk fails, trying again to open the folder", "err", err)
		engine.files.release(true)
		sleep(reopenPause)
	}
	engine.MeasureDisk()
	return engine, nil
}

func sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	<-t.C
}

// openFolder finds or makes the identity, and opens the database.
func (engine *Engine) openFolder() error {
	if err := engine.files.MkdirAll(engine.params.Dir, 0o755); err != nil {
		return code.New(code.DiskFailure, "data folder: %w", err)
	}
	// The entries that lead to the folder must last too, or all in it goes
	// with them.
	for dir := engine.params.Dir; dir != engine.files.PathDir(dir); dir = engine.files.PathDir(dir) {
		if err := engine.syncDir(engine.files.PathDir(dir)); err != nil {
			return code.New(code.DiskFailure, "data folder: %w", err)
		}
	}
	known, err := engine.readIdentity()
	if err != nil {
		return err
	}
	if !known {
		if err := engine.replaceIdentity("the folder holds no identity"); err != nil {
			return err
		}
	}
	dev := newDevice(engine.base)
	err = engine.openDB(dev)
	if failed := errors.Join(dev.failure(), dev.readFailure()); err != nil && failed != nil {
		// The disk's failure says nothing about the data.
		engine.files.fence(failed)
		dev.release(true)
	}
	if err != nil && engine.files.failure() == nil {
		// Someone else holding the folder is no reason to take a new identity.
		if errors.Is(err, pebble.ErrDBAlreadyExists) || engine.NewIdentity || errors.Is(err, errFolderLocked) {
			return code.New(code.DiskFailure, "data folder: %w", err)
		}
		// A forgetful voter breaks agreement: what can't be read is put aside
		// and the machine comes back as a stranger.
		engine.params.Log("data can't be read, taking a new identity", "err", err)
		dev.release(true)
		if err := engine.replaceIdentity("the data can't be read"); err != nil {
			return err
		}
		err = engine.openDB(newDevice(engine.base))
	}
	if err != nil {
		return code.New(code.DiskFailure, "data folder: %w", err)
	}
	b, err := engine.get(uptimeKey)
	if err != nil {
		engine.files.fence(err)
		_ = engine.current.close()
		engine.current = nil
		return err
	}
	if len(b) == 8 {
		engine.uptimeBefore = time.Duration(binary.BigEndian.Uint64(b))
	}
	return nil
}

var errFolderLocked = errors.New("in use by another process")

func (engine *Engine) path(name string) string { return engine.base.PathJoin(engine.params.Dir, name) }

func (engine *Engine) readIdentity() (bool, error) {
	f, err := engine.files.Open(engine.path("IDENT"))
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, code.New(code.DiskFailure, "IDENT: %w", err)
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, 4096))
	if err != nil {
		return false, code.New(code.DiskFailure, "IDENT: %w", err)
	}
	if err := json.Unmarshal(b, &engine.identity); err != nil {
		return false, nil
	}
	if engine.identity.Format != Format {
		return false, code.New(code.FolderVersion, "data folder has format %d, this program keeps %d", engine.identity.Format, Format)
	}
	if engine.identity.ID != engine.params.ID || engine.identity.Role != engine.params.Role {
		return false, code.New(code.ForeignFolder, "data folder belongs to %s %q, not to %s %q", engine.identity.Role, engine.identity.ID, engine.params.Role, engine.params.ID)
	}
	return true, nil
}

// replaceIdentity puts old data aside and writes a new identity.
func (engine *Engine) replaceIdentity(why string) error {
	if _, err := engine.files.Stat(engine.path("db")); err == nil {
		for n := 1; ; n++ {
			to := engine.path(fmt.Sprintf(setAsidePrefix+"%d", n))
			if _, err := engine.files.Stat(to); err != nil {
				if err := engine.files.Rename(engine.path("db"), to); err != nil {
					return code.New(code.DiskFailure, "put aside: %w", err)
				}
				break
			}
		}
	}
	engine.NewIdentity, engine.withoutDatabase = true, true
	made := identityFile{Format, engine.params.ID, engine.params.Role, newIdentity()}
	engine.params.Log("new identity", "why", why, "ident", made.Ident)
	b, _ := json.Marshal(made)
	f, err := engine.files.Create(engine.path("IDENT.new"), vfs.WriteCategoryUnspecified)
	if err != nil {
		return code.New(code.DiskFailure, "IDENT: %w", err)
	}
	if _, err = f.Write(b); err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = engine.files.Rename(engine.path("IDENT.new"), engine.path("IDENT"))
	}
	if err == nil {
		err = engine.syncDir(engine.params.Dir)
	}
	if err != nil {
		return code.New(code.DiskFailure, "IDENT: %w", err)
	}
	engine.instanceMutex.Lock()
	engine.identity = made
	engine.instanceMutex.Unlock()
	return nil
}

func (engine *Engine) syncDir(dir string) error {
	d, err := engine.files.OpenDir(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

func newIdentity() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// openDB opens the database through a device of its own and puts it to use.
func (engine *Engine) openDB(dev *device) error {
	lock, err := pebble.LockDirectory(engine.params.Dir, dev)
	if err != nil {
		return fmt.Errorf("%w: %w", errFolderLocked, err)
	}
	lock.Close()
	options := engine.options(dev)
	// An identity whose data are gone must not begin anew without them: they held what
	// it had promised.
	options.ErrorIfNotExists = !engine.withoutDatabase
	i, err := openInstance(engine.path("db"), dev, options)
	if err != nil {
		return err
	}
	engine.withoutDatabase = false
	i.beforeSync, i.onSync = engine.delaySync, engine.recordSync
	go i.run()
	engine.instanceMutex.Lock()
	engine.current = i
	engine.instanceMutex.Unlock()
	dev.onFailure(func(cause error) { go engine.reopen(i, cause) })
	return nil
}

// reopen puts another instance in the place of one that has failed, opened from what
// the disk holds. Until then the failed one answers reads from what it had synced.
func (engine *Engine) reopen(old *instance, cause error) {
	engine.params.Log("the disk failed, opening the folder again", "err", cause)
	// A change still in the disk's hands could be made later, in the midst of what the
	// new instance writes.
	<-old.device.drained()
	for !engine.reopened(old) {
		sleep(reopenPause)
	}
}

// reopened tries once. It tells whether there is nothing left to be tried.
func (engine *Engine) reopened(old *instance) bool {
	engine.opening <- struct{}{}
	defer func() { <-engine.opening }()
	if engine.isClosed() || engine.instance() != old {
		return true
	}
	old.device.release(false)
	dev := newDevice(engine.base)
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

// replace puts next to use in the place of old, and closes what is not in use then.
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

// acquire takes the instance in use, which is not closed before the call's done.
func (engine *Engine) acquire() (*instance, error) {
	engine.instanceMutex.RLock()
	defer engine.instanceMutex.RUnlock()
	if engine.current == nil {
		return nil, code.New(code.DiskFailure, "the folder is not open")
	}
	engine.current.users.Add(1)
	return engine.current, nil
}

// options keep the database small. Machines have as little as 72 MB of memory and
// 128 MB of disk, and hold tens of MB.
func (engine *Engine) options(dev *device) *pebble.Options {
	o := &pebble.Options{
		FS:     dev,
		Logger: quiet{engine.params.Log, dev},
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
		// only a few MB of room for what it makes beside what it replaces.
		LBaseMaxBytes:               8 << 20,
		CompactionConcurrencyRange:  func() (int, int) { return 1, 1 },
		MemTableStopWritesThreshold: 2,
	}
	for i := range o.TargetFileSizes {
		o.TargetFileSizes[i] = 2 << 20
	}
	return o
}

// quiet passes on what pebble calls errors only. What it calls fatal ends the use of
// the device, not the process.
type quiet struct {
	log func(string, ...any)
	dev *device
}

func (quiet) Infof(string, ...any)        {}
func (q quiet) Errorf(f string, a ...any) { q.log("pebble", "err", fmt.Sprintf(f, a...)) }
func (q quiet) Fatalf(f string, a ...any) {
	err := fmt.Errorf("pebble: "+f, a...)
	q.log("the database gave up", "err", err)
	q.dev.fence(err)
}

// Ident is the identity that this folder stands for.
func (engine *Engine) Ident() string {
	engine.instanceMutex.RLock()
	defer engine.instanceMutex.RUnlock()
	return engine.identity.Ident
}

// ReplaceIdentity puts the data aside and goes on empty, under a new identity. Of what was
// put aside before nothing is kept: nobody will ask for it.
func (engine *Engine) ReplaceIdentity(why string) error {
	engine.opening <- struct{}{}
	defer func() { <-engine.opening }()
	if err := engine.detach(); err != nil {
		engine.params.Log("data not closed", "err", err)
	}
	engine.files = newFolderDevice(engine.base)
	names, err := engine.files.List(engine.params.Dir)
	for _, n := range names {
		if strings.HasPrefix(n, setAsidePrefix) && err == nil {
			err = engine.files.RemoveAll(engine.path(n))
		}
	}
	if err == nil {
		err = engine.replaceIdentity(why)
	}
	if err != nil {
		return code.New(code.DiskFailure, "renew: %w", err)
	}
	if err := engine.openDB(newDevice(engine.base)); err != nil {
		return code.New(code.DiskFailure, "data folder: %w", err)
	}
	engine.mu.Lock()
	engine.uptimeBefore, engine.start = 0, time.Now()
	clear(engine.uncertainWrites)
	engine.mu.Unlock()
	return nil
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

// setAsidePrefix is how the names of data put aside begin.
const setAsidePrefix = "db.aside-"

// Close closes the folder.
func (engine *Engine) Close() error {
	err := engine.Tick()
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

// read runs f on what has been synced.
func (engine *Engine) read(f func(pebble.Reader) error) error {
	i, err := engine.acquire()
	if err != nil {
		return err
	}
	defer i.users.Done()
	return i.read(f)
}

// classify gives an error of the disk its number.
func classify(doing string, err error) error {
	var numbered *code.Failure
	switch {
	case err == nil || errors.As(err, &numbered):
		return err
	case errors.Is(err, errNoSpace):
		return code.New(code.DiskFull, "%s: %w", doing, err)
	case errors.Is(err, errReadStalled), errors.Is(err, errSyncTimeout), errors.Is(err, errQueueFull):
		return code.New(code.DiskStalled, "%s: %w", doing, err)
	}
	return code.New(code.DiskFailure, "%s: %w", doing, err)
}

func (engine *Engine) get(key string) (out []byte, err error) {
	err = engine.read(func(r pebble.Reader) error {
		b, c, err := r.Get([]byte(key))
		if errors.Is(err, pebble.ErrNotFound) {
			return nil
		}
		if err != nil {
			return err
		}
		defer c.Close()
		out = append([]byte{}, b...)
		return nil
	})
	return out, classify("read", err)
}

// How long a caller waits for the sync of what it writes.
const (
	voteTimeout = 2 * time.Second
	bulkTimeout = 10 * time.Second
)

func (engine *Engine) put(key string, b []byte) error {
	_, err := engine.write(voteTimeout, edit{key: key, value: b})
	return err
}

// write syncs edits. An error leaves their outcome open where a write is handed back
// with it; without one nothing was begun.
func (engine *Engine) write(limit time.Duration, edits ...edit) (*write, error) {
	i, err := engine.acquire()
	if err != nil {
		return nil, err
	}
	defer i.users.Done()
	w, err := i.submit(limit, edits)
	if err != nil && w != nil && code.Of(classify("write", err)) != code.DiskFailure {
		return w, code.New(code.WriteUncertain, "write: %w", err)
	}
	return w, classify("write", err)
}

// writeRecords writes records of the acceptor. One whose earlier write is in doubt is not
// written: what it would be made from may not be what the disk holds.
func (engine *Engine) writeRecords(limit time.Duration, edits ...edit) error {
	engine.mu.Lock()
	for _, e := range edits {
		if engine.uncertainWrites[e.key] != nil {
			engine.mu.Unlock()
			return code.New(code.DiskStalled, "the outcome of the last write of %s is not known yet", e.key)
		}
	}
	engine.mu.Unlock()
	w, err := engine.write(limit, edits...)
	if err != nil && w != nil {
		engine.mu.Lock()
		for _, e := range edits {
			engine.uncertainWrites[e.key] = w
		}
		engine.mu.Unlock()
	}
	return err
}

// clearResolved ends the doubt about a record that is about to be read, if its last write has
// been settled: what is read then is what the disk holds.
func (engine *Engine) clearResolved(key string) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	w := engine.uncertainWrites[key]
	if w == nil {
		return
	}
	select {
	case <-w.resolved:
		delete(engine.uncertainWrites, key)
	default:
	}
}

// Load and Save are the acceptor's disk.
func (engine *Engine) Load(key string) (*wire.Rec, error) {
	r := &wire.Rec{}
	engine.clearResolved(registerPrefix + key)
	b, err := engine.get(registerPrefix + key)
	if err != nil || b == nil {
		return r, err
	}
	if err := proto.Unmarshal(b, r); err != nil {
		return nil, code.New(code.DiskFailure, "record %s: %w", key, err)
	}
	return r, nil
}

// Save returns once the record is synced.
func (engine *Engine) Save(key string, r *wire.Rec) error {
	if err := engine.admitNewKey(registerPrefix + key); err != nil {
		return err
	}
	r.AtMs = engine.Uptime().Milliseconds()
	return engine.writeRecords(voteTimeout, edit{key: registerPrefix + key, value: wire.MustEncode(r)})
}

// OlderThan lists up to limit registers last written longer ago than keep says, which is
// none at all where it says 0. A record from before writes were dated counts from
// now on.
func (engine *Engine) OlderThan(limit int, keep func(key string) time.Duration) ([]string, error) {
	var out, undated []string
	now := engine.Uptime()
	err := engine.scan(registerPrefix, "", func(k string, raw []byte) (bool, error) {
		k = k[len(registerPrefix):]
		d := keep(k)
		if d == 0 {
			return true, nil
		}
		r := &wire.Rec{}
		if err := proto.Unmarshal(raw, r); err != nil {
			return false, code.New(code.DiskFailure, "record %s: %w", k, err)
		}
		switch {
		case r.AtMs == 0:
			undated = append(undated, k)
		case now-time.Duration(r.AtMs)*time.Millisecond > d:
			out = append(out, k)
		}
		return len(out)+len(undated) < limit, nil
	})
	return append(out, undated...), err
}

// Age is how long ago a record was last written, in open time.
func (engine *Engine) Age(r *wire.Rec) time.Duration {
	return engine.Uptime() - time.Duration(r.AtMs)*time.Millisecond
}

// TombstoneRetention is how long something past is remembered as past.
func (engine *Engine) TombstoneRetention() time.Duration { return engine.params.TombstoneRetention }

// DeleteRegister forgets a register altogether.
func (engine *Engine) DeleteRegister(key string) error {
	return engine.writeRecords(voteTimeout, edit{key: registerPrefix + key, deleted: true})
}

// Keys gives up to limit keys of a kind after a key, in order, with the ballots
// of registers. Of blobs only those within their keeping time count.
func (engine *Engine) Keys(kind wire.List_Kind, after string, limit int, want func(key string) bool) ([]*wire.Row, error) {
	var out []*wire.Row
	pre := registerPrefix
	if kind == wire.List_BLOBS {
		pre = blobPrefix
	}
	now := engine.Uptime().Milliseconds()
	err := engine.scan(pre, after, func(k string, raw []byte) (bool, error) {
		k = k[len(pre):]
		if want != nil && !want(k) {
			return true, nil
		}
		row := &wire.Row{Key: k}
		if kind == wire.List_BLOBS {
			g := &wire.Got{}
			if err := proto.Unmarshal(raw, g); err != nil {
				return false, code.New(code.DiskFailure, "blob %s: %w", k, err)
			}
			if g.State != wire.Got_HERE || now-g.AgeMs > g.KeepMs {
				return true, nil
			}
		} else {
			r := &wire.Rec{}
			if err := proto.Unmarshal(raw, r); err != nil {
				return false, code.New(code.DiskFailure, "record %s: %w", k, err)
			}
			if r.Accepted == nil || r.Cell.GetPast() {
				return true, nil
			}
			row.Ballot = r.Accepted
		}
		out = append(out, row)
		return len(out) < limit, nil
	})
	return out, err
}

// EachRegister goes through the registers whose keys begin with a prefix that ends in
// a slash.
func (engine *Engine) EachRegister(prefix string, on func(key string, r *wire.Rec)) error {
	return engine.scanAll(registerPrefix+prefix, func(k string, raw []byte) error {
		r := &wire.Rec{}
		if err := proto.Unmarshal(raw, r); err != nil {
			return code.New(code.DiskFailure, "record %s: %w", k[len(registerPrefix):], err)
		}
		on(k[len(registerPrefix):], r)
		return nil
	})
}

// SaveMetadata keeps a small fact of the process's own; Noted reads it.
func (engine *Engine) SaveMetadata(key string, b []byte) error {
	return engine.put(metadataPrefix+"n/"+key, b)
}

// LoadMetadata reads what Note kept; nil where there is nothing.
func (engine *Engine) LoadMetadata(key string) ([]byte, error) {
	return engine.get(metadataPrefix + "n/" + key)
}

// ListMetadata lists what is noted under a prefix.
func (engine *Engine) ListMetadata(prefix string) (map[string][]byte, error) {
	out := map[string][]byte{}
	pre := metadataPrefix + "n/" + prefix
	err := engine.scanAll(pre, func(k string, b []byte) error {
		out[k[len(metadataPrefix+"n/"):]] = append([]byte(nil), b...)
		return nil
	})
	return out, err
}

func (engine *Engine) scanAll(pre string, on func(k string, b []byte) error) error {
	return engine.scan(pre, "", func(k string, b []byte) (bool, error) { return true, on(k, b) })
}

// scan goes through the entries of a prefix after a key, as long as on says so.
func (engine *Engine) scan(pre, after string, on func(k string, b []byte) (bool, error)) error {
	end := append([]byte(pre[:len(pre)-1]), pre[len(pre)-1]+1)
	low := []byte(pre)
	if after != "" {
		low = append([]byte(pre+after), 0)
	}
	return classify("scan", engine.read(func(r pebble.Reader) error {
		it, err := r.NewIter(&pebble.IterOptions{LowerBound: low, UpperBound: end})
		if err != nil {
			return err
		}
		more := true
		for ok := it.First(); ok && more && err == nil; ok = it.Next() {
			more, err = on(string(it.Key()), it.Value())
		}
		return errors.Join(err, it.Close())
	}))
}
