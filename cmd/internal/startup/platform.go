package startup

import (
	"context"
	"os"
	"strings"
	"time"

	"damsontiller/internal/coordination/node"
	"damsontiller/internal/platform"
)

// Platform is where a process stands, as the platform's settings say; http is
// where it serves HTTP.
func Platform(s *platform.Params, http string) (*Process, error) {
	// A machine that is away for half of the time after which it counts as away
	// for good is no member any more, and holds nobody up.
	lasts := s.Contact() / 2
	p := &Process{ID: s.ID, Listen: s.Listen(), HTTP: http, Zone: s.Zone, Data: s.Data, Level: "info",
		Seeds: strings.Join(
			s.Peers(),
			",",
		), MinFree: s.MinFree(), RenewInterval: lasts / 3, LeaseDuration: lasts, OrphanTimeout: 10 * time.Second}
	p.OrphanTimeout = max(p.OrphanTimeout, p.LeaseDuration)
	s.Fit()
	return p, p.check()
}

// Reseed follows the settings file until ctx ends: the seeds may change.
func Reseed(ctx context.Context, s *platform.Params, n *node.Node, reloads <-chan os.Signal) {
	n.Go(ctx, func(ctx context.Context) {
		s.Watch(
			ctx,
			reloads,
			func(q *platform.Params) { n.SetSeeds(q.Peers()) },
			func(err error) { n.Log.Warn("settings not read", "err", err) },
		)
	})
}
