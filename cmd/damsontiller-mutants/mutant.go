package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/BurntSushi/toml"
)

// Mutant switches one mechanism off by a replacement of text.
type Mutant struct {
	Name      string `toml:"name"`
	Mechanism string `toml:"mechanism"`
	File      string `toml:"file"`    // from the tree's root
	Old       string `toml:"old"`     // stands exactly once in the file
	New       string `toml:"new"`     // compiles in its place
	Package   string `toml:"package"` // of the test, such as ./proto/reg
	Test      string `toml:"test"`    // a pattern of go test -run
	Day       string `toml:"day"`     // the bench day that breaks, if one does
}

// load reads a list of mutants and checks that each is complete and named once.
func load(path string) ([]Mutant, error) {
	var list struct {
		Mutants []Mutant `toml:"mutant"`
	}
	meta, err := toml.DecodeFile(path, &list)
	if err != nil {
		return nil, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: unknown field %s", path, unknown[0])
	}
	return list.Mutants, checkEach(path, "mutant", list.Mutants, (*Mutant).check)
}

// checkEach checks every entry of a list, of mutants or of ablations, and that no two have
// one name.
func checkEach(path, kind string, entries []Mutant, check func(*Mutant) error) error {
	seen := map[string]bool{}
	for i := range entries {
		m := &entries[i]
		if err := check(m); err != nil {
			return fmt.Errorf("%s: %s %d (%s): %w", path, kind, i+1, m.Name, err)
		}
		if seen[m.Name] {
			return fmt.Errorf("%s: two %ss are named %s", path, kind, m.Name)
		}
		seen[m.Name] = true
	}
	return nil
}

// field is one of an entry's fields by its name in the list.
type field struct{ name, value string }

func missing(fields ...field) error {
	for _, f := range fields {
		if f.value == "" {
			return fmt.Errorf("%s is missing", f.name)
		}
	}
	return nil
}

func (m *Mutant) check() error {
	if err := missing(field{"package", m.Package}, field{"test", m.Test}); err != nil {
		return err
	}
	return m.checkChange()
}

// checkChange checks what is changed, without the test.
func (m *Mutant) checkChange() error {
	err := missing(field{"name", m.Name}, field{"mechanism", m.Mechanism}, field{"file", m.File}, field{"old", m.Old})
	if err != nil {
		return err
	}
	if !filepath.IsLocal(m.File) {
		return fmt.Errorf("file %q lies outside the tree", m.File)
	}
	if m.Old == m.New {
		return fmt.Errorf("old and new are the same")
	}
	return nil
}

// notApplicable tells why a mutant can't be applied to this tree.
type notApplicable struct{ why string }

func (e *notApplicable) Error() string { return "not applicable: " + e.why }

// apply puts the mutant into the tree under root and returns what takes it out again.
func (m *Mutant) apply(root string) (restore func() error, err error) {
	path := filepath.Join(root, m.File)
	info, err := os.Stat(path)
	if err != nil {
		return nil, &notApplicable{err.Error()}
	}
	original, err := os.ReadFile(path)
	if err != nil {
		return nil, &notApplicable{err.Error()}
	}
	if n := strings.Count(string(original), m.Old); n != 1 {
		return nil, &notApplicable{fmt.Sprintf("the old text stands %d times in %s", n, m.File)}
	}
	mutated := strings.Replace(string(original), m.Old, m.New, 1)
	if err := os.WriteFile(path, []byte(mutated), info.Mode()); err != nil {
		return nil, err
	}
	return func() error { return os.WriteFile(path, original, info.Mode()) }, nil
}
