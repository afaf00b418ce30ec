package register

import (
	"damsontiller/internal/proto/wire"
)

// ballot returns a ballot that this proposer has never used. Its number follows the clock, so
// that a later proposer exceeds the ballots of an earlier one at its first attempt, also after
// a restart. A wrong clock costs extra attempts and has no other effect.
func (p *Proposer) ballot() *wire.Ballot {
	now := uint64(max(p.Clock().UnixMilli(), 0))
	for {
		highest := p.highestSeen.Load()
		if number := max(highest+1, now); p.highestSeen.CompareAndSwap(highest, number) {
			return &wire.Ballot{N: number, Node: p.node}
		}
	}
}

// maxBallotNumber bounds the ballots that a proposer follows; no valid clock yields one that
// high. Following higher ones would soon overflow the number and reuse ballots.
const maxBallotNumber = 1 << 63

// observe raises the next ballot above one that a voter has promised to another proposer.
func (p *Proposer) observe(ballot *wire.Ballot) {
	if ballot.GetN() >= maxBallotNumber {
		return
	}
	for {
		highest := p.highestSeen.Load()
		if ballot.GetN() <= highest || p.highestSeen.CompareAndSwap(highest, ballot.GetN()) {
			return
		}
	}
}

// observeReplies raises the next ballot above all ballots that the replies show as promised.
func (p *Proposer) observeReplies(replies []reply) {
	for _, r := range replies {
		if r.resp != nil {
			p.observe(r.resp.GetView().GetPromised())
		}
	}
}
