// Package backlog queues jobs until a runner has a free slot, ordered by class and,
// within a class, by deadline.
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

// Params are the limits and intervals of a Backlog.
type Params struct {
	MaxWaiting int           // maximum number of waiting jobs
	Tick       time.Duration // between two checks of deadlines and cooldowns
	CallTime   time.Duration // minimum time that a call needs before its deadline
}

// DefaultParams are the defaults for an edge node.
var DefaultParams = Params{MaxWaiting: 1024, Tick: 10 * time.Millisecond, CallTime: 50 * time.Millisecond}

// waiter is a queued job and the channel that receives its result.
type waiter struct {
	c      *job.Ctx
	result chan dispatch
}

// dispatch is the result of a waiting job: an acquired slot, or an error answer.
type dispatch struct {
	kind slots.Kind
	err  job.Answer
	ok   bool
}

// Backlog queues jobs in Do; Run dispatches them to slots.
type Backlog struct {
	params         Params
	directory      *balancer.Directory
	selector       *policy.Selector
	slots          *slots.Table
	incoming       chan *waiter  // nil triggers another pass without a new job
	ended          chan struct{} // closed once Run has ended and dispatches nothing more
	waiting        atomic.Int64
	stop           atomic.Bool
	mu             sync.Mutex
	waitingByRoute map[string]int32         // number of waiting jobs by route
	callTimes      map[string]time.Duration // moving average by route
	// list (sorted) and rates (by route) are used by the Run goroutine only.
	list  []*waiter
	rates map[string]*dispatchRate
}

// New returns an empty backlog.
func New(p Params, dir *balancer.Directory, table *slots.Table, pol *policy.Selector) *Backlog {
	return &Backlog{
		params:         p,
		directory:      dir,
		slots:          table,
		selector:       pol,
		incoming:       make(chan *waiter, p.MaxWaiting),
		ended:          make(chan struct{}),
		waitingByRoute: map[string]int32{},
		callTimes:      map[string]time.Duration{},
		rates:          map[string]*dispatchRate{},
	}
}

// Len returns the number of waiting jobs.
func (b *Backlog) Len() int { return int(b.waiting.Load()) }

// Waiting returns the number of waiting jobs by route.
func (b *Backlog) Waiting() map[string]int32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.waitingByRoute)
}

// addWaiting adds delta to the number of waiting jobs of a route.
func (b *Backlog) addWaiting(route string, delta int32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waitingByRoute[route] += delta; b.waitingByRoute[route] == 0 {
		delete(b.waitingByRoute, route)
	}
}

// callTimeWeight is the divisor for the weight of the latest call in the moving average.
const callTimeWeight = 8

// recordCall adds a call to the moving average of call durations of its route.
func (b *Backlog) recordCall(route string, duration time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if average, ok := b.callTimes[route]; ok {
		duration = average + (duration-average)/callTimeWeight
	}
	b.callTimes[route] = duration
}

// callTime returns the average duration of calls of a route, or 0 if there has been none.
func (b *Backlog) callTime(route string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.callTimes[route]
}

// Notify triggers another pass over the waiting jobs, after slots were assigned or released.
func (b *Backlog) Notify() {
	select {
	case b.incoming <- nil:
	default:
		// The channel is full, so further passes follow anyway.
	}
}

// Stop rejects all waiting and all further jobs.
func (b *Backlog) Stop() {
	b.stop.Store(true)
	b.Notify()
}

// Run dispatches jobs until ctx ends, then rejects all that still wait.
func (b *Backlog) Run(ctx context.Context) {
	loop.Consume(ctx, b.incoming, b.params.Tick, b.match, func(w *waiter) {
		if w != nil {
			i, _ := slices.BinarySearchFunc(b.list, w, order)
			b.list = slices.Insert(b.list, i, w)
		}
		b.match()
	})
	b.stop.Store(true)
	b.match()
	close(b.ended)
}

// await hands a job to Run and waits for its result. Jobs that Run has not taken when it ends are
// rejected here.
func (b *Backlog) await(w *waiter) dispatch {
	select {
	case b.incoming <- w:
	case <-b.ended:
		return dispatch{err: stopping}
	}
	select {
	case result := <-w.result:
		return result
	case <-b.ended:
	}
	select {
	case result := <-w.result:
		return result
	default:
		return dispatch{err: stopping}
	}
}

// order compares two waiting jobs by class, policy order and deadline.
func order(a, b *waiter) int {
	if a.c.Priority != b.c.Priority {
		return a.c.Priority - b.c.Priority
	}
	// The class priority set by the operators precedes the order given by the policy.
	if a.c.Order != b.c.Order {
		return cmp.Compare(a.c.Order, b.c.Order)
	}
	return a.c.AnswerBy.Compare(b.c.AnswerBy)
}

// stopping is the answer to jobs that are rejected because the node is shutting down.
var stopping = job.Answer{Err: code.New(code.Stopping, "this node stops, ask another"), Wait: time.Second}

// dispatchRate measures the rate at which jobs of a route are dispatched while some of
// them wait.
type dispatchRate struct {
	since      time.Time
	dispatched float64
}

