package storage_test

import (
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"

	"damsontiller/internal/state/storage"
)

// failingIdentity is a file system on which one kind of operation on the new identity's
// file fails several times. It notes whether an identity was there meanwhile.
type failingIdentity struct {
	vfs.FS
	left    int
	present bool
}

func newFailingIdentity(op errorfs.OpKind, times int) *failingIdentity {
	inner := vfs.NewMem()
	f := &failingIdentity{left: times}
	f.FS = errorfs.Wrap(inner, errorfs.InjectorFunc(func(o errorfs.Op) error {
		if o.Kind != op || o.Path != "/data/IDENT.new" || f.left == 0 {
			return nil
		}
		f.left--
		if _, err := inner.Stat("/data/IDENT"); err == nil {
			f.present = true
		}
		return errorfs.ErrInjected
	}))
	return f
}

// TestIdentityWriteFails: a folder whose identity can't be written or synced is not
// opened, and no identity that may be torn is left for the next start. Once the disk
// takes it the folder opens, under the identity that is on it.
func TestIdentityWriteFails(t *testing.T) {
	for _, op := range []errorfs.OpKind{errorfs.OpFileWrite, errorfs.OpFileSync} {
		synctest.Test(t, func(t *testing.T) {
			fs := newFailingIdentity(op, 3)
			opened := func() *storage.Engine {
				engine, err := storage.Open(storage.Params{Dir: "/data", ID: "s1", Role: "store", FS: fs})
				if err != nil {
					t.Fatalf("operation %v fails: %v", op, err)
				}
				return engine
			}
			engine := opened()
			if fs.left > 0 {
				t.Errorf("operation %v fails: opened before it went well", op)
			}
			if fs.present {
				t.Errorf("operation %v fails: an identity was left", op)
			}
			made := engine.Ident()
			if err := engine.Close(); err != nil {
				t.Fatal(err)
			}
			engine = opened()
			if engine.NewIdentity || engine.Ident() != made {
				t.Errorf("operation %v fails: %s came back as %s", op, made, engine.Ident())
			}
			if err := engine.Close(); err != nil {
				t.Fatal(err)
			}
		})
	}
}
