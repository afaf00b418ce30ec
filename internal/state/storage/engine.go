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
	regPre   = "r/"
	blobPre  = "b/"
	metaPre  = "m/"
	livedKey = metaPre + "lived"
)

// Params open a engine.
type Params struct {
	Dir  string
	ID   string // the machine's name, checked against the folder
	Role string
	FS   vfs.FS // nil means the real file system
	// Grave is how long a past turn is remembered as past.
	Grave time.Duration
	// MinFree is the free bytes below which no new key is taken; on a small disk an
	// eighth of it, where that is less.
	MinFree int64
	Log     func(string, ...any)
}

// paper is the folder's identity file.
type paper struct {
	Format int    `json:"format"`
	ID     string `json:"id"`
	Role   string `json:"role"`
	Ident  string `json:"ident"`
}

// Engine is an open data folder. A disk that is full, does not answer or fails ends
// neither it nor the process: it refuses writes meanwhile, answers reads from what was
// synced, and goes on by itself.
type Engine struct {
	p     Params
	inner vfs.FS
	fs    *device // the files beside the database
	paper paper
	// Fresh tells that the folder was empty or unreadable, and that the
	// identity is therefore a new one which must not vote before admission.
	Fresh bool
	// unused tells that the identity was made just now and has no database yet.
	unused bool

	room room

	life   sync.RWMutex // guards what follows
	inst   *instance    // nil while there is none
	closed chan struct{}
	// opening is full while somebody opens the folder or changes it for another.
	opening chan struct{}

	mu    sync.Mutex
	base  time.Duration // lived before this start
	start time.Time
	// doubts are the records whose last write may or may not be on the disk. They are
	// not written again before that is known and was read.
	doubts map[string]*write
}

// reopenPause is the time between two tries to open a folder on a disk that fails.
const reopenPause = 500 * time.Millisecond

// Open opens or creates the folder. A folder of another machine or version is
// left alone and refused. A disk that is full, does not answer or fails is waited for.
func Open(p Params) (*Engine, error) {
	v := &Engine{p: p, inner: p.FS, start: time.Now(), closed: make(chan struct{}), opening: make(chan struct{}, 1), doubts: map[string]*write{}}
	if v.inner == nil {
		v.inner = vfs.Default
	}
	v.room.fakeFree.Store(-1)
	if v.p.Grave == 0 {
		v.p.Grave = 30 * 24 * time.Hour
	}
	if v.p.Log == nil {
		v.p.Log = func(string, ...any) {}
	}
	for {
		v.fs = newFolderDevice(v.inner)
		err := v.openFolder()
		if err == nil {
			break
		}
		if v.fs.failure() == nil && v.fs.readFailure() == nil {
			return nil, err
		}
		v.p.Log("the disk fails, trying again to open the folder", "err", err)
		v.fs.release(true)
		pause(reopenPause)
	}
	v.Look()
	return v, nil
}

func pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	<-t.C
}

// openFolder finds or makes the identity, and opens the database.
func (v *Engine) openFolder() error {
	if err := v.fs.MkdirAll(v.p.Dir, 0o755); err != nil {
		return code.New(code.DiskFailure, "data folder: %w", err)
	}
	// The entries that lead to the folder must last too, or all in it goes
	// with them.
	for dir := v.p.Dir; dir != v.fs.PathDir(dir); dir = v.fs.PathDir(dir) {
		if err := v.syncDir(v.fs.PathDir(dir)); err != nil {
			return code.New(code.DiskFailure, "data folder: %w", err)
		}
	}
	known, err := v.readPaper()
	if err != nil {
		return err
	}
	if !known {
		if err := v.renew("the folder holds no identity"); err != nil {
			return err
		}
	}
	dev := newDevice(v.inner)
	err = v.openDB(dev)
	if failed := errors.Join(dev.failure(), dev.readFailure()); err != nil && failed != nil {
		// The disk's failure says nothing about the data.
		v.fs.fence(failed)
		dev.release(true)
	}
	if err != nil && v.fs.failure() == nil {
		// Someone else holding the folder is no reason to take a new identity.
		if errors.Is(err, pebble.ErrDBAlreadyExists) || v.Fresh || errors.Is(err, errLocked) {
			return code.New(code.DiskFailure, "data folder: %w", err)
		}
		// A forgetful voter breaks agreement: what can't be read is put aside
		// and the machine comes back as a stranger.
		v.p.Log("data can't be read, taking a new identity", "err", err)
		dev.release(true)
		if err := v.renew("the data can't be read"); err != nil {
			return err
		}
		err = v.openDB(newDevice(v.inner))
	}
	if err != nil {
		return code.New(code.DiskFailure, "data folder: %w", err)
	}
	b, err := v.get(livedKey)
	if err != nil {
		v.fs.fence(err)
		_ = v.inst.close()
		v.inst = nil
		return err
	}
	if len(b) == 8 {
		v.base = time.Duration(binary.BigEndian.Uint64(b))
	}
	return nil
}

