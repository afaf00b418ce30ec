package storage

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/pebble/v2"

	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// When an identity is replaced, its database is retired: it is renamed and stays in the folder.
// If the folder was restored from a backup, the blobs of the retired database are imported into
// the new one, so that blobs that no other store has are not lost with the identity. Blobs are
// immutable, so any replica of a blob is valid. Registers are not imported, since the votes and
// promises of the old identity are void.

// retiredPrefix is the name prefix of retired databases.
const retiredPrefix = "db.aside-"

// importBatchBytes is the approximate size of the blobs imported with one sync.
const importBatchBytes = 256 << 10

// retireDatabase renames the database and returns its new name. If there is no database, a
// power loss may have occurred between an earlier rename and the write of the new identity:
// then it returns the name of the database retired last, or an empty string.
func (engine *Engine) retireDatabase() (string, error) {
	_, missing := engine.files.Stat(engine.path("db"))
	latest := ""
	for n := 1; ; n++ {
		name := fmt.Sprintf(retiredPrefix+"%d", n)
		if _, err := engine.files.Stat(engine.path(name)); err == nil {
			latest = name
			continue
		}
		if missing != nil {
			return latest, nil
		}
		if err := engine.files.Rename(engine.path("db"), engine.path(name)); err != nil {
			return "", code.New(code.DiskFailure, "put aside: %w", err)
		}
		return name, nil
	}
}

// removeRetired removes all retired databases except those still to be imported.
func (engine *Engine) removeRetired() error {
	names, err := engine.files.List(engine.params.Dir)
	for _, name := range names {
		if err == nil && strings.HasPrefix(name, retiredPrefix) &&
			!slices.Contains(engine.identity.PendingImports, name) {
			err = engine.files.RemoveAll(engine.path(name))
		}
	}
	return err
}

// ImportRetiredBlobs copies the blobs of the databases that ReplaceIdentityKeepingBlobs
// retired into the current database, and marks each of them as imported. It returns the
// number of blobs imported. It can run for a long time; canceling ctx stops it.
func (engine *Engine) ImportRetiredBlobs(ctx context.Context) (blobs int, err error) {
	engine.instanceMutex.RLock()
	names := engine.identity.PendingImports
	engine.instanceMutex.RUnlock()
	for _, name := range names {
		n, err := engine.importBlobs(ctx, name)
		blobs += n
		if err == nil {
			err = engine.markImported(name)
		}
		if err != nil {
			return blobs, code.New(code.DiskFailure, "take over %s: %w", name, err)
		}
	}
	return blobs, nil
}

// markImported removes a retired database from the list of pending imports.
func (engine *Engine) markImported(name string) error {
	engine.openSemaphore <- struct{}{}
	defer func() { <-engine.openSemaphore }()
	updated := engine.identity
	updated.PendingImports = slices.DeleteFunc(
		slices.Clone(updated.PendingImports),
		func(n string) bool { return n == name },
	)
	return engine.writeIdentity(updated)
}

// importBlobs copies the blobs of a retired database into the current one.
func (engine *Engine) importBlobs(ctx context.Context, name string) (imported int, err error) {
	dev := newDevice(engine.base)
	options := engine.options(dev)
	options.ReadOnly = true
	db, err := pebble.Open(engine.path(name), options)
	if err != nil {
		return 0, err
	}
	defer func() { err = errors.Join(err, db.Close()) }()
	uptime, err := readUptime(db)
	if err != nil {
		return 0, err
	}
	lower, upper := prefixBounds(blobPrefix)
	it, err := db.NewIter(&pebble.IterOptions{LowerBound: lower, UpperBound: upper})
	if err != nil {
		return 0, err
	}
	defer func() { err = errors.Join(err, it.Close()) }()
	var batch []*wire.Copy
	size := 0
	flush := func() error {
		n, err := engine.PutBlobs(batch)
		imported += n
		batch, size = nil, 0
		return err
	}
	for ok := it.First(); ok; ok = it.Next() {
		if ctx.Err() != nil || engine.isClosed() {
			return imported, errors.Join(ctx.Err(), errClosed)
		}
		key := string(it.Key())[len(blobPrefix):]
		blob, err := makeCopy(wire.List_BLOBS, key, it.Value(), uptime, true)
		if err != nil {
			return imported, err
		}
		batch = append(batch, blob)
		if size += len(it.Value()); size < importBatchBytes {
			continue
		}
		if err := flush(); err != nil {
			return imported, err
		}
	}
	return imported, flush()
}

var errClosed = errors.New("the folder was closed during the import")

// readUptime returns the uptime recorded in a database, in milliseconds.
func readUptime(db pebble.Reader) (int64, error) {
	b, closer, err := db.Get([]byte(uptimeKey))
	if errors.Is(err, pebble.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	defer closer.Close()
	if len(b) != 8 {
		return 0, errors.New("the uptime can't be read")
	}
	return int64(binary.BigEndian.Uint64(b) / 1e6), nil
}

// prefixBounds returns the inclusive lower and the exclusive upper bound of the keys with
// a prefix.
func prefixBounds(prefix string) (lower, upper []byte) {
	last := len(prefix) - 1
	return []byte(prefix), append([]byte(prefix[:last]), prefix[last]+1)
}
