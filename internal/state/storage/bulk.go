package storage

import (
	"time"

	"google.golang.org/protobuf/proto"

	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// Bulk operations on many keys, used to copy data from one store to another.

// SelectFunc reports whether a key is wanted, and whether its value is to be included.
type SelectFunc func(key string) (wanted, withValue bool)

// Copies returns copies of the selected keys that follow after, in key order, until they amount
// to the given number of bytes. In that case last is the key to continue after, otherwise it is
// empty.
func (engine *Engine) Copies(
	kind wire.List_Kind,
	after string,
	bytes int,
	selectKey SelectFunc,
) (out []*wire.Copy, last string, err error) {
	prefix := registerPrefix
	if kind == wire.List_BLOBS {
		prefix = blobPrefix
	}
	now := engine.Uptime().Milliseconds()
	size := 0
	err = engine.scan(prefix, after, func(key string, encoded []byte) (bool, error) {
		key = key[len(prefix):]
		wanted, withValue := selectKey(key)
		if !wanted {
			return true, nil
		}
		c, err := makeCopy(kind, key, encoded, now, withValue)
		if err != nil || c == nil {
			return true, err
		}
		out = append(out, c)
		if size += len(key) + 16; withValue {
			size += len(encoded)
		}
		if size >= bytes {
			last = key
		}
		return last == "", nil
	})
	return out, last, err
}

// Copy returns a copy of one key, or nil if there is nothing to copy.
func (engine *Engine) Copy(kind wire.List_Kind, key string) (*wire.Copy, error) {
	prefix := registerPrefix
	if kind == wire.List_BLOBS {
		prefix = blobPrefix
	}
	encoded, err := engine.get(prefix + key)
	if err != nil || encoded == nil {
		return nil, err
	}
	return makeCopy(kind, key, encoded, engine.Uptime().Milliseconds(), true)
}

func makeCopy(kind wire.List_Kind, key string, encoded []byte, uptime int64, withValue bool) (*wire.Copy, error) {
	c := &wire.Copy{Key: key}
	if kind == wire.List_BLOBS {
		blob := &wire.Got{}
		if err := proto.Unmarshal(encoded, blob); err != nil {
			return nil, code.New(code.DiskFailure, "blob %s: %w", key, err)
		}
		// An expired blob is copied as expired, so that a reader of it gets that answer.
		if blob.AgeMs = uptime - blob.AgeMs; blob.State == wire.Got_HERE && blob.AgeMs > blob.KeepMs {
			blob.State, blob.Val = wire.Got_PAST, nil
		}
		if withValue {
			c.Got = blob
		}
		return c, nil
	}
	r := &wire.Rec{}
	if err := proto.Unmarshal(encoded, r); err != nil {
		return nil, code.New(code.DiskFailure, "record %s: %w", key, err)
	}
	if r.Accepted == nil {
		return nil, nil
	}
	c.Ballot = r.Accepted
	if withValue {
		c.Rec = r
	}
	return c, nil
}

// SaveAll stores many records with one sync.
func (engine *Engine) SaveAll(recs map[string]*wire.Rec) error {
	if engine.NearlyFull() {
		return code.New(code.DiskFull, "%d bytes are left", engine.space.free.Load())
	}
	uptime := engine.Uptime().Milliseconds()
	edits := make([]edit, 0, len(recs))
	for k, r := range recs {
		r.AtMs = uptime
		edits = append(edits, edit{key: registerPrefix + k, value: wire.MustEncode(r)})
	}
	return engine.writeRecords(bulkWriteTimeout, edits...)
}

// PutBlobs stores blobs copied from another engine with one sync. A blob that is stored here
// already with the same or a longer retention is kept. It returns the number of blobs stored.
func (engine *Engine) PutBlobs(all []*wire.Copy) (n int, err error) {
	if engine.NearlyFull() {
		return 0, code.New(code.DiskFull, "%d bytes are left", engine.space.free.Load())
	}
	now := engine.Uptime().Milliseconds()
	accepted := map[string]*wire.Got{}
	for _, c := range all {
		blob := c.Got
		if blob == nil {
			continue
		}
		existing, err := engine.blob(c.Key)
		if err != nil {
			return 0, err
		}
		// Convert the age to this engine's uptime. The blob may be older than this engine:
		// storedAt is negative then.
		storedAt := now - blob.AgeMs
		if existing != nil &&
			(blob.State != wire.Got_HERE ||
				existing.State == wire.Got_HERE && existing.AgeMs+existing.KeepMs >= storedAt+blob.KeepMs) {
			continue
		}
		accepted[c.Key] = &wire.Got{State: blob.State, Val: blob.Val, KeepMs: blob.KeepMs, AgeMs: storedAt}
	}
	if len(accepted) == 0 {
		return 0, nil
	}
	edits := make([]edit, 0, len(accepted))
	for k, blob := range accepted {
		edits = append(edits, edit{key: blobPrefix + k, value: wire.MustEncode(blob)})
	}
	_, err = engine.write(bulkWriteTimeout, edits...)
	return len(accepted), err
}

// BlobRetentionLeft reports whether a blob is stored here, and how much of its retention is
// left.
func (engine *Engine) BlobRetentionLeft(key string) (bool, time.Duration, error) {
	blob, err := engine.GetBlob(key)
	if err != nil || blob.State == wire.Got_NONE {
		return false, 0, err
	}
	return true, time.Duration(blob.KeepMs-blob.AgeMs) * time.Millisecond, nil
}
