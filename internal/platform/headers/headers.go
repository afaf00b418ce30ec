// Package headers reads and writes the platform's HTTP headers of proxied requests.
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

// The headers of the platform.
const (
	hAttempt            = "X-Damsontiller-Attempt-Id"
	hWait               = "X-Damsontiller-Time-Remaining"
	hSubject            = "X-Damsontiller-Affinity-Key"
	hPrefix             = "X-Damsontiller-Prompt-Prefix"
	hTokens             = "X-Damsontiller-Token-Counts"
	headerPrecedence    = "X-Damsontiller-Precedence"
	hProgram            = "X-Damsontiller-Program-Id"
	hEnds               = "X-Damsontiller-Program-Time-Remaining"
	hBudget             = "X-Damsontiller-Token-Budget"
	hPrevious           = "X-Damsontiller-Previous-Turn"
	hTarget             = "X-Damsontiller-Target-Instance"
	hSeal               = "X-Damsontiller-Server-Seal"
	hNotRun             = "X-Damsontiller-Not-Executed"
	headerColdRemaining = "X-Damsontiller-Cold-Remaining"
	hLastEvent          = "Last-Event-Id"
	hCredential         = "X-Api-Key"
	hTenant             = "X-Damsontiller-Subscriber"
	hOperation          = "X-Damsontiller-Operation-Key"
)

// MaxPrecedence is the last rank that a runner knows.
const MaxPrecedence = 9

// maxCount bounds a count of tokens, so that sums of many can't overflow.
const maxCount = 1 << 40

// Codec spells proxied requests in the platform's headers.
type Codec struct{}

var _ proxy.Headers = Codec{}

// ReadRequest fills a job from a request's head.
func (Codec) ReadRequest(r *http.Request, j *proxy.Job) error {
	h := r.Header
	if j.Attempt = h.Get(hAttempt); j.Attempt == "" {
		return code.New(code.NoHeader, "%s is missing", hAttempt)
	}
	for _, k := range []string{hAttempt, hProgram, hOperation} {
		if len(h.Get(k)) > proxy.MaxName {
			return code.New(code.BadHeader, "%s: a name over %d bytes", k, proxy.MaxName)
		}
	}
	// They become parts of keys, and the wire between the nodes takes UTF-8 only.
	for _, k := range []string{hAttempt, hProgram, hPrevious} {
		if !utf8.ValidString(h.Get(k)) {
			return code.New(code.BadHeader, "%s: %q is not UTF-8", k, h.Get(k))
		}
	}
	j.Program, j.PreviousAttempt = h.Get(hProgram), h.Get(hPrevious)
	j.AffinityKey, j.OperationKey = h.Get(hSubject), h.Get(hOperation)
	var err error
	if j.CallerTimeout, err = span(h, hWait); err != nil {
		return err
	}
	// Nothing here rests on it, but a runner is not sent what can't be read.
	if _, err = span(h, hEnds); err != nil {
		return err
	}
	if v := h.Get(hBudget); v != "" {
		if j.TokenBudget, err = count(hBudget, v); err != nil {
			return err
		}
	}
	if v := h.Get(hTokens); v != "" {
		in, most, ok := strings.Cut(v, ",")
		if !ok {
			return code.New(code.BadHeader, "%s: %q is not two counts", hTokens, v)
		}
		if j.PromptTokens, err = count(hTokens, in); err != nil {
			return err
		}
		if j.MaxOutputTokens, err = count(hTokens, most); err != nil {
			return err
		}
	}
	j.PromptParts, err = parts(h.Get(hPrefix))
	return err
}

func count(name, v string) (int64, error) {
	n, err := strconv.ParseInt(strings.TrimSpace(v), 10, 64)
	if err != nil || n < 0 || n > maxCount {
		return 0, code.New(code.BadHeader, "%s: %q is not a count", name, v)
	}
	return n, nil
}

// span reads milliseconds. A caller that has none left says 0, which is not the
// same as saying nothing.
func span(h http.Header, name string) (time.Duration, error) {
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

func parts(v string) ([]proxy.PromptPart, error) {
	if v == "" {
		return nil, nil
	}
	out := make([]proxy.PromptPart, 0, 1+strings.Count(v, ","))
	for s := range strings.SplitSeq(v, ",") {
		id, n, ok := strings.Cut(strings.TrimSpace(s), ":")
		if !ok || id == "" {
			return nil, code.New(code.BadHeader, "%s: %q is not ID:TOKENS", hPrefix, s)
		}
		t, err := count(hPrefix, n)
		if err != nil {
			return nil, err
		}
		out = append(out, proxy.PromptPart{ID: id, Tokens: t})
	}
	return out, nil
}

// WriteRequest writes what goes to a runner beside the caller's own headers.
func (Codec) WriteRequest(h http.Header, j *proxy.Job, to *endpoints.Runner, left time.Duration, precedence int) {
	h.Set(hAttempt, j.Attempt)
	h.Set(hTarget, to.ID)
	// A runner learns whose request it is by our word alone, and never by which credential.
	h.Del(hCredential)
	h.Del(hTenant)
	if j.Tenant != nil {
		h.Set(hTenant, j.Tenant.Name)
	}
	if left > 0 {
		h.Set(hWait, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	}
	h.Set(headerPrecedence, strconv.Itoa(min(max(precedence, 0), MaxPrecedence)))
}

// Credential is the credential that a request carries.
func (Codec) Credential(r *http.Request) string { return r.Header.Get(hCredential) }

// WriteRepeat makes the head of a recorded answer one to a job.
func (Codec) WriteRepeat(h http.Header, j *proxy.Job) { h.Set(hAttempt, j.Attempt) }

// WriteResume asks a runner to begin after an event.
func (Codec) WriteResume(h http.Header, after string) { h.Set(hLastEvent, after) }

// ReadResponse reads an answer's head. Only the runner's own report, or that it is not the
// runner meant, states that the job did not run.
func (Codec) ReadResponse(r *http.Response) proxy.ResponseInfo {
	w := proxy.ResponseInfo{
		Attempt:     r.Header.Get(hAttempt),
		Sealed:      r.Header.Get(hSeal) != "",
		OtherRunner: r.StatusCode == http.StatusMisdirectedRequest,
	}
	w.NotRun = w.OtherRunner || r.Header.Get(hNotRun) != ""
	// A figure that can't be read is none: it only says how long to be careful.
	w.WarmupRemaining, _ = span(r.Header, headerColdRemaining)
	return w
}
