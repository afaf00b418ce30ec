package proxy

import (
	"time"

	"damsontiller/internal/dataplane/request/retry"
	"damsontiller/internal/transport/code"
)

// attemptResult is the outcome of sending a job to one runner.
type attemptResult struct {
	outcome    retry.Outcome
	success    bool // the runner answered with a success status
	sent       bool // at least one byte may have reached the runner
	err        error
	retryAfter time.Duration // when the caller may retry a job that did not run
	// final: the job did not run and must not be sent to another runner.
	final bool
	// inProgress: the runners are already running another request of the job's operation.
	inProgress bool
}

// attempts is the history of the sends of one job.
type attempts struct {
	tried      map[string]bool // by runner id
	sentCount  int             // sends of which at least one byte may have reached a runner
	mayHaveRun bool            // a send may have run the job
}

// recordAttempt adds a send that was not answered.
func (history *attempts) recordAttempt(result attemptResult) {
	if result.sent {
		history.sentCount++
	}
	if result.outcome != retry.NotRun {
		history.mayHaveRun = true
	}
}

// downgradeRefusal replaces a refusal that promises the job did not run, if an earlier send may
// have run it.
func (history *attempts) downgradeRefusal(answer Answer) Answer {
	if history.mayHaveRun && answer.NotRun() {
		return Answer{
			Err: code.New(code.OutcomeUnknown, "an earlier send may have run; then: %s", code.Text(answer.Err)),
		}
	}
	return answer
}

// forward selects a runner, sends the job and handles the outcome. It is the last step after all
// policies.
func (handler *Handler) forward(j *Job, response *Response) Answer {
	history := &attempts{tried: map[string]bool{}}
	for {
		runner, refusal := handler.selectRunner(j, history.tried)
		if runner == nil {
			return history.downgradeRefusal(refusal)
		}
		admitted, ok := handler.deps.Cooldowns.Admit(j, cooldownKey(runner), j.TimeLeft())
		if !ok {
			continue
		}
		history.tried[runner.ID] = true
		result := handler.send(j, response, runner, admitted)
		if result.outcome == retry.Answered {
			return Answer{Success: result.success}
		}
		if result.inProgress && j.waitForOperation() {
			// The same runner may be tried again.
			delete(history.tried, runner.ID)
			continue
		}
		history.recordAttempt(result)
		if result.final || result.inProgress || !mayResend(j, response, history, result.outcome) {
			return handler.failedAnswer(j, history, result)
		}
	}
}

// mayResend is the only place that decides whether a job goes to another runner: by the outcome of
// the last send, the path's limit on attempts, the time left and what the caller has already
// received.
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

// failedAnswer returns the answer to a job that is not sent again.
func (handler *Handler) failedAnswer(j *Job, history *attempts, last attemptResult) Answer {
	if last.outcome != retry.NotRun {
		return Answer{Err: last.err}
	}
	if _, wait := handler.cooldownWaits(j, nil); code.Of(last.err) == code.RunnerDrop {
		last.retryAfter = max(wait, refusalRetryAfter)
	}
	return history.downgradeRefusal(Refuse(last.err, last.retryAfter))
}
