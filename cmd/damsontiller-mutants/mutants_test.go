package main

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const original = "package fence\n\nconst On = true\n\nvar A, B = 1, 1\n"

// tree is a small tree with one file to mutate.
func tree(t *testing.T) string {
	t.Helper()
	root := t.TempDir()
	for name, content := range map[string]string{"fence/fence.go": original, "go.work": "go 1.26\n", ".git/HEAD": "x", "journal/1": "x"} {
		path := filepath.Join(root, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return root
}

func content(t *testing.T, root string) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(root, "fence/fence.go"))
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func withoutEpochGuard() Mutant {
	return Mutant{
		Name:      "fence-off",
		Mechanism: "fence",
		File:      "fence/fence.go",
		Old:       "On = true",
		New:       "On = false",
		Package:   "./fence",
		Test:      "TestFence",
	}
}

// scripted gives one outcome without the mutant and one with it, and breaks off or
// panics on demand.
type scripted struct {
	without, with outcome
	during        func()
}

func (s scripted) test(_ context.Context, root, _, _ string) (outcome, string) {
	b, err := os.ReadFile(filepath.Join(root, "fence/fence.go"))
	if err != nil {
		return unbuilt, err.Error()
	}
	if strings.Contains(string(b), "On = true") {
		return s.without, "out"
	}
	if s.during != nil {
		s.during()
	}
	return s.with, "out"
}

// TestJudge: each way a run may end has its verdict, the scratch copy is as it was
// afterwards, and the tree itself is never touched.
func TestJudge(t *testing.T) {
	twice, lost := withoutEpochGuard(), withoutEpochGuard()
	twice.Old, lost.File = "1", "fence/gone.go"
	for _, c := range []struct {
		what   string
		mutant Mutant
		tests  scripted
		want   verdict
	}{
		{"the test fails", withoutEpochGuard(), scripted{passed, failed, nil}, killed},
		{"the test passes", withoutEpochGuard(), scripted{passed, passed, nil}, survived},
		{"the mutant is no program", withoutEpochGuard(), scripted{passed, unbuilt, nil}, notCompiled},
		{"red before", withoutEpochGuard(), scripted{failed, failed, nil}, redWithoutIt},
		{"no such test", withoutEpochGuard(), scripted{unfound, failed, nil}, notRun},
		{"the text stands twice", twice, scripted{passed, failed, nil}, notApplied},
		{"the file is gone", lost, scripted{passed, failed, nil}, notApplied},
	} {
		root := tree(t)
		s, err := newScratch(root)
		if err != nil {
			t.Fatal(err)
		}
		if r := judge(t.Context(), s, c.mutant, c.tests); r.verdict != c.want {
			t.Errorf("%s: %s, want %s", c.what, r.verdict, c.want)
		}
		if content(t, s.root) != original || content(t, root) != original {
			t.Errorf("%s: the file is not as it was", c.what)
		}
		if _, err := os.Stat(filepath.Join(s.root, ".git")); err == nil {
			t.Errorf("%s: the copy holds what no build needs", c.what)
		}
		s.remove()
		if _, err := os.Stat(s.root); err == nil {
			t.Errorf("%s: the copy is left", c.what)
		}
	}
}

// TestBrokenOff: a run that is interrupted, or panics, restores the copy too.
func TestBrokenOff(t *testing.T) {
	s, err := newScratch(tree(t))
	if err != nil {
		t.Fatal(err)
	}
	defer s.remove()
	ctx, stop := context.WithCancel(t.Context())
	if r := judge(ctx, s, withoutEpochGuard(), scripted{passed, failed, stop}); r.verdict != brokenOff ||
		content(t, s.root) != original {
		t.Errorf("interrupted: %s, the file holds %q", r.verdict, content(t, s.root))
	}
	func() {
		defer func() { _ = recover() }()
		judge(t.Context(), s, withoutEpochGuard(), scripted{passed, failed, func() { panic("x") }})
	}()
	if content(t, s.root) != original {
		t.Errorf("after a panic the file holds %q", content(t, s.root))
	}
}

// TestRead: outcomes are told by go test's own words.
func TestRead(t *testing.T) {
	bad := errors.New("exit status 1")
	for _, c := range []struct {
		err  error
		out  string
		want outcome
	}{
		{nil, "=== RUN   TestA\n--- PASS: TestA\nok", passed},
		{bad, "=== RUN   TestA\n--- FAIL: TestA\nFAIL", failed},
		{bad, "=== RUN   TestA\npanic: x", failed},
		{bad, "x.go:1: undefined\nFAIL x [build failed]", unbuilt},
		{bad, "pattern ./gone: no such directory", unbuilt},
		{nil, "testing: warning: no tests to run\nok", unfound},
	} {
		if got := read(c.err, c.out); got != c.want {
			t.Errorf("%q: %d, want %d", c.out, got, c.want)
		}
	}
}

// TestLoad: a list that is not complete is refused, naming what is wrong.
func TestLoad(t *testing.T) {
	complete := "[[mutant]]\nname='a'\nmechanism='m'\nfile='f.go'\nold='x'\nnew='y'\npackage='./p'\ntest='T'\n"
	for _, c := range []struct{ text, names string }{
		{complete, ""},
		{complete + complete, "two mutants"},
		{strings.Replace(complete, "old='x'\n", "", 1), "old is missing"},
		{strings.Replace(complete, "'y'", "'x'", 1), "the same"},
		{strings.Replace(complete, "f.go", "../f.go", 1), "outside"},
		{complete + "later='x'\n", "unknown field"},
	} {
		path := filepath.Join(t.TempDir(), "mutants.toml")
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		switch _, err := load(path); {
		case c.names == "" && err != nil:
			t.Error(err)
		case c.names != "" && (err == nil || !strings.Contains(err.Error(), c.names)):
			t.Errorf("%v does not say %q", err, c.names)
		}
	}
}

// TestSurvivors: whatever is not killed is an error, and the table counts it.
func TestSurvivors(t *testing.T) {
	results := []result{{mutant: withoutEpochGuard(), verdict: killed, took: time.Second}}
	if err := survivors(results); err != nil {
		t.Error(err)
	}
	results = append(results, result{mutant: withoutEpochGuard(), verdict: notApplied, detail: "why"})
	if err := survivors(results); !errors.Is(err, errSurvived) {
		t.Error(err)
	}
	var out strings.Builder
	printTable(&out, results)
	if !strings.Contains(out.String(), "2 mutants, 1 killed, 0 survived, 1 undecided") ||
		!strings.Contains(out.String(), "why") {
		t.Error(out.String())
	}
}

// TestAblate: each mechanism of the list gets a copy of the tree without it, and the tree
// stays as it is; what can't be applied, or would overwrite a copy, is said.
func TestAblate(t *testing.T) {
	root, out := tree(t), t.TempDir()
	list := filepath.Join(out, "list.toml")
	entry := "[[ablation]]\nname = \"%\"\nmechanism = \"m\"\nfile = \"fence/fence.go\"\nold = \"On = true\"\nnew = \"On = false\"\n"
	text := strings.ReplaceAll(entry, "%", "one") + strings.ReplaceAll(entry, "%", "two")
	if err := os.WriteFile(list, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	args := []string{"ablate", "-root", root, "-list", list, "-out", out, "-only", "two"}
	if err := run(args); err != nil {
		t.Fatal(err)
	}
	if got := content(t, filepath.Join(out, "two")); !strings.Contains(got, "On = false") {
		t.Errorf("the copy holds %q", got)
	}
	if content(t, root) != original {
		t.Error("the tree was changed")
	}
	if _, err := os.Stat(filepath.Join(out, "one")); !os.IsNotExist(err) {
		t.Errorf("a copy that was not asked for: %v", err)
	}
	if err := run(args); err == nil {
		t.Error("a copy was overwritten")
	}
	for name, bad := range map[string]string{
		"twice":      strings.ReplaceAll(entry, "%", "a") + strings.ReplaceAll(entry, "%", "a"),
		"no name":    strings.ReplaceAll(entry, "%", ""),
		"other text": strings.ReplaceAll(strings.ReplaceAll(entry, "%", "b"), "On = true", "Off"),
		"unknown":    strings.ReplaceAll(entry, "%", "c") + "more = 1\n",
	} {
		if err := os.WriteFile(list, []byte(bad), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := run([]string{"ablate", "-root", root, "-list", list, "-out", out}); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}
