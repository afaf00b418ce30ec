package proxy

import (
	"context"
	"sync"
	"time"

	"damsontiller/internal/dataplane/balancing/endpoints"
	"damsontiller/internal/dataplane/cooldown"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// pickByWeight selects a service by weight. The same hash always selects the same service.
func pickByWeight(shares []spec.Share, hash uint64) string {
	total := int64(0)
	for _, share := range shares {
		total += share.Weight
	}
	if total <= 0 {
		return ""
	}
	position := int64(hash % uint64(total))
	for _, share := range shares {
		if position -= share.Weight; position < 0 {
			return share.Service
		}
	}
	return ""
}

// broadcast wakes all waiters when a slot becomes free.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{}
}

func newBroadcast() *broadcast { return &broadcast{ch: make(chan struct{})} }

func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ch
}

func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.ch)
	b.ch = make(chan struct{})
}

// reactivationTimes records when zones that were emptied came back into use: their runners may have
// lost their caches in between.
type reactivationTimes struct {
	mu            sync.Mutex
	empty         map[string]bool
	reactivatedAt map[string]time.Time
}

// observe updates the record with the zones that are empty now, and returns when the given zone
// came back into use, or the zero time.
func (times *reactivationTimes) observe(emptyZones []string, zone string) time.Time {
	times.mu.Lock()
	defer times.mu.Unlock()
	if times.empty == nil {
		times.empty, times.reactivatedAt = map[string]bool{}, map[string]time.Time{}
	}
	current := map[string]bool{}
	for _, name := range emptyZones {
		current[name] = true
	}
	for name := range times.empty {
		if !current[name] {
			times.reactivatedAt[name] = time.Now()
		}
	}
	times.empty = current
	return times.reactivatedAt[zone]
}

// pick selects a runner that the job may be sent to now.
func (handler *Handler) pick(j *Job, tried map[string]bool) (*endpoints.Runner, bool) {
	view := handler.deps.View()
	list := handler.deps.Endpoints.Current()
	key, prefix := "", ""
	switch {
	case j.Service.Engine != nil && j.BudgetReserved:
		if len(j.PromptParts) > 0 {
			prefix = j.PromptParts[0].ID
		}
	case j.Service.Engine != nil && j.Program != "":
		key = j.Program
	case j.Path.Affine:
		key = j.AffinityKey
	}
	return handler.deps.Load.Pick(
		Selection{
			Service:        j.Service,
			List:           list,
			Zone:           handler.deps.Self.Zone,
			Key:            key,
			PreviousRunner: j.PreviousRunner,
			Prefix:         prefix,
			Allowed: func(r *endpoints.Runner) bool {
				return !tried[r.ID] && !view.Spec.Empty(r.Zone) &&
					(handler.deps.Cooldowns.Idle() || handler.deps.Cooldowns.GateOpen(cooldownKey(r)))
			},
			WarmingUp: func(r *endpoints.Runner) bool {
				if j.Service.WarmupRate <= 0 {
					return false
				}
				warmingUp := time.Duration(r.WarmupRemainingMs) * time.Millisecond
				if time.Since(list.ReadAt) < warmingUp {
					return true
				}
				// After its zone came back into use a runner may be warming up, until a list read
				// well after that proves otherwise.
				reactivatedAt := handler.zoneReactivations.observe(view.Spec.EmptyZones, r.Zone)
				return !reactivatedAt.IsZero() &&
					list.ReadAt.Before(reactivatedAt.Add(handler.params.ListMaxAge)) &&
					time.Since(reactivatedAt) <
						time.Duration(j.Service.WarmupMs)*time.Millisecond+handler.params.ListMaxAge
			},
			WarmupShares: func(r *endpoints.Runner) int { return handler.warmupNodes(r, j.Service.WarmupRate) },
			Repeatable:   j.Repeatable(),
		},
	)
}

func cooldownKey(r *endpoints.Runner) string { return "runner/" + r.ID }

