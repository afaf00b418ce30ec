package register_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// release is one of the releases that a fleet may mix.
type release string

const (
	withoutCompression release = "649a9f3" // ignores the fields of compressed values
	compressedInAccept release = "76067e2" // takes a compressed value in a plain accept
	current            release = "current"
)

var releases = []release{withoutCompression, compressedInAccept, current}

// answerAs has an acceptor answer as a release does, which reads only the fields that it
// knows.
func answerAs(as release, a *register.Acceptor, q *wire.Req) (*wire.View, error) {
	if as != current && q.GetAccCompressed() != nil {
		return nil, code.New(code.UnknownMessage, "%T", q.Op)
	}
	if as == withoutCompression {
		q = proto.Clone(q).(*wire.Req)
		switch op := q.Op.(type) {
		case *wire.Req_Prep:
			op.Prep = &wire.Prep{Key: op.Prep.Key, Ballot: op.Prep.Ballot}
		case *wire.Req_Acc:
			op.Acc.CompressedValue = nil
		case *wire.Req_Look:
			op.Look = &wire.Look{Key: op.Look.Key}
		}
	}
	v, err := a.Answer(q)
	if v != nil {
		v.AcceptsCompressed = as == compressedInAccept
		v.AcceptsCompressedOp = as == current
	}
	return v, err
}

// proposeAs has a proposer send as a release does.
func proposeAs(as release, call wire.Caller) wire.Caller {
	if as != compressedInAccept {
		return call
	}
	return func(ctx context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
		if acc := q.GetAccCompressed().GetAcc(); acc != nil {
			q = &wire.Req{Ident: q.Ident, Op: &wire.Req_Acc{Acc: acc}}
		}
		r, err := call(ctx, addr, q)
		if v := r.GetView(); v != nil {
			v.AcceptsCompressedOp = v.AcceptsCompressed
		}
		return r, err
	}
}

// phase is when voters are started anew as another release: before the first request of
// a kind reaches any of them.
type phase string

const (
	beforePrepare phase = "before the prepare"
	beforeAccept  phase = "before the accept"
	beforeRead    phase = "before the read"
)

func phaseOf(q *wire.Req) phase {
	switch {
	case q.GetPrep() != nil:
		return beforePrepare
	case q.Accept() != nil:
		return beforeAccept
	}
	return beforeRead
}

// mixedFleet are voters of some releases, of which the first few are started anew as
// another at a moment of a change.
type mixedFleet struct {
	*voters
	was, is release
	changed int // voters that are started anew
	at      phase
	begun   bool // the moment has come
}

func (f *mixedFleet) call(_ context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begun = f.begun || phaseOf(q) == f.at
	as := current
	for i := range f.changed {
		if addr != fmt.Sprintf("a%d", i) {
			continue
		}
		if as = f.was; f.begun {
			as = f.is
		}
	}
	v, err := answerAs(as, f.all[addr], q)
	b := wire.MustEncode(&wire.Resp{Op: &wire.Resp_View{View: v}})
	r := &wire.Resp{}
	if err := wire.Decode(b, r); err != nil {
		return nil, err
	}
	return r, err
}

// setRelease tells which release the voters are started anew as, and whether they are by now.
func (f *mixedFleet) setRelease(is release, begun bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.is, f.begun = is, begun
}

// TestMixedReleases: whichever voters are started anew as an earlier or later release,
// and at whatever moment of a change, a change that was acknowledged is read with its
// value, and no voter holds a cell without one.
//
// Left out is a proposer of 76067e2 whose voter of 76067e2 is started anew as 649a9f3
// between its two rounds: that loses the value by the code of those releases alone.
func TestMixedReleases(t *testing.T) {
	plays := 0
	for _, proposer := range []release{compressedInAccept, current} {
		for _, was := range releases {
			for _, is := range releases {
				if proposer == compressedInAccept && was == compressedInAccept && is == withoutCompression {
					continue
				}
				for _, at := range []phase{beforePrepare, beforeAccept, beforeRead} {
					for changed := 1; changed <= 3; changed++ {
						plays++
						name := fmt.Sprintf("%s proposes, %d voters %s to %s %s", proposer, changed, was, is, at)
						synctest.Test(t, func(t *testing.T) { playMixed(t, name, proposer, was, is, changed, at) })
					}
				}
			}
		}
	}
	t.Logf("%d plays", plays)
}

func playMixed(t *testing.T, name string, proposer, was, is release, changed int, at phase) {
	t.Helper()
	v, set := newVoters(3)
	fleet := &mixedFleet{voters: v, was: was, is: was, changed: changed, at: at}
	p := register.NewProposer(1, proposeAs(proposer, fleet.call))
	first, second := largeValue(), append(largeValue(), "more"...)
	if _, err := p.Change(t.Context(), set, valueKey, put(string(first))); err != nil {
		t.Fatalf("%s: first change: %v", name, err)
	}
	// Stragglers have answered by then.
	time.Sleep(time.Second)
	fleet.setRelease(is, false)
	// Another start of the process, which holds no promise: both rounds are played.
	p = register.NewProposer(2, proposeAs(proposer, fleet.call))
	_, err := p.Change(t.Context(), set, valueKey, put(string(second)))
	if err != nil {
		t.Errorf("%s: second change: %v", name, err)
	}
	time.Sleep(time.Second)
	fleet.setRelease(is, true)
	for addr, acceptor := range v.all {
		view, err := acceptor.Read(&wire.Look{Key: valueKey})
		if err != nil || view.Accepted != nil && len(view.Cell.Val) == 0 {
			t.Errorf("%s: %s holds version %d without its value, %v", name, addr, view.GetCell().GetVer(), err)
		}
	}
	st, err := register.NewProposer(3, fleet.call).Read(t.Context(), set, valueKey)
	if err != nil || !bytes.Equal(st.Value, second) {
		t.Errorf("%s: read %d bytes of version %d, %v", name, len(st.Value), st.Version, err)
	}
}
