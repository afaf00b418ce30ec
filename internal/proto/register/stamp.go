package register

import (
	"context"

	"damsontiller/internal/proto/wire"
)

// senderVersion is the spec version that a caller acts on, with its requests.
type senderVersion struct {
	version uint64
	strict  bool
}

type senderVersionKey struct{}

// WithVersion stamps the rounds made under ctx with the spec version whose voters they
// ask; strict is whether a voter with a higher version must refuse them.
func WithVersion(ctx context.Context, version uint64, strict bool) context.Context {
	return context.WithValue(ctx, senderVersionKey{}, senderVersion{version, strict})
}

// SetVersion lays the version of ctx on a request.
func SetVersion(ctx context.Context, q *wire.Req) {
	if s, ok := ctx.Value(senderVersionKey{}).(senderVersion); ok {
		q.Spec, q.Strict = s.version, s.strict
	}
}
