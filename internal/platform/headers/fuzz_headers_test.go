package headers

import (
	"net/http"
	"testing"

	"damsontiller/internal/dataplane/request/proxy"
	"damsontiller/internal/proto/wire"
)

// FuzzRequest checks that any request headers are either rejected or give a job whose numbers are
// not negative and whose names can be encoded as keys.
func FuzzRequest(f *testing.F) {
	f.Add("9c41", "4000", "1460,80", "5c1e07a2:800,91bd3f06:410", "p", "5200.5", "1088", "40c8")
	f.Add("a", "0", "", "", "", "", "", "")
	f.Add("a", "1e300", "9223372036854775807,1", "x:9223372036854775807", "p\xff", "Inf", "0x10", "\xc3\x28")
	f.Fuzz(func(t *testing.T, attempt, timeRemaining, tokens, prefix, program, programTimeRemaining, budget, previous string) {
		var j proxy.Job
		r := &http.Request{
			Header: header(
				headerAttempt,
				attempt,
				headerTimeRemaining,
				timeRemaining,
				headerTokenCounts,
				tokens,
				headerPromptPrefix,
				prefix,
				headerProgram,
				program,
				headerProgramTimeRemaining,
				programTimeRemaining,
				headerTokenBudget,
				budget,
				headerPreviousTurn,
				previous,
			),
		}
		if err := (Codec{}).ReadRequest(r, &j); err != nil {
			return
		}
		if j.CallerTimeout < 0 || j.PromptTokens < 0 || j.MaxOutputTokens < 0 || j.TokenBudget < 0 || j.PromptTokens+j.MaxOutputTokens < 0 {
			t.Errorf("negative numbers: %+v", j)
		}
		for _, p := range j.PromptParts {
			if p.ID == "" || p.Tokens < 0 {
				t.Errorf("prompt part %+v", p)
			}
		}
		for _, name := range []string{j.Attempt, j.Program, j.PreviousAttempt} {
			if _, err := wire.Encode(&wire.Look{Key: name}); err != nil {
				t.Errorf("%q cannot be encoded as a key: %v", name, err)
			}
		}
	})
}

// FuzzAnswer checks that for any response headers the warm-up time is not negative, and that only
// the not-executed header or status 421 marks the job as not run.
func FuzzAnswer(f *testing.F) {
	f.Add("9c41", "seal", "1", "1500.5", 429)
	f.Add("", "", "", "-1", 421)
	f.Add("\xff", "", "", "1e300", 0)
	f.Fuzz(func(t *testing.T, attempt, seal, notRun, warmup string, status int) {
		info := Codec{}.ReadResponse(
			&http.Response{
				StatusCode: status,
				Header:     header(headerAttempt, attempt, headerServerSeal, seal, headerNotExecuted, notRun, headerColdRemaining, warmup),
			},
		)
		if info.WarmupRemaining < 0 || info.NotRun != (notRun != "" || status == http.StatusMisdirectedRequest) {
			t.Errorf("response info %+v", info)
		}
	})
}
