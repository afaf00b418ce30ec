package storage_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/state/storage"
	"damsontiller/internal/state/storage/faultfs"
	"damsontiller/internal/transport/code"
)

// searchCount returns the number of fault points or seeds to test. DISK_SEARCHES multiplies it.
func searchCount(n int) int {
	if k, err := strconv.Atoi(os.Getenv("DISK_SEARCHES")); err == nil && k > 0 {
		return n * k
	}
	return n
}

// record returns a register record that promises ballot n.
func record(n int) *wire.Rec { return &wire.Rec{Promised: &wire.Ballot{N: uint64(n)}} }

// loadPromise returns the ballot that a key's record promises.
func loadPromise(t *testing.T, engine *storage.Engine, key string) int {
	t.Helper()
	r, err := engine.Load(key)
	if err != nil {
		t.Fatalf("%s: %v", key, err)
	}
	return int(r.Promised.GetN())
}

// mustSave retries until a key is written, reading it before each attempt.
func mustSave(t *testing.T, engine *storage.Engine, key string, n int) {
	t.Helper()
	for range 200 {
		if _, err := engine.Load(key); err == nil && engine.Save(key, record(n)) == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("%s can't be written again: %s", key, engine.Status())
}

// closeEngine clears the disk's faults and closes the engine.
func closeEngine(t *testing.T, engine *storage.Engine, fs *faultfs.FS) {
	t.Helper()
	fs.SetFull(false)
	fs.SetStalled(false)
	time.Sleep(time.Second)
	if err := engine.Close(); err != nil {
		t.Error(err)
	}
	time.Sleep(time.Minute)
}

// TestFull: on a full disk, new writes are rejected with an error code, synced data can be
// read, and a write interrupted by the lack of space is uncertain and not visible. With space
// again, everything works as before.
func TestFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := vfs.NewCrashableMem()
		fs := faultfs.New(mem)
		engine := open(t, fs, "s1")
		mustSave(t, engine, "caught", 1)
		mustSave(t, engine, "other", 1)
		fs.SetFull(true)
		start := time.Now()
		if err := engine.Save("caught", record(2)); code.Of(err) != code.WriteUncertain {
			t.Errorf("the write during which the disk became full: %v", err)
		}
		if d := time.Since(start); d > 3*time.Second {
			t.Errorf("the write took %s", d)
		}
		start = time.Now()
		if err := engine.Save("other", record(2)); code.Of(err) != code.DiskFull {
			t.Errorf("the next write: %v", err)
		}
		if err := engine.SaveMetadata("n", []byte("x")); code.Of(err) != code.DiskFull {
			t.Errorf("metadata: %v", err)
		}
		if err := engine.PutBlob("b", []byte("x"), time.Hour); code.Of(err) != code.DiskFull {
			t.Errorf("a blob: %v", err)
		}
		if n := loadPromise(t, engine, "caught"); n != 1 {
			t.Errorf("an unsynced promise of %d is read", n)
		}
		if n := loadPromise(t, engine, "other"); n != 1 {
			t.Errorf("promise of %d is read", n)
		}
		if d := time.Since(start); d > 0 {
			t.Errorf("calls that need no disk took %s", d)
		}
		if s := engine.Status(); s != "disk full, no writes taken" {
			t.Errorf("status %q", s)
		}
		fs.SetFull(false)
		time.Sleep(time.Second)
		if s := engine.Status(); strings.Contains(s, "no writes taken") {
			t.Errorf("status after space was freed: %q", s)
		}
		// A record with an uncertain write is not overwritten before it has been read.
		if err := engine.Save("caught", record(1)); code.Of(err) != code.DiskStalled {
			t.Errorf("written without having been read: %v", err)
		}
		if n := loadPromise(t, engine, "caught"); n != 2 {
			t.Errorf("promise of %d after the write completed", n)
		}
		mustSave(t, engine, "caught", 3)
		mustSave(t, engine, "other", 3)
		after := open(t, mem.CrashClone(vfs.CrashCloneCfg{}), "s1")
		if caught, other := loadPromise(t, after, "caught"), loadPromise(t, after, "other"); caught != 3 || other != 3 || after.NewIdentity {
			t.Errorf("promises of %d and %d after a power loss", caught, other)
		}
		if err := after.Close(); err != nil {
			t.Error(err)
		}
		closeEngine(t, engine, fs)
	})
}

