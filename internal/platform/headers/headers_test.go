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

func head(kv ...string) http.Header {
	h := http.Header{}
	for i := 0; i < len(kv); i += 2 {
		h.Set(kv[i], kv[i+1])
	}
	return h
}

// TestRead: each header has its place in the job.
func TestRead(t *testing.T) {
	var j proxy.Job
	err := Codec{}.ReadRequest(
		&http.Request{Header: head(
			hAttempt,
			"9c41",
			hWait,
			"4000",
			hSubject,
			"17",
			"X-Damsontiller-Model",
			"m",
			hTokens,
			"1460,80",
			hPrefix,
			"5c1e07a2:800,91bd3f06:410",
			hProgram,
			"p",
			"X-Damsontiller-Session-Id",
			"s",
			hEnds,
			"5200.5",
			hBudget,
			"1088",
			hPrevious,
			"40c8",
			hLastEvent,
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
	// A caller with no time left does not say nothing.
	j = proxy.Job{}
	if err := (Codec{}).ReadRequest(&http.Request{Header: head(hAttempt, "a", hWait, "0")}, &j); err != nil ||
		j.CallerTimeout <= 0 ||
		j.CallerTimeout > time.Millisecond {
		t.Errorf("no time left: %s, %v", j.CallerTimeout, err)
	}
}

// TestReadWrong: what can't be read is named.
func TestReadWrong(t *testing.T) {
	for _, c := range []struct {
		name, value string
		want        code.Code
	}{
		{hAttempt, "", code.NoHeader},
		{hAttempt, strings.Repeat("a", proxy.MaxName+1), code.BadHeader},
		{hProgram, strings.Repeat("p", proxy.MaxName+1), code.BadHeader},
		{hAttempt, "a\xff", code.BadHeader},
		{hProgram, "p\xff", code.BadHeader},
		{hPrevious, "p\xff", code.BadHeader},
		{hBudget, "9223372036854775807", code.BadHeader},
		{hWait, "soon", code.BadHeader},
		{hWait, "-1", code.BadHeader},
		{hWait, "NaN", code.BadHeader},
		{hEnds, "x", code.BadHeader},
		{hBudget, "1.5", code.BadHeader},
		{hBudget, "-3", code.BadHeader},
		{hTokens, "1460", code.BadHeader},
		{hTokens, "a,80", code.BadHeader},
		{hTokens, "1460,", code.BadHeader},
		{hPrefix, "5c1e07a2", code.BadHeader},
		{hPrefix, ":800", code.BadHeader},
		{hPrefix, "5c:x", code.BadHeader},
		{hPrefix, "5c:800,", code.BadHeader},
	} {
		h := head(hAttempt, "a")
		h.Set(c.name, c.value)
		err := Codec{}.ReadRequest(&http.Request{Header: h}, &proxy.Job{})
		if code.Of(err) != c.want || !strings.Contains(err.Error(), c.name) || code.Of(err).Status() != 400 {
			t.Errorf("%s: %q gives %v", c.name, c.value, err)
		}
	}
}

// TestSend: the runner meant, the time left and the rank, under the caller's name
// of the try.
func TestSend(t *testing.T) {
	for _, c := range []struct {
		left       time.Duration
		precedence int
		wait       string
		want       string
	}{
		{1500 * time.Millisecond, 3, "1500", "3"},
		{time.Microsecond, -1, "1", "0"},
		{time.Second, 40, "1000", "9"},
	} {
		h := head(hAttempt, "a", hWait, "9999", headerPrecedence, "7")
		Codec{}.WriteRequest(h, &proxy.Job{Attempt: "a"}, &endpoints.Runner{ID: "i-1"}, c.left, c.precedence)
		if want := head(hAttempt, "a", hTarget, "i-1", hWait, c.wait, headerPrecedence, c.want); !reflect.DeepEqual(
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

// TestTenantHeaders: what a runner learns of a request's tenant is our own word, whatever the
// caller sent, and never the credential; the key of an operation goes along.
func TestTenantHeaders(t *testing.T) {
	for _, c := range []struct {
		tenant *spec.Tenant
		want   string
	}{
		{nil, ""},
		{&spec.Tenant{Name: "north"}, "north"},
	} {
		h := head(hAttempt, "a", hCredential, "k-secret", hTenant, "another", hOperation, "k-5512")
		j := &proxy.Job{Attempt: "a", Tenant: c.tenant}
		if err := (Codec{}).ReadRequest(&http.Request{Header: h}, j); err != nil || j.OperationKey != "k-5512" {
			t.Fatalf("operation %q, %v", j.OperationKey, err)
		}
		Codec{}.WriteRequest(h, j, &endpoints.Runner{ID: "i-1"}, time.Second, 3)
		if h.Get(hCredential) != "" || h.Get(hTenant) != c.want || h.Get(hOperation) != "k-5512" {
			t.Errorf("tenant %v: sent %v", c.tenant, h)
		}
	}
	h := http.Header{}
	Codec{}.WriteRepeat(h, &proxy.Job{Attempt: "b"})
	if h.Get(hAttempt) != "b" {
		t.Errorf("a repeat has the head %v", h)
	}
}

// TestReadResponse: only the runner's own report says that it did not run the job.
func TestReadResponse(t *testing.T) {
	for _, c := range []struct {
		status int
		h      http.Header
		want   proxy.ResponseInfo
	}{
		{200, head(hAttempt, "a", hSeal, "3e1b"), proxy.ResponseInfo{Attempt: "a", Sealed: true}},
		{503, head(hNotRun, "1"), proxy.ResponseInfo{NotRun: true}},
		{503, nil, proxy.ResponseInfo{}},
		{429, nil, proxy.ResponseInfo{}},
		{400, head(hNotRun, "1"), proxy.ResponseInfo{NotRun: true}},
		{421, head("X-Damsontiller-Instance-Id", "i-2"), proxy.ResponseInfo{NotRun: true, OtherRunner: true}},
		{200, head(headerColdRemaining, "2500"), proxy.ResponseInfo{WarmupRemaining: 2500 * time.Millisecond}},
		{200, head(headerColdRemaining, "long"), proxy.ResponseInfo{}},
	} {
		if got := (Codec{}).ReadResponse(&http.Response{StatusCode: c.status, Header: c.h}); got != c.want {
			t.Errorf("%d %v: %+v, want %+v", c.status, c.h, got, c.want)
		}
	}
}
