package storage

import (
	"encoding/binary"
	"time"

	"google.golang.org/protobuf/proto"

	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// Blobs are immutable values with a keeping time. Time is the time this folder
// has been open, so that neither a clock that jumps nor a night switched off
// ever shortens a promise.

// Uptime is how long the folder has been open in all.
func (engine *Engine) Uptime() time.Duration {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.uptimeBefore + time.Since(engine.start)
}

// SaveUptime saves the uptime. What a crash loses of it only retains blobs longer.
func (engine *Engine) SaveUptime() error {
	return engine.put(uptimeKey, binary.BigEndian.AppendUint64(nil, uint64(engine.Uptime())))
}

// PutBlob stores val for at least keep. Of two calls for one key the longer retention
// holds.
func (engine *Engine) PutBlob(key string, val []byte, keep time.Duration) error {
	old, err := engine.blob(key)
	if err != nil {
		return err
	}
	if err := engine.admitNewKey(blobPrefix + key); err != nil {
		return err
	}
	now := engine.Uptime().Milliseconds()
	g := &wire.Got{State: wire.Got_HERE, Val: val, KeepMs: keep.Milliseconds(), AgeMs: now}
	if old != nil && old.State == wire.Got_HERE && old.AgeMs+old.KeepMs >= now+g.KeepMs {
		return nil
	}
	return engine.put(blobPrefix+key, wire.MustEncode(g))
}

// GetBlob reads a blob. One past its retention is reported as such even before it is
// removed.
func (engine *Engine) GetBlob(key string) (*wire.Got, error) {
	g, err := engine.blob(key)
	if err != nil {
		return nil, err
	}
	if g == nil {
		return &wire.Got{}, nil
	}
	g.AgeMs = engine.Uptime().Milliseconds() - g.AgeMs
	if g.State == wire.Got_HERE && g.AgeMs > g.KeepMs {
		g.State, g.Val = wire.Got_PAST, nil
	}
	return g, nil
}

func (engine *Engine) blob(key string) (*wire.Got, error) {
	b, err := engine.get(blobPrefix + key)
	if err != nil || b == nil {
		return nil, err
	}
	g := &wire.Got{}
	if err := proto.Unmarshal(b, g); err != nil {
		return nil, code.New(code.DiskFailure, "blob %s: %w", key, err)
	}
	return g, nil
}

// ExpireBlobs empties blobs past their retention and, after the retention of tombstones,
// removes them.
func (engine *Engine) ExpireBlobs() (emptied, forgotten int, err error) {
	now := engine.Uptime().Milliseconds()
	var edits []edit
	err = engine.scanAll(blobPrefix, func(k string, raw []byte) error {
		g := &wire.Got{}
		if err := proto.Unmarshal(raw, g); err != nil {
			return code.New(code.DiskFailure, "blob %s: %w", k, err)
		}
		over := now - g.AgeMs - g.KeepMs
		switch {
		case over > engine.params.TombstoneRetention.Milliseconds():
			forgotten++
			edits = append(edits, edit{key: k, deleted: true})
		case over > 0 && g.State == wire.Got_HERE:
			emptied++
			g.State, g.Val = wire.Got_PAST, nil
			edits = append(edits, edit{key: k, value: wire.MustEncode(g)})
		}
		return nil
	})
	if err == nil && len(edits) > 0 {
		_, err = engine.write(bulkTimeout, edits...)
	}
	return emptied, forgotten, err
}
