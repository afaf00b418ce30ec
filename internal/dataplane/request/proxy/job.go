// Package proxy serves proxied HTTP requests. A request is forwarded as received and the response
// is streamed back as it is produced. The package selects a runner, respects its cooldown, sends
// the request and classifies the outcome; package retry decides what may be sent again.
package proxy

import (
	"context"
	"net/http"
	"time"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/dataplane/balancing/endpoints"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/membudget"
)

// MaxName limits the bytes of attempt and program names. They become keys at the stores, and a turn
// whose name could not be stored must not run.
const MaxName = 256

// PromptPart is a section of a prompt that several jobs may share.
type PromptPart struct {
	ID     string
	Tokens int64
}

// Job is one attempt of a caller.
type Job struct {
	context.Context
	Attempt         string // the caller's id of this attempt
	Program         string // empty: none
	PreviousAttempt string // the attempt whose turn this one continues
	AffinityKey     string // identifies data that a runner may have cached from an earlier job
	// OperationKey identifies the operation of a keyed request. All requests with one key run the
	// operation once.
	OperationKey string
	// Tenant is the tenant that the job belongs to, and Credential the digest of the credential it
	// was sent with. Tenant is nil if requests need no credential.
	Tenant          *spec.Tenant
	Credential      spec.Credential
	PromptParts     []PromptPart
	PromptTokens    int64
	MaxOutputTokens int64
	TokenBudget     int64         // output tokens of all turns of the program; 0: no budget
	CallerTimeout   time.Duration // how long the caller waits for the response; 0: not stated

	// PreviousRunner is the runner of the program's last turn, if its budget records one.
	// BudgetReserved reports that a budget was reserved, which sets PreviousRunner.
	PreviousRunner string
	BudgetReserved bool

	// ResponseDeadline is the earlier of the caller's timeout and the path's guard time, both
	// counted from Arrived.
	Arrived          time.Time
	ResponseDeadline time.Time
	View             *cluster.View
	Path             *spec.Path
	Service          *spec.Service
	Req              *http.Request
	Body             []byte // read in full
	// memory holds what is buffered for the job; nil: without a limit.
	memory *membudget.Account
}

// TimeLeft returns the time until the job's deadline.
func (j *Job) TimeLeft() time.Duration { return time.Until(j.ResponseDeadline) }

// Repeatable reports whether the job may run more than once.
func (j *Job) Repeatable() bool {
	switch j.Path.Kind {
	case spec.Repeatable:
		return true
	case spec.Stream:
		return j.Path.Resumable
	case spec.Keyed:
		return j.deduplicated()
	}
	return false
}

// TenantName returns the name of the job's tenant, or the empty string if it has none.
func (j *Job) TenantName() string {
	if j.Tenant == nil {
		return ""
	}
	return j.Tenant.Name
}

// ResponseInfo is what the head of a runner's response states about the job.
type ResponseInfo struct {
	Attempt         string // the attempt that it answers; empty: not stated
	Sealed          bool   // it carries the runner's seal
	NotRun          bool   // the runner did not run the job and will not
	OtherRunner     bool   // sent by another runner than the one addressed, which did not run the job
	WarmupRemaining time.Duration
}

// Headers translates jobs and responses to and from HTTP headers.
type Headers interface {
	// ReadRequest fills a job from the headers of a request. An error names the header.
	ReadRequest(r *http.Request, j *Job) error
	// WriteRequest adds the proxy's headers to a request to a runner: the attempt id, the addressed
	// runner, the time left and the priority (0 is the highest).
	WriteRequest(h http.Header, j *Job, to *endpoints.Runner, left time.Duration, priority int)
	// Credential returns the credential of a request, or the empty string.
	Credential(r *http.Request) string
	// WriteRepeat changes the headers of a response recorded for another attempt so that it answers
	// this job.
	WriteRepeat(h http.Header, j *Job)
	// WriteResume asks a runner to start after the given event.
	WriteResume(h http.Header, after string)
	// ReadResponse reads the headers of a runner's response.
	ReadResponse(r *http.Response) ResponseInfo
}
