package storage

import (
	"time"

	"google.golang.org/protobuf/proto"

	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// Many keys at once, for a store that brings copies to another.

// Want tells of a key whether its copy is wanted, and whether whole or only by name.
type Want func(key string) (wanted, whole bool)

// Copies gives copies of a kind after a key, in order, until about so many bytes are
// gathered. The last key looked at is told where there are more.
func (v *Engine) Copies(kind wire.List_Kind, after string, bytes int, want Want) (out []*wire.Copy, last string, err error) {
	pre := regPre
	if kind == wire.List_BLOBS {
		pre = blobPre
	}
	now := v.Lived().Milliseconds()
	size := 0
	err = v.from(pre, after, func(k string, raw []byte) (bool, error) {
		k = k[len(pre):]
		wanted, whole := want(k)
		if !wanted {
			return true, nil
		}
		c, err := copyOf(kind, k, raw, now, whole)
		if err != nil || c == nil {
			return true, err
		}
		out = append(out, c)
		if size += len(k) + 16; whole {
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
func (v *Engine) Copy(kind wire.List_Kind, key string) (*wire.Copy, error) {
	pre := regPre
	if kind == wire.List_BLOBS {
		pre = blobPre
	}
	raw, err := v.get(pre + key)
	if err != nil || raw == nil {
		return nil, err
	}
	return copyOf(kind, key, raw, v.Lived().Milliseconds(), true)
}

func copyOf(kind wire.List_Kind, key string, raw []byte, now int64, whole bool) (*wire.Copy, error) {
	c := &wire.Copy{Key: key}
	if kind == wire.List_BLOBS {
		g := &wire.Got{}
		if err := proto.Unmarshal(raw, g); err != nil {
			return nil, code.New(code.DiskFailure, "blob %s: %w", key, err)
		}
		// That one is past goes along: who asks for it is told so.
		if g.AgeMs = now - g.AgeMs; g.State == wire.Got_HERE && g.AgeMs > g.KeepMs {
			g.State, g.Val = wire.Got_PAST, nil
		}
		if whole {
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
	if whole {
		c.Rec = r
	}
	return c, nil
}

// SaveAll keeps many records with one sync.
func (v *Engine) SaveAll(recs map[string]*wire.Rec) error {
	if v.Full() {
		return code.New(code.DiskFull, "%d bytes are left", v.room.free.Load())
	}
	at := v.Lived().Milliseconds()
	edits := make([]edit, 0, len(recs))
	for k, r := range recs {
		r.AtMs = at
		edits = append(edits, edit{key: regPre + k, val: wire.Encode(r)})
	}
	return v.record(bulkWait, edits...)
}

// PutBlobs keeps many blobs, as another engine has them, with one sync. One that is
// here already stays, if for no less time. It tells how many it took.
func (v *Engine) PutBlobs(all []*wire.Copy) (n int, err error) {
	if v.Full() {
		return 0, code.New(code.DiskFull, "%d bytes are left", v.room.free.Load())
	}
	now := v.Lived().Milliseconds()
	take := map[string]*wire.Got{}
	for _, c := range all {
		g := c.Got
		if g == nil {
			continue
		}
		old, err := v.blob(c.Key)
		if err != nil {
			return 0, err
		}
		// Both are counted by this engine's clock from here on. The end of one may lie
		// before this engine began: its age is then more than what was lived.
		at := now - g.AgeMs
		if old != nil && (g.State != wire.Got_HERE || old.State == wire.Got_HERE && old.AgeMs+old.KeepMs >= at+g.KeepMs) {
			continue
		}
		take[c.Key] = &wire.Got{State: g.State, Val: g.Val, KeepMs: g.KeepMs, AgeMs: at}
	}
	if len(take) == 0 {
		return 0, nil
	}
	edits := make([]edit, 0, len(take))
	for k, g := range take {
		edits = append(edits, edit{key: blobPre + k, val: wire.Encode(g)})
	}
	_, err = v.write(bulkWait, edits...)
	return len(take), err
}

// Held tells how long a blob still has here; none, if it is not here.
func (v *Engine) Held(key string) (bool, time.Duration, error) {
	g, err := v.GetBlob(key)
	if err != nil || g.State == wire.Got_NONE {
		return false, 0, err
	}
	return true, time.Duration(g.KeepMs-g.AgeMs) * time.Millisecond, nil
}
