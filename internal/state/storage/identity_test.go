package storage_test

import (
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"

	"damsontiller/internal/state/storage"
)

// failingIdentity is a file system on which one kind of operation on the new identity file
// fails a number of times. It records whether an identity file existed at that time.
type failingIdentity struct {
	vfs.FS
	remaining int
	present   bool
}

func newFailingIdentity(op errorfs.OpKind, times int) *failingIdentity {
	inner := vfs.NewMem()
	f := &failingIdentity{remaining: times}
	f.FS = errorfs.Wrap(inner, errorfs.InjectorFunc(func(o errorfs.Op) error {
		if o.Kind != op || o.Path != "/data/IDENT.new" || f.remaining == 0 {
			return nil
		}
		f.remaining--
		if _, err := inner.Stat("/data/IDENT"); err == nil {
			f.present = true
		}
		return errorfs.ErrInjected
	}))
	return f
}

// TestIdentityWriteFails: a folder is not opened while its identity can't be written or synced,
// and no torn identity file is left for the next start. Once the write succeeds, the folder
// opens under the identity on the disk.
func TestIdentityWriteFails(t *testing.T) {
	for _, op := range []errorfs.OpKind{errorfs.OpFileWrite, errorfs.OpFileSync} {
		synctest.Test(t, func(t *testing.T) {
			fs := newFailingIdentity(op, 3)
			openEngine := func() *storage.Engine {
				engine, err := storage.Open(storage.Params{Dir: "/data", ID: "s1", Role: "store", FS: fs})
				if err != nil {
					t.Fatalf("operation %v fails: %v", op, err)
				}
				return engine
			}
			engine := openEngine()
			if fs.remaining > 0 {
				t.Errorf("operation %v fails: opened before the operation succeeded", op)
			}
			if fs.present {
				t.Errorf("operation %v fails: an identity file was left behind", op)
			}
			ident := engine.Ident()
			if err := engine.Close(); err != nil {
				t.Fatal(err)
			}
			engine = openEngine()
			if engine.NewIdentity || engine.Ident() != ident {
				t.Errorf("operation %v fails: identity %s is %s after a restart", op, ident, engine.Ident())
			}
			if err := engine.Close(); err != nil {
				t.Fatal(err)
			}
		})
	}
}
