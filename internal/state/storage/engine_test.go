package storage_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/state/storage"
	"damsontiller/internal/transport/code"
)

func open(t *testing.T, fs vfs.FS, id string) *storage.Engine {
	t.Helper()
	engine, err := storage.Open(
		storage.Params{Dir: "/data", ID: id, Role: "store", FS: fs, TombstoneRetention: time.Hour},
	)
	if err != nil {
		t.Fatal(err)
	}
	return engine
}

// TestPowerLoss: every write that was reported as synced, and the identity, survive a power
// loss at any time.
func TestPowerLoss(t *testing.T) {
	fs := vfs.NewCrashableMem()
	engine := open(t, fs, "s1")
	if !engine.NewIdentity {
		t.Error("an empty folder has no new identity")
	}
	for i := range 50 {
		k := fmt.Sprintf("k%d", i)
		if err := engine.Save(k, &wire.Rec{Promised: &wire.Ballot{N: uint64(i)}}); err != nil {
			t.Fatal(err)
		}
		if err := engine.PutBlob(k, []byte(k), time.Hour); err != nil {
			t.Fatal(err)
		}
		// Simulate a power loss: only synced data survives.
		restarted := open(t, fs.CrashClone(vfs.CrashCloneCfg{}), "s1")
		if restarted.NewIdentity || restarted.Ident() != engine.Ident() {
			t.Fatalf("the identity is lost after %d writes", i)
		}
		for j := 0; j <= i; j += 7 {
			k := fmt.Sprintf("k%d", j)
			r, err := restarted.Load(k)
			if err != nil || r.Promised.GetN() != uint64(j) {
				t.Fatalf("record %s after %d writes: %v %v", k, i, r, err)
			}
			if g, err := restarted.GetBlob(k); err != nil || string(g.Val) != k {
				t.Fatalf("blob %s after %d writes: %v %v", k, i, g, err)
			}
		}
		if err := restarted.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if err := engine.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestForeign: a folder of another machine or version is rejected and left unchanged.
func TestForeign(t *testing.T) {
	fs := vfs.NewMem()
	if err := open(t, fs, "s1").Close(); err != nil {
		t.Fatal(err)
	}
	_, err := storage.Open(storage.Params{Dir: "/data", ID: "s2", Role: "store", FS: fs})
	if code.Of(err) != code.ForeignFolder {
		t.Errorf("another machine's folder: %v", err)
	}
	_, err = storage.Open(storage.Params{Dir: "/data", ID: "s1", Role: "core", FS: fs})
	if code.Of(err) != code.ForeignFolder {
		t.Errorf("another role's folder: %v", err)
	}
	write(t, fs, "/data/IDENT", `{"format":2,"id":"s1","role":"store","ident":"x"}`)
	_, err = storage.Open(storage.Params{Dir: "/data", ID: "s1", Role: "store", FS: fs})
	if code.Of(err) != code.FolderVersion {
		t.Errorf("another version's folder: %v", err)
	}
}

func write(t *testing.T, fs vfs.FS, name, s string) {
	t.Helper()
	f, err := fs.Create(name, vfs.WriteCategoryUnspecified)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Write([]byte(s)); err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestUnreadable: unreadable data is retired, and the machine starts with a new identity, since
// a voter that has lost its promises must not vote under the old one.
func TestUnreadable(t *testing.T) {
	for _, damaged := range []string{"/data/IDENT", "db", "all of db"} {
		fs := vfs.NewMem()
		engine := open(t, fs, "s1")
		old := engine.Ident()
		if err := engine.Save("k", &wire.Rec{Promised: &wire.Ballot{N: 9}}); err != nil {
			t.Fatal(err)
		}
		if err := engine.Close(); err != nil {
			t.Fatal(err)
		}
		switch damaged {
		case "all of db":
			if err := fs.RemoveAll("/data/db"); err != nil {
				t.Fatal(err)
			}
		case "db":
			names, err := fs.List("/data/db")
			if err != nil {
				t.Fatal(err)
			}
			for _, n := range names {
				write(t, fs, "/data/db/"+n, "garbage")
			}
		default:
			write(t, fs, damaged, "garbage")
		}
		engine = open(t, fs, "s1")
		if !engine.NewIdentity || engine.Ident() == old {
			t.Errorf("%s garbled: the old identity is still in use", damaged)
		}
		if r, err := engine.Load("k"); err != nil || r.Promised != nil {
			t.Errorf("%s garbled: %v %v", damaged, r, err)
		}
		if err := engine.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestBlobRetention: a blob is kept for its retention time, which counts only while the folder
// is open, and is reported as expired afterwards.
func TestBlobRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := vfs.NewMem()
		engine := open(t, fs, "s1")
		if err := engine.PutBlob("k", []byte("v"), time.Hour); err != nil {
			t.Fatal(err)
		}
		// A second put with a shorter retention does not shorten it.
		if err := engine.PutBlob("k", []byte("v"), time.Minute); err != nil {
			t.Fatal(err)
		}
		expectState := func(want wire.Got_State) {
			t.Helper()
			if g, err := engine.GetBlob("k"); err != nil || g.State != want {
				t.Errorf("state %v, want %v, %v", g.GetState(), want, err)
			}
		}
		time.Sleep(50 * time.Minute)
		expectState(wire.Got_HERE)
		if err := engine.Close(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(12 * time.Hour)
		engine = open(t, fs, "s1")
		time.Sleep(9 * time.Minute)
		expectState(wire.Got_HERE)
		if e, _, err := engine.ExpireBlobs(); e != 0 || err != nil {
			t.Errorf("removed %d blobs within their retention, %v", e, err)
		}
		time.Sleep(2 * time.Minute)
		expectState(wire.Got_PAST)
		if e, f, err := engine.ExpireBlobs(); e != 1 || f != 0 || err != nil {
			t.Errorf("emptied %d blobs, removed %d, %v", e, f, err)
		}
		expectState(wire.Got_PAST)
		time.Sleep(2 * time.Hour)
		if _, f, err := engine.ExpireBlobs(); f != 1 || err != nil {
			t.Errorf("removed %d tombstones, %v", f, err)
		}
		expectState(wire.Got_NONE)
		if err := engine.Close(); err != nil {
			t.Fatal(err)
		}
	})
}

// TestNearlyFull: on a nearly full disk, new keys are rejected, existing keys can be updated,
// and the status reports it. Once there is space again, new keys are accepted.
func TestNearlyFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine, err := storage.Open(
			storage.Params{Dir: "/data", ID: "s1", Role: "store", FS: vfs.NewMem(), MinFree: 1 << 20},
		)
		if err != nil {
			t.Fatal(err)
		}
		save := func(k string) error { return engine.Save(k, &wire.Rec{Promised: &wire.Ballot{N: 1}}) }
		if err := save("old"); err != nil {
			t.Fatal(err)
		}
		engine.SimulateDisk(1<<19, 0)
		if err := save("new"); code.Of(err) != code.DiskFull {
			t.Errorf("a new record: %v", err)
		}
		if err := engine.PutBlob("new", nil, time.Hour); code.Of(err) != code.DiskFull {
			t.Errorf("a new blob: %v", err)
		}
		if err := save("old"); err != nil {
			t.Errorf("an old record: %v", err)
		}
		if engine.Status() == "" {
			t.Error("the status reports no problem")
		}
		engine.SimulateDisk(-1, 0)
		if err := save("new"); err != nil || engine.Status() != "" {
			t.Errorf("after space was freed: %v, %q", err, engine.Status())
		}
		engine.SimulateDisk(-1, time.Second)
		if err := save("new"); err != nil || engine.Status() == "" {
			t.Errorf("a slow disk: %v, %q", err, engine.Status())
		}
		engine.SimulateDisk(-1, 0)
		engine.MeasureDisk()
		engine.MeasureDisk()
		if s := engine.Status(); s != "" {
			t.Errorf("status of a disk that is fast again: %q", s)
		}
		if err := engine.Close(); err != nil {
			t.Fatal(err)
		}
	})
}

