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
	spread         = 1.25
	affinityBonus  = 1.5
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
func (l *Load) Pick(a Selection) (r *endpoints.Runner, hasCapacity bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cs, trial := l.candidates(a)
	if trial != nil {
		return trial, true
	}
	if c := l.choose(a, cs); c != nil {
		return c.runner, c.utilization < 1
	}
	return nil, false
}

// candidates are the runners that the job may be sent to. Where one of them is on trial
// after an ejection, and this job is to be it, that runner is given instead.
func (l *Load) candidates(a Selection) (cs []candidate, trial *endpoints.Runner) {
	now := time.Now()
	var suspected, ejected []candidate
	for _, r := range a.List.ForService(a.Service.Name) {
		if r.Draining || !a.Allowed(r) {
			continue
		}
		b := l.entry(r.ID)
		if now.Before(b.avoidUntil) {
			continue
		}
		c := candidate{
			runner:      r,
			load:        b,
			utilization: b.utilization(r, a.Service),
			warmingUp:   now.Before(b.warmingUntil) || a.WarmingUp(r),
		}
		one := 1 / float64(max(r.Capacity, 1))
		c.cost = (c.utilization+one)*l.Watch.Slow(r.ID) - one
		switch l.Watch.Suspicion(r.ID, a.Repeatable) {
		case outlier.SuspicionEjected:
			// The trial of an ejected runner is best a job that has nothing cached anywhere.
			if c.utilization < 1 && !c.warmingUp && l.Watch.Trial(r.ID, a.Repeatable && a.PreviousRunner == "") {
				return nil, r
			}
			ejected = append(ejected, c)
		case outlier.SuspicionOnce:
			// One failure is not worth to read a program's prompts anew.
			if r.ID == a.PreviousRunner {
				cs = append(cs, c)
			} else {
				suspected = append(suspected, c)
			}
		case outlier.SuspicionRepeated:
			suspected = append(suspected, c)
		default:
			cs = append(cs, c)
		}
	}
	// Where this node suspects many, the fault is rather its own; and where no other has
	// capacity, a suspected runner is better than none.
	n, free := len(cs)+len(suspected), slices.ContainsFunc(cs, func(c candidate) bool { return c.utilization < 1 })
	if 10*len(suspected) > 3*n && n > 3 || !free {
		cs = append(cs, suspected...)
	}
	if len(cs) == 0 {
		cs = ejected
	}
	return cs, nil
}

// choose finds the best of the candidates; nil where none may be sent the job.
func (l *Load) choose(a Selection, cs []candidate) *candidate {
	if len(cs) == 0 {
		return nil
	}
	sum := 0.0
	for _, c := range cs {
		sum += c.utilization
	}
	mean := sum / float64(len(cs))
	bound := mean*spread + 1/float64(max(cs[0].runner.Capacity, 1))
	affinityBound := max(mean*affinityBonus, mean+affinityMargin)
	for i := range cs {
		c := &cs[i]
		if c.runner.ID == a.PreviousRunner && !c.warmingUp && c.cost <= affinityBound && c.utilization < 1 {
			return c
		}
	}
	homes := []bool{true, false}
	if !staysHome(a, cs, mean) {
		homes = homes[1:]
	}
	if a.Prefix != "" {
		for _, home := range homes {
			if c := l.byPrefix(a, cs, home, bound); c != nil {
				return c
			}
		}
	}
	if a.Key != "" {
		// Own zone first: a prefix is not read twice, nor sent between zones.
		for _, home := range homes {
			if c := l.byAffinity(a, cs, home, affinityBound); c != nil {
				return c
			}
		}
	}
	return l.leastLoaded(a, cs)
}

// zoneTolerance is how many times as loaded as all runners those of this node's zone may be
// before a part of its jobs goes to other zones.
const zoneTolerance = 1.15

// staysHome reports whether a job looks for a runner in this node's zone first. Where the zone
// is loaded more than the rest, so large a part of the jobs goes elsewhere at once that it
// would be loaded as they are: each edge of the zone decides by figures some hundred
// milliseconds old, and all of them would fill a runner that looks free.
func staysHome(a Selection, cs []candidate, mean float64) bool {
	sum, n := 0.0, 0
	for _, c := range cs {
		if c.runner.Zone == a.Zone {
			sum += c.utilization
			n++
		}
	}
	if n == 0 || sum/float64(n) <= mean*zoneTolerance {
		return true
	}
	return rand.Float64() < mean*float64(n)/sum
}

func (b *runnerLoad) utilization(r *endpoints.Runner, s *spec.Service) float64 {
	f := float64(b.requests+b.remote) / float64(max(r.Capacity, 1))
	if s.Engine != nil {
		f = max(f, float64(b.tokens+b.remoteTokens)/float64(s.Engine.CacheTokens))
	}
	return f
}

func (a *Selection) warmingUp(c *candidate) bool {
	return !c.warmingUp || c.load.allowWarmup(a.Service.WarmupRate, a.WarmupShares(c.runner))
}

func (l *Load) byAffinity(a Selection, cs []candidate, home bool, bound float64) *candidate {
	var best *candidate
	var top uint64
	for i := range cs {
		c := &cs[i]
		if (c.runner.Zone == a.Zone) != home || c.cost > bound || c.utilization >= 1 || c.warmingUp {
			continue
		}
		if h := weigh(a.Key, c.runner.ID); best == nil || h > top {
			best, top = c, h
		}
	}
	return best
}

// byPrefix finds the least loaded of the few runners that a shared part points to.
func (l *Load) byPrefix(a Selection, cs []candidate, home bool, bound float64) *candidate {
	type at struct {
		c *candidate
		h uint64
	}
	var top []at
	for i := range cs {
		c := &cs[i]
		if (c.runner.Zone == a.Zone) != home || c.cost > bound || c.utilization >= 1 || c.warmingUp {
			continue
		}
		top = append(top, at{c, weigh(a.Prefix, c.runner.ID)})
	}
	slices.SortFunc(top, func(a, b at) int { return cmp.Compare(b.h, a.h) })
	var best *candidate
	for _, t := range top[:min(prefixCandidates, len(top))] {
		if best == nil || t.c.weight() < best.weight() {
			best = t.c
		}
	}
	return best
}

// weight is a runner's load in the eyes of a new program.
func (c *candidate) weight() float64 {
	return c.cost + float64((prefillWeight-1)*c.load.prefilling)/float64(max(c.runner.Capacity, 1))
}

// leastLoaded finds the least loaded; of equals one of this zone, then any.
func (l *Load) leastLoaded(a Selection, cs []candidate) *candidate {
	for len(cs) > 0 {
		best, n := -1, 0
		top := 0.0
		for i := range cs {
			f := cs[i].cost
			if cs[i].runner.Zone != a.Zone {
				f += 0.5 / float64(max(cs[i].runner.Capacity, 1))
			}
			switch {
			case best < 0 || f < top:
				best, top, n = i, f, 1
			case f == top:
				// Each of n equals has the same chance.
				if n++; rand.IntN(n) == 0 {
					best = i
				}
			}
		}
		if a.warmingUp(&cs[best]) {
			return &cs[best]
		}
		cs[best] = cs[len(cs)-1]
		cs = cs[:len(cs)-1]
	}
	return nil
}

// weigh is a key's weight at a runner, the same on every node.
func weigh(key, id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(id))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