// A rate is only used once it has been observed over minRateSpan and minRateJobs. A span longer
// than maxRateSpan is shortened to half of maxRateSpan at the same rate, so that later dispatches
// have more weight.
const (
	minRateSpan = 500 * time.Millisecond
	minRateJobs = 4
	maxRateSpan = 4 * time.Second
)

// turnAfter estimates the time until a job is dispatched that has the given number of jobs
// ahead of it. It reports false while the rate is unknown.
func (rate *dispatchRate) turnAfter(waiting int, now time.Time) (time.Duration, bool) {
	span := now.Sub(rate.since)
	if span > maxRateSpan {
		rate.since, rate.dispatched = now.Add(-maxRateSpan/2), rate.dispatched*float64(maxRateSpan/2)/float64(span)
		span = maxRateSpan / 2
	}
	if span < minRateSpan || rate.dispatched < minRateJobs {
		return 0, false
	}
	return time.Duration(float64(span) * float64(waiting+1) / rate.dispatched), true
}

// rejectLate rejects a job immediately if, at the current dispatch rate, it can't be
// dispatched before its deadline; the answer's wait is the time by which the deadline
// would be missed. If the job were kept, it could take the slot of a job that can still be served.
func (b *Backlog) rejectLate(c *job.Ctx, waiting int, now time.Time) (job.Answer, bool) {
	rate := b.rates[c.Route]
	if rate == nil {
		b.rates[c.Route] = &dispatchRate{since: now}
		return job.Answer{}, false
	}
	wait, ok := rate.turnAfter(waiting, now)
	if !ok || c.Fits(wait, b.params.CallTime) {
		return job.Answer{}, false
	}
	a := job.Failure(
		code.TooLong,
		"%d jobs are before it, and its turn would come in %s",
		waiting,
		wait.Round(100*time.Millisecond),
	)
	a.Wait = wait - c.Left()
	return a, true
}

// match dispatches or rejects the waiting jobs in order, as slots and deadlines allow.
func (b *Backlog) match() {
	type demand struct {
		route  string
		urgent bool
	}
	shortages := map[demand]shortage{} // demands that can't be met in this pass
	now, waiting := time.Now(), map[string]int{}
	b.list = slices.DeleteFunc(b.list, func(w *waiter) bool {
		c := w.c
		result, done := dispatch{}, true
		key := demand{c.Route, c.Urgent}
		switch {
		case b.stop.Load():
			result.err = stopping
		case c.Err() != nil:
			result.err = job.Failure(code.DeadlinePassed, "the caller has disconnected")
		case c.Left() < b.params.CallTime:
			result.err = job.Failure(code.DeadlinePassed, "no slot was free in time")
		default:
			short, known := shortages[key]
			if !known {
				c.Runner, result.kind, result.ok, short = b.pick(c)
			}
			switch {
			case result.ok:
				if rate := b.rates[c.Route]; rate != nil {
					rate.dispatched++
				}
			case short.cooldown < 0:
				result.err = job.Failure(code.NoRunner, "no runner is left for %s", c.Route)
				result.err.Wait = time.Second
			case short.cooldown > 0 && !c.Fits(short.turnAfter(waiting[c.Route]), b.params.CallTime):
				// A wait that exceeds the deadline is reported immediately. The answer states
				// the runners' cooldown without the time in the queue, since callers expect the
				// cooldown.
				result.err = cooldown.CoolingAnswer(short.cooldown)
			default:
				shortages[key] = short
				if short.cooldown > 0 {
					// No job is dispatched while all runners cool down, so this time must not
					// count towards the dispatch rate afterwards.
					b.rates[c.Route] = &dispatchRate{since: now}
				}
				result.err, done = b.rejectLate(c, waiting[c.Route], now)
			}
		}
		if !done {
			waiting[c.Route]++
		}
		if done {
			w.result <- result
		}
		return done
	})
	for route := range b.rates {
		if waiting[route] == 0 {
			// With no job waiting, the rate is that of the callers and not of the runners.
			delete(b.rates, route)
		}
	}
}

// Do waits for a slot, runs next and releases the slot only after next has returned,
// which includes the installation of a cooldown.
func (b *Backlog) Do(c *job.Ctx, next job.Next) (a job.Answer) {
	if b.waiting.Add(1) > int64(b.params.MaxWaiting) {
		b.waiting.Add(-1)
		a = job.Failure(code.BacklogFull, "%d jobs wait already", b.params.MaxWaiting)
		a.Wait = time.Second
		return a
	}
	c.Order = b.selector.Order(c)
	w := &waiter{c: c, result: make(chan dispatch, 1)}
	if b.stop.Load() {
		b.waiting.Add(-1)
		return stopping
	}
	b.addWaiting(c.Route, 1)
	result := b.await(w)
	b.addWaiting(c.Route, -1)
	b.waiting.Add(-1)
	if !result.ok {
		return result.err
	}
	r, startedAt := c.Runner, time.Now()
	defer func() {
		if a.Err == nil {
			b.recordCall(c.Route, time.Since(startedAt))
		}
		b.directory.Finished(r, a)
		b.slots.Release(r.Index, r.Incarnation, result.kind)
		b.Notify()
	}()
	return next(c)
}
