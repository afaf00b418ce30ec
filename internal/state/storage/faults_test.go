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

// searches is how many points or seeds a search goes through; DISK_SEARCHES multiplies it.
func searches(n int) int {
	if k, err := strconv.Atoi(os.Getenv("DISK_SEARCHES")); err == nil && k > 0 {
		return n * k
	}
	return n
}

// record is a register whose promise is n.
func record(n int) *wire.Rec { return &wire.Rec{Promised: &wire.Ballot{N: uint64(n)}} }

// promised is what a key's record promises here.
func promised(t *testing.T, engine *storage.Engine, key string) int {
	t.Helper()
	r, err := engine.Load(key)
	if err != nil {
		t.Fatalf("%s: %v", key, err)
	}
	return int(r.Promised.GetN())
}

// saved waits until a key can be written again, reading it before each try.
func saved(t *testing.T, engine *storage.Engine, key string, n int) {
	t.Helper()
	for range 200 {
		if _, err := engine.Load(key); err == nil && engine.Save(key, record(n)) == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("%s can't be written again: %s", key, engine.Status())
}

// closed closes an engine, whatever its disk does.
func closed(t *testing.T, engine *storage.Engine, fs *faultfs.FS) {
	t.Helper()
	fs.SetFull(false)
	fs.SetStalled(false)
	time.Sleep(time.Second)
	if err := engine.Close(); err != nil {
		t.Error(err)
	}
	time.Sleep(time.Minute)
}

// TestFull: without space nothing new is written and the answer is numbered, what was
// synced is read, what was caught half-way is uncertain and not seen, and with space all
// goes on.
func TestFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := vfs.NewCrashableMem()
		fs := faultfs.New(mem)
		engine := open(t, fs, "s1")
		saved(t, engine, "caught", 1)
		saved(t, engine, "other", 1)
		fs.SetFull(true)
		at := time.Now()
		if err := engine.Save("caught", record(2)); code.Of(err) != code.WriteUncertain {
			t.Errorf("the write that met the full disk: %v", err)
		}
		if d := time.Since(at); d > 3*time.Second {
			t.Errorf("it took %s", d)
		}
		at = time.Now()
		if err := engine.Save("other", record(2)); code.Of(err) != code.DiskFull {
			t.Errorf("the next write: %v", err)
		}
		if err := engine.SaveMetadata("n", []byte("x")); code.Of(err) != code.DiskFull {
			t.Errorf("a note: %v", err)
		}
		if err := engine.PutBlob("b", []byte("x"), time.Hour); code.Of(err) != code.DiskFull {
			t.Errorf("a blob: %v", err)
		}
		if n := promised(t, engine, "caught"); n != 1 {
			t.Errorf("an unsynced promise of %d is read", n)
		}
		if n := promised(t, engine, "other"); n != 1 {
			t.Errorf("promise of %d is read", n)
		}
		if d := time.Since(at); d > 0 {
			t.Errorf("answers that need no disk took %s", d)
		}
		if s := engine.Status(); s != "disk full, no writes taken" {
			t.Errorf("status %q", s)
		}
		fs.SetFull(false)
		time.Sleep(time.Second)
		if s := engine.Status(); strings.Contains(s, "no writes taken") {
			t.Errorf("with room again: %q", s)
		}
		// What was uncertain is not written over before it was read.
		if err := engine.Save("caught", record(1)); code.Of(err) != code.DiskStalled {
			t.Errorf("written without having been read: %v", err)
		}
		if n := promised(t, engine, "caught"); n != 2 {
			t.Errorf("promise of %d after the write landed", n)
		}
		saved(t, engine, "caught", 3)
		saved(t, engine, "other", 3)
		after := open(t, mem.CrashClone(vfs.CrashCloneCfg{}), "s1")
		if a, b := promised(t, after, "caught"), promised(t, after, "other"); a != 3 || b != 3 || after.NewIdentity {
			t.Errorf("promises of %d and %d after the power went", a, b)
		}
		if err := after.Close(); err != nil {
			t.Error(err)
		}
		closed(t, engine, fs)
	})
}

