package startup

import (
	"context"
	"os"
	"strings"
	"time"

	"damsontiller/internal/coordination/node"
	"damsontiller/internal/platform"
)

// slowStopMargin is how long before the end of its grace a process that still runs logs what it
// waits for.
const slowStopMargin = time.Second

// Platform returns the configuration of a process that the platform's settings define;
// http is the address at which it serves HTTP.
func Platform(settings *platform.Params, http string) (*Process, error) {
	// The lease lasts half of the contact timeout, so that an unreachable machine leaves the
	// membership before it counts as lost, and delays no other machine.
	leaseDuration := settings.ContactTimeout() / 2
	process := &Process{
		ID:            settings.ID,
		Listen:        settings.ListenAddr(),
		HTTP:          http,
		Zone:          settings.Zone,
		Data:          settings.Data,
		Level:         "info",
		Seeds:         strings.Join(settings.Peers(), ","),
		MinFree:       settings.MinFreeMiB(),
		RenewInterval: leaseDuration / 3,
		LeaseDuration: leaseDuration,
		OrphanTimeout: 10 * time.Second,
		Memory:        settings.MemoryBytes(),
		SlowStop:      max(settings.Grace()-slowStopMargin, slowStopMargin),
	}
	process.OrphanTimeout = max(process.OrphanTimeout, process.LeaseDuration)
	settings.SetMemoryLimit()
	return process, process.check()
}

// Reseed watches the settings file until ctx is canceled and applies changes of the seeds.
func Reseed(ctx context.Context, settings *platform.Params, n *node.Node, reloads <-chan os.Signal) {
	n.Go(ctx, func(ctx context.Context) {
		settings.Watch(
			ctx,
			reloads,
			func(changed *platform.Params) { n.SetSeeds(changed.Peers()) },
			func(err error) {
				n.Log.Warn("reading the settings file failed, keeping the previous settings", "err", err)
			},
		)
	})
}
