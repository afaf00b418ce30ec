package code_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"damsontiller/internal/transport/code"
)

// TestTable: Table and docs/codes.md have the same rows.
func TestTable(t *testing.T) {
	b, err := os.ReadFile("../../../docs/codes.md")
	if err != nil {
		t.Fatal(err)
	}
	var doc []string
	for _, l := range strings.Split(string(b), "\n") {
		f := strings.Split(l, "|")
		if len(f) == 7 && strings.Trim(f[1], " 0123456789") == "" {
			doc = append(
				doc,
				fmt.Sprintf(
					"%s %s %s %s",
					strings.TrimSpace(f[1]),
					strings.TrimSpace(f[2]),
					strings.TrimSpace(f[3]),
					strings.TrimSpace(f[4]),
				),
			)
		}
	}
	seen := map[code.Code]bool{}
	for i, r := range code.Table {
		status := ""
		if r.Status > 0 {
			status = fmt.Sprint(r.Status)
		}
		want := fmt.Sprintf("%d %s %s %s", r.Code, r.Name, status, r.Ran)
		if i >= len(doc) || doc[i] != want {
			t.Fatalf("row %d: code has %q, docs have %q", i, want, append(doc, make([]string, i+1)...)[i])
		}
		if seen[r.Code] {
			t.Errorf("duplicate code %d", r.Code)
		}
		seen[r.Code] = true
		// A caller may retry unconditionally only if the code guarantees that nothing ran.
		if h := r.Code / 100; (h == 1 || h == 2) != (r.Ran == "no") || (h == 3) != (r.Ran == "unknown") {
			t.Errorf("%d %s says that it ran: %q", r.Code, r.Name, r.Ran)
		}
	}
	if len(doc) != len(code.Table) {
		t.Errorf("docs have %d rows, the code %d", len(doc), len(code.Table))
	}
}

// TestOf: a wrapped error keeps its code, and an error without a code is Unknown.
func TestOf(t *testing.T) {
	base := errors.New("base")
	err := fmt.Errorf("outer: %w", code.New(code.Cooling, "inner: %w", base))
	if code.Of(err) != code.Cooling || !errors.Is(err, base) || code.Text(err) != "inner: base" {
		t.Errorf("%v: %d %q", err, code.Of(err), code.Text(err))
	}
	if code.Of(base) != code.Unknown || code.Of(nil) != code.OK {
		t.Error("errors without a code")
	}
}
