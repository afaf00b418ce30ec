package core

import (
	"damsontiller/internal/proto/wire"
)

// Lister pages through the keys that a disk holds.
type Lister interface {
	Keys(kind wire.List_Kind, after string, limit int, want func(string) bool) ([]*wire.Row, error)
}

// MaxPage bounds one page of keys.
const MaxPage = 1000

// List answers List calls from a disk; want narrows them.
func List(d Lister, q *wire.List, want func(string) bool) (*wire.Resp, error) {
	n := int(q.Limit)
	if n <= 0 || n > MaxPage {
		n = MaxPage
	}
	rows, err := d.Keys(q.Kind, q.After, n, want)
	if err != nil {
		return nil, err
	}
	return &wire.Resp{Op: &wire.Resp_Rows{Rows: &wire.Rows{Rows: rows}}}, nil
}
