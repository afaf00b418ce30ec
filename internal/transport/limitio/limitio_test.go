package limitio

import (
	"os"
	"path/filepath"
	"testing"
)

// TestReadFile checks files up to the limit, over it, and none.
func TestReadFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	for size, good := range map[int]bool{0: true, 10: true, 11: false, 100_000: false} {
		if err := os.WriteFile(path, make([]byte, size), 0o600); err != nil {
			t.Fatal(err)
		}
		if b, err := ReadFile(path, 10); (err == nil) != good || good && len(b) != size {
			t.Errorf("%d bytes: %d, %v", size, len(b), err)
		}
	}
	if _, err := ReadFile(path+".none", 10); !os.IsNotExist(err) {
		t.Errorf("no file: %v", err)
	}
}
