package reg_test

import (
	"testing"

	"damsontiller/proto/reg"
	"damsontiller/proto/wire"
)

// TestFill: a copy is taken where it is newer than what is here, also below what was
// promised, and the promise stays; a value that was let go goes before the same whole.
func TestFill(t *testing.T) {
	d := &disk{all: map[string][]byte{}}
	a := reg.NewAcceptor(d)
	b := func(n uint64) *wire.Ballot { return &wire.Ballot{N: n, Node: 1} }
	save := func(recs map[string]*wire.Rec) error {
		for k, r := range recs {
			if err := d.Save(k, r); err != nil {
				return err
			}
		}
		return nil
	}
	if _, err := a.Acc(&wire.Acc{Key: "newer", Ballot: b(9), Cell: &wire.Cell{Ver: 3, Val: []byte("mine")}}); err != nil {
		t.Fatal(err)
	}
	if _, err := a.Acc(&wire.Acc{Key: "same", Ballot: b(5), Cell: &wire.Cell{Ver: 2, Val: []byte("v")}}); err != nil {
		t.Fatal(err)
	}
	if _, err := a.Prep(&wire.Prep{Key: "promised", Ballot: b(8)}); err != nil {
		t.Fatal(err)
	}
	cell := func(key string, n uint64, past bool) *wire.Copy {
		return &wire.Copy{Key: key, Rec: &wire.Rec{Accepted: b(n), Cell: &wire.Cell{Ver: 2, Val: []byte("theirs"), Past: past}}}
	}
	all := []*wire.Copy{cell("newer", 5, false), cell("same", 5, true), cell("promised", 5, false), cell("empty", 5, false)}
	for _, want := range []int{3, 0} {
		if n, err := a.Fill(all, save); err != nil || n != want {
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
		v, err := a.Look(&wire.Look{Key: key})
		if err != nil || v.Promised.GetN() != want.promised || v.Accepted.GetN() != want.accepted || v.Cell.GetPast() != want.past || string(v.Cell.GetVal()) != want.val {
			t.Errorf("%s: %v %v", key, v, err)
		}
	}
	// What was promised still holds.
	if _, err := a.Acc(&wire.Acc{Key: "promised", Ballot: b(7), Cell: &wire.Cell{Ver: 9}}); err == nil {
		t.Error("a ballot below the promise was taken")
	}
}
