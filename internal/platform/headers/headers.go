// Package headers reads and writes the HTTP headers that the platform defines for proxied requests.
package headers

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"damsontiller/internal/dataplane/balancing/endpoints"
	"damsontiller/internal/dataplane/request/proxy"
	"damsontiller/internal/platform"
	"damsontiller/internal/transport/code"
)

// Names of the HTTP headers.
const (
	headerAttempt              = "X-Damsontiller-Attempt-Id"
	headerTimeRemaining        = "X-Damsontiller-Time-Remaining"
	headerAffinityKey          = "X-Damsontiller-Affinity-Key"
	headerPromptPrefix         = "X-Damsontiller-Prompt-Prefix"
	headerTokenCounts          = "X-Damsontiller-Token-Counts"
	headerPrecedence           = "X-Damsontiller-Precedence"
	headerProgram              = "X-Damsontiller-Program-Id"
	headerProgramTimeRemaining = "X-Damsontiller-Program-Time-Remaining"
	headerTokenBudget          = "X-Damsontiller-Token-Budget"
	headerPreviousTurn         = "X-Damsontiller-Previous-Turn"
	headerTargetInstance       = "X-Damsontiller-Target-Instance"
	headerServerSeal           = "X-Damsontiller-Server-Seal"
	headerNotExecuted          = "X-Damsontiller-Not-Executed"
	headerColdRemaining        = "X-Damsontiller-Cold-Remaining"
	headerLastEventID          = "Last-Event-Id"
	headerAPIKey               = "X-Api-Key"
	headerSubscriber           = "X-Damsontiller-Subscriber"
	headerOperationKey         = "X-Damsontiller-Operation-Key"
)

// MaxPrecedence is the highest precedence value that runners accept.
const MaxPrecedence = 9

// maxTokenCount is the maximum of a single token count. Sums of many counts do not overflow int64.
const maxTokenCount = 1 << 40

// Codec converts between proxied requests and the platform's headers. It implements proxy.Headers.
type Codec struct{}

var _ proxy.Headers = Codec{}

// ReadRequest sets the fields of job from the headers of a request.
func (Codec) ReadRequest(r *http.Request, job *proxy.Job) error {
	h := r.Header
	if job.Attempt = h.Get(headerAttempt); job.Attempt == "" {
		return code.New(code.NoHeader, "%s is missing", headerAttempt)
	}
	for _, k := range []string{headerAttempt, headerProgram, headerOperationKey} {
		if len(h.Get(k)) > proxy.MaxName {
			return code.New(code.BadHeader, "%s: a name over %d bytes", k, proxy.MaxName)
		}
	}
	// These values become parts of keys, and the protocol between the nodes carries only UTF-8.
	for _, k := range []string{headerAttempt, headerProgram, headerPreviousTurn} {
		if !utf8.ValidString(h.Get(k)) {
			return code.New(code.BadHeader, "%s: %q is not UTF-8", k, h.Get(k))
		}
	}
	job.Program, job.PreviousAttempt = h.Get(headerProgram), h.Get(headerPreviousTurn)
	job.AffinityKey, job.OperationKey = h.Get(headerAffinityKey), h.Get(headerOperationKey)
	var err error
	if job.CallerTimeout, err = parseMilliseconds(h, headerTimeRemaining); err != nil {
		return err
	}
	// The value is not used here, but a malformed one must not reach a runner.
	if _, err = parseMilliseconds(h, headerProgramTimeRemaining); err != nil {
		return err
	}
	if v := h.Get(headerTokenBudget); v != "" {
		if job.TokenBudget, err = parseCount(headerTokenBudget, v); err != nil {
			return err
		}
	}
	if v := h.Get(headerTokenCounts); v != "" {
		prompt, output, ok := strings.Cut(v, ",")
		if !ok {
			return code.New(code.BadHeader, "%s: %q is not two counts", headerTokenCounts, v)
		}
		if job.PromptTokens, err = parseCount(headerTokenCounts, prompt); err != nil {
			return err
		}
		if job.MaxOutputTokens, err = parseCount(headerTokenCounts, output); err != nil {
			return err
		}
	}
	job.PromptParts, err = parsePromptParts(h.Get(headerPromptPrefix))
	return err
}