// TestStall: a disk that answers nothing holds up a bounded number of callers for a
// bounded time, and none that need no disk.
func TestStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := faultfs.New(vfs.NewCrashableMem())
		engine := open(t, fs, "s1")
		saved(t, engine, "k0", 1)
		fs.SetStalled(true)
		const callers, queueBound = 3000, 1024
		answers := make(chan error, callers+1)
		// The writer is at one write, so that exactly the queue is left for the others.
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
		at := time.Now()
		for range 100 {
			if err := engine.Save("k0", record(3)); code.Of(err) != code.DiskStalled {
				t.Fatal(err)
			}
			if err := engine.Save("another", record(3)); code.Of(err) != code.DiskStalled {
				t.Fatal(err)
			}
			if n := promised(t, engine, "k0"); n != 1 {
				t.Fatalf("an unsynced promise of %d is read", n)
			}
		}
		if d := time.Since(at); d > 0 || !strings.Contains(engine.Status(), "disk does not answer") {
			t.Errorf("refusals took %s, status %q", d, engine.Status())
		}
		fs.SetStalled(false)
		saved(t, engine, "k0", 4)
		closed(t, engine, fs)
	})
}

// TestFailures: one failure at each numbered write or sync, then the power goes with
// torn writes. Nothing that was said to be kept is lost, no write is lost that a read
// has shown, and the engine goes on by itself.
func TestFailures(t *testing.T) {
	for _, kind := range []faultfs.Kind{faultfs.Write, faultfs.Sync} {
		for _, cause := range []error{syscall.EIO, syscall.ENOSPC} {
			for n := 1; n <= searches(12); n++ {
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
	seen := 0
	val := make([]byte, 100<<10)
	for i := 1; i <= 30; i++ {
		now := promised(t, engine, "k")
		if now < seen {
			t.Fatalf("kind %d, call %d, %v: read %d after %d", kind, n, cause, now, seen)
		}
		seen = max(seen, now)
		r := record(i)
		r.Cell = &wire.Cell{Val: val}
		if err := engine.Save("k", r); err == nil {
			seen = i
		}
		time.Sleep(20 * time.Millisecond)
	}
	saved(t, engine, "k", 61)
	rnd := rand.New(rand.NewPCG(uint64(n), uint64(kind)))
	after := open(t, mem.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: 50, RNG: rnd}), "s1")
	if got := promised(t, after, "k"); got != 61 || after.NewIdentity || after.Ident() != ident {
		t.Errorf("kind %d, call %d, %v: %d after the power went, fresh %v", kind, n, cause, got, after.NewIdentity)
	}
	if err := after.Close(); err != nil {
		t.Error(err)
	}
	closed(t, engine, fs)
}

// TestFailedSync: after a sync that failed, what was not synced is neither read nor
// believed, also not while the folder can't be opened again.
func TestFailedSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := faultfs.New(vfs.NewCrashableMem())
		engine := open(t, fs, "s1")
		saved(t, engine, "k", 1)
		saved(t, engine, "other", 1)
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
			if n := promised(t, engine, "k"); n != 1 {
				t.Fatalf("an unsynced promise of %d is read", n)
			}
			if err := engine.Save("other", record(2)); code.Of(err) != code.DiskFailure {
				t.Fatalf("a write to a failed folder: %v", err)
			}
			time.Sleep(time.Second)
		}
		if engine.Status() == "" {
			t.Error("operators are not told")
		}
		fs.SetFull(false)
		saved(t, engine, "k", 3)
		saved(t, engine, "other", 3)
		closed(t, engine, fs)
	})
}

// TestOpenWaits: a folder on a disk that is full, fails or answers nothing is waited
// for, and keeps its identity; one of another machine is still refused at once.
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
				saved(t, engine, "k", 7)
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
					t.Fatal("it was opened")
				}
				if name != "fails" {
					injectFault(fs, false)
				}
				w := <-opened
				if w.NewIdentity || w.Ident() != ident || promised(t, w, "k") != 7 {
					t.Errorf("fresh %v", w.NewIdentity)
				}
				closed(t, w, fs)
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

// TestCloseFull: closing does not wait for a disk without space.
func TestCloseFull(t *testing.T) {
	for _, stall := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			fs := faultfs.New(vfs.NewCrashableMem())
			engine := open(t, fs, "s1")
			saved(t, engine, "k", 1)
			fs.SetFull(!stall)
			fs.SetStalled(stall)
			_ = engine.Save("k", record(2))
			at := time.Now()
			_ = engine.Close()
			if d := time.Since(at); d > 15*time.Second {
				t.Errorf("closing took %s", d)
			}
			fs.SetFull(false)
			fs.SetStalled(false)
			time.Sleep(time.Minute)
		})
	}
}