// TestStall: a disk that does not respond blocks a limited number of callers for a limited
// time, and none that need no disk access.
func TestStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := faultfs.New(vfs.NewCrashableMem())
		engine := open(t, fs, "s1")
		mustSave(t, engine, "k0", 1)
		fs.SetStalled(true)
		const callers, queueBound = 3000, 1024
		answers := make(chan error, callers+1)
		// The writer is busy with one write, so that the others have exactly the capacity of
		// the queue.
		go func() { answers <- engine.Save("first", record(2)) }()
		synctest.Wait()
		for i := range callers {
			go func() { answers <- engine.Save(fmt.Sprintf("k%d", i), record(2)) }()
		}
		synctest.Wait()
		if n := callers - len(answers); n != queueBound {
			t.Errorf("%d of %d callers wait, want %d", n, callers, queueBound)
		}
		for range callers + 1 {
			if c := code.Of(<-answers); c != code.WriteUncertain && c != code.DiskStalled {
				t.Fatalf("answer %v", c)
			}
		}
		start := time.Now()
		for range 100 {
			if err := engine.Save("k0", record(3)); code.Of(err) != code.DiskStalled {
				t.Fatal(err)
			}
			if err := engine.Save("another", record(3)); code.Of(err) != code.DiskStalled {
				t.Fatal(err)
			}
			if n := loadPromise(t, engine, "k0"); n != 1 {
				t.Fatalf("an unsynced promise of %d is read", n)
			}
		}
		if d := time.Since(start); d > 0 || !strings.Contains(engine.Status(), "disk does not answer") {
			t.Errorf("rejections took %s, status %q", d, engine.Status())
		}
		fs.SetStalled(false)
		mustSave(t, engine, "k0", 4)
		closeEngine(t, engine, fs)
	})
}

// TestFailures: one failure at each write or sync in turn, followed by a power loss with torn
// writes. No acknowledged write and no write that was visible to a read is lost, and the engine
// recovers by itself.
func TestFailures(t *testing.T) {
	for _, kind := range []faultfs.Kind{faultfs.Write, faultfs.Sync} {
		for _, cause := range []error{syscall.EIO, syscall.ENOSPC} {
			for n := 1; n <= searchCount(12); n++ {
				synctest.Test(t, func(t *testing.T) { failOnce(t, kind, n, cause) })
			}
		}
	}
}

func failOnce(t *testing.T, kind faultfs.Kind, n int, cause error) {
	mem := vfs.NewCrashableMem()
	fs := faultfs.New(mem)
	engine := open(t, fs, "s1")
	ident := engine.Ident()
	fs.FailNext(kind, n, cause)
	highestSeen := 0
	value := make([]byte, 100<<10)
	for i := 1; i <= 30; i++ {
		now := loadPromise(t, engine, "k")
		if now < highestSeen {
			t.Fatalf("kind %d, call %d, %v: read %d after %d", kind, n, cause, now, highestSeen)
		}
		highestSeen = max(highestSeen, now)
		r := record(i)
		r.Cell = &wire.Cell{Val: value}
		if err := engine.Save("k", r); err == nil {
			highestSeen = i
		}
		time.Sleep(20 * time.Millisecond)
	}
	mustSave(t, engine, "k", 61)
	rng := rand.New(rand.NewPCG(uint64(n), uint64(kind)))
	after := open(t, mem.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: 50, RNG: rng}), "s1")
	if got := loadPromise(t, after, "k"); got != 61 || after.NewIdentity || after.Ident() != ident {
		t.Errorf("kind %d, call %d, %v: %d after a power loss, new identity %v", kind, n, cause, got, after.NewIdentity)
	}
	if err := after.Close(); err != nil {
		t.Error(err)
	}
	closeEngine(t, engine, fs)
}

