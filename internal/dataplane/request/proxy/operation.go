package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"damsontiller/internal/coordination/storeclient"
	"damsontiller/internal/dataplane/request/job"
	"damsontiller/internal/proto/keys"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// Operations runs each operation of a keyed path once, on whichever nodes its requests arrive. The
// first request claims the operation at the stores before it is forwarded; later requests find the
// claim. The response to a repeated request depends on the service:
//
//   - Runners that deduplicate keep the outcome themselves. The claim binds repeated requests to
//     the service of the first one, even if the route table has changed since, and the runners'
//     own table answers them.
//   - For all other services the claim also holds the outcome, which is recorded before the first
//     caller receives it. An operation with an unknown outcome is never sent again.
//
// Invariant: a request is forwarded only by the owner of the claim, or to the deduplicating service
// named in the claim.
type Operations struct {
	stores     *storeclient.Client
	members    func() []*wire.Member
	self       *wire.Member
	headers    Headers
	params     OperationParams
	background job.Background
}

// OperationParams are the timeouts and intervals of the operations policy.
type OperationParams struct {
	ClaimTimeout  time.Duration // for claiming an operation
	RecordTimeout time.Duration // for recording an outcome before the caller receives it
	RetryInterval time.Duration // between two background attempts at writing an outcome
}

// DefaultOperations are the default parameters of the operations policy.
var DefaultOperations = OperationParams{
	ClaimTimeout:  800 * time.Millisecond,
	RecordTimeout: time.Second,
	RetryInterval: 500 * time.Millisecond,
}

// A request whose operation is in progress elsewhere polls the claim for a limited time, since the
// other request will most likely end soon. Then it is refused, with the time to retry after.
const (
	inProgressMaxWait      = time.Second
	inProgressPollInterval = 50 * time.Millisecond
	inProgressRetryAfter   = 150 * time.Millisecond
)

// NewOperations returns the policy that runs each operation once.
func NewOperations(
	params OperationParams,
	stores *storeclient.Client,
	members func() []*wire.Member,
	self *wire.Member,
	headers Headers,
	background job.Background,
) *Operations {
	return &Operations{
		stores:     stores,
		members:    members,
		self:       self,
		headers:    headers,
		params:     params,
		background: background,
	}
}

// operationState is the progress of an operation.
type operationState string

const (
	operationFree    operationState = ""        // not claimed, or known not to have run
	operationStarted operationState = "started" // its owner may forward it
	operationDone    operationState = "done"    // Reply is its outcome
	operationUnknown operationState = "unknown" // it may have run, with an unknown outcome
)

// operation is the claim record at the stores.
type operation struct {
	State operationState `json:"state"`
	// Owner is a random id of the claiming request; Node and Incarnation identify the process that
	// received it.
	Owner        string          `json:"owner,omitempty"`
	Node         string          `json:"node,omitempty"`
	Incarnation  uint64          `json:"incarnation,omitempty"`
	Service      string          `json:"service,omitempty"`
	Deduplicates bool            `json:"deduplicates,omitempty"` // the service's runners keep the outcome
	Reply        *operationReply `json:"reply,omitempty"`
}

// operationReply is a recorded response.
type operationReply struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

func readOperation(state register.State) (operation, error) {
	var decoded operation
	if state.Expired || len(state.Value) == 0 {
		// An expired operation may run again.
		return decoded, nil
	}
	if err := json.Unmarshal(state.Value, &decoded); err != nil {
		return decoded, code.New(code.Garbled, "operation: %w", err)
	}
	return decoded, nil
}

// deduplicated reports whether the runners themselves answer repeated requests of a job's
// operation.
func (j *Job) deduplicated() bool {
	return j.Path.Kind == spec.Keyed && j.OperationKey != "" && j.Service != nil && j.Service.Deduplicates
}

