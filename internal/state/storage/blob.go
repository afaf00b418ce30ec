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

// Lived is how long the folder has been open in all.
func (v *Engine) Lived() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.base + time.Since(v.start)
}

// Tick keeps the lived time. What a crash loses of it only keeps turns longer.
func (v *Engine) Tick() error {
	return v.put(livedKey, binary.BigEndian.AppendUint64(nil, uint64(v.Lived())))
}

// PutBlob keeps val for at least keep. Put again, the longer time holds.
func (v *Engine) PutBlob(key string, val []byte, keep time.Duration) error {
	old, err := v.blob(key)
	if err != nil {
		return err
	}
	if err := v.admit(blobPre + key); err != nil {
		return err
	}
	now := v.Lived().Milliseconds()
	g := &wire.Got{State: wire.Got_HERE, Val: val, KeepMs: keep.Milliseconds(), AgeMs: now}
	if old != nil && old.State == wire.Got_HERE && old.AgeMs+old.KeepMs >= now+g.KeepMs {
		return nil
	}
	return v.put(blobPre+key, wire.Encode(g))
}

// GetBlob reads a blob; one past its keeping time is said to be past even
// before it is swept.
func (v *Engine) GetBlob(key string) (*wire.Got, error) {
	g, err := v.blob(key)
	if err != nil {
		return nil, err
	}
	if g == nil {
		return &wire.Got{}, nil
	}
	g.AgeMs = v.Lived().Milliseconds() - g.AgeMs
	if g.State == wire.Got_HERE && g.AgeMs > g.KeepMs {
		g.State, g.Val = wire.Got_PAST, nil
	}
	return g, nil
}

func (v *Engine) blob(key string) (*wire.Got, error) {
	b, err := v.get(blobPre + key)
	if err != nil || b == nil {
		return nil, err
	}
	g := &wire.Got{}
	if err := proto.Unmarshal(b, g); err != nil {
		return nil, code.New(code.DiskFailure, "blob %s: %w", key, err)
	}
	return g, nil
}

// Sweep empties blobs past their keeping time and, much later, forgets them.
func (v *Engine) Sweep() (emptied, forgotten int, err error) {
	now := v.Lived().Milliseconds()
	var edits []edit
	err = v.each(blobPre, func(k string, raw []byte) error {
		g := &wire.Got{}
		if err := proto.Unmarshal(raw, g); err != nil {
			return code.New(code.DiskFailure, "blob %s: %w", k, err)
		}
		over := now - g.AgeMs - g.KeepMs
		switch {
		case over > v.p.Grave.Milliseconds():
			forgotten++
			edits = append(edits, edit{key: k, deleted: true})
		case over > 0 && g.State == wire.Got_HERE:
			emptied++
			g.State, g.Val = wire.Got_PAST, nil
			edits = append(edits, edit{key: k, val: wire.Encode(g)})
		}
		return nil
	})
	if err == nil && len(edits) > 0 {
		_, err = v.write(bulkWait, edits...)
	}
	return emptied, forgotten, err
}
