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

// TestSequence: a folder counts the groups of writes that it has synced. A start finds as
// many as were ever told before, whatever the power loss tore, and a copy from before fewer.
func TestSequence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := vfs.NewCrashableMem()
		engine := open(t, mem, "s1")
		first := engine.FolderState()
		if first.Start == 0 || first.Opened != 0 {
			t.Errorf("a new folder is at %v", first)
		}
		saved(t, engine, "k", 1)
		backup := mem.CrashClone(vfs.CrashCloneCfg{})
		for i := range 20 {
			saved(t, engine, fmt.Sprint("k", i), 1)
		}
		told := engine.FolderState()
		if told.Start != first.Start || told.Synced < first.Synced+21 {
			t.Errorf("after 21 more writes it is at %v, at first it was at %v", told, first)
		}
		again := open(t, mem.CrashClone(vfs.CrashCloneCfg{}), "s1")
		state := again.FolderState()
		if state.Opened < told.Synced || state.Start == told.Start {
			t.Errorf("after a loss of power it is opened at %v, it was at %v", state, told)
		}
		old := open(t, backup, "s1")
		if state := old.FolderState(); state.Opened >= told.Synced {
			t.Errorf("a copy from before is opened at %v, the folder was at %v", state, told)
		}
		for _, e := range []*storage.Engine{engine, again, old} {
			if err := e.Close(); err != nil {
				t.Error(err)
			}
		}
	})
}

// TestSequenceAfterFailedSync: what a sync that failed may have kept does not count before
// the folder is open again.
func TestSequenceAfterFailedSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := faultfs.New(vfs.NewCrashableMem())
		engine := open(t, fs, "s1")
		saved(t, engine, "k", 1)
		before := engine.FolderState()
		fs.FailNext(faultfs.Sync, 1, syscall.EIO)
		_ = engine.Save("k", record(2))
		if state := engine.FolderState(); state.Synced != before.Synced {
			t.Errorf("a failed sync counts: %v, before %v", state, before)
		}
		saved(t, engine, "k", 3)
		if state := engine.FolderState(); state.Synced <= before.Synced || state.Start != before.Start {
			t.Errorf("open again it is at %v, before %v", state, before)
		}
		closed(t, engine, fs)
	})
}

// TestHungFor: a disk that answers nothing is told apart from one that is slow, and from
// one that has nothing to answer.
func TestHungFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := faultfs.New(vfs.NewCrashableMem())
		engine := open(t, fs, "s1")
		time.Sleep(time.Minute)
		if d := engine.StallDuration(); d != 0 {
			t.Errorf("at rest it hangs for %v", d)
		}
		fs.SetDelay(300 * time.Millisecond)
		saved(t, engine, "k", 1)
		if d := engine.StallDuration(); d > 300*time.Millisecond {
			t.Errorf("slow, it hangs for %v", d)
		}
		fs.SetDelay(0)
		fs.SetStalled(true)
		_ = engine.Save("k", record(2))
		time.Sleep(20 * time.Second)
		if d := engine.StallDuration(); d < 20*time.Second || d > 25*time.Second {
			t.Errorf("stalled, it hangs for %v", d)
		}
		fs.SetStalled(false)
		time.Sleep(time.Second)
		if d := engine.StallDuration(); d != 0 {
			t.Errorf("answering again it hangs for %v", d)
		}
		closed(t, engine, fs)
	})
}

const adoptedBlobs = 300

// adoptedValue is a blob's value.
func adoptedValue(i int) []byte { return append(make([]byte, 8<<10), byte(i)) }

// TestAdoptSetAside: the blobs of data that are set aside to be taken over are there under
// the new identity with what was left of their time, and registers are not. It holds where
// power goes at any sync of it, but that the identity may be the old one still.
func TestAdoptSetAside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := vfs.NewCrashableMem()
		fs := faultfs.New(mem)
		engine := open(t, fs, "s1")
		for i := range adoptedBlobs {
			if err := engine.PutBlob(fmt.Sprint("b", i), adoptedValue(i), time.Hour); err != nil {
				t.Fatal(err)
			}
		}
		saved(t, engine, "vote", 7)
		time.Sleep(30 * time.Minute)
		if err := engine.SaveUptime(); err != nil {
			t.Fatal(err)
		}
		was := engine.Ident()
		var mu sync.Mutex // the log and the manifest are synced at the same time
		var crashed []*vfs.MemFS
		fs.OnCall(func(kind faultfs.Kind, _ int) {
			if kind == faultfs.Sync {
				mu.Lock()
				defer mu.Unlock()
				crashed = append(crashed, mem.CrashClone(vfs.CrashCloneCfg{}))
			}
		})
		if err := engine.ReplaceIdentityKeepingBlobs("test"); err != nil {
			t.Fatal(err)
		}
		if n, err := engine.ImportRetiredBlobs(t.Context()); err != nil || n != adoptedBlobs {
			t.Fatalf("%d taken over, %v", n, err)
		}
		if n, err := engine.ImportRetiredBlobs(t.Context()); err != nil || n != 0 {
			t.Errorf("again %d are taken over, %v", n, err)
		}
		fs.OnCall(nil)
		mu.Lock()
		defer mu.Unlock()
		checkAdopted(t, engine, was, "without a loss of power")
		old := 0
		for i, state := range crashed {
			after := open(t, state, "s1")
			if _, err := after.ImportRetiredBlobs(t.Context()); err != nil {
				t.Errorf("power gone at sync %d: %v", i, err)
			}
			if after.Ident() == was {
				old++
				if n := promised(t, after, "vote"); n != 7 {
					t.Errorf("power gone at sync %d: the old identity promises %d", i, n)
				}
				if err := after.Close(); err != nil {
					t.Error(err)
				}
				continue
			}
			checkAdopted(t, after, was, fmt.Sprintf("power gone at sync %d", i))
		}
		if old == len(crashed) || len(crashed) < 10 {
			t.Errorf("%d of %d losses of power left the old identity", old, len(crashed))
		}
	})
}

// checkAdopted checks what a folder holds after its blobs were taken over, and closes it.
func checkAdopted(t *testing.T, engine *storage.Engine, was, when string) {
	t.Helper()
	if engine.Ident() == was {
		t.Errorf("%s: the identity is the old one", when)
	}
	if n := promised(t, engine, "vote"); n != 0 {
		t.Errorf("%s: a promise of %d came along", when, n)
	}
	lost := 0
	for i := range adoptedBlobs {
		got, err := engine.GetBlob(fmt.Sprint("b", i))
		left := time.Duration(got.GetKeepMs()-got.GetAgeMs()) * time.Millisecond
		if err != nil || !bytes.Equal(got.Val, adoptedValue(i)) || left < 29*time.Minute || left > 31*time.Minute {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("%s: %d of %d blobs are lost or kept for another time", when, lost, adoptedBlobs)
	}
	if err := engine.Close(); err != nil {
		t.Errorf("%s: %v", when, err)
	}
}