// TestUnsureAge: a timed cell whose write was uncertain, and which turns out to be kept,
// has not been held since the start of the process.
func TestUnsureAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := faultfs.New(vfs.NewCrashableMem())
		engine := open(t, fs, "s1")
		a := register.NewAcceptor(engine)
		time.Sleep(time.Hour)
		fs.SetFull(true)
		c := &wire.Cell{Ver: 1, Val: []byte("x"), Ops: []uint64{5}, Timed: true}
		if _, err := a.Accept(&wire.Acc{Key: "k", Ballot: &wire.Ballot{N: 1}, Cell: c}); code.Of(
			err,
		) != code.WriteUncertain {
			t.Errorf("accepted on a full disk: %v", err)
		}
		fs.SetFull(false)
		time.Sleep(10 * time.Second)
		view, err := a.Read(&wire.Look{Key: "k"})
		if err != nil || view.Accepted.GetN() != 1 {
			t.Fatalf("%v %v", view, err)
		}
		if view.AgeMs > 10_000 {
			t.Errorf("held for %d ms", view.AgeMs)
		}
		closed(t, engine, fs)
	})
}

// TestBackgroundFailures: failures of flushes, compactions and the manifest are as
// harmless as those of the log.
func TestBackgroundFailures(t *testing.T) {
	for seed := range searches(2) {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(uint64(seed), 5))
			fs := faultfs.New(vfs.NewCrashableMem())
			engine := open(t, fs, "s1")
			val := make([]byte, 200<<10)
			last := map[string]int{}
			for i := range 80 {
				if i%20 == 10 {
					kind := []faultfs.Kind{faultfs.Write, faultfs.Sync}[rnd.IntN(2)]
					fs.FailNext(kind, 1+rnd.IntN(40), syscall.EIO)
				}
				k := fmt.Sprintf("k%d", rnd.IntN(30))
				for j := range val {
					val[j] = byte(rnd.Uint32())
				}
				n := promised(t, engine, k)
				if n < last[k] {
					t.Fatalf("%s: %d after %d", k, n, last[k])
				}
				r := record(i + 1)
				r.Cell = &wire.Cell{Val: val}
				err := engine.Save(k, r)
				switch {
				case err == nil:
					last[k] = i + 1
				case code.Of(err) == code.Unknown:
					t.Fatal(err)
				}
				time.Sleep(50 * time.Millisecond)
			}
			for k := range last {
				saved(t, engine, k, 1000)
			}
			closed(t, engine, fs)
		})
	}
}

// TestNamedFailures: what each kind of the database's files fails with ends neither the
// process nor the folder, whatever the database was at.
func TestNamedFailures(t *testing.T) {
	for _, chunk := range []string{"MANIFEST", ".sst", ".log", "marker"} {
		for _, kind := range []faultfs.Kind{faultfs.Write, faultfs.Sync} {
			synctest.Test(t, func(t *testing.T) {
				mem := vfs.NewCrashableMem()
				fs := faultfs.New(mem)
				engine := open(t, fs, "s1")
				val := make([]byte, 200<<10)
				for i := range 60 {
					if i%20 == 10 {
						fs.FailNextOnFile(kind, chunk, syscall.EIO)
					}
					r := record(i + 1)
					r.Cell = &wire.Cell{Val: val}
					if _, err := engine.Load("k"); err == nil {
						_ = engine.Save("k", r)
					}
					time.Sleep(100 * time.Millisecond)
				}
				saved(t, engine, "k", 1000)
				closed(t, engine, fs)
			})
		}
	}
}

// TestStallRefused: while a sync hangs for longer than a write would wait, the next is
// refused at once.
func TestStallRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := faultfs.New(vfs.NewCrashableMem())
		engine := open(t, fs, "s1")
		saved(t, engine, "k", 1)
		fs.SetStalled(true)
		_ = engine.Save("k", record(2))
		at := time.Now()
		if err := engine.Save("another", record(1)); code.Of(err) != code.DiskStalled {
			t.Error(err)
		}
		if d := time.Since(at); d > 0 {
			t.Errorf("the refusal took %s", d)
		}
		closed(t, engine, fs)
	})
}
