package headers

import (
	"net/http"
	"testing"

	"damsontiller/internal/dataplane/request/proxy"
	"damsontiller/internal/proto/wire"
)

// FuzzRequest: whatever a caller's headers hold, they are refused by number or give
// a job with figures of at least 0, whose names can be keys on the wire.
func FuzzRequest(f *testing.F) {
	f.Add("9c41", "4000", "1460,80", "5c1e07a2:800,91bd3f06:410", "p", "5200.5", "1088", "40c8")
	f.Add("a", "0", "", "", "", "", "", "")
	f.Add("a", "1e300", "9223372036854775807,1", "x:9223372036854775807", "p\xff", "Inf", "0x10", "\xc3\x28")
	f.Fuzz(func(t *testing.T, try, wait, tokens, prefix, program, ends, budget, previous string) {
		var j proxy.Job
		r := &http.Request{
			Header: head(
				hAttempt,
				try,
				hWait,
				wait,
				hTokens,
				tokens,
				hPrefix,
				prefix,
				hProgram,
				program,
				hEnds,
				ends,
				hBudget,
				budget,
				hPrevious,
				previous,
			),
		}
		if err := (Codec{}).ReadRequest(r, &j); err != nil {
			return
		}
		if j.CallerTimeout < 0 || j.PromptTokens < 0 || j.MaxOutputTokens < 0 || j.TokenBudget < 0 || j.PromptTokens+j.MaxOutputTokens < 0 {
			t.Errorf("figures below 0: %+v", j)
		}
		for _, p := range j.PromptParts {
			if p.ID == "" || p.Tokens < 0 {
				t.Errorf("part %+v", p)
			}
		}
		for _, name := range []string{j.Attempt, j.Program, j.PreviousAttempt} {
			if _, err := wire.Encode(&wire.Look{Key: name}); err != nil {
				t.Errorf("%q is no key: %v", name, err)
			}
		}
	})
}

// FuzzAnswer: whatever a runner's headers hold, a wait is at least 0, and only its
// own report or another runner's says that the job did not run.
func FuzzAnswer(f *testing.F) {
	f.Add("9c41", "seal", "1", "1500.5", 429)
	f.Add("", "", "", "-1", 421)
	f.Add("\xff", "", "", "1e300", 0)
	f.Fuzz(func(t *testing.T, try, seal, notRun, warmup string, status int) {
		w := Codec{}.ReadResponse(
			&http.Response{
				StatusCode: status,
				Header:     head(hAttempt, try, hSeal, seal, hNotRun, notRun, headerColdRemaining, warmup),
			},
		)
		if w.WarmupRemaining < 0 || w.NotRun != (notRun != "" || status == http.StatusMisdirectedRequest) {
			t.Errorf("heard %+v", w)
		}
	})
}
