package proxy

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"damsontiller/internal/dataplane/endpoints"
	"damsontiller/internal/dataplane/outlier"
	"damsontiller/internal/proto/spec"
)

// Load is the load of each runner: what this node has under way, what the
// others had when last heard, and what to keep away from for a moment.
type Load struct {
	Watch *outlier.Watch // of how the runners do

	mu  sync.Mutex
	all map[string]*busy
}

type busy struct {
	n      int   // jobs of this node under way
	early  int   // of them, those without a first event: their prompts are to be read
	tokens int64 // of prompts and outputs
	// Of the other nodes, as last heard.
	others      int
	otherTokens int64
	avoid       time.Time
	chill       time.Time // fresh until then, by its own word
	cold        *rate.Limiter
	coldRate    float64
	used        time.Time
}

// NewLoad makes a load that knows of nothing.
func NewLoad() *Load {
	return &Load{Watch: outlier.NewWatch(outlier.DefaultParams), all: map[string]*busy{}}
}

func (l *Load) of(id string) *busy {
	b := l.all[id]
	if b == nil {
		b = &busy{}
		l.all[id] = b
	}
	b.used = time.Now()
	return b
}

// Enter counts a job in; first says that its first event has come, done counts it
// out.
func (l *Load) Enter(id string, tokens int64) (first, done func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.of(id)
	b.n++
	b.early++
	b.tokens += tokens
	early := true
	first = func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if early {
			early = false
			b.early--
		}
	}
	return first, func() {
		first()
		l.mu.Lock()
		defer l.mu.Unlock()
		b.n--
		b.tokens -= tokens
	}
}

// Avoid keeps this node's jobs away from a runner for a while.
func (l *Load) Avoid(id string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u := time.Now().Add(d); u.After(l.of(id).avoid) {
		l.of(id).avoid = u
	}
}

// Chill takes a runner's own word that it is fresh.
func (l *Load) Chill(id string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.of(id).chill = time.Now().Add(d)
}

// Under tells whether a runner has less under way than so many times its room.
func (l *Load) Under(r *endpoints.Runner, s *spec.Service, times float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.of(r.ID).full(r, s) < times
}

// UnderWay is how many jobs each runner has, of all nodes, as far as is known.
func (l *Load) UnderWay() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int, len(l.all))
	for id, b := range l.all {
		out[id] = b.n + b.others
	}
	return out
}

// Busy is what this node has under way at one runner.
type Busy struct {
	N      int
	Tokens int64
}

// Own lists what this node has under way.
func (l *Load) Own() map[string]Busy {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]Busy{}
	for id, b := range l.all {
		if b.n > 0 {
			out[id] = Busy{b.n, b.tokens}
		}
	}
	return out
}

// Hear takes what all other nodes have under way.
func (l *Load) Hear(others map[string]Busy) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, b := range l.all {
		o := others[id]
		b.others, b.otherTokens = o.N, o.Tokens
	}
	for id, o := range others {
		if l.all[id] == nil {
			b := l.of(id)
			b.others, b.otherTokens = o.N, o.Tokens
		}
	}
}

