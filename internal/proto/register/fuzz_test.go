package register_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
)

// FuzzRecord checks that an acceptor answers or refuses a request for any bytes of a record on
// disk. It must not panic, nor lower the promised or the accepted ballot of the record.
func FuzzRecord(f *testing.F) {
	for _, r := range []*wire.Rec{
		{},
		{Promised: &wire.Ballot{N: 5, Node: 1}},
		{
			Promised: &wire.Ballot{N: 5, Node: 1},
			Accepted: &wire.Ballot{N: 4, Node: 2},
			Cell:     &wire.Cell{Ver: 3, Val: []byte("v"), Ops: []uint64{7, 8}, Timed: true},
			AtMs:     9,
		},
		{Accepted: &wire.Ballot{N: 4, Node: 2}, Cell: &wire.Cell{Ver: 3, Past: true}},
		{Promised: &wire.Ballot{N: 1<<64 - 1, Node: 1<<64 - 1}},
	} {
		f.Add(wire.MustEncode(r), uint64(6), uint64(1))
	}
	f.Add([]byte{0xff, 0x01}, uint64(6), uint64(1))
	f.Fuzz(func(t *testing.T, raw []byte, n, node uint64) {
		before := &wire.Rec{}
		decoded := proto.Unmarshal(raw, before) == nil
		ballot := &wire.Ballot{N: n, Node: node}
		for _, request := range []func(*register.Acceptor) (*wire.View, error){
			func(a *register.Acceptor) (*wire.View, error) { return a.Prepare(&wire.Prep{Key: "k", Ballot: ballot}) },
			func(a *register.Acceptor) (*wire.View, error) {
				return a.Accept(&wire.Acc{Key: "k", Ballot: ballot, Cell: &wire.Cell{Ver: 1}, Next: &wire.Ballot{N: n + 1, Node: node}})
			},
			func(a *register.Acceptor) (*wire.View, error) { return a.Read(&wire.Look{Key: "k"}) },
			func(a *register.Acceptor) (*wire.View, error) {
				return nil, a.Adopt("k", &wire.View{Accepted: ballot, Cell: &wire.Cell{Ver: 1}})
			},
			func(a *register.Acceptor) (*wire.View, error) {
				_, err := a.Expire("k", func(*wire.Rec) (bool, bool) { return true, false }, nil)
				return nil, err
			},
		} {
			d := &disk{records: map[string][]byte{"k": raw}}
			_, err := request(register.NewAcceptor(d))
			if !decoded {
				if err == nil {
					t.Fatal("request succeeded with an undecodable record")
				}
				continue
			}
			after, err := d.Load("k")
			if err != nil {
				t.Fatal(err)
			}
			lowered := wire.CompareBallots(after.Promised, before.Promised) < 0 ||
				wire.CompareBallots(after.Accepted, before.Accepted) < 0
			if lowered && wire.CompareBallots(before.Promised, before.Accepted) >= 0 {
				t.Fatalf("%v became %v", before, after)
			}
		}
	})
}
