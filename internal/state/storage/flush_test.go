package storage_test

import (
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"damsontiller/internal/proto/wire"
	"damsontiller/internal/state/storage"
	"damsontiller/internal/state/storage/faultfs"
)

// maxFlushFailures limits the failed flushes of a database that waits for a reader.
const maxFlushFailures = 500

// TestFailedFlushPauses: while a failed database waits for a reader to finish, it retries
// failed flushes with a delay between them.
func TestFailedFlushPauses(t *testing.T) {
	for _, kind := range []faultfs.Kind{faultfs.Write, faultfs.Sync} {
		synctest.Test(t, func(t *testing.T) {
			var failures atomic.Int32
			fs := faultfs.New(vfs.NewCrashableMem())
			engine, err := storage.Open(storage.Params{
				Dir: "/data", ID: "s1", Role: "store", FS: fs, TombstoneRetention: time.Hour,
				Log: func(message string, _ ...any) {
					if message == "pebble" && failures.Add(1) > maxFlushFailures {
						// Not t.Error: the database holds its mutex here, and simulated time
						// does not advance if there is no delay.
						panic("a failed flush is retried without a delay")
					}
				},
			})
			if err != nil {
				t.Fatal(err)
			}
			mustSave(t, engine, "k", 1)
			readDone := make(chan struct{})
			go func() {
				defer close(readDone)
				err := engine.EachRegister("", func(string, *wire.Rec) { time.Sleep(4 * time.Second) })
				if err != nil {
					t.Error(err)
				}
			}()
			fs.FailNextOnFile(kind, "MANIFEST", syscall.EIO)
			for i := range 40 {
				r := record(i + 2)
				r.Cell = &wire.Cell{Val: make([]byte, 200<<10)}
				if _, err := engine.Load("k"); err == nil {
					_ = engine.Save("k", r)
				}
				time.Sleep(20 * time.Millisecond)
			}
			<-readDone
			if failures.Load() == 0 {
				t.Error("no flush failed")
			}
			mustSave(t, engine, "k", 1000)
			closeEngine(t, engine, fs)
		})
	}
}
