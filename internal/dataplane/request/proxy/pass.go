package proxy

import (
	"time"

	"damsontiller/internal/dataplane/request/retry"
	"damsontiller/internal/transport/code"
)

// attemptResult is what became of one send.
type attemptResult struct {
	outcome retry.Outcome
	good    bool // of an answered one: a success
	sent    bool // a byte may have been sent
	err     error
	wait    time.Duration // when the caller may come back, of a job that did not run
	// final: of a job that did not run, no other runner may be sent it either.
	final bool
	// underWay: the runners have another request of the job's operation under way.
	underWay bool
}

// attempts are those of one job so far.
type attempts struct {
	tried map[string]bool // runners
	count int             // that a byte of it may have reached
	ran   bool            // it may have run at one of them
}

// recordAttempt adds a send without an answer.
func (s *attempts) recordAttempt(x attemptResult) {
	if x.sent {
		s.count++
	}
	if x.outcome != retry.NotRun {
		s.ran = true
	}
}

// withoutNotRun takes the promise out of a refusal where an earlier send may have run.
func (s *attempts) withoutNotRun(a Answer) Answer {
	if s.ran && a.NotRun() {
		return Answer{Err: code.New(code.OutcomeUnknown, "an earlier send may have run; then: %s", code.Text(a.Err))}
	}
	return a
}

// forward is the end of the way: pick, send, and the outcome of it.
func (handler *Handler) forward(j *Job, w *Response) Answer {
	s := &attempts{tried: map[string]bool{}}
	for {
		r, a := handler.selectRunner(j, s.tried)
		if r == nil {
			return s.withoutNotRun(a)
		}
		admitted, ok := handler.parts.Cooldowns.Admit(j, cooldownKey(r), j.TimeLeft())
		if !ok {
			continue
		}
		s.tried[r.ID] = true
		x := handler.send(j, w, r, admitted)
		if x.outcome == retry.Answered {
			return Answer{Success: x.good}
		}
		if x.underWay && j.waitForOperation() {
			// It may be asked of the same runner again.
			delete(s.tried, r.ID)
			continue
		}
		s.recordAttempt(x)
		if x.final || x.underWay || !mayResend(j, w, s, x.outcome) {
			return handler.unserved(j, s, x)
		}
	}
}

// mayResend is the one place that decides whether a job goes to another runner: by what
// is known of the last send, by the table's bound on runners, by the time left, and by
// what the caller has been handed already.
func mayResend(j *Job, w *Response, s *attempts, last retry.Outcome) bool {
	switch {
	case !retry.Allowed(last, j.Repeatable()):
		return false
	case j.Path.Tries > 0 && s.count >= j.Path.Tries:
		return false
	case j.TimeLeft() <= 0 || j.Err() != nil:
		return false
	}
	return w.canResume(j.Path.Resumable)
}

// unserved is the answer to a job that is not sent again.
func (handler *Handler) unserved(j *Job, s *attempts, last attemptResult) Answer {
	if last.outcome != retry.NotRun {
		return Answer{Err: last.err}
	}
	if _, all := handler.cooling(j, nil); code.Of(last.err) == code.RunnerDrop {
		last.wait = max(all, refusedWait)
	}
	return s.withoutNotRun(Refuse(last.err, last.wait))
}
