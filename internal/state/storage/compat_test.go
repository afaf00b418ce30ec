package storage

import (
	"archive/tar"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"

	"google.golang.org/protobuf/proto"

	"damsontiller/internal/proto/wire"
)

// contents are the contents of a data folder as read by the release that wrote it.
type contents struct {
	Ident     string            `json:"ident"`
	Registers map[string][]byte `json:"registers"`
	Blobs     map[string][]byte `json:"blobs"`
	Notes     map[string][]byte `json:"notes"`
}

// TestOpensEarlierRelease opens data folders that a process of commit 7b6c0ec left behind when
// it was killed, and checks that they have the contents that this commit read.
func TestOpensEarlierRelease(t *testing.T) {
	tests := []struct{ name, id, role string }{
		{"store-7b6c0ec", "s1", "store"},
		{"core-7b6c0ec", "c1", "core"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			want := readContents(t, filepath.Join("testdata", tc.name+".json"))
			dir := t.TempDir()
			extract(t, filepath.Join("testdata", tc.name+".tar.gz"), dir)
			engine, err := Open(Params{Dir: dir, ID: tc.id, Role: tc.role})
			if err != nil {
				t.Fatal(err)
			}
			defer engine.Close()
			if engine.NewIdentity {
				t.Error("the folder is reported as new")
			}
			if got := engine.Ident(); got != want.Ident {
				t.Errorf("identity %s, want %s", got, want.Ident)
			}
			checkRegisters(t, engine, want.Registers)
			checkBlobs(t, engine, want.Blobs)
			metadata, err := engine.ListMetadata("")
			if err != nil {
				t.Fatal(err)
			}
			checkSame(t, "note", metadata, want.Notes)
		})
	}
}

func checkRegisters(t *testing.T, engine *Engine, want map[string][]byte) {
	t.Helper()
	got := map[string]*wire.Rec{}
	if err := engine.EachRegister("", func(key string, r *wire.Rec) { got[key] = r }); err != nil {
		t.Fatal(err)
	}
	if len(got) != len(want) || len(got) == 0 {
		t.Errorf("%d registers, want %d", len(got), len(want))
	}
	for key, raw := range want {
		record := &wire.Rec{}
		if err := wire.Decode(raw, record); err != nil {
			t.Fatal(err)
		}
		if !proto.Equal(got[key], record) {
			t.Errorf("register %s: %v, want %v", key, got[key], record)
		}
	}
}

func checkBlobs(t *testing.T, engine *Engine, want map[string][]byte) {
	t.Helper()
	rows, err := engine.Keys(wire.List_BLOBS, "", len(want)+1, nil)
	if err != nil {
		t.Fatal(err)
	}
	got := map[string][]byte{}
	for _, row := range rows {
		blob, err := engine.GetBlob(row.Key)
		if err != nil {
			t.Fatal(err)
		}
		got[row.Key] = blob.Val
	}
	checkSame(t, "blob", got, want)
}

func checkSame(t *testing.T, kind string, got, want map[string][]byte) {
	t.Helper()
	if len(got) != len(want) {
		t.Errorf("%d entries of kind %s, want %d", len(got), kind, len(want))
	}
	for key, value := range want {
		if !bytes.Equal(got[key], value) {
			t.Errorf("%s %s: %q, want %q", kind, key, got[key], value)
		}
	}
}

func readContents(t *testing.T, path string) contents {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var c contents
	if err := json.Unmarshal(raw, &c); err != nil {
		t.Fatal(err)
	}
	return c
}

// extract unpacks a gzipped tar archive of regular files and directories.
func extract(t *testing.T, archive, dir string) {
	t.Helper()
	f, err := os.Open(archive)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	unzipped, err := gzip.NewReader(f)
	if err != nil {
		t.Fatal(err)
	}
	entries := tar.NewReader(unzipped)
	for {
		header, err := entries.Next()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(dir, filepath.Clean("/"+header.Name))
		if header.Typeflag == tar.TypeDir {
			err = os.MkdirAll(path, 0o755)
		} else {
			err = writeFrom(path, entries)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

func writeFrom(path string, r io.Reader) error {
	content, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	return os.WriteFile(path, content, 0o644)
}
