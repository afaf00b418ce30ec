package storage

import (
	"errors"
	"time"

	"github.com/cockroachdb/pebble/v2"

	"damsontiller/internal/transport/code"
)

// read runs f on what has been synced.
func (engine *Engine) read(f func(pebble.Reader) error) error {
	i, err := engine.acquire()
	if err != nil {
		return err
	}
	defer i.users.Done()
	return i.read(f)
}

// classify gives an error of the disk its number.
func classify(doing string, err error) error {
	var numbered *code.Failure
	switch {
	case err == nil || errors.As(err, &numbered):
		return err
	case errors.Is(err, errNoSpace):
		return code.New(code.DiskFull, "%s: %w", doing, err)
	case errors.Is(err, errReadStalled), errors.Is(err, errSyncTimeout), errors.Is(err, errQueueFull):
		return code.New(code.DiskStalled, "%s: %w", doing, err)
	}
	return code.New(code.DiskFailure, "%s: %w", doing, err)
}

func (engine *Engine) get(key string) (out []byte, err error) {
	err = engine.read(func(r pebble.Reader) error {
		b, c, err := r.Get([]byte(key))
		if errors.Is(err, pebble.ErrNotFound) {
			return nil
		}
		if err != nil {
			return err
		}
		defer c.Close()
		out = append([]byte{}, b...)
		return nil
	})
	return out, classify("read", err)
}

// How long a caller waits for the sync of what it writes.
const (
	voteTimeout = 2 * time.Second
	bulkTimeout = 10 * time.Second
)

func (engine *Engine) put(key string, b []byte) error {
	_, err := engine.write(voteTimeout, edit{key: key, value: b})
	return err
}

// write syncs edits. An error leaves their outcome open where a write is handed back
// with it; without one nothing was begun.
func (engine *Engine) write(limit time.Duration, edits ...edit) (*write, error) {
	i, err := engine.acquire()
	if err != nil {
		return nil, err
	}
	defer i.users.Done()
	w, err := i.submit(limit, edits)
	if err != nil && w != nil && code.Of(classify("write", err)) != code.DiskFailure {
		return w, code.New(code.WriteUncertain, "write: %w", err)
	}
	return w, classify("write", err)
}

func (engine *Engine) scanAll(pre string, on func(k string, b []byte) error) error {
	return engine.scan(pre, "", func(k string, b []byte) (bool, error) { return true, on(k, b) })
}

// scan goes through the entries of a prefix after a key, as long as on says so.
func (engine *Engine) scan(pre, after string, on func(k string, b []byte) (bool, error)) error {
	low, end := prefixBounds(pre)
	if after != "" {
		low = append([]byte(pre+after), 0)
	}
	return classify("scan", engine.read(func(r pebble.Reader) error {
		it, err := r.NewIter(&pebble.IterOptions{LowerBound: low, UpperBound: end})
		if err != nil {
			return err
		}
		more := true
		for ok := it.First(); ok && more && err == nil; ok = it.Next() {
			more, err = on(string(it.Key()), it.Value())
		}
		return errors.Join(err, it.Close())
	}))
}
