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

// Selection is what an choice rests on.
type Selection struct {
	Service        *spec.Service
	List           *endpoints.List
	Zone           string // this node's
	Key            string // jobs of one key go to one runner; empty: to the least loaded
	PreviousRunner string // the runner that the job's program ran on last
	Prefix         string // what its prompt begins with; empty: nothing shared
	Allowed        func(*endpoints.Runner) bool
	WarmingUp      func(*endpoints.Runner) bool // it is warming up
	WarmupShares   func(*endpoints.Runner) int  // among how many nodes its rate is assigned; 0: this node has no part
	// Repeatable jobs go to a suspected runner earlier: they can go on elsewhere.
	Repeatable bool
}

// How far above the middle a runner may be: spread times, for a job that it holds
// nothing of; for one whose prompts it holds, half as much again or a fifth of its
// capacity, for to read them anew elsewhere costs more than a few jobs beside it.
const (
	costSpread     = 1.25
	affinitySpread = 1.5
	affinityMargin = 0.2
)

// prefixCandidates is how many runners a shared part points to: so many read it, and the least
// loaded of them is picked.
const prefixCandidates = 3

// prefillWeight is what a job whose prompt is still to be read weighs beside one that puts
// out.
const prefillWeight = 3

type candidate struct {
	runner      *endpoints.Runner
	load        *runnerLoad
	utilization float64 // of its capacity in use
	cost        float64 // how loaded it is in the eyes of one more job: a slow runner is longer at each
	warmingUp   bool
}

// Pick selects the runner for a job: the one that its key points to, in this node's zone
// first, unless it is loaded much more than the rest; without a key the least loaded.
// hasCapacity reports whether the one selected can take another job at once.
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

// candidates are the runners that the job may be sent to. Where one of them is on trial
// after an ejection, and this job is to be it, that runner is given instead.
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
			// The trial of an ejected runner is best a job that has nothing cached anywhere.
			if c.utilization < 1 && !c.warmingUp && l.Watch.Trial(r.ID, selection.Repeatable && selection.PreviousRunner == "") {
				return nil, r
			}
			ejected = append(ejected, c)
		case outlier.SuspicionOnce:
			// One failure is not worth to read a program's prompts anew.
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
	// Where this node suspects many, the fault is rather its own; and where no other has
	// capacity, a suspected runner is better than none.
	total, hasFree := len(candidates)+len(suspected), slices.ContainsFunc(candidates, func(c candidate) bool { return c.utilization < 1 })
	if 10*len(suspected) > 3*total && total > 3 || !hasFree {
		candidates = append(candidates, suspected...)
	}
	if len(candidates) == 0 {
		candidates = ejected
	}
	return candidates, nil
}

// choose finds the best of the candidates; nil where none may be sent the job.
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
		// Own zone first: a prefix is not read twice, nor sent between zones.
		for _, local := range zonePasses {
			if c := l.byAffinity(selection, candidates, local, affinityBound); c != nil {
				return c
			}
		}
	}
	return l.leastLoaded(selection, candidates)
}

// zoneTolerance is how many times as loaded as all runners those of this node's zone may be
// before a part of its jobs goes to other zones.
const zoneTolerance = 1.15

// staysHome reports whether a job looks for a runner in this node's zone first. Where the zone
// is loaded more than the rest, so large a part of the jobs goes elsewhere at once that it
// would be loaded as they are: each edge of the zone decides by figures some hundred
// milliseconds old, and all of them would fill a runner that looks free.
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

// byPrefix finds the least loaded of the few runners that a shared part points to.
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

// weight is a runner's load in the eyes of a new program.
func (c *candidate) newProgramCost() float64 {
	return c.cost + float64((prefillWeight-1)*c.load.prefilling)/float64(max(c.runner.Capacity, 1))
}

// leastLoaded finds the least loaded; of equals one of this zone, then any.
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
				// Each of n equals has the same chance.
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

// weigh is a key's weight at a runner, the same on every node.
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
