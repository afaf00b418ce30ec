package internal_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// allowedImports lists, for each group of packages, the groups that it may import beside
// itself. Test files may import kit as well.
var allowedImports = map[string][]string{
	"transport":    {},
	"proto":        {"transport"},
	"state":        {"proto", "transport"},
	"coordination": {"proto", "transport"},
	"dataplane":    {"coordination", "state", "proto", "transport"},
	"platform":     {"dataplane", "coordination", "state", "proto", "transport"},
}

// TestLayers holds the direction of imports between the groups of packages. The kit of
// tests and rehearsals may import all of them.
func TestLayers(t *testing.T) {
	for group, allowed := range allowedImports {
		t.Run(group, func(t *testing.T) {
			for _, path := range goFiles(t, group) {
				for _, imported := range importedGroups(t, path) {
					if imported == group || slices.Contains(allowed, imported) {
						continue
					}
					if imported == "kit" && strings.HasSuffix(path, "_test.go") {
						continue
					}
					t.Errorf("%s imports %s", path, imported)
				}
			}
		})
	}
}

// goFiles lists the Go files under a folder.
func goFiles(t *testing.T, root string) []string {
	t.Helper()
	var files []string
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".go") {
			files = append(files, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(files) == 0 {
		t.Fatalf("no Go files under %s", root)
	}
	return files
}

// importedGroups lists the groups of this module's packages that a file imports.
func importedGroups(t *testing.T, path string) []string {
	t.Helper()
	const prefix = "damsontiller/internal/"
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	var groups []string
	for _, spec := range file.Imports {
		name, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		if rest, ok := strings.CutPrefix(name, prefix); ok {
			group, _, _ := strings.Cut(rest, "/")
			groups = append(groups, group)
		}
	}
	return groups
}