// TestFailedSync: after a failed sync, the data that was not synced is not visible to reads,
// even while the folder can't be reopened.
func TestFailedSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := faultfs.New(vfs.NewCrashableMem())
		engine := open(t, fs, "s1")
		mustSave(t, engine, "k", 1)
		mustSave(t, engine, "other", 1)
		fs.FailNext(faultfs.Sync, 1, syscall.EIO)
		fs.OnCall(func(kind faultfs.Kind, _ int) {
			if kind == faultfs.Sync {
				fs.SetFull(true)
			}
		})
		if err := engine.Save("k", record(2)); code.Of(err) != code.DiskFailure {
			t.Errorf("the write whose sync failed: %v", err)
		}
		fs.OnCall(nil)
		for range 20 {
			if n := loadPromise(t, engine, "k"); n != 1 {
				t.Fatalf("an unsynced promise of %d is read", n)
			}
			if err := engine.Save("other", record(2)); code.Of(err) != code.DiskFailure {
				t.Fatalf("a write to a failed folder: %v", err)
			}
			time.Sleep(time.Second)
		}
		if engine.Status() == "" {
			t.Error("the status reports no problem")
		}
		fs.SetFull(false)
		mustSave(t, engine, "k", 3)
		mustSave(t, engine, "other", 3)
		closeEngine(t, engine, fs)
	})
}

// TestOpenWaits: opening a folder waits for a disk that is full, fails or does not respond, and
// keeps the identity. A folder of another machine is rejected without waiting.
func TestOpenWaits(t *testing.T) {
	for name, injectFault := range map[string]func(*faultfs.FS, bool){
		"full":    func(fs *faultfs.FS, on bool) { fs.SetFull(on) },
		"stalled": func(fs *faultfs.FS, on bool) { fs.SetStalled(on) },
		"fails": func(fs *faultfs.FS, _ bool) {
			for n := range 3 {
				fs.FailNext(faultfs.Write, 3*n+1, syscall.EIO)
				fs.FailNext(faultfs.Sync, 3*n+2, syscall.EIO)
				fs.FailNext(faultfs.Read, 5*n+2, syscall.EIO)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				mem := vfs.NewCrashableMem()
				engine := open(t, mem, "s1")
				ident := engine.Ident()
				mustSave(t, engine, "k", 7)
				fs := faultfs.New(mem.CrashClone(vfs.CrashCloneCfg{}))
				injectFault(fs, true)
				opened := make(chan *storage.Engine, 1)
				go func() {
					engine, err := storage.Open(storage.Params{Dir: "/data", ID: "s1", Role: "store", FS: fs})
					if err != nil {
						t.Error(err)
					}
					opened <- engine
				}()
				time.Sleep(10 * time.Second)
				if name != "fails" && len(opened) > 0 {
					t.Fatal("the folder was opened despite the fault")
				}
				if name != "fails" {
					injectFault(fs, false)
				}
				reopened := <-opened
				if reopened.NewIdentity || reopened.Ident() != ident || loadPromise(t, reopened, "k") != 7 {
					t.Errorf("new identity %v", reopened.NewIdentity)
				}
				closeEngine(t, reopened, fs)
				if err := engine.Close(); err != nil {
					t.Error(err)
				}
				if _, err := storage.Open(storage.Params{Dir: "/data", ID: "s2", Role: "store", FS: fs}); code.Of(
					err,
				) != code.ForeignFolder {
					t.Errorf("another machine's folder: %v", err)
				}
			})
		})
	}
}

// TestCloseFull: closing does not wait for a disk that is full or stalled.
func TestCloseFull(t *testing.T) {
	for _, stall := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			fs := faultfs.New(vfs.NewCrashableMem())
			engine := open(t, fs, "s1")
			mustSave(t, engine, "k", 1)
			fs.SetFull(!stall)
			fs.SetStalled(stall)
			_ = engine.Save("k", record(2))
			start := time.Now()
			_ = engine.Close()
			if d := time.Since(start); d > 15*time.Second {
				t.Errorf("closing took %s", d)
			}
			fs.SetFull(false)
			fs.SetStalled(false)
			time.Sleep(time.Minute)
		})
	}
}

