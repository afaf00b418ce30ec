package startup

import (
	"context"
	"runtime"
	"time"

	"github.com/hashicorp/go-hclog"
)

// maxStackBytes limits the stacks in the report of a slow stop.
const maxStackBytes = 256 << 10

// ReportSlowStop logs the stacks of all goroutines if the process still runs a time after its stop
// signal, before the platform kills it. They show what it waits for.
func ReportSlowStop(stopSignal context.Context, log hclog.Logger, after time.Duration) {
	context.AfterFunc(stopSignal, func() {
		time.Sleep(after)
		stacks := make([]byte, maxStackBytes)
		stacks = stacks[:runtime.Stack(stacks, true)]
		log.Error("still running after the stop signal", "after", after, "goroutines", string(stacks))
	})
}
