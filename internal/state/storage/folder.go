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

// identityFile is the content of the folder's identity file.
type identityFile struct {
	Format int    `json:"format"`
	ID     string `json:"id"`
	Role   string `json:"role"`
	Ident  string `json:"ident"`
	// PendingImports names retired databases whose blobs are still to be imported.
	PendingImports []string `json:"adopt,omitempty"`
}

// openFolder reads or creates the identity, and opens the database.
func (engine *Engine) openFolder() error {
	if err := engine.files.MkdirAll(engine.params.Dir, 0o755); err != nil {
		return code.New(code.DiskFailure, "data folder: %w", err)
	}
	exists, err := engine.readIdentity()
	if err != nil {
		return err
	}
	if !exists {
		// The identity is written after this, so a folder that has one has been synced in all parents.
		if err := engine.syncParents(); err != nil {
			return code.New(code.DiskFailure, "data folder: %w", err)
		}
		if err := engine.replaceIdentity("the folder holds no identity", false); err != nil {
			return err
		}
	}
	dev := newDevice(engine.base)
	err = engine.openDB(dev)
	if diskErr := errors.Join(dev.failure(), dev.readFailure()); err != nil && diskErr != nil {
		// A disk failure says nothing about the integrity of the data.
		engine.files.fence(diskErr)
		if dev.failure() == nil {
			_ = engine.files.recordReadError(dev.readFailure())
		}
		dev.release(true)
	}
	if err != nil && engine.files.failure() == nil {
		// A folder in use by another process is no reason to create a new identity.
		if errors.Is(err, pebble.ErrDBAlreadyExists) || engine.NewIdentity || errors.Is(err, errFolderLocked) {
			return code.New(code.DiskFailure, "data folder: %w", err)
		}
		// A voter that has lost its promises violates agreement. The unreadable data is
		// therefore retired, and the machine continues with a new identity.
		engine.params.Log("data can't be read, creating a new identity", "err", err)
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

// openWithNewIdentity retires the data without reading it, and opens an empty database with a
// new identity.
func (engine *Engine) openWithNewIdentity() error {
	if err := engine.replaceIdentity("reads from the disk keep failing", false); err != nil {
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

// replaceIdentity retires the database and writes a new identity. importBlobs records that the
// blobs of the retired database are to be imported.
func (engine *Engine) replaceIdentity(reason string, importBlobs bool) error {
	retired, err := engine.retireDatabase()
	if err != nil {
		return err
	}
	engine.NewIdentity, engine.createDatabase = true, true
	created := identityFile{Format: Format, ID: engine.params.ID, Role: engine.params.Role, Ident: newIdentity()}
	// Imports that the previous identity had not completed are still pending.
	created.PendingImports = slices.Clone(engine.identity.PendingImports)
	if importBlobs && retired != "" && !slices.Contains(created.PendingImports, retired) {
		created.PendingImports = append(created.PendingImports, retired)
	}
	engine.params.Log("creating a new identity", "why", reason, "ident", created.Ident)
	return engine.writeIdentity(created)
}

// writeIdentity replaces the identity file atomically and syncs it.
func (engine *Engine) writeIdentity(identity identityFile) error {
	b, _ := json.Marshal(identity)
	f, err := engine.files.Create(engine.path("IDENT.new"), vfs.WriteCategoryUnspecified)
	if err != nil {
		return code.New(code.DiskFailure, "IDENT: %w", err)
	}
	if _, err = f.Write(b); err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
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

// syncParents syncs the directory entries that lead to the folder, since the folder is lost with
// them. Entries above the mount point of its file system are on another one, which may belong to a
// disk that stands still.
func (engine *Engine) syncParents() error {
	for dir := engine.params.Dir; dir != engine.files.PathDir(dir); dir = engine.files.PathDir(dir) {
		parent := engine.files.PathDir(dir)
		inside, err := engine.files.Stat(dir)
		if err != nil {
			return err
		}
		outside, err := engine.files.Stat(parent)
		if err != nil {
			return err
		}
		if inside.DeviceID() != outside.DeviceID() {
			return nil
		}
		if err := engine.syncDir(parent); err != nil {
			return err
		}
	}
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

// Ident returns the identity of the folder.
func (engine *Engine) Ident() string {
	engine.instanceMutex.RLock()
	defer engine.instanceMutex.RUnlock()
	return engine.identity.Ident
}

// ReplaceIdentity retires the database and continues with an empty one under a new identity.
// Databases retired earlier are removed, since no process asks for them any more.
func (engine *Engine) ReplaceIdentity(reason string) error {
	return engine.switchIdentity(reason, false)
}

// ReplaceIdentityKeepingBlobs does the same as ReplaceIdentity, and records that the blobs of
// the retired database are to be imported (ImportRetiredBlobs).
func (engine *Engine) ReplaceIdentityKeepingBlobs(reason string) error {
	return engine.switchIdentity(reason, true)
}

// switchIdentity closes the database, replaces the identity and opens an empty database.
func (engine *Engine) switchIdentity(reason string, importBlobs bool) error {
	engine.openSemaphore <- struct{}{}
	defer func() { <-engine.openSemaphore }()
	if err := engine.detach(); err != nil {
		engine.params.Log("failed to close the database", "err", err)
	}
	engine.files = newFolderDevice(engine.base)
	err := engine.removeRetired()
	if err == nil {
		err = engine.replaceIdentity(reason, importBlobs)
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
