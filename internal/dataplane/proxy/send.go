package proxy

import (
	"context"
	"errors"
	"io"
	"time"

	"damsontiller/internal/dataplane/cooldown"
	"damsontiller/internal/dataplane/endpoints"
	"damsontiller/internal/dataplane/outlier"
	"damsontiller/internal/dataplane/retry"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
)

// unreachableWait is when a caller may come back whose runner could not be dialled.
const unreachableWait = 150 * time.Millisecond

// exchange is one send of a job to a runner, and its answer.
type exchange struct {
	d *Door
	j *Job
	w *Out
	r *endpoints.Runner
	c *conn

	admitted *cooldown.Pass
	fresh    bool      // the caller has seen nothing of an answer yet
	events   int       // passed on before it
	sentAt   time.Time // when the request began to go out
	firstAt  time.Time // when its first event came; zero: none has

	unwatch func() bool   // ends the watch over the deadline; false: it has struck
	rest    time.Duration // how long the connection may be kept; 0: it has no clean end
}

// send passes a job to one runner.
func (d *Door) send(j *Job, w *Out, r *endpoints.Runner, admitted *cooldown.Pass) sending {
	first, done := d.pt.Load.Enter(r.ID, j.In+j.Most)
	defer func() { done(); d.free.tell() }()
	defer admitted.Leave()
	x := &exchange{d: d, j: j, w: w, r: r, admitted: admitted, fresh: !w.begun, events: w.events}
	w.first = func() {
		x.firstAt = time.Now()
		first()
	}
	ctx, stop := context.WithDeadline(j, j.AnswerBy)
	defer stop()
	var err error
	if x.c, err = d.pt.Pool.get(ctx, r, false); err != nil {
		return x.unreachable(ctx, err)
	}
	x.watch(ctx)
	defer x.release()
	return x.do()
}

// unreachable sorts out a failed dial: nothing went out. The runner may be gone, or have
// too many connections.
func (x *exchange) unreachable(ctx context.Context, err error) sending {
	if ctx.Err() == nil {
		x.d.pt.Load.Avoid(x.r.ID, x.d.p.Avoid)
		x.d.pt.Load.Watch.Failure(x.r.ID)
	}
	return sending{outcome: retry.NotRun, wait: unreachableWait, err: code.New(code.NoRunner, "runner %s can't be reached: %w", x.r.ID, err)}
}

// watch lets the connection hear of the deadline, and of a caller that has gone.
func (x *exchange) watch(ctx context.Context) {
	_ = x.c.c.SetDeadline(x.j.AnswerBy)
	x.unwatch = context.AfterFunc(ctx, func() { _ = x.c.c.SetDeadline(time.Unix(1, 0)) })
}

// keep marks the end of an answer as clean: the connection may serve another job.
func (x *exchange) keep(a *reply) {
	if !a.surplus {
		x.rest = x.d.pt.Pool.rest(a.Response)
	}
}

// release gives the connection back after a clean end, and closes it otherwise.
func (x *exchange) release() {
	if !x.unwatch() || x.rest <= 0 {
		x.c.c.Close()
		return
	}
	x.d.pt.Pool.put(x.r, x.c, x.rest)
}

// do writes the request and takes its answer.
func (x *exchange) do() sending {
	if !x.d.may(x.r) {
		return sending{outcome: retry.NotRun, wait: refusedWait, err: code.New(code.NoRunner, "runner %s may not be sent to any more", x.r.ID)}
	}
	q := x.d.request(x.j, x.w, x.r)
	if s, ok := x.stands(); !ok {
		return s
	}
	x.sentAt = time.Now()
	x.w.moved = x.sentAt
	if err := write(x.c.c, q); err != nil {
		return x.lost(err)
	}
	a, err := x.c.answer(q, x.j.Try, x.d.pt.Dialect.Heard)
	if err != nil {
		return x.lost(err)
	}
	return x.take(a)
}

// stands looks right before the first byte whether the job may still go out: an edge that
// slept wakes up here, and nothing goes out past the deadline, nor to a runner that may
// not be sent to any more.
func (x *exchange) stands() (sending, bool) {
	if x.j.Left() <= 0 || x.j.Err() != nil {
		return sending{outcome: retry.NotRun, err: code.New(code.DeadlinePassed, "no time is left")}, false
	}
	if !x.admitted.Stands(x.j, x.j.Left()) {
		wait := x.d.pt.Cool.Seen(coolKey(x.r))
		return sending{outcome: retry.NotRun, wait: wait, err: code.New(code.Cooling, "runner %s cools down", x.r.ID)}, false
	}
	return sending{}, true
}

