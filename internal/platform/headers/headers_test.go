package headers

import (
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"damsontiller/internal/dataplane/balancing/endpoints"
	"damsontiller/internal/dataplane/request/proxy"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
)

// header returns the headers given as pairs of name and value.
func header(kv ...string) http.Header {
	h := http.Header{}
	for i := 0; i < len(kv); i += 2 {
		h.Set(kv[i], kv[i+1])
	}
	return h
}

// TestRead checks that each request header sets its field of the job.
func TestRead(t *testing.T) {
	var j proxy.Job
	err := Codec{}.ReadRequest(
		&http.Request{Header: header(
			headerAttempt,
			"9c41",
			headerTimeRemaining,
			"4000",
			headerAffinityKey,
			"17",
			"X-Damsontiller-Model",
			"m",
			headerTokenCounts,
			"1460,80",
			headerPromptPrefix,
			"5c1e07a2:800,91bd3f06:410",
			headerProgram,
			"p",
			"X-Damsontiller-Session-Id",
			"s",
			headerProgramTimeRemaining,
			"5200.5",
			headerTokenBudget,
			"1088",
			headerPreviousTurn,
			"40c8",
			headerLastEventID,
			"12",
		)},
		&j,
	)
	if err != nil {
		t.Fatal(err)
	}
	want := proxy.Job{Attempt: "9c41", Program: "p", PreviousAttempt: "40c8", AffinityKey: "17",
		PromptParts: []proxy.PromptPart{
			{ID: "5c1e07a2", Tokens: 800},
			{ID: "91bd3f06", Tokens: 410},
		}, PromptTokens: 1460, MaxOutputTokens: 80, TokenBudget: 1088,
		CallerTimeout: 4 * time.Second}
	if !reflect.DeepEqual(j, want) {
		t.Errorf("read %+v, want %+v", j, want)
	}
	// A remaining time of 0 differs from a missing header.
	j = proxy.Job{}
	if err := (Codec{}).ReadRequest(&http.Request{Header: header(headerAttempt, "a", headerTimeRemaining, "0")}, &j); err != nil ||
		j.CallerTimeout <= 0 ||
		j.CallerTimeout > time.Millisecond {
		t.Errorf("no time left: %s, %v", j.CallerTimeout, err)
	}
}

// TestReadWrong checks that the error for a malformed header has the right code and names the
// header.
func TestReadWrong(t *testing.T) {
	for _, c := range []struct {
		name, value string
		want        code.Code
	}{
		{headerAttempt, "", code.NoHeader},
		{headerAttempt, strings.Repeat("a", proxy.MaxName+1), code.BadHeader},
		{headerProgram, strings.Repeat("p", proxy.MaxName+1), code.BadHeader},
		{headerAttempt, "a\xff", code.BadHeader},
		{headerProgram, "p\xff", code.BadHeader},
		{headerPreviousTurn, "p\xff", code.BadHeader},
		{headerTokenBudget, "9223372036854775807", code.BadHeader},
		{headerTimeRemaining, "soon", code.BadHeader},
		{headerTimeRemaining, "-1", code.BadHeader},
		{headerTimeRemaining, "NaN", code.BadHeader},
		{headerProgramTimeRemaining, "x", code.BadHeader},
		{headerTokenBudget, "1.5", code.BadHeader},
		{headerTokenBudget, "-3", code.BadHeader},
		{headerTokenCounts, "1460", code.BadHeader},
		{headerTokenCounts, "a,80", code.BadHeader},
		{headerTokenCounts, "1460,", code.BadHeader},
		{headerPromptPrefix, "5c1e07a2", code.BadHeader},
		{headerPromptPrefix, ":800", code.BadHeader},
		{headerPromptPrefix, "5c:x", code.BadHeader},
		{headerPromptPrefix, "5c:800,", code.BadHeader},
	} {
		h := header(headerAttempt, "a")
		h.Set(c.name, c.value)
		err := Codec{}.ReadRequest(&http.Request{Header: h}, &proxy.Job{})
		if code.Of(err) != c.want || !strings.Contains(err.Error(), c.name) || code.Of(err).Status() != 400 {
			t.Errorf("%s: %q gives %v", c.name, c.value, err)
		}
	}
}

