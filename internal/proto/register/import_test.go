package register_test

import (
	"context"
	"errors"
	"testing"

	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
)

// TestFill: a copy is taken where it is newer than what is here, also below what was
// promised, and the promise stays; a value that was expired goes before the same complete.
func TestFill(t *testing.T) {
	d := &disk{all: map[string][]byte{}}
	a := register.NewAcceptor(d)
	b := func(n uint64) *wire.Ballot { return &wire.Ballot{N: n, Node: 1} }
	save := func(recs map[string]*wire.Rec) error {
		for k, r := range recs {
			if err := d.Save(k, r); err != nil {
				return err
			}
		}
		return nil
	}
	if _, err := a.Accept(&wire.Acc{Key: "newer", Ballot: b(9), Cell: &wire.Cell{Ver: 3, Val: []byte("mine")}}); err != nil {
		t.Fatal(err)
	}
	if _, err := a.Accept(&wire.Acc{Key: "same", Ballot: b(5), Cell: &wire.Cell{Ver: 2, Val: []byte("v")}}); err != nil {
		t.Fatal(err)
	}
	if _, err := a.Prepare(&wire.Prep{Key: "promised", Ballot: b(8)}); err != nil {
		t.Fatal(err)
	}
	cell := func(key string, n uint64, expired bool) *wire.Copy {
		return &wire.Copy{
			Key: key,
			Rec: &wire.Rec{Accepted: b(n), Cell: &wire.Cell{Ver: 2, Val: []byte("theirs"), Past: expired}},
		}
	}
	all := []*wire.Copy{
		cell("newer", 5, false),
		cell("same", 5, true),
		cell("promised", 5, false),
		cell("empty", 5, false),
	}
	for _, want := range []int{3, 0} {
		if n, err := a.Import(all, save); err != nil || n != want {
			t.Errorf("%d taken, want %d, %v", n, want, err)
		}
	}
	for key, want := range map[string]struct {
		promised, accepted uint64
		past               bool
		val                string
	}{
		"newer": {9, 9, false, "mine"}, "same": {5, 5, true, "theirs"}, "promised": {8, 5, false, "theirs"}, "empty": {5, 5, false, "theirs"},
	} {
		v, err := a.Read(&wire.Look{Key: key})
		if err != nil || v.Promised.GetN() != want.promised || v.Accepted.GetN() != want.accepted ||
			v.Cell.GetPast() != want.past ||
			string(v.Cell.GetVal()) != want.val {
			t.Errorf("%s: %v %v", key, v, err)
		}
	}
	// What was promised still holds.
	if _, err := a.Accept(&wire.Acc{Key: "promised", Ballot: b(7), Cell: &wire.Cell{Ver: 9}}); err == nil {
		t.Error("a ballot below the promise was taken")
	}
}

// TestCopyIsNoVote: voters change from {a, old, b} to {a, new, b}. One value was accepted
// at a alone, and is brought to new, which has promised a higher ballot to the proposer
// of another value. Once the new set stands alone, a read that meets a and new must not
// take the first value for chosen: the accept under the higher ballot still arrives.
func TestCopyIsNoVote(t *testing.T) {
	ballot := func(n uint64) *wire.Ballot { return &wire.Ballot{N: n, Node: 1} }
	accept := func(n uint64, v string) *wire.Acc {
		return &wire.Acc{Key: "k", Ballot: ballot(n), Cell: &wire.Cell{Ver: 1, Val: []byte(v), Ops: []uint64{n}}}
	}
	disks := map[string]*disk{}
	all := map[string]*register.Acceptor{}
	var set register.Set
	for _, name := range []string{"a", "new", "b"} {
		disks[name] = &disk{all: map[string][]byte{}}
		all[name] = register.NewAcceptor(disks[name])
	}
	set = register.Set{{{Addr: "a"}, {Addr: "new"}, {Addr: "b"}}}
	must := func(_ *wire.View, err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	must(all["a"].Accept(accept(10, "first")))
	must(all["new"].Prepare(&wire.Prep{Key: "k", Ballot: ballot(20)}))
	must(all["b"].Prepare(&wire.Prep{Key: "k", Ballot: ballot(20)}))
	must(all["b"].Accept(accept(20, "second")))
	copied := &wire.Copy{Key: "k", Rec: &wire.Rec{Accepted: ballot(10), Cell: accept(10, "first").Cell}}
	if n, err := all["new"].Import([]*wire.Copy{copied}, func(recs map[string]*wire.Rec) error { return disks["new"].Save("k", recs["k"]) }); n != 1 ||
		err != nil {
		t.Fatal(n, err)
	}
	// The mark lasts over a restart.
	all["new"] = register.NewAcceptor(disks["new"])
	read := func(away string) string {
		p := register.NewProposer(
			uint64(len(away)+2),
			func(_ context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
				if addr == away {
					return nil, errors.New("away")
				}
				v, err := all[addr].Answer(q)
				return &wire.Resp{Op: &wire.Resp_View{View: v}}, err
			},
		)
		st, err := p.Read(t.Context(), set, "k")
		if err != nil {
			t.Fatal(err)
		}
		return string(st.Value)
	}
	seen := read("b")
	_, _ = all["new"].Accept(accept(20, "second"))
	if now := read("a"); now != seen {
		t.Errorf("read %q, and later %q", seen, now)
	}
}
