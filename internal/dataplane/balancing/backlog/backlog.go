// Package backlog holds jobs until a runner has a slot for them: by class, and
// within a class by deadline.
package backlog

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"damsontiller/internal/dataplane/balancing/balancer"
	"damsontiller/internal/dataplane/balancing/policy"
	"damsontiller/internal/dataplane/balancing/slots"
	"damsontiller/internal/dataplane/cooldown"
	"damsontiller/internal/dataplane/request/job"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// Params bound the backlog.
type Params struct {
	Most     int           // jobs waiting
	Tick     time.Duration // between checks deadlines and cooldowns
	CallTime time.Duration // what a call itself needs
}

// DefaultParams suit an edge machine.
var DefaultParams = Params{Most: 1024, Tick: 10 * time.Millisecond, CallTime: 50 * time.Millisecond}

type waiter struct {
	c   *job.Ctx
	got chan picked
}

type picked struct {
	kind slots.Kind
	err  job.Answer
	ok   bool
}

// Backlog is the policy; Run hands out slots.
type Backlog struct {
	p         Params
	directory *balancer.Directory
	selector  *policy.Selector
	slots     *slots.Table
	in        chan *waiter // a nil one only asks to check again
	n         atomic.Int64
	stop      atomic.Bool
	mu        sync.Mutex
	by        map[string]int32         // waiting, by route
	callTimes map[string]time.Duration // of late, by route
	// list, in order, and pace, by route, are the runner goroutine's own.
	list []*waiter
	pace map[string]*pace
}

// New makes a backlog.
func New(p Params, dir *balancer.Directory, table *slots.Table, pol *policy.Selector) *Backlog {
	return &Backlog{
		p:         p,
		directory: dir,
		slots:     table,
		selector:  pol,
		in:        make(chan *waiter, p.Most),
		by:        map[string]int32{},
		callTimes: map[string]time.Duration{},
		pace:      map[string]*pace{},
	}
}

// Len is how many jobs wait.
func (b *Backlog) Len() int { return int(b.n.Load()) }

// Waiting is how many jobs wait for each route's runners.
func (b *Backlog) Waiting() map[string]int32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.by)
}

func (b *Backlog) count(route string, d int32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.by[route] += d; b.by[route] == 0 {
		delete(b.by, route)
	}
}

// callTimeWeight is the part of the average that the last call makes up, as a divisor.
const callTimeWeight = 8

// recordCall averages how long the calls of a route take.
func (b *Backlog) recordCall(route string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if average, ok := b.callTimes[route]; ok {
		took = average + (took-average)/callTimeWeight
	}
	b.callTimes[route] = took
}

// callTime is how long the calls of a route take on average; 0 while none has been made.
func (b *Backlog) callTime(route string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.callTimes[route]
}

// Notify asks to check again: slots were assigned or given back.
func (b *Backlog) Notify() {
	select {
	case b.in <- nil:
	default:
		// It is full of work to check already.
	}
}

// Stop answers all that waits, now and later.
func (b *Backlog) Stop() {
	b.stop.Store(true)
	b.Notify()
}

// Run is the backlog's own goroutine.
func (b *Backlog) Run(ctx context.Context) {
	loop.Take(ctx, b.in, b.p.Tick, b.match, func(w *waiter) {
		if w != nil {
			i, _ := slices.BinarySearchFunc(b.list, w, order)
			b.list = slices.Insert(b.list, i, w)
		}
		b.match()
	})
	b.stop.Store(true)
	b.match()
	for {
		select {
		case w := <-b.in:
			if w != nil {
				w.got <- picked{err: stopping}
			}
		default:
			return
		}
	}
}

func order(a, b *waiter) int {
	if a.c.Priority != b.c.Priority {
		return a.c.Priority - b.c.Priority
	}
	// The operators' order of classes goes first; within one, a policy's.
	if a.c.Order != b.c.Order {
		return cmp.Compare(a.c.Order, b.c.Order)
	}
	return a.c.AnswerBy.Compare(b.c.AnswerBy)
}

var stopping = job.Answer{Err: code.New(code.Stopping, "this node stops, ask another"), Wait: time.Second}

// pace is how fast the jobs of a route go since some of them have had to wait.
type pace struct {
	since time.Time
	n     float64
}

// least is how long and how many jobs a pace must be seen over to be one.
const (
	leastSpan = 500 * time.Millisecond
	leastJobs = 4
	mostSpan  = 4 * time.Second // then the older half counts half
)

