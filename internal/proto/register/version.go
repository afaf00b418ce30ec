package register

import (
	"context"

	"damsontiller/internal/proto/wire"
)

// senderVersion is the version of the spec that the sender of requests acts on.
type senderVersion struct {
	version uint64
	strict  bool
}

type senderVersionKey struct{}

// WithVersion attaches to ctx the version of the spec whose voters the rounds made under
// it ask. strict asks a voter with a higher version to refuse.
func WithVersion(ctx context.Context, version uint64, strict bool) context.Context {
	return context.WithValue(ctx, senderVersionKey{}, senderVersion{version, strict})
}

// SetVersion sets on a request the version that ctx carries.
func SetVersion(ctx context.Context, q *wire.Req) {
	if s, ok := ctx.Value(senderVersionKey{}).(senderVersion); ok {
		q.Spec, q.Strict = s.version, s.strict
	}
}
