package proxy

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"damsontiller/internal/dataplane/balancing/endpoints"
	"damsontiller/internal/dataplane/balancing/outlier"
	"damsontiller/internal/proto/spec"
)

// Selection holds the criteria for selecting a runner for a job.
type Selection struct {
	Service        *spec.Service
	List           *endpoints.List
	Zone           string // this node's zone
	Key            string // jobs of one key go to one runner; empty: to the least loaded
	PreviousRunner string // the runner of the program's last turn; empty: none
	Prefix         string // id of the shared prefix of the prompt; empty: none
	Allowed        func(*endpoints.Runner) bool
	WarmingUp      func(*endpoints.Runner) bool // reports whether a runner is warming up
	WarmupShares   func(*endpoints.Runner) int  // nodes that share a runner's warm-up rate; 0: this node has none
	// Repeatable jobs are sent to a suspected runner earlier, since another runner can finish them.
	Repeatable bool
}

// Limits on a runner's cost relative to the mean utilization. costSpread applies to a job that has
// nothing cached at the runner. A runner that has the job's prompts cached may exceed the mean by
// the factor affinitySpread or by affinityMargin of its capacity, whichever is more: reading the
// prompts again on another runner costs more than sharing a runner with a few more jobs.
const (
	costSpread     = 1.25
	affinitySpread = 1.5
	affinityMargin = 0.2
)

// prefixCandidates is the number of runners that a shared prefix is assigned to. Each of them reads
// the prefix once, and the least loaded of them is selected.
const prefixCandidates = 3

// prefillWeight is the load of a job whose prompt is still being read, relative to a job that
// produces output.
const prefillWeight = 3

type candidate struct {
	runner      *endpoints.Runner
	load        *runnerLoad
	utilization float64 // fraction of its capacity in use
	cost        float64 // utilization weighted by slowness: a slow runner takes longer for each job
	warmingUp   bool
}

// Pick selects the runner for a job: by the job's affinity key, in this node's zone first, unless
// that runner is loaded much more than the rest; without a key, the least loaded. hasCapacity
// reports whether the selected runner can start another job immediately.
func (l *Load) Pick(selection Selection) (r *endpoints.Runner, hasCapacity bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	candidates, trial := l.candidates(selection)
	if trial != nil {
		return trial, true
	}
	if c := l.choose(selection, candidates); c != nil {
		return c.runner, c.utilization < 1
	}
	return nil, false
}

// candidates returns the runners that the job may be sent to. If an ejected runner is due for a
// trial and this job is suitable, it returns that runner as trial instead.
func (l *Load) candidates(selection Selection) (candidates []candidate, trial *endpoints.Runner) {
	now := time.Now()
	var suspected, ejected []candidate
	for _, r := range selection.List.ForService(selection.Service.Name) {
		if r.Draining || !selection.Allowed(r) {
			continue
		}
		load := l.entry(r.ID)
		if now.Before(load.avoidUntil) {
			continue
		}
		c := candidate{
			runner:      r,
			load:        load,
			utilization: load.utilization(r, selection.Service),
			warmingUp:   now.Before(load.warmingUntil) || selection.WarmingUp(r),
		}
		perJob := 1 / float64(max(r.Capacity, 1))
		c.cost = (c.utilization+perJob)*l.Watch.Slow(r.ID) - perJob
		switch l.Watch.Suspicion(r.ID, selection.Repeatable) {
		case outlier.SuspicionEjected:
			// A job with nothing cached at any runner suits best as the trial of an ejected runner.
			if c.utilization < 1 && !c.warmingUp &&
				l.Watch.Trial(r.ID, selection.Repeatable && selection.PreviousRunner == "") {
				return nil, r
			}
			ejected = append(ejected, c)
		case outlier.SuspicionOnce:
			// A single failure does not justify reading the program's prompts again on another
			// runner.
			if r.ID == selection.PreviousRunner {
				candidates = append(candidates, c)
			} else {
				suspected = append(suspected, c)
			}
		case outlier.SuspicionRepeated:
			suspected = append(suspected, c)
		default:
			candidates = append(candidates, c)
		}
	}
	// If this node suspects many runners, the fault is more likely its own. If no other runner has
	// capacity, a suspected one is better than none.
	total, hasFree := len(candidates)+len(suspected), slices.ContainsFunc(
		candidates,
		func(c candidate) bool { return c.utilization < 1 },
	)
	if 10*len(suspected) > 3*total && total > 3 || !hasFree {
		candidates = append(candidates, suspected...)
	}
	if len(candidates) == 0 {
		candidates = ejected
	}
	return candidates, nil
}

