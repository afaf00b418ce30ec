package register

import (
	"damsontiller/internal/proto/wire"
)

// ballot returns one that this proposer has never used. Its number follows the clock, so
// that a later proposer exceeds an earlier one at its first attempt, also after a restart;
// a wrong clock costs attempts and nothing else.
func (p *Proposer) ballot() *wire.Ballot {
	now := uint64(max(p.Clock().UnixMilli(), 0))
	for {
		t := p.highestSeen.Load()
		if n := max(t+1, now); p.highestSeen.CompareAndSwap(t, n) {
			return &wire.Ballot{N: n, Node: p.node}
		}
	}
}

// maxBallotNumber bounds the ballots that a proposer follows; no clock gives one so high.
// Exceeding it would soon overflow and reuse ballots.
const maxBallotNumber = 1 << 63

// observe raises the next ballot above one that a voter has promised to another proposer.
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

// observeReplies raises the next ballot above all that the replies show as promised.
func (p *Proposer) observeReplies(got []reply) {
	for _, g := range got {
		if g.resp != nil {
			p.observe(g.resp.GetView().GetPromised())
		}
	}
}