// TestSend checks that a request to a runner carries the target runner, the remaining time and
// the bounded precedence, and keeps the caller's attempt ID.
func TestSend(t *testing.T) {
	for _, c := range []struct {
		timeLeft       time.Duration
		precedence     int
		wantTime       string
		wantPrecedence string
	}{
		{1500 * time.Millisecond, 3, "1500", "3"},
		{time.Microsecond, -1, "1", "0"},
		{time.Second, 40, "1000", "9"},
	} {
		h := header(headerAttempt, "a", headerTimeRemaining, "9999", headerPrecedence, "7")
		Codec{}.WriteRequest(h, &proxy.Job{Attempt: "a"}, &endpoints.Runner{ID: "i-1"}, c.timeLeft, c.precedence)
		if want := header(headerAttempt, "a", headerTargetInstance, "i-1", headerTimeRemaining, c.wantTime, headerPrecedence, c.wantPrecedence); !reflect.DeepEqual(
			h,
			want,
		) {
			t.Errorf("sent %v, want %v", h, want)
		}
	}
	h := http.Header{}
	Codec{}.WriteResume(h, "12")
	if h.Get("Last-Event-Id") != "12" {
		t.Errorf("resumed with %v", h)
	}
}

// TestTenantHeaders checks that the tenant name sent to a runner is the one set by the server,
// not the caller's, that the API key is removed, and that the operation key is forwarded.
func TestTenantHeaders(t *testing.T) {
	for _, c := range []struct {
		tenant *spec.Tenant
		want   string
	}{
		{nil, ""},
		{&spec.Tenant{Name: "north"}, "north"},
	} {
		h := header(headerAttempt, "a", headerAPIKey, "k-secret", headerSubscriber, "another", headerOperationKey, "k-5512")
		j := &proxy.Job{Attempt: "a", Tenant: c.tenant}
		if err := (Codec{}).ReadRequest(&http.Request{Header: h}, j); err != nil || j.OperationKey != "k-5512" {
			t.Fatalf("operation %q, %v", j.OperationKey, err)
		}
		Codec{}.WriteRequest(h, j, &endpoints.Runner{ID: "i-1"}, time.Second, 3)
		if h.Get(headerAPIKey) != "" || h.Get(headerSubscriber) != c.want || h.Get(headerOperationKey) != "k-5512" {
			t.Errorf("tenant %v: sent %v", c.tenant, h)
		}
	}
	h := http.Header{}
	Codec{}.WriteRepeat(h, &proxy.Job{Attempt: "b"})
	if h.Get(headerAttempt) != "b" {
		t.Errorf("repeated response has the headers %v", h)
	}
}

// TestReadResponse checks that only an explicit report of a runner, or status 421, marks a job as
// not run; other error statuses do not.
func TestReadResponse(t *testing.T) {
	for _, c := range []struct {
		status int
		h      http.Header
		want   proxy.ResponseInfo
	}{
		{200, header(headerAttempt, "a", headerServerSeal, "3e1b"), proxy.ResponseInfo{Attempt: "a", Sealed: true}},
		{503, header(headerNotExecuted, "1"), proxy.ResponseInfo{NotRun: true}},
		{503, nil, proxy.ResponseInfo{}},
		{429, nil, proxy.ResponseInfo{}},
		{400, header(headerNotExecuted, "1"), proxy.ResponseInfo{NotRun: true}},
		{421, header("X-Damsontiller-Instance-Id", "i-2"), proxy.ResponseInfo{NotRun: true, OtherRunner: true}},
		{200, header(headerColdRemaining, "2500"), proxy.ResponseInfo{WarmupRemaining: 2500 * time.Millisecond}},
		{200, header(headerColdRemaining, "long"), proxy.ResponseInfo{}},
	} {
		if got := (Codec{}).ReadResponse(&http.Response{StatusCode: c.status, Header: c.h}); got != c.want {
			t.Errorf("%d %v: %+v, want %+v", c.status, c.h, got, c.want)
		}
	}
}

// TestManyPromptParts guards against a prompt whose parts take many times the bytes of the header.
func TestManyPromptParts(t *testing.T) {
	many := strings.Repeat("a:1,", 30_000)
	if parts, err := parsePromptParts(many + "a:1"); err != nil || len(parts) != maxPromptParts || cap(parts) > maxPromptParts {
		t.Errorf("%d parts kept in %d places, %v", len(parts), cap(parts), err)
	}
	if _, err := parsePromptParts(many + "a"); code.Of(err) != code.BadHeader {
		t.Errorf("a malformed part past them: %v", err)
	}
}