// choose returns the best of the candidates, or nil if the job may be sent to none of them.
func (l *Load) choose(selection Selection, candidates []candidate) *candidate {
	if len(candidates) == 0 {
		return nil
	}
	total := 0.0
	for _, c := range candidates {
		total += c.utilization
	}
	mean := total / float64(len(candidates))
	costBound := mean*costSpread + 1/float64(max(candidates[0].runner.Capacity, 1))
	affinityBound := max(mean*affinitySpread, mean+affinityMargin)
	for i := range candidates {
		c := &candidates[i]
		if c.runner.ID == selection.PreviousRunner && !c.warmingUp && c.cost <= affinityBound && c.utilization < 1 {
			return c
		}
	}
	zonePasses := []bool{true, false}
	if !prefersLocalZone(selection, candidates, mean) {
		zonePasses = zonePasses[1:]
	}
	if selection.Prefix != "" {
		for _, local := range zonePasses {
			if c := l.byPrefix(selection, candidates, local, costBound); c != nil {
				return c
			}
		}
	}
	if selection.Key != "" {
		// The local zone first, so that prompts are neither read in two zones nor sent between
		// them.
		for _, local := range zonePasses {
			if c := l.byAffinity(selection, candidates, local, affinityBound); c != nil {
				return c
			}
		}
	}
	return l.leastLoaded(selection, candidates)
}

// zoneTolerance is the ratio of the local zone's mean utilization to that of all runners above
// which some of the zone's jobs go to other zones.
const zoneTolerance = 1.15

// prefersLocalZone reports whether a job tries the runners in this node's zone first. If the zone
// is loaded more than the rest, a random fraction of the jobs goes elsewhere, just large enough to
// bring the zone to the mean utilization. The choice is random because every edge of the zone works
// with load reports some hundred milliseconds old: without it, all of them would fill the runner
// that looks free.
func prefersLocalZone(selection Selection, candidates []candidate, mean float64) bool {
	localTotal, localCount := 0.0, 0
	for _, c := range candidates {
		if c.runner.Zone == selection.Zone {
			localTotal += c.utilization
			localCount++
		}
	}
	if localCount == 0 || localTotal/float64(localCount) <= mean*zoneTolerance {
		return true
	}
	return rand.Float64() < mean*float64(localCount)/localTotal
}

func (load *runnerLoad) utilization(r *endpoints.Runner, s *spec.Service) float64 {
	fraction := float64(load.requests+load.remote) / float64(max(r.Capacity, 1))
	if s.Engine != nil {
		fraction = max(fraction, float64(load.tokens+load.remoteTokens)/float64(s.Engine.CacheTokens))
	}
	return fraction
}

func (selection *Selection) allowsWarmup(c *candidate) bool {
	return !c.warmingUp || c.load.allowWarmup(selection.Service.WarmupRate, selection.WarmupShares(c.runner))
}

func (l *Load) byAffinity(selection Selection, candidates []candidate, local bool, costBound float64) *candidate {
	var best *candidate
	var highest uint64
	for i := range candidates {
		c := &candidates[i]
		if (c.runner.Zone == selection.Zone) != local || c.cost > costBound || c.utilization >= 1 || c.warmingUp {
			continue
		}
		if hash := rendezvousHash(selection.Key, c.runner.ID); best == nil || hash > highest {
			best, highest = c, hash
		}
	}
	return best
}

// byPrefix selects the least loaded of the few runners that the prompt's shared prefix is assigned
// to.
func (l *Load) byPrefix(selection Selection, candidates []candidate, local bool, costBound float64) *candidate {
	type match struct {
		c    *candidate
		hash uint64
	}
	var ranked []match
	for i := range candidates {
		c := &candidates[i]
		if (c.runner.Zone == selection.Zone) != local || c.cost > costBound || c.utilization >= 1 || c.warmingUp {
			continue
		}
		ranked = append(ranked, match{c, rendezvousHash(selection.Prefix, c.runner.ID)})
	}
	slices.SortFunc(ranked, func(a, b match) int { return cmp.Compare(b.hash, a.hash) })
	var best *candidate
	for _, match := range ranked[:min(prefixCandidates, len(ranked))] {
		if best == nil || match.c.newProgramCost() < best.newProgramCost() {
			best = match.c
		}
	}
	return best
}

// newProgramCost is a runner's cost for the first job of a program, whose prompt is still to be
// read.
func (c *candidate) newProgramCost() float64 {
	return c.cost + float64((prefillWeight-1)*c.load.prefilling)/float64(max(c.runner.Capacity, 1))
}

// leastLoaded selects the least loaded runner. Among equally loaded ones it prefers those of the
// local zone, then selects at random.
func (l *Load) leastLoaded(selection Selection, candidates []candidate) *candidate {
	for len(candidates) > 0 {
		best, ties := -1, 0
		lowest := 0.0
		for i := range candidates {
			cost := candidates[i].cost
			if candidates[i].runner.Zone != selection.Zone {
				cost += 0.5 / float64(max(candidates[i].runner.Capacity, 1))
			}
			switch {
			case best < 0 || cost < lowest:
				best, lowest, ties = i, cost, 1
			case cost == lowest:
				// Reservoir sampling: each of the tied candidates has the same probability.
				if ties++; rand.IntN(ties) == 0 {
					best = i
				}
			}
		}
		if selection.allowsWarmup(&candidates[best]) {
			return &candidates[best]
		}
		candidates[best] = candidates[len(candidates)-1]
		candidates = candidates[:len(candidates)-1]
	}
	return nil
}

// rendezvousHash returns the rendezvous hashing weight of a key at a runner or node. It is the same
// on every node.
func rendezvousHash(key, id string) uint64 {
	hasher := fnv.New64a()
	hasher.Write([]byte(key))
	hasher.Write([]byte{0})
	hasher.Write([]byte(id))
	hash := hasher.Sum64()
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}
