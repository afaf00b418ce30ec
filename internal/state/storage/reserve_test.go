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
	// smallDiskReserve is the size of the reserve on a disk of that size.
	smallDiskReserve = 2 << 20
)

// fillDisk writes an unrelated file until the given number of bytes is left.
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

// TestReserve: on a disk filled by other programs, votes on existing keys use the space of the
// reserve, and bulk writes are rejected. After a restart the reserve is still missing; it is
// written again once there is enough space.
func TestReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := faultfs.New(vfs.NewCrashableMem())
		fs.SetCapacity(smallDisk)
		engine := openSmall(t, fs)
		mustSave(t, engine, "vote", 1)
		if used := fs.Used(); used < smallDiskReserve {
			t.Fatalf("%d bytes are used, no space is reserved", used)
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
		if n := loadPromise(t, engine, "vote"); n != 201 {
			t.Errorf("promise of %d", n)
		}
		if err := fs.Remove("/others"); err != nil {
			t.Fatal(err)
		}
		engine.MeasureDisk()
		if err := engine.PutBlob("b", []byte("x"), time.Hour); err != nil {
			t.Errorf("a blob after space was freed: %v", err)
		}
		if used := fs.Used(); used < smallDiskReserve {
			t.Errorf("%d bytes are used, no space is reserved again", used)
		}
		fillDisk(t, fs, 0)
		mustSave(t, engine, "vote", 300)
		if err := engine.Close(); err != nil {
			t.Error(err)
		}
	})
}

// TestReserveOpens: a folder on a disk filled by other programs is opened using the space of
// the reserve.
func TestReserveOpens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := faultfs.New(vfs.NewCrashableMem())
		fs.SetCapacity(smallDisk)
		engine := openSmall(t, fs)
		for i := range 40 {
			mustSave(t, engine, fmt.Sprint("k", i), 1)
		}
		if err := engine.Close(); err != nil {
			t.Fatal(err)
		}
		fillDisk(t, fs, 0)
		startedAt := time.Now()
		engine = openSmall(t, fs)
		if took := time.Since(startedAt); took > 2*time.Second {
			t.Errorf("opening took %v", took)
		}
		mustSave(t, engine, "k1", 2)
		if err := engine.Close(); err != nil {
			t.Error(err)
		}
	})
}

// TestPersistentReadFailure: if reads keep failing at startup, the machine starts under a new
// identity after a minute. It keeps its identity if reads fail for a shorter time, or if the
// disk does not respond for a long time.
func TestPersistentReadFailure(t *testing.T) {
	for _, tc := range []struct {
		name          string
		fault         func(fs *faultfs.FS)
		heal          func(fs *faultfs.FS)
		healAfter     time.Duration
		keepsIdentity bool
	}{
		{
			// The new database has the same path as the old one, so the fault is cleared soon
			// afterwards.
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
			mustSave(t, engine, "k", 1)
			oldIdentity := engine.Ident()
			if err := engine.Close(); err != nil {
				t.Fatal(err)
			}
			tc.fault(fs)
			if tc.healAfter > 0 {
				time.AfterFunc(tc.healAfter, func() { tc.heal(fs) })
			}
			startedAt := time.Now()
			engine = open(t, fs, "s1")
			if took := time.Since(startedAt); !tc.keepsIdentity && took > 130*time.Second {
				t.Errorf("%s: opening took %v", tc.name, took)
			}
			if same := engine.Ident() == oldIdentity; same != tc.keepsIdentity {
				t.Errorf("%s: identity kept: %v", tc.name, same)
			}
			fs.ClearFileFaults()
			mustSave(t, engine, "k", 2)
			if err := engine.Close(); err != nil {
				t.Error(err)
			}
		})
	}
}