// Sweep forgets runners that are not on the list any more.
func (l *Load) Sweep(on func(id string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, b := range l.all {
		if b.n == 0 && !on(id) && time.Since(b.used) > 10*time.Second {
			delete(l.all, id)
		}
	}
}

// Shares is how many nodes a fresh runner's rate is dealt to. Each may send one at
// once on top of its part of the rate, so they are few; who they are follows from
// the runner's id, the same on every node.
const Shares = 4

// cold tells whether this node may send a fresh runner one more job now.
func (b *busy) mayCold(perS float64, nodes int) bool {
	if perS <= 0 || nodes == 0 {
		return false
	}
	r := part(perS, nodes)
	switch {
	case b.cold == nil:
		b.cold, b.coldRate = rate.NewLimiter(rate.Limit(r), 1), r
	case b.coldRate != r:
		// The same bucket goes on: a new one would be full at each change of the members.
		b.cold.SetLimit(rate.Limit(r))
		b.coldRate = r
	}
	return b.cold.Allow()
}

// part is one node's part of a rate. A second holds as many jobs as its part rounded
// up. Where views of the members differ by two, two more nodes take a part, so a part
// that is hardly more than a whole number is that number: six parts of a quarter each
// then stay within half again the rate and five.
func part(perS float64, nodes int) float64 {
	r := perS / float64(nodes)
	if f := math.Floor(r); f >= 1 && r-f < 1.0/6 {
		return f
	}
	return r
}

// Ask is what an choice rests on.
type Ask struct {
	Service *spec.Service
	List    *endpoints.List
	Zone    string // this node's
	Key     string // jobs of one key go to one runner; empty: to the least busy
	Home    string // the runner that the job's program ran on last
	Part    string // what its prompt begins with; empty: nothing shared
	May     func(*endpoints.Runner) bool
	Cold    func(*endpoints.Runner) bool // it is fresh
	Shares  func(*endpoints.Runner) int  // among how many nodes its rate is dealt; 0: this node has no part
	// Repeatable jobs go to a doubtful runner earlier: they can go on elsewhere.
	Repeatable bool
}

// How far above the middle a runner may be: spread times, for a job that it holds
// nothing of; for one whose prompts it holds, half as much again or a fifth of its
// room, for to read them anew elsewhere costs more than a few jobs beside it.
const (
	spread = 1.25
	loyal  = 1.5
	fond   = 0.2
)

// near is how many runners a shared part points to: so many read it, and the least
// busy of them is picked.
const near = 3

// unread is what a job whose prompt is still to be read weighs beside one that puts
// out.
const unread = 3

type cand struct {
	r    *endpoints.Runner
	b    *busy
	f    float64 // of its room in use
	g    float64 // how busy it is in the eyes of one more job: a slow runner is longer at each
	cold bool
}

// Pick finds the runner for a job: the one that its key points to, in this
// node's zone first, unless it is much busier than the rest; without a key the
// least busy. Room tells whether the one found has a place free.
func (l *Load) Pick(a Ask) (r *endpoints.Runner, room bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var cs, doubtful, out []cand
	for _, r := range a.List.Of(a.Service.Name) {
		if r.Leaving || !a.May(r) {
			continue
		}
		b := l.of(r.ID)
		if now.Before(b.avoid) {
			continue
		}
		c := cand{r: r, b: b, f: b.full(r, a.Service), cold: now.Before(b.chill) || a.Cold(r)}
		one := 1 / float64(max(r.Room, 1))
		c.g = (c.f+one)*l.Watch.Slow(r.ID) - one
		switch l.Watch.Doubt(r.ID, a.Repeatable) {
		case outlier.Out:
			// The trial of an ejected runner is best a job that holds nothing anywhere.
			if c.f < 1 && !c.cold && l.Watch.Trial(r.ID, a.Repeatable && a.Home == "") {
				return r, true
			}
			out = append(out, c)
		case outlier.Once:
			// One failure is not worth to read a program's prompts anew.
			if r.ID == a.Home {
				cs = append(cs, c)
			} else {
				doubtful = append(doubtful, c)
			}
		case outlier.Often:
			doubtful = append(doubtful, c)
		default:
			cs = append(cs, c)
		}
	}
	// Where this node doubts many, the fault is rather its own; and where nobody else
	// has a place, a doubtful runner is better than none.
	n, free := len(cs)+len(doubtful), slices.ContainsFunc(cs, func(c cand) bool { return c.f < 1 })
	if 10*len(doubtful) > 3*n && n > 3 || !free {
		cs = append(cs, doubtful...)
	}
	if len(cs) == 0 {
		cs = out
	}
	if len(cs) == 0 {
		return nil, false
	}
	sum := 0.0
	for _, c := range cs {
		sum += c.f
	}
	mean := sum / float64(len(cs))
	bound := mean*spread + 1/float64(max(cs[0].r.Room, 1))
	kept := max(mean*loyal, mean+fond)
	for i := range cs {
		if c := &cs[i]; c.r.ID == a.Home && !c.cold && c.g <= kept && c.f < 1 {
			return c.r, true
		}
	}
	if a.Part != "" {
		for _, home := range []bool{true, false} {
			if c := l.parted(a, cs, home, bound); c != nil {
				return c.r, c.f < 1
			}
		}
	}
	if a.Key != "" {
		// Own zone first: a prefix is not read twice, nor sent between zones.
		for _, home := range []bool{true, false} {
			if c := l.keyed(a, cs, home, kept); c != nil {
				return c.r, c.f < 1
			}
		}
	}
	if c := l.least(a, cs); c != nil {
		return c.r, c.f < 1
	}
	return nil, false
}

func (b *busy) full(r *endpoints.Runner, s *spec.Service) float64 {
	f := float64(b.n+b.others) / float64(max(r.Room, 1))
	if s.Engine != nil {
		f = max(f, float64(b.tokens+b.otherTokens)/float64(s.Engine.CacheTokens))
	}
	return f
}

func (a *Ask) fresh(c *cand) bool {
	return !c.cold || c.b.mayCold(a.Service.ColdRate, a.Shares(c.r))
}

func (l *Load) keyed(a Ask, cs []cand, home bool, bound float64) *cand {
	var best *cand
	var top uint64
	for i := range cs {
		c := &cs[i]
		if (c.r.Zone == a.Zone) != home || c.g > bound || c.f >= 1 || c.cold {
			continue
		}
		if h := weigh(a.Key, c.r.ID); best == nil || h > top {
			best, top = c, h
		}
	}
	return best
}

// parted finds the least busy of the few runners that a shared part points to.
func (l *Load) parted(a Ask, cs []cand, home bool, bound float64) *cand {
	type at struct {
		c *cand
		h uint64
	}
	var top []at
	for i := range cs {
		c := &cs[i]
		if (c.r.Zone == a.Zone) != home || c.g > bound || c.f >= 1 || c.cold {
			continue
		}
		top = append(top, at{c, weigh(a.Part, c.r.ID)})
	}
	slices.SortFunc(top, func(a, b at) int { return cmp.Compare(b.h, a.h) })
	var best *cand
	for _, t := range top[:min(near, len(top))] {
		if best == nil || t.c.weight() < best.weight() {
			best = t.c
		}
	}
	return best
}

// weight is a runner's load in the eyes of a new program.
func (c *cand) weight() float64 {
	return c.g + float64((unread-1)*c.b.early)/float64(max(c.r.Room, 1))
}

// least finds the least busy; of equals one of this zone, then any.
func (l *Load) least(a Ask, cs []cand) *cand {
	for len(cs) > 0 {
		best, n := -1, 0
		top := 0.0
		for i := range cs {
			f := cs[i].g
			if cs[i].r.Zone != a.Zone {
				f += 0.5 / float64(max(cs[i].r.Room, 1))
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
		if a.fresh(&cs[best]) {
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
