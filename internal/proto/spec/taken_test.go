package spec_test

import (
	"encoding/hex"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
)

// written is a cluster as it comes back from the register.
func written(t interface{ Fatal(...any) }, r *spec.Cluster) spec.Cluster {
	b, err := r.MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	var back spec.Cluster
	if err := back.UnmarshalJSON(b); err != nil {
		t.Fatal(err)
	}
	return back
}

// sent is an order as its operator knows it.
type sent struct {
	base, revision uint64
	digest         spec.OrderDigest
}

// order is an order of some content; its digest stands for its base as well.
func order(base, revision uint64, content byte) sent {
	return sent{base, revision, spec.OrderDigest{content, byte(base >> 8), byte(base)}}
}

// full is a cluster after many orders, each on the one before.
func full(t interface{ Fatal(...any) }, n int) (spec.Cluster, []sent) {
	var r spec.Cluster
	var all []sent
	table := good()
	for i := range uint64(n) {
		o := order(i, i+1, byte(i))
		if _, err := r.Replace(o.base, o.revision, o.digest, table); err != nil {
			t.Fatal(err)
		}
		all = append(all, o)
	}
	return r, all
}

// TestTakenModel: of any orders, in any order and sent again at any time, each one that
// was taken is acknowledged again or, once it is forgotten, left without a clear
// answer; none that was not taken is acknowledged; each number is taken once.
func TestTakenModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var r spec.Cluster
		var all []sent
		taken := map[uint64]sent{}
		newest := 0
		step := func(o sent) {
			before := r.Table.Revision
			same, err := r.Replace(o.base, o.revision, o.digest, good())
			was, is := taken[o.revision]
			mine := is && was == o
			switch got := code.Of(err); {
			case mine && !same && got != code.Forgotten:
				rt.Fatalf("%+v was taken and is answered %v", o, err)
			case mine && same && r.Table.Revision != before:
				rt.Fatalf("%+v, sent again, moved %d to %d", o, before, r.Table.Revision)
			case mine && got == code.Forgotten && newest-spec.MaxTaken < 0:
				rt.Fatalf("%+v is forgotten after %d orders", o, newest)
			case !mine && same:
				rt.Fatalf("%+v was not taken and is acknowledged as %+v", o, was)
			case !mine && err == nil && (is || o.base != before || o.revision <= before || r.Table.Revision != o.revision):
				rt.Fatalf("%+v is taken on %d", o, before)
			case err == nil && !same:
				taken[o.revision] = o
				newest++
			}
			r = written(rt, &r)
		}
		// Some cases get past what is remembered.
		if rapid.IntRange(0, 3).Draw(rt, "late") == 0 {
			past, orders := full(rt, spec.MaxTaken+rapid.IntRange(-3, 40).Draw(rt, "earlier"))
			r, all, newest = past, orders, len(orders)
			for _, o := range orders {
				taken[o.revision] = o
			}
		}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			if len(all) > 0 && rapid.Bool().Draw(rt, "again") {
				step(all[rapid.IntRange(0, len(all)-1).Draw(rt, "which")])
				continue
			}
			now := int64(r.Table.Revision)
			base := max(now-rapid.Int64Range(0, 2).Draw(rt, "behind"), 0)
			revision := max(base+rapid.Int64Range(-1, 300).Draw(rt, "rise"), 0)
			o := order(uint64(base), uint64(revision), byte(rapid.IntRange(0, 2).Draw(rt, "content")))
			all = append(all, o)
			step(o)
		}
	})
}

// TestTakenEarlier: what an earlier version remembered counts on, and is carried over
// with the next order.
func TestTakenEarlier(t *testing.T) {
	for _, n := range []int{1, 5, 64} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			r := spec.Cluster{Table: good()}
			r.Table.Revision = uint64(100 + n)
			for i := range n {
				d := spec.OrderDigest{byte(i), 1, 2, 3, 4, 5, 6, 7, 8, 9}
				r.Taken = append(r.Taken, spec.Taken{Revision: uint64(101 + i), Digest: hex.EncodeToString(d[:])})
			}
			known := func() {
				t.Helper()
				for i := range n {
					rev := uint64(101 + i)
					if same, err := r.Replace(rev-1, rev, spec.OrderDigest{byte(i), 1, 2, 3, 4, 5, 6, 7, 8, 9}, good()); !same ||
						err != nil {
						t.Errorf("revision %d: %t %v", rev, same, err)
					}
					if _, err := r.Replace(rev-1, rev, spec.OrderDigest{byte(i), 1, 2, 3, 4, 5, 6, 6}, good()); code.Of(
						err,
					) != code.SpecConflict {
						t.Errorf("revision %d with another digest: %v", rev, err)
					}
				}
				// A full list may have forgotten some, one that is not has not.
				want := code.SpecConflict
				if n == 64 {
					want = code.Forgotten
				}
				if _, err := r.Replace(99, 100, spec.OrderDigest{1}, good()); code.Of(err) != want {
					t.Errorf("revision 100: %v, want %d", err, want)
				}
			}
			known()
			r = written(t, &r)
			now := r.Table.Revision
			if same, err := r.Replace(now, now+5, spec.OrderDigest{77}, good()); same || err != nil {
				t.Fatal(same, err)
			}
			r = written(t, &r)
			if len(r.Taken) > 0 {
				t.Error("the earlier list stays")
			}
			known()
		})
	}
}

// TestTakenTorn: a log that can't be read forgets all, and refuses nothing that may
// have been taken.
func TestTakenTorn(t *testing.T) {
	r := spec.Cluster{Table: good(), TakenLog: []byte{1, 2, 3}}
	if _, err := r.Replace(6, 7, spec.OrderDigest{1}, good()); code.Of(err) != code.Forgotten {
		t.Error(err)
	}
	if same, err := r.Replace(7, 8, spec.OrderDigest{1}, good()); same || err != nil {
		t.Error(same, err)
	}
}

// TestTakenSize: what an order costs in the register, for good.
func TestTakenSize(t *testing.T) {
	var r spec.Cluster
	size := func() int {
		b, err := r.MarshalJSON()
		if err != nil {
			t.Fatal(err)
		}
		return len(b)
	}
	revision := uint64(1)
	add := func(n int) {
		for range n {
			if _, err := r.Replace(r.Table.Revision, revision, spec.OrderDigest{byte(revision)}, good()); err != nil {
				t.Fatal(err)
			}
			revision += 1 + revision%9
		}
	}
	add(1)
	one := size()
	add(spec.MaxTaken - 1)
	full := size()
	add(2 * spec.MaxTaken)
	over := size()
	t.Logf("%d bytes with one order, %d with %d, %d after %d", one, full, spec.MaxTaken, over, 3*spec.MaxTaken)
	if per := (full - one) / (spec.MaxTaken - 1); per > 13 {
		t.Errorf("%d bytes an order", per)
	}
	if over > full+64 {
		t.Errorf("it grows on: %d after %d", over, full)
	}
}
