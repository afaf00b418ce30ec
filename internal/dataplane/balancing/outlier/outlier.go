// Package outlier implements passive outlier detection: it finds failing and slow runners
// by the outcomes of their jobs, never by what they report about themselves. A single edge
// sees too few jobs per runner to decide, so a Watch on each edge counts outcomes, and a
// Detector on the collector sums the counts, compares each runner with the others of its
// service and temporarily ejects the outliers. Every edge receives the verdict.
package outlier

import (
	"math"
	"time"
)

// Count is the outcome counts of jobs at one runner.
type Count struct {
	Ended    int
	Failures int // ended jobs that failed through a fault of the runner
	// Paced is the number of jobs with a measured pace, Pace the sum of the logarithms of
	// their paces. A job's pace is its duration divided by the typical duration of its path.
	Paced int
	Pace  float64
}

// Plus returns the sum of two counts.
func (c Count) Plus(o Count) Count {
	c.add(o)
	return c
}

func (c *Count) add(o Count) {
	c.Ended += o.Ended
	c.Failures += o.Failures
	c.Paced += o.Paced
	c.Pace += o.Pace
}

// Verdict is the current set of outliers, as sent to an edge.
type Verdict struct {
	Ejected []Ejected
	Slow    map[string]float64 // slow runners: factor over the median pace of the service
}

// Ejected is a runner that receives no jobs except trials.
type Ejected struct {
	ID    string
	Trial bool // the receiving edge may send it one job
}

// Params are the settings of a detector and a watch.
type Params struct {
	MaxEjectedShare   float64       // maximum share of a service's runners that may be ejected; at least one
	Headroom          float64       // minimum ratio of remaining capacity to load
	FalsePositiveRate float64       // maximum probability of a healthy runner's failures in a window
	Confidence        float64       // minimum probability that it is a failing runner, not part of a shared fault
	Retry             time.Duration // until the first trial of an ejected runner; doubles with each failed trial
	MaxRetry          time.Duration // maximum time until the next trial
	Trial             time.Duration // how long an edge may delay a trial
	ResultTimeout     time.Duration // after which a trial without a result may be repeated
	TrialsToReturn    int           // successful trials until an ejected runner returns
	Interval          time.Duration // between two decisions
	SlowFactor        float64       // factor over the median pace of its service from which a runner is slow
	SuspectTime       time.Duration // how long an edge avoids a runner after one local failure
	VerdictLifetime   time.Duration // how long a verdict applies if no newer one is received
	MinHang           time.Duration // shortest stall that counts as a failure of the runner
}

// DefaultParams are the default parameters.
var DefaultParams = Params{
	MaxEjectedShare:   0.3,
	Headroom:          1.25,
	FalsePositiveRate: 1e-7,
	Confidence:        0.9,
	Retry:             time.Second,
	MaxRetry:          3 * time.Second,
	Trial:             time.Second,
	ResultTimeout:     2500 * time.Millisecond,
	TrialsToReturn:    7,
	Interval:          200 * time.Millisecond,
	SlowFactor:        2,
	SuspectTime:       500 * time.Millisecond,
	VerdictLifetime:   3 * time.Second,
	MinHang:           time.Second,
}

// tail returns the probability of k or more successes in n independent trials of the given
// probability (the upper tail of the binomial distribution).
func tail(n, k int, probability float64) float64 {
	if k <= 0 {
		return 1
	}
	if k > n || probability <= 0 {
		return 0
	}
	a, _ := math.Lgamma(float64(n + 1))
	b, _ := math.Lgamma(float64(k + 1))
	c, _ := math.Lgamma(float64(n - k + 1))
	t := math.Exp(a - b - c + float64(k)*math.Log(probability) + float64(n-k)*math.Log1p(-probability))
	sum := t
	for i := k; i < n && t > sum*1e-9; i++ {
		t *= float64(n-i) / float64(i+1) * probability / (1 - probability)
		sum += t
	}
	return min(sum, 1)
}

// rates are the failure rates that a runner may have; mixture replaces the first by the
// baseline rate of a healthy runner. Low rates are typical of a fault that many runners share, such as an
// occasional lost answer. From failingRate on the runner should be ejected.
var rates = [...]float64{0, 0.02, 0.06, 0.2, 0.35, 0.65, 0.97}

// failingRate is the index of the first of the rates at which a runner counts as failing.
const failingRate = 3

// prior is the number of pseudo-observed runners per rate.
var prior = [...]float64{1, 0.2, 0.2, 0.1, 0.1, 0.1, 0.1}

// emIterations is the number of expectation maximization steps in mixture.
const emIterations = 15

// mixture returns, for each runner, the probability that its rate is failingRate or above, and
// the estimated number of runners per rate, which includes the pseudo-observations initial.
// The frequency of each rate is estimated from all runners together by expectation
// maximization: three failures are strong evidence if no other runner has any, and weak
// evidence if most runners have one.
func mixture(counts []Count, healthy float64, initial [len(rates)]float64) ([]float64, [len(rates)]float64) {
	const n = len(rates)
	likelihood := make([][n]float64, len(counts))
	for i, c := range counts {
		highest := math.Inf(-1)
		var l [n]float64
		for j, r := range rates {
			if j == 0 {
				r = healthy
			}
			l[j] = float64(c.Failures)*math.Log(r) + float64(c.Ended-c.Failures)*math.Log1p(-r)
			highest = max(highest, l[j])
		}
		for j := range l {
			likelihood[i][j] = math.Exp(l[j] - highest)
		}
	}
	weights := initial
	out := make([]float64, len(counts))
	for range emIterations {
		next := initial
		for i := range likelihood {
			sum, failing := 0.0, 0.0
			for j := range weights {
				sum += weights[j] * likelihood[i][j]
			}
			for j := range weights {
				probability := weights[j] * likelihood[i][j] / sum
				next[j] += probability
				if j >= failingRate {
					failing += probability
				}
			}
			out[i] = failing
		}
		weights = next
	}
	return out, weights
}