// take sorts out an answer that names the job. Its body is not closed: that would read it
// to its end, and who is done with an answer early is done with its connection.
func (x *exchange) take(a *reply) sending {
	if a.word.Cold > 0 {
		x.d.pt.Load.Chill(x.r.ID, a.word.Cold)
	}
	if a.word.NotRun || a.word.Other {
		return x.refused(a)
	}
	x.record(a)
	if err := x.unusable(a); err != nil {
		return sending{sent: true, err: err}
	}
	if err := x.handOn(a); err != nil {
		if errors.Is(err, errCaller) {
			return sending{sent: true, err: code.New(code.OutcomeUnknown, "%w", err)}
		}
		return x.lost(err)
	}
	x.keep(a)
	if a.success() {
		x.d.pt.Load.Watch.Good(x.r.ID, x.took())
	}
	return sending{outcome: retry.Answered, good: a.success(), sent: true}
}

// handOn passes an answer to the caller, as it comes or whole.
func (x *exchange) handOn(a *reply) error {
	if x.j.Path.Kind == spec.Stream && a.success() {
		return x.w.stream(a.Response)
	}
	return x.w.whole(a.Response)
}

// record tells cooldowns and outlier detection what an answer says of its runner.
func (x *exchange) record(a *reply) {
	if x.j.View.Spec.Cooldown.Refusal(a.StatusCode) {
		// A rate limit all the same, where it does not say that the job did not run.
		x.d.pt.Cool.Refused(x.j, coolKey(x.r), cooldown.RetryAfter(a.Header))
	}
	if a.success() {
		x.admitted.Good()
		x.w.ran = x.r.ID
	}
	switch {
	case x.ill(a):
		x.d.pt.Load.Watch.Failure(x.r.ID)
	case !a.success():
		x.d.pt.Load.Watch.Good(x.r.ID, outlier.Took{})
	}
}

// took is how long a success took, for outlier detection.
func (x *exchange) took() outlier.Took {
	t := outlier.Took{Path: x.j.Path.Name}
	switch n := x.w.events - x.events; {
	case x.firstAt.IsZero() && x.fresh:
		t.First = time.Since(x.sentAt)
	case x.fresh:
		t.First = x.firstAt.Sub(x.sentAt)
		if n > 2 {
			t.Between = x.w.moved.Sub(x.firstAt) / time.Duration(n-1)
		}
	}
	return t
}

// may tells whether a runner may still be sent to: dialling takes a while.
func (d *Door) may(r *endpoints.Runner) bool {
	now := d.pt.Roll.Now().Get(r.ID)
	return now != nil && !now.Leaving && now.Addr == r.Addr && !d.pt.View().Spec.Empty(r.Zone)
}

// maxRefusal bounds what is read past of a refusal, to use its connection again.
const maxRefusal = 64 << 10

// refused sorts out a clear word that the job did not run.
func (x *exchange) refused(a *reply) sending {
	s := x.refusal(a)
	if n, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxRefusal)); err == nil && n < maxRefusal {
		x.keep(a)
	}
	return s
}

// refusal is what a clear word means for the job and for its runner.
func (x *exchange) refusal(a *reply) sending {
	s := sending{outcome: retry.NotRun, sent: true, wait: refusedWait}
	load := x.d.pt.Load
	switch {
	case a.word.Other:
		// Somebody else has the address: the runner is gone.
		load.Avoid(x.r.ID, 10*x.d.p.Avoid)
		s.err = code.New(code.NoRunner, "runner %s is gone from its address", x.r.ID)
	case x.j.View.Spec.Cooldown.Refusal(a.StatusCode):
		s.wait = x.d.pt.Cool.Refused(x.j, coolKey(x.r), cooldown.RetryAfter(a.Header))
		s.err = code.New(code.RunnerDrop, "runner %s refused with status %d", x.r.ID, a.StatusCode)
	default:
		if a.word.Cold == 0 && x.r.ColdMs == 0 && load.Under(x.r, x.j.Service, x.d.p.Idle) {
			// It has room and refuses all the same.
			load.Watch.Failure(x.r.ID)
		}
		load.Avoid(x.r.ID, x.d.p.Avoid/20)
		s.err = code.New(code.NoRunner, "runner %s refused with status %d", x.r.ID, a.StatusCode)
	}
	return s
}

// success tells whether an answer is one.
func (a *reply) success() bool { return a.StatusCode/100 == 2 }
