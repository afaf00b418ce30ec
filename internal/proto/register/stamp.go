package register

import (
	"context"

	"damsontiller/internal/proto/wire"
)

// stamp is the spec version that a caller acts on, with its requests.
type stamp struct {
	ver    uint64
	strict bool
}

type stampKey struct{}

// Stamp marks the rounds made under ctx with the spec version whose voters they
// ask; strict is whether a voter with a higher version must refuse them.
func Stamp(ctx context.Context, ver uint64, strict bool) context.Context {
	return context.WithValue(ctx, stampKey{}, stamp{ver, strict})
}

// PutStamp lays the mark of ctx on a request.
func PutStamp(ctx context.Context, q *wire.Req) {
	if s, ok := ctx.Value(stampKey{}).(stamp); ok {
		q.Spec, q.Strict = s.ver, s.strict
	}
}
