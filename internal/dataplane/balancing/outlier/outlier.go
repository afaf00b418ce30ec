// Package outlier finds runners that fail or lag by what becomes of jobs at them
// (outlier detection), never by what they say of themselves. Each edge sees too few
// jobs at one runner to tell, so a Watch counts what it saw and a Detector, at the
// edge that counts for all, sums the counts up, compares each runner with the others
// of its service and ejects the outliers for a while. Every edge receives the verdict.
package outlier

import (
	"math"
	"time"
)

// Count is what came of jobs at one runner.
type Count struct {
	Ended    int
	Failures int // of them; only those that are the runner's
	// Paced are jobs whose pace was taken, Pace the sum of its logarithms: of the time
	// that a job took, in times of what is typical of its path.
	Paced int
	Pace  float64
}

// Plus is the sum of two counts.
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

// Verdict is what edges are to do about the outliers.
type Verdict struct {
	Ejected []Ejected
	Slow    map[string]float64 // how many times slower than the middle of its service
}

// Ejected is a runner that gets no jobs, but for a trial.
type Ejected struct {
	ID    string
	Trial bool // whoever receives this may send it one job
}

// Params are the settings of a detector and a watch.
type Params struct {
	MaxEjectedShare   float64       // of a service's runners that may be ejected; one always
	Headroom          float64       // times the load that the capacity of those left must be
	FalsePositiveRate float64       // that a healthy runner appears so bad in one window
	Confidence        float64       // that it is one that fails often, and not part of an even fault
	Retry             time.Duration // until the first trial of an ejected runner; doubled while it fails
	MaxRetry          time.Duration // until any further trial
	Trial             time.Duration // how long an edge may put off a trial
	ResultTimeout     time.Duration // after which a trial without a result is given to another edge
	TrialsToReturn    int           // trials without a failure that bring it back
	Interval          time.Duration // between two decisions
	SlowFactor        float64       // times the middle of its service's pace from which a runner is slow
	SuspectTime       time.Duration // how long an edge by itself keeps away from a runner after one failure
	VerdictLifetime   time.Duration // how long a verdict stands where no other is received
	MinHang           time.Duration // the shortest stall that is a failure of the runner
}

// DefaultParams are the design's.
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

// tail is the chance of k or more of n, each with chance p.
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

// The rates of failures that a runner may have, beside that of a healthy one: low
// ones are those of a fault that many share (an answer lost now and then), from
// grey on it is better to leave the runner.
var rates = [...]float64{0, 0.02, 0.06, 0.2, 0.35, 0.65, 0.97}

const failingRate = 3

// prior is how many runners count for each rate before any was seen.
var prior = [...]float64{1, 0.2, 0.2, 0.1, 0.1, 0.1, 0.1}

// mixture tells of each runner how surely its rate is one from grey on, and how many
// runners it takes for each rate; pri is how many count for it beforehand. How common
// each rate is, is found from all runners together (expectation maximisation): so
// three failures say much where no other runner has any, and little where most
// have one.
func mixture(cs []Count, healthy float64, pri [len(rates)]float64) ([]float64, [len(rates)]float64) {
	const n = len(rates)
	like := make([][n]float64, len(cs))
	for i, c := range cs {
		top := math.Inf(-1)
		var l [n]float64
		for j, r := range rates {
			if j == 0 {
				r = healthy
			}
			l[j] = float64(c.Failures)*math.Log(r) + float64(c.Ended-c.Failures)*math.Log1p(-r)
			top = max(top, l[j])
		}
		for j := range l {
			like[i][j] = math.Exp(l[j] - top)
		}
	}
	w := pri
	out := make([]float64, len(cs))
	for range 15 {
		next := pri
		for i := range like {
			sum, bad := 0.0, 0.0
			for j := range w {
				sum += w[j] * like[i][j]
			}
			for j := range w {
				probability := w[j] * like[i][j] / sum
				next[j] += probability
				if j >= failingRate {
					bad += probability
				}
			}
			out[i] = bad
		}
		w = next
	}
	return out, w
}
