// Package policy orders waiting jobs and ranks candidate runners, either by the
// built-in rules or by the policy script that is live for the job's program. A
// policy can only order and rank: claims, budgets, cooldowns, slots, draining
// runners and empty zones are applied first, so a policy never sees the jobs and
// runners that they exclude.
package policy

import (
	"hash/fnv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/dataplane/request/job"
	"damsontiller/internal/proto/script"
)

// fallbackWarnInterval is the minimum time between two log lines about failed policies.
const fallbackWarnInterval = time.Second

// Builtin is the name of the built-in rules in traces.
const Builtin = "built-in"

// Policy orders jobs and ranks runners.
type Policy interface {
	// Name identifies the policy in traces.
	Name() string
	// Order returns a job's sort key within its class; lower values go first.
	Order(c *job.Ctx) (float64, error)
	// Rank returns a runner's score for a job; the runner with the highest score is picked.
	Rank(c *job.Ctx, r *script.Runner) (float64, error)
}

// builtin scores a runner by its cached prefix first, since that saves the whole
// prefill, then by its free capacity, then by its zone. All jobs of a class have the
// same sort key, so that their deadlines decide.
type builtin struct{}

func (builtin) Name() string                    { return Builtin }
func (builtin) Order(*job.Ctx) (float64, error) { return 0, nil }

func (builtin) Rank(_ *job.Ctx, r *script.Runner) (float64, error) {
	score := float64(r.Free)/float64(r.Free+r.Used) + 2*r.Prefix
	if r.Near {
		score += 0.25
	}
	return score, nil
}

// program is a policy script. Functions that the script does not define fall back to
// the built-in rules.
type program struct {
	builtin
	name   string
	script *script.Script
}

func (p *program) Name() string { return p.name }

func (p *program) Order(c *job.Ctx) (float64, error) {
	if !p.script.Orders() {
		return p.builtin.Order(c)
	}
	return p.script.Order(scriptJob(c))
}

func (p *program) Rank(c *job.Ctx, r *script.Runner) (float64, error) {
	if !p.script.Ranks() {
		return p.builtin.Rank(c, r)
	}
	return p.script.Rank(scriptJob(c), r)
}

// scriptJob returns the view of a job that is passed to a policy script.
func scriptJob(c *job.Ctx) *script.Job {
	class, _, _ := strings.Cut(c.Program, "/")
	textBytes := len(c.Prompt)
	for _, l := range c.History {
		textBytes += len(l.Words) + len(l.Answer)
	}
	return &script.Job{
		Program:     class,
		Class:       c.Class,
		Route:       c.Route,
		Conv:        c.Conv,
		Urgent:      c.Urgent,
		Keyed:       c.Key != "",
		Follows:     c.Follows != "",
		SecondsLeft: c.Left().Seconds(),
		InputLength: int64(textBytes),
		MaxOutput:   c.MaxOutput,
		Parts:       c.Parts,
	}
}

// Selector selects the policy that is in force for a job.
type Selector struct {
	cluster *cluster.Cluster
	log     hclog.Logger
	// Fallbacks counts the decisions in which a policy script failed.
	Fallbacks atomic.Int64

	mu          sync.Mutex
	specVersion uint64
	live        *program
	lastWarned  time.Time
}

// New returns a Selector that reads the live policy from the cluster spec.
func New(r *cluster.Cluster, log hclog.Logger) *Selector { return &Selector{cluster: r, log: log} }

// PolicyFor returns the policy for a job's program. The policy's share of the programs is
// selected by a hash of the program name, so that every node selects the same policy.
func (selector *Selector) PolicyFor(c *job.Ctx) Policy {
	v := selector.cluster.Now()
	live := v.Spec.Live
	if live == nil {
		return builtin{}
	}
	h := fnv.New32a()
	h.Write([]byte(c.Program))
	if int(h.Sum32()%100) >= live.Share {
		return builtin{}
	}
	selector.mu.Lock()
	defer selector.mu.Unlock()
	if selector.specVersion != v.Version {
		selector.specVersion, selector.live = v.Version, nil
		if p, ok := v.Spec.Policy(live.Policy); ok {
			s, err := v.Spec.Load(p)
			if err != nil {
				// The core has validated the script, but this node may run another
				// software version that does not support all of its features.
				selector.log.Error("failed to load policy; using the built-in rules", "policy", p.Name, "err", err)
			} else {
				selector.live = &program{name: p.Name, script: s}
			}
		}
	}
	if selector.live == nil {
		return builtin{}
	}
	return selector.live
}

// recordFallback counts a failed policy script and logs it at most once per second.
func (selector *Selector) recordFallback(p Policy, err error) {
	selector.Fallbacks.Add(1)
	selector.mu.Lock()
	defer selector.mu.Unlock()
	if time.Since(selector.lastWarned) > fallbackWarnInterval {
		selector.lastWarned = time.Now()
		selector.log.Warn(
			"policy failed; using the built-in rules",
			"policy",
			p.Name(),
			"err",
			err,
			"times",
			selector.Fallbacks.Load(),
		)
	}
}

// Order returns a job's sort key within its class.
func (selector *Selector) Order(c *job.Ctx) float64 {
	p := selector.PolicyFor(c)
	order, err := p.Order(c)
	if err != nil {
		selector.recordFallback(p, err)
		order, _ = builtin{}.Order(c)
	}
	return order
}

// Pick returns the index of the highest ranked runner and a trace of the decision. If
// the policy fails for any runner, all runners are ranked by the built-in rules, so
// that ranks of two policies are never compared.
func (selector *Selector) Pick(c *job.Ctx, runners []script.Runner) (int, job.Decision) {
	p := selector.PolicyFor(c)
	decision, err := rankRunners(p, c, runners)
	if err != nil {
		selector.recordFallback(p, err)
		decision, _ = rankRunners(builtin{}, c, runners)
		decision.Policy = p.Name() + ", which failed: " + Builtin
	}
	best := 0
	for i, rank := range decision.Ranks {
		if rank.Rank > decision.Ranks[best].Rank {
			best = i
		}
	}
	return best, decision
}

// rankRunners ranks all runners by one policy; it stops at the first error.
func rankRunners(p Policy, c *job.Ctx, runners []script.Runner) (job.Decision, error) {
	decision := job.Decision{Policy: p.Name(), Ranks: make([]job.Rank, len(runners))}
	for i := range runners {
		rank, err := p.Rank(c, &runners[i])
		if err != nil {
			return decision, err
		}
		decision.Ranks[i] = job.Rank{
			Runner: runners[i].Name,
			Zone:   runners[i].Zone,
			Free:   runners[i].Free,
			Prefix: runners[i].Prefix,
			Rank:   rank,
		}
	}
	return decision, nil
}