// after tells when a job with so many before it would have its turn.
func (p *pace) after(waiting int, now time.Time) (time.Duration, bool) {
	span := now.Sub(p.since)
	if span > mostSpan {
		p.since, p.n = now.Add(-mostSpan/2), p.n*float64(mostSpan/2)/float64(span)
		span = mostSpan / 2
	}
	if span < leastSpan || p.n < leastJobs {
		return 0, false
	}
	return time.Duration(float64(span) * float64(waiting+1) / p.n), true
}

// hopeless answers a job at once that can't be reached in time by the present
// pace, and tells when its turn would have come. Held on, it would only take the
// turn of one that can.
func (b *Backlog) hopeless(c *job.Ctx, waiting int, now time.Time) (job.Answer, bool) {
	p := b.pace[c.Route]
	if p == nil {
		b.pace[c.Route] = &pace{since: now}
		return job.Answer{}, false
	}
	d, ok := p.after(waiting, now)
	if !ok || c.Fits(d, b.p.CallTime) {
		return job.Answer{}, false
	}
	a := job.Failure(
		code.TooLong,
		"%d jobs are before it, and its turn would come in %s",
		waiting,
		d.Round(100*time.Millisecond),
	)
	a.Wait = d - c.Left()
	return a, true
}

// match goes through the jobs in order and gives each what it can have.
func (b *Backlog) match() {
	type need struct {
		route  string
		urgent bool
	}
	none := map[need]shortage{} // needs that can't be met now
	now, waiting := time.Now(), map[string]int{}
	b.list = slices.DeleteFunc(b.list, func(w *waiter) bool {
		c := w.c
		e, over := picked{}, true
		n := need{c.Route, c.Urgent}
		switch {
		case b.stop.Load():
			e.err = stopping
		case c.Err() != nil:
			e.err = job.Failure(code.DeadlinePassed, "the caller has disconnected")
		case c.Left() < b.p.CallTime:
			e.err = job.Failure(code.DeadlinePassed, "no slot was free in time")
		default:
			short, known := none[n]
			if !known {
				c.Runner, e.kind, e.ok, short = b.pick(c)
			}
			switch {
			case e.ok:
				if p := b.pace[c.Route]; p != nil {
					p.n++
				}
			case short.cooldown < 0:
				e.err = job.Failure(code.NoRunner, "no runner is left for %s", c.Route)
				e.err.Wait = time.Second
			case short.cooldown > 0 && !c.Fits(short.turnAfter(waiting[c.Route]), b.p.CallTime):
				// A wait that can't fit is reported at once. What is told is how long the
				// runners cool, since callers take it for that.
				e.err = cooldown.CoolingAnswer(short.cooldown)
			default:
				none[n] = short
				if short.cooldown > 0 {
					// While all runners cool nothing can go, which says nothing about the
					// pace at which jobs go afterwards.
					b.pace[c.Route] = &pace{since: now}
				}
				e.err, over = b.hopeless(c, waiting[c.Route], now)
			}
		}
		if !over {
			waiting[c.Route]++
		}
		if over {
			w.got <- e
		}
		return over
	})
	for route := range b.pace {
		if waiting[route] == 0 {
			// Nobody waits: from here on the pace is the callers', not ours.
			delete(b.pace, route)
		}
	}
}

// Do is the policy: it waits for a slot, and gives it back only once the rest
// of the way, a cooldown's installing included, is done.
func (b *Backlog) Do(c *job.Ctx, next job.Next) (a job.Answer) {
	if b.n.Add(1) > int64(b.p.Most) {
		b.n.Add(-1)
		a = job.Failure(code.BacklogFull, "%d jobs wait already", b.p.Most)
		a.Wait = time.Second
		return a
	}
	c.Order = b.selector.Order(c)
	w := &waiter{c: c, got: make(chan picked, 1)}
	if b.stop.Load() {
		b.n.Add(-1)
		return stopping
	}
	b.count(c.Route, 1)
	b.in <- w
	e := <-w.got
	b.count(c.Route, -1)
	b.n.Add(-1)
	if !e.ok {
		return e.err
	}
	r, began := c.Runner, time.Now()
	defer func() {
		if a.Err == nil {
			b.recordCall(c.Route, time.Since(began))
		}
		b.directory.Finished(r, a)
		b.slots.Release(r.Index, r.Incarnation, e.kind)
		b.Notify()
	}()
	return next(c)
}
