package spec_test

import (
	"bytes"
	"os"
	"testing"

	"damsontiller/internal/proto/spec"
)

// deployed gives the committed specs as seeds.
func deployed(f *testing.F) (first []byte) {
	for _, name := range []string{"andina", "tsehay"} {
		b, err := os.ReadFile("../../../deploy/" + name + "/spec.json")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
		if first == nil {
			first = b
		}
	}
	return first
}

// writtenAgain fails where a good spec does not come back from its own text as it was.
func writtenAgain(t *testing.T, s *spec.Spec) {
	t.Helper()
	b, err := s.MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	var again spec.Spec
	if err := again.UnmarshalJSON(b); err != nil {
		t.Fatalf("%q does not come back: %v", b, err)
	}
	if err := again.Check(); err != nil {
		t.Errorf("%q is refused when it comes back: %v", b, err)
	}
	if c, _ := again.MarshalJSON(); !sameText(b, c) {
		t.Errorf("%q comes back as %q", b, c)
	}
}

// sameText compares two texts of a value. What is no UTF-8 is first written as an escape
// and, once read, as the character that stands for it.
func sameText(first, second []byte) bool {
	plain := func(text []byte) []byte { return bytes.ReplaceAll(text, []byte(`\ufffd`), []byte("\ufffd")) }
	return bytes.Equal(plain(first), plain(second))
}

// FuzzSpec: whatever operators send as a spec, it is refused or comes back from the
// register as it was, and no wait in it is below 0.
func FuzzSpec(f *testing.F) {
	deployed(f)
	f.Add([]byte(`{"name":"fleet","zones":["a"]}`))
	f.Add([]byte(`{}`))
	f.Add([]byte(`{"name":"x","zones":["a"],"zones":null}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var s spec.Spec
		if spec.Read(b, &s) != nil || s.Check() != nil {
			return
		}
		writtenAgain(t, &s)
		if s.LongestWait() <= 0 || s.Cooldown.First() < 0 || s.Cooldown.Cap() < s.Cooldown.First() ||
			s.StateKeep("claim/") < s.LongestWait() {
			t.Errorf("longest wait %s, cooldown %s to %s", s.LongestWait(), s.Cooldown.First(), s.Cooldown.Cap())
		}
	})
}

// FuzzSpecPatch: whatever operators send as a change of the spec, the changed spec is
// refused or comes back as it was.
func FuzzSpecPatch(f *testing.F) {
	f.Add([]byte(`{"empty_zones":["a"]}`))
	f.Add(
		[]byte(
			`{"cooldown":{"first_ms":10,"cap_ms":100,"statuses":[429,503]},"keeping":[{"class":"*","keep_s":60}]}`,
		),
	)
	f.Add([]byte(`{"state_keeping":{"longest_wait_s":60},"budgets":[{"programs":"*","output":1}]}`))
	inForce, err := os.ReadFile("../../../deploy/andina/spec.json")
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var p spec.Patch
		var s spec.Spec
		if err := spec.Read(inForce, &s); err != nil {
			t.Fatal(err)
		}
		if spec.Read(b, &p) != nil {
			return
		}
		if s = p.Apply(s); s.Check() == nil {
			writtenAgain(t, &s)
		}
	})
}