var errLocked = errors.New("in use by another process")

func (v *Engine) path(name string) string { return v.inner.PathJoin(v.p.Dir, name) }

func (v *Engine) readPaper() (bool, error) {
	f, err := v.fs.Open(v.path("IDENT"))
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
	if err := json.Unmarshal(b, &v.paper); err != nil {
		return false, nil
	}
	if v.paper.Format != Format {
		return false, code.New(code.FolderVersion, "data folder has format %d, this program keeps %d", v.paper.Format, Format)
	}
	if v.paper.ID != v.p.ID || v.paper.Role != v.p.Role {
		return false, code.New(code.ForeignFolder, "data folder belongs to %s %q, not to %s %q", v.paper.Role, v.paper.ID, v.p.Role, v.p.ID)
	}
	return true, nil
}

// renew puts old data aside and writes a new identity.
func (v *Engine) renew(why string) error {
	if _, err := v.fs.Stat(v.path("db")); err == nil {
		for n := 1; ; n++ {
			to := v.path(fmt.Sprintf(aside+"%d", n))
			if _, err := v.fs.Stat(to); err != nil {
				if err := v.fs.Rename(v.path("db"), to); err != nil {
					return code.New(code.DiskFailure, "put aside: %w", err)
				}
				break
			}
		}
	}
	v.Fresh, v.unused = true, true
	made := paper{Format, v.p.ID, v.p.Role, newIdent()}
	v.p.Log("new identity", "why", why, "ident", made.Ident)
	b, _ := json.Marshal(made)
	f, err := v.fs.Create(v.path("IDENT.new"), vfs.WriteCategoryUnspecified)
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
		err = v.fs.Rename(v.path("IDENT.new"), v.path("IDENT"))
	}
	if err == nil {
		err = v.syncDir(v.p.Dir)
	}
	if err != nil {
		return code.New(code.DiskFailure, "IDENT: %w", err)
	}
	v.life.Lock()
	v.paper = made
	v.life.Unlock()
	return nil
}

