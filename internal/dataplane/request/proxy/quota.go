package proxy

import (
	"context"
	"time"

	"damsontiller/internal/dataplane/quota"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// Quotas enforces each tenant's quota across all nodes.
type Quotas struct {
	node        *quota.Node
	startupWait time.Duration
}

// NewQuotas returns the policy over the node's quota state. params are those of the node.
func NewQuotas(node *quota.Node, params quota.Params) *Quotas {
	return &Quotas{node: node, startupWait: params.StartupWait}
}

// Do admits the job against its tenant's quota. A job that did not run or was answered from a
// record is not counted.
func (quotas *Quotas) Do(j *Job, response *Response, next Next) Answer {
	if j.Tenant == nil || j.Tenant.RatePerS <= 0 {
		return next(j, response)
	}
	if !quotas.waitForCounts(j) {
		err := code.New(code.NotReady, "this node has not heard yet what others have admitted")
		return Refuse(err, defaultRetryAfter)
	}
	decision := quotas.node.Admit(quota.Request{
		Tenant:  j.Tenant.Name,
		Limit:   quota.Limit{RatePerS: j.Tenant.RatePerS, Burst: j.Tenant.Burst},
		Program: j.Program,
		// A stream that does not continue an earlier turn starts a program.
		ProgramStarted: j.PreviousAttempt != "" || j.Path.Kind != spec.Stream,
	})
	if !decision.Admitted {
		err := code.New(code.OverQuota, "tenant %s has sent all that it may for now", j.Tenant.Name)
		return Refuse(err, decision.RetryAfter)
	}
	answer := next(j, response)
	if answer.NotRun() || answer.Repeated {
		quotas.node.Cancel(j.Tenant.Name, decision)
	}
	return answer
}

// waitForCounts waits a limited time for a node that has just started to learn what the other nodes
// have admitted.
func (quotas *Quotas) waitForCounts(j *Job) bool {
	select {
	case <-quotas.node.Ready():
		return true
	default:
	}
	ctx, stop := context.WithTimeout(j, min(quotas.startupWait, j.TimeLeft()/2))
	defer stop()
	return loop.WaitFor(ctx, quotas.node.Ready())
}