// parseCount parses the token count v of the header name.
func parseCount(name, v string) (int64, error) {
	n, err := strconv.ParseInt(strings.TrimSpace(v), 10, 64)
	if err != nil || n < 0 || n > maxTokenCount {
		return 0, code.New(code.BadHeader, "%s: %q is not a count", name, v)
	}
	return n, nil
}

// parseMilliseconds parses the header name as a number of milliseconds. It returns 0 if the
// header is missing and at least 1 ns otherwise, so that a remaining time of 0 differs from none.
// Larger values are reduced to math.MaxInt32 milliseconds.
func parseMilliseconds(h http.Header, name string) (time.Duration, error) {
	v := h.Get(name)
	if v == "" {
		return 0, nil
	}
	f, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
	if err != nil || !(f >= 0) {
		return 0, code.New(code.BadHeader, "%s: %q is not a number of milliseconds", name, v)
	}
	return max(time.Nanosecond, platform.Ms(min(f, math.MaxInt32))), nil
}

// maxPromptParts limits the parts of a prompt that are kept. The header reaches the runner whole.
const maxPromptParts = 1024

// parsePromptParts parses a comma-separated list of ID:TOKENS. It checks all parts and returns the
// first maxPromptParts of them.
func parsePromptParts(v string) ([]proxy.PromptPart, error) {
	if v == "" {
		return nil, nil
	}
	out := make([]proxy.PromptPart, 0, min(1+strings.Count(v, ","), maxPromptParts))
	for s := range strings.SplitSeq(v, ",") {
		id, n, ok := strings.Cut(strings.TrimSpace(s), ":")
		if !ok || id == "" {
			return nil, code.New(code.BadHeader, "%s: %q is not ID:TOKENS", headerPromptPrefix, s)
		}
		tokens, err := parseCount(headerPromptPrefix, n)
		if err != nil {
			return nil, err
		}
		if len(out) < maxPromptParts {
			out = append(out, proxy.PromptPart{ID: id, Tokens: tokens})
		}
	}
	return out, nil
}

// WriteRequest adds the platform's headers to the caller's headers of a request to a runner.
func (Codec) WriteRequest(
	h http.Header, job *proxy.Job, runner *endpoints.Runner, timeLeft time.Duration, precedence int,
) {
	h.Set(headerAttempt, job.Attempt)
	h.Set(headerTargetInstance, runner.ID)
	// A runner receives the tenant name from this server only, and never the caller's credential.
	h.Del(headerAPIKey)
	h.Del(headerSubscriber)
	if job.Tenant != nil {
		h.Set(headerSubscriber, job.Tenant.Name)
	}
	if timeLeft > 0 {
		h.Set(headerTimeRemaining, strconv.FormatInt(max(1, timeLeft.Milliseconds()), 10))
	}
	h.Set(headerPrecedence, strconv.Itoa(min(max(precedence, 0), MaxPrecedence)))
}

// Credential returns the API key of a request.
func (Codec) Credential(r *http.Request) string { return r.Header.Get(headerAPIKey) }

// WriteRepeat sets the attempt ID of job in the headers of a recorded response.
func (Codec) WriteRepeat(h http.Header, job *proxy.Job) { h.Set(headerAttempt, job.Attempt) }

// WriteResume asks a runner to resume the event stream after the given event ID.
func (Codec) WriteResume(h http.Header, after string) { h.Set(headerLastEventID, after) }

// ReadResponse reads the headers of a response. A job counts as not run only if the runner
// reports that or reports that the request was meant for another runner.
func (Codec) ReadResponse(r *http.Response) proxy.ResponseInfo {
	info := proxy.ResponseInfo{
		Attempt:     r.Header.Get(headerAttempt),
		Sealed:      r.Header.Get(headerServerSeal) != "",
		OtherRunner: r.StatusCode == http.StatusMisdirectedRequest,
	}
	info.NotRun = info.OtherRunner || r.Header.Get(headerNotExecuted) != ""
	// A malformed value is ignored: it only limits how long the runner is treated as cold.
	info.WarmupRemaining, _ = parseMilliseconds(r.Header, headerColdRemaining)
	return info
}
