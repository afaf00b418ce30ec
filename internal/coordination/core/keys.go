package core

import (
	"damsontiller/internal/proto/wire"
)

// KeyLister pages through the keys that a disk holds.
type KeyLister interface {
	Keys(kind wire.List_Kind, after string, limit int, want func(string) bool) ([]*wire.Row, error)
}

// MaxKeysPerPage bounds one page of keys.
const MaxKeysPerPage = 1000

// ListKeys answers ListKeys calls from a disk; want narrows them.
func ListKeys(d KeyLister, q *wire.List, want func(string) bool) (*wire.Resp, error) {
	n := int(q.Limit)
	if n <= 0 || n > MaxKeysPerPage {
		n = MaxKeysPerPage
	}
	rows, err := d.Keys(q.Kind, q.After, n, want)
	if err != nil {
		return nil, err
	}
	return &wire.Resp{Op: &wire.Resp_Rows{Rows: &wire.Rows{Rows: rows}}}, nil
}
