package storage

import (
	"time"

	"google.golang.org/protobuf/proto"

	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// writeRecords writes acceptor records. A record whose last write is uncertain is rejected with
// code.DiskStalled, because the new version may be based on data that is not on the disk.
func (engine *Engine) writeRecords(timeout time.Duration, edits ...edit) error {
	engine.mu.Lock()
	for _, e := range edits {
		if engine.uncertainWrites[e.key] != nil {
			engine.mu.Unlock()
			return code.New(code.DiskStalled, "the outcome of the last write of %s is not known yet", e.key)
		}
	}
	engine.mu.Unlock()
	w, err := engine.write(timeout, edits...)
	if err != nil && w != nil {
		engine.mu.Lock()
		for _, e := range edits {
			engine.uncertainWrites[e.key] = w
		}
		engine.mu.Unlock()
	}
	return err
}

// clearResolved ends the uncertainty about a record before it is read, if the outcome of its
// last write is known. The read then returns what is on the disk.
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

// Load reads a record of the acceptor; it is empty if there is none.
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

// Save stores a record of the acceptor and returns once it is synced.
func (engine *Engine) Save(key string, r *wire.Rec) error {
	if err := engine.admitNewKey(registerPrefix + key); err != nil {
		return err
	}
	r.AtMs = engine.Uptime().Milliseconds()
	return engine.writeRecords(writeTimeout, edit{key: registerPrefix + key, value: wire.MustEncode(r)})
}

// RegistersOlderThan lists up to limit registers that were last written longer ago than the
// retention of their key. Registers with a retention of 0 are skipped. Records of a release
// that did not date its writes are listed as well, so that they are dated from now on.
func (engine *Engine) RegistersOlderThan(limit int, retention func(key string) time.Duration) ([]string, error) {
	var expired, undated []string
	now := engine.Uptime()
	err := engine.scan(registerPrefix, "", func(k string, encoded []byte) (bool, error) {
		k = k[len(registerPrefix):]
		retain := retention(k)
		if retain == 0 {
			return true, nil
		}
		r := &wire.Rec{}
		if err := proto.Unmarshal(encoded, r); err != nil {
			return false, code.New(code.DiskFailure, "record %s: %w", k, err)
		}
		switch {
		case r.AtMs == 0:
			undated = append(undated, k)
		case now-time.Duration(r.AtMs)*time.Millisecond > retain:
			expired = append(expired, k)
		}
		return len(expired)+len(undated) < limit, nil
	})
	return append(expired, undated...), err
}

// Age returns the uptime of the folder since a record was last written.
func (engine *Engine) Age(r *wire.Rec) time.Duration {
	return engine.Uptime() - time.Duration(r.AtMs)*time.Millisecond
}

// TombstoneRetention returns how long an expired blob or register is remembered as expired.
func (engine *Engine) TombstoneRetention() time.Duration { return engine.params.TombstoneRetention }

// DeleteRegister removes a register, including its promises.
func (engine *Engine) DeleteRegister(key string) error {
	return engine.writeRecords(writeTimeout, edit{key: registerPrefix + key, deleted: true})
}

// Keys lists up to limit keys of a kind that follow after, in key order, with the ballots of
// registers. Blobs past their retention are skipped. selectKey filters the keys; nil selects
// all of them.
func (engine *Engine) Keys(
	kind wire.List_Kind,
	after string,
	limit int,
	selectKey func(key string) bool,
) ([]*wire.Row, error) {
	var rows []*wire.Row
	prefix := registerPrefix
	if kind == wire.List_BLOBS {
		prefix = blobPrefix
	}
	now := engine.Uptime().Milliseconds()
	err := engine.scan(prefix, after, func(k string, encoded []byte) (bool, error) {
		k = k[len(prefix):]
		if selectKey != nil && !selectKey(k) {
			return true, nil
		}
		row := &wire.Row{Key: k}
		if kind == wire.List_BLOBS {
			g := &wire.Got{}
			if err := proto.Unmarshal(encoded, g); err != nil {
				return false, code.New(code.DiskFailure, "blob %s: %w", k, err)
			}
			if g.State != wire.Got_HERE || now-g.AgeMs > g.KeepMs {
				return true, nil
			}
		} else {
			r := &wire.Rec{}
			if err := proto.Unmarshal(encoded, r); err != nil {
				return false, code.New(code.DiskFailure, "record %s: %w", k, err)
			}
			if r.Accepted == nil || r.Cell.GetPast() {
				return true, nil
			}
			row.Ballot = r.Accepted
		}
		rows = append(rows, row)
		return len(rows) < limit, nil
	})
	return rows, err
}

// EachRegister calls visit for the registers whose keys begin with a prefix that ends in a
// slash.
func (engine *Engine) EachRegister(prefix string, visit func(key string, r *wire.Rec)) error {
	return engine.scanAll(registerPrefix+prefix, func(k string, encoded []byte) error {
		r := &wire.Rec{}
		if err := proto.Unmarshal(encoded, r); err != nil {
			return code.New(code.DiskFailure, "record %s: %w", k[len(registerPrefix):], err)
		}
		visit(k[len(registerPrefix):], r)
		return nil
	})
}
