package spec_test

import (
	"os"
	"strings"
	"testing"

	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
)

func load(t *testing.T, deploy string) []byte {
	t.Helper()
	b, err := os.ReadFile("../../../deploy/" + deploy + "/spec.json")
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestDeployments: the committed specs are good, and come back as written.
func TestDeployments(t *testing.T) {
	for _, d := range []string{"andina", "tsehay"} {
		var s, again spec.Spec
		if err := spec.Read(load(t, d), &s); err != nil {
			t.Fatal(err)
		}
		if err := s.Check(); err != nil {
			t.Errorf("%s: %v", d, err)
		}
		b, err := s.MarshalJSON()
		if err != nil {
			t.Fatal(err)
		}
		if err := spec.Read(b, &again); err != nil {
			t.Error(err)
		}
		c, _ := again.MarshalJSON()
		if string(b) != string(c) {
			t.Errorf("%s does not come back as written", d)
		}
	}
}

// TestBad: each fault is refused by number, and its message names the field.
func TestBad(t *testing.T) {
	for _, tc := range []struct {
		what, old, new string
		want           code.Code
		names          string
	}{
		{"not JSON", `{`, `[`, code.BadJSON, ""},
		{"unknown field", `"platform"`, `"platfrom"`, code.UnknownField, "platfrom"},
		{"unknown field inside", `"urgent"`, `"urgend"`, code.UnknownField, "urgend"},
		{
			"claims kept shorter than the longest wait",
			`"cooldown": {`,
			`"state_keeping":{"claims_s":3600},"cooldown": {`,
			code.BadSpec,
			"state_keeping.claims_s",
		},
		{
			"cooldowns kept shorter than a cap and a quiet spell",
			`"cooldown": {`,
			`"state_keeping":{"cooldowns_s":80},"cooldown": {`,
			code.BadSpec,
			"state_keeping.cooldowns_s",
		},
		{"bad name", `"andina"`, `"an dina"`, code.BadSpec, "name"},
		{"zone twice", `"b",`, `"a",`, code.BadSpec, "zones[1]"},
		{"host name", `127.20.1.41:9000`, `localhost:9000`, code.BadSpec, "runners[0].addr"},
		{"port 0", `127.20.1.41:9000`, `127.20.1.41:0`, code.BadSpec, "runners[0].addr"},
		{"address twice", `127.20.1.41:9000`, `127.20.2.42:9000`, code.BadSpec, "runners[1].addr"},
		{"runner twice", `"m2"`, `"m1"`, code.BadSpec, "runners[1]"},
		{"runner in no zone", `"zone": "a"`, `"zone": "z"`, code.BadSpec, "runners[0].zone"},
		{"runner on no route", `"route": "model"`, `"route": "modle"`, code.BadSpec, "runners[0].route"},
		{"route without runners", `"name": "assets"`, `"name": "other"`, code.BadSpec, "runners[9].route"},
		{
			"reserve without urgency",
			`{"name": "reel"}`,
			`{"name": "reel", "reserve_percent": 5}`,
			code.BadSpec,
			"classes[1].reserve_percent",
		},
		{"too much reserve", `"reserve_percent": 25`, `"reserve_percent": 51`, code.BadSpec, "classes[0].reserve_percent"},
		{"keeping nothing", `"keep_s": 86400`, `"keep_s": 0`, code.BadSpec, "keeping[0].keep_s"},
		{"budget of nothing", `"output": 4000`, `"output": 0`, code.BadSpec, "budgets[0].output"},
		{"negative wait", `"first_ms": 1000`, `"first_ms": -1`, code.BadSpec, "cooldown.first_ms"},
		{"cap below first", `"cap_ms": 60000`, `"cap_ms": 10`, code.BadSpec, "cooldown.cap_ms"},
		{"status that is no refusal", `429`, `200`, code.BadSpec, "cooldown.statuses[0]"},
		{"unknown zone emptied", `"cooldown"`, `"empty_zones": ["z"], "cooldown"`, code.BadSpec, "empty_zones[0]"},
		{"every zone emptied", `"cooldown"`, `"empty_zones": ["a","b","c"], "cooldown"`, code.LastZone, "empty_zones"},
		{"contradiction", `"zone": "b", "route": "assets"`, `"zone": "a", "route": "assets"`, 0, ""},
	} {
		src := string(load(t, "andina"))
		b := strings.Replace(src, tc.old, tc.new, 1)
		if b == src {
			t.Errorf("%s: the fault was not put in", tc.what)
		}
		var s spec.Spec
		err := spec.Read([]byte(b), &s)
		if err == nil {
			err = s.Check()
		}
		if code.Of(err) != tc.want || tc.names != "" && !strings.Contains(err.Error(), tc.names) {
			t.Errorf("%s: %v, want %d naming %q", tc.what, err, tc.want, tc.names)
		}
	}
}

// TestContradictions: intents that can't both hold are refused.
func TestContradictions(t *testing.T) {
	var s spec.Spec
	if err := spec.Read(load(t, "andina"), &s); err != nil {
		t.Fatal(err)
	}
	s.EmptyZones = []string{"a"}
	if err := s.Check(); err != nil {
		t.Errorf("one zone of three: %v", err)
	}
	for i := range s.Runners {
		if s.Runners[i].Route == "assets" {
			s.Runners[i].Zone = "a"
		}
	}
	if err := s.Check(); code.Of(err) != code.BadSpec || !strings.Contains(err.Error(), "contradicts empty_zones") {
		t.Errorf("a route in the emptied zone only: %v", err)
	}
	s.Runners = nil
	if err := s.Check(); code.Of(err) != code.BadSpec || !strings.Contains(err.Error(), "names no runners") {
		t.Errorf("no runners: %v", err)
	}
	if err := spec.Read(make([]byte, spec.MaxBytes+1), &s); code.Of(err) != code.TooLarge {
		t.Errorf("oversized: %v", err)
	}
}
