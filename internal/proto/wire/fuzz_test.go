package wire

import (
	"testing"

	"google.golang.org/protobuf/proto"
)

// FuzzMessage checks that a decoded request, response or record is unchanged by encoding
// and decoding it again, and that invalid bytes cause no panic.
func FuzzMessage(f *testing.F) {
	ballot := &Ballot{N: 7, Node: 3}
	cell := &Cell{Ver: 2, Val: []byte("v"), Ops: []uint64{1, 2}, Timed: true}
	for _, m := range []proto.Message{
		&Req{Ver: Version, From: "a:1", Id: "a", Inc: 5, Ident: "i", Spec: 3, Strict: true, Op: &Req_Acc{Acc: &Acc{Key: "k", Ballot: ballot, Cell: cell, Next: &Ballot{N: 8, Node: 3}}}},
		&Req{Ver: Version, Op: &Req_Prep{Prep: &Prep{Key: "k", Ballot: ballot}}},
		&Req{Ver: Version, Op: &Req_Renew{Renew: &Renew{Self: &Member{Id: "a", Addr: "a:1", Inc: 5, SpecVer: 3}, Table: 1, Seen: 2}}},
		&Resp{Ver: Version, Code: 507, Text: "promised 7", Op: &Resp_View{View: &View{Promised: ballot, Accepted: ballot, Cell: cell}}},
		&Resp{Ver: Version, Op: &Resp_Renew{Renew: &RenewAck{LastsMs: 3000, Members: []*Member{{Id: "a"}}}}},
		&Rec{Promised: ballot, Accepted: ballot, Cell: cell, AtMs: 9},
	} {
		f.Add(MustEncode(m))
	}
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		for _, m := range []proto.Message{&Req{}, &Resp{}, &Rec{}, &Copies{}} {
			if Decode(raw, m) != nil {
				continue
			}
			again := proto.Clone(m)
			proto.Reset(again)
			if err := Decode(MustEncode(m), again); err != nil || !proto.Equal(m, again) {
				t.Fatalf("%T: %v became %v, %v", m, m, again, err)
			}
			if r, ok := m.(*Resp); ok {
				_ = r.Err()
			}
		}
	})
}

// FuzzBallotOrder checks that ballots are totally ordered and that nil is the lowest.
func FuzzBallotOrder(f *testing.F) {
	f.Add(uint64(0), uint64(0), uint64(1), uint64(2))
	f.Add(uint64(1)<<63, uint64(5), uint64(1)<<63, uint64(4))
	f.Fuzz(func(t *testing.T, n, node, otherN, otherNode uint64) {
		a, b := &Ballot{N: n, Node: node}, &Ballot{N: otherN, Node: otherNode}
		if CompareBallots(a, b) != -CompareBallots(b, a) ||
			(CompareBallots(a, b) == 0) != (n == otherN && node == otherNode) {
			t.Fatalf("%v and %v: %d and %d", a, b, CompareBallots(a, b), CompareBallots(b, a))
		}
		if CompareBallots(nil, a) > 0 || CompareBallots(a, nil) < 0 {
			t.Fatalf("%v is below none", a)
		}
	})
}
