package register_test

import (
	"context"
	"errors"
	"testing"

	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
)

// TestImport checks that a copy is imported if it is newer than the stored record, also below
// the promised ballot, which remains promised. Of two copies of the same value the expired one
// takes precedence.
func TestImport(t *testing.T) {
	d := &disk{records: map[string][]byte{}}
	a := register.NewAcceptor(d)
	ballot := func(n uint64) *wire.Ballot { return &wire.Ballot{N: n, Node: 1} }
	save := func(records map[string]*wire.Rec) error {
		for key, record := range records {
			if err := d.Save(key, record); err != nil {
				return err
			}
		}
		return nil
	}
	if _, err := a.Accept(&wire.Acc{Key: "newer", Ballot: ballot(9), Cell: &wire.Cell{Ver: 3, Val: []byte("mine")}}); err != nil {
		t.Fatal(err)
	}
	if _, err := a.Accept(&wire.Acc{Key: "same", Ballot: ballot(5), Cell: &wire.Cell{Ver: 2, Val: []byte("v")}}); err != nil {
		t.Fatal(err)
	}
	if _, err := a.Prepare(&wire.Prep{Key: "promised", Ballot: ballot(8)}); err != nil {
		t.Fatal(err)
	}
	newCopy := func(key string, n uint64, expired bool) *wire.Copy {
		return &wire.Copy{
			Key: key,
			Rec: &wire.Rec{Accepted: ballot(n), Cell: &wire.Cell{Ver: 2, Val: []byte("theirs"), Past: expired}},
		}
	}
	copies := []*wire.Copy{
		newCopy("newer", 5, false),
		newCopy("same", 5, true),
		newCopy("promised", 5, false),
		newCopy("empty", 5, false),
	}
	for _, want := range []int{3, 0} {
		if n, err := a.Import(copies, save); err != nil || n != want {
			t.Errorf("%d imported, want %d, %v", n, want, err)
		}
	}
	for key, want := range map[string]struct {
		promised, accepted uint64
		past               bool
		val                string
	}{
		"newer": {9, 9, false, "mine"}, "same": {5, 5, true, "theirs"}, "promised": {8, 5, false, "theirs"}, "empty": {5, 5, false, "theirs"},
	} {
		view, err := a.Read(&wire.Look{Key: key})
		if err != nil || view.Promised.GetN() != want.promised || view.Accepted.GetN() != want.accepted ||
			view.Cell.GetPast() != want.past ||
			string(view.Cell.GetVal()) != want.val {
			t.Errorf("%s: %v %v", key, view, err)
		}
	}
	// The earlier promise still holds.
	if _, err := a.Accept(&wire.Acc{Key: "promised", Ballot: ballot(7), Cell: &wire.Cell{Ver: 9}}); err == nil {
		t.Error("a ballot below the promised one was accepted")
	}
}

// TestCopyIsNoVote changes the voters from {a, old, b} to {a, new, b}. One value was accepted
// by a alone and is copied to new, which has promised a higher ballot to the proposer of
// another value. Once only the new set is in force, a read that reaches a and new must not consider
// the first value chosen, because the accept request under the higher ballot still arrives.
func TestCopyIsNoVote(t *testing.T) {
	ballot := func(n uint64) *wire.Ballot { return &wire.Ballot{N: n, Node: 1} }
	accept := func(n uint64, value string) *wire.Acc {
		return &wire.Acc{Key: "k", Ballot: ballot(n), Cell: &wire.Cell{Ver: 1, Val: []byte(value), Ops: []uint64{n}}}
	}
	disks := map[string]*disk{}
	acceptors := map[string]*register.Acceptor{}
	var set register.Set
	for _, name := range []string{"a", "new", "b"} {
		disks[name] = &disk{records: map[string][]byte{}}
		acceptors[name] = register.NewAcceptor(disks[name])
	}
	set = register.Set{{{Addr: "a"}, {Addr: "new"}, {Addr: "b"}}}
	must := func(_ *wire.View, err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	must(acceptors["a"].Accept(accept(10, "first")))
	must(acceptors["new"].Prepare(&wire.Prep{Key: "k", Ballot: ballot(20)}))
	must(acceptors["b"].Prepare(&wire.Prep{Key: "k", Ballot: ballot(20)}))
	must(acceptors["b"].Accept(accept(20, "second")))
	copied := &wire.Copy{Key: "k", Rec: &wire.Rec{Accepted: ballot(10), Cell: accept(10, "first").Cell}}
	if n, err := acceptors["new"].Import([]*wire.Copy{copied}, func(recs map[string]*wire.Rec) error { return disks["new"].Save("k", recs["k"]) }); n != 1 ||
		err != nil {
		t.Fatal(n, err)
	}
	// The restarted acceptor still knows that the record was copied.
	acceptors["new"] = register.NewAcceptor(disks["new"])
	read := func(unreachable string) string {
		p := register.NewProposer(
			uint64(len(unreachable)+2),
			func(_ context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
				if addr == unreachable {
					return nil, errors.New("unreachable")
				}
				view, err := acceptors[addr].Answer(q)
				return &wire.Resp{Op: &wire.Resp_View{View: view}}, err
			},
		)
		state, err := p.Read(t.Context(), set, "k")
		if err != nil {
			t.Fatal(err)
		}
		return string(state.Value)
	}
	first := read("b")
	_, _ = acceptors["new"].Accept(accept(20, "second"))
	if second := read("a"); second != first {
		t.Errorf("read %q, and later %q", first, second)
	}
}
