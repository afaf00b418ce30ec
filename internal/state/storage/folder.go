package storage

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"

	"damsontiller/internal/transport/code"
)

// identityFile is the folder's identity file.
type identityFile struct {
	Format int    `json:"format"`
	ID     string `json:"id"`
	Role   string `json:"role"`
	Ident  string `json:"ident"`
	// Adopt names data set aside whose blobs are to be taken over.
	PendingImports []string `json:"adopt,omitempty"`
}

// openFolder finds or creates the identity, and opens the database.
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
		if err := engine.replaceIdentity("the folder holds no identity", false); err != nil {
			return err
		}
	}
	dev := newDevice(engine.base)
	err = engine.openDB(dev)
	if failed := errors.Join(dev.failure(), dev.readFailure()); err != nil && failed != nil {
		// The disk's failure says nothing about the data.
		engine.files.fence(failed)
		if dev.failure() == nil {
			_ = engine.files.recordReadError(dev.readFailure())
		}
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
		_, missing := engine.files.Stat(engine.path("db"))
		if err := engine.replaceIdentity("the data can't be read", missing != nil); err != nil {
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

// openWithNewIdentity sets the data aside unread and begins anew under another identity.
func (engine *Engine) openWithNewIdentity() error {
	if err := engine.replaceIdentity("the disk goes on failing reads", false); err != nil {
		return err
	}
	return engine.openDB(newDevice(engine.base))
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
		return false, code.New(
			code.FolderVersion,
			"data folder has format %d, this program keeps %d",
			engine.identity.Format,
			Format,
		)
	}
	if engine.identity.ID != engine.params.ID || engine.identity.Role != engine.params.Role {
		return false, code.New(
			code.ForeignFolder,
			"data folder belongs to %s %q, not to %s %q",
			engine.identity.Role,
			engine.identity.ID,
			engine.params.Role,
			engine.params.ID,
		)
	}
	return true, nil
}

// replaceIdentity sets the old data aside and writes a new identity. adopt notes that the
// blobs among the data are to be taken over.
func (engine *Engine) replaceIdentity(why string, adopt bool) error {
	aside, err := engine.retireDatabase()
	if err != nil {
		return err
	}
	engine.NewIdentity, engine.createDatabase = true, true
	made := identityFile{Format: Format, ID: engine.params.ID, Role: engine.params.Role, Ident: newIdentity()}
	// What the identity before had not taken over yet is still to be.
	made.PendingImports = slices.Clone(engine.identity.PendingImports)
	if adopt && aside != "" && !slices.Contains(made.PendingImports, aside) {
		made.PendingImports = append(made.PendingImports, aside)
	}
	engine.params.Log("new identity", "why", why, "ident", made.Ident)
	return engine.writeIdentity(made)
}

// writeIdentity puts another identity file in place, and syncs it.
func (engine *Engine) writeIdentity(identity identityFile) error {
	b, _ := json.Marshal(identity)
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
	engine.identity = identity
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

// Ident is the identity that this folder stands for.
func (engine *Engine) Ident() string {
	engine.instanceMutex.RLock()
	defer engine.instanceMutex.RUnlock()
	return engine.identity.Ident
}

// ReplaceIdentity sets the data aside and goes on with an empty database, under a new
// identity. Data set aside earlier are removed: no process will ask for them.
func (engine *Engine) ReplaceIdentity(why string) error { return engine.switchIdentity(why, false) }

// ReplaceIdentityKeepingBlobs does the same, and notes that the blobs among the data are to be taken over
// (ImportRetiredBlobs).
func (engine *Engine) ReplaceIdentityKeepingBlobs(why string) error {
	return engine.switchIdentity(why, true)
}

func (engine *Engine) switchIdentity(why string, adopt bool) error {
	engine.openSemaphore <- struct{}{}
	defer func() { <-engine.openSemaphore }()
	if err := engine.detach(); err != nil {
		engine.params.Log("data not closed", "err", err)
	}
	engine.files = newFolderDevice(engine.base)
	err := engine.removeRetired()
	if err == nil {
		err = engine.replaceIdentity(why, adopt)
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
