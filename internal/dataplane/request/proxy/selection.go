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
func pickByWeight(to []spec.Share, draw uint64) string {
	sum := int64(0)
	for _, s := range to {
		sum += s.Weight
	}
	if sum <= 0 {
		return ""
	}
	at := int64(draw % uint64(sum))
	for _, s := range to {
		if at -= s.Weight; at < 0 {
			return s.Service
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

func (b *broadcast) tell() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.ch)
	b.ch = make(chan struct{})
}

// refillTimes remembers since when zones are in use again: their runners may have
// lost their caches while they were not.
type refillTimes struct {
	mu    sync.Mutex
	empty map[string]bool
	since map[string]time.Time
}

// observe compares with the zones emptied now, and gives since when one is in use.
func (z *refillTimes) observe(emptied []string, zone string) time.Time {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.empty == nil {
		z.empty, z.since = map[string]bool{}, map[string]time.Time{}
	}
	now := map[string]bool{}
	for _, e := range emptied {
		now[e] = true
	}
	for e := range z.empty {
		if !now[e] {
			z.since[e] = time.Now()
		}
	}
	z.empty = now
	return z.since[zone]
}

// pick finds a runner that may be sent this job now.
func (handler *Handler) pick(j *Job, tried map[string]bool) (*endpoints.Runner, bool) {
	v := handler.parts.View()
	l := handler.parts.Endpoints.Current()
	k, segment := "", ""
	switch {
	case j.Service.Engine != nil && j.BudgetReserved:
		if len(j.PromptParts) > 0 {
			segment = j.PromptParts[0].ID
		}
	case j.Service.Engine != nil && j.Program != "":
		k = j.Program
	case j.Path.Affine:
		k = j.AffinityKey
	}
	return handler.parts.Load.Pick(
		Selection{
			Service:        j.Service,
			List:           l,
			Zone:           handler.parts.Self.Zone,
			Key:            k,
			PreviousRunner: j.PreviousRunner,
			Prefix:         segment,
			Allowed: func(r *endpoints.Runner) bool {
				return !tried[r.ID] && !v.Spec.Empty(r.Zone) &&
					(handler.parts.Cooldowns.Idle() || handler.parts.Cooldowns.GateOpen(cooldownKey(r)))
			},
			WarmingUp: func(r *endpoints.Runner) bool {
				if j.Service.WarmupRate <= 0 {
					return false
				}
				warmingUp := time.Duration(r.WarmupRemainingMs) * time.Millisecond
				if time.Since(l.ReadAt) < warmingUp {
					return true
				}
				// Since its zone is in use again it may be warming up, until a list read well
				// after says that it is not.
				s := handler.zoneRefills.observe(v.Spec.EmptyZones, r.Zone)
				return !s.IsZero() && l.ReadAt.Before(s.Add(handler.params.ListMaxAge)) &&
					time.Since(s) < time.Duration(j.Service.WarmupMs)*time.Millisecond+handler.params.ListMaxAge
			},
			WarmupShares: func(r *endpoints.Runner) int { return handler.shares(r, j.Service.WarmupRate) },
			Repeatable:   j.Repeatable(),
		},
	)
}

func cooldownKey(r *endpoints.Runner) string { return "runner/" + r.ID }

// shares is among how many nodes a warming runner's rate is assigned, 0 where this one
// has no part: the few edges that the runner's id points to.
func (handler *Handler) shares(r *endpoints.Runner, perS float64) int {
	most := WarmupNodes
	if perS < 1 {
		// Each may send one at once, which is most of what so slow a runner bears.
		most--
	}
	mine := weigh(handler.parts.Self.Id, r.ID)
	n, above := 1, 0 // this one counts, whatever the others think of it
	for _, m := range handler.parts.Members() {
		if m.Role != "edge" || !m.Live || m.Id == handler.parts.Self.Id {
			continue
		}
		n++
		if weigh(m.Id, r.ID) > mine {
			above++
		}
	}
	if above >= most {
		return 0
	}
	return min(n, most)
}

// selectRunner waits for a runner with a free place, as long as a part of the job's latency target,
// and then gives whichever may be sent more than its capacity.
func (handler *Handler) selectRunner(j *Job, tried map[string]bool) (*endpoints.Runner, Answer) {
	latencyTarget := time.Duration(j.Path.LatencyTargetMs) * time.Millisecond
	if latencyTarget == 0 {
		latencyTarget = j.TimeLeft()
	}
	until := j.Arrived.Add(time.Duration(float64(latencyTarget) * handler.params.MaxHoldFraction))
	for {
		free := handler.freeSlots.wait()
		r, hasCapacity := handler.pick(j, tried)
		if r != nil && hasCapacity {
			return r, Answer{}
		}
		left := min(time.Until(until), j.TimeLeft())
		if r == nil {
			// Where a cooldown is all that stands in the way, a job is held as long as
			// for a place and no longer: else it receives at once when to come back.
			if soon, all := handler.cooling(j, tried); all > 0 && (soon <= 0 || soon > left) {
				return nil, Refuse(
					code.New(
						code.Cooling,
						"all runners of %s are cooling down for %d ms",
						j.Service.Name,
						cooldown.WaitMs(all),
					),
					all,
				)
			}
		}
		if left <= 0 {
			if r == nil {
				return nil, noRunner(j, "none may be sent a job now")
			}
			if !handler.parts.Load.BelowCapacity(r, j.Service, handler.params.Overload) {
				return nil, Refuse(
					code.New(code.BacklogFull, "all runners of %s are full", j.Service.Name),
					200*time.Millisecond,
				)
			}
			return r, Answer{}
		}
		ctx, stop := context.WithTimeout(j, min(left, 25*time.Millisecond))
		loop.Until(ctx, free)
		stop()
		if j.Err() != nil {
			return nil, Refuse(code.New(code.DeadlinePassed, "the caller has disconnected"), 0)
		}
	}
}

// refusedWait is when a caller may come back whom one runner refused while others
// are clear.
const refusedWait = 100 * time.Millisecond

// cooling tells when the first of a service's runners is clear again, 0 where not
// all are cooling down: soon of those not tried yet, all of any. Runners that leave
// or stand in an emptied zone count for nothing.
func (handler *Handler) cooling(j *Job, tried map[string]bool) (soon, all time.Duration) {
	if handler.parts.Cooldowns.Idle() {
		return 0, 0
	}
	v := handler.parts.View()
	for _, r := range handler.parts.Endpoints.Current().ForService(j.Service.Name) {
		if r.Draining || v.Spec.Empty(r.Zone) {
			continue
		}
		w := handler.parts.Cooldowns.KnownWait(cooldownKey(r))
		switch {
		case w <= 0 && !tried[r.ID]:
			return 0, 0
		case w <= 0:
			// It was tried, and something else stands against it.
			continue
		}
		if all == 0 || w < all {
			all = w
		}
		if !tried[r.ID] && (soon == 0 || w < soon) {
			soon = w
		}
	}
	return soon, all
}
