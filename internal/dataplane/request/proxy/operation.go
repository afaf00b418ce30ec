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
	underWayPatience = time.Second
	underWayPause    = 50 * time.Millisecond
	underWayWait     = 150 * time.Millisecond
)

// NewOperations makes the keeper of operations.
func NewOperations(
	p OperationParams,
	t *storeclient.Client,
	members func() []*wire.Member,
	self *wire.Member,
	h Headers,
	bg job.Background,
) *Operations {
	return &Operations{stores: t, members: members, self: self, headers: h, params: p, background: bg}
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

func readOperation(st register.State) (operation, error) {
	var o operation
	if st.Expired || len(st.Value) == 0 {
		// One past its window may be begun anew.
		return o, nil
	}
	if err := json.Unmarshal(st.Value, &o); err != nil {
		return o, code.New(code.Garbled, "operation: %w", err)
	}
	return o, nil
}

// deduplicated reports whether the runners themselves answer repeats of a job's operation.
func (j *Job) deduplicated() bool {
	return j.Path.Kind == spec.Keyed && j.OperationKey != "" && j.Service != nil && j.Service.Deduplicates
}

// waitForOperation pauses before a job is tried once more whose operation is under way
// elsewhere. It reports whether there is a point in trying.
func (j *Job) waitForOperation() bool {
	patience := min(underWayPatience, j.ResponseDeadline.Sub(j.Arrived)/2)
	return time.Since(j.Arrived)+underWayPause < patience && loop.Wait(j, underWayPause)
}

// Do is the policy.
func (operations *Operations) Do(j *Job, w *Response, next Next) Answer {
	if j.Path.Kind != spec.Keyed || j.OperationKey == "" {
		return next(j, w)
	}
	owner := strconv.FormatUint(rand.Uint64(), 36)
	for {
		claim, err := operations.claim(j, owner)
		switch {
		case err != nil:
			return Refuse(err, 200*time.Millisecond)
		case claim.Owner == owner && claim.State == operationStarted:
			return operations.run(j, w, next, owner)
		case claim.State == operationDone:
			return operations.repeat(j, w, claim.Reply)
		case claim.State == operationUnknown:
			return Answer{Err: code.New(code.OutcomeUnknown, "the operation may have run, its outcome is not known")}
		case claim.Deduplicates && operations.redirect(j, claim):
			return next(j, w)
		case claim.Deduplicates:
			const why = "the path leads no more to the service that ran the operation"
			return Answer{Err: code.New(code.OutcomeUnknown, why)}
		case !operations.isRunning(claim):
			return Answer{Err: code.New(code.OutcomeUnknown, "the node that ran the operation has ended")}
		case !j.waitForOperation():
			err := code.New(code.InProgress, "another request of this operation is under way")
			return Refuse(err, underWayWait)
		}
	}
}

// errClaimed ends a change that found the operation another's.
var errClaimed = errors.New("the operation is claimed")

// claim makes the operation this job's, or returns whose it is. Where it can't be determined,
// the job is not forwarded; what it may have left at the stores is taken back.
func (operations *Operations) claim(j *Job, owner string) (operation, error) {
	ctx, stop := context.WithTimeout(j, min(operations.params.ClaimTimeout, j.TimeLeft()))
	defer stop()
	claimed, err := json.Marshal(operation{
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
	var found operation
	var chosen register.State
	unsure := false
	err = retryAtStores(ctx, func() error {
		chosen, err = operations.stores.Change(ctx, operations.key(j), func(st register.State) ([]byte, bool, error) {
			var err error
			if found, err = readOperation(st); err != nil {
				return nil, false, err
			}
			if found.State != operationFree && found.Owner != owner {
				return nil, false, errClaimed
			}
			return claimed, false, nil
		})
		unsure = unsure || code.Of(err) == code.OutcomeUnknown
		return err
	})
	switch {
	case errors.Is(err, errClaimed):
		return found, nil
	case err == nil:
		return readOperation(chosen)
	case unsure && !j.Service.Deduplicates:
		operations.settle(j, owner, operation{})
	}
	return operation{}, code.New(code.StoresUnreachable, "the operation could not be claimed: %w", err)
}

func (operations *Operations) key(j *Job) string {
	return keys.Operation(j.TenantName(), j.OperationKey)
}

// redirect sends a repeat to the service that the first request went to, where that
// deduplicates and the path still leads to it.
func (operations *Operations) redirect(j *Job, claim operation) bool {
	leadsTo := func(s spec.Share) bool { return s.Service == claim.Service && s.Weight > 0 }
	leads := slices.ContainsFunc(j.Path.To, leadsTo)
	if !leads {
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
func (operations *Operations) isRunning(claim operation) bool {
	for _, m := range operations.members() {
		if m.Id == claim.Node {
			return m.Live && m.Inc == claim.Incarnation
		}
	}
	return false
}

// run forwards an operation that this job owns, and writes down what became of it.
func (operations *Operations) run(j *Job, w *Response, next Next, owner string) Answer {
	if j.Service.Deduplicates {
		return next(j, w)
	}
	recorded := false
	w.beforeComplete = func(r *http.Response, body []byte) {
		recorded = true
		operations.record(j, owner, &operationReply{Status: r.StatusCode, Header: repeatable(r.Header), Body: body})
	}
	a := next(j, w)
	switch {
	case recorded:
	case a.NotRun():
		// Freed first, then said; where that fails, behind the answer.
		operations.settle(j, owner, operation{})
	default:
		operations.settle(j, owner, operation{State: operationUnknown, Owner: owner})
	}
	return a
}

// repeatable is the head of an answer without what concerns one connection or one try.
func repeatable(h http.Header) http.Header {
	out := http.Header{}
	copyHeaders(out, h)
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
func (operations *Operations) settle(j *Job, owner string, to operation) {
	key := operations.key(j)
	ctx, stop := context.WithTimeout(context.WithoutCancel(j), operations.params.RecordTimeout)
	defer stop()
	if operations.write(ctx, key, owner, to) == nil {
		return
	}
	operations.background.Go(func() {
		for try := 0; try < settleTries; try++ {
			ctx, stop := context.WithTimeout(operations.background.Ctx, operations.params.RecordTimeout)
			err := operations.write(ctx, key, owner, to)
			stop()
			if err == nil || !loop.Wait(operations.background.Ctx, operations.params.RetryInterval) {
				return
			}
		}
	})
}

// settleTries bounds the tries at writing down an outcome behind its answer.
const settleTries = 60

// write replaces the claim if it is the owner's.
func (operations *Operations) write(ctx context.Context, key, owner string, to operation) error {
	err := retryAtStores(ctx, func() error {
		_, err := operations.stores.Change(ctx, key, func(st register.State) ([]byte, bool, error) {
			now, err := readOperation(st)
			if err != nil {
				return nil, false, err
			}
			if now.Owner != owner {
				return nil, false, errClaimed
			}
			b, err := json.Marshal(to)
			return b, false, err
		})
		return err
	})
	if errors.Is(err, errClaimed) {
		return nil
	}
	return err
}

// repeat answers with what was recorded of the operation's one run.
func (operations *Operations) repeat(j *Job, w *Response, reply *operationReply) Answer {
	if reply == nil {
		return Answer{Err: code.New(code.Garbled, "an operation that is done without its answer")}
	}
	header := reply.Header.Clone()
	operations.headers.WriteRepeat(header, j)
	if err := w.replay(reply.Status, header, reply.Body); err != nil {
		return Answer{Err: code.New(code.OutcomeUnknown, "%w", err)}
	}
	return Answer{Success: reply.Status/100 == 2, Repeated: true}
}
