package main

import (
	"io/fs"
	"os"
	"path/filepath"
)

// leftOut are folders of the tree's root that no build and no test needs.
var leftOut = map[string]bool{".git": true, "bin": true, "run": true, "target": true, "journal": true}

// scratch is a copy of the tree that mutants are applied to.
type scratch struct{ root string }

// newScratch copies the tree under root to a temporary folder.
func newScratch(root string) (*scratch, error) {
	to, err := os.MkdirTemp("", "damsontiller-mutants-")
	if err != nil {
		return nil, err
	}
	s := &scratch{root: to}
	if err := s.fill(root); err != nil {
		s.remove()
		return nil, err
	}
	return s, nil
}

func (s *scratch) fill(root string) error {
	return filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if leftOut[name] {
			if entry.IsDir() {
				return filepath.SkipDir
			}
			return nil
		}
		return copyEntry(path, filepath.Join(s.root, name), entry)
	})
}

// copyEntry copies a folder's entry; links and the like are left out.
func copyEntry(from, to string, entry fs.DirEntry) error {
	if entry.IsDir() {
		return os.MkdirAll(to, 0o755)
	}
	if !entry.Type().IsRegular() {
		return nil
	}
	info, err := entry.Info()
	if err != nil {
		return err
	}
	content, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	return os.WriteFile(to, content, info.Mode())
}

func (s *scratch) remove() { _ = os.RemoveAll(s.root) }