// waitForOperation waits one poll interval before a job is retried whose operation is in progress
// elsewhere. It returns false if the job has waited long enough or is canceled.
func (j *Job) waitForOperation() bool {
	maxWait := min(inProgressMaxWait, j.ResponseDeadline.Sub(j.Arrived)/2)
	return time.Since(j.Arrived)+inProgressPollInterval < maxWait && loop.Wait(j, inProgressPollInterval)
}

// Do claims the job's operation and forwards the job, or answers it from the existing claim.
func (operations *Operations) Do(j *Job, response *Response, next Next) Answer {
	if j.Path.Kind != spec.Keyed || j.OperationKey == "" {
		return next(j, response)
	}
	owner := strconv.FormatUint(rand.Uint64(), 36)
	for {
		claim, err := operations.claim(j, owner)
		switch {
		case err != nil:
			return Refuse(err, defaultRetryAfter)
		case claim.Owner == owner && claim.State == operationStarted:
			return operations.run(j, response, next, owner)
		case claim.State == operationDone:
			return operations.replayOutcome(j, response, claim.Reply)
		case claim.State == operationUnknown:
			return Answer{Err: code.New(code.OutcomeUnknown, "the operation may have run, its outcome is not known")}
		case claim.Deduplicates && operations.useClaimedService(j, claim):
			return next(j, response)
		case claim.Deduplicates:
			const message = "the path leads no more to the service that ran the operation"
			return Answer{Err: code.New(code.OutcomeUnknown, message)}
		case !operations.ownerAlive(claim):
			return Answer{Err: code.New(code.OutcomeUnknown, "the node that ran the operation has ended")}
		case !j.waitForOperation():
			err := code.New(code.InProgress, "another request of this operation is under way")
			return Refuse(err, inProgressRetryAfter)
		}
	}
}

// errClaimedByOther aborts a change to a claim that another request owns.
var errClaimedByOther = errors.New("the operation is claimed")

// claim claims the operation for this job, or returns the existing claim. If the owner can't be
// determined, the job is not forwarded, and a claim that may have been written is released.
func (operations *Operations) claim(j *Job, owner string) (operation, error) {
	ctx, stop := context.WithTimeout(j, min(operations.params.ClaimTimeout, j.TimeLeft()))
	defer stop()
	encoded, err := json.Marshal(operation{
		State:        operationStarted,
		Owner:        owner,
		Node:         operations.self.Id,
		Incarnation:  operations.self.Inc,
		Service:      j.Service.Name,
		Deduplicates: j.Service.Deduplicates,
	})
	if err != nil {
		return operation{}, err
	}
	var existing operation
	var written register.State
	mayBeClaimed := false
	err = retryAtStores(ctx, func() error {
		written, err = operations.stores.Change(ctx, operations.key(j), func(st register.State) ([]byte, bool, error) {
			var err error
			if existing, err = readOperation(st); err != nil {
				return nil, false, err
			}
			if existing.State != operationFree && existing.Owner != owner {
				return nil, false, errClaimedByOther
			}
			return encoded, false, nil
		})
		mayBeClaimed = mayBeClaimed || code.Of(err) == code.OutcomeUnknown
		return err
	})
	switch {
	case errors.Is(err, errClaimedByOther):
		return existing, nil
	case err == nil:
		return readOperation(written)
	case mayBeClaimed && !j.Service.Deduplicates:
		operations.settle(j, owner, operation{})
	}
	return operation{}, code.New(code.StoresUnreachable, "the operation could not be claimed: %w", err)
}

func (operations *Operations) key(j *Job) string {
	return keys.Operation(j.TenantName(), j.OperationKey)
}

// useClaimedService sends a repeated request to the service of the first one, if that service
// deduplicates and the path still routes to it.
func (operations *Operations) useClaimedService(j *Job, claim operation) bool {
	routesTo := func(s spec.Share) bool { return s.Service == claim.Service && s.Weight > 0 }
	stillRouted := slices.ContainsFunc(j.Path.To, routesTo)
	if !stillRouted {
		return false
	}
	for i := range j.View.Table.Services {
		if s := &j.View.Table.Services[i]; s.Name == claim.Service && s.Deduplicates {
			j.Service = s
			return true
		}
	}
	return false
}

