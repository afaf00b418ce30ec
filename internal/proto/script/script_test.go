package script_test

import (
	"strings"
	"testing"

	"damsontiller/internal/proto/script"
	"damsontiller/internal/transport/code"
)

var (
	runners = map[string]bool{"m1": true, "m2": true}
	zones   = map[string]bool{"a": true}
)

// TestBad checks that each kind of invalid program is rejected with its code and that the
// message names the position.
func TestBad(t *testing.T) {
	for _, tc := range []struct{ what, rank, order, want string }{
		{"nothing", "", " ", "neither"},
		{"syntax", "runner.free +\n+ ", "", "rank, line 2"},
		{"unknown name", "runner.free + speed", "", "line 1, column 15"},
		{"unknown field", "runner.speed", "", "undefined field"},
		{"wrong result", `"fast"`, "", "gives string"},
		{"wrong result", "", `job.urgent`, "gives bool"},
		{"a runner in an order", "", `runner.free`, "undeclared"},
		{"words of a caller", "", `job.text.size()`, "undefined field"},
		{"unknown runner", "runner.name == \"m9\" ? 1 : 0", "", `there is no "m9"`},
		{
			"unknown runner in a list",
			"1 +\n (runner.name in [\"m1\", \"m7\"] ? 1 : 0)",
			"",
			`line 2, column 25: there is no "m7"`,
		},
		{"unknown zone", `runner.zone != "z" ? 1 : 0`, "", `there is no "z"`},
		{"too long", strings.Repeat("1+", 3000) + "1", "", "limit"},
	} {
		_, err := script.Load(script.Source{Rank: tc.rank, Order: tc.order}, runners, zones)
		if code.Of(err) != code.BadPolicy || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: %v, want %q", tc.what, err, tc.want)
		}
	}
}

// TestRun checks that a valid program ranks and orders, and that evaluation returns an
// error when it exceeds the cost limit or fails.
func TestRun(t *testing.T) {
	s, err := script.Load(
		script.Source{Rank: `runner.prefix * 3.0 + (runner.name == "m1" ? 0.5 : 0.0)`, Order: `job.follows ? 0 : 1`},
		runners,
		zones,
	)
	if err != nil {
		t.Fatal(err)
	}
	if v, err := s.Rank(&script.Job{}, &script.Runner{Name: "m1", Prefix: 0.5}); err != nil || v != 2 {
		t.Errorf("%v %v", v, err)
	}
	if v, err := s.Order(&script.Job{Follows: true}); err != nil || v != 0 {
		t.Errorf("%v %v", v, err)
	}
	expensive := &script.Job{Parts: make([]string, 64)}
	for _, src := range []string{
		`job.parts.map(a, job.parts.map(b, job.parts.map(c, 1).size()).size()).size()`,
		`job.words / (job.words - job.words)`,
		`0.0 / 0.0`,
	} {
		s, err := script.Load(script.Source{Order: src}, runners, zones)
		if err != nil {
			t.Fatal(err)
		}
		if v, err := s.Order(expensive); code.Of(err) != code.BadPolicy {
			t.Errorf("%s gave %v, %v", src, v, err)
		}
	}
}

// BenchmarkPriority measures one evaluation of a rank expression.
func BenchmarkPriority(b *testing.B) {
	s, err := script.Load(
		script.Source{Rank: `runner.prefix * 3.0 + double(runner.free) / double(runner.free + runner.used)`},
		runners,
		zones,
	)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := s.Rank(&script.Job{}, &script.Runner{Free: 3}); err != nil {
			b.Fatal(err)
		}
	}
}
