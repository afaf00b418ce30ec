package proxy

import (
	"time"

	"damsontiller/internal/dataplane/request/retry"
	"damsontiller/internal/transport/code"
)

// attemptResult is what became of one send.
type attemptResult struct {
	outcome    retry.Outcome
	success    bool // of an answered one: a success
	sent       bool // a byte may have been sent
	err        error
	retryAfter time.Duration // when the caller may come back, of a job that did not run
	// final: of a job that did not run, no other runner may be sent it either.
	final bool
	// underWay: the runners have another request of the job's operation under way.
	inProgress bool
}

// attempts are those of one job so far.
type attempts struct {
	tried      map[string]bool // runners
	sentCount  int             // that a byte of it may have reached
	mayHaveRun bool            // it may have run at one of them
}

// recordAttempt adds a send without an answer.
func (s *attempts) recordAttempt(result attemptResult) {
	if result.sent {
		s.sentCount++
	}
	if result.outcome != retry.NotRun {
		s.mayHaveRun = true
	}
}

// withoutNotRun takes the promise out of a refusal where an earlier send may have run.
func (s *attempts) downgradeRefusal(answer Answer) Answer {
	if s.mayHaveRun && answer.NotRun() {
		return Answer{Err: code.New(code.OutcomeUnknown, "an earlier send may have run; then: %s", code.Text(answer.Err))}
	}
	return answer
}

// forward is the end of the way: pick, send, and the outcome of it.
func (handler *Handler) forward(j *Job, response *Response) Answer {
	history := &attempts{tried: map[string]bool{}}
	for {
		runner, refusal := handler.selectRunner(j, history.tried)
		if runner == nil {
			return history.downgradeRefusal(refusal)
		}
		admitted, ok := handler.dependencies.Cooldowns.Admit(j, cooldownKey(runner), j.TimeLeft())
		if !ok {
			continue
		}
		history.tried[runner.ID] = true
		result := handler.send(j, response, runner, admitted)
		if result.outcome == retry.Answered {
			return Answer{Success: result.success}
		}
		if result.inProgress && j.waitForOperation() {
			// It may be asked of the same runner again.
			delete(history.tried, runner.ID)
			continue
		}
		history.recordAttempt(result)
		if result.final || result.inProgress || !mayResend(j, response, history, result.outcome) {
			return handler.failedAnswer(j, history, result)
		}
	}
}

// mayResend is the one place that decides whether a job goes to another runner: by what
// is known of the last send, by the table's bound on runners, by the time left, and by
// what the caller has been handed already.
func mayResend(j *Job, response *Response, history *attempts, last retry.Outcome) bool {
	switch {
	case !retry.Allowed(last, j.Repeatable()):
		return false
	case j.Path.Tries > 0 && history.sentCount >= j.Path.Tries:
		return false
	case j.TimeLeft() <= 0 || j.Err() != nil:
		return false
	}
	return response.canResume(j.Path.Resumable)
}

// unserved is the answer to a job that is not sent again.
func (handler *Handler) failedAnswer(j *Job, history *attempts, last attemptResult) Answer {
	if last.outcome != retry.NotRun {
		return Answer{Err: last.err}
	}
	if _, wait := handler.cooldownWaits(j, nil); code.Of(last.err) == code.RunnerDrop {
		last.retryAfter = max(wait, refusalRetryAfter)
	}
	return history.downgradeRefusal(Refuse(last.err, last.retryAfter))
}