// ownerAlive reports whether the process that claimed an operation is still running.
func (operations *Operations) ownerAlive(claim operation) bool {
	for _, member := range operations.members() {
		if member.Id == claim.Node {
			return member.Live && member.Inc == claim.Incarnation
		}
	}
	return false
}

// run forwards an operation that this job owns, and records its outcome.
func (operations *Operations) run(j *Job, response *Response, next Next, owner string) Answer {
	if j.Service.Deduplicates {
		return next(j, response)
	}
	recorded := false
	response.beforeComplete = func(r *http.Response, body []byte) {
		recorded = true
		operations.record(
			j,
			owner,
			&operationReply{Status: r.StatusCode, Header: endToEndHeaders(r.Header), Body: body},
		)
	}
	answer := next(j, response)
	switch {
	case recorded:
	case answer.NotRun():
		// Releases the claim before the caller receives the refusal. If the stores are
		// unreachable, the release continues in the background.
		operations.settle(j, owner, operation{})
	default:
		operations.settle(j, owner, operation{State: operationUnknown, Owner: owner})
	}
	return answer
}

// endToEndHeaders copies the headers of a response without those of a single connection or attempt.
func endToEndHeaders(header http.Header) http.Header {
	out := http.Header{}
	copyHeaders(out, header)
	return out
}

// record records an outcome, before the caller receives it if the stores are reachable. Unreachable
// stores delay the caller by no more than RecordTimeout: until the outcome is recorded, repeated
// requests are refused as in progress, and none runs.
func (operations *Operations) record(j *Job, owner string, reply *operationReply) {
	operations.settle(j, owner, operation{State: operationDone, Owner: owner, Reply: reply})
}

// settle replaces the claim with the outcome of an operation, if owner still owns it. It returns
// after the write or after RecordTimeout, and then continues in the background.
func (operations *Operations) settle(j *Job, owner string, outcome operation) {
	key := operations.key(j)
	ctx, stop := context.WithTimeout(context.WithoutCancel(j), operations.params.RecordTimeout)
	defer stop()
	if operations.write(ctx, key, owner, outcome) == nil {
		return
	}
	operations.background.Go(func() {
		for attempt := 0; attempt < settleAttempts; attempt++ {
			ctx, stop := context.WithTimeout(operations.background.Ctx, operations.params.RecordTimeout)
			err := operations.write(ctx, key, owner, outcome)
			stop()
			if err == nil || !loop.Wait(operations.background.Ctx, operations.params.RetryInterval) {
				return
			}
		}
	})
}

// settleAttempts limits the background attempts at writing an outcome.
const settleAttempts = 60

// write replaces the claim if owner owns it.
func (operations *Operations) write(ctx context.Context, key, owner string, outcome operation) error {
	err := retryAtStores(ctx, func() error {
		_, err := operations.stores.Change(ctx, key, func(state register.State) ([]byte, bool, error) {
			current, err := readOperation(state)
			if err != nil {
				return nil, false, err
			}
			if current.Owner != owner {
				return nil, false, errClaimedByOther
			}
			encoded, err := json.Marshal(outcome)
			return encoded, false, err
		})
		return err
	})
	if errors.Is(err, errClaimedByOther) {
		return nil
	}
	return err
}

// replayOutcome answers a repeated request with the recorded outcome.
func (operations *Operations) replayOutcome(j *Job, response *Response, reply *operationReply) Answer {
	if reply == nil {
		return Answer{Err: code.New(code.Garbled, "an operation that is done without its answer")}
	}
	header := reply.Header.Clone()
	operations.headers.WriteRepeat(header, j)
	if err := response.replay(reply.Status, header, reply.Body); err != nil {
		return Answer{Err: code.New(code.OutcomeUnknown, "%w", err)}
	}
	return Answer{Success: reply.Status/100 == 2, Repeated: true}
}
