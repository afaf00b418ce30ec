package storage_test

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"damsontiller/internal/state/storage"
	"damsontiller/internal/state/storage/faultfs"
	"damsontiller/internal/transport/code"
)

const (
	smallDisk = 64 << 20
	// reserved is what a disk of that size keeps in reserve.
	reserved = 2 << 20
)

// fillDisk writes a file of somebody else until so many bytes are left.
func fillDisk(t *testing.T, fs *faultfs.FS, left int64) {
	t.Helper()
	f, err := fs.Create("/others", vfs.WriteCategoryUnspecified)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if _, err := f.Write(make([]byte, smallDisk-fs.Used()-left)); err != nil {
		t.Fatal(err)
	}
}

func openSmall(t *testing.T, fs vfs.FS) *storage.Engine {
	t.Helper()
	engine, err := storage.Open(storage.Params{
		Dir: "/data", ID: "s1", Role: "store", FS: fs, TombstoneRetention: time.Hour, MinFree: 1 << 30,
	})
	if err != nil {
		t.Fatal(err)
	}
	return engine
}

// TestReserve: on a disk that others have filled votes of the keys that are here go on with
// what the reserve held, and bulk is refused. A start finds it released; once there is plenty
// of space it is made anew.
func TestReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := faultfs.New(vfs.NewCrashableMem())
		fs.SetCapacity(smallDisk)
		engine := openSmall(t, fs)
		saved(t, engine, "vote", 1)
		if used := fs.Used(); used < reserved {
			t.Fatalf("%d bytes are used, nothing is held in reserve", used)
		}
		fillDisk(t, fs, 0)
		for i := range 200 {
			if _, err := engine.Load("vote"); err != nil {
				t.Fatalf("vote %d: %v", i, err)
			}
			if err := engine.Save("vote", record(i+2)); err != nil {
				t.Fatalf("vote %d on a full disk: %v", i, err)
			}
		}
		if err := engine.PutBlob("b", []byte("x"), time.Hour); code.Of(err) != code.DiskFull {
			t.Errorf("a blob on a full disk: %v", err)
		}
		if _, err := engine.PutBlobs(nil); code.Of(err) != code.DiskFull {
			t.Errorf("bulk on a full disk: %v", err)
		}
		if status := engine.Status(); !strings.Contains(status, "nearly full") {
			t.Errorf("status %q", status)
		}
		if err := engine.Close(); err != nil {
			t.Error(err)
		}
		engine = openSmall(t, fs)
		if n := promised(t, engine, "vote"); n != 201 {
			t.Errorf("promised %d", n)
		}
		if err := fs.Remove("/others"); err != nil {
			t.Fatal(err)
		}
		engine.MeasureDisk()
		if err := engine.PutBlob("b", []byte("x"), time.Hour); err != nil {
			t.Errorf("a blob with space again: %v", err)
		}
		if used := fs.Used(); used < reserved {
			t.Errorf("%d bytes are used, nothing is held in reserve again", used)
		}
		fillDisk(t, fs, 0)
		saved(t, engine, "vote", 300)
		if err := engine.Close(); err != nil {
			t.Error(err)
		}
	})
}

// TestReserveOpens: a folder on a disk that others have filled is opened with what the
// reserve held.
func TestReserveOpens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := faultfs.New(vfs.NewCrashableMem())
		fs.SetCapacity(smallDisk)
		engine := openSmall(t, fs)
		for i := range 40 {
			saved(t, engine, fmt.Sprint("k", i), 1)
		}
		if err := engine.Close(); err != nil {
			t.Fatal(err)
		}
		fillDisk(t, fs, 0)
		began := time.Now()
		engine = openSmall(t, fs)
		if took := time.Since(began); took > 2*time.Second {
			t.Errorf("it took %v", took)
		}
		saved(t, engine, "k1", 2)
		if err := engine.Close(); err != nil {
			t.Error(err)
		}
	})
}

// TestUnreadableForGood: a disk that goes on failing reads at the start is given up after a
// minute: the machine starts under a new identity. One that fails them for less, or that
// answers nothing for long, keeps it.
func TestUnreadableForGood(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(fs *faultfs.FS)
		heal  func(fs *faultfs.FS)
		after time.Duration
		same  bool
	}{
		{
			// The new database stands where the old one stood, so it is healed soon after.
			"the database can't be read", func(fs *faultfs.FS) { fs.FailAlwaysOnFile(faultfs.Read, "MANIFEST", syscall.EIO) },
			(*faultfs.FS).ClearFileFaults, 62 * time.Second, false,
		},
		{
			"the identity can't be read", func(fs *faultfs.FS) { fs.FailAlwaysOnFile(faultfs.Read, "IDENT", syscall.EIO) },
			func(*faultfs.FS) {}, 0, false,
		},
		{
			"for half a minute", func(fs *faultfs.FS) { fs.FailAlwaysOnFile(faultfs.Read, "MANIFEST", syscall.EIO) },
			(*faultfs.FS).ClearFileFaults, 30 * time.Second, true,
		},
		{
			"no answer for ten minutes", func(fs *faultfs.FS) { fs.SetStalled(true) },
			func(fs *faultfs.FS) { fs.SetStalled(false) }, 10 * time.Minute, true,
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			fs := faultfs.New(vfs.NewCrashableMem())
			engine := open(t, fs, "s1")
			saved(t, engine, "k", 1)
			was := engine.Ident()
			if err := engine.Close(); err != nil {
				t.Fatal(err)
			}
			tc.fault(fs)
			if tc.after > 0 {
				time.AfterFunc(tc.after, func() { tc.heal(fs) })
			}
			began := time.Now()
			engine = open(t, fs, "s1")
			if took := time.Since(began); !tc.same && took > 130*time.Second {
				t.Errorf("%s: it took %v", tc.name, took)
			}
			if same := engine.Ident() == was; same != tc.same {
				t.Errorf("%s: the same identity: %v", tc.name, same)
			}
			fs.ClearFileFaults()
			saved(t, engine, "k", 2)
			if err := engine.Close(); err != nil {
				t.Error(err)
			}
		})
	}
}
