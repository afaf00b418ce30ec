package control

import (
	"encoding/json"
	"testing"

	"damsontiller/internal/proto/spec"
)

// kept takes a table that passed its check through the register and back.
func kept(t *testing.T, table spec.Table) {
	t.Helper()
	written, err := Written(&table)
	if err != nil || !json.Valid(written) {
		t.Fatalf("written as %q, %v", written, err)
	}
	b, err := table.MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	var again spec.Table
	if err := again.UnmarshalJSON(b); err != nil {
		t.Fatalf("%q does not come back: %v", b, err)
	}
	if err := again.Check(); err != nil {
		t.Errorf("good before the register, and after it: %v", err)
	}
	if back, err := Written(&again); err != nil || !same(string(back), string(written)) {
		t.Errorf("written %q, after the register %q, %v", written, back, err)
	}
	index := spec.NewIndex(&again)
	for i := range again.Paths {
		if p := &again.Paths[i]; index.Path(p.Authority, p.Prefix) != p {
			t.Errorf("path %q is not found at its own place", p.Name)
		}
	}
}

// FuzzFullTable: whatever operators send as an entire configuration, it is refused or is
// kept as they wrote it, and read back from its own text as the same.
func FuzzFullTable(f *testing.F) {
	f.Add([]byte(table(5, route("r1", "/a/", toS), route("r2", "/b/", split))))
	f.Add([]byte(`{"revision":1}`))
	f.Add([]byte(`{"revision":9,"route-table":{},"service-table":[]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		base, err := Whole(b)
		if err != nil || base.Check() != nil {
			return
		}
		kept(t, base)
		written, _ := Written(&base)
		again, err := Whole(written)
		if err != nil || again.Revision != base.Revision || len(again.Paths) != len(base.Paths) {
			t.Errorf("%q is not read again: %v", written, err)
		}
	})
}

// FuzzModify: whatever operators send as a change of named items, it is refused or
// made on the table in force and on an empty one.
func FuzzModify(f *testing.F) {
	f.Add(
		[]byte(
			`{"revision":8,"upsert":{"route-table":[` + route(
				"c",
				"/c/",
				split,
			) + `]},"remove":{"route-table":["a","never"]}}`,
		),
	)
	f.Add(
		[]byte(
			`{"revision":8,"upsert":{"service-table":[` + svcT + `],"limits":` + lims + `},"remove":{"service-table":["t"]}}`,
		),
	)
	f.Add([]byte(`{"revision":8,"upsert":null}`))
	inForce, err := Whole([]byte(table(5, route("a", "/a/", toS), route("b", "/b/", split))))
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		revision, apply, err := Patch(b)
		if err != nil {
			return
		}
		for _, on := range []spec.Table{inForce, {}} {
			changed := apply(on)
			changed.Revision = revision
			if changed.Check() == nil {
				kept(t, changed)
			}
		}
	})
}
