package cluster_test

import (
	"testing"

	"damsontiller/internal/coordination/cluster"
)

// FuzzApply checks that a value from the wire or the disk is either put in force completely or
// rejected, and that every query of a version in force returns without a panic.
func FuzzApply(f *testing.F) {
	f.Add([]byte(`{}`), "k")
	f.Add(
		[]byte(
			`{"cores":[{"id":"c1","addr":"127.0.0.1:1","zone":"a","ident":"i1"}],"next_cores":[{"id":"c2"}],"stores":[{"id":"s1","zone":"a","ident":"i2"},{"id":"s2","zone":"b","ident":"i3"}],"next_stores":[{"id":"s3","ident":"i4"}],"copies":3}`,
		),
		"budget/x",
	)
	f.Add([]byte(`{"stores":[{"id":"s1"}],"copies":-1}`), "")
	f.Add([]byte(`{"stores":[{"id":"s1","ident":"i"},{"id":"s1","ident":"i"}],"copies":9223372036854775807}`), "k")
	f.Add([]byte(`[`), "k")
	f.Fuzz(func(t *testing.T, raw []byte, key string) {
		c := cluster.New(nil, nil)
		if err := c.Apply(5, raw); err != nil {
			if c.Now().Version != 0 {
				t.Fatalf("refused with %v, and version %d is in force", err, c.Now().Version)
			}
			return
		}
		v := c.Now()
		if v.Version != 5 || string(v.Raw()) != string(raw) {
			t.Fatalf("version %d, value %s", v.Version, v.Raw())
		}
		v.Cores().All()
		holders := cluster.Holders(v.Cluster.Stores, key, v.Copies())
		if len(holders) > v.Copies() {
			t.Fatalf("%d holders of %d copies", len(holders), v.Copies())
		}
		v.Stores(key).All()
		cluster.MaxHolders(v.Cluster.Stores, v.Cluster.Stores, v.Copies())
		v.StoresDigest()
	})
}
