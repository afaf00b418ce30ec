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

// TestBulk: what goes page by page from one folder to another is all there, with the
// time that it has left; of what is not wanted complete only the name goes.
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
		// Promised only: there is nothing to bring.
		if err := a.Save("none", &wire.Rec{Promised: &wire.Ballot{N: 7}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10*time.Minute + time.Second)
		for _, kind := range []wire.List_Kind{wire.List_REGISTERS, wire.List_BLOBS} {
			var all []*wire.Copy
			pages := 0
			for after := ""; ; pages++ {
				cs, last, err := a.Copies(
					kind,
					after,
					200,
					func(k string) (bool, bool) { return k != "k50", k != "k60" },
				)
				if err != nil {
					t.Fatal(err)
				}
				all = append(all, cs...)
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
					t.Errorf("%s: %s whole: %t", kind, c.Key, withValue)
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
					t.Errorf("%d blobs taken, want %d, %v", n, want, err)
				}
			}
		}
		if r, err := b.Load("k07"); err != nil || string(r.Cell.GetVal()) != "k07" || r.Accepted.GetN() != 8 {
			t.Errorf("%v %v", r, err)
		}
		if c, err := a.Copy(wire.List_REGISTERS, "none"); c != nil || err != nil {
			t.Errorf("a copy of nothing: %v %v", c, err)
		}
		// Twenty minutes were promised, ten have passed, in all.
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

// TestRenew: a folder goes on empty under another identity, and that lasts. What was
// put aside before goes.
func TestRenew(t *testing.T) {
	fs := vfs.NewCrashableMem()
	engine := open(t, fs, "s1")
	was := map[string]bool{engine.Ident(): true}
	for range 3 {
		if err := engine.PutBlob("k", []byte("x"), time.Hour); err != nil {
			t.Fatal(err)
		}
		if err := engine.ReplaceIdentity("test"); err != nil {
			t.Fatal(err)
		}
		if was[engine.Ident()] {
			t.Error("an identity comes twice")
		}
		was[engine.Ident()] = true
		if g, err := engine.GetBlob("k"); err != nil || g.State != wire.Got_NONE {
			t.Errorf("after a renewal: %v %v", g, err)
		}
	}
	names, err := fs.List("/data")
	setAsidePrefix := 0
	for _, n := range names {
		if len(n) > 9 && n[:9] == "db.aside-" {
			setAsidePrefix++
		}
	}
	if err != nil || setAsidePrefix != 1 {
		t.Errorf("%d put aside: %v %v", setAsidePrefix, names, err)
	}
	w := open(t, fs.CrashClone(vfs.CrashCloneCfg{}), "s1")
	if w.Ident() != engine.Ident() {
		t.Error("the new identity is lost with the power")
	}
	for _, o := range []*storage.Engine{engine, w} {
		if err := o.Close(); err != nil {
			t.Fatal(err)
		}
	}
}
