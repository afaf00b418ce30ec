package proxy

import (
	"context"
	"time"

	"damsontiller/internal/dataplane/quota"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// Quotas keeps each tenant within its quota over all nodes.
type Quotas struct {
	node        *quota.Node
	startupWait time.Duration
}

// NewQuotas makes the policy; params are those of the node.
func NewQuotas(node *quota.Node, params quota.Params) *Quotas {
	return &Quotas{node: node, startupWait: params.StartupWait}
}

// Do is the policy.
func (quotas *Quotas) Do(j *Job, response *Response, next Next) Answer {
	if j.Tenant == nil || j.Tenant.RatePerS <= 0 {
		return next(j, response)
	}
	if !quotas.waitForCounts(j) {
		err := code.New(code.NotReady, "this node has not heard yet what others have admitted")
		return Refuse(err, 200*time.Millisecond)
	}
	decision := quotas.node.Admit(quota.Request{
		Tenant:  j.Tenant.Name,
		Limit:   quota.Limit{RatePerS: j.Tenant.RatePerS, Burst: j.Tenant.Burst},
		Program: j.Program,
		// Programs begin with a turn that goes on from none.
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

// waitForCounts waits a moment for a node that has just come up.
func (quotas *Quotas) waitForCounts(j *Job) bool {
	select {
	case <-quotas.node.Ready():
		return true
	default:
	}
	ctx, stop := context.WithTimeout(j, min(quotas.startupWait, j.TimeLeft()/2))
	defer stop()
	return loop.Until(ctx, quotas.node.Ready())
}