func (v *Engine) syncDir(dir string) error {
	d, err := v.fs.OpenDir(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

func newIdent() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// openDB opens the database through a device of its own and puts it to use.
func (v *Engine) openDB(dev *device) error {
	lock, err := pebble.LockDirectory(v.p.Dir, dev)
	if err != nil {
		return fmt.Errorf("%w: %w", errLocked, err)
	}
	lock.Close()
	options := v.options(dev)
	// An identity whose data are gone must not begin anew without them: they held what
	// it had promised.
	options.ErrorIfNotExists = !v.unused
	i, err := openInstance(v.path("db"), dev, options)
	if err != nil {
		return err
	}
	v.unused = false
	i.delay, i.timed = v.fakeDelay, v.noteSync
	go i.run()
	v.life.Lock()
	v.inst = i
	v.life.Unlock()
	dev.onFailure(func(cause error) { go v.reopen(i, cause) })
	return nil
}

// reopen puts another instance in the place of one that has failed, opened from what
// the disk holds. Until then the failed one answers reads from what it had synced.
func (v *Engine) reopen(old *instance, cause error) {
	v.p.Log("the disk failed, opening the folder again", "err", cause)
	// A change still in the disk's hands could be made later, in the midst of what the
	// new instance writes.
	<-old.dev.drained()
	for !v.reopened(old) {
		pause(reopenPause)
	}
}

// reopened tries once. It tells whether there is nothing left to be tried.
func (v *Engine) reopened(old *instance) bool {
	v.opening <- struct{}{}
	defer func() { <-v.opening }()
	if v.isClosed() || v.instance() != old {
		return true
	}
	old.dev.release(false)
	dev := newDevice(v.inner)
	next, err := openInstance(v.path("db"), dev, v.options(dev))
	if err != nil {
		v.p.Log("the folder can't be opened again yet", "err", err)
		dev.fence(err)
		<-dev.drained()
		dev.release(true)
		return false
	}
	v.replace(old, next)
	return true
}

// replace puts next to use in the place of old, and closes what is not in use then.
func (v *Engine) replace(old, next *instance) {
	next.delay, next.timed = v.fakeDelay, v.noteSync
	go next.run()
	v.life.Lock()
	unused := next
	if v.inst == old && !v.isClosed() {
		v.inst, unused = next, old
	}
	v.life.Unlock()
	if unused == old {
		v.p.Log("the folder is open again")
		next.dev.onFailure(func(cause error) { go v.reopen(next, cause) })
	}
	if err := unused.close(); err != nil {
		v.p.Log("an instance was not closed well", "err", err)
	}
	unused.settle()
	unused.dev.release(true)
}

func (v *Engine) isClosed() bool {
	select {
	case <-v.closed:
		return true
	default:
		return false
	}
}

func (v *Engine) instance() *instance {
	v.life.RLock()
	defer v.life.RUnlock()
	return v.inst
}

// use takes the instance in use, which is not closed before the call's done.
func (v *Engine) use() (*instance, error) {
	v.life.RLock()
	defer v.life.RUnlock()
	if v.inst == nil {
		return nil, code.New(code.DiskFailure, "the folder is not open")
	}
	v.inst.users.Add(1)
	return v.inst, nil
}

// options keep the database small. Machines have as little as 72 MB of memory and
// 128 MB of disk, and hold tens of MB.
func (v *Engine) options(dev *device) *pebble.Options {
	o := &pebble.Options{
		FS:     dev,
		Logger: quiet{v.p.Log, dev},
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
func (v *Engine) Ident() string {
	v.life.RLock()
	defer v.life.RUnlock()
	return v.paper.Ident
}

// Renew puts the data aside and goes on empty, under a new identity. Of what was
// put aside before nothing is kept: nobody will ask for it.
func (v *Engine) Renew(why string) error {
	v.opening <- struct{}{}
	defer func() { <-v.opening }()
	if err := v.detach(); err != nil {
		v.p.Log("data not closed", "err", err)
	}
	v.fs = newFolderDevice(v.inner)
	names, err := v.fs.List(v.p.Dir)
	for _, n := range names {
		if strings.HasPrefix(n, aside) && err == nil {
			err = v.fs.RemoveAll(v.path(n))
		}
	}
	if err == nil {
		err = v.renew(why)
	}
	if err != nil {
		return code.New(code.DiskFailure, "renew: %w", err)
	}
	if err := v.openDB(newDevice(v.inner)); err != nil {
		return code.New(code.DiskFailure, "data folder: %w", err)
	}
	v.mu.Lock()
	v.base, v.start = 0, time.Now()
	clear(v.doubts)
	v.mu.Unlock()
	return nil
}

// detach takes the instance out of use and closes it.
func (v *Engine) detach() error {
	v.life.Lock()
	old := v.inst
	v.inst = nil
	v.life.Unlock()
	if old == nil {
		return nil
	}
	err := old.close()
	if old.dev.failure() != nil {
		<-old.dev.drained()
		old.dev.release(true)
	}
	return err
}

// aside is how the names of data put aside begin.
const aside = "db.aside-"

// Close closes the folder.
func (v *Engine) Close() error {
	err := v.Tick()
	v.life.Lock()
	close(v.closed)
	old := v.inst
	v.inst = nil
	v.life.Unlock()
	if old == nil {
		return err
	}
	return errors.Join(err, old.close())
}

// read runs f on what has been synced.
func (v *Engine) read(f func(pebble.Reader) error) error {
	i, err := v.use()
	if err != nil {
		return err
	}
	defer i.users.Done()
	return i.read(f)
}

// failed gives an error of the disk its number.
func failed(doing string, err error) error {
	var numbered *code.Failure
	switch {
	case err == nil || errors.As(err, &numbered):
		return err
	case errors.Is(err, errNoRoom):
		return code.New(code.DiskFull, "%s: %w", doing, err)
	case errors.Is(err, errReadStall), errors.Is(err, errSyncWait), errors.Is(err, errQueueFull):
		return code.New(code.DiskStalled, "%s: %w", doing, err)
	}
	return code.New(code.DiskFailure, "%s: %w", doing, err)
}

func (v *Engine) get(key string) (out []byte, err error) {
	err = v.read(func(r pebble.Reader) error {
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
	return out, failed("read", err)
}

// How long a caller waits for the sync of what it writes.
const (
	voteWait = 2 * time.Second
	bulkWait = 10 * time.Second
)

func (v *Engine) put(key string, b []byte) error {
	_, err := v.write(voteWait, edit{key: key, val: b})
	return err
}

// write syncs edits. An error leaves their outcome open where a write is handed back
// with it; without one nothing was begun.
func (v *Engine) write(limit time.Duration, edits ...edit) (*write, error) {
	i, err := v.use()
	if err != nil {
		return nil, err
	}
	defer i.users.Done()
	w, err := i.submit(limit, edits)
	if err != nil && w != nil && code.Of(failed("write", err)) != code.DiskFailure {
		return w, code.New(code.WriteUnsure, "write: %w", err)
	}
	return w, failed("write", err)
}

// record writes records of the acceptor. One whose earlier write is in doubt is not
// written: what it would be made from may not be what the disk holds.
func (v *Engine) record(limit time.Duration, edits ...edit) error {
	v.mu.Lock()
	for _, e := range edits {
		if v.doubts[e.key] != nil {
			v.mu.Unlock()
			return code.New(code.DiskStalled, "the outcome of the last write of %s is not known yet", e.key)
		}
	}
	v.mu.Unlock()
	w, err := v.write(limit, edits...)
	if err != nil && w != nil {
		v.mu.Lock()
		for _, e := range edits {
			v.doubts[e.key] = w
		}
		v.mu.Unlock()
	}
	return err
}

// known ends the doubt about a record that is about to be read, if its last write has
// been settled: what is read then is what the disk holds.
func (v *Engine) known(key string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	w := v.doubts[key]
	if w == nil {
		return
	}
	select {
	case <-w.settled:
		delete(v.doubts, key)
	default:
	}
}

// Load and Save are the acceptor's disk.
func (v *Engine) Load(key string) (*wire.Rec, error) {
	r := &wire.Rec{}
	v.known(regPre + key)
	b, err := v.get(regPre + key)
	if err != nil || b == nil {
		return r, err
	}
	if err := proto.Unmarshal(b, r); err != nil {
		return nil, code.New(code.DiskFailure, "record %s: %w", key, err)
	}
	return r, nil
}

// Save returns once the record is synced.
func (v *Engine) Save(key string, r *wire.Rec) error {
	if err := v.admit(regPre + key); err != nil {
		return err
	}
	r.AtMs = v.Lived().Milliseconds()
	return v.record(voteWait, edit{key: regPre + key, val: wire.Encode(r)})
}

// Aged lists up to limit registers last written longer ago than keep says, which is
// none at all where it says 0. A record from before writes were dated counts from
// now on.
func (v *Engine) Aged(limit int, keep func(key string) time.Duration) ([]string, error) {
	var out, undated []string
	now := v.Lived()
	err := v.from(regPre, "", func(k string, raw []byte) (bool, error) {
		k = k[len(regPre):]
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

// Since is how long ago a record was last written, in open time.
func (v *Engine) Since(r *wire.Rec) time.Duration {
	return v.Lived() - time.Duration(r.AtMs)*time.Millisecond
}

// Grave is how long something past is remembered as past.
func (v *Engine) Grave() time.Duration { return v.p.Grave }

// Drop forgets a register altogether.
func (v *Engine) Drop(key string) error {
	return v.record(voteWait, edit{key: regPre + key, deleted: true})
}

// Keys gives up to limit keys of a kind after a key, in order, with the ballots
// of registers. Of blobs only those within their keeping time count.
func (v *Engine) Keys(kind wire.List_Kind, after string, limit int, want func(key string) bool) ([]*wire.Row, error) {
	var out []*wire.Row
	pre := regPre
	if kind == wire.List_BLOBS {
		pre = blobPre
	}
	now := v.Lived().Milliseconds()
	err := v.from(pre, after, func(k string, raw []byte) (bool, error) {
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

// Registers goes through the registers whose keys begin with a prefix that ends in
// a slash.
func (v *Engine) Registers(prefix string, on func(key string, r *wire.Rec)) error {
	return v.each(regPre+prefix, func(k string, raw []byte) error {
		r := &wire.Rec{}
		if err := proto.Unmarshal(raw, r); err != nil {
			return code.New(code.DiskFailure, "record %s: %w", k[len(regPre):], err)
		}
		on(k[len(regPre):], r)
		return nil
	})
}

// Note keeps a small fact of the process's own; Noted reads it.
func (v *Engine) Note(key string, b []byte) error { return v.put(metaPre+"n/"+key, b) }

// Noted reads what Note kept; nil where there is nothing.
func (v *Engine) Noted(key string) ([]byte, error) { return v.get(metaPre + "n/" + key) }

// Notes lists what is noted under a prefix.
func (v *Engine) Notes(prefix string) (map[string][]byte, error) {
	out := map[string][]byte{}
	pre := metaPre + "n/" + prefix
	err := v.each(pre, func(k string, b []byte) error {
		out[k[len(metaPre+"n/"):]] = append([]byte(nil), b...)
		return nil
	})
	return out, err
}

func (v *Engine) each(pre string, on func(k string, b []byte) error) error {
	return v.from(pre, "", func(k string, b []byte) (bool, error) { return true, on(k, b) })
}

// from goes through the entries of a prefix after a key, as long as on says so.
func (v *Engine) from(pre, after string, on func(k string, b []byte) (bool, error)) error {
	end := append([]byte(pre[:len(pre)-1]), pre[len(pre)-1]+1)
	low := []byte(pre)
	if after != "" {
		low = append([]byte(pre+after), 0)
	}
	return failed("scan", v.read(func(r pebble.Reader) error {
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
