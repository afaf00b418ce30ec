package register

import (
	"context"

	"damsontiller/internal/proto/wire"
)

// specVersion is the version of the spec that the sender of a request acts on.
type specVersion struct {
	version uint64
	strict  bool
}

type specVersionKey struct{}

// WithVersion attaches a spec version to ctx. Rounds under ctx address the voters of that
// version. With strict, voters that have a higher version refuse the requests.
func WithVersion(ctx context.Context, version uint64, strict bool) context.Context {
	return context.WithValue(ctx, specVersionKey{}, specVersion{version, strict})
}

// SetVersion sets the spec version of ctx on a request.
func SetVersion(ctx context.Context, request *wire.Req) {
	if sender, ok := ctx.Value(specVersionKey{}).(specVersion); ok {
		request.Spec, request.Strict = sender.version, sender.strict
	}
}
