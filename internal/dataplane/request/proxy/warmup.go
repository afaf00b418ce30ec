package proxy

import (
	"math"

	"golang.org/x/time/rate"
)

// WarmupNodes is the number of nodes that share a warming runner's rate. Each may send one job
// immediately in addition to its share, so the number is small. The nodes are selected by the runner's id, so
// that all nodes select the same ones.
const WarmupNodes = 4

// allowWarmup reports whether this node may send one more job to a warming runner now.
func (load *runnerLoad) allowWarmup(ratePerS float64, nodes int) bool {
	if ratePerS <= 0 || nodes == 0 {
		return false
	}
	share := rateShare(ratePerS, nodes)
	switch {
	case load.warmupLimiter == nil:
		load.warmupLimiter, load.warmupRate = rate.NewLimiter(rate.Limit(share), 1), share
	case load.warmupRate != share:
		// Keeps the token bucket: a new one would be full at each change of membership.
		load.warmupLimiter.SetLimit(rate.Limit(share))
		load.warmupRate = share
	}
	return load.warmupLimiter.Allow()
}

// rateShare returns one node's share of a rate. Each node sends at most its share, rounded up, per
// second. While the nodes' views of the membership differ by two, two more nodes take a share. A
// share slightly above an integer is therefore rounded down to it: six nodes with a quarter of the
// rate each then stay within 1.5 times the rate plus 5 jobs per second.
func rateShare(ratePerS float64, nodes int) float64 {
	share := ratePerS / float64(nodes)
	if whole := math.Floor(share); whole >= 1 && share-whole < 1.0/6 {
		return whole
	}
	return share
}
