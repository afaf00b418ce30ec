package node

import (
	"context"
	"sync"
	"time"

	"damsontiller/internal/coordination/metrics"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/transport/loop"
)

// startReportInterval is the time between two log lines of a start that waits.
const startReportInterval = 5 * time.Second

// startStep is what a start waits for, as logged.
type startStep string

// The steps of joining.
const (
	stepDrainAndLease startStep = "requests under earlier sets to end, and a lease"
	stepReadSpec      startStep = "a read of the spec at a majority"
	stepPause         startStep = "the next attempt"
)

// startProgress is how far a start has come. An attempt may hang, so it is reported from outside.
type startProgress struct {
	mu        sync.Mutex
	beganAt   time.Time
	step      startStep
	stepSince time.Time
	attempts  int
	lastErr   error
}

func newStartProgress() *startProgress {
	now := time.Now()
	return &startProgress{beganAt: now, step: stepPause, stepSince: now}
}

func (progress *startProgress) enter(step startStep) {
	progress.mu.Lock()
	defer progress.mu.Unlock()
	progress.step, progress.stepSince = step, time.Now()
}

func (progress *startProgress) attemptFailed(err error) {
	progress.mu.Lock()
	defer progress.mu.Unlock()
	progress.attempts++
	progress.lastErr = err
}

// report logs at intervals what the start waits for, until ctx ends.
func (progress *startProgress) report(ctx context.Context, n *Node) {
	for loop.Wait(ctx, startReportInterval) {
		progress.mu.Lock()
		n.Log.Warn(
			"start waits",
			"for", progress.step,
			"step_ms", time.Since(progress.stepSince).Milliseconds(),
			"start_ms", time.Since(progress.beganAt).Milliseconds(),
			"attempts", progress.attempts,
			"err", progress.lastErr,
		)
		progress.mu.Unlock()
	}
}

// logContention logs a spell in which a register can't be read or changed, when it has lasted for
// some time and when it is over.
func (n *Node) logContention(c register.Contention) {
	message, log := "register has not been read or changed for some time", n.Log.Warn
	if c.Completed {
		message, log = "register is read and changed again", n.Log.Info
	}
	log(
		message,
		"key", c.Key,
		"ms", time.Since(c.Since).Milliseconds(),
		"attempts", c.Attempts,
		"proposals", c.Proposals,
		"refused", c.Refused,
		"holders", c.Holders,
		"answered", c.Answered,
		"voters", c.Voters,
		"promised_to", n.proposerID(c.Promised.GetNode()),
	)
}

// proposerID returns the id of the process whose ballots have a node number, or the number if no
// member has it.
func (n *Node) proposerID(node uint64) any {
	if node == n.Proposer.Node() {
		return n.Peer.Self.Id
	}
	for _, m := range n.Lease.Members() {
		if m.Inc == node {
			return m.Id
		}
	}
	return node
}

// MetricSamples returns the metrics that every process has.
func (n *Node) MetricSamples() []metrics.Sample {
	state := metrics.Node{
		SpecVersion:  n.Cluster.Now().Version,
		MessagesSent: n.Peer.Sent(),
		Register:     n.Proposer.Counts(),
	}
	return state.Samples()
}
