// Package policy decides, among what every promise still allows, which job goes
// first and which runner is picked: by the built-in rules, or by the policy
// program that is live for the job's program. It can only order and rank; claims,
// budgets, cooldowns, slots, draining runners and emptied zones are out of its
// reach, for it never sees what they have ruled out.
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

// Builtin is the name under which the built-in rules stand in traces.
const Builtin = "built-in"

// Policy orders jobs and ranks runners.
type Policy interface {
	// Name names it in traces.
	Name() string
	// Order is a job's place within its class of work; lower goes first.
	Order(c *job.Ctx) (float64, error)
	// Rank is a runner's rank for a job; the highest is picked.
	Rank(c *job.Ctx, r *script.Runner) (float64, error)
}

// builtin: a held prefix saves the entire prefill and counts most; then capacity; then
// the zone. Jobs go by their deadlines.
type builtin struct{}

func (builtin) Name() string                    { return Builtin }
func (builtin) Order(*job.Ctx) (float64, error) { return 0, nil }

func (builtin) Rank(_ *job.Ctx, r *script.Runner) (float64, error) {
	s := float64(r.Free)/float64(r.Free+r.Used) + 2*r.Prefix
	if r.Near {
		s += 0.25
	}
	return s, nil
}

// program is a policy program; what it says nothing of stays built-in.
type program struct {
	builtin
	name string
	s    *script.Script
}

func (p *program) Name() string { return p.name }

func (p *program) Order(c *job.Ctx) (float64, error) {
	if !p.s.Orders() {
		return p.builtin.Order(c)
	}
	return p.s.Order(see(c))
}

func (p *program) Rank(c *job.Ctx, r *script.Runner) (float64, error) {
	if !p.s.Ranks() {
		return p.builtin.Rank(c, r)
	}
	return p.s.Rank(see(c), r)
}

// see is what a program may see of a job.
func see(c *job.Ctx) *script.Job {
	class, _, _ := strings.Cut(c.Program, "/")
	n := len(c.Prompt)
	for _, l := range c.History {
		n += len(l.Words) + len(l.Answer)
	}
	return &script.Job{
		Program: class,
		Class:   c.Class,
		Route:   c.Route,
		Conv:    c.Conv,
		Urgent:  c.Urgent,
		Keyed:   c.Key != "",
		Follows: c.Follows != "",
		Left:    c.Left().Seconds(),
		Words:   int64(n),
		Output:  c.MaxOutput,
		Parts:   c.Parts,
	}
}

// Selector knows which policy is in force for a job.
type Selector struct {
	cluster *cluster.Cluster
	log     hclog.Logger
	// Fallbacks counts decisions in which a program failed.
	Fallbacks atomic.Int64

	mu   sync.Mutex
	ver  uint64
	live *program
	said time.Time
}

// New makes a desk.
func New(r *cluster.Cluster, log hclog.Logger) *Selector { return &Selector{cluster: r, log: log} }

// For is the policy for a job's program: every node decides alike, by a hash of
// the program's name.
func (selector *Selector) For(c *job.Ctx) Policy {
	v := selector.cluster.Now()
	l := v.Spec.Live
	if l == nil {
		return builtin{}
	}
	h := fnv.New32a()
	h.Write([]byte(c.Program))
	if int(h.Sum32()%100) >= l.Share {
		return builtin{}
	}
	selector.mu.Lock()
	defer selector.mu.Unlock()
	if selector.ver != v.Version {
		selector.ver, selector.live = v.Version, nil
		if p, ok := v.Spec.Policy(l.Policy); ok {
			s, err := v.Spec.Load(p)
			if err != nil {
				// The core has checked it; another version of this program may not
				// know all that it knows.
				selector.log.Error("policy not loaded, the built-in decides", "policy", p.Name, "err", err)
			} else {
				selector.live = &program{name: p.Name, s: s}
			}
		}
	}
	if selector.live == nil {
		return builtin{}
	}
	return selector.live
}

// fell counts and tells of a program that failed, not more than once a second.
func (selector *Selector) fell(p Policy, err error) {
	selector.Fallbacks.Add(1)
	selector.mu.Lock()
	defer selector.mu.Unlock()
	if time.Since(selector.said) > time.Second {
		selector.said = time.Now()
		selector.log.Warn(
			"policy failed, the built-in decides",
			"policy",
			p.Name(),
			"err",
			err,
			"times",
			selector.Fallbacks.Load(),
		)
	}
}

// Order is a job's place within its class.
func (selector *Selector) Order(c *job.Ctx) float64 {
	p := selector.For(c)
	n, err := p.Order(c)
	if err != nil {
		selector.fell(p, err)
		n, _ = builtin{}.Order(c)
	}
	return n
}

// Pick gives the place of the best of rs, and how it came to be: all ranks are
// one policy's, or all the built-in's.
func (selector *Selector) Pick(c *job.Ctx, rs []script.Runner) (int, job.Decision) {
	p := selector.For(c)
	why, err := rankRunners(p, c, rs)
	if err != nil {
		selector.fell(p, err)
		why, _ = rankRunners(builtin{}, c, rs)
		why.Policy = p.Name() + ", which failed: " + Builtin
	}
	best := 0
	for i, k := range why.Ranks {
		if k.Rank > why.Ranks[best].Rank {
			best = i
		}
	}
	return best, why
}

func rankRunners(p Policy, c *job.Ctx, rs []script.Runner) (job.Decision, error) {
	why := job.Decision{Policy: p.Name(), Ranks: make([]job.Rank, len(rs))}
	for i := range rs {
		n, err := p.Rank(c, &rs[i])
		if err != nil {
			return why, err
		}
		why.Ranks[i] = job.Rank{Runner: rs[i].Name, Zone: rs[i].Zone, Free: rs[i].Free, Prefix: rs[i].Prefix, Rank: n}
	}
	return why, nil
}
