package storage_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"damsontiller/internal/proto/wire"
	"damsontiller/internal/state/storage"
)

// TestBulk: data copied page by page from one folder to another is complete and has its
// remaining retention. Keys selected without their value are copied without it.
func TestBulk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := open(t, vfs.NewMem(), "s1"), open(t, vfs.NewMem(), "s2")
		defer a.Close()
		defer b.Close()
		for i := range 100 {
			k := fmt.Sprintf("k%02d", i)
			if err := a.PutBlob(k, []byte(k), time.Duration(i+1)*time.Minute); err != nil {
				t.Fatal(err)
			}
			if err := a.Save(k, &wire.Rec{Accepted: &wire.Ballot{N: uint64(i + 1)}, Cell: &wire.Cell{Ver: 1, Val: []byte(k)}}); err != nil {
				t.Fatal(err)
			}
		}
		// There is only a promise and no accepted value, so nothing is copied.
		if err := a.Save("none", &wire.Rec{Promised: &wire.Ballot{N: 7}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10*time.Minute + time.Second)
		for _, kind := range []wire.List_Kind{wire.List_REGISTERS, wire.List_BLOBS} {
			var all []*wire.Copy
			pages := 0
			for after := ""; ; pages++ {
				copies, last, err := a.Copies(
					kind,
					after,
					200,
					func(k string) (bool, bool) { return k != "k50", k != "k60" },
				)
				if err != nil {
					t.Fatal(err)
				}
				all = append(all, copies...)
				if after = last; after == "" {
					break
				}
			}
			if len(all) != 99 || pages < 5 {
				t.Fatalf("%s: %d keys on %d pages", kind, len(all), pages)
			}
			recs := map[string]*wire.Rec{}
			for _, c := range all {
				if withValue := c.Rec != nil || c.Got != nil; withValue != (c.Key != "k60") {
					t.Errorf("%s: %s has a value: %t", kind, c.Key, withValue)
				}
				if c.Rec != nil {
					recs[c.Key] = c.Rec
				}
			}
			if kind == wire.List_REGISTERS {
				if err := b.SaveAll(recs); err != nil {
					t.Fatal(err)
				}
				continue
			}
			for _, want := range []int{98, 0} {
				if n, err := b.PutBlobs(all); err != nil || n != want {
					t.Errorf("%d blobs stored, want %d, %v", n, want, err)
				}
			}
		}
		if r, err := b.Load("k07"); err != nil || string(r.Cell.GetVal()) != "k07" || r.Accepted.GetN() != 8 {
			t.Errorf("%v %v", r, err)
		}
		if c, err := a.Copy(wire.List_REGISTERS, "none"); c != nil || err != nil {
			t.Errorf("copy of a key without a value: %v %v", c, err)
		}
		// k19 was stored for twenty minutes; nineteen have passed in total.
		time.Sleep(9 * time.Minute)
		for k, want := range map[string]wire.Got_State{"k05": wire.Got_PAST, "k18": wire.Got_PAST, "k19": wire.Got_HERE, "k50": wire.Got_NONE} {
			for name, engine := range map[string]*storage.Engine{"a": a, "b": b} {
				if name == "a" && k == "k50" {
					continue
				}
				if g, err := engine.GetBlob(k); err != nil || g.State != want {
					t.Errorf("%s at %s: %v %v", k, name, g, err)
				}
			}
		}
	})
}

// TestReplaceIdentity: after its identity is replaced, a folder is empty and keeps the new
// identity across a power loss. Only the database retired last is kept.
func TestReplaceIdentity(t *testing.T) {
	fs := vfs.NewCrashableMem()
	engine := open(t, fs, "s1")
	identities := map[string]bool{engine.Ident(): true}
	for range 3 {
		if err := engine.PutBlob("k", []byte("x"), time.Hour); err != nil {
			t.Fatal(err)
		}
		if err := engine.ReplaceIdentity("test"); err != nil {
			t.Fatal(err)
		}
		if identities[engine.Ident()] {
			t.Error("an identity is used twice")
		}
		identities[engine.Ident()] = true
		if g, err := engine.GetBlob("k"); err != nil || g.State != wire.Got_NONE {
			t.Errorf("blob after the replacement: %v %v", g, err)
		}
	}
	names, err := fs.List("/data")
	retired := 0
	for _, n := range names {
		if len(n) > 9 && n[:9] == "db.aside-" {
			retired++
		}
	}
	if err != nil || retired != 1 {
		t.Errorf("%d retired databases: %v %v", retired, names, err)
	}
	restarted := open(t, fs.CrashClone(vfs.CrashCloneCfg{}), "s1")
	if restarted.Ident() != engine.Ident() {
		t.Error("the new identity is lost in a power loss")
	}
	for _, o := range []*storage.Engine{engine, restarted} {
		if err := o.Close(); err != nil {
			t.Fatal(err)
		}
	}
}
