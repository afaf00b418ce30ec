package storage

import (
	"encoding/binary"
	"time"

	"google.golang.org/protobuf/proto"

	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// Blobs are immutable values with a retention time. Retention is measured in uptime, the
// total time that this folder has been open, so that neither clock jumps nor downtime
// shorten it.

// Uptime returns the total time that the folder has been open, across restarts.
func (engine *Engine) Uptime() time.Duration {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.uptimeBefore + time.Since(engine.start)
}

// SaveUptime persists the uptime. Uptime lost in a crash only makes blobs be retained longer.
func (engine *Engine) SaveUptime() error {
	return engine.put(uptimeKey, binary.BigEndian.AppendUint64(nil, uint64(engine.Uptime())))
}

// PutBlob stores a blob for at least the retention time. If the key exists already, the longer
// retention applies.
func (engine *Engine) PutBlob(key string, value []byte, retention time.Duration) error {
	existing, err := engine.blob(key)
	if err != nil {
		return err
	}
	if err := engine.admitNewKey(blobPrefix + key); err != nil {
		return err
	}
	uptime := engine.Uptime().Milliseconds()
	blob := &wire.Got{State: wire.Got_HERE, Val: value, KeepMs: retention.Milliseconds(), AgeMs: uptime}
	if existing != nil && existing.State == wire.Got_HERE && existing.AgeMs+existing.KeepMs >= uptime+blob.KeepMs {
		return nil
	}
	return engine.put(blobPrefix+key, wire.MustEncode(blob))
}

// GetBlob reads a blob. A blob past its retention is reported as expired even if it has not
// been removed yet.
func (engine *Engine) GetBlob(key string) (*wire.Got, error) {
	blob, err := engine.blob(key)
	if err != nil {
		return nil, err
	}
	if blob == nil {
		return &wire.Got{}, nil
	}
	blob.AgeMs = engine.Uptime().Milliseconds() - blob.AgeMs
	if blob.State == wire.Got_HERE && blob.AgeMs > blob.KeepMs {
		blob.State, blob.Val = wire.Got_PAST, nil
	}
	return blob, nil
}

func (engine *Engine) blob(key string) (*wire.Got, error) {
	b, err := engine.get(blobPrefix + key)
	if err != nil || b == nil {
		return nil, err
	}
	blob := &wire.Got{}
	if err := proto.Unmarshal(b, blob); err != nil {
		return nil, code.New(code.DiskFailure, "blob %s: %w", key, err)
	}
	return blob, nil
}

// ExpireBlobs drops the values of blobs past their retention, and removes the remaining
// tombstones after the tombstone retention.
func (engine *Engine) ExpireBlobs() (emptied, removed int, err error) {
	uptime := engine.Uptime().Milliseconds()
	var edits []edit
	err = engine.scanAll(blobPrefix, func(storedKey string, encoded []byte) error {
		blob := &wire.Got{}
		if err := proto.Unmarshal(encoded, blob); err != nil {
			return code.New(code.DiskFailure, "blob %s: %w", storedKey, err)
		}
		overdue := uptime - blob.AgeMs - blob.KeepMs
		switch {
		case overdue > engine.params.TombstoneRetention.Milliseconds():
			removed++
			edits = append(edits, edit{key: storedKey, deleted: true})
		case overdue > 0 && blob.State == wire.Got_HERE:
			emptied++
			blob.State, blob.Val = wire.Got_PAST, nil
			edits = append(edits, edit{key: storedKey, value: wire.MustEncode(blob)})
		}
		return nil
	})
	if err == nil && len(edits) > 0 {
		_, err = engine.write(bulkWriteTimeout, edits...)
	}
	return emptied, removed, err
}
