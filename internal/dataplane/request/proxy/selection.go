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

// pickByWeight is the service that a draw falls to.
func pickByWeight(shares []spec.Share, draw uint64) string {
	total := int64(0)
	for _, share := range shares {
		total += share.Weight
	}
	if total <= 0 {
		return ""
	}
	position := int64(draw % uint64(total))
	for _, share := range shares {
		if position -= share.Weight; position < 0 {
			return share.Service
		}
	}
	return ""
}

// broadcast wakes all who wait for a free place.
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

// refillTimes remembers since when zones are in use again: their runners may have
// lost their caches while they were not.
type reactivationTimes struct {
	mu            sync.Mutex
	empty         map[string]bool
	reactivatedAt map[string]time.Time
}

// observe compares with the zones emptied now, and gives since when one is in use.
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

// pick finds a runner that may be sent this job now.
func (handler *Handler) pick(j *Job, tried map[string]bool) (*endpoints.Runner, bool) {
	view := handler.dependencies.View()
	list := handler.dependencies.Endpoints.Current()
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
	return handler.dependencies.Load.Pick(
		Selection{
			Service:        j.Service,
			List:           list,
			Zone:           handler.dependencies.Self.Zone,
			Key:            key,
			PreviousRunner: j.PreviousRunner,
			Prefix:         prefix,
			Allowed: func(r *endpoints.Runner) bool {
				return !tried[r.ID] && !view.Spec.Empty(r.Zone) &&
					(handler.dependencies.Cooldowns.Idle() || handler.dependencies.Cooldowns.GateOpen(cooldownKey(r)))
			},
			WarmingUp: func(r *endpoints.Runner) bool {
				if j.Service.WarmupRate <= 0 {
					return false
				}
				warmingUp := time.Duration(r.WarmupRemainingMs) * time.Millisecond
				if time.Since(list.ReadAt) < warmingUp {
					return true
				}
				// Since its zone is in use again it may be warming up, until a list read well
				// after says that it is not.
				reactivatedAt := handler.zoneReactivations.observe(view.Spec.EmptyZones, r.Zone)
				return !reactivatedAt.IsZero() && list.ReadAt.Before(reactivatedAt.Add(handler.params.ListMaxAge)) &&
					time.Since(reactivatedAt) < time.Duration(j.Service.WarmupMs)*time.Millisecond+handler.params.ListMaxAge
			},
			WarmupShares: func(r *endpoints.Runner) int { return handler.warmupNodes(r, j.Service.WarmupRate) },
			Repeatable:   j.Repeatable(),
		},
	)
}

func cooldownKey(r *endpoints.Runner) string { return "runner/" + r.ID }

// shares is among how many nodes a warming runner's rate is assigned, 0 where this one
// has no part: the few edges that the runner's id points to.
func (handler *Handler) warmupNodes(r *endpoints.Runner, perS float64) int {
	maxNodes := WarmupNodes
	if perS < 1 {
		// Each may send one at once, which is most of what so slow a runner bears.
		maxNodes--
	}
	ownHash := rendezvousHash(handler.dependencies.Self.Id, r.ID)
	edges, higher := 1, 0 // this one counts, whatever the others think of it
	for _, member := range handler.dependencies.Members() {
		if member.Role != "edge" || !member.Live || member.Id == handler.dependencies.Self.Id {
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

// selectRunner waits for a runner with a free place, as long as a part of the job's latency target,
// and then gives whichever may be sent more than its capacity.
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
			// Where a cooldown is all that stands in the way, a job is held as long as
			// for a place and no longer: else it receives at once when to come back.
			if untriedWait, anyWait := handler.cooldownWaits(j, tried); anyWait > 0 && (untriedWait <= 0 || untriedWait > holdLeft) {
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
			if !handler.dependencies.Load.BelowCapacity(runner, j.Service, handler.params.Overload) {
				return nil, Refuse(
					code.New(code.BacklogFull, "all runners of %s are full", j.Service.Name),
					200*time.Millisecond,
				)
			}
			return runner, Answer{}
		}
		ctx, stop := context.WithTimeout(j, min(holdLeft, 25*time.Millisecond))
		loop.Until(ctx, slotFreed)
		stop()
		if j.Err() != nil {
			return nil, Refuse(code.New(code.DeadlinePassed, "the caller has disconnected"), 0)
		}
	}
}

// refusedWait is when a caller may come back whom one runner refused while others
// are clear.
const refusalRetryAfter = 100 * time.Millisecond

// cooling tells when the first of a service's runners is clear again, 0 where not
// all are cooling down: soon of those not tried yet, all of any. Runners that leave
// or stand in an emptied zone count for nothing.
func (handler *Handler) cooldownWaits(j *Job, tried map[string]bool) (untriedWait, anyWait time.Duration) {
	if handler.dependencies.Cooldowns.Idle() {
		return 0, 0
	}
	view := handler.dependencies.View()
	for _, runner := range handler.dependencies.Endpoints.Current().ForService(j.Service.Name) {
		if runner.Draining || view.Spec.Empty(runner.Zone) {
			continue
		}
		wait := handler.dependencies.Cooldowns.KnownWait(cooldownKey(runner))
		switch {
		case wait <= 0 && !tried[runner.ID]:
			return 0, 0
		case wait <= 0:
			// It was tried, and something else stands against it.
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
