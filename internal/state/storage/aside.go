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

// Data of an identity that was replaced are set aside in the folder. Where the folder was put
// back from a copy they are taken over as well: not the registers, whose votes and promises
// count for nothing any more, but the blobs, which are immutable, so that any replica of one
// is as good as another. What no other store has any more is then not lost with the identity.

// setAsidePrefix begins the names of data set aside.
const setAsidePrefix = "db.aside-"

// adoptPageBytes is about how many bytes of blobs are taken over with one sync.
const adoptPageBytes = 256 << 10

// setDataAside moves the database out of the way. It returns its new name. Where there is
// none, power went after it was moved and before the new identity was written; then it is
// the name of what was moved last, or empty.
func (engine *Engine) setDataAside() (string, error) {
	_, missing := engine.files.Stat(engine.path("db"))
	last := ""
	for n := 1; ; n++ {
		name := fmt.Sprintf(setAsidePrefix+"%d", n)
		if _, err := engine.files.Stat(engine.path(name)); err == nil {
			last = name
			continue
		}
		if missing != nil {
			return last, nil
		}
		if err := engine.files.Rename(engine.path("db"), engine.path(name)); err != nil {
			return "", code.New(code.DiskFailure, "put aside: %w", err)
		}
		return name, nil
	}
}

// removeSetAside removes all data set aside, but for those that are to be taken over.
func (engine *Engine) removeSetAside() error {
	names, err := engine.files.List(engine.params.Dir)
	for _, name := range names {
		if err == nil && strings.HasPrefix(name, setAsidePrefix) && !slices.Contains(engine.identity.Adopt, name) {
			err = engine.files.RemoveAll(engine.path(name))
		}
	}
	return err
}

// ImportRetiredBlobs takes over the blobs of data that ReplaceIdentityKeepingBlobs kept, and then forgets that
// there are any. It returns how many it took. Until ctx ends it may take long.
func (engine *Engine) ImportRetiredBlobs(ctx context.Context) (blobs int, err error) {
	engine.instanceMutex.RLock()
	names := engine.identity.Adopt
	engine.instanceMutex.RUnlock()
	for _, name := range names {
		n, err := engine.adoptBlobs(ctx, name)
		blobs += n
		if err == nil {
			err = engine.noteAdopted(name)
		}
		if err != nil {
			return blobs, code.New(code.DiskFailure, "take over %s: %w", name, err)
		}
	}
	return blobs, nil
}

// noteAdopted notes that data set aside need not be taken over any more.
func (engine *Engine) noteAdopted(name string) error {
	engine.opening <- struct{}{}
	defer func() { <-engine.opening }()
	noted := engine.identity
	noted.Adopt = slices.DeleteFunc(slices.Clone(noted.Adopt), func(n string) bool { return n == name })
	return engine.writeIdentity(noted)
}

// adoptBlobs copies the blobs of a database set aside.
func (engine *Engine) adoptBlobs(ctx context.Context, name string) (taken int, err error) {
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
	low, high := prefixBounds(blobPrefix)
	it, err := db.NewIter(&pebble.IterOptions{LowerBound: low, UpperBound: high})
	if err != nil {
		return 0, err
	}
	defer func() { err = errors.Join(err, it.Close()) }()
	var page []*wire.Copy
	size := 0
	flush := func() error {
		n, err := engine.PutBlobs(page)
		taken += n
		page, size = nil, 0
		return err
	}
	for ok := it.First(); ok; ok = it.Next() {
		if ctx.Err() != nil || engine.isClosed() {
			return taken, errors.Join(ctx.Err(), errClosed)
		}
		key := string(it.Key())[len(blobPrefix):]
		blob, err := makeCopy(wire.List_BLOBS, key, it.Value(), uptime, true)
		if err != nil {
			return taken, err
		}
		page = append(page, blob)
		if size += len(it.Value()); size < adoptPageBytes {
			continue
		}
		if err := flush(); err != nil {
			return taken, err
		}
	}
	return taken, flush()
}

var errClosed = errors.New("the folder was closed meanwhile")

// readUptime is the uptime, in milliseconds, that a database has recorded.
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

// prefixBounds are the lower and upper bound of the keys with a prefix.
func prefixBounds(prefix string) (low, high []byte) {
	last := len(prefix) - 1
	return []byte(prefix), append([]byte(prefix[:last]), prefix[last]+1)
}
