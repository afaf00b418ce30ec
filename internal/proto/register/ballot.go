package register

import (
	"damsontiller/internal/proto/wire"
)

// ballot is one that this proposer has never used. Its number follows the clock,
// so that who comes later goes over the one before at the first try, also after a
// restart; a clock that is wrong costs tries and nothing else.
func (p *Proposer) ballot() *wire.Ballot {
	now := uint64(max(p.Clock().UnixMilli(), 0))
	for {
		t := p.highestSeen.Load()
		if n := max(t+1, now); p.highestSeen.CompareAndSwap(t, n) {
			return &wire.Ballot{N: n, Node: p.node}
		}
	}
}

// maxBallotNumber is a ballot's number that no clock gives. Whoever went over it would soon
// count past the highest number and begin anew with ballots used before.
const maxBallotNumber = 1 << 63

// observe lifts the next ballot above one that beat ours.
func (p *Proposer) observe(ballot *wire.Ballot) {
	if ballot.GetN() >= maxBallotNumber {
		return
	}
	for {
		t := p.highestSeen.Load()
		if ballot.GetN() <= t || p.highestSeen.CompareAndSwap(t, ballot.GetN()) {
			return
		}
	}
}

// observeReplies lifts the next ballot above what a round has shown to be promised.
func (p *Proposer) observeReplies(got []reply) {
	for _, g := range got {
		if g.resp != nil {
			p.observe(g.resp.GetView().GetPromised())
		}
	}
}
