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

// Operations runs each operation of a keyed path once, whichever nodes its requests reach:
// the first request claims the operation at the stores before it is forwarded, the others
// find the claim. What a repeat gets depends on the service:
//
//   - Runners that deduplicate keep the outcome themselves. The claim holds a repeat to the
//     service that the first went to, whatever the table says by then, and their table answers.
//   - For all others the claim holds the outcome as well, recorded before the first caller gets
//     it. An operation whose outcome nobody knows is never sent again.
//
// Invariant: a request is forwarded only by the owner of the claim, or to the claim's own
// deduplicating service.
type Operations struct {
	stores     *storeclient.Client
	members    func() []*wire.Member
	self       *wire.Member
	headers    Headers
	params     OperationParams
	background job.Background
}

// OperationParams are the times of operations.
type OperationParams struct {
	ClaimTimeout  time.Duration // for claiming one
	RecordTimeout time.Duration // for recording an outcome before its caller gets it
	RetryInterval time.Duration // between two tries at writing down, behind an answer, what became of one
}

// DefaultOperations are the design's.
var DefaultOperations = OperationParams{
	ClaimTimeout:  800 * time.Millisecond,
	RecordTimeout: time.Second,
	RetryInterval: 500 * time.Millisecond,
}

// How long a request waits for another one of its operation, which is most likely about to
// end, and when its caller may come back.
const (
	inProgressMaxWait      = time.Second
	inProgressPollInterval = 50 * time.Millisecond
	inProgressRetryAfter   = 150 * time.Millisecond
)

// NewOperations makes the keeper of operations.
func NewOperations(
	params OperationParams,
	stores *storeclient.Client,
	members func() []*wire.Member,
	self *wire.Member,
	headers Headers,
	background job.Background,
) *Operations {
	return &Operations{stores: stores, members: members, self: self, headers: headers, params: params, background: background}
}

// operationState is how far an operation is.
type operationState string

const (
	operationFree    operationState = ""        // nobody has claimed it, or it surely did not run
	operationStarted operationState = "started" // its owner may forward it
	operationDone    operationState = "done"    // Reply is its outcome
	operationUnknown operationState = "unknown" // it may have run, and nobody knows how it ended
)

// operation is the claim at the stores.
type operation struct {
	State operationState `json:"state"`
	// Owner is drawn anew by each request that claims; Node and Incarnation are those of the
	// process that it came through.
	Owner        string          `json:"owner,omitempty"`
	Node         string          `json:"node,omitempty"`
	Incarnation  uint64          `json:"incarnation,omitempty"`
	Service      string          `json:"service,omitempty"`
	Deduplicates bool            `json:"deduplicates,omitempty"` // the service's runners keep the outcome
	Reply        *operationReply `json:"reply,omitempty"`
}

// operationReply is a recorded answer.
type operationReply struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

func readOperation(state register.State) (operation, error) {
	var decoded operation
	if state.Expired || len(state.Value) == 0 {
		// One past its window may be begun anew.
		return decoded, nil
	}
	if err := json.Unmarshal(state.Value, &decoded); err != nil {
		return decoded, code.New(code.Garbled, "operation: %w", err)
	}
	return decoded, nil
}

// deduplicated reports whether the runners themselves answer repeats of a job's operation.
func (j *Job) deduplicated() bool {
	return j.Path.Kind == spec.Keyed && j.OperationKey != "" && j.Service != nil && j.Service.Deduplicates
}

// waitForOperation pauses before a job is tried once more whose operation is under way
// elsewhere. It reports whether there is a point in trying.
func (j *Job) waitForOperation() bool {
	patience := min(inProgressMaxWait, j.ResponseDeadline.Sub(j.Arrived)/2)
	return time.Since(j.Arrived)+inProgressPollInterval < patience && loop.Wait(j, inProgressPollInterval)
}

// Do is the policy.
func (operations *Operations) Do(j *Job, response *Response, next Next) Answer {
	if j.Path.Kind != spec.Keyed || j.OperationKey == "" {
		return next(j, response)
	}
	owner := strconv.FormatUint(rand.Uint64(), 36)
	for {
		claim, err := operations.claim(j, owner)
		switch {
		case err != nil:
			return Refuse(err, 200*time.Millisecond)
		case claim.Owner == owner && claim.State == operationStarted:
			return operations.run(j, response, next, owner)
		case claim.State == operationDone:
			return operations.replayOutcome(j, response, claim.Reply)
		case claim.State == operationUnknown:
			return Answer{Err: code.New(code.OutcomeUnknown, "the operation may have run, its outcome is not known")}
		case claim.Deduplicates && operations.useClaimedService(j, claim):
			return next(j, response)
		case claim.Deduplicates:
			const why = "the path leads no more to the service that ran the operation"
			return Answer{Err: code.New(code.OutcomeUnknown, why)}
		case !operations.ownerAlive(claim):
			return Answer{Err: code.New(code.OutcomeUnknown, "the node that ran the operation has ended")}
		case !j.waitForOperation():
			err := code.New(code.InProgress, "another request of this operation is under way")
			return Refuse(err, inProgressRetryAfter)
		}
	}
}

// errClaimed ends a change that found the operation another's.
var errClaimedByOther = errors.New("the operation is claimed")

// claim makes the operation this job's, or returns whose it is. Where it can't be determined,
// the job is not forwarded; what it may have left at the stores is taken back.
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
		written, err = operations.stores.Change(ctx, operations.key(j), func(state register.State) ([]byte, bool, error) {
			var err error
			if existing, err = readOperation(state); err != nil {
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

// redirect sends a repeat to the service that the first request went to, where that
// deduplicates and the path still leads to it.
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

// isRunning reports whether the process that claimed an operation is still there.
func (operations *Operations) ownerAlive(claim operation) bool {
	for _, member := range operations.members() {
		if member.Id == claim.Node {
			return member.Live && member.Inc == claim.Incarnation
		}
	}
	return false
}

// run forwards an operation that this job owns, and writes down what became of it.
func (operations *Operations) run(j *Job, response *Response, next Next, owner string) Answer {
	if j.Service.Deduplicates {
		return next(j, response)
	}
	recorded := false
	response.beforeComplete = func(r *http.Response, body []byte) {
		recorded = true
		operations.record(j, owner, &operationReply{Status: r.StatusCode, Header: endToEndHeaders(r.Header), Body: body})
	}
	answer := next(j, response)
	switch {
	case recorded:
	case answer.NotRun():
		// Freed first, then said; where that fails, behind the answer.
		operations.settle(j, owner, operation{})
	default:
		operations.settle(j, owner, operation{State: operationUnknown, Owner: owner})
	}
	return answer
}

// repeatable is the head of an answer without what concerns one connection or one try.
func endToEndHeaders(header http.Header) http.Header {
	out := http.Header{}
	copyHeaders(out, header)
	return out
}

// record writes an outcome down, before its caller gets it where the stores allow that. A
// caller is not kept from its answer by stores that are away: until the outcome is recorded,
// repeats learn that the operation is under way, and none runs.
func (operations *Operations) record(j *Job, owner string, reply *operationReply) {
	operations.settle(j, owner, operation{State: operationDone, Owner: owner, Reply: reply})
}

// settle writes down what became of an operation, if it is the owner's still. It returns once
// that is done or RecordTimeout has passed, and then goes on behind the answer.
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

// settleTries bounds the tries at writing down an outcome behind its answer.
const settleAttempts = 60

// write replaces the claim if it is the owner's.
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

// repeat answers with what was recorded of the operation's one run.
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
