package cooldown

import (
	"time"

	"damsontiller/internal/dataplane/request/job"
	"damsontiller/internal/transport/code"
)

// Precheck refuses at once, before anything is written, a job whose every runner
// is known to be cooling for longer than the job can wait.
type Precheck struct {
	Manager *Manager
	// Keys lists the cooldown keys that could serve the job.
	Keys func(*job.Ctx) []string
}

// Do is the policy.
func (p Precheck) Do(c *job.Ctx, next job.Next) job.Answer {
	least := time.Duration(-1)
	for _, k := range p.Keys(c) {
		if w := p.Manager.KnownWait(k); least < 0 || w < least {
			least = w
		}
	}
	if least > 0 && !c.Fits(least, p.Manager.params.CallTime) {
		return CoolingAnswer(least)
	}
	return next(c)
}

// CoolingAnswer is the answer that tells when to come back.
func CoolingAnswer(w time.Duration) job.Answer {
	a := job.Failure(code.Cooling, "cooling down for %d ms", w.Milliseconds())
	a.Wait, a.Since = w, time.Now()
	return a
}
