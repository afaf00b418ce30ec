package storage

import (
	"time"

	"google.golang.org/protobuf/proto"

	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// Many keys at once, for a store that brings copies to another.

// SelectFunc tells of a key whether its copy is wanted, and whether complete or only by name.
type SelectFunc func(key string) (wanted, withValue bool)

// Copies gives copies of a kind after a key, in order, until about so many bytes are
// gathered. The last key examined is given where there are more.
func (engine *Engine) Copies(
	kind wire.List_Kind,
	after string,
	bytes int,
	want SelectFunc,
) (out []*wire.Copy, last string, err error) {
	pre := registerPrefix
	if kind == wire.List_BLOBS {
		pre = blobPrefix
	}
	now := engine.Uptime().Milliseconds()
	size := 0
	err = engine.scan(pre, after, func(k string, raw []byte) (bool, error) {
		k = k[len(pre):]
		wanted, withValue := want(k)
		if !wanted {
			return true, nil
		}
		c, err := makeCopy(kind, k, raw, now, withValue)
		if err != nil || c == nil {
			return true, err
		}
		out = append(out, c)
		if size += len(k) + 16; withValue {
			size += len(raw)
		}
		if size >= bytes {
			last = k
		}
		return last == "", nil
	})
	return out, last, err
}

// Copy gives one key's copy; nil where there is none.
func (engine *Engine) Copy(kind wire.List_Kind, key string) (*wire.Copy, error) {
	pre := registerPrefix
	if kind == wire.List_BLOBS {
		pre = blobPrefix
	}
	raw, err := engine.get(pre + key)
	if err != nil || raw == nil {
		return nil, err
	}
	return makeCopy(kind, key, raw, engine.Uptime().Milliseconds(), true)
}

func makeCopy(kind wire.List_Kind, key string, raw []byte, now int64, withValue bool) (*wire.Copy, error) {
	c := &wire.Copy{Key: key}
	if kind == wire.List_BLOBS {
		g := &wire.Got{}
		if err := proto.Unmarshal(raw, g); err != nil {
			return nil, code.New(code.DiskFailure, "blob %s: %w", key, err)
		}
		// That one is past is passed along: who asks for it gets that answer.
		if g.AgeMs = now - g.AgeMs; g.State == wire.Got_HERE && g.AgeMs > g.KeepMs {
			g.State, g.Val = wire.Got_PAST, nil
		}
		if withValue {
			c.Got = g
		}
		return c, nil
	}
	r := &wire.Rec{}
	if err := proto.Unmarshal(raw, r); err != nil {
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

// SaveAll keeps many records with one sync.
func (engine *Engine) SaveAll(recs map[string]*wire.Rec) error {
	if engine.NearlyFull() {
		return code.New(code.DiskFull, "%d bytes are left", engine.space.free.Load())
	}
	at := engine.Uptime().Milliseconds()
	edits := make([]edit, 0, len(recs))
	for k, r := range recs {
		r.AtMs = at
		edits = append(edits, edit{key: registerPrefix + k, value: wire.MustEncode(r)})
	}
	return engine.writeRecords(bulkTimeout, edits...)
}

// PutBlobs keeps many blobs, as another engine has them, with one sync. One that is
// here already stays, if for no less time. It returns how many it took.
func (engine *Engine) PutBlobs(all []*wire.Copy) (n int, err error) {
	if engine.NearlyFull() {
		return 0, code.New(code.DiskFull, "%d bytes are left", engine.space.free.Load())
	}
	now := engine.Uptime().Milliseconds()
	take := map[string]*wire.Got{}
	for _, c := range all {
		g := c.Got
		if g == nil {
			continue
		}
		old, err := engine.blob(c.Key)
		if err != nil {
			return 0, err
		}
		// Both are counted by this engine's clock from here on. The end of one may lie
		// before this engine began: its age is then more than the uptime.
		at := now - g.AgeMs
		if old != nil &&
			(g.State != wire.Got_HERE || old.State == wire.Got_HERE && old.AgeMs+old.KeepMs >= at+g.KeepMs) {
			continue
		}
		take[c.Key] = &wire.Got{State: g.State, Val: g.Val, KeepMs: g.KeepMs, AgeMs: at}
	}
	if len(take) == 0 {
		return 0, nil
	}
	edits := make([]edit, 0, len(take))
	for k, g := range take {
		edits = append(edits, edit{key: blobPrefix + k, value: wire.MustEncode(g)})
	}
	_, err = engine.write(bulkTimeout, edits...)
	return len(take), err
}

// BlobRetentionLeft tells how long a blob still has here; none, if it is not here.
func (engine *Engine) BlobRetentionLeft(key string) (bool, time.Duration, error) {
	g, err := engine.GetBlob(key)
	if err != nil || g.State == wire.Got_NONE {
		return false, 0, err
	}
	return true, time.Duration(g.KeepMs-g.AgeMs) * time.Millisecond, nil
}
