package core

import (
	"damsontiller/internal/proto/wire"
)

// KeyLister returns the keys on a disk page by page.
type KeyLister interface {
	Keys(kind wire.List_Kind, after string, limit int, want func(string) bool) ([]*wire.Row, error)
}

// MaxKeysPerPage is the maximum number of keys in one page.
const MaxKeysPerPage = 1000

// ListKeys answers a List request from a disk; want filters the keys.
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
