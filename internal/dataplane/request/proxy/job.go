// Package proxy is the path of proxied HTTP requests: the request is forwarded as it
// came and the response is streamed back as it is produced. It selects a runner,
// observes the cooldown, sends once, and classifies the outcome; package retry says what
// may be sent again.
package proxy

import (
	"context"
	"net/http"
	"time"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/dataplane/balancing/endpoints"
	"damsontiller/internal/proto/spec"
)

// MaxName bounds the names of tries and programs, which become keys at the stores:
// a turn whose name could not be kept must not run.
const MaxName = 256

// PromptPart is a part of a prompt that several jobs may share.
type PromptPart struct {
	ID     string
	Tokens int64
}

// Job is one try of a caller.
type Job struct {
	context.Context
	Attempt         string // its caller's name of this very try
	Program         string // empty: it belongs to none
	PreviousAttempt string // the try whose turn it goes on from
	AffinityKey     string // what it is about, for a runner that saw it lately
	// OperationKey names the operation of a keyed request; all that name one run once.
	OperationKey string
	// Tenant is on whose behalf it is sent, and Credential the digest by which its caller is
	// known; nil: callers carry none.
	Tenant          *spec.Tenant
	Credential      spec.Credential
	PromptParts     []PromptPart
	PromptTokens    int64         // tokens of the prompt
	MaxOutputTokens int64         // tokens put out at the most
	TokenBudget     int64         // of all turns of the program; 0: none is stated
	CallerTimeout   time.Duration // how long the caller waits; 0: it does not say

	// PreviousRunner is the runner that the program's last turn ran on, where its budget says so;
	// Homed, that there is a budget to say it.
	PreviousRunner string
	BudgetReserved bool

	// AnswerBy is the earliest of the caller's wait and the path's guard, from arrival.
	Arrived          time.Time
	ResponseDeadline time.Time
	View             *cluster.View
	Path             *spec.Path
	Service          *spec.Service
	Req              *http.Request
	Body             []byte // complete
}

// TimeLeft is the time until the deadline.
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

// TenantName is the name of the job's tenant; empty: it has none.
func (j *Job) TenantName() string {
	if j.Tenant == nil {
		return ""
	}
	return j.Tenant.Name
}

// ResponseInfo is what a runner's answer says beside its body.
type ResponseInfo struct {
	Attempt         string // whose answer it is; empty: it does not say
	Sealed          bool   // the runner's own seal is on it
	NotRun          bool   // it did not run the job and never will
	OtherRunner     bool   // it is another runner than the one meant; it did not run the job
	WarmupRemaining time.Duration
}

// Headers is how jobs and answers are spelt on HTTP. It only translates.
type Headers interface {
	// ReadRequest fills a job from a request's head; a failure names the header.
	ReadRequest(r *http.Request, j *Job) error
	// WriteRequest writes what goes to a runner beside the caller's own headers: the try's
	// name, the runner meant, the time left, the precedence (0 first).
	WriteRequest(h http.Header, j *Job, to *endpoints.Runner, left time.Duration, priority int)
	// Credential is the credential that a request carries; empty: none.
	Credential(r *http.Request) string
	// WriteRepeat makes the head of an answer recorded for another try one to this job.
	WriteRepeat(h http.Header, j *Job)
	// WriteResume asks a runner to begin after an event.
	WriteResume(h http.Header, after string)
	// ReadResponse reads an answer's head.
	ReadResponse(r *http.Response) ResponseInfo
}
