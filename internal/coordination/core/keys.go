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
func ListKeys(lister KeyLister, request *wire.List, want func(string) bool) (*wire.Resp, error) {
	limit := int(request.Limit)
	if limit <= 0 || limit > MaxKeysPerPage {
		limit = MaxKeysPerPage
	}
	rows, err := lister.Keys(request.Kind, request.After, limit, want)
	if err != nil {
		return nil, err
	}
	return &wire.Resp{Op: &wire.Resp_Rows{Rows: &wire.Rows{Rows: rows}}}, nil
}