// fixedSizeDisk is a file system on a disk of a given size.
type fixedSizeDisk struct {
	vfs.FS
	total, free uint64
}

func (s *fixedSizeDisk) GetDiskUsage(string) (vfs.DiskUsage, error) {
	return vfs.DiskUsage{TotalBytes: s.total, AvailBytes: s.free, UsedBytes: s.total - s.free}, nil
}

// TestSmallDisk: on a small disk, only an eighth is kept free, since the amount kept free on a
// large disk would be half of it.
func TestSmallDisk(t *testing.T) {
	for _, tc := range []struct {
		total, free uint64
		full        bool
	}{
		{128 << 20, 60 << 20, false},
		{128 << 20, 17 << 20, false},
		{128 << 20, 15 << 20, true},
		{300 << 20, 30 << 20, true},
		{100 << 30, 65 << 20, false},
		{100 << 30, 63 << 20, true},
		{0, 63 << 20, true},
	} {
		fs := &fixedSizeDisk{vfs.NewMem(), tc.total, tc.free}
		engine, err := storage.Open(storage.Params{Dir: "/data", ID: "s1", Role: "store", FS: fs, MinFree: 64 << 20})
		if err != nil {
			t.Fatal(err)
		}
		if engine.NearlyFull() != tc.full {
			t.Errorf("%d MiB free of %d: full %v", tc.free>>20, tc.total>>20, engine.NearlyFull())
		}
		if err := engine.Save("k", &wire.Rec{}); (code.Of(err) == code.DiskFull) != tc.full {
			t.Errorf("%d MiB free of %d: %v", tc.free>>20, tc.total>>20, err)
		}
		fs.free = fs.total
		if engine.MeasureDisk(); fs.total > 0 && engine.NearlyFull() {
			t.Errorf("an empty disk of %d MiB is full", tc.total>>20)
		}
		if err := engine.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestRegisterExpiry: a register past its retention loses its value, keeps its promises and is
// reported as expired. It is removed after the tombstone retention. Newer registers are kept.
func TestRegisterExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := open(t, vfs.NewMem(), "s1")
		defer engine.Close()
		acceptor := register.NewAcceptor(engine)
		put := func(key string, n uint64) {
			if _, err := acceptor.Accept(&wire.Acc{Key: key, Ballot: &wire.Ballot{N: n}, Cell: &wire.Cell{Ver: n, Val: []byte("x")}}); err != nil {
				t.Fatal(err)
			}
		}
		expire := func(keep time.Duration) int {
			keys, err := engine.RegistersOlderThan(100, func(string) time.Duration { return keep })
			if err != nil {
				t.Fatal(err)
			}
			n := 0
			for _, k := range keys {
				expired, err := acceptor.Expire(k, func(r *wire.Rec) (bool, bool) {
					age := engine.Age(r)
					return age > keep, age > engine.TombstoneRetention() && r.Cell.GetPast()
				}, engine.DeleteRegister)
				if err != nil {
					t.Fatal(err)
				}
				if expired {
					n++
				}
			}
			return n
		}
		put("old", 3)
		time.Sleep(10 * time.Minute)
		put("new", 1)
		if n := expire(5 * time.Minute); n != 1 {
			t.Fatalf("%d registers expired", n)
		}
		if g, err := acceptor.Read(&wire.Look{Key: "old"}); err != nil || !g.Cell.GetPast() || g.Cell.Val != nil ||
			g.Accepted.GetN() != 3 {
			t.Errorf("%+v %v", g, err)
		}
		if _, err := acceptor.Accept(&wire.Acc{Key: "old", Ballot: &wire.Ballot{N: 2}, Cell: &wire.Cell{Ver: 2}}); err == nil {
			t.Error("a ballot lower than the accepted one was accepted")
		}
		if rows, err := engine.Keys(wire.List_REGISTERS, "", 10, nil); err != nil || len(rows) != 1 ||
			rows[0].Key != "new" {
			t.Errorf("listed keys: %v %v", rows, err)
		}
		time.Sleep(2 * time.Hour)
		if n := expire(24 * time.Hour); n != 0 {
			t.Errorf("%d registers expired within their retention", n)
		}
		if n := expire(time.Minute); n != 2 {
			t.Errorf("%d registers expired", n)
		}
		if r, err := engine.Load("old"); err != nil || r.Accepted != nil {
			t.Errorf("register was not removed: %+v %v", r, err)
		}
	})
}
