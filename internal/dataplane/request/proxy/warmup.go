package proxy

import (
	"math"

	"golang.org/x/time/rate"
)

// WarmupNodes is how many nodes a warming runner's rate is assigned to. Each may send one at
// once on top of its part of the rate, so they are few; who they are follows from
// the runner's id, the same on every node.
const WarmupNodes = 4

// warming up reports whether this node may send a warming runner one more job now.
func (load *runnerLoad) allowWarmup(perS float64, nodes int) bool {
	if perS <= 0 || nodes == 0 {
		return false
	}
	share := rateShare(perS, nodes)
	switch {
	case load.warmupLimiter == nil:
		load.warmupLimiter, load.warmupRate = rate.NewLimiter(rate.Limit(share), 1), share
	case load.warmupRate != share:
		// The same bucket goes on: a new one would be full at each change of the members.
		load.warmupLimiter.SetLimit(rate.Limit(share))
		load.warmupRate = share
	}
	return load.warmupLimiter.Allow()
}

// rateShare is one node's part of a rate. A second holds as many jobs as its part rounded
// up. Where views of the members differ by two, two more nodes take a part, so a part
// that is hardly more than an integer is that number: six parts of a quarter each
// then stay within half again the rate and five.
func rateShare(perS float64, nodes int) float64 {
	share := perS / float64(nodes)
	if whole := math.Floor(share); whole >= 1 && share-whole < 1.0/6 {
		return whole
	}
	return share
}
