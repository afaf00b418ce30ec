package spec_test

import (
	"testing"

	"damsontiller/internal/proto/spec"
)

// FuzzCluster: a cluster's value that can be read is the same when written and read
// again, and its checks end.
func FuzzCluster(f *testing.F) {
	f.Add([]byte(`{}`))
	f.Add(
		[]byte(
			`{"cores":[{"id":"c1","addr":"127.0.0.1:1","zone":"a","ident":"i1"}],"stores":[{"id":"s1","addr":"127.0.0.1:2","zone":"a","ident":"i2"}],"used":["i0"],"copies":3}`,
		),
	)
	f.Add([]byte(`{"stores":null,"copies":-1}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var read, again spec.Cluster
		if read.UnmarshalJSON(raw) != nil {
			return
		}
		_ = read.Spec.Check()
		written, err := read.MarshalJSON()
		if err != nil {
			t.Fatal(err)
		}
		if err := again.UnmarshalJSON(written); err != nil {
			t.Fatalf("what was written can't be read: %v: %s", err, written)
		}
		if twice, err := again.MarshalJSON(); err != nil || !sameText(written, twice) {
			t.Fatalf("written as %s, then as %s, %v", written, twice, err)
		}
	})
}
