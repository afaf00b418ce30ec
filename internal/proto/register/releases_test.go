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

// release is a release that may run in a mixed fleet.
type release string

const (
	withoutCompression release = "649a9f3" // ignores the fields of compressed values
	compressedInAccept release = "76067e2" // accepts a compressed value in a plain accept
	current            release = "current"
)

var releases = []release{withoutCompression, compressedInAccept, current}

// answerAs answers a request like an acceptor of a release, which reads only the fields that it
// knows.
func answerAs(version release, acceptor *register.Acceptor, request *wire.Req) (*wire.View, error) {
	if version != current && request.GetAccCompressed() != nil {
		return nil, code.New(code.UnknownMessage, "%T", request.Op)
	}
	if version == withoutCompression {
		request = proto.Clone(request).(*wire.Req)
		switch op := request.Op.(type) {
		case *wire.Req_Prep:
			op.Prep = &wire.Prep{Key: op.Prep.Key, Ballot: op.Prep.Ballot}
		case *wire.Req_Acc:
			op.Acc.CompressedValue = nil
		case *wire.Req_Look:
			op.Look = &wire.Look{Key: op.Look.Key}
		}
	}
	view, err := acceptor.Answer(request)
	if view != nil {
		view.AcceptsCompressed = version == compressedInAccept
		view.AcceptsCompressedOp = version == current
	}
	return view, err
}

// proposeAs returns a caller that sends requests like a proposer of a release.
func proposeAs(version release, call wire.Caller) wire.Caller {
	if version != compressedInAccept {
		return call
	}
	return func(ctx context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
		if accept := q.GetAccCompressed().GetAcc(); accept != nil {
			q = &wire.Req{Ident: q.Ident, Op: &wire.Req_Acc{Acc: accept}}
		}
		resp, err := call(ctx, addr, q)
		if view := resp.GetView(); view != nil {
			view.AcceptsCompressedOp = view.AcceptsCompressed
		}
		return resp, err
	}
}

// phase is the time at which voters are restarted with another release: just before the first
// request of a kind reaches one of them.
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

// mixedFleet is a set of voters, of which the first few are restarted with another release
// during a change.
type mixedFleet struct {
	*voters
	before, after release
	restarts      int // number of voters that are restarted
	at            phase
	reached       bool // the phase has been reached
}

func (f *mixedFleet) call(_ context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reached = f.reached || phaseOf(q) == f.at
	version := current
	for i := range f.restarts {
		if addr != fmt.Sprintf("a%d", i) {
			continue
		}
		if version = f.before; f.reached {
			version = f.after
		}
	}
	view, err := answerAs(version, f.acceptors[addr], q)
	encoded := wire.MustEncode(&wire.Resp{Op: &wire.Resp_View{View: view}})
	resp := &wire.Resp{}
	if err := wire.Decode(encoded, resp); err != nil {
		return nil, err
	}
	return resp, err
}

// setRelease sets the release that voters are restarted with, and whether they have been.
func (f *mixedFleet) setRelease(after release, reached bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.after, f.reached = after, reached
}

// TestMixedReleases checks that an acknowledged change is read with its value and that no voter
// holds a cell without its value, whichever voters are restarted with an earlier or later
// release and at whatever phase of a change.
//
// It leaves out a proposer of 76067e2 whose voter of 76067e2 is restarted with 649a9f3 between
// the two rounds: the code of those releases alone loses the value.
func TestMixedReleases(t *testing.T) {
	runs := 0
	for _, proposer := range []release{compressedInAccept, current} {
		for _, before := range releases {
			for _, after := range releases {
				if proposer == compressedInAccept && before == compressedInAccept && after == withoutCompression {
					continue
				}
				for _, at := range []phase{beforePrepare, beforeAccept, beforeRead} {
					for restarts := 1; restarts <= 3; restarts++ {
						runs++
						name := fmt.Sprintf("%s proposes, %d voters %s to %s %s", proposer, restarts, before, after, at)
						synctest.Test(t, func(t *testing.T) { runMixedReleases(t, name, proposer, before, after, restarts, at) })
					}
				}
			}
		}
	}
	t.Logf("%d runs", runs)
}

func runMixedReleases(t *testing.T, name string, proposerRelease, before, after release, restarts int, at phase) {
	t.Helper()
	voters, set := newVoters(3)
	fleet := &mixedFleet{voters: voters, before: before, after: before, restarts: restarts, at: at}
	proposer := register.NewProposer(1, proposeAs(proposerRelease, fleet.call))
	first, second := largeValue(), append(largeValue(), "more"...)
	if _, err := proposer.Change(t.Context(), set, valueKey, setTo(string(first))); err != nil {
		t.Fatalf("%s: first change: %v", name, err)
	}
	// The wait lets slow voters reply.
	time.Sleep(time.Second)
	fleet.setRelease(after, false)
	// A new process has no prepared ballot, so it runs both rounds.
	proposer = register.NewProposer(2, proposeAs(proposerRelease, fleet.call))
	_, err := proposer.Change(t.Context(), set, valueKey, setTo(string(second)))
	if err != nil {
		t.Errorf("%s: second change: %v", name, err)
	}
	time.Sleep(time.Second)
	fleet.setRelease(after, true)
	for addr, acceptor := range voters.acceptors {
		view, err := acceptor.Read(&wire.Look{Key: valueKey})
		if err != nil || view.Accepted != nil && len(view.Cell.Val) == 0 {
			t.Errorf("%s: %s holds version %d without its value, %v", name, addr, view.GetCell().GetVer(), err)
		}
	}
	state, err := register.NewProposer(3, fleet.call).Read(t.Context(), set, valueKey)
	if err != nil || !bytes.Equal(state.Value, second) {
		t.Errorf("%s: read %d bytes of version %d, %v", name, len(state.Value), state.Version, err)
	}
}
