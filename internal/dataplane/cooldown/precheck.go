package cooldown

import (
	"time"

	"damsontiller/internal/dataplane/request/job"
	"damsontiller/internal/transport/code"
)

// Precheck refuses a job before anything is written if all runners that could serve it are known
// to be in cooldown for longer than the job can wait.
type Precheck struct {
	Manager *Manager
	// Keys returns the cooldown keys of the runners that could serve the job.
	Keys func(*job.Ctx) []string
}

// Do implements job.Policy.
func (precheck Precheck) Do(c *job.Ctx, next job.Next) job.Answer {
	shortest := time.Duration(-1)
	for _, key := range precheck.Keys(c) {
		if wait := precheck.Manager.KnownWait(key); shortest < 0 || wait < shortest {
			shortest = wait
		}
	}
	if shortest > 0 && !c.Fits(shortest, precheck.Manager.params.CallTime) {
		return CoolingAnswer(shortest)
	}
	return next(c)
}

// CoolingAnswer returns a refusal that tells the caller how long to wait before a retry.
func CoolingAnswer(wait time.Duration) job.Answer {
	answer := job.Failure(code.Cooling, "cooling down for %d ms", wait.Milliseconds())
	answer.Wait, answer.Since = wait, time.Now()
	return answer
}
