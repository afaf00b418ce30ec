package storage

import (
	"time"

	"google.golang.org/protobuf/proto"

	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// writeRecords writes records of the acceptor. One whose last write is uncertain is
// refused with code.DiskStalled: what it would be made from may not be what is on the
// disk.
func (engine *Engine) writeRecords(limit time.Duration, edits ...edit) error {
	engine.mu.Lock()
	for _, e := range edits {
		if engine.uncertainWrites[e.key] != nil {
			engine.mu.Unlock()
			return code.New(code.DiskStalled, "the outcome of the last write of %s is not known yet", e.key)
		}
	}
	engine.mu.Unlock()
	w, err := engine.write(limit, edits...)
	if err != nil && w != nil {
		engine.mu.Lock()
		for _, e := range edits {
			engine.uncertainWrites[e.key] = w
		}
		engine.mu.Unlock()
	}
	return err
}

// clearResolved ends the uncertainty about a record that is about to be read, if the
// outcome of its last write is known: what is read then is what is on the disk.
func (engine *Engine) clearResolved(key string) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	w := engine.uncertainWrites[key]
	if w == nil {
		return
	}
	select {
	case <-w.resolved:
		delete(engine.uncertainWrites, key)
	default:
	}
}

// Load and Save are the acceptor's disk.
func (engine *Engine) Load(key string) (*wire.Rec, error) {
	r := &wire.Rec{}
	engine.clearResolved(registerPrefix + key)
	b, err := engine.get(registerPrefix + key)
	if err != nil || b == nil {
		return r, err
	}
	if err := proto.Unmarshal(b, r); err != nil {
		return nil, code.New(code.DiskFailure, "record %s: %w", key, err)
	}
	return r, nil
}

// Save returns once the record is synced.
func (engine *Engine) Save(key string, r *wire.Rec) error {
	if err := engine.admitNewKey(registerPrefix + key); err != nil {
		return err
	}
	r.AtMs = engine.Uptime().Milliseconds()
	return engine.writeRecords(writeTimeout, edit{key: registerPrefix + key, value: wire.MustEncode(r)})
}

// RegistersOlderThan lists up to limit registers last written longer ago than keep returns for
// their key; never those for which it returns 0. A record of a release that did not date
// its writes counts from now on.
func (engine *Engine) RegistersOlderThan(limit int, keep func(key string) time.Duration) ([]string, error) {
	var out, undated []string
	now := engine.Uptime()
	err := engine.scan(registerPrefix, "", func(k string, raw []byte) (bool, error) {
		k = k[len(registerPrefix):]
		d := keep(k)
		if d == 0 {
			return true, nil
		}
		r := &wire.Rec{}
		if err := proto.Unmarshal(raw, r); err != nil {
			return false, code.New(code.DiskFailure, "record %s: %w", k, err)
		}
		switch {
		case r.AtMs == 0:
			undated = append(undated, k)
		case now-time.Duration(r.AtMs)*time.Millisecond > d:
			out = append(out, k)
		}
		return len(out)+len(undated) < limit, nil
	})
	return append(out, undated...), err
}

// Age is how long ago a record was last written, in uptime of the folder.
func (engine *Engine) Age(r *wire.Rec) time.Duration {
	return engine.Uptime() - time.Duration(r.AtMs)*time.Millisecond
}

// TombstoneRetention is how long something past is remembered as past.
func (engine *Engine) TombstoneRetention() time.Duration { return engine.params.TombstoneRetention }

// DeleteRegister forgets a register altogether.
func (engine *Engine) DeleteRegister(key string) error {
	return engine.writeRecords(writeTimeout, edit{key: registerPrefix + key, deleted: true})
}

// Keys lists up to limit keys of a kind after a key, in order, with the ballots of
// registers. Of blobs only those within their retention count. want narrows the keys; nil
// means all.
func (engine *Engine) Keys(
	kind wire.List_Kind,
	after string,
	limit int,
	want func(key string) bool,
) ([]*wire.Row, error) {
	var out []*wire.Row
	pre := registerPrefix
	if kind == wire.List_BLOBS {
		pre = blobPrefix
	}
	now := engine.Uptime().Milliseconds()
	err := engine.scan(pre, after, func(k string, raw []byte) (bool, error) {
		k = k[len(pre):]
		if want != nil && !want(k) {
			return true, nil
		}
		row := &wire.Row{Key: k}
		if kind == wire.List_BLOBS {
			g := &wire.Got{}
			if err := proto.Unmarshal(raw, g); err != nil {
				return false, code.New(code.DiskFailure, "blob %s: %w", k, err)
			}
			if g.State != wire.Got_HERE || now-g.AgeMs > g.KeepMs {
				return true, nil
			}
		} else {
			r := &wire.Rec{}
			if err := proto.Unmarshal(raw, r); err != nil {
				return false, code.New(code.DiskFailure, "record %s: %w", k, err)
			}
			if r.Accepted == nil || r.Cell.GetPast() {
				return true, nil
			}
			row.Ballot = r.Accepted
		}
		out = append(out, row)
		return len(out) < limit, nil
	})
	return out, err
}

// EachRegister goes through the registers whose keys begin with a prefix that ends in
// a slash.
func (engine *Engine) EachRegister(prefix string, on func(key string, r *wire.Rec)) error {
	return engine.scanAll(registerPrefix+prefix, func(k string, raw []byte) error {
		r := &wire.Rec{}
		if err := proto.Unmarshal(raw, r); err != nil {
			return code.New(code.DiskFailure, "record %s: %w", k[len(registerPrefix):], err)
		}
		on(k[len(registerPrefix):], r)
		return nil
	})
}
