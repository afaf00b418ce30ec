package storage

import (
	"errors"
	"time"

	"github.com/cockroachdb/pebble/v2"

	"damsontiller/internal/transport/code"
)

// read runs f on a snapshot of the synced data.
func (engine *Engine) read(f func(pebble.Reader) error) error {
	i, err := engine.acquire()
	if err != nil {
		return err
	}
	defer i.users.Done()
	return i.read(f)
}

// classify wraps a disk error with the matching error code. Errors that have a code
// already are returned unchanged.
func classify(operation string, err error) error {
	var coded *code.Failure
	switch {
	case err == nil || errors.As(err, &coded):
		return err
	case errors.Is(err, errNoSpace):
		return code.New(code.DiskFull, "%s: %w", operation, err)
	case errors.Is(err, errReadStalled), errors.Is(err, errSyncTimeout), errors.Is(err, errQueueFull):
		return code.New(code.DiskStalled, "%s: %w", operation, err)
	}
	return code.New(code.DiskFailure, "%s: %w", operation, err)
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

// How long a caller waits for its write to be synced.
const (
	writeTimeout     = 2 * time.Second
	bulkWriteTimeout = 10 * time.Second
)

func (engine *Engine) put(key string, b []byte) error {
	_, err := engine.write(writeTimeout, edit{key: key, value: b})
	return err
}

// write applies edits and syncs them. If it returns both a write and an error, the
// outcome of the write is unknown. If it returns an error alone, nothing was written.
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

func (engine *Engine) scanAll(prefix string, visit func(k string, b []byte) error) error {
	return engine.scan(prefix, "", func(k string, b []byte) (bool, error) { return true, visit(k, b) })
}

// scan calls visit for each entry with the prefix whose key follows after, in key order,
// until visit returns false or an error.
func (engine *Engine) scan(prefix, after string, visit func(k string, b []byte) (bool, error)) error {
	lower, upper := prefixBounds(prefix)
	if after != "" {
		lower = append([]byte(prefix+after), 0)
	}
	return classify("scan", engine.read(func(r pebble.Reader) error {
		it, err := r.NewIter(&pebble.IterOptions{LowerBound: lower, UpperBound: upper})
		if err != nil {
			return err
		}
		more := true
		for ok := it.First(); ok && more && err == nil; ok = it.Next() {
			more, err = visit(string(it.Key()), it.Value())
		}
		return errors.Join(err, it.Close())
	}))
}
