package storage_test

import (
	"bytes"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"damsontiller/internal/state/storage"
	"damsontiller/internal/state/storage/faultfs"
)

// TestSequence: a folder counts the write groups that it has synced. After a power loss, a
// restart finds at least as many groups as were reported before, even if unsynced data was
// torn. A backup taken earlier has fewer.
func TestSequence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := vfs.NewCrashableMem()
		engine := open(t, mem, "s1")
		first := engine.FolderState()
		if first.Start == 0 || first.Opened != 0 {
			t.Errorf("state of a new folder: %v", first)
		}
		mustSave(t, engine, "k", 1)
		backup := mem.CrashClone(vfs.CrashCloneCfg{})
		for i := range 20 {
			mustSave(t, engine, fmt.Sprint("k", i), 1)
		}
		acknowledged := engine.FolderState()
		if acknowledged.Start != first.Start || acknowledged.Synced < first.Synced+21 {
			t.Errorf("state after 21 more writes: %v, initial state %v", acknowledged, first)
		}
		restarted := open(t, mem.CrashClone(vfs.CrashCloneCfg{}), "s1")
		state := restarted.FolderState()
		if state.Opened < acknowledged.Synced || state.Start == acknowledged.Start {
			t.Errorf("state after a power loss: %v, before it %v", state, acknowledged)
		}
		restored := open(t, backup, "s1")
		if state := restored.FolderState(); state.Opened >= acknowledged.Synced {
			t.Errorf("state of an older backup: %v, state of the folder %v", state, acknowledged)
		}
		for _, e := range []*storage.Engine{engine, restarted, restored} {
			if err := e.Close(); err != nil {
				t.Error(err)
			}
		}
	})
}

// TestSequenceAfterFailedSync: writes whose sync failed are not counted before the folder has
// been reopened, even if the disk has kept them.
func TestSequenceAfterFailedSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := faultfs.New(vfs.NewCrashableMem())
		engine := open(t, fs, "s1")
		mustSave(t, engine, "k", 1)
		before := engine.FolderState()
		fs.FailNext(faultfs.Sync, 1, syscall.EIO)
		_ = engine.Save("k", record(2))
		if state := engine.FolderState(); state.Synced != before.Synced {
			t.Errorf("a failed sync is counted: %v, before %v", state, before)
		}
		mustSave(t, engine, "k", 3)
		if state := engine.FolderState(); state.Synced <= before.Synced || state.Start != before.Start {
			t.Errorf("state after reopening: %v, before %v", state, before)
		}
		closeEngine(t, engine, fs)
	})
}

// TestStallDuration: StallDuration distinguishes a disk that does not respond from a slow one and
// from one without pending operations.
func TestStallDuration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := faultfs.New(vfs.NewCrashableMem())
		engine := open(t, fs, "s1")
		time.Sleep(time.Minute)
		if d := engine.StallDuration(); d != 0 {
			t.Errorf("idle disk: stall duration %v", d)
		}
		fs.SetDelay(300 * time.Millisecond)
		mustSave(t, engine, "k", 1)
		if d := engine.StallDuration(); d > 300*time.Millisecond {
			t.Errorf("slow disk: stall duration %v", d)
		}
		fs.SetDelay(0)
		fs.SetStalled(true)
		_ = engine.Save("k", record(2))
		time.Sleep(20 * time.Second)
		if d := engine.StallDuration(); d < 20*time.Second || d > 25*time.Second {
			t.Errorf("stalled disk: stall duration %v", d)
		}
		fs.SetStalled(false)
		time.Sleep(time.Second)
		if d := engine.StallDuration(); d != 0 {
			t.Errorf("recovered disk: stall duration %v", d)
		}
		closeEngine(t, engine, fs)
	})
}

const importedBlobs = 300

// importedValue returns the value of a blob.
func importedValue(i int) []byte { return append(make([]byte, 8<<10), byte(i)) }

// TestImportRetiredBlobs: blobs of a retired database are imported under the new identity with their
// remaining retention, and registers are not imported. This holds after a power loss at any
// sync during the import, except that the folder may still have the old identity then.
func TestImportRetiredBlobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := vfs.NewCrashableMem()
		fs := faultfs.New(mem)
		engine := open(t, fs, "s1")
		for i := range importedBlobs {
			if err := engine.PutBlob(fmt.Sprint("b", i), importedValue(i), time.Hour); err != nil {
				t.Fatal(err)
			}
		}
		mustSave(t, engine, "vote", 7)
		time.Sleep(30 * time.Minute)
		if err := engine.SaveUptime(); err != nil {
			t.Fatal(err)
		}
		oldIdentity := engine.Ident()
		var mu sync.Mutex // the log and the manifest are synced at the same time
		var crashStates []*vfs.MemFS
		fs.OnCall(func(kind faultfs.Kind, _ int) {
			if kind == faultfs.Sync {
				mu.Lock()
				defer mu.Unlock()
				crashStates = append(crashStates, mem.CrashClone(vfs.CrashCloneCfg{}))
			}
		})
		if err := engine.ReplaceIdentityKeepingBlobs("test"); err != nil {
			t.Fatal(err)
		}
		if n, err := engine.ImportRetiredBlobs(t.Context()); err != nil || n != importedBlobs {
			t.Fatalf("%d blobs imported, %v", n, err)
		}
		if n, err := engine.ImportRetiredBlobs(t.Context()); err != nil || n != 0 {
			t.Errorf("second import: %d blobs, %v", n, err)
		}
		fs.OnCall(nil)
		mu.Lock()
		defer mu.Unlock()
		checkImported(t, engine, oldIdentity, "without a power loss")
		oldIdentities := 0
		for i, state := range crashStates {
			after := open(t, state, "s1")
			if _, err := after.ImportRetiredBlobs(t.Context()); err != nil {
				t.Errorf("power loss at sync %d: %v", i, err)
			}
			if after.Ident() == oldIdentity {
				oldIdentities++
				if n := loadPromise(t, after, "vote"); n != 7 {
					t.Errorf("power loss at sync %d: the old identity promises %d", i, n)
				}
				if err := after.Close(); err != nil {
					t.Error(err)
				}
				continue
			}
			checkImported(t, after, oldIdentity, fmt.Sprintf("power loss at sync %d", i))
		}
		if oldIdentities == len(crashStates) || len(crashStates) < 10 {
			t.Errorf("%d of %d power losses left the old identity", oldIdentities, len(crashStates))
		}
	})
}

// checkImported checks the contents of a folder after its blobs were imported, and closes it.
func checkImported(t *testing.T, engine *storage.Engine, oldIdentity, when string) {
	t.Helper()
	if engine.Ident() == oldIdentity {
		t.Errorf("%s: the identity is the old one", when)
	}
	if n := loadPromise(t, engine, "vote"); n != 0 {
		t.Errorf("%s: a promise of %d was imported", when, n)
	}
	lost := 0
	for i := range importedBlobs {
		got, err := engine.GetBlob(fmt.Sprint("b", i))
		left := time.Duration(got.GetKeepMs()-got.GetAgeMs()) * time.Millisecond
		if err != nil || !bytes.Equal(got.Val, importedValue(i)) || left < 29*time.Minute || left > 31*time.Minute {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("%s: %d of %d blobs are lost or have the wrong retention", when, lost, importedBlobs)
	}
	if err := engine.Close(); err != nil {
		t.Errorf("%s: %v", when, err)
	}
}