// warmupNodes returns how many nodes share a warming runner's rate, or 0 if this node has no share.
// The nodes are the few edges with the highest rendezvous hash for the runner.
func (handler *Handler) warmupNodes(r *endpoints.Runner, ratePerS float64) int {
	maxNodes := WarmupNodes
	if ratePerS < 1 {
		// Each node may send one job immediately, which already uses most of such a slow rate.
		maxNodes--
	}
	ownHash := rendezvousHash(handler.deps.Self.Id, r.ID)
	edges, higher := 1, 0 // this node counts itself, even if it is not listed as live
	for _, member := range handler.deps.Members() {
		if member.Role != "edge" || !member.Live || member.Id == handler.deps.Self.Id {
			continue
		}
		edges++
		if rendezvousHash(member.Id, r.ID) > ownHash {
			higher++
		}
	}
	if higher >= maxNodes {
		return 0
	}
	return min(edges, maxNodes)
}

// selectRunner waits for a runner with a free slot, for up to a fraction of the job's latency
// target. After that it returns a runner that may be loaded beyond its capacity.
func (handler *Handler) selectRunner(j *Job, tried map[string]bool) (*endpoints.Runner, Answer) {
	latencyTarget := time.Duration(j.Path.LatencyTargetMs) * time.Millisecond
	if latencyTarget == 0 {
		latencyTarget = j.TimeLeft()
	}
	holdUntil := j.Arrived.Add(time.Duration(float64(latencyTarget) * handler.params.MaxHoldFraction))
	for {
		slotFreed := handler.freeSlots.wait()
		runner, hasCapacity := handler.pick(j, tried)
		if runner != nil && hasCapacity {
			return runner, Answer{}
		}
		holdLeft := min(time.Until(holdUntil), j.TimeLeft())
		if runner == nil {
			// If only cooldowns prevent a send, the job is held until the first one ends, within
			// the time that it would wait for a slot. If that is too short, the job is refused
			// immediately, with the time to retry after.
			if untriedWait, anyWait := handler.cooldownWaits(j, tried); anyWait > 0 &&
				(untriedWait <= 0 || untriedWait > holdLeft) {
				return nil, Refuse(
					code.New(
						code.Cooling,
						"all runners of %s are cooling down for %d ms",
						j.Service.Name,
						cooldown.WaitMs(anyWait),
					),
					anyWait,
				)
			}
		}
		if holdLeft <= 0 {
			if runner == nil {
				return nil, noRunner(j, "none may be sent a job now")
			}
			if !handler.deps.Load.BelowCapacity(runner, j.Service, handler.params.Overload) {
				return nil, Refuse(
					code.New(code.BacklogFull, "all runners of %s are full", j.Service.Name),
					defaultRetryAfter,
				)
			}
			return runner, Answer{}
		}
		ctx, stop := context.WithTimeout(j, min(holdLeft, holdPollInterval))
		loop.WaitFor(ctx, slotFreed)
		stop()
		if j.Err() != nil {
			return nil, Refuse(code.New(code.DeadlinePassed, "the caller has disconnected"), 0)
		}
	}
}

// holdPollInterval is how often a held job checks for a free slot if none is reported.
const holdPollInterval = 25 * time.Millisecond

// refusalRetryAfter is when a caller may retry a job that one runner refused while others are
// available.
const refusalRetryAfter = 100 * time.Millisecond

// cooldownWaits returns when the first of a service's runners leaves its cooldown, or 0 if one is
// available: untriedWait among those not tried yet, anyWait among all. Runners that are draining or
// in an emptied zone are ignored.
func (handler *Handler) cooldownWaits(j *Job, tried map[string]bool) (untriedWait, anyWait time.Duration) {
	if handler.deps.Cooldowns.Idle() {
		return 0, 0
	}
	view := handler.deps.View()
	for _, runner := range handler.deps.Endpoints.Current().ForService(j.Service.Name) {
		if runner.Draining || view.Spec.Empty(runner.Zone) {
			continue
		}
		wait := handler.deps.Cooldowns.KnownWait(cooldownKey(runner))
		switch {
		case wait <= 0 && !tried[runner.ID]:
			return 0, 0
		case wait <= 0:
			// It was tried, and refused for another reason than a cooldown.
			continue
		}
		if anyWait == 0 || wait < anyWait {
			anyWait = wait
		}
		if !tried[runner.ID] && (untriedWait == 0 || wait < untriedWait) {
			untriedWait = wait
		}
	}
	return untriedWait, anyWait
}