// TestUncertainWriteAge: a timed cell whose write was uncertain, and turns out to be stored,
// does not get an age that goes back to the start of the process.
func TestUncertainWriteAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := faultfs.New(vfs.NewCrashableMem())
		engine := open(t, fs, "s1")
		acceptor := register.NewAcceptor(engine)
		time.Sleep(time.Hour)
		fs.SetFull(true)
		cell := &wire.Cell{Ver: 1, Val: []byte("x"), Ops: []uint64{5}, Timed: true}
		if _, err := acceptor.Accept(&wire.Acc{Key: "k", Ballot: &wire.Ballot{N: 1}, Cell: cell}); code.Of(
			err,
		) != code.WriteUncertain {
			t.Errorf("accepted on a full disk: %v", err)
		}
		fs.SetFull(false)
		time.Sleep(10 * time.Second)
		view, err := acceptor.Read(&wire.Look{Key: "k"})
		if err != nil || view.Accepted.GetN() != 1 {
			t.Fatalf("%v %v", view, err)
		}
		if view.AgeMs > 10_000 {
			t.Errorf("value age is %d ms", view.AgeMs)
		}
		closeEngine(t, engine, fs)
	})
}

// TestBackgroundFailures: the engine recovers from failures of flushes, compactions and the
// manifest just as from those of the log.
func TestBackgroundFailures(t *testing.T) {
	for seed := range searchCount(2) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(uint64(seed), 5))
			fs := faultfs.New(vfs.NewCrashableMem())
			engine := open(t, fs, "s1")
			value := make([]byte, 200<<10)
			acknowledged := map[string]int{}
			for i := range 80 {
				if i%20 == 10 {
					kind := []faultfs.Kind{faultfs.Write, faultfs.Sync}[rng.IntN(2)]
					fs.FailNext(kind, 1+rng.IntN(40), syscall.EIO)
				}
				k := fmt.Sprintf("k%d", rng.IntN(30))
				for j := range value {
					value[j] = byte(rng.Uint32())
				}
				n := loadPromise(t, engine, k)
				if n < acknowledged[k] {
					t.Fatalf("%s: %d after %d", k, n, acknowledged[k])
				}
				r := record(i + 1)
				r.Cell = &wire.Cell{Val: value}
				err := engine.Save(k, r)
				switch {
				case err == nil:
					acknowledged[k] = i + 1
				case code.Of(err) == code.Unknown:
					t.Fatal(err)
				}
				time.Sleep(50 * time.Millisecond)
			}
			for k := range acknowledged {
				mustSave(t, engine, k, 1000)
			}
			closeEngine(t, engine, fs)
		})
	}
}

// TestNamedFailures: failures on each kind of database file end neither the process nor the
// folder.
func TestNamedFailures(t *testing.T) {
	for _, namePart := range []string{"MANIFEST", ".sst", ".log", "marker"} {
		for _, kind := range []faultfs.Kind{faultfs.Write, faultfs.Sync} {
			synctest.Test(t, func(t *testing.T) {
				mem := vfs.NewCrashableMem()
				fs := faultfs.New(mem)
				engine := open(t, fs, "s1")
				value := make([]byte, 200<<10)
				for i := range 60 {
					if i%20 == 10 {
						fs.FailNextOnFile(kind, namePart, syscall.EIO)
					}
					r := record(i + 1)
					r.Cell = &wire.Cell{Val: value}
					if _, err := engine.Load("k"); err == nil {
						_ = engine.Save("k", r)
					}
					time.Sleep(100 * time.Millisecond)
				}
				mustSave(t, engine, "k", 1000)
				closeEngine(t, engine, fs)
			})
		}
	}
}

// TestStallRefused: while a sync takes longer than the write timeout, further writes are
// rejected at once.
func TestStallRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := faultfs.New(vfs.NewCrashableMem())
		engine := open(t, fs, "s1")
		mustSave(t, engine, "k", 1)
		fs.SetStalled(true)
		_ = engine.Save("k", record(2))
		start := time.Now()
		if err := engine.Save("another", record(1)); code.Of(err) != code.DiskStalled {
			t.Error(err)
		}
		if d := time.Since(start); d > 0 {
			t.Errorf("the rejection took %s", d)
		}
		closeEngine(t, engine, fs)
	})
}
